package wigeonshard

import (
	"fmt"

	"github.com/wigeonstep/wigeonstep"
)

// TeamStatus is what a shard does for a team.
type TeamStatus struct {
	Name wigeonstep.TeamName
	// Running is what the runs of the team require.
	Running wigeonstep.Resources
	// Share is the dominant share of the team: the largest of its shares of the resources of the shard. FairShare is the share up
	// to which it is owed room now; 1 if there is room for all.
	Share, FairShare float64
	// WaitingTasks counts the ready tasks without a run, ExcessJobs the jobs beyond the team's rate that have not ended.
	WaitingTasks, ExcessJobs int
}

// AppendTeamStatuses appends the status of each team of the configuration in force.
func (o *Owner) AppendTeamStatuses(statuses []TeamStatus) []TeamStatus {
	for _, t := range o.sharing.teams {
		if t.configured {
			statuses = append(statuses, TeamStatus{
				Name: t.Name, Running: t.use, Share: o.sharing.Share(&t.share), FairShare: o.sharing.FairShare(&t.share),
				WaitingTasks: t.waitingTasks, ExcessJobs: t.excessJobs,
			})
		}
	}
	return statuses
}

// describeTeam returns the weight, the share, the use and the limit of a team.
func (o *Owner) describeTeam(t *team) string {
	described := fmt.Sprintf("team %s (weight %g", t.Name, t.share.Weight())
	if !t.configured {
		described += ", not in the configuration"
	}
	described += fmt.Sprintf(", share %.2f%% of the shard, fair share %.2f%%, running %d millicores, %d MB and %d GPUs",
		100*o.sharing.Share(&t.share), 100*o.sharing.FairShare(&t.share), t.use.CPU, t.use.Memory, t.use.GPU)
	if t.Limit == (wigeonstep.Resources{}) {
		return described + ", no limit)"
	}
	return described + fmt.Sprintf(", limit of all shards %d millicores, %d MB and %d GPUs, 0 for none)", t.Limit.CPU, t.Limit.Memory, t.Limit.GPU)
}

// teamCause returns why a step without room has to let others go first: the rate of its team or its share. It is empty if neither is
// the reason.
func (o *Owner) teamCause(s *step) string {
	team := s.job.team
	switch {
	case team == nil || !o.sharing.active || s.LongRunning:
		return ""
	case s.job.excess:
		return fmt.Sprintf("rate: the team had submitted more than %.0f jobs in %s, so this one is after those of its urgency that are within the rates; ",
			o.settings.RateWindow.Limit(team.share.Weight()), o.settings.RateWindow.Length)
	case !o.sharing.Owed(&team.share, s.Reserved()):
		return "share: the team has reached its fair share, so teams below theirs go first; "
	}
	return ""
}
