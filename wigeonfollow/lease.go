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
	// leaseTime is the validity of the lease, counted from before its last confirmed renewal was sent. It is shorter than
	// sessionTimeout, after which other processes may expire the session.
	leaseTime = 8 * time.Second
)

// ownSession is the session of this process.
type ownSession struct {
	id wigeonstep.SessionID
	// opening is set once the entry that opens the session is in a batch, and confirmed once the fold has accepted it.
	opening, confirmed bool
	// stopped is set when the session is being closed and no other one will be opened.
	stopped bool
	// ready and closing are reported with each renewal.
	ready, closing bool
	// sequence is the sequence number of the last batch, and renewal the number of the last renewal.
	sequence uint64
	renewal  uint64
	// nextRenewal is the time at which a renewal is due; the zero time means at once.
	nextRenewal time.Time
	// leaseStart is the time just before the first attempt to send the last confirmed renewal.
	leaseStart time.Time
	// inflight holds batches by sequence number until the verdicts on their entries are known.
	inflight map[uint64]*batch
}

// Session returns the id of the open session, or zero while the log has confirmed none.
func (f *Follower) Session() wigeonstep.SessionID {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.own.confirmed {
		return 0
	}
	return f.own.id
}

// LeaseValid reports whether the session's lease is valid. It is counted from before the last confirmed renewal was
// sent.
func (f *Follower) LeaseValid() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaseAgeLocked() < leaseTime
}

// leaseAgeLocked returns the time since the last confirmed renewal was sent, or leaseTime, at which the lease has expired,
// when there is none.
func (f *Follower) leaseAgeLocked() time.Duration {
	if !f.own.confirmed || f.own.leaseStart.IsZero() {
		return leaseTime
	}
	return time.Since(f.own.leaseStart)
}

// SetReady sets whether the process accepts requests and whether it is shutting down, and makes a renewal due that
// reports both.
func (f *Follower) SetReady(ready, closing bool) {
	f.mu.Lock()
	if f.own.ready != ready || f.own.closing != closing {
		f.own.ready, f.own.closing = ready, closing
		f.own.nextRenewal = time.Time{}
	}
	f.mu.Unlock()
	f.signal()
}

// CloseSession stops opening and renewing sessions, and closes the current one on the log. It returns when the verdict on
// the close is known or ctx ends, and at once if no session was opened.
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

// replaceEndedSessionLocked replaces a session that has ended in the folded state by a new one under a new id, which is
// not opened yet.
func (f *Follower) replaceEndedSessionLocked() {
	sequence, open := f.state.SessionStatus(f.own.id)
	if open || (sequence == 0 && !f.own.confirmed) {
		return
	}
	f.logger.Warn("session ended", zap.Stringer("session", f.own.id), zap.Bool("by_this_process", f.own.stopped))
	for _, batch := range f.own.inflight {
		// The fold rejects batches of an ended session, so these can no longer take effect.
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

// renewalEntryLocked returns the next renewal, which reports the applied offset and the busy VMs, and schedules the one
// after it.
func (f *Follower) renewalEntryLocked(applied wigeonstep.Offset, busy []wigeonstep.VMID, now time.Time) *wigeonwire.Entry {
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
