package wigeonshard

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

const (
	// promptCrashAge is the age up to which a run counts as a likely cause of the crash of its worker.
	promptCrashAge = time.Second
	// suspectAgeFactor and suspectAgeMargin bound the age of the likely causes of a crash from the age of the youngest run.
	suspectAgeFactor = 2
	suspectAgeMargin = 50 * time.Millisecond
	// maxStepGap is the time since the last step after which an owner may have been paused.
	maxStepGap = 250 * time.Millisecond
	// commonLossWindow is the time within which commonLossWorkers of a service have to be lost for their losses to have a common
	// cause, such as the power of a rack, and not one in their runs.
	commonLossWindow  = 100 * time.Millisecond
	commonLossWorkers = 3
	// lossRetention is the time for which a loss is kept to find others with the same cause. It is decided within seconds whether a
	// lost worker has crashed.
	lossRetention = 10 * time.Second
)

// serviceLoss is the loss of a worker of a service.
type serviceLoss struct {
	service   wigeonstep.ServiceName
	worker    wigeonstep.WorkerID
	noticedAt time.Duration
}

// workerLoss is what an owner knows of the moment at which a worker stopped answering. The zero value is a worker that answers.
type workerLoss struct {
	// noticedAt is the time of the first heartbeat without an answer since the worker last answered.
	noticedAt time.Duration
	// prompt is set if the loss was noticed soon: the worker closed its connection, and this process was not paused.
	prompt bool
	// up is set while the VM list shows the worker on its VM, so that it may only be unreachable.
	up bool
}

// recordLoss stores the moment at which the worker was found not to answer.
func (o *Owner) recordLoss(now Timestamp, w *worker, connectionClosed bool) {
	w.loss = workerLoss{noticedAt: now.Steady, prompt: connectionClosed && now.Steady-o.lastStep < maxStepGap}
	o.recentLosses = slices.DeleteFunc(o.recentLosses, func(l serviceLoss) bool { return now.Steady-l.noticedAt > lossRetention })
	o.recentLosses = append(o.recentLosses, serviceLoss{service: w.Service, worker: w.ID, noticedAt: now.Steady})
}

// lostTogether returns the number of workers of the service that were lost at about the same time as the worker, which counts too.
func (o *Owner) lostTogether(w *worker) int {
	lost := map[wigeonstep.WorkerID]bool{w.ID: true}
	for _, l := range o.recentLosses {
		if l.service == w.Service && max(l.noticedAt, w.loss.noticedAt)-min(l.noticedAt, w.loss.noticedAt) <= commonLossWindow {
			lost[l.worker] = true
		}
	}
	return len(lost)
}

// processEnded counts the end of the worker's process against those of its runs that may have caused it. ended is set if the process
// has certainly ended.
func (o *Owner) processEnded(now Timestamp, w *worker, ended bool) {
	if ended || !w.loss.up {
		o.countCrash(now, w, w.sentRuns(), ended)
	}
}

// inheritedRunsEnded counts the end of a process of a worker that ended before this owner knew the worker against the runs of
// earlier owners that were planned before the present process was started and that it does not list.
func (o *Owner) inheritedRunsEnded(now Timestamp, w *worker, result wigeonstep.HeartbeatResult) {
	listed := listedRuns(result)
	lost := slices.DeleteFunc(w.sentRuns(), func(r *run) bool {
		return !r.inherited || r.plannedWall == 0 || r.plannedWall >= result.StartedAt || listed[r.id()]
	})
	o.countCrash(now, w, lost, true)
}

// sentRuns returns the runs of the worker whose starts may have been sent.
func (w *worker) sentRuns() []*run {
	return slices.DeleteFunc(slices.Clone(w.runs), (*run).unsent)
}

// countCrash counts the end of the worker's process against those of the lost runs that may have caused it. Nothing is counted for
// a worker that was about to leave, and no run is counted twice.
func (o *Owner) countCrash(now Timestamp, w *worker, lost []*run, ended bool) {
	lost = slices.DeleteFunc(lost, func(r *run) bool { return r.crashCounted })
	if w.Draining || w.released || len(lost) == 0 {
		return
	}
	suspects, sole := likelyCauses(w, lost)
	event := "worker_crashed"
	if !ended {
		event = "worker_given_up"
	}
	cause := fmt.Sprintf("%d of its runs may have crashed it", len(suspects))
	together := o.lostTogether(w)
	common := together >= commonLossWorkers && !slices.ContainsFunc(suspects, (*run).isolated)
	if common {
		cause = fmt.Sprintf("%d workers of its service were lost at once, so none of its runs has crashed it", together)
	}
	o.out.Decisions = append(o.out.Decisions, Decision{Event: event, Cause: cause, Worker: w.ID, Runs: len(lost), RunAge: w.youngestRunAge()})
	if common {
		o.countCommonLoss(now, w, lost, suspects, ended)
		return
	}
	var counted []*task
	for _, r := range lost {
		r.crashCounted = true
		likely := slices.Contains(suspects, r)
		t := r.task.counter()
		if !likely && (sole || !ended) || slices.Contains(counted, t) || t.done || t.crashes.has(r.number, w.ID) {
			continue
		}
		counted = append(counted, t)
		o.removeOutlived(r)
		crash := wigeonjob.WorkerCrash{Run: r.number, Worker: w.ID, RunAge: r.ageWhenLost(), Ended: ended, Likely: likely, Sole: sole}
		if likely {
			o.recordRunDecision("crash_suspected", r, "its worker crashed", 0)
		}
		o.setCrashes(t, append(slices.Clone(t.crashes), crash))
		o.crashedTasks[w.ID] = append(o.crashedTasks[w.ID], crashedTask{t.step, t.id.Index})
	}
	for _, t := range counted {
		o.judge(now, t)
	}
}

// removeOutlived removes the crashes that a lost run had outlived, which no report may have shown.
func (o *Owner) removeOutlived(r *run) {
	if t := r.task.counter(); r.begun() && !r.inherited {
		o.setCrashes(t, t.crashes.outlived(r.worker.seenAt-r.startKnownAt))
	}
}

// countCommonLoss counts the end of a worker's process, which was lost together with others, against its likely causes. The first
// such loss raises no suspicion. But tasks that crash their workers may do so together, time after time, so the next one does.
func (o *Owner) countCommonLoss(now Timestamp, w *worker, lost, suspects []*run, ended bool) {
	for _, r := range lost {
		r.crashCounted = true
		t := r.task.counter()
		if !slices.Contains(suspects, r) || t.done || t.crashes.has(r.number, w.ID) {
			continue
		}
		o.removeOutlived(r)
		first := !slices.ContainsFunc(t.crashes, func(c wigeonjob.WorkerCrash) bool { return c.Explained })
		crash := wigeonjob.WorkerCrash{Run: r.number, Worker: w.ID, RunAge: r.ageWhenLost(), Ended: ended, Likely: true, Explained: first}
		o.setCrashes(t, append(slices.Clone(t.crashes), crash))
		o.crashedTasks[w.ID] = append(o.crashedTasks[w.ID], crashedTask{t.step, t.id.Index})
		o.judge(now, t)
	}
}

// likelyCauses returns those of the lost runs that most likely crashed their worker; sole is set if they belong to one task or
// gang and are known to have begun. An isolated run is the only likely cause. Otherwise the likely causes are the youngest runs,
// those whose starts were not answered, and those of tasks that were suspected before. Of the runs that the worker never reported to
// this owner, they are those that were planned last: an earlier owner may have planned more after the crash.
func likelyCauses(w *worker, lost []*run) (likely []*run, sole bool) {
	// The worker was up when it last answered, and when it received the last start that it accepted.
	upAt, newestPlan := w.seenAt, time.Duration(math.MinInt64)
	for _, r := range lost {
		switch {
		case r.begun():
			upAt = max(upAt, r.startSentAt)
		case r.inherited:
			newestPlan = max(newestPlan, r.plannedAt)
		}
		if r.isolated() {
			return []*run{r}, true
		}
	}
	// The least age that a run may have had at the crash.
	age := func(r *run) time.Duration {
		if !r.begun() {
			return 0
		}
		return max(upAt-r.startKnownAt, 0)
	}
	youngest := age(lost[0])
	for _, r := range lost {
		youngest = min(youngest, age(r))
	}
	for _, r := range lost {
		plannedEarly := !r.begun() && r.inherited && newestPlan-r.plannedAt > promptCrashAge
		tooOld := w.loss.prompt && r.ageWhenLost() > promptCrashAge
		if r.task.suspected() || age(r) <= suspectAgeFactor*youngest+suspectAgeMargin && !plannedEarly && !tooOld {
			likely = append(likely, r)
		}
	}
	return likely, ofOneTask(likely) && !slices.ContainsFunc(likely, func(r *run) bool { return !r.begun() })
}

// ofOneTask reports whether there are runs and all belong to one task or gang.
func ofOneTask(runs []*run) bool {
	for _, r := range runs {
		if r.task.counter() != runs[0].task.counter() {
			return false
		}
	}
	return len(runs) > 0
}

// counter returns the task that counts failures and crashes: the first one of a gang, or the task itself.
func (t *task) counter() *task {
	if t.step.Gang {
		return t.step.tasks[0]
	}
	return t
}

// suspected reports whether the task should only run isolated.
func (t *task) suspected() bool {
	return t.counter().crashes.suspicious()
}

// crashedTask names a task with a crash history, whether or not it is in memory.
type crashedTask struct {
	step  *step
	index int
}

func (c crashedTask) id() wigeonstep.TaskID { return c.step.taskID(c.index) }

// closed returns the task if it is closed, or nil.
func (c crashedTask) closed() *closedTask {
	if found := c.step.closedBetween(c.index, c.index+1); len(found) > 0 {
		return &found[0]
	}
	return nil
}

// crashes returns the crash history of the task; none once its job doesn't need it any more.
func (c crashedTask) crashes() crashHistory {
	if t := c.step.task(c.index); t != nil {
		return t.crashes
	}
	if closed := c.closed(); closed != nil {
		return closed.crashes
	}
	return nil
}

// changeCrashes replaces the crash history of a task with one that is no more suspicious.
func (o *Owner) changeCrashes(c crashedTask, h crashHistory) {
	if t := c.step.task(c.index); t != nil {
		o.setCrashes(t, h)
		return
	}
	if closed := c.closed(); closed != nil {
		closed.crashes = h
		o.markProgressDirty(c.step, c.index)
	}
}

// setCrashes replaces the crash history of a task.
func (o *Owner) setCrashes(t *task, h crashHistory) {
	if t.crashes.suspicious() {
		t.step.suspects--
	}
	t.crashes = h
	if h.suspicious() {
		t.step.suspects++
	}
	o.markTaskDirty(t)
}

// judge gives the job up when its task has crashed enough workers, or the task alone in a long-running job. Otherwise it withdraws
// the runs of a suspected task that have not been sent, such as a copy, so that the task starts isolated.
func (o *Owner) judge(now Timestamp, t *task) {
	j := t.step.job
	switch {
	case j.state.Terminal() || t.done || t.givenUp:
	case t.evidence().conclusive():
		j.cause = fmt.Sprintf("task %s crashed its workers: %s", t.id.Path(), t.crashes)
		o.clearOthers(t)
		if j.LongRunning() {
			o.giveUpTask(now, t)
			return
		}
		o.recordJobDecision("job_given_up", j, j.cause, now.Steady-j.acceptedAt)
		o.stopJob(now, j)
		o.setFinalState(j, wigeonjob.StateFailed)
	case t.suspected():
		o.withdrawUnsent(now, t)
	}
}

// evidence returns the crashes that count towards giving the task up. The run of a long-running task that has served for a while
// is more likely the victim of a crash than its cause, and its task has to be restarted however its runs end.
func (t *task) evidence() crashHistory {
	if !t.step.LongRunning {
		return t.crashes
	}
	return slices.DeleteFunc(slices.Clone(t.crashes), func(c wigeonjob.WorkerCrash) bool { return c.RunAge > promptCrashAge })
}

// giveUpTask ends a task, or a gang, of a long-running job. The other tasks run on: they serve users, and may not all be stopped
// at once.
func (o *Owner) giveUpTask(now Timestamp, t *task) {
	members := []*task{t}
	if t.step.Gang {
		members = t.step.tasks
	}
	o.recordRunDecision("task_given_up", &run{task: t, number: t.lastRun}, t.step.job.cause, 0)
	for _, member := range members {
		member.givenUp = true
		o.dropIsolation(member)
		o.stopTask(now, member)
		o.markTaskDirty(member)
	}
	t.step.job.state = wigeonjob.StateDegraded
}

// clearOthers lifts the suspicion from the other tasks that were lost with the workers that the task has crashed.
func (o *Owner) clearOthers(culprit *task) {
	for _, c := range culprit.crashes {
		for _, other := range o.crashedTasks[c.Worker] {
			if other.step != culprit.step || other.index != culprit.id.Index {
				o.changeCrashes(other, other.crashes().explained(c.Worker))
			}
		}
	}
}

// withdrawUnsent ends the runs of a task, or of a gang, whose starts have not been sent.
func (o *Owner) withdrawUnsent(now Timestamp, t *task) {
	members := []*task{t}
	if t.step.Gang {
		members = t.step.tasks
	}
	for _, member := range members {
		o.setNeedsCopy(member, false)
		for _, r := range slices.Clone(member.runs) {
			if r.phase == runPlanned || r.phase == runDurable {
				o.endUnstartedRun(now, r)
			}
		}
	}
}

// confirmCrash records in the crash histories that name a worker that its process has certainly ended.
func (o *Owner) confirmCrash(now Timestamp, id wigeonstep.WorkerID) {
	for _, crashed := range o.crashedTasks[id] {
		h, changed := crashed.crashes().ended(id)
		if !changed {
			continue
		}
		if t := o.openTask(now, crashed.id()); t != nil {
			o.setCrashes(t, h)
			o.judge(now, t)
		}
	}
}

// disproveCrash removes a loss of a worker from the crash histories after its process has answered again.
func (o *Owner) disproveCrash(id wigeonstep.WorkerID) {
	for _, crashed := range o.crashedTasks[id] {
		before := crashed.crashes()
		if h := before.without(id); len(h) < len(before) {
			o.changeCrashes(crashed, h)
		}
	}
}

// removeSettledCrashes forgets the workers that no crash history names any more.
func (o *Owner) removeSettledCrashes() {
	maps.DeleteFunc(o.crashedTasks, func(id wigeonstep.WorkerID, tasks []crashedTask) bool {
		return !slices.ContainsFunc(tasks, func(t crashedTask) bool { return t.crashes().names(id) && !t.step.job.durableState.Terminal() })
	})
}

// checkSurvival removes the crashes that a run of the task, or each run of a gang, has outlived.
func (o *Owner) checkSurvival(r *run) {
	t := r.task.counter()
	if len(t.crashes) == 0 {
		return
	}
	members := []*task{r.task}
	if t.step.Gang {
		members = t.step.tasks
	}
	age := members[0].survivedAge()
	for _, member := range members {
		age = min(age, member.survivedAge())
	}
	rest := t.crashes.outlived(age)
	if len(rest) == len(t.crashes) {
		return
	}
	if t.suspected() && !rest.suspicious() {
		o.recordRunDecision("suspicion_cleared", r, "it has outlived the crashes under earlier runs", age)
		t.step.job.clearedTasks++
	}
	o.setCrashes(t, rest)
	if !rest.suspicious() {
		o.dropIsolation(r.task)
	}
}

// survivedAge returns the greatest age at which a run of the task was reported to run.
func (t *task) survivedAge() time.Duration {
	age := time.Duration(0)
	for _, r := range t.runs {
		if r.phase == runAccepted {
			age = max(age, r.worker.seenAt-r.startKnownAt)
		}
	}
	return age
}

// likelyCauses returns the runs that most likely crashed the worker if it has crashed.
func (w *worker) likelyCauses() []*run {
	sent := w.sentRuns()
	if len(sent) == 0 {
		return nil
	}
	likely, _ := likelyCauses(w, sent)
	return likely
}
