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

// Follower is what a Table uses of the log's follower.
type Follower interface {
	wigeonstep.Proposer[*wigeonwire.Entry]
	View() *wigeonstate.View
	Read(fn func(state *wigeonstate.State))
	Session() wigeonstep.SessionID
	LeaseValid() bool
	ConfirmedAge() time.Duration
}

// Slot is the right of one request to be sent to a backend server.
type Slot interface {
	// Intent returns the entry that records the key with the request hash before the request may be sent.
	Intent(hash uint64) *wigeonwire.Entry
	// Dispatch sends the request, gives the slot back and returns the final answer.
	Dispatch(ctx context.Context, deadline time.Time) wigeonstep.Response
	// Release gives the slot back without sending.
	Release()
}

// Runner runs requests on this process.
type Runner interface {
	// Admit waits for a slot. A nil slot comes with the refusal.
	Admit(ctx context.Context, request *wigeonstep.Request) (Slot, wigeonstep.Response)
}

// Peers reaches the other entry processes.
type Peers interface {
	// Forward lets another session serve the request; ok is false when it did not answer or is not the owner.
	Forward(ctx context.Context, session *wigeonstate.Session, request *wigeonstep.Request, deadline time.Time) (response wigeonstep.Response, ok bool)
	// Ask returns the answer that the session keeps for a key and the hash of its request.
	Ask(ctx context.Context, session *wigeonstate.Session, key wigeonstep.Key, hash uint64) (response wigeonstep.Response, found, running bool)
}

// Config configures a Table.
type Config struct {
	Limits
	// Follower, Runner and Peers are required.
	Follower Follower
	Runner   Runner
	Peers    Peers
	// IntentTimeout bounds the wait for the fold's verdict while the request holds a slot, default 2 s.
	IntentTimeout time.Duration
	// StaleAfter is the age of the view from which callers' own keys are refused at once, default 2 s.
	StaleAfter time.Duration
	// Recorded returns the answer that the fold itself holds for a key, nil when it holds none. It is called while no record is applied; optional.
	Recorded func(key *wigeonwire.Key) *wigeonstep.Response
	// Applied returns the offset that a session reported to this process directly, zero when none; optional.
	Applied func(session wigeonstep.SessionID) wigeonstep.Offset
	// Now returns the wall clock time, default time.Now.
	Now func() time.Time
}

// Table runs requests at most once for each key. It is safe for concurrent use.
type Table struct {
	config  Config
	leaving atomic.Bool

	mu       sync.Mutex
	core     *Core
	handover Handover
	session  wigeonstep.SessionID
	last     WaiterID
	inboxes  map[WaiterID]chan Action
	runs     map[RunID]*liveRun
	// forwards bounds the repeated forwards to a session that failed, over all keys. A share of the first forwards would allow none while few requests arrive.
	forwards *rate.Limiter
}

type liveRun struct {
	ctx    context.Context
	cancel context.CancelFunc
	slot   Slot
}

// NewTable returns an empty Table.
func NewTable(config Config) *Table {
	if config.IntentTimeout <= 0 {
		config.IntentTimeout = 2 * time.Second
	}
	if config.StaleAfter <= 0 {
		config.StaleAfter = 2 * time.Second
	}
	if config.Applied == nil {
		config.Applied = func(wigeonstep.SessionID) wigeonstep.Offset { return 0 }
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Table{
		config: config, core: NewCore(config.Limits),
		inboxes: map[WaiterID]chan Action{}, runs: map[RunID]*liveRun{},
		forwards: rate.NewLimiter(repeatsPerSecond, repeatsPerSecond),
	}
}

// Issue returns new keys that only this process runs; nil when it cannot issue any now.
func (t *Table) Issue(count int) []wigeonstep.Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.syncSession()
	return t.core.Issue(t.config.Now(), count, rand.Uint64)
}

// Lookup returns the answer that this process keeps for a key and the hash of its request.
func (t *Table) Lookup(key wigeonstep.Key, hash uint64) (response wigeonstep.Response, found, running bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.Lookup(key, hash)
}

// Waiting returns the number of requests without an answer.
func (t *Table) Waiting() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.Waiting()
}

// Serve answers a request that has a key and a deadline. forwarded is set for a request of another entry process; owner is false when this process may not run its key.
func (t *Table) Serve(ctx context.Context, request *wigeonstep.Request, forwarded bool) (response wigeonstep.Response, owner bool) {
	arrive := Arrive{Request: request, Hash: HashRequest(request), Deadline: request.Deadline, Forwarded: forwarded}
	inbox := make(chan Action, 4)
	t.mu.Lock()
	t.last++
	arrive.Waiter = t.last
	t.inboxes[arrive.Waiter] = inbox
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		delete(t.inboxes, arrive.Waiter)
		t.mu.Unlock()
	}()
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	w := &waiting{table: t, arrive: arrive, ctx: ctx, inbox: inbox}
	w.askAgain()
	return w.loop()
}

// waiting is the goroutine of one request.
type waiting struct {
	table    *Table
	arrive   Arrive
	ctx      context.Context //nolint:containedctx // the value lives as long as the call that made it
	inbox    chan Action
	attempts int
}

func (w *waiting) askAgain() {
	w.arrive.Place = w.table.place(w.arrive.Request.Key)
	w.table.step(w.arrive)
}

func (w *waiting) loop() (wigeonstep.Response, bool) {
	done := w.ctx.Done()
	for {
		select {
		case <-done:
			done = nil
			w.table.step(TimedOut{Waiter: w.arrive.Waiter, Place: w.table.place(w.arrive.Request.Key)})
		case action := <-w.inbox:
			switch a := action.(type) {
			case Answer:
				return a.Response, true
			case NotOwner:
				return wigeonstep.Response{}, false
			case Forward:
				w.forward(a)
			case Ask:
				w.ask(a)
			case Wait:
				w.wait(a)
			}
		}
	}
}

func (w *waiting) forward(a Forward) {
	ended := ForwardEnded{Waiter: a.Waiter}
	if session := w.table.sessionOf(a.Session); session != nil {
		ended.Response, ended.Answered = w.table.config.Peers.Forward(w.ctx, session, w.arrive.Request, w.arrive.Deadline)
	}
	w.table.step(ended)
}

func (w *waiting) ask(a Ask) {
	ended := AskEnded{Waiter: a.Waiter}
	if session := w.table.sessionOf(a.Session); session != nil {
		ended.Response, ended.Found, ended.Running = w.table.config.Peers.Ask(w.ctx, session, a.Key, a.Hash)
	}
	w.table.step(ended)
}

const (
	firstWait = 10 * time.Millisecond
	maxWait   = 250 * time.Millisecond
	// repeatsPerSecond is the budget of repeated forwards of one process.
	repeatsPerSecond = 100
)

// wait delays the next arrival with jitter. A request goes to the session that failed before only within the budget.
func (w *waiting) wait(a Wait) {
	for {
		longest := min(firstWait<<min(w.attempts, 8), maxWait)
		w.attempts++
		timer := time.NewTimer(longest/2 + rand.N(longest/2))
		select {
		case <-w.ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		w.arrive.Place = w.table.place(w.arrive.Request.Key)
		if a.Failed == 0 || w.arrive.Place.Owner != a.Failed || w.table.forwards.Allow() {
			w.table.step(w.arrive)
			return
		}
	}
}

// sessionOf returns a session that is in reach, or nil.
func (t *Table) sessionOf(id wigeonstep.SessionID) *wigeonstate.Session {
	for _, s := range t.config.Follower.View().Sessions {
		if s.ID == id {
			return s
		}
	}
	return nil
}

// Leave makes the table answer unknown instead of not_run for callers' own keys. It is called before the log says that the session closes, because another session owns the keys from then on.
func (t *Table) Leave() { t.leaving.Store(true) }

// Observe follows a new view, so that the handover of the keys is over as early as possible.
func (t *Table) Observe(view *wigeonstate.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handover.Done(view, t.config.Follower.Session(), t.config.Applied)
}

// place reads what the process knows of a key.
func (t *Table) place(key wigeonstep.Key) Place {
	f := t.config.Follower
	p := Place{}
	if issuer, ok := IssuedBy(key); ok {
		if t.sessionOf(issuer) != nil {
			p.Owner = issuer
		}
		return p
	}
	view := f.View()
	if owner := view.Owner(key); owner != nil {
		p.Owner = owner.ID
	}
	f.Read(func(state *wigeonstate.State) {
		if k, ok := state.Key(key); ok && k.GetOutcome() != wigeonwire.Outcome_OUTCOME_NOT_RUN {
			p.Fold = &FoldKey{Session: wigeonstep.SessionID(k.GetSession()), Hash: k.GetRequestHash()}
			if t.config.Recorded != nil {
				p.Fold.Answer = t.config.Recorded(k)
			}
		}
	})
	p.LeaseValid, p.Leaving = f.LeaseValid(), t.leaving.Load()
	p.Stale = f.ConfirmedAge() >= t.config.StaleAfter
	t.mu.Lock()
	p.Settled = t.handover.Done(view, f.Session(), t.config.Applied)
	t.mu.Unlock()
	return p
}

// syncSession tells the core of a new session. The caller holds the lock.
func (t *Table) syncSession() {
	if s := t.config.Follower.Session(); s != t.session {
		t.session = s
		t.core.Step(t.config.Now(), SessionOpened{Session: s})
	}
}

func (t *Table) step(event Event) {
	t.mu.Lock()
	t.syncSession()
	actions := t.core.Step(t.config.Now(), event)
	var own []Action
	for _, action := range actions {
		if id, ok := waiterOf(action); ok {
			t.inboxes[id] <- action
			continue
		}
		switch a := action.(type) {
		case Admit:
			live := &liveRun{}
			live.ctx, live.cancel = context.WithCancel(context.Background())
			t.runs[a.Run] = live
			go t.admit(live, a)
		case CancelAdmit:
			t.runs[a.Run].cancel()
		default:
			own = append(own, action)
		}
	}
	t.mu.Unlock()
	for _, action := range own {
		t.perform(action)
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
	case Ask:
		return a.Waiter, true
	case Wait:
		return a.Waiter, true
	default:
		return 0, false
	}
}

func (t *Table) live(id RunID) *liveRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}

func (t *Table) forget(id RunID) {
	t.mu.Lock()
	live := t.runs[id]
	delete(t.runs, id)
	t.mu.Unlock()
	if live != nil {
		live.cancel()
	}
}

// admit and perform run on the goroutine of the run.
func (t *Table) admit(live *liveRun, a Admit) {
	slot, refusal := t.config.Runner.Admit(live.ctx, a.Request)
	if slot == nil {
		t.step(Refused{Key: a.Key, Run: a.Run, Response: refusal, Place: t.place(a.Key)})
		t.forget(a.Run)
		return
	}
	t.mu.Lock()
	live.slot = slot
	t.mu.Unlock()
	t.step(Admitted{Key: a.Key, Run: a.Run, Place: t.place(a.Key)})
}

func (t *Table) perform(action Action) {
	switch a := action.(type) {
	case Release:
		if live := t.live(a.Run); live != nil && live.slot != nil {
			live.slot.Release()
		}
		t.forget(a.Run)
	case Propose:
		verdict := t.propose(a)
		t.step(IntentJudged{Key: a.Key, Run: a.Run, Verdict: verdict, Place: t.place(a.Key)})
	case Withdraw:
		t.withdraw(a.Key)
	case Dispatch:
		response := t.live(a.Run).slot.Dispatch(context.Background(), a.Deadline)
		t.forget(a.Run)
		t.step(Finished{Key: a.Key, Run: a.Run, Response: response})
	}
}

// withdraw records that a key did not run. When the record is lost, the key stays claimed and later requests get unknown.
func (t *Table) withdraw(key wigeonstep.Key) {
	ctx, cancel := context.WithTimeout(context.Background(), t.config.IntentTimeout)
	defer cancel()
	_, _ = t.config.Follower.Propose(ctx, &wigeonwire.Entry{Body: &wigeonwire.Entry_KeyOutcome{KeyOutcome: &wigeonwire.KeyOutcome{
		Key: string(key), Outcome: wigeonwire.Outcome_OUTCOME_NOT_RUN,
	}}})
}

func (t *Table) propose(a Propose) IntentVerdict {
	ctx, cancel := context.WithTimeout(context.Background(), t.config.IntentTimeout)
	defer cancel()
	_, err := t.config.Follower.Propose(ctx, t.live(a.Run).slot.Intent(a.Hash))
	switch {
	case err == nil:
		return IntentAccepted
	case errors.Is(err, wigeonstep.ErrRejected):
		return IntentRefused
	case errors.Is(err, wigeonstep.ErrUnavailable):
		return IntentNotAppended
	default:
		return IntentLost
	}
}
