package wigeonfollow_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonfollow"
)

// countingLog counts the records that are read from the snapshot stream.
type countingLog struct {
	wigeonstep.Log
	records atomic.Int64
}

func (l *countingLog) Read(ctx context.Context, stream wigeonstep.Stream, from wigeonstep.Offset, limit int, wait time.Duration) (wigeonstep.LogRead, error) {
	read, err := l.Log.Read(ctx, stream, from, limit, wait)
	if stream == wigeonstep.SnapshotStream {
		l.records.Add(int64(len(read.Records)))
	}
	return read, err
}

// Guards against a start that reads all snapshots in the stream, which holds about four.
func TestStartReadsTheNewestSnapshotOnly(t *testing.T) {
	for _, test := range []struct {
		name string
		// before and after are the numbers of other records around the newest snapshot.
		before, after int
		bound         int64
	}{
		{"newest at the end", 500, 0, 40},
		{"half-written ones after it", 500, 60, 250},
	} {
		t.Run(test.name, func(t *testing.T) {
			runWithFakeTime(t, func(t *testing.T, c *qt.C, log *memoryLog) {
				for range test.before {
					log.append(wigeonstep.SnapshotStream, []byte("an older snapshot"))
				}
				control := startProcess(t, log, 1, controlRole, shortRetention)
				defer control.stop()
				control.waitSessionOpen(t)
				_, err := control.Propose(t.Context(), observation("a1", 8))
				c.Assert(err, qt.IsNil)
				time.Sleep(20 * time.Second)
				for range test.after {
					log.append(wigeonstep.SnapshotStream, []byte("a half-written snapshot"))
				}
				counting := &countingLog{}
				late := startProcess(t, log, 2, entryRole, func(config *wigeonfollow.Config, p *logClient) {
					counting.Log = p
					config.Log = counting
				})
				defer late.stop()
				late.waitSessionOpen(t)
				c.Assert(late.View().VMs, qt.HasLen, 1)
				c.Assert(counting.records.Load() > 0, qt.IsTrue)
				c.Assert(counting.records.Load() <= test.bound, qt.IsTrue, qt.Commentf("%d records", counting.records.Load()))
			})
		})
	}
}
