package wigeononce

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// Follower is the subset of the log follower that a Table uses.
type Follower interface {
	wigeonstep.Proposer[*wigeonwire.Entry]
	View() *wigeonstate.View
	Read(fn func(state *wigeonstate.State))
	Session() wigeonstep.SessionID
	LeaseValid() bool
	ConfirmedAge() time.Duration
}

// Slot is the admission of one request to a backend server.
type Slot interface {
	// Intent returns the entry that has to be recorded on the log before the request may be sent. It contains the key and
	// the request hash.
	Intent(hash uint64) *wigeonwire.Entry
	// Dispatch sends the request, releases the slot and returns the final answer.
	Dispatch(ctx context.Context, deadline time.Time) wigeonstep.Response
	// Release releases the slot without sending the request.
	Release()
}

// Runner admits requests to the backend servers.
type Runner interface {
	// Admit waits for a slot. It returns either a slot, or nil and the refusal.
	Admit(ctx context.Context, request *wigeonstep.Request) (Slot, wigeonstep.Response)
}

// Peers is the client of the other entry processes.
type Peers interface {
	// Forward has another session serve the request; ok is false when it gave no answer or may not run the key.
	Forward(ctx context.Context, session *wigeonstate.Session, request *wigeonstep.Request, deadline time.Time) (response wigeonstep.Response, ok bool)
	// Query returns the answer that the session has cached for a key and the hash of its request.
	Query(ctx context.Context, session *wigeonstate.Session, key wigeonstep.IdempotencyKey, hash uint64) (response wigeonstep.Response, found, running bool)
}

// Config configures a Table.
type Config struct {
	Limits
	// Follower, Runner and Peers are required.
	Follower Follower
	Runner   Runner
	Peers    Peers
	// IntentTimeout bounds the wait for the verdict on an intent, during which the request holds a slot, default 2 s.
	IntentTimeout time.Duration
	// MaxViewAge is the confirmed age of the view from which new requests with callers' own keys are refused at once,
	// default 2 s.
	MaxViewAge time.Duration
	// RecordedAnswer returns the answer that the folded state itself holds for a key, nil when it holds none. It is
	// called under the follower's lock, while no record is applied. Optional.
	RecordedAnswer func(key *wigeonwire.Key) *wigeonstep.Response
	// AppliedOffset returns the applied offset that a session reported to this process directly, zero when none. Optional.
	AppliedOffset func(session wigeonstep.SessionID) wigeonstep.Offset
	// Now returns the wall clock time, default time.Now.
	Now func() time.Time
}

// Table runs requests at most once per key. It is safe for concurrent use.
type Table struct {
	config       Config
	shuttingDown atomic.Bool

	mu         sync.Mutex
	core       *Core
	handover   Handover
	session    wigeonstep.SessionID
	lastWaiter WaiterID
	// inboxes holds the action channel of each request in Serve.
	inboxes map[WaiterID]chan Action
	runs    map[RunID]*runHandle
	// forwardRetries limits the repeated forwards to sessions that failed, over all keys. The limit is absolute, because a
	// share of the first forwards would allow no retry at a low request rate.
	forwardRetries *rate.Limiter
}

// runHandle holds the resources of one run: the context of its admission and, once admitted, its slot.
type runHandle struct {
	ctx    context.Context
	cancel context.CancelFunc
	// slot is set before the core gets Admitted. Propose, Dispatch and Release only follow that event.
	slot Slot
}

// NewTable returns an empty Table.
func NewTable(config Config) *Table {
	if config.IntentTimeout <= 0 {
		config.IntentTimeout = 2 * time.Second
	}
	if config.MaxViewAge <= 0 {
		config.MaxViewAge = 2 * time.Second
	}
	if config.AppliedOffset == nil {
		config.AppliedOffset = func(wigeonstep.SessionID) wigeonstep.Offset { return 0 }
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Table{
		config: config, core: NewCore(config.Limits),
		inboxes: map[WaiterID]chan Action{}, runs: map[RunID]*runHandle{},
		forwardRetries: rate.NewLimiter(forwardRetriesPerSecond, forwardRetriesPerSecond),
	}
}

// Issue returns new keys that only this process can run; nil when it has no session or holds too many issued keys.
func (t *Table) Issue(count int) []wigeonstep.IdempotencyKey {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.syncSession()
	return t.core.Issue(t.config.Now(), count, rand.Uint64)
}

// Lookup returns the cached answer for a key and the hash of its request. running is set while the request still runs.
func (t *Table) Lookup(key wigeonstep.IdempotencyKey, hash uint64) (response wigeonstep.Response, found, running bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.Lookup(key, hash)
}

// PendingRequests returns the number of requests that have not been answered yet.
func (t *Table) PendingRequests() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.PendingRequests()
}

// Serve answers a request that has a key and a deadline. forwarded is set for a request that another entry process
// forwarded; owner is false when this process may not run the key of such a request.
func (t *Table) Serve(ctx context.Context, request *wigeonstep.Request, forwarded bool) (response wigeonstep.Response, owner bool) {
	arrive := Arrive{Request: request, Hash: HashRequest(request), Deadline: request.Deadline, Forwarded: forwarded}
	inbox := make(chan Action, 4)
	t.mu.Lock()
	t.lastWaiter++
	arrive.Waiter = t.lastWaiter
	t.inboxes[arrive.Waiter] = inbox
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		delete(t.inboxes, arrive.Waiter)
		t.mu.Unlock()
	}()
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	w := &pendingRequest{table: t, arrive: arrive, ctx: ctx, inbox: inbox}
	w.submit()
	return w.loop()
}

// pendingRequest is the state of one call of Serve.
type pendingRequest struct {
	table    *Table
	arrive   Arrive
	ctx      context.Context //nolint:containedctx // the value lives as long as the call that made it
	inbox    chan Action
	attempts int
}

func (w *pendingRequest) submit() {
	w.arrive.Ownership = w.table.ownership(w.arrive.Request.Key)
	w.table.step(w.arrive)
}

func (w *pendingRequest) loop() (wigeonstep.Response, bool) {
	done := w.ctx.Done()
	for {
		select {
		case <-done:
			done = nil
			w.table.step(TimedOut{Waiter: w.arrive.Waiter, Ownership: w.table.ownership(w.arrive.Request.Key)})
		case action := <-w.inbox:
			switch a := action.(type) {
			case Answer:
				return a.Response, true
			case NotOwner:
				return wigeonstep.Response{}, false
			case Forward:
				w.forward(a)
			case Query:
				w.query(a)
			case Retry:
				w.retry(a)
			}
		}
	}
}

func (w *pendingRequest) forward(a Forward) {
	ended := ForwardEnded{Waiter: a.Waiter}
	if session := w.table.findSession(a.Session); session != nil {
		ended.Response, ended.Answered = w.table.config.Peers.Forward(w.ctx, session, w.arrive.Request, w.arrive.Deadline)
	}
	w.table.step(ended)
}

func (w *pendingRequest) query(a Query) {
	ended := QueryEnded{Waiter: a.Waiter}
	if session := w.table.findSession(a.Session); session != nil {
		ended.Response, ended.Found, ended.Running = w.table.config.Peers.Query(w.ctx, session, a.Key, a.Hash)
	}
	w.table.step(ended)
}

const (
	minRetryDelay = 10 * time.Millisecond
	maxRetryDelay = 250 * time.Millisecond
	// forwardRetriesPerSecond limits the repeated forwards of one process.
	forwardRetriesPerSecond = 100
)

// retry delivers the request to the core again after an exponential delay with jitter. While the session that failed
// still owns the key, a repetition also needs a token of the forward retry limiter, and otherwise waits for another
// delay.
func (w *pendingRequest) retry(a Retry) {
	for {
		maxDelay := min(minRetryDelay<<min(w.attempts, 8), maxRetryDelay)
		w.attempts++
		timer := time.NewTimer(maxDelay/2 + rand.N(maxDelay/2))
		select {
		case <-w.ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		w.arrive.Ownership = w.table.ownership(w.arrive.Request.Key)
		if a.FailedSession == 0 || w.arrive.Ownership.Owner != a.FailedSession || w.table.forwardRetries.Allow() {
			w.table.step(w.arrive)
			return
		}
	}
}

// findSession returns the session from the current view, nil when the view does not contain it.
func (t *Table) findSession(id wigeonstep.SessionID) *wigeonstate.Session {
	for _, s := range t.config.Follower.View().Sessions {
		if s.ID == id {
			return s
		}
	}
	return nil
}

// BeginShutdown makes the table answer unknown instead of not_run for callers' own keys. It must be called before the
// renewal that marks the session as closing is appended to the log, because another session owns the keys as soon as it
// is applied.
func (t *Table) BeginShutdown() { t.shuttingDown.Store(true) }

// ObserveView updates the handover with a new view. Without it, only requests would update the handover, and the first ones
// would wait for it.
func (t *Table) ObserveView(view *wigeonstate.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handover.Done(view, t.config.Follower.Session(), t.config.AppliedOffset)
}

// ownership reads the current ownership of a key. For an issued key only the owner is set.
func (t *Table) ownership(key wigeonstep.IdempotencyKey) Ownership {
	f := t.config.Follower
	o := Ownership{}
	if issuer, ok := IssuedBy(key); ok {
		if t.findSession(issuer) != nil {
			o.Owner = issuer
		}
		return o
	}
	view := f.View()
	if owner := view.Owner(key); owner != nil {
		o.Owner = owner.ID
	}
	f.Read(func(state *wigeonstate.State) {
		if k, ok := state.Key(key); ok && k.GetOutcome() != wigeonwire.Outcome_OUTCOME_NOT_RUN {
			o.PriorIntent = &RecordedIntent{Session: wigeonstep.SessionID(k.GetSession()), Hash: k.GetRequestHash()}
			if t.config.RecordedAnswer != nil {
				o.PriorIntent.Answer = t.config.RecordedAnswer(k)
			}
		}
	})
	o.LeaseValid, o.Leaving = f.LeaseValid(), t.shuttingDown.Load()
	o.LogStale = f.ConfirmedAge() >= t.config.MaxViewAge
	t.mu.Lock()
	o.HandoverDone = t.handover.Done(view, f.Session(), t.config.AppliedOffset)
	t.mu.Unlock()
	return o
}

// syncSession passes a changed session id on to the core. The caller holds t.mu.
func (t *Table) syncSession() {
	if s := t.config.Follower.Session(); s != t.session {
		t.session = s
		t.core.Step(t.config.Now(), SessionOpened{Session: s})
	}
}

// step applies an event to the core. Under the lock it sends the actions for waiters to their inboxes and starts or
// cancels admissions. The other actions belong to a run and may block. The calling goroutine, which is the one that admit
// runs on, executes them after the lock is released, so waiters have their answers by then.
func (t *Table) step(event Event) {
	t.mu.Lock()
	t.syncSession()
	actions := t.core.Step(t.config.Now(), event)
	var runActions []Action
	for _, action := range actions {
		if id, ok := waiterOf(action); ok {
			t.inboxes[id] <- action
			continue
		}
		switch a := action.(type) {
		case Admit:
			handle := &runHandle{}
			handle.ctx, handle.cancel = context.WithCancel(context.Background())
			t.runs[a.Run] = handle
			go t.admit(handle, a)
		case CancelAdmit:
			t.runs[a.Run].cancel()
		default:
			runActions = append(runActions, action)
		}
	}
	t.mu.Unlock()
	for _, action := range runActions {
		t.execute(action)
	}
}

func waiterOf(action Action) (WaiterID, bool) {
	switch a := action.(type) {
	case Answer:
		return a.Waiter, true
	case NotOwner:
		return a.Waiter, true
	case Forward:
		return a.Waiter, true
	case Query:
		return a.Waiter, true
	case Retry:
		return a.Waiter, true
	default:
		return 0, false
	}
}

func (t *Table) findHandle(id RunID) *runHandle {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}

func (t *Table) removeHandle(id RunID) {
	t.mu.Lock()
	handle := t.runs[id]
	delete(t.runs, id)
	t.mu.Unlock()
	if handle != nil {
		handle.cancel()
	}
}

// admit waits for a slot. It runs on a goroutine of the run, on which step also executes the actions that follow.
func (t *Table) admit(handle *runHandle, a Admit) {
	slot, refusal := t.config.Runner.Admit(handle.ctx, a.Request)
	if slot == nil {
		t.step(Refused{Key: a.Key, Run: a.Run, Response: refusal, Ownership: t.ownership(a.Key)})
		t.removeHandle(a.Run)
		return
	}
	t.mu.Lock()
	handle.slot = slot
	t.mu.Unlock()
	t.step(Admitted{Key: a.Key, Run: a.Run, Ownership: t.ownership(a.Key)})
}

func (t *Table) execute(action Action) {
	switch a := action.(type) {
	case Release:
		if handle := t.findHandle(a.Run); handle != nil && handle.slot != nil {
			handle.slot.Release()
		}
		t.removeHandle(a.Run)
	case Propose:
		verdict := t.propose(a)
		t.step(IntentResolved{Key: a.Key, Run: a.Run, Verdict: verdict, Ownership: t.ownership(a.Key)})
	case RecordNotRun:
		t.recordNotRun(a.Key)
	case Dispatch:
		// The context is not that of a caller, because the run may have several waiters and its answer is cached.
		response := t.findHandle(a.Run).slot.Dispatch(context.Background(), a.Deadline)
		t.removeHandle(a.Run)
		t.step(Finished{Key: a.Key, Run: a.Run, Response: response})
	}
}

// recordNotRun appends the outcome not_run for a key whose intent is recorded, so that a repeated request may run the key.
// Waiters, if any, are answered before. Requests with the key are answered with unknown until the outcome is applied. If
// appending it fails they always are, which is safe, so the error is ignored.
func (t *Table) recordNotRun(key wigeonstep.IdempotencyKey) {
	ctx, cancel := context.WithTimeout(context.Background(), t.config.IntentTimeout)
	defer cancel()
	_, _ = t.config.Follower.Propose(ctx, &wigeonwire.Entry{Body: &wigeonwire.Entry_KeyOutcome{KeyOutcome: &wigeonwire.KeyOutcome{
		Key: string(key), Outcome: wigeonwire.Outcome_OUTCOME_NOT_RUN,
	}}})
}

func (t *Table) propose(a Propose) IntentVerdict {
	ctx, cancel := context.WithTimeout(context.Background(), t.config.IntentTimeout)
	defer cancel()
	_, err := t.config.Follower.Propose(ctx, t.findHandle(a.Run).slot.Intent(a.Hash))
	switch {
	case err == nil:
		return IntentAccepted
	case errors.Is(err, wigeonstep.ErrRejected):
		return IntentRejected
	case errors.Is(err, wigeonstep.ErrUnavailable):
		return IntentNotAppended
	default:
		return IntentUnconfirmed
	}
}
