package wigeonentry

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// HandlePeer answers forwarded requests, queries for answers and demand reports of other traffic processes.
func (p *Process) HandlePeer(ctx context.Context, request *wigeonwire.PeerRequest) *wigeonwire.PeerResponse {
	response := &wigeonwire.PeerResponse{}
	switch body := request.GetBody().(type) {
	case *wigeonwire.PeerRequest_Forward:
		p.peerInFlight.Add(1)
		defer p.peerInFlight.Add(-1)
		answer, owner := p.serveForwarded(ctx, body.Forward)
		if !owner {
			response.Error = "this process does not own the key"
			break
		}
		response.Body = &wigeonwire.PeerResponse_Forward{Forward: encodeAnswer(&answer, true, false)}
	case *wigeonwire.PeerRequest_AnswerQuery:
		answer, found, running := p.once.Lookup(wigeonstep.Key(body.AnswerQuery.GetKey()), body.AnswerQuery.GetRequestHash())
		response.Body = &wigeonwire.PeerResponse_Answer{Answer: encodeAnswer(&answer, found, running)}
	case *wigeonwire.PeerRequest_DemandReport:
		p.demands.take(p.config.Now(), body.DemandReport)
	default:
		if p.config.NextPeerHandler != nil {
			return p.config.NextPeerHandler.HandlePeer(ctx, request)
		}
		response.Error = fmt.Sprintf("the traffic process does not answer %T", body)
	}
	response.FromSession = uint64(p.config.Follower.Session())
	return response
}

// serveForwarded runs another process's request whose key this process owns. A peer that gives up does not end a run that has been dispatched.
func (p *Process) serveForwarded(ctx context.Context, f *wigeonwire.ForwardRequest) (response wigeonstep.Response, owner bool) {
	request := &wigeonstep.Request{
		ID: wigeonstep.RequestID(f.GetRequestId()), Method: f.GetMethod(), Path: f.GetPath(), ContentType: f.GetContentType(), Body: f.GetBody(),
		Team: wigeonstep.TeamName(f.GetTeam()), Class: wigeonstep.ClassName(f.GetClass()), Key: wigeonstep.Key(f.GetKey()),
		Deadline: p.config.Now().Add(time.Duration(f.GetDeadlineMs()) * time.Millisecond),
	}
	if _, ok := p.config.Follower.View().Route(request.Team, request.Class); !ok || request.Key == "" {
		return response, false
	}
	return p.once.Serve(ctx, request, true)
}

func encodeAnswer(r *wigeonstep.Response, found, running bool) *wigeonwire.ForwardResponse {
	answer := &wigeonwire.ForwardResponse{
		Status: uint32(r.Status), Outcome: string(r.Outcome), ContentType: r.ContentType, Body: r.Body,
		RetryAfterS: uint32(math.Ceil(r.RetryAfter.Seconds())), Found: found, Running: running,
	}
	if r.Refusal != nil {
		answer.Reason = r.Refusal.Reason
	}
	return answer
}

func decodeAnswer(a *wigeonwire.ForwardResponse, step, peer string) wigeonstep.Response {
	r := wigeonstep.Response{
		Outcome: wigeonstep.Outcome(a.GetOutcome()), Status: int(a.GetStatus()), ContentType: a.GetContentType(), Body: a.GetBody(),
		RetryAfter: time.Duration(a.GetRetryAfterS()) * time.Second,
	}
	if r.Outcome != wigeonstep.OutcomeDone && r.Outcome != wigeonstep.OutcomeAccepted {
		r.Refusal = &wigeonstep.Refusal{Reason: a.GetReason(), Step: step, Peer: peer}
	}
	return r
}

// oncePeers implements wigeononce.Peers over the peer client.
type oncePeers struct{ process *Process }

// Forward implements wigeononce.Peers.
func (o oncePeers) Forward(ctx context.Context, session *wigeonstate.Session, request *wigeonstep.Request, deadline time.Time) (wigeonstep.Response, bool) {
	p := o.process
	left := deadline.Sub(p.config.Now()).Milliseconds()
	if p.config.Peers == nil || left <= 0 {
		return wigeonstep.Response{}, false
	}
	call := &wigeonwire.PeerRequest{FromSession: uint64(p.config.Follower.Session()), Body: &wigeonwire.PeerRequest_Forward{Forward: &wigeonwire.ForwardRequest{
		Method: request.Method, Path: request.Path, ContentType: request.ContentType, Body: request.Body,
		Team: string(request.Team), Class: string(request.Class), Key: string(request.Key),
		DeadlineMs: uint32(left), RequestId: string(request.ID),
	}}}
	response, err := p.config.Peers.Call(ctx, session.PeerAddress, call)
	if err != nil || response.GetForward() == nil || response.GetError() != "" {
		p.logForward(request, session, err)
		return wigeonstep.Response{}, false
	}
	return decodeAnswer(response.GetForward(), "forward to owner", session.PeerAddress), true
}

// Ask implements wigeononce.Peers.
func (o oncePeers) Ask(ctx context.Context, session *wigeonstate.Session, key wigeonstep.Key, hash uint64) (response wigeonstep.Response, found, running bool) {
	p := o.process
	if p.config.Peers == nil {
		return response, false, false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	call := &wigeonwire.PeerRequest{FromSession: uint64(p.config.Follower.Session()), Body: &wigeonwire.PeerRequest_AnswerQuery{AnswerQuery: &wigeonwire.AnswerQuery{Key: string(key), RequestHash: hash}}}
	answer, err := p.config.Peers.Call(ctx, session.PeerAddress, call)
	if err != nil || answer.GetAnswer() == nil {
		return response, false, false
	}
	a := answer.GetAnswer()
	return decodeAnswer(a, "ask earlier owner", session.PeerAddress), a.GetFound(), a.GetRunning()
}

// askTimeout bounds one query for an answer; an earlier owner that does not answer counts as gone.
const askTimeout = 2 * time.Second
