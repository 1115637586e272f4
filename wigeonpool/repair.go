package wigeonpool

import (
	"fmt"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// downAfter is how long observations must show a VM down before it is recorded as failed, so that one odd list changes nothing.
	downAfter = 5 * time.Second
	// goneAfter is how long a VM must be missing from trusted lists before it leaves the fleet.
	goneAfter = time.Minute
	// ReplaceAfter is how long a failed VM may take to come back before it is replaced.
	ReplaceAfter = 10 * time.Minute
)

// repair records VMs that stopped working, removes those that left the fleet, and takes those that do not come back out of their pools.
func (p *Planner) repair(plan *Plan, fleet *Fleet) {
	since := make(map[wigeonstep.VMID]time.Time, len(fleet.broken))
	for _, vm := range fleet.broken {
		// The time between two lists counts, not the time that passed since one list was read.
		at := fleet.Now
		if trusted, _ := fleet.ListTrusted(vm.DataCentre); trusted {
			at = fleet.Seen.Listing.TakenAt
		}
		first, known := p.absent[vm.ID]
		if !known {
			first = at
		}
		since[vm.ID] = first
		p.repairVM(plan, fleet, vm, at.Sub(first))
	}
	p.absent = since
	for _, vm := range fleet.leaving {
		if !fleet.Down(vm) && !fleet.entryPools[vm.Pool] {
			plan.Transition(vm.ID, vm.Epoch, wigeonwire.Phase_PHASE_DRAINING, "", "", Reason{
				Cause: "the VM list says that the VM is leaving", Rule: "a leaving VM drains at once, since it is lost to its pool anyway", Figures: fleet.Pool(vm.Pool).BudgetFigures(),
			})
		}
	}
}

func (p *Planner) repairVM(plan *Plan, fleet *Fleet, vm *wigeonstate.VM, down time.Duration) {
	trusted, distrust := fleet.ListTrusted(vm.DataCentre)
	listed := fleet.Listed(vm)
	figures := fmt.Sprintf("down_s=%d listed=%t list_trusted=%t failed_connections=%d", int(down.Seconds()), listed != nil, trusted, fleet.Seen.Reach[vm.ID].Failed)
	switch {
	case listed == nil && trusted && down >= goneAfter:
		plan.Transition(vm.ID, vm.Epoch, wigeonwire.Phase_PHASE_GONE, "", "", Reason{
			Cause: "the VM is missing from the VM list", Rule: "a VM missing from trusted lists for 60 s has left the fleet", Figures: figures,
		})
	case vm.Phase == wigeonwire.Phase_PHASE_FAILED:
		evict(plan, fleet, vm, figures)
	case down < downAfter || expectedDown(vm, listed != nil):
	default:
		cause := "the VM list shows the VM down or lacks it"
		if !trusted {
			cause = "every connection of the entry processes failed, and " + distrust
		}
		plan.Transition(vm.ID, vm.Epoch, wigeonwire.Phase_PHASE_FAILED, "", "", Reason{
			Cause: cause, Rule: "a VM that is down for 5 s counts as lost", Figures: figures,
		})
	}
}

// expectedDown reports whether a VM that is down is on a path that deals with it: a reboot for a wave, whose steps have
// their own time limit, or a move, which ends in the spare pool.
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

// evict moves a failed VM that does not come back to the spare pool, so that it no longer counts against the budgets of its
// pool and another VM takes its place. A VM that failed after a reboot has used its time up already.
func evict(plan *Plan, fleet *Fleet, vm *wigeonstate.VM, figures string) {
	if vm.Pool == wigeonstep.SparePool || vm.Leaving || fleet.Listed(vm) == nil || mayReturn(fleet, vm) || fleet.entryPools[vm.Pool] {
		return
	}
	plan.Transition(vm.ID, vm.Epoch, wigeonwire.Phase_PHASE_DRAINING, "", "", Reason{
		Cause: "the VM failed and did not come back", Rule: "a failed VM is replaced from the spare pool after 10 minutes", Figures: figures,
	})
}

// mayReturn reports whether a failed VM still has time to come back before it is replaced.
func mayReturn(fleet *Fleet, vm *wigeonstate.VM) bool {
	return vm.Phase == wigeonwire.Phase_PHASE_FAILED && vm.Wave == "" && fleet.View.Time.Sub(vm.PhaseSince) < ReplaceAfter
}
