package wigeonshard

import (
	"errors"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

const (
	// maxOrdersInFlight bounds the starts, stops and throttles without an answer to one worker. Heartbeats are not counted.
	maxOrdersInFlight = 6
	// maxUnsentRuns bounds the runs on one worker whose first start has not been sent, so that each is sent within maxStartDelay even if
	// the worker takes half a second for an answer. Runs beyond it are planned on other workers or later.
	maxUnsentRuns = 4 * maxOrdersInFlight
	// maxStartsPerStep bounds the first starts of one Step. The caller sends each on its own, so an owner that may start more than
	// its processor can send falls behind with everything else, and its starts become too late to be sent.
	maxStartsPerStep = 64
	// maxStartDelay is the time from the record of a run within which its starts are sent. A later owner goes by it: nothing but that
	// record tells it of a start whose answer its sender didn't live to see.
	maxStartDelay = 3 * time.Second
	// startRetryDelay is the delay before a start without an answer is repeated on the same worker. It is also the base of
	// the exponential delay between heartbeats without an answer.
	startRetryDelay = 100 * time.Millisecond
	// maxStartTries is the number of starts without an answer after which the run is stopped.
	maxStartTries = 3
	// stopRetryDelay is the base of the delay before a stop without an answer is repeated; the delay doubles with each try
	// up to maxStopRetryDelay.
	stopRetryDelay    = 150 * time.Millisecond
	maxStopRetryDelay = time.Second
	// throttleRetryDelay is the delay before a throttle that failed is repeated. Without it throttles that fail at once would
	// hold all places for orders to their worker.
	throttleRetryDelay = 200 * time.Millisecond
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
	// maxAckAge is the time after a worker process was last certainly up in which it is taken to be still the same: a restart
	// takes longer. Ends are acknowledged and starts are sent within it.
	maxAckAge = 250 * time.Millisecond
	// maxAckAgeDoublings limits the growth of maxAckAge for an owner that reads all answers late.
	maxAckAgeDoublings = 4
	// addressSettleTime is the time after which the address of a worker counts as current. A process that has owned no shard
	// reads the entries of workers every 0.6 s.
	addressSettleTime = 2 * time.Second
	// restoredSpeed is the speed of best-effort runs of an earlier owner until this owner adjusts it, in percent.
	restoredSpeed = 50
)

// sendStart sends the start of a run, for the first time or again.
func (o *Owner) sendStart(now Timestamp, r *run) {
	w := r.worker
	if r.unsent() {
		w.unsentRuns--
	}
	r.phase = runStarting
	r.retryAt = 0
	r.sentAt, r.token, w.orderedAt = now.Steady, o.token(w), now.Steady
	w.renewals.send(now.Steady)
	order := wigeonstep.StartOrder{
		Run:        r.id(),
		Spec:       r.task.step.job.Spec,
		LeaseEnd:   w.grantLease(now.Steady, o.settings.Lease),
		Fence:      o.token(w),
		Checkpoint: r.task.startCheckpoint(),
	}
	if a := r.task.step.advice; a != nil {
		order.Ticket = a.workers[w.ID].ticket
	}
	w.ordersInFlight++
	o.out.Starts = append(o.out.Starts, Start{
		Worker: w.ref(), SendBefore: min(o.startsSafeUntil(w), r.startBefore()), SentAt: now.Steady, Clock: w.clock, Order: order,
	})
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

// StartAnswered applies the answer to a start. The answer does not name the process of the worker that gave it, and it may be
// older than the last heartbeat's answer, so the clock in it only tells whether that process may be another one.
func (o *Owner) StartAnswered(now Timestamp, sent Start, result wigeonstep.StartResult) {
	w := o.workers[sent.Worker.ID]
	if w == nil {
		return
	}
	w.ordersInFlight--
	w.settled = false
	switch result.Verdict {
	case wigeonstep.StartUnknown:
	case wigeonstep.StartNotSent:
		w.renewals.withdraw(sent.SentAt)
	default:
		w.renewals.answer(now.Steady, sent.SentAt)
	}
	r := w.findRun(sent.Order.Run)
	if result.Verdict == wigeonstep.StartFenced && o.fencedByNewerOwner(sent.Worker.ID, sent.Order.Fence) {
		o.deposed = true
		return
	}
	if r == nil || r.phase != runStarting || r.sentAt != sent.SentAt {
		return
	}
	if r.startTries == 0 {
		o.stages[StageAnswered].add(now.Steady - r.startSentAt)
	}
	switch result.Verdict {
	case wigeonstep.StartAccepted, wigeonstep.StartSuperseded:
		o.markBegun(now, r)
		o.confirmProcess(now, r, sent, result.Clock)
		o.recordBegin(r)
	case wigeonstep.StartUnknown:
		r.startTries++
		r.phase, r.unansweredAt = runUnknown, sent.SentAt
		if sent.Order.Fence != o.token(w) {
			// The worker has restarted since, and its next answer with the present token shows whether the run has begun.
			r.startTries = 0
			return
		}
		r.retryAt = now.Steady + startRetryDelay
		if r.startTries >= maxStartTries {
			o.giveUpStarts(r, "its starts were not answered")
		}
	case wigeonstep.StartNotSent:
		o.startNotSent(now, r)
	default:
		o.startRefused(now, r, result.Verdict)
	}
}

// giveUpStarts ends the tries to start a run whose starts got no answer. A stop would end it even if it has begun meanwhile, at a time
// at which too many other tasks of a long-running step may be away. So the next heartbeat carries a higher token there, with which the
// worker refuses the starts, and its answer shows whether one of them has begun the run.
func (o *Owner) giveUpStarts(r *run, cause string) {
	if !r.mayNotBeStopped() {
		o.recordRunDecision("run_stopped", r, cause, 0)
		r.stopping, r.unanswered = true, true
		return
	}
	o.recordRunDecision("starts_given_up", r, cause, 0)
	r.startTries = 0
	r.worker.askAtOnce = true
	o.raiseToken(r.worker)
}

// mayNotBeStopped reports whether a stop of the run may break the budget of its step.
func (r *run) mayNotBeStopped() bool {
	return r.task.step.LongRunning && !r.task.step.Gang
}

// startNotSent ends a run whose start was not sent, so that its task is placed anew. If an earlier start of the run may have
// begun it, the start is repeated instead.
func (o *Owner) startNotSent(now Timestamp, r *run) {
	o.recordRunDecision("start_refused", r, "it was too late to send the start", 0)
	if r.startTries > 0 {
		r.phase = runUnknown
		r.retryAt = now.Steady + startRetryDelay
		return
	}
	o.endUnstartedRun(now, r)
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
	case wigeonstep.StartFenced:
		o.recordRunDecision("start_refused", r, "the order was for an earlier process of the worker", 0)
		if r.startTries > 0 {
			// The earlier starts are refused from now on, too. The next answer shows whether one of them has begun the run.
			r.phase, r.startTries = runUnknown, 0
			return
		}
	case wigeonstep.StartTicketInvalid:
		if a := r.task.step.advice; a != nil {
			a.rejectTicket(w.ID)
		}
		o.recordRunDecision("start_refused", r, "the ticket is not valid", 0)
	case wigeonstep.StartLeaseExpired:
		o.recordRunDecision("start_refused", r, "the lease in the order had ended", 0)
	default:
		r.task.retryAt = now.Steady + unavailablePause
		o.recordRunDecision("start_refused", r, "the order is not valid", 0)
	}
	if r.startTries > 0 {
		// An earlier start without an answer may still begin the run.
		r.phase = runUnknown
		if r.mayNotBeStopped() {
			o.giveUpStarts(r, "another start of it got no answer")
		} else {
			r.stopping = true
		}
		return
	}
	o.endUnstartedRun(now, r)
}

// workerReplaced handles the answer of another worker to the newest heartbeat: the process that had the address has ended
// with its runs. Runs whose starts were not answered before the heartbeat was sent stay until their leases have ended. At an
// address at which the worker has not answered this owner, the answer counts only after addressSettleTime: the worker may have
// restarted elsewhere before its entry was read.
func (o *Owner) workerReplaced(now Timestamp, w *worker) {
	if w.failures == 0 {
		o.recordLoss(now, w, false)
	}
	w.failures++
	if w.addressConfirmed || now.Steady-w.addressSince >= addressSettleTime {
		o.endProcess(now, w, "another worker answers at the address")
		for _, r := range w.runs {
			// That worker refuses the orders to this one.
			r.unansweredAt = 0
		}
	}
	o.forgetProcess(now, w)
	w.appliedHeartbeat = o.heartbeatCount
	w.nextHeartbeatAt = now.Steady + maxHeartbeatRetryDelay
}

// endProcess ends the runs of a worker's process that has certainly ended. Runs whose starts were not answered before the last
// sign of its end stay until their leases have ended.
func (o *Owner) endProcess(now Timestamp, w *worker, cause string) {
	o.processEnded(now, w, true)
	o.confirmCrash(now, w.ID)
	o.endUnlistedRuns(now, w, 0, 0, cause)
	prepareForNextProcess(w)
}

// StopAnswered applies the answer to the newest stop of a run, or the error of the call. An answered stop doesn't end the
// run; a later heartbeat reports its end.
func (o *Owner) StopAnswered(now Timestamp, sent Stop, err error) {
	w := o.workers[sent.Worker.ID]
	if w == nil {
		return
	}
	w.ordersInFlight--
	w.settled = false
	if errors.Is(err, wigeonstep.ErrFenced) && o.fencedByNewerOwner(sent.Worker.ID, sent.Fence) {
		o.deposed = true
		return
	}
	r := w.findRun(sent.Run)
	if r == nil || r.stopSentAt != sent.SentAt {
		return
	}
	if err == nil {
		if r.startKnownAt < 0 || r.phase != runAccepted {
			// The worker answers alike if it does not have the run.
			r.phase, r.onlyStopAnswered = runAccepted, true
			r.startKnownAt = now.Steady
		}
		return
	}
	r.stopSentAt = 0
	r.stopTries++
	r.retryAt = now.Steady + min(stopRetryDelay<<min(r.stopTries, 4), maxStopRetryDelay)
}

// sendRunOrders sends the starts, stops and throttles that are due, oldest run first, while fewer than maxOrdersInFlight are
// without an answer. The next Step decides on the others anew, so that no order is sent that is no longer wanted. A start to a
// worker that may have restarted unseen waits for the answer to a heartbeat that is sent at once.
func (o *Owner) sendRunOrders(now Timestamp) {
	starts := 0
	first := o.nextToStart
	for i := range o.sortedWorkers {
		w := o.sortedWorkers[(first+i)%len(o.sortedWorkers)]
		if w.Address == "" || w.settled {
			continue
		}
		mayStart, safe := o.mayStartOn(now, w), now.Steady < o.startsSafeUntil(w)
		var unwanted []*run
		for _, r := range w.runs {
			tooLate := now.Steady >= r.startBefore()
			// A start that was sent may have begun the run, so the task isn't free for another worker yet.
			switch {
			case !r.repeatsStart(now.Steady):
			case r.mustStartElsewhere() || w.overCapacity():
				o.giveUpStarts(r, "its start was not answered and its worker is leaving or over its capacity")
			case tooLate:
				o.giveUpStarts(r, "its start was not answered and may not be repeated any more")
			}
			switch {
			case r.phase == runDurable && (r.stopping || !mayStart || tooLate || r.mustStartElsewhere()):
				unwanted = append(unwanted, r)
				if tooLate {
					o.lateRuns++
				}
			case w.ordersInFlight >= maxOrdersInFlight:
			case r.phase == runDurable && !r.task.step.job.registered:
			case r.phase == runDurable && safe && starts < maxStartsPerStep:
				o.sendFirstStart(now, r)
				if starts++; starts == maxStartsPerStep {
					o.nextToStart = (first + i) % len(o.sortedWorkers)
				}
			case r.phase == runDurable && safe:
			case r.repeatsStart(now.Steady) && mayStart && safe:
				o.sendStart(now, r)
			case r.phase == runDurable || r.repeatsStart(now.Steady) && mayStart:
				w.askAtOnce = true
			case r.stopping && r.stopSentAt == 0 && now.Steady >= r.retryAt && (r.phase == runAccepted || r.phase == runUnknown):
				r.stopSentAt = now.Steady
				o.sendStop(w, Stop{Worker: w.ref(), Run: r.id(), Fence: o.token(w), SentAt: now.Steady})
			case r.phase == runAccepted && !r.stopping && r.speed != r.sentSpeed && now.Steady >= r.throttleRetryAt && r.task.step.BestEffort:
				r.sentSpeed, r.speedSince = r.speed, -1
				w.ordersInFlight++
				o.out.Throttles = append(o.out.Throttles, Throttle{Worker: w.ref(), Run: r.id(), Fence: o.token(w), Percent: r.speed})
			}
		}
		for _, r := range unwanted {
			o.endUnstartedRun(now, r)
		}
		w.settled = !slices.ContainsFunc(w.runs, (*run).needsOrder)
	}
}

// needsOrder reports whether the run gets an order now or when some time has passed. Any other run changes only with an event.
func (r *run) needsOrder() bool {
	switch r.phase {
	case runDurable, runUnknown:
		return true
	case runAccepted:
		return r.stopping && r.stopSentAt == 0 || !r.stopping && r.task.step.BestEffort && r.speed != r.sentSpeed
	}
	return false
}

// endUnstartedRun ends a run that the worker has certainly not begun. The other members of a gang can't work without it, so they
// are stopped.
func (o *Owner) endUnstartedRun(now Timestamp, r *run) {
	if r.phase == runEnded {
		return
	}
	o.endRun(now, r, wigeonstep.EndStopped, r.task.checkpoint)
	if !r.task.step.Gang {
		return
	}
	for _, member := range r.task.step.tasks {
		o.stopTask(now, member)
	}
}

// mustStartElsewhere reports whether the worker of a run that is not known to have begun is leaving, or has left the list, since
// the run was planned. A member of a gang is started all the same, because the other members may have begun.
func (r *run) mustStartElsewhere() bool {
	w := r.worker
	return (!w.listed || w.Draining || w.released || w.cordoned != "" && !r.onCordoned) && !r.task.step.Gang
}

// startBefore returns the time until which starts of a run of this owner may be sent.
func (r *run) startBefore() time.Duration { return r.plannedAt + maxStartDelay }

// repeatsStart reports whether the start of the run got no answer and is due again.
func (r *run) repeatsStart(now time.Duration) bool {
	return r.phase == runUnknown && !r.stopping && r.startTries > 0 && now >= r.retryAt
}

// startsSafeUntil returns the time until which starts may be sent although the worker may restart unseen. A newer owner may
// have found the run missing in the earlier process, and the restarted one does not know that owner's fencing token. When the
// log last accepted an append, this owner was the newest; when the process last answered, no newer owner had reached it. A
// restart after either takes longer than maxAckAge.
func (o *Owner) startsSafeUntil(w *worker) time.Duration {
	return max(o.logConfirmedAt+maxAckAge, w.sameProcessUntil())
}

// mayStartOn reports whether starts may be sent to the worker. They may not when the worker does not answer, when its clock, by
// which the lease of the start ends, is not known, when the log may hold a lapse of the worker, which the lease would exceed, or
// when the ownership is not confirmed, so that another owner may have given the run up.
func (o *Owner) mayStartOn(now Timestamp, w *worker) bool {
	return w.answered && w.clock != 0 && w.failures == 0 && !w.lapseRecorded && o.ownershipConfirmed(now)
}

// sendFirstStart sends the start of a run whose record is durable.
func (o *Owner) sendFirstStart(now Timestamp, r *run) {
	r.startSentAt, r.progressedAt, r.reportedAt = now.Steady, now.Steady, now.Steady
	if j := r.task.step.job; !j.startRecorded {
		j.startRecorded = true
		o.stages[StageStarted].add(now.Steady - j.acceptedAt)
		o.recordRunDecision("job_started", r, "its first task starts", now.Steady-j.acceptedAt)
	}
	o.sendStart(now, r)
}

// stopUnexpected stops a run that the worker lists and this owner does not expect. While too many orders are in flight it does
// nothing, since the next answer to a heartbeat lists the run again.
func (o *Owner) stopUnexpected(w *worker, id wigeonstep.RunID) {
	if w.ordersInFlight < maxOrdersInFlight {
		o.sendStop(w, Stop{Worker: w.ref(), Run: id, Fence: o.token(w)})
	}
}

func (o *Owner) sendStop(w *worker, stop Stop) {
	w.ordersInFlight++
	o.out.Stops = append(o.out.Stops, stop)
}

// ownershipConfirmed reports whether the log or the group confirmed the ownership recently enough to renew leases.
func (o *Owner) ownershipConfirmed(now Timestamp) bool {
	return now.Steady-o.confirmedAt < o.settings.ConfirmLimit
}
