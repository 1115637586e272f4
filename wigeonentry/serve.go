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

const peerSelf = "entry process"

// Serve implements wigeoncaller.Handler.
func (p *Process) Serve(ctx context.Context, request *wigeonstep.Request) wigeonstep.Response {
	begin := p.config.Now()
	route, bad := p.route(request, begin)
	if bad != nil {
		return *bad
	}
	response := p.serveRouted(ctx, route, request)
	p.observe(route, request, &response, p.config.Now().Sub(begin))
	return response
}

// route finds the class of the request and sets its deadline when the caller set none.
func (p *Process) route(request *wigeonstep.Request, now time.Time) (*wigeonstate.Route, *wigeonstep.Response) {
	route, ok := p.config.Follower.View().Route(request.Team, request.Class)
	if !ok {
		if !p.caughtUp.Load() {
			r := wigeonstep.NotRun(http.StatusServiceUnavailable, "the process has not read the log yet", "route request", peerSelf, time.Second)
			return nil, &r
		}
		return nil, p.badInput(request, "no document in force has this team and class")
	}
	if request.Key == "" && !route.Class.Idempotent {
		return nil, p.badInput(request, "the class is not idempotent, so the request needs the header "+wigeonstep.HeaderIdempotencyKey)
	}
	if request.Deadline.IsZero() {
		request.Deadline = now.Add(route.Class.Deadline())
	}
	return route, nil
}

// badInput refuses a request for what it says, and logs it once.
func (p *Process) badInput(request *wigeonstep.Request, reason string) *wigeonstep.Response {
	r := wigeoncaller.BadInput(http.StatusBadRequest, reason)
	p.config.Logger.Warn("bad input refused",
		zap.String("request", string(request.ID)), zap.String("team", string(request.Team)), zap.String("class", string(request.Class)),
		zap.Int("status", r.Status), zap.String("reason", reason))
	return &r
}

func (p *Process) serveRouted(ctx context.Context, route *wigeonstate.Route, request *wigeonstep.Request) wigeonstep.Response {
	long := route.Class.Kind == wigeondocument.KindLong
	if request.Key != "" && (long || !route.Class.Idempotent) {
		response, _ := p.once.Serve(ctx, request, false)
		return response
	}
	if long {
		return p.acceptJob(ctx, route, request)
	}
	s := newSlot(p.poolOf(route.Service.Document.Pool), route, request.Deadline)
	if refusal := s.admit(ctx); refusal != nil {
		return *refusal
	}
	return p.run(ctx, s, request)
}

// IssueKeys implements wigeoncaller.Handler.
func (p *Process) IssueKeys(_ context.Context, count int) wigeonstep.Response {
	keys := p.once.Issue(count)
	if keys == nil {
		return wigeonstep.NotRun(http.StatusServiceUnavailable, "the process has no session or too many issued keys are unused", "issue keys", peerSelf, time.Second)
	}
	return wigeoncaller.JSON(http.StatusCreated, wigeonstep.OutcomeDone, struct {
		Keys []wigeonstep.Key `json:"keys"`
	}{keys})
}

// onceRunner lets wigeononce run requests on this process.
type onceRunner struct{ process *Process }

// Admit implements wigeononce.Runner.
func (r onceRunner) Admit(ctx context.Context, request *wigeonstep.Request) (wigeononce.Slot, wigeonstep.Response) {
	p := r.process
	route, ok := p.config.Follower.View().Route(request.Team, request.Class)
	if !ok {
		return nil, wigeonstep.NotRun(http.StatusServiceUnavailable, "the document of the class was withdrawn", "route request", peerSelf, time.Second)
	}
	if route.Class.Kind == wigeondocument.KindLong {
		if refusal := p.checkJob(route, request); refusal != nil {
			return nil, *refusal
		}
		return &jobSlot{process: p, route: route, request: request}, wigeonstep.Response{}
	}
	s := newSlot(p.poolOf(route.Service.Document.Pool), route, slotDeadline(p.config.Now(), request.Deadline))
	if refusal := s.admit(ctx); refusal != nil {
		return nil, *refusal
	}
	return &onceSlot{process: p, slot: s, request: request}, wigeonstep.Response{}
}

// onceSlot is a slot of a request with a key.
type onceSlot struct {
	process *Process
	slot    *slot
	request *wigeonstep.Request
}

// Intent implements wigeononce.Slot.
func (s *onceSlot) Intent(hash uint64) *wigeonwire.Entry {
	return &wigeonwire.Entry{Body: &wigeonwire.Entry_Intent{Intent: &wigeonwire.Intent{
		Key: string(s.request.Key), Team: string(s.request.Team), Class: string(s.request.Class),
		Service: string(s.slot.route.Service.Document.Service), RequestHash: hash,
	}}}
}

// Dispatch implements wigeononce.Slot.
func (s *onceSlot) Dispatch(ctx context.Context, deadline time.Time) wigeonstep.Response {
	request := *s.request
	request.Deadline = deadline
	return s.process.run(ctx, s.slot, &request)
}

// Release implements wigeononce.Slot.
func (s *onceSlot) Release() { s.slot.finish(false) }
