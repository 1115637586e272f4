package wigeonpool

import (
	"maps"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// delayedCallWindow is the time after a VM's last transition in which a delayed call of an earlier epoch may still
// reach the platform and change the assignment. A list made within that time therefore does not prove the assignment,
// and AssignVM is called even if the list shows the right pool. After that call the platform refuses calls of earlier
// epochs.
const delayedCallWindow = time.Minute

// poolProposalInterval is the interval at which the known pools are proposed again. The folded state does not show
// them, so the planner cannot notice a lost proposal.
const poolProposalInterval = time.Minute

// observeList proposes entries for what the VM list shows and the folded state lacks: new VMs, changed VMs and the
// pools. It ignores a list that is empty or older than MaxListAge; repair deals with VMs that the list lacks.
func (p *Planner) observeList(plan *Plan, fleet *Fleet) {
	l := fleet.Observed.Listing
	if l == nil || len(l.List.VMs) == 0 || fleet.Now.Sub(l.TakenAt) > MaxListAge {
		return
	}
	if len(l.List.Pools) > 0 && (fleet.Now.Sub(p.poolsProposedAt) >= poolProposalInterval || !slices.Equal(p.proposedPools, l.List.Pools)) {
		p.poolsProposedAt, p.proposedPools = fleet.Now, l.List.Pools
		pools := make([]string, len(l.List.Pools))
		for i, name := range l.List.Pools {
			pools[i] = string(name)
		}
		plan.Entries = append(plan.Entries, &wigeonwire.Entry{Body: &wigeonwire.Entry_PoolObserve{PoolObserve: &wigeonwire.PoolObserve{Pools: pools}}})
	}
	for i := range l.List.VMs {
		listed := &l.List.VMs[i]
		if listed.DataCentre != fleet.DataCentre {
			continue
		}
		vm := fleet.View.VMs[listed.ID]
		leaving := p.shouldRecordLeaving(fleet, listed, vm)
		if vm == nil {
			// The fold records a new VM as in service, so one that is down is not proposed yet.
			if listed.Up {
				plan.observeVM(listed, listed.Pool, leaving)
			}
			continue
		}
		if vm.DataCentre == listed.DataCentre && (vm.Rack != listed.Rack || vm.Address != listed.Address || vm.Shape != listed.Shape || vm.Leaving != leaving) {
			plan.observeVM(listed, vm.Pool, leaving)
		}
	}
}

// shouldRecordLeaving reports whether the VM is to be recorded as leaving. The list also shows a VM as leaving while
// wigeonstep drains it, until the platform has executed AssignVM. So a VM that the list shows as leaving is newly
// recorded as such only when it is in service and its assignment has taken effect since its last transition.
func (p *Planner) shouldRecordLeaving(fleet *Fleet, listed *wigeonstep.ListedVM, vm *wigeonstate.VM) bool {
	switch {
	case vm == nil || !listed.Leaving:
		return listed.Leaving
	case vm.Leaving:
		return true
	case vm.Phase != wigeonwire.Phase_PHASE_IN_SERVICE:
		return false
	}
	return p.assignedEpoch[vm.ID] == vm.Epoch
}

// observeVM adds a proposal with the list's record of a VM.
func (p *Plan) observeVM(listed *wigeonstep.ListedVM, pool wigeonstep.PoolName, leaving bool) {
	p.Entries = append(p.Entries, &wigeonwire.Entry{Body: &wigeonwire.Entry_VmObserve{VmObserve: &wigeonwire.VMObserve{
		Vm: string(listed.ID), DataCentre: string(listed.DataCentre), Rack: string(listed.Rack), Pool: string(pool),
		Address: listed.Address, Leaving: leaving,
		Shape: &wigeonwire.Shape{
			Cores: uint32(listed.Shape.Cores), MemoryGb: uint32(listed.Shape.MemoryGB), Accelerators: uint32(listed.Shape.Accelerators),
			Slots: uint32(listed.Shape.Slots), Connections: uint32(listed.Shape.Connections),
		},
	}}})
}

// assignPools calls AssignVM for the VMs in service, until the VM list or the confirmation of the call shows that the
// platform has the VM in its pool and no longer drains it. At that point the fold has already accepted the assignment,
// and a repeated call has no effect.
func (p *Planner) assignPools(plan *Plan, fleet *Fleet) {
	l := fleet.Observed.Listing
	if l == nil {
		return
	}
	if len(p.assignedEpoch) > len(l.List.VMs) {
		maps.DeleteFunc(p.assignedEpoch, func(id wigeonstep.VMID, _ wigeonstep.VMEpoch) bool { return fleet.View.VMs[id] == nil })
		maps.DeleteFunc(p.outOfServiceAt, func(id wigeonstep.VMID, _ time.Time) bool { return fleet.View.VMs[id] == nil })
	}
	for i := range l.List.VMs {
		listed := &l.List.VMs[i]
		if listed.DataCentre != fleet.DataCentre {
			continue
		}
		vm := fleet.View.VMs[listed.ID]
		if vm == nil || vm.Phase != wigeonwire.Phase_PHASE_IN_SERVICE || vm.Leaving {
			delete(p.assignedEpoch, listed.ID)
			p.outOfServiceAt[listed.ID] = fleet.Now
			continue
		}
		if p.assignedEpoch[vm.ID] == vm.Epoch {
			continue
		}
		assign := Action{Kind: ActionAssign, VM: vm.ID, Epoch: vm.Epoch, Pool: vm.Pool}
		switch {
		case listed.Pool == vm.Pool && !listed.Leaving && l.TakenAt.Sub(vm.PhaseSince) > delayedCallWindow && fleet.Now.Sub(p.outOfServiceAt[vm.ID]) > delayedCallWindow:
			p.markAssigned(vm)
		case fleet.Confirmed(assign) && l.TakenAt.After(fleet.Observed.Confirmed[assign]):
			// The platform executed the assignment before it made the list, so if the list shows the VM as leaving, the
			// platform itself removes it.
			p.markAssigned(vm)
		default:
			plan.AddAction(fleet, assign)
		}
	}
}

// markAssigned records that the platform has the VM in its pool at the VM's current epoch.
func (p *Planner) markAssigned(vm *wigeonstate.VM) {
	p.assignedEpoch[vm.ID] = vm.Epoch
	delete(p.outOfServiceAt, vm.ID)
}
