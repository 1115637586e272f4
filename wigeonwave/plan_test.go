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
	testTick   = 100 * time.Millisecond
	testUpkeep = 2 * time.Second
)

// waveModel is a fleet of VMs whose workers are released some time after they are cordoned.
type waveModel struct {
	planner   Planner
	now       time.Duration
	wave      wigeonstep.Wave
	fleet     Fleet
	back      map[wigeonstep.VMID]time.Duration
	cordoned  map[wigeonstep.WorkerID]time.Duration
	lives     int
	most      int
	completed bool
	// lose names the calls whose answers are lost although the upkeep begins.
	lose func(vm wigeonstep.VMID) bool
}

func newWaveModel(vms, maxCount int) *waveModel {
	m := &waveModel{now: time.Hour, back: map[wigeonstep.VMID]time.Duration{}, cordoned: map[wigeonstep.WorkerID]time.Duration{}}
	m.wave = wigeonstep.Wave{Number: 7, Period: time.Minute, MaxCount: maxCount}
	m.fleet = Fleet{
		VMs: map[wigeonstep.VMID]wigeonstep.PooledVM{}, Orders: map[wigeonstep.VMID]wigeonjob.UpkeepOrder{},
		Moving: func(wigeonstep.VMID) bool { return false }, Idle: func(wigeonstep.WorkerID) bool { return false },
		Spare: func(pool wigeonstep.PoolName) bool { return pool == "spare" },
		Released: func(worker wigeonstep.WorkerID) bool {
			at, ok := m.cordoned[worker]
			return ok && m.now > at+time.Second
		},
	}
	m.lose = func(wigeonstep.VMID) bool { return false }
	for i := range vms {
		id := wigeonstep.VMID(fmt.Sprintf("vm%02d", i))
		m.wave.VMs = append(m.wave.VMs, id)
		m.start(id, "bake")
	}
	m.fleet.Waves = []wigeonstep.Wave{m.wave}
	return m
}

func (m *waveModel) start(id wigeonstep.VMID, pool wigeonstep.PoolName) {
	m.lives++
	m.fleet.VMs[id] = wigeonstep.PooledVM{ID: id, Pool: pool, State: wigeonstep.VMUp, Worker: wigeonstep.WorkerID(fmt.Sprintf("w%d", m.lives))}
}

func (m *waveModel) step() {
	m.now += testTick
	for id, at := range m.back {
		if m.now >= at {
			delete(m.back, id)
			m.start(id, m.fleet.VMs[id].Pool)
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
			vm.State = wigeonstep.VMUpkeep
			m.fleet.VMs[order.VM] = vm
			m.back[order.VM] = m.now + testUpkeep
		}
		if m.lose(order.VM) {
			m.planner.Called(m.now, order.VM, false)
			continue
		}
		m.planner.Called(m.now, order.VM, true)
		order.Phase = wigeonjob.OrderDone
		m.fleet.Orders[order.VM] = order
	}
	m.most = max(m.most, len(m.back))
	m.completed = m.completed || len(plan.Completed) > 0
}

// Guards against a wave that takes more VMs down than its limit, or that is said to be completed too early.
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
			c.Assert(m.most, qt.Equals, limit)
			for _, id := range m.wave.VMs {
				c.Assert(m.fleet.Orders[id].Phase, qt.Equals, wigeonjob.OrderDone)
			}
		})
	}
}

// Guards against an upkeep whose answer was lost: it counts as down, and the call is repeated until it is confirmed.
func TestLostAnswersCountAsDown(t *testing.T) {
	c := qt.New(t)
	m := newWaveModel(6, 2)
	tries := map[wigeonstep.VMID]int{}
	m.lose = func(vm wigeonstep.VMID) bool {
		tries[vm]++
		return tries[vm] < 3
	}
	for range 400 {
		m.step()
	}
	c.Assert(m.completed, qt.IsTrue)
	c.Assert(m.most, qt.Equals, 2)
}

// Guards against a wave that waits for ever for a VM that was taken away.
func TestVMThatLeftDoesNotHoldTheWave(t *testing.T) {
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

// Guards against an upkeep of a worker that crashed and was replaced while it was being emptied: its successor has to be
// emptied before the VM goes down.
func TestSuccessorOfACordonedWorkerIsEmptied(t *testing.T) {
	c := qt.New(t)
	m := newWaveModel(1, 1)
	m.step()
	first := m.fleet.Orders["vm00"].Worker
	m.start("vm00", "bake")
	m.step()
	order := m.fleet.Orders["vm00"]
	c.Assert(order.Phase, qt.Equals, wigeonjob.OrderCordon)
	c.Assert(order.Worker, qt.Not(qt.Equals), first)
	c.Assert(order.Worker, qt.Equals, m.fleet.VMs["vm00"].Worker)
}
