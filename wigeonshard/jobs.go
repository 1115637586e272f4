package wigeonshard

import (
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// Add takes a job over that the log holds, with the progress of earlier owners. It has no effect on a job that this
// owner knows or has seen end: the progress that the caller read may be older than what this owner wrote.
func (o *Owner) Add(now Now, accepted *wigeonjob.Job, progress wigeonjob.Progress, cancelled bool) {
	if _, ended := o.ended[accepted.ID]; ended || o.jobs[accepted.ID] != nil {
		return
	}
	if progress.State.Terminal() {
		o.ended[accepted.ID] = progress.State
		return
	}
	j := &job{Job: accepted, state: progress.State, shown: progress.State, finished: slices.Clone(progress.Finished)}
	j.due = now.Steady - time.Duration(max(now.Wall-accepted.Accepted, 0))*time.Millisecond
	o.changed = true
	o.jobs[accepted.ID] = j
	o.order = append(o.order, j)
	for i := range progress.Tasks {
		o.restore(now, j, &progress.Tasks[i])
	}
	for _, occ := range j.occurrences {
		o.recount(j, occ)
	}
	o.raise(now, j)
	if j.state == wigeonjob.StatePending {
		o.arrived(now, j)
	}
	if cancelled {
		o.Cancel(now, accepted.ID)
	}
}

// restore takes the progress of one task over.
func (o *Owner) restore(now Now, j *job, p *wigeonjob.TaskProgress) {
	if p.Step >= len(j.Steps) || p.Index >= j.Steps[p.Step].Count || p.Occurrence >= j.Occurrences() {
		return
	}
	t := o.occurrence(now, j, p.Occurrence).steps[p.Step].tasks[p.Index]
	t.lastRun, t.failures, t.done, t.checkpoint = p.LastRun, p.Failures, p.Done, p.Checkpoint
	for _, live := range p.Runs {
		w := o.worker(now, live.Worker)
		r := &run{task: t, number: live.Number, worker: w, phase: runUnknown, pace: restoredPace, paceSent: -1, seen: now.Steady, began: now.Steady, moved: now.Steady}
		o.attach(r)
	}
}

// attach counts a run at its task and at its worker.
func (o *Owner) attach(r *run) {
	r.task.runs = append(r.task.runs, r)
	r.task.step.live++
	r.task.step.job.liveRuns++
	r.worker.attach(r)
}

func (o *Owner) detach(r *run) {
	i := slices.Index(r.task.runs, r)
	if i < 0 {
		return
	}
	r.task.runs = slices.Delete(r.task.runs, i, i+1)
	r.task.step.live--
	r.task.step.job.liveRuns--
	r.worker.detach(r)
}

// occurrence returns an occurrence of a job and makes it when it is not there.
func (o *Owner) occurrence(now Now, j *job, number int) *occurrence {
	for _, occ := range j.occurrences {
		if occ.number == number {
			return occ
		}
	}
	occ := &occurrence{number: number, due: j.due, left: len(j.Steps)}
	if at := j.DueAt(number); at != 0 {
		occ.due = now.Steady + time.Duration(at-now.Wall)*time.Millisecond
	}
	for n := range j.Steps {
		s := &step{Step: &j.Steps[n], job: j, occurrence: occ, number: n, left: j.Steps[n].Count}
		s.tasks = make([]*task, s.Count)
		for i := range s.tasks {
			s.tasks[i] = &task{id: wigeonstep.TaskID{Job: j.ID, Occurrence: number, Step: n, Index: i}, step: s}
		}
		occ.steps = append(occ.steps, s)
	}
	j.occurrences = append(j.occurrences, occ)
	return occ
}

// recount sets the counters of an occurrence from its tasks.
func (o *Owner) recount(j *job, occ *occurrence) {
	occ.left = 0
	for _, s := range occ.steps {
		s.left = 0
		for _, t := range s.tasks {
			if !t.done {
				s.left++
			}
		}
		if s.left > 0 {
			occ.left++
		}
	}
	if occ.left == 0 {
		o.finish(j, occ)
	}
}

// raiseOccurrences makes the occurrences of all jobs that have become due.
func (o *Owner) raiseOccurrences(now Now) {
	for _, j := range o.order {
		if j.Repeats > 0 && j.nextOccurrence < j.Repeats {
			o.raise(now, j)
		}
	}
}

// raise makes the occurrences of a job that have become due.
func (o *Owner) raise(now Now, j *job) {
	for j.nextOccurrence < j.Occurrences() && !j.state.Terminal() && j.DueAt(j.nextOccurrence) <= now.Wall {
		number := j.nextOccurrence
		j.nextOccurrence++
		if !slices.Contains(j.finished, number) {
			o.occurrence(now, j, number)
		}
	}
}

// finish notes that all tasks of an occurrence are done.
func (o *Owner) finish(j *job, occ *occurrence) {
	j.occurrences = slices.DeleteFunc(j.occurrences, func(other *occurrence) bool { return other == occ })
	j.finished = append(j.finished, occ.number)
	if len(j.finished) == j.Occurrences() && !j.state.Terminal() {
		o.end(j, wigeonjob.StateCompleted)
	}
	o.touch(j)
}

// Cancel stops a job. It has no effect on a job that has ended.
func (o *Owner) Cancel(now Now, id wigeonstep.JobID) {
	j := o.jobs[id]
	if j == nil || j.state.Terminal() {
		return
	}
	j.cancelled = true
	o.stopAll(now, j)
	o.end(j, wigeonjob.StateCancelled)
}

// start notes that a task of a job starts.
func (o *Owner) start(j *job) {
	if j.state == wigeonjob.StatePending {
		j.state = wigeonjob.StateRunning
	}
	o.touch(j)
}

// end makes a state the last one of a job.
func (o *Owner) end(j *job, state wigeonjob.State) {
	j.state = state
	o.touch(j)
}

// stopAll marks every run of a job to be stopped, and resolves those whose start never left.
func (o *Owner) stopAll(now Now, j *job) {
	for _, occ := range slices.Clone(j.occurrences) {
		for _, s := range occ.steps {
			for _, t := range s.tasks {
				o.stopRuns(now, t)
			}
		}
	}
}

// stopRuns marks the runs of a task to be stopped.
func (o *Owner) stopRuns(now Now, t *task) {
	for _, r := range slices.Clone(t.runs) {
		if r.phase == runPlanned {
			o.resolve(now, r, wigeonstep.EndStopped, t.checkpoint)
			continue
		}
		r.stopping = true
	}
}

// resolve takes the end of a run over. The run is certainly not at work any more.
func (o *Owner) resolve(now Now, r *run, cause wigeonstep.EndCause, checkpoint wigeonstep.Checkpoint) {
	t := r.task
	s := t.step
	j := s.job
	o.detach(r)
	r.phase = runEnded
	if checkpoint != "" {
		t.checkpoint = checkpoint
	}
	o.touch(j)
	switch cause {
	case wigeonstep.EndDone:
		r.worker.trust.done()
		o.taskDone(now, t)
	case wigeonstep.EndFailed:
		o.taskFailed(now, r)
	}
}

// taskDone notes that a task is done; one end of a gang stands for all its members.
func (o *Owner) taskDone(now Now, t *task) {
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
		s.left--
		if s.Gang {
			o.loseMembers(now, member)
		} else {
			o.stopRuns(now, member)
		}
	}
	if s.left == 0 {
		s.occurrence.left--
		if s.occurrence.left == 0 {
			o.finish(s.job, s.occurrence)
		}
	}
}

// loseMembers resolves the runs of a gang's member whose gang has ended as a whole.
func (o *Owner) loseMembers(now Now, t *task) {
	for _, r := range slices.Clone(t.runs) {
		o.resolve(now, r, wigeonstep.EndStopped, "")
	}
}

func (o *Owner) taskFailed(now Now, r *run) {
	t := r.task
	s := t.step
	if r.worker.trust.fail(now.Steady) {
		o.noteWorker("worker_suspect", r.worker, "everything that started there failed")
	}
	t.avoid = r.worker.ID
	t.retryAt = now.Steady + failedTaskPause
	counted := t
	if s.Gang {
		counted = s.tasks[0]
	}
	counted.failures++
	if s.LongRunning || t.done {
		return
	}
	if counted.failures >= max(s.job.Policy.Attempts, 1) && !s.job.state.Terminal() {
		o.note("job_failed", r, "a task failed as often as its queue allows", 0)
		o.stopAll(now, s.job)
		o.end(s.job, wigeonjob.StateFailed)
	}
}
