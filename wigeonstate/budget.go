package wigeonstate

import (
	"fmt"
	"maps"
	"slices"

	"github.com/wigeonstep/wigeonstep"
)

// rackKey identifies a rack of the fleet. Rack names are unique only within a data centre.
type rackKey struct {
	dataCentre wigeonstep.DataCentreName
	rack       wigeonstep.RackName
}

// unavailableVMs counts the unavailable VMs of a pool, whether the disruption was planned or not.
type unavailableVMs struct {
	total  int
	byRack map[rackKey]int
}

// countUnavailable counts the VMs that take no new work and all VMs of data centres without an open control session, so
// that the failure of a data centre needs no record for each of its VMs. The excluded VM is not counted.
func countUnavailable(members []*VM, controlled map[wigeonstep.DataCentreName]bool, excluded wigeonstep.VMID) unavailableVMs {
	unavailable := unavailableVMs{byRack: make(map[rackKey]int)}
	for _, vm := range members {
		if vm.ID == excluded || (vm.InService() && controlled[vm.DataCentre]) {
			continue
		}
		unavailable.total++
		unavailable.byRack[rackKey{vm.DataCentre, vm.Rack}]++
	}
	return unavailable
}

// checkBudget returns the reason why draining the VM would exceed the disruption budget of a service of its pool, or "".
func (s *State) checkBudget(vm *VM) string {
	unavailable := countUnavailable(s.poolMembers[vm.Pool], s.controlledDataCentres(), vm.ID)
	unavailable.total++
	rack := rackKey{vm.DataCentre, vm.Rack}
	unavailable.byRack[rack]++
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		document := s.services[name].view.Document
		if document.Pool != vm.Pool {
			continue
		}
		budget := document.Availability
		if unavailable.total > budget.MaxUnavailableWorkers {
			return fmt.Sprintf("service %s allows %d unavailable workers; with this drain %d of %d would be",
				name, budget.MaxUnavailableWorkers, unavailable.total, len(s.poolMembers[vm.Pool]))
		}
		if budget.MaxUnavailablePerRack > 0 && unavailable.byRack[rack] > budget.MaxUnavailablePerRack {
			return fmt.Sprintf("service %s allows %d unavailable workers in a rack; with this drain %d of rack %s/%s would be",
				name, budget.MaxUnavailablePerRack, unavailable.byRack[rack], vm.DataCentre, vm.Rack)
		}
	}
	return ""
}

// checkRemainingCapacity returns the reason why the VM cannot leave its pool for another one (to), or "". Every service of
// the old pool must keep the number of workers that its document requests. Disruption budgets alone don't ensure that:
// a VM that has moved no longer counts as unavailable, so a pool could lose all its VMs one move at a time.
func (s *State) checkRemainingCapacity(vm *VM, to wigeonstep.PoolName) string {
	if to == vm.Pool {
		return ""
	}
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		document := s.services[name].view.Document
		if document.Pool != vm.Pool || !vm.Shape.Fits(document.Capacity.Shape()) {
			continue
		}
		remaining := 0
		for _, member := range s.poolMembers[vm.Pool] {
			if member.ID != vm.ID && member.Shape.Fits(document.Capacity.Shape()) {
				remaining++
			}
		}
		if remaining < document.Capacity.Workers {
			return fmt.Sprintf("service %s asks for %d workers of pool %s; without this one %d would be left", name, document.Capacity.Workers, vm.Pool, remaining)
		}
	}
	return ""
}

// checkDrainBarrier returns the reason why an entry process may still use the VM, or "" when none of them may. A drain ends
// only after that.
func (s *State) checkDrainBarrier(vm *VM) string {
	for _, session := range s.sortedSessions() {
		view := session.view
		if !session.mayUseVM(vm) {
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

// mayUseVM reports whether the process of an entry session may still send requests to a VM that is out of service, or has
// requests in flight on it.
func (s *session) mayUseVM(vm *VM) bool {
	view := s.view
	if view.Role != roleEntry || s.closed() {
		return false
	}
	if view.LastRenewal > 0 && view.AppliedOffset >= vm.PhaseOffset && !view.BusyVMs[vm.ID] {
		return false
	}
	// An entry process stops using VMs of other data centres when its view has not been confirmed for 6 s, which happens
	// before its session can expire.
	return !view.Expired || view.DataCentre == vm.DataCentre
}
