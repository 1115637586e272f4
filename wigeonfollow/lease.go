package wigeonfollow

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	renewInterval = 2 * time.Second
	// leaseTime is how long the holder trusts its lease. Others may expire the session 10 s after they saw its last renewal.
	leaseTime = 8 * time.Second
)

// ownSession is the session of this process.
type ownSession struct {
	id wigeonstep.SessionID
	// opening is set once the open entry is in a batch; confirmed once the fold accepted it.
	opening, confirmed bool
	// stopped is set when the session must not be opened again.
	stopped        bool
	ready, closing bool
	sequence       uint64
	renewal        uint64
	nextRenewal    time.Time
	// leaseFrom is just before the last confirmed renewal was sent first.
	leaseFrom time.Time
	// inflight holds batches by sequence number until the fold has judged them.
	inflight map[uint64]*batch
}

// Session returns the id of the open session, or zero when none is confirmed by the log.
func (f *Follower) Session() wigeonstep.SessionID {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.own.confirmed {
		return 0
	}
	return f.own.id
}

// LeaseValid reports whether the session's lease, counted from before the last confirmed renewal was sent, still runs.
func (f *Follower) LeaseValid() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaseAgeLocked() < leaseTime
}

// leaseAgeLocked returns the time since the last confirmed renewal was sent, or leaseTime when there is none.
func (f *Follower) leaseAgeLocked() time.Duration {
	if !f.own.confirmed || f.own.leaseFrom.IsZero() {
		return leaseTime
	}
	return time.Since(f.own.leaseFrom)
}

// SetReady states whether the process takes requests; the next renewal carries it.
func (f *Follower) SetReady(ready, closing bool) {
	f.mu.Lock()
	if f.own.ready != ready || f.own.closing != closing {
		f.own.ready, f.own.closing = ready, closing
		f.own.nextRenewal = time.Time{}
	}
	f.mu.Unlock()
	f.signal()
}

// CloseSession appends session_close and stops renewing.
func (f *Follower) CloseSession(ctx context.Context) error {
	f.mu.Lock()
	f.own.stopped = true
	opened := f.own.opening
	f.mu.Unlock()
	if !opened {
		return nil
	}
	_, err := f.Propose(ctx, &wigeonwire.Entry{Body: &wigeonwire.Entry_SessionClose{SessionClose: &wigeonwire.SessionClose{}}})
	return err
}

// checkSessionLocked gives up the session when the fold no longer holds it open, and prepares a new one under a new id.
func (f *Follower) checkSessionLocked() {
	sequence, open := f.state.OpenSession(f.own.id)
	if open || (sequence == 0 && !f.own.confirmed) {
		return
	}
	f.logger.Warn("session ended", zap.Stringer("session", f.own.id), zap.Bool("by_this_process", f.own.stopped))
	for _, batch := range f.own.inflight {
		// The fold refuses every batch after the end of its session, so these can never take effect.
		batch.fail(rejected("the session ended before the entry reached the log"))
	}
	if f.own.stopped {
		for _, p := range f.queue.waiting {
			p.finish(0, fmt.Errorf("%w: the session is closed", wigeonstep.ErrUnavailable))
		}
		f.queue = queue{}
	}
	f.own = ownSession{
		id:      NewSessionID(),
		stopped: f.own.stopped,
		ready:   f.own.ready,
		closing: f.own.closing,
	}
	f.signal()
}

// renewLocked returns the renewal to append, with what the process had applied and used before.
func (f *Follower) renewLocked(applied wigeonstep.Offset, busy []wigeonstep.VMID, now time.Time) *wigeonwire.Entry {
	f.own.renewal++
	f.own.nextRenewal = now.Add(renewInterval)
	if len(busy) > 0 {
		f.own.nextRenewal = now.Add(busyRenewInterval)
	}
	renew := &wigeonwire.SessionRenew{
		Renewal:       f.own.renewal,
		AppliedOffset: uint64(applied),
		Ready:         f.own.ready,
		Closing:       f.own.closing,
	}
	for _, vm := range busy {
		renew.BusyVms = append(renew.BusyVms, string(vm))
	}
	return &wigeonwire.Entry{Body: &wigeonwire.Entry_SessionRenew{SessionRenew: renew}}
}
