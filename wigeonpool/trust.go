package wigeonpool

import (
	"fmt"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// MaxListAge is the age from which a VM list proves nothing.
	MaxListAge = 60 * time.Second
	// MassVanishPercent is the share of a data centre's VMs above which their absence from the list proves nothing by itself.
	MassVanishPercent = 30
)

// ListTrusted reports whether absence from the VM list proves something about VMs of the data centre, and why not.
func (f *Fleet) ListTrusted(dataCentre wigeonstep.DataCentreName) (bool, string) {
	l := f.Seen.Listing
	switch {
	case l == nil:
		return false, "no VM list was read yet"
	case len(l.List.VMs) == 0:
		return false, "the VM list is empty"
	case f.Now.Sub(l.TakenAt) > MaxListAge:
		return false, fmt.Sprintf("the VM list is %s old, at most %s counts", f.Now.Sub(l.TakenAt).Round(time.Second), MaxListAge)
	}
	z := f.zones[dataCentre]
	if z != nil && z.missing*100 > z.total*MassVanishPercent {
		return false, fmt.Sprintf("%d of %d VMs of data centre %s vanished from the VM list at once, more than %d%%", z.missing, z.total, dataCentre, MassVanishPercent)
	}
	return true, ""
}

// Listed returns the list's record of the VM, or nil when the VM is not listed.
func (f *Fleet) Listed(vm *wigeonstate.VM) *wigeonstep.ListedVM { return f.Seen.Listing.VM(vm.ID) }

// Down reports whether the observations show that the VM does not work. An untrusted list alone shows nothing.
func (f *Fleet) Down(vm *wigeonstate.VM) bool {
	if f.Seen.Listing == nil {
		return false
	}
	if trusted, _ := f.ListTrusted(vm.DataCentre); !trusted {
		return f.Listed(vm) == nil && f.Seen.Reach[vm.ID].Lost()
	}
	listed := f.Listed(vm)
	return listed == nil || !listed.Up
}

// countMissing counts, for each data centre, the VMs that worked by the fold and that the list lacks.
// VMs already known as failed or leaving are left out: their absence is no news.
func (f *Fleet) countMissing() {
	if f.Seen.Listing == nil {
		return
	}
	for _, p := range f.Pools {
		for _, vm := range p.VMs {
			if vm.Phase == wigeonwire.Phase_PHASE_FAILED || vm.Leaving {
				continue
			}
			z := f.zone(vm.DataCentre)
			z.total++
			if f.Listed(vm) == nil {
				z.missing++
			}
		}
	}
}
