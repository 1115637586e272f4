package wigeonfollow

import (
	"time"

	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// drainReportDelay gathers drains that are accepted together into one renewal.
	drainReportDelay = 50 * time.Millisecond
	// busyRenewInterval is the time between renewals while requests are in flight on a VM out of service. A drain ends only
	// with the report that the VM is idle, and a wave is made of drains one after the other.
	busyRenewInterval = 250 * time.Millisecond
)

// noteDrainsLocked brings the next renewal of an entry process forward when a drain was accepted, since the drain waits for it.
func (f *Follower) noteDrainsLocked(verdicts []wigeonstate.Verdict) {
	if f.config.Open.GetRole() != wigeonwire.Role_ROLE_ENTRY {
		return
	}
	for _, verdict := range verdicts {
		if verdict.Accepted && verdict.Entry.GetVmTransition().GetTo() == wigeonwire.Phase_PHASE_DRAINING {
			f.bringRenewalForwardLocked(time.Now().Add(drainReportDelay))
			return
		}
	}
}

func (f *Follower) bringRenewalForwardLocked(to time.Time) {
	if to.Before(f.own.nextRenewal) {
		f.own.nextRenewal = to
		f.signal()
	}
}
