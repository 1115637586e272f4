package wigeonentry

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeoncaller"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
	"github.com/wigeonstep/wigeonstep/wigeononce"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// peerSelf is the peer in refusals that this process decides itself.
const peerSelf = "entry process"

// Serve runs a short request or accepts a long one as a job. It updates the metrics of the class unless route refuses the
// request.
func (p *Process) Serve(ctx context.Context, request *wigeonstep.Request) wigeonstep.Response {
	begin := p.config.Now()
	route, refusal := p.route(request, begin)
	if refusal != nil {
		return *refusal
	}
	response := p.serveRouted(ctx, route, request)
	p.recordOutcome(route, request, &response, p.config.Now().Sub(begin))
	return response
}

// route returns the class of the request or a refusal. It sets the deadline of the class when the caller set none.
func (p *Process) route(request *wigeonstep.Request, now time.Time) (*wigeonstate.Route, *wigeonstep.Response) {
	route, ok := p.config.Follower.View().Route(request.Team, request.Class)
	if !ok {
		if !p.caughtUp.Load() {
			r := wigeonstep.NotRunResponse(http.StatusServiceUnavailable, "the process has not read the log yet", "route request", peerSelf, time.Second)
			return nil, &r
		}
		return nil, p.refuseBadInput(request, "no document in force has this team and class")
	}
	if request.Key == "" && !route.Class.Idempotent {
		return nil, p.refuseBadInput(request, "the class is not idempotent, so the request needs the header "+wigeonstep.HeaderIdempotencyKey)
	}
	if request.Deadline.IsZero() {
		request.Deadline = now.Add(route.Class.Deadline())
	}
	return route, nil
}

// refuseBadInput logs a request that is invalid in itself and returns its refusal.
func (p *Process) refuseBadInput(request *wigeonstep.Request, reason string) *wigeonstep.Response {
	r := wigeoncaller.BadInput(http.StatusBadRequest, reason)
	p.config.Logger.Warn("bad input refused",
		zap.String("request", string(request.ID)), zap.String("team", string(request.Team)), zap.String("class", string(request.Class)),
		zap.Int("status", r.Status), zap.String("reason", reason))
	return &r
}

// serveRouted records a long request as a job and runs a short one. The key table serves requests with a key, so that each
// key runs at most once. A short request of an idempotent class may run more than once, so its key is ignored and costs no
// intent record.
func (p *Process) serveRouted(ctx context.Context, route *wigeonstate.Route, request *wigeonstep.Request) wigeonstep.Response {
	long := route.Class.Kind == wigeondocument.KindLong
	if request.Key != "" && (long || !route.Class.Idempotent) {
		// The second result tells only whether this process may run the key of a forwarded request.
		response, _ := p.keyTable.Serve(ctx, request, false /* forwarded */)
		return response
	}
	if long {
		return p.acceptJob(ctx, route, request)
	}
	// No intent record has to be written, so the slot may be granted until the deadline of the request.
	claim := newSlotClaim(p.poolNamed(route.Service.Document.Pool), route, request.Deadline)
	if refusal := claim.admit(ctx); refusal != nil {
		return *refusal
	}
	return p.runRequest(ctx, claim, request)
}

// IssueKeys returns new idempotency keys. Requests with them run only at this process and need no intent record, so they are
// served while the log is down. It refuses the call when the process has no session or too many issued keys are unused.
func (p *Process) IssueKeys(_ context.Context, count int) wigeonstep.Response {
	keys := p.keyTable.Issue(count)
	if keys == nil {
		return wigeonstep.NotRunResponse(http.StatusServiceUnavailable, "the process has no session or too many issued keys are unused", "issue keys", peerSelf, time.Second)
	}
	return wigeoncaller.JSON(http.StatusCreated, wigeonstep.OutcomeDone, struct {
		Keys []wigeonstep.IdempotencyKey `json:"keys"`
	}{keys})
}

// keyedRunner implements wigeononce.Runner: it runs requests with a key on this process.
type keyedRunner struct{ process *Process }

// Admit checks a job, or waits until a short request gets a slot of its pool. The Slot returned for a job holds no slot of a
// pool.
func (r keyedRunner) Admit(ctx context.Context, request *wigeonstep.Request) (wigeononce.Slot, wigeonstep.Response) {
	p := r.process
	route, ok := p.config.Follower.View().Route(request.Team, request.Class)
	if !ok {
		return nil, wigeonstep.NotRunResponse(http.StatusServiceUnavailable, "the document of the class was withdrawn", "route request", peerSelf, time.Second)
	}
	if route.Class.Kind == wigeondocument.KindLong {
		if refusal := p.checkJob(route, request); refusal != nil {
			return nil, *refusal
		}
		return &jobSlot{process: p, route: route, request: request}, wigeonstep.Response{}
	}
	claim := newSlotClaim(p.poolNamed(route.Service.Document.Pool), route, slotDeadline(p.config.Now(), request.Deadline))
	if refusal := claim.admit(ctx); refusal != nil {
		return nil, *refusal
	}
	return &keyedSlot{process: p, slotClaim: claim, request: request}, wigeonstep.Response{}
}

// keyedSlot implements wigeononce.Slot for a short request with a key.
type keyedSlot struct {
	process   *Process
	slotClaim *slotClaim
	request   *wigeonstep.Request
}

// Intent returns the record that claims the key before the request is sent.
func (s *keyedSlot) Intent(hash uint64) *wigeonwire.Entry {
	return &wigeonwire.Entry{Body: &wigeonwire.Entry_Intent{Intent: &wigeonwire.Intent{
		Key: string(s.request.Key), Team: string(s.request.Team), Class: string(s.request.Class),
		Service: string(s.slotClaim.route.Service.Document.Service), RequestHash: hash,
	}}}
}

// Dispatch runs the request with the deadline and releases the slot.
func (s *keyedSlot) Dispatch(ctx context.Context, deadline time.Time) wigeonstep.Response {
	request := *s.request
	request.Deadline = deadline
	return s.process.runRequest(ctx, s.slotClaim, &request)
}

// Release returns the slot of a request that was not sent.
func (s *keyedSlot) Release() { s.slotClaim.release(false) }
