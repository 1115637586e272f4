package wigeonshard

import (
	"slices"
	"time"
)

// lastResortDelay is the time for which a long-running task waits for room on other workers before it is placed on a
// cordoned one.
const lastResortDelay = 500 * time.Millisecond

// placeOnCordoned plans runs on cordoned workers for long-running tasks that have waited for lastResortDelay. A cordoned
// worker with long-running runs stays up until there is room for these elsewhere, and until then the rest of its room would
// be unused. Only such workers are chosen, so the release of a worker is not put off by a task that is placed on it while its
// last runs end.
func (o *Owner) placeOnCordoned(now Timestamp, longRunning []candidate) {
	var pool []*worker
	for _, w := range o.sortedWorkers {
		if w.cordoned != "" && !w.released && w.accepting() && !w.backoff.active(now.Steady) && w.hasStayingRun() {
			pool = append(pool, w)
		}
	}
	if len(pool) == 0 {
		return
	}
	for _, c := range longRunning {
		s := c.step
		if s.Gang || !slices.ContainsFunc(s.tasks, func(t *task) bool { return t.needsLastResort(now.Steady) }) {
			continue
		}
		eligible := o.eligibleWorkers(now, s, pool)
		for _, t := range s.tasks {
			if !t.needsLastResort(now.Steady) {
				continue
			}
			w := s.chooseWorker(t, eligible, s.Reserved())
			if w == nil || !s.withinLimit() {
				break
			}
			o.planRun(t, w, t.lastRun+1)
			t.runs[0].onCordoned = true
			o.recordRunDecision("run_on_cordoned", t.runs[0], "no other worker has room", now.Steady-t.waitingSince)
		}
	}
}

// needsLastResort reports whether the task has waited for lastResortDelay and can be placed now.
func (t *task) needsLastResort(now time.Duration) bool {
	return !t.done && !t.givenUp && len(t.runs) == 0 && now >= t.retryAt && !t.suspected() && now-t.waitingSince >= lastResortDelay
}

// hasStayingRun reports whether the worker has a long-running run that is not being stopped.
func (w *worker) hasStayingRun() bool {
	return slices.ContainsFunc(w.runs, func(r *run) bool { return r.task.step.LongRunning && !r.stopping })
}
