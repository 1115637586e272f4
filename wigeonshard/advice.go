package wigeonshard

import (
	"time"

	"github.com/wigeonstep/wigeonstep"
)

const (
	// maxAdvised limits the workers in one request, because the advice service takes longer over more workers.
	maxAdvised = 30
	// adviceRetryDelay is the minimum time between an answer or error of the advice service and the next request about
	// the same step.
	adviceRetryDelay = 200 * time.Millisecond
	// adviceTimeout is the time after which an unanswered request is sent again.
	adviceTimeout = 3 * time.Second
	// ticketMargin is the remaining validity below which a ticket is no longer used.
	ticketMargin = 200 * time.Millisecond
)

// workersWithTicket returns the workers of the pool for which the step has a valid ticket. When none of them has room for
// a task, it also asks the advice service, unless a request is pending or adviceRetryDelay has not passed.
func (o *Owner) workersWithTicket(now Timestamp, s *step, pool []*worker) []*worker {
	if s.advice == nil {
		s.advice = &adviceState{requestedAt: -1, tickets: map[wigeonstep.WorkerID]ticketGrant{}}
	}
	a := s.advice
	var ticketed []*worker
	for _, w := range pool {
		if g, ok := a.tickets[w.ID]; ok && now.Steady+ticketMargin < g.validUntil {
			ticketed = append(ticketed, w)
		}
	}
	waiting := a.requestedAt >= 0 && now.Steady-a.requestedAt < adviceTimeout
	if s.fitsAnyOf(ticketed) || waiting || now.Steady < a.retryAt {
		return ticketed
	}
	request := AdviceRequest{Job: s.job.ID, Occurrence: s.occurrence.number, Step: s.number, SentAt: now.Steady}
	for _, w := range pool {
		if w.Service == s.job.Service && w.free().Covers(s.Reserved()) && len(request.Workers) < maxAdvised {
			request.Workers = append(request.Workers, w.ID)
		}
	}
	if len(request.Workers) > 0 {
		a.requestedAt = now.Steady
		o.out.AdviceRequests = append(o.out.AdviceRequests, request)
	}
	return ticketed
}

// fitsAnyOf reports whether one of the workers has room for a task of the step.
func (s *step) fitsAnyOf(workers []*worker) bool {
	for _, w := range workers {
		if w.free().Covers(s.Reserved()) {
			return true
		}
	}
	return false
}

// AdviceAnswered records the answer of the advice service to a request, or the error of the call. It may come after the request was
// repeated; tickets are valid from the time of their own request.
func (o *Owner) AdviceAnswered(now Timestamp, request AdviceRequest, advice wigeonstep.Advice, err error) {
	j := o.jobs[request.Job]
	if j == nil {
		return
	}
	for _, occ := range j.occurrences {
		if occ.number != request.Occurrence || request.Step >= len(occ.steps) || occ.steps[request.Step].advice == nil {
			continue
		}
		a := occ.steps[request.Step].advice
		a.retryAt = now.Steady + adviceRetryDelay
		if a.requestedAt == request.SentAt {
			a.requestedAt = -1
		}
		if err != nil {
			return
		}
		for id, ticket := range advice.Tickets {
			grant := ticketGrant{ticket: ticket, validUntil: request.SentAt + advice.TTL}
			if grant.validUntil > a.tickets[id].validUntil {
				a.tickets[id] = grant
			}
		}
	}
}
