package wigeonfollow

import (
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// sessionTimeout is the time without a newer renewal after which a session may be expired. It counts only time in
	// which this process could read and append without delay (freshness.onTimeTotal).
	sessionTimeout = 10 * time.Second
	// maxOnTimeReadGap is the maximum time between two reads at the end of the log that counts towards sessionTimeout. A
	// slow log, an outage and a pause of this process all cause longer gaps, which do not count.
	maxOnTimeReadGap = 2 * time.Second
	// maxOwnLeaseAge is the maximum age of this process's lease for time to count towards sessionTimeout. When appends
	// fail, no session can renew, so a missing renewal does not show that its process stopped.
	maxOwnLeaseAge = 4 * time.Second
	// expiryStagger is the extra delay of a process for each open session with a lower id, up to maxExpiryStagger. It
	// keeps the processes from proposing the same expiry at once. It is longer than readWait, because sessions are checked
	// after a read, and a read of an idle log takes up to readWait.
	expiryStagger    = time.Second
	maxExpiryStagger = 5 * time.Second
)

// renewalTracker holds the last renewal of each other open session and when it was first seen.
type renewalTracker struct {
	marks map[wigeonstep.SessionID]renewalMark
}

type renewalMark struct {
	renewal uint64
	// since is the value of freshness.onTimeTotal when the renewal was first seen.
	since time.Duration
	// proposed is set when the expiry of the session was proposed, so that it is not proposed again for this renewal.
	proposed bool
}

// proposeExpiriesLocked proposes the expiry of sessions that were not renewed for too long. The fold accepts an expiry
// only if the session has not been renewed in the meantime.
func (f *Follower) proposeExpiriesLocked() {
	if !f.own.confirmed || f.own.stopped {
		return
	}
	marks := make(map[wigeonstep.SessionID]renewalMark, len(f.renewals.marks))
	stagger := time.Duration(0)
	for _, session := range f.state.View().Sessions {
		if session.Expired {
			continue
		}
		if session.ID < f.own.id {
			stagger += expiryStagger
		}
		if session.ID == f.own.id {
			continue
		}
		mark, ok := f.renewals.marks[session.ID]
		if !ok || mark.renewal != session.LastRenewal {
			mark = renewalMark{renewal: session.LastRenewal, since: f.freshness.onTimeTotal}
		}
		marks[session.ID] = mark
	}
	f.renewals.marks = marks
	for id, mark := range marks {
		if mark.proposed || f.freshness.onTimeTotal-mark.since <= sessionTimeout+min(stagger, maxExpiryStagger) {
			continue
		}
		mark.proposed = true
		marks[id] = mark
		f.proposeExpiryLocked(id, mark.renewal)
	}
}

func (f *Follower) proposeExpiryLocked(id wigeonstep.SessionID, renewal uint64) {
	entry := &wigeonwire.Entry{Body: &wigeonwire.Entry_SessionExpire{SessionExpire: &wigeonwire.SessionExpire{
		Session:     uint64(id),
		LastRenewal: renewal,
	}}}
	p := &proposal{entry: entry, size: sizeOf(entry), subject: subjectOf(entry), done: make(chan outcome, 1)}
	if err := f.queue.add(p); err != nil {
		f.logger.Warn("session expiry not proposed", zap.Stringer("session", id), zap.Error(err))
		return
	}
	f.logger.Info("session not renewed in time; proposing its expiry", zap.Stringer("session", id), zap.Uint64("last_renewal", renewal))
	f.signal()
}
