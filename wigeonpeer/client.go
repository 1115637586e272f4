package wigeonpeer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const stepCall = "peer call"

// Client calls peers over one yamux session for each address. The zero value is ready to use. Its methods are safe for
// concurrent use; its fields must be set before the first call.
type Client struct {
	// DialTimeout bounds one attempt to connect, default 1 s.
	DialTimeout time.Duration
	// CallTimeout bounds a call whose context has no deadline, default 5 s.
	CallTimeout time.Duration
	// WriteTimeout bounds a write to a connection whose peer does not read, and the wait for the reply to a ping, default
	// 5 s.
	WriteTimeout time.Duration
	// MinRedialDelay and MaxRedialDelay bound the exponential delay after failures to connect, before jitter, default
	// 50 ms and 2 s.
	MinRedialDelay time.Duration
	MaxRedialDelay time.Duration
	// Dial connects to an address, default over TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu     sync.Mutex
	links  map[string]*link
	closed bool
}

// Call sends the request to the peer at the address (host:port) and returns its response.
//
// The error is a *wigeonstep.StepError. It wraps ErrUnavailable when the request was not delivered and will not be,
// ErrAnswerLost when it may have been delivered, and ErrRejected when the request is oversized or the peer answered with
// an error.
func (c *Client) Call(ctx context.Context, address string, request *wigeonwire.PeerRequest) (*wigeonwire.PeerResponse, error) {
	response, err := c.call(ctx, address, request)
	if err != nil {
		return nil, &wigeonstep.StepError{Step: stepCall, Peer: address, Err: err}
	}
	return response, nil
}

func (c *Client) call(ctx context.Context, address string, request *wigeonwire.PeerRequest) (*wigeonwire.PeerResponse, error) {
	frame, err := encodeFrame(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", wigeonstep.ErrRejected, err)
	}
	if _, hasDeadline := ctx.Deadline(); !hasDeadline {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, orDefault(c.CallTimeout, 5*time.Second))
		defer cancel()
	}
	l, err := c.link(address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", wigeonstep.ErrUnavailable, err)
	}
	session, err := l.sessionOrDial(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", wigeonstep.ErrUnavailable, err)
	}
	response, err := exchange(ctx, session, frame)
	if err != nil {
		if ctx.Err() != nil {
			l.checkSession(session)
		}
		return nil, err
	}
	if response.GetError() != "" {
		return nil, fmt.Errorf("%w: %s", wigeonstep.ErrRejected, response.GetError())
	}
	return response, nil
}

// Close closes all sessions. Calls in flight and later calls fail.
func (c *Client) Close() error {
	c.mu.Lock()
	links := c.links
	c.links, c.closed = nil, true
	c.mu.Unlock()
	for _, l := range links {
		l.close()
	}
	return nil
}

// Forget closes the session with the address and drops its redial delay. A later call dials again.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	l := c.links[address]
	delete(c.links, address)
	c.mu.Unlock()
	if l != nil {
		l.close()
	}
}

// link returns the link to the address, which it creates when there is none.
func (c *Client) link(address string) (*link, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.New("the client is closed")
	}
	l := c.links[address]
	if l == nil {
		if c.links == nil {
			c.links = map[string]*link{}
		}
		l = newLink(c, address)
		c.links[address] = l
	}
	return l, nil
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, orDefault(c.DialTimeout, time.Second))
	defer cancel()
	if c.Dial != nil {
		return c.Dial(ctx, address)
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}

// The states of an attempt. It leaves attemptUnsent once, by compare-and-swap: to attemptSent before the first byte is
// written, or to attemptAbandoned when the context ends before that.
const (
	attemptUnsent int32 = iota
	attemptSent
	attemptAbandoned
)

type exchangeResult struct {
	response *wigeonwire.PeerResponse
	err      error
}

// exchange sends the frame on a new stream and reads the response. It returns when ctx ends, even while yamux blocks.
func exchange(ctx context.Context, session *yamux.Session, frame []byte) (*wigeonwire.PeerResponse, error) {
	var state atomic.Int32
	done := make(chan exchangeResult, 1)
	go func() {
		response, err := exchangeOnStream(ctx, session, frame, &state)
		done <- exchangeResult{response, err}
	}()
	select {
	case result := <-done:
		return result.response, result.err
	case <-ctx.Done():
		if state.CompareAndSwap(attemptUnsent, attemptAbandoned) {
			return nil, fmt.Errorf("%w: %w", wigeonstep.ErrUnavailable, ctx.Err())
		}
		return nil, fmt.Errorf("%w: %w", wigeonstep.ErrAnswerLost, ctx.Err())
	}
}

// exchangeOnStream is the part of exchange that may block. It sends nothing when the attempt was abandoned.
func exchangeOnStream(ctx context.Context, session *yamux.Session, frame []byte, state *atomic.Int32) (*wigeonwire.PeerResponse, error) {
	stream, err := session.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("%w: open stream: %w", wigeonstep.ErrUnavailable, err)
	}
	defer stream.Close() //nolint:errcheck // a failure ends the session, which reports it
	if !state.CompareAndSwap(attemptUnsent, attemptSent) {
		return nil, ctx.Err()
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := stream.Write(frame); err != nil {
		return nil, fmt.Errorf("%w: write request: %w", wigeonstep.ErrAnswerLost, err)
	}
	response := &wigeonwire.PeerResponse{}
	if err := readFrame(stream, response); err != nil {
		return nil, fmt.Errorf("%w: read response: %w", wigeonstep.ErrAnswerLost, err)
	}
	return response, nil
}
