package wigeonpool

import (
	"cmp"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
)

// bestFit returns the index of the VM that suits the pool best, or -1 when none satisfies its shape: the smallest one,
// from the data centre and rack least used by the pool. For a pool that is to survive the loss of a failure domain the
// spread comes before the size.
func bestFit(fleet *Fleet, pool *Pool, vms []*wigeonstate.VM) int {
	best := -1
	for i, vm := range vms {
		if !vm.Shape.Fits(pool.Shape) {
			continue
		}
		if best < 0 || compareFit(fleet, pool, vm, vms[best]) < 0 {
			best = i
		}
	}
	return best
}

func compareFit(fleet *Fleet, pool *Pool, a, b *wigeonstate.VM) int {
	size := compareShapes(a.Shape, b.Shape)
	spread := cmp.Or(
		cmp.Compare(pool.DataCentreCount(a.DataCentre).Total, pool.DataCentreCount(b.DataCentre).Total),
		cmp.Compare(pool.RackCount(RackOf(a)).Total, pool.RackCount(RackOf(b)).Total),
	)
	if domainSize(pool.Survive) > 0 {
		size, spread = spread, size
	}
	return cmp.Or(
		size, spread,
		// A VM on its way already is preferred over one that would have to drain.
		compareBool(!InTransit(a), !InTransit(b)),
		cmp.Compare(a.ID, b.ID),
	)
}

func fitting(pool *Pool, vms []*wigeonstate.VM) int {
	n := 0
	for _, vm := range vms {
		if vm.Shape.Fits(pool.Shape) {
			n++
		}
	}
	return n
}

// compareShapes orders shapes by what is scarcest in a fleet of donated machines: accelerators, then cores, then memory.
func compareShapes(a, b wigeonstep.Shape) int {
	return cmp.Or(
		cmp.Compare(a.Accelerators, b.Accelerators),
		cmp.Compare(a.Cores, b.Cores),
		cmp.Compare(a.MemoryGB, b.MemoryGB),
		cmp.Compare(a.Slots, b.Slots),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
