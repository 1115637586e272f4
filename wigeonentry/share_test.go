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

// TestSlotsAreShared guards that two entry processes together use the slots of a worker and do not overrun it.
func TestSlotsAreShared(t *testing.T) {
	f := newFleet(t, 1, 2, nil)
	var callers sync.WaitGroup
	failures := make(chan answer, 1000)
	for i := range 16 {
		callers.Go(func() {
			for range 25 {
				got := send(f.entries[i%2].address, http.MethodPost, "/read?run_ms=5", "share", wigeonstep.HeaderTeam, "wax", wigeonstep.HeaderClass, "read")
				if got.outcome != wigeonstep.OutcomeDone {
					failures <- got
				}
			}
		})
	}
	callers.Wait()
	close(failures)
	for got := range failures {
		t.Errorf("%+v", got)
	}
	stats := f.backends[0].Stats()
	f.c.Assert(stats.MaxInFlight >= 6, qt.IsTrue, qt.Commentf("%+v", stats))
	f.c.Assert(stats.Busy <= 20, qt.IsTrue, qt.Commentf("%+v", stats))
}

// TestDecisionsAreKept guards that a quarantine is on the log with its cause, for explain.
func TestDecisionsAreKept(t *testing.T) {
	f := newFleet(t, 4, 1, nil)
	f.backends[0].SetFaults(wigeonfake.BackendFaults{FailAll: true})
	stop := f.load(4)
	defer stop()
	waitFor(t, "the quarantine to be recorded", func() (found bool) {
		f.control.Read(func(state *wigeonstate.State) {
			for _, explained := range state.Explain("vm", "vm-0") {
				found = found || explained.GetDecision().GetAction() == "quarantine" && explained.GetDecision().GetCause() != ""
			}
		})
		return found
	})
}
