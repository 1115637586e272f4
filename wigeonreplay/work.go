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

// serverPoll is how often work that holds a slot looks for a free server.
const serverPoll = 20 * time.Millisecond

// startWithin is how long after its arrival short work starts at the latest, as in wigeonentry.
const startWithin = 4700 * time.Millisecond

// intentReserve is the part of startWithin that stays for the intent, as in wigeonentry.
const intentReserve = 250 * time.Millisecond

// work is one request, or one attempt of a job, on its way through an entry core.
type work struct {
	stream *stream
	key    routeKey
	class  wigeondocument.Class
	// idempotencyKey is empty for idempotent requests.
	idempotencyKey wigeonstep.Key
	// job is nil for short work.
	job     *job
	attempt uint32
	arrived time.Duration
	// run is what is left of the true run time.
	run time.Duration

	entry  *entry
	life   int
	pool   *entryPool
	ticket *wigeonadmission.Ticket
	// deadline is that of the caller.
	deadline time.Time
	grantAt  time.Duration
	sentAt   time.Duration
	// serverUntil bounds the wait for a free server; zero before the first wait.
	serverUntil time.Duration
	server      wigeonstep.VMID
	attempts    int
	tried       []wigeonstep.VMID
	// ran is set while the worker runs the work or has run it.
	ran bool
	// ended is set with the final outcome.
	ended bool
}

// alive reports whether the process that holds the work still runs in the same life. A paused process goes on later.
func (w *work) alive(again func()) bool {
	if w.ended || w.entry.dead || w.entry.life != w.life {
		return false
	}
	if d := w.entry.driver; d.now < w.entry.pausedUntil {
		d.after(w.entry.pausedUntil-d.now, again)
		return false
	}
	return true
}

// submit asks the entry core for a slot.
func (w *work) submit(e *entry, pool wigeonstep.PoolName) {
	d := e.driver
	w.entry, w.life, w.pool = e, e.life, e.pool(pool)
	w.ticket = &wigeonadmission.Ticket{Team: w.key.team, Class: w.key.class, Value: w}
	if w.job == nil {
		w.deadline = d.time().Add(w.class.Deadline())
		w.ticket.Deadline = w.deadline
		if latest := d.time().Add(startWithin - intentReserve); w.idempotencyKey != "" && latest.Before(w.deadline) {
			w.ticket.Deadline = latest
		}
	}
	decision := w.pool.admit.Submit(d.time(), w.ticket)
	switch decision.Verdict {
	case wigeonadmission.Started:
		e.begin(w.pool, []*wigeonadmission.Ticket{w.ticket})
	case wigeonadmission.Refused:
		w.refused()
	case wigeonadmission.Queued:
		if w.job == nil {
			d.after(min(w.class.MaxQueue(), w.ticket.Deadline.Sub(d.time())), e.expire)
		}
	}
}

// refused ends work that gets no slot: the outcome is not_run.
func (w *work) refused() {
	d := w.entry.driver
	w.end()
	if w.job != nil {
		return
	}
	w.stream.refused++
	w.stream.worstRefusal = max(w.stream.worstRefusal, d.now-w.arrived)
	if w.ran {
		d.measured.ranAfterRefusal++
	}
}

// end takes the work out of the books of its process.
func (w *work) end() {
	w.ended = true
	delete(w.entry.keys, w.idempotencyKey)
	if w.job != nil && w.entry.jobs[w.job.id] == w {
		delete(w.entry.jobs, w.job.id)
	}
}

// release gives the slot back; a run time of zero teaches nothing.
func (w *work) release(run time.Duration) {
	w.entry.begin(w.pool, w.pool.admit.Finish(w.entry.driver.time(), w.ticket, run))
}

// granted goes on once the work holds a slot. Work that must run at most once waits for its record on the log.
func (w *work) granted() {
	d := w.entry.driver
	w.grantAt = d.now
	if w.idempotencyKey == "" || w.job != nil {
		w.send()
		return
	}
	d.after(d.logDelay(), w.intend)
}

// intend appends the intent of the key and sends the request when the fold has accepted it.
func (w *work) intend() {
	if !w.alive(w.intend) {
		return
	}
	d := w.entry.driver
	verdict, ok := d.append(w.entry.process, &wigeonwire.Entry{Body: &wigeonwire.Entry_Intent{Intent: &wigeonwire.Intent{
		Key: string(w.idempotencyKey), Team: string(w.key.team), Class: string(w.key.class),
	}}})
	if ok && verdict.Accepted {
		w.send()
		return
	}
	if ok {
		// Another owner has the key; only that one may run it.
		w.unknown()
		return
	}
	// Nothing was appended, so the request did not run.
	w.refused()
	w.release(0)
}

// unknown ends work whose process cannot say whether it ran.
func (w *work) unknown() {
	w.stream.unknown++
	w.end()
	w.release(0)
}

// send looks for a server and makes one attempt.
func (w *work) send() {
	if !w.alive(w.send) {
		return
	}
	if w.late() {
		w.failed()
		return
	}
	d := w.entry.driver
	want := wigeonrouting.Want{Exclude: w.tried, LocalOnly: w.pool.localOnly, NoProbe: !w.class.Idempotent}
	server, ok := w.pool.route.Pick(d.time(), want)
	if !ok && len(want.Exclude) > 0 {
		want.Exclude = nil
		server, ok = w.pool.route.Pick(d.time(), want)
	}
	if !ok {
		w.await()
		return
	}
	w.server, w.sentAt = server.VM, d.now
	w.attempts++
	if w.job != nil {
		d.after(d.logDelay(), func() { w.startJob(server) })
		return
	}
	d.after(network, func() { d.machines[server.VM].serve(d, w, server.Epoch) })
}

// sendBy returns until when a further attempt may be sent.
func (w *work) sendBy() time.Time {
	if latest := epoch.Add(w.arrived + startWithin); !w.ran && latest.Before(w.deadline) {
		return latest
	}
	return w.deadline
}

// late reports whether the time to start has passed and nothing has run yet.
func (w *work) late() bool {
	return w.job == nil && !w.ran && w.entry.driver.now >= w.arrived+startWithin
}

// await tries again later. The wait is bounded as in wigeonentry: by the queue time of the class, the time to start and the deadline.
func (w *work) await() {
	d := w.entry.driver
	if w.job != nil {
		d.after(serverPoll, w.send)
		return
	}
	if w.serverUntil == 0 {
		w.serverUntil = min(d.now+max(w.class.MaxQueue(), 100*time.Millisecond), w.sendBy().Sub(epoch))
	}
	if d.now >= w.serverUntil {
		w.failed()
		return
	}
	d.after(min(serverPoll, w.serverUntil-d.now), w.send)
}

// startJob records the attempt and sends the job when the fold has accepted it.
func (w *work) startJob(server wigeonrouting.Server) {
	if !w.alive(func() { w.startJob(server) }) {
		return
	}
	d := w.entry.driver
	verdict, ok := d.append(w.entry.process, &wigeonwire.Entry{Body: &wigeonwire.Entry_JobStart{JobStart: &wigeonwire.JobStart{
		Job: string(w.job.id), Attempt: w.attempt, Vm: string(server.VM),
	}}})
	if !ok || !verdict.Accepted {
		// The job stays pending in the fold, and its home takes it up again.
		w.pool.route.Done(d.time(), server.VM, wigeonstep.BackendResult{Verdict: wigeonstep.BackendNotSent}, 0, 0)
		w.end()
		w.release(0)
		return
	}
	if w.job.cancelled {
		d.measured.ranAfterCancel++
	}
	d.after(network, func() { d.machines[server.VM].serve(d, w, server.Epoch) })
}

// began counts a run of the work on a worker. The wait ends with the sending of the first attempt that runs.
func (w *work) began() {
	if !w.ran {
		w.stream.wait(w.sentAt - w.arrived)
	}
	w.ran = true
	if w.idempotencyKey != "" {
		w.entry.driver.keyRuns[w.idempotencyKey]++
	}
	if w.ended {
		w.entry.driver.measured.ranAfterRefusal++
	}
}

// undo takes back a run that the worker stopped and reported as not run.
func (w *work) undo() {
	w.ran = false
	if w.idempotencyKey != "" {
		w.entry.driver.keyRuns[w.idempotencyKey]--
	}
}

// answer takes the result of an attempt.
func (w *work) answer(result wigeonstep.BackendResult) {
	if !w.alive(func() { w.answer(result) }) {
		return
	}
	d := w.entry.driver
	w.pool.route.Done(d.time(), w.server, result, d.now-w.sentAt, w.pool.admit.ExpectedRun(w.key.team, w.key.class))
	if result.Verdict == wigeonstep.BackendWhole {
		w.done()
		return
	}
	if w.job != nil {
		w.jobFailed(result.Verdict)
		return
	}
	w.tried = append(w.tried, w.server)
	again, delay := wigeonretry.Decide(w.class.Retry, w.class.Idempotent, w.attempts, result, d.time(), w.sendBy(), w.pool.budget(w.key.team), w.entry.random)
	switch {
	case again:
		d.after(delay, w.send)
	case result.Verdict.NotRun():
		w.failed()
	default:
		w.unknown()
	}
}

// failed ends work that reached no further server: the outcome is not_run unless an earlier attempt may have run.
func (w *work) failed() {
	if w.ran {
		w.unknown()
		return
	}
	w.refused()
	w.release(0)
}

func (w *work) done() {
	d := w.entry.driver
	w.stream.done++
	if w.job != nil {
		w.endJob(wigeonwire.Outcome_OUTCOME_DONE)
	}
	w.end()
	w.release(d.now - w.grantAt)
}

// jobFailed ends an attempt of a job. Work that may have run starts again only when its class is idempotent.
func (w *work) jobFailed(verdict wigeonstep.BackendVerdict) {
	d := w.entry.driver
	e, pool, j := w.entry, w.pool.name, w.job
	w.end()
	w.release(0)
	switch {
	case verdict.NotRun():
		w.endJob(wigeonwire.Outcome_OUTCOME_NOT_RUN)
	case !w.class.Idempotent:
		w.stream.unknown++
		w.endJob(wigeonwire.Outcome_OUTCOME_UNKNOWN)
	default:
		j.run = w.run
		again := d.jobWork(j, w.attempt+1)
		e.jobs[j.id] = again
		again.submit(e, pool)
	}
}

func (w *work) endJob(outcome wigeonwire.Outcome) {
	w.job.run = w.run
	w.entry.driver.appendSurely(w.entry.process, &wigeonwire.Entry{Body: &wigeonwire.Entry_JobEnd{JobEnd: &wigeonwire.JobEnd{
		Job: string(w.job.id), Attempt: w.attempt, Outcome: outcome,
	}}})
}

// ownerOf returns the entry core that owns the key by the view, or nil when that one is not reachable.
func (d *driver) ownerOf(view *wigeonstate.View, from wigeonstep.DataCentreName, key wigeonstep.Key) *entry {
	owner := view.Owner(key)
	if owner == nil {
		return nil
	}
	for _, e := range d.entries {
		if e.session == owner.ID && e.runs() && d.connected(from, e.dataCentre) {
			return e
		}
	}
	return nil
}
