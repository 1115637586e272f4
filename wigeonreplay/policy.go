package wigeonreplay

import (
	"fmt"

	"github.com/wigeonstep/wigeonstep/wigeonmaintenance"
	"github.com/wigeonstep/wigeonstep/wigeonpool"
)

// Policy names the planners that a replay runs. Admission, routing and the fold are the same for all.
type Policy string

const (
	// PolicyWigeonstep are the planners as the control daemon runs them.
	PolicyWigeonstep Policy = "wigeonstep"
	// PolicyFixed keeps half again as many workers as the documents ask for, and maintains one VM of a pool at a time.
	PolicyFixed Policy = "fixed"
	// PolicyGreedy moves VMs as soon as the load asks for it, and drains as many at once as the budget allows, without a reserve.
	PolicyGreedy Policy = "greedy"
)

// fixedPercent is the headroom of PolicyFixed; the comparison in the tests of wigeoncontrol uses the same.
const fixedPercent = 50

// ParsePolicy returns the policy of the name.
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
		pool, maintenance.Policy = wigeonpool.FixedHeadroom(fixedPercent), wigeonmaintenance.BatchPolicy(1)
	case PolicyGreedy:
		pool = wigeonpool.GreedyMoves()
		maintenance.Policy = func(pool *wigeonpool.Pool) int { return pool.MaxUnavailable - pool.Planned }
	}
	return wigeonpool.NewPlanner(pool), wigeonmaintenance.NewPlanner(maintenance)
}
