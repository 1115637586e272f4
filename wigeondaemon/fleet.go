package wigeondaemon

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
	"github.com/wigeonstep/wigeonstep/wigeonwave"
)

// listInterval is the pause between two readings of the list of VMs while a wave is under way.
const listInterval = 500 * time.Millisecond

// fleet is the state of the owner of the fleet's partition.
type fleet struct {
	planner *wigeonwave.Planner
	vms     map[wigeonstep.VMID]wigeonstep.PooledVM
	// listed is when the newest reading of the list was sent, fresh the time before which readings no longer count.
	listed, fresh time.Duration
	listing       bool
	writing       bool
	// done holds the orders whose upkeep the platform has confirmed and whose record is not written.
	done []wigeonjob.UpkeepOrder
	// reported tells which waves the operator was told are completed.
	reported map[int]bool
}

func (f *fleet) reset() {
	*f = fleet{planner: &wigeonwave.Planner{}, reported: map[int]bool{}}
}

// stepFleet carries out the waves while this process owns the fleet's partition.
func (d *Daemon) stepFleet(now wigeonshard.Now) {
	sh := d.shards[fleetPartition]
	f := &d.fleet
	if !sh.owned || len(d.waves) == 0 || d.allReported() {
		return
	}
	if !f.listing && (f.vms == nil || now.Steady-f.listed > listInterval) {
		d.listVMs(sh, now.Steady)
	}
	if f.writing || f.vms == nil {
		return
	}
	plan := f.planner.Plan(now.Steady, wigeonwave.Fleet{
		Waves: d.sortedWaves(), VMs: f.vms, Orders: sh.replica.Upkeep, Released: d.released, Spare: d.spare,
	})
	d.writeOrders(sh, append(f.done, plan.Orders...))
	for _, order := range plan.Calls {
		d.callUpkeep(sh, order)
	}
	for _, wave := range plan.Running {
		d.report(sh, wave, false)
	}
	for _, wave := range plan.Completed {
		d.report(sh, wave, true)
	}
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
func (d *Daemon) writeOrders(sh *shard, orders []wigeonjob.UpkeepOrder) {
	if len(orders) == 0 {
		return
	}
	var records []wigeonstep.KeyedRecord
	for _, order := range orders {
		value, err := wigeonjob.EncodeUpkeep(order)
		if err != nil {
			d.config.Logger.Error("upkeep_record_failed", zap.String("vm", string(order.VM)), zap.Error(err))
			return
		}
		records = append(records, wigeonstep.KeyedRecord{Key: wigeonjob.Key(wigeonjob.KindUpkeep, order.VM), Value: value})
		d.config.Logger.Info("upkeep_order", zap.String("vm", string(order.VM)), zap.Int("wave", order.Wave), zap.String("worker", string(order.Worker)), zap.Int("phase", int(order.Phase)))
	}
	d.fleet.done = nil
	d.fleet.writing = true
	d.append(sh, records, func() {
		d.fleet.writing = false
		for _, record := range records {
			if err := sh.replica.Apply(record); err != nil {
				d.config.Logger.Error("upkeep_record_failed", zap.String("key", record.Key), zap.Error(err))
			}
		}
		d.spreadCordons()
	})
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
		order.Phase = wigeonjob.UpkeepDone
		f.done = append(f.done, order)
		// Older readings may still show the VM as up.
		f.fresh, f.vms = now, nil
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
