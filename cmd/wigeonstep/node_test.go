package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep/platform/wigeonstandin"
	"github.com/wigeonstep/wigeonstep/wigeondaemon"
	"github.com/wigeonstep/wigeonstep/wigeontelemetry"
)

const (
	nodeTestWait = 20 * time.Second
	nodeTestHost = "orders.example"
)

// fleetStandIn is the platform around the nodes of a test.
type fleetStandIn struct {
	store   *wigeonstandin.Store
	workers []*wigeonstandin.Worker
	cloud   *wigeonstandin.Cloud
	logger  *zap.Logger
}

func newFleetStandIn(t *testing.T, workers int) *fleetStandIn {
	t.Helper()
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	store, err := wigeonstandin.NewStore(ctx, localPartitions)
	c.Assert(err, qt.IsNil)
	f := &fleetStandIn{store: store, logger: zap.NewNop()}
	var machines []*wigeonstandin.Machine
	for i := range workers {
		w, err := wigeonstandin.NewWorker(ctx, store, fmt.Sprintf("i-%d", i), "orders", fmt.Sprintf("r%d", i))
		c.Assert(err, qt.IsNil)
		f.workers = append(f.workers, w)
		machines = append(machines, &wigeonstandin.Machine{ID: fmt.Sprintf("m-%d", i), Pool: "orders", Worker: w.ID})
	}
	f.cloud, err = wigeonstandin.NewCloud(ctx, machines...)
	c.Assert(err, qt.IsNil)
	f.configure(c, 1, "/new/")
	return f
}

// configure puts a configuration with one queue into the store.
func (f *fleetStandIn) configure(c *qt.C, version int, prefix string) {
	c.Assert(f.store.PutQueue(version, "orders", nodeTestHost, prefix), qt.IsNil)
}

// testNode is one node in this process.
type testNode struct {
	address string
	peer    string
	daemon  *wigeondaemon.Daemon
	kill    context.CancelFunc
}

// startNode runs a node. Its end is that of a process which is killed: it says goodbye to nobody.
func (f *fleetStandIn) startNode(t *testing.T, name string) *testNode {
	t.Helper()
	return f.startNodeOn(t, localVM{name: name, store: f.store.Address()})
}

// startNodeOn runs a node on the VM. The stand-in of the machines' service is filled in.
func (f *fleetStandIn) startNodeOn(t *testing.T, vm localVM) *testNode {
	t.Helper()
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	vm.cloud = f.cloud.Address()
	local, err := startLocal(ctx, vm, f.logger)
	c.Assert(err, qt.IsNil)
	n := &testNode{address: local.address, peer: local.peer, daemon: local.daemon, kill: cancel}
	waitFor(c, "the node is ready", n.daemon.Ready)
	return n
}

func waitFor(c *qt.C, what string, condition func() bool) {
	c.Helper()
	deadline := time.Now().Add(nodeTestWait)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for !condition() {
		if time.Now().After(deadline) {
			c.Fatalf("not reached in %s: %s", nodeTestWait, what)
		}
		<-tick.C
	}
}

// request sends one request of a client and returns the status and the body.
func (n *testNode) request(c *qt.C, method, path string, body any) (int, map[string]any) {
	c.Helper()
	encoded, err := json.Marshal(body)
	c.Assert(err, qt.IsNil)
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+n.address+path, bytes.NewReader(encoded))
	c.Assert(err, qt.IsNil)
	r.Host = nodeTestHost
	response, err := http.DefaultClient.Do(r)
	c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	answer := map[string]any{}
	if len(data) > 0 {
		c.Assert(json.Unmarshal(data, &answer), qt.IsNil, qt.Commentf("%s", data))
	}
	return response.StatusCode, answer
}

func (n *testNode) state(c *qt.C, id string) string {
	status, body := n.request(c, http.MethodGet, "/new/"+id, nil)
	if status != http.StatusOK {
		return fmt.Sprint(status)
	}
	return fmt.Sprint(body["state"])
}

func jobID(n int) string { return fmt.Sprintf("%016x", n+1) }

// Guards the whole path: a job is accepted at one node, done, and shown at another; the same id again is the same job; a
// job that does not exist is said not to.
func TestNodeServesJobs(t *testing.T) {
	c := qt.New(t)
	f := newFleetStandIn(t, 2)
	a, b := f.startNode(t, "a"), f.startNode(t, "b")
	for i := range 10 {
		status, _ := a.request(c, http.MethodPost, "/new/"+jobID(i), wigeonstandin.Job("order"))
		c.Assert(status, qt.Equals, http.StatusOK)
	}
	status, _ := b.request(c, http.MethodPost, "/new/"+jobID(0), wigeonstandin.Job("order"))
	c.Assert(status, qt.Equals, http.StatusOK)
	waitFor(c, "all jobs are completed", func() bool {
		for i := range 10 {
			if b.state(c, jobID(i)) != "completed" {
				return false
			}
		}
		return true
	})
	starts := 0
	for _, w := range f.workers {
		starts += w.Starts(jobID(0) + ".0.0.0")
	}
	c.Assert(starts, qt.Equals, 1)
	c.Assert(a.state(c, jobID(99)), qt.Equals, "410")
	status, _ = a.request(c, http.MethodGet, "/none/"+jobID(0), nil)
	c.Assert(status, qt.Equals, http.StatusNotFound)
	status, body := b.request(c, http.MethodGet, "/new/", nil)
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(body["waiting"], qt.Equals, 0.0)
	status, body = a.request(c, http.MethodPost, "/new/"+jobID(50), wigeonstandin.EmptyJob())
	c.Assert(status, qt.Equals, http.StatusBadRequest)
	c.Assert(strings.Contains(fmt.Sprint(body["reason"]), "steps"), qt.IsTrue)
}

// Guards against accepted jobs that are forgotten, or that run twice, when every process is killed at once.
func TestJobsSurviveTheLossOfAllNodes(t *testing.T) {
	c := qt.New(t)
	f := newFleetStandIn(t, 2)
	a, b := f.startNode(t, "a"), f.startNode(t, "b")
	status, _ := a.request(c, http.MethodPost, "/new/"+jobID(0), wigeonstandin.LongRunningJob(2))
	c.Assert(status, qt.Equals, http.StatusOK)
	running := func() int { return f.workers[0].Running() + f.workers[1].Running() }
	waitFor(c, "the long-running tasks are at work", func() bool { return running() == 2 })
	status, _ = b.request(c, http.MethodPost, "/new/"+jobID(1), wigeonstandin.Job("order"))
	c.Assert(status, qt.Equals, http.StatusOK)
	a.kill()
	b.kill()
	d := f.startNode(t, "d")
	waitFor(c, "the accepted job is completed", func() bool { return d.state(c, jobID(1)) == "completed" })
	c.Assert(d.state(c, jobID(0)), qt.Equals, "running")
	c.Assert(running(), qt.Equals, 2)
	starts := f.workers[0].Starts(jobID(0)+".0.0.0") + f.workers[1].Starts(jobID(0)+".0.0.0")
	c.Assert(starts, qt.Equals, 1)

	status, _ = d.request(c, http.MethodDelete, "/new/"+jobID(0), nil)
	c.Assert(status, qt.Equals, http.StatusOK)
	waitFor(c, "the cancelled job is stopped", func() bool { return running() == 0 })
	c.Assert(d.state(c, jobID(0)), qt.Equals, "cancelled")
}

// Guards against a refusal that is not true: an append whose answer was lost is repeated, and a job is refused only when
// the store certainly has nothing of it.
func TestLostAnswersAndOutages(t *testing.T) {
	c := qt.New(t)
	f := newFleetStandIn(t, 1)
	a := f.startNode(t, "a")
	f.store.LoseAnswers.Store(2)
	status, _ := a.request(c, http.MethodPost, "/new/"+jobID(0), wigeonstandin.Job("order"))
	c.Assert(status, qt.Equals, http.StatusOK)
	waitFor(c, "the job is completed", func() bool { return a.state(c, jobID(0)) == "completed" })

	f.store.Down.Store(true)
	began := time.Now()
	status, body := a.request(c, http.MethodPost, "/new/"+jobID(1), wigeonstandin.Job("order"))
	c.Assert(time.Since(began) < 2*time.Second, qt.IsTrue)
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(body["step"], qt.Equals, "record")
	f.store.Down.Store(false)
	waitFor(c, "the refused job is unknown", func() bool { return a.state(c, jobID(1)) == "410" })
	waitFor(c, "jobs are taken again", func() bool {
		status, _ = a.request(c, http.MethodPost, "/new/"+jobID(1), wigeonstandin.Job("order"))
		return status == http.StatusOK
	})
	f.store.Forget()
	waitFor(c, "the job is completed after the history is gone", func() bool { return a.state(c, jobID(1)) == "completed" })
}

// Guards against refusals by a node that alone is turned away by the store: it hands jobs to the log through another one,
// and answers for their state.
func TestNodeWithoutTheStoreGoesThroughAnother(t *testing.T) {
	c := qt.New(t)
	f := newFleetStandIn(t, 2)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	gate, err := f.store.NewGate(ctx)
	c.Assert(err, qt.IsNil)
	f.startNode(t, "b")
	a := f.startNodeOn(t, localVM{name: "a", store: gate.Address()})
	status, _ := a.request(c, http.MethodPost, "/new/"+jobID(0), wigeonstandin.Job("order"))
	c.Assert(status, qt.Equals, http.StatusOK)
	waitFor(c, "the owner is known", func() bool { return a.state(c, jobID(0)) == "completed" })
	gate.Shut.Store(true)
	for i := 1; i < 5; i++ {
		status, _ = a.request(c, http.MethodPost, "/new/"+jobID(i), wigeonstandin.Job("order"))
		c.Assert(status, qt.Equals, http.StatusOK)
		waitFor(c, "the job is completed", func() bool { return a.state(c, jobID(i)) == "completed" })
	}
}

// Guards against owners on VMs that are too small for a busy pool: a small VM leaves the shards to a larger one, serves
// clients all the same, and takes the shards over when the larger one is gone.
func TestSmallVMLeavesShardsToLargerOnes(t *testing.T) {
	c := qt.New(t)
	f := newFleetStandIn(t, 2)
	small := f.startNodeOn(t, localVM{name: "small", store: f.store.Address(), cores: 0.192, linkMbps: 10})
	large := f.startNodeOn(t, localVM{name: "large", store: f.store.Address(), cores: 0.8, linkMbps: 200})
	waitFor(c, "only the large VM takes part", func() bool {
		members := f.store.Members()
		return len(members) == 1 && strings.HasPrefix(members[0], "large@")
	})
	status, _ := small.request(c, http.MethodPost, "/new/"+jobID(0), wigeonstandin.Job("order"))
	c.Assert(status, qt.Equals, http.StatusOK)
	waitFor(c, "the job is completed", func() bool { return small.state(c, jobID(0)) == "completed" })
	large.kill()
	status, _ = small.request(c, http.MethodPost, "/new/"+jobID(1), wigeonstandin.Job("order"))
	c.Assert(status, qt.Equals, http.StatusOK)
	waitFor(c, "the small VM completes a job", func() bool { return small.state(c, jobID(1)) == "completed" })
}

// Guards against "unknown" for a job that was certainly not handed on: a node without the log whose peers are silent knows
// that the job never runs, also when the client leaves it no time to try, and the client may send it elsewhere. Such a node
// reports itself not ready, and ready again once the log answers.
func TestJobThatWasNotHandedOnIsRefused(t *testing.T) {
	c := qt.New(t)
	f := newFleetStandIn(t, 2)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	gate, err := f.store.NewGate(ctx)
	c.Assert(err, qt.IsNil)
	b := f.startNode(t, "b")
	a := f.startNodeOn(t, localVM{name: "a", store: gate.Address()})
	status, _ := a.request(c, http.MethodPost, "/new/"+jobID(0), wigeonstandin.Job("order"))
	c.Assert(status, qt.Equals, http.StatusOK)
	waitFor(c, "the owner is known", func() bool { return a.state(c, jobID(0)) == "completed" })
	gate.Shut.Store(true)
	b.kill()
	waitFor(c, "the node is not ready", func() bool { return !a.daemon.Ready() })
	for i, deadline := range []time.Duration{3 * time.Second, 200 * time.Millisecond, 40 * time.Millisecond} {
		c.Assert(a.submitWithin(c, jobID(i+1), deadline), qt.Equals, http.StatusServiceUnavailable, qt.Commentf("deadline %s", deadline))
	}
	gate.Shut.Store(false)
	waitFor(c, "the node is ready again", a.daemon.Ready)
	waitFor(c, "jobs are accepted again", func() bool { return a.submitWithin(c, jobID(9), time.Second) == http.StatusOK })
}

// Guards wigeonstep explain on the users' platform: any node says how a job stands, also one that does not own its shard.
func TestNodeExplainsJobs(t *testing.T) {
	c := qt.New(t)
	f := newFleetStandIn(t, 1)
	nodes := []*testNode{f.startNode(t, "a"), f.startNode(t, "b")}
	status, _ := nodes[0].request(c, http.MethodPost, "/new/"+jobID(0), wigeonstandin.LongRunningJob(40))
	c.Assert(status, qt.Equals, http.StatusOK)
	for _, n := range nodes {
		waitFor(c, "the node says that room is missing", func() bool {
			var out, errOut bytes.Buffer
			err := newRoot(&out, &errOut).ParseAndRun(context.Background(), []string{"explain", "-peer", n.peer, "job", jobID(0)})
			c.Assert(err, qt.IsNil, qt.Commentf("%s", errOut.String()))
			return strings.Contains(out.String(), "room for") && strings.Contains(out.String(), "0 of 40 tasks done")
		})
	}
}

// submitWithin hands a job in that has to be answered in time, and returns the status.
func (n *testNode) submitWithin(c *qt.C, id string, deadline time.Duration) int {
	c.Helper()
	encoded, err := json.Marshal(wigeonstandin.Job("order"))
	c.Assert(err, qt.IsNil)
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+n.address+"/new/"+id, bytes.NewReader(encoded))
	c.Assert(err, qt.IsNil)
	r.Host = nodeTestHost
	r.Header.Set(wigeonstandin.DeadlineHeader, fmt.Sprint(deadline.Milliseconds()))
	response, err := http.DefaultClient.Do(r)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Body.Close(), qt.IsNil)
	return response.StatusCode
}

// lockedBuffer collects lines from many goroutines.
type lockedBuffer struct {
	mu    sync.Mutex
	lines strings.Builder
}

func (b *lockedBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(line)
}

// about returns the events that name a job, in order, and its last line.
func (b *lockedBuffer) about(job string) (events []string, last string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range strings.Lines(b.lines.String()) {
		if strings.Contains(line, "job="+job) {
			_, rest, _ := strings.Cut(line, "event=")
			event, _, _ := strings.Cut(rest, " ")
			events, last = append(events, event), line
		}
	}
	return events, last
}

// Guards the paths of docs/OPERATIONS.md: from the id of a job that was refused, and of one whose worker was lost, to the
// cause, by the lines that name the id.
func TestLogsLeadFromAJobToItsCause(t *testing.T) {
	c := qt.New(t)
	f := newFleetStandIn(t, 2)
	lines := &lockedBuffer{}
	logger, err := wigeontelemetry.NewLogger(lines, "info")
	c.Assert(err, qt.IsNil)
	f.logger = logger
	a := f.startNode(t, "a")

	f.store.Down.Store(true)
	status, _ := a.request(c, http.MethodPost, "/new/"+jobID(0), wigeonstandin.Job("order"))
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	f.store.Down.Store(false)
	events, line := lines.about(jobID(0))
	c.Assert(events, qt.DeepEquals, []string{"submit"})
	for _, field := range []string{"status=503", "outcome=not_run", "queue=r-orders", "reason=", "step=record", "version=1", "took="} {
		c.Assert(strings.Contains(line, field), qt.IsTrue, qt.Commentf("%s in %s", field, line))
	}

	waitFor(c, "a long-running job is taken", func() bool {
		status, _ = a.request(c, http.MethodPost, "/new/"+jobID(1), wigeonstandin.LongRunningJob(1))
		return status == http.StatusOK
	})
	running := func(w *wigeonstandin.Worker) bool { return w.Running() == 1 }
	waitFor(c, "it runs", func() bool { return running(f.workers[0]) || running(f.workers[1]) })
	lost := f.workers[0]
	if running(f.workers[1]) {
		lost = f.workers[1]
	}
	lost.Crash()
	waitFor(c, "it runs elsewhere", func() bool { return running(f.workers[0]) || running(f.workers[1]) })
	events, _ = lines.about(jobID(1))
	c.Assert(events[len(events)-2:], qt.DeepEquals, []string{"job_started", "run_lost"})
	_, line = lines.about(jobID(1))
	c.Assert(strings.Contains(line, "worker="+lost.ID), qt.IsTrue, qt.Commentf("%s", line))
	c.Assert(strings.Contains(line, "lease lapsed"), qt.IsTrue, qt.Commentf("%s", line))
}

// Guards against a configuration that does not come into force, and against one that goes back.
func TestConfigurationComesIntoForce(t *testing.T) {
	c := qt.New(t)
	f := newFleetStandIn(t, 1)
	a := f.startNode(t, "a")
	f.configure(c, 5, "/newer/")
	waitFor(c, "the new queue is there", func() bool {
		status, _ := a.request(c, http.MethodGet, "/newer/", nil)
		return status == http.StatusOK
	})
	f.configure(c, 4, "/new/")
	f.configure(c, 6, "/newest/")
	waitFor(c, "the newest queue is there", func() bool {
		status, _ := a.request(c, http.MethodGet, "/newest/", nil)
		return status == http.StatusOK
	})
	status, _ := a.request(c, http.MethodGet, "/new/", nil)
	c.Assert(status, qt.Equals, http.StatusNotFound)
}

// Guards against a wave that is not carried out, that is carried out twice, or that ends work.
func TestWaveOfUpkeepIsCarriedOut(t *testing.T) {
	c := qt.New(t)
	f := newFleetStandIn(t, 2)
	f.startNode(t, "a")
	err := f.store.PutWave(3, 1, "m-0", "m-1")
	c.Assert(err, qt.IsNil)
	waitFor(c, "the first VM has had its upkeep", func() bool { return len(f.cloud.Waves("m-0"))+len(f.cloud.Waves("m-1")) == 1 })
	c.Assert(f.store.WaveState(3), qt.Equals, `{"state":"running"}`)
}
