package wigeoncontrol_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// lifeCycle runs two waves and a move in one data centre. The daemon loses all that it knows at the given step; -1 never.
// It returns the world and how many steps the daemon made.
func lifeCycle(t *testing.T, dieAt int, prepare func(w *world)) *world {
	t.Helper()
	w := newWorld(t, planners{}, "a")
	w.dieAt = dieAt
	if prepare != nil {
		prepare(w)
	}
	w.addVMs("orders", 2, 32)
	w.addVMs("spare", 2, 32)
	w.run(10*time.Second, nil)
	// Pools without a document are left alone for 5 minutes; fold time advances by at most 5 s with a batch.
	w.now = w.now.Add(5 * time.Minute)
	for range 40 {
		w.renew()
	}
	w.document("orders", 0, 2, "maintenance: {max_drain_s: 40}\nobjective: {buffer_weight: 4}\n")
	waves := map[wigeonstep.VMID]map[wigeonstep.WaveID]bool{}
	quiet := 0
	w.c.Assert(w.run(time.Hour, func() bool {
		view := w.state.View()
		out := len(view.Waves)
		if len(view.Pools["orders"]) != 3 {
			out++
		}
		for _, id := range w.ids {
			vm, m := view.VMs[id], w.truth[id]
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
				out++
			}
		}
		if quiet++; out > 0 {
			quiet = 0
		}
		return quiet > 10
	}), qt.IsTrue, qt.Commentf("step %d: a wave, a VM or a call to the platform was forgotten", dieAt))
	for _, id := range w.ids {
		w.c.Assert(w.truth[id].reboots, qt.Equals, len(waves[id]), qt.Commentf("step %d: VM %s, waves %v", dieAt, id, waves[id]))
	}
	w.c.Assert(w.stats.breaches, qt.Equals, 0)
	return w
}

// A daemon that is killed before or after any proposal or call must leave nothing undone and reboot nothing twice for one wave.
func TestDaemonKilledAtEveryStep(t *testing.T) {
	t.Parallel()
	steps := lifeCycle(t, -1, nil).steps
	t.Logf("%d steps", steps)
	for at := range steps {
		lifeCycle(t, at, nil)
	}
}

// Two daemons of one data centre that both plan must make one effect.
func TestTwoPlannersMakeOneEffect(t *testing.T) {
	t.Parallel()
	w := lifeCycle(t, -1, func(w *world) { w.startDaemon("a", planners{}) })
	w.c.Assert(w.stats.moves, qt.Equals, 1)
}
