package wigeonbalance

import (
	"maps"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// orderMoves orders VMs into the pools that lack some: first those that long-running tasks lack, then the others, largest
// need first. Then it switches idle surplus VMs off.
func (p *Planner) orderMoves(now time.Duration, fleet Fleet, pools []*pool, plan *Plan) {
	spare := p.spareVMs(fleet)
	for _, to := range pools {
		for ; to.missing > 0; to.missing-- {
			vm, ok := takeAvailable(pools, &spare, to)
			if !ok {
				vm, ok = takeFromLargest(pools, to)
			}
			if !ok {
				break
			}
			to.need--
			plan.Orders = append(plan.Orders, moveInto(fleet, vm, to))
		}
	}
	for _, to := range pools {
		for ; to.need > 0; to.need-- {
			vm, ok := takeAvailable(pools, &spare, to)
			if !ok {
				break
			}
			plan.Orders = append(plan.Orders, moveInto(fleet, vm, to))
		}
	}
	for _, from := range pools {
		p.switchOff(now, fleet, from, plan)
	}
}

// moveInto returns the order that moves the VM into the pool.
func moveInto(fleet Fleet, vm wigeonstep.PooledVM, to *pool) wigeonjob.MoveOrder {
	order := wigeonjob.MoveOrder{VM: vm.ID, From: vm.Pool, Pool: to.name, Worker: vm.Worker}
	if fleet.Spare[vm.Pool] {
		// A VM of a spare pool is off, so there is nothing to drain.
		order.Phase = wigeonjob.OrderIssued
	}
	return order
}

// takeAvailable removes a VM from its pool for another one: an idle VM of a pool with a surplus, else a VM of a spare pool,
// else a VM of a pool with a surplus that is about to become idle.
func takeAvailable(pools []*pool, spare *[]wigeonstep.PooledVM, to *pool) (wigeonstep.PooledVM, bool) {
	if vm, ok := takeIdle(pools, to); ok {
		return vm, true
	}
	if len(*spare) > 0 {
		vm := (*spare)[0]
		*spare = (*spare)[1:]
		return vm, true
	}
	return takeEmptying(pools, to)
}

// takeFromLargest removes an idle VM, or one that is about to become idle, from the largest pool that has one and no
// long-running tasks without a VM, whether or not that pool has a surplus. With fewer VMs finite work takes longer, but a
// long-running task may never find room on the VMs of its pool.
func takeFromLargest(pools []*pool, to *pool) (wigeonstep.PooledVM, bool) {
	var from *pool
	for _, pl := range pools {
		mayGive := pl != to && pl.missing == 0 && pl.size > minPoolVMs && len(pl.idle)+len(pl.emptying) > 0
		if mayGive && (from == nil || pl.size > from.size) {
			from = pl
		}
	}
	if from == nil {
		return wigeonstep.PooledVM{}, false
	}
	list := &from.idle
	if len(*list) == 0 {
		list = &from.emptying
	}
	return from.take(list), true
}

// take removes the last VM of one of the pool's lists from the pool.
func (pl *pool) take(list *[]wigeonstep.PooledVM) wigeonstep.PooledVM {
	vm := (*list)[len(*list)-1]
	*list = (*list)[:len(*list)-1]
	pl.need++
	pl.size--
	return vm
}

// spareVMs returns the VMs of spare pools that are up in the platform's list and have no open order.
func (p *Planner) spareVMs(fleet Fleet) []wigeonstep.PooledVM {
	var spare []wigeonstep.PooledVM
	for _, id := range slices.Sorted(maps.Keys(fleet.VMs)) {
		vm := fleet.VMs[id]
		if fleet.Spare[vm.Pool] && vm.State == wigeonstep.VMUp && p.hasNoOpenOrder(fleet, id) {
			spare = append(spare, vm)
		}
	}
	return spare
}

// takeIdle removes an idle VM from the pool with the largest surplus that has one and may give it away.
func takeIdle(pools []*pool, to *pool) (wigeonstep.PooledVM, bool) {
	return takeVM(pools, to, idleReserve, func(pl *pool) *[]wigeonstep.PooledVM { return &pl.idle })
}

// takeEmptying removes a VM that is about to become idle from the pool with the largest surplus that has one.
func takeEmptying(pools []*pool, to *pool) (wigeonstep.PooledVM, bool) {
	return takeVM(pools, to, 0, func(pl *pool) *[]wigeonstep.PooledVM { return &pl.emptying })
}

// takeVM removes a VM from the list of the pool with the largest initial surplus that still has a surplus, more than reserve
// VMs in the list and more than minPoolVMs VMs.
func takeVM(pools []*pool, to *pool, reserve int, list func(*pool) *[]wigeonstep.PooledVM) (wigeonstep.PooledVM, bool) {
	for i := len(pools) - 1; i >= 0; i-- {
		from := pools[i]
		vms := list(from)
		if from == to || from.need >= 0 || len(*vms) <= reserve || from.size <= minPoolVMs {
			continue
		}
		return from.take(vms), true
	}
	return wigeonstep.PooledVM{}, false
}

// switchOff orders idle surplus VMs to move to a spare pool once their pool has had a surplus with idle VMs for
// switchOffDelay.
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
	if now-since < switchOffDelay || len(fleet.Spare) == 0 {
		return
	}
	target := slices.Min(slices.Collect(maps.Keys(fleet.Spare)))
	for ; from.need < 0 && len(from.idle) > idleReserve && from.size > minPoolVMs; from.need++ {
		vm := from.idle[len(from.idle)-1]
		from.idle = from.idle[:len(from.idle)-1]
		from.size--
		plan.Orders = append(plan.Orders, wigeonjob.MoveOrder{VM: vm.ID, From: vm.Pool, Pool: target, Worker: vm.Worker})
	}
}
