package wigeoncontrol_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// A wave in a healthy pool must maintain every VM once and never exceed the budget.
func TestWaveMaintainsEveryVMOnce(t *testing.T) {
	t.Parallel()
	w := newSimulation(t, plannerConfigs{}, "a", "b", "c")
	w.addVMs("orders", 12, 32)
	w.addVMs("spare", 3, 32)
	w.run(10*time.Second, nil)
	w.putDocument("orders", 0, 10, "availability: {max_unavailable_workers: 3, max_unavailable_per_rack: 1, survive: none}\nmaintenance: {max_drain_s: 60}\n")
	done := w.run(3*time.Hour, func() bool { return w.poolMaintained("orders") && w.poolMaintained("spare") })
	w.c.Assert(done, qt.IsTrue)
	w.c.Assert(w.run(time.Minute, func() bool { return len(w.state.View().Waves) == 0 }), qt.IsTrue)
	t.Logf("%+v after %s", w.stats, w.now.Sub(time.Unix(1_800_000_000, 0)))
	w.c.Assert(w.stats.budgetBreaches, qt.Equals, 0)
	for _, id := range w.ids {
		w.c.Assert(w.platformVMs[id].reboots, qt.Equals, 1, qt.Commentf("%s", id))
	}
}

// A wave must pause while failures use up the budget, resume when the failed VMs are replaced, and record both for
// explanations.
func TestWavePausesForFailures(t *testing.T) {
	t.Parallel()
	w := newSimulation(t, plannerConfigs{}, "a")
	w.addVMs("orders", 11, 32)
	w.addVMs("spare", 3, 32)
	w.run(10*time.Second, nil)
	w.putDocument("orders", 0, 10, "availability: {max_unavailable_workers: 2}\nmaintenance: {max_drain_s: 40}\n")
	w.c.Assert(w.run(10*time.Minute, func() bool { return len(w.state.View().Waves) == 2 }), qt.IsTrue)
	w.failVMs(w.ids[0], w.ids[1])
	wave := w.state.View().Waves[0].ID
	var actions []string
	w.c.Assert(w.run(time.Hour, func() bool {
		actions = nil
		for _, e := range w.state.Decisions("wave", string(wave)) {
			actions = append(actions, e.GetDecision().GetAction())
		}
		return actions[len(actions)-1] == "end"
	}), qt.IsTrue)
	w.c.Assert(actions, qt.DeepEquals, []string{"start", "pause", "resume", "end"})
	w.c.Assert(w.poolMaintained("orders"), qt.IsTrue)
}

// When more VMs fail than the reserve covers, a VM that is still draining must return to service.
func TestDrainEndsWhenFailuresExceedTheBudget(t *testing.T) {
	t.Parallel()
	w := newSimulation(t, plannerConfigs{}, "a")
	w.addVMs("orders", 8, 32)
	w.run(10*time.Second, nil)
	for _, id := range w.ids {
		w.platformVMs[id].busyUntil = w.now.Add(time.Hour)
	}
	w.putDocument("orders", 0, 6, "availability: {max_unavailable_workers: 2}\nmaintenance: {max_drain_s: 3000}\n")
	w.c.Assert(w.run(10*time.Minute, func() bool { return w.countPhase(wigeonwire.Phase_PHASE_DRAINING) == 1 }), qt.IsTrue)
	var serving []wigeonstep.VMID
	for _, vm := range w.state.View().Pools["orders"] {
		if vm.InService() {
			serving = append(serving, vm.ID)
		}
	}
	w.failVMs(serving[:2]...)
	w.c.Assert(w.run(15*time.Second, func() bool { return w.countPhase(wigeonwire.Phase_PHASE_DRAINING) == 0 }), qt.IsTrue)
	w.run(5*time.Minute, nil)
	w.c.Assert(w.countPhase(wigeonwire.Phase_PHASE_IN_SERVICE), qt.Equals, 6)
}
