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

func (s *State) now() time.Time { return time.UnixMilli(s.timeMS).UTC() }

// observeVM adds a VM that the platform lists, or updates what may change about it while it stays in its pool.
func (s *State) observeVM(observed *wigeonwire.VMObserve, r record) string {
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
		// An epoch that starts at the offset is above every epoch of an earlier VM of the same id, even a forgotten one.
		Epoch:       wigeonstep.Epoch(r.offset) + 1,
		PhaseOffset: r.offset,
		PhaseSince:  s.now(),
	}
	if before != nil {
		*after = *before
	}
	after.Rack = wigeonstep.RackName(observed.GetRack())
	after.Address = observed.GetAddress()
	after.Shape = shapeOf(observed.GetShape())
	after.Leaving = observed.GetLeaving()
	if before == nil || *before != *after {
		s.replaceVM(before, after)
	}
	return ""
}

// transitionVM changes the phase of a VM. The epoch makes the change a compare-and-set.
func (s *State) transitionVM(change *wigeonwire.VMTransition, r record) string {
	reason := s.tryTransition(change, r)
	s.explain(r, &wigeonwire.Decision{
		SubjectKind: "vm",
		Subject:     change.GetVm(),
		Action:      actionOf(change),
		Cause:       change.GetCause(),
		Rule:        change.GetRule(),
		Figures:     change.GetFigures(),
	}, reason)
	return reason
}

func (s *State) tryTransition(change *wigeonwire.VMTransition, r record) string {
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
	if wigeonstep.Epoch(change.GetEpoch()) != before.Epoch {
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
	s.trackWave(before, &after, change)
	if change.GetPool() != "" {
		after.Pool = wigeonstep.PoolName(change.GetPool())
	}
	s.replaceVM(before, &after)
	return ""
}

// checkTransition holds the rules of single transitions that the phase machine does not know.
func (s *State) checkTransition(vm *VM, change *wigeonwire.VMTransition) string {
	to, pool := change.GetTo(), wigeonstep.PoolName(change.GetPool())
	if pool != "" && (vm.Phase != phaseDrained || to != phaseInService) {
		return "a VM changes its pool only from drained to in_service"
	}
	if pool != "" && !s.knownPool(pool) {
		return fmt.Sprintf("pool %q is not known", pool)
	}
	if pool != "" {
		if reason := s.checkGiveAway(vm, pool); reason != "" {
			return reason
		}
	}
	switch to {
	case phaseDraining:
		if reason := s.checkWave(vm, wigeonstep.WaveID(change.GetWave())); reason != "" {
			return reason
		}
		// A VM that the platform takes away is lost already, so its drain costs nothing more.
		if vm.InService() {
			return s.checkBudget(vm)
		}
	case phaseDrained:
		return s.checkBarrier(vm)
	}
	return ""
}

// replaceVM puts the changed VM in the place of the earlier one in every index; before is nil for a new VM.
func (s *State) replaceVM(before, after *VM) {
	s.stale.vms = true
	if before != nil {
		s.members[before.Pool] = withoutVM(s.members[before.Pool], before.ID)
		if len(s.members[before.Pool]) == 0 {
			delete(s.members, before.Pool)
		}
	}
	if after.Phase == phaseGone {
		delete(s.vms, after.ID)
		s.gone[after.ID] = s.timeMS
		s.closeSessionsOn(after.ID)
		return
	}
	delete(s.gone, after.ID)
	s.vms[after.ID] = after
	s.members[after.Pool] = withVM(s.members[after.Pool], after)
}

func searchVM(members []*VM, id wigeonstep.VMID) (int, bool) {
	return slices.BinarySearchFunc(members, id, func(vm *VM, id wigeonstep.VMID) int {
		return strings.Compare(string(vm.ID), string(id))
	})
}

// withoutVM and withVM return changed copies, because views share the slices.
func withoutVM(members []*VM, id wigeonstep.VMID) []*VM {
	i, found := searchVM(members, id)
	if !found {
		return members
	}
	return slices.Concat(members[:i], members[i+1:])
}

func withVM(members []*VM, vm *VM) []*VM {
	i, _ := searchVM(members, vm.ID)
	return slices.Concat(members[:i], []*VM{vm}, members[i:])
}

func (s *State) observePools(observed *wigeonwire.PoolObserve, r record) string {
	if reason := r.session.requireControl(); reason != "" {
		return reason
	}
	if len(observed.GetPools()) == 0 {
		return "an empty list of pools is no evidence that the pools are gone"
	}
	pools := slices.Clone(observed.GetPools())
	slices.Sort(pools)
	s.listed = slices.Compact(pools)
	return ""
}

// knownPool reports whether the platform lists the pool or a VM is in it. The spare pool is always known.
func (s *State) knownPool(pool wigeonstep.PoolName) bool {
	if pool == wigeonstep.SparePool || len(s.members[pool]) > 0 {
		return true
	}
	_, listed := slices.BinarySearch(s.listed, string(pool))
	return listed
}

func shapeOf(shape *wigeonwire.Shape) wigeonstep.Shape {
	return wigeonstep.Shape{
		Cores:        int(shape.GetCores()),
		MemoryGB:     int(shape.GetMemoryGb()),
		Accelerators: int(shape.GetAccelerators()),
		Slots:        int(shape.GetSlots()),
		Connections:  int(shape.GetConnections()),
	}
}

// phaseName returns the phase as the design page writes it.
func phaseName(phase wigeonwire.Phase) string {
	return strings.ToLower(strings.TrimPrefix(phase.String(), "PHASE_"))
}

func actionOf(change *wigeonwire.VMTransition) string {
	if change.GetPool() != "" {
		return "assign to " + change.GetPool()
	}
	return phaseName(change.GetTo())
}
