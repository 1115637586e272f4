package wigeonshard

import (
	"fmt"
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
	o.c.Assert(s.advice.workers[onlyWorker].validUntil <= sentAt+advice.TTL, qt.IsTrue)
	o.AdviceAnswered(o.now, requests[1], advice, nil)
	o.c.Assert(s.advice.workers[onlyWorker].validUntil > o.now.Steady, qt.IsTrue)
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

// advisedOwner is an owner whose workers and log answer at once, and whose advice service allows some of the workers.
type advisedOwner struct {
	*Owner
	now     Timestamp
	listed  []wigeonstep.ListedWorker
	allowed map[wigeonstep.WorkerID]bool
	// failures is the number of the next requests to the advice service that fail.
	failures int
	requests []AdviceRequest
	// started holds the worker of each start, running the runs on each worker, which don't end.
	started []wigeonstep.WorkerID
	running map[wigeonstep.WorkerID][]wigeonstep.RunID
}

func advisedWorkerID(n int) wigeonstep.WorkerID { return wigeonstep.WorkerID(fmt.Sprintf("w%03d", n)) }

// newAdvisedOwner returns an owner with the given number of workers, each with room for two tasks of testStep. The advice service
// allows those with the numbers in allowed, which have the label "allowed".
func newAdvisedOwner(workers int, allowed ...int) *advisedOwner {
	now := Timestamp{Steady: time.Hour, Wall: 1_700_000_000_000}
	o := &advisedOwner{
		Owner: NewOwner(testSettings, 1, now, wigeonjob.OwnerRecord{}), now: now,
		allowed: map[wigeonstep.WorkerID]bool{}, running: map[wigeonstep.WorkerID][]wigeonstep.RunID{},
	}
	required := testStep(1).Required
	for n := range workers {
		o.listed = append(o.listed, wigeonstep.ListedWorker{
			ID: advisedWorkerID(n), Address: "w:1", Service: testService, StartedAt: 1, Capacity: required.Add(required),
		})
	}
	for _, n := range allowed {
		o.allowed[advisedWorkerID(n)] = true
		o.listed[n].Labels = []wigeonstep.Label{"allowed"}
	}
	o.SetWorkers(now, o.listed)
	return o
}

// advance makes a step every 10 ms for d.
func (o *advisedOwner) advance(d time.Duration) {
	for range d / (10 * time.Millisecond) {
		o.now.Steady += 10 * time.Millisecond
		o.now.Wall += 10
		clock := 100_000 + wigeonstep.WorkerMillis((o.now.Steady - time.Hour).Milliseconds())
		a := o.Step(o.now)
		if a.Append != nil {
			o.AppendAcknowledged(o.now, o.now.Steady)
		}
		for _, h := range a.Heartbeats {
			o.HeartbeatAnswered(o.now, h, wigeonstep.HeartbeatResult{Clock: clock, StartedAt: 1, Running: listRunning(o.running[h.Worker.ID]...)}, nil)
		}
		for _, s := range a.Starts {
			o.running[s.Worker.ID] = append(o.running[s.Worker.ID], s.Order.Run)
			o.started = append(o.started, s.Worker.ID)
			o.StartAnswered(o.now, s, wigeonstep.StartResult{Verdict: wigeonstep.StartAccepted, Clock: clock})
		}
		for _, r := range a.AdviceRequests {
			o.advise(r)
		}
	}
}

func (o *advisedOwner) advise(r AdviceRequest) {
	o.requests = append(o.requests, r)
	if o.failures > 0 {
		o.failures--
		o.AdviceAnswered(o.now, r, wigeonstep.Advice{}, wigeonstep.ErrUnavailable)
		return
	}
	advice := wigeonstep.Advice{Tickets: map[wigeonstep.WorkerID]wigeonstep.Ticket{}, TTL: 2 * time.Second}
	for _, id := range r.Workers {
		if o.allowed[id] {
			advice.Tickets[id] = "ticket"
		}
	}
	o.AdviceAnswered(o.now, r, advice, nil)
}

// submit adds a job of one step on a queue with advice.
func (o *advisedOwner) submit(s wigeonjob.Step) {
	job := testJob("advised", s)
	job.Policy.Advice = &wigeonstep.AdvicePolicy{}
	o.AddJob(o.now, job, wigeonjob.Progress{}, false)
}

// Guards against a task that never starts because its allowed workers stand behind the workers that each request names.
func TestAdviceIsAskedAboutEveryWorker(t *testing.T) {
	step := func(count int, change func(*wigeonjob.Step)) wigeonjob.Step {
		s := testStep(count)
		change(&s)
		return s
	}
	tests := []struct {
		name    string
		workers int
		allowed []int
		step    wigeonjob.Step
		failing int
	}{
		{name: "one allowed worker behind a request", workers: 40, allowed: []int{35}, step: testStep(2)},
		{name: "one allowed worker behind several requests", workers: 140, allowed: []int{139}, step: testStep(2)},
		{name: "requests that fail", workers: 40, allowed: []int{35}, step: testStep(2), failing: 3},
		{name: "a gang that needs more workers than a request finds", workers: 140, allowed: []int{0, 50, 139}, step: step(5, func(s *wigeonjob.Step) { s.Gang = true })},
		{name: "one task on each worker", workers: 140, allowed: []int{0, 50, 139}, step: step(3, func(s *wigeonjob.Step) { s.MaxPerWorker = 1 })},
		{name: "a label that only workers behind a request have", workers: 140, allowed: []int{139}, step: step(2, func(s *wigeonjob.Step) { s.RequiredLabel = "allowed" })},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			o := newAdvisedOwner(test.workers, test.allowed...)
			o.failures = test.failing
			o.submit(test.step)
			o.advance(time.Second)
			c.Assert(o.started, qt.HasLen, test.step.Count)
			for _, r := range o.requests {
				c.Assert(len(r.Workers) <= maxAdvised, qt.IsTrue)
			}
		})
	}
}

// Guards against a worker that is never asked about again after the service has given no ticket for it, and against requests that
// repeat such a question all the time.
func TestRefusedWorkersAreReviewed(t *testing.T) {
	c := qt.New(t)
	o := newAdvisedOwner(40)
	o.submit(testStep(1))
	o.advance(reviewDelay - time.Second)
	c.Assert(o.requests, qt.HasLen, 2)
	o.allowed[advisedWorkerID(35)] = true
	o.advance(2 * time.Second)
	c.Assert(o.started, qt.DeepEquals, []wigeonstep.WorkerID{advisedWorkerID(35)})
}

// Guards against a step that names only workers whose tickets it renews, while others have never been named.
func TestEachRequestAlsoNamesOthers(t *testing.T) {
	c := qt.New(t)
	o := newAdvisedOwner(80)
	o.submit(testStep(1))
	s := o.jobs["advised"].occurrences[0].steps[0]
	s.advice = newAdviceState()
	for n := range 60 {
		s.advice.workers[advisedWorkerID(n)] = workerAdvice{askedAt: time.Minute, ticket: "expired", validUntil: 2 * time.Minute}
	}
	o.advance(100 * time.Millisecond)
	c.Assert(o.requests[0].Workers, qt.Contains, advisedWorkerID(60))
}
