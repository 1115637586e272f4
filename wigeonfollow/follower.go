// Package wigeonfollow follows the fleet stream into the folded state and appends the proposals of its process.
package wigeonfollow

import (
	"context"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
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
	BusyVMs func() []wigeonstep.VMID
}

// Follower follows the log. Run applies records on its own goroutine; the other methods are safe from any goroutine.
type Follower struct{}

// New returns a Follower.
func New(config Config) *Follower { return &Follower{} }

// Run follows the log until ctx ends. It opens a session, renews it, and opens a new one with a new id after an expiry.
func (f *Follower) Run(ctx context.Context) error { return nil }

// WaitReady returns nil once the state has reached the end that the log had when Run started.
func (f *Follower) WaitReady(ctx context.Context) error { return nil }

// View returns the newest view; never nil.
func (f *Follower) View() *wigeonstate.View { return &wigeonstate.View{} }

// Read calls fn with the state while no record is applied. fn must be short and keep nothing of the state.
func (f *Follower) Read(fn func(state *wigeonstate.State)) {}

// Propose implements wigeonstep.Proposer.
func (f *Follower) Propose(ctx context.Context, entry *wigeonwire.Entry) (wigeonstep.Offset, error) {
	return 0, wigeonstep.ErrUnavailable
}

// Session returns the id of the open session, or zero when none is confirmed by the log.
func (f *Follower) Session() wigeonstep.SessionID { return 0 }

// LeaseValid reports whether the session's lease, counted from before the last confirmed renewal was sent, still runs.
func (f *Follower) LeaseValid() bool { return false }

// ConfirmedAge returns the time since the view was last known to be at the end of the log, directly or through peers.
func (f *Follower) ConfirmedAge() time.Duration { return 0 }

// SetReady states whether the process takes requests; the next renewal carries it.
func (f *Follower) SetReady(ready, closing bool) {}

// CloseSession appends session_close and stops renewing.
func (f *Follower) CloseSession(ctx context.Context) error { return nil }
