// Package wigeonwave plans the maintenance of the VMs of each wave: it cordons workers, waits until they are drained and
// requests the maintenance from the platform, with at most MaxDown VMs of a wave down at once. On the wire, in log records
// and in log events the maintenance of a VM is called upkeep.
package wigeonwave

import (
	"math"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

const (
	// extraCordons is added to MaxDown: at most MaxDown+extraCordons VMs of a wave are cordoned and not yet ordered down, in
	// addition to those that are down, so that a drained VM is ready when another one is up again.
	extraCordons = 1
	// targetShare is the share of a wave's period in which its maintenance should begin for all VMs.
	targetShare = 0.8
	// drainTime is the expected time from the cordon of a VM with runs until it is drained.
	drainTime = 2 * time.Second
	// retryDelay is the pause before a call to the platform that did not confirm the maintenance is repeated.
	retryDelay = 300 * time.Millisecond
)

// Fleet is the input of a plan.
type Fleet struct {
	Waves []wigeonstep.Wave
	// ReadAt holds the time at which this process first read each wave. Absent waves count as read just now.
	ReadAt map[int]time.Duration
	// VMs is the newest VM list of the platform; nil until the first one has been read.
	VMs map[wigeonstep.VMID]wigeonstep.PooledVM
	// Orders holds the maintenance orders in the job log.
	Orders map[wigeonstep.VMID]wigeonjob.MaintenanceOrder
	// HasOpenMove reports whether the VM has a move order that is not done. Such a VM is not cordoned for maintenance.
	HasOpenMove func(vm wigeonstep.VMID) bool
	// Idle reports whether a worker has no runs.
	Idle func(worker wigeonstep.WorkerID) bool
	// Released reports whether the shard of a worker has drained it and starts nothing on it any more.
	Released func(worker wigeonstep.WorkerID) bool
	// Spare reports whether the VMs of a pool are off.
	Spare func(pool wigeonstep.PoolName) bool
	// MayCall reserves a call to the platform and reports whether there was one left; nil sets no bound. A call of the plan
	// holds its reservation until RecordCallResult.
	MayCall func() bool
}

// Plan is the output of a planner. An order is durable in the log before its VM is cordoned or the platform is called.
type Plan struct {
	// Orders holds new or changed orders to append to the job log.
	Orders []wigeonjob.MaintenanceOrder
	// Calls holds the maintenance to request from the platform. The orders are in the log with phase OrderIssued.
	Calls []wigeonjob.MaintenanceOrder
	// Completed holds the numbers of the waves in which the platform has confirmed the maintenance of every VM that it
	// still lists. The last VMs may still be down.
	Completed []int
	// Running holds the numbers of the other waves.
	Running []int
}

// Planner plans the maintenance of VMs. The zero value is ready to use. It is not safe for concurrent use.
type Planner struct {
	// retryAt holds the earliest time for the next call after one that did not confirm the maintenance.
	retryAt map[wigeonstep.VMID]time.Duration
	// called holds the VMs with a call to the platform that has no result yet, or that confirmed the maintenance while the
	// log still holds the order as issued.
	called map[wigeonstep.VMID]bool
}

// Plan returns the orders and calls that are due now. It compares with the orders in the log only, so the caller appends the
// orders of a plan to the log before it calls Plan again. Without a VM list the plan is empty.
func (p *Planner) Plan(now time.Duration, fleet Fleet) Plan {
	var plan Plan
	if fleet.VMs == nil {
		return plan
	}
	for _, wave := range fleet.Waves {
		p.planWave(now, fleet, wave, &plan)
	}
	return plan
}

func (p *Planner) planWave(now time.Duration, fleet Fleet, wave wigeonstep.Wave, plan *Plan) {
	down, cordoned, begun, remaining := 0, 0, 0, 0
	var ready, newOrders []wigeonjob.MaintenanceOrder
	for _, id := range wave.VMs {
		vm, present := fleet.VMs[id]
		order, ordered := fleet.Orders[id]
		if order.Wave != wave.Number && order.DoneFor(wave.Number) {
			begun++
			continue
		}
		if !ordered || order.Wave != wave.Number {
			if !present {
				continue
			}
			remaining++
			if order.Phase == wigeonjob.OrderDone || !ordered {
				newOrders = appendNewOrder(newOrders, fleet, wave, vm)
			}
			continue
		}
		switch order.Phase {
		case wigeonjob.OrderDone:
			delete(p.called, id)
			begun++
			// The VM counts as down until its maintenance ends. A list from before the maintenance started still shows the
			// VM with its old worker. A VM that has failed since then does not count.
			if present && (vm.State == wigeonstep.VMMaintenance || (vm.Worker == order.Worker && order.Worker != "" && vm.State != wigeonstep.VMDown)) {
				down++
			}
		case wigeonjob.OrderIssued:
			if !present {
				continue
			}
			remaining++
			begun++
			down++
			p.requestMaintenance(now, fleet, order, plan)
		case wigeonjob.OrderCordon:
			if !present {
				continue
			}
			delete(p.called, id)
			remaining++
			cordoned++
			switch {
			case vm.State == wigeonstep.VMUp && vm.Worker != order.Worker:
				// The cordoned worker was replaced by another one on the same VM, which has to be drained instead.
				order.Worker = vm.Worker
				plan.Orders = append(plan.Orders, order)
			case vm.State == wigeonstep.VMUp && (order.Worker == "" || fleet.Spare(vm.Pool) || fleet.Released(order.Worker)):
				// The VM is off, or its worker is drained: the maintenance may be requested.
				ready = append(ready, order)
			}
		}
	}
	for _, order := range ready {
		if down >= wave.MaxDown {
			break
		}
		down++
		begun++
		cordoned--
		order.Phase = wigeonjob.OrderIssued
		plan.Orders = append(plan.Orders, order)
	}
	p.cordon(fleet, newOrders, cordonLimit(now, fleet, wave, begun)-cordoned, plan)
	if remaining == 0 {
		plan.Completed = append(plan.Completed, wave.Number)
	} else {
		plan.Running = append(plan.Running, wave.Number)
	}
}

// appendNewOrder appends an order of the wave for a VM that has no order, or whose order is done for another wave. It appends
// none while the VM is not up, has an open move, or is still listed with the worker from before the other wave's maintenance:
// that worker is drained, but the new one is not.
func appendNewOrder(orders []wigeonjob.MaintenanceOrder, fleet Fleet, wave wigeonstep.Wave, vm wigeonstep.PooledVM) []wigeonjob.MaintenanceOrder {
	previous, ordered := fleet.Orders[vm.ID]
	outdated := ordered && vm.Worker == previous.Worker && vm.Worker != ""
	if vm.State != wigeonstep.VMUp || fleet.HasOpenMove(vm.ID) || outdated {
		return orders
	}
	order := wigeonjob.MaintenanceOrder{VM: vm.ID, Wave: wave.Number, Worker: vm.Worker}
	for _, other := range fleet.Waves {
		if other.Number != wave.Number && previous.DoneFor(other.Number) {
			order.DoneWaves = append(order.DoneWaves, other.Number)
		}
	}
	return append(orders, order)
}

// cordonLimit returns the number of VMs of a wave that may be cordoned and not yet ordered down. begun is the number of VMs
// whose maintenance has been ordered. A cordoned VM is lost to its pool while it drains, so no more are cordoned than the
// period requires, unless the wave is behind.
func cordonLimit(now time.Duration, fleet Fleet, wave wigeonstep.Wave, begun int) int {
	widest := wave.MaxDown + extraCordons
	target := targetShare * wave.Period.Seconds()
	if target <= 0 {
		return widest
	}
	perSecond := float64(len(wave.VMs)) / target
	paced := int(math.Ceil(perSecond * drainTime.Seconds()))
	elapsed := time.Duration(0)
	if readAt, known := fleet.ReadAt[wave.Number]; known {
		elapsed = now - readAt
	}
	if float64(begun+paced) < perSecond*elapsed.Seconds() {
		return widest
	}
	return min(paced, widest)
}

// cordon adds orders to cordon at most limit further VMs to the plan: VMs that are off first, then VMs without runs, then
// the others.
func (p *Planner) cordon(fleet Fleet, newOrders []wigeonjob.MaintenanceOrder, limit int, plan *Plan) {
	slices.SortStableFunc(newOrders, func(a, b wigeonjob.MaintenanceOrder) int {
		return cordonRank(fleet, a) - cordonRank(fleet, b)
	})
	plan.Orders = append(plan.Orders, newOrders[:max(min(limit, len(newOrders)), 0)]...)
}

// cordonRank is 0 for a VM that is off, 1 for one without runs and 2 for any other.
func cordonRank(fleet Fleet, order wigeonjob.MaintenanceOrder) int {
	if order.Worker == "" || fleet.Spare(fleet.VMs[order.VM].Pool) {
		return 0
	}
	if fleet.Idle(order.Worker) {
		return 1
	}
	return 2
}

// requestMaintenance adds a call to the platform to the plan, unless one is in flight, its retry is not due, or no call is
// left.
func (p *Planner) requestMaintenance(now time.Duration, fleet Fleet, order wigeonjob.MaintenanceOrder, plan *Plan) {
	if p.called[order.VM] || now < p.retryAt[order.VM] || fleet.MayCall != nil && !fleet.MayCall() {
		return
	}
	if p.called == nil {
		p.called = map[wigeonstep.VMID]bool{}
		p.retryAt = map[wigeonstep.VMID]time.Duration{}
	}
	p.called[order.VM] = true
	plan.Calls = append(plan.Calls, order)
}

// RecordCallResult records the result of a call to the platform. done is true when the platform confirmed the maintenance;
// otherwise the call is due again after retryDelay.
func (p *Planner) RecordCallResult(now time.Duration, vm wigeonstep.VMID, done bool) {
	if !done {
		delete(p.called, vm)
		p.retryAt[vm] = now + retryDelay
	}
}
