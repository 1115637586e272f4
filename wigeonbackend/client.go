// Package wigeonbackend sends requests to backend servers over HTTP/1.1 and classifies each attempt. It returns a
// response only when that is complete and belongs to the request.
//
// Hertz encodes and decodes the messages. This package pools the connections itself, because the verdict on an attempt
// depends on whether any byte of the request was written, which the client of hertz does not report.
package wigeonbackend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/ext"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"github.com/wigeonstep/wigeonstep"
)

var (
	errRequestIDMismatch = errors.New("the response belongs to another request")
	errUnknownLength     = errors.New("the response has neither Content-Length nor chunked encoding, so its end is unknown")
	errLeavingNotRun     = errors.New("the backend server is leaving and did not run the request")
	errBusyNotRun        = errors.New("the backend server is at capacity and did not run the request")
	errDeadlinePassed    = errors.New("the deadline had passed before the request was sent")
)

// Config configures a Client. The zero value is usable.
type Config struct {
	// DialTimeout bounds one attempt to connect, default 1 s.
	DialTimeout time.Duration
	// CallTimeout bounds an attempt whose request has no deadline, default 60 s.
	CallTimeout time.Duration
	// MaxIdle is the maximum number of idle connections for each address, default 64.
	MaxIdle int
	// MaxIdleTime bounds the time from the start of the last request on a connection to its reuse, default 30 s.
	MaxIdleTime time.Duration
	// MaxBody bounds the body of a response in bytes, default 8 MB.
	MaxBody int
	// Now returns the wall clock time, default time.Now.
	Now func() time.Time
}

// Client implements wigeonstep.Backend. It is safe for concurrent use.
type Client struct {
	config Config
	dialer net.Dialer
	pools  sync.Map // address to *idlePool
}

// New returns a Client with the defaults of Config applied.
func New(config Config) *Client {
	if config.DialTimeout <= 0 {
		config.DialTimeout = time.Second
	}
	if config.CallTimeout <= 0 {
		config.CallTimeout = time.Minute
	}
	if config.MaxIdle <= 0 {
		config.MaxIdle = 64
	}
	if config.MaxIdleTime <= 0 {
		config.MaxIdleTime = 30 * time.Second
	}
	if config.MaxBody <= 0 {
		config.MaxBody = 8 << 20
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Client{config: config}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.pools.Range(func(key, value any) bool {
		value.(*idlePool).closeAll()
		c.pools.Delete(key)
		return true
	})
}

// Call sends the request once, without retries, and classifies the response. A request without a deadline gets
// CallTimeout. The end of ctx ends the attempt.
func (c *Client) Call(ctx context.Context, call wigeonstep.BackendCall) wigeonstep.BackendResult {
	now := c.config.Now()
	deadline := call.Request.Deadline
	if deadline.IsZero() {
		deadline = now.Add(c.config.CallTimeout)
	}
	if !deadline.After(now) {
		r := failedResult(wigeonstep.BackendNotSent, "backend send", call.Address, errDeadlinePassed)
		r.TimedOut = true
		return r
	}
	cn, err := c.connect(ctx, call.Address, now, deadline)
	if err != nil {
		return failedResult(wigeonstep.BackendNotSent, "backend connect", call.Address, err)
	}
	var stopWatching func() bool
	if ctx.Done() != nil {
		stopWatching = context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	}
	result, reusable := c.exchange(cn, call, now, deadline)
	if stopWatching != nil && !stopWatching() {
		// ctx has ended, so the connection has, or is about to get, a deadline in the past.
		reusable = false
		if result.Err != nil {
			result.Err = fmt.Errorf("%w: %w", result.Err, context.Cause(ctx))
			result.TimedOut = errors.Is(ctx.Err(), context.DeadlineExceeded)
		}
	}
	if !reusable {
		_ = cn.Close()
		return result
	}
	cn.reader.shrink()
	cn.lastUsed = now
	c.pool(call.Address).put(cn, c.config.MaxIdle, now.Add(-c.config.MaxIdleTime))
	return result
}

// pool returns the pool of an address, which it creates when there is none.
func (c *Client) pool(address string) *idlePool {
	if p, ok := c.pools.Load(address); ok {
		return p.(*idlePool)
	}
	p, _ := c.pools.LoadOrStore(address, &idlePool{})
	return p.(*idlePool)
}

// connect returns an idle connection that the backend server has not closed, or dials a new one. It closes expired and
// stale idle connections. A request written to one of those could fail, and it would be unknown whether it ran.
func (c *Client) connect(ctx context.Context, address string, now, deadline time.Time) (*conn, error) {
	p := c.pool(address)
	for cn := p.take(); cn != nil; cn = p.take() {
		if now.Sub(cn.lastUsed) < c.config.MaxIdleTime && !cn.stale() {
			return cn, cn.SetDeadline(deadline)
		}
		_ = cn.Close()
	}
	dialDeadline := now.Add(c.config.DialTimeout)
	if deadline.Before(dialDeadline) {
		dialDeadline = deadline
	}
	dialCtx, cancel := context.WithDeadline(ctx, dialDeadline)
	defer cancel()
	netConn, err := c.dialer.DialContext(dialCtx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", wigeonstep.ErrUnavailable, err)
	}
	return newConn(netConn), netConn.SetDeadline(deadline)
}

// exchange writes the request and reads the response. reusable is true only when the response was read to its end, no
// byte follows it, and the backend server keeps the connection open.
func (c *Client) exchange(cn *conn, call wigeonstep.BackendCall, now, deadline time.Time) (result wigeonstep.BackendResult, reusable bool) {
	encodeRequest(cn, call, deadline.Sub(now))
	if n, err := cn.Write(cn.out); err != nil {
		verdict := wigeonstep.BackendOutcomeUnknown
		if n == 0 {
			verdict = wigeonstep.BackendNotSent
		}
		return failedResult(verdict, "backend send", call.Address, err), false
	}
	httpResponse := protocol.AcquireResponse()
	defer protocol.ReleaseResponse(httpResponse)
	httpResponse.SkipBody = call.Request.Method == http.MethodHead
	if err := resp.ReadHeaders(httpResponse, &cn.reader); err != nil {
		return failedResult(wigeonstep.BackendOutcomeUnknown, "backend receive", call.Address, truncationCause(&cn.reader, err)), false
	}
	if echo := httpResponse.Header.Peek(wigeonstep.HeaderRequestID); len(echo) > 0 && call.Request.ID != "" && string(echo) != string(call.Request.ID) {
		return failedResult(wigeonstep.BackendOutcomeUnknown, "backend receive", call.Address, errRequestIDMismatch), false
	}
	var body []byte
	if !httpResponse.MustSkipBody() {
		length := httpResponse.Header.ContentLength()
		if length < -1 {
			return failedResult(wigeonstep.BackendOutcomeUnknown, "backend receive", call.Address, errUnknownLength), false
		}
		var err error
		if body, err = ext.ReadBody(&cn.reader, length, c.config.MaxBody, nil); err == nil && length == -1 {
			err = ext.ReadTrailer(httpResponse.Header.Trailer(), &cn.reader)
		}
		if err != nil {
			return failedResult(wigeonstep.BackendOutcomeUnknown, "backend receive", call.Address, truncationCause(&cn.reader, err)), false
		}
	}
	result = classifyResponse(httpResponse, body, call.Address)
	return result, cn.reader.Len() == 0 && !httpResponse.Header.ConnectionClose()
}

// encodeRequest writes the request into cn.out: the headers that a backend server relies on, and the body.
func encodeRequest(cn *conn, call wigeonstep.BackendCall, remaining time.Duration) {
	request := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(request)
	h := &request.Header
	h.DisableNormalizing()
	h.SetNoDefaultContentType(true)
	h.SetMethod(call.Request.Method)
	h.SetRequestURI(call.Request.Path)
	h.SetHost(call.Address)
	if call.Request.ContentType != "" {
		h.SetContentTypeBytes([]byte(call.Request.ContentType))
	}
	if call.Request.ID != "" {
		h.Set(wigeonstep.HeaderRequestID, string(call.Request.ID))
	}
	h.Set(wigeonstep.HeaderDeadlineMS, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	h.Set(wigeonstep.HeaderFence, strconv.FormatUint(uint64(call.Epoch), 10))
	if call.Request.Team != "" {
		h.Set(wigeonstep.HeaderTeam, string(call.Request.Team))
		h.Set(wigeonstep.HeaderClass, string(call.Request.Class))
	}
	if call.Request.Key != "" {
		h.Set(wigeonstep.HeaderIdempotencyKey, string(call.Request.Key))
	}
	if len(call.Request.Body) > 0 || !h.IgnoreBody() {
		h.SetContentLength(len(call.Request.Body))
	}
	cn.out = append(append(cn.out[:0], h.Header()...), call.Request.Body...)
}

// classifyResponse returns the verdict on a complete response. Status 429, and 503 with the outcome not_run, mean that
// the request did not run.
func classifyResponse(httpResponse *protocol.Response, body []byte, address string) wigeonstep.BackendResult {
	status := httpResponse.StatusCode()
	result := wigeonstep.BackendResult{
		Verdict:     wigeonstep.BackendAnswered,
		Status:      status,
		ContentType: string(httpResponse.Header.ContentType()),
		Body:        body,
		Leaving:     string(httpResponse.Header.Peek(wigeonstep.HeaderLeaving)) == "1" || (status == http.StatusServiceUnavailable && httpResponse.Header.ConnectionClose()),
	}
	refused := status == http.StatusTooManyRequests ||
		(status == http.StatusServiceUnavailable && string(httpResponse.Header.Peek(wigeonstep.HeaderOutcome)) == string(wigeonstep.OutcomeNotRun))
	if !refused {
		return result
	}
	cause := errBusyNotRun
	result.Verdict = wigeonstep.BackendBusy
	if result.Leaving {
		cause = errLeavingNotRun
		result.Verdict = wigeonstep.BackendLeaving
	}
	result.Err = &wigeonstep.StepError{Step: "backend call", Peer: address, Err: cause}
	return result
}

// failedResult returns the result of an attempt without a complete response.
func failedResult(verdict wigeonstep.BackendVerdict, step, address string, err error) wigeonstep.BackendResult {
	var timeout net.Error
	return wigeonstep.BackendResult{
		Verdict:  verdict,
		TimedOut: errors.Is(err, os.ErrDeadlineExceeded) || (errors.As(err, &timeout) && timeout.Timeout()),
		Err:      &wigeonstep.StepError{Step: step, Peer: address, Err: err},
	}
}

// truncationCause returns the cause of a truncated response. An error of the connection takes precedence over the error
// of the decoder, which hides it.
func truncationCause(r *reader, err error) error {
	switch {
	case r.err == nil:
		return err
	case errors.Is(r.err, io.EOF):
		return fmt.Errorf("the backend server closed the connection before the response was complete: %w", io.ErrUnexpectedEOF)
	default:
		return r.err
	}
}
