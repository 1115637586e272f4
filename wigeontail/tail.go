// Package wigeontail follows one partition of a compacted log, which keeps the newest record of each key.
package wigeontail

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

const (
	minRetryDelay = 30 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

// Batch holds the records of one read.
type Batch struct {
	// Reset is set when Records holds the newest records of all keys. The receiver discards its previous state.
	Reset   bool
	Records []wigeonstep.KeyedRecord
	// From is the offset at which the read began, or 0 with Reset. Next is the offset of the next read.
	From, Next wigeonstep.Offset
	// Complete is set when the batch reaches the end that the partition had at the time of the read. It is never set with
	// Reset: after one, the state is consistent only once a complete batch has been applied.
	Complete bool
}

// Tail follows one partition of a log and passes its records on in batches.
type Tail struct {
	Log       wigeonstep.KeyedLog
	Partition wigeonstep.Partition
	// MaxWait bounds the time that a read at the end of the partition waits for a record.
	MaxWait time.Duration
	// BatchPause returns the pause after a complete batch, which lets more records accumulate for the next read; nil means none.
	BatchPause func() time.Duration
	// Wake ends such a pause when it receives a value; it may be nil.
	Wake <-chan struct{}
	// Apply receives the batches in order, one call at a time.
	Apply func(Batch)
	// OnOutage is called with the error of a failed read if the read before it did not fail, and OnRecovery when a read
	// succeeds after failed ones. ErrCompacted is not a failure. Both functions may be nil.
	OnOutage   func(error)
	OnRecovery func()
}

// Run follows the partition until ctx ends. It repeats failed reads with an exponential, jittered delay, and lists all keys
// anew when compaction has removed the next offset, after a delay if that happens again before a read succeeds.
func (t *Tail) Run(ctx context.Context) {
	delay := minRetryDelay
	failing := false
	// compactions counts the reads since the last successful one whose offset the log no longer held.
	compactions := 0
	next, loaded, complete := wigeonstep.Offset(0), false, false
	for ctx.Err() == nil {
		batch, err := t.readBatch(ctx, loaded, next, complete)
		switch {
		case errors.Is(err, wigeonstep.ErrCompacted):
			loaded = false
			if compactions++; compactions > 1 {
				pause := min(minRetryDelay<<min(compactions, 8), maxRetryDelay)
				sleep(ctx, pause/2+rand.N(pause), nil)
			}
			continue
		case ctx.Err() != nil:
			return
		case err != nil:
			if !failing && t.OnOutage != nil {
				t.OnOutage(err)
			}
			failing = true
			sleep(ctx, delay/2+rand.N(delay), nil)
			delay = min(2*delay, maxRetryDelay)
			continue
		}
		if failing && t.OnRecovery != nil {
			t.OnRecovery()
		}
		failing, delay = false, minRetryDelay
		loaded, next, complete = true, batch.Next, batch.Complete
		if !batch.Reset {
			compactions = 0
		}
		t.Apply(batch)
		if t.BatchPause != nil && batch.Complete {
			sleep(ctx, t.BatchPause(), t.Wake)
		}
	}
}

// readBatch returns the records from next on, or the newest records of all keys if loaded is false. complete tells whether
// the previous batch was complete.
func (t *Tail) readBatch(ctx context.Context, loaded bool, next wigeonstep.Offset, complete bool) (Batch, error) {
	if !loaded {
		return t.readNewest(ctx)
	}
	wait := t.MaxWait
	if !complete {
		// The log has more records than have been read, so the read must not wait for new ones. The state becomes consistent
		// only with them.
		wait = 0
	}
	read, err := t.Log.ReadKeyed(ctx, t.Partition, next, wait)
	if err != nil {
		return Batch{}, err
	}
	return Batch{Records: read.Records, From: next, Next: read.Next, Complete: read.Next >= read.End}, nil
}

// readNewest lists the newest record of each key. The pages of the listing are not a snapshot of one moment, so Next is the
// end of the partition at the first page: the records written during the listing are read again after it.
func (t *Tail) readNewest(ctx context.Context) (Batch, error) {
	batch := Batch{Reset: true}
	after := ""
	for first := true; first || after != ""; first = false {
		page, err := t.Log.ListNewest(ctx, t.Partition, after)
		if err != nil {
			return Batch{}, err
		}
		if first {
			batch.Next = page.End
		}
		batch.Records = append(batch.Records, page.Records...)
		after = page.NextAfter
	}
	return batch, nil
}

// sleep returns after d, or earlier when ctx ends or wake receives a value.
func sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-wake:
	}
}
