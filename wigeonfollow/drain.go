package wigeonfollow

import (
	"time"

	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// drainReportDelay delays the renewal after an accepted drain, so that one renewal covers drains that are accepted
	// together.
	drainReportDelay = 50 * time.Millisecond
	// busyRenewInterval replaces renewInterval while requests are in flight on a VM out of service. A drain ends only when
	// renewals report the VM idle, and the drains of a wave run one after the other.
	busyRenewInterval = 250 * time.Millisecond
)

// renewEarlyForDrainsLocked makes the next renewal of an entry process due earlier when a drain was accepted,
// because the drain cannot end before the renewal reports its offset.
func (f *Follower) renewEarlyForDrainsLocked(verdicts []wigeonstate.Verdict) {
	if f.config.OpenEntry.GetRole() != wigeonwire.Role_ROLE_ENTRY {
		return
	}
	for _, verdict := range verdicts {
		if verdict.Accepted && verdict.Entry.GetVmTransition().GetTo() == wigeonwire.Phase_PHASE_DRAINING {
			f.renewEarlyLocked(time.Now().Add(drainReportDelay))
			return
		}
	}
}

// renewEarlyLocked moves the next renewal to the given time if it was due later.
func (f *Follower) renewEarlyLocked(to time.Time) {
	if to.Before(f.own.nextRenewal) {
		f.own.nextRenewal = to
		f.signal()
	}
}
