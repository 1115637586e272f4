package wigeonshard

import (
	"time"
)

const (
	// stallTime is how long a run may show no progress before it counts as standing still; progress comes in percent,
	// and a slow worker takes up to a third of a second for each.
	stallTime = 1200 * time.Millisecond
	// lastingStallTime is how long a long-running task that is not at work may show no progress.
	lastingStallTime = 2500 * time.Millisecond
	// watchWait is how long a hold waits at a worker with a run that takes longer than it should.
	watchWait = 400 * time.Millisecond
	// overdueFactor times its estimate is when a run takes longer than it should.
	overdueFactor = 1.3
	// slowShare is the share of the expected progress below which a worker is slow. Estimates are wrong by half.
	slowShare = 0.35
	// slowPause is how long a slow worker gets no work.
	slowPause = 2 * time.Second
	// slowSample is the expected progress, in whole runs, from which a worker's speed is judged.
	slowSample = 0.8
	// minElapsed is the age from which a run counts for the speed of its worker.
	minElapsed = 300 * time.Millisecond
)

// watch judges a worker by the progress of its runs, and ends runs that stand still.
func (o *Owner) watch(now Now, w *worker) {
	expected, actual := 0.0, 0.0
	for _, r := range w.runs {
		if r.phase != runTaken || r.stopping {
			continue
		}
		s := r.task.step
		if r.stalled(now.Steady) && !s.Gang {
			o.note("run_stopped", r, "it shows no progress", now.Steady-r.moved)
			r.stopping = true
			r.task.avoid = w.ID
			w.trust.until = max(w.trust.until, now.Steady+suspicionSpan)
			continue
		}
		elapsed := now.Steady - r.began
		if s.LongRunning || s.Gang || elapsed < minElapsed || s.Estimate <= 0 {
			continue
		}
		expected += min(float64(elapsed)/float64(s.Estimate), 1)
		actual += float64(r.percent) / fullPace
	}
	if expected < slowSample || actual >= slowShare*expected {
		return
	}
	if !w.trust.suspect(now.Steady) {
		o.noteWorker("worker_suspect", w, "its runs make little progress")
	}
	w.trust.until = max(w.trust.until, now.Steady+slowPause)
	o.leaveSlow(now, w)
}

// stalled reports whether the run shows no progress for longer than it may.
func (r *run) stalled(now time.Duration) bool {
	if r.task.step.LongRunning {
		return r.percent < fullPace && now-r.moved > lastingStallTime
	}
	return r.percent < fullPace && now-r.moved > stallTime && r.seen-r.moved > stallTime
}

// leaveSlow lets the runs of a slow worker go on elsewhere where that costs little: those that save their progress, and
// those of which a copy may run.
func (o *Owner) leaveSlow(now Now, w *worker) {
	for _, r := range w.runs {
		s := r.task.step
		if r.stopping || r.phase != runTaken || s.LongRunning || r.percent > slowKeepPercent {
			continue
		}
		switch {
		case s.SavesProgress && r.task.checkpoint != "" && o.roomElsewhere(r):
			o.note("run_moved", r, "its worker is slow and its progress is saved", now.Steady-r.began)
			r.stopping = true
			r.task.avoid = w.ID
		case s.Speculative && len(r.task.runs) == 1 && o.roomElsewhere(r):
			r.task.avoid = w.ID
			r.task.copyWanted = true
		}
	}
}

// slowKeepPercent is the progress above which a run ends soonest where it is.
const slowKeepPercent = 70

// holdWaitFor returns how long a worker may wait before it answers.
func (o *Owner) holdWaitFor(now Now, w *worker) time.Duration {
	for _, r := range w.runs {
		s := r.task.step
		if s.LongRunning {
			if r.percent < fullPace && now.Steady-r.began > stallTime {
				return watchWait
			}
			continue
		}
		if float64(now.Steady-r.began) > overdueFactor*float64(s.Estimate) {
			return watchWait
		}
	}
	return o.settings.HoldWait
}
