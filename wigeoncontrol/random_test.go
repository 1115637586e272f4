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

// Random restarts of VMs and daemons, data centres cut off from the log, and faults of the VM list during a wave must
// leave no work unfinished. Afterwards every VM must be in service in its pool and have been rebooted by wigeonstep
// exactly once for each wave that it has as its last wave at some time. A VM that failed during the wave and came back
// by itself needs no further reboot.
func TestRandomFaultsConverge(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			w := newSimulation(t, plannerConfigs{}, "a", "b", "c")
			w.random = rand.New(rand.NewPCG(seed, 3))
			w.addVMs("orders", 13, 32)
			w.addVMs("ovens", 8, 16)
			w.addVMs("spare", 5, 32)
			w.run(10*time.Second, nil)
			w.putDocument("orders", 0, 10, "availability: {max_unavailable_workers: 3, survive: rack}\nmaintenance: {max_drain_s: 40}\n")
			w.putDocument("ovens", 0, 7, "availability: {max_unavailable_workers: 2}\nmaintenance: {max_drain_s: 30, checkpoint: true}\n")
			waves := map[wigeonstep.VMID]map[wigeonstep.WaveID]bool{}
			recordWaves := func() bool {
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
				w.injectRandomFault()
				w.run(time.Duration(20+w.random.IntN(120))*time.Second, recordWaves)
			}
			w.listFault = ""
			done := w.run(3*time.Hour, func() bool {
				recordWaves()
				view := w.state.View()
				unfinished := len(view.Waves)
				for _, id := range w.ids {
					vm, m := view.VMs[id], w.platformVMs[id]
					if vm == nil || vm.Phase != wigeonwire.Phase_PHASE_IN_SERVICE || vm.LastMaintained.IsZero() || m.Pool != vm.Pool || m.draining {
						unfinished++
					}
				}
				return unfinished == 0
			})
			if !done {
				for _, id := range w.ids {
					t.Logf("%+v %+v", w.vmState(id), w.platformVMs[id])
				}
				t.Logf("waves %v", w.state.View().Waves)
			}
			w.c.Assert(done, qt.IsTrue)
			for _, id := range w.ids {
				w.c.Assert(w.platformVMs[id].reboots, qt.Equals, len(waves[id]), qt.Commentf("VM %s, waves %v", id, waves[id]))
			}
			w.c.Assert(w.stats.singleLossBreaches, qt.Equals, 0)
		})
	}
}

// injectRandomFault injects one random fault, or ends the current fault of the VM list.
func (w *simulation) injectRandomFault() {
	daemon := w.daemons[w.random.IntN(len(w.daemons))]
	switch w.random.IntN(5) {
	case 0:
		m := w.platformVMs[w.ids[w.random.IntN(len(w.ids))]]
		if m.Up {
			m.Up, m.upAt = false, w.now.Add(time.Duration(30+w.random.IntN(200))*time.Second)
		}
	case 1:
		if !daemon.cutOff {
			w.restart(daemon)
		}
	case 2:
		if w.listFault == "" {
			w.listFault = [2]string{"stale", "empty"}[w.random.IntN(2)]
		} else {
			w.listFault = ""
		}
	case 3:
		if !daemon.cutOff && !w.daemons[0].cutOff && daemon != w.daemons[0] {
			w.setCutOff(daemon.dataCentre, true)
			w.run(time.Duration(30+w.random.IntN(200))*time.Second, nil)
			w.setCutOff(daemon.dataCentre, false)
		}
	case 4:
		w.restartAt = w.steps + w.random.IntN(5)
	}
}
