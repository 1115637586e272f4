package wigeondaemon

import (
	"bytes"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
)

// Guards against gauges of teams that have left the configuration, whose number would grow with each change of it, and against
// teams of several shards that are counted once.
func TestTeamGaugesFollowTheConfiguration(t *testing.T) {
	c := qt.New(t)
	set := metrics.NewSet()
	var g teamGauges
	written := func() string {
		var b bytes.Buffer
		set.WritePrometheus(&b)
		return b.String()
	}
	g.set(set, nil)
	c.Assert(written(), qt.Equals, "")
	a := wigeonshard.TeamStatus{Name: "a", Running: wigeonstep.Resources{CPU: 1500}, Share: 0.25, FairShare: 0.5, WaitingTasks: 3, ExcessJobs: 1}
	odd := wigeonshard.TeamStatus{Name: "odd \"name\"\n{}\xff"}
	g.set(set, []wigeonshard.TeamStatus{a, odd, a})
	c.Assert(written(), qt.Contains, `wigeonstep_team_running_cores{team="a"} 3`)
	c.Assert(written(), qt.Contains, `wigeonstep_team_share{team="a"} 0.25`)
	c.Assert(written(), qt.Contains, `wigeonstep_team_fair_share{team="a"} 0.5`)
	c.Assert(written(), qt.Contains, `wigeonstep_team_waiting_tasks{team="a"} 6`)
	c.Assert(written(), qt.Contains, `wigeonstep_team_excess_jobs{team="a"} 2`)
	c.Assert(strings.Count(written(), "\n"), qt.Equals, 2*teamGaugeCount)
	g.set(set, []wigeonshard.TeamStatus{a})
	c.Assert(strings.Count(written(), "\n"), qt.Equals, teamGaugeCount)
	c.Assert(written(), qt.Contains, `wigeonstep_team_running_cores{team="a"} 1.5`)
	g.set(set, nil)
	c.Assert(written(), qt.Equals, "")
}
