// Package wigeonmaintenance plans maintenance waves and takes each VM through its drain, reboot and return to service.
//
// It decides from the folded state, the time and the observations of one daemon, and does no I/O.
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
	// Period is the time in which every VM is maintained once, default 3 weeks.
	Period time.Duration
	// Policy decides how many VMs of a pool may drain now, default BudgetPolicy.
	Policy Policy
}

// Policy returns how many more VMs of the pool may drain now.
type Policy func(pool *wigeonpool.Pool) int

// BudgetPolicy lets as many VMs drain as the disruption budget allows, less the reserve for failures during one drain.
func BudgetPolicy(pool *wigeonpool.Pool) int { return pool.DrainsAllowed() }

// BatchPolicy lets a fixed number of VMs be out for maintenance at once, whatever fails meanwhile. It is a baseline for comparison.
func BatchPolicy(size int) Policy {
	return func(pool *wigeonpool.Pool) int { return size - pool.Planned }
}

// Planner plans waves and the phases of VMs. Everything that must last is in the fold; the planner remembers only
// what it waited for in other data centres, which pauses it recorded, and when it saw the phases of VMs. Its methods are called from one goroutine.
type Planner struct {
	config  Config
	waiting map[wigeonstep.PoolName]awaited
	// paused holds the waves whose pause was recorded.
	paused map[wigeonstep.WaveID]bool
	// phases holds when this process first saw each VM that is out of service in its phase.
	phases map[wigeonstep.VMID]seenPhase
	// returned holds when each VM returned to service from a drain that did not end in time.
	returned map[wigeonstep.VMID]time.Time
}

type seenPhase struct {
	epoch    wigeonstep.Epoch
	since    time.Time
	draining bool
	// sawDrain is set when this process saw the VM draining before, so that no other one asked for its reboot.
	sawDrain bool
	// rebootAsked is set when this process asked for the reboot; the call may take effect even if its answer is lost.
	rebootAsked bool
}

// awaited is a drain that the planner of another data centre was expected to propose.
type awaited struct {
	vm    wigeonstep.VMID
	since time.Time
}

// NewPlanner returns a Planner.
func NewPlanner(config Config) *Planner {
	if config.Period <= 0 {
		config.Period = 3 * 7 * 24 * time.Hour
	}
	if config.Policy == nil {
		config.Policy = BudgetPolicy
	}
	return &Planner{config: config, waiting: map[wigeonstep.PoolName]awaited{}, paused: map[wigeonstep.WaveID]bool{}, phases: map[wigeonstep.VMID]seenPhase{}, returned: map[wigeonstep.VMID]time.Time{}}
}

// Plan returns the proposals and actions of one round.
func (p *Planner) Plan(fleet *wigeonpool.Fleet) wigeonpool.Plan {
	var plan wigeonpool.Plan
	waves := make(map[wigeonstep.PoolName]*wigeonstate.Wave, len(fleet.View.Waves))
	for _, w := range fleet.View.Waves {
		waves[w.Pool] = w
	}
	p.watchPhases(fleet)
	for _, pool := range fleet.Pools {
		for _, vm := range pool.OutOfService {
			if fleet.Owns(vm) {
				p.step(&plan, fleet, pool, vm)
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

// watchPhases keeps since when this process has seen each VM of its data centre out of service in its phase.
func (p *Planner) watchPhases(fleet *wigeonpool.Fleet) {
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
			p.returned[id] = fleet.Now
		}
	}
	maps.DeleteFunc(p.returned, func(_ wigeonstep.VMID, at time.Time) bool { return fleet.Now.Sub(at) > maxRest })
	p.phases = phases
}

// neverRebooted reports whether a drained VM was certainly not asked to reboot, so that it may return to service.
func (p *Planner) neverRebooted(vm *wigeonstate.VM) bool {
	seen := p.phases[vm.ID]
	return seen.sawDrain && !seen.rebootAsked
}

func (p *Planner) askReboot(vm *wigeonstate.VM) {
	seen := p.phases[vm.ID]
	seen.rebootAsked = true
	p.phases[vm.ID] = seen
}
