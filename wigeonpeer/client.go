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

// Client calls peers over one session for each address. The zero value works and is safe for concurrent use.
type Client struct {
	// DialTimeout bounds one attempt to connect, default 1 s.
	DialTimeout time.Duration
	// CallTimeout bounds a call whose context has no deadline, default 5 s.
	CallTimeout time.Duration
	// WriteTimeout bounds a write to a connection that takes no bytes, and the wait for the answer to a ping, default 5 s.
	WriteTimeout time.Duration
	// MinRedialDelay and MaxRedialDelay bound the delay, with jitter, after a failure to connect, default 50 ms and 2 s.
	MinRedialDelay time.Duration
	MaxRedialDelay time.Duration
	// Dial connects to an address, default TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu     sync.Mutex
	links  map[string]*link
	closed bool
}

// Call sends the request to the peer at the address (host:port) and returns its response.
//
// The error is a *wigeonstep.StepError. It wraps ErrUnavailable when the request was certainly not delivered and never
// will be, ErrAnswerLost when it may have been delivered, and ErrRejected when the peer answered with an error.
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
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, orDefault(c.CallTimeout, 5*time.Second))
		defer cancel()
	}
	l, err := c.link(address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", wigeonstep.ErrUnavailable, err)
	}
	session, err := l.open(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", wigeonstep.ErrUnavailable, err)
	}
	response, err := exchange(ctx, session, frame)
	if err != nil {
		if ctx.Err() != nil {
			l.check(session)
		}
		return nil, err
	}
	if response.GetError() != "" {
		return nil, fmt.Errorf("%w: %s", wigeonstep.ErrRejected, response.GetError())
	}
	return response, nil
}

// Close closes all sessions. Calls in flight fail.
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

// Forget closes the session with an address that is no longer in use.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	l := c.links[address]
	delete(c.links, address)
	c.mu.Unlock()
	if l != nil {
		l.close()
	}
}

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

func orDefault(value, otherwise time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return otherwise
}

// The states of an attempt. Only the goroutine that moves the attempt out of attemptIdle decides whether it is sent.
const (
	attemptIdle int32 = iota
	attemptSent
	attemptAbandoned
)

type exchangeResult struct {
	response *wigeonwire.PeerResponse
	err      error
}

// exchange sends the frame on a new stream and reads the response. It returns when ctx ends even when yamux blocks.
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
		if state.CompareAndSwap(attemptIdle, attemptAbandoned) {
			return nil, fmt.Errorf("%w: %w", wigeonstep.ErrUnavailable, ctx.Err())
		}
		return nil, fmt.Errorf("%w: %w", wigeonstep.ErrAnswerLost, ctx.Err())
	}
}

func exchangeOnStream(ctx context.Context, session *yamux.Session, frame []byte, state *atomic.Int32) (*wigeonwire.PeerResponse, error) {
	stream, err := session.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("%w: open stream: %w", wigeonstep.ErrUnavailable, err)
	}
	defer stream.Close() //nolint:errcheck // the session reports the failure
	if !state.CompareAndSwap(attemptIdle, attemptSent) {
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
