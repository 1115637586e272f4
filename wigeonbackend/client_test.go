package wigeonbackend_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonbackend"
)

// scriptedServer is a backend server whose script writes the bytes of each response. The script gets the number of the
// request, counted from 1 over all connections, and returns false to close the connection.
type scriptedServer struct {
	address string
	mu      sync.Mutex
	// received holds all requests in the order of their arrival.
	received []*http.Request
	// accepted counts all connections that were ever accepted.
	accepted int
}

func startScriptedServer(t *testing.T, script func(n int, r *http.Request, body []byte, conn net.Conn) (keep bool)) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &scriptedServer{address: listener.Addr().String()}
	var serving sync.WaitGroup
	t.Cleanup(func() {
		_ = listener.Close()
		serving.Wait()
	})
	serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() { s.serve(conn, script) })
		}
	})
	return s
}

func (s *scriptedServer) serve(conn net.Conn, script func(n int, r *http.Request, body []byte, conn net.Conn) bool) {
	defer conn.Close()
	s.mu.Lock()
	s.accepted++
	s.mu.Unlock()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.received = append(s.received, request)
		n := len(s.received)
		s.mu.Unlock()
		if !script(n, request, body, conn) {
			return
		}
	}
}

func (s *scriptedServer) acceptedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// reply writes a response with the ID of the request. The empty last element of the joined headers adds the line break after
// the last header.
func reply(conn net.Conn, r *http.Request, status string, body string, headers ...string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nWigeonstep-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, r.Header.Get(wigeonstep.HeaderRequestID), strings.Join(append(headers, ""), "\r\n"), len(body), body)
}

func call(client *wigeonbackend.Client, address string, id string, timeout time.Duration) wigeonstep.BackendResult {
	return client.Call(context.Background(), wigeonstep.BackendCall{
		Address: address, VM: "vm", Epoch: 7,
		Request: &wigeonstep.Request{
			ID: wigeonstep.RequestID(id), Method: http.MethodPost, Path: "/order?n=1", Body: []byte("body of " + id), ContentType: "text/plain",
			Team: "wax", Class: "order", Key: "key-1", Deadline: time.Now().Add(timeout),
		},
	})
}

// TestCall guards against requests without the headers that a backend server relies on, and against a new connection for
// each of several sequential requests.
func TestCall(t *testing.T) {
	c := qt.New(t)
	s := startScriptedServer(t, func(_ int, r *http.Request, body []byte, conn net.Conn) bool {
		reply(conn, r, "200 OK", "answer to "+string(body), "Content-Type: text/x")
		return true
	})
	client := wigeonbackend.New(wigeonbackend.Config{})
	defer client.Close()
	for i := range 3 {
		id := fmt.Sprintf("r%d", i)
		got := call(client, s.address, id, time.Second)
		c.Assert(got.Err, qt.IsNil)
		c.Assert(got.Verdict, qt.Equals, wigeonstep.BackendAnswered)
		c.Assert(string(got.Body), qt.Equals, "answer to body of "+id)
		c.Assert(got.ContentType, qt.Equals, "text/x")
	}
	c.Assert(s.acceptedCount(), qt.Equals, 1)
	h := s.received[0].Header
	c.Assert(s.received[0].RequestURI, qt.Equals, "/order?n=1")
	c.Assert(h.Get(wigeonstep.HeaderFence), qt.Equals, "7")
	c.Assert(h.Get(wigeonstep.HeaderTeam), qt.Equals, "wax")
	c.Assert(h.Get(wigeonstep.HeaderClass), qt.Equals, "order")
	c.Assert(h.Get(wigeonstep.HeaderIdempotencyKey), qt.Equals, "key-1")
	c.Assert(h.Get("Content-Type"), qt.Equals, "text/plain")
	// Of the deadline of 1 s, at most 100 ms may pass until the request is encoded.
	c.Assert(h.Get(wigeonstep.HeaderDeadlineMS), qt.Matches, "9[0-9][0-9]|1000")
}

// TestVerdicts guards against a wrong classification of an attempt: a false not_run loses an order, and a false whole
// gives a caller the response to another caller's request.
func TestVerdicts(t *testing.T) {
	for _, test := range []struct {
		name     string
		script   func(r *http.Request, conn net.Conn)
		verdict  wigeonstep.BackendVerdict
		leaving  bool
		timedOut bool
		reused   bool
	}{
		{name: "whole", verdict: wigeonstep.BackendAnswered, reused: true, script: func(r *http.Request, conn net.Conn) {
			reply(conn, r, "200 OK", "body")
		}},
		{name: "chunked", verdict: wigeonstep.BackendAnswered, reused: true, script: func(_ *http.Request, conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")
		}},
		{name: "busy 429", verdict: wigeonstep.BackendBusy, reused: true, script: func(r *http.Request, conn net.Conn) {
			reply(conn, r, "429 Too Many Requests", "")
		}},
		{name: "busy not_run", verdict: wigeonstep.BackendBusy, reused: true, script: func(r *http.Request, conn net.Conn) {
			reply(conn, r, "503 Service Unavailable", "", "Wigeonstep-Outcome: not_run")
		}},
		{name: "leaving not_run", verdict: wigeonstep.BackendLeaving, leaving: true, reused: true, script: func(r *http.Request, conn net.Conn) {
			reply(conn, r, "503 Service Unavailable", "", "Wigeonstep-Outcome: not_run", "Wigeonstep-Leaving: 1")
		}},
		{name: "closing 503 without an outcome", verdict: wigeonstep.BackendAnswered, leaving: true, script: func(r *http.Request, conn net.Conn) {
			reply(conn, r, "503 Service Unavailable", "", "Connection: close")
		}},
		{name: "whole and leaving", verdict: wigeonstep.BackendAnswered, leaving: true, reused: true, script: func(r *http.Request, conn net.Conn) {
			reply(conn, r, "200 OK", "body", "Wigeonstep-Leaving: 1")
		}},
		{name: "answer of another request", verdict: wigeonstep.BackendOutcomeUnknown, script: func(_ *http.Request, conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nWigeonstep-Request-Id: other\r\nContent-Length: 4\r\n\r\nbody")
		}},
		{name: "refusal of another request", verdict: wigeonstep.BackendOutcomeUnknown, script: func(_ *http.Request, conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 429 Busy\r\nWigeonstep-Request-Id: other\r\nContent-Length: 0\r\n\r\n")
		}},
		{name: "no answer", verdict: wigeonstep.BackendOutcomeUnknown, script: func(_ *http.Request, conn net.Conn) {
			_ = conn.Close()
		}},
		{name: "cut in the header", verdict: wigeonstep.BackendOutcomeUnknown, script: func(_ *http.Request, conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Le")
			_ = conn.Close()
		}},
		{name: "cut in the body", verdict: wigeonstep.BackendOutcomeUnknown, script: func(_ *http.Request, conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nbody")
			_ = conn.Close()
		}},
		{name: "cut before the last chunk", verdict: wigeonstep.BackendOutcomeUnknown, script: func(_ *http.Request, conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n")
			_ = conn.Close()
		}},
		{name: "no length", verdict: wigeonstep.BackendOutcomeUnknown, script: func(_ *http.Request, conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nbody")
			_ = conn.Close()
		}},
		{name: "too large", verdict: wigeonstep.BackendOutcomeUnknown, script: func(r *http.Request, conn net.Conn) {
			reply(conn, r, "200 OK", strings.Repeat("x", 2000))
		}},
		{name: "garbage", verdict: wigeonstep.BackendOutcomeUnknown, script: func(_ *http.Request, conn net.Conn) {
			_, _ = io.WriteString(conn, "what?\r\n\r\n")
		}},
		{name: "late", verdict: wigeonstep.BackendOutcomeUnknown, timedOut: true, script: func(_ *http.Request, conn net.Conn) {
			_, _ = conn.Read(make([]byte, 1))
		}},
		{name: "longer than announced", verdict: wigeonstep.BackendAnswered, script: func(r *http.Request, conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nWigeonstep-Request-Id: %s\r\nContent-Length: 4\r\n\r\nbodyHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", r.Header.Get(wigeonstep.HeaderRequestID))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := startScriptedServer(t, func(n int, r *http.Request, _ []byte, conn net.Conn) bool {
				if n == 1 {
					test.script(r, conn)
				} else {
					reply(conn, r, "200 OK", "second")
				}
				return true
			})
			client := wigeonbackend.New(wigeonbackend.Config{MaxBody: 1000})
			defer client.Close()
			timeout := 5 * time.Second
			if test.timedOut {
				timeout = time.Second
			}
			got := call(client, s.address, "first", timeout)
			c.Assert(got.Verdict, qt.Equals, test.verdict, qt.Commentf("%v", got.Err))
			c.Assert(got.Leaving, qt.Equals, test.leaving)
			c.Assert(got.TimedOut, qt.Equals, test.timedOut, qt.Commentf("%v", got.Err))
			if test.verdict == wigeonstep.BackendAnswered {
				c.Assert(got.Err, qt.IsNil)
			} else {
				var step *wigeonstep.StepError
				c.Assert(errors.As(got.Err, &step), qt.IsTrue)
				c.Assert(step.Peer, qt.Equals, s.address)
			}
			second := call(client, s.address, "second", 5*time.Second)
			c.Assert(second.Err, qt.IsNil)
			c.Assert(string(second.Body), qt.Equals, "second")
			c.Assert(s.acceptedCount() == 1, qt.Equals, test.reused)
		})
	}
}

// TestNotSent guards against an attempt of which nothing was sent that counts as one that may have run.
func TestNotSent(t *testing.T) {
	c := qt.New(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(closed.Close(), qt.IsNil)
	client := wigeonbackend.New(wigeonbackend.Config{})
	defer client.Close()
	got := call(client, closed.Addr().String(), "r1", time.Second)
	c.Assert(got.Verdict, qt.Equals, wigeonstep.BackendNotSent)
	c.Assert(errors.Is(got.Err, wigeonstep.ErrUnavailable), qt.IsTrue)
	got = call(client, closed.Addr().String(), "r2", -time.Second)
	c.Assert(got.Verdict, qt.Equals, wigeonstep.BackendNotSent)
	c.Assert(got.TimedOut, qt.IsTrue)
}

// TestIdleConnectionClosed guards against a request that is sent on an idle connection which the backend server has
// closed: it would fail, and it would be unknown whether it ran.
func TestIdleConnectionClosed(t *testing.T) {
	c := qt.New(t)
	closing := make(chan struct{})
	s := startScriptedServer(t, func(n int, r *http.Request, _ []byte, conn net.Conn) bool {
		reply(conn, r, "200 OK", fmt.Sprint(n))
		if n > 1 {
			return true
		}
		_ = conn.Close()
		close(closing)
		return false
	})
	client := wigeonbackend.New(wigeonbackend.Config{})
	defer client.Close()
	c.Assert(string(call(client, s.address, "r1", time.Second).Body), qt.Equals, "1")
	<-closing
	got := call(client, s.address, "r2", time.Second)
	c.Assert(got.Err, qt.IsNil)
	c.Assert(string(got.Body), qt.Equals, "2")
}

// TestLateAnswer guards against the response to a request that timed out being read as the response to a later request.
func TestLateAnswer(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	s := startScriptedServer(t, func(n int, r *http.Request, body []byte, conn net.Conn) bool {
		if n == 1 {
			<-release
		}
		reply(conn, r, "200 OK", string(body))
		return true
	})
	client := wigeonbackend.New(wigeonbackend.Config{})
	defer client.Close()
	got := call(client, s.address, "slow", time.Second)
	c.Assert(got.Verdict, qt.Equals, wigeonstep.BackendOutcomeUnknown)
	c.Assert(got.TimedOut, qt.IsTrue)
	close(release)
	for i := range 10 {
		id := fmt.Sprintf("next%d", i)
		c.Assert(string(call(client, s.address, id, 10*time.Second).Body), qt.Equals, "body of "+id)
	}
}

// TestCancelledCall guards against an attempt that continues after its context was cancelled, and against one that was sent
// and is reported as not run.
func TestCancelledCall(t *testing.T) {
	c := qt.New(t)
	arrived := make(chan struct{})
	s := startScriptedServer(t, func(_ int, _ *http.Request, _ []byte, conn net.Conn) bool {
		close(arrived)
		_, _ = conn.Read(make([]byte, 1))
		return false
	})
	client := wigeonbackend.New(wigeonbackend.Config{})
	defer client.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	got := client.Call(ctx, wigeonstep.BackendCall{Address: s.address, Request: &wigeonstep.Request{ID: "r", Method: http.MethodGet, Path: "/"}})
	c.Assert(got.Verdict, qt.Equals, wigeonstep.BackendOutcomeUnknown)
	c.Assert(got.TimedOut, qt.IsFalse)
	c.Assert(errors.Is(got.Err, context.Canceled), qt.IsTrue)
}
