package wigeoncaller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeoncaller"
)

// echoHandler answers requests with their own body. Some paths select another outcome; /slow blocks until release is
// closed.
type echoHandler struct {
	release chan struct{}
	started chan struct{}
}

func (e *echoHandler) Serve(_ context.Context, r *wigeonstep.Request) wigeonstep.Response {
	switch r.Path {
	case "/refused":
		return wigeonstep.NotRunResponse(http.StatusTooManyRequests, "the team is over its share", "admission", "pool shop", 1200*time.Millisecond)
	case "/unknown":
		return wigeonstep.UnknownResponse(true, "no answer", "backend call", "vm-1")
	case "/slow":
		e.started <- struct{}{}
		<-e.release
	}
	return wigeonstep.Response{Outcome: wigeonstep.OutcomeDone, Status: http.StatusOK, ContentType: r.ContentType, Body: r.Body}
}

func (e *echoHandler) IssueKeys(_ context.Context, count int) wigeonstep.Response {
	return wigeoncaller.JSON(http.StatusCreated, wigeonstep.OutcomeDone, count)
}

func (e *echoHandler) JobStatus(_ context.Context, job wigeonstep.JobID) wigeonstep.Response {
	return wigeoncaller.JSON(http.StatusOK, wigeonstep.OutcomeDone, "show "+job)
}

func (e *echoHandler) CancelJob(_ context.Context, job wigeonstep.JobID, by string) wigeonstep.Response {
	return wigeoncaller.JSON(http.StatusOK, wigeonstep.OutcomeDone, "cancel "+string(job)+" by "+by)
}

type fixture struct {
	c       *qt.C
	server  *wigeoncaller.Server
	handler *echoHandler
	address string
	logs    *observer.ObservedLogs
	stop    context.CancelFunc
	done    chan error
}

func startServer(t *testing.T) *fixture {
	t.Helper()
	c := qt.New(t)
	core, logs := observer.New(zapcore.WarnLevel)
	f := &fixture{c: c, handler: &echoHandler{release: make(chan struct{}), started: make(chan struct{}, 10)}, logs: logs, done: make(chan error, 1)}
	var err error
	f.server, err = wigeoncaller.New(wigeoncaller.Config{Handler: f.handler, Logger: zap.New(core), MaxBody: 1000})
	c.Assert(err, qt.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	f.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	go func() { f.done <- f.server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		limit, end := context.WithTimeout(context.Background(), 5*time.Second)
		defer end()
		c.Check(f.server.Drain(limit), qt.IsNil)
	})
	return f
}

func (f *fixture) dial() (net.Conn, *bufio.Reader) {
	f.c.Helper()
	conn, err := net.Dial("tcp", f.address)
	f.c.Assert(err, qt.IsNil)
	f.c.Cleanup(func() { _ = conn.Close() })
	return conn, bufio.NewReader(conn)
}

func request(method, path, body string, headers ...string) string {
	lines := append([]string{method + " " + path + " HTTP/1.1", "Host: x", fmt.Sprintf("Content-Length: %d", len(body))}, headers...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

func teamHeaders(headers ...string) []string {
	return append([]string{"Wigeonstep-Team: wax", "Wigeonstep-Class: read"}, headers...)
}

func (f *fixture) roundTrip(text string) (*reply, string) {
	f.c.Helper()
	conn, reader := f.dial()
	_, err := io.WriteString(conn, text)
	f.c.Assert(err, qt.IsNil)
	return f.readResponse(reader, http.MethodPost)
}

// reply is a response whose body was read.
type reply struct{ http.Response }

func (f *fixture) readResponse(reader *bufio.Reader, method string) (*reply, string) {
	f.c.Helper()
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	f.c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	f.c.Assert(err, qt.IsNil)
	return &reply{*response}, string(body)
}

// TestResponses guards against an outcome that reaches the caller with a wrong status, header or body.
func TestResponses(t *testing.T) {
	f := startServer(t)
	for _, test := range []struct {
		name, text string
		status     int
		outcome    wigeonstep.Outcome
		retryAfter string
		body       string
	}{
		{"done", request("POST", "/x", "body", teamHeaders()...), 200, "done", "", "body"},
		{"not run", request("POST", "/refused", "", teamHeaders()...), 429, "not_run", "2", ""},
		{"unknown", request("POST", "/unknown", "", teamHeaders()...), 504, "unknown", "", ""},
		{"one key", request("POST", "/wigeonstep/keys", ""), 201, "done", "", "1\n"},
		{"keys", request("POST", "/wigeonstep/keys?count=7", ""), 201, "done", "", "7\n"},
		{"job", request("GET", "/wigeonstep/jobs/j1", ""), 200, "done", "", "\"show j1\"\n"},
		{"cancel", request("DELETE", "/wigeonstep/jobs/j1", "", teamHeaders()...), 200, "done", "", "\"cancel j1 by wax\"\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			response, body := f.roundTrip(test.text)
			c.Assert(response.StatusCode, qt.Equals, test.status)
			c.Assert(response.Header.Get(wigeonstep.HeaderOutcome), qt.Equals, string(test.outcome))
			c.Assert(response.Header.Get("Retry-After"), qt.Equals, test.retryAfter)
			c.Assert(response.Header.Get(wigeonstep.HeaderRequestID), qt.Not(qt.Equals), "")
			if test.status < 400 {
				c.Assert(body, qt.Equals, test.body)
				return
			}
			var problem struct {
				Reason, Step, Peer, Outcome string
				Status                      int
			}
			c.Assert(json.Unmarshal([]byte(body), &problem), qt.IsNil)
			c.Assert(response.Header.Get("Content-Type"), qt.Equals, "application/problem+json")
			c.Assert(problem.Status, qt.Equals, test.status)
			c.Assert(problem.Reason == "" || problem.Step == "" || problem.Peer == "", qt.IsFalse, qt.Commentf("%s", body))
		})
	}
	f.c.Assert(f.logs.Len(), qt.Equals, 0)
}

// TestBadInput guards against an invalid request that gets a wrong status or reason, or not exactly one log line.
func TestBadInput(t *testing.T) {
	for _, test := range []struct {
		name, text string
		status     int
		reason     string
	}{
		{"no team", request("POST", "/x", ""), 400, ".*Wigeonstep-Team is missing.*"},
		{"no class", request("POST", "/x", "", "Wigeonstep-Team: wax"), 400, ".*Wigeonstep-Class is missing.*"},
		{"long key", request("POST", "/x", "", teamHeaders("Idempotency-Key: "+strings.Repeat("k", 300))...), 400, ".*longer than 200 bytes.*"},
		{"deadline of letters", request("POST", "/x", "", teamHeaders("Wigeonstep-Deadline-Ms: soon")...), 400, ".*whole number of milliseconds"},
		{"deadline past", request("POST", "/x", "", teamHeaders("Wigeonstep-Deadline-Ms: -5")...), 400, "the deadline is already past"},
		{"deadline of years", request("POST", "/x", "", teamHeaders("Wigeonstep-Deadline-Ms: 999999999999")...), 400, "the deadline is longer than 24h0m0s"},
		{"oversized", request("POST", "/x", strings.Repeat("x", 1001), teamHeaders()...), 413, ".*larger than the limit"},
		{"oversized chunks", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n500\r\n" + strings.Repeat("x", 0x500) + "\r\n0\r\n\r\n", 413, ".*larger than the limit"},
		{"too many keys", request("POST", "/wigeonstep/keys?count=5000", ""), 400, "count is not a number from 1 to 1000"},
		{"keys by get", request("GET", "/wigeonstep/keys", ""), 405, "keys are issued by POST"},
		{"no such path", request("GET", "/wigeonstep/other", ""), 404, "there is nothing at this path"},
		{"no job", request("GET", "/wigeonstep/jobs/", ""), 404, "there is nothing at this path"},
		{"job by put", request("PUT", "/wigeonstep/jobs/j1", ""), 405, "a job is shown by GET and cancelled by DELETE"},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := startServer(t)
			response, body := f.roundTrip(test.text)
			f.c.Assert(response.StatusCode, qt.Equals, test.status, qt.Commentf("%s", body))
			f.c.Assert(response.Header.Get(wigeonstep.HeaderOutcome), qt.Equals, "not_run")
			var problem struct{ Reason string }
			f.c.Assert(json.Unmarshal([]byte(body), &problem), qt.IsNil)
			f.c.Assert(problem.Reason, qt.Matches, test.reason)
			f.c.Assert(f.logs.Len(), qt.Equals, 1)
		})
	}
}

// TestConnectionReuse guards against errors on a connection that carries several requests: two requests in one write, a
// body after 100 Continue, and a request ID chosen by the caller.
func TestConnectionReuse(t *testing.T) {
	f := startServer(t)
	conn, reader := f.dial()
	_, err := io.WriteString(conn, request("POST", "/x", "first", teamHeaders("Wigeonstep-Request-Id: mine")...)+request("POST", "/x", "second", teamHeaders()...))
	f.c.Assert(err, qt.IsNil)
	response, body := f.readResponse(reader, http.MethodPost)
	f.c.Assert(body, qt.Equals, "first")
	f.c.Assert(response.Header.Get(wigeonstep.HeaderRequestID), qt.Equals, "mine")
	_, body = f.readResponse(reader, http.MethodPost)
	f.c.Assert(body, qt.Equals, "second")

	head, rest, _ := strings.Cut(request("POST", "/x", "third", teamHeaders("Expect: 100-continue")...), "\r\n\r\n")
	_, err = io.WriteString(conn, head+"\r\n\r\n")
	f.c.Assert(err, qt.IsNil)
	line, err := reader.ReadString('\n')
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(line, qt.Equals, "HTTP/1.1 100 Continue\r\n")
	_, err = reader.ReadString('\n')
	f.c.Assert(err, qt.IsNil)
	_, err = io.WriteString(conn, rest)
	f.c.Assert(err, qt.IsNil)
	_, body = f.readResponse(reader, http.MethodPost)
	f.c.Assert(body, qt.Equals, "third")
}

// TestDrain guards against a graceful stop that leaves idle connections open, cuts off a request in flight, or does not
// ask its caller to close the connection.
func TestDrain(t *testing.T) {
	f := startServer(t)
	_, idle := f.dial()
	conn, busy := f.dial()
	_, err := io.WriteString(conn, request("POST", "/slow", "body", teamHeaders()...))
	f.c.Assert(err, qt.IsNil)
	<-f.handler.started
	f.stop()
	f.c.Assert(<-f.done, qt.IsNil)
	drainErr := make(chan error, 1)
	go func() { drainErr <- f.server.Drain(context.Background()) }()
	_, err = idle.ReadByte()
	f.c.Assert(err, qt.Equals, io.EOF)
	f.c.Assert(f.server.InFlight(), qt.Equals, 1)
	close(f.handler.release)
	response, body := f.readResponse(busy, http.MethodPost)
	f.c.Assert(body, qt.Equals, "body")
	f.c.Assert(response.Close, qt.IsTrue)
	f.c.Assert(<-drainErr, qt.IsNil)
	f.c.Assert(f.server.InFlight(), qt.Equals, 0)
}

// TestDrainServesLateRequest guards against a stop that resets a connection on which a caller sends a request just after
// the stop has begun.
func TestDrainServesLateRequest(t *testing.T) {
	f := startServer(t)
	conn, reader := f.dial()
	_, err := io.WriteString(conn, request("POST", "/echo", "early", teamHeaders()...))
	f.c.Assert(err, qt.IsNil)
	_, body := f.readResponse(reader, http.MethodPost)
	f.c.Assert(body, qt.Equals, "early")
	f.stop()
	f.c.Assert(<-f.done, qt.IsNil)
	drainErr := make(chan error, 1)
	go func() { drainErr <- f.server.Drain(context.Background()) }()
	select {
	case err := <-drainErr:
		f.c.Fatalf("the drain ended with an open connection: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	_, err = io.WriteString(conn, request("POST", "/echo", "late", teamHeaders()...))
	f.c.Assert(err, qt.IsNil)
	response, body := f.readResponse(reader, http.MethodPost)
	f.c.Assert(body, qt.Equals, "late")
	f.c.Assert(response.Close, qt.IsTrue)
	f.c.Assert(<-drainErr, qt.IsNil)
}
