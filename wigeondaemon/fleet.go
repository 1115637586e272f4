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
	"github.com/wigeonstep/wigeonstep/wigeonlimit"
	"github.com/wigeonstep/wigeonstep/wigeonquota"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
	"github.com/wigeonstep/wigeonstep/wigeonwave"
)

const (
	// listInterval is the minimum time between the request for a VM list and the next one while waves or moves are in
	// progress, idleListInterval at other times.
	listInterval     = 400 * time.Millisecond
	idleListInterval = 1500 * time.Millisecond
	// planInterval is the minimum time between two plans; a plan follows at once when orders have become durable.
	planInterval = 50 * time.Millisecond
	// maxMachineCalls bounds the open calls that change VMs. It is below the number of connections that the client opens, so
	// that the VM list can be read at the same time.
	maxMachineCalls = 32
	// machineCallShare is the share of the platform's limit on calls that this process uses. The rest covers calls of an
	// earlier owner that are still under way.
	machineCallShare = 0.9
	// sizeLogInterval is the minimum time between two logs of the pool sizes.
	sizeLogInterval = time.Second
)

// fleet is the planning state of the owner of the fleet partition. It is reset when the ownership begins.
type fleet struct {
	wavePlanner *wigeonwave.Planner
	movePlanner *wigeonbalance.Planner
	// calls bounds the calls that change VMs.
	calls wigeonlimit.Limiter
	// vms is the newest VM list, with the moves and maintenance that the platform has confirmed since its request; nil until the
	// first list has been read.
	vms map[wigeonstep.VMID]wigeonstep.PooledVM
	// confirmedAt holds the time of the newest confirmed move or maintenance of each VM for which vms shows that, and not yet a
	// list that was requested later.
	confirmedAt map[wigeonstep.VMID]time.Duration
	// lastList is the time of the newest request for the VM list that has ended, with a list or an error, listedAt that of the
	// request for the newest list in vms.
	lastList, listedAt time.Duration
	listInFlight       bool
	writeInFlight      bool
	// confirmedMaintenance and confirmedMoves hold the orders that the platform has confirmed and whose records are not yet
	// handed to the log.
	confirmedMaintenance []wigeonjob.MaintenanceOrder
	confirmedMoves       []wigeonjob.MoveOrder
	// reportedWaves holds the state of each wave in the newest report to the operator: true for completed, false for
	// running. The report may still be in flight.
	reportedWaves map[int]bool
	// waveReportInFlight holds the waves with a report that has no answer yet. The next one waits for it, because reports may
	// overtake each other.
	waveReportInFlight map[int]bool
	// shardDemands holds the newest demand of each shard by pool, demands their sum, and released the drained workers
	// that each shard reported.
	shardDemands map[wigeonstep.PoolName]map[uint32]wigeonbalance.Demand
	demands      map[wigeonstep.PoolName]wigeonbalance.Demand
	released     map[uint32]map[wigeonstep.WorkerID]bool
	// losses holds the lost workers that the shards report, and what the VM lists say of them.
	losses lossTracker
	// division divides the limits of the teams.
	division *wigeonquota.Division
	lastPlan time.Duration
	// lastSizeLog is the time at which the pool sizes were last logged.
	lastSizeLog time.Duration
}

// newFleet returns the planning state of a new owner. callRate is the platform's limit on calls that change VMs, in calls
// per second; 0 if it is unknown.
func newFleet(callRate float64) fleet {
	return fleet{
		calls:       wigeonlimit.Limiter{MaxOpen: maxMachineCalls, Rate: machineCallShare * callRate},
		confirmedAt: map[wigeonstep.VMID]time.Duration{},
		wavePlanner: &wigeonwave.Planner{}, movePlanner: &wigeonbalance.Planner{}, reportedWaves: map[int]bool{}, waveReportInFlight: map[int]bool{},
		shardDemands: map[wigeonstep.PoolName]map[uint32]wigeonbalance.Demand{},
		demands:      map[wigeonstep.PoolName]wigeonbalance.Demand{}, released: map[uint32]map[wigeonstep.WorkerID]bool{},
		division: wigeonquota.NewDivision(0, nil, nil),
	}
}

// stepFleet plans and executes maintenance waves and moves of VMs while this process owns the fleet partition.
func (d *Daemon) stepFleet(now wigeonshard.Timestamp) {
	sh := d.shards[fleetPartition]
	f := &d.fleet
	if !sh.owned || d.routes.Load() == nil {
		return
	}
	interval := idleListInterval
	if !d.allWavesReported() || d.movesPending(sh) {
		interval = listInterval
	}
	if f.losses.unresolved() {
		interval = min(interval, lossListInterval+time.Duration(len(f.vms))*lossListIntervalPerVM)
	}
	if !f.listInFlight && (f.vms == nil || now.Steady-f.lastList > interval) {
		d.listVMs(sh, now.Steady)
	}
	if f.writeInFlight || now.Steady-f.lastPlan < planInterval {
		return
	}
	f.lastPlan = now.Steady
	records := d.planPartitions(sh, now)
	if f.vms != nil {
		records = append(records, d.planWaves(sh, now)...)
	}
	if f.vms != nil && len(records) == 0 {
		// Moves are planned only when all maintenance orders are durable, so that no VM has orders of both
		// kinds at the same time.
		records = d.planMoves(sh, now)
	}
	d.writeOrders(sh, append(records, d.planAllowances(sh, now)...))
}

// movesPending reports whether a move order is not done, or the VM list does not show its result yet.
func (d *Daemon) movesPending(sh *shard) bool {
	for id, order := range sh.replica.MoveOrders {
		if order.Phase != wigeonjob.OrderDone || d.fleet.vms[id].State == wigeonstep.VMMoving || d.fleet.vms[id].Worker == order.Worker {
			return true
		}
	}
	return false
}

func (d *Daemon) planWaves(sh *shard, now wigeonshard.Timestamp) []wigeonstep.KeyedRecord {
	f := &d.fleet
	plan := f.wavePlanner.Plan(now.Steady, wigeonwave.Fleet{
		Waves: d.sortedWaves(), ReadAt: d.waveReadAt, VMs: f.vms, Orders: sh.replica.MaintenanceOrders, Released: d.isReleased, Spare: d.isSpare,
		HasOpenMove: func(vm wigeonstep.VMID) bool {
			order, ordered := sh.replica.MoveOrders[vm]
			return ordered && order.Phase != wigeonjob.OrderDone
		},
		Idle:    d.isIdle,
		MayCall: func() bool { return f.calls.Take(now.Steady) },
	})
	for _, order := range plan.Calls {
		d.callMaintain(sh, order)
	}
	for _, wave := range plan.Running {
		d.reportWave(sh, wave, false)
	}
	for _, wave := range plan.Completed {
		d.reportWave(sh, wave, true)
	}
	var records []wigeonstep.KeyedRecord
	for _, order := range append(f.confirmedMaintenance, plan.Orders...) {
		value, err := wigeonjob.EncodeMaintenance(order)
		if err != nil {
			d.config.Logger.Error("upkeep_record_failed", zap.String("vm", string(order.VM)), zap.Error(err))
			continue
		}
		records = append(records, wigeonstep.KeyedRecord{Key: wigeonjob.Key(wigeonjob.KindMaintenance, order.VM), Value: value})
		d.config.Logger.Info("upkeep_order", zap.String("vm", string(order.VM)), zap.Int("wave", order.Wave), zap.String("worker", string(order.Worker)), zap.Int("phase", int(order.Phase)))
	}
	f.confirmedMaintenance = nil
	return records
}

func (d *Daemon) planMoves(sh *shard, now wigeonshard.Timestamp) []wigeonstep.KeyedRecord {
	f := &d.fleet
	plan := f.movePlanner.Plan(now.Steady, wigeonbalance.Fleet{
		VMs: f.vms, Moves: sh.replica.MoveOrders, Demands: f.demands, Spare: d.sparePools(), Released: d.isReleased,
		InMaintenance: func(vm wigeonstep.VMID) bool {
			order, ordered := sh.replica.MaintenanceOrders[vm]
			return ordered && order.Phase != wigeonjob.OrderDone
		},
		MayCall: func() bool { return f.calls.Take(now.Steady) },
	})
	for _, order := range plan.Calls {
		d.callMove(sh, order)
	}
	if now.Steady-f.lastSizeLog > sizeLogInterval {
		f.lastSizeLog = now.Steady
		for _, size := range plan.PoolSizes {
			d.config.Logger.Info("pool_size", zap.String("pool", string(size.Pool)), zap.Int("vms", size.VMs), zap.Int("idle", size.Idle), zap.Int("need", size.Need), zap.Int("missing", size.Missing), zap.Duration("age", size.Age), zap.Duration("list_age", now.Steady-f.listedAt))
		}
	}
	var records []wigeonstep.KeyedRecord
	for _, order := range append(f.confirmedMoves, plan.Orders...) {
		value, err := wigeonjob.EncodeMove(order)
		if err != nil {
			d.config.Logger.Error("move_record_failed", zap.String("vm", string(order.VM)), zap.Error(err))
			continue
		}
		records = append(records, wigeonstep.KeyedRecord{Key: wigeonjob.Key(wigeonjob.KindMove, order.VM), Value: value})
		d.config.Logger.Info("move_order", zap.String("vm", string(order.VM)), zap.String("from", string(order.From)), zap.String("to", string(order.Pool)), zap.String("worker", string(order.Worker)), zap.Int("phase", int(order.Phase)))
	}
	f.confirmedMoves = nil
	return records
}

func (d *Daemon) allWavesReported() bool {
	for wave := range d.waves {
		if !d.fleet.reportedWaves[wave] {
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

// isReleased reports whether a shard has drained the worker, by the shard's report or by the release in the log.
func (d *Daemon) isReleased(worker wigeonstep.WorkerID) bool {
	for _, workers := range d.fleet.released {
		if workers[worker] {
			return true
		}
	}
	for _, sh := range d.sortedShards {
		if _, ok := sh.replica.Releases[worker]; ok {
			return true
		}
	}
	return false
}

func (d *Daemon) isSpare(pool wigeonstep.PoolName) bool {
	table := d.routes.Load()
	return table != nil && table.spare[wigeonstep.ServiceName(pool)]
}

// sparePools returns the pools of spare services, whose VMs are off.
func (d *Daemon) sparePools() map[wigeonstep.PoolName]bool {
	pools := map[wigeonstep.PoolName]bool{}
	for name, spare := range d.routes.Load().spare {
		if spare {
			pools[wigeonstep.PoolName(name)] = true
		}
	}
	return pools
}

// isIdle reports whether a shard has reported the worker as running nothing.
func (d *Daemon) isIdle(worker wigeonstep.WorkerID) bool {
	for _, demand := range d.fleet.demands {
		if demand.Idle[worker] {
			return true
		}
	}
	return false
}

// writeOrders appends the records of orders. Planning pauses until they are durable.
func (d *Daemon) writeOrders(sh *shard, records []wigeonstep.KeyedRecord) {
	if len(records) == 0 {
		return
	}
	d.fleet.writeInFlight = true
	d.appendFenced(sh, records, func(answer appendAnswer) {
		// The next step plans at once, because the durable orders may allow calls.
		d.fleet.writeInFlight, d.fleet.lastPlan = false, 0
		d.applyWritten(sh, records, answer.end)
		d.allowancesWritten()
		d.pushCordons()
		d.updatePartitions()
	})
}

func (d *Daemon) callMove(sh *shard, order wigeonjob.MoveOrder) {
	ctx, fence := sh.ctx, sh.fence
	go func() {
		err := d.config.Machines.Move(ctx, order.VM, order.Pool, fence)
		d.post(func() {
			if ctx.Err() == nil {
				d.handleMoveResult(sh, order, err)
			}
		})
	}()
}

func (d *Daemon) handleMoveResult(sh *shard, order wigeonjob.MoveOrder, err error) {
	now := d.config.Now().Steady
	f := &d.fleet
	f.calls.Release()
	f.movePlanner.RecordCallResult(now, order.VM, err == nil)
	d.config.Logger.Info("move_called", zap.String("vm", string(order.VM)), zap.String("to", string(order.Pool)), zap.Error(err))
	switch {
	case err == nil:
		order.Phase = wigeonjob.OrderDone
		f.confirmedMoves = append(f.confirmedMoves, order)
		f.showConfirmed(now, order.VM, func(vm *wigeonstep.PooledVM) { vm.State, vm.Pool = wigeonstep.VMMoving, order.Pool })
	case errors.Is(err, wigeonstep.ErrFenced):
		d.dropShard(sh, "the machines' service has seen a higher fence")
		sh.retryClaimAt = now + claimRetryDelay
	}
}

func (d *Daemon) callMaintain(sh *shard, order wigeonjob.MaintenanceOrder) {
	ctx, fence := sh.ctx, sh.fence
	go func() {
		err := d.config.Machines.Maintain(ctx, order.VM, order.Wave, fence)
		d.post(func() {
			if ctx.Err() == nil {
				d.handleMaintenanceResult(sh, order, err)
			}
		})
	}()
}

func (d *Daemon) handleMaintenanceResult(sh *shard, order wigeonjob.MaintenanceOrder, err error) {
	now := d.config.Now().Steady
	f := &d.fleet
	f.calls.Release()
	f.wavePlanner.RecordCallResult(now, order.VM, err == nil)
	d.config.Logger.Info("upkeep_called", zap.String("vm", string(order.VM)), zap.Int("wave", order.Wave), zap.Error(err))
	switch {
	case err == nil:
		order.Phase = wigeonjob.OrderDone
		f.confirmedMaintenance = append(f.confirmedMaintenance, order)
		f.showConfirmed(now, order.VM, func(vm *wigeonstep.PooledVM) { vm.State = wigeonstep.VMMaintenance })
	case errors.Is(err, wigeonstep.ErrFenced):
		d.dropShard(sh, "the machines' service has seen a higher fence")
		sh.retryClaimAt = now + claimRetryDelay
	}
}

// reportWave reports the state of a wave to the operator, once for each change and one report at a time. A later plan repeats a
// failed report and sends one that had to wait.
func (d *Daemon) reportWave(sh *shard, wave int, completed bool) {
	f := &d.fleet
	if last, ok := f.reportedWaves[wave]; ok && last == completed || f.waveReportInFlight[wave] {
		return
	}
	// The entry is set before the call, so that the next plan does not send the report again; a failed call removes the
	// entry, so that a later plan does.
	f.reportedWaves[wave], f.waveReportInFlight[wave] = completed, true
	ctx := sh.ctx
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, waveReportTimeout)
		defer cancel()
		err := d.config.Waves.SetWaveState(callCtx, wave, completed)
		if err != nil {
			d.config.Logger.Warn("wave_report_failed", zap.Int("wave", wave), zap.Error(err))
		} else {
			d.config.Logger.Info("wave_reported", zap.Int("wave", wave), zap.Bool("completed", completed))
		}
		d.post(func() {
			if ctx.Err() != nil {
				return
			}
			delete(d.fleet.waveReportInFlight, wave)
			if err != nil {
				delete(d.fleet.reportedWaves, wave)
			}
		})
	}()
}

const waveReportTimeout = 2 * time.Second
