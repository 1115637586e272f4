// Package wigeonfollow follows the fleet stream into the folded state and appends the proposals of its process.
package wigeonfollow

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// maxAppendsPerSecond bounds the appends of one process, so that proposals which waited through an outage do not flood the log.
	maxAppendsPerSecond = 20
	defaultRetention    = time.Hour
)

// RecordSource is a peer that relays records of the fleet stream while the platform is out of reach.
type RecordSource interface {
	// FetchRecords returns records from the offset on. It returns wigeonstep.ErrCompacted when the peer no longer holds it.
	FetchRecords(ctx context.Context, from wigeonstep.Offset, limit int) (*wigeonwire.Records, error)
	// FetchSnapshot returns the encoded state of the peer.
	FetchSnapshot(ctx context.Context) ([]byte, error)
}

// Config configures a Follower.
type Config struct {
	Log  wigeonstep.Log
	Open *wigeonwire.SessionOpen
	// Session is the random id of this incarnation.
	Session wigeonstep.SessionID
	// Peers returns the record sources in reach, in the order to try them.
	Peers func() []RecordSource
	// Now returns the wall clock time, default time.Now.
	Now func() time.Time
	// Retention is how long the log keeps records; a snapshot is written every quarter of it, default 1 h.
	Retention time.Duration
	// BusyVMs returns VMs out of service on which the process still has requests in flight; nil for control daemons.
	// It is called after View returns the view whose offset the renewal reports.
	BusyVMs func() []wigeonstep.VMID
	// ReadOnly follows the log without a session: nothing is appended, and Propose fails. Default false.
	ReadOnly bool
	// Logger gets one line for each change of reach, session or snapshot, default none.
	Logger *zap.Logger
}

// Follower follows the log. Run applies records on its own goroutine; the other methods are safe from any goroutine.
type Follower struct {
	config  Config
	logger  *zap.Logger
	limiter *rate.Limiter
	view    atomic.Pointer[wigeonstate.View]
	ready   chan struct{}
	// wake tells the appender that something became due.
	wake chan struct{}

	// mu guards everything below.
	mu     sync.Mutex
	state  *wigeonstate.State
	recent recentRecords
	own    ownSession
	queue  queue
	target readyTarget
	// judged are the proposals whose verdict the next publication hands out.
	judged []judgedProposal
	reach  reach
	silent silentSessions
	// snapshotDue is set when a snapshot must be written at once.
	snapshotDue bool
}

// New returns a Follower.
func New(config Config) *Follower {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Retention <= 0 {
		config.Retention = defaultRetention
	}
	if config.Peers == nil {
		config.Peers = func() []RecordSource { return nil }
	}
	if config.BusyVMs == nil {
		config.BusyVMs = func() []wigeonstep.VMID { return nil }
	}
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	f := &Follower{
		config:  config,
		logger:  config.Logger,
		limiter: rate.NewLimiter(maxAppendsPerSecond, 1),
		ready:   make(chan struct{}),
		wake:    make(chan struct{}, 1),
		state:   &wigeonstate.State{},
		own:     ownSession{id: config.Session},
		silent:  silentSessions{marks: make(map[wigeonstep.SessionID]silentMark)},
	}
	f.view.Store(&wigeonstate.View{})
	return f
}

func (c *Config) validate() error {
	switch {
	case c.Log == nil:
		return errors.New("follow: the log must be set")
	case c.ReadOnly:
		return nil
	case c.Session == 0 || c.Open.GetRole() == wigeonwire.Role_ROLE_UNSPECIFIED:
		return errors.New("follow: the session id and the role must be set")
	}
	return nil
}

// Run follows the log until ctx ends. It opens a session, renews it, and opens a new one with a new id after an expiry.
func (f *Follower) Run(ctx context.Context) error {
	if err := f.config.validate(); err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.followLog(ctx) })
	group.Go(func() error { return f.followPeers(ctx) })
	if !f.config.ReadOnly {
		group.Go(func() error { return f.appendBatches(ctx) })
		group.Go(func() error { return f.writeSnapshots(ctx) })
	}
	err := group.Wait()
	f.mu.Lock()
	f.own.stopped = true
	f.failAllLocked(fmt.Errorf("%w: the follower stopped", wigeonstep.ErrUnavailable))
	f.mu.Unlock()
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

// WaitReady returns nil once the state has reached the end that the log had when Run started.
func (f *Follower) WaitReady(ctx context.Context) error {
	select {
	case <-f.ready:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for the end of the log: %w", ctx.Err())
	}
}

// View returns the newest view; never nil.
func (f *Follower) View() *wigeonstate.View { return f.view.Load() }

// Read calls fn with the state while no record is applied. fn must be short and keep nothing of the state.
func (f *Follower) Read(fn func(state *wigeonstate.State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fn(f.state)
}

// signal wakes the appender.
func (f *Follower) signal() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// sleep waits for the time to pass and reports whether ctx still runs.
func sleep(ctx context.Context, wait time.Duration) bool {
	// A timer that is due at once crashed the Go 1.26.8 runtime under the race detector in tests with fake time.
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
