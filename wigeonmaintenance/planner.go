// Package wigeonmaintenance plans maintenance waves, and the drain, the reboot and the return to service of each VM. A
// wave maintains every VM of a pool once.
//
// A planner decides from the folded state (see wigeonpool), the time and the observations of one daemon. It does no I/O.
package wigeonmaintenance

import (
	"maps"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonpool"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// Config configures a Planner. The zero value works.
type Config struct {
	// Period is the interval between two waves of a pool, and the age at which the last maintenance of a VM is overdue.
	// The default is 3 weeks.
	Period time.Duration
	// Policy limits the drains for maintenance, default BudgetPolicy.
	Policy Policy
}

// Policy returns the number of VMs of the pool that may start to drain now; none may if it is zero or negative.
type Policy func(pool *wigeonpool.Pool) int

// BudgetPolicy allows as many drains as fit into the disruption budget, less the reserve for failures during one drain.
func BudgetPolicy(pool *wigeonpool.Pool) int { return pool.DrainsAllowed() }

// BatchPolicy is a baseline for comparison: a fixed number of VMs of a pool are out of service by plan at the same
// time, whatever failures there are.
func BatchPolicy(size int) Policy {
	return func(pool *wigeonpool.Pool) int { return size - pool.Planned }
}

// Planner plans waves and the phases of VMs. Durable state is in the folded state; the planner's own state may be lost
// at a restart. Its methods must be called from one goroutine.
type Planner struct {
	config Config
	// awaited holds, for each pool, the first drain that is due in another data centre.
	awaited map[wigeonstep.PoolName]awaitedDrain
	// paused holds the waves that this planner has seen paused and not yet resumed.
	paused map[wigeonstep.WaveID]bool
	// phases holds the phase of each VM of this data centre that is out of service, as first seen by this process.
	phases map[wigeonstep.VMID]seenPhase
	// returnedAt holds the time at which each VM returned to service directly from a drain.
	returnedAt map[wigeonstep.VMID]time.Time
}

// seenPhase is a phase of a VM as this process saw it. Each transition increases the epoch, so the epoch identifies the
// phase.
type seenPhase struct {
	epoch wigeonstep.VMEpoch
	// since is the time at which this process first saw the VM in the phase.
	since    time.Time
	draining bool
	// sawDrain is set when this process saw the VM draining in the previous epoch, so that no other process has
	// requested its reboot.
	sawDrain bool
	// rebootRequested is set once this process has planned the call that requests the reboot. The call may take effect
	// even if its response is lost.
	rebootRequested bool
}

// awaitedDrain is a drain that the planner of another data centre is expected to propose, since the given time.
type awaitedDrain struct {
	vm    wigeonstep.VMID
	since time.Time
}

// NewPlanner returns a Planner; defaults replace the zero values of config.
func NewPlanner(config Config) *Planner {
	if config.Period <= 0 {
		config.Period = 3 * 7 * 24 * time.Hour
	}
	if config.Policy == nil {
		config.Policy = BudgetPolicy
	}
	return &Planner{config: config, awaited: map[wigeonstep.PoolName]awaitedDrain{}, paused: map[wigeonstep.WaveID]bool{}, phases: map[wigeonstep.VMID]seenPhase{}, returnedAt: map[wigeonstep.VMID]time.Time{}}
}

// Plan returns the proposals and actions of one round.
func (p *Planner) Plan(fleet *wigeonpool.Fleet) wigeonpool.Plan {
	var plan wigeonpool.Plan
	waves := make(map[wigeonstep.PoolName]*wigeonstate.Wave, len(fleet.View.Waves))
	for _, w := range fleet.View.Waves {
		waves[w.Pool] = w
	}
	p.trackPhases(fleet)
	for _, pool := range fleet.Pools {
		for _, vm := range pool.OutOfService {
			if fleet.Owns(vm) {
				p.stepVM(&plan, fleet, pool, vm)
			}
		}
		if fleet.RunsProcesses(pool) {
			continue
		}
		if wave := waves[pool.Name]; wave != nil {
			p.continueWave(&plan, fleet, pool, wave)
		} else {
			p.startWave(&plan, fleet, pool)
		}
	}
	return plan
}

// trackPhases records the phases of the VMs of this data centre that are out of service, and the times at which VMs
// returned to service from a drain. It forgets such a time after maxRetryDelay, when it has no effect any more.
func (p *Planner) trackPhases(fleet *wigeonpool.Fleet) {
	phases := make(map[wigeonstep.VMID]seenPhase, len(p.phases))
	for _, pool := range fleet.Pools {
		for _, vm := range pool.OutOfService {
			if !fleet.Owns(vm) {
				continue
			}
			seen, known := p.phases[vm.ID]
			if !known || seen.epoch != vm.Epoch {
				sawDrain := known && seen.draining && seen.epoch+1 == vm.Epoch
				seen = seenPhase{epoch: vm.Epoch, since: fleet.Now, draining: vm.Phase == wigeonwire.Phase_PHASE_DRAINING, sawDrain: sawDrain}
			}
			phases[vm.ID] = seen
		}
	}
	for id, seen := range p.phases {
		if vm := fleet.View.VMs[id]; seen.draining && vm != nil && vm.Epoch == seen.epoch+1 && vm.InService() {
			p.returnedAt[id] = fleet.Now
		}
	}
	maps.DeleteFunc(p.returnedAt, func(_ wigeonstep.VMID, at time.Time) bool { return fleet.Now.Sub(at) > maxRetryDelay })
	p.phases = phases
}

// rebootNeverRequested reports whether it is certain that no process has requested the reboot of a drained VM, so that
// the VM may return to service. It is certain only if this process saw the VM draining, and has not requested the
// reboot.
func (p *Planner) rebootNeverRequested(vm *wigeonstate.VM) bool {
	seen := p.phases[vm.ID]
	return seen.sawDrain && !seen.rebootRequested
}

// markRebootRequested records that the reboot of the VM is requested.
func (p *Planner) markRebootRequested(vm *wigeonstate.VM) {
	seen := p.phases[vm.ID]
	seen.rebootRequested = true
	p.phases[vm.ID] = seen
}
