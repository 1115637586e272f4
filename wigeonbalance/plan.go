// Package wigeonbalance decides which VM works in which pool while the demand of the queues rises and falls.
//
// A pool needs as many cores as keep up with what arrives and clear what waits within ClearTime. VMs on which nothing
// runs go to pools that need more, and are switched off, which means that they go to a spare pool, when none does.
package wigeonbalance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

const (
	// ClearTime is the time in which a pool should clear what waits; the objectives of short jobs are about as long.
	ClearTime = 1000 * time.Millisecond
	// idleTime is how long a pool must have had VMs to spare before one is switched off. Switching off and on again
	// costs as much as two seconds of a VM.
	idleTime = 1200 * time.Millisecond
	// arrivalTime is after how long the new worker of a VM that was moved counts as missing.
	arrivalTime = 6 * time.Second
	// reportLife is after how long a report is too old to decide from.
	reportLife = 600 * time.Millisecond
	// retryDelay is the pause before a move that was refused or not answered is asked for again.
	retryDelay = 300 * time.Millisecond
	// idleReserve is how many idle VMs a pool keeps for the first seconds of a burst, before others arrive.
	idleReserve = 0
	// maxEmptying is the longest time that a VM may take to become empty for a move.
	maxEmptying = 1500 * time.Millisecond
	// leastVMs is what a pool with a queue keeps, so that the first job of a burst starts at once.
	leastVMs = 2
)

// Demand is what the owner of a shard reports of one service.
type Demand struct {
	// At is when the report arrived.
	At time.Duration
	// Work is what is left of accepted jobs that end, in core-milliseconds.
	Work float64
	// Arrival is the work that arrives, in cores.
	Arrival float64
	// Capacity is the CPU of usable workers, less what long-running tasks take.
	Capacity wigeonstep.MilliCPU
	// Blocked is how many workers are missing for long-running tasks.
	Blocked int
	// Usable are the workers that may take work, Idle those of them on which nothing runs.
	Usable map[wigeonstep.WorkerID]bool
	Idle   map[wigeonstep.WorkerID]bool
	// Emptying are the workers on which only work that ends runs, with the time that it is expected to take.
	Emptying map[wigeonstep.WorkerID]time.Duration
}

// Sum adds the demands of the shards of one service. Until all of them have reported, and when one falls silent, the sum
// is as old as the oldest report, so that nothing is decided from a part.
func Sum(shards map[uint32]Demand, count int) Demand {
	sum := Demand{Usable: map[wigeonstep.WorkerID]bool{}, Idle: map[wigeonstep.WorkerID]bool{}, Emptying: map[wigeonstep.WorkerID]time.Duration{}}
	for i, shard := range slices.Sorted(maps.Keys(shards)) {
		d := shards[shard]
		if i == 0 || d.At < sum.At {
			sum.At = d.At
		}
		sum.Work += d.Work
		sum.Arrival += d.Arrival
		sum.Capacity += d.Capacity
		sum.Blocked += d.Blocked
		maps.Copy(sum.Usable, d.Usable)
		maps.Copy(sum.Idle, d.Idle)
		maps.Copy(sum.Emptying, d.Emptying)
	}
	if len(shards) < count {
		sum.At = 0
	}
	return sum
}

// Fleet is what a plan is made from.
type Fleet struct {
	// VMs is the newest list of the platform; nil while there is none.
	VMs map[wigeonstep.VMID]wigeonstep.PooledVM
	// Moves are the orders that the log holds.
	Moves map[wigeonstep.VMID]wigeonjob.MoveOrder
	// InUpkeep tells whether an upkeep of the VM is under way.
	InUpkeep func(vm wigeonstep.VMID) bool
	// Demands are the newest reports.
	Demands map[wigeonstep.PoolName]Demand
	// Spare are the pools whose VMs are off.
	Spare map[wigeonstep.PoolName]bool
	// Released tells whether the shard of a worker has emptied it.
	Released func(worker wigeonstep.WorkerID) bool
}

// Plan is what is to be done.
type Plan struct {
	// Orders are new or changed orders for the log.
	Orders []wigeonjob.MoveOrder
	// Calls are moves to ask the platform for; the log holds their orders as called.
	Calls []wigeonjob.MoveOrder
	// Sizes says for each pool what the plan was made from.
	Sizes []Size
}

// Size is the size of a pool in a plan.
type Size struct {
	Pool wigeonstep.PoolName
	// VMs counts those that are there or on their way, Idle those on which nothing runs.
	VMs, Idle int
	// Need is the number of VMs that the pool lacks; negative when it has too many.
	Need int
	// Age is how old the report was.
	Age time.Duration
}

// Planner makes plans. The zero value is ready. Its methods are called by one goroutine.
type Planner struct {
	// surplusSince is since when a pool has had VMs to spare.
	surplusSince map[wigeonstep.PoolName]time.Duration
	// moved is when a move was confirmed.
	moved   map[wigeonstep.VMID]time.Duration
	retryAt map[wigeonstep.VMID]time.Duration
	calling map[wigeonstep.VMID]bool
}

// pool is the state of one pool in a plan.
type pool struct {
	name wigeonstep.PoolName
	// need is the number of VMs that the pool lacks; negative when it has too many.
	need int
	// idle holds the VMs on which nothing runs, emptying those that are empty soon, the soonest last.
	idle     []wigeonstep.PooledVM
	emptying []wigeonstep.PooledVM
	// size counts the VMs that are there or on their way.
	size int
}

// Plan returns what is to be done now. The caller writes the orders of a plan before it asks for the next one.
func (p *Planner) Plan(now time.Duration, fleet Fleet) Plan {
	var plan Plan
	if fleet.VMs == nil {
		return plan
	}
	p.init()
	incoming := p.follow(now, fleet, &plan)
	pools := p.pools(now, fleet, incoming)
	for _, pl := range pools {
		plan.Sizes = append(plan.Sizes, Size{Pool: pl.name, VMs: pl.size, Idle: len(pl.idle), Need: pl.need, Age: now - fleet.Demands[pl.name].At})
	}
	p.move(now, fleet, pools, &plan)
	return plan
}

func (p *Planner) init() {
	if p.calling != nil {
		return
	}
	p.surplusSince = map[wigeonstep.PoolName]time.Duration{}
	p.moved = map[wigeonstep.VMID]time.Duration{}
	p.retryAt = map[wigeonstep.VMID]time.Duration{}
	p.calling = map[wigeonstep.VMID]bool{}
}

// follow carries the orders on and returns the VMs that are on their way to each pool.
func (p *Planner) follow(now time.Duration, fleet Fleet, plan *Plan) map[wigeonstep.PoolName][]wigeonstep.VMID {
	incoming := map[wigeonstep.PoolName][]wigeonstep.VMID{}
	for _, id := range slices.Sorted(maps.Keys(fleet.Moves)) {
		order := fleet.Moves[id]
		vm, present := fleet.VMs[id]
		if !present {
			continue
		}
		switch order.Phase {
		case wigeonjob.OrderCordon:
			incoming[order.Pool] = append(incoming[order.Pool], id)
			switch {
			case vm.Worker != order.Worker && vm.State == wigeonstep.VMUp:
				// The worker that was to be emptied is gone; its successor is emptied instead.
				order.Worker = vm.Worker
				plan.Orders = append(plan.Orders, order)
			case order.Worker == "" || fleet.Spare[order.From] || fleet.Released(order.Worker):
				order.Phase = wigeonjob.OrderCalled
				plan.Orders = append(plan.Orders, order)
			}
		case wigeonjob.OrderCalled:
			incoming[order.Pool] = append(incoming[order.Pool], id)
			p.call(now, order, plan)
		case wigeonjob.OrderDone:
			if p.arriving(now, fleet, order, vm) {
				incoming[order.Pool] = append(incoming[order.Pool], id)
			}
		}
	}
	return incoming
}

// arriving reports whether the VM was moved and its new worker is not in use yet.
func (p *Planner) arriving(now time.Duration, fleet Fleet, order wigeonjob.MoveOrder, vm wigeonstep.PooledVM) bool {
	at, known := p.moved[order.VM]
	if !known || now-at > arrivalTime || fleet.Spare[order.Pool] {
		return false
	}
	return vm.State == wigeonstep.VMMoving || vm.Worker == order.Worker || !fleet.Demands[order.Pool].Usable[vm.Worker]
}

func (p *Planner) call(now time.Duration, order wigeonjob.MoveOrder, plan *Plan) {
	if p.calling[order.VM] || now < p.retryAt[order.VM] {
		return
	}
	p.calling[order.VM] = true
	plan.Calls = append(plan.Calls, order)
}

// Called takes the result of a call over. done is set when the platform confirmed the move.
func (p *Planner) Called(now time.Duration, vm wigeonstep.VMID, done bool) {
	p.init()
	delete(p.calling, vm)
	if done {
		p.moved[vm] = now
		return
	}
	p.retryAt[vm] = now + retryDelay
}

// pools returns the pools with queues, those that need most first.
func (p *Planner) pools(now time.Duration, fleet Fleet, incoming map[wigeonstep.PoolName][]wigeonstep.VMID) []*pool {
	var pools []*pool
	for _, name := range slices.Sorted(maps.Keys(fleet.Demands)) {
		demand := fleet.Demands[name]
		if fleet.Spare[name] || now-demand.At > reportLife {
			continue
		}
		pl := &pool{name: name, size: len(incoming[name]) + len(demand.Usable)}
		cores := demand.Arrival + demand.Work/float64(ClearTime.Milliseconds())
		missing := cores - float64(demand.Capacity)/1000
		for _, order := range leaving(fleet, name) {
			// The report may be older than the order.
			if demand.Usable[order.Worker] {
				pl.size--
				missing += float64(fleet.VMs[order.VM].Capacity.CPU) / 1000
			}
		}
		for _, id := range incoming[name] {
			missing -= float64(fleet.VMs[id].Capacity.CPU) / 1000
		}
		pl.need = p.vmsFor(fleet, missing) + max(demand.Blocked-len(incoming[name]), 0)
		for _, id := range slices.Sorted(maps.Keys(fleet.VMs)) {
			vm := fleet.VMs[id]
			if vm.Pool != name || vm.State != wigeonstep.VMUp || !p.free(fleet, id) {
				continue
			}
			if demand.Idle[vm.Worker] {
				pl.idle = append(pl.idle, vm)
			} else if remaining, ok := demand.Emptying[vm.Worker]; ok && remaining <= maxEmptying {
				pl.emptying = append(pl.emptying, vm)
			}
		}
		slices.SortStableFunc(pl.emptying, func(a, b wigeonstep.PooledVM) int {
			return cmp.Compare(demand.Emptying[b.Worker], demand.Emptying[a.Worker])
		})
		pools = append(pools, pl)
	}
	slices.SortStableFunc(pools, func(a, b *pool) int { return cmp.Compare(b.need, a.need) })
	return pools
}

// leaving returns the orders that take a VM out of a pool and are not done.
func leaving(fleet Fleet, from wigeonstep.PoolName) []wigeonjob.MoveOrder {
	var orders []wigeonjob.MoveOrder
	for _, order := range fleet.Moves {
		if order.From == from && order.Phase != wigeonjob.OrderDone {
			orders = append(orders, order)
		}
	}
	return orders
}

// vmsFor returns how many VMs of the usual size hold so many cores; a negative number of cores rounds towards needing more.
func (p *Planner) vmsFor(fleet Fleet, cores float64) int {
	var sum wigeonstep.MilliCPU
	for _, vm := range fleet.VMs {
		sum += vm.Capacity.CPU
	}
	if sum == 0 {
		return 0
	}
	size := float64(sum) / 1000 / float64(len(fleet.VMs))
	return int(math.Ceil(cores / size))
}

// free reports whether no order for the VM is under way.
func (p *Planner) free(fleet Fleet, vm wigeonstep.VMID) bool {
	order, ordered := fleet.Moves[vm]
	return (!ordered || order.Phase == wigeonjob.OrderDone) && !fleet.InUpkeep(vm)
}

// move orders VMs to the pools that lack some: those that are idle where there are too many, then those that are off,
// then those that are empty soon where there are too many.
func (p *Planner) move(now time.Duration, fleet Fleet, pools []*pool, plan *Plan) {
	off := p.off(fleet)
	for _, to := range pools {
		for ; to.need > 0; to.need-- {
			vm, ok := takeIdle(pools, to)
			if !ok && len(off) > 0 {
				vm, off, ok = off[0], off[1:], true
			}
			if !ok {
				vm, ok = takeEmptying(pools, to)
			}
			if !ok {
				break
			}
			order := wigeonjob.MoveOrder{VM: vm.ID, From: vm.Pool, Pool: to.name, Worker: vm.Worker}
			if fleet.Spare[vm.Pool] {
				// Nothing runs on a VM that is off.
				order.Phase = wigeonjob.OrderCalled
			}
			plan.Orders = append(plan.Orders, order)
		}
	}
	for _, from := range pools {
		p.switchOff(now, fleet, from, plan)
	}
}

// off returns the VMs of spare pools that may be moved.
func (p *Planner) off(fleet Fleet) []wigeonstep.PooledVM {
	var off []wigeonstep.PooledVM
	for _, id := range slices.Sorted(maps.Keys(fleet.VMs)) {
		vm := fleet.VMs[id]
		if fleet.Spare[vm.Pool] && vm.State == wigeonstep.VMUp && p.free(fleet, id) {
			off = append(off, vm)
		}
	}
	return off
}

// takeIdle takes an idle VM out of the pool that can spare most.
func takeIdle(pools []*pool, to *pool) (wigeonstep.PooledVM, bool) {
	return take(pools, to, idleReserve, func(pl *pool) *[]wigeonstep.PooledVM { return &pl.idle })
}

// takeEmptying takes a VM that is empty soon out of the pool that can spare most.
func takeEmptying(pools []*pool, to *pool) (wigeonstep.PooledVM, bool) {
	return take(pools, to, 0, func(pl *pool) *[]wigeonstep.PooledVM { return &pl.emptying })
}

func take(pools []*pool, to *pool, reserve int, list func(*pool) *[]wigeonstep.PooledVM) (wigeonstep.PooledVM, bool) {
	for i := len(pools) - 1; i >= 0; i-- {
		from := pools[i]
		vms := list(from)
		if from == to || from.need >= 0 || len(*vms) <= reserve || from.size <= leastVMs {
			continue
		}
		vm := (*vms)[len(*vms)-1]
		*vms = (*vms)[:len(*vms)-1]
		from.need++
		from.size--
		return vm, true
	}
	return wigeonstep.PooledVM{}, false
}

// switchOff moves idle VMs to a spare pool once their pool has had too many for some time.
func (p *Planner) switchOff(now time.Duration, fleet Fleet, from *pool, plan *Plan) {
	if from.need >= 0 || len(from.idle) == 0 {
		delete(p.surplusSince, from.name)
		return
	}
	since, known := p.surplusSince[from.name]
	if !known {
		p.surplusSince[from.name] = now
		return
	}
	if now-since < idleTime || len(fleet.Spare) == 0 {
		return
	}
	target := slices.Min(slices.Collect(maps.Keys(fleet.Spare)))
	for ; from.need < 0 && len(from.idle) > idleReserve && from.size > leastVMs; from.need++ {
		vm := from.idle[len(from.idle)-1]
		from.idle = from.idle[:len(from.idle)-1]
		from.size--
		plan.Orders = append(plan.Orders, wigeonjob.MoveOrder{VM: vm.ID, From: vm.Pool, Pool: target, Worker: vm.Worker})
	}
}
