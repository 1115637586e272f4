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
	if f.Seen.Listing == nil {
		return false, "no VM list was read yet"
	}
	z := f.centre(dataCentre)
	return z.trusted, z.distrust
}

func (f *Fleet) judgeList(dataCentre wigeonstep.DataCentreName, z *centre) (bool, string) {
	l := f.Seen.Listing
	switch {
	case len(l.List.VMs) == 0:
		return false, "the VM list is empty"
	case f.Now.Sub(l.TakenAt) > MaxListAge:
		return false, fmt.Sprintf("the VM list is %s old, at most %s counts", f.Now.Sub(l.TakenAt).Round(time.Second), MaxListAge)
	case z.missing*100 > z.total*MassVanishPercent:
		return false, fmt.Sprintf("%d of %d VMs of data centre %s vanished from the VM list at once, more than %d%%", z.missing, z.total, dataCentre, MassVanishPercent)
	}
	return true, ""
}

// Listed returns the list's record of the VM, or nil when the VM is not listed.
func (f *Fleet) Listed(vm *wigeonstate.VM) *wigeonstep.ListedVM { return f.Seen.Listing.VM(vm.ID) }

// Down reports whether the observations show that the VM does not work. An untrusted list alone shows nothing.
func (f *Fleet) Down(vm *wigeonstate.VM) bool {
	return f.Seen.Listing != nil && f.down(vm, f.Listed(vm), f.centre(vm.DataCentre))
}

func (f *Fleet) down(vm *wigeonstate.VM, listed *wigeonstep.ListedVM, z *centre) bool {
	switch {
	case listed != nil && listed.Up:
		return false
	case z.trusted:
		return true
	}
	return listed == nil && f.Seen.Reach[vm.ID].Lost()
}

// countMissing counts, for each data centre, the VMs that worked by the fold and that the list lacks, and decides whether
// the list is trusted there. VMs already known as failed or leaving are left out: their absence is no news.
func (f *Fleet) countMissing() {
	if f.Seen.Listing == nil {
		return
	}
	for _, p := range f.Pools {
		p.listed = make([]*wigeonstep.ListedVM, len(p.VMs))
		z, name := (*centre)(nil), wigeonstep.DataCentreName("")
		for i, vm := range p.VMs {
			p.listed[i] = f.Listed(vm)
			if z == nil || vm.DataCentre != name {
				z, name = f.centre(vm.DataCentre), vm.DataCentre
			}
			if vm.Phase == wigeonwire.Phase_PHASE_FAILED || vm.Leaving {
				continue
			}
			z.total++
			if p.listed[i] == nil {
				z.missing++
			}
		}
	}
	for name, z := range f.centres {
		z.trusted, z.distrust = f.judgeList(name, z)
	}
}
