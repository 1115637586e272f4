package wigeonquota_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonquota"
)

// ledgerStep is a configuration that comes into force, or a grant, and the cap after it.
type ledgerStep struct {
	version wigeonstep.ConfigVersion
	limit   int
	// allowance and total are those of a grant by a division with the version and the limit; negative for a configuration.
	allowance, total int
	wantCap          wigeonstep.MilliCPU
}

func configure(version wigeonstep.ConfigVersion, limit int, wantCap wigeonstep.MilliCPU) ledgerStep {
	return ledgerStep{version: version, limit: limit, allowance: -1, wantCap: wantCap}
}

func grant(version wigeonstep.ConfigVersion, limit, total, allowance int, wantCap wigeonstep.MilliCPU) ledgerStep {
	return ledgerStep{version: version, limit: limit, allowance: allowance, total: total, wantCap: wantCap}
}

// Guards against an owner that starts tasks within its allowance although a limit was in force for which others may hold more, and
// against one that waits although nothing was lowered.
func TestCapWhileLimitsChange(t *testing.T) {
	for name, steps := range map[string][]ledgerStep{
		"lowered":                  {configure(1, 100, 0), grant(1, 100, 100, 40, 40), configure(2, 80, 20), configure(3, 50, 0), grant(3, 50, 90, 40, 0), grant(3, 50, 50, 40, 40)},
		"raised and lowered":       {configure(1, 50, 0), grant(1, 50, 50, 25, 25), configure(2, 100, 25), configure(3, 50, 0), grant(2, 100, 100, 25, 0), grant(3, 50, 50, 25, 25)},
		"late owner":               {configure(1, 50, 0), grant(2, 100, 100, 25, 25), configure(2, 100, 25)},
		"late division":            {configure(3, 50, 0), grant(1, 50, 50, 25, 0), grant(3, 50, 50, 25, 25)},
		"limit removed and back":   {configure(1, 50, 0), grant(1, 50, 50, 25, 25), configure(2, 0, wigeonquota.Unlimited), configure(3, 50, 0), grant(3, 50, 50, 25, 25)},
		"many limits":              {configure(1, 100, 0), grant(1, 100, 100, 100, 100), configure(2, 10, 10), configure(3, 11, 11), configure(4, 12, 12), configure(5, 13, 13), configure(6, 14, 14), configure(7, 15, 15), configure(8, 16, 16), configure(9, 17, 17), configure(10, 18, 18)},
		"division without a limit": {configure(2, 50, 0), grant(2, 0, 0, 0, 0), grant(3, 50, 50, 25, 25)},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var l wigeonquota.Ledger
			for i, s := range steps {
				if s.allowance < 0 {
					l.SetLimits(s.version, []wigeonstep.Team{{Name: modelTeam, Limit: cpu(s.limit)}})
				} else {
					bound := func(n int) wigeonquota.Resources {
						r := wigeonquota.Resources{CPU: wigeonstep.MilliCPU(n), Memory: wigeonquota.Unlimited, GPU: wigeonquota.Unlimited}
						if s.limit == 0 {
							r.CPU = wigeonquota.Unlimited
						}
						return r
					}
					l.Apply([]wigeonquota.Grant{{
						Team: modelTeam, Number: wigeonquota.GrantNumber{Epoch: 1, Counter: uint64(i)}, Version: s.version,
						Allowance: bound(s.allowance), Limit: bound(s.limit), Total: bound(s.total),
					}}, func(wigeonstep.TeamName) wigeonquota.Resources { return wigeonquota.Resources{} })
				}
				c.Assert(l.Allowance(modelTeam).Cap(wigeonquota.Resources{}).CPU, qt.Equals, s.wantCap, qt.Commentf("step %d", i))
			}
		})
	}
}

// Guards against teams whose figures reach the division only after many seconds, because each report repeats most teams of the one
// before while all of them change.
func TestEachBusyTeamIsReportedInTurn(t *testing.T) {
	c := qt.New(t)
	const count, perReport = 300, 12
	var teams []wigeonstep.Team
	for i := range count {
		teams = append(teams, wigeonstep.Team{Name: wigeonstep.TeamName(fmt.Sprintf("team-%03d", i)), Limit: cpu(100)})
	}
	var l wigeonquota.Ledger
	l.SetLimits(1, teams)
	use, reported := 0, map[wigeonstep.TeamName]bool{}
	// The first round has each team as new, the second one only as changed.
	for i := range 2 * count / perReport {
		if i == count/perReport {
			clear(reported)
		}
		use += 10
		uses := l.Report(func(wigeonstep.TeamName) wigeonquota.Demand { return wigeonquota.Demand{Use: cpu(use)} })
		c.Assert(uses, qt.HasLen, perReport)
		l.Received(1, uses)
		for _, u := range uses {
			reported[u.Team] = true
		}
	}
	c.Assert(reported, qt.HasLen, count)
	first := l.Report(func(wigeonstep.TeamName) wigeonquota.Demand { return wigeonquota.Demand{Use: cpu(use + 10)} })
	c.Assert(first[0].Team, qt.Equals, teams[0].Name)
}
