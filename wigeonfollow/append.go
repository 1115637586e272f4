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
	// batchIntervalPerEntry keeps the intents of all entry processes together at 200 appends a second.
	batchIntervalPerEntry = 5 * time.Millisecond
	// appendTimeout ends an append that the platform does not answer; the batch is then repeated.
	appendTimeout = 5 * time.Second
	// idleWait bounds how long the appender sleeps when nothing is known to become due.
	idleWait = time.Second
)

// batch is one append, from its first send until the fold has judged it.
type batch struct {
	sequence  uint64
	payload   []byte
	firstSent time.Time
	// proposals are parallel to the entries; a nil proposal is an entry of the follower itself.
	proposals []*proposal
	// seen is closed when the batch was read back or can no longer take effect.
	seen chan struct{}
}

func (b *batch) fail(err error) {
	for _, p := range b.proposals {
		if p != nil {
			p.finish(0, err)
		}
	}
	close(b.seen)
}

// appendBatches sends what is due, one append at a time.
func (f *Follower) appendBatches(ctx context.Context) error {
	var lastPaced time.Time
	for {
		wait := f.untilDue(time.Now(), lastPaced)
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
			return fmt.Errorf("wait to append: %w", err)
		}
		if batch := f.form(time.Now()); batch != nil {
			if len(batch.proposals) > 0 {
				lastPaced = batch.firstSent
			}
			f.send(ctx, batch)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// untilDue returns how long nothing needs to be appended.
func (f *Follower) untilDue(now, lastPaced time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !f.target.reached || (f.own.opening && !f.own.confirmed):
		return idleWait
	case !f.own.confirmed:
		if f.own.stopped {
			return idleWait
		}
		return 0
	}
	wait := idleWait
	if !f.own.stopped {
		wait = min(wait, f.own.nextRenewal.Sub(now))
	}
	if len(f.queue.waiting) > 0 && f.mayProposeLocked() {
		if f.queue.urgent > 0 {
			return 0
		}
		wait = min(wait, lastPaced.Add(f.batchInterval()).Sub(now))
	}
	return wait
}

// mayProposeLocked reports whether proposals may go under the session. A process that closes its session has no later one to wait for.
func (f *Follower) mayProposeLocked() bool {
	return f.own.stopped || f.leaseAgeLocked() < leaseTime
}

// batchInterval grows with the number of entry processes.
func (f *Follower) batchInterval() time.Duration {
	entries := 0
	for _, session := range f.View().Sessions {
		if session.Role == wigeonwire.Role_ROLE_ENTRY && !session.Expired {
			entries++
		}
	}
	return max(minBatchInterval, time.Duration(entries)*batchIntervalPerEntry)
}

// form puts the due renewal and the waiting proposals into a batch, or returns nil when nothing is left to send.
func (f *Follower) form(now time.Time) *batch {
	// The offset is read before the VMs in use, so that the renewal never claims more than the process knew.
	applied := f.View().Next
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
		entries = append(entries, &wigeonwire.Entry{Body: &wigeonwire.Entry_SessionOpen{SessionOpen: f.config.Open}})
		proposals = append(proposals, nil)
	default:
		if !f.own.stopped && !now.Before(f.own.nextRenewal) && applied > 0 {
			entries = append(entries, f.renewLocked(applied-1, busy, now))
			proposals = append(proposals, nil)
		}
		// Without a valid lease the session may have expired, and the fold would refuse what could go under a new one.
		if !f.mayProposeLocked() {
			break
		}
		for _, p := range f.queue.take() {
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
	formed := &batch{sequence: f.own.sequence + 1, payload: payload, firstSent: now, proposals: proposals, seen: make(chan struct{})}
	if err != nil {
		formed.fail(fmt.Errorf("%w: the entry cannot be encoded: %w", wigeonstep.ErrUnavailable, err))
		return nil
	}
	f.own.sequence++
	if f.own.inflight == nil {
		f.own.inflight = make(map[uint64]*batch)
	}
	f.own.inflight[formed.sequence] = formed
	return formed
}

// send appends the batch. When the answer is lost it repeats the same batch until the log shows it, so that the fold drops the copies.
func (f *Follower) send(ctx context.Context, b *batch) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = minBatchInterval
	delays.MaxInterval = time.Second
	for lost := false; ; {
		err := f.appendOnce(ctx, wigeonstep.FleetStream, b.payload)
		if err == nil {
			return
		}
		certain := !errors.Is(err, wigeonstep.ErrAnswerLost) && (errors.Is(err, wigeonstep.ErrUnavailable) || errors.Is(err, wigeonstep.ErrRejected))
		f.logger.Debug("append failed", zap.Error(err), zap.Bool("certain", certain && !lost))
		if certain && !lost {
			f.takeBack(b, err)
			sleep(ctx, delays.NextBackOff())
			return
		}
		lost = true
		if !f.waitUnseen(ctx, b, delays.NextBackOff()) {
			return
		}
		if f.limiter.Wait(ctx) != nil {
			return
		}
	}
}

// waitUnseen waits before a repetition and reports whether the batch still needs one.
func (f *Follower) waitUnseen(ctx context.Context, b *batch, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-b.seen:
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

// takeBack undoes a batch that was certainly not appended: its sequence number is free again and its proposals wait.
func (f *Follower) takeBack(b *batch, cause error) {
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
	f.queue.putBack(waiting)
}

func sizeOf(entry *wigeonwire.Entry) int { return proto.Size(entry) }
