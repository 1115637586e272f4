package wigeoncontrol_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// A wave over a healthy pool must reach every VM and never exceed the budget.
func TestWaveMaintainsEveryVMOnce(t *testing.T) {
	t.Parallel()
	w := newWorld(t, planners{}, "a", "b", "c")
	w.addVMs("orders", 12, 32)
	w.addVMs("spare", 3, 32)
	w.run(10*time.Second, nil)
	w.document("orders", 0, 10, "availability: {max_unavailable_workers: 3, max_unavailable_per_rack: 1, survive: none}\nmaintenance: {max_drain_s: 60}\n")
	done := w.run(3*time.Hour, func() bool { return w.maintained("orders") && w.maintained("spare") })
	w.c.Assert(done, qt.IsTrue)
	w.c.Assert(w.run(time.Minute, func() bool { return len(w.state.View().Waves) == 0 }), qt.IsTrue)
	t.Logf("%+v after %s", w.stats, w.now.Sub(time.Unix(1_800_000_000, 0)))
	w.c.Assert(w.stats.breaches, qt.Equals, 0)
	for _, id := range w.ids {
		w.c.Assert(w.truth[id].reboots, qt.Equals, 1, qt.Commentf("%s", id))
	}
}

// A wave must stop while failures use up the budget, resume once they are replaced, and record both for explain.
func TestWavePausesForFailures(t *testing.T) {
	t.Parallel()
	w := newWorld(t, planners{}, "a")
	w.addVMs("orders", 11, 32)
	w.addVMs("spare", 3, 32)
	w.run(10*time.Second, nil)
	w.document("orders", 0, 10, "availability: {max_unavailable_workers: 2}\nmaintenance: {max_drain_s: 40}\n")
	w.c.Assert(w.run(10*time.Minute, func() bool { return len(w.state.View().Waves) == 2 }), qt.IsTrue)
	w.kill(w.ids[0], w.ids[1])
	wave := w.state.View().Waves[0].ID
	var actions []string
	w.c.Assert(w.run(time.Hour, func() bool {
		actions = nil
		for _, e := range w.state.Explain("wave", string(wave)) {
			actions = append(actions, e.GetDecision().GetAction())
		}
		return actions[len(actions)-1] == "end"
	}), qt.IsTrue)
	w.c.Assert(actions, qt.DeepEquals, []string{"start", "pause", "resume", "end"})
	w.c.Assert(w.maintained("orders"), qt.IsTrue)
}

// When more fails than the reserve covers, a VM that still drains must return to service instead of adding to the loss.
func TestDrainEndsWhenFailuresExceedTheBudget(t *testing.T) {
	t.Parallel()
	w := newWorld(t, planners{}, "a")
	w.addVMs("orders", 8, 32)
	w.run(10*time.Second, nil)
	for _, id := range w.ids {
		w.truth[id].busyUntil = w.now.Add(time.Hour)
	}
	w.document("orders", 0, 6, "availability: {max_unavailable_workers: 2}\nmaintenance: {max_drain_s: 3000}\n")
	w.c.Assert(w.run(10*time.Minute, func() bool { return w.phase(wigeonwire.Phase_PHASE_DRAINING) == 1 }), qt.IsTrue)
	var serving []wigeonstep.VMID
	for _, vm := range w.state.View().Pools["orders"] {
		if vm.InService() {
			serving = append(serving, vm.ID)
		}
	}
	w.kill(serving[:2]...)
	w.c.Assert(w.run(15*time.Second, func() bool { return w.phase(wigeonwire.Phase_PHASE_DRAINING) == 0 }), qt.IsTrue)
	w.run(5*time.Minute, nil)
	w.c.Assert(w.phase(wigeonwire.Phase_PHASE_IN_SERVICE), qt.Equals, 6)
}
