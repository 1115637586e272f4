// Package wigeonpool plans the assignment of VMs to pools: target sizes, placement, moves, repair and the observation
// of the VM list.
//
// A planner decides from the folded state, which every process computes by applying the entries of the fleet stream in
// order (the fold), and from the time and the observations of one daemon. It does no I/O.
package wigeonpool

import (
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// Listing is a VM list as read from the platform, with an index by VM. It is immutable.
type Listing struct {
	List *wigeonstep.VMList
	// TakenAt is the time at which the platform made the list, on the reader's clock: the arrival less the reported age.
	TakenAt time.Time

	byID map[wigeonstep.VMID]*wigeonstep.ListedVM
}

// NewListing returns the listing of a VM list that arrived at the given time.
func NewListing(list *wigeonstep.VMList, arrived time.Time) *Listing {
	l := &Listing{List: list, TakenAt: arrived.Add(-list.Age), byID: make(map[wigeonstep.VMID]*wigeonstep.ListedVM, len(list.VMs))}
	for i := range list.VMs {
		l.byID[list.VMs[i].ID] = &list.VMs[i]
	}
	return l
}

// Next returns the listing of a later VM list. It reuses the index when the VMs are equal, which is the usual case.
func (l *Listing) Next(list *wigeonstep.VMList, arrived time.Time) *Listing {
	if l == nil || !slices.Equal(l.List.VMs, list.VMs) {
		return NewListing(list, arrived)
	}
	return &Listing{List: &wigeonstep.VMList{VMs: l.List.VMs, Pools: list.Pools, Age: list.Age}, TakenAt: arrived.Add(-list.Age), byID: l.byID}
}

// Same reports whether both listings share one index, so that only their age and pools may differ.
func (l *Listing) Same(other *Listing) bool {
	return l != nil && other != nil && len(l.List.VMs) == len(other.List.VMs) && (len(l.List.VMs) == 0 || &l.List.VMs[0] == &other.List.VMs[0])
}

// VM returns the list's record of the VM, or nil when the VM is not listed or there is no listing.
func (l *Listing) VM(id wigeonstep.VMID) *wigeonstep.ListedVM {
	if l == nil {
		return nil
	}
	return l.byID[id]
}

// Reach counts the recent connection attempts to one VM over all entry processes that reported some.
type Reach struct {
	// Succeeded and Failed count attempts by their result.
	Succeeded int
	Failed    int
}

// Lost reports whether there was an attempt and all attempts failed.
func (r Reach) Lost() bool { return r.Failed > 0 && r.Succeeded == 0 }

// Observations holds what one daemon has observed itself, beside the folded state.
type Observations struct {
	// Listing is the last VM list that was read; nil before the first one.
	Listing *Listing
	// Loads holds the worker slots that the work of each pool needs, running and queued; 0 for a pool without a value. Nil
	// means that no load is known, and no pool is assessed by load.
	Loads map[wigeonstep.PoolName]int
	// Reach holds the connection results of VMs, of those that have any.
	Reach map[wigeonstep.VMID]Reach
	// Confirmed holds the time at which the platform accepted each action, since this process started.
	Confirmed map[Action]time.Time
}
