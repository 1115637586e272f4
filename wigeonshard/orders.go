package wigeonshard

import (
	"errors"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

const (
	// startRetryDelay is the pause before a start without an answer is repeated at the same worker.
	startRetryDelay = 100 * time.Millisecond
	// maxStartTries is after how many starts without an answer the run is stopped instead.
	maxStartTries = 3
	// stopRetryDelay is the pause before a stop without an answer is repeated; it doubles up to maxStopRetryDelay.
	stopRetryDelay    = 150 * time.Millisecond
	maxStopRetryDelay = time.Second
	// noRoomPause is how long a worker that had no room gets no start.
	noRoomPause = 300 * time.Millisecond
	// unhealthyPause is how long a worker that reports itself unwell gets no start.
	unhealthyPause = time.Second
	// failedTaskPause is the pause before a task that failed is started again.
	failedTaskPause = 50 * time.Millisecond
	// maxHoldRetryDelay bounds the pause between holds that a worker does not answer.
	maxHoldRetryDelay = 800 * time.Millisecond
	// maxRenewalPause is how long the renewal of a lease may wait for ends to become durable.
	maxRenewalPause = 1200 * time.Millisecond
	// clockRegress is how far a worker's clock must have gone back to be that of a new life; answers overtake each other
	// by less.
	clockRegress wigeonstep.WorkerMillis = 1000
	// restoredPace is the share at which best-effort runs of an earlier owner are let work until the tails are known.
	restoredPace = 50
)

// sendStart sends the start of a run, for the first time or again.
func (o *Owner) sendStart(now Now, r *run) {
	w := r.worker
	r.phase = runStarting
	r.retryAt = 0
	order := wigeonstep.StartOrder{
		Run:        r.id(),
		Spec:       r.task.step.job.Spec,
		Until:      w.lease(now.Steady, o.settings.Lease),
		Fence:      o.fence,
		Checkpoint: r.task.startCheckpoint(),
	}
	if a := r.task.step.advice; a != nil {
		order.Ticket = a.tickets[w.ID].ticket
	}
	o.out.Starts = append(o.out.Starts, Start{Worker: w.ref(), Order: order})
}

// startCheckpoint returns the checkpoint that a start carries; all members of a gang carry the same one.
func (t *task) startCheckpoint() wigeonstep.Checkpoint {
	if !t.step.Gang {
		return t.checkpoint
	}
	for _, member := range t.step.tasks {
		if member.checkpoint != "" {
			return member.checkpoint
		}
	}
	return ""
}

// Started takes the answer to a start over.
func (o *Owner) Started(now Now, worker wigeonstep.WorkerID, id wigeonstep.RunID, result wigeonstep.StartResult) {
	w := o.workers[worker]
	if w == nil {
		return
	}
	r := w.find(id)
	if result.Clock != 0 && result.Clock+clockRegress < w.clock {
		o.reborn(now, w, func(other *run) bool { return other == r })
	}
	w.readClock(result.Clock, now.Steady)
	switch result.Verdict {
	case wigeonstep.StartFenced:
		o.deposed = true
		return
	case wigeonstep.StartGone:
		o.gone(now, w)
		return
	}
	if r == nil || r.phase != runStarting {
		return
	}
	switch result.Verdict {
	case wigeonstep.StartTaken, wigeonstep.StartOld:
		r.phase = runTaken
		r.settled = now.Steady
	case wigeonstep.StartLost:
		r.startTry++
		r.phase = runUnknown
		r.retryAt = now.Steady + startRetryDelay
		if r.startTry >= maxStartTries {
			o.note("run_stopped", r, "no start was answered", 0)
			r.stopping = true
		}
	default:
		o.refused(now, r, result.Verdict)
	}
}

// refused takes a start over that the worker turned down.
func (o *Owner) refused(now Now, r *run, verdict wigeonstep.StartVerdict) {
	w := r.worker
	switch verdict {
	case wigeonstep.StartNoRoom:
		w.trust.until = max(w.trust.until, now.Steady+noRoomPause)
		o.note("start_refused", r, "the worker has no room", 0)
	case wigeonstep.StartUnhealthy:
		w.trust.until = max(w.trust.until, now.Steady+unhealthyPause)
		o.note("start_refused", r, "the worker is unhealthy", 0)
	case wigeonstep.StartNoTicket:
		if a := r.task.step.advice; a != nil {
			delete(a.tickets, w.ID)
		}
		o.note("start_refused", r, "the ticket is not valid", 0)
	case wigeonstep.StartLate:
		o.note("start_refused", r, "the lease in the order had passed", 0)
	default:
		r.task.retryAt = now.Steady + unhealthyPause
		o.note("start_refused", r, "the order is not valid", 0)
	}
	if r.startTry > 0 {
		// An earlier start without an answer may yet begin; only a stop rules that out.
		r.phase = runUnknown
		r.stopping = true
		return
	}
	o.resolve(now, r, wigeonstep.EndStopped, r.task.checkpoint)
}

// gone notes that another life of the worker answered.
func (o *Owner) gone(now Now, w *worker) {
	o.loseRuns(now, w, "another life of the worker answered")
	w.known = false
	w.failures++
	w.nextHold = now.Steady + maxHoldRetryDelay
}

// Stopped takes the answer to a stop over.
func (o *Owner) Stopped(now Now, worker wigeonstep.WorkerID, id wigeonstep.RunID, err error) {
	w := o.workers[worker]
	switch {
	case errors.Is(err, wigeonstep.ErrFenced):
		o.deposed = true
		return
	case w == nil:
		return
	case errors.Is(err, wigeonstep.ErrWorkerGone):
		o.gone(now, w)
		return
	}
	r := w.find(id)
	if r == nil {
		return
	}
	if err == nil {
		if r.settled < 0 || r.phase != runTaken {
			r.phase = runTaken
			r.settled = now.Steady
		}
		return
	}
	r.stopSent = 0
	r.stopTry++
	r.retryAt = now.Steady + min(stopRetryDelay<<min(r.stopTry, 4), maxStopRetryDelay)
}

// reorder sends stops, and starts that had no answer.
func (o *Owner) reorder(now Now) {
	for _, w := range o.roster {
		if w.Address == "" {
			continue
		}
		for _, r := range w.runs {
			switch {
			case r.stopping && r.stopSent == 0 && now.Steady >= r.retryAt && (r.phase == runTaken || r.phase == runUnknown):
				r.stopSent = now.Steady
				o.out.Stops = append(o.out.Stops, Stop{Worker: w.ref(), Run: r.id()})
			case !r.stopping && r.phase == runUnknown && r.startTry > 0 && now.Steady >= r.retryAt && w.failures == 0 && o.sure(now):
				o.sendStart(now, r)
			case r.phase == runTaken && !r.stopping && r.pace != r.paceSent && r.task.step.BestEffort:
				r.paceSent = r.pace
				o.out.Paces = append(o.out.Paces, Pace{Worker: w.ref(), Run: r.id(), Percent: r.pace})
			}
		}
	}
}

// sure reports whether the ownership was confirmed recently enough to renew leases.
func (o *Owner) sure(now Now) bool {
	return now.Steady-o.confirmed < o.settings.ConfirmLimit
}
