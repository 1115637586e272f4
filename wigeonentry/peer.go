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

// HandlePeer serves forwarded requests, answer queries and demand reports of other entry processes. It passes all other
// peer requests to Config.NextPeerHandler, if set.
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
		answer, found, running := p.keyTable.Lookup(wigeonstep.IdempotencyKey(body.AnswerQuery.GetKey()), body.AnswerQuery.GetRequestHash())
		response.Body = &wigeonwire.PeerResponse_Answer{Answer: encodeAnswer(&answer, found, running)}
	case *wigeonwire.PeerRequest_DemandReport:
		p.peerDemand.update(p.config.Now(), body.DemandReport)
	default:
		if p.config.NextPeerHandler != nil {
			return p.config.NextPeerHandler.HandlePeer(ctx, request)
		}
		response.Error = fmt.Sprintf("the traffic process does not answer %T", body)
	}
	response.FromSession = uint64(p.config.Follower.Session())
	return response
}

// serveForwarded runs a request that another entry process forwarded because this process owns its key. owner is false when
// this process may not run the key. A request that was dispatched to a backend server completes even if ctx ends.
func (p *Process) serveForwarded(ctx context.Context, f *wigeonwire.ForwardRequest) (response wigeonstep.Response, owner bool) {
	request := &wigeonstep.Request{
		ID: wigeonstep.RequestID(f.GetRequestId()), Method: f.GetMethod(), Path: f.GetPath(), ContentType: f.GetContentType(), Body: f.GetBody(),
		Team: wigeonstep.TeamName(f.GetTeam()), Class: wigeonstep.ClassName(f.GetClass()), Key: wigeonstep.IdempotencyKey(f.GetKey()),
		Deadline: p.config.Now().Add(time.Duration(f.GetDeadlineMs()) * time.Millisecond),
	}
	if _, ok := p.config.Follower.View().Route(request.Team, request.Class); !ok || request.Key == "" {
		return response, false
	}
	return p.keyTable.Serve(ctx, request, true)
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

// keyedPeers implements wigeononce.Peers with the peer client of a process.
type keyedPeers struct{ process *Process }

// Forward sends the request to the session that owns its key, with the time left until the deadline. ok is false when
// no time is left, or when the session is not the owner or did not answer.
func (o keyedPeers) Forward(ctx context.Context, session *wigeonstate.Session, request *wigeonstep.Request, deadline time.Time) (wigeonstep.Response, bool) {
	p := o.process
	remainingMS := deadline.Sub(p.config.Now()).Milliseconds()
	if p.config.Peers == nil || remainingMS <= 0 {
		return wigeonstep.Response{}, false
	}
	call := &wigeonwire.PeerRequest{FromSession: uint64(p.config.Follower.Session()), Body: &wigeonwire.PeerRequest_Forward{Forward: &wigeonwire.ForwardRequest{
		Method: request.Method, Path: request.Path, ContentType: request.ContentType, Body: request.Body,
		Team: string(request.Team), Class: string(request.Class), Key: string(request.Key),
		DeadlineMs: uint32(remainingMS), RequestId: string(request.ID),
	}}}
	response, err := p.config.Peers.Call(ctx, session.PeerAddress, call)
	if err != nil || response.GetForward() == nil || response.GetError() != "" {
		p.logForwardFailure(request, session, err)
		return wigeonstep.Response{}, false
	}
	return decodeAnswer(response.GetForward(), "forward to owner", session.PeerAddress), true
}

// Query queries the session for the answer that it retains for a key and request hash. A session that does not answer
// within answerQueryTimeout counts as one that has no answer.
func (o keyedPeers) Query(ctx context.Context, session *wigeonstate.Session, key wigeonstep.IdempotencyKey, hash uint64) (response wigeonstep.Response, found, running bool) {
	p := o.process
	if p.config.Peers == nil {
		return response, false, false
	}
	ctx, cancel := context.WithTimeout(ctx, answerQueryTimeout)
	defer cancel()
	call := &wigeonwire.PeerRequest{FromSession: uint64(p.config.Follower.Session()), Body: &wigeonwire.PeerRequest_AnswerQuery{AnswerQuery: &wigeonwire.AnswerQuery{Key: string(key), RequestHash: hash}}}
	answer, err := p.config.Peers.Call(ctx, session.PeerAddress, call)
	if err != nil || answer.GetAnswer() == nil {
		return response, false, false
	}
	queried := answer.GetAnswer()
	return decodeAnswer(queried, "ask earlier owner", session.PeerAddress), queried.GetFound(), queried.GetRunning()
}

// answerQueryTimeout limits one query to an earlier owner of a key for its answer.
const answerQueryTimeout = 2 * time.Second
