package wigeonwave

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

const (
	testTick        = 100 * time.Millisecond
	testMaintenance = 2 * time.Second
)

// waveModel simulates VMs whose workers are released more than a second after they are cordoned.
type waveModel struct {
	planner Planner
	now     time.Duration
	wave    wigeonstep.Wave
	fleet   Fleet
	// maintenanceEnd holds the time at which a VM in maintenance is up again.
	maintenanceEnd map[wigeonstep.VMID]time.Duration
	// cordoned holds the time at which each worker was cordoned.
	cordoned map[wigeonstep.WorkerID]time.Duration
	// workerCount numbers the workers; a VM gets a new one after its maintenance.
	workerCount int
	// peakDown is the largest number of VMs that were in maintenance at once.
	peakDown  int
	completed bool
	// answerLost reports whether the answer to a call for the VM is lost although its maintenance begins.
	answerLost func(vm wigeonstep.VMID) bool
}

func newWaveModel(vms, maxDown int) *waveModel {
	m := &waveModel{now: time.Hour, maintenanceEnd: map[wigeonstep.VMID]time.Duration{}, cordoned: map[wigeonstep.WorkerID]time.Duration{}}
	m.wave = wigeonstep.Wave{Number: 7, Period: time.Minute, MaxDown: maxDown}
	m.fleet = Fleet{
		VMs: map[wigeonstep.VMID]wigeonstep.PooledVM{}, Orders: map[wigeonstep.VMID]wigeonjob.MaintenanceOrder{},
		HasOpenMove: func(wigeonstep.VMID) bool { return false }, Idle: func(wigeonstep.WorkerID) bool { return false },
		Spare: func(pool wigeonstep.PoolName) bool { return pool == "spare" },
		Released: func(worker wigeonstep.WorkerID) bool {
			at, ok := m.cordoned[worker]
			return ok && m.now > at+time.Second
		},
	}
	m.answerLost = func(wigeonstep.VMID) bool { return false }
	for i := range vms {
		id := wigeonstep.VMID(fmt.Sprintf("vm%02d", i))
		m.wave.VMs = append(m.wave.VMs, id)
		m.startWorker(id, "bake")
	}
	m.fleet.Waves = []wigeonstep.Wave{m.wave}
	return m
}

// startWorker makes the VM available in the pool, with a new worker.
func (m *waveModel) startWorker(id wigeonstep.VMID, pool wigeonstep.PoolName) {
	m.workerCount++
	m.fleet.VMs[id] = wigeonstep.PooledVM{ID: id, Pool: pool, State: wigeonstep.VMUp, Worker: wigeonstep.WorkerID(fmt.Sprintf("w%d", m.workerCount))}
}

// step advances the time by testTick and carries out the plan.
func (m *waveModel) step() {
	m.now += testTick
	for id, at := range m.maintenanceEnd {
		if m.now >= at {
			delete(m.maintenanceEnd, id)
			m.startWorker(id, m.fleet.VMs[id].Pool)
		}
	}
	plan := m.planner.Plan(m.now, m.fleet)
	for _, order := range plan.Orders {
		m.fleet.Orders[order.VM] = order
		if order.Phase == wigeonjob.OrderCordon {
			m.cordoned[order.Worker] = m.now
		}
	}
	for _, order := range plan.Calls {
		vm := m.fleet.VMs[order.VM]
		if vm.State == wigeonstep.VMUp && vm.Worker == order.Worker {
			vm.State = wigeonstep.VMMaintenance
			m.fleet.VMs[order.VM] = vm
			m.maintenanceEnd[order.VM] = m.now + testMaintenance
		}
		if m.answerLost(order.VM) {
			m.planner.RecordCallResult(m.now, order.VM, false)
			continue
		}
		m.planner.RecordCallResult(m.now, order.VM, true)
		order.Phase = wigeonjob.OrderDone
		m.fleet.Orders[order.VM] = order
	}
	m.peakDown = max(m.peakDown, len(m.maintenanceEnd))
	m.completed = m.completed || len(plan.Completed) > 0
}

// Guards against a wave that takes down more VMs at once than its limit, or is reported as completed too early.
func TestWaveKeepsItsLimit(t *testing.T) {
	for _, limit := range []int{1, 3, 9} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			c := qt.New(t)
			m := newWaveModel(20, limit)
			for range 800 {
				m.step()
				if m.completed {
					break
				}
			}
			c.Assert(m.completed, qt.IsTrue)
			c.Assert(m.peakDown, qt.Equals, limit)
			for _, id := range m.wave.VMs {
				c.Assert(m.fleet.Orders[id].Phase, qt.Equals, wigeonjob.OrderDone)
			}
		})
	}
}

// Guards against a wave that exceeds its limit or stops after lost answers: a VM whose call was not confirmed counts as down,
// and the call is repeated until the platform confirms it.
func TestLostAnswersCountAsDown(t *testing.T) {
	c := qt.New(t)
	m := newWaveModel(6, 2)
	calls := map[wigeonstep.VMID]int{}
	m.answerLost = func(vm wigeonstep.VMID) bool {
		calls[vm]++
		return calls[vm] < 3
	}
	for range 400 {
		m.step()
	}
	c.Assert(m.completed, qt.IsTrue)
	c.Assert(m.peakDown, qt.Equals, 2)
}

// Guards against a wave that never completes because the platform no longer lists one of its VMs.
func TestRemovedVMDoesNotBlockTheWave(t *testing.T) {
	c := qt.New(t)
	m := newWaveModel(4, 1)
	for range 5 {
		m.step()
	}
	delete(m.fleet.VMs, "vm00")
	delete(m.fleet.VMs, "vm03")
	for range 200 {
		m.step()
	}
	c.Assert(m.completed, qt.IsTrue)
}

// Guards against maintenance that kills tasks: when a cordoned worker crashes and another one starts on the VM, the new
// worker has to be drained before the VM goes down.
func TestReplacementOfCordonedWorkerIsDrained(t *testing.T) {
	c := qt.New(t)
	m := newWaveModel(1, 1)
	m.step()
	first := m.fleet.Orders["vm00"].Worker
	m.startWorker("vm00", "bake")
	m.step()
	order := m.fleet.Orders["vm00"]
	c.Assert(order.Phase, qt.Equals, wigeonjob.OrderCordon)
	c.Assert(order.Worker, qt.Not(qt.Equals), first)
	c.Assert(order.Worker, qt.Equals, m.fleet.VMs["vm00"].Worker)
}
