package wigeonshard

import (
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// LostWorker is a worker that does not answer.
type LostWorker struct {
	Worker wigeonstep.WorkerID
	// Since is the time of the first heartbeat without an answer. It tells this loss of the worker from others.
	Since time.Duration
}

// LostWorkers returns the workers that do not answer and may still have runs. The VM list tells whether they have ended.
func (o *Owner) LostWorkers() []LostWorker {
	var lost []LostWorker
	for _, w := range o.sortedWorkers {
		if w.failures > 0 && len(w.runs) > 0 {
			lost = append(lost, LostWorker{Worker: w.ID, Since: w.loss.noticedAt})
		}
	}
	return lost
}

// WorkerEnded ends the runs of a lost worker that its VM does not have any more, according to a VM list that was requested after
// the loss.
func (o *Owner) WorkerEnded(now Timestamp, l LostWorker) {
	w := o.lostWorker(l)
	if w == nil {
		return
	}
	w.appliedSentAt = max(w.appliedSentAt, w.loss.noticedAt)
	const cause = "its VM has no such worker any more"
	if w.gone {
		// A list has shown it before, so its runs are prepared for the next process.
		o.endUnlistedRuns(now, w, 0, 0, cause)
		return
	}
	o.endProcess(now, w, cause)
	o.forgetProcess(now, w)
	w.gone = true
	w.appliedHeartbeat = o.heartbeatCount
}

// WorkerUp records that a lost worker is on its VM, or on it again after a restart, according to a VM list that was requested after
// the loss. It may only be unreachable, so its tasks are not suspected, and speculative ones may get a second run.
func (o *Owner) WorkerUp(now Timestamp, l LostWorker) {
	w := o.lostWorker(l)
	if w == nil {
		return
	}
	w.gone = false
	if w.loss.up {
		return
	}
	w.loss.up = true
	o.recordWorkerDecision("worker_unreachable", w, "its VM is up with it")
	o.planCopies(now, w)
}

// lostWorker returns the worker if the loss is its newest one and it has not answered since; nil otherwise.
func (o *Owner) lostWorker(l LostWorker) *worker {
	w := o.workers[l.Worker]
	if w == nil || w.failures == 0 || w.loss.noticedAt.Milliseconds() != l.Since.Milliseconds() {
		return nil
	}
	return w
}
