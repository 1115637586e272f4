package wigeonshard

import (
	"errors"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

const (
	// startRetryDelay is the delay before a start without an answer is repeated on the same worker. It is also the base of
	// the exponential delay between heartbeats without an answer.
	startRetryDelay = 100 * time.Millisecond
	// maxStartTries is the number of starts without an answer after which the run is stopped.
	maxStartTries = 3
	// stopRetryDelay is the base of the delay before a stop without an answer is repeated; the delay doubles with each try
	// up to maxStopRetryDelay.
	stopRetryDelay    = 150 * time.Millisecond
	maxStopRetryDelay = time.Second
	// noCapacityPause is the time for which a worker that refused a start for lack of capacity gets no new runs.
	noCapacityPause = 300 * time.Millisecond
	// unavailablePause is the time for which a worker that refused a start as unavailable gets no new runs. It is also the
	// delay before a task is placed again whose order was refused as invalid.
	unavailablePause = time.Second
	// failedTaskPause is the delay before a failed task is placed again.
	failedTaskPause = 50 * time.Millisecond
	// maxHeartbeatRetryDelay limits the exponential delay between heartbeats that a worker does not answer.
	maxHeartbeatRetryDelay = 800 * time.Millisecond
	// maxRenewalPause limits the time for which the next heartbeat waits until the reported ends are durable, so that
	// the lease is renewed in time when the log is slow.
	maxRenewalPause = 1200 * time.Millisecond
	// maxAckAge is the time since a worker process was last certainly up after which another process may answer. A process
	// takes longer to start again.
	maxAckAge = 250 * time.Millisecond
	// maxAckAgeDoublings limits the growth of that time for an owner that reads all answers late.
	maxAckAgeDoublings = 4
	// restoredSpeed is the speed of best-effort runs of an earlier owner until this owner adjusts it, in percent.
	restoredSpeed = 50
)

// sendStart sends the start of a run, for the first time or again.
func (o *Owner) sendStart(now Timestamp, r *run) {
	w := r.worker
	r.phase = runStarting
	r.retryAt = 0
	order := wigeonstep.StartOrder{
		Run:        r.id(),
		Spec:       r.task.step.job.Spec,
		LeaseEnd:   w.grantLease(now.Steady, o.settings.Lease),
		Fence:      o.fence,
		Checkpoint: r.task.startCheckpoint(),
	}
	if a := r.task.step.advice; a != nil {
		order.Ticket = a.tickets[w.ID].ticket
	}
	o.out.Starts = append(o.out.Starts, Start{Worker: w.ref(), SendBefore: o.startsSafeUntil(w), Order: order})
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

// StartAnswered applies the answer to a start. The worker's clock in it is not used: the answer may be older than that to
// the newest heartbeat, or come from an earlier process of the worker, which it does not name.
func (o *Owner) StartAnswered(now Timestamp, sent Start, result wigeonstep.StartResult) {
	w := o.workers[sent.Worker.ID]
	if w == nil {
		return
	}
	r := w.findRun(sent.Order.Run)
	if result.Verdict == wigeonstep.StartFenced {
		o.deposed = true
		return
	}
	if r == nil || r.phase != runStarting {
		return
	}
	switch result.Verdict {
	case wigeonstep.StartAccepted, wigeonstep.StartSuperseded:
		r.phase = runAccepted
		r.startKnownAt = now.Steady
	case wigeonstep.StartUnknown:
		r.startTries++
		r.phase = runUnknown
		r.retryAt = now.Steady + startRetryDelay
		if r.startTries >= maxStartTries {
			o.recordRunDecision("run_stopped", r, "its starts were not answered", 0)
			r.stopping = true
		}
	default:
		o.startRefused(now, r, result.Verdict)
	}
}

// startRefused handles a start that the worker refused: the run ends, unless an earlier start may still take effect.
func (o *Owner) startRefused(now Timestamp, r *run, verdict wigeonstep.StartVerdict) {
	w := r.worker
	switch verdict {
	case wigeonstep.StartNoCapacity:
		w.backoff.until = max(w.backoff.until, now.Steady+noCapacityPause)
		o.recordRunDecision("start_refused", r, "the worker has no room", 0)
	case wigeonstep.StartUnavailable:
		w.backoff.until = max(w.backoff.until, now.Steady+unavailablePause)
		o.recordRunDecision("start_refused", r, "the worker is unhealthy", 0)
	case wigeonstep.StartWorkerReplaced:
		// The next heartbeat shows which process answers at the worker's address now.
		w.backoff.until = max(w.backoff.until, now.Steady+unavailablePause)
		o.recordRunDecision("start_refused", r, "another worker answers at the address", 0)
	case wigeonstep.StartTicketInvalid:
		if a := r.task.step.advice; a != nil {
			delete(a.tickets, w.ID)
		}
		o.recordRunDecision("start_refused", r, "the ticket is not valid", 0)
	case wigeonstep.StartLeaseExpired:
		o.recordRunDecision("start_refused", r, "the lease in the order had ended", 0)
	default:
		r.task.retryAt = now.Steady + unavailablePause
		o.recordRunDecision("start_refused", r, "the order is not valid", 0)
	}
	if r.startTries > 0 {
		// An earlier start without an answer may still begin the run; only a stop rules that out.
		r.phase = runUnknown
		r.stopping = true
		return
	}
	o.endRun(now, r, wigeonstep.EndStopped, r.task.checkpoint)
}

// workerReplaced handles the answer of another worker to the newest heartbeat: the process that had the address has ended
// with its runs. Runs whose starts were not answered before the heartbeat was sent stay until their leases have ended.
func (o *Owner) workerReplaced(now Timestamp, w *worker) {
	o.endUnlistedRuns(now, w, nil, "another worker answers at the address")
	o.stopUnansweredStarts(w, func(*run) bool { return false })
	w.forgetProcess(now.Steady)
	w.failures++
	w.nextHeartbeatAt = now.Steady + maxHeartbeatRetryDelay
}

// StopAnswered applies the answer to the newest stop of a run, or the error of the call. An answered stop doesn't end the run; a later
// heartbeat reports its end.
func (o *Owner) StopAnswered(now Timestamp, sent Stop, err error) {
	w := o.workers[sent.Worker.ID]
	switch {
	case errors.Is(err, wigeonstep.ErrFenced):
		o.deposed = true
		return
	case w == nil:
		return
	}
	r := w.findRun(sent.Run)
	if r == nil || r.stopSentAt != sent.SentAt {
		return
	}
	if err == nil {
		if r.startKnownAt < 0 || r.phase != runAccepted {
			r.phase = runAccepted
			r.startKnownAt = now.Steady
		}
		return
	}
	r.stopSentAt = 0
	r.stopTries++
	r.retryAt = now.Steady + min(stopRetryDelay<<min(r.stopTries, 4), maxStopRetryDelay)
}

// sendRunOrders sends the stops and throttles that are due, and repeats starts that got no answer.
func (o *Owner) sendRunOrders(now Timestamp) {
	for _, w := range o.sortedWorkers {
		if w.Address == "" {
			continue
		}
		for _, r := range w.runs {
			switch {
			case r.stopping && r.stopSentAt == 0 && now.Steady >= r.retryAt && (r.phase == runAccepted || r.phase == runUnknown):
				r.stopSentAt = now.Steady
				o.out.Stops = append(o.out.Stops, Stop{Worker: w.ref(), Run: r.id(), SentAt: now.Steady})
			case !r.stopping && r.phase == runUnknown && r.startTries > 0 && now.Steady >= r.retryAt && w.answered && w.failures == 0 && o.ownershipConfirmed(now):
				if now.Steady >= o.startsSafeUntil(w) {
					w.askAtOnce = true
					continue
				}
				o.sendStart(now, r)
			case r.phase == runAccepted && !r.stopping && r.speed != r.sentSpeed && r.task.step.BestEffort:
				r.sentSpeed = r.speed
				o.out.Throttles = append(o.out.Throttles, Throttle{Worker: w.ref(), Run: r.id(), Percent: r.speed})
			}
		}
	}
}

// ownershipConfirmed reports whether the log or the group confirmed the ownership recently enough to renew leases.
func (o *Owner) ownershipConfirmed(now Timestamp) bool {
	return now.Steady-o.confirmedAt < o.settings.ConfirmLimit
}
