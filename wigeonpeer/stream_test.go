package wigeonpeer_test

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonpeer"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// streamEcho returns each message of a stream that a relay request opens, and answers other requests with their view.
type streamEcho struct {
	// ended receives the error that ended the stream.
	ended chan error
}

func (e streamEcho) HandlePeer(ctx context.Context, request *wigeonwire.PeerRequest) *wigeonwire.PeerResponse {
	return echoView(ctx, request)
}

func (e streamEcho) HandleStream(_ context.Context, request *wigeonwire.PeerRequest, stream *wigeonpeer.Stream) bool {
	if request.GetRelay() == nil {
		return false
	}
	for {
		message := &wigeonwire.StatusQuery{}
		if err := stream.Receive(message); err != nil {
			e.ended <- err
			return true
		}
		if stream.Send(message) != nil {
			return true
		}
	}
}

func startStreamServer(t *testing.T) (*wigeonpeer.Server, streamEcho) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	handler := streamEcho{ended: make(chan error, 1)}
	server := wigeonpeer.NewServer(listener, handler, zap.NewNop())
	var serving sync.WaitGroup
	serving.Go(func() { qt.Check(t, server.Serve(), qt.IsNil) })
	t.Cleanup(func() {
		qt.Check(t, server.Close(), qt.IsNil)
		serving.Wait()
	})
	return server, handler
}

var openRelay = &wigeonwire.PeerRequest{Body: &wigeonwire.PeerRequest_Relay{Relay: &wigeonwire.RelayOpen{}}}

// Guards against messages of a stream that are lost or reordered, and against calls on the same session that a stream blocks.
func TestStreamCarriesMessagesBesideCalls(t *testing.T) {
	server, handler := startStreamServer(t)
	client := newClient(t)
	stream, err := client.Open(t.Context(), server.Addr(), openRelay)
	qt.Assert(t, err, qt.IsNil)
	for _, view := range []string{"a", "b", string(make([]byte, 300_000))} {
		qt.Assert(t, stream.Send(&wigeonwire.StatusQuery{View: view}), qt.IsNil)
		response, err := client.Call(t.Context(), server.Addr(), statusQuery("beside"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(response.GetStatus().GetJson()), qt.Equals, "beside")
		received := &wigeonwire.StatusQuery{}
		qt.Assert(t, stream.Receive(received), qt.IsNil)
		qt.Assert(t, received.GetView(), qt.Equals, view)
	}
	stream.Close()
	qt.Assert(t, <-handler.ended, qt.ErrorIs, io.EOF)
}

// Guards against an owner that waits for ever on a stream whose peer has gone.
func TestStreamEndsWithItsPeer(t *testing.T) {
	server, _ := startStreamServer(t)
	stream, err := newClient(t).Open(t.Context(), server.Addr(), openRelay)
	qt.Assert(t, err, qt.IsNil)
	received := make(chan error, 1)
	go func() { received <- stream.Receive(&wigeonwire.StatusQuery{}) }()
	qt.Assert(t, server.Close(), qt.IsNil)
	qt.Assert(t, <-received, qt.IsNotNil)
	_, err = newClient(t).Open(t.Context(), server.Addr(), openRelay)
	qt.Assert(t, err, qt.ErrorIs, wigeonstep.ErrUnavailable)
}
