package wigeonentry

import (
	"context"
	"net/http"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonrouting"
)

// startWithin is how long after its arrival short work starts at the latest; after that it is refused. The wait for a slot, for
// the intent and for a free server count together, since each of them alone may take most of it.
const startWithin = 4700 * time.Millisecond

// intentReserve is the part of startWithin that stays for the intent. The design holds for a median log latency of at most 250 ms.
const intentReserve = 250 * time.Millisecond

// slotDeadline returns until when a request with a key may wait for its slot, so that its intent is back in time to start.
func slotDeadline(now, deadline time.Time) time.Time {
	if latest := now.Add(startWithin - intentReserve); deadline.IsZero() || latest.Before(deadline) {
		return latest
	}
	return deadline
}

// running is one request on its way through the attempts.
type running struct {
	process *Process
	slot    *slot
	request *wigeonstep.Request
	tried   []wigeonstep.VMID
	// mayHaveRun is set once an attempt ended without proof that the request did not run.
	mayHaveRun bool
	// whole is the last whole response of an attempt; it is the answer when no later attempt does better.
	whole *wigeonstep.BackendResult
}

// run sends the request of a slot until an attempt settles it, gives the slot back and returns the answer.
func (p *Process) run(ctx context.Context, s *slot, request *wigeonstep.Request) wigeonstep.Response {
	r := running{process: p, slot: s, request: request}
	response, ran := r.attempts(ctx)
	s.finish(ran)
	return response
}

func (r *running) attempts(ctx context.Context) (response wigeonstep.Response, ran bool) {
	p, s := r.process, r.slot
	want := wigeonrouting.Want{NoProbe: !s.route.Class.Idempotent}
	server, ok := s.pool.pickFirst(s.ticket.Team, want)
	for attempt := 1; ; attempt++ {
		if !ok {
			if server, ok = s.pool.awaitServer(ctx, want, r.serverUntil()); !ok {
				return r.noServer(), r.whole != nil
			}
		}
		if r.late() {
			s.pool.unused(server.VM)
			return r.noServer(), false
		}
		begin := p.config.Now()
		result := p.config.Backend.Call(ctx, wigeonstep.BackendCall{Request: r.request, VM: server.VM, Address: server.Address, Epoch: server.Epoch})
		r.note(&result)
		again, delay := s.pool.done(s, server.VM, result, p.config.Now().Sub(begin), attempt, r.sendBy())
		p.logAttempt(r.request, server.VM, attempt, &result)
		if !again {
			return r.answer(server.VM, &result), result.Verdict == wigeonstep.BackendWhole
		}
		p.retries.Inc()
		r.tried = append(r.tried, server.VM)
		want.Exclude = r.tried
		if !sleep(ctx, delay) {
			return r.answer(server.VM, &result), false
		}
		server, ok = s.pool.pick(want)
	}
}

// sendBy returns until when a further attempt may be sent; zero means without bound.
func (r *running) sendBy() time.Time {
	deadline, latest := r.request.Deadline, r.slot.ticket.Enqueued.Add(startWithin)
	if !r.mayHaveRun && (deadline.IsZero() || latest.Before(deadline)) {
		return latest
	}
	return deadline
}

// late reports whether the time to start has passed and nothing has run yet.
func (r *running) late() bool {
	return !r.mayHaveRun && !r.process.config.Now().Before(r.slot.ticket.Enqueued.Add(startWithin))
}

// serverUntil bounds the wait for a server by the queue time of the class, the time to start and the deadline of the request.
func (r *running) serverUntil() time.Time {
	until := r.process.config.Now().Add(max(r.slot.route.Class.MaxQueue(), 100*time.Millisecond))
	if latest := r.sendBy(); !latest.IsZero() && latest.Before(until) {
		return latest
	}
	return until
}

func (r *running) note(result *wigeonstep.BackendResult) {
	if !result.Verdict.NotRun() {
		r.mayHaveRun = true
	}
	if result.Verdict == wigeonstep.BackendWhole {
		r.whole = result
	}
}

func (r *running) noServer() wigeonstep.Response {
	if r.mayHaveRun {
		return r.settle("an earlier attempt may have run and no backend server is free", "", false)
	}
	return wigeonstep.NotRun(http.StatusServiceUnavailable, "no backend server of the pool takes requests", stepSelect, "pool "+string(r.slot.pool.name), time.Second)
}

// answer turns the last attempt into the response.
func (r *running) answer(vm wigeonstep.VMID, result *wigeonstep.BackendResult) wigeonstep.Response {
	if result.Verdict.NotRun() && !r.mayHaveRun {
		return wigeonstep.NotRun(http.StatusServiceUnavailable, reasonOf(result.Err), "backend call", string(vm), time.Second)
	}
	return r.settle(reasonOf(result.Err), vm, result.TimedOut)
}

// settle returns the last whole response, or unknown when there is none.
func (r *running) settle(reason string, vm wigeonstep.VMID, timedOut bool) wigeonstep.Response {
	if w := r.whole; w != nil {
		return wigeonstep.Response{Outcome: wigeonstep.OutcomeDone, Status: w.Status, ContentType: w.ContentType, Body: w.Body}
	}
	return wigeonstep.Unknown(timedOut, reason, "backend call", string(vm))
}

func reasonOf(err error) string {
	if err == nil {
		return "the backend server did not answer"
	}
	return err.Error()
}

// sleep waits for the delay; it returns false when ctx ends first.
func sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
