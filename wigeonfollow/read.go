package wigeonfollow

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	readLimit = 1000
	readWait  = 500 * time.Millisecond
	// readTimeout ends a read that the platform does not answer.
	readTimeout = 5 * time.Second
	// entryReadGap and controlReadGap are the least times between reads, so that a busy log does not cost a read for each
	// record. verdictReadGap holds in their place while an entry process or an operator waits for a verdict. At the target
	// size, reads every 10 ms cost an entry process 7% of a core at rest.
	entryReadGap   = 50 * time.Millisecond
	controlReadGap = 100 * time.Millisecond
	verdictReadGap = 10 * time.Millisecond
	// failedReadGap is the time between reads while the platform is out of reach.
	failedReadGap = 500 * time.Millisecond
)

// reach is what the process knows of the age of its view.
type reach struct {
	// confirmed is the latest time at which the view is known to have been at the end of the log.
	confirmed time.Time
	// platform is when a read from the platform last reached the end of the log, and onTime the sum of the times between such reads.
	platform time.Time
	onTime   time.Duration
	down     bool
}

// readyTarget is the offset that the state must reach before the process is ready.
type readyTarget struct {
	known, reached bool
	offset         wigeonstep.Offset
}

// ConfirmedAge returns the time since the view was last known to be at the end of the log, directly or through peers.
func (f *Follower) ConfirmedAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmedAgeLocked()
}

func (f *Follower) confirmedAgeLocked() time.Duration {
	if f.reach.confirmed.IsZero() {
		return 1<<63 - 1
	}
	return time.Since(f.reach.confirmed)
}

// followLog reads the fleet stream from the platform.
func (f *Follower) followLog(ctx context.Context) error {
	for loaded := false; ctx.Err() == nil; {
		if !loaded {
			loaded = f.loadSnapshot(ctx) == nil
		}
		began := time.Now()
		err := f.readOnce(ctx, began)
		f.noteReach(ctx, err)
		if err != nil {
			loaded = loaded && !errors.Is(err, wigeonstep.ErrCompacted)
			sleep(ctx, failedReadGap)
			continue
		}
		f.awaitRead(ctx, began)
	}
	return ctx.Err()
}

// awaitRead waits until the next read is due.
func (f *Follower) awaitRead(ctx context.Context, began time.Time) {
	if f.config.Open.GetRole() == wigeonwire.Role_ROLE_CONTROL {
		sleep(ctx, time.Until(began.Add(controlReadGap)))
		return
	}
	sleep(ctx, time.Until(began.Add(verdictReadGap)))
	for ctx.Err() == nil && time.Since(began) < entryReadGap && !f.awaitsVerdict() {
		sleep(ctx, verdictReadGap)
	}
}

// awaitsVerdict reports whether a proposal is on its way to the log or back.
func (f *Follower) awaitsVerdict() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.own.inflight {
		if slices.ContainsFunc(b.proposals, func(p *proposal) bool { return p != nil }) {
			return true
		}
	}
	return false
}

func (f *Follower) readOnce(ctx context.Context, began time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, readWait+readTimeout)
	defer cancel()
	read, err := f.config.Log.Read(ctx, wigeonstep.FleetStream, f.nextOffset(), readLimit, readWait)
	if err != nil {
		return fmt.Errorf("read %s: %w", wigeonstep.FleetStream, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.applyLocked(read.Records); err != nil {
		return err
	}
	f.setTargetLocked(read.Next)
	if f.state.Next() >= read.Next {
		f.confirmByPlatformLocked(began)
		f.checkSilentLocked()
	}
	f.publishLocked()
	return nil
}

func (f *Follower) nextOffset() wigeonstep.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Next()
}

// applyLocked folds records in order. A gap means that the records between were dropped, so a snapshot is needed.
func (f *Follower) applyLocked(records []wigeonstep.LogRecord) error {
	for _, record := range records {
		next := f.state.Next()
		if record.Offset < next {
			continue
		}
		if record.Offset > next {
			return fmt.Errorf("%w: offset %d, the next record is %d", wigeonstep.ErrCompacted, next, record.Offset)
		}
		verdicts := f.state.Apply(record.Offset, record.Payload)
		f.judgeLocked(record.Offset, verdicts)
		f.noteDrainsLocked(verdicts)
		f.recent.add(record)
	}
	return nil
}

// judgedProposal is a proposal whose proposer is to be told the verdict.
type judgedProposal struct {
	proposal *proposal
	outcome  outcome
}

// judgeLocked collects the fold's verdicts on the own batches. publishLocked hands them to the proposers.
func (f *Follower) judgeLocked(offset wigeonstep.Offset, verdicts []wigeonstate.Verdict) {
	if len(verdicts) == 0 || verdicts[0].Session != f.own.id {
		return
	}
	b := f.own.inflight[verdicts[0].Sequence]
	if b == nil {
		return
	}
	delete(f.own.inflight, b.sequence)
	defer close(b.seen)
	for _, verdict := range verdicts {
		if verdict.Index >= len(b.proposals) {
			break
		}
		p := b.proposals[verdict.Index]
		switch {
		case p == nil:
			f.noteOwnLocked(verdict, b)
		case verdict.Accepted:
			f.judged = append(f.judged, judgedProposal{proposal: p, outcome: outcome{offset: offset}})
		default:
			f.judged = append(f.judged, judgedProposal{proposal: p, outcome: outcome{err: rejected(verdict.Reason)}})
		}
	}
}

// noteOwnLocked follows the entries of the follower itself.
func (f *Follower) noteOwnLocked(verdict wigeonstate.Verdict, b *batch) {
	switch {
	case !verdict.Accepted:
		f.logger.Warn("entry refused", zap.Stringer("session", verdict.Session), zap.String("reason", verdict.Reason))
	case verdict.Entry.GetSessionOpen() != nil:
		f.own.confirmed = true
		f.own.nextRenewal = time.Time{}
		f.logger.Info("session opened", zap.Stringer("session", verdict.Session))
		f.signal()
	case verdict.Entry.GetSessionRenew() != nil:
		f.own.leaseFrom = b.firstSent
		f.signal()
	}
}

// publishLocked makes the newest view visible.
func (f *Follower) publishLocked() {
	f.checkSessionLocked()
	view := f.state.View()
	if view != f.view.Load() {
		f.view.Store(view)
	}
	// A proposer that reads the view after its verdict must find the change there.
	for _, judged := range f.judged {
		judged.proposal.finish(judged.outcome.offset, judged.outcome.err)
	}
	f.judged = nil
	if f.target.known && !f.target.reached && f.state.Next() >= f.target.offset {
		f.target.reached = true
		close(f.ready)
		f.signal()
	}
}

// setTargetLocked sets the offset to reach once, to the end of the log at the first contact.
func (f *Follower) setTargetLocked(end wigeonstep.Offset) {
	if !f.target.known {
		f.target.known, f.target.offset = true, end
	}
}

// confirmByPlatformLocked notes a read that began at the time and reached the end of the log.
func (f *Follower) confirmByPlatformLocked(began time.Time) {
	now := time.Now()
	since := now.Sub(f.reach.platform)
	switch {
	case f.reach.platform.IsZero():
	case since <= onTimeGap && f.leaseAgeLocked() < freshLease:
		f.reach.onTime += since
	case since > f.config.Retention:
		f.snapshotDue = true
	}
	f.reach.platform = now
	if began.After(f.reach.confirmed) {
		f.reach.confirmed = began
	}
}

// noteReach logs when the platform goes out of reach and when it is back.
func (f *Follower) noteReach(ctx context.Context, err error) {
	f.mu.Lock()
	changed := f.reach.down != (err != nil)
	f.reach.down = err != nil
	f.mu.Unlock()
	if !changed || ctx.Err() != nil {
		return
	}
	if err != nil {
		f.logger.Warn("platform log out of reach", zap.Error(err))
		return
	}
	f.logger.Info("platform log in reach")
}

// adoptLocked replaces the state by a later one. Batches whose verdicts the jump skipped have an unknown outcome, except for intents.
func (f *Follower) adoptLocked(state *wigeonstate.State) {
	if state.Next() <= f.state.Next() {
		return
	}
	f.state = state
	f.recent = recentRecords{}
	sequence, open := state.OpenSession(f.own.id)
	if open && f.own.opening && !f.own.confirmed {
		f.own.confirmed = true
		f.own.nextRenewal = time.Time{}
	}
	for number, b := range f.own.inflight {
		if number > sequence {
			continue
		}
		delete(f.own.inflight, number)
		f.settleSkipped(b)
	}
	f.publishLocked()
}

func (f *Follower) settleSkipped(b *batch) {
	var sent wigeonwire.Batch
	if err := proto.Unmarshal(b.payload, &sent); err != nil {
		b.fail(fmt.Errorf("%w: %w", wigeonstep.ErrAnswerLost, err))
		return
	}
	for i, p := range b.proposals {
		key, ok := f.state.Key(wigeonstep.Key(sent.GetEntries()[i].GetIntent().GetKey()))
		if p != nil && ok && key.GetSession() == uint64(f.own.id) {
			p.finish(wigeonstep.Offset(key.GetOffset()), nil)
		}
	}
	b.fail(fmt.Errorf("%w: a snapshot passed the batch", wigeonstep.ErrAnswerLost))
}
