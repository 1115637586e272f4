// Package wigeononce runs a non-idempotent request at most once and gives each of its repetitions the same answer.
//
// Core decides; it reads no clock and does no I/O. Table executes its actions.
package wigeononce

import (
	"net/http"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// Limits bounds what a Core keeps. Zero fields get their defaults.
type Limits struct {
	// AnswersFor is how long an answer is kept, default 10 min.
	AnswersFor time.Duration
	// AnswerBytes bounds the kept answers, default 64 MB.
	AnswerBytes int
	// IssuedFor is how long an issued key may be used, default 24 h.
	IssuedFor time.Duration
	// Issued bounds the issued keys that are not used yet, default 200,000.
	Issued int
}

func (l *Limits) fill() {
	if l.AnswersFor <= 0 {
		l.AnswersFor = 10 * time.Minute
	}
	if l.AnswerBytes <= 0 {
		l.AnswerBytes = 64 << 20
	}
	if l.IssuedFor <= 0 {
		l.IssuedFor = 24 * time.Hour
	}
	if l.Issued <= 0 {
		l.Issued = 200_000
	}
}

type runState int

const (
	// runQueued waits for a slot; nothing is on the log.
	runQueued runState = iota
	// runIntending holds a slot; its intent may be on the log.
	runIntending
	// runDispatched may have reached a backend server.
	runDispatched
	// runEnded has its final answer.
	runEnded
)

// run is what the process knows of one key that it runs, ran or tried to run.
type run struct {
	id      RunID
	key     wigeonstep.Key
	hash    uint64
	request *wigeonstep.Request
	state   runState
	// issued is set for a key of an own session, which needs no intent.
	issued  bool
	waiters []WaiterID
	// response is the final answer in runEnded.
	response wigeonstep.Response
}

// waiter is one request that has no answer yet.
type waiter struct {
	arrive Arrive
	// run is the key's run that the waiter is attached to, nil while the waiter is forwarded, asks or waits.
	run *run
	// target is the session that the waiter was sent to.
	target wigeonstep.SessionID
}

// Core is the state machine of one process. It is not safe for concurrent use.
type Core struct {
	limits  Limits
	current wigeonstep.SessionID
	// mine are all sessions that this process has had.
	mine    map[wigeonstep.SessionID]bool
	runs    map[wigeonstep.Key]*run
	waiters map[WaiterID]*waiter
	kept    keptAnswers
	issued  issuedKeys
	lastRun RunID
}

// NewCore returns a Core without a session.
func NewCore(limits Limits) *Core {
	limits.fill()
	return &Core{
		limits:  limits,
		mine:    map[wigeonstep.SessionID]bool{},
		runs:    map[wigeonstep.Key]*run{},
		waiters: map[WaiterID]*waiter{},
		issued:  issuedKeys{unused: map[wigeonstep.Key]struct{}{}},
	}
}

// Step applies one event and returns what is to be done, in order.
func (c *Core) Step(now time.Time, event Event) []Action {
	c.expire(now)
	switch e := event.(type) {
	case Arrive:
		return c.arrive(e)
	case Admitted:
		return c.admitted(e)
	case Refused:
		return c.refused(e)
	case IntentJudged:
		return c.intentJudged(now, e)
	case Finished:
		return c.finished(now, e)
	case ForwardEnded:
		return c.forwardEnded(e)
	case AskEnded:
		return c.askEnded(e)
	case TimedOut:
		return c.timedOut(e)
	case SessionOpened:
		c.current = e.Session
		if e.Session != 0 {
			c.mine[e.Session] = true
		}
	}
	return nil
}

// Lookup answers another session's query for a request that this process ran. A withdrawn key may have run with another request since the query was made.
func (c *Core) Lookup(key wigeonstep.Key, hash uint64) (response wigeonstep.Response, found, running bool) {
	r := c.runs[key]
	if r == nil || r.hash != hash {
		return wigeonstep.Response{}, false, false
	}
	if r.state != runEnded {
		return wigeonstep.Response{}, true, true
	}
	return r.response, true, false
}

// Waiting returns the number of requests without an answer.
func (c *Core) Waiting() int { return len(c.waiters) }

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
	if fold := e.Place.Fold; fold != nil {
		return c.arriveKnown(w, fold)
	}
	if !c.mine[e.Place.Owner] {
		return c.pass(w, e.Place.Owner)
	}
	if !e.Place.LeaseValid {
		return c.answer(w, unknown("the lease of the owner has run out, so another process may have run the key"))
	}
	if e.Place.Stale && e.Place.Leaving {
		return c.answer(w, unknown("the log is out of reach and the owner is stopping"))
	}
	if e.Place.Stale {
		return c.answer(w, logOutOfReach())
	}
	if !e.Place.Settled {
		return []Action{Wait{Waiter: e.Waiter}}
	}
	return c.begin(w, false)
}

// attach joins a request to the run of its key.
func (c *Core) attach(w *waiter, r *run) []Action {
	if r.hash != w.arrive.Hash {
		return c.answer(w, reusedKey())
	}
	if r.state == runEnded {
		return c.answer(w, r.response)
	}
	w.run = r
	r.waiters = append(r.waiters, w.arrive.Waiter)
	return nil
}

func (c *Core) arriveIssued(w *waiter, issuer wigeonstep.SessionID) []Action {
	if !c.mine[issuer] {
		if w.arrive.Place.Owner != issuer {
			return c.answer(w, unknown("the process that issued the key is gone"))
		}
		return c.pass(w, issuer)
	}
	if !c.issued.use(w.arrive.Request.Key) {
		return c.answer(w, unknown("the issued key was used or has run out, and its answer is not kept"))
	}
	return c.begin(w, true)
}

// arriveKnown handles a key that has an intent but no run in this process.
func (c *Core) arriveKnown(w *waiter, fold *FoldKey) []Action {
	if fold.Hash != w.arrive.Hash {
		return c.answer(w, reusedKey())
	}
	if fold.Answer != nil {
		return c.answer(w, *fold.Answer)
	}
	if c.mine[fold.Session] {
		return c.answer(w, unknown("the answer of the key is not kept any more"))
	}
	w.target = fold.Session
	return []Action{Ask{Waiter: w.arrive.Waiter, Key: w.arrive.Request.Key, Hash: w.arrive.Hash, Session: fold.Session}}
}

// pass sends a request on to the session that may run its key.
func (c *Core) pass(w *waiter, owner wigeonstep.SessionID) []Action {
	id := w.arrive.Waiter
	if w.arrive.Forwarded {
		delete(c.waiters, id)
		return []Action{NotOwner{Waiter: id}}
	}
	if owner == 0 {
		return []Action{Wait{Waiter: id}}
	}
	w.target = owner
	return []Action{Forward{Waiter: id, Session: owner}}
}

func (c *Core) begin(w *waiter, issued bool) []Action {
	c.lastRun++
	r := &run{
		id: c.lastRun, key: w.arrive.Request.Key, hash: w.arrive.Hash, request: w.arrive.Request,
		issued: issued, waiters: []WaiterID{w.arrive.Waiter},
	}
	c.runs[r.key] = r
	w.run = r
	return []Action{Admit{Key: r.key, Run: r.id, Request: r.request}}
}

func (c *Core) find(key wigeonstep.Key, id RunID, state runState) *run {
	r := c.runs[key]
	if r == nil || r.id != id || r.state != state {
		return nil
	}
	return r
}

func (c *Core) admitted(e Admitted) []Action {
	r := c.find(e.Key, e.Run, runQueued)
	if r == nil {
		return []Action{Release{Key: e.Key, Run: e.Run}}
	}
	if len(r.waiters) == 0 {
		c.drop(r)
		return []Action{Release{Key: e.Key, Run: e.Run}}
	}
	if r.issued {
		return c.dispatch(r)
	}
	if !c.mine[e.Place.Owner] || e.Place.Fold != nil || !e.Place.Settled {
		return append([]Action{Release{Key: e.Key, Run: e.Run}}, c.again(r)...)
	}
	r.state = runIntending
	return []Action{Propose{Key: r.key, Run: r.id, Request: r.request, Hash: r.hash}}
}

func (c *Core) refused(e Refused) []Action {
	r := c.find(e.Key, e.Run, runQueued)
	if r == nil {
		return nil
	}
	return c.refuse(r, e.Response, e.Place)
}

// refuse ends a run without a slot and without an intent.
func (c *Core) refuse(r *run, response wigeonstep.Response, place Place) []Action {
	switch {
	case r.issued:
		c.issued.giveBack(r.key)
	case place.Fold != nil || !c.mine[place.Owner]:
		return c.again(r)
	case !place.mayRefuse():
		response = unknown("the request was refused by an owner whose lease has run out or that is stopping")
	}
	return c.dropAll(r, response)
}

func (c *Core) intentJudged(now time.Time, e IntentJudged) []Action {
	r := c.find(e.Key, e.Run, runIntending)
	if r == nil {
		return []Action{Release{Key: e.Key, Run: e.Run}}
	}
	release := []Action{Release{Key: r.key, Run: r.id}}
	switch e.Verdict {
	case IntentAccepted:
		// A key that is recorded and not dispatched is withdrawn, so that a repeated request may run it.
		if len(r.waiters) == 0 {
			c.drop(r)
			return append(release, Withdraw{Key: r.key})
		}
		if !e.Place.Settled {
			// The session changed while the entry waited for the log, and another session may still answer not_run.
			return append(append(release, Withdraw{Key: r.key}), c.dropAll(r, unknown("the owner of the key changed while the key was recorded"))...)
		}
		return c.dispatch(r)
	case IntentRefused:
		return append(release, c.again(r)...)
	case IntentNotAppended:
		return append(release, c.refuse(r, logOutOfReach(), e.Place)...)
	default:
		return append(release, c.end(now, r, unknown("the log did not confirm the record of the key"))...)
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
	r := c.find(e.Key, e.Run, runDispatched)
	if r == nil {
		return nil
	}
	if e.Response.Outcome != wigeonstep.OutcomeNotRun {
		return c.end(now, r, e.Response)
	}
	if r.issued {
		c.issued.giveBack(r.key)
		return c.dropAll(r, e.Response)
	}
	return append([]Action{Withdraw{Key: r.key}}, c.dropAll(r, e.Response)...)
}

func (c *Core) forwardEnded(e ForwardEnded) []Action {
	w := c.waiters[e.Waiter]
	if w == nil {
		return nil
	}
	if e.Answered {
		return c.answer(w, e.Response)
	}
	return []Action{c.rewait(w)}
}

func (c *Core) askEnded(e AskEnded) []Action {
	w := c.waiters[e.Waiter]
	switch {
	case w == nil:
		return nil
	case e.Running:
		return []Action{c.rewait(w)}
	case e.Found:
		return c.answer(w, e.Response)
	default:
		return c.answer(w, unknown("the session that recorded the key has no answer or is gone"))
	}
}

func (c *Core) timedOut(e TimedOut) []Action {
	w := c.waiters[e.Waiter]
	if w == nil {
		return nil
	}
	r := w.run
	response := wigeonstep.Unknown(true, "the deadline passed before the answer was known", stepOnce, peerOwner)
	_, issued := IssuedBy(w.arrive.Request.Key)
	if r == nil && w.target == 0 && !issued && e.Place.Fold == nil && c.mine[e.Place.Owner] && e.Place.mayRefuse() && c.runs[w.arrive.Request.Key] == nil {
		response = wigeonstep.NotRun(http.StatusServiceUnavailable, "the owner of the key has just changed", stepOnce, peerOwner, time.Second)
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
	if len(r.waiters) == 0 && r.state == runQueued {
		actions = append(actions, CancelAdmit{Key: r.key, Run: r.id})
	}
	return actions
}
