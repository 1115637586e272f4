package wigeonfollow

import (
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// silentTime is how long a session may go without a newer renewal, counted only while the log is known to be on time.
	silentTime = 10 * time.Second
	// onTimeGap is the longest time between two reads at the end of the log that counts as on time. A slow log, an outage
	// and a pause of this process all leave longer gaps.
	onTimeGap = 2 * time.Second
	// freshLease is the greatest age of the own lease at which time counts. When appends fail, no session can renew,
	// and none is silent by its own fault.
	freshLease = 4 * time.Second
	// rankDelay lets the open session with the lowest id propose an expiry first, so that not all processes do at once. It is
	// above readWait, because the rule is checked after a read, and a quiet log makes reads that far apart.
	rankDelay    = time.Second
	maxRankDelay = 5 * time.Second
)

// silentSessions tracks how long each open session has shown no newer renewal.
type silentSessions struct {
	marks map[wigeonstep.SessionID]silentMark
}

type silentMark struct {
	renewal uint64
	// since is the on-time clock when the renewal was seen first.
	since time.Duration
	// proposed is set once its expiry is in the queue.
	proposed bool
}

// checkSilentLocked proposes the expiry of sessions that were silent for too long. The fold accepts it only if no renewal came first.
func (f *Follower) checkSilentLocked() {
	if !f.own.confirmed || f.own.stopped {
		return
	}
	marks := make(map[wigeonstep.SessionID]silentMark, len(f.silent.marks))
	rank := time.Duration(0)
	for _, session := range f.state.View().Sessions {
		if session.Expired {
			continue
		}
		if session.ID < f.own.id {
			rank += rankDelay
		}
		if session.ID == f.own.id {
			continue
		}
		mark, ok := f.silent.marks[session.ID]
		if !ok || mark.renewal != session.LastRenewal {
			mark = silentMark{renewal: session.LastRenewal, since: f.reach.onTime}
		}
		marks[session.ID] = mark
	}
	f.silent.marks = marks
	for id, mark := range marks {
		if mark.proposed || f.reach.onTime-mark.since <= silentTime+min(rank, maxRankDelay) {
			continue
		}
		mark.proposed = true
		marks[id] = mark
		f.expireLocked(id, mark.renewal)
	}
}

func (f *Follower) expireLocked(id wigeonstep.SessionID, renewal uint64) {
	entry := &wigeonwire.Entry{Body: &wigeonwire.Entry_SessionExpire{SessionExpire: &wigeonwire.SessionExpire{
		Session:     uint64(id),
		LastRenewal: renewal,
	}}}
	p := &proposal{entry: entry, size: sizeOf(entry), subject: subjectOf(entry), done: make(chan outcome, 1)}
	if err := f.queue.add(p); err != nil {
		f.logger.Warn("session expiry not proposed", zap.Stringer("session", id), zap.Error(err))
		return
	}
	f.logger.Info("session is silent", zap.Stringer("session", id), zap.Uint64("last_renewal", renewal))
	f.signal()
}
