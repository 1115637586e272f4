package wigeonpool

import (
	"fmt"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// MaxListAge is the age above which a VM list is not trusted.
	MaxListAge = 60 * time.Second
	// MaxMissingPercent is the share of a data centre's VMs above which the absence of so many VMs is taken for a fault of
	// the list.
	MaxMissingPercent = 30
)

// ListTrusted reports whether the absence of a VM of the data centre from the VM list, or its state there, proves that
// the VM does not work. If not, the string is the reason.
func (f *Fleet) ListTrusted(dataCentre wigeonstep.DataCentreName) (bool, string) {
	if f.Observed.Listing == nil {
		return false, "no VM list was read yet"
	}
	dc := f.dataCentre(dataCentre)
	return dc.trusted, dc.distrustReason
}

// judgeList reports whether the VM list is trusted for the data centre, and the reason if not.
func (f *Fleet) judgeList(dataCentre wigeonstep.DataCentreName, dc *dataCentreState) (bool, string) {
	l := f.Observed.Listing
	switch {
	case len(l.List.VMs) == 0:
		return false, "the VM list is empty"
	case f.Now.Sub(l.TakenAt) > MaxListAge:
		return false, fmt.Sprintf("the VM list is %s old, at most %s counts", f.Now.Sub(l.TakenAt).Round(time.Second), MaxListAge)
	case dc.missing*100 > dc.expected*MaxMissingPercent:
		return false, fmt.Sprintf("%d of %d VMs of data centre %s vanished from the VM list at once, more than %d%%", dc.missing, dc.expected, dataCentre, MaxMissingPercent)
	}
	return true, ""
}

// Listed returns the list's record of the VM, or nil when the VM is not listed.
func (f *Fleet) Listed(vm *wigeonstate.VM) *wigeonstep.ListedVM { return f.Observed.Listing.VM(vm.ID) }

// Down reports whether the observations show that the VM does not work: the VM list when it is trusted, otherwise the
// absence from it together with failed connections.
func (f *Fleet) Down(vm *wigeonstate.VM) bool {
	return f.Observed.Listing != nil && f.isDown(vm, f.Listed(vm), f.dataCentre(vm.DataCentre))
}

// isDown is Down for a VM whose record in the list and data centre are known.
func (f *Fleet) isDown(vm *wigeonstate.VM, listed *wigeonstep.ListedVM, dc *dataCentreState) bool {
	switch {
	case listed != nil && listed.Up:
		return false
	case dc.trusted:
		return true
	}
	return listed == nil && f.Observed.Reach[vm.ID].Lost()
}

// judgeListing looks up each VM in the VM list, counts the missing VMs of each data centre and decides whether the list
// is trusted there. VMs that are failed or leaving by the folded state are not counted, since their absence is
// expected.
func (f *Fleet) judgeListing() {
	if f.Observed.Listing == nil {
		return
	}
	for _, p := range f.Pools {
		p.listed = make([]*wigeonstep.ListedVM, len(p.VMs))
		dc, name := (*dataCentreState)(nil), wigeonstep.DataCentreName("")
		for i, vm := range p.VMs {
			p.listed[i] = f.Listed(vm)
			if dc == nil || vm.DataCentre != name {
				dc, name = f.dataCentre(vm.DataCentre), vm.DataCentre
			}
			if vm.Phase == wigeonwire.Phase_PHASE_FAILED || vm.Leaving {
				continue
			}
			dc.expected++
			if p.listed[i] == nil {
				dc.missing++
			}
		}
	}
	for name, dc := range f.dataCentres {
		dc.trusted, dc.distrustReason = f.judgeList(name, dc)
	}
}
