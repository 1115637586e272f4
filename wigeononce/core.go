// Package wigeononce implements idempotency keys: it runs a non-idempotent request at most once per key and answers its
// repetitions with the same response.
//
// A caller may choose the key itself or use one that a session issued. A caller's own key belongs to the session that
// owns its partition of the key space, which records an intent for the key on the log before it sends the request to a
// backend server. An issued key runs only on the session that issued it, which needs no intent.
//
// Core is a state machine that reads no clock and does no I/O; it turns events into actions. Table executes the
// actions.
package wigeononce

import (
	"net/http"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// Limits bounds the answers and issued keys that a Core holds in memory. Zero fields get their defaults.
type Limits struct {
	// AnswerTTL is the retention time of cached answers, default 10 min.
	AnswerTTL time.Duration
	// MaxAnswerBytes bounds the memory of cached answers, default 64 MB.
	MaxAnswerBytes int
	// IssuedKeyTTL is the time after which an unused issued key expires, default 24 h.
	IssuedKeyTTL time.Duration
	// MaxIssuedKeys bounds the issued keys that no request has used yet, default 200,000.
	MaxIssuedKeys int
}

func (l *Limits) setDefaults() {
	if l.AnswerTTL <= 0 {
		l.AnswerTTL = 10 * time.Minute
	}
	if l.MaxAnswerBytes <= 0 {
		l.MaxAnswerBytes = 64 << 20
	}
	if l.IssuedKeyTTL <= 0 {
		l.IssuedKeyTTL = 24 * time.Hour
	}
	if l.MaxIssuedKeys <= 0 {
		l.MaxIssuedKeys = 200_000
	}
}

type runState int

const (
	// runQueued: the run waits for a slot and no intent was proposed.
	runQueued runState = iota
	// runProposed: the run holds a slot and its intent may be on the log.
	runProposed
	// runDispatched: the request may have reached a backend server.
	runDispatched
	// runEnded: the final answer is known.
	runEnded
)

// run is the state of one attempt of this process to execute the request of a key, from queueing until its cached
// answer expires.
type run struct {
	id      RunID
	key     wigeonstep.IdempotencyKey
	hash    uint64
	request *wigeonstep.Request
	state   runState
	// issued is set for a key that a session of this process issued; it needs no intent.
	issued  bool
	waiters []WaiterID
	// response is the final answer; valid in runEnded only.
	response wigeonstep.Response
}

// waiter is one request that has not been answered yet.
type waiter struct {
	arrive Arrive
	// run is the run that the waiter is attached to, nil while the request is forwarded, an earlier session is queried, or
	// a retry is pending.
	run *run
	// target is the session that received the forwarded request or the query.
	target wigeonstep.SessionID
}

// Core is the state machine of one process. It is not safe for concurrent use.
type Core struct {
	limits         Limits
	currentSession wigeonstep.SessionID
	// ownSessions holds all past and present sessions of this process.
	ownSessions map[wigeonstep.SessionID]bool
	runs        map[wigeonstep.IdempotencyKey]*run
	waiters     map[WaiterID]*waiter
	answers     answerCache
	issued      issuedKeys
	lastRun     RunID
}

// NewCore returns a Core without a session.
func NewCore(limits Limits) *Core {
	limits.setDefaults()
	return &Core{
		limits:      limits,
		ownSessions: map[wigeonstep.SessionID]bool{},
		runs:        map[wigeonstep.IdempotencyKey]*run{},
		waiters:     map[WaiterID]*waiter{},
		issued:      issuedKeys{unused: map[wigeonstep.IdempotencyKey]struct{}{}},
	}
}

// Step applies one event and returns the actions to execute, in order.
func (c *Core) Step(now time.Time, event Event) []Action {
	c.expire(now)
	switch e := event.(type) {
	case Arrive:
		return c.arrive(e)
	case Admitted:
		return c.admitted(e)
	case Refused:
		return c.refused(e)
	case IntentResolved:
		return c.intentResolved(now, e)
	case Finished:
		return c.finished(now, e)
	case ForwardEnded:
		return c.forwardEnded(e)
	case QueryEnded:
		return c.queryEnded(e)
	case TimedOut:
		return c.timedOut(e)
	case SessionOpened:
		c.currentSession = e.Session
		if e.Session != 0 {
			c.ownSessions[e.Session] = true
		}
	}
	return nil
}

// Lookup answers another session's query for the response to a request that this process ran. It compares the hash because
// a key whose first request ended as not_run may have run with another request since.
func (c *Core) Lookup(key wigeonstep.IdempotencyKey, hash uint64) (response wigeonstep.Response, found, running bool) {
	r := c.runs[key]
	if r == nil || r.hash != hash {
		return wigeonstep.Response{}, false, false
	}
	if r.state != runEnded {
		return wigeonstep.Response{}, true, true
	}
	return r.response, true, false
}

// PendingRequests returns the number of requests that have not been answered yet.
func (c *Core) PendingRequests() int { return len(c.waiters) }

func (c *Core) arrive(e Arrive) []Action {
	w := c.waiters[e.Waiter]
	if w == nil {
		w = &waiter{}
		c.waiters[e.Waiter] = w
	}
	w.arrive, w.run, w.target = e, nil, 0
	if r := c.runs[e.Request.Key]; r != nil {
		return c.attach(w, r)
	}
	if issuer, ok := IssuedBy(e.Request.Key); ok {
		return c.arriveIssued(w, issuer)
	}
	if intent := e.Ownership.PriorIntent; intent != nil {
		return c.arriveRecorded(w, intent)
	}
	if !c.ownSessions[e.Ownership.Owner] {
		return c.routeToOwner(w, e.Ownership.Owner)
	}
	if !e.Ownership.LeaseValid {
		return c.answer(w, unknownResponse("the lease of the owner has run out, so another process may have run the key"))
	}
	if e.Ownership.LogStale && e.Ownership.Leaving {
		return c.answer(w, unknownResponse("the log is out of reach and the owner is stopping"))
	}
	if e.Ownership.LogStale {
		return c.answer(w, logUnavailableResponse())
	}
	if !e.Ownership.HandoverDone {
		return []Action{Retry{Waiter: e.Waiter}}
	}
	return c.startRun(w, false)
}

// attach adds a request to the run of its key, or answers it at once when the run has ended or the request differs.
func (c *Core) attach(w *waiter, r *run) []Action {
	if r.hash != w.arrive.Hash {
		return c.answer(w, reusedKeyResponse())
	}
	if r.state == runEnded {
		return c.answer(w, r.response)
	}
	w.run = r
	r.waiters = append(r.waiters, w.arrive.Waiter)
	return nil
}

// arriveIssued handles a request with an issued key that has no run in this process.
func (c *Core) arriveIssued(w *waiter, issuer wigeonstep.SessionID) []Action {
	if !c.ownSessions[issuer] {
		if w.arrive.Ownership.Owner != issuer {
			return c.answer(w, unknownResponse("the process that issued the key is gone"))
		}
		return c.routeToOwner(w, issuer)
	}
	if !c.issued.claim(w.arrive.Request.Key) {
		return c.answer(w, unknownResponse("the issued key was used or has run out, and its answer is not kept"))
	}
	return c.startRun(w, true)
}

// arriveRecorded handles a request whose key has an accepted intent but no run in this process.
func (c *Core) arriveRecorded(w *waiter, intent *RecordedIntent) []Action {
	if intent.Hash != w.arrive.Hash {
		return c.answer(w, reusedKeyResponse())
	}
	if intent.Answer != nil {
		return c.answer(w, *intent.Answer)
	}
	if c.ownSessions[intent.Session] {
		return c.answer(w, unknownResponse("the answer of the key is not kept any more"))
	}
	w.target = intent.Session
	return []Action{Query{Waiter: w.arrive.Waiter, Key: w.arrive.Request.Key, Hash: w.arrive.Hash, Session: intent.Session}}
}

// routeToOwner forwards a request to the session that may run its key. If another process forwarded the request, that
// process gets NotOwner instead. If no session owns the key, the request is retried later.
func (c *Core) routeToOwner(w *waiter, owner wigeonstep.SessionID) []Action {
	id := w.arrive.Waiter
	if w.arrive.Forwarded {
		delete(c.waiters, id)
		return []Action{NotOwner{Waiter: id}}
	}
	if owner == 0 {
		return []Action{Retry{Waiter: id}}
	}
	w.target = owner
	return []Action{Forward{Waiter: id, Session: owner}}
}

func (c *Core) startRun(w *waiter, issued bool) []Action {
	c.lastRun++
	r := &run{
		id: c.lastRun, key: w.arrive.Request.Key, hash: w.arrive.Hash, request: w.arrive.Request,
		issued: issued, waiters: []WaiterID{w.arrive.Waiter},
	}
	c.runs[r.key] = r
	w.run = r
	return []Action{Admit{Key: r.key, Run: r.id, Request: r.request}}
}

func (c *Core) findRun(key wigeonstep.IdempotencyKey, id RunID, state runState) *run {
	r := c.runs[key]
	if r == nil || r.id != id || r.state != state {
		return nil
	}
	return r
}

func (c *Core) admitted(e Admitted) []Action {
	r := c.findRun(e.Key, e.Run, runQueued)
	if r == nil {
		return []Action{Release{Key: e.Key, Run: e.Run}}
	}
	if len(r.waiters) == 0 {
		c.removeRun(r)
		return []Action{Release{Key: e.Key, Run: e.Run}}
	}
	if r.issued {
		return c.dispatch(r)
	}
	if !c.ownSessions[e.Ownership.Owner] || e.Ownership.PriorIntent != nil || !e.Ownership.HandoverDone {
		return append([]Action{Release{Key: e.Key, Run: e.Run}}, c.removeAndRetry(r)...)
	}
	r.state = runProposed
	return []Action{Propose{Key: r.key, Run: r.id, Request: r.request, Hash: r.hash}}
}

func (c *Core) refused(e Refused) []Action {
	r := c.findRun(e.Key, e.Run, runQueued)
	if r == nil {
		return nil
	}
	return c.refuse(r, e.Response, e.Ownership)
}

// refuse ends a run that has no intent on the log. The waiters are retried if the key meanwhile has an intent or
// another owner. Otherwise they get the response, or unknown if this process may no longer answer not_run.
func (c *Core) refuse(r *run, response wigeonstep.Response, ownership Ownership) []Action {
	switch {
	case r.issued:
		c.issued.restore(r.key)
	case ownership.PriorIntent != nil || !c.ownSessions[ownership.Owner]:
		return c.removeAndRetry(r)
	case !ownership.mayAnswerNotRun():
		response = unknownResponse("the request was refused by an owner whose lease has run out or that is stopping")
	}
	return c.removeAndAnswer(r, response)
}

func (c *Core) intentResolved(now time.Time, e IntentResolved) []Action {
	r := c.findRun(e.Key, e.Run, runProposed)
	if r == nil {
		return []Action{Release{Key: e.Key, Run: e.Run}}
	}
	release := []Action{Release{Key: r.key, Run: r.id}}
	switch e.Verdict {
	case IntentAccepted:
		// All waiters timed out before the intent was accepted. A repeated request may run the key only after the
		// outcome not_run is recorded.
		if len(r.waiters) == 0 {
			c.removeRun(r)
			return append(release, RecordNotRun{Key: r.key})
		}
		if !e.Ownership.HandoverDone {
			// The intent was accepted under a newer session of this process, whose handover is not done: another session
			// may still regard itself as the owner and answer not_run, so the request must not run.
			return append(append(release, RecordNotRun{Key: r.key}), c.removeAndAnswer(r, unknownResponse("the owner of the key changed while the key was recorded"))...)
		}
		return c.dispatch(r)
	case IntentRejected:
		return append(release, c.removeAndRetry(r)...)
	case IntentNotAppended:
		return append(release, c.refuse(r, logUnavailableResponse(), e.Ownership)...)
	default:
		return append(release, c.endRun(now, r, unknownResponse("the log did not confirm the record of the key"))...)
	}
}

func (c *Core) dispatch(r *run) []Action {
	r.state = runDispatched
	var deadline time.Time
	for _, id := range r.waiters {
		if d := c.waiters[id].arrive.Deadline; d.After(deadline) {
			deadline = d
		}
	}
	return []Action{Dispatch{Key: r.key, Run: r.id, Request: r.request, Deadline: deadline}}
}

func (c *Core) finished(now time.Time, e Finished) []Action {
	r := c.findRun(e.Key, e.Run, runDispatched)
	if r == nil {
		return nil
	}
	if e.Response.Outcome != wigeonstep.OutcomeNotRun {
		return c.endRun(now, r, e.Response)
	}
	if r.issued {
		c.issued.restore(r.key)
		return c.removeAndAnswer(r, e.Response)
	}
	// Table sends the answers before it executes RecordNotRun.
	return append([]Action{RecordNotRun{Key: r.key}}, c.removeAndAnswer(r, e.Response)...)
}

func (c *Core) forwardEnded(e ForwardEnded) []Action {
	w := c.waiters[e.Waiter]
	if w == nil {
		return nil
	}
	if e.Answered {
		return c.answer(w, e.Response)
	}
	return []Action{c.retryWaiter(w)}
}

func (c *Core) queryEnded(e QueryEnded) []Action {
	w := c.waiters[e.Waiter]
	switch {
	case w == nil:
		return nil
	case e.Running:
		return []Action{c.retryWaiter(w)}
	case e.Found:
		return c.answer(w, e.Response)
	default:
		return c.answer(w, unknownResponse("the session that recorded the key has no answer or is gone"))
	}
}

func (c *Core) timedOut(e TimedOut) []Action {
	w := c.waiters[e.Waiter]
	if w == nil {
		return nil
	}
	r := w.run
	response := wigeonstep.UnknownResponse(true, "the deadline passed before the answer was known", stepOnce, peerOwner)
	_, issued := IssuedBy(w.arrive.Request.Key)
	// The outcome is not_run only if the key has certainly not run: this process owns it, may answer not_run, and has
	// neither a run nor a recorded intent for it. An intent of an earlier owner would be in the folded state that shows
	// the new owner. The condition excludes issued keys, which run without an intent, and requests that another session
	// received in a forward or query (target).
	if r == nil && w.target == 0 && !issued && e.Ownership.PriorIntent == nil && c.ownSessions[e.Ownership.Owner] && e.Ownership.mayAnswerNotRun() && c.runs[w.arrive.Request.Key] == nil {
		response = wigeonstep.NotRunResponse(http.StatusServiceUnavailable, "the owner of the key has just changed", stepOnce, peerOwner, time.Second)
	}
	actions := c.answer(w, response)
	if r == nil {
		return actions
	}
	for i, id := range r.waiters {
		if id == e.Waiter {
			r.waiters = append(r.waiters[:i], r.waiters[i+1:]...)
			break
		}
	}
	// Later states may have an intent on the log or a request at a backend server. Such a run continues without waiters, so
	// that its outcome is recorded or its answer cached.
	if len(r.waiters) == 0 && r.state == runQueued {
		actions = append(actions, CancelAdmit{Key: r.key, Run: r.id})
	}
	return actions
}
