// Package wigeonfollow replicates the folded state from the fleet stream of the log and appends the proposals of its
// process.
//
// A Follower reads the fleet stream from the platform, or through peers while the platform is unreachable, and folds
// its records in order. It holds the session of the process: it opens and renews it, keeps its lease, and expires the
// sessions of processes that stopped renewing. One control daemon also writes snapshots of the folded state.
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
	// maxAppendsPerSecond bounds the appends of one process, so that proposals queued during an outage do not flood the
	// log.
	maxAppendsPerSecond = 20
	defaultRetention    = time.Hour
)

// RecordSource is a peer that relays records of the fleet stream while the platform is unreachable.
type RecordSource interface {
	// FetchRecords returns at most limit records from the offset on. It returns wigeonstep.ErrCompacted when the peer no
	// longer holds the record at the offset.
	FetchRecords(ctx context.Context, from wigeonstep.Offset, limit int) (*wigeonwire.Records, error)
	// FetchSnapshot returns the encoded folded state of the peer.
	FetchSnapshot(ctx context.Context) ([]byte, error)
}

// Config configures a Follower.
type Config struct {
	// Log is required.
	Log wigeonstep.Log
	// OpenEntry is the entry that opens each session. Its role is required unless ReadOnly is set.
	OpenEntry *wigeonwire.SessionOpen
	// Session is the random id of the first session; required unless ReadOnly is set.
	Session wigeonstep.SessionID
	// Peers returns the peers to fetch records from, in the order to try them; default none.
	Peers func() []RecordSource
	// Now returns the wall clock time, default time.Now.
	Now func() time.Time
	// Retention is the retention time of the log, default 1 h. A snapshot is written every quarter of it.
	Retention time.Duration
	// BusyVMs returns the VMs out of service on which the process still has requests in flight; nil for control daemons.
	// A renewal reads the offset that it reports from the view before it calls BusyVMs.
	BusyVMs func() []wigeonstep.VMID
	// ReadOnly follows the log without a session: nothing is appended, and Propose fails when its context ends. Default
	// false.
	ReadOnly bool
	// Logger receives the failures and recoveries of reads, and the changes of sessions and snapshots; default none.
	Logger *zap.Logger
}

// Follower replicates the folded state from the log. Run must be called once; all other methods are safe for concurrent
// use.
type Follower struct {
	config  Config
	logger  *zap.Logger
	limiter *rate.Limiter
	view    atomic.Pointer[wigeonstate.View]
	// ready is closed once the state has reached the ready target.
	ready chan struct{}
	// wake interrupts the wait of appendBatches, so that it checks again for due entries.
	wake chan struct{}

	// mu guards everything below.
	mu     sync.Mutex
	state  *wigeonstate.State
	recent recentRecords
	own    ownSession
	queue  queue
	target readyTarget
	// resolved holds the verdicts that publishLocked delivers next, after it has stored the view that contains their
	// changes.
	resolved  []resolvedProposal
	freshness freshness
	renewals  renewalTracker
	// snapshotDue is set when a snapshot must be written without waiting for the interval.
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
		config:   config,
		logger:   config.Logger,
		limiter:  rate.NewLimiter(maxAppendsPerSecond, 1),
		ready:    make(chan struct{}),
		wake:     make(chan struct{}, 1),
		state:    &wigeonstate.State{},
		own:      ownSession{id: config.Session},
		renewals: renewalTracker{marks: make(map[wigeonstep.SessionID]renewalMark)},
	}
	f.view.Store(&wigeonstate.View{})
	return f
}

func (c *Config) validate() error {
	switch {
	case c.Log == nil:
		return errors.New("follow: Config.Log is not set")
	case c.ReadOnly:
		return nil
	case c.Session == 0 || c.OpenEntry.GetRole() == wigeonwire.Role_ROLE_UNSPECIFIED:
		return fmt.Errorf("follow: Config.Session and the role of Config.OpenEntry must be set, got session %v and role %v", c.Session, c.OpenEntry.GetRole())
	}
	return nil
}

// Run follows the log until ctx ends. It opens a session, renews it, and opens a new one under a new id after an
// expiry. It returns nil when ctx has ended.
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

// WaitReady returns nil once the state has reached the end that the log had when this process first read it.
func (f *Follower) WaitReady(ctx context.Context) error {
	select {
	case <-f.ready:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for the state to reach the end of the log: %w", ctx.Err())
	}
}

// View returns the current view; never nil.
func (f *Follower) View() *wigeonstate.View { return f.view.Load() }

// Read calls fn with the folded state under the lock, so that no record is applied meanwhile. fn must return quickly
// and keep no reference to the state.
func (f *Follower) Read(fn func(state *wigeonstate.State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fn(f.state)
}

// signal wakes appendBatches.
func (f *Follower) signal() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// sleep waits and reports whether ctx is still active.
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
