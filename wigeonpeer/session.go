package wigeonpeer

import (
	"io"
	"log"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// keepAliveInterval bounds how long a silent, dead connection stays open. At 15 s an idle session costs one ping of
	// 24 bytes each way every 15 s.
	keepAliveInterval = 15 * time.Second
	// defaultWriteTimeout bounds a write to a connection that takes no bytes, and the wait for the answer to a ping.
	defaultWriteTimeout = 5 * time.Second
	// streamCloseTimeout frees a stream whose other side does not close it.
	streamCloseTimeout = 10 * time.Second
)

func sessionConfig(writeTimeout time.Duration) *yamux.Config {
	config := yamux.DefaultConfig()
	config.KeepAliveInterval = keepAliveInterval
	config.ConnectionWriteTimeout = writeTimeout
	config.StreamCloseTimeout = streamCloseTimeout
	// Without a limit here, yamux starts no goroutine and timer for each call. The ping after a call that timed out
	// closes a session whose other side accepts no streams.
	config.StreamOpenTimeout = 0
	// The reason of a session's end comes from AcceptStream or from the failed call.
	config.LogOutput = nil
	config.Logger = log.New(io.Discard, "", 0)
	return config
}
