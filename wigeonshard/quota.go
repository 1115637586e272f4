package wigeonshard

import (
	"fmt"
	"slices"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonquota"
)

// This file holds what the owner does so that a team stays within its limit over all shards.

// SetLimits puts the limits of the teams of a configuration in force. SetTeams has been called with the same teams.
func (o *Owner) SetLimits(now Timestamp, version wigeonstep.ConfigVersion, configured []wigeonstep.Team) {
	o.quotas.SetLimits(version, configured)
	for name, t := range o.teams {
		t.allowance = o.quotas.Allowance(name)
	}
	o.withdrawOverLimit(now)
	o.placementDue = true
}

// withdrawOverLimit withdraws the newest runs whose starts have not been sent, of teams that are over a limit that was lowered.
// With a slow store they would start seconds later. Runs that have started stay.
func (o *Owner) withdrawOverLimit(now Timestamp) {
	over := map[*team]wigeonstep.Resources{}
	for _, name := range o.quotas.Teams() {
		t := o.ensureTeam(name)
		if !t.allowance.Cap(t.use).Covers(t.use) {
			over[t] = t.use
		}
	}
	if len(over) == 0 {
		return
	}
	for _, w := range o.sortedWorkers {
		for _, r := range slices.Backward(slices.Clone(w.runs)) {
			t := r.task.step.job.team
			use, isOver := over[t]
			if !isOver || t.allowance.Cap(t.use).Covers(use) || !r.unsent() || r.stopping {
				continue
			}
			over[t] = use.Sub(r.task.step.Required)
			o.withdraw(now, r, "the limit of its team was lowered")
		}
	}
}

// ApplyGrants takes over the allowances that the owner of the fleet partition grants to this ownership of the shard.
func (o *Owner) ApplyGrants(grants []wigeonquota.Grant) {
	if len(grants) == 0 {
		return
	}
	o.quotas.Apply(grants, func(name wigeonstep.TeamName) wigeonstep.Resources { return o.ensureTeam(name).use })
	o.placementDue = true
}

// QuotaReport returns what the owner of the fleet partition should know about the teams with a limit.
func (o *Owner) QuotaReport() []wigeonquota.Use {
	ready := o.readyOfRefusedTeams()
	return o.quotas.Report(func(t wigeonstep.TeamName) wigeonquota.Demand {
		team := o.ensureTeam(t)
		return wigeonquota.Demand{Use: team.use, Ready: ready[team]}
	})
}

// QuotaReportUrgent reports whether the owner of the fleet partition, or a task, waits for a report.
func (o *Owner) QuotaReportUrgent() bool {
	return o.quotas.Urgent(func(t wigeonstep.TeamName) wigeonstep.Resources { return o.ensureTeam(t).use })
}

// QuotaReported records that the owner of the fleet partition with the fencing token has received a report.
func (o *Owner) QuotaReported(division wigeonstep.FencingToken, uses []wigeonquota.Use) {
	o.quotas.Received(division, uses)
}

// QuotaUse is what the runs of a team in this shard require, and may require.
type QuotaUse struct {
	Team     wigeonstep.TeamName
	Use, Cap wigeonstep.Resources
}

// QuotaUses returns the use of each team that has a limit, in the order of their names.
func (o *Owner) QuotaUses() []QuotaUse {
	var all []QuotaUse
	for _, name := range o.quotas.Teams() {
		if a := o.quotas.Allowance(name); a.Limited() {
			use := o.ensureTeam(name).use
			all = append(all, QuotaUse{Team: name, Use: use, Cap: a.Cap(use)})
		}
	}
	return all
}

// readyOfRefusedTeams returns what the ready tasks require of each team with a task that was refused in the newest round.
func (o *Owner) readyOfRefusedTeams() map[*team]wigeonstep.Resources {
	ready := map[*team]wigeonstep.Resources{}
	for _, name := range o.quotas.Teams() {
		if o.quotas.Allowance(name).Refused() != (wigeonstep.Resources{}) {
			ready[o.ensureTeam(name)] = wigeonstep.Resources{}
		}
	}
	if len(ready) == 0 {
		return ready
	}
	for _, list := range []*openSteps{&o.longRunningSteps, &o.finiteSteps} {
		for _, s := range list.entries {
			if sum, refused := ready[s.job.team]; refused && s.job.team != nil && !s.closed() && s.ready() && s.fitsLimit() {
				ready[s.job.team] = sum.Add(times(s.Required, s.waiting))
			}
		}
	}
	return ready
}

func times(r wigeonstep.Resources, n int) wigeonstep.Resources {
	return wigeonstep.Resources{CPU: r.CPU * wigeonstep.MilliCPU(n), Memory: r.Memory * wigeonstep.Megabytes(n), GPU: r.GPU * int64(n)}
}

// allowance returns the allowance of the step's team; nil if it has none.
func (s *step) allowance() *wigeonquota.Allowance {
	if s.job.team == nil {
		return nil
	}
	return s.job.team.allowance
}

// withinLimit reports whether the limit of the step's team allows a run of another of its tasks, and records a refusal. It is asked
// for each run that is planned, when a worker is found for it.
func (s *step) withinLimit() bool {
	if s.limitAllows() {
		return true
	}
	if s.fitsLimit() {
		s.allowance().Refuse(s.startRequires())
	}
	return false
}

// startRequires returns what has to be within the limit for the step to start a task; for a gang, all its tasks.
func (s *step) startRequires() wigeonstep.Resources {
	if s.Gang {
		return times(s.Required, s.Count)
	}
	return s.Required
}

// fitsLimit reports whether the step could start if the team had nothing else running. A gang that could not must not ask for the
// limit, which would stay unused.
func (s *step) fitsLimit() bool {
	a := s.allowance()
	return a == nil || !s.Gang || a.Fits(times(s.Required, s.Count-1))
}

// limitAllows reports whether the limit of the step's team allows a run of another of its tasks; for a gang, runs of all that have
// none.
func (s *step) limitAllows() bool {
	a := s.allowance()
	if a == nil {
		return true
	}
	use := s.job.team.use
	if s.Gang {
		use = use.Add(times(s.Required, max(s.Count-s.liveRuns-1, 0)))
	}
	return a.Allows(use, s.Required)
}

// refusedAlready reports whether the step can't start a task because of the limit of its team, and need not be tried: it asks for
// nothing, or a refusal was recorded in this round. A step that the limit allows is tried whatever was refused, because a task that
// may exceed the limit can require more than a refused gang.
func (s *step) refusedAlready() bool {
	a := s.allowance()
	if a == nil || s.limitAllows() {
		return false
	}
	return !s.fitsLimit() || a.Refused() != (wigeonstep.Resources{}) && (s.Gang || s.Required.Covers(a.Refused()))
}

// uncountedHolds returns what the tasks of the step's team require that have no run but room kept for them, and are not yet part of
// the use of the team.
func (o *Owner) uncountedHolds(s *step) wigeonstep.Resources {
	var sum wigeonstep.Resources
	if s.allowance() == nil {
		return sum
	}
	for _, w := range o.sortedWorkers {
		for _, h := range w.held.holds {
			if t := h.task; t.step.job.team == s.job.team && !h.counted && len(t.runs) == 0 {
				sum = sum.Add(t.step.Required)
			}
		}
	}
	return sum
}

// limitAllowsBesides reports whether the limit of the step's team allows a run of another of its tasks, besides runs that require an
// amount. The step is no gang.
func (s *step) limitAllowsBesides(planned wigeonstep.Resources) bool {
	a := s.allowance()
	return a == nil || a.Allows(s.job.team.use.Add(planned), s.Required)
}

// keepsLimit reports whether the part of the limit that a run had is kept for the next run of its task: it was stopped so that it
// can go on elsewhere, which would not be certain if another task could take that part.
func (r *run) keepsLimit() bool {
	t := r.task
	return r.stopping && t.hold != nil && t.hold.granted && len(t.runs) == 0 && !t.step.closed()
}

// leaveTeam removes a run from the use of its team, unless its part of the limit is kept.
func (r *run) leaveTeam() {
	team := r.task.step.job.team
	switch {
	case team == nil:
	case r.keepsLimit():
		r.task.hold.counted = true
	default:
		team.use = team.use.Sub(r.task.step.Required)
	}
}

// waitsForLimit says what a step waits for that its team's limit stops; empty if that does not.
func (s *step) waitsForLimit() string {
	if s.limitAllows() {
		return ""
	}
	t, a := s.job.team, s.allowance()
	return fmt.Sprintf("the limit of team %s (quota): a start requires %s, this shard uses %s and may use %s of the limit %s", t.Name, amounts(s.startRequires()), amounts(t.use), amounts(a.Cap(t.use)), amounts(a.Limit()))
}

// amounts returns an amount as text, with "any" for a resource without a limit.
func amounts(r wigeonstep.Resources) string {
	text := func(n int64, unit string) string {
		if n == wigeonquota.Unlimited {
			return "any " + unit
		}
		return fmt.Sprintf("%d %s", n, unit)
	}
	return text(int64(r.CPU), "millicores") + "/" + text(int64(r.Memory), "MB") + "/" + text(r.GPU, "GPU")
}
