package wigeonstate

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	roleEntry      = wigeonwire.Role_ROLE_ENTRY
	phaseInService = wigeonwire.Phase_PHASE_IN_SERVICE
	phaseDraining  = wigeonwire.Phase_PHASE_DRAINING
	phaseDrained   = wigeonwire.Phase_PHASE_DRAINED
	phaseVerifying = wigeonwire.Phase_PHASE_VERIFYING
	phaseFailed    = wigeonwire.Phase_PHASE_FAILED
	phaseGone      = wigeonwire.Phase_PHASE_GONE
)

// now returns the fold time.
func (s *State) now() time.Time { return time.UnixMilli(s.foldTimeMS).UTC() }

// observeVM adds a VM that the platform lists. For a known VM it updates the rack, address, shape and leaving flag; the pool
// of a known VM changes only by a transition.
func (s *State) observeVM(observed *wigeonwire.VMObserve, r recordContext) string {
	if reason := r.session.requireControl(); reason != "" {
		return reason
	}
	centre := wigeonstep.DataCentreName(observed.GetDataCentre())
	if centre != r.session.view.DataCentre {
		return fmt.Sprintf("the VM is in data centre %q and the session in %q", centre, r.session.view.DataCentre)
	}
	id := wigeonstep.VMID(observed.GetVm())
	if id == "" || observed.GetPool() == "" {
		return "the VM has no id or no pool"
	}
	before := s.vms[id]
	if before != nil && before.DataCentre != centre {
		return fmt.Sprintf("the VM is known in data centre %q", before.DataCentre)
	}
	after := &VM{
		ID:         id,
		DataCentre: centre,
		Pool:       wigeonstep.PoolName(observed.GetPool()),
		Phase:      phaseInService,
		// The first epoch is derived from the offset, so that it is above every epoch of an earlier VM with the same id,
		// even if the state no longer holds that VM.
		Epoch:       wigeonstep.VMEpoch(r.offset) + 1,
		PhaseOffset: r.offset,
		PhaseSince:  s.now(),
	}
	if before != nil {
		*after = *before
	}
	after.Rack = wigeonstep.RackName(observed.GetRack())
	after.Address = observed.GetAddress()
	after.Shape = decodeShape(observed.GetShape())
	after.Leaving = observed.GetLeaving()
	if before == nil || *before != *after {
		s.replaceVM(before, after)
	}
	return ""
}

// transitionVM applies a phase transition and adds it to the decision history of the VM, also when it is refused.
func (s *State) transitionVM(change *wigeonwire.VMTransition, r recordContext) string {
	reason := s.tryTransition(change, r)
	s.appendDecision(r, &wigeonwire.Decision{
		SubjectKind: "vm",
		Subject:     change.GetVm(),
		Action:      transitionAction(change),
		Cause:       change.GetCause(),
		Rule:        change.GetRule(),
		Figures:     change.GetFigures(),
	}, reason)
	return reason
}

// tryTransition changes the phase of a VM, or returns the reason why not. The change is a compare-and-set on the epoch.
func (s *State) tryTransition(change *wigeonwire.VMTransition, r recordContext) string {
	if reason := r.session.requireControl(); reason != "" {
		return reason
	}
	before := s.vms[wigeonstep.VMID(change.GetVm())]
	if before == nil {
		return "the VM is not known"
	}
	if before.DataCentre != r.session.view.DataCentre {
		return fmt.Sprintf("the VM is in data centre %q and the session in %q", before.DataCentre, r.session.view.DataCentre)
	}
	if wigeonstep.VMEpoch(change.GetEpoch()) != before.Epoch {
		return fmt.Sprintf("epoch %d is not the current one, %d", change.GetEpoch(), before.Epoch)
	}
	if !s.phases.fire(before.Phase, change.GetTo()) {
		return fmt.Sprintf("a VM does not change from %s to %s", phaseName(before.Phase), phaseName(change.GetTo()))
	}
	if reason := s.checkTransition(before, change); reason != "" {
		return reason
	}
	after := *before
	after.Phase, after.PhaseOffset, after.PhaseSince = change.GetTo(), r.offset, s.now()
	after.Epoch++
	s.updateWaveProgress(before, &after, change)
	if change.GetPool() != "" {
		after.Pool = wigeonstep.PoolName(change.GetPool())
	}
	s.replaceVM(before, &after)
	return ""
}

// checkTransition checks a transition that the phase machine permits against the budgets, waves and sessions. It returns the
// reason of a refusal, or "".
func (s *State) checkTransition(vm *VM, change *wigeonwire.VMTransition) string {
	to, pool := change.GetTo(), wigeonstep.PoolName(change.GetPool())
	if pool != "" && (vm.Phase != phaseDrained || to != phaseInService) {
		return "a VM changes its pool only from drained to in_service"
	}
	if pool != "" && !s.isKnownPool(pool) {
		return fmt.Sprintf("pool %q is not known", pool)
	}
	if pool != "" {
		if reason := s.checkRemainingCapacity(vm, pool); reason != "" {
			return reason
		}
	}
	switch to {
	case phaseDraining:
		if reason := s.checkWaveDrain(vm, wigeonstep.WaveID(change.GetWave())); reason != "" {
			return reason
		}
		// A VM that is failed or leaving counts as unavailable already, so its drain does not use up more of the budget.
		if vm.InService() {
			return s.checkBudget(vm)
		}
	case phaseDrained:
		return s.checkDrainBarrier(vm)
	}
	return ""
}

// replaceVM replaces a VM by its changed copy in all indexes, or removes it when its phase is gone. before is nil for a new VM.
func (s *State) replaceVM(before, after *VM) {
	s.stale.vms = true
	if before != nil {
		s.poolMembers[before.Pool] = withoutVM(s.poolMembers[before.Pool], before.ID)
		if len(s.poolMembers[before.Pool]) == 0 {
			delete(s.poolMembers, before.Pool)
		}
	}
	if after.Phase == phaseGone {
		delete(s.vms, after.ID)
		s.goneAtMS[after.ID] = s.foldTimeMS
		s.closeExpiredSessionsOn(after.ID)
		return
	}
	delete(s.goneAtMS, after.ID)
	s.vms[after.ID] = after
	s.poolMembers[after.Pool] = withVM(s.poolMembers[after.Pool], after)
}

func searchVM(members []*VM, id wigeonstep.VMID) (int, bool) {
	return slices.BinarySearchFunc(members, id, func(vm *VM, id wigeonstep.VMID) int {
		return strings.Compare(string(vm.ID), string(id))
	})
}

// withoutVM returns a copy of the sorted members without the VM. The slice is not modified, because views share it.
func withoutVM(members []*VM, id wigeonstep.VMID) []*VM {
	i, found := searchVM(members, id)
	if !found {
		return members
	}
	return slices.Concat(members[:i], members[i+1:])
}

// withVM returns a copy of the sorted members with the VM added. The slice is not modified, because views share it.
func withVM(members []*VM, vm *VM) []*VM {
	i, _ := searchVM(members, vm.ID)
	return slices.Concat(members[:i], []*VM{vm}, members[i:])
}

// observePools replaces the list of pools that the platform lists. An empty list is refused, because it may come from a faulty
// answer of the platform.
func (s *State) observePools(observed *wigeonwire.PoolObserve, r recordContext) string {
	if reason := r.session.requireControl(); reason != "" {
		return reason
	}
	if len(observed.GetPools()) == 0 {
		return "an empty list of pools is no evidence that the pools are gone"
	}
	pools := slices.Clone(observed.GetPools())
	slices.Sort(pools)
	s.listedPools = slices.Compact(pools)
	return ""
}

// isKnownPool reports whether the platform lists the pool or a VM is in it. The spare pool is always known.
func (s *State) isKnownPool(pool wigeonstep.PoolName) bool {
	if pool == wigeonstep.SparePool || len(s.poolMembers[pool]) > 0 {
		return true
	}
	_, listed := slices.BinarySearch(s.listedPools, string(pool))
	return listed
}

func decodeShape(shape *wigeonwire.Shape) wigeonstep.Shape {
	return wigeonstep.Shape{
		Cores:        int(shape.GetCores()),
		MemoryGB:     int(shape.GetMemoryGb()),
		Accelerators: int(shape.GetAccelerators()),
		Slots:        int(shape.GetSlots()),
		Connections:  int(shape.GetConnections()),
	}
}

// phaseName returns the name of a phase in lower case without its prefix, as the documentation writes it, such as in_service.
func phaseName(phase wigeonwire.Phase) string {
	return strings.ToLower(strings.TrimPrefix(phase.String(), "PHASE_"))
}

// transitionAction returns the action under which a transition appears in the decision history of the VM.
func transitionAction(change *wigeonwire.VMTransition) string {
	if change.GetPool() != "" {
		return "assign to " + change.GetPool()
	}
	return phaseName(change.GetTo())
}
