package main

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep/platform/wigeonstandin"
)

// Guards against a node that, after a restart, starts tasks on a worker that has left or serves a queue that was withdrawn: the
// log still holds older entries of both.
func TestRestartedNodeUsesNothingWithdrawn(t *testing.T) {
	for _, compacted := range []bool{false, true} {
		c := qt.New(t)
		f := newPlatformStandIn(t, 2)
		a := f.startNode(t, "a")
		status, _ := a.request(c, http.MethodPost, "/new/"+jobID(0), wigeonstandin.Job("order"))
		c.Assert(status, qt.Equals, http.StatusOK)
		waitFor(c, "the first job is completed", func() bool { return a.jobState(c, jobID(0)) == "completed" })
		f.workers[0].Leave()
		f.putConfiguration(c, 5, "/newer/")
		if compacted {
			f.store.Compact()
		}
		a.kill()

		b := f.startNode(t, "b")
		status, _ = b.request(c, http.MethodGet, "/new/", nil)
		c.Assert(status, qt.Equals, http.StatusNotFound)
		for i := 1; i <= 8; i++ {
			status, _ = b.request(c, http.MethodPost, "/newer/"+jobID(i), wigeonstandin.Job("order"))
			c.Assert(status, qt.Equals, http.StatusOK)
		}
		for i := 1; i <= 8; i++ {
			waitFor(c, "the job is completed", func() bool {
				_, body := b.request(c, http.MethodGet, "/newer/"+jobID(i), nil)
				return body["state"] == "completed"
			})
			c.Assert(f.workers[0].StartCount(jobID(i)+".0.0.0"), qt.Equals, 0)
		}
	}
}
