package wigeonreplay

import (
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonadmission"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
	"github.com/wigeonstep/wigeonstep/wigeonretry"
	"github.com/wigeonstep/wigeonstep/wigeonrouting"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// serverPollInterval is the interval at which work that holds a slot retries to pick a backend server.
const serverPollInterval = 20 * time.Millisecond

// maxStartDelay is the maximum time from the arrival of a request to the start of its first run, as in wigeonentry.
const maxStartDelay = 4700 * time.Millisecond

// intentReserve is the part of maxStartDelay that is reserved for recording the intent, as in wigeonentry.
const intentReserve = 250 * time.Millisecond

// work is a request, or an attempt of a job, that an entry core queues or runs.
type work struct {
	stats *classStats
	key   routeKey
	class wigeondocument.Class
	// idempotencyKey is empty if the class is idempotent and the request carries no key.
	idempotencyKey wigeonstep.IdempotencyKey
	// job is nil for requests of short classes.
	job *job
	// attempt is the attempt number of the job on the log.
	attempt uint32
	arrived time.Duration
	// runTime is the remaining true run time.
	runTime time.Duration

	core        *entryCore
	incarnation int
	pool        *entryPool
	ticket      *wigeonadmission.Ticket
	// deadline is the caller's deadline, zero for jobs.
	deadline  time.Time
	grantedAt time.Duration
	sentAt    time.Duration
	// serverDeadline bounds the wait for a free backend server. It is zero before the first wait.
	serverDeadline time.Duration
	server         wigeonstep.VMID
	// attempts counts the picked servers, triedVMs lists those of failed attempts.
	attempts int
	triedVMs []wigeonstep.VMID
	// ran is set when a worker starts the work. It is reset if the worker stops the work and reports it as not run.
	ran bool
	// ended is set when the work leaves its entry core: with its outcome, by a cancellation, or before a retry of the job.
	ended bool
}

// active reports whether the work has not ended and its process runs in the same incarnation. While the process is
// paused, active returns false and schedules resume for the end of the pause.
func (w *work) active(resume func()) bool {
	if w.ended || w.core.crashed || w.core.incarnation != w.incarnation {
		return false
	}
	if d := w.core.driver; d.now < w.core.pausedUntil {
		d.schedule(w.core.pausedUntil-d.now, resume)
		return false
	}
	return true
}

// submit submits the work to the admission of the pool in the entry core.
func (w *work) submit(e *entryCore, pool wigeonstep.PoolName) {
	d := e.driver
	w.core, w.incarnation, w.pool = e, e.incarnation, e.pool(pool)
	w.ticket = &wigeonadmission.Ticket{Team: w.key.team, Class: w.key.class, Value: w}
	if w.job == nil {
		w.deadline = d.time().Add(w.class.Deadline())
		w.ticket.Deadline = w.deadline
		if latest := d.time().Add(maxStartDelay - intentReserve); w.idempotencyKey != "" && latest.Before(w.deadline) {
			w.ticket.Deadline = latest
		}
	}
	decision := w.pool.admission.Submit(d.time(), w.ticket)
	switch decision.Verdict {
	case wigeonadmission.Started:
		e.startWork(w.pool, []*wigeonadmission.Ticket{w.ticket})
	case wigeonadmission.Refused:
		w.refuse()
	case wigeonadmission.Queued:
		if w.job == nil {
			d.schedule(min(w.class.MaxQueue(), w.ticket.Deadline.Sub(d.time())), e.expireQueued)
		}
	}
}

// refuse ends the work with the outcome not_run. A job has no outcome yet: it is removed from the entry core
// and stays pending on the log.
func (w *work) refuse() {
	d := w.core.driver
	w.remove()
	if w.job != nil {
		return
	}
	w.stats.refused++
	w.stats.worstRefusal = max(w.stats.worstRefusal, d.now-w.arrived)
	if w.ran {
		d.counters.ranAfterRefusal++
	}
}

// remove marks the work as ended and removes it from the jobs and active keys of its entry core.
func (w *work) remove() {
	w.ended = true
	delete(w.core.activeKeys, w.idempotencyKey)
	if w.job != nil && w.core.jobs[w.job.id] == w {
		delete(w.core.jobs, w.job.id)
	}
}

// releaseSlot returns the slot to the admission and starts the work that the admission then grants a slot. A run time
// of zero leaves the run-time estimate of the class unchanged.
func (w *work) releaseSlot(runTime time.Duration) {
	w.core.startWork(w.pool, w.pool.admission.Finish(w.core.driver.time(), w.ticket, runTime))
}

// onSlotGranted continues work that has got a slot. A request with an idempotency key first records its intent on the
// log; jobs and other requests are sent at once.
func (w *work) onSlotGranted() {
	d := w.core.driver
	w.grantedAt = d.now
	if w.idempotencyKey == "" || w.job != nil {
		w.send()
		return
	}
	d.schedule(d.logLatency(), w.appendIntent)
}

// appendIntent appends the intent for the idempotency key and sends the request if the fold accepts the intent.
func (w *work) appendIntent() {
	if !w.active(w.appendIntent) {
		return
	}
	d := w.core.driver
	verdict, ok := d.append(w.core.process, &wigeonwire.Entry{Body: &wigeonwire.Entry_Intent{Intent: &wigeonwire.Intent{
		Key: string(w.idempotencyKey), Team: string(w.key.team), Class: string(w.key.class),
	}}})
	if ok && verdict.Accepted {
		w.send()
		return
	}
	if ok {
		// The fold refused the intent: another process may have recorded the key, and only that process may run the
		// request.
		w.endUnknown()
		return
	}
	// The intent was not appended, so no process has run the request.
	w.refuse()
	w.releaseSlot(0)
}

// endUnknown ends the work with the outcome unknown and releases its slot.
func (w *work) endUnknown() {
	w.stats.unknown++
	w.remove()
	w.releaseSlot(0)
}

// send picks a backend server and sends the work to it. Without a free server it retries later.
func (w *work) send() {
	if !w.active(w.send) {
		return
	}
	if w.startOverdue() {
		w.endUnserved()
		return
	}
	d := w.core.driver
	options := wigeonrouting.PickOptions{Exclude: w.triedVMs, LocalOnly: w.pool.localOnly, NoProbe: !w.class.Idempotent}
	server, ok := w.pool.picker.Pick(d.time(), options)
	if !ok && len(options.Exclude) > 0 {
		options.Exclude = nil
		server, ok = w.pool.picker.Pick(d.time(), options)
	}
	if !ok {
		w.waitForServer()
		return
	}
	w.server, w.sentAt = server.VM, d.now
	w.attempts++
	if w.job != nil {
		d.schedule(d.logLatency(), func() { w.startJob(server) })
		return
	}
	d.schedule(messageLatency, func() { d.machines[server.VM].serve(d, w, server.Epoch) })
}

// sendDeadline returns the latest time at which a further attempt may be sent: the caller's deadline, and before the
// first run also the end of maxStartDelay.
func (w *work) sendDeadline() time.Time {
	if latest := replayStart.Add(w.arrived + maxStartDelay); !w.ran && latest.Before(w.deadline) {
		return latest
	}
	return w.deadline
}

// startOverdue reports whether a request has not run within maxStartDelay. It is false for jobs.
func (w *work) startOverdue() bool {
	return w.job == nil && !w.ran && w.core.driver.now >= w.arrived+maxStartDelay
}

// waitForServer retries send after serverPollInterval. For requests the wait is bounded as in wigeonentry, by the maximum
// queue time of the class (at least 100 ms), maxStartDelay and the deadline. Jobs wait without a bound.
func (w *work) waitForServer() {
	d := w.core.driver
	if w.job != nil {
		d.schedule(serverPollInterval, w.send)
		return
	}
	if w.serverDeadline == 0 {
		w.serverDeadline = min(d.now+max(w.class.MaxQueue(), 100*time.Millisecond), w.sendDeadline().Sub(replayStart))
	}
	if d.now >= w.serverDeadline {
		w.endUnserved()
		return
	}
	d.schedule(min(serverPollInterval, w.serverDeadline-d.now), w.send)
}

// startJob records the start of the attempt on the log and sends the job if the fold accepts it.
func (w *work) startJob(server wigeonrouting.Server) {
	if !w.active(func() { w.startJob(server) }) {
		return
	}
	d := w.core.driver
	verdict, ok := d.append(w.core.process, &wigeonwire.Entry{Body: &wigeonwire.Entry_JobStart{JobStart: &wigeonwire.JobStart{
		Job: string(w.job.id), Attempt: w.attempt, Vm: string(server.VM),
	}}})
	if !ok || !verdict.Accepted {
		// The job stays pending in the fold, and the process that the fold assigns it to queues it again.
		w.pool.picker.Done(d.time(), server.VM, wigeonstep.BackendResult{Verdict: wigeonstep.BackendNotSent}, 0, 0)
		w.remove()
		w.releaseSlot(0)
		return
	}
	if w.job.cancelled {
		d.counters.ranAfterCancel++
	}
	d.schedule(messageLatency, func() { d.machines[server.VM].serve(d, w, server.Epoch) })
}

// recordRun records that a worker has started the work. Unless an earlier run of the work counts, it also
// records the wait, which ends with the sending of this attempt.
func (w *work) recordRun() {
	if !w.ran {
		w.stats.recordWait(w.sentAt - w.arrived)
	}
	w.ran = true
	if w.idempotencyKey != "" {
		w.core.driver.keyRuns[w.idempotencyKey]++
	}
	if w.ended {
		w.core.driver.counters.ranAfterRefusal++
	}
}

// undoRun reverts recordRun for a run that the worker stopped and reported as not run. The recorded wait stays, and
// the next run of the work records another one.
func (w *work) undoRun() {
	w.ran = false
	if w.idempotencyKey != "" {
		w.core.driver.keyRuns[w.idempotencyKey]--
	}
}

// handleResult handles the result of an attempt: it completes the work, retries it or ends it.
func (w *work) handleResult(result wigeonstep.BackendResult) {
	if !w.active(func() { w.handleResult(result) }) {
		return
	}
	d := w.core.driver
	w.pool.picker.Done(d.time(), w.server, result, d.now-w.sentAt, w.pool.admission.ExpectedRun(w.key.team, w.key.class))
	if result.Verdict == wigeonstep.BackendAnswered {
		w.complete()
		return
	}
	if w.job != nil {
		w.endJobAttempt(result.Verdict)
		return
	}
	w.triedVMs = append(w.triedVMs, w.server)
	retry, delay := wigeonretry.Decide(w.class.Retry, w.class.Idempotent, w.attempts, result, d.time(), w.sendDeadline(), w.pool.retryBudget(w.key.team), w.core.random)
	switch {
	case retry:
		d.schedule(delay, w.send)
	case result.Verdict.NotRun():
		w.endUnserved()
	default:
		w.endUnknown()
	}
}

// endUnserved ends work without a further attempt. The outcome is not_run, or unknown if an earlier attempt may have run.
func (w *work) endUnserved() {
	if w.ran {
		w.endUnknown()
		return
	}
	w.refuse()
	w.releaseSlot(0)
}

func (w *work) complete() {
	d := w.core.driver
	w.stats.done++
	if w.job != nil {
		w.appendJobEnd(wigeonwire.Outcome_OUTCOME_DONE)
	}
	w.remove()
	w.releaseSlot(d.now - w.grantedAt)
}

// endJobAttempt ends an attempt of a job that did not complete. After an attempt that did not run, the job becomes pending
// again. An attempt that may have run is repeated only if the class is idempotent.
func (w *work) endJobAttempt(verdict wigeonstep.BackendVerdict) {
	d := w.core.driver
	e, pool, j := w.core, w.pool.name, w.job
	w.remove()
	w.releaseSlot(0)
	switch {
	case verdict.NotRun():
		w.appendJobEnd(wigeonwire.Outcome_OUTCOME_NOT_RUN)
	case !w.class.Idempotent:
		w.stats.unknown++
		w.appendJobEnd(wigeonwire.Outcome_OUTCOME_UNKNOWN)
	default:
		j.runTime = w.runTime
		retry := d.newJobWork(j, w.attempt+1)
		e.jobs[j.id] = retry
		retry.submit(e, pool)
	}
}

func (w *work) appendJobEnd(outcome wigeonwire.Outcome) {
	w.job.runTime = w.runTime
	w.core.driver.appendWithRetry(w.core.process, &wigeonwire.Entry{Body: &wigeonwire.Entry_JobEnd{JobEnd: &wigeonwire.JobEnd{
		Job: string(w.job.id), Attempt: w.attempt, Outcome: outcome,
	}}})
}

// ownerOf returns the entry core that owns the key according to the view, or nil if there is none, it is not running,
// or it cannot be reached from the data centre.
func (d *driver) ownerOf(view *wigeonstate.View, from wigeonstep.DataCentreName, key wigeonstep.IdempotencyKey) *entryCore {
	owner := view.Owner(key)
	if owner == nil {
		return nil
	}
	for _, e := range d.entryCores {
		if e.session == owner.ID && e.isRunning() && d.connected(from, e.dataCentre) {
			return e
		}
	}
	return nil
}
