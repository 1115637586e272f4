package wigeonpool

import (
	"maps"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// Fleet is the input of one planning round: the folded state, the time and the observations. The pool planner and the
// maintenance planner share it, so that drains for moves and for maintenance count against the same budgets.
type Fleet struct {
	// View is the folded state. View.FoldTime is its clock, which differs from Now.
	View *wigeonstate.View
	Now  time.Time
	// DataCentre is the data centre of the daemon, which changes only the VMs of its own data centre.
	DataCentre wigeonstep.DataCentreName
	Observed   Observations
	// Pools holds the pools that have a VM, a document or a wave, sorted by name.
	Pools []*Pool

	dataCentres map[wigeonstep.DataCentreName]*dataCentreState
	poolByName  map[wigeonstep.PoolName]*Pool
	// down holds the VMs of this data centre, in any phase, for which Down is true.
	down []*wigeonstate.VM
	// leaving holds the VMs of this data centre that are in service although the platform has announced their removal.
	leaving []*wigeonstate.VM
	// processPools holds the pools with a VM that runs a process of wigeonstep.
	processPools map[wigeonstep.PoolName]bool
}

// dataCentreState is the state of one data centre in a round.
type dataCentreState struct {
	// hasControl is set while the data centre has an open control session.
	hasControl bool
	// inGrace is set while the data centre has been without an open control session for less than dataCentreGrace; its
	// VMs still count as present.
	inGrace bool
	// expected counts the VMs that the folded state records neither as failed nor as leaving; missing counts those of
	// them that the VM list lacks.
	expected, missing int
	// trusted is set when the VM list proves that a VM of the data centre does not work if the list lacks it or has it
	// as down. distrustReason is set otherwise.
	trusted        bool
	distrustReason string
}

// NewFleet returns the input of a planning round, with the VMs of each pool counted.
func NewFleet(view *wigeonstate.View, now time.Time, dataCentre wigeonstep.DataCentreName, observed Observations) *Fleet {
	f := &Fleet{
		View: view, Now: now, DataCentre: dataCentre, Observed: observed,
		dataCentres: map[wigeonstep.DataCentreName]*dataCentreState{},
		poolByName:  make(map[wigeonstep.PoolName]*Pool, len(view.Pools)),

		processPools: map[wigeonstep.PoolName]bool{},
	}
	for _, s := range view.Sessions {
		if vm := view.VMs[s.VM]; vm != nil {
			f.processPools[vm.Pool] = true
		}
		if s.Role == wigeonwire.Role_ROLE_CONTROL && !s.Expired {
			f.dataCentre(s.DataCentre).hasControl = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(view.Pools)) {
		f.addPool(name).VMs = view.Pools[name]
	}
	for _, name := range slices.Sorted(maps.Keys(view.Services)) {
		s := view.Services[name]
		f.addPool(s.Document.Pool).addService(s)
	}
	// A pool whose VMs have all been removed may still have a wave to end.
	for _, w := range view.Waves {
		f.addPool(w.Pool)
	}
	slices.SortFunc(f.Pools, func(a, b *Pool) int { return compareNames(a.Name, b.Name) })
	f.matchListing()
	for _, p := range f.Pools {
		p.countVMs(f)
	}
	return f
}

// Pool returns the pool, or nil when no VM, document or wave names it.
func (f *Fleet) Pool(name wigeonstep.PoolName) *Pool { return f.poolByName[name] }

// Owns reports whether the VM is in the data centre of this daemon.
func (f *Fleet) Owns(vm *wigeonstate.VM) bool { return vm.DataCentre == f.DataCentre }

// HasControl reports whether the data centre has an open control session.
func (f *Fleet) HasControl(dataCentre wigeonstep.DataCentreName) bool {
	dc := f.dataCentres[dataCentre]
	return dc != nil && dc.hasControl
}

// Available reports whether the VM can take work: it is in service, its data centre has an open control session, and the
// observations do not show it down.
func (f *Fleet) Available(vm *wigeonstate.VM) bool {
	return vm.InService() && f.HasControl(vm.DataCentre) && !f.Down(vm)
}

// dataCentre returns the state of a data centre, which it creates on first use.
func (f *Fleet) dataCentre(name wigeonstep.DataCentreName) *dataCentreState {
	dc := f.dataCentres[name]
	if dc == nil {
		dc = &dataCentreState{}
		f.dataCentres[name] = dc
	}
	return dc
}

// addPool returns a pool, which it adds to Pools on first use.
func (f *Fleet) addPool(name wigeonstep.PoolName) *Pool {
	p := f.poolByName[name]
	if p == nil {
		p = &Pool{Name: name}
		f.poolByName[name] = p
		f.Pools = append(f.Pools, p)
	}
	return p
}

func compareNames[T ~string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Leads reports whether this daemon's data centre is the first by name that has VMs of the pool and an open control
// session, or for an empty pool the first with an open control session. Only the planner of that data centre proposes
// entries for the pool as a whole; the fold would refuse duplicates from others.
func (f *Fleet) Leads(pool *Pool) bool { return pool.leader != "" && pool.leader == f.DataCentre }

// RunsProcesses reports whether a VM of the pool runs a process of wigeonstep. The platform itself maintains such VMs.
func (f *Fleet) RunsProcesses(pool *Pool) bool { return f.processPools[pool.Name] }

// Confirmed reports whether the action has succeeded since this process started.
func (f *Fleet) Confirmed(action Action) bool { return !f.Observed.Confirmed[action].IsZero() }
