package wigeondaemon

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonbalance"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
	"github.com/wigeonstep/wigeonstep/wigeonwave"
)

const (
	// listInterval is the pause between two readings of the list of VMs while VMs change, idleListInterval otherwise.
	listInterval     = 400 * time.Millisecond
	idleListInterval = 1500 * time.Millisecond
	// planInterval is the pause between two plans.
	planInterval = 50 * time.Millisecond
	// sizeLogInterval is the pause between two lines about the sizes of the pools.
	sizeLogInterval = time.Second
)

// fleet is the state of the owner of the fleet's partition.
type fleet struct {
	planner  *wigeonwave.Planner
	balancer *wigeonbalance.Planner
	vms      map[wigeonstep.VMID]wigeonstep.PooledVM
	// listed is when the newest reading of the list was sent, fresh the time before which readings no longer count.
	listed, fresh time.Duration
	listing       bool
	writing       bool
	// done and moved hold the orders that the platform has confirmed and whose records are not written.
	done  []wigeonjob.UpkeepOrder
	moved []wigeonjob.MoveOrder
	// reported tells which waves the operator was told are completed.
	reported map[int]bool
	// parts holds the newest report of each partition of a service, demands their sum, released the workers that shards
	// reported as empty.
	parts    map[wigeonstep.PoolName]map[uint32]wigeonbalance.Demand
	demands  map[wigeonstep.PoolName]wigeonbalance.Demand
	released map[uint32]map[wigeonstep.WorkerID]bool
	planned  time.Duration
	// sized is when the sizes of the pools were last logged.
	sized time.Duration
}

func newFleet() fleet {
	return fleet{
		planner: &wigeonwave.Planner{}, balancer: &wigeonbalance.Planner{}, reported: map[int]bool{},
		parts:   map[wigeonstep.PoolName]map[uint32]wigeonbalance.Demand{},
		demands: map[wigeonstep.PoolName]wigeonbalance.Demand{}, released: map[uint32]map[wigeonstep.WorkerID]bool{},
	}
}

// stepFleet carries out waves and moves while this process owns the fleet's partition.
func (d *Daemon) stepFleet(now wigeonshard.Now) {
	sh := d.shards[fleetPartition]
	f := &d.fleet
	if !sh.owned || d.routes.Load() == nil {
		return
	}
	interval := idleListInterval
	if !d.allReported() || d.changing(sh) {
		interval = listInterval
	}
	if !f.listing && (f.vms == nil || now.Steady-f.listed > interval) {
		d.listVMs(sh, now.Steady)
	}
	if f.writing || now.Steady-f.planned < planInterval {
		return
	}
	f.planned = now.Steady
	records := d.planSplits(sh, now)
	if f.vms != nil {
		records = append(records, d.planWaves(sh, now)...)
	}
	if f.vms != nil && len(records) == 0 {
		// Moves are planned from upkeep orders that are written, so that no VM gets an order of both kinds at once.
		records = d.planMoves(sh, now)
	}
	d.writeOrders(sh, records)
}

// changing reports whether a VM is on its way or has orders that are not done.
func (d *Daemon) changing(sh *shard) bool {
	for id, order := range sh.replica.Moves {
		if order.Phase != wigeonjob.OrderDone || d.fleet.vms[id].State == wigeonstep.VMMoving || d.fleet.vms[id].Worker == order.Worker {
			return true
		}
	}
	return false
}

func (d *Daemon) planWaves(sh *shard, now wigeonshard.Now) []wigeonstep.KeyedRecord {
	f := &d.fleet
	plan := f.planner.Plan(now.Steady, wigeonwave.Fleet{
		Waves: d.sortedWaves(), VMs: f.vms, Orders: sh.replica.Upkeep, Released: d.released, Spare: d.spare,
		Moving: func(vm wigeonstep.VMID) bool {
			order, ordered := sh.replica.Moves[vm]
			return ordered && order.Phase != wigeonjob.OrderDone
		},
		Idle: d.idle,
	})
	for _, order := range plan.Calls {
		d.callUpkeep(sh, order)
	}
	for _, wave := range plan.Running {
		d.report(sh, wave, false)
	}
	for _, wave := range plan.Completed {
		d.report(sh, wave, true)
	}
	var records []wigeonstep.KeyedRecord
	for _, order := range append(f.done, plan.Orders...) {
		value, err := wigeonjob.EncodeUpkeep(order)
		if err != nil {
			d.config.Logger.Error("upkeep_record_failed", zap.String("vm", string(order.VM)), zap.Error(err))
			continue
		}
		records = append(records, wigeonstep.KeyedRecord{Key: wigeonjob.Key(wigeonjob.KindUpkeep, order.VM), Value: value})
		d.config.Logger.Info("upkeep_order", zap.String("vm", string(order.VM)), zap.Int("wave", order.Wave), zap.String("worker", string(order.Worker)), zap.Int("phase", int(order.Phase)))
	}
	f.done = nil
	return records
}

func (d *Daemon) planMoves(sh *shard, now wigeonshard.Now) []wigeonstep.KeyedRecord {
	f := &d.fleet
	plan := f.balancer.Plan(now.Steady, wigeonbalance.Fleet{
		VMs: f.vms, Moves: sh.replica.Moves, Demands: f.demands, Spare: d.sparePools(), Released: d.released,
		InUpkeep: func(vm wigeonstep.VMID) bool {
			order, ordered := sh.replica.Upkeep[vm]
			return ordered && order.Phase != wigeonjob.OrderDone
		},
	})
	for _, order := range plan.Calls {
		d.callMove(sh, order)
	}
	if now.Steady-f.sized > sizeLogInterval {
		f.sized = now.Steady
		for _, size := range plan.Sizes {
			d.config.Logger.Info("pool_size", zap.String("pool", string(size.Pool)), zap.Int("vms", size.VMs), zap.Int("idle", size.Idle), zap.Int("need", size.Need), zap.Duration("age", size.Age))
		}
	}
	var records []wigeonstep.KeyedRecord
	for _, order := range append(f.moved, plan.Orders...) {
		value, err := wigeonjob.EncodeMove(order)
		if err != nil {
			d.config.Logger.Error("move_record_failed", zap.String("vm", string(order.VM)), zap.Error(err))
			continue
		}
		records = append(records, wigeonstep.KeyedRecord{Key: wigeonjob.Key(wigeonjob.KindMove, order.VM), Value: value})
		d.config.Logger.Info("move_order", zap.String("vm", string(order.VM)), zap.String("from", string(order.From)), zap.String("to", string(order.Pool)), zap.String("worker", string(order.Worker)), zap.Int("phase", int(order.Phase)))
	}
	f.moved = nil
	return records
}

func (d *Daemon) allReported() bool {
	for wave := range d.waves {
		if !d.fleet.reported[wave] {
			return false
		}
	}
	return true
}

func (d *Daemon) sortedWaves() []wigeonstep.Wave {
	waves := slices.Collect(maps.Values(d.waves))
	slices.SortFunc(waves, func(a, b wigeonstep.Wave) int { return a.Number - b.Number })
	return waves
}

// released reports whether a shard has emptied the worker.
func (d *Daemon) released(worker wigeonstep.WorkerID) bool {
	for _, workers := range d.fleet.released {
		if workers[worker] {
			return true
		}
	}
	for _, sh := range d.order {
		if _, ok := sh.replica.Releases[worker]; ok {
			return true
		}
	}
	return false
}

func (d *Daemon) spare(pool wigeonstep.PoolName) bool {
	table := d.routes.Load()
	return table != nil && table.spare[wigeonstep.ServiceName(pool)]
}

// sparePools returns the pools whose VMs are off.
func (d *Daemon) sparePools() map[wigeonstep.PoolName]bool {
	pools := map[wigeonstep.PoolName]bool{}
	for name, spare := range d.routes.Load().spare {
		if spare {
			pools[wigeonstep.PoolName(name)] = true
		}
	}
	return pools
}

// idle reports whether nothing runs on a worker.
func (d *Daemon) idle(worker wigeonstep.WorkerID) bool {
	for _, demand := range d.fleet.demands {
		if demand.Idle[worker] {
			return true
		}
	}
	return false
}

func (d *Daemon) listVMs(sh *shard, now time.Duration) {
	d.fleet.listing = true
	ctx := sh.ctx
	go func() {
		vms, err := d.config.Machines.ListPooledVMs(ctx)
		d.post(func() {
			if ctx.Err() != nil {
				return
			}
			f := &d.fleet
			f.listing, f.listed = false, now
			if err != nil {
				d.config.Logger.Warn("vm_list_failed", zap.Error(err))
				return
			}
			if now < f.fresh {
				return
			}
			f.vms = make(map[wigeonstep.VMID]wigeonstep.PooledVM, len(vms))
			for _, vm := range vms {
				f.vms[vm.ID] = vm
			}
		})
	}()
}

// writeOrders makes orders durable. No plan is made until then.
func (d *Daemon) writeOrders(sh *shard, records []wigeonstep.KeyedRecord) {
	if len(records) == 0 {
		return
	}
	d.fleet.writing = true
	d.append(sh, records, func() {
		// What the orders allow is done at once.
		d.fleet.writing, d.fleet.planned = false, 0
		for _, record := range records {
			if err := sh.replica.Apply(record); err != nil {
				d.config.Logger.Error("fleet_record_failed", zap.String("key", record.Key), zap.Error(err))
			}
		}
		d.spreadCordons()
		d.readSplits()
	})
}

func (d *Daemon) callMove(sh *shard, order wigeonjob.MoveOrder) {
	ctx, fence := sh.ctx, sh.epoch
	go func() {
		err := d.config.Machines.Move(ctx, order.VM, order.Pool, fence)
		d.post(func() {
			if ctx.Err() == nil {
				d.moveCalled(sh, order, err)
			}
		})
	}()
}

func (d *Daemon) moveCalled(sh *shard, order wigeonjob.MoveOrder, err error) {
	now := d.config.Now().Steady
	f := &d.fleet
	f.balancer.Called(now, order.VM, err == nil)
	d.config.Logger.Info("move_called", zap.String("vm", string(order.VM)), zap.String("to", string(order.Pool)), zap.Error(err))
	switch {
	case err == nil:
		order.Phase = wigeonjob.OrderDone
		f.moved = append(f.moved, order)
		if vm, ok := f.vms[order.VM]; ok {
			// The list says so as soon as it is read again.
			vm.State, vm.Pool = wigeonstep.VMMoving, order.Pool
			f.vms[order.VM] = vm
		}
		f.fresh = now
	case errors.Is(err, wigeonstep.ErrFenced):
		d.drop(sh, "the machines' service has seen a higher fence")
		sh.retryClaim = now + claimRetryDelay
	}
}

func (d *Daemon) callUpkeep(sh *shard, order wigeonjob.UpkeepOrder) {
	ctx, fence := sh.ctx, sh.epoch
	go func() {
		err := d.config.Machines.Upkeep(ctx, order.VM, order.Wave, fence)
		d.post(func() {
			if ctx.Err() == nil {
				d.upkeepCalled(sh, order, err)
			}
		})
	}()
}

func (d *Daemon) upkeepCalled(sh *shard, order wigeonjob.UpkeepOrder, err error) {
	now := d.config.Now().Steady
	f := &d.fleet
	f.planner.Called(now, order.VM, err == nil)
	d.config.Logger.Info("upkeep_called", zap.String("vm", string(order.VM)), zap.Int("wave", order.Wave), zap.Error(err))
	switch {
	case err == nil:
		order.Phase = wigeonjob.OrderDone
		f.done = append(f.done, order)
		if vm, ok := f.vms[order.VM]; ok {
			// The list says so as soon as it is read again; older readings may still show the VM as up.
			vm.State = wigeonstep.VMUpkeep
			f.vms[order.VM] = vm
		}
		f.fresh = now
	case errors.Is(err, wigeonstep.ErrFenced):
		d.drop(sh, "the machines' service has seen a higher fence")
		sh.retryClaim = now + claimRetryDelay
	}
}

// report tells the operator how far a wave is, once for each state.
func (d *Daemon) report(sh *shard, wave int, completed bool) {
	f := &d.fleet
	if told, ok := f.reported[wave]; ok && told == completed {
		return
	}
	f.reported[wave] = completed
	ctx := sh.ctx
	go func() {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		if err := d.config.Waves.SetWaveState(ctx, wave, completed); err != nil {
			d.post(func() { delete(d.fleet.reported, wave) })
			d.config.Logger.Warn("wave_report_failed", zap.Int("wave", wave), zap.Error(err))
			return
		}
		d.config.Logger.Info("wave_reported", zap.Int("wave", wave), zap.Bool("completed", completed))
	}()
}

const reportTimeout = 2 * time.Second
