package wigeonpool

import (
	"maps"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// settleAfter is how long after a VM's last transition a delayed call of an earlier epoch may still reach the platform.
// Before that the list proves nothing and AssignVM is called in any case; its epoch fences earlier calls.
const settleAfter = time.Minute

// tellPoolsEvery is how often the known pools are proposed again. The view does not show them, so a lost proposal is not seen.
const tellPoolsEvery = time.Minute

// observe proposes what the VM list says that the fold does not know: new VMs, changed ones, and the pools.
// A list that is empty or too old says nothing; what it lacks is the concern of repair.
func (p *Planner) observe(plan *Plan, fleet *Fleet) {
	l := fleet.Seen.Listing
	if l == nil || len(l.List.VMs) == 0 || fleet.Now.Sub(l.TakenAt) > MaxListAge {
		return
	}
	if len(l.List.Pools) > 0 && (fleet.Now.Sub(p.toldAt) >= tellPoolsEvery || !slices.Equal(p.listed, l.List.Pools)) {
		p.toldAt, p.listed = fleet.Now, l.List.Pools
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
		leaving := p.leaving(fleet, listed, vm)
		if vm == nil {
			// A VM that is down is of no use yet, and the fold would take it as in service.
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

// leaving returns whether the VM is to be recorded as leaving. The list shows a VM as leaving also while wigeonstep drains it,
// and until the platform has taken it back by AssignVM. So the list counts only for a VM in service that was seen back since
// its last transition; otherwise the record stays as it is.
func (p *Planner) leaving(fleet *Fleet, listed *wigeonstep.ListedVM, vm *wigeonstate.VM) bool {
	switch {
	case vm == nil || !listed.Leaving:
		return listed.Leaving
	case vm.Leaving:
		return true
	case vm.Phase != wigeonwire.Phase_PHASE_IN_SERVICE:
		return false
	}
	return p.settled[vm.ID] == vm.Epoch
}

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

// settle tells the platform which pool each VM in service is in, where the list shows that the platform does not know it
// or still treats the VM as draining. The fold has accepted the assignment before; a repeated call has no effect.
func (p *Planner) settle(plan *Plan, fleet *Fleet) {
	l := fleet.Seen.Listing
	if l == nil {
		return
	}
	if len(p.settled) > len(l.List.VMs) {
		maps.DeleteFunc(p.settled, func(id wigeonstep.VMID, _ wigeonstep.Epoch) bool { return fleet.View.VMs[id] == nil })
		maps.DeleteFunc(p.out, func(id wigeonstep.VMID, _ time.Time) bool { return fleet.View.VMs[id] == nil })
	}
	for i := range l.List.VMs {
		listed := &l.List.VMs[i]
		if listed.DataCentre != fleet.DataCentre {
			continue
		}
		vm := fleet.View.VMs[listed.ID]
		if vm == nil || vm.Phase != wigeonwire.Phase_PHASE_IN_SERVICE || vm.Leaving {
			delete(p.settled, listed.ID)
			p.out[listed.ID] = fleet.Now
			continue
		}
		if p.settled[vm.ID] == vm.Epoch {
			continue
		}
		assign := Action{Kind: ActionAssign, VM: vm.ID, Epoch: vm.Epoch, Pool: vm.Pool}
		switch {
		case listed.Pool == vm.Pool && !listed.Leaving && l.TakenAt.Sub(vm.PhaseSince) > settleAfter && fleet.Now.Sub(p.out[vm.ID]) > settleAfter:
			p.markSettled(vm)
		case fleet.Confirmed(assign) && l.TakenAt.After(fleet.Seen.Confirmed[assign]):
			// The platform took the VM back before the list was taken, so what the list still says is its own decision.
			p.markSettled(vm)
		default:
			plan.Act(fleet, assign)
		}
	}
}

func (p *Planner) markSettled(vm *wigeonstate.VM) {
	p.settled[vm.ID] = vm.Epoch
	delete(p.out, vm.ID)
}
