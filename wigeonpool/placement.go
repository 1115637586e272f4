package wigeonpool

import (
	"cmp"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
)

// bestFit returns the index of the VM to add to the pool, or -1 when none satisfies the shape of the pool. It chooses
// the smallest VM, and among equals the one from the data centre and rack with the fewest VMs of the pool. For a pool
// that is to survive the loss of a failure domain, the spread over domains comes before the size.
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

// compareFit orders VMs by their fitness for the pool, the best first.
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
		// A VM in transit is preferred over one that would still have to drain.
		compareBool(!InTransit(a), !InTransit(b)),
		cmp.Compare(a.ID, b.ID),
	)
}

// countFitting returns the number of VMs that satisfy the pool's shape.
func countFitting(pool *Pool, vms []*wigeonstate.VM) int {
	n := 0
	for _, vm := range vms {
		if vm.Shape.Fits(pool.Shape) {
			n++
		}
	}
	return n
}

// compareShapes orders shapes by the scarcest resource first: in a fleet of donated machines these are accelerators,
// then cores, then memory.
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
