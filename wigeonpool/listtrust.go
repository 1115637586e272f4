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
	// MaxMissingPercent is the share of a data centre's VMs, in percent, above which their absence from the list is
	// taken for a fault of the list.
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

// trustForDataCentre reports whether the VM list is trusted for one data centre, whose VMs have been counted, and the
// reason if not.
func (f *Fleet) trustForDataCentre(dataCentre wigeonstep.DataCentreName, dc *dataCentreState) (bool, string) {
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

// Down reports whether the observations show that the VM does not work. A trusted VM list shows it if the list lacks
// the VM or has it as down. A list that is not trusted shows it only if the list lacks the VM and all connections to it
// failed. Without a list the result is false.
func (f *Fleet) Down(vm *wigeonstate.VM) bool {
	return f.Observed.Listing != nil && f.isDown(vm, f.Listed(vm), f.dataCentre(vm.DataCentre))
}

// isDown implements Down for callers that have already looked up the VM in the list and its data centre.
func (f *Fleet) isDown(vm *wigeonstate.VM, listed *wigeonstep.ListedVM, dc *dataCentreState) bool {
	switch {
	case listed != nil && listed.Up:
		return false
	case dc.trusted:
		return true
	}
	return listed == nil && f.Observed.ConnectionResults[vm.ID].AllFailed()
}

// matchListing looks up every VM in the VM list, counts the missing VMs of each data centre, and sets for each data
// centre whether the list is trusted. VMs that the folded state records as failed or leaving are not counted, since
// their absence from the list is expected.
func (f *Fleet) matchListing() {
	if f.Observed.Listing == nil {
		return
	}
	for _, p := range f.Pools {
		p.listed = make([]*wigeonstep.ListedVM, len(p.VMs))
		// dc is that of the previous VM, which saves a map look-up while consecutive VMs are in the same data centre.
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
		dc.trusted, dc.distrustReason = f.trustForDataCentre(name, dc)
	}
}
