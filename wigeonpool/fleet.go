package wigeonpool

import (
	"maps"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// Fleet is the input of one planning round: the folded state, the time and the observations.
// The planners of one round share it, so that drains for maintenance and for moves count against the same budgets.
type Fleet struct {
	View *wigeonstate.View
	Now  time.Time
	// DataCentre is the data centre of the daemon; it changes only VMs of this one.
	DataCentre wigeonstep.DataCentreName
	Seen       Observations
	// Pools holds every pool that has a VM, a document or a wave, sorted by name.
	Pools []*Pool

	centres map[wigeonstep.DataCentreName]*centre
	byID    map[wigeonstep.PoolName]*Pool
	// broken holds the VMs of this data centre that do not work by the observations, in whatever phase.
	broken []*wigeonstate.VM
	// leaving holds the VMs of this data centre that the platform takes away while they are in service.
	leaving []*wigeonstate.VM
	// entryPools holds the pools with a VM that runs a process of wigeonstep.
	entryPools map[wigeonstep.PoolName]bool
}

// centre is what a round knows of one data centre.
type centre struct {
	// control is set while the data centre has an open control session.
	control bool
	// patient is set while the data centre has lacked one for less than centrePatience; its VMs still count as present.
	patient bool
	// total and missing count VMs that the fold holds as working, and those of them that the list lacks.
	total, missing int
	// trusted is set when the list proves something about the VMs of the data centre; distrust says why it does not.
	trusted  bool
	distrust string
}

// NewFleet prepares a planning round.
func NewFleet(view *wigeonstate.View, now time.Time, dataCentre wigeonstep.DataCentreName, seen Observations) *Fleet {
	f := &Fleet{
		View: view, Now: now, DataCentre: dataCentre, Seen: seen,
		centres: map[wigeonstep.DataCentreName]*centre{},
		byID:    make(map[wigeonstep.PoolName]*Pool, len(view.Pools)),

		entryPools: map[wigeonstep.PoolName]bool{},
	}
	for _, s := range view.Sessions {
		if vm := view.VMs[s.VM]; vm != nil {
			f.entryPools[vm.Pool] = true
		}
		if s.Role == wigeonwire.Role_ROLE_CONTROL && !s.Expired {
			f.centre(s.DataCentre).control = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(view.Pools)) {
		f.addPool(name).VMs = view.Pools[name]
	}
	for _, name := range slices.Sorted(maps.Keys(view.Services)) {
		s := view.Services[name]
		f.addPool(s.Document.Pool).addService(s)
	}
	// A pool whose VMs have all left may still have a wave to end.
	for _, w := range view.Waves {
		f.addPool(w.Pool)
	}
	slices.SortFunc(f.Pools, func(a, b *Pool) int { return compareNames(a.Name, b.Name) })
	f.countMissing()
	for _, p := range f.Pools {
		p.count(f)
	}
	return f
}

// Pool returns the pool, or nil when no VM, document or wave names it.
func (f *Fleet) Pool(name wigeonstep.PoolName) *Pool { return f.byID[name] }

// Own reports whether this daemon's data centre holds the VM.
func (f *Fleet) Own(vm *wigeonstate.VM) bool { return vm.DataCentre == f.DataCentre }

// HasControl reports whether the data centre has an open control session.
func (f *Fleet) HasControl(dataCentre wigeonstep.DataCentreName) bool {
	z := f.centres[dataCentre]
	return z != nil && z.control
}

// Available reports whether the VM can take work, by the fold, the VM list and the connection results together.
func (f *Fleet) Available(vm *wigeonstate.VM) bool {
	return vm.InService() && f.HasControl(vm.DataCentre) && !f.Down(vm)
}

func (f *Fleet) centre(name wigeonstep.DataCentreName) *centre {
	z := f.centres[name]
	if z == nil {
		z = &centre{}
		f.centres[name] = z
	}
	return z
}

func (f *Fleet) addPool(name wigeonstep.PoolName) *Pool {
	p := f.byID[name]
	if p == nil {
		p = &Pool{Name: name}
		f.byID[name] = p
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

// Leads reports whether this daemon's data centre is the first by name that has VMs of the pool and an open control session.
// Only its planner proposes what concerns the pool as a whole; the fold would refuse the others' copies.
func (f *Fleet) Leads(pool *Pool) bool { return pool.first != "" && pool.first == f.DataCentre }

// RunsSessions reports whether a VM of the pool runs a process of wigeonstep. The platform maintains those VMs itself.
func (f *Fleet) RunsSessions(pool *Pool) bool { return f.entryPools[pool.Name] }

// Confirmed reports whether the platform has accepted the action since this process started.
func (f *Fleet) Confirmed(action Action) bool { return !f.Seen.Confirmed[action].IsZero() }
