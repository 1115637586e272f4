package wigeonshard

import (
	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonquota"
)

// defaultTeamWeight is the weight of a team that the configuration does not hold.
const defaultTeamWeight = 1

// team is a team whose jobs this owner holds, or that the configuration names.
type team struct {
	// Team is as in the configuration in force; without credentials, with defaultTeamWeight and without a limit if that does
	// not hold the team.
	wigeonstep.Team
	// use is what the tasks require that have a run, once for each run that has not certainly ended, and those for which a
	// hold keeps their part of the limit.
	use wigeonstep.Resources
	teamShare
	// allowance is nil if the team has had no limit.
	allowance *wigeonquota.Allowance
}

// SetTeams replaces the teams of the configuration in force.
func (o *Owner) SetTeams(configured []wigeonstep.Team) {
	for name, t := range o.teams {
		t.Team = wigeonstep.Team{Name: name, Weight: defaultTeamWeight}
		t.configured = false
	}
	for _, c := range configured {
		t := o.ensureTeam(c.Name)
		t.Team, t.configured = c, true
	}
	o.setWeights(len(configured) > 0)
	o.placementDue = true
}

// ensureTeam returns the team with the name, and creates it when it does not exist.
func (o *Owner) ensureTeam(name wigeonstep.TeamName) *team {
	t := o.teams[name]
	if t == nil {
		t = &team{Team: wigeonstep.Team{Name: name, Weight: defaultTeamWeight}, allowance: o.quotas.Allowance(name)}
		o.teams[name] = t
		o.sharing.add(t)
	}
	return t
}

// JobTeam returns the team and the queue of a job that this owner holds, both empty for an unknown job.
func (o *Owner) JobTeam(id wigeonstep.JobID) (wigeonstep.TeamName, wigeonstep.QueueName) {
	if j := o.jobs[id]; j != nil {
		return j.Team, j.Queue
	}
	ended := o.ended[id]
	return ended.team, ended.queue
}
