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

// stateMachine is the Core under test, or a naive variant that must fail the same checks.
type stateMachine interface {
	Step(now time.Time, event wigeononce.Event) []wigeononce.Action
	Lookup(key wigeonstep.IdempotencyKey, hash uint64) (response wigeonstep.Response, found, running bool)
}

// sim simulates several processes on one log with one backend server. rapid chooses the order of events and the faults.
type sim struct {
	t       *rapid.T
	create  func() stateMachine
	now     time.Time
	log     [][]byte
	procs   []*simProc
	callers []*simCaller
	// runs counts the runs of each key, and firstRunAt holds the start of the first one.
	runs       map[wigeonstep.IdempotencyKey]int
	firstRunAt map[wigeonstep.IdempotencyKey]time.Time
	// refused holds the requests that were answered with not_run, which must not run afterwards.
	refused map[wigeonstep.RequestID]bool
	// keys holds the keys that callers use, both their own and issued ones.
	keys       []wigeonstep.IdempotencyKey
	sessions   uint64
	control    *simProc
	violations []string
}

// simProc is one process. Its folded state may lag behind the log.
type simProc struct {
	sim          *sim
	core         stateMachine
	state        *wigeonstate.State
	session      uint64
	sequence     uint64
	renewal      uint64
	crashed      bool
	disconnected bool
	handover     wigeononce.Handover
	// reportedOffsets holds the applied offsets that other sessions reported directly.
	reportedOffsets map[wigeonstep.SessionID]wigeonstep.Offset
	waiters         uint64
	// waiting holds the requests without an answer.
	waiting map[wigeononce.WaiterID]*simWaiter
	// pending holds the actions that are not executed yet; they may be executed in any order.
	pending []func()
	// proposed maps the sequence number of a batch to the proposal that waits for its verdict.
	proposed map[uint64]wigeononce.Propose
}

type simWaiter struct {
	arrive wigeononce.Arrive
	answer func(response wigeonstep.Response, owner bool)
}

// simCaller is one request and the number of answers to it.
type simCaller struct {
	request *wigeonstep.Request
	sent    time.Time
	proc    *simProc
	answers int
}

func newSim(t *rapid.T, create func() stateMachine) *sim {
	s := &sim{
		t: t, create: create, now: time.Unix(1000, 0),
		runs: map[wigeonstep.IdempotencyKey]int{}, firstRunAt: map[wigeonstep.IdempotencyKey]time.Time{}, refused: map[wigeonstep.RequestID]bool{},
		keys: []wigeonstep.IdempotencyKey{"key-1", "key-2"},
	}
	s.control = &simProc{sim: s, state: &wigeonstate.State{}, session: 1}
	s.control.append(openEntry(wigeonwire.Role_ROLE_CONTROL, 1))
	for range 2 {
		s.addProcess()
	}
	return s
}

func openEntry(role wigeonwire.Role, session uint64) *wigeonwire.Entry {
	return &wigeonwire.Entry{Body: &wigeonwire.Entry_SessionOpen{SessionOpen: &wigeonwire.SessionOpen{Role: role, PeerAddress: fmt.Sprint(session)}}}
}

func (s *sim) fail(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func (s *sim) addProcess() {
	p := &simProc{
		sim: s, core: s.create(), state: &wigeonstate.State{},
		waiting: map[wigeononce.WaiterID]*simWaiter{}, proposed: map[uint64]wigeononce.Propose{},
		reportedOffsets: map[wigeonstep.SessionID]wigeonstep.Offset{},
	}
	s.procs = append(s.procs, p)
	p.openSession()
}

// openSession opens a new session for the process and makes it ready.
func (p *simProc) openSession() {
	p.sim.sessions++
	// The multiplication spreads the ids, so that each session owns a part of the keys.
	p.session = p.sim.sessions * 0x9e3779b97f4a7c15
	p.sequence, p.renewal = 0, 0
	p.append(openEntry(wigeonwire.Role_ROLE_ENTRY, p.session))
	p.renew()
	p.perform(p.core.Step(p.sim.now, wigeononce.SessionOpened{Session: wigeonstep.SessionID(p.session)}))
	p.catchUp(len(p.sim.log))
}

// renew appends a session renewal with the applied offset.
func (p *simProc) renew() {
	if p.crashed || p.disconnected {
		return
	}
	p.renewal++
	p.append(&wigeonwire.Entry{Body: &wigeonwire.Entry_SessionRenew{SessionRenew: &wigeonwire.SessionRenew{
		Renewal: p.renewal, Ready: true, AppliedOffset: max(uint64(p.state.NextOffset()), 1) - 1,
	}}})
}

// report sends the applied offset directly to another process.
func (p *simProc) report(to *simProc) {
	if !p.crashed && p.state.NextOffset() > 0 {
		to.reportedOffsets[wigeonstep.SessionID(p.session)] = p.state.NextOffset() - 1
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

// catchUp folds the records before the offset and schedules the verdicts on the process's intents.
func (p *simProc) catchUp(to int) {
	if p.crashed || p.disconnected {
		return
	}
	for i := int(p.state.NextOffset()); i < to; i++ {
		for _, v := range p.state.Apply(wigeonstep.Offset(i), p.sim.log[i]) {
			propose, mine := p.proposed[v.Sequence]
			if !mine || uint64(v.Session) != p.session {
				continue
			}
			delete(p.proposed, v.Sequence)
			verdict := wigeononce.IntentRejected
			if v.Accepted {
				verdict = wigeononce.IntentAccepted
			}
			p.schedule(func() { p.resolveIntent(propose, verdict) })
		}
	}
}

func (p *simProc) schedule(action func()) { p.pending = append(p.pending, action) }

func (p *simProc) resolveIntent(propose wigeononce.Propose, verdict wigeononce.IntentVerdict) {
	p.step(wigeononce.IntentResolved{Key: propose.Key, Run: propose.Run, Verdict: verdict, Ownership: p.ownership(propose.Key)})
}

func (p *simProc) step(event wigeononce.Event) { p.perform(p.core.Step(p.sim.now, event)) }

// ownership mirrors Table.ownership. The lease is valid as long as no record on the log expires the session.
func (p *simProc) ownership(key wigeonstep.IdempotencyKey) wigeononce.Ownership {
	ownership := wigeononce.Ownership{HandoverDone: p.handover.Done(p.state.View(), wigeonstep.SessionID(p.session), func(id wigeonstep.SessionID) wigeonstep.Offset { return p.reportedOffsets[id] }), LogStale: p.disconnected && p.sim.chance("view is stale", 2)}
	if issuer, ok := wigeononce.IssuedBy(key); ok {
		for _, session := range p.state.View().Sessions {
			if session.ID == issuer {
				ownership.Owner = issuer
			}
		}
		return ownership
	}
	if owner := p.state.View().Owner(key); owner != nil {
		ownership.Owner = owner.ID
	}
	if k, ok := p.state.Key(key); ok && k.GetOutcome() != wigeonwire.Outcome_OUTCOME_NOT_RUN {
		ownership.PriorIntent = &wigeononce.RecordedIntent{Session: wigeonstep.SessionID(k.GetSession()), Hash: k.GetRequestHash()}
	}
	p.sim.control.catchUp(len(p.sim.log))
	for _, session := range p.sim.control.state.View().Sessions {
		if uint64(session.ID) == p.session && !session.Expired {
			ownership.LeaseValid = true
		}
	}
	return ownership
}

// serve delivers a request to the process, from a caller or forwarded by another process.
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
	w.arrive.Ownership = p.ownership(w.arrive.Request.Key)
	p.step(w.arrive)
}

func (p *simProc) perform(actions []wigeononce.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case wigeononce.Answer:
			p.deliver(a.Waiter, a.Response, true)
		case wigeononce.NotOwner:
			p.deliver(a.Waiter, wigeonstep.Response{}, false)
		default:
			p.schedule(func() { p.execute(a) })
		}
	}
}

func (p *simProc) deliver(id wigeononce.WaiterID, response wigeonstep.Response, owner bool) {
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
	case wigeononce.Query:
		p.query(a)
	case wigeononce.Retry:
		if w := p.waiting[a.Waiter]; w != nil {
			p.arrive(w)
		}
	case wigeononce.Admit:
		if s.chance("refused", 4) {
			p.step(wigeononce.Refused{Key: a.Key, Run: a.Run, Ownership: p.ownership(a.Key), Response: wigeonstep.NotRunResponse(503, "full", "admission", "pool", time.Second)})
			return
		}
		p.step(wigeononce.Admitted{Key: a.Key, Run: a.Run, Ownership: p.ownership(a.Key)})
	case wigeononce.Propose:
		p.propose(a)
	case wigeononce.Dispatch:
		p.dispatch(a)
	case wigeononce.RecordNotRun:
		if !p.disconnected && !s.chance("not_run record lost", 4) {
			p.append(&wigeonwire.Entry{Body: &wigeonwire.Entry_KeyOutcome{KeyOutcome: &wigeonwire.KeyOutcome{
				Key: string(a.Key), Outcome: wigeonwire.Outcome_OUTCOME_NOT_RUN,
			}}})
		}
	}
}

func (p *simProc) propose(a wigeononce.Propose) {
	s := p.sim
	if p.disconnected {
		p.resolveIntent(a, wigeononce.IntentNotAppended)
		return
	}
	entry := &wigeonwire.Entry{Body: &wigeonwire.Entry_Intent{Intent: &wigeonwire.Intent{Key: string(a.Key), Team: "t", Class: "c", Service: "s", RequestHash: a.Hash}}}
	switch {
	case s.chance("answer of the append lost", 4):
		session := p.session
		p.schedule(func() {
			if p.session == session {
				p.append(entry)
			}
		})
		p.resolveIntent(a, wigeononce.IntentUnconfirmed)
	case s.chance("append delayed", 4):
		session := p.session
		p.schedule(func() {
			if p.session == session {
				p.proposed[p.append(entry)] = a
			} else {
				p.resolveIntent(a, wigeononce.IntentUnconfirmed)
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
		p.step(wigeononce.Finished{Key: a.Key, Run: a.Run, Response: wigeonstep.NotRunResponse(503, "no server", "select", "pool", time.Second)})
		return
	}
	s.runs[a.Key]++
	if s.runs[a.Key] == 1 {
		s.firstRunAt[a.Key] = s.now
	} else {
		s.fail("key %s ran %d times", a.Key, s.runs[a.Key])
	}
	response := wigeonstep.Response{Outcome: wigeonstep.OutcomeDone, Status: 200, Body: answerTo(a.Request)}
	if s.chance("answer of the backend server lost", 5) {
		response = wigeonstep.UnknownResponse(false, "lost", "backend call", "vm")
	}
	p.schedule(func() { p.step(wigeononce.Finished{Key: a.Key, Run: a.Run, Response: response}) })
}

func answerTo(request *wigeonstep.Request) []byte {
	return []byte(fmt.Sprintf("answer to %s %s", request.Key, request.Body))
}

func (s *sim) processOf(id wigeonstep.SessionID) *simProc {
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
	target := p.sim.processOf(a.Session)
	ended := func(response wigeonstep.Response, owner bool) {
		p.schedule(func() {
			p.step(wigeononce.ForwardEnded{Waiter: a.Waiter, Answered: owner, Response: response})
		})
	}
	if target == nil || target.crashed || p.sim.chance("forward not delivered", 6) {
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

func (p *simProc) query(a wigeononce.Query) {
	target := p.sim.processOf(a.Session)
	ended := wigeononce.QueryEnded{Waiter: a.Waiter}
	if target != nil && !target.crashed && !p.sim.chance("query lost", 6) {
		ended.Response, ended.Found, ended.Running = target.core.Lookup(a.Key, a.Hash)
	}
	p.step(ended)
}

// issueKey issues a key, up to six keys in the simulation.
func (p *simProc) issueKey() {
	if core, ok := p.core.(*wigeononce.Core); ok && !p.crashed && len(p.sim.keys) < 6 {
		p.sim.keys = append(p.sim.keys, core.Issue(p.sim.now, 1, func() uint64 { return 1 })...)
	}
}

func (s *sim) chance(label string, in int) bool {
	return rapid.IntRange(1, in).Draw(s.t, label) == 1
}
