package wigeondaemon

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonbalance"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

const (
	growthTick = 10 * time.Millisecond
	// growthMoveTime is the time from the call that moves or maintains a VM until it is up again, growthListTime the one from the
	// request of a list to its answer.
	growthMoveTime = 1500 * time.Millisecond
	growthListTime = 60 * time.Millisecond
	growthVMCores  = 32
)

// growthFleet is a platform with a pool in maintenance, a spare pool and a pool whose queue has a burst, and the fleet planning of
// a daemon.
type growthFleet struct {
	*listingFleet
	vms    map[wigeonstep.VMID]wigeonstep.PooledVM
	upAt   map[wigeonstep.VMID]time.Duration
	orders map[wigeonstep.VMID]wigeonjob.MoveOrder
	// listMadeAt is the time at which the list on its way was requested; negative without one.
	listMadeAt time.Duration
	// demand is the number of VMs that the queue with the burst can use.
	demand  int
	workers int
}

func newGrowthFleet(t *testing.T, inMaintenance, spare int) *growthFleet {
	t.Helper()
	g := &growthFleet{
		vms: map[wigeonstep.VMID]wigeonstep.PooledVM{}, upAt: map[wigeonstep.VMID]time.Duration{},
		orders: map[wigeonstep.VMID]wigeonjob.MoveOrder{}, listMadeAt: -1,
	}
	for i := range inMaintenance {
		g.vms[wigeonstep.VMID(fmt.Sprintf("m-%03d", i))] = wigeonstep.PooledVM{Pool: "maintained"}
	}
	for i := range spare {
		g.vms[wigeonstep.VMID(fmt.Sprintf("s-%03d", i))] = wigeonstep.PooledVM{Pool: "spare"}
	}
	for id, vm := range g.vms {
		vm.ID, vm.State, vm.Capacity.CPU = id, wigeonstep.VMMoving, growthVMCores*1000
		g.vms[id] = vm
	}
	g.listingFleet = newListingFleet(t, g.list()...)
	return g
}

func (g *growthFleet) list() []wigeonstep.PooledVM {
	return slices.SortedFunc(maps.Values(g.vms), func(a, b wigeonstep.PooledVM) int { return cmp.Compare(a.ID, b.ID) })
}

// usable returns the workers of the pool that are up.
func (g *growthFleet) usable(pool wigeonstep.PoolName) map[wigeonstep.WorkerID]bool {
	workers := map[wigeonstep.WorkerID]bool{}
	for _, vm := range g.vms {
		if vm.Pool == pool && vm.State == wigeonstep.VMUp {
			workers[vm.Worker] = true
		}
	}
	return workers
}

// advance lets the time pass. A VM begins its maintenance every 30 ms.
func (g *growthFleet) advance(d time.Duration) {
	for end := g.now + d; g.now < end; g.now += growthTick {
		for id, vm := range g.vms {
			if vm.State != wigeonstep.VMUp && g.now >= g.upAt[id] {
				g.workers++
				vm.State, vm.Worker = wigeonstep.VMUp, wigeonstep.WorkerID(fmt.Sprintf("w-%d", g.workers))
				g.vms[id] = vm
			}
		}
		if g.now%(3*growthTick) == 0 {
			g.maintain(wigeonstep.VMID(fmt.Sprintf("m-%03d", g.now/(3*growthTick)%100)))
		}
		g.readList()
		if g.now%planInterval == 0 {
			g.plan()
		}
	}
}

func (g *growthFleet) maintain(id wigeonstep.VMID) {
	vm := g.vms[id]
	vm.State = wigeonstep.VMMaintenance
	g.vms[id], g.upAt[id] = vm, g.now+growthMoveTime
	g.fleet.calls.Take(g.now)
	g.handleMaintenanceResult(g.sh, wigeonjob.MaintenanceOrder{VM: id}, nil)
}

// readList requests a list when it is due, and applies the one that is on its way.
func (g *growthFleet) readList() {
	switch {
	case g.listMadeAt < 0 && g.now-g.fleet.lastList > listInterval:
		g.listMadeAt = g.now
		g.listVMs(g.sh, g.now)
	case g.listMadeAt >= 0 && g.now-g.listMadeAt >= growthListTime:
		g.listMadeAt = -1
		g.machines.lists <- g.list()
		(<-g.events)()
	}
}

// plan plans the moves and carries them out. Nothing runs on the VMs, so that a cordoned one is drained at once.
func (g *growthFleet) plan() {
	plan := g.fleet.movePlanner.Plan(g.now, wigeonbalance.Fleet{
		VMs: g.fleet.vms, Moves: g.orders, Spare: map[wigeonstep.PoolName]bool{"spare": true},
		Released:      func(wigeonstep.WorkerID) bool { return true },
		InMaintenance: func(wigeonstep.VMID) bool { return false },
		Demands: map[wigeonstep.PoolName]wigeonbalance.Demand{"burst": {
			ReceivedAt: g.now, ArrivalRate: float64(g.demand * growthVMCores), Usable: g.usable("burst"),
			Capacity: wigeonstep.MilliCPU(len(g.usable("burst")) * growthVMCores * 1000),
		}},
	})
	for _, order := range plan.Orders {
		g.orders[order.VM] = order
	}
	for _, order := range plan.Calls {
		vm := g.vms[order.VM]
		vm.State, vm.Pool = wigeonstep.VMMoving, order.Pool
		g.vms[order.VM], g.upAt[order.VM] = vm, g.now+growthMoveTime
		g.fleet.calls.Take(g.now)
		g.handleMoveResult(g.sh, order, nil)
		order.Phase = wigeonjob.OrderDone
		g.orders[order.VM] = order
	}
}

// Guards against a queue whose jobs are late in a burst although VMs are free, because maintenance and moves elsewhere keep the
// planner from seeing that VMs have become free or have arrived. The burst asks for 100 VMs and then for 200; each time they have
// to be there after the time of a move, a list and a plan.
func TestPoolGrowsInBurstWhileOtherVMsChange(t *testing.T) {
	c := qt.New(t)
	g := newGrowthFleet(t, 100, 250)
	g.advance(time.Second)
	const arrival = growthMoveTime + listInterval + growthListTime + 2*planInterval
	for _, demand := range []int{100, 200} {
		g.demand = demand
		g.advance(arrival + 200*time.Millisecond)
		c.Assert(len(g.usable("burst")) >= demand, qt.IsTrue, qt.Commentf("%d VMs of %d after %v", len(g.usable("burst")), demand, arrival))
	}
	c.Assert(len(g.usable("burst")) <= 210, qt.IsTrue, qt.Commentf("%d VMs", len(g.usable("burst"))))
}
