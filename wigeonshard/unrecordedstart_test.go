package wigeonshard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
)

// reportVMGone reports the silent worker as lost, and a VM list that shows no such worker.
func (o *answeredOwner) reportVMGone() {
	o.c.Helper()
	lost := o.LostWorkers()
	o.c.Assert(lost, qt.HasLen, 1)
	o.WorkerEnded(o.now, lost[0])
	o.advance(10 * time.Millisecond)
}

// Guards against a task that runs twice: the owner ended before it found out that its start had got no answer, so nothing in the log
// told of that, and the next owner took the absence of a record for an answer. The worker begins the run when it is back under its id.
func TestNextOwnerAwaitsStartWithoutARecord(t *testing.T) {
	former := newAnsweredOwner(t, 1, 100_000)
	run := former.submit("job", 1)
	planned := former.now.Steady
	o := former.nextOwner()
	o.silence(500 * time.Millisecond)
	o.reportVMGone()
	o.assertRunning(run...)
	o.silence(planned + maxStartDelay + maxOrderDelay - o.now.Steady - 100*time.Millisecond)
	o.assertRunning(run...)
	o.silence(wallMargin + time.Second)
	o.assertRunning()
}

// Guards against a run that a third owner gives up while it may still begin: the second one, which awaited it, wrote the record of
// the task anew.
func TestThirdOwnerAwaitsStartWithoutARecord(t *testing.T) {
	former := newAnsweredOwner(t, 1, 100_000)
	run := former.submit("job", 1)
	planned := former.now.Steady
	second := former.nextOwner()
	second.silence(2 * time.Second)
	second.markTaskDirty(second.findTask(run[0].Task))
	second.advance(50 * time.Millisecond)
	third := second.nextOwner()
	third.silence(500 * time.Millisecond)
	third.reportVMGone()
	third.silence(planned + maxStartDelay + maxOrderDelay - third.now.Steady - 100*time.Millisecond)
	third.assertRunning(run...)
	third.silence(wallMargin + testSettings.ConfirmLimit)
	third.assertRunning()
}

// Guards against a task that waits for seconds although its run is known to have ended with its worker: the former owner had recorded
// that the run had begun there.
func TestNextOwnerGivesUpRecordedRunAtOnce(t *testing.T) {
	former := newAnsweredOwner(t, 1, 100_000)
	former.submit("job", 1)
	former.answerStarts(100_060)
	former.advance(50 * time.Millisecond)
	o := former.nextOwner()
	o.silence(500 * time.Millisecond)
	o.reportVMGone()
	o.assertRunning()
}

// Guards against a task that runs twice: a start that waits at the owner for longer than maxStartDelay after its run was recorded would
// arrive after a later owner has given the run up.
func TestStartsAreSentWithinTheirDelay(t *testing.T) {
	o := newAnsweredOwner(t, 1, 100_000)
	o.submit("waiting", 1)
	o.c.Assert(o.starts[0].SendBefore <= o.starts[0].SentAt+maxStartDelay, qt.IsTrue)
	first := o.starts[0].Order.Run
	o.answerStart(o.starts[0], wigeonstep.StartResult{Verdict: wigeonstep.StartUnknown})
	o.starts = nil
	o.pass(maxStartDelay)
	o.Confirm(o.now.Steady)
	o.answerHeartbeat(wigeonstep.HeartbeatResult{Clock: 103_200, StartedAt: 1})
	o.advance(300 * time.Millisecond)
	for _, s := range o.starts {
		o.c.Assert(s.Order.Run, qt.Not(qt.Equals), first)
	}
}
