// Package wigeonwave decides which VM has its upkeep when, within the limits of its wave.
package wigeonwave

import (
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

const (
	// cordonsAhead is how many VMs of a wave are emptied beyond those that may be down at once, so that the next one is
	// ready when one is back.
	cordonsAhead = 1
	// retryDelay is the pause before an upkeep that was refused or not answered is asked for again.
	retryDelay = 300 * time.Millisecond
)

// Fleet is what a plan is made from.
type Fleet struct {
	Waves []wigeonstep.Wave
	// VMs is the newest list of the platform; nil while there is none.
	VMs map[wigeonstep.VMID]wigeonstep.PooledVM
	// Orders are the orders that the log holds.
	Orders map[wigeonstep.VMID]wigeonjob.UpkeepOrder
	// Moving tells whether a move of the VM is under way; its upkeep waits.
	Moving func(vm wigeonstep.VMID) bool
	// Idle tells whether nothing runs on a worker.
	Idle func(worker wigeonstep.WorkerID) bool
	// Released tells whether the shard of a worker has emptied it.
	Released func(worker wigeonstep.WorkerID) bool
	// Spare tells whether the VMs of a pool are off.
	Spare func(pool wigeonstep.PoolName) bool
}

// Plan is what is to be done. Every order is made durable before anything that follows from it.
type Plan struct {
	// Orders are new or changed orders for the log.
	Orders []wigeonjob.UpkeepOrder
	// Calls are upkeeps to ask the platform for; the log holds their orders as called.
	Calls []wigeonjob.UpkeepOrder
	// Completed are waves of which every VM that is still there has begun its upkeep.
	Completed []int
	// Running are the other waves.
	Running []int
}

// Planner makes plans. The zero value is ready. Its methods are called by one goroutine.
type Planner struct {
	// retryAt is when a call may be made again.
	retryAt map[wigeonstep.VMID]time.Duration
	calling map[wigeonstep.VMID]bool
}

// Plan returns what is to be done now. It returns no order that differs from the log's while one is being written, so
// the caller writes the orders of a plan before it asks for the next one.
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
	down, cordoned, begun, left := 0, 0, 0, 0
	var ready, fresh []wigeonjob.UpkeepOrder
	for _, id := range wave.VMs {
		vm, present := fleet.VMs[id]
		order, ordered := fleet.Orders[id]
		if ordered && order.Wave != wave.Number && order.Phase != wigeonjob.OrderDone {
			// Another wave's upkeep of the VM comes first.
			left++
			continue
		}
		if !ordered || order.Wave != wave.Number {
			if !present {
				continue
			}
			left++
			if vm.State == wigeonstep.VMUp && !fleet.Moving(id) {
				fresh = append(fresh, wigeonjob.UpkeepOrder{VM: id, Wave: wave.Number, Worker: vm.Worker})
			}
			continue
		}
		switch order.Phase {
		case wigeonjob.OrderDone:
			begun++
			if present && (vm.State == wigeonstep.VMUpkeep || (vm.Worker == order.Worker && order.Worker != "" && vm.State != wigeonstep.VMDown)) {
				down++
			}
		case wigeonjob.OrderCalled:
			if !present {
				continue
			}
			left++
			down++
			p.call(now, order, plan)
		case wigeonjob.OrderCordon:
			if !present {
				continue
			}
			left++
			cordoned++
			switch {
			case vm.State == wigeonstep.VMUp && vm.Worker != order.Worker:
				order.Worker = vm.Worker
				plan.Orders = append(plan.Orders, order)
			case vm.State == wigeonstep.VMUp && (order.Worker == "" || fleet.Spare(vm.Pool) || fleet.Released(order.Worker)):
				ready = append(ready, order)
			}
		}
	}
	for _, order := range ready {
		if down >= wave.MaxCount {
			break
		}
		down++
		cordoned--
		order.Phase = wigeonjob.OrderCalled
		plan.Orders = append(plan.Orders, order)
	}
	p.cordon(fleet, wave, fresh, cordoned, plan)
	if left == 0 {
		plan.Completed = append(plan.Completed, wave.Number)
	} else {
		plan.Running = append(plan.Running, wave.Number)
	}
}

// cordon orders the next VMs of a wave to be emptied: those that are off first, then those on which nothing runs.
func (p *Planner) cordon(fleet Fleet, wave wigeonstep.Wave, fresh []wigeonjob.UpkeepOrder, cordoned int, plan *Plan) {
	slices.SortStableFunc(fresh, func(a, b wigeonjob.UpkeepOrder) int {
		return rank(fleet, a) - rank(fleet, b)
	})
	for _, order := range fresh {
		if cordoned >= wave.MaxCount+cordonsAhead {
			return
		}
		cordoned++
		plan.Orders = append(plan.Orders, order)
	}
}

func rank(fleet Fleet, order wigeonjob.UpkeepOrder) int {
	if order.Worker == "" || fleet.Spare(fleet.VMs[order.VM].Pool) {
		return 0
	}
	if fleet.Idle(order.Worker) {
		return 1
	}
	return 2
}

func (p *Planner) call(now time.Duration, order wigeonjob.UpkeepOrder, plan *Plan) {
	if p.calling[order.VM] || now < p.retryAt[order.VM] {
		return
	}
	if p.calling == nil {
		p.calling = map[wigeonstep.VMID]bool{}
		p.retryAt = map[wigeonstep.VMID]time.Duration{}
	}
	p.calling[order.VM] = true
	plan.Calls = append(plan.Calls, order)
}

// Called takes the result of a call over. done is set when the platform confirmed the upkeep.
func (p *Planner) Called(now time.Duration, vm wigeonstep.VMID, done bool) {
	delete(p.calling, vm)
	if !done {
		p.retryAt[vm] = now + retryDelay
	}
}
