package wigeonpool

import (
	"fmt"
	"math"
	"time"

	"github.com/wigeonstep/wigeonstep/wigeonstate"
)

const (
	// FailuresPerVMDay is how often a VM fails or restarts without a plan: 55 failures and 880 restarts a day at 7,300 VMs.
	FailuresPerVMDay = (55.0 + 880.0) / 7300
	// reserveConfidence is the probability with which the reserve covers the failures during one drain.
	reserveConfidence = 0.99
	// rebootAllowance is the part of a planned stop that follows the drain: reboot and verification.
	rebootAllowance = 10 * time.Minute
)

// Lost returns how many VMs of the pool are unavailable, planned and unplanned together.
func (p *Pool) Lost() int { return p.Planned + p.Unplanned }

// Reserve returns how much of the disruption budget stays free for losses that may happen during one drain:
// the failures of single VMs that are to be expected, or one rack, whichever is larger. A rack whose loss would exceed
// the budget even if nothing drained is left out, since no order of drains provides for it.
func (p *Pool) Reserve() int {
	if len(p.Services) == 0 {
		return 0
	}
	if p.reserveKnown {
		return p.reserve
	}
	drain := (p.MaxDrain + rebootAllowance).Hours() / 24
	// Rounded up to one: a failure during a drain is rare in a small pool, but it must not exceed the budget.
	single := max(1, poissonQuantile(float64(len(p.VMs))*FailuresPerVMDay*drain, reserveConfidence))
	p.reserve = max(min(single, p.MaxUnavailable-1), p.largestLoss(p.MaxUnavailable-p.Unplanned-1))
	p.reserveKnown = true
	return p.reserve
}

// Room returns how many more VMs may drain now. When the pool has lost nothing, one VM may always drain,
// since a pool whose budget is no larger than the reserve would otherwise never be maintained.
func (p *Pool) Room() int {
	if p.Lost() == 0 {
		return max(1, p.MaxUnavailable-p.Reserve())
	}
	return p.MaxUnavailable - p.Lost() - p.Reserve()
}

// CanDrain reports whether the VM may drain within the budget, and the figures of the verdict.
// A VM that is unavailable already costs nothing more.
func (p *Pool) CanDrain(f *Fleet, vm *wigeonstate.VM) (bool, string) {
	figures := p.BudgetFigures()
	if !f.Available(vm) {
		return true, figures
	}
	if p.Room() < 1 {
		return false, figures
	}
	if p.MaxPerRack > 0 && p.RackCount(RackOf(vm)).Lost >= p.MaxPerRack {
		return false, figures
	}
	return true, figures
}

// BudgetFigures returns the figures of the pool's budget for explain.
func (p *Pool) BudgetFigures() string {
	return fmt.Sprintf("max_unavailable=%d max_per_rack=%d planned=%d unplanned=%d reserve=%d vms=%d",
		p.MaxUnavailable, p.MaxPerRack, p.Planned, p.Unplanned, p.Reserve(), len(p.VMs))
}

// poissonQuantile returns the smallest count that a Poisson variable with the mean exceeds with a probability of at most 1-confidence.
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
