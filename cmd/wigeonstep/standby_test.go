package main

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep/platform/wigeonstandin"
)

// Guards against owners on VMs that are too small for a busy pool: a node on a small VM owns no shards while one on a
// larger VM does, but still serves clients, and takes over the shards after the larger node was killed.
func TestSmallVMYieldsShardsToLargerVM(t *testing.T) {
	c := qt.New(t)
	f := newPlatformStandIn(t, 2)
	small := f.startNodeOn(t, localVM{name: "small", store: f.store.Address(), cores: 0.192, linkMbps: 10})
	large := f.startNodeOn(t, localVM{name: "large", store: f.store.Address(), cores: 0.8, linkMbps: 200})
	waitFor(c, "only the node on the large VM is in the group", func() bool {
		members := f.store.Members()
		return len(members) == 1 && strings.HasPrefix(members[0], "large@")
	})
	status, _ := small.request(c, http.MethodPost, "/new/"+jobID(0), wigeonstandin.Job("order"))
	c.Assert(status, qt.Equals, http.StatusOK)
	waitFor(c, "the job is completed", func() bool { return small.jobState(c, jobID(0)) == "completed" })
	large.kill()
	status, _ = small.request(c, http.MethodPost, "/new/"+jobID(1), wigeonstandin.Job("order"))
	c.Assert(status, qt.Equals, http.StatusOK)
	waitFor(c, "the node on the small VM completes a job", func() bool { return small.jobState(c, jobID(1)) == "completed" })
}

// Guards against a node on a small VM that can't serve clients because it follows no job log: it must accept jobs, return the
// states and the number of those that wait, tell an unknown job from one that it can't look up, and know all of them after
// the larger node was killed.
func TestStandbyServesClients(t *testing.T) {
	c := qt.New(t)
	f := newPlatformStandIn(t, 2)
	large := f.startNodeOn(t, localVM{name: "large", store: f.store.Address(), cores: 0.8, linkMbps: 200})
	small := f.startNodeOn(t, localVM{name: "small", store: f.store.Address(), cores: 0.19, linkMbps: 10})
	for i := range 3 {
		status, _ := small.request(c, http.MethodPost, "/new/"+jobID(i), wigeonstandin.Job("order"))
		c.Assert(status, qt.Equals, http.StatusOK)
	}
	for i := range 3 {
		waitFor(c, "the job is completed", func() bool { return small.jobState(c, jobID(i)) == "completed" })
	}
	c.Assert(small.jobState(c, jobID(99)), qt.Equals, "410")
	status, body := small.request(c, http.MethodGet, "/new/", nil)
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(body["waiting"], qt.Equals, 0.0)

	status, _ = small.request(c, http.MethodPost, "/new/"+jobID(5), wigeonstandin.LongRunningJob(1))
	c.Assert(status, qt.Equals, http.StatusOK)
	waitFor(c, "the long-running job runs", func() bool { return small.jobState(c, jobID(5)) == "running" })
	large.kill()
	waitFor(c, "the standby takes over", func() bool { return small.jobState(c, jobID(0)) == "completed" })
	status, _ = small.request(c, http.MethodDelete, "/new/"+jobID(5), nil)
	c.Assert(status, qt.Equals, http.StatusOK)
	waitFor(c, "the cancelled job is stopped", func() bool { return f.workers[0].RunningCount()+f.workers[1].RunningCount() == 0 })
}

// Guards against a job that a standby does not find, or whose cancellation it writes where no owner reads it, after the queue
// of the job got another service.
func TestStandbyFindsJobOfFormerService(t *testing.T) {
	c := qt.New(t)
	f := newPlatformStandIn(t, 2)
	large := f.startNodeOn(t, localVM{name: "large", store: f.store.Address(), cores: 0.8, linkMbps: 200})
	small := f.startNodeOn(t, localVM{name: "small", store: f.store.Address(), cores: 0.19, linkMbps: 10})
	status, _ := small.request(c, http.MethodPost, "/new/"+jobID(0), wigeonstandin.LongRunningJob(1))
	c.Assert(status, qt.Equals, http.StatusOK)
	running := func() int { return f.workers[0].RunningCount() + f.workers[1].RunningCount() }
	waitFor(c, "the long-running job runs", func() bool { return running() == 1 })

	c.Assert(f.store.PutQueue(2, "returns", nodeTestHost, "/new/"), qt.IsNil)
	for _, n := range []*testNode{large, small} {
		waitFor(c, "the nodes know the partition of the new service", func() bool {
			status, _ := n.request(c, http.MethodPost, "/new/"+jobID(1), wigeonstandin.Job("order"))
			return status == http.StatusOK
		})
	}
	waitFor(c, "the owner of the new partition answers", func() bool { return small.jobState(c, jobID(99)) == "410" })
	c.Assert(small.jobState(c, jobID(0)), qt.Equals, "running")
	status, _ = small.request(c, http.MethodDelete, "/new/"+jobID(0), nil)
	c.Assert(status, qt.Equals, http.StatusOK)
	waitFor(c, "the cancelled job is stopped", func() bool { return running() == 0 })
}
