// Package wigeonbalance moves VMs between pools as the demand of the queues changes.
//
// A pool needs enough cores to keep up with the arriving work and to clear its backlog within BacklogClearTime. A pool
// that lacks VMs gets idle VMs of pools with a surplus, then VMs of spare pools, which are off, then VMs that are about to
// become idle in pools with a surplus. Idle VMs that no pool needs are switched off: they move to a spare pool.
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
	// BacklogClearTime is the target time for clearing the backlog of a pool, about as long as the objectives of short jobs.
	BacklogClearTime = 1000 * time.Millisecond
	// switchOffDelay is the minimum duration of a pool's surplus before its idle VMs are switched off, since switching a
	// VM off and on again costs as much as running it for two seconds.
	switchOffDelay = 1200 * time.Millisecond
	// maxPlanGap is the time between two plans above which a surplus counts as new. Plans stop while the log is slow, and the
	// jobs that clients hand in meanwhile are not in the demand reports yet.
	maxPlanGap = 300 * time.Millisecond
	// arrivalTimeout bounds the time after a confirmed move in which the VM counts as incoming although its new worker
	// is not usable yet.
	arrivalTimeout = 6 * time.Second
	// maxDrainWait is the time after the order for which a VM that is not drained yet counts as incoming. Draining takes longer
	// when the VM has long-running tasks, which leave it one after the other.
	maxDrainWait = 2500 * time.Millisecond
	// maxReportAge is the age above which a demand report is ignored.
	maxReportAge = 600 * time.Millisecond
	// retryDelay is the pause before a call to the platform that did not confirm the move is repeated.
	retryDelay = 300 * time.Millisecond
	// idleReserve is the number of idle VMs that a pool keeps for the first seconds of a burst, until other VMs arrive.
	// With 0, a pool with a surplus may give all its idle VMs away, down to minPoolVMs.
	idleReserve = 0
	// maxDrainTime bounds the expected remaining run time on a VM that is ordered to move before it is idle.
	maxDrainTime = 1500 * time.Millisecond
	// minPoolVMs is the number of VMs that a pool with a queue keeps, so that the first job of a burst starts at once.
	minPoolVMs = 2
)

// Demand is the report of a shard's owner about one service: its work, its capacity and the state of its workers.
type Demand struct {
	// ReceivedAt is the arrival time of the report.
	ReceivedAt time.Duration
	// Backlog is the remaining work of finite steps that are ready to run, in core-milliseconds.
	Backlog float64
	// ArrivalRate is the rate of arriving work, in cores.
	ArrivalRate float64
	// Capacity is the CPU of the usable workers, less the CPU of the long-running tasks on them.
	Capacity wigeonstep.MilliCPU
	// MissingWorkers is the number of additional workers that long-running tasks need.
	MissingWorkers int
	// Usable holds the workers on which tasks may be started, Idle those of them without runs.
	Usable map[wigeonstep.WorkerID]bool
	Idle   map[wigeonstep.WorkerID]bool
	// Emptying holds the usable workers whose runs are all finite, with the expected time until the last one ends.
	Emptying map[wigeonstep.WorkerID]time.Duration
}

// SumDemands adds the demands of the shards of one service. ReceivedAt is that of the oldest report, or 0 while fewer than
// count shards have reported, so that the planner ignores a sum that lacks a shard or holds an outdated one.
func SumDemands(shards map[uint32]Demand, count int) Demand {
	sum := Demand{Usable: map[wigeonstep.WorkerID]bool{}, Idle: map[wigeonstep.WorkerID]bool{}, Emptying: map[wigeonstep.WorkerID]time.Duration{}}
	for i, shard := range slices.Sorted(maps.Keys(shards)) {
		d := shards[shard]
		if i == 0 || d.ReceivedAt < sum.ReceivedAt {
			sum.ReceivedAt = d.ReceivedAt
		}
		sum.Backlog += d.Backlog
		sum.ArrivalRate += d.ArrivalRate
		sum.Capacity += d.Capacity
		sum.MissingWorkers += d.MissingWorkers
		maps.Copy(sum.Usable, d.Usable)
		maps.Copy(sum.Idle, d.Idle)
		maps.Copy(sum.Emptying, d.Emptying)
	}
	if len(shards) < count {
		sum.ReceivedAt = 0
	}
	return sum
}

// Fleet is the input of a plan.
type Fleet struct {
	// VMs is the newest VM list of the platform; nil until the first one has been read.
	VMs map[wigeonstep.VMID]wigeonstep.PooledVM
	// Moves holds the move orders in the job log.
	Moves map[wigeonstep.VMID]wigeonjob.MoveOrder
	// InMaintenance reports whether the VM has a maintenance order that is not done.
	InMaintenance func(vm wigeonstep.VMID) bool
	// Demands holds the newest demand of each pool.
	Demands map[wigeonstep.PoolName]Demand
	// Spare holds the pools whose VMs are off.
	Spare map[wigeonstep.PoolName]bool
	// Released reports whether the shard of a worker has drained it and starts nothing on it any more.
	Released func(worker wigeonstep.WorkerID) bool
	// MayCall reserves a call to the platform and reports whether there was one left; nil sets no bound. A call of the plan
	// holds its reservation until RecordCallResult.
	MayCall func() bool
}

// Plan is the output of a planner.
type Plan struct {
	// Orders holds new or changed orders to append to the job log.
	Orders []wigeonjob.MoveOrder
	// Calls holds the moves to request from the platform. Their orders are in the log with phase OrderIssued.
	Calls []wigeonjob.MoveOrder
	// PoolSizes holds the figures of each pool that the plan was made from.
	PoolSizes []PoolSize
}

// PoolSize holds the figures of one pool in a plan.
type PoolSize struct {
	Pool wigeonstep.PoolName
	// VMs is the number of usable VMs, plus those with an open or recently confirmed move into the pool, less those ordered
	// to move out. Idle is the number of VMs that run nothing and have no open order.
	VMs, Idle int
	// Need is the number of VMs that the pool lacks; negative for a surplus. Missing is the part of it for long-running tasks
	// that no VM of the pool can take.
	Need, Missing int
	// Age is the age of the demand report.
	Age time.Duration
}

// Planner plans moves of VMs between pools. The zero value is ready to use. It is not safe for concurrent use.
type Planner struct {
	// surplusSince holds the time since which each pool has had a surplus and idle VMs; pools without both are absent.
	surplusSince map[wigeonstep.PoolName]time.Duration
	// lastPlan is the time of the last plan.
	lastPlan time.Duration
	// confirmedAt holds the time at which the platform confirmed the last move of a VM to this planner.
	confirmedAt map[wigeonstep.VMID]time.Duration
	// drainingSince holds, for each VM that is draining, the time at which this planner first saw its order.
	drainingSince map[wigeonstep.VMID]time.Duration
	// retryAt holds the earliest time for the next call after one that did not confirm the move.
	retryAt map[wigeonstep.VMID]time.Duration
	// called holds the VMs with a call to the platform that has no result yet, or that confirmed the move while the log still
	// holds the order as issued.
	called map[wigeonstep.VMID]bool
}

// pool is the state of one pool in a plan.
type pool struct {
	name wigeonstep.PoolName
	// need is the number of VMs that the pool lacks; negative for a surplus.
	need int
	// missing is the part of need for long-running tasks that no VM of the pool can take.
	missing int
	// idle holds the VMs without runs and without an open order.
	idle []wigeonstep.PooledVM
	// emptying holds the VMs without an open order whose runs end within maxDrainTime. The VM that is expected to become
	// idle first is last, because takeVM takes VMs from the end.
	emptying []wigeonstep.PooledVM
	// size is the number of usable VMs, plus those with an open or recently confirmed move into the pool, less those
	// ordered to move out.
	size int
}

// Plan returns the orders and calls that are due now. The caller appends the orders of a plan to the log before it calls
// Plan again. Without a VM list the plan is empty.
func (p *Planner) Plan(now time.Duration, fleet Fleet) Plan {
	var plan Plan
	if fleet.VMs == nil {
		return plan
	}
	p.init()
	if now-p.lastPlan > maxPlanGap {
		clear(p.surplusSince)
	}
	p.lastPlan = now
	incoming := p.advanceOrders(now, fleet, &plan)
	pools := p.rankPools(now, fleet, incoming)
	for _, pl := range pools {
		plan.PoolSizes = append(plan.PoolSizes, PoolSize{Pool: pl.name, VMs: pl.size, Idle: len(pl.idle), Need: pl.need, Missing: pl.missing, Age: now - fleet.Demands[pl.name].ReceivedAt})
	}
	p.orderMoves(now, fleet, pools, &plan)
	return plan
}

func (p *Planner) init() {
	if p.called != nil {
		return
	}
	p.surplusSince = map[wigeonstep.PoolName]time.Duration{}
	p.drainingSince = map[wigeonstep.VMID]time.Duration{}
	p.confirmedAt = map[wigeonstep.VMID]time.Duration{}
	p.retryAt = map[wigeonstep.VMID]time.Duration{}
	p.called = map[wigeonstep.VMID]bool{}
}

// advanceOrders adds the next phase or call of each order to the plan. It returns the incoming VMs of each pool: those with an
// open or recently confirmed move into it, except VMs that have been draining for longer than maxDrainWait.
func (p *Planner) advanceOrders(now time.Duration, fleet Fleet, plan *Plan) map[wigeonstep.PoolName][]wigeonstep.VMID {
	maps.DeleteFunc(p.drainingSince, func(id wigeonstep.VMID, _ time.Duration) bool {
		order, ordered := fleet.Moves[id]
		_, present := fleet.VMs[id]
		return !present || !ordered || order.Phase != wigeonjob.OrderCordon
	})
	incoming := map[wigeonstep.PoolName][]wigeonstep.VMID{}
	var issued []wigeonjob.MoveOrder
	for _, id := range slices.Sorted(maps.Keys(fleet.Moves)) {
		order := fleet.Moves[id]
		vm, present := fleet.VMs[id]
		if !present {
			continue
		}
		switch order.Phase {
		case wigeonjob.OrderCordon:
			delete(p.called, id)
			if p.drainsInTime(now, id) {
				incoming[order.Pool] = append(incoming[order.Pool], id)
			}
			switch {
			case vm.Worker != order.Worker && vm.State == wigeonstep.VMUp:
				// The cordoned worker was replaced by another one on the same VM, which has to be drained instead.
				order.Worker = vm.Worker
				plan.Orders = append(plan.Orders, order)
			case order.Worker == "" || fleet.Spare[order.From] || fleet.Released(order.Worker):
				// The VM is off, or its worker is drained: the move may be requested.
				order.Phase = wigeonjob.OrderIssued
				plan.Orders = append(plan.Orders, order)
			}
		case wigeonjob.OrderIssued:
			incoming[order.Pool] = append(incoming[order.Pool], id)
			issued = append(issued, order)
		case wigeonjob.OrderDone:
			delete(p.called, id)
			if p.isArriving(now, fleet, order, vm) {
				incoming[order.Pool] = append(incoming[order.Pool], id)
			}
		}
	}
	// A pool that lacks VMs waits for its moves; switching VMs off can wait.
	slices.SortStableFunc(issued, func(a, b wigeonjob.MoveOrder) int {
		return switchOffRank(fleet, a) - switchOffRank(fleet, b)
	})
	for _, order := range issued {
		p.requestMove(now, fleet, order, plan)
	}
	return incoming
}

// drainsInTime reports whether the VM, whose order is in phase OrderCordon, has been draining for at most maxDrainWait. The
// first call for an order records the time.
func (p *Planner) drainsInTime(now time.Duration, vm wigeonstep.VMID) bool {
	since, known := p.drainingSince[vm]
	if !known {
		p.drainingSince[vm] = now
		return true
	}
	return now-since <= maxDrainWait
}

// switchOffRank is 1 for a move that switches a VM off and 0 for any other.
func switchOffRank(fleet Fleet, order wigeonjob.MoveOrder) int {
	if fleet.Spare[order.Pool] {
		return 1
	}
	return 0
}

// isArriving reports whether the move of the VM was confirmed to this planner at most arrivalTimeout ago, and the VM list or
// the demand report does not show a usable new worker on it yet. A VM that moved to a spare pool never counts as arriving.
func (p *Planner) isArriving(now time.Duration, fleet Fleet, order wigeonjob.MoveOrder, vm wigeonstep.PooledVM) bool {
	at, known := p.confirmedAt[order.VM]
	if !known || now-at > arrivalTimeout || fleet.Spare[order.Pool] {
		return false
	}
	// The VM list may still show the worker from before the move.
	return vm.State == wigeonstep.VMMoving || vm.Worker == order.Worker || !fleet.Demands[order.Pool].Usable[vm.Worker]
}

// requestMove adds a call to the platform to the plan, unless one is in flight, its retry is not due, or no call is left.
func (p *Planner) requestMove(now time.Duration, fleet Fleet, order wigeonjob.MoveOrder, plan *Plan) {
	if p.called[order.VM] || now < p.retryAt[order.VM] || fleet.MayCall != nil && !fleet.MayCall() {
		return
	}
	p.called[order.VM] = true
	plan.Calls = append(plan.Calls, order)
}

// RecordCallResult records the result of a call to the platform. done is true when the platform confirmed the move;
// otherwise the call is due again after retryDelay.
func (p *Planner) RecordCallResult(now time.Duration, vm wigeonstep.VMID, done bool) {
	p.init()
	if done {
		p.confirmedAt[vm] = now
		return
	}
	delete(p.called, vm)
	p.retryAt[vm] = now + retryDelay
}

// rankPools returns the state of each pool that is not spare and has a current demand report, largest need first.
func (p *Planner) rankPools(now time.Duration, fleet Fleet, incoming map[wigeonstep.PoolName][]wigeonstep.VMID) []*pool {
	var pools []*pool
	for _, name := range slices.Sorted(maps.Keys(fleet.Demands)) {
		demand := fleet.Demands[name]
		if fleet.Spare[name] || now-demand.ReceivedAt > maxReportAge {
			continue
		}
		pl := &pool{name: name, size: len(incoming[name]) + len(demand.Usable)}
		cores := demand.ArrivalRate + demand.Backlog/float64(BacklogClearTime.Milliseconds())
		missing := cores - float64(demand.Capacity)/1000
		for _, order := range ordersOutOf(fleet, name) {
			// A report from before the order still counts the worker as usable, so its VM is subtracted here.
			if demand.Usable[order.Worker] {
				pl.size--
				missing += float64(fleet.VMs[order.VM].Capacity.CPU) / 1000
			}
		}
		for _, id := range incoming[name] {
			missing -= float64(fleet.VMs[id].Capacity.CPU) / 1000
		}
		pl.missing = max(demand.MissingWorkers-len(incoming[name]), 0)
		pl.need = p.vmsForCores(fleet, missing)
		if pl.missing > 0 {
			// Cores that finite work would leave unused don't help tasks that fit on none of the VMs.
			pl.need = max(pl.need, 0) + pl.missing
		}
		for _, id := range slices.Sorted(maps.Keys(fleet.VMs)) {
			vm := fleet.VMs[id]
			if vm.Pool != name || vm.State != wigeonstep.VMUp || !p.hasNoOpenOrder(fleet, id) {
				continue
			}
			if demand.Idle[vm.Worker] {
				pl.idle = append(pl.idle, vm)
			} else if remaining, ok := demand.Emptying[vm.Worker]; ok && remaining <= maxDrainTime {
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

// ordersOutOf returns the orders that move a VM out of a pool and are not done.
func ordersOutOf(fleet Fleet, from wigeonstep.PoolName) []wigeonjob.MoveOrder {
	var orders []wigeonjob.MoveOrder
	for _, order := range fleet.Moves {
		if order.From == from && order.Phase != wigeonjob.OrderDone {
			orders = append(orders, order)
		}
	}
	return orders
}

// vmsForCores returns the number of VMs of the fleet's mean size that provide the cores, rounded up. Negative cores are a
// surplus; rounding up then leaves the pool with the spare part of a VM.
func (p *Planner) vmsForCores(fleet Fleet, cores float64) int {
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

// hasNoOpenOrder reports whether the VM has neither a move order nor a maintenance order that is not done.
func (p *Planner) hasNoOpenOrder(fleet Fleet, vm wigeonstep.VMID) bool {
	order, ordered := fleet.Moves[vm]
	return (!ordered || order.Phase == wigeonjob.OrderDone) && !fleet.InMaintenance(vm)
}
