package wigeonshard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// Guards against a run that starts although its record was rejected, and against a job that waits for ever, or stops others,
// because the log rejects its progress.
func TestJobWithRejectedProgressIsGivenUp(t *testing.T) {
	c := qt.New(t)
	o := newAnsweredOwner(t, 1, 100_000)
	o.advance(50 * time.Millisecond)
	o.AddJob(o.now, testJob("rejected", testStep(1)), wigeonjob.Progress{}, false)
	o.AddJob(o.now, testJob("usual", testStep(1)), wigeonjob.Progress{}, false)
	o.pass(10 * time.Millisecond)
	c.Assert(o.Step(o.now).Append, qt.HasLen, 2)
	o.AppendAcknowledged(o.now, o.now.Steady, "rejected")
	o.advance(50 * time.Millisecond)
	c.Assert(o.starts, qt.HasLen, 1)
	c.Assert(o.starts[0].Order.Run.Task.Job, qt.Equals, wigeonstep.JobID("usual"))
	state, known := o.JobState("rejected")
	c.Assert(known, qt.IsTrue)
	c.Assert(state, qt.Equals, wigeonjob.StateFailed)
	c.Assert(o.workers[onlyWorker].runs, qt.HasLen, 1)
}

// Guards against an end that its worker forgets before the log holds it: the record with it was rejected, and only the next append
// holds the end of the job.
func TestEndsOfRejectedJobAreAcknowledgedLater(t *testing.T) {
	c := qt.New(t)
	o := newAnsweredOwner(t, 1, 100_000)
	runs := o.submit("job", 1)
	o.answerStarts(100_100)
	o.logStalled = true
	o.answerHeartbeat(wigeonstep.HeartbeatResult{Clock: 100_200, StartedAt: 1, Ended: doneRuns(1, runs...)})
	o.advance(50 * time.Millisecond)
	o.AppendAcknowledged(o.now, o.now.Steady, "job")
	c.Assert(o.workers[onlyWorker].durableEnd, qt.Equals, uint64(0))
	o.appendSentAt, o.logStalled = 0, false
	o.advance(50 * time.Millisecond)
	c.Assert(o.workers[onlyWorker].durableEnd, qt.Equals, uint64(1))
}
