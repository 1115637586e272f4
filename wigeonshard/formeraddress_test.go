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
	now := Timestamp{Steady: time.Hour, Wall: 1_700_000_000_000}
	o := &answeredOwner{Owner: NewOwner(testSettings, 2, now, wigeonjob.OwnerRecord{}), c: qt.New(t), now: now}
	job := testJob("job", testStep(1))
	o.AddJob(o.now, job, wigeonjob.Progress{State: wigeonjob.StateRunning, Tasks: []wigeonjob.TaskProgress{{
		LastRun: 1, Runs: []wigeonjob.LiveRun{{Number: 1, Worker: onlyWorker}},
	}}}, false)
	o.list("former:1", 1)
	o.advance(20 * time.Millisecond)
	o.failHeartbeat(wigeonstep.ErrWorkerReplaced)
	o.list("w:1", 2)
	run := wigeonstep.RunID{Task: wigeonstep.TaskID{Job: "job"}, Number: 1}
	o.answerHeartbeat(wigeonstep.HeartbeatResult{Clock: 500, StartedAt: 2, Running: listRunning(run)})
	o.advance(200 * time.Millisecond)
	o.c.Assert(o.stops, qt.HasLen, 0)
	o.assertRunning(run)
}
