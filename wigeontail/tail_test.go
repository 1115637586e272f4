package wigeontail

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
)

// memoryLog is a log of one partition whose pages hold two records.
type memoryLog struct {
	mu      sync.Mutex
	records []wigeonstep.KeyedRecord
	// first is the oldest offset that can be read; the records before it are compacted.
	first   wigeonstep.Offset
	failing bool
	// onListing is called before the content of a page is determined.
	onListing func(after string)
}

var errLogDown = errors.New("log is down")

func (l *memoryLog) add(key, value string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, wigeonstep.KeyedRecord{Key: key, Value: []byte(value)})
}

func (l *memoryLog) ReadKeyed(ctx context.Context, _ wigeonstep.Partition, from wigeonstep.Offset, wait time.Duration) (wigeonstep.KeyedRead, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := wigeonstep.Offset(len(l.records))
	switch {
	case l.failing:
		return wigeonstep.KeyedRead{}, errLogDown
	case from < l.first:
		return wigeonstep.KeyedRead{}, wigeonstep.ErrCompacted
	case from >= end && wait > 0:
		l.mu.Unlock()
		sleep(ctx, time.Millisecond, nil)
		l.mu.Lock()
		end = wigeonstep.Offset(len(l.records))
	}
	return wigeonstep.KeyedRead{Records: append([]wigeonstep.KeyedRecord(nil), l.records[from:end]...), Next: end, End: end}, nil
}

func (l *memoryLog) ListNewest(_ context.Context, _ wigeonstep.Partition, after string) (wigeonstep.NewestPage, error) {
	if l.onListing != nil {
		l.onListing(after)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failing {
		return wigeonstep.NewestPage{}, errLogDown
	}
	newest := map[string]wigeonstep.KeyedRecord{}
	var keys []string
	for _, r := range l.records {
		if _, known := newest[r.Key]; !known {
			keys = append(keys, r.Key)
		}
		newest[r.Key] = r
	}
	page := wigeonstep.NewestPage{End: wigeonstep.Offset(len(l.records))}
	for _, key := range keys {
		if key <= after {
			continue
		}
		if len(page.Records) == 2 {
			page.NextAfter = page.Records[1].Key
			break
		}
		page.Records = append(page.Records, newest[key])
	}
	return page, nil
}

// runTail runs a tail until a complete batch makes the state satisfy until, and returns the value of each key.
func runTail(t *testing.T, log *memoryLog, until func(known map[string]string) bool) map[string]string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	known := map[string]string{}
	tail := Tail{Log: log, MaxWait: time.Millisecond, Apply: func(b Batch) {
		if b.Reset {
			clear(known)
		}
		for _, r := range b.Records {
			known[r.Key] = string(r.Value)
		}
		if b.Complete && until(known) {
			cancel()
		}
	}}
	tail.Run(ctx)
	qt.Assert(t, errors.Is(ctx.Err(), context.Canceled), qt.IsTrue, qt.Commentf("known: %v", known))
	return known
}

// Guards against treating the pages of a listing as a snapshot: records written during the listing must be read again.
func TestRecordsThatChangeDuringTheListing(t *testing.T) {
	log := &memoryLog{}
	for i := range 6 {
		log.add(fmt.Sprint("k", i), "old")
	}
	log.onListing = func(after string) {
		if after == "k1" {
			log.add("k0", "new")
			log.add("k5", "new")
		}
	}
	known := runTail(t, log, func(known map[string]string) bool { return len(known) == 6 })
	qt.Assert(t, known["k0"], qt.Equals, "new")
	qt.Assert(t, known["k5"], qt.Equals, "new")
	qt.Assert(t, known["k3"], qt.Equals, "old")
}

// Guards against a tail that stops or misses records when compaction has removed the records that it would
// read next.
func TestTailReloadsAfterCompaction(t *testing.T) {
	log := &memoryLog{}
	log.add("k0", "one")
	compacted := false
	known := runTail(t, log, func(known map[string]string) bool {
		if !compacted {
			compacted = true
			log.add("k1", "two")
			log.add("k2", "three")
			log.mu.Lock()
			// Offsets 0 to 2 can only be listed, no longer read.
			log.first = 3
			log.mu.Unlock()
		}
		return known["k2"] == "three"
	})
	qt.Assert(t, known, qt.DeepEquals, map[string]string{"k0": "one", "k1": "two", "k2": "three"})
}

// Guards against an outage that is reported once for each failed read, or whose end is not reported.
func TestOutageIsReportedOnce(t *testing.T) {
	c := qt.New(t)
	log := &memoryLog{failing: true}
	log.add("k0", "one")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	lost, regained := 0, 0
	tail := Tail{
		Log: log, MaxWait: time.Millisecond,
		Apply: func(Batch) {},
		OnOutage: func(error) {
			lost++
			time.AfterFunc(100*time.Millisecond, func() {
				log.mu.Lock()
				log.failing = false
				log.mu.Unlock()
			})
		},
		OnRecovery: func() {
			regained++
			cancel()
		},
	}
	tail.Run(ctx)
	c.Assert(lost, qt.Equals, 1)
	c.Assert(regained, qt.Equals, 1)
}

// compactingLog drops its history before every read, and counts the listings.
type compactingLog struct{ listings atomic.Int64 }

func (l *compactingLog) ReadKeyed(context.Context, wigeonstep.Partition, wigeonstep.Offset, time.Duration) (wigeonstep.KeyedRead, error) {
	return wigeonstep.KeyedRead{}, wigeonstep.ErrCompacted
}

func (l *compactingLog) ListNewest(context.Context, wigeonstep.Partition, string) (wigeonstep.NewestPage, error) {
	l.listings.Add(1)
	return wigeonstep.NewestPage{}, nil
}

// Guards against a tail that lists all keys without a pause while the log drops its history again and again: each process
// would add to the load of a store in trouble as fast as it can.
func TestRepeatedCompactionDelaysTheListing(t *testing.T) {
	log := &compactingLog{}
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	tail := Tail{Log: log, Apply: func(Batch) {}}
	tail.Run(ctx)
	// The delays of 60 ms and more are halved at most.
	qt.Assert(t, log.listings.Load() >= 2 && log.listings.Load() <= 12, qt.IsTrue, qt.Commentf("%d listings", log.listings.Load()))
}
