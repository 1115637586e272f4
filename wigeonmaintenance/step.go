package wigeonmaintenance

import (
	"fmt"
	"time"

	"github.com/wigeonstep/wigeonstep/wigeonpool"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// ReturnTimeout is how long a VM may take to come back after a reboot, and then to pass its verification.
	ReturnTimeout = 10 * time.Minute
	// checkpointGrace is how long tasks have to end after a checkpoint was asked for.
	checkpointGrace = time.Minute
	// listMargin is how much later than this process saw a phase a VM list must be taken to prove something about it.
	listMargin = 2 * time.Second
)

// step plans the next step of one VM of this data centre that is out of service.
func (p *Planner) step(plan *wigeonpool.Plan, fleet *wigeonpool.Fleet, pool *wigeonpool.Pool, vm *wigeonstate.VM) {
	switch vm.Phase {
	case wigeonwire.Phase_PHASE_DRAINING:
		stepDraining(plan, fleet, pool, vm)
	case wigeonwire.Phase_PHASE_DRAINED:
		p.stepDrained(plan, fleet, pool, vm)
	case wigeonwire.Phase_PHASE_REBOOTING:
		p.stepRebooting(plan, fleet, vm)
	case wigeonwire.Phase_PHASE_VERIFYING:
		p.stepVerifying(plan, fleet, vm)
	case wigeonwire.Phase_PHASE_FAILED:
		if p.up(fleet, vm) && !vm.Leaving {
			plan.AddTransition(vm.ID, vm.Epoch, wigeonwire.Phase_PHASE_VERIFYING, "", "", wigeonpool.Reason{
				Cause: "the VM list shows the failed VM up", Rule: "a failed VM is verified before it returns", Figures: elapsed(fleet, vm),
			})
		}
	}
}

func stepDraining(plan *wigeonpool.Plan, fleet *wigeonpool.Fleet, pool *wigeonpool.Pool, vm *wigeonstate.VM) {
	if vm.Leaving {
		// The platform announced the departure, so it needs no call; a call would hide that it may withdraw it.
		if Idle(fleet, vm) {
			drained(plan, fleet, vm)
		}
		return
	}
	plan.AddAction(fleet, wigeonpool.Action{Kind: wigeonpool.ActionDrain, VM: vm.ID, Epoch: vm.Epoch})
	spent := fleet.View.Time.Sub(vm.PhaseSince)
	idle, cut := Idle(fleet, vm), vm.Wave != "" && cutInFlight(fleet, vm)
	switch {
	case overBudget(pool, vm) && !fleet.Down(vm):
		backToService(plan, fleet, pool, vm)
	case idle && !cut:
		drained(plan, fleet, vm)
	case spent <= pool.MaxDrain:
	case pool.Checkpoint && spent <= pool.MaxDrain+checkpointGrace:
		plan.AddAction(fleet, wigeonpool.Action{Kind: wigeonpool.ActionCheckpoint, VM: vm.ID, Epoch: vm.Epoch})
	case idle && pool.Checkpoint && fleet.Confirmed(wigeonpool.Action{Kind: wigeonpool.ActionCheckpoint, VM: vm.ID, Epoch: vm.Epoch}):
		drained(plan, fleet, vm)
	case fleet.Down(vm):
		plan.AddTransition(vm.ID, vm.Epoch, wigeonwire.Phase_PHASE_FAILED, "", "", wigeonpool.Reason{
			Cause: "the VM is down and an entry process may still use it", Rule: "a VM that is down does not return to service", Figures: elapsed(fleet, vm),
		})
	default:
		plan.AddTransition(vm.ID, vm.Epoch, wigeonwire.Phase_PHASE_IN_SERVICE, "", "", wigeonpool.Reason{
			Cause:   "work was still in flight when max_drain_s had passed",
			Rule:    "no work is cut off; the VM returns to service and drains again later",
			Figures: fmt.Sprintf("%s max_drain_s=%d checkpoint=%t", elapsed(fleet, vm), int(pool.MaxDrain.Seconds()), pool.Checkpoint),
		})
	}
}

// cutInFlight reports whether a process of another data centre may still have work in flight on the VM. Its session has expired,
// so it sends nothing new and the VM may change its pool, but a reboot would cut off what it sent before.
func cutInFlight(fleet *wigeonpool.Fleet, vm *wigeonstate.VM) bool {
	for _, s := range fleet.View.Sessions {
		if s.Role == wigeonwire.Role_ROLE_ENTRY && s.Expired && s.DataCentre != vm.DataCentre && (s.AppliedOffset < vm.PhaseOffset || s.BusyVMs[vm.ID]) {
			return true
		}
	}
	return false
}

// overBudget reports whether failures have used up the budget while the VM drains for a wave.
func overBudget(pool *wigeonpool.Pool, vm *wigeonstate.VM) bool {
	return vm.Wave != "" && len(pool.Services) > 0 && pool.Lost() > pool.MaxUnavailable
}

// backToService returns one VM; the pool counts it as available at once, so that no more VMs return than the budget needs.
func backToService(plan *wigeonpool.Plan, fleet *wigeonpool.Fleet, pool *wigeonpool.Pool, vm *wigeonstate.VM) {
	plan.AddTransition(vm.ID, vm.Epoch, wigeonwire.Phase_PHASE_IN_SERVICE, "", "", wigeonpool.Reason{
		Cause: "failures used up the disruption budget during the drain", Rule: "a wave stops when failures use up the budget; the VM drains again later",
		Figures: elapsed(fleet, vm) + " " + pool.BudgetFigures(),
	})
	pool.RemovePlanned(vm)
}

func drained(plan *wigeonpool.Plan, fleet *wigeonpool.Fleet, vm *wigeonstate.VM) {
	plan.AddTransition(vm.ID, vm.Epoch, wigeonwire.Phase_PHASE_DRAINED, "", "", wigeonpool.Reason{
		Cause: "every entry session applied the drain and has no request in flight on the VM",
		Rule:  "a VM is drained once no process uses it", Figures: elapsed(fleet, vm),
	})
}

// stepDrained reboots a VM that drained for a wave. A VM that drained for a move is the concern of the pool planner.
func (p *Planner) stepDrained(plan *wigeonpool.Plan, fleet *wigeonpool.Fleet, pool *wigeonpool.Pool, vm *wigeonstate.VM) {
	if vm.Wave == "" || vm.Leaving {
		return
	}
	// The platform reboots only a VM that it knows as draining, and the call of the draining phase may have failed.
	drain := wigeonpool.Action{Kind: wigeonpool.ActionDrain, VM: vm.ID, Epoch: vm.Epoch}
	reboot := wigeonpool.Action{Kind: wigeonpool.ActionReboot, VM: vm.ID, Epoch: vm.Epoch}
	switch {
	case fleet.Confirmed(reboot):
		plan.AddTransition(vm.ID, vm.Epoch, wigeonwire.Phase_PHASE_REBOOTING, "", "", wigeonpool.Reason{
			Cause: "the platform accepted the reboot", Rule: "one reboot for each epoch", Figures: fmt.Sprintf("epoch=%d wave=%s", vm.Epoch, vm.Wave),
		})
	case overBudget(pool, vm) && !fleet.Down(vm) && p.neverRebooted(vm):
		backToService(plan, fleet, pool, vm)
	case fleet.Confirmed(drain):
		p.askReboot(vm)
		plan.AddAction(fleet, reboot)
	default:
		plan.AddAction(fleet, drain)
	}
}

func (p *Planner) stepRebooting(plan *wigeonpool.Plan, fleet *wigeonpool.Fleet, vm *wigeonstate.VM) {
	if p.up(fleet, vm) {
		plan.AddTransition(vm.ID, vm.Epoch, wigeonwire.Phase_PHASE_VERIFYING, "", "", wigeonpool.Reason{
			Cause: "the VM list shows the VM up after its reboot", Rule: "a rebooted VM is verified before it returns", Figures: elapsed(fleet, vm),
		})
		return
	}
	p.failLate(plan, fleet, vm, "the VM did not come back from its reboot")
}

func (p *Planner) stepVerifying(plan *wigeonpool.Plan, fleet *wigeonpool.Fleet, vm *wigeonstate.VM) {
	probe := wigeonpool.Action{Kind: wigeonpool.ActionProbe, VM: vm.ID, Epoch: vm.Epoch}
	listed := fleet.Listed(vm)
	if listed != nil && listed.Up && fleet.Confirmed(probe) {
		plan.AddTransition(vm.ID, vm.Epoch, wigeonwire.Phase_PHASE_IN_SERVICE, "", "", wigeonpool.Reason{
			Cause: "the VM is up and its backend server takes connections", Rule: "a verified VM returns to service", Figures: elapsed(fleet, vm),
		})
		return
	}
	plan.AddAction(fleet, probe)
	p.failLate(plan, fleet, vm, "the VM did not pass its verification")
}

// failLate declares the VM failed after ReturnTimeout, unless the VM list proves nothing. The time must have passed in the
// fold and for this process, since the fold time runs fast while it catches up after an outage of the log.
func (p *Planner) failLate(plan *wigeonpool.Plan, fleet *wigeonpool.Fleet, vm *wigeonstate.VM, cause string) {
	spent := min(fleet.View.Time.Sub(vm.PhaseSince), fleet.Now.Sub(p.phases[vm.ID].since))
	if trusted, _ := fleet.ListTrusted(vm.DataCentre); !trusted || spent <= ReturnTimeout {
		return
	}
	plan.AddTransition(vm.ID, vm.Epoch, wigeonwire.Phase_PHASE_FAILED, "", "", wigeonpool.Reason{
		Cause: cause, Rule: "a VM that does not come back in 10 minutes is failed", Figures: elapsed(fleet, vm),
	})
}

// up reports whether a VM list that was taken after this process saw the VM's phase shows it up. Both times are of the
// same clock, which the fold time is not.
func (p *Planner) up(fleet *wigeonpool.Fleet, vm *wigeonstate.VM) bool {
	listed := fleet.Listed(vm)
	return listed != nil && listed.Up && fleet.Observed.Listing.TakenAt.Sub(p.phases[vm.ID].since) > listMargin
}

// Idle reports whether no entry process can still use a draining VM, by the rule of the fold.
// An expired session does not block when its VM is gone from a trusted VM list, or when it is in another data centre.
func Idle(fleet *wigeonpool.Fleet, vm *wigeonstate.VM) bool {
	for _, s := range fleet.View.Sessions {
		if s.Role != wigeonwire.Role_ROLE_ENTRY || (s.Expired && s.DataCentre != vm.DataCentre) {
			continue
		}
		if s.LastRenewal == 0 || s.AppliedOffset < vm.PhaseOffset || s.BusyVMs[vm.ID] {
			return false
		}
	}
	return true
}

func elapsed(fleet *wigeonpool.Fleet, vm *wigeonstate.VM) string {
	return fmt.Sprintf("phase_s=%d epoch=%d", int(fleet.View.Time.Sub(vm.PhaseSince).Seconds()), vm.Epoch)
}
