package wigeonmaintenance

import (
	"fmt"
	"time"

	"github.com/wigeonstep/wigeonstep/wigeonpool"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// ReturnTimeout is the time limit of a reboot, and then of the verification after it.
	ReturnTimeout = 10 * time.Minute
	// checkpointGrace is the time after the drain limit within which the tasks have to end, once a checkpoint is
	// requested.
	checkpointGrace = time.Minute
	// listMargin is the time by which a VM list must be newer than the first time at which this process saw a VM in its
	// phase. An older list may still show the VM as it was in the phase before.
	listMargin = 2 * time.Second
)

// stepVM plans the next phase, or the next action, of a VM of this data centre that is out of service.
func (p *Planner) stepVM(plan *wigeonpool.Plan, fleet *wigeonpool.Fleet, pool *wigeonpool.Pool, vm *wigeonstate.VM) {
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
		if p.upInPhase(fleet, vm) && !vm.Leaving {
			plan.AddTransition(vm.ID, vm.Epoch, wigeonwire.Phase_PHASE_VERIFYING, "", "", wigeonpool.Reason{
				Cause: "the VM list shows the failed VM up", Rule: "a failed VM is verified before it returns", Figures: phaseFigures(fleet, vm),
			})
		}
	}
}

// stepDraining ends the drain when no process uses the VM, and returns the VM to service when the pool has more
// unavailable VMs than its budget allows. After the pool's time limit of a drain it requests a checkpoint if the
// documents allow that. If the drain has not ended checkpointGrace later, or at the time limit without checkpoints, the
// VM returns to service, or is recorded as failed when it is down.
func stepDraining(plan *wigeonpool.Plan, fleet *wigeonpool.Fleet, pool *wigeonpool.Pool, vm *wigeonstate.VM) {
	if vm.Leaving {
		// The platform has announced the removal itself, so it needs no DrainVM. After one, the list would show the VM
		// as leaving even if the platform withdrew the removal.
		if Idle(fleet, vm) {
			endDrain(plan, fleet, vm)
		}
		return
	}
	plan.AddAction(fleet, wigeonpool.Action{Kind: wigeonpool.ActionDrain, VM: vm.ID, Epoch: vm.Epoch})
	spent := fleet.View.FoldTime.Sub(vm.PhaseSince)
	idle, inFlight := Idle(fleet, vm), vm.Wave != "" && expiredInFlight(fleet, vm)
	switch {
	case overBudget(pool, vm) && !fleet.Down(vm):
		returnToService(plan, fleet, pool, vm)
	case idle && !inFlight:
		endDrain(plan, fleet, vm)
	case spent <= pool.MaxDrain:
	case pool.Checkpoint && spent <= pool.MaxDrain+checkpointGrace:
		plan.AddAction(fleet, wigeonpool.Action{Kind: wigeonpool.ActionCheckpoint, VM: vm.ID, Epoch: vm.Epoch})
	// Only expired sessions may have requests in flight. Their end cannot be observed, so a confirmed checkpoint
	// suffices.
	case idle && pool.Checkpoint && fleet.Confirmed(wigeonpool.Action{Kind: wigeonpool.ActionCheckpoint, VM: vm.ID, Epoch: vm.Epoch}):
		endDrain(plan, fleet, vm)
	case fleet.Down(vm):
		plan.AddTransition(vm.ID, vm.Epoch, wigeonwire.Phase_PHASE_FAILED, "", "", wigeonpool.Reason{
			Cause: "the VM is down and an entry process may still use it", Rule: "a VM that is down does not return to service", Figures: phaseFigures(fleet, vm),
		})
	default:
		plan.AddTransition(vm.ID, vm.Epoch, wigeonwire.Phase_PHASE_IN_SERVICE, "", "", wigeonpool.Reason{
			Cause:   "work was still in flight when max_drain_s had passed",
			Rule:    "no work is cut off; the VM returns to service and drains again later",
			Figures: fmt.Sprintf("%s max_drain_s=%d checkpoint=%t", phaseFigures(fleet, vm), int(pool.MaxDrain.Seconds()), pool.Checkpoint),
		})
	}
}

// expiredInFlight reports whether a process of another data centre with an expired session may have requests in flight
// on the VM. Such a process sends no new requests, so the VM may change its pool, but a reboot would interrupt the
// requests that the process sent before.
func expiredInFlight(fleet *wigeonpool.Fleet, vm *wigeonstate.VM) bool {
	for _, s := range fleet.View.Sessions {
		if s.Role == wigeonwire.Role_ROLE_ENTRY && s.Expired && s.DataCentre != vm.DataCentre && (s.AppliedOffset < vm.PhaseOffset || s.BusyVMs[vm.ID]) {
			return true
		}
	}
	return false
}

// overBudget reports whether the VM is in maintenance for a wave while the pool has more unavailable VMs than its budget
// allows. It is false for a pool without a document.
func overBudget(pool *wigeonpool.Pool, vm *wigeonstate.VM) bool {
	return vm.Wave != "" && len(pool.Services) > 0 && pool.UnavailableCount() > pool.MaxUnavailable
}

// returnToService proposes the return of one VM and counts it as available, so that no more VMs return in this round
// than the budget requires.
func returnToService(plan *wigeonpool.Plan, fleet *wigeonpool.Fleet, pool *wigeonpool.Pool, vm *wigeonstate.VM) {
	plan.AddTransition(vm.ID, vm.Epoch, wigeonwire.Phase_PHASE_IN_SERVICE, "", "", wigeonpool.Reason{
		Cause: "failures used up the disruption budget during the drain", Rule: "a wave stops when failures use up the budget; the VM drains again later",
		Figures: phaseFigures(fleet, vm) + " " + pool.BudgetFigures(),
	})
	pool.RemovePlanned(vm)
}

// endDrain proposes the end of the drain.
func endDrain(plan *wigeonpool.Plan, fleet *wigeonpool.Fleet, vm *wigeonstate.VM) {
	plan.AddTransition(vm.ID, vm.Epoch, wigeonwire.Phase_PHASE_DRAINED, "", "", wigeonpool.Reason{
		Cause: "every entry session applied the drain and has no request in flight on the VM",
		Rule:  "a VM is drained once no process uses it", Figures: phaseFigures(fleet, vm),
	})
}

// stepDrained requests the reboot of a VM that was drained for a wave. If the budget is exceeded before a reboot was
// requested, it proposes the return to service instead. The pool planner handles VMs that were drained for a move.
func (p *Planner) stepDrained(plan *wigeonpool.Plan, fleet *wigeonpool.Fleet, pool *wigeonpool.Pool, vm *wigeonstate.VM) {
	if vm.Wave == "" || vm.Leaving {
		return
	}
	// The platform reboots only VMs that it knows as draining, and DrainVM may have failed in the draining phase.
	drain := wigeonpool.Action{Kind: wigeonpool.ActionDrain, VM: vm.ID, Epoch: vm.Epoch}
	reboot := wigeonpool.Action{Kind: wigeonpool.ActionReboot, VM: vm.ID, Epoch: vm.Epoch}
	switch {
	case fleet.Confirmed(reboot):
		plan.AddTransition(vm.ID, vm.Epoch, wigeonwire.Phase_PHASE_REBOOTING, "", "", wigeonpool.Reason{
			Cause: "the platform accepted the reboot", Rule: "one reboot for each epoch", Figures: fmt.Sprintf("epoch=%d wave=%s", vm.Epoch, vm.Wave),
		})
	case overBudget(pool, vm) && !fleet.Down(vm) && p.rebootNeverRequested(vm):
		returnToService(plan, fleet, pool, vm)
	case fleet.Confirmed(drain):
		p.markRebootRequested(vm)
		plan.AddAction(fleet, reboot)
	default:
		plan.AddAction(fleet, drain)
	}
}

// stepRebooting proposes the verification of the VM once the VM list shows the VM up, and the failure of the VM after
// ReturnTimeout.
func (p *Planner) stepRebooting(plan *wigeonpool.Plan, fleet *wigeonpool.Fleet, vm *wigeonstate.VM) {
	if p.upInPhase(fleet, vm) {
		plan.AddTransition(vm.ID, vm.Epoch, wigeonwire.Phase_PHASE_VERIFYING, "", "", wigeonpool.Reason{
			Cause: "the VM list shows the VM up after its reboot", Rule: "a rebooted VM is verified before it returns", Figures: phaseFigures(fleet, vm),
		})
		return
	}
	p.failAfterTimeout(plan, fleet, vm, "the VM did not come back from its reboot")
}

// stepVerifying proposes the return of the VM to service once the VM is up and a probe has succeeded, and the failure of
// the VM after ReturnTimeout.
func (p *Planner) stepVerifying(plan *wigeonpool.Plan, fleet *wigeonpool.Fleet, vm *wigeonstate.VM) {
	probe := wigeonpool.Action{Kind: wigeonpool.ActionProbe, VM: vm.ID, Epoch: vm.Epoch}
	listed := fleet.Listed(vm)
	if listed != nil && listed.Up && fleet.Confirmed(probe) {
		plan.AddTransition(vm.ID, vm.Epoch, wigeonwire.Phase_PHASE_IN_SERVICE, "", "", wigeonpool.Reason{
			Cause: "the VM is up and its backend server takes connections", Rule: "a verified VM returns to service", Figures: phaseFigures(fleet, vm),
		})
		return
	}
	plan.AddAction(fleet, probe)
	p.failAfterTimeout(plan, fleet, vm, "the VM did not pass its verification")
}

// failAfterTimeout proposes the failure of the VM when it has been in its phase for longer than ReturnTimeout and the
// VM list is trusted. The time must have passed by the clock of the folded state and by that of this process, since the
// former runs fast while it catches up after an outage of the log.
func (p *Planner) failAfterTimeout(plan *wigeonpool.Plan, fleet *wigeonpool.Fleet, vm *wigeonstate.VM, cause string) {
	spent := min(fleet.View.FoldTime.Sub(vm.PhaseSince), fleet.Now.Sub(p.phases[vm.ID].since))
	if trusted, _ := fleet.ListTrusted(vm.DataCentre); !trusted || spent <= ReturnTimeout {
		return
	}
	plan.AddTransition(vm.ID, vm.Epoch, wigeonwire.Phase_PHASE_FAILED, "", "", wigeonpool.Reason{
		Cause: cause, Rule: "a VM that does not come back in 10 minutes is failed", Figures: phaseFigures(fleet, vm),
	})
}

// upInPhase reports whether the VM list shows the VM up and was made more than listMargin after this process first saw
// the VM's phase. Both times are of the clock of this process; the folded state has another one.
func (p *Planner) upInPhase(fleet *wigeonpool.Fleet, vm *wigeonstate.VM) bool {
	listed := fleet.Listed(vm)
	return listed != nil && listed.Up && fleet.Observed.Listing.TakenAt.Sub(p.phases[vm.ID].since) > listMargin
}

// Idle reports whether no entry process can still use a draining VM, by the rule by which the fold accepts the end of a
// drain: every entry session has applied the drain and has no request in flight on the VM. Expired sessions of other
// data centres are left out, since their processes stop sending requests to the VM before the session expires;
// expiredInFlight covers their earlier requests. Expired sessions whose own VM has been removed from the fleet do not
// block either, since the fold closes them.
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

// phaseFigures returns the age of the VM's phase and its epoch for the explanation of a decision.
func phaseFigures(fleet *wigeonpool.Fleet, vm *wigeonstate.VM) string {
	return fmt.Sprintf("phase_s=%d epoch=%d", int(fleet.View.FoldTime.Sub(vm.PhaseSince).Seconds()), vm.Epoch)
}
