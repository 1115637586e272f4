package wigeonpeer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/yamux"
)

// link holds the one session of a client with an address.
type link struct {
	client  *Client
	address string
	// dialing has room for one, so that one caller at a time dials.
	dialing chan struct{}

	mu       sync.Mutex
	session  *yamux.Session
	checking bool
	closed   bool
	delays   *backoff.ExponentialBackOff
	retryAt  time.Time
	lastErr  error
}

func newLink(client *Client, address string) *link {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = orDefault(client.MinRedialDelay, 50*time.Millisecond)
	delays.MaxInterval = orDefault(client.MaxRedialDelay, 2*time.Second)
	delays.RandomizationFactor = 0.5
	delays.Reset()
	return &link{client: client, address: address, dialing: make(chan struct{}, 1), delays: delays}
}

// open returns the session, and dials when there is none. While the delay after a failure runs, it fails at once.
func (l *link) open(ctx context.Context) (*yamux.Session, error) {
	if session, err := l.current(); session != nil || err != nil {
		return session, err
	}
	select {
	case l.dialing <- struct{}{}:
		defer func() { <-l.dialing }()
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for the connection: %w", ctx.Err())
	}
	if session, err := l.current(); session != nil || err != nil {
		return session, err
	}
	return l.connect(ctx)
}

// current returns the open session, or an error while no dial is allowed, or neither.
func (l *link) current() (*yamux.Session, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, errors.New("the connection was closed by this process")
	}
	if l.session != nil && !l.session.IsClosed() {
		return l.session, nil
	}
	l.session = nil
	if wait := time.Until(l.retryAt); wait > 0 {
		return nil, fmt.Errorf("the next attempt to connect is in %s: %w", wait.Round(time.Millisecond), l.lastErr)
	}
	return nil, nil
}

func (l *link) connect(ctx context.Context) (*yamux.Session, error) {
	conn, err := l.client.dial(ctx, l.address)
	if err != nil {
		// A caller that gave up early says nothing about the peer.
		if !errors.Is(ctx.Err(), context.Canceled) {
			l.failed(err)
		}
		return nil, fmt.Errorf("connect: %w", err)
	}
	session, err := yamux.Client(conn, sessionConfig(orDefault(l.client.WriteTimeout, defaultWriteTimeout)))
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("start session: %w", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = session.Close()
		return nil, errors.New("the connection was closed by this process")
	}
	l.session = session
	l.retryAt, l.lastErr = time.Time{}, nil
	l.delays.Reset()
	return session, nil
}

func (l *link) failed(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastErr = err
	l.retryAt = time.Now().Add(l.delays.NextBackOff())
}

// check pings the session after a call timed out and closes it when no answer comes within WriteTimeout, so that a peer
// behind a dead connection does not cost every later call its whole timeout.
func (l *link) check(session *yamux.Session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.checking || l.closed {
		return
	}
	l.checking = true
	go func() {
		if _, err := session.Ping(); err != nil {
			_ = session.Close()
		}
		l.mu.Lock()
		l.checking = false
		l.mu.Unlock()
	}()
}

func (l *link) close() {
	l.mu.Lock()
	session := l.session
	l.session, l.closed = nil, true
	l.mu.Unlock()
	if session != nil {
		_ = session.Close()
	}
}
