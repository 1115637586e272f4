package main

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep/platform/wigeonstandin"
)

// Guards against a job that runs twice: after its queue has moved to another service the client's request arrives once more, at a
// node on a small VM, which does not follow the job log. Its cancellation there stops the runs of the first request.
func TestRepeatedJobOfMovedQueueRunsOnce(t *testing.T) {
	c := qt.New(t)
	f := newPlatformStandIn(t, 2)
	returns, err := wigeonstandin.NewWorker(t.Context(), f.store, "i-returns", "returns", "r9")
	c.Assert(err, qt.IsNil)
	large := f.startNodeOn(t, localVM{name: "large", store: f.store.Address(), cores: 0.8, linkMbps: 200})
	small := f.startNodeOn(t, localVM{name: "small", store: f.store.Address(), cores: 0.19, linkMbps: 10})
	submit := func(n *testNode, id string, job any) int {
		status, _ := n.request(c, http.MethodPost, "/new/"+id, job)
		return status
	}
	c.Assert(submit(large, jobID(0), wigeonstandin.LongRunningJob(1)), qt.Equals, http.StatusOK)
	running := func() int { return f.workers[0].RunningCount() + f.workers[1].RunningCount() }
	waitFor(c, "the job runs", func() bool { return running() == 1 })

	c.Assert(f.store.PutQueue(2, "returns", nodeTestHost, "/new/"), qt.IsNil)
	// The nodes may not know the new configuration yet, and a job stays with the service to which its first request went.
	probes := 0
	for _, n := range []*testNode{large, small} {
		waitFor(c, "the new service runs a job", func() bool {
			probes++
			id := jobID(probes)
			if submit(n, id, wigeonstandin.Job("order")) != http.StatusOK {
				return false
			}
			waitFor(c, "the job is completed", func() bool { return n.jobState(c, id) == "completed" })
			return returns.StartCount(id+".0.0.0") == 1
		})
	}
	last := jobID(probes + 1)
	c.Assert(submit(small, jobID(0), wigeonstandin.LongRunningJob(1)), qt.Equals, http.StatusOK)
	c.Assert(submit(small, last, wigeonstandin.Job("order")), qt.Equals, http.StatusOK)
	waitFor(c, "a later job of the new service is completed", func() bool { return small.jobState(c, last) == "completed" })
	c.Assert(returns.StartCount(jobID(0)+".0.0.0"), qt.Equals, 0)
	c.Assert(running(), qt.Equals, 1)

	for _, n := range []*testNode{large, small} {
		c.Assert(n.jobState(c, jobID(0)), qt.Equals, "running")
	}
	status, _ := small.request(c, http.MethodDelete, "/new/"+jobID(0), nil)
	c.Assert(status, qt.Equals, http.StatusOK)
	waitFor(c, "the cancelled job is stopped", func() bool { return running() == 0 })
	for _, n := range []*testNode{large, small} {
		c.Assert(n.jobState(c, jobID(0)), qt.Equals, "cancelled")
	}
}
