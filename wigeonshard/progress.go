package wigeonshard

import (
	"time"

	"github.com/wigeonstep/wigeonstep"
)

const (
	// stallTime is the time without progress after which a finite run counts as stalled. Progress is reported in whole
	// percent, and a slow worker takes up to a third of a second for each.
	stallTime = 1200 * time.Millisecond
	// percentStallFactor is the number of whole percent that a finite run may take by its estimate before it counts as stalled.
	percentStallFactor = 3
	// maxPercentStallTime bounds that time.
	maxPercentStallTime = time.Minute
	// maxStallDoublings bounds the growth of a task's stall time with each further run of it that was stopped as stalled: its estimate
	// may be far too low.
	maxStallDoublings = 8
	// longRunningStallTime is the time without progress after which a long-running run that is not ready counts as stalled.
	longRunningStallTime = 2500 * time.Millisecond
	// progressHeartbeatWait is the wait of a heartbeat at a worker with a run that takes longer than it should. It is
	// shorter than Settings.HeartbeatWait, so that the progress of the run is known sooner.
	progressHeartbeatWait = 400 * time.Millisecond
	// overdueFactor is the multiple of its estimate after which a run takes longer than it should.
	overdueFactor = 1.3
	// slowProgressShare is the share of the expected progress below which a worker counts as slow. It is far below 1, because
	// the estimates of run times are wrong by half.
	slowProgressShare = 0.35
	// slowPause is the time for which a slow worker gets no new runs.
	slowPause = 2 * time.Second
	// minExpectedRuns is the minimum expected progress, in complete runs, for a judgement of a worker's speed.
	minExpectedRuns = 0.8
	// minRunAge is the minimum age of a run that counts for the speed of its worker.
	minRunAge = 300 * time.Millisecond
)

// checkProgress stops the stalled runs on a worker. It also pauses new runs there after a stalled run, or when the worker's
// finite runs together progress too slowly.
func (o *Owner) checkProgress(now Timestamp, w *worker) {
	expected, actual := 0.0, 0.0
	for _, r := range w.runs {
		if r.phase != runAccepted || r.stopping {
			continue
		}
		s := r.task.step
		if r.stalled(now.Steady) && !s.Gang {
			o.recordRunDecision("run_stopped", r, "it shows no progress", now.Steady-r.progressedAt)
			r.stopping, w.settled = true, false
			r.task.stalledRuns++
			r.task.avoidWorker = w.ID
			w.backoff.until = max(w.backoff.until, now.Steady+suspectDuration)
			continue
		}
		elapsed := now.Steady - r.startSentAt
		if s.LongRunning || s.Gang || elapsed < minRunAge || s.Estimate <= 0 {
			continue
		}
		expected += min(float64(elapsed)/float64(s.Estimate), 1)
		actual += float64(r.progressPercent) / fullSpeed
	}
	if expected < minExpectedRuns || actual >= slowProgressShare*expected {
		return
	}
	if !w.backoff.active(now.Steady) {
		o.recordWorkerDecision("worker_suspect", w, "its runs make little progress")
	}
	w.backoff.until = max(w.backoff.until, now.Steady+slowPause)
	o.relocateFromSlowWorker(now, w)
}

// stalled reports whether the run has shown no progress for its stall time. For a finite run, a report at least that much
// later than its last progress is required too, so that missing reports don't count as a stall.
func (r *run) stalled(now time.Duration) bool {
	if r.task.step.LongRunning {
		return r.progressPercent < fullSpeed && now-r.progressedAt > longRunningStallTime
	}
	limit := r.task.stallTime()
	return r.progressPercent < fullSpeed && now-r.progressedAt > limit && r.reportedAt-r.progressedAt > limit
}

// stallTime returns the time without progress after which a run of a finite task counts as stalled. Progress shows in whole percent, so
// a long task shows none for a while.
func (t *task) stallTime() time.Duration {
	limit := max(stallTime, min(percentStallFactor*t.step.Estimate/100, maxPercentStallTime))
	return limit << min(max(t.stalledRuns-1, 0), maxStallDoublings)
}

// relocateFromSlowWorker stops the runs of a slow worker that have a checkpoint, and starts a copy of speculative tasks, as far
// as other workers have room for them together. Other runs stay, since they would start from the beginning.
func (o *Owner) relocateFromSlowWorker(now Timestamp, w *worker) {
	claimed := map[*worker]wigeonstep.Resources{}
	for _, r := range w.runs {
		s := r.task.step
		if r.stopping || r.phase != runAccepted || s.LongRunning || r.progressPercent > slowKeepPercent {
			continue
		}
		switch {
		case s.SavesProgress && r.task.checkpoint != "" && o.claimOtherWorker(r, claimed):
			o.recordRunDecision("run_moved", r, "its worker is slow and its progress is saved", now.Steady-r.startSentAt)
			r.stopping, w.settled = true, false
			r.task.avoidWorker = w.ID
		case s.Speculative && len(r.task.runs) == 1 && !r.task.suspected() && o.claimOtherWorker(r, claimed):
			r.task.avoidWorker = w.ID
			o.setNeedsCopy(r.task, true)
		}
	}
}

// slowKeepPercent is the progress above which a run stays on a slow worker, because it ends soonest there.
const slowKeepPercent = 70

// heartbeatWaitFor returns the time for which a worker may delay its answer to the next heartbeat.
func (o *Owner) heartbeatWaitFor(now Timestamp, w *worker) time.Duration {
	for _, r := range w.runs {
		s := r.task.step
		if s.LongRunning {
			if r.progressPercent < fullSpeed && now.Steady-r.startSentAt > stallTime {
				return progressHeartbeatWait
			}
			continue
		}
		if float64(now.Steady-r.startSentAt) > overdueFactor*float64(s.Estimate) {
			return progressHeartbeatWait
		}
	}
	return o.settings.HeartbeatWait
}
