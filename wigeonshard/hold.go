package wigeonshard

import (
	"errors"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// hold asks every worker that is due what runs there, and renews its lease.
func (o *Owner) hold(now Now) {
	if !o.sure(now) {
		return
	}
	for _, w := range o.roster {
		if w.holding || now.Steady < w.nextHold || w.Address == "" {
			continue
		}
		unwritten := w.seen > w.durable
		if unwritten && now.Steady-w.renewed < maxRenewalPause {
			continue
		}
		order := wigeonstep.HoldOrder{Fence: o.fence, LastSeen: w.durable, Wait: o.holdWaitFor(now, w)}
		if unwritten || !w.known || w.failures > 0 {
			order.Wait = 0
		}
		if w.failures > 0 {
			// The next life of the worker counts its ends anew; it must not forget any by a number of this one.
			order.LastSeen = 0
		}
		// A worker that does not answer gets no renewal: it may receive this hold all the same, and its lease must end
		// some time, so that its tasks can start elsewhere. Nor does one whose lapse the log holds.
		if w.clock != 0 && w.failures == 0 && o.noted && !w.noted {
			order.Until = w.lease(now.Steady, o.settings.Lease)
		}
		w.holding, w.holdSent, w.renewed = true, now.Steady, now.Steady
		o.out.Holds = append(o.out.Holds, Hold{Worker: w.ref(), Order: order})
	}
}

// Held takes the answer to a hold over.
func (o *Owner) Held(now Now, id wigeonstep.WorkerID, result wigeonstep.HoldResult, err error) {
	w := o.workers[id]
	if errors.Is(err, wigeonstep.ErrFenced) {
		o.deposed = true
		return
	}
	if w == nil || !w.holding {
		return
	}
	w.holding = false
	switch {
	case errors.Is(err, wigeonstep.ErrWorkerGone):
		o.gone(now, w)
		return
	case err != nil:
		if w.failures == 0 {
			o.noteWorker("worker_lost", w, err.Error())
		}
		w.failures++
		if w.lapse == 0 {
			w.lapse = w.lapseAt(now)
			o.renote = o.renote || len(w.runs) > 0
		}
		for _, r := range w.runs {
			if r.task.step.Speculative && len(r.task.runs) == 1 {
				r.task.copyWanted = true
			}
		}
		w.nextHold = now.Steady + min(startRetryDelay<<min(w.failures, 4), maxHoldRetryDelay)
		return
	}
	if result.Born != 0 && w.Born != 0 && result.Born != w.Born {
		o.reborn(now, w, func(r *run) bool { return lists(result, r.id()) })
	}
	w.Born = result.Born
	if w.failures > 0 && w.known {
		o.noteWorker("worker_regained", w, "it answers again")
	}
	w.failures = 0
	w.lapse = 0
	o.renote = o.renote || w.noted
	w.readClock(result.Clock, now.Steady)
	for _, row := range result.Skipped {
		o.noteWorker("row_skipped", w, row)
	}
	o.takeEnds(now, w, result.Ended)
	o.takeRunning(now, w, result.Running)
	if !w.known {
		w.known = true
		o.changed = true
		w.nextHold = now.Steady
		// An earlier owner may have given a lease until just before this answer.
		w.until = max(w.until, w.clock+wigeonstep.WorkerMillis(o.settings.Lease.Milliseconds()))
	} else {
		w.nextHold = now.Steady + o.settings.HoldGap
	}
	o.pace(now, w)
	o.watch(now, w)
}

// lists reports whether the answer lists the run as running or ended.
func lists(result wigeonstep.HoldResult, id wigeonstep.RunID) bool {
	return slices.ContainsFunc(result.Running, func(e wigeonstep.RunningRun) bool { return e.Run == id }) ||
		slices.ContainsFunc(result.Ended, func(e wigeonstep.EndedRun) bool { return e.Run == id })
}

func (o *Owner) takeEnds(now Now, w *worker, ended []wigeonstep.EndedRun) {
	for _, e := range ended {
		if e.Number <= w.seen {
			continue
		}
		w.seen = e.Number
		if r := w.find(e.Run); r != nil {
			o.noteEnd(now, r, e)
			o.resolve(now, r, e.Cause, e.Checkpoint)
			continue
		}
		if t := o.task(e.Run.Task); t != nil && !t.done && e.Cause == wigeonstep.EndDone {
			o.taskDone(now, t)
			o.touch(t.step.job)
		}
	}
}

func (o *Owner) noteEnd(now Now, r *run, e wigeonstep.EndedRun) {
	if e.Cause == wigeonstep.EndDone {
		return
	}
	o.note("run_ended", r, endNames[e.Cause], now.Steady-r.began)
}

var endNames = map[wigeonstep.EndCause]string{
	wigeonstep.EndFailed:  "failed",
	wigeonstep.EndStopped: "stopped",
	wigeonstep.EndLapsed:  "lapsed",
	wigeonstep.EndBroken:  "broken",
	wigeonstep.EndAlone:   "alone",
}

// task returns a task of a job that has not ended, or nil.
func (o *Owner) task(id wigeonstep.TaskID) *task {
	j := o.jobs[id.Job]
	if j == nil || j.state.Terminal() {
		return nil
	}
	for _, occ := range j.occurrences {
		if occ.number == id.Occurrence && id.Step < len(occ.steps) && id.Index < len(occ.steps[id.Step].tasks) {
			return occ.steps[id.Step].tasks[id.Index]
		}
	}
	return nil
}

// takeRunning compares what the worker lists with what should run there.
func (o *Owner) takeRunning(now Now, w *worker, running []wigeonstep.RunningRun) {
	listed := make(map[*run]bool, len(running))
	w.unexpected = 0
	for _, entry := range running {
		r := w.find(entry.Run)
		if r == nil {
			w.unexpected++
			o.out.Stops = append(o.out.Stops, Stop{Worker: w.ref(), Run: entry.Run})
			continue
		}
		listed[r] = true
		o.takeFigures(now, r, entry)
	}
	for _, r := range append([]*run(nil), w.runs...) {
		if listed[r] || r.phase == runPlanned || r.phase == runWriting || r.phase == runStarting {
			continue
		}
		// A hold that was sent after the run was settled, or the first one with this fence, proves that it is not there.
		if r.settled >= 0 && w.holdSent > r.settled {
			o.note("run_lost", r, "the worker does not list it", now.Steady-r.began)
			o.resolve(now, r, wigeonstep.EndLapsed, r.task.checkpoint)
		}
	}
}

func (o *Owner) takeFigures(now Now, r *run, entry wigeonstep.RunningRun) {
	if r.phase == runUnknown || r.phase == runStarting {
		r.phase = runTaken
		r.settled = now.Steady
		r.startTry = 0
	}
	if entry.Checkpoint != "" {
		r.task.checkpoint = entry.Checkpoint
	}
	if entry.Percent > r.percent {
		r.moved = now.Steady
	}
	r.percent, r.tail, r.cpu, r.seen = entry.Percent, entry.Tail, entry.CPU, now.Steady
}

const (
	// paceDownShare and paceUpShare are the shares of a target above which best-effort work is slowed down, and below which
	// it may speed up again.
	paceDownShare = 0.75
	paceUpShare   = 0.5
	// paceDownPause and paceUpPause leave the worker's figures, which cover half a second, time to show the last change.
	paceDownPause = 500 * time.Millisecond
	paceUpPause   = 900 * time.Millisecond
	// paceStep is how many percent a run gains at a time.
	paceStep = 15
	fullPace = 100
)

// pace slows the best-effort tasks while a task beside them is near its target, and lets them speed up again after that.
func (o *Owner) pace(now Now, w *worker) {
	if w.bestEffort == 0 {
		return
	}
	worst := 0.0
	for _, r := range w.runs {
		if target := r.task.step.Target; target > 0 && r.atWork() && !r.task.step.BestEffort {
			worst = max(worst, float64(r.tail)/float64(target))
		}
	}
	switch {
	case worst > paceDownShare && now.Steady-w.paced >= paceDownPause:
		o.repace(now, w, func(p int) int { return p / 2 })
	case worst < paceUpShare && now.Steady-w.paced >= paceUpPause:
		o.repace(now, w, func(p int) int { return min(p+paceStep, fullPace) })
	}
}

func (o *Owner) repace(now Now, w *worker, change func(int) int) {
	w.paced = now.Steady
	for _, r := range w.runs {
		if r.task.step.BestEffort {
			r.pace = change(r.pace)
		}
	}
}

// Paced takes the answer to a pace over.
func (o *Owner) Paced(worker wigeonstep.WorkerID, id wigeonstep.RunID, err error) {
	if errors.Is(err, wigeonstep.ErrFenced) {
		o.deposed = true
		return
	}
	w := o.workers[worker]
	if w == nil || err == nil {
		return
	}
	if r := w.find(id); r != nil {
		r.paceSent = -1
	}
}
