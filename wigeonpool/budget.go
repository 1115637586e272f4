package wigeonpool

import (
	"fmt"
	"math"
	"time"

	"github.com/wigeonstep/wigeonstep/wigeonstate"
)

const (
	// FailuresPerVMDay is the rate of unplanned failures and restarts of a VM: 55 failures and 880 restarts a day at
	// 7,300 VMs.
	FailuresPerVMDay = (55.0 + 880.0) / 7300
	// reserveConfidence is the probability with which the reserve has to cover the failures of single VMs during one
	// drain.
	reserveConfidence = 0.99
	// rebootAllowance is the time for the reboot and the verification after a drain.
	rebootAllowance = 10 * time.Minute
)

// UnavailableCount returns the number of unavailable VMs of the pool, planned and unplanned.
func (p *Pool) UnavailableCount() int { return p.Planned + p.Unplanned }

// Reserve returns the part of the disruption budget, in VMs, that is kept free for failures during one drain: the
// expected failures of single VMs or the loss of one failure domain, whichever is larger. The former is capped at one
// less than the budget. A domain is left out if its loss, together with the VMs that are already unavailable unplanned,
// would use up the budget even if no VM drained: a reserve for it would allow no drain, and limiting drains cannot
// prevent a loss that exceeds the budget by itself. The result is 0 without a document.
func (p *Pool) Reserve() int {
	if len(p.Services) == 0 {
		return 0
	}
	if p.reserveValid {
		return p.reserve
	}
	drain := (p.MaxDrain + rebootAllowance).Hours() / 24
	// At least one: in a small pool a failure during a drain is rare, but it must not exceed the budget.
	singleFailures := max(1, poissonQuantile(float64(len(p.VMs))*FailuresPerVMDay*drain, reserveConfidence))
	p.reserve = max(min(singleFailures, p.MaxUnavailable-1), p.largestLoss(p.MaxUnavailable-p.Unplanned-1))
	p.reserveValid = true
	return p.reserve
}

// DrainsAllowed returns the number of VMs that may start to drain now; it may be negative. While no VM of the pool is
// unavailable it is at least 1, since a pool whose budget is no larger than the reserve would otherwise never be
// maintained.
func (p *Pool) DrainsAllowed() int {
	if p.UnavailableCount() == 0 {
		return max(1, p.MaxUnavailable-p.Reserve())
	}
	return p.MaxUnavailable - p.UnavailableCount() - p.Reserve()
}

// CanDrain reports whether the VM may drain within the disruption budget and the bound for its rack, and the figures of
// the budget. A VM that is already unavailable may always drain, since that takes nothing more from the budget.
func (p *Pool) CanDrain(f *Fleet, vm *wigeonstate.VM) (bool, string) {
	figures := p.BudgetFigures()
	if !f.Available(vm) {
		return true, figures
	}
	if p.DrainsAllowed() < 1 {
		return false, figures
	}
	if p.MaxPerRack > 0 && p.RackCount(RackOf(vm)).Unavailable >= p.MaxPerRack {
		return false, figures
	}
	return true, figures
}

// BudgetFigures returns the figures of the pool's disruption budget for the explanation of a decision.
func (p *Pool) BudgetFigures() string {
	return fmt.Sprintf("max_unavailable=%d max_per_rack=%d planned=%d unplanned=%d reserve=%d vms=%d",
		p.MaxUnavailable, p.MaxPerRack, p.Planned, p.Unplanned, p.Reserve(), len(p.VMs))
}

// poissonQuantile returns the smallest count that a Poisson variable with the mean exceeds with a probability of at
// most 1-confidence.
func poissonQuantile(mean, confidence float64) int {
	term := math.Exp(-mean)
	sum := term
	n := 0
	for sum < confidence && n < 1000 {
		n++
		term *= mean / float64(n)
		sum += term
	}
	return n
}
