package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep/platform/wigeonstandin"
	"github.com/wigeonstep/wigeonstep/wigeontelemetry"
)

// startGuardlessWorkers starts workers that run what they are told to. When a task crashes one of them, the machine service shows
// its machine as down.
func (f *platformStandIn) startGuardlessWorkers(t *testing.T, count int) {
	t.Helper()
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i := range count {
		id, machine := fmt.Sprintf("i-%d", i), fmt.Sprintf("m-%d", i)
		w, err := wigeonstandin.StartWorker(ctx, f.store, wigeonstandin.WorkerSettings{
			ID: id, Service: "orders", Rack: fmt.Sprintf("r%d", i), OnCrash: func() { f.machineService.SetWorker(machine, "") },
		})
		c.Assert(err, qt.IsNil)
		f.workers = append(f.workers, w)
		f.machineService.AddMachine(&wigeonstandin.Machine{ID: machine, Pool: "orders", Worker: id})
	}
}

// Guards against a job that was given up because it crashed its workers, and whose log lines and explanation don't name the task and
// the workers (docs/OPERATIONS.md).
func TestLogAndExplanationNameCrashedWorkers(t *testing.T) {
	c := qt.New(t)
	f := newPlatformStandIn(t, 0)
	f.startGuardlessWorkers(t, 4)
	lines := &lockedBuffer{}
	logger, err := wigeontelemetry.NewLogger(lines, "info")
	c.Assert(err, qt.IsNil)
	f.logger = logger
	a := f.startNode(t, "a")
	waitFor(c, "the job is accepted", func() bool {
		status, _ := a.request(c, http.MethodPost, "/new/"+jobID(0), wigeonstandin.CrashingJob(1))
		return status == http.StatusOK
	})
	waitFor(c, "the job is given up", func() bool { return a.jobState(c, jobID(0)) == "failed" })

	events, _ := lines.jobEvents(jobID(0))
	var starts []string
	for _, event := range events {
		if event == "crash_suspected" || event == "run_isolated" || event == "job_given_up" || event == "job_ended" {
			starts = append(starts, event)
		}
	}
	c.Assert(starts, qt.DeepEquals, []string{"crash_suspected", "run_isolated", "crash_suspected", "job_given_up", "job_ended"})
	for _, node := range []*testNode{a, f.startNode(t, "b")} {
		var out, errOut bytes.Buffer
		err := newRootCommand(&out, &errOut).ParseAndRun(context.Background(), []string{"explain", "-peer", node.peerAddress, "job", jobID(0)})
		c.Assert(err, qt.IsNil, qt.Commentf("%s", errOut.String()))
		c.Assert(out.String(), qt.Matches, `(?s).*failed.*because task 0\.0\.0 crashed its workers: i-\d under run 1 .*, i-\d under run 2 .*`)
	}
	started := 0
	for _, w := range f.workers {
		started += w.StartCount(jobID(0) + ".0.0.0")
	}
	c.Assert(started, qt.Equals, 2)
}
