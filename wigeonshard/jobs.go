package wigeonshard

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// AddJob adds a job from the log, with the progress that earlier owners recorded. It ignores a job that this owner already
// holds or has seen end, because the caller may have read progress older than what this owner wrote.
func (o *Owner) AddJob(now Timestamp, accepted *wigeonjob.Job, progress wigeonjob.Progress, cancelled bool) {
	if _, ended := o.ended[accepted.ID]; ended || o.jobs[accepted.ID] != nil {
		return
	}
	excess := o.countArrival(accepted)
	if progress.State.Terminal() {
		o.ended[accepted.ID] = endedJob{state: progress.State, cause: progress.Cause, holder: progress.Holder, team: accepted.Team, queue: accepted.Queue}
		if cancelled {
			o.forwardCancel(accepted.ID, progress.Holder)
		}
		return
	}
	j := &job{Job: accepted, state: progress.State, durableState: progress.State, cause: progress.Cause, finished: slices.Sorted(slices.Values(progress.Finished))}
	if accepted.Team != "" {
		j.team = o.ensureTeam(accepted.Team)
		j.team.addJob(j, excess)
	}
	j.recordsTasks = accepted.TaskCount()*accepted.Occurrences() > o.settings.tasksPerRecord()
	j.objective = accepted.Objective()
	j.acceptedAt = now.Steady - time.Duration(max(now.Wall-accepted.Accepted, 0))*time.Millisecond
	j.readAt = now.Steady
	o.stages[StageRead].add(j.readAt - j.acceptedAt)
	o.placementDue = true
	o.jobs[accepted.ID] = j
	o.restoreTasks(now, j, progress.Tasks)
	for _, occ := range slices.Clone(j.occurrences) {
		o.recount(j, occ)
	}
	if !cancelled {
		o.openAdded(now, j)
	}
	if j.state == wigeonjob.StatePending {
		o.recordArrival(now, j)
	}
	o.register(j)
	if cancelled {
		o.CancelJob(now, accepted.ID)
	}
}

// restoreTasks sets the tasks and their live runs from recorded progress. Progress of tasks that the job doesn't have is ignored. Only
// the steps with live runs, or with tasks that may have crashed their workers, are opened at once.
func (o *Owner) restoreTasks(now Timestamp, j *job, recorded []wigeonjob.TaskProgress) {
	recorded = slices.DeleteFunc(slices.Clone(recorded), func(p wigeonjob.TaskProgress) bool {
		return p.Step >= len(j.Steps) || p.Index >= j.Steps[p.Step].Count || p.Occurrence >= j.Occurrences() || j.isFinished(p.Occurrence)
	})
	slices.SortStableFunc(recorded, func(a, b wigeonjob.TaskProgress) int {
		return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
	for len(recorded) > 0 {
		first := recorded[0]
		n := 1
		for n < len(recorded) && recorded[n].Occurrence == first.Occurrence && recorded[n].Step == first.Step {
			n++
		}
		o.restoreStep(now, o.ensureOccurrence(now, j, first.Occurrence).steps[first.Step], recorded[:n])
		recorded = recorded[n:]
	}
}

// restoreStep sets the tasks of one step, with the progress sorted by their indexes.
func (o *Owner) restoreStep(now Timestamp, s *step, recorded []wigeonjob.TaskProgress) {
	for i := range recorded {
		p := &recorded[i]
		if r := o.recordOf(s, p.Index); r != nil {
			r.written = true
		}
		if p.Done {
			s.tasksLeft--
			s.waiting--
		}
	}
	opens := slices.ContainsFunc(recorded, func(p wigeonjob.TaskProgress) bool { return len(p.Runs) > 0 || len(p.Crashes) > 0 })
	if opens || s.needsClosedTasks() {
		for i := range recorded {
			s.closedTasks = append(s.closedTasks, newClosedTask(&recorded[i]))
		}
	}
	if !opens {
		return
	}
	o.reopenStep(now, s, func(c *closedTask) bool { return c.live })
	for i := range recorded {
		if t := s.task(recorded[i].Index); t != nil {
			o.restoreCrashes(t, recorded[i].Crashes)
			o.restoreRuns(now, t, recorded[i].Runs)
		}
	}
	o.dropDone(s)
}

// restoreRuns adds the live runs of a task that an earlier owner recorded.
func (o *Owner) restoreRuns(now Timestamp, t *task, recorded []wigeonjob.LiveRun) {
	for _, live := range recorded {
		w := o.ensureWorker(now, live.Worker)
		r := &run{
			task: t, number: live.Number, worker: w, phase: runUnknown, speed: restoredSpeed, sentSpeed: -1,
			inherited: true, plannedWall: live.PlannedAt, plannedAt: now.Steady,
			reportedAt: now.Steady, startSentAt: now.Steady, progressedAt: now.Steady,
		}
		if live.PlannedAt != 0 {
			r.plannedAt -= time.Duration(now.Wall-live.PlannedAt) * time.Millisecond
		}
		o.inheritOrders(now, r, &live)
		o.attach(r)
		o.inheritIsolation(r)
	}
}

// restoreCrashes sets the crash history that earlier owners recorded.
func (o *Owner) restoreCrashes(t *task, recorded []wigeonjob.WorkerCrash) {
	t.crashes = slices.Clone(recorded)
	if t.crashes.suspicious() {
		t.step.suspects++
	}
	for _, c := range recorded {
		o.crashedTasks[c.Worker] = append(o.crashedTasks[c.Worker], crashedTask{t.step, t.id.Index})
	}
}

// attach adds a run to its task and its worker, and to their counters.
func (o *Owner) attach(r *run) {
	s := r.task.step
	if len(r.task.runs) == 0 {
		s.tasksWithRuns++
		if !r.task.done {
			s.waiting--
		}
	}
	r.task.runs = append(r.task.runs, r)
	s.liveRuns++
	s.job.liveRuns++
	o.opening.updateClaim(s)
	o.smallRuns.attached(r)
	if team := s.job.team; team != nil {
		team.use = team.use.Add(s.Required)
		team.share.AddUse(s.Reserved())
	}
	r.worker.attach(r)
	o.interference.attached(r)
}

func (o *Owner) detach(r *run) {
	i := slices.Index(r.task.runs, r)
	if i < 0 {
		return
	}
	r.task.runs = slices.Delete(r.task.runs, i, i+1)
	s := r.task.step
	if len(r.task.runs) == 0 {
		s.tasksWithRuns--
		if !r.task.done {
			s.waiting++
			o.openStepsOf(s).taskNeedsRun(s)
		}
	}
	s.liveRuns--
	s.job.liveRuns--
	o.opening.updateClaim(s)
	o.smallRuns.detached(r)
	if team := s.job.team; team != nil {
		team.share.SubUse(s.Reserved())
		r.leaveTeam()
	}
	r.worker.detach(r)
	o.interference.detached(r)
}

// ensureOccurrence returns an occurrence of a job, and creates it when it does not exist.
func (o *Owner) ensureOccurrence(now Timestamp, j *job, number int) *occurrence {
	place, open := j.searchOccurrence(number)
	if open {
		return j.occurrences[place]
	}
	occ := &occurrence{number: number, due: j.acceptedAt, stepsLeft: len(j.Steps), openedAt: now.Steady}
	o.opening.occurrenceOpened(j, occ)
	if at := j.DueAt(number); at != 0 {
		occ.due = now.Steady + time.Duration(at-now.Wall)*time.Millisecond
	}
	for n := range j.Steps {
		s := &step{Step: &j.Steps[n], job: j, occurrence: occ, number: n, tasksLeft: j.Steps[n].Count, waiting: j.Steps[n].Count}
		s.interference = o.interferenceOf(s.Step)
		if j.recordsTasks {
			s.records = make([]tasksRecord, (s.Count+o.settings.tasksPerRecord()-1)/o.settings.tasksPerRecord())
		}
		occ.steps = append(occ.steps, s)
	}
	j.occurrences = slices.Insert(j.occurrences, place, occ)
	occ.updateChains()
	return occ
}

// recount sets the counters of an occurrence from those of its steps, and finishes the occurrence when all tasks are done.
func (o *Owner) recount(j *job, occ *occurrence) {
	occ.stepsLeft = 0
	for _, s := range occ.steps {
		if s.tasksLeft > 0 {
			occ.stepsLeft++
		}
	}
	occ.updateChains()
	if occ.stepsLeft == 0 {
		o.finishOccurrence(j, occ)
	}
}

// updateChains sets what follows from the steps that are done: which steps are blocked, and the latest start.
func (occ *occurrence) updateChains() {
	for _, s := range occ.steps {
		s.blocked = 0
		for _, before := range s.After {
			if occ.steps[before].tasksLeft > 0 {
				s.blocked++
			}
		}
	}
	if len(occ.steps) > 0 {
		occ.latestStart = occ.due + occ.steps[0].job.objective - occ.remainingChain()
	}
}

// finishOccurrence removes an occurrence whose tasks are all done, and completes the job when it was the last one.
func (o *Owner) finishOccurrence(j *job, occ *occurrence) {
	j.removeOccurrence(occ)
	o.opening.occurrenceClosed(occ)
	j.removedRecords = append(j.removedRecords, occ.writtenRecords()...)
	place, _ := slices.BinarySearch(j.finished, occ.number)
	j.finished = slices.Insert(j.finished, place, occ.number)
	if len(j.finished) == j.Occurrences() && !j.state.Terminal() {
		o.setFinalState(j, wigeonjob.StateCompleted)
	}
	o.markDirty(j)
}

// CancelJob stops the runs of a job and makes it cancelled, or passes the cancellation on to the partition that holds the job. It
// has no effect on a job that has ended.
func (o *Owner) CancelJob(now Timestamp, id wigeonstep.JobID) {
	j := o.jobs[id]
	if j == nil {
		o.forwardCancel(id, o.ended[id].holder)
		return
	}
	if j.state.Terminal() {
		o.forwardCancel(id, j.holder)
		return
	}
	j.cancelled = true
	o.stopJob(now, j)
	if j.registered {
		o.setFinalState(j, wigeonjob.StateCancelled)
	}
}

// markBegun records that the worker has begun the run, which makes a pending job a running one.
func (o *Owner) markBegun(now Timestamp, r *run) {
	r.phase, r.onlyStopAnswered = runAccepted, false
	r.startKnownAt = now.Steady
	if j := r.task.step.job; j.state == wigeonjob.StatePending {
		j.state = wigeonjob.StateRunning
		o.markDirty(j)
	}
}

// setFinalState sets the terminal state of a job.
func (o *Owner) setFinalState(j *job, state wigeonjob.State) {
	j.state = state
	o.opening.searchDue = o.opening.searchDue || j.unopened || o.opening.deferred > 0
	o.markDirty(j)
}

// stopJob stops every run of a job.
func (o *Owner) stopJob(now Timestamp, j *job) {
	for _, occ := range slices.Clone(j.occurrences) {
		for _, s := range occ.steps {
			for _, t := range s.tasks {
				o.stopTask(now, t)
			}
		}
	}
}

// stopTask marks the runs of a task to be stopped, and ends those whose starts were never sent.
func (o *Owner) stopTask(now Timestamp, t *task) {
	for _, r := range slices.Clone(t.runs) {
		if r.phase == runPlanned || r.phase == runDurable {
			o.endRun(now, r, wigeonstep.EndStopped, t.checkpoint)
			continue
		}
		r.stopping, r.unanswered, r.worker.settled = true, false, false
	}
}

// endRun removes a run that has certainly ended, or never started, and applies the cause of its end to its task.
func (o *Owner) endRun(now Timestamp, r *run, cause wigeonstep.EndCause, checkpoint wigeonstep.Checkpoint) {
	t := r.task
	o.detach(r)
	if r.isolated() {
		o.dropIsolation(t)
	}
	r.phase = runEnded
	t.waitingSince = now.Steady
	t.setCheckpoint(checkpoint)
	o.markTaskDirty(t)
	switch cause {
	case wigeonstep.EndDone:
		r.worker.backoff.recordSuccess()
		o.taskDone(now, t)
	case wigeonstep.EndFailed:
		o.taskFailed(now, r)
	}
}

// taskDone marks a finite task as done and stops its other runs. When one member of a gang is done, all members are.
func (o *Owner) taskDone(now Timestamp, t *task) {
	s := t.step
	if s.LongRunning || t.done {
		return
	}
	members := []*task{t}
	if s.Gang {
		members = s.tasks
	}
	for _, member := range members {
		if member.done {
			continue
		}
		member.done = true
		o.setNeedsCopy(member, false)
		if len(member.runs) == 0 {
			s.waiting--
		}
		o.setCrashes(member, nil)
		s.tasksLeft--
		if s.Gang {
			o.endMemberRuns(now, member)
		} else {
			o.stopTask(now, member)
		}
	}
	o.opening.updateClaim(s)
	if s.tasksLeft == 0 {
		o.stepDone(now, s)
	}
}

// stepDone opens the steps that waited for a step, or finishes the occurrence if it was the last one.
func (o *Owner) stepDone(now Timestamp, s *step) {
	s.job.claimingSteps--
	s.occurrence.updateChains()
	s.occurrence.stepsLeft--
	if s.occurrence.stepsLeft == 0 {
		o.finishOccurrence(s.job, s.occurrence)
		return
	}
	o.openReady(now, s.occurrence)
}

// endMemberRuns ends the runs of a gang member after the whole gang is done.
func (o *Owner) endMemberRuns(now Timestamp, t *task) {
	for _, r := range slices.Clone(t.runs) {
		o.endRun(now, r, wigeonstep.EndStopped, "")
	}
}

func (o *Owner) taskFailed(now Timestamp, r *run) {
	t := r.task
	if r.worker.backoff.recordFailure(now.Steady) {
		o.recordWorkerDecision("worker_suspect", r.worker, "its last runs all failed")
	}
	t.avoidWorker = r.worker.ID
	t.retryAt = now.Steady + failedTaskPause
	o.countFailure(now, t, r.id())
}

// countFailure counts a failed run of a task, and ends the job when the task has failed as often as its queue allows. A gang fails
// once in each of its runs, however many of its members do.
func (o *Owner) countFailure(now Timestamp, t *task, run wigeonstep.RunID) {
	s := t.step
	counted := t.counter()
	if s.Gang && run.Number <= counted.lastFailedRun {
		return
	}
	counted.lastFailedRun = run.Number
	counted.failures++
	o.markTaskDirty(counted)
	if s.LongRunning || t.done {
		return
	}
	if counted.failures >= max(s.job.Policy.MaxAttempts, 1) && !s.job.state.Terminal() {
		s.job.cause = fmt.Sprintf("task %s failed as often as its queue allows", t.id.Path())
		o.out.Decisions = append(o.out.Decisions, Decision{Event: "job_failed", Cause: s.job.cause, Run: run})
		o.stopJob(now, s.job)
		o.setFinalState(s.job, wigeonjob.StateFailed)
	}
}
