package wigeonpeer

import (
	"io"
	"log"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// keepAliveInterval is the interval of the pings on a session, and so bounds the time until a dead connection is
	// detected. At 15 s an idle session costs one ping of 24 bytes each way every 15 s.
	keepAliveInterval = 15 * time.Second
	// defaultWriteTimeout bounds a write to a connection whose peer does not read, and the wait for the reply to a ping.
	defaultWriteTimeout = 5 * time.Second
	// streamCloseTimeout bounds the time that a closed stream is kept when the peer does not close its side.
	streamCloseTimeout = 10 * time.Second
)

// sessionConfig returns the yamux configuration for both sides of a session.
func sessionConfig(writeTimeout time.Duration) *yamux.Config {
	config := yamux.DefaultConfig()
	config.KeepAliveInterval = keepAliveInterval
	config.ConnectionWriteTimeout = writeTimeout
	config.StreamCloseTimeout = streamCloseTimeout
	// Zero spares the goroutine and timer that yamux would start for each call. The ping after a call that timed out closes
	// the session of an unresponsive peer instead; see link.checkSession.
	config.StreamOpenTimeout = 0
	// The error that ends a session is returned by AcceptStream or by the call that fails.
	config.LogOutput = nil
	config.Logger = log.New(io.Discard, "", 0)
	return config
}
