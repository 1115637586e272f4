package wigeonshard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// Guards against a task that runs twice because a busy link delays the answer with the end of its run beyond the timeout of the
// heartbeat: the answer was thrown away, the lease of the worker lapsed, and the task started again.
func TestLateAnswerEndsItsRuns(t *testing.T) {
	o := newAnsweredOwner(t, 1, 100_000)
	runs := o.submit("job", 1)
	o.answerStarts(100_000)
	o.answerHeartbeat(wigeonstep.HeartbeatResult{Clock: 100_000, StartedAt: 1, Running: listRunning(runs...)})
	delayed := o.takeHeartbeat()
	o.advance(delayed.Request.Wait + answerTimeout + time.Second)
	o.c.Assert(o.workers[onlyWorker].failures > 0, qt.IsTrue)
	o.c.Assert(o.workers[onlyWorker].pendingHeartbeat, qt.Not(qt.Equals), delayed.Number)

	o.HeartbeatAnswered(o.now, delayed, wigeonstep.HeartbeatResult{Clock: 101_000, StartedAt: 1, Ended: doneRuns(1, runs...)}, nil)
	o.advance(testSettings.Lease + testSettings.MaxLease)
	o.assertRunning()
	state, _ := o.JobState("job")
	o.c.Assert(state, qt.Equals, wigeonjob.StateCompleted)
}

// Guards against the late answer of an earlier process that is taken for one of the current process of the worker.
func TestLateAnswerOfEarlierProcessIsIgnored(t *testing.T) {
	o := newAnsweredOwner(t, 1, 100_000)
	delayed := o.takeHeartbeat()
	o.advance(delayed.Request.Wait + answerTimeout + time.Second)
	o.answerHeartbeat(wigeonstep.HeartbeatResult{Clock: 300, StartedAt: 2})
	runs := o.submit("job", 1)
	o.answerStarts(400)
	o.HeartbeatAnswered(o.now, delayed, wigeonstep.HeartbeatResult{Clock: 101_000, StartedAt: 1, Ended: doneRuns(1, runs...)}, nil)
	o.assertRunning(runs...)
}
