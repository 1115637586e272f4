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
	// readLimit bounds the records of one read.
	readLimit = 1000
	// readWait is the time that a read waits for a record at the end of the log.
	readWait = 500 * time.Millisecond
	// readTimeout bounds a read, in addition to readWait.
	readTimeout = 5 * time.Second
	// entryReadInterval and controlReadInterval are the minimum times between the starts of reads, so that a busy log does
	// not cost a read for each record. verdictReadInterval replaces entryReadInterval while a process other than a control
	// daemon waits for a verdict. It does not apply all the time because, at the target size, reads every 10 ms cost an
	// idle entry process 7% of a core.
	entryReadInterval   = 50 * time.Millisecond
	controlReadInterval = 100 * time.Millisecond
	verdictReadInterval = 10 * time.Millisecond
	// failedReadInterval is the pause after a failed read.
	failedReadInterval = 500 * time.Millisecond
)

// freshness tracks the age of the view and the reads from the platform.
type freshness struct {
	// confirmedAt is the latest time at which the view is known to have included every record of the log.
	confirmedAt time.Time
	// platformReadAt is the time at which a read from the platform last reached the end of the log.
	platformReadAt time.Time
	// onTimeTotal is the sum of the times between such reads that were at most maxOnTimeReadGap apart while the lease of
	// this process was younger than maxOwnLeaseAge. It is the clock for the expiry of other sessions.
	onTimeTotal time.Duration
	// readFailed is set while the last read from the platform failed, so that only changes are logged.
	readFailed bool
}

// readyTarget is the offset that the state must reach before the follower is ready: the end that the log had when the
// follower first learnt it. It is not known before.
type readyTarget struct {
	known, reached bool
	offset         wigeonstep.Offset
}

// ConfirmedAge returns the time since the view was last known to include every record of the log, by a read from the
// platform or through peers.
func (f *Follower) ConfirmedAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmedAgeLocked()
}

func (f *Follower) confirmedAgeLocked() time.Duration {
	if f.freshness.confirmedAt.IsZero() {
		return 1<<63 - 1
	}
	return time.Since(f.freshness.confirmedAt)
}

// followLog reads the fleet stream from the platform. It loads a snapshot at the start, and again after the log has
// dropped records that were not read.
func (f *Follower) followLog(ctx context.Context) error {
	for loaded := false; ctx.Err() == nil; {
		if !loaded {
			loaded = f.loadSnapshot(ctx) == nil
		}
		began := time.Now()
		err := f.readOnce(ctx, began)
		f.logReadHealth(ctx, err)
		if err != nil {
			loaded = loaded && !errors.Is(err, wigeonstep.ErrCompacted)
			sleep(ctx, failedReadInterval)
			continue
		}
		f.waitForNextRead(ctx, began)
	}
	return ctx.Err()
}

// waitForNextRead waits until the next read is due. began is the start of the last one.
func (f *Follower) waitForNextRead(ctx context.Context, began time.Time) {
	if f.config.OpenEntry.GetRole() == wigeonwire.Role_ROLE_CONTROL {
		sleep(ctx, time.Until(began.Add(controlReadInterval)))
		return
	}
	sleep(ctx, time.Until(began.Add(verdictReadInterval)))
	for ctx.Err() == nil && time.Since(began) < entryReadInterval && !f.hasProposalInFlight() {
		sleep(ctx, verdictReadInterval)
	}
}

// hasProposalInFlight reports whether a batch in flight contains a proposal.
func (f *Follower) hasProposalInFlight() bool {
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
	f.setReadyOffsetLocked(read.Next)
	if f.state.NextOffset() >= read.Next {
		f.confirmFromPlatformLocked(began)
		f.proposeExpiriesLocked()
	}
	f.publishLocked()
	return nil
}

func (f *Follower) nextOffset() wigeonstep.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.NextOffset()
}

// applyLocked folds records in order and skips those already folded. It returns wigeonstep.ErrCompacted for a gap,
// because the log has then dropped records, and a snapshot is needed.
func (f *Follower) applyLocked(records []wigeonstep.LogRecord) error {
	for _, record := range records {
		next := f.state.NextOffset()
		if record.Offset < next {
			continue
		}
		if record.Offset > next {
			return fmt.Errorf("%w: expected offset %d, got %d", wigeonstep.ErrCompacted, next, record.Offset)
		}
		verdicts := f.state.Apply(record.Offset, record.Payload)
		f.collectVerdictsLocked(record.Offset, verdicts)
		f.renewEarlyForDrainsLocked(verdicts)
		f.recent.add(record)
	}
	return nil
}

// resolvedProposal is a proposal with its verdict, which is not delivered yet.
type resolvedProposal struct {
	proposal *proposal
	outcome  outcome
}

// collectVerdictsLocked records the fold's verdicts on a batch of this session. publishLocked delivers them to the
// proposers.
func (f *Follower) collectVerdictsLocked(offset wigeonstep.Offset, verdicts []wigeonstate.Verdict) {
	if len(verdicts) == 0 || verdicts[0].Session != f.own.id {
		return
	}
	b := f.own.inflight[verdicts[0].Sequence]
	if b == nil {
		return
	}
	delete(f.own.inflight, b.sequence)
	defer close(b.finished)
	for _, verdict := range verdicts {
		if verdict.Index >= len(b.proposals) {
			break
		}
		p := b.proposals[verdict.Index]
		switch {
		case p == nil:
			f.applySessionVerdictLocked(verdict, b)
		case verdict.Accepted:
			f.resolved = append(f.resolved, resolvedProposal{proposal: p, outcome: outcome{offset: offset}})
		default:
			f.resolved = append(f.resolved, resolvedProposal{proposal: p, outcome: outcome{err: rejected(verdict.Reason)}})
		}
	}
}

// applySessionVerdictLocked handles the verdict on an entry by which the follower opens or renews its session. A rejected
// one is only logged: if the session has ended, publishLocked replaces it.
func (f *Follower) applySessionVerdictLocked(verdict wigeonstate.Verdict, b *batch) {
	switch {
	case !verdict.Accepted:
		f.logger.Warn("session entry rejected", zap.Stringer("session", verdict.Session), zap.String("reason", verdict.Reason))
	case verdict.Entry.GetSessionOpen() != nil:
		f.own.confirmed = true
		// The zero time makes a renewal due at once. The lease starts only with a confirmed renewal.
		f.own.nextRenewal = time.Time{}
		f.logger.Info("session opened", zap.Stringer("session", verdict.Session))
		f.signal()
	case verdict.Entry.GetSessionRenew() != nil:
		f.own.leaseStart = b.firstSent
		f.signal()
	}
}

// publishLocked replaces the session of this process if it has ended, stores the current view, delivers the verdicts and
// updates the readiness.
func (f *Follower) publishLocked() {
	f.replaceEndedSessionLocked()
	view := f.state.View()
	if view != f.view.Load() {
		f.view.Store(view)
	}
	// Verdicts are delivered after the view is stored, so that a proposer finds its change in the view.
	for _, resolved := range f.resolved {
		resolved.proposal.finish(resolved.outcome.offset, resolved.outcome.err)
	}
	f.resolved = nil
	if f.target.known && !f.target.reached && f.state.NextOffset() >= f.target.offset {
		f.target.reached = true
		close(f.ready)
		f.signal()
	}
}

// setReadyOffsetLocked sets the offset at which the follower becomes ready to the end of the log. Only the first call
// has an effect, so records that are appended later do not delay the readiness.
func (f *Follower) setReadyOffsetLocked(end wigeonstep.Offset) {
	if !f.target.known {
		f.target.known, f.target.offset = true, end
	}
}

// confirmFromPlatformLocked records a read from the platform that started at began and reached the end of the log. If the
// previous such read is at most maxOnTimeReadGap ago and the own lease is recent, the time between them counts towards the
// expiry of other sessions. If it is longer ago than the retention time, a snapshot becomes due.
func (f *Follower) confirmFromPlatformLocked(began time.Time) {
	now := time.Now()
	gap := now.Sub(f.freshness.platformReadAt)
	switch {
	case f.freshness.platformReadAt.IsZero():
	case gap <= maxOnTimeReadGap && f.leaseAgeLocked() < maxOwnLeaseAge:
		f.freshness.onTimeTotal += gap
	case gap > f.config.Retention:
		f.snapshotDue = true
	}
	f.freshness.platformReadAt = now
	if began.After(f.freshness.confirmedAt) {
		f.freshness.confirmedAt = began
	}
}

// logReadHealth logs when reads of the fleet stream begin to fail and when they succeed again.
func (f *Follower) logReadHealth(ctx context.Context, err error) {
	f.mu.Lock()
	changed := f.freshness.readFailed != (err != nil)
	f.freshness.readFailed = err != nil
	f.mu.Unlock()
	if !changed || ctx.Err() != nil {
		return
	}
	if err != nil {
		f.logger.Warn("reading the fleet stream from the platform failed", zap.Error(err))
		return
	}
	f.logger.Info("reading the fleet stream from the platform succeeded again")
}

// replaceStateLocked replaces the state by a later one from a snapshot; an older one is ignored. The verdicts on
// batches that the snapshot covers were not seen, so their outcome is unknown, except for intents that the new state
// contains.
func (f *Follower) replaceStateLocked(state *wigeonstate.State) {
	if state.NextOffset() <= f.state.NextOffset() {
		return
	}
	f.state = state
	f.recent = recentRecords{}
	sequence, open := state.SessionStatus(f.own.id)
	if open && f.own.opening && !f.own.confirmed {
		f.own.confirmed = true
		f.own.nextRenewal = time.Time{}
	}
	for number, b := range f.own.inflight {
		if number > sequence {
			continue
		}
		delete(f.own.inflight, number)
		f.resolveSkippedBatch(b)
	}
	f.publishLocked()
}

// resolveSkippedBatch ends a batch whose verdicts were not seen. Its intents succeed if the state contains them; the
// other proposals fail with wigeonstep.ErrAnswerLost.
func (f *Follower) resolveSkippedBatch(b *batch) {
	var sent wigeonwire.Batch
	if err := proto.Unmarshal(b.payload, &sent); err != nil {
		b.fail(fmt.Errorf("%w: %w", wigeonstep.ErrAnswerLost, err))
		return
	}
	for i, p := range b.proposals {
		key, ok := f.state.Key(wigeonstep.IdempotencyKey(sent.GetEntries()[i].GetIntent().GetKey()))
		if p != nil && ok && key.GetSession() == uint64(f.own.id) {
			p.finish(wigeonstep.Offset(key.GetOffset()), nil)
		}
	}
	b.fail(fmt.Errorf("%w: the state was replaced by a snapshot that covers batch %d", wigeonstep.ErrAnswerLost, b.sequence))
}
