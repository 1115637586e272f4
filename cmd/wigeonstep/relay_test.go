package main

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep/platform/wigeonstandin"
)

// startRelayingNodes starts nodes that relay the orders to workers, and waits until an owner does so.
func startRelayingNodes(t *testing.T, f *platformStandIn, names ...string) []*testNode {
	t.Helper()
	c := qt.New(t)
	var nodes []*testNode
	for _, name := range names {
		nodes = append(nodes, f.startNodeOn(t, localVM{name: name, store: f.store.Address(), minRelayedWorkers: 1}))
	}
	waitFor(c, "an owner relays its orders", func() bool { return findOwner(nodes) != nil })
	return nodes
}

// findOwner returns the node that has sent orders through a relay, or nil.
func findOwner(nodes []*testNode) *testNode {
	for _, n := range nodes {
		if n.relayedOrders() > 0 {
			return n
		}
	}
	return nil
}

// relayedOrders returns the number of orders that the node has sent through a relay.
func (n *testNode) relayedOrders() uint64 {
	return n.metrics.GetOrCreateCounter(`wigeonstep_worker_orders_total{path="relay"}`).Get()
}

// directOrders returns the number of orders that the node has sent itself for its own shards.
func (n *testNode) directOrders() uint64 {
	return n.metrics.GetOrCreateCounter(`wigeonstep_worker_orders_total{path="direct"}`).Get()
}

// Guards against an owner of a large pool that spends its processor on calls to workers: once it has relays, all its orders go
// through them.
func TestOwnerOfLargePoolRelaysItsOrders(t *testing.T) {
	c := qt.New(t)
	f := newPlatformStandIn(t, 4)
	nodes := startRelayingNodes(t, f, "a", "b", "c", "d", "e")
	owner := findOwner(nodes)
	direct := owner.directOrders()
	for i := range 20 {
		status, _ := nodes[i%len(nodes)].request(c, http.MethodPost, "/new/"+jobID(i), wigeonstandin.Job("order"))
		c.Assert(status, qt.Equals, http.StatusOK)
	}
	for i := range 20 {
		waitFor(c, "the job is completed", func() bool { return owner.jobState(c, jobID(i)) == "completed" })
	}
	c.Assert(owner.directOrders(), qt.Equals, direct)
	// 20 jobs have 100 tasks, each with a start.
	c.Assert(owner.relayedOrders() >= 100, qt.IsTrue)
}

// Guards against work that is lost, run twice or delayed until its lease ends when a relay dies with orders on their way.
func TestJobsSurviveTheLossOfRelays(t *testing.T) {
	c := qt.New(t)
	f := newPlatformStandIn(t, 4)
	nodes := startRelayingNodes(t, f, "a", "b", "c", "d", "e")
	owner := findOwner(nodes)
	status, _ := owner.request(c, http.MethodPost, "/new/"+jobID(100), wigeonstandin.LongRunningJob(4))
	c.Assert(status, qt.Equals, http.StatusOK)
	const jobs = 60
	for i := range jobs {
		status, _ := owner.request(c, http.MethodPost, "/new/"+jobID(i), wigeonstandin.Job("order"))
		c.Assert(status, qt.Equals, http.StatusOK)
		if i == jobs/3 {
			for _, n := range nodes {
				if n != owner {
					n.kill()
				}
			}
		}
	}
	began := time.Now()
	for i := range jobs {
		waitFor(c, "the job is completed", func() bool { return owner.jobState(c, jobID(i)) == "completed" })
	}
	c.Assert(time.Since(began) < 5*time.Second, qt.IsTrue)
	for i := range jobs {
		for _, task := range strings.Fields("0.0.0 0.0.1 0.0.2 0.1.0 0.1.1") {
			starts := 0
			for _, w := range f.workers {
				starts += w.StartCount(jobID(i) + "." + task)
			}
			c.Check(starts, qt.Equals, 1, qt.Commentf("task %s of job %d", task, i))
		}
	}
	running := 0
	for _, w := range f.workers {
		running += w.RunningCount()
	}
	c.Assert(running, qt.Equals, 4)
}
