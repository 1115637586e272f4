package wigeonpeer_test

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonfollow"
	"github.com/wigeonstep/wigeonstep/wigeonpeer"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

var _ wigeonfollow.RecordSource = (*wigeonpeer.RecordSource)(nil)

func status(view string) *wigeonwire.PeerRequest {
	return &wigeonwire.PeerRequest{Body: &wigeonwire.PeerRequest_Status{Status: &wigeonwire.StatusQuery{View: view}}}
}

// echo answers a status query with its view.
func echo(_ context.Context, request *wigeonwire.PeerRequest) *wigeonwire.PeerResponse {
	return &wigeonwire.PeerResponse{Body: &wigeonwire.PeerResponse_Status{
		Status: &wigeonwire.StatusData{Json: []byte(request.GetStatus().GetView())},
	}}
}

func serve(t testing.TB, address string, handler wigeonpeer.HandlerFunc) (*wigeonpeer.Server, *observer.ObservedLogs) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	core, logs := observer.New(zapcore.DebugLevel)
	server := wigeonpeer.NewServer(listener, handler, zap.New(core))
	var serving sync.WaitGroup
	serving.Go(func() { qt.Check(t, server.Serve(), qt.IsNil) })
	t.Cleanup(func() {
		qt.Check(t, server.Close(), qt.IsNil)
		serving.Wait()
	})
	return server, logs
}

func newClient(t testing.TB) *wigeonpeer.Client {
	t.Helper()
	client := &wigeonpeer.Client{MinRedialDelay: time.Millisecond, MaxRedialDelay: 5 * time.Millisecond}
	t.Cleanup(func() { _ = client.Close() })
	return client
}

// Guards against responses that reach the wrong call, and against messages that do not fit into one yamux window.
func TestCallsShareOneSession(t *testing.T) {
	server, _ := serve(t, "127.0.0.1:0", echo)
	client := newClient(t)
	var calls sync.WaitGroup
	for i := range 32 {
		calls.Go(func() {
			want := strings.Repeat(string(rune('a'+i%26)), 1+i*32<<10)
			response, err := client.Call(context.Background(), server.Addr(), status(want))
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, string(response.GetStatus().GetJson()) == want, qt.IsTrue)
		})
	}
	calls.Wait()
}

// Guards against a connect failure that looks as if the request could have been delivered.
func TestCallWithoutListener(t *testing.T) {
	client := newClient(t)
	_, err := client.Call(context.Background(), "127.0.0.1:1", status("x"))
	qt.Assert(t, err, qt.ErrorIs, wigeonstep.ErrUnavailable)
	var step *wigeonstep.StepError
	qt.Assert(t, err, qt.ErrorAs, &step)
	qt.Assert(t, step.Peer, qt.Equals, "127.0.0.1:1")
}
