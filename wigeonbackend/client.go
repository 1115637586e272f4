// Package wigeonbackend sends requests to backend servers over HTTP/1.1 and returns whole responses only.
//
// The messages are encoded and decoded by hertz. The connections are pooled here, because the verdict on an
// attempt depends on whether any byte of the request was written, which the client of hertz does not report.
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
	errOtherRequest  = errors.New("the response belongs to another request")
	errNoLength      = errors.New("the response has neither a length nor chunks, so its end cannot be told")
	errLeavingNotRun = errors.New("the backend server is leaving and did not run the request")
	errBusyNotRun    = errors.New("the backend server has no room and did not run the request")
	errDeadlinePast  = errors.New("the deadline had passed before the request was sent")
)

// Config configures a Client. The zero value is usable.
type Config struct {
	// DialTimeout bounds the opening of a connection, default 1 s.
	DialTimeout time.Duration
	// CallTimeout bounds an attempt whose request has no deadline, default 60 s.
	CallTimeout time.Duration
	// MaxIdle is how many idle connections are kept for each address, default 64.
	MaxIdle int
	// MaxIdleTime is how long a connection may be idle before it is closed, default 30 s.
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

// New returns a Client.
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

// Call sends the request once and classifies what came back.
func (c *Client) Call(ctx context.Context, call wigeonstep.BackendCall) wigeonstep.BackendResult {
	now := c.config.Now()
	deadline := call.Request.Deadline
	if deadline.IsZero() {
		deadline = now.Add(c.config.CallTimeout)
	}
	if !deadline.After(now) {
		r := failed(wigeonstep.BackendNotSent, "backend send", call.Address, errDeadlinePast)
		r.TimedOut = true
		return r
	}
	k, err := c.connect(ctx, call.Address, now, deadline)
	if err != nil {
		return failed(wigeonstep.BackendNotSent, "backend connect", call.Address, err)
	}
	var unwatch func() bool
	if ctx.Done() != nil {
		unwatch = context.AfterFunc(ctx, func() { _ = k.SetDeadline(time.Unix(1, 0)) })
	}
	result, reusable := c.exchange(k, call, now, deadline)
	if unwatch != nil && !unwatch() {
		reusable = false
		if result.Err != nil {
			result.Err = fmt.Errorf("%w: %w", result.Err, context.Cause(ctx))
			result.TimedOut = errors.Is(ctx.Err(), context.DeadlineExceeded)
		}
	}
	if !reusable {
		_ = k.Close()
		return result
	}
	k.reader.shrink()
	k.idleSince = now
	c.pool(call.Address).put(k, c.config.MaxIdle, now.Add(-c.config.MaxIdleTime))
	return result
}

func (c *Client) pool(address string) *idlePool {
	if p, ok := c.pools.Load(address); ok {
		return p.(*idlePool)
	}
	p, _ := c.pools.LoadOrStore(address, &idlePool{})
	return p.(*idlePool)
}

// connect returns a connection whose peer has not closed it. An idle connection that turns out closed is dropped before any byte is written to it.
func (c *Client) connect(ctx context.Context, address string, now, deadline time.Time) (*conn, error) {
	p := c.pool(address)
	for k := p.take(); k != nil; k = p.take() {
		if now.Sub(k.idleSince) < c.config.MaxIdleTime && !k.stale() {
			return k, k.SetDeadline(deadline)
		}
		_ = k.Close()
	}
	limit := now.Add(c.config.DialTimeout)
	if deadline.Before(limit) {
		limit = deadline
	}
	dialCtx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	tcp, err := c.dialer.DialContext(dialCtx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", wigeonstep.ErrUnavailable, err)
	}
	return newConn(tcp), tcp.SetDeadline(deadline)
}

// exchange writes the request and reads the response. reusable is true only when the connection is at the start of the next response.
func (c *Client) exchange(k *conn, call wigeonstep.BackendCall, now, deadline time.Time) (result wigeonstep.BackendResult, reusable bool) {
	encode(k, call, deadline.Sub(now))
	if n, err := k.Write(k.out); err != nil {
		verdict := wigeonstep.BackendLost
		if n == 0 {
			verdict = wigeonstep.BackendNotSent
		}
		return failed(verdict, "backend send", call.Address, err), false
	}
	answer := protocol.AcquireResponse()
	defer protocol.ReleaseResponse(answer)
	answer.SkipBody = call.Request.Method == http.MethodHead
	if err := resp.ReadHeaders(answer, &k.reader); err != nil {
		return failed(wigeonstep.BackendLost, "backend receive", call.Address, incomplete(&k.reader, err)), false
	}
	if echo := answer.Header.Peek(wigeonstep.HeaderRequestID); len(echo) > 0 && call.Request.ID != "" && string(echo) != string(call.Request.ID) {
		return failed(wigeonstep.BackendLost, "backend receive", call.Address, errOtherRequest), false
	}
	var body []byte
	if !answer.MustSkipBody() {
		length := answer.Header.ContentLength()
		if length < -1 {
			return failed(wigeonstep.BackendLost, "backend receive", call.Address, errNoLength), false
		}
		var err error
		if body, err = ext.ReadBody(&k.reader, length, c.config.MaxBody, nil); err == nil && length == -1 {
			err = ext.ReadTrailer(answer.Header.Trailer(), &k.reader)
		}
		if err != nil {
			return failed(wigeonstep.BackendLost, "backend receive", call.Address, incomplete(&k.reader, err)), false
		}
	}
	result = classify(answer, body, call.Address)
	return result, k.reader.Len() == 0 && !answer.Header.ConnectionClose()
}

func encode(k *conn, call wigeonstep.BackendCall, left time.Duration) {
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
	h.Set(wigeonstep.HeaderDeadlineMS, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
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
	k.out = append(append(k.out[:0], h.Header()...), call.Request.Body...)
}

func classify(answer *protocol.Response, body []byte, address string) wigeonstep.BackendResult {
	status := answer.StatusCode()
	result := wigeonstep.BackendResult{
		Verdict:     wigeonstep.BackendWhole,
		Status:      status,
		ContentType: string(answer.Header.ContentType()),
		Body:        body,
		Leaving:     string(answer.Header.Peek(wigeonstep.HeaderLeaving)) == "1" || (status == http.StatusServiceUnavailable && answer.Header.ConnectionClose()),
	}
	refused := status == http.StatusTooManyRequests ||
		(status == http.StatusServiceUnavailable && string(answer.Header.Peek(wigeonstep.HeaderOutcome)) == string(wigeonstep.OutcomeNotRun))
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

func failed(verdict wigeonstep.BackendVerdict, step, address string, err error) wigeonstep.BackendResult {
	var timeout net.Error
	return wigeonstep.BackendResult{
		Verdict:  verdict,
		TimedOut: errors.Is(err, os.ErrDeadlineExceeded) || (errors.As(err, &timeout) && timeout.Timeout()),
		Err:      &wigeonstep.StepError{Step: step, Peer: address, Err: err},
	}
}

// incomplete returns the cause of a response that ended early. A cause of the connection comes before the decoder's own words.
func incomplete(r *reader, err error) error {
	switch {
	case r.err == nil:
		return err
	case errors.Is(r.err, io.EOF):
		return fmt.Errorf("the connection closed before the whole response arrived: %w", io.ErrUnexpectedEOF)
	default:
		return r.err
	}
}
