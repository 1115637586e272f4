package wigeonshard

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

const (
	// maxIsolatedShare limits the workers of a service that are kept for suspected tasks at once to one in maxIsolatedShare, but
	// allows at least one.
	maxIsolatedShare = 2
	// maxIsolation is the time after which a worker that is kept for a suspected task gets other runs again.
	maxIsolation = time.Second
	// maxIsolationWait is the time for which a task waits for a worker of its own if nothing points at it more than at others.
	maxIsolationWait = 2 * time.Second
	// maxGangIsolationWait is the time after which a suspected gang starts although some of its workers have young runs.
	maxGangIsolationWait = 2 * time.Second
	// survivalCheckInterval is the time between two requests for a report about an isolated run that may have outlived the
	// crashes under its task.
	survivalCheckInterval = 50 * time.Millisecond
)

// isolation keeps a worker for one suspected task: no other run starts there from the reservation of the worker until the run has
// ended, outlived the earlier crashes or lasted for maxIsolation. A crash in between is put down to the task.
type isolation struct {
	task   *task
	worker *worker
	// since is the time at which the worker was chosen.
	since time.Duration
	// run is nil until the run is planned.
	run *run
	// nextCheckAt is the earliest time of the next request for a report about the run.
	nextCheckAt time.Duration
}

// isolated reports whether the worker of the run is kept for it.
func (r *run) isolated() bool {
	return r.task.isolation != nil && r.task.isolation.run == r
}

// mustIsolate reports whether the task may only start isolated. A task that was merely lost together with others that may have
// crashed their worker as well starts like any other after maxIsolationWait: most of them are innocent, and a second crash tells
// more.
func (t *task) mustIsolate(now time.Duration) bool {
	h := t.counter().crashes
	return h.suspicious() && (t.isolation != nil || h.points() || now-t.waitingSince < maxIsolationWait)
}

// placeSuspects plans isolated runs for the suspected tasks of a step, or a run of a suspected gang, and returns their number.
func (o *Owner) placeSuspects(now Timestamp, s *step, pool []*worker) int {
	if s.Gang {
		return o.placeSuspectGang(now, s, pool)
	}
	planned := 0
	for _, t := range s.tasks {
		if t.mustIsolate(now.Steady) && t.needsRun() && now.Steady >= t.retryAt {
			planned += o.placeSuspect(now, t, pool)
		}
	}
	return planned
}

// placeSuspect plans an isolated run of a suspected task, and returns the number of planned runs. It first keeps a worker for the
// task, and waits until its youngest run is old enough.
func (o *Owner) placeSuspect(now Timestamp, t *task, pool []*worker) int {
	s := t.step
	if !s.limitAllows() {
		// The worker would be kept for a task that can't start.
		o.dropIsolation(t)
		// A task that has no worker must not ask for the limit, which would stay unused.
		if !s.refusedAlready() && o.mayIsolate(s) && s.chooseIsolated(now.Steady, t, o.eligibleWorkers(now, s, pool)) != nil {
			s.withinLimit()
		}
		return 0
	}
	if t.isolation == nil {
		if !o.mayIsolate(s) {
			return 0
		}
		w := s.chooseIsolated(now.Steady, t, o.eligibleWorkers(now, s, pool))
		if w == nil {
			return 0
		}
		t.isolation = &isolation{task: t, worker: w, since: now.Steady}
		w.isolation = t.isolation
		o.isolations = append(o.isolations, t.isolation)
	}
	i := t.isolation
	if i.run != nil || !i.worker.quiet(t.counter().crashes.quietAge()) || !i.worker.free().Covers(s.Reserved()) {
		return 0
	}
	o.planRun(t, i.worker, t.lastRun+1)
	i.run = t.runs[len(t.runs)-1]
	o.recordRunDecision("run_isolated", i.run, t.counter().crashes.String(), 0)
	return 1
}

// mayIsolate reports whether a worker may be kept for a task of the step: as long as no task of its job has been cleared, one is
// kept for the job at a time, and one more for each that has; and fewer than one in maxIsolatedShare of the workers of its service
// are kept in all.
func (o *Owner) mayIsolate(s *step) bool {
	kept, keptForJob, usable := 0, 0, 0
	for _, i := range o.isolations {
		if i.task.step.job == s.job {
			keptForJob++
		}
		if i.task.step.job.Service == s.job.Service {
			kept++
		}
	}
	if keptForJob > s.job.clearedTasks {
		return false
	}
	for _, w := range o.sortedWorkers {
		if w.Service == s.job.Service && w.usable() {
			usable++
		}
	}
	return kept < max(usable/maxIsolatedShare, 1)
}

// chooseIsolated returns the worker of the pool whose crash would do the least harm, of those that have room for the task now or
// once their finite runs have ended; nil if there is none.
func (s *step) chooseIsolated(now time.Duration, t *task, pool []*worker) *worker {
	type harm struct{ waits, unsettled, longRunning, runs int }
	var best *worker
	var least harm
	for _, w := range pool {
		if !w.mayBeKept(now) || w.Service != s.job.Service || w.isolation != nil || w.hasSuspect() || t.runsOn(w) || s.MaxPerWorker > 0 && w.countTasks(s) >= s.MaxPerWorker {
			continue
		}
		wait, ok := w.timeUntilRoom(now, s.Reserved())
		if !ok || wait > maxHoldTime {
			continue
		}
		h := harm{runs: len(w.runs)}
		if wait > 0 {
			h.waits = 1
		}
		for _, r := range w.runs {
			if r.phase != runAccepted {
				h.unsettled++
			}
			if r.task.step.LongRunning {
				h.longRunning++
			}
		}
		if best == nil || cmp.Or(cmp.Compare(h.waits, least.waits), cmp.Compare(h.unsettled, least.unsettled), cmp.Compare(h.longRunning, least.longRunning), cmp.Compare(h.runs, least.runs)) < 0 {
			best, least = w, h
		}
	}
	return best
}

// canHave reports whether the worker has room for a task of the step, now or once its finite runs have ended.
func (w *worker) canHave(s *step) bool {
	_, ok := w.timeUntilRoom(0, s.Reserved())
	return ok
}

// hasSuspect reports whether a run of a suspected task is on the worker.
func (w *worker) hasSuspect() bool {
	return slices.ContainsFunc(w.runs, func(r *run) bool { return r.task.suspected() })
}

// hasUnsettledRun reports whether a run on the worker is not known to have begun.
func (w *worker) hasUnsettledRun() bool {
	return slices.ContainsFunc(w.runs, func(r *run) bool { return r.phase != runAccepted })
}

// quiet reports whether each run on the worker was reported to run at the age.
func (w *worker) quiet(age time.Duration) bool {
	return !slices.ContainsFunc(w.runs, func(r *run) bool { return r.phase != runAccepted || w.seenAt-r.startKnownAt < age })
}

// dropIsolation gives back the worker that is kept for the task, if any.
func (o *Owner) dropIsolation(t *task) {
	if t.isolation == nil {
		return
	}
	o.isolations = slices.DeleteFunc(o.isolations, func(i *isolation) bool { return i == t.isolation })
	t.isolation.worker.isolation = nil
	t.isolation = nil
	o.placementDue = true
}

// needsReport reports whether a report of the worker may show that its runs have become old enough, or that the isolated run has
// outlived the crashes under its task.
func (i *isolation) needsReport(now time.Duration) bool {
	h := i.task.counter().crashes
	if i.run != nil {
		return i.run.phase == runAccepted && now-i.run.startKnownAt >= h.survivalAge()
	}
	return !i.worker.quiet(h.quietAge()) &&
		!slices.ContainsFunc(i.worker.runs, func(r *run) bool { return r.phase != runAccepted || now-r.startKnownAt < h.quietAge() })
}

// inheritIsolation keeps the worker of a run of a suspected task, which an earlier owner has isolated.
func (o *Owner) inheritIsolation(r *run) {
	if r.task.suspected() && !r.task.step.Gang && r.task.isolation == nil && r.worker.isolation == nil {
		r.task.isolation = &isolation{task: r.task, worker: r.worker, run: r}
		r.worker.isolation = r.task.isolation
		o.isolations = append(o.isolations, r.task.isolation)
	}
}

// checkIsolations gives back the workers that can't be used for their tasks any more, and asks for reports about the isolated
// runs that may have outlived the crashes under their tasks.
func (o *Owner) checkIsolations(now Timestamp) {
	for _, i := range slices.Clone(o.isolations) {
		t := i.task
		switch {
		case i.run == nil && (!i.worker.usable() || !i.worker.canHave(t.step) || !t.needsRun() || !t.suspected() || t.step.job.state.Terminal()),
			i.run == nil && now.Steady-i.since >= maxIsolation && i.worker.hasUnsettledRun():
			o.dropIsolation(t)
		case i.run == nil && now.Steady-i.since > maxHoldTime:
			i.worker.keepNothingUntil = now.Steady + maxHoldTime
			o.dropIsolation(t)
		case i.run != nil && i.run.phase == runAccepted && now.Steady-i.run.startKnownAt >= maxIsolation:
			o.dropIsolation(t)
		case now.Steady >= i.nextCheckAt && i.needsReport(now.Steady):
			i.worker.askAtOnce = true
			i.nextCheckAt = now.Steady + survivalCheckInterval
		}
	}
}

// placeSuspectGang plans the runs of a suspected gang on workers whose runs are old enough, so that a crash is put down to the
// gang. After maxGangIsolationWait it takes any workers.
func (o *Owner) placeSuspectGang(now Timestamp, s *step, pool []*worker) int {
	if now.Steady-s.tasks[0].waitingSince < maxGangIsolationWait {
		age := s.tasks[0].crashes.quietAge()
		pool = slices.DeleteFunc(slices.Clone(pool), func(w *worker) bool { return !w.quiet(age) })
	}
	planned := o.placeGang(s, o.eligibleWorkers(now, s, pool))
	if planned > 0 {
		o.out.Decisions = append(o.out.Decisions, Decision{
			Event: "run_isolated", Cause: s.tasks[0].crashes.String(), Run: wigeonstep.RunID{Task: s.tasks[0].id, Number: s.tasks[0].lastRun},
		})
	}
	return planned
}
