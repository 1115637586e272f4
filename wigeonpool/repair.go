package wigeonpool

import (
	"fmt"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// failDelay is the time for which observations must show a VM down before it is recorded as failed, so that a single
	// wrong list has no effect.
	failDelay = 5 * time.Second
	// removalDelay is the time for which a VM must be missing from trusted lists before it is removed from the fleet.
	removalDelay = time.Minute
	// ReplaceAfter is the time that a failed VM has to return before it is replaced.
	ReplaceAfter = 10 * time.Minute
)

// repair records VMs as failed, removes VMs that are missing from the VM list from the fleet, moves failed VMs that do
// not return out of their pools, and drains VMs that the platform removes.
func (p *Planner) repair(plan *Plan, fleet *Fleet) {
	since := make(map[wigeonstep.VMID]time.Time, len(fleet.down))
	for _, vm := range fleet.down {
		// With a trusted list, the VM has been down from the first list that shows it down to the last one. The time
		// since the last list was made proves nothing.
		at := fleet.Now
		if trusted, _ := fleet.ListTrusted(vm.DataCentre); trusted {
			at = fleet.Observed.Listing.TakenAt
		}
		first, known := p.downSince[vm.ID]
		if !known {
			first = at
		}
		since[vm.ID] = first
		p.repairVM(plan, fleet, vm, at.Sub(first))
	}
	p.downSince = since
	for _, vm := range fleet.leaving {
		if !fleet.Down(vm) && !fleet.processPools[vm.Pool] {
			plan.AddTransition(vm.ID, vm.Epoch, wigeonwire.Phase_PHASE_DRAINING, "", "", Reason{
				Cause: "the VM list says that the VM is leaving", Rule: "a leaving VM drains at once, since it is lost to its pool anyway", Figures: fleet.Pool(vm.Pool).BudgetFigures(),
			})
		}
	}
}

// repairVM proposes the next phase of a VM that has been down for the given time.
func (p *Planner) repairVM(plan *Plan, fleet *Fleet, vm *wigeonstate.VM, down time.Duration) {
	trusted, distrust := fleet.ListTrusted(vm.DataCentre)
	listed := fleet.Listed(vm)
	figures := fmt.Sprintf("down_s=%d listed=%t list_trusted=%t failed_connections=%d", int(down.Seconds()), listed != nil, trusted, fleet.Observed.ConnectionResults[vm.ID].Failed)
	switch {
	case listed == nil && trusted && down >= removalDelay:
		plan.AddTransition(vm.ID, vm.Epoch, wigeonwire.Phase_PHASE_GONE, "", "", Reason{
			Cause: "the VM is missing from the VM list", Rule: "a VM missing from trusted lists for 60 s has left the fleet", Figures: figures,
		})
	case vm.Phase == wigeonwire.Phase_PHASE_FAILED:
		evict(plan, fleet, vm, figures)
	case down < failDelay || expectedDown(vm, listed != nil):
	default:
		cause := "the VM list shows the VM down or lacks it"
		if !trusted {
			cause = "every connection of the entry processes failed, and " + distrust
		}
		plan.AddTransition(vm.ID, vm.Epoch, wigeonwire.Phase_PHASE_FAILED, "", "", Reason{
			Cause: cause, Rule: "a VM that is down for 5 s counts as lost", Figures: figures,
		})
	}
}

// expectedDown reports whether another step handles a VM that is down: a reboot for a wave, whose phases have a time
// limit of their own, or a move, which ends in the spare pool.
func expectedDown(vm *wigeonstate.VM, listed bool) bool {
	switch vm.Phase {
	case wigeonwire.Phase_PHASE_REBOOTING, wigeonwire.Phase_PHASE_VERIFYING:
		return true
	case wigeonwire.Phase_PHASE_DRAINED:
		return listed
	case wigeonwire.Phase_PHASE_DRAINING:
		return listed && InTransit(vm)
	}
	return false
}

// evict starts the move of a failed VM to the spare pool if the VM did not return in time, so that it no longer counts
// against the budget of its pool and another VM replaces it. A VM that failed after a reboot for a wave is moved
// without a further wait.
func evict(plan *Plan, fleet *Fleet, vm *wigeonstate.VM, figures string) {
	if vm.Pool == wigeonstep.SparePool || vm.Leaving || fleet.Listed(vm) == nil || mayReturn(fleet, vm) || fleet.processPools[vm.Pool] {
		return
	}
	plan.AddTransition(vm.ID, vm.Epoch, wigeonwire.Phase_PHASE_DRAINING, "", "", Reason{
		Cause: "the VM failed and did not come back", Rule: "a failed VM is replaced from the spare pool after 10 minutes", Figures: figures,
	})
}

// mayReturn reports whether a failed VM still has time to return before it is replaced.
func mayReturn(fleet *Fleet, vm *wigeonstate.VM) bool {
	return vm.Phase == wigeonwire.Phase_PHASE_FAILED && vm.Wave == "" && fleet.View.FoldTime.Sub(vm.PhaseSince) < ReplaceAfter
}
