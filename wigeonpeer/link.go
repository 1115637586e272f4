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

// link is the connection of a client to one address: at most one yamux session, and the delay before the next dial.
type link struct {
	client  *Client
	address string
	// dialing is a semaphore of capacity 1, so that one call at a time dials.
	dialing chan struct{}

	mu      sync.Mutex
	session *yamux.Session
	// pinging is set while a ping is in flight, on the current session or on a former one.
	pinging       bool
	closed        bool
	redialBackoff *backoff.ExponentialBackOff
	// retryAt is the earliest time of the next dial and lastErr the last dial error; both are zero after a successful dial.
	retryAt time.Time
	lastErr error
}

func newLink(client *Client, address string) *link {
	redialBackoff := backoff.NewExponentialBackOff()
	redialBackoff.InitialInterval = orDefault(client.MinRedialDelay, 50*time.Millisecond)
	redialBackoff.MaxInterval = orDefault(client.MaxRedialDelay, 2*time.Second)
	redialBackoff.RandomizationFactor = 0.5
	redialBackoff.Reset()
	return &link{client: client, address: address, dialing: make(chan struct{}, 1), redialBackoff: redialBackoff}
}

// sessionOrDial returns the open session, or dials when there is none. During the delay after a failed dial it returns an
// error at once.
func (l *link) sessionOrDial(ctx context.Context) (*yamux.Session, error) {
	if session, err := l.currentSession(); session != nil || err != nil {
		return session, err
	}
	select {
	case l.dialing <- struct{}{}:
		defer func() { <-l.dialing }()
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for another call to connect: %w", ctx.Err())
	}
	if session, err := l.currentSession(); session != nil || err != nil {
		return session, err
	}
	return l.connect(ctx)
}

// currentSession returns the open session, an error while no dial is allowed, or neither when the caller must dial.
func (l *link) currentSession() (*yamux.Session, error) {
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
		return nil, fmt.Errorf("no connection; next attempt in %s: %w", wait.Round(time.Millisecond), l.lastErr)
	}
	return nil, nil
}

// connect dials the address and starts a session on the connection.
func (l *link) connect(ctx context.Context) (*yamux.Session, error) {
	conn, err := l.client.dial(ctx, l.address)
	if err != nil {
		// A cancelled call does not show that the peer is down, so it starts no delay. A call whose deadline passed during
		// the dial starts one, because the peer did not accept the connection in time.
		if !errors.Is(ctx.Err(), context.Canceled) {
			l.delayRedial(err)
		}
		return nil, fmt.Errorf("connect: %w", err)
	}
	session, err := yamux.Client(conn, sessionConfig(orDefault(l.client.WriteTimeout, defaultWriteTimeout)))
	if err != nil {
		// yamux.Client fails only for an invalid configuration, which says nothing about the peer and starts no delay.
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
	l.redialBackoff.Reset()
	return session, nil
}

// delayRedial starts the delay before the next dial.
func (l *link) delayRedial(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastErr = err
	l.retryAt = time.Now().Add(l.redialBackoff.NextBackOff())
}

// checkSession pings the peer in the background after a call timed out or was cancelled, and closes the session when no
// reply arrives within Client.WriteTimeout, which yamux applies to pings. Without the check, every later call on a dead
// connection would wait for its whole timeout.
func (l *link) checkSession(session *yamux.Session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pinging || l.closed {
		return
	}
	l.pinging = true
	go func() {
		if _, err := session.Ping(); err != nil {
			_ = session.Close()
		}
		l.mu.Lock()
		l.pinging = false
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
