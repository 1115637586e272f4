package wigeonentry_test

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonentry"
	"github.com/wigeonstep/wigeonstep/wigeonfake"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// owner returns the entry process that owns the key and another one.
func (f *fleet) owner(key string) (owner, other *entry) {
	f.t.Helper()
	id := f.entries[0].follower.View().Owner(wigeonstep.IdempotencyKey(key)).ID
	for _, e := range f.entries {
		if e.follower.session == id {
			owner = e
		} else {
			other = e
		}
	}
	return owner, other
}

// killOwner makes an entry process unavailable to the others: it closes the peer port of e and expires the session of e.
func (f *fleet) killOwner(e *entry) {
	f.t.Helper()
	e.follower.closed.Store(true)
	f.c.Assert(e.peers.Close(), qt.IsNil)
	f.log.expire(f.t, e.follower)
}

// TestOwnerLost guards against a second run of a key whose owner was lost after running it, and against any outcome but unknown
// for it, since the answer was lost with the owner.
func TestOwnerLost(t *testing.T) {
	f := newFleet(t, 1, 2, nil)
	owner, other := f.owner("order-1")
	f.c.Assert(owner.order("order-1", "wax").outcome, qt.Equals, wigeonstep.OutcomeDone)
	f.killOwner(owner)
	got := other.order("order-1", "wax")
	f.c.Assert(got.outcome, qt.Equals, wigeonstep.OutcomeUnknown, qt.Commentf("%+v", got))
	f.c.Assert(got.status, qt.Equals, http.StatusBadGateway)
	f.c.Assert(f.runCounter.RunsOfKey("order-1"), qt.Equals, 1)
}

// countingPeers counts the answer queries to peers.
type countingPeers struct {
	wigeonentry.PeerClient
	queries *atomic.Int64
}

func (p countingPeers) Call(ctx context.Context, address string, request *wigeonwire.PeerRequest) (*wigeonwire.PeerResponse, error) {
	response, err := p.PeerClient.Call(ctx, address, request)
	if request.GetAnswerQuery() != nil {
		p.queries.Add(1)
	}
	return response, err
}

// TestOwnerExpiredWhileRunning guards against a repeated request whose new owner does not return the answer of the run
// that the expired but still running owner completes.
func TestOwnerExpiredWhileRunning(t *testing.T) {
	var queries atomic.Int64
	f := newFleet(t, 1, 2, func(c *wigeonentry.Config) { c.Peers = countingPeers{c.Peers, &queries} })
	owner, other := f.owner("order-1")
	f.backends[0].SetFaults(wigeonfake.BackendFaults{Paused: true})
	answers := make(chan answer, 2)
	go func() { answers <- owner.order("order-1", "wax") }()
	waitFor(t, "the request to reach the backend server", func() bool { return f.backends[0].Stats().Waiting == 1 })
	owner.follower.closed.Store(true)
	f.log.expire(t, owner.follower)
	go func() { answers <- other.order("order-1", "wax") }()
	waitFor(t, "the new owner to ask the earlier one", func() bool { return queries.Load() > 0 })
	f.backends[0].SetFaults(wigeonfake.BackendFaults{})
	for range 2 {
		got := <-answers
		f.c.Assert(got.outcome, qt.Equals, wigeonstep.OutcomeDone, qt.Commentf("%+v", got))
		_, err := wigeonfake.CheckAnswer([]byte(got.body), []byte("wax"))
		f.c.Assert(err, qt.IsNil)
	}
	f.c.Assert(f.runCounter.RunsOfKey("order-1"), qt.Equals, 1)
}

// TestAppendAnswerLost guards against running a key, or reporting it as not_run, when the append of its intent record
// may have taken effect.
func TestAppendAnswerLost(t *testing.T) {
	f := newFleet(t, 1, 1, nil)
	f.log.mu.Lock()
	f.log.loseAnswers = 1
	f.log.mu.Unlock()
	for range 2 {
		got := f.entries[0].order("order-1", "wax")
		f.c.Assert(got.outcome, qt.Equals, wigeonstep.OutcomeUnknown, qt.Commentf("%+v", got))
	}
	f.c.Assert(f.runCounter.Counts().Total, qt.Equals, 0)
}

// TestLogOutage guards the responses while the log is down: idempotent requests are served, and requests with callers'
// own keys get not_run while the lease is valid and unknown afterwards.
func TestLogOutage(t *testing.T) {
	f := newFleet(t, 1, 1, nil)
	e := f.entries[0]
	f.log.setDown(true)
	f.c.Assert(e.read("grafting knife").outcome, qt.Equals, wigeonstep.OutcomeDone)
	got := e.order("order-1", "wax")
	f.c.Assert(got.outcome, qt.Equals, wigeonstep.OutcomeNotRun, qt.Commentf("%+v", got))
	f.c.Assert(got.status, qt.Equals, http.StatusServiceUnavailable)
	f.c.Assert(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	// The lease of a testFollower is valid for 8 s after the last confirmation.
	e.follower.confirmed.Store(time.Now().Add(-9 * time.Second).UnixNano())
	f.c.Assert(e.order("order-1", "wax").outcome, qt.Equals, wigeonstep.OutcomeUnknown)
	f.c.Assert(e.read("grafting knife").outcome, qt.Equals, wigeonstep.OutcomeDone)
	f.log.setDown(false)
	f.c.Assert(e.order("order-1", "wax").outcome, qt.Equals, wigeonstep.OutcomeDone)
	f.c.Assert(f.runCounter.RunsOfKey("order-1"), qt.Equals, 1)
}

// job is the response body for a job, both when it is accepted and when its status is queried.
type job struct {
	Job, State, Outcome, Ran, Reason, Answer string
	Attempt                                  int
}

func (e *entry) submit(class, key, body string) (answer, job) {
	got := send(e.address, http.MethodPost, "/bake", body, wigeonstep.HeaderTeam, "wax", wigeonstep.HeaderClass, class, wigeonstep.HeaderIdempotencyKey, key)
	var j job
	_ = json.Unmarshal([]byte(got.body), &j)
	return got, j
}

func (e *entry) job(method, id string) job {
	var j job
	_ = json.Unmarshal([]byte(send(e.address, method, "/wigeonstep/jobs/"+id, "").body), &j)
	return j
}

// TestAcceptedJobRunsOnce guards against a second run of an accepted job, a repeated request that gets another job, and
// an entry process that cannot return the answer of a job that another one ran.
func TestAcceptedJobRunsOnce(t *testing.T) {
	f := newFleet(t, 1, 2, nil)
	for _, class := range []string{"watch", "bake"} {
		key := ""
		if class == "bake" {
			key = "bake-1"
		}
		got, j := f.entries[0].submit(class, key, "sequence "+class)
		f.c.Assert(got.outcome, qt.Equals, wigeonstep.OutcomeAccepted, qt.Commentf("%+v", got))
		if key != "" {
			_, again := f.entries[1].submit(class, key, "sequence "+class)
			f.c.Assert(again.Job, qt.Equals, j.Job)
		}
		waitFor(t, "the job to end", func() bool { return f.entries[1].job(http.MethodGet, j.Job).State == "ended" })
		shown := f.entries[1].job(http.MethodGet, j.Job)
		f.c.Assert(shown.Outcome, qt.Equals, "done")
		f.c.Assert(shown.Ran, qt.Equals, "yes")
		_, err := wigeonfake.CheckAnswer([]byte(shown.Answer), []byte("sequence "+class))
		f.c.Assert(err, qt.IsNil)
		f.c.Assert(f.runCounter.RunsOfBody([]byte("sequence "+class)), qt.Equals, 1)
	}
}

// TestJobCancel guards against a cancellation that misreports whether the job ran: no for a queued job, maybe for a
// running one, yes for an ended one.
func TestJobCancel(t *testing.T) {
	f := newFleet(t, 1, 1, nil)
	e := f.entries[0]
	f.backends[0].SetFaults(wigeonfake.BackendFaults{Paused: true})
	_, running := e.submit("watch", "", "running")
	waitFor(t, "the job to run", func() bool { return e.job(http.MethodGet, running.Job).State == "running" })
	var queued []job
	for range 10 {
		_, j := e.submit("watch", "", "queued")
		queued = append(queued, j)
	}
	last := queued[len(queued)-1].Job
	cancelled := e.job(http.MethodDelete, last)
	f.c.Assert(cancelled.State, qt.Equals, "cancelled")
	f.c.Assert(cancelled.Ran, qt.Equals, "no")
	f.c.Assert(e.job(http.MethodDelete, running.Job).Ran, qt.Equals, "maybe")
	f.backends[0].SetFaults(wigeonfake.BackendFaults{})
	waitFor(t, "the running job to end", func() bool { return e.job(http.MethodGet, running.Job).State == "ended" })
	f.c.Assert(e.job(http.MethodDelete, running.Job).Ran, qt.Equals, "yes")
	waitFor(t, "the other jobs to end", func() bool { return f.runCounter.RunsOfBody([]byte("queued")) == 9 })
	f.c.Assert(e.job(http.MethodGet, last).State, qt.Equals, "cancelled")
}

// TestJobTakeover guards against jobs that never end because the process that owned them was lost. The next owner restarts
// an idempotent job and ends a non-idempotent one as unknown.
func TestJobTakeover(t *testing.T) {
	f := newFleet(t, 1, 2, nil)
	f.backends[0].SetFaults(wigeonfake.BackendFaults{Paused: true})
	jobOwner, other := f.owner("bake-1")
	_, bake := jobOwner.submit("bake", "bake-1", "bake")
	var watches []string
	for range 2 {
		_, j := jobOwner.submit("watch", "", "watch")
		watches = append(watches, j.Job)
	}
	waitFor(t, "the jobs to run", func() bool { return f.backends[0].Stats().Waiting == 3 })
	f.killOwner(jobOwner)
	waitFor(t, "the job that is not idempotent to end", func() bool { return other.job(http.MethodGet, bake.Job).State == "ended" })
	f.c.Assert(other.job(http.MethodGet, bake.Job).Outcome, qt.Equals, "unknown")
	f.backends[0].SetFaults(wigeonfake.BackendFaults{})
	for _, id := range watches {
		waitFor(t, "the idempotent job to end", func() bool { return other.job(http.MethodGet, id).Outcome == "done" })
	}
	f.c.Assert(f.runCounter.RunsOfBody([]byte("bake")) <= 1, qt.IsTrue)
}

// TestJobThatCanNeverRun guards against accepting a job when no worker has the shape that its service requires.
func TestJobThatCanNeverRun(t *testing.T) {
	f := newFleet(t, 0, 1, nil)
	f.addVM("small", "127.0.0.1:1", 4)
	got, _ := f.entries[0].submit("watch", "", "too large")
	f.c.Assert(got.outcome, qt.Equals, wigeonstep.OutcomeNotRun, qt.Commentf("%+v", got))
	f.c.Assert(got.status, qt.Equals, http.StatusServiceUnavailable)
	f.entries[0].follower.Read(func(state *wigeonstate.State) {
		f.c.Assert(state.UnfinishedJobs(f.entries[0].follower.session), qt.HasLen, 0)
	})
}
