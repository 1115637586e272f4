package wigeonshard

import (
	"maps"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// A worker may start again under its id, and a call that was sent to its earlier process may reach the later one: the id that the
// call names is the same. The later process knows no fencing token and no stop, and times of the earlier clock lie far ahead of its
// own, so it starts the run and grants its longest lease. This file keeps such calls from doing harm.
//
//   - The orders to each process of a worker carry a higher fencing token than those to the one before. Once a process has answered
//     one, it refuses all that was sent earlier, and its list shows for certain what runs there.
//   - While a worker does not answer, it may have restarted unseen. A run whose start got no answer may begin there for as long as
//     the start may be on its way. Such a run, and one whose start was answered by an unknown process, has the longest lease from
//     the newest order that the process may have executed.

const (
	// TokensPerEpoch is the distance between the fencing tokens of two owners of a shard. An owner uses those in between for workers
	// that restart.
	TokensPerEpoch = 1000
	// maxOrderDelay is the assumed maximum time from the sending of an order until a worker executes it. The platform only says that
	// it may be seconds.
	maxOrderDelay = 13 * time.Second
)

// token returns the fencing token of the orders to the present process of the worker.
func (o *Owner) token(w *worker) wigeonstep.FencingToken {
	return o.fence + wigeonstep.FencingToken(w.tokenRaises)
}

// fencedByNewerOwner reports whether a worker that refused an order with the token knows a newer owner. Otherwise it knows a higher
// token of this one.
func (o *Owner) fencedByNewerOwner(id wigeonstep.WorkerID, token wigeonstep.FencingToken) bool {
	if w := o.workers[id]; w != nil {
		return token >= o.token(w)
	}
	return token >= o.fence+wigeonstep.FencingToken(o.removedWorkers[id].tokenRaises)
}

// removedWorker is what an owner keeps of a worker that has left the list, in case that it returns.
type removedWorker struct {
	// tokenRaises is that of the worker when it returns.
	tokenRaises int
	// expiresAt is the time from which the worker may get its first token again, because no order to it is on its way any more; 0 if
	// a process of the worker may have seen a higher token.
	expiresAt time.Duration
	// renewals are those of the worker. Some may be on their way when it returns.
	renewals renewals
}

// keepToken stores the token for the next process of a worker that is removed, and the orders that may renew its leases.
func (o *Owner) keepToken(now Timestamp, w *worker) {
	hadFirstToken := w.tokenRaises == 0
	o.forgetProcess(now, w)
	if w.tokenRaises == 0 {
		return
	}
	kept := removedWorker{tokenRaises: w.tokenRaises, renewals: w.renewals}
	if hadFirstToken {
		kept.expiresAt = now.Steady + maxOrderDelay
	}
	o.removedWorkers[w.ID] = kept
}

// dropOldTokens forgets the workers whose tokens don't matter any more.
func (o *Owner) dropOldTokens(now Timestamp) {
	maps.DeleteFunc(o.removedWorkers, func(_ wigeonstep.WorkerID, kept removedWorker) bool {
		return kept.expiresAt != 0 && now.Steady > kept.expiresAt
	})
}

// forgetProcess resets what is known of the worker's process, because another one may answer from now on. It gets a higher fencing
// token if the former process was sent anything that could do harm in the next one. The runs of the former process count as ended
// when its leases have ended.
func (o *Owner) forgetProcess(now Timestamp, w *worker) {
	if w.answered {
		w.inheritedRunsEnd = now.Steady + w.leaseTimeLeft(now.Steady)
	}
	w.formerOrdersEnd = 0
	o.raiseToken(w)
	w.workerProcess = workerProcess{}
}

// raiseToken lets a worker refuse all orders so far once it has got another one, if there are any.
func (o *Owner) raiseToken(w *worker) {
	if w.orderedAt != 0 {
		w.tokenRaises++
		w.orderedAt = 0
	}
	if w.tokenRaises >= TokensPerEpoch {
		// The next ownership begins with a higher token.
		o.deposed = true
	}
}

// leasesEndAt returns the wall-clock time by which the runs on the worker that are known to have begun have ended if it does not
// answer any more. A later owner waits for it with all runs of the worker, so it doesn't cover those that may have begun in another
// process: their own records do.
func (o *Owner) leasesEndAt(now Timestamp, w *worker) wigeonstep.UnixMillis {
	return now.Wall + wigeonstep.UnixMillis(max(w.leaseTimeLeft(now.Steady), 0).Milliseconds())
}

// inheritedRunsEnd returns the time at which the runs of earlier owners on a worker have ended if it doesn't answer. If the former
// owner found the worker silent, that is the time in its record, which may be later than that for a usual lease: it renewed no lease
// after that, and the worker may have restarted before.
func (o *Owner) inheritedRunsEnd(now Timestamp, id wigeonstep.WorkerID) time.Duration {
	if at, ok := o.inheritedLapses[id]; ok {
		return now.Steady + max(time.Duration(at-now.Wall)*time.Millisecond+wallMargin, 0)
	}
	return max(o.ownedSince, now.Steady) + time.Duration(float64(o.settings.ConfirmLimit+o.settings.Lease)/clockRate) + lapseMargin
}

// awaitFormerOrders makes the inherited runs of a worker that has just restarted wait for the orders of earlier owners that it may
// execute: an earlier owner may have ended before it knew of the restart, so that it recorded nothing.
func (o *Owner) awaitFormerOrders(now Timestamp, w *worker) {
	young := w.Restarted && o.settings.mayExecuteFormerOrders(now.minAge(w.StartedAt))
	_, recorded := o.inheritedLapses[w.ID]
	if !young || recorded || w.reached || w.gone || w.formerOrdersEnd != 0 {
		return
	}
	w.formerOrdersEnd = o.settings.longestLeaseEnd(o.formerOrdersUntil() + maxOrderDelay)
	if w.leasesEndWall != 0 {
		// Without the margin for the wall clock in inheritedRunsEnd, which each later owner would add again.
		w.leasesEndWall = max(w.leasesEndWall, now.wallTime(w.formerOrdersEnd))
		o.ownerRecordOutdated = true
	}
}

// longestLeaseEnd returns the time by which every lease on a process has ended that was granted at the time.
func (s *Settings) longestLeaseEnd(granted time.Duration) time.Duration {
	return granted + time.Duration(float64(s.MaxLease)/clockRate) + lapseMargin
}

// firstLease returns the longest lease that a process may have when it first answers this owner. A young one may have executed
// calls to an earlier process, which give it the longest; otherwise an earlier owner may just have renewed it.
func (o *Owner) firstLease(now Timestamp, result wigeonstep.HeartbeatResult) time.Duration {
	age := min(time.Duration(result.Clock)*time.Millisecond, now.minAge(result.StartedAt))
	if o.settings.mayExecuteFormerOrders(age) {
		return o.settings.MaxLease
	}
	return o.settings.Lease
}

// mayExecuteFormerOrders reports whether a process of the age may execute orders to an earlier process of its worker, or may have a
// lease that one of them gave it.
func (s *Settings) mayExecuteFormerOrders(age time.Duration) bool {
	return age < maxOrderDelay+s.MaxLease
}

// minAge returns the time for which a process has certainly been up that another VM says it started at startedAt.
func (t Timestamp) minAge(startedAt wigeonstep.UnixMillis) time.Duration {
	return time.Duration(t.Wall-startedAt)*time.Millisecond - wallMargin
}

// mayBeginUntil returns the time until which a start of the run that got no answer may still begin it; 0 if there is none.
func (r *run) mayBeginUntil() time.Duration {
	sentAt := r.unansweredStart()
	if sentAt == 0 {
		return 0
	}
	return sentAt + maxOrderDelay
}

// unansweredStart returns the time at which the newest start without an answer was sent; 0 if there is none.
func (r *run) unansweredStart() time.Duration {
	if r.phase == runStarting {
		return r.sentAt
	}
	return r.unansweredAt
}

// renewedUntil returns the latest time at which an order may begin the run in another process than the one that last answered, or
// renew its lease there; 0 if the leases of that process are all that matters.
func (r *run) renewedUntil() time.Duration {
	begins := r.mayBeginUntil()
	if begins <= r.worker.seenAt && !r.acceptedByUnknownProcess() {
		return 0
	}
	return max(begins, r.worker.renewals.until())
}

// certainlyBegun reports whether a process of the worker has begun the run and no other one may.
func (r *run) certainlyBegun() bool {
	if r.phase == runUnknown && r.inherited {
		return r.recordedBegun
	}
	return r.begun() && r.processKnown && r.renewedUntil() == 0
}

// recordBegin writes the record of a long-running task anew once its run has certainly begun, so that a later owner doesn't wait for a
// start that may be on its way. For other tasks the next record tells of it.
func (o *Owner) recordBegin(r *run) {
	if r.task.step.LongRunning && !r.begunRecorded && r.certainlyBegun() {
		o.markTaskDirty(r.task)
	}
}

// inheritOrders sets what an inherited run has to wait for: the order without an answer in its record, or a start that its owner may
// have sent after it wrote the record, if no record says what became of it.
func (o *Owner) inheritOrders(now Timestamp, r *run, live *wigeonjob.LiveRun) {
	r.recordedBegun = live.Begun
	switch {
	case live.UnansweredAt != 0:
		r.unansweredWall = live.UnansweredAt
		r.unansweredAt = min(now.latest(live.UnansweredAt), now.Steady)
	case !live.Begun && live.PlannedAt != 0:
		r.unansweredAt = min(now.latest(live.PlannedAt)+maxStartDelay, o.formerOrdersUntil())
	}
}

// latest returns the latest time on the steady clock of this process at which the wall clock of another VM may have shown a time.
func (t Timestamp) latest(shown wigeonstep.UnixMillis) time.Duration {
	return t.Steady + time.Duration(shown-t.Wall)*time.Millisecond + wallMargin
}

// formerOrdersUntil returns the time until which an earlier owner that has not noticed this one may send orders.
func (o *Owner) formerOrdersUntil() time.Duration { return o.ownedSince + o.settings.ConfirmLimit }

// recordedOrder returns what the record of the run holds of an order that counts until renewedUntil. The record of an earlier owner stays
// as it is, also if it holds none: each owner that reads it allows for the wall clocks once.
func (r *run) recordedOrder(now Timestamp, renewedUntil time.Duration) wigeonstep.UnixMillis {
	if r.inherited && renewedUntil == r.mayBeginUntil() {
		return r.unansweredWall
	}
	return now.wallTime(renewedUntil - maxOrderDelay)
}

// certainEnd returns the time from which the run has certainly ended although its worker does not answer; 0 if the leases that the
// last known process of the worker has are all that matters.
func (o *Owner) certainEnd(r *run) time.Duration {
	renewed, begins := r.renewedUntil(), r.mayBeginUntil()
	switch {
	case renewed == 0:
		return 0
	case r.worker.gone && begins > r.worker.seenAt:
		// Nothing runs on the worker, and only that start can change it.
		return begins
	}
	return o.settings.longestLeaseEnd(renewed)
}

// acceptedByUnknownProcess reports whether a process accepted the start of the run that is not known to be the one that last answered.
func (r *run) acceptedByUnknownProcess() bool {
	return r.phase == runAccepted && !r.processKnown && !r.inherited && r.startKnownAt > 0
}

// adoptRun takes a run that the worker lists although it was given up as the run of its task, so that the task starts nowhere else: a
// late start has begun it in a later process. It returns nil if the task has another run that may have begun, or needs none.
func (o *Owner) adoptRun(now Timestamp, w *worker, id wigeonstep.RunID) *run {
	t := o.openTask(now, id.Task)
	if t == nil || t.done || t.givenUp || t.step.Gang || id.Number > t.lastRun {
		return nil
	}
	for _, other := range t.runs {
		if !other.unsent() {
			return nil
		}
		other.stopping, other.worker.settled = true, false
	}
	r := &run{
		task: t, number: id.Number, worker: w, phase: runUnknown, startKnownAt: now.Steady, speed: restoredSpeed, sentSpeed: -1,
		startSentAt: now.Steady, progressedAt: now.Steady, reportedAt: now.Steady,
		// A suspected task runs only on a worker of its own.
		stopping: t.suspected(),
	}
	o.attach(r)
	o.markTaskDirty(t)
	o.recordRunDecision("run_adopted", r, "it was given up, and a late start has begun it", 0)
	return r
}

// confirmProcess records whether a start was accepted by the process that last answered a heartbeat, by the clock in the answer: that
// of a process that has started since then shows less than the time that has passed. Otherwise the next heartbeat tells.
func (o *Owner) confirmProcess(now Timestamp, r *run, sent Start, clock wigeonstep.WorkerMillis) {
	w := r.worker
	sincePrevious := wigeonstep.WorkerMillis((now.Steady - w.seenAt).Milliseconds())
	r.processKnown = w.answered && sent.Order.Fence == o.token(w) && clock >= sent.Clock && sent.Clock > sincePrevious
	switch {
	case r.processKnown || !w.answered:
	case sent.Order.Fence == o.token(w) && clock > 0 && clock < sent.Clock:
		o.recordRunDecision("restart_suspected", r, "the worker's clock went back", now.Steady-w.seenAt)
		o.awaitNextProcess(now, w)
	default:
		w.askAtOnce, w.processInDoubt = true, true
	}
}

// awaitNextProcess prepares for the first answer of the process that has taken the place of the one that last answered. Heartbeats
// carry its own token from now on, and ask only.
func (o *Owner) awaitNextProcess(now Timestamp, w *worker) {
	startedAt := w.processStartedAt
	o.forgetProcess(now, w)
	// The next answer shows another start time, which tells that the runs of the former process have ended with it.
	w.processStartedAt = startedAt
	w.askAtOnce = true
}

// lapseCause says in which way a run on a silent worker is known to have ended.
func (o *Owner) lapseCause(r *run) string {
	switch {
	case o.certainEnd(r) == 0:
		return "the lease lapsed"
	case r.mayBeginUntil() > r.worker.seenAt:
		return "its start can't arrive any more, and the longest lease lapsed"
	}
	return "an unknown process accepted it, and the longest lease lapsed"
}
