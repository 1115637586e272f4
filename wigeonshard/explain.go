package wigeonshard

import (
	"fmt"
	"strings"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// Explain returns the state of a job and the reasons why it waits. known is false for a job that this owner does not hold.
func (o *Owner) Explain(now Timestamp, id wigeonstep.JobID) (status wigeonstep.ObjectStatus, known bool) {
	state, known := o.JobState(id)
	if !known {
		return wigeonstep.ObjectStatus{}, false
	}
	status = wigeonstep.ObjectStatus{Kind: "job", Subject: string(id), State: state.String()}
	j := o.jobs[id]
	if j == nil {
		if cause := o.ended[id].cause; cause != "" {
			status.State += ", because " + cause
		}
		return status, true
	}
	parts := []string{state.String(), "service " + string(j.Service), "accepted " + (now.Steady - j.acceptedAt).Round(time.Millisecond).String() + " ago"}
	if j.team != nil && o.sharing.active {
		parts = append(parts, o.describeTeam(j.team))
	}
	var waits []string
	if deferred := j.dueOccurrences(now) - len(j.occurrences) - len(j.finished); deferred > 0 && j.unopened {
		waits = append(waits, fmt.Sprintf("%d due occurrences wait until others are done: %d tasks and steps of the shard are open", deferred, o.opening.size))
	}
	for _, occ := range j.occurrences {
		for _, s := range occ.steps {
			parts = append(parts, fmt.Sprintf("step %d.%d: %d of %d tasks done, %d runs", occ.number, s.number, s.Count-s.tasksLeft, s.Count, s.liveRuns))
			parts = append(parts, o.explainPairs(s)...)
			if cause := o.waitsFor(now, s); cause != "" {
				waits = append(waits, fmt.Sprintf("step %d.%d: %s", occ.number, s.number, cause))
			}
		}
	}
	status.State, status.WaitsFor = strings.Join(parts, ", "), strings.Join(waits, "; ")
	return status, true
}

// waitsFor returns the reason why tasks of a step wait to be placed; empty when none waits.
func (o *Owner) waitsFor(now Timestamp, s *step) string {
	waiting, retrying := 0, 0
	for _, t := range s.tasks {
		if t.needsRun() {
			waiting++
			if now.Steady < t.retryAt {
				retrying++
			}
		}
	}
	switch {
	case s.tasksLeft == 0:
		return ""
	case !s.ready():
		return "the steps before it"
	case !s.isOpen():
		return fmt.Sprintf("room for its tasks in the memory of the owner: %d tasks and steps of the shard are open", o.opening.size)
	case waiting == 0 && s.evicted > 0:
		return fmt.Sprintf("room for more of its tasks in the memory of the owner: %d tasks and steps of the shard are open", o.opening.size)
	case waiting == 0:
		return ""
	case o.runsLeft(s) == 0:
		return fmt.Sprintf("the end of other runs: the owner has %d of tasks that are small for their service", o.smallRuns.count)
	case retrying == waiting:
		return "the pause after a failure"
	case !s.limitAllows():
		return s.waitsForLimit()
	case s.suspects > 0:
		return o.waitsForIsolation(s)
	}
	reserved := s.Reserved()
	usable, fitting := 0, 0
	for _, w := range o.pool(now) {
		if w.Service != s.job.Service {
			continue
		}
		usable++
		if w.free().Covers(reserved) {
			fitting++
		}
	}
	if fitting == 0 {
		return o.teamCause(s) + fmt.Sprintf("room for %d tasks of %d millicores and %d MB: none of %d usable workers has any", waiting, reserved.CPU, reserved.Memory, usable)
	}
	if a := s.advice; a != nil {
		return fmt.Sprintf("a worker that the advice service allows: it was asked about %d workers and allowed %d; %d of %d usable workers have room", len(a.workers), a.allowed(), fitting, usable)
	}
	return fmt.Sprintf("a worker that suits %d tasks (labels, racks, tasks per worker, gang) or the next round of placement: %d of %d usable workers have room", waiting, fitting, usable)
}

// waitsForIsolation returns the reason why a step waits that has tasks which may crash their workers.
func (o *Owner) waitsForIsolation(s *step) string {
	for _, t := range s.tasks {
		if t.suspected() && t.needsRun() {
			return fmt.Sprintf("a worker of its own for task %s, which may have crashed others: %s", t.id.Path(), t.counter().crashes)
		}
	}
	return "the end of the isolated run of a task that may have crashed its worker"
}
