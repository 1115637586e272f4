// Package wigeonpool plans which VM belongs to which pool: targets, placement, moves, repair and observation of the VM list.
//
// It decides from the folded state, the time and the observations of one daemon, and does no I/O.
package wigeonpool

import (
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// Listing is one reading of the VM list with an index by VM. It is immutable.
type Listing struct {
	List *wigeonstep.VMList
	// TakenAt is when the platform took the list, on the reader's clock: the arrival less the reported age.
	TakenAt time.Time

	byID map[wigeonstep.VMID]*wigeonstep.ListedVM
}

// NewListing indexes a VM list that arrived at the given time.
func NewListing(list *wigeonstep.VMList, arrived time.Time) *Listing {
	l := &Listing{List: list, TakenAt: arrived.Add(-list.Age), byID: make(map[wigeonstep.VMID]*wigeonstep.ListedVM, len(list.VMs))}
	for i := range list.VMs {
		l.byID[list.VMs[i].ID] = &list.VMs[i]
	}
	return l
}

// Next indexes a later VM list. It reuses the index when the VMs are the same, which is the usual case.
func (l *Listing) Next(list *wigeonstep.VMList, arrived time.Time) *Listing {
	if l == nil || !slices.Equal(l.List.VMs, list.VMs) {
		return NewListing(list, arrived)
	}
	return &Listing{List: &wigeonstep.VMList{VMs: l.List.VMs, Pools: list.Pools, Age: list.Age}, TakenAt: arrived.Add(-list.Age), byID: l.byID}
}

// Same reports whether both listings share one index, so that the later one brings no news besides its age.
func (l *Listing) Same(other *Listing) bool {
	return l != nil && other != nil && len(l.List.VMs) == len(other.List.VMs) && (len(l.List.VMs) == 0 || &l.List.VMs[0] == &other.List.VMs[0])
}

// VM returns the list's record of the VM, or nil when the VM is not listed.
func (l *Listing) VM(id wigeonstep.VMID) *wigeonstep.ListedVM {
	if l == nil {
		return nil
	}
	return l.byID[id]
}

// Reach sums the recent connection results towards one VM over the entry processes that reported.
type Reach struct {
	// Succeeded and Failed count connection attempts.
	Succeeded int
	Failed    int
}

// Lost reports whether every attempt failed and there was at least one.
func (r Reach) Lost() bool { return r.Failed > 0 && r.Succeeded == 0 }

// Observations is what one daemon knows besides the folded state.
type Observations struct {
	// Listing is the last VM list that was read, nil before the first.
	Listing *Listing
	// Loads are the slots that each pool's work wants, held and queued together; a pool without a value wants none.
	// Nil means that nothing is known, and that no pool is judged by load.
	Loads map[wigeonstep.PoolName]int
	// Reach holds connection results of VMs. A VM without a value has none.
	Reach map[wigeonstep.VMID]Reach
	// Confirmed holds when the platform accepted each action, since this process started.
	Confirmed map[Action]time.Time
}
