package wigeonshard

import (
	"time"

	"github.com/wigeonstep/wigeonstep"
)

const (
	// maxAdvised bounds the workers named in one question; a longer question takes longer to answer.
	maxAdvised = 30
	// adviceRetryDelay is the pause after a question that got no answer.
	adviceRetryDelay = 200 * time.Millisecond
	// adviceTimeout is after how long a question counts as lost.
	adviceTimeout = 3 * time.Second
	// ticketMargin is how long before its end a ticket is not used any more.
	ticketMargin = 200 * time.Millisecond
)

// advised returns the workers for which the step has a valid ticket, and asks when there is none.
func (o *Owner) advised(now Now, s *step, pool []*worker) []*worker {
	if s.advice == nil {
		s.advice = &adviceState{asked: -1, tickets: map[wigeonstep.WorkerID]grant{}}
	}
	a := s.advice
	var good []*worker
	for _, w := range pool {
		if g, ok := a.tickets[w.ID]; ok && now.Steady+ticketMargin < g.until {
			good = append(good, w)
		}
	}
	waiting := a.asked >= 0 && now.Steady-a.asked < adviceTimeout
	if s.roomFor(good) || waiting || now.Steady < a.retryAt {
		return good
	}
	q := Question{Job: s.job.ID, Occurrence: s.occurrence.number, Step: s.number}
	for _, w := range pool {
		if w.Service == s.job.Service && w.free().Holds(s.Room()) && len(q.Workers) < maxAdvised {
			q.Workers = append(q.Workers, w.ID)
		}
	}
	if len(q.Workers) > 0 {
		a.asked = now.Steady
		o.out.Questions = append(o.out.Questions, q)
	}
	return good
}

// roomFor reports whether one of the workers has room for a task of the step.
func (s *step) roomFor(workers []*worker) bool {
	for _, w := range workers {
		if w.free().Holds(s.Room()) {
			return true
		}
	}
	return false
}

// Advised takes the answer of the advice service over.
func (o *Owner) Advised(now Now, q Question, advice wigeonstep.Advice, err error) {
	j := o.jobs[q.Job]
	if j == nil {
		return
	}
	for _, occ := range j.occurrences {
		if occ.number != q.Occurrence || q.Step >= len(occ.steps) || occ.steps[q.Step].advice == nil {
			continue
		}
		a := occ.steps[q.Step].advice
		a.retryAt = now.Steady + adviceRetryDelay
		sent := a.asked
		a.asked = -1
		if err != nil {
			return
		}
		for id, ticket := range advice.Tickets {
			a.tickets[id] = grant{ticket: ticket, until: sent + advice.Valid}
		}
	}
}
