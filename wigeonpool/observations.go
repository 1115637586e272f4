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
	// TakenAt is the time at which the platform made the list, by the clock of this process: the time of arrival less
	// the age that the platform reported.
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

// Update returns the listing of a later VM list. It reuses the index when the VMs are equal, which is the usual case.
func (l *Listing) Update(list *wigeonstep.VMList, arrived time.Time) *Listing {
	if l == nil || !slices.Equal(l.List.VMs, list.VMs) {
		return NewListing(list, arrived)
	}
	return &Listing{List: &wigeonstep.VMList{VMs: l.List.VMs, Pools: list.Pools, Age: list.Age}, TakenAt: arrived.Add(-list.Age), byID: l.byID}
}

// SameVMs reports whether both listings share one index. Only their times and pools may then differ.
func (l *Listing) SameVMs(other *Listing) bool {
	return l != nil && other != nil && len(l.List.VMs) == len(other.List.VMs) && (len(l.List.VMs) == 0 || &l.List.VMs[0] == &other.List.VMs[0])
}

// VM returns the list's record of the VM, or nil when the VM is not listed or there is no listing.
func (l *Listing) VM(id wigeonstep.VMID) *wigeonstep.ListedVM {
	if l == nil {
		return nil
	}
	return l.byID[id]
}

// ConnectionResults counts the recent connection attempts of the entry processes to one VM, as far as the processes
// reported them.
type ConnectionResults struct {
	// Succeeded and Failed count attempts by their result.
	Succeeded int
	Failed    int
}

// AllFailed reports whether there was an attempt and all attempts failed.
func (r ConnectionResults) AllFailed() bool { return r.Failed > 0 && r.Succeeded == 0 }

// Observations holds the input of one daemon that is not in the log: the VM list that it read, the reports that it
// received from entry processes, and the results of its own calls.
type Observations struct {
	// Listing is the last VM list that was read; nil before the first one.
	Listing *Listing
	// SlotDemand holds the number of slots that the running and queued work of each pool needs; a pool without a value
	// needs none. Nil means that the demand is unknown; pool targets then ignore it.
	SlotDemand map[wigeonstep.PoolName]int
	// ConnectionResults holds the connection results of each VM for which there are any.
	ConnectionResults map[wigeonstep.VMID]ConnectionResults
	// Confirmed holds the actions of this process that succeeded, each with the time at which its result arrived. It is
	// empty when the process starts.
	Confirmed map[Action]time.Time
}
