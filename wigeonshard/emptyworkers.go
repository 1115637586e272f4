package wigeonshard

import (
	"maps"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// minRunTimeBeforeMove is the run time after which a finite run with a checkpoint is stopped on a cordoned worker, to be
// resumed elsewhere. Younger runs, and runs without a checkpoint, may finish.
const minRunTimeBeforeMove = 2500 * time.Millisecond

// emptyInterval is the time between two searches for runs to move off draining and cordoned workers. Each compares these
// runs with all workers.
const emptyInterval = 40 * time.Millisecond

// takeoverSettleTime is the time after the start of the ownership in which no run is moved. A stop that the former owner sent
// takes up to 0.2 s, and its run counts as serving until its end is listed.
const takeoverSettleTime = 600 * time.Millisecond

// releaseWorkers releases the cordoned workers that have become idle.
func (o *Owner) releaseWorkers() {
	for _, w := range o.sortedWorkers {
		if w.cordoned != "" && len(w.runs) == 0 && w.unexpected == 0 && w.answered && !w.released {
			o.release(w)
		}
	}
}

// moveRuns moves runs off draining and cordoned workers, to workers of the pool. It does so every emptyInterval, and not
// within takeoverSettleTime after the start of the ownership.
func (o *Owner) moveRuns(now Timestamp, pool []*worker) {
	if now.Steady-o.ownedSince < takeoverSettleTime {
		return
	}
	for _, w := range o.sortedWorkers {
		if !w.leaving() {
			continue
		}
		for _, r := range w.runs {
			if !r.stopping && r.phase == runAccepted {
				o.moveRun(now, r, pool)
			}
		}
	}
}

// release decides that the worker gets no run any more. Its VM may go down once the release is durable.
func (o *Owner) release(w *worker) {
	w.released = true
	o.pendingReleases = append(o.pendingReleases, wigeonjob.Release{Worker: w.ID, VM: w.cordoned, Epoch: o.fence})
	o.recordWorkerDecision("worker_released", w, "it is cordoned and has no runs")
}

// moveRun stops a run on a draining or cordoned worker that can go on elsewhere. A long-running run is stopped only when room
// on another worker is free; the room is then kept for its task.
func (o *Owner) moveRun(now Timestamp, r *run, pool []*worker) {
	cause := "its worker is draining"
	if r.worker.cordoned != "" {
		cause = "its worker is cordoned"
	}
	s := r.task.step
	switch {
	case s.LongRunning:
		if s.mayStop(r) && o.findRoom(now, r.task, pool) {
			o.recordRunDecision("run_moved", r, cause+"; room is kept on "+string(r.task.hold.worker.ID), 0)
			r.stopping, r.worker.settled = true, false
		}
	case r.worker.cordoned != "" && s.SavesProgress && now.Steady-r.startSentAt > minRunTimeBeforeMove && r.task.checkpoint != "":
		o.recordRunDecision("run_moved", r, cause+" and its progress is saved", 0)
		r.stopping, r.worker.settled = true, false
	}
}

// findRoom keeps room for a long-running task that has to leave its worker, and reports whether the room is free. When no
// worker has enough free room, it is kept on the worker where finite runs are expected to leave it first, for at most
// MaxUnavailable tasks of the step at a time.
func (o *Owner) findRoom(now Timestamp, t *task, pool []*worker) bool {
	if t.hold != nil && t.hold.roomFree() {
		t.hold.granted = true
		return true
	}
	s := t.step
	pool = o.eligibleWorkers(now, s, pool)
	if w := s.chooseWorker(t, pool, s.Reserved()); w != nil {
		o.holdRoom(t, w, true)
		return true
	}
	if t.hold == nil && s.pendingMoves() < max(s.MaxUnavailable, 1) {
		if w := s.soonestWorker(now.Steady, t, pool); w != nil {
			o.holdRoom(t, w, false)
		}
	}
	return false
}

// pendingMoves counts the tasks of the step whose runs are not stopped until the room that is kept for them is free.
func (s *step) pendingMoves() int {
	n := 0
	for _, t := range s.tasks {
		if t.hold != nil && t.hold.movesLater() {
			n++
		}
	}
	return n
}

// releaseRetention is the time for which the release of a worker stays in the log after this owner first finds the worker
// absent. The VM is taken down within seconds of the release.
const releaseRetention = 2 * time.Minute

// removeOldReleases removes from the log the releases of workers that have been absent for releaseRetention. Without it the
// log would grow with every move of a VM, because each adds a release.
func (o *Owner) removeOldReleases(now Timestamp) {
	for _, id := range slices.Sorted(maps.Keys(o.released)) {
		since, unlisted := o.absentSince[id]
		switch {
		case o.workers[id] != nil:
			delete(o.absentSince, id)
		case !unlisted:
			o.absentSince[id] = now.Steady
		case now.Steady-since >= releaseRetention:
			delete(o.absentSince, id)
			delete(o.released, id)
			o.expiredReleases = append(o.expiredReleases, id)
		}
	}
}

// mayStop reports whether the run can be stopped without exceeding the MaxUnavailable of its step, which counts as 1 when
// it is 0.
func (s *step) mayStop(stopped *run) bool {
	unavailable := s.notInMemory()
	for _, t := range s.tasks {
		if t == stopped.task {
			continue
		}
		working := false
		for _, r := range t.runs {
			working = working || r.serving()
		}
		if !working {
			unavailable++
		}
	}
	return unavailable < max(s.MaxUnavailable, 1)
}

// claimOtherWorker reports whether a usable worker other than the run's own has room besides the room claimed before, the
// required label and fewer than MaxPerWorker tasks of the step, so that it can run the task. It then claims the room.
func (o *Owner) claimOtherWorker(r *run, claimed map[*worker]wigeonstep.Resources) bool {
	s := r.task.step
	for _, w := range o.sortedWorkers {
		if w == r.worker || !w.usable() || w.isolation != nil || w.Service != s.job.Service || !w.free().Sub(claimed[w]).Covers(s.Reserved()) {
			continue
		}
		if s.RequiredLabel != "" && !w.hasLabel(s.RequiredLabel) {
			continue
		}
		if s.MaxPerWorker == 0 || w.countTasks(s) < s.MaxPerWorker {
			claimed[w] = claimed[w].Add(s.Reserved())
			return true
		}
	}
	return false
}
