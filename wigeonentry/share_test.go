package wigeonentry_test

import (
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonfake"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
)

// TestSlotsAreShared guards against two entry processes that together leave slots of a worker unused or exceed them.
func TestSlotsAreShared(t *testing.T) {
	f := newFleet(t, 1, 2, nil)
	var callers sync.WaitGroup
	stopCallers := make(chan struct{})
	var mu sync.Mutex
	var failures []answer
	for i := range 16 {
		callers.Go(func() {
			for {
				select {
				case <-stopCallers:
					return
				default:
				}
				got := send(f.entries[i%2].address, http.MethodPost, "/read?run_ms=5", "share", wigeonstep.HeaderTeam, "wax", wigeonstep.HeaderClass, "read")
				if got.outcome != wigeonstep.OutcomeDone {
					mu.Lock()
					failures = append(failures, got)
					mu.Unlock()
				}
			}
		})
	}
	waitFor(t, "all slots to be used", func() bool { return f.backends[0].Stats().MaxInFlight == 8 })
	total := f.runCounter.Counts().Total
	waitFor(t, "more work", func() bool { return f.runCounter.Counts().Total > total+400 })
	close(stopCallers)
	callers.Wait()
	stats := f.backends[0].Stats()
	f.c.Assert(failures, qt.HasLen, 0, qt.Commentf("%+v", stats))
	f.c.Assert(stats.Busy <= 20, qt.IsTrue, qt.Commentf("%+v", stats))
}

// TestQuarantineIsRecorded guards against a quarantine that the explain command cannot show, because it is not on the
// log with its cause.
func TestQuarantineIsRecorded(t *testing.T) {
	f := newFleet(t, 4, 1, nil)
	f.backends[0].SetFaults(wigeonfake.BackendFaults{FailAll: true})
	stop := f.startLoad(4)
	defer stop()
	waitFor(t, "the quarantine to be recorded", func() (found bool) {
		f.control.Read(func(state *wigeonstate.State) {
			for _, explained := range state.Decisions("vm", "vm-0") {
				found = found || explained.GetDecision().GetAction() == "quarantine" && explained.GetDecision().GetCause() != ""
			}
		})
		return found
	})
}
