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

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep/platform/wigeonstandin"
	"github.com/wigeonstep/wigeonstep/wigeondaemon"
	"github.com/wigeonstep/wigeonstep/wigeontelemetry"
)

const (
	nodeTestTimeout = 20 * time.Second
	nodeTestHost    = "orders.example"
)

// platformStandIn is the platform that the nodes of a test use: store, workers and machine service.
type platformStandIn struct {
	store          *wigeonstandin.Store
	workers        []*wigeonstandin.Worker
	machineService *wigeonstandin.MachineService
	logger         *zap.Logger
}

func newPlatformStandIn(t *testing.T, workers int) *platformStandIn {
	t.Helper()
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	store, err := wigeonstandin.NewStore(ctx, localPartitions)
	c.Assert(err, qt.IsNil)
	f := &platformStandIn{store: store, logger: zap.NewNop()}
	var machines []*wigeonstandin.Machine
	for i := range workers {
		w, err := wigeonstandin.NewWorker(ctx, store, fmt.Sprintf("i-%d", i), "orders", fmt.Sprintf("r%d", i))
		c.Assert(err, qt.IsNil)
		f.workers = append(f.workers, w)
		machines = append(machines, &wigeonstandin.Machine{ID: fmt.Sprintf("m-%d", i), Pool: "orders", Worker: w.ID})
	}
	f.machineService, err = wigeonstandin.NewMachineService(ctx, machines...)
	c.Assert(err, qt.IsNil)
	f.putConfiguration(c, 1, "/new/")
	return f
}

// putConfiguration writes a configuration with one queue to the store.
func (f *platformStandIn) putConfiguration(c *qt.C, version int, prefix string) {
	c.Assert(f.store.PutQueue(version, "orders", nodeTestHost, prefix), qt.IsNil)
}

// testNode is a node in the test process.
type testNode struct {
	clientAddress string
	peerAddress   string
	metrics       *metrics.Set
	daemon        *wigeondaemon.Daemon
	kill          context.CancelFunc
}

// startNode runs a node until kill is called or the test ends. Both act like SIGKILL: the node does not leave the group.
func (f *platformStandIn) startNode(t *testing.T, name string) *testNode {
	t.Helper()
	return f.startNodeOn(t, localVM{name: name, store: f.store.Address()})
}

// startNodeOn runs a node on the VM with the machine service of the stand-in.
func (f *platformStandIn) startNodeOn(t *testing.T, vm localVM) *testNode {
	t.Helper()
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	vm.machineService = f.machineService.Address()
	local, err := startLocalNode(ctx, vm, f.logger)
	c.Assert(err, qt.IsNil)
	n := &testNode{clientAddress: local.clientAddress, peerAddress: local.peerAddress, metrics: local.metrics, daemon: local.daemon, kill: cancel}
	waitFor(c, "the node is ready", n.daemon.Ready)
	return n
}

func waitFor(c *qt.C, description string, condition func() bool) {
	c.Helper()
	deadline := time.Now().Add(nodeTestTimeout)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for !condition() {
		if time.Now().After(deadline) {
			c.Fatalf("not reached in %s: %s", nodeTestTimeout, description)
		}
		<-tick.C
	}
}

// request sends a client request, without a body if body is nil, and returns the HTTP status and the decoded body.
func (n *testNode) request(c *qt.C, method, path string, body any) (int, map[string]any) {
	c.Helper()
	var encoded io.Reader = http.NoBody
	if body != nil {
		text, err := json.Marshal(body)
		c.Assert(err, qt.IsNil)
		encoded = bytes.NewReader(text)
	}
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+n.clientAddress+path, encoded)
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

func (n *testNode) jobState(c *qt.C, id string) string {
	status, body := n.request(c, http.MethodGet, "/new/"+id, nil)
	if status != http.StatusOK {
		return fmt.Sprint(status)
	}
	return fmt.Sprint(body["state"])
}

func jobID(n int) string { return fmt.Sprintf("%016x", n+1) }

// Guards against failures of the basic client API: a job submitted to one node completes and is shown by another, a
// repeated id does not run twice, and unknown jobs, unknown queues and invalid jobs get the right status.
func TestNodeServesJobs(t *testing.T) {
	c := qt.New(t)
	f := newPlatformStandIn(t, 2)
	a, b := f.startNode(t, "a"), f.startNode(t, "b")
	for i := range 10 {
		status, _ := a.request(c, http.MethodPost, "/new/"+jobID(i), wigeonstandin.Job("order"))
		c.Assert(status, qt.Equals, http.StatusOK)
	}
	status, _ := b.request(c, http.MethodPost, "/new/"+jobID(0), wigeonstandin.Job("order"))
	c.Assert(status, qt.Equals, http.StatusOK)
	waitFor(c, "all jobs are completed", func() bool {
		for i := range 10 {
			if b.jobState(c, jobID(i)) != "completed" {
				return false
			}
		}
		return true
	})
	starts := 0
	for _, w := range f.workers {
		starts += w.StartCount(jobID(0) + ".0.0.0")
	}
	c.Assert(starts, qt.Equals, 1)
	c.Assert(a.jobState(c, jobID(99)), qt.Equals, "410")
	status, _ = a.request(c, http.MethodGet, "/none/"+jobID(0), nil)
	c.Assert(status, qt.Equals, http.StatusNotFound)
	status, body := b.request(c, http.MethodGet, "/new/", nil)
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(body["waiting"], qt.Equals, 0.0)
	status, body = a.request(c, http.MethodPost, "/new/"+jobID(50), wigeonstandin.EmptyJob())
	c.Assert(status, qt.Equals, http.StatusBadRequest)
	c.Assert(strings.Contains(fmt.Sprint(body["reason"]), "steps"), qt.IsTrue)
}

// Guards against accepted jobs that are lost or run twice when every process is killed at the same time.
func TestJobsSurviveTheLossOfAllNodes(t *testing.T) {
	c := qt.New(t)
	f := newPlatformStandIn(t, 2)
	a, b := f.startNode(t, "a"), f.startNode(t, "b")
	status, _ := a.request(c, http.MethodPost, "/new/"+jobID(0), wigeonstandin.LongRunningJob(2))
	c.Assert(status, qt.Equals, http.StatusOK)
	running := func() int { return f.workers[0].RunningCount() + f.workers[1].RunningCount() }
	waitFor(c, "both long-running tasks run", func() bool { return running() == 2 })
	status, _ = b.request(c, http.MethodPost, "/new/"+jobID(1), wigeonstandin.Job("order"))
	c.Assert(status, qt.Equals, http.StatusOK)
	a.kill()
	b.kill()
	d := f.startNode(t, "d")
	waitFor(c, "the accepted job is completed", func() bool { return d.jobState(c, jobID(1)) == "completed" })
	c.Assert(d.jobState(c, jobID(0)), qt.Equals, "running")
	c.Assert(running(), qt.Equals, 2)
	starts := f.workers[0].StartCount(jobID(0)+".0.0.0") + f.workers[1].StartCount(jobID(0)+".0.0.0")
	c.Assert(starts, qt.Equals, 1)

	status, _ = d.request(c, http.MethodDelete, "/new/"+jobID(0), nil)
	c.Assert(status, qt.Equals, http.StatusOK)
	waitFor(c, "the cancelled job is stopped", func() bool { return running() == 0 })
	c.Assert(d.jobState(c, jobID(0)), qt.Equals, "cancelled")
}

// Guards against a refused job that runs nevertheless: an append whose response was lost is repeated, and a job is
// refused only if the store certainly does not hold it. Also guards against jobs that are lost when the store drops its
// history.
func TestLostAnswersAndOutages(t *testing.T) {
	c := qt.New(t)
	f := newPlatformStandIn(t, 1)
	a := f.startNode(t, "a")
	f.store.DropResponses.Store(2)
	status, _ := a.request(c, http.MethodPost, "/new/"+jobID(0), wigeonstandin.Job("order"))
	c.Assert(status, qt.Equals, http.StatusOK)
	waitFor(c, "the job is completed", func() bool { return a.jobState(c, jobID(0)) == "completed" })

	f.store.Unavailable.Store(true)
	began := time.Now()
	status, body := a.request(c, http.MethodPost, "/new/"+jobID(1), wigeonstandin.Job("order"))
	c.Assert(time.Since(began) < 2*time.Second, qt.IsTrue)
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(body["step"], qt.Equals, "record")
	f.store.Unavailable.Store(false)
	waitFor(c, "the refused job is unknown", func() bool { return a.jobState(c, jobID(1)) == "410" })
	waitFor(c, "the job is accepted after the outage", func() bool {
		status, _ = a.request(c, http.MethodPost, "/new/"+jobID(1), wigeonstandin.Job("order"))
		return status == http.StatusOK
	})
	f.store.Compact()
	waitFor(c, "the job is completed after the store dropped its history", func() bool { return a.jobState(c, jobID(1)) == "completed" })
}

// Guards against a node that refuses jobs when the store answers it with 503 but serves other nodes: the node must write
// jobs to the log through a peer and still return their states.
func TestNodeCutOffFromStoreWritesThroughPeer(t *testing.T) {
	c := qt.New(t)
	f := newPlatformStandIn(t, 2)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	endpoint, err := f.store.NewEndpoint(ctx)
	c.Assert(err, qt.IsNil)
	f.startNode(t, "b")
	a := f.startNodeOn(t, localVM{name: "a", store: endpoint.Address()})
	status, _ := a.request(c, http.MethodPost, "/new/"+jobID(0), wigeonstandin.Job("order"))
	c.Assert(status, qt.Equals, http.StatusOK)
	waitFor(c, "the owner is known", func() bool { return a.jobState(c, jobID(0)) == "completed" })
	endpoint.Unavailable.Store(true)
	for i := 1; i < 5; i++ {
		status, _ = a.request(c, http.MethodPost, "/new/"+jobID(i), wigeonstandin.Job("order"))
		c.Assert(status, qt.Equals, http.StatusOK)
		waitFor(c, "the job is completed", func() bool { return a.jobState(c, jobID(i)) == "completed" })
	}
}

// Guards against the outcome "unknown" for a job that was certainly not written. A node that reaches neither the log
// nor a peer knows that the job never runs, even if the deadline leaves no time for an attempt, so it must refuse the
// job and the client may submit it elsewhere. The node is not ready until the log is reachable again.
func TestUnwrittenJobIsRefusedNotUnknown(t *testing.T) {
	c := qt.New(t)
	f := newPlatformStandIn(t, 2)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	endpoint, err := f.store.NewEndpoint(ctx)
	c.Assert(err, qt.IsNil)
	b := f.startNode(t, "b")
	a := f.startNodeOn(t, localVM{name: "a", store: endpoint.Address()})
	status, _ := a.request(c, http.MethodPost, "/new/"+jobID(0), wigeonstandin.Job("order"))
	c.Assert(status, qt.Equals, http.StatusOK)
	waitFor(c, "the owner is known", func() bool { return a.jobState(c, jobID(0)) == "completed" })
	endpoint.Unavailable.Store(true)
	b.kill()
	waitFor(c, "the node is not ready", func() bool { return !a.daemon.Ready() })
	for i, deadline := range []time.Duration{3 * time.Second, 200 * time.Millisecond, 40 * time.Millisecond} {
		c.Assert(a.submitWithDeadline(c, jobID(i+1), deadline), qt.Equals, http.StatusServiceUnavailable, qt.Commentf("deadline %s", deadline))
	}
	endpoint.Unavailable.Store(false)
	waitFor(c, "the node is ready again", a.daemon.Ready)
	waitFor(c, "jobs are accepted again", func() bool { return a.submitWithDeadline(c, jobID(9), time.Second) == http.StatusOK })
}

// Guards against a node that can't explain a job to "wigeonstep explain" because it does not own the job's shard.
func TestNodeExplainsJobs(t *testing.T) {
	c := qt.New(t)
	f := newPlatformStandIn(t, 1)
	nodes := []*testNode{f.startNode(t, "a"), f.startNode(t, "b")}
	status, _ := nodes[0].request(c, http.MethodPost, "/new/"+jobID(0), wigeonstandin.LongRunningJob(40))
	c.Assert(status, qt.Equals, http.StatusOK)
	for _, n := range nodes {
		waitFor(c, "the node explains that the job waits for room on workers", func() bool {
			var out, errOut bytes.Buffer
			err := newRootCommand(&out, &errOut).ParseAndRun(context.Background(), []string{"explain", "-peer", n.peerAddress, "job", jobID(0)})
			c.Assert(err, qt.IsNil, qt.Commentf("%s", errOut.String()))
			return strings.Contains(out.String(), "room for") && strings.Contains(out.String(), "0 of 40 tasks done")
		})
	}
}

// submitWithDeadline submits a job with a response deadline and returns the HTTP status.
func (n *testNode) submitWithDeadline(c *qt.C, id string, deadline time.Duration) int {
	c.Helper()
	encoded, err := json.Marshal(wigeonstandin.Job("order"))
	c.Assert(err, qt.IsNil)
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+n.clientAddress+"/new/"+id, bytes.NewReader(encoded))
	c.Assert(err, qt.IsNil)
	r.Host = nodeTestHost
	r.Header.Set(wigeonstandin.DeadlineHeader, fmt.Sprint(deadline.Milliseconds()))
	response, err := http.DefaultClient.Do(r)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Body.Close(), qt.IsNil)
	return response.StatusCode
}

// lockedBuffer collects log lines. It is safe for concurrent use.
type lockedBuffer struct {
	mu    sync.Mutex
	lines strings.Builder
}

func (b *lockedBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(line)
}

// jobEvents returns the events of the lines that name the job, in order, and the last such line.
func (b *lockedBuffer) jobEvents(job string) (events []string, last string) {
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

// Guards against log lines without the fields that docs/OPERATIONS.md uses to find a cause from a job's id: for a
// refused job, and for a job whose worker crashed.
func TestLogShowsCauseForJob(t *testing.T) {
	c := qt.New(t)
	f := newPlatformStandIn(t, 2)
	lines := &lockedBuffer{}
	logger, err := wigeontelemetry.NewLogger(lines, "info")
	c.Assert(err, qt.IsNil)
	f.logger = logger
	a := f.startNode(t, "a")

	f.store.Unavailable.Store(true)
	status, _ := a.request(c, http.MethodPost, "/new/"+jobID(0), wigeonstandin.Job("order"))
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	f.store.Unavailable.Store(false)
	events, line := lines.jobEvents(jobID(0))
	c.Assert(events, qt.DeepEquals, []string{"submit"})
	for _, field := range []string{"status=503", "outcome=not_run", "queue=r-orders", "reason=", "step=record", "version=1", "took="} {
		c.Assert(strings.Contains(line, field), qt.IsTrue, qt.Commentf("%s in %s", field, line))
	}

	waitFor(c, "a long-running job is accepted", func() bool {
		status, _ = a.request(c, http.MethodPost, "/new/"+jobID(1), wigeonstandin.LongRunningJob(1))
		return status == http.StatusOK
	})
	running := func(w *wigeonstandin.Worker) bool { return w.RunningCount() == 1 }
	waitFor(c, "the job runs", func() bool { return running(f.workers[0]) || running(f.workers[1]) })
	crashed := f.workers[0]
	if running(f.workers[1]) {
		crashed = f.workers[1]
	}
	crashed.Crash()
	waitFor(c, "the job runs on the other worker", func() bool { return running(f.workers[0]) || running(f.workers[1]) })
	events, _ = lines.jobEvents(jobID(1))
	c.Assert(events[len(events)-2:], qt.DeepEquals, []string{"job_started", "run_lost"})
	_, line = lines.jobEvents(jobID(1))
	c.Assert(strings.Contains(line, "worker="+crashed.ID), qt.IsTrue, qt.Commentf("%s", line))
	c.Assert(strings.Contains(line, "lease lapsed"), qt.IsTrue, qt.Commentf("%s", line))
}

// Guards against a new configuration that is not applied, and against an older version that replaces a newer one.
func TestNewestConfigurationIsInForce(t *testing.T) {
	c := qt.New(t)
	f := newPlatformStandIn(t, 1)
	a := f.startNode(t, "a")
	f.putConfiguration(c, 5, "/newer/")
	waitFor(c, "the queue of version 5 is served", func() bool {
		status, _ := a.request(c, http.MethodGet, "/newer/", nil)
		return status == http.StatusOK
	})
	f.putConfiguration(c, 4, "/new/")
	f.putConfiguration(c, 6, "/newest/")
	waitFor(c, "the queue of version 6 is served", func() bool {
		status, _ := a.request(c, http.MethodGet, "/newest/", nil)
		return status == http.StatusOK
	})
	status, _ := a.request(c, http.MethodGet, "/new/", nil)
	c.Assert(status, qt.Equals, http.StatusNotFound)
}

// Guards against a maintenance wave that does not start, starts more VMs at once than its limit of one, or is not
// reported as running.
func TestMaintenanceWaveRuns(t *testing.T) {
	c := qt.New(t)
	f := newPlatformStandIn(t, 2)
	f.startNode(t, "a")
	err := f.store.PutWave(3, 1, "m-0", "m-1")
	c.Assert(err, qt.IsNil)
	waitFor(c, "maintenance of one VM is ordered", func() bool {
		return len(f.machineService.MaintenanceWaves("m-0"))+len(f.machineService.MaintenanceWaves("m-1")) == 1
	})
	c.Assert(f.store.WaveState(3), qt.Equals, `{"state":"running"}`)
}
