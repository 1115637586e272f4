package wigeonshard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// Guards against a ticket whose validity is counted from a later request than the one that was answered: it is used after it
// has expired. An answer may come after the request was repeated.
func TestLateAdviceIsValidFromItsOwnRequest(t *testing.T) {
	o := newAnsweredOwner(t, 1, 100_000)
	job := testJob("advised", testStep(1))
	job.Policy.Advice = &wigeonstep.AdvicePolicy{}
	o.AddJob(o.now, job, wigeonjob.Progress{}, false)
	requests := o.adviceRequests(50 * time.Millisecond)
	o.c.Assert(requests, qt.HasLen, 1)
	sentAt := o.now.Steady
	requests = append(requests, o.adviceRequests(adviceTimeout)...)
	o.c.Assert(requests, qt.HasLen, 2)
	advice := wigeonstep.Advice{Tickets: map[wigeonstep.WorkerID]wigeonstep.Ticket{onlyWorker: "ticket"}, TTL: 10 * time.Second}
	o.AdviceAnswered(o.now, requests[0], advice, nil)
	s := o.jobs["advised"].occurrences[0].steps[0]
	o.c.Assert(s.advice.tickets[onlyWorker].validUntil <= sentAt+advice.TTL, qt.IsTrue)
	o.AdviceAnswered(o.now, requests[1], advice, nil)
	o.c.Assert(s.advice.tickets[onlyWorker].validUntil > o.now.Steady, qt.IsTrue)
}

// adviceRequests makes steps for d, in which the worker answers its heartbeats, and returns the requests to the advice service.
func (o *answeredOwner) adviceRequests(d time.Duration) []AdviceRequest {
	var requests []AdviceRequest
	for range d / (10 * time.Millisecond) {
		o.pass(10 * time.Millisecond)
		a := o.Step(o.now)
		requests = append(requests, a.AdviceRequests...)
		for _, h := range a.Heartbeats {
			clock := 100_000 + wigeonstep.WorkerMillis((o.now.Steady - time.Hour).Milliseconds())
			o.HeartbeatAnswered(o.now, h, wigeonstep.HeartbeatResult{Clock: clock, StartedAt: 1}, nil)
		}
	}
	return requests
}
