package wigeonshard

import (
	"slices"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// closedTask is the progress of a task that is not in memory.
type closedTask struct {
	index         int
	lastRun       wigeonstep.RunNumber
	failures      int
	done, givenUp bool
	checkpoint    wigeonstep.Checkpoint
	lostRuns      []wigeonstep.RunNumber
}

// isOpen reports whether tasks of the step are in memory.
func (s *step) isOpen() bool { return len(s.tasks) > 0 }

// openEnd returns the index after the last task in memory.
func (s *step) openEnd() int { return s.base + len(s.tasks) }

// nextEnd returns the index after the last task that is in memory once the step is opened or extended.
func (s *step) nextEnd() int {
	touched := s.openEnd()
	if n := len(s.closedTasks); n > 0 {
		touched = max(touched, s.closedTasks[n-1].index+1)
	}
	for touched > s.base && touched <= s.openEnd() && s.tasks[touched-s.base-1].untouched() {
		touched--
	}
	return min(s.Count, touched+tasksAhead(s.Step))
}

// task returns a task of the step, or nil if it is not in memory.
func (s *step) task(index int) *task {
	if index < s.base || index >= s.openEnd() {
		return nil
	}
	return s.tasks[index-s.base]
}

// tasksBetween returns the tasks in memory with indexes from begin to before end.
func (s *step) tasksBetween(begin, end int) []*task {
	begin, end = max(begin, s.base), min(end, s.openEnd())
	if begin >= end {
		return nil
	}
	return s.tasks[begin-s.base : end-s.base]
}

// untouched reports whether the task has never had a run and no room is kept for it.
func (t *task) untouched() bool {
	return t.lastRun == 0 && len(t.runs) == 0 && t.hold == nil && t.isolation == nil
}

// extendStep opens a step, or adds tasks to those that are in memory. first is set for the first claim of a job.
func (o *Owner) extendStep(now Timestamp, s *step, first bool) {
	o.extendStepTo(now, s, s.nextEnd(), first)
}

// reopenStep opens a step with the tasks that have had a run, and with all if they are only opened together.
func (o *Owner) reopenStep(now Timestamp, s *step) {
	end := s.nextEnd()
	if !s.LongRunning && !s.Gang {
		end = s.closedTasks[len(s.closedTasks)-1].index + 1
	}
	o.extendStepTo(now, s, end, s.claimsFirst())
}

func (o *Owner) extendStepTo(now Timestamp, s *step, end int, first bool) {
	s.claim.first = s.claim.first || first
	if !s.claim.open && s.tasksLeft > 0 {
		s.job.claimingSteps++
	}
	o.addTasks(now, s, end)
	o.restoreClosed(s)
	s.activeAt = now.Steady
	o.placementDue = true
}

// addTasks adds the tasks of the step before the index end that are not in memory.
func (o *Owner) addTasks(now Timestamp, s *step, end int) {
	if !s.isOpen() {
		o.openStepsOf(s).add(s)
	}
	s.tasks = slices.Grow(s.tasks, end-s.openEnd())
	for i := s.openEnd(); i < end; i++ {
		id := wigeonstep.TaskID{Job: s.job.ID, Occurrence: s.occurrence.number, Step: s.number, Index: i}
		s.tasks = append(s.tasks, &task{id: id, step: s, waitingSince: now.Steady})
	}
	s.claim.open = true
	o.opening.updateClaim(s)
}

// restoreClosed gives the tasks of a step that was closed the progress that they had.
func (o *Owner) restoreClosed(s *step) {
	for i := range s.closedTasks {
		c := &s.closedTasks[i]
		if t := s.task(c.index); t != nil {
			t.lastRun, t.failures, t.done, t.givenUp = c.lastRun, c.failures, c.done, c.givenUp
			t.checkpoint, t.lostRuns = c.checkpoint, c.lostRuns
		}
	}
	s.closedTasks = nil
}

// closeIdle frees the memory of what the step doesn't need: the tasks that are done, and, if none was planned for a turn, those that
// have no run. The step waits for its next turn then.
func (o *Owner) closeIdle(now Timestamp, s *step) {
	if !s.isOpen() {
		return
	}
	o.dropDone(s)
	idle := now.Steady-s.activeAt >= openTurn
	switch {
	case s.tasksLeft == 0 && s.mayClose(), idle && s.mayClose():
		o.closeStep(now, s)
	case idle && !s.LongRunning && !s.Gang:
		for s.isOpen() && s.tasks[len(s.tasks)-1].untouched() {
			s.tasks = s.tasks[:len(s.tasks)-1]
		}
		s.tasks = slices.Clip(s.tasks)
		o.opening.updateClaim(s)
	}
}

// dropDone removes the tasks at the beginning of the step from memory that are done and whose records are written.
func (o *Owner) dropDone(s *step) {
	perRecord := o.settings.tasksPerRecord()
	if !s.job.recordsTasks || s.Gang {
		return
	}
	for len(s.tasks) > perRecord && !s.records[s.base/perRecord].dirty {
		if slices.ContainsFunc(s.tasks[:perRecord], func(t *task) bool { return !t.done || len(t.runs) > 0 }) {
			break
		}
		s.tasks = slices.Clone(s.tasks[perRecord:])
		s.base += perRecord
	}
	o.opening.updateClaim(s)
}

// mayClose reports whether the tasks of the step can be restored from what is recorded of them: none has a run, or is suspected of
// having crashed a worker, and the records are written.
func (s *step) mayClose() bool {
	if s.liveRuns > 0 || s.suspects > 0 || slices.ContainsFunc(s.records, func(r tasksRecord) bool { return r.dirty }) {
		return false
	}
	return !slices.ContainsFunc(s.tasks, func(t *task) bool { return t.hold != nil || t.isolation != nil || len(t.crashes) > 0 })
}

// closeStep removes the tasks of a step from memory, which can be restored.
func (o *Owner) closeStep(now Timestamp, s *step) {
	if s.needsClosedTasks() {
		for _, t := range s.tasks {
			if t.lastRun > 0 {
				p := t.progress(now)
				s.closedTasks = append(s.closedTasks, newClosedTask(&p))
			}
		}
	}
	s.closedTasks = slices.Clip(s.closedTasks)
	s.tasks = nil
	o.opening.release(s)
	if !s.over() {
		o.enqueueStep(now, s)
	}
}

// needsClosedTasks reports whether the progress of the tasks is needed while the step is not open. Once all are done, it is needed only
// for the next record of the job, if that holds the tasks.
func (s *step) needsClosedTasks() bool { return s.tasksLeft > 0 || !s.job.recordsTasks }

// newClosedTask returns a task with the recorded progress.
func newClosedTask(p *wigeonjob.TaskProgress) closedTask {
	return closedTask{
		index: p.Index, lastRun: p.LastRun, failures: p.Failures, done: p.Done, givenUp: p.GivenUp,
		checkpoint: p.Checkpoint, lostRuns: slices.Clone(p.LostRuns),
	}
}

// progress returns the progress of the task as it is recorded.
func (c *closedTask) progress(s *step) wigeonjob.TaskProgress {
	return wigeonjob.TaskProgress{
		Occurrence: s.occurrence.number, Step: s.number, Index: c.index,
		LastRun: c.lastRun, Failures: c.failures, Done: c.done, GivenUp: c.givenUp,
		Checkpoint: c.checkpoint, LostRuns: c.lostRuns,
	}
}
