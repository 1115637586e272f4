package wigeonshard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// Guards against a task that runs twice at once because a new owner has an outdated entry of the worker: another worker
// answers at the former address, while the worker has restarted at a new one, where an earlier owner has started the run.
func TestInheritedRunOutlastsTheFormerAddress(t *testing.T) {
	o, run := newOwnerWithInheritedRun(t)
	o.failHeartbeat(wigeonstep.ErrWorkerReplaced)
	o.list("w:1", 2)
	o.answerHeartbeat(wigeonstep.HeartbeatResult{Clock: 500, StartedAt: 2, Running: listRunning(run)})
	o.advance(200 * time.Millisecond)
	o.c.Assert(o.stops, qt.HasLen, 0)
	o.assertRunning(run)
}

// Guards against inherited runs of a worker that is really gone, which would wait for their leases although another worker
// has answered at the address for seconds.
func TestInheritedRunEndsWithItsWorker(t *testing.T) {
	o, _ := newOwnerWithInheritedRun(t)
	o.failHeartbeat(wigeonstep.ErrWorkerReplaced)
	o.c.Assert(o.workers[onlyWorker].runs, qt.HasLen, 1)
	for began := o.now.Steady; o.now.Steady < began+addressSettleTime; {
		o.failHeartbeat(wigeonstep.ErrWorkerReplaced)
	}
	o.failHeartbeat(wigeonstep.ErrWorkerReplaced)
	o.c.Assert(o.workers[onlyWorker].runs, qt.HasLen, 0)
}

// newOwnerWithInheritedRun returns an owner that has inherited a run on its only worker, which has not answered yet.
func newOwnerWithInheritedRun(t *testing.T) (*answeredOwner, wigeonstep.RunID) {
	t.Helper()
	now := Timestamp{Steady: time.Hour, Wall: 1_700_000_000_000}
	o := &answeredOwner{Owner: NewOwner(testSettings, 2, now, wigeonjob.OwnerRecord{}), c: qt.New(t), now: now}
	o.AddJob(o.now, testJob("job", testStep(1)), wigeonjob.Progress{State: wigeonjob.StateRunning, Tasks: []wigeonjob.TaskProgress{{
		LastRun: 1, Runs: []wigeonjob.LiveRun{{Number: 1, Worker: onlyWorker}},
	}}}, false)
	o.list("former:1", 1)
	o.advance(20 * time.Millisecond)
	return o, wigeonstep.RunID{Task: wigeonstep.TaskID{Job: "job"}, Number: 1}
}
