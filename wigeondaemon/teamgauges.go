package wigeondaemon

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
)

// teamGaugeInterval is the time between two updates of the gauges of teams.
const teamGaugeInterval = time.Second

// Gauges of each team, over the shards that this process owns.
const (
	// teamRunning is the CPU that its runs require, in cores.
	teamRunning = iota
	// teamShare is its dominant share, and teamFairShare the share up to which it is owed room; the largest of the shards.
	teamShare
	teamFairShare
	// teamWaiting is the number of its ready tasks without a run.
	teamWaiting
	// teamExcess is the number of its jobs beyond its rate that have not ended.
	teamExcess
	teamGaugeCount
)

var teamGaugeNames = [teamGaugeCount]string{
	"wigeonstep_team_running_cores", "wigeonstep_team_share", "wigeonstep_team_fair_share", "wigeonstep_team_waiting_tasks", "wigeonstep_team_excess_jobs",
}

// teamGauges holds the gauges of the teams that an owned shard knows and the configuration in force has, so that their number is
// bounded by the configuration. The zero value holds none.
type teamGauges struct {
	updatedAt time.Duration
	byTeam    map[wigeonstep.TeamName]*teamGaugeSet
	// statuses is kept between updates.
	statuses []wigeonshard.TeamStatus
	updates  uint64
}

// teamGaugeSet holds the gauges of one team.
type teamGaugeSet struct {
	gauges [teamGaugeCount]*metrics.Gauge
	values [teamGaugeCount]float64
	// update is the number of the last update in which a shard knew the team.
	update uint64
}

func teamGaugeName(gauge int, team wigeonstep.TeamName) string {
	return fmt.Sprintf("%s{team=%q}", teamGaugeNames[gauge], team)
}

// updateTeamGauges sets the gauges of the teams every teamGaugeInterval.
func (d *Daemon) updateTeamGauges(now time.Duration) {
	if now-d.teamGauges.updatedAt < teamGaugeInterval {
		return
	}
	d.teamGauges.updatedAt = now
	statuses := d.teamGauges.statuses[:0]
	for _, sh := range d.sortedShards {
		if sh.owner != nil {
			statuses = sh.owner.AppendTeamStatuses(statuses)
		}
	}
	d.teamGauges.statuses = statuses
	d.teamGauges.set(d.config.Metrics.set, statuses)
}

// set sets the gauges of the teams in the statuses, of which there may be several for a team, and removes those of all others.
func (g *teamGauges) set(set *metrics.Set, statuses []wigeonshard.TeamStatus) {
	if len(statuses) == 0 && len(g.byTeam) == 0 {
		return
	}
	if g.byTeam == nil {
		g.byTeam = map[wigeonstep.TeamName]*teamGaugeSet{}
	}
	g.updates++
	for _, s := range statuses {
		t := g.byTeam[s.Name]
		if t == nil {
			t = newTeamGaugeSet(set, s.Name)
			g.byTeam[s.Name] = t
		}
		if t.update != g.updates {
			t.update, t.values = g.updates, [teamGaugeCount]float64{}
		}
		t.values[teamRunning] += float64(s.Running.CPU) / 1000
		t.values[teamShare] = max(t.values[teamShare], s.Share)
		t.values[teamFairShare] = max(t.values[teamFairShare], s.FairShare)
		t.values[teamWaiting] += float64(s.WaitingTasks)
		t.values[teamExcess] += float64(s.ExcessJobs)
	}
	for name, t := range g.byTeam {
		if t.update != g.updates {
			for gauge := range teamGaugeCount {
				set.UnregisterMetric(teamGaugeName(gauge, name))
			}
			delete(g.byTeam, name)
			continue
		}
		for gauge, value := range t.values {
			t.gauges[gauge].Set(value)
		}
	}
}

func newTeamGaugeSet(set *metrics.Set, team wigeonstep.TeamName) *teamGaugeSet {
	t := &teamGaugeSet{}
	for gauge := range t.gauges {
		t.gauges[gauge] = set.GetOrCreateGauge(teamGaugeName(gauge, team), nil)
	}
	return t
}
