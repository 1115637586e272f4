package main

import (
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep/platform/wigeonstandin"
)

// Guards against nodes that end, or stop following the workers, after another writer left odd entries among theirs: a worker that
// registers later runs jobs, and one whose entry was overwritten comes back. A node that starts reads the same entries in a listing.
func TestOddWorkerEntriesHarmNoOther(t *testing.T) {
	c := qt.New(t)
	f := newPlatformStandIn(t, 1)
	a := f.startNode(t, "a")
	for i, odd := range wigeonstandin.OddEntries() {
		f.store.PutWorkerEntry(fmt.Sprintf("i-odd-%d", i), odd.Value)
		f.store.PutWorkerEntry("i-0", odd.Value)
	}
	runJobs := func(n *testNode, worker *wigeonstandin.Worker, first int) {
		waitFor(c, "the worker runs a job of "+n.clientAddress, func() bool {
			first++
			status, _ := n.request(c, http.MethodPost, "/new/"+jobID(first), wigeonstandin.Job("order"))
			c.Assert(status, qt.Equals, http.StatusOK)
			waitFor(c, "the job is completed", func() bool { return n.jobState(c, jobID(first)) == "completed" })
			return worker.StartCount(jobID(first)+".0.0.0") > 0
		})
	}
	runJobs(a, f.workers[0], 0)
	later, err := wigeonstandin.NewWorker(t.Context(), f.store, "i-later", "orders", "r9")
	c.Assert(err, qt.IsNil)
	f.workers[0].Leave()
	runJobs(a, later, 1000)
	b := f.startNode(t, "b")
	a.kill()
	runJobs(b, later, 2000)
}
