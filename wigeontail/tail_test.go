package wigeontail

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
)

// memoryLog is a log of one partition whose pages hold two records.
type memoryLog struct {
	mu      sync.Mutex
	records []wigeonstep.KeyedRecord
	first   wigeonstep.Offset
	failing bool
	// during is called while a page is listed, before it is returned.
	during func(after string)
}

var errDown = errors.New("down")

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
		return wigeonstep.KeyedRead{}, errDown
	case from < l.first:
		return wigeonstep.KeyedRead{}, wigeonstep.ErrCompacted
	case from >= end && wait > 0:
		l.mu.Unlock()
		pause(ctx, time.Millisecond, nil)
		l.mu.Lock()
		end = wigeonstep.Offset(len(l.records))
	}
	return wigeonstep.KeyedRead{Records: append([]wigeonstep.KeyedRecord(nil), l.records[from:end]...), Next: end, End: end}, nil
}

func (l *memoryLog) Newest(_ context.Context, _ wigeonstep.Partition, after string) (wigeonstep.NewestPage, error) {
	if l.during != nil {
		l.during(after)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failing {
		return wigeonstep.NewestPage{}, errDown
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
			page.After = page.Records[1].Key
			break
		}
		page.Records = append(page.Records, newest[key])
	}
	return page, nil
}

// follow runs a tail and returns what it knows of each key.
func follow(t *testing.T, log *memoryLog, until func(known map[string]string) bool) map[string]string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	known := map[string]string{}
	tail := Tail{Log: log, Wait: time.Millisecond, Apply: func(b Batch) {
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

// Guards against pages that are taken for a snapshot: records that change while they are listed are read again.
func TestRecordsThatChangeDuringTheListing(t *testing.T) {
	log := &memoryLog{}
	for i := range 6 {
		log.add(fmt.Sprint("k", i), "old")
	}
	log.during = func(after string) {
		if after == "k1" {
			log.add("k0", "new")
			log.add("k5", "new")
		}
	}
	known := follow(t, log, func(known map[string]string) bool { return len(known) == 6 })
	qt.Assert(t, known["k0"], qt.Equals, "new")
	qt.Assert(t, known["k5"], qt.Equals, "new")
	qt.Assert(t, known["k3"], qt.Equals, "old")
}

// Guards against a tail that stops, or misses records, when the log drops its history.
func TestHistoryIsDropped(t *testing.T) {
	log := &memoryLog{}
	log.add("k0", "one")
	dropped := false
	known := follow(t, log, func(known map[string]string) bool {
		if !dropped {
			dropped = true
			log.add("k1", "two")
			log.add("k2", "three")
			log.mu.Lock()
			log.first = 3
			log.mu.Unlock()
		}
		return known["k2"] == "three"
	})
	qt.Assert(t, known, qt.DeepEquals, map[string]string{"k0": "one", "k1": "two", "k2": "three"})
}

// Guards against an outage that is reported for each failed read, or whose end is not reported.
func TestOutageIsReportedOnce(t *testing.T) {
	c := qt.New(t)
	log := &memoryLog{failing: true}
	log.add("k0", "one")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	lost, regained := 0, 0
	tail := Tail{
		Log: log, Wait: time.Millisecond,
		Apply: func(Batch) {},
		Lost: func(error) {
			lost++
			time.AfterFunc(100*time.Millisecond, func() {
				log.mu.Lock()
				log.failing = false
				log.mu.Unlock()
			})
		},
		Regained: func() {
			regained++
			cancel()
		},
	}
	tail.Run(ctx)
	c.Assert(lost, qt.Equals, 1)
	c.Assert(regained, qt.Equals, 1)
}
