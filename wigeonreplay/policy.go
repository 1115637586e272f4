package wigeonreplay

import (
	"fmt"

	"github.com/wigeonstep/wigeonstep/wigeonmaintenance"
	"github.com/wigeonstep/wigeonstep/wigeonpool"
)

// Policy selects the planners of a replay. Admission, routing and the fold are the same for all policies.
type Policy string

const (
	// PolicyWigeonstep selects the planners of the control daemon with their default configuration.
	PolicyWigeonstep Policy = "wigeonstep"
	// PolicyFixed is a baseline that keeps 50 % more workers than the documents require, and maintains the VMs of
	// a pool one at a time.
	PolicyFixed Policy = "fixed"
	// PolicyGreedy is a baseline that moves VMs as soon as the load requires it, and drains as many VMs at once as the
	// disruption budget allows, without a reserve for unplanned losses.
	PolicyGreedy Policy = "greedy"
)

// fixedHeadroomPercent is the headroom of PolicyFixed. The comparison in the tests of wigeoncontrol uses the same value.
const fixedHeadroomPercent = 50

// ParsePolicy returns the policy with the name, or an error if there is none.
func ParsePolicy(name string) (Policy, error) {
	switch p := Policy(name); p {
	case PolicyWigeonstep, PolicyFixed, PolicyGreedy:
		return p, nil
	}
	return "", fmt.Errorf("policy %q: expected wigeonstep, fixed or greedy", name)
}

func (p Policy) planners() (*wigeonpool.Planner, *wigeonmaintenance.Planner) {
	var pool wigeonpool.Config
	var maintenance wigeonmaintenance.Config
	switch p {
	case PolicyFixed:
		pool, maintenance.Policy = wigeonpool.FixedHeadroom(fixedHeadroomPercent), wigeonmaintenance.BatchPolicy(1)
	case PolicyGreedy:
		pool = wigeonpool.GreedyMoves()
		maintenance.Policy = func(pool *wigeonpool.Pool) int { return pool.MaxUnavailable - pool.Planned }
	}
	return wigeonpool.NewPlanner(pool), wigeonmaintenance.NewPlanner(maintenance)
}
