package wigeonshard

import (
	"maps"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// maxFinishWait is how long finite work on a worker that has to be emptied may go on before what saves its progress is
// stopped.
const maxFinishWait = 2500 * time.Millisecond

// empty moves work away from workers that drain or are cordoned, and releases cordoned ones that are empty.
func (o *Owner) empty(now Now) {
	for _, w := range o.roster {
		switch {
		case w.cordoned != "":
			o.emptyCordoned(now, w)
		case w.Draining:
			o.emptyDraining(w)
		}
	}
}

func (o *Owner) emptyCordoned(now Now, w *worker) {
	if len(w.runs) == 0 && w.unexpected == 0 && w.known && !w.released {
		w.released = true
		o.releases = append(o.releases, wigeonjob.Release{Worker: w.ID, VM: w.cordoned, Epoch: o.fence})
		o.noteWorker("worker_released", w, "it is empty for the upkeep of its VM")
		return
	}
	for _, r := range w.runs {
		if r.stopping || r.phase != runTaken {
			continue
		}
		s := r.task.step
		switch {
		case s.LongRunning:
			if s.mayStop(r) && o.roomElsewhere(r) {
				o.note("run_moved", r, "its VM is due for upkeep", 0)
				r.stopping = true
			}
		case s.SavesProgress && now.Steady-r.began > maxFinishWait && r.task.checkpoint != "":
			o.note("run_moved", r, "its VM is due for upkeep and its progress is saved", 0)
			r.stopping = true
		}
	}
}

const (
	// releaseLife is how long the release of a worker is kept after the worker has gone. Its VM goes down within seconds of
	// the release.
	releaseLife = 2 * time.Minute
	// sweepInterval is the pause between two looks through the releases.
	sweepInterval = 10 * time.Second
)

// sweepReleases removes from the log the releases of workers that have gone for good. Every move of a VM leaves one.
func (o *Owner) sweepReleases(now Now) {
	if now.Steady-o.swept < sweepInterval {
		return
	}
	o.swept = now.Steady
	for _, id := range slices.Sorted(maps.Keys(o.released)) {
		since, gone := o.absent[id]
		switch {
		case o.workers[id] != nil:
			delete(o.absent, id)
		case !gone:
			o.absent[id] = now.Steady
		case now.Steady-since >= releaseLife:
			delete(o.absent, id)
			delete(o.released, id)
			o.unreleases = append(o.unreleases, id)
		}
	}
}

// emptyDraining restarts long-running tasks elsewhere while their worker still runs.
func (o *Owner) emptyDraining(w *worker) {
	for _, r := range w.runs {
		s := r.task.step
		if s.LongRunning && !r.stopping && r.phase == runTaken && s.mayStop(r) && o.roomElsewhere(r) {
			o.note("run_moved", r, "its worker drains", 0)
			r.stopping = true
		}
	}
}

// mayStop reports whether a run may end without more tasks of its step being away than allowed.
func (s *step) mayStop(stopped *run) bool {
	away := 0
	for _, t := range s.tasks {
		if t == stopped.task {
			continue
		}
		working := false
		for _, r := range t.runs {
			working = working || r.atWork()
		}
		if !working {
			away++
		}
	}
	return away < max(s.MaxUnavailable, 1)
}

// roomElsewhere reports whether another worker can take the task of the run.
func (o *Owner) roomElsewhere(r *run) bool {
	return o.roomFor(r.task.step, r.worker)
}

// roomFor reports whether a worker other than the given one can take a task of the step.
func (o *Owner) roomFor(s *step, except *worker) bool {
	for _, w := range o.roster {
		if w == except || !w.usable() || w.Service != s.job.Service || !w.free().Holds(s.Room()) {
			continue
		}
		if s.RequiredLabel != "" && !w.hasLabel(s.RequiredLabel) {
			continue
		}
		if s.MaxPerWorker == 0 || w.countOf(s) < s.MaxPerWorker {
			return true
		}
	}
	return false
}
