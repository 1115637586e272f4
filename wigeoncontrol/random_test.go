package wigeoncontrol_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// Restarts of VMs, killed daemons, data centres cut off and faults of the list, mixed at random through a wave, must leave
// nothing undone: afterwards every VM serves and was rebooted and verified, once by wigeonstep for each of its waves.
// A VM that failed during the wave and came back by itself needs no further reboot.
func TestRandomFaultsConverge(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, planners{}, "a", "b", "c")
			w.rng = rand.New(rand.NewPCG(seed, 3))
			w.addVMs("orders", 13, 32)
			w.addVMs("ovens", 8, 16)
			w.addVMs("spare", 5, 32)
			w.run(10*time.Second, nil)
			w.document("orders", 0, 10, "availability: {max_unavailable_workers: 3, survive: rack}\nmaintenance: {max_drain_s: 40}\n")
			w.document("ovens", 0, 7, "availability: {max_unavailable_workers: 2}\nmaintenance: {max_drain_s: 30, checkpoint: true}\n")
			waves := map[wigeonstep.VMID]map[wigeonstep.WaveID]bool{}
			track := func() bool {
				for id, vm := range w.state.View().VMs {
					if waves[id] == nil {
						waves[id] = map[wigeonstep.WaveID]bool{}
					}
					if vm.LastWave != "" {
						waves[id][vm.LastWave] = true
					}
				}
				return false
			}
			for range 15 {
				w.disturb()
				w.run(time.Duration(20+w.rng.IntN(120))*time.Second, track)
			}
			w.listFault = ""
			done := w.run(3*time.Hour, func() bool {
				track()
				view := w.state.View()
				busy := len(view.Waves)
				for _, id := range w.ids {
					vm, m := view.VMs[id], w.truth[id]
					if vm == nil || vm.Phase != wigeonwire.Phase_PHASE_IN_SERVICE || vm.LastMaintained.IsZero() || m.Pool != vm.Pool || m.draining {
						busy++
					}
				}
				return busy == 0
			})
			if !done {
				for _, id := range w.ids {
					t.Logf("%+v %+v", w.vm(id), w.truth[id])
				}
				t.Logf("waves %v", w.state.View().Waves)
			}
			w.c.Assert(done, qt.IsTrue)
			for _, id := range w.ids {
				w.c.Assert(w.truth[id].reboots, qt.Equals, len(waves[id]), qt.Commentf("VM %s, waves %v", id, waves[id]))
			}
			w.c.Assert(w.stats.breachesBySingle, qt.Equals, 0)
		})
	}
}

// disturb makes one random fault.
func (w *world) disturb() {
	daemon := w.daemons[w.rng.IntN(len(w.daemons))]
	switch w.rng.IntN(5) {
	case 0:
		m := w.truth[w.ids[w.rng.IntN(len(w.ids))]]
		if m.Up {
			m.Up, m.upAt = false, w.now.Add(time.Duration(30+w.rng.IntN(200))*time.Second)
		}
	case 1:
		if !daemon.cut {
			w.restart(daemon)
		}
	case 2:
		if w.listFault == "" {
			w.listFault = [2]string{"stale", "empty"}[w.rng.IntN(2)]
		} else {
			w.listFault = ""
		}
	case 3:
		if !daemon.cut && !w.daemons[0].cut && daemon != w.daemons[0] {
			w.cut(daemon.centre, true)
			w.run(time.Duration(30+w.rng.IntN(200))*time.Second, nil)
			w.cut(daemon.centre, false)
		}
	case 4:
		w.dieAt = w.steps + w.rng.IntN(5)
	}
}
