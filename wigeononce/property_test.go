package wigeononce_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeononce"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// sendRequest sends one request to a running process and checks its answer.
func (s *sim) sendRequest() {
	var alive []*simProc
	for _, p := range s.procs {
		if !p.crashed {
			alive = append(alive, p)
		}
	}
	if len(alive) == 0 {
		return
	}
	key := rapid.SampledFrom(s.keys).Draw(s.t, "key")
	body := "order"
	if s.chance("reused key", 10) {
		body = "another order"
	}
	c := &simCaller{sent: s.now, proc: rapid.SampledFrom(alive).Draw(s.t, "entry"), request: &wigeonstep.Request{
		ID: wigeonstep.RequestID(fmt.Sprintf("r%d", len(s.callers))), Method: "POST", Path: "/", Body: []byte(body), Key: key,
	}}
	s.callers = append(s.callers, c)
	c.proc.serve(c.request, false, func(response wigeonstep.Response, _ bool) { s.checkAnswer(c, response) })
}

func (s *sim) checkAnswer(c *simCaller, response wigeonstep.Response) {
	c.answers++
	key := c.request.Key
	switch response.Outcome {
	case wigeonstep.OutcomeDone:
		if string(response.Body) != string(answerTo(c.request)) {
			s.fail("request %s got %q", c.request.ID, response.Body)
		}
	case wigeonstep.OutcomeNotRun:
		s.refused[c.request.ID] = true
		if firstRunAt, ran := s.firstRunAt[key]; ran && firstRunAt.Before(c.sent) {
			s.fail("request %s was answered not_run, but key %s had run before it was sent", c.request.ID, key)
		}
	case wigeonstep.OutcomeUnknown:
	default:
		s.fail("request %s got outcome %q", c.request.ID, response.Outcome)
	}
}

// expireSession expires a session on the log, whether or not its process still runs.
func (s *sim) expireSession() {
	p := rapid.SampledFrom(s.procs).Draw(s.t, "expired")
	s.control.append(&wigeonwire.Entry{Body: &wigeonwire.Entry_SessionExpire{SessionExpire: &wigeonwire.SessionExpire{Session: p.session, LastRenewal: p.renewal}}})
}

// reopen opens a new session for a process whose folded state shows that its session has ended.
func (p *simProc) reopen() {
	for _, session := range p.state.View().Sessions {
		if uint64(session.ID) == p.session && !session.Expired {
			return
		}
	}
	if !p.disconnected && !p.crashed {
		p.proposed = map[uint64]wigeononce.Propose{}
		p.openSession()
	}
}

func (s *sim) randomStep() {
	s.now = s.now.Add(time.Millisecond)
	p := rapid.SampledFrom(s.procs).Draw(s.t, "process")
	switch rapid.IntRange(0, 39).Draw(s.t, "turn") {
	case 0, 1, 2, 3, 4, 5:
		s.sendRequest()
	case 6, 7, 8:
		p.catchUp(rapid.IntRange(min(int(p.state.NextOffset()), len(s.log)), len(s.log)).Draw(s.t, "offset"))
	case 9:
		s.expireSession()
	case 10:
		p.reopen()
	case 11:
		p.disconnected = !p.disconnected
	case 12:
		if len(s.procs) < 5 {
			s.addProcess()
		}
	case 13:
		if s.chance("death", 3) {
			p.crashed = true
		}
	case 14:
		p.timeOutWaiters()
	case 15:
		p.issueKey()
	case 16, 17:
		p.renew()
	case 18, 19:
		p.report(rapid.SampledFrom(s.procs).Draw(s.t, "peer"))
	default:
		p.executeOne()
	}
}

func (p *simProc) timeOutWaiters() {
	for id := wigeononce.WaiterID(1); id <= wigeononce.WaiterID(p.waiters) && !p.crashed; id++ {
		if p.waiting[id] != nil && p.sim.chance("deadline", 3) {
			p.step(wigeononce.TimedOut{Waiter: id, Ownership: p.ownership(p.waiting[id].arrive.Request.Key)})
		}
	}
}

func (p *simProc) executeOne() {
	if p.crashed || len(p.pending) == 0 {
		return
	}
	i := rapid.IntRange(0, len(p.pending)-1).Draw(p.sim.t, "action")
	action := p.pending[i]
	p.pending = append(p.pending[:i:i], p.pending[i+1:]...)
	action()
}

// drain reconnects every process that has not crashed, executes up to 200 of its pending
// actions, and times out the remaining requests.
func (s *sim) drain() {
	for range 200 {
		s.now = s.now.Add(time.Millisecond)
		for _, p := range s.procs {
			p.disconnected = false
			p.catchUp(len(s.log))
			if !p.crashed && len(p.pending) > 0 {
				action := p.pending[0]
				p.pending = p.pending[1:]
				action()
			}
		}
	}
	for _, p := range s.procs {
		for id := wigeononce.WaiterID(1); id <= wigeononce.WaiterID(p.waiters) && !p.crashed; id++ {
			if p.waiting[id] != nil {
				p.step(wigeononce.TimedOut{Waiter: id, Ownership: p.ownership(p.waiting[id].arrive.Request.Key)})
			}
		}
	}
	for _, c := range s.callers {
		if !c.proc.crashed && c.answers != 1 {
			s.fail("request %s got %d answers", c.request.ID, c.answers)
		}
	}
}

func simulate(t *rapid.T, create func() stateMachine) []string {
	s := newSim(t, create)
	for range rapid.IntRange(20, 250).Draw(t, "turns") {
		s.randomStep()
	}
	s.drain()
	return s.violations
}

// TestKeyRunsAtMostOnce guards against a key that runs twice, a not_run answer for a key that had run or a request that
// runs later, and a request that gets no answer, several answers or that of another request. It interleaves repeated
// requests, owner changes, lost append answers, log outages and crashes at random.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		violations := simulate(t, func() stateMachine {
			return wigeononce.NewCore(wigeononce.Limits{AnswerTTL: 40 * time.Millisecond, IssuedKeyTTL: 80 * time.Millisecond})
		})
		if len(violations) > 0 {
			t.Fatalf("%q", violations)
		}
	})
}

// naiveTable records no intents: each process only remembers the keys that it ran itself.
type naiveTable struct {
	answers map[wigeonstep.IdempotencyKey]*wigeonstep.Response
}

func (n *naiveTable) Step(_ time.Time, event wigeononce.Event) []wigeononce.Action {
	switch e := event.(type) {
	case wigeononce.Arrive:
		if known, ok := n.answers[e.Request.Key]; ok {
			if known == nil {
				return []wigeononce.Action{wigeononce.Answer{Waiter: e.Waiter, Response: wigeonstep.UnknownResponse(false, "running", "table", "key")}}
			}
			return []wigeononce.Action{wigeononce.Answer{Waiter: e.Waiter, Response: *known}}
		}
		n.answers[e.Request.Key] = nil
		return []wigeononce.Action{
			wigeononce.Dispatch{Key: e.Request.Key, Run: wigeononce.RunID(e.Waiter), Request: e.Request},
		}
	case wigeononce.Finished:
		n.answers[e.Key] = &e.Response
		return []wigeononce.Action{wigeononce.Answer{Waiter: wigeononce.WaiterID(e.Run), Response: e.Response}}
	case wigeononce.TimedOut:
		return nil
	}
	return nil
}

func (n *naiveTable) Lookup(wigeonstep.IdempotencyKey, uint64) (response wigeonstep.Response, found, running bool) {
	return response, false, false
}

// TestSimulationDetectsRepeatedRuns guards against a simulation that TestKeyRunsAtMostOnce would pass trivially: it
// must find that a table without intents runs keys twice.
func TestSimulationDetectsRepeatedRuns(t *testing.T) {
	twice := 0
	generator := rapid.Custom(func(t *rapid.T) []string {
		return append([]string{"end"}, simulate(t, func() stateMachine { return &naiveTable{answers: map[wigeonstep.IdempotencyKey]*wigeonstep.Response{}} })...)
	})
	for seed := range 20 {
		for _, violation := range generator.Example(seed) {
			var key string
			var times int
			if n, _ := fmt.Sscanf(violation, "key %s ran %d times", &key, &times); n == 2 && times > 1 {
				twice++
				break
			}
		}
	}
	t.Logf("the table without intents ran a key twice in %d of 20 simulations", twice)
	qt.Assert(t, twice > 0, qt.IsTrue)
}
