package wigeoncontrol_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// runLifecycle runs two waves and a move in one data centre and returns the simulation. The daemon that reaches step
// restartAt restarts there and loses its state; -1 means none does. prepare, unless nil, is called before VMs are added.
func runLifecycle(t *testing.T, restartAt int, prepare func(w *simulation)) *simulation {
	t.Helper()
	w := newSimulation(t, plannerConfigs{}, "a")
	w.restartAt = restartAt
	if prepare != nil {
		prepare(w)
	}
	w.addVMs("orders", 2, 32)
	w.addVMs("spare", 2, 32)
	w.run(10*time.Second, nil)
	// Pools without a document are not changed for 5 minutes, and fold time advances by at most 5 s per batch.
	w.now = w.now.Add(5 * time.Minute)
	for range 40 {
		w.renewSessions()
	}
	w.putDocument("orders", 0, 2, "maintenance: {max_drain_s: 40}\nobjective: {buffer_weight: 4}\n")
	waves := map[wigeonstep.VMID]map[wigeonstep.WaveID]bool{}
	quietSeconds := 0
	w.c.Assert(w.run(time.Hour, func() bool {
		view := w.state.View()
		unfinished := len(view.Waves)
		if len(view.Pools["orders"]) != 3 {
			unfinished++
		}
		for _, id := range w.ids {
			vm, m := view.VMs[id], w.platformVMs[id]
			if vm == nil {
				return false
			}
			if waves[id] == nil {
				waves[id] = map[wigeonstep.WaveID]bool{}
			}
			if vm.LastWave != "" {
				waves[id][vm.LastWave] = true
			}
			if vm.Phase != wigeonwire.Phase_PHASE_IN_SERVICE || vm.LastWave == "" || m.draining || m.Pool != vm.Pool {
				unfinished++
			}
		}
		if quietSeconds++; unfinished > 0 {
			quietSeconds = 0
		}
		return quietSeconds > 10
	}), qt.IsTrue, qt.Commentf("step %d: a wave, a VM or a call to the platform remained unfinished", restartAt))
	for _, id := range w.ids {
		w.c.Assert(w.platformVMs[id].reboots, qt.Equals, len(waves[id]), qt.Commentf("step %d: VM %s, waves %v", restartAt, id, waves[id]))
	}
	w.c.Assert(w.stats.budgetBreaches, qt.Equals, 0)
	return w
}

// A daemon that is killed before or after any proposal or action must leave no work unfinished, and must not reboot a VM
// twice for one wave.
func TestDaemonKilledAtEveryStep(t *testing.T) {
	t.Parallel()
	steps := runLifecycle(t, -1, nil).steps
	t.Logf("%d steps", steps)
	for at := range steps {
		runLifecycle(t, at, nil)
	}
}

// Two daemons of one data centre that both plan must have the effect of one.
func TestTwoPlannersActOnce(t *testing.T) {
	t.Parallel()
	w := runLifecycle(t, -1, func(w *simulation) { w.startDaemon("a", plannerConfigs{}) })
	w.c.Assert(w.stats.moves, qt.Equals, 1)
}
