package wigeonstate

import (
	"fmt"
	"maps"
	"slices"

	"github.com/wigeonstep/wigeonstep"
)

// rackOf names a rack of the fleet; rack names are unique within a data centre only.
type rackOf struct {
	dataCentre wigeonstep.DataCentreName
	rack       wigeonstep.RackName
}

// loss counts the VMs of a pool that are unavailable for whatever reason.
type loss struct {
	total int
	racks map[rackOf]int
}

// lossOf counts as unavailable each VM that takes no new work and each VM of a data centre without an open control session,
// so that the loss of a data centre needs no record for each of its VMs. The VM named by without is not counted.
func lossOf(members []*VM, controlled map[wigeonstep.DataCentreName]bool, without wigeonstep.VMID) loss {
	lost := loss{racks: make(map[rackOf]int)}
	for _, vm := range members {
		if vm.ID == without || (vm.InService() && controlled[vm.DataCentre]) {
			continue
		}
		lost.total++
		lost.racks[rackOf{vm.DataCentre, vm.Rack}]++
	}
	return lost
}

// checkBudget returns why the pool cannot lose the VM now, or nothing when the budget of every service of the pool still holds.
func (s *State) checkBudget(vm *VM) string {
	lost := lossOf(s.members[vm.Pool], s.controlled(), vm.ID)
	lost.total++
	rack := rackOf{vm.DataCentre, vm.Rack}
	lost.racks[rack]++
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		document := s.services[name].view.Document
		if document.Pool != vm.Pool {
			continue
		}
		budget := document.Availability
		if lost.total > budget.MaxUnavailableWorkers {
			return fmt.Sprintf("service %s allows %d unavailable workers; with this drain %d of %d would be",
				name, budget.MaxUnavailableWorkers, lost.total, len(s.members[vm.Pool]))
		}
		if budget.MaxUnavailablePerRack > 0 && lost.racks[rack] > budget.MaxUnavailablePerRack {
			return fmt.Sprintf("service %s allows %d unavailable workers in a rack; with this drain %d of rack %s/%s would be",
				name, budget.MaxUnavailablePerRack, lost.racks[rack], vm.DataCentre, vm.Rack)
		}
	}
	return ""
}

// checkGiveAway returns why the pool cannot give the VM to another pool, or nothing. A disruption budget alone would let
// a pool lose one VM after the other to moves, since each move makes the pool smaller and the loss none.
func (s *State) checkGiveAway(vm *VM, to wigeonstep.PoolName) string {
	if to == vm.Pool {
		return ""
	}
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		document := s.services[name].view.Document
		if document.Pool != vm.Pool || !vm.Shape.Fits(document.Capacity.Shape()) {
			continue
		}
		left := 0
		for _, member := range s.members[vm.Pool] {
			if member.ID != vm.ID && member.Shape.Fits(document.Capacity.Shape()) {
				left++
			}
		}
		if left < document.Capacity.Workers {
			return fmt.Sprintf("service %s asks for %d workers of pool %s; without this one %d would be left", name, document.Capacity.Workers, vm.Pool, left)
		}
	}
	return ""
}

// checkBarrier returns why the VM may still be in use, or nothing when every entry process is known to have stopped using it.
func (s *State) checkBarrier(vm *VM) string {
	for _, session := range s.sortedSessions() {
		view := session.view
		if !session.mayUse(vm) {
			continue
		}
		switch {
		case view.Expired:
			return fmt.Sprintf("session %s of this data centre expired without a clean close and may still use the VM", view.ID)
		case view.BusyVMs[vm.ID]:
			return fmt.Sprintf("session %s has requests in flight on the VM", view.ID)
		default:
			return fmt.Sprintf("session %s has not applied the drain at offset %d", view.ID, vm.PhaseOffset)
		}
	}
	return ""
}

// mayUse reports whether the process of an entry session may still send to a VM that is out of service.
func (s *session) mayUse(vm *VM) bool {
	view := s.view
	if view.Role != roleEntry || s.closed() {
		return false
	}
	if view.LastRenewal > 0 && view.AppliedOffset >= vm.PhaseOffset && !view.BusyVMs[vm.ID] {
		return false
	}
	// An entry process stops using VMs of other data centres once its view was not confirmed for 6 s, before it can expire.
	return !view.Expired || view.DataCentre == vm.DataCentre
}
