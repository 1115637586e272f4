package wigeonshard

import (
	"cmp"
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
	// live is set for a task of an earlier owner with runs, or crashes of workers under them, that are to be restored with it.
	live       bool
	checkpoint wigeonstep.Checkpoint
	lostRuns   []wigeonstep.RunNumber
	// crashes is not suspicious, unless live is set.
	crashes crashHistory
}

// isOpen reports whether tasks of the step are in memory.
func (s *step) isOpen() bool { return len(s.tasks) > 0 }

// nextEnd returns the index after the last task that is in memory once the step is opened or extended.
func (s *step) nextEnd() int {
	touched := s.end
	if n := len(s.closedTasks); n > 0 {
		touched = max(touched, s.closedTasks[n-1].index+1)
	}
	for _, t := range slices.Backward(s.tasks) {
		if t.id.Index != touched-1 || !t.untouched() {
			break
		}
		touched--
	}
	return min(s.Count, touched+tasksAhead(s.Step))
}

// notInMemory returns the number of tasks of an open step that are neither done nor in memory.
func (s *step) notInMemory() int { return s.evicted + s.Count - s.end }

// task returns a task of the step, or nil if it is not in memory.
func (s *step) task(index int) *task {
	if place, found := s.searchTask(index); found {
		return s.tasks[place]
	}
	return nil
}

// searchTask returns the place of a task in tasks, or the place at which it would be inserted.
func (s *step) searchTask(index int) (place int, found bool) {
	if guess := index - s.base; guess >= 0 && guess < len(s.tasks) && s.tasks[guess].id.Index == index {
		return guess, true
	}
	return slices.BinarySearchFunc(s.tasks, index, func(t *task, index int) int { return cmp.Compare(t.id.Index, index) })
}

// searchClosed returns the place of a task in closedTasks, or the place at which it would be inserted.
func (s *step) searchClosed(index int) int {
	place, _ := slices.BinarySearchFunc(s.closedTasks, index, func(c closedTask, index int) int { return cmp.Compare(c.index, index) })
	return place
}

// tasksBetween returns the tasks in memory with indexes from begin to before end.
func (s *step) tasksBetween(begin, end int) []*task {
	first, _ := s.searchTask(begin)
	last, _ := s.searchTask(end)
	return s.tasks[first:last]
}

// closedBetween returns the closed tasks with indexes from begin to before end.
func (s *step) closedBetween(begin, end int) []closedTask {
	return s.closedTasks[s.searchClosed(begin):s.searchClosed(end)]
}

// untouched reports whether the task has never had a run and no room is kept for it.
func (t *task) untouched() bool {
	return t.lastRun == 0 && len(t.runs) == 0 && t.hold == nil && t.isolation == nil
}

// extendStep opens a step, or adds tasks to those that are in memory. first is set for the first claim of a job.
func (o *Owner) extendStep(now Timestamp, s *step, first bool) {
	o.extendStepTo(now, s, s.nextEnd(), first)
}

// reopenStep opens a closed step with the needed ones of its closed tasks, of which there is at least one, and with all tasks if they are
// only opened together. The others follow as the limit allows.
func (o *Owner) reopenStep(now Timestamp, s *step, needed func(*closedTask) bool) {
	if s.Gang {
		o.extendStep(now, s, s.claimsFirst())
		return
	}
	o.beginClaim(s, false)
	o.openStepsOf(s).add(s)
	s.end = s.lastClosed() + 1
	s.closedTasks = slices.DeleteFunc(s.closedTasks, func(c closedTask) bool {
		if !needed(&c) {
			return false
		}
		t := s.newTask(now, c.index)
		c.restore(t)
		s.tasks = append(s.tasks, t)
		return true
	})
	s.countEvicted()
	o.opening.updateClaim(s)
	s.activeAt = now.Steady
	o.enqueueStep(now, s)
}

func (o *Owner) extendStepTo(now Timestamp, s *step, end int, first bool) {
	o.beginClaim(s, first)
	o.addTasks(now, s, end)
	s.activeAt = now.Steady
	o.placementDue = true
}

// beginClaim gives the step a claim, if it has none. first is set for the first claim of a job.
func (o *Owner) beginClaim(s *step, first bool) {
	s.claim.first = s.claim.first || first
	if !s.claim.open && s.tasksLeft > 0 {
		s.job.claimingSteps++
	}
	s.claim.open = true
}

// addTasks adds the tasks of the step before the index end that are not in memory, with the progress that they had, but for those that
// are done.
func (o *Owner) addTasks(now Timestamp, s *step, end int) {
	if !s.isOpen() {
		o.openStepsOf(s).add(s)
	}
	o.openStepsOf(s).taskNeedsRun(s)
	if len(s.closedTasks) > 0 || s.evicted > 0 {
		s.mergeClosed(now)
	}
	s.tasks = slices.Grow(s.tasks, max(end-s.end, 0))
	for i := s.end; i < end; i++ {
		s.tasks = append(s.tasks, s.newTask(now, i))
	}
	s.end = max(s.end, end)
	o.opening.updateClaim(s)
}

func (s *step) newTask(now Timestamp, index int) *task {
	return &task{id: s.taskID(index), step: s, waitingSince: now.Steady}
}

func (s *step) taskID(index int) wigeonstep.TaskID {
	return wigeonstep.TaskID{Job: s.job.ID, Occurrence: s.occurrence.number, Step: s.number, Index: index}
}

// mergeClosed brings the tasks up to the last one that had a run into memory, but for those that are done.
func (s *step) mergeClosed(now Timestamp) {
	if n := len(s.closedTasks); n > 0 {
		s.end = max(s.end, s.closedTasks[n-1].index+1)
	}
	open, closed := s.tasks, s.closedTasks
	s.tasks, s.closedTasks, s.evicted = make([]*task, 0, s.end-s.base), nil, 0
	for i := s.base; i < s.end; i++ {
		if len(open) > 0 && open[0].id.Index == i {
			s.tasks = append(s.tasks, open[0])
			open = open[1:]
			continue
		}
		t := s.newTask(now, i)
		if len(closed) > 0 && closed[0].index == i {
			c := closed[0]
			closed = closed[1:]
			if c.done && !c.live && !s.Gang {
				s.closedTasks = append(s.closedTasks, c)
				continue
			}
			c.restore(t)
		}
		s.tasks = append(s.tasks, t)
	}
}

// restoreEvicted brings one task of an open step into memory, unless it is done or not open yet.
func (o *Owner) restoreEvicted(now Timestamp, s *step, index int) {
	if index < s.base || index >= s.end {
		return
	}
	t := s.newTask(now, index)
	if place := s.searchClosed(index); place < len(s.closedTasks) && s.closedTasks[place].index == index {
		if s.closedTasks[place].done {
			return
		}
		s.closedTasks[place].restore(t)
		s.closedTasks = slices.Delete(s.closedTasks, place, place+1)
	}
	place, _ := s.searchTask(index)
	s.tasks = slices.Insert(s.tasks, place, t)
	s.evicted--
	o.openStepsOf(s).taskNeedsRun(s)
	o.opening.updateClaim(s)
}

// restore gives a task the progress that it had.
func (c *closedTask) restore(t *task) {
	t.lastRun, t.failures, t.done, t.givenUp = c.lastRun, c.failures, c.done, c.givenUp
	t.checkpoint, t.lostRuns, t.crashes = c.checkpoint, c.lostRuns, c.crashes
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
	case s.liveRuns > 0 && !s.Gang:
		o.evictTasks(now, s, idle)
	}
}

// evictTasks removes from memory the tasks that are done and, if the step is idle, all that have no run, while others of the step run.
func (o *Owner) evictTasks(now Timestamp, s *step, idle bool) {
	if !slices.ContainsFunc(s.tasks, func(t *task) bool { return t.mayEvict(idle) }) {
		return
	}
	var kept []*task
	for _, t := range s.tasks {
		if t.mayEvict(idle) {
			o.setNeedsCopy(t, false)
			s.keepClosed(now, t)
		} else {
			kept = append(kept, t)
		}
	}
	s.sortClosed()
	s.tasks = kept
	// Others of the step run, so what it claims from now on is not the first claim of its job.
	s.claim.first = false
	if idle {
		// Those at the end that never had a run are as if they had not been opened.
		s.end = max(kept[len(kept)-1].id.Index, s.lastClosed()) + 1
	}
	s.countEvicted()
	o.opening.updateClaim(s)
	if s.notInMemory() > 0 {
		o.enqueueStep(now, s)
	}
}

// mayEvict reports whether the task can be restored from its progress, and needs no run or couldn't get one lately.
func (t *task) mayEvict(idle bool) bool {
	return (t.done || idle) && len(t.runs) == 0 && !t.crashes.suspicious() && t.hold == nil && t.isolation == nil
}

// keepClosed adds a task that is removed from memory to closedTasks, if it ever had a run.
func (s *step) keepClosed(now Timestamp, t *task) {
	if t.lastRun > 0 {
		p := t.progress(now)
		s.closedTasks = append(s.closedTasks, newClosedTask(&p))
	}
}

func (s *step) sortClosed() {
	slices.SortFunc(s.closedTasks, func(a, b closedTask) int { return cmp.Compare(a.index, b.index) })
	s.closedTasks = slices.Clip(s.closedTasks)
}

// lastClosed returns the index of the last closed task; -1 without any.
func (s *step) lastClosed() int {
	if len(s.closedTasks) == 0 {
		return -1
	}
	return s.closedTasks[len(s.closedTasks)-1].index
}

// countEvicted sets evicted from the tasks that are in memory or done.
func (s *step) countEvicted() {
	s.evicted = s.end - s.base - len(s.tasks)
	for i := range s.closedTasks {
		if s.closedTasks[i].done {
			s.evicted--
		}
	}
}

// dropDone removes the tasks at the beginning of the step from memory that are done and whose records are written.
func (o *Owner) dropDone(s *step) {
	perRecord := o.settings.tasksPerRecord()
	if !s.job.recordsTasks || s.Gang {
		return
	}
	for end := s.base + perRecord; end < s.end && !s.records[s.base/perRecord].dirty; end += perRecord {
		open, closed := s.tasksBetween(s.base, end), s.closedBetween(s.base, end)
		if len(open)+len(closed) < perRecord || len(open) == len(s.tasks) ||
			slices.ContainsFunc(open, func(t *task) bool { return !t.done || len(t.runs) > 0 }) ||
			slices.ContainsFunc(closed, func(c closedTask) bool { return !c.done }) {
			break
		}
		s.tasks = slices.Clone(s.tasks[len(open):])
		s.closedTasks = slices.Clone(s.closedTasks[len(closed):])
		s.base = end
	}
	o.opening.updateClaim(s)
}

// mayClose reports whether the tasks of the step can be restored from what is recorded of them: none has a run, or is suspected of
// having crashed a worker, and the records are written.
func (s *step) mayClose() bool {
	if s.liveRuns > 0 || s.suspects > 0 || slices.ContainsFunc(s.records, func(r tasksRecord) bool { return r.dirty }) {
		return false
	}
	return !slices.ContainsFunc(s.tasks, func(t *task) bool { return t.hold != nil || t.isolation != nil })
}

// closeStep removes the tasks of a step from memory, which can be restored.
func (o *Owner) closeStep(now Timestamp, s *step) {
	if s.needsClosedTasks() {
		for _, t := range s.tasks {
			s.keepClosed(now, t)
		}
	} else {
		s.closedTasks = nil
	}
	s.sortClosed()
	s.tasks, s.end, s.evicted = nil, s.base, 0
	s.copiesNeeded = 0
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
		live:       len(p.Runs) > 0 || len(p.Crashes) > 0,
		checkpoint: p.Checkpoint, lostRuns: slices.Clone(p.LostRuns), crashes: p.Crashes,
	}
}

// progress returns the progress of the task as it is recorded.
func (c *closedTask) progress(s *step) wigeonjob.TaskProgress {
	return wigeonjob.TaskProgress{
		Occurrence: s.occurrence.number, Step: s.number, Index: c.index,
		LastRun: c.lastRun, Failures: c.failures, Done: c.done, GivenUp: c.givenUp,
		Checkpoint: c.checkpoint, LostRuns: c.lostRuns, Crashes: c.crashes,
	}
}
