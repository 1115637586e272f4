package wigeonshard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
)

// Guards against an answer to an earlier heartbeat that is taken for that to the newest: a worker that was removed from the
// list and added again got the answer to a heartbeat from before, which did not list a run that had started meanwhile.
func TestOnlyTheNewestHeartbeatIsAnswered(t *testing.T) {
	o := newAnsweredOwner(t, 1, 100_000)
	old := o.takeHeartbeat()
	o.SetWorkers(o.now, nil)
	o.advance(20 * time.Millisecond)
	o.list("w:1", 1)
	o.answerHeartbeat(wigeonstep.HeartbeatResult{Clock: 100_100, StartedAt: 1})
	first := o.submit("first", 1)
	o.answerStarts(100_200)
	o.answerHeartbeat(wigeonstep.HeartbeatResult{Clock: 100_300, StartedAt: 1, Running: listRunning(first...)})
	o.sentHeartbeat()
	o.HeartbeatAnswered(o.now, old, wigeonstep.HeartbeatResult{Clock: 100_050, StartedAt: 1}, nil)
	o.advance(20 * time.Millisecond)
	o.assertRunning(first...)
}

// Guards against an answer to an earlier stop that is taken for that to the newest: it does not show that the worker, which
// has restarted since, refuses a start that got no answer.
func TestOnlyTheNewestStopIsAnswered(t *testing.T) {
	o := newAnsweredOwner(t, 1, 100_000)
	first := o.submit("first", 1)
	o.answerStart(o.starts[0], wigeonstep.StartResult{Verdict: wigeonstep.StartUnknown})
	o.starts = nil
	o.CancelJob(o.now, "first")
	o.advance(150 * time.Millisecond)
	o.c.Assert(o.stops, qt.HasLen, 1)
	o.answerHeartbeat(wigeonstep.HeartbeatResult{Clock: 300, StartedAt: 2})
	o.advance(20 * time.Millisecond)
	o.c.Assert(o.stops, qt.HasLen, 2)
	o.answerStop(o.stops[0], nil)
	o.answerHeartbeat(wigeonstep.HeartbeatResult{Clock: 400, StartedAt: 2})
	o.answerHeartbeat(wigeonstep.HeartbeatResult{Clock: 500, StartedAt: 2})
	o.assertRunning(first...)
	o.answerStop(o.stops[1], nil)
	o.answerHeartbeat(wigeonstep.HeartbeatResult{Clock: 600, StartedAt: 2})
	o.answerHeartbeat(wigeonstep.HeartbeatResult{Clock: 700, StartedAt: 2})
	o.assertRunning()
}
