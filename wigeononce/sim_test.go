package wigeononce_test

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeononce"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// machine is the core under test, or the simplest variant that the test shows to be wrong.
type machine interface {
	Step(now time.Time, event wigeononce.Event) []wigeononce.Action
	Lookup(key wigeonstep.Key, hash uint64) (response wigeonstep.Response, found, running bool)
}

// sim runs several processes on one log and one backend server; rapid chooses what happens next.
type sim struct {
	t       *rapid.T
	create  func() machine
	now     time.Time
	log     [][]byte
	procs   []*simProc
	callers []*simCaller
	// runs counts the runs of each key, and began holds when the first one began.
	runs  map[wigeonstep.Key]int
	began map[wigeonstep.Key]time.Time
	// refused holds the requests that were answered with not_run.
	refused map[wigeonstep.RequestID]bool
	// keys are those that callers use: their own, and issued ones.
	keys       []wigeonstep.Key
	sessions   uint64
	control    *simProc
	violations []string
}

// simProc is one process. Its fold lags behind the log by the records that it has not applied.
type simProc struct {
	sim      *sim
	core     machine
	state    *wigeonstate.State
	session  uint64
	sequence uint64
	renewal  uint64
	dead     bool
	cutOff   bool
	handover wigeononce.Handover
	// heard holds the applied offsets that other sessions reported directly.
	heard   map[wigeonstep.SessionID]wigeonstep.Offset
	waiters uint64
	// waiting maps a waiter to what takes its answer.
	waiting map[wigeononce.WaiterID]*simWaiter
	// pending are the actions that are not executed yet, in any order.
	pending []func()
	// proposed maps the sequence of a batch to the run that waits for its verdict.
	proposed map[uint64]wigeononce.Propose
}

type simWaiter struct {
	arrive wigeononce.Arrive
	answer func(response wigeonstep.Response, owner bool)
}

// simCaller is one request of a caller.
type simCaller struct {
	request *wigeonstep.Request
	sent    time.Time
	proc    *simProc
	answers int
}

func newSim(t *rapid.T, create func() machine) *sim {
	s := &sim{
		t: t, create: create, now: time.Unix(1000, 0),
		runs: map[wigeonstep.Key]int{}, began: map[wigeonstep.Key]time.Time{}, refused: map[wigeonstep.RequestID]bool{},
		keys: []wigeonstep.Key{"key-1", "key-2"},
	}
	s.control = &simProc{sim: s, state: &wigeonstate.State{}, session: 1}
	s.control.append(openEntry(wigeonwire.Role_ROLE_CONTROL, 1))
	for range 2 {
		s.join()
	}
	return s
}

func openEntry(role wigeonwire.Role, session uint64) *wigeonwire.Entry {
	return &wigeonwire.Entry{Body: &wigeonwire.Entry_SessionOpen{SessionOpen: &wigeonwire.SessionOpen{Role: role, PeerAddress: fmt.Sprint(session)}}}
}

func (s *sim) fail(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func (s *sim) join() {
	p := &simProc{
		sim: s, core: s.create(), state: &wigeonstate.State{},
		waiting: map[wigeononce.WaiterID]*simWaiter{}, proposed: map[uint64]wigeononce.Propose{},
		heard: map[wigeonstep.SessionID]wigeonstep.Offset{},
	}
	s.procs = append(s.procs, p)
	p.openSession()
}

// openSession gives the process a new session under the address of its first one, and makes it ready.
func (p *simProc) openSession() {
	p.sim.sessions++
	// The multiplication spreads the ids, so that each session owns a part of the keys.
	p.session = p.sim.sessions * 0x9e3779b97f4a7c15
	p.sequence, p.renewal = 0, 0
	p.append(openEntry(wigeonwire.Role_ROLE_ENTRY, p.session))
	p.renew()
	p.do(p.core.Step(p.sim.now, wigeononce.SessionOpened{Session: wigeonstep.SessionID(p.session)}))
	p.catchUp(len(p.sim.log))
}

// renew appends a renewal that reports the applied offset.
func (p *simProc) renew() {
	if p.dead || p.cutOff {
		return
	}
	p.renewal++
	p.append(&wigeonwire.Entry{Body: &wigeonwire.Entry_SessionRenew{SessionRenew: &wigeonwire.SessionRenew{
		Renewal: p.renewal, Ready: true, AppliedOffset: max(uint64(p.state.Next()), 1) - 1,
	}}})
}

// report tells another process the applied offset directly.
func (p *simProc) report(to *simProc) {
	if !p.dead && p.state.Next() > 0 {
		to.heard[wigeonstep.SessionID(p.session)] = p.state.Next() - 1
	}
}

func (p *simProc) append(entry *wigeonwire.Entry) uint64 {
	p.sequence++
	batch := &wigeonwire.Batch{Session: p.session, Sequence: p.sequence, AtUnixMs: p.sim.now.UnixMilli(), Entries: []*wigeonwire.Entry{entry}}
	payload, err := proto.Marshal(batch)
	if err != nil {
		panic(err)
	}
	p.sim.log = append(p.sim.log, payload)
	return p.sequence
}

// catchUp folds records up to the offset and delivers the verdicts on own intents.
func (p *simProc) catchUp(to int) {
	if p.dead || p.cutOff {
		return
	}
	for i := int(p.state.Next()); i < to; i++ {
		for _, v := range p.state.Apply(wigeonstep.Offset(i), p.sim.log[i]) {
			propose, mine := p.proposed[v.Sequence]
			if !mine || uint64(v.Session) != p.session {
				continue
			}
			delete(p.proposed, v.Sequence)
			verdict := wigeononce.IntentRefused
			if v.Accepted {
				verdict = wigeononce.IntentAccepted
			}
			p.later(func() { p.judged(propose, verdict) })
		}
	}
}

func (p *simProc) later(action func()) { p.pending = append(p.pending, action) }

func (p *simProc) judged(propose wigeononce.Propose, verdict wigeononce.IntentVerdict) {
	p.step(wigeononce.IntentJudged{Key: propose.Key, Run: propose.Run, Verdict: verdict, Place: p.place(propose.Key)})
}

func (p *simProc) step(event wigeononce.Event) { p.do(p.core.Step(p.sim.now, event)) }

// place mirrors Table.place. The lease holds as long as the log has not expired the session.
func (p *simProc) place(key wigeonstep.Key) wigeononce.Place {
	place := wigeononce.Place{Settled: p.handover.Done(p.state.View(), wigeonstep.SessionID(p.session), func(id wigeonstep.SessionID) wigeonstep.Offset { return p.heard[id] }), Stale: p.cutOff && p.sim.chance("view is stale", 2)}
	if issuer, ok := wigeononce.IssuedBy(key); ok {
		for _, session := range p.state.View().Sessions {
			if session.ID == issuer {
				place.Owner = issuer
			}
		}
		return place
	}
	if owner := p.state.View().Owner(key); owner != nil {
		place.Owner = owner.ID
	}
	if k, ok := p.state.Key(key); ok && k.GetOutcome() != wigeonwire.Outcome_OUTCOME_NOT_RUN {
		place.Fold = &wigeononce.FoldKey{Session: wigeonstep.SessionID(k.GetSession()), Hash: k.GetRequestHash()}
	}
	p.sim.control.catchUp(len(p.sim.log))
	for _, session := range p.sim.control.state.View().Sessions {
		if uint64(session.ID) == p.session && !session.Expired {
			place.LeaseValid = true
		}
	}
	return place
}

// serve lets a request arrive.
func (p *simProc) serve(request *wigeonstep.Request, forwarded bool, answer func(wigeonstep.Response, bool)) wigeononce.WaiterID {
	p.waiters++
	id := wigeononce.WaiterID(p.waiters)
	w := &simWaiter{answer: answer, arrive: wigeononce.Arrive{
		Waiter: id, Request: request, Hash: wigeononce.HashRequest(request), Deadline: p.sim.now.Add(10 * time.Second), Forwarded: forwarded,
	}}
	p.waiting[id] = w
	p.arrive(w)
	return id
}

func (p *simProc) arrive(w *simWaiter) {
	w.arrive.Place = p.place(w.arrive.Request.Key)
	p.step(w.arrive)
}

func (p *simProc) do(actions []wigeononce.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case wigeononce.Answer:
			p.settle(a.Waiter, a.Response, true)
		case wigeononce.NotOwner:
			p.settle(a.Waiter, wigeonstep.Response{}, false)
		default:
			p.later(func() { p.execute(a) })
		}
	}
}

func (p *simProc) settle(id wigeononce.WaiterID, response wigeonstep.Response, owner bool) {
	w := p.waiting[id]
	if w == nil {
		p.sim.fail("waiter %d got a second answer", id)
		return
	}
	delete(p.waiting, id)
	w.answer(response, owner)
}

func (p *simProc) execute(action wigeononce.Action) {
	s := p.sim
	switch a := action.(type) {
	case wigeononce.Forward:
		p.forward(a)
	case wigeononce.Ask:
		p.ask(a)
	case wigeononce.Wait:
		if w := p.waiting[a.Waiter]; w != nil {
			p.arrive(w)
		}
	case wigeononce.Admit:
		if s.chance("refused", 4) {
			p.step(wigeononce.Refused{Key: a.Key, Run: a.Run, Place: p.place(a.Key), Response: wigeonstep.NotRun(503, "full", "admission", "pool", time.Second)})
			return
		}
		p.step(wigeononce.Admitted{Key: a.Key, Run: a.Run, Place: p.place(a.Key)})
	case wigeononce.Propose:
		p.propose(a)
	case wigeononce.Dispatch:
		p.dispatch(a)
	case wigeononce.Withdraw:
		if !p.cutOff && !s.chance("withdrawal lost", 4) {
			p.append(&wigeonwire.Entry{Body: &wigeonwire.Entry_KeyOutcome{KeyOutcome: &wigeonwire.KeyOutcome{
				Key: string(a.Key), Outcome: wigeonwire.Outcome_OUTCOME_NOT_RUN,
			}}})
		}
	}
}

func (p *simProc) propose(a wigeononce.Propose) {
	s := p.sim
	if p.cutOff {
		p.judged(a, wigeononce.IntentNotAppended)
		return
	}
	entry := &wigeonwire.Entry{Body: &wigeonwire.Entry_Intent{Intent: &wigeonwire.Intent{Key: string(a.Key), Team: "t", Class: "c", Service: "s", RequestHash: a.Hash}}}
	switch {
	case s.chance("answer of the append lost", 4):
		session := p.session
		p.later(func() {
			if p.session == session {
				p.append(entry)
			}
		})
		p.judged(a, wigeononce.IntentLost)
	case s.chance("append delayed", 4):
		session := p.session
		p.later(func() {
			if p.session == session {
				p.proposed[p.append(entry)] = a
			} else {
				p.judged(a, wigeononce.IntentLost)
			}
		})
	default:
		p.proposed[p.append(entry)] = a
	}
}

func (p *simProc) dispatch(a wigeononce.Dispatch) {
	s := p.sim
	if s.refused[a.Request.ID] {
		s.fail("request %s was answered not_run and runs afterwards", a.Request.ID)
	}
	if s.chance("no backend server", 5) {
		p.step(wigeononce.Finished{Key: a.Key, Run: a.Run, Response: wigeonstep.NotRun(503, "no server", "select", "pool", time.Second)})
		return
	}
	s.runs[a.Key]++
	if s.runs[a.Key] == 1 {
		s.began[a.Key] = s.now
	} else {
		s.fail("key %s ran %d times", a.Key, s.runs[a.Key])
	}
	response := wigeonstep.Response{Outcome: wigeonstep.OutcomeDone, Status: 200, Body: answerTo(a.Request)}
	if s.chance("answer of the backend server lost", 5) {
		response = wigeonstep.Unknown(false, "lost", "backend call", "vm")
	}
	p.later(func() { p.step(wigeononce.Finished{Key: a.Key, Run: a.Run, Response: response}) })
}

func answerTo(request *wigeonstep.Request) []byte {
	return []byte(fmt.Sprintf("answer to %s %s", request.Key, request.Body))
}

func (s *sim) byID(id wigeonstep.SessionID) *simProc {
	for _, p := range s.procs {
		if p.session == uint64(id) {
			return p
		}
	}
	return nil
}

func (p *simProc) forward(a wigeononce.Forward) {
	w := p.waiting[a.Waiter]
	if w == nil {
		return
	}
	target := p.sim.byID(a.Session)
	ended := func(response wigeonstep.Response, owner bool) {
		p.later(func() {
			p.step(wigeononce.ForwardEnded{Waiter: a.Waiter, Answered: owner, Response: response})
		})
	}
	if target == nil || target.dead || p.sim.chance("forward not delivered", 6) {
		ended(wigeonstep.Response{}, false)
		return
	}
	lost := p.sim.chance("answer of the forward lost", 6)
	target.serve(w.arrive.Request, true, func(response wigeonstep.Response, owner bool) {
		if lost {
			response, owner = wigeonstep.Response{}, false
		}
		ended(response, owner)
	})
}

func (p *simProc) ask(a wigeononce.Ask) {
	target := p.sim.byID(a.Session)
	ended := wigeononce.AskEnded{Waiter: a.Waiter}
	if target != nil && !target.dead && !p.sim.chance("query lost", 6) {
		ended.Response, ended.Found, ended.Running = target.core.Lookup(a.Key, a.Hash)
	}
	p.step(ended)
}

// issue lets the process issue a key.
func (p *simProc) issue() {
	if core, ok := p.core.(*wigeononce.Core); ok && !p.dead && len(p.sim.keys) < 6 {
		p.sim.keys = append(p.sim.keys, core.Issue(p.sim.now, 1, func() uint64 { return 1 })...)
	}
}

func (s *sim) chance(label string, in int) bool {
	return rapid.IntRange(1, in).Draw(s.t, label) == 1
}
