package wigeonentry

import (
	"context"
	"net/http"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonrouting"
)

// maxStartDelay limits the time from the arrival of a short request to its start; a request that has not started by then is
// refused. The limit covers the waits for a slot, for the intent record and for a free server together, since each of them
// alone may use up most of it.
const maxStartDelay = 4700 * time.Millisecond

// intentReserve is the part of maxStartDelay that is reserved for writing the intent record. The design assumes a median log
// latency of at most 250 ms.
const intentReserve = 250 * time.Millisecond

// slotDeadline returns the latest time at which a request with a key may get its slot. It leaves intentReserve for the intent
// record before the request has to start.
func slotDeadline(now, deadline time.Time) time.Time {
	if latest := now.Add(maxStartDelay - intentReserve); deadline.IsZero() || latest.Before(deadline) {
		return latest
	}
	return deadline
}

// requestRun is the state of one short request over its attempts.
type requestRun struct {
	process   *Process
	slotClaim *slotClaim
	request   *wigeonstep.Request
	tried     []wigeonstep.VMID
	// mayHaveRun is set once an attempt ends without proof that the request did not run.
	mayHaveRun bool
	// lastAnswered is the last attempt that returned a whole response. It is the answer if no later attempt returns one.
	lastAnswered *wigeonstep.BackendResult
}

// runRequest sends the request to backend servers until an attempt is final, releases its slot and returns the response.
func (p *Process) runRequest(ctx context.Context, s *slotClaim, request *wigeonstep.Request) wigeonstep.Response {
	r := requestRun{process: p, slotClaim: s, request: request}
	response, ran := r.runAttempts(ctx)
	s.release(ran)
	return response
}

// runAttempts returns the response of the final attempt. ran reports whether the time for which the slot was held may update
// the run time estimate.
func (r *requestRun) runAttempts(ctx context.Context) (response wigeonstep.Response, ran bool) {
	p, s := r.process, r.slotClaim
	options := wigeonrouting.PickOptions{NoProbe: !s.route.Class.Idempotent}
	server, ok := s.pool.pickFirst(s.ticket.Team, options)
	for attempt := 1; ; attempt++ {
		if !ok {
			if server, ok = s.pool.awaitServer(ctx, options, r.serverWaitDeadline()); !ok {
				return r.noServerResponse(), r.lastAnswered != nil
			}
		}
		if r.startTimePassed() {
			s.pool.releaseUnused(server.VM)
			return r.noServerResponse(), false
		}
		begin := p.config.Now()
		result := p.config.Backend.Call(ctx, wigeonstep.BackendCall{Request: r.request, VM: server.VM, Address: server.Address, Epoch: server.Epoch})
		r.noteResult(&result)
		retry, delay := s.pool.finishAttempt(s, server.VM, result, p.config.Now().Sub(begin), attempt, r.attemptDeadline())
		p.logAttempt(r.request, server.VM, attempt, &result)
		if !retry {
			return r.attemptResponse(server.VM, &result), result.Verdict == wigeonstep.BackendAnswered
		}
		p.retries.Inc()
		r.tried = append(r.tried, server.VM)
		options.Exclude = r.tried
		if !sleep(ctx, delay) {
			return r.attemptResponse(server.VM, &result), false
		}
		server, ok = s.pool.pick(options)
	}
}

// attemptDeadline returns the latest time for sending another attempt, zero for no limit. maxStartDelay applies only
// while it is certain that the request has not run.
func (r *requestRun) attemptDeadline() time.Time {
	deadline, latest := r.request.Deadline, r.slotClaim.ticket.Enqueued.Add(maxStartDelay)
	if !r.mayHaveRun && (deadline.IsZero() || latest.Before(deadline)) {
		return latest
	}
	return deadline
}

// startTimePassed reports whether maxStartDelay has passed and the request certainly has not run.
func (r *requestRun) startTimePassed() bool {
	return !r.mayHaveRun && !r.process.config.Now().Before(r.slotClaim.ticket.Enqueued.Add(maxStartDelay))
}

// serverWaitDeadline limits the wait for a free server by the queue time of the class (at least 100 ms) and by
// attemptDeadline.
func (r *requestRun) serverWaitDeadline() time.Time {
	latestWait := r.process.config.Now().Add(max(r.slotClaim.route.Class.MaxQueue(), 100*time.Millisecond))
	if latest := r.attemptDeadline(); !latest.IsZero() && latest.Before(latestWait) {
		return latest
	}
	return latestWait
}

func (r *requestRun) noteResult(result *wigeonstep.BackendResult) {
	if !result.Verdict.NotRun() {
		r.mayHaveRun = true
	}
	if result.Verdict == wigeonstep.BackendAnswered {
		r.lastAnswered = result
	}
}

// noServerResponse returns the response to a request that got no backend server in time for its next attempt.
func (r *requestRun) noServerResponse() wigeonstep.Response {
	if r.mayHaveRun {
		return r.answeredOrUnknown("an earlier attempt may have run and no backend server is free", "", false)
	}
	return wigeonstep.NotRunResponse(http.StatusServiceUnavailable, "no backend server of the pool takes requests", stepSelect, "pool "+string(r.slotClaim.pool.name), time.Second)
}

// attemptResponse returns the response to a request whose last attempt ended with result.
func (r *requestRun) attemptResponse(vm wigeonstep.VMID, result *wigeonstep.BackendResult) wigeonstep.Response {
	if result.Verdict.NotRun() && !r.mayHaveRun {
		return wigeonstep.NotRunResponse(http.StatusServiceUnavailable, errorReason(result.Err), "backend call", string(vm), time.Second)
	}
	return r.answeredOrUnknown(errorReason(result.Err), vm, result.TimedOut)
}

// answeredOrUnknown returns the last whole response, or outcome unknown with the reason when there is none.
func (r *requestRun) answeredOrUnknown(reason string, vm wigeonstep.VMID, timedOut bool) wigeonstep.Response {
	if w := r.lastAnswered; w != nil {
		return wigeonstep.Response{Outcome: wigeonstep.OutcomeDone, Status: w.Status, ContentType: w.ContentType, Body: w.Body}
	}
	return wigeonstep.UnknownResponse(timedOut, reason, "backend call", string(vm))
}

func errorReason(err error) string {
	if err == nil {
		return "the backend server did not answer"
	}
	return err.Error()
}

// sleep waits for the delay and returns false if ctx ends first.
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
