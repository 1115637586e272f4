// Package wigeontail follows one partition of a log that keeps the newest record of each key.
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

// Batch is what a tail read at once.
type Batch struct {
	// Reset is set when the records are the newest of all keys: whatever was known before is replaced.
	Reset   bool
	Records []wigeonstep.KeyedRecord
	// From and Next are the offsets before the first and after the last record; From is 0 with Reset.
	From, Next wigeonstep.Offset
	// Complete is set when the batch reaches the end that the log had when it was read. After a Reset, the state is
	// that of one moment only once a complete batch has followed.
	Complete bool
}

// Tail follows one partition.
type Tail struct {
	Log  wigeonstep.KeyedLog
	Part wigeonstep.Partition
	// Wait is how long a read waits for a record.
	Wait time.Duration
	// Gap returns the pause after a read, so that records are read together; nil means none.
	Gap func() time.Duration
	// Kick ends a pause at once; it may be nil.
	Kick <-chan struct{}
	// Apply takes a batch over. Batches come in order and one at a time.
	Apply func(Batch)
	// Lost is called with the error of the first failed read after one that succeeded, and Regained after the next one
	// that succeeds; both may be nil.
	Lost     func(error)
	Regained func()
}

// Run follows the partition until ctx ends.
func (t *Tail) Run(ctx context.Context) {
	delay := minRetryDelay
	failing := false
	next, loaded, complete := wigeonstep.Offset(0), false, false
	for ctx.Err() == nil {
		batch, err := t.read(ctx, loaded, next, complete)
		switch {
		case errors.Is(err, wigeonstep.ErrCompacted):
			loaded = false
			continue
		case ctx.Err() != nil:
			return
		case err != nil:
			if !failing && t.Lost != nil {
				t.Lost(err)
			}
			failing = true
			pause(ctx, delay/2+rand.N(delay), nil)
			delay = min(2*delay, maxRetryDelay)
			continue
		}
		if failing && t.Regained != nil {
			t.Regained()
		}
		failing, delay = false, minRetryDelay
		loaded, next, complete = true, batch.Next, batch.Complete
		t.Apply(batch)
		if t.Gap != nil && batch.Complete {
			pause(ctx, t.Gap(), t.Kick)
		}
	}
}

func (t *Tail) read(ctx context.Context, loaded bool, next wigeonstep.Offset, complete bool) (Batch, error) {
	if !loaded {
		return t.load(ctx)
	}
	wait := t.Wait
	if !complete {
		// The state is not that of one moment yet; the end of the log is there to be read at once.
		wait = 0
	}
	read, err := t.Log.ReadKeyed(ctx, t.Part, next, wait)
	if err != nil {
		return Batch{}, err
	}
	return Batch{Records: read.Records, From: next, Next: read.Next, Complete: read.Next >= read.End}, nil
}

// load lists the newest records. Its pages are no snapshot, so reading goes on from the end that the first page saw.
func (t *Tail) load(ctx context.Context) (Batch, error) {
	batch := Batch{Reset: true}
	after := ""
	for first := true; first || after != ""; first = false {
		page, err := t.Log.Newest(ctx, t.Part, after)
		if err != nil {
			return Batch{}, err
		}
		if first {
			batch.Next = page.End
		}
		batch.Records = append(batch.Records, page.Records...)
		after = page.After
	}
	return batch, nil
}

// pause waits, at most until ctx ends or kick receives.
func pause(ctx context.Context, d time.Duration, kick <-chan struct{}) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-kick:
	}
}
