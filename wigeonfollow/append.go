package wigeonfollow

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	minBatchInterval = 50 * time.Millisecond
	// batchIntervalPerEntry times the number of entry processes is the interval between paced batches of each. It limits
	// all entry processes together to 200 paced appends per second.
	batchIntervalPerEntry = 5 * time.Millisecond
	// appendTimeout bounds one append. The batch is appended again after a timeout.
	appendTimeout = 5 * time.Second
	// maxIdleWait bounds the wait of appendBatches when no entry is due.
	maxIdleWait = time.Second
)

// batch is one append, from its first attempt until the verdicts on its entries are known.
type batch struct {
	sequence  uint64
	payload   []byte
	firstSent time.Time
	// proposals holds the proposal of each entry, nil for an entry of the follower itself.
	proposals []*proposal
	// finished is closed when the batch was read from the log, is covered by a snapshot, or can no longer take effect.
	finished chan struct{}
}

func (b *batch) fail(err error) {
	for _, p := range b.proposals {
		if p != nil {
			p.finish(0, err)
		}
	}
	close(b.finished)
}

// appendBatches appends the entries that are due, one batch at a time.
func (f *Follower) appendBatches(ctx context.Context) error {
	var lastBatchAt time.Time
	for {
		wait := f.nextAppendDelay(time.Now(), lastBatchAt)
		if wait > 0 {
			timer := time.NewTimer(wait)
			select {
			case <-f.wake:
			case <-timer.C:
			case <-ctx.Done():
				timer.Stop()
				return ctx.Err()
			}
			timer.Stop()
			continue
		}
		if err := f.limiter.Wait(ctx); err != nil {
			return fmt.Errorf("wait for the append rate limiter: %w", err)
		}
		if batch := f.formBatch(time.Now()); batch != nil {
			if len(batch.proposals) > 0 {
				lastBatchAt = batch.firstSent
			}
			f.sendBatch(ctx, batch)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// nextAppendDelay returns the time until the next append is due, zero or less when one is due now.
func (f *Follower) nextAppendDelay(now, lastBatchAt time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !f.target.reached || (f.own.opening && !f.own.confirmed):
		return maxIdleWait
	case !f.own.confirmed:
		if f.own.stopped {
			return maxIdleWait
		}
		return 0
	}
	wait := maxIdleWait
	if !f.own.stopped {
		wait = min(wait, f.own.nextRenewal.Sub(now))
	}
	if len(f.queue.waiting) > 0 && f.mayProposeLocked() {
		if f.queue.urgent > 0 {
			return 0
		}
		wait = min(wait, lastBatchAt.Add(f.batchInterval()).Sub(now))
	}
	return wait
}

// mayProposeLocked reports whether proposals may be appended under the current session. It needs a valid lease, except
// for a process that closes its session, because that will have no later session to propose under.
func (f *Follower) mayProposeLocked() bool {
	return f.own.stopped || f.leaseAgeLocked() < leaseTime
}

// batchInterval returns the minimum time between paced batches, which grows with the number of entry processes.
func (f *Follower) batchInterval() time.Duration {
	entries := 0
	for _, session := range f.View().Sessions {
		if session.Role == wigeonwire.Role_ROLE_ENTRY && !session.Expired {
			entries++
		}
	}
	return max(minBatchInterval, time.Duration(entries)*batchIntervalPerEntry)
}

// formBatch returns a batch with the due session entry and the queued proposals, or nil when there are none.
func (f *Follower) formBatch(now time.Time) *batch {
	// The offset is read before the busy VMs, so that the list is at least as new as the offset that the renewal reports.
	applied := f.View().NextOffset
	busy := f.config.BusyVMs()
	f.mu.Lock()
	defer f.mu.Unlock()
	var entries []*wigeonwire.Entry
	var proposals []*proposal
	switch {
	case !f.own.confirmed:
		if f.own.opening || f.own.stopped {
			return nil
		}
		f.own.opening = true
		entries = append(entries, &wigeonwire.Entry{Body: &wigeonwire.Entry_SessionOpen{SessionOpen: f.config.OpenEntry}})
		proposals = append(proposals, nil)
	default:
		if !f.own.stopped && !now.Before(f.own.nextRenewal) && applied > 0 {
			entries = append(entries, f.renewalEntryLocked(applied-1, busy, now))
			proposals = append(proposals, nil)
		}
		// Without a valid lease the session may have expired. The fold would reject proposals that could be accepted
		// under a new session, so they stay in the queue.
		if !f.mayProposeLocked() {
			break
		}
		for _, p := range f.queue.popBatch() {
			entries = append(entries, p.entry)
			proposals = append(proposals, p)
		}
	}
	if len(entries) == 0 {
		return nil
	}
	return f.encodeLocked(entries, proposals, now)
}

func (f *Follower) encodeLocked(entries []*wigeonwire.Entry, proposals []*proposal, now time.Time) *batch {
	payload, err := proto.Marshal(&wigeonwire.Batch{
		Session:  uint64(f.own.id),
		Sequence: f.own.sequence + 1,
		AtUnixMs: f.config.Now().UnixMilli(),
		Entries:  entries,
	})
	formed := &batch{sequence: f.own.sequence + 1, payload: payload, firstSent: now, proposals: proposals, finished: make(chan struct{})}
	if err != nil {
		formed.fail(fmt.Errorf("%w: encode a batch of %d entries: %w", wigeonstep.ErrUnavailable, len(entries), err))
		return nil
	}
	f.own.sequence++
	if f.own.inflight == nil {
		f.own.inflight = make(map[uint64]*batch)
	}
	f.own.inflight[formed.sequence] = formed
	return formed
}

// sendBatch appends the batch. After a lost answer it appends the identical batch again until the batch is read from
// the log; the fold ignores the duplicates because of their sequence number.
func (f *Follower) sendBatch(ctx context.Context, b *batch) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = minBatchInterval
	delays.MaxInterval = time.Second
	// After one lost answer the batch may be on the log, so no later failure is certain.
	for answerLost := false; ; {
		err := f.appendOnce(ctx, wigeonstep.FleetStream, b.payload)
		if err == nil {
			return
		}
		certain := !errors.Is(err, wigeonstep.ErrAnswerLost) && (errors.Is(err, wigeonstep.ErrUnavailable) || errors.Is(err, wigeonstep.ErrRejected))
		f.logger.Debug("append failed", zap.Error(err), zap.Bool("certain", certain && !answerLost))
		if certain && !answerLost {
			f.revertBatch(b, err)
			sleep(ctx, delays.NextBackOff())
			return
		}
		answerLost = true
		if !f.waitBeforeRepeat(ctx, b, delays.NextBackOff()) {
			return
		}
		if f.limiter.Wait(ctx) != nil {
			return
		}
	}
}

// waitBeforeRepeat waits and reports whether the batch must be appended again.
func (f *Follower) waitBeforeRepeat(ctx context.Context, b *batch, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-b.finished:
		return false
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (f *Follower) appendOnce(ctx context.Context, stream wigeonstep.Stream, payload []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := f.config.Log.Append(ctx, stream, payload); err != nil {
		return fmt.Errorf("append to %s: %w", stream, err)
	}
	return nil
}

// revertBatch undoes a batch that was not appended. Its sequence number becomes free again. Its proposals return to the
// queue, or fail if the log rejected the batch.
func (f *Follower) revertBatch(b *batch, cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.own.inflight[b.sequence] != b {
		return
	}
	delete(f.own.inflight, b.sequence)
	f.own.sequence--
	if !f.own.confirmed {
		f.own.opening = false
	}
	f.own.nextRenewal = time.Time{}
	var waiting []*proposal
	for _, p := range b.proposals {
		if p != nil {
			waiting = append(waiting, p)
		}
	}
	if errors.Is(cause, wigeonstep.ErrRejected) {
		b.proposals = waiting
		b.fail(fmt.Errorf("%w: %w", wigeonstep.ErrUnavailable, cause))
		return
	}
	f.queue.requeue(waiting)
}

func sizeOf(entry *wigeonwire.Entry) int { return proto.Size(entry) }
