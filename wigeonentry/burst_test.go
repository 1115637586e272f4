package wigeonentry_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
)

// TestBurst guards against slow refusals, refused requests that ran, and missed deadlines in a burst of five times the
// capacity of the pool. Requests that exceed the queue time have to be refused at once and must not run; admitted ones
// have to end within their deadline. The capacity is only 40 requests/s, so that a busy machine does not fail the test.
func TestBurst(t *testing.T) {
	f := newFleet(t, 1, 1, nil)
	for range 20 { // lets the admission queue learn the run time
		f.c.Assert(send(f.entries[0].address, http.MethodPost, "/read?run_ms=200", "burst", wigeonstep.HeaderTeam, "wax", wigeonstep.HeaderClass, "read").outcome, qt.Equals, wigeonstep.OutcomeDone)
	}
	type timedAnswer struct {
		answer
		took time.Duration
	}
	var callers sync.WaitGroup
	results := make(chan timedAnswer, 2000)
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for range 400 {
		<-ticker.C
		callers.Go(func() {
			begin := time.Now()
			got := send(f.entries[0].address, http.MethodPost, "/read?run_ms=200", "burst", wigeonstep.HeaderTeam, "wax", wigeonstep.HeaderClass, "read", wigeonstep.HeaderDeadlineMS, "8000")
			results <- timedAnswer{got, time.Since(begin)}
		})
	}
	callers.Wait()
	close(results)
	done, refused, slowestRefusal := 0, 0, time.Duration(0)
	for got := range results {
		f.c.Assert(got.err, qt.IsNil)
		switch got.outcome {
		case wigeonstep.OutcomeDone:
			done++
		case wigeonstep.OutcomeNotRun:
			refused++
			f.c.Assert(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
			slowestRefusal = max(slowestRefusal, got.took)
		default:
			t.Errorf("%+v", got)
		}
	}
	t.Logf("%d done, %d refused, the slowest refusal took %v", done, refused, slowestRefusal)
	f.c.Assert(slowestRefusal < 2500*time.Millisecond, qt.IsTrue)
	// No refused request ran, and none ran twice.
	f.c.Assert(f.runCounter.Counts().Total, qt.Equals, done+20)
	f.c.Assert(done > 75, qt.IsTrue)
	f.c.Assert(refused > 75, qt.IsTrue)
}
