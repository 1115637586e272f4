package wigeonshard

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// roomHold is room on a worker that is kept for one task, so that no other task takes it: a long-running task, or a finite one of a
// team below its fair share. The task has no run, or only runs that are being stopped or have to leave their worker.
type roomHold struct {
	task   *task
	worker *worker
	// granted is set once the room is free and the old run of the task may be stopped. Granted holds and runs together never
	// exceed the capacity of a worker; other holds may, until finite runs have ended.
	granted bool
	// since is the time from which the room is kept.
	since time.Duration
	// counted is set while the hold keeps the part of the team's limit that the stopped run of its task had.
	counted bool
}

// heldRoom holds the room that is kept on a worker. The zero value keeps none.
type heldRoom struct {
	holds []*roomHold
	// total is the sum of the room of all holds.
	total wigeonstep.Resources
}

func (h *heldRoom) add(hold *roomHold) {
	h.holds = append(h.holds, hold)
	h.total = h.total.Add(hold.task.step.Reserved())
}

func (h *heldRoom) remove(hold *roomHold) {
	i := slices.Index(h.holds, hold)
	h.holds = slices.Delete(h.holds, i, i+1)
	h.total = h.total.Sub(hold.task.step.Reserved())
}

// count returns the number of holds for tasks of the step.
func (h *heldRoom) count(s *step) int {
	n := 0
	for _, hold := range h.holds {
		if hold.task.step == s {
			n++
		}
	}
	return n
}

// maxHoldTime is the longest time for which room that is not free is kept, or a worker for a suspected task. Nothing is kept on that worker
// for as long afterwards, so that what never ends on it, and what waits for its room, doesn't keep others out for good.
const maxHoldTime = 6 * time.Second

// holdRoom keeps room on the worker for the task, in place of an earlier hold of the task.
func (o *Owner) holdRoom(t *task, w *worker, granted bool) {
	dropHold(t)
	t.hold = &roomHold{task: t, worker: w, granted: granted, since: o.lastPlacement}
	w.held.add(t.hold)
}

// dropHold gives up the room that is kept for the task, if any.
func dropHold(t *task) {
	if t.hold == nil {
		return
	}
	t.hold.worker.held.remove(t.hold)
	if t.hold.counted {
		t.step.job.team.use = t.step.job.team.use.Sub(t.step.Required)
	}
	t.hold = nil
}

// roomFree reports whether the room of the hold is free, besides the room that was granted to other tasks.
func (h *roomHold) roomFree() bool {
	free := h.worker.Capacity.Sub(h.worker.used)
	for _, other := range h.worker.held.holds {
		if other != h && other.granted {
			free = free.Sub(other.task.step.Reserved())
		}
	}
	return free.Covers(h.task.step.Reserved())
}

// needed reports whether the task still waits or has to leave its worker, the limit of its team lets it start, and the worker of the
// hold is in the pool and can have the room.
func (h *roomHold) needed(pool []*worker) bool {
	if !slices.Contains(pool, h.worker) || !h.possible() || h.task.done || h.task.givenUp || h.task.step.job.state.Terminal() {
		return false
	}
	if len(h.task.runs) == 0 && !h.counted && !h.task.step.limitAllows() {
		return false
	}
	return !slices.ContainsFunc(h.task.runs, func(r *run) bool { return !r.stopping && !r.worker.leaving() })
}

// movesLater reports whether the hold is for a run that has not been stopped yet.
func (h *roomHold) movesLater() bool {
	return !h.granted && len(h.task.runs) > 0
}

// dropUnneededHolds gives up the holds that are not needed any more, and those that have waited for too long. In the services in waiting
// it also gives up those for runs that are not stopped yet, because tasks without a run come first.
func (o *Owner) dropUnneededHolds(now Timestamp, pool []*worker, waiting map[wigeonstep.ServiceName]bool) {
	for _, w := range o.sortedWorkers {
		for _, h := range slices.Clone(w.held.holds) {
			expired := !h.granted && now.Steady-h.since > maxHoldTime
			if expired {
				w.keepNothingUntil = now.Steady + maxHoldTime
			}
			if expired || !h.needed(pool) || h.movesLater() && waiting[w.Service] {
				dropHold(h.task)
			}
		}
	}
}

// servicesWithWaitingTasks returns the services with a long-running task that can be placed now and has neither a run nor
// room kept for it.
func servicesWithWaitingTasks(now Timestamp, longRunning []candidate) map[wigeonstep.ServiceName]bool {
	services := map[wigeonstep.ServiceName]bool{}
	for _, c := range longRunning {
		if c.step.hasTaskWithoutRoom(now.Steady) {
			services[c.step.job.Service] = true
		}
	}
	return services
}

// hasHold reports whether room is kept for a task of the step.
func (s *step) hasHold() bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return t.hold != nil })
}

func (s *step) hasTaskWithoutRoom(now time.Duration) bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return t.needsRoom(now) })
}

// needsRoom reports whether the task has no run, can be placed now and has no room kept for it.
func (t *task) needsRoom(now time.Duration) bool {
	return !t.done && !t.givenUp && len(t.runs) == 0 && t.hold == nil && now >= t.retryAt && !t.suspected()
}

// placeHeldTasks plans runs for the waiting tasks of a step whose kept room is free, and returns their number.
func (o *Owner) placeHeldTasks(now Timestamp, s *step, pool []*worker) int {
	planned := 0
	for _, t := range s.tasks {
		if t.hold == nil || !t.needsRun() || now.Steady < t.retryAt || t.suspected() {
			continue
		}
		if w := t.hold.worker; slices.Contains(pool, w) && w.isolation == nil && s.maySendOrdersTo(w) && t.hold.roomFree() && (t.hold.counted || s.withinLimit()) {
			o.planRun(t, w, t.lastRun+1)
			planned++
		}
	}
	return planned
}

// holdForWaitingTasks keeps room for the long-running tasks that fit on no worker now, each on the worker where finite runs
// are expected to leave enough room first. Without it smaller finite tasks take each piece of room that becomes free.
func (o *Owner) holdForWaitingTasks(now Timestamp, longRunning []candidate, pool []*worker) {
	for _, c := range longRunning {
		s := c.step
		if s.Gang || !s.hasTaskWithoutRoom(now.Steady) || !s.limitAllows() {
			continue
		}
		eligible := o.eligibleWorkers(now, s, pool)
		held := o.uncountedHolds(s)
		for _, t := range s.tasks {
			if !t.needsRoom(now.Steady) {
				continue
			}
			// Kept room is no use of the team, so the limit has to allow all tasks with kept room together.
			if !s.limitAllowsBesides(held) {
				break
			}
			w := s.soonestWorker(now.Steady, t, eligible)
			if w == nil {
				break
			}
			o.holdRoom(t, w, false)
			held = held.Add(s.Required)
		}
	}
}

// mayBeKept reports whether room on the worker may be kept that is not free, or the worker for a suspected task.
func (w *worker) mayBeKept(now time.Duration) bool { return now >= w.keepNothingUntil }

// soonestWorker returns the worker of the pool on which finite runs are expected to leave room for the task first, or nil
// when the long-running runs and the kept room leave too little on each, or it would take longer than maxHoldTime.
func (s *step) soonestWorker(now time.Duration, t *task, pool []*worker) *worker {
	var best *worker
	var bestWait time.Duration
	for _, w := range pool {
		if !w.mayBeKept(now) || w.Service != s.job.Service || t.runsOn(w) || !s.maySendOrdersTo(w) || s.MaxPerWorker > 0 && w.countTasks(s) >= s.MaxPerWorker {
			continue
		}
		wait, ok := w.timeUntilRoom(now, s.Reserved())
		if ok && wait <= maxHoldTime && (best == nil || wait < bestWait) {
			best, bestWait = w, wait
		}
	}
	return best
}

// timeUntilRoom returns the expected time until enough finite and stopping runs have ended for a request; ok is false when
// the room would not suffice after the end of all of them.
func (w *worker) timeUntilRoom(now time.Duration, request wigeonstep.Resources) (wait time.Duration, ok bool) {
	free := w.free()
	if free.Covers(request) {
		return 0, true
	}
	atMost := free
	for _, r := range w.runs {
		if !r.task.step.LongRunning || r.stopping {
			atMost = atMost.Add(r.task.step.Reserved())
		}
	}
	if !atMost.Covers(request) {
		return 0, false
	}
	// Few workers have more runs, so that nothing is allocated for most.
	var few [32]*run
	ending := few[:0]
	for _, r := range w.runs {
		if !r.task.step.LongRunning || r.stopping {
			ending = append(ending, r)
		}
	}
	slices.SortStableFunc(ending, func(a, b *run) int { return cmp.Compare(a.remaining(now), b.remaining(now)) })
	for _, r := range ending {
		free = free.Add(r.task.step.Reserved())
		if free.Covers(request) {
			return r.remaining(now), true
		}
	}
	return 0, false
}

// remaining returns the time until the end of a finite or stopping run by its estimate.
func (r *run) remaining(now time.Duration) time.Duration {
	switch {
	case r.stopping:
		return 0
	case r.phase == runAccepted:
		return max(r.task.step.Estimate-(now-r.startSentAt), 0)
	}
	return r.task.step.Estimate
}
