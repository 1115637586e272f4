package wigeonshard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

const (
	// maxAdvised limits the workers in one request, because the advice service takes longer over more workers.
	maxAdvised = 30
	// maxRenewed limits the workers in one request whose tickets are renewed, so that each request also names others.
	maxRenewed = maxAdvised / 2
	// renewDelay is the minimum time between two requests about a worker that may run the step, or about which the service has
	// not answered.
	renewDelay = 200 * time.Millisecond
	// reviewDelay is the minimum time between two requests about a worker for which the service gave no ticket. The answer
	// for a worker does not change, but another process may have started under its id.
	reviewDelay = 5 * time.Second
	// adviceRetryDelay is the minimum time between an error of the advice service and the next request about the same step.
	adviceRetryDelay = 200 * time.Millisecond
	// adviceTimeout is the time after which an unanswered request is sent again.
	adviceTimeout = 3 * time.Second
	// ticketMargin is the remaining validity below which a ticket is no longer used.
	ticketMargin = 200 * time.Millisecond
)

// adviceState holds what the advice service has answered about the workers for a step.
type adviceState struct {
	// requestedAt is the time at which the pending request was sent; negative when none is pending.
	requestedAt time.Duration
	// retryAt is the earliest time of the next request after an error.
	retryAt time.Duration
	// workers holds the workers that a request has named.
	workers map[wigeonstep.WorkerID]workerAdvice
}

// workerAdvice is the advice about one worker.
type workerAdvice struct {
	// askedAt is the time of the newest request that named the worker; 0 if none has.
	askedAt time.Duration
	// refused is set if the newest answer about the worker carried no ticket.
	refused bool
	// ticket is the newest ticket, also after it has expired at validUntil; empty if the service has given none.
	ticket     wigeonstep.Ticket
	validUntil time.Duration
}

// valid reports whether there is a ticket that remains valid for ticketMargin.
func (w workerAdvice) valid(now time.Duration) bool {
	return w.ticket != "" && now+ticketMargin < w.validUntil
}

// mayBeAsked reports whether a request may name the worker again.
func (w workerAdvice) mayBeAsked(now time.Duration) bool {
	switch {
	case w.valid(now):
		return false
	case w.refused:
		return now-w.askedAt >= reviewDelay
	}
	return w.askedAt == 0 || now-w.askedAt >= renewDelay
}

func newAdviceState() *adviceState {
	return &adviceState{requestedAt: -1, workers: map[wigeonstep.WorkerID]workerAdvice{}}
}

// pending reports whether an answer is awaited, or the pause after an error has not passed.
func (a *adviceState) pending(now time.Duration) bool {
	return a.requestedAt >= 0 && now-a.requestedAt < adviceTimeout || now < a.retryAt
}

// allowed returns the number of workers for which the service has given a ticket, valid or not.
func (a *adviceState) allowed() int {
	n := 0
	for _, known := range a.workers {
		if known.ticket != "" {
			n++
		}
	}
	return n
}

// workersWithTicket returns the workers of the pool for which the step has a valid ticket. When no task can be placed on them,
// it also asks the advice service about others, unless a request is pending.
func (o *Owner) workersWithTicket(now Timestamp, s *step, pool []*worker) []*worker {
	if s.advice == nil {
		s.advice = newAdviceState()
	}
	a := s.advice
	var ticketed []*worker
	for _, w := range pool {
		if a.workers[w.ID].valid(now.Steady) {
			ticketed = append(ticketed, w)
		}
	}
	if a.pending(now.Steady) || s.placeableOn(ticketed) {
		return ticketed
	}
	request := AdviceRequest{Job: s.job.ID, Occurrence: s.occurrence.number, Step: s.number, SentAt: now.Steady}
	for _, w := range s.workersToAsk(now.Steady, pool) {
		request.Workers = append(request.Workers, w.ID)
	}
	if len(request.Workers) > 0 {
		a.requestedAt = now.Steady
		o.forgetAdvice(a)
		for _, id := range request.Workers {
			known := a.workers[id]
			known.askedAt = now.Steady
			a.workers[id] = known
		}
		o.out.AdviceRequests = append(o.out.AdviceRequests, request)
	}
	return ticketed
}

// workersToAsk returns the workers with room to name in the next request: some of those that may run the step, then those that
// no request has named, then those whose last request is the oldest. So each worker is named in time, however many there are.
func (s *step) workersToAsk(now time.Duration, pool []*worker) []*worker {
	a := s.advice
	var renewed, others []*worker
	for _, w := range pool {
		switch known := a.workers[w.ID]; {
		case !s.hasRoomOn(w) || !known.mayBeAsked(now):
		case known.ticket != "":
			renewed = append(renewed, w)
		default:
			others = append(others, w)
		}
	}
	oldestFirst := func(x, y *worker) int {
		return cmp.Or(cmp.Compare(a.workers[x.ID].askedAt, a.workers[y.ID].askedAt), cmp.Compare(x.ID, y.ID))
	}
	slices.SortFunc(renewed, oldestFirst)
	slices.SortFunc(others, oldestFirst)
	asked := slices.Concat(renewed[:min(len(renewed), maxRenewed)], others)
	return asked[:min(len(asked), maxAdvised)]
}

// hasRoomOn reports whether the worker belongs to the step's service, has room for a task and is below MaxPerWorker.
func (s *step) hasRoomOn(w *worker) bool {
	if w.isolation != nil || w.Service != s.job.Service || !w.free().Covers(s.Reserved()) {
		return false
	}
	return s.belowMaxPerWorker(w)
}

// placeableOn reports whether a task of the step can be placed on the workers now, or all tasks of a gang.
func (s *step) placeableOn(workers []*worker) bool {
	var roomy []*worker
	fitting := 0
	for _, w := range workers {
		if s.hasRoomOn(w) {
			roomy = append(roomy, w)
			fitting += s.tasksFitting(w)
		}
	}
	switch {
	case len(roomy) == 0:
		return false
	case s.Gang:
		return fitting >= s.Count
	}
	waiting := false
	for _, t := range s.tasks {
		if !t.needsRun() {
			continue
		}
		waiting = true
		if slices.ContainsFunc(roomy, func(w *worker) bool { return !t.runsOn(w) }) {
			return true
		}
	}
	return !waiting
}

// forgetAdvice removes the advice about workers that are gone.
func (o *Owner) forgetAdvice(a *adviceState) {
	if len(a.workers) > len(o.workers) {
		maps.DeleteFunc(a.workers, func(id wigeonstep.WorkerID, _ workerAdvice) bool { return o.workers[id] == nil })
	}
}

// AdviceAnswered records the answer of the advice service to a request, or the error of the call. It may come after the request was
// repeated; tickets are valid from the time of their own request.
func (o *Owner) AdviceAnswered(now Timestamp, request AdviceRequest, advice wigeonstep.Advice, err error) {
	j := o.jobs[request.Job]
	if j == nil {
		return
	}
	occ := j.openOccurrence(request.Occurrence)
	if occ == nil || request.Step >= len(occ.steps) || occ.steps[request.Step].advice == nil {
		return
	}
	o.placementDue = true
	occ.steps[request.Step].advice.record(now.Steady, request, advice, err)
}

// record stores the answer to a request or its error.
func (a *adviceState) record(now time.Duration, request AdviceRequest, advice wigeonstep.Advice, err error) {
	if a.requestedAt == request.SentAt {
		a.requestedAt = -1
	}
	if err != nil {
		a.retryAt = now + adviceRetryDelay
		return
	}
	for _, id := range request.Workers {
		known := a.workers[id]
		ticket, validUntil := advice.Tickets[id], request.SentAt+advice.TTL
		if known.askedAt == request.SentAt {
			known.refused = ticket == ""
		}
		if ticket != "" && validUntil > known.validUntil {
			known.ticket, known.validUntil = ticket, validUntil
		}
		a.workers[id] = known
	}
}

// rejectTicket discards the ticket for a worker that refused it. The worker may be named again at once.
func (a *adviceState) rejectTicket(id wigeonstep.WorkerID) {
	delete(a.workers, id)
}
