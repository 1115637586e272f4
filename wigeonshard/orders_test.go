package wigeonshard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// Guards against orders that wait outside the owner, where no later decision reaches them: starts beyond the bound of a worker
// wait in the owner, and are withdrawn when the worker stops answering.
func TestWaitingStartsAreWithdrawn(t *testing.T) {
	o := newAnsweredOwner(t, 1, 100_000)
	o.AddJob(o.now, testJob("wide", testStep(4)), wigeonjob.Progress{}, false)
	o.advance(50 * time.Millisecond)
	o.c.Assert(o.starts, qt.HasLen, maxOrdersInFlight)
	first := o.starts[0]
	o.answerStart(first, wigeonstep.StartResult{Verdict: wigeonstep.StartAccepted, Clock: 100_000})
	o.step()
	o.c.Assert(o.starts, qt.HasLen, maxOrdersInFlight+1)

	o.failHeartbeat(wigeonstep.ErrAnswerLost)
	for _, s := range o.starts[1:] {
		o.answerStart(s, wigeonstep.StartResult{Verdict: wigeonstep.StartUnknown})
	}
	o.step()
	o.c.Assert(o.starts, qt.HasLen, maxOrdersInFlight+1)
	o.c.Assert(o.workers[onlyWorker].runs, qt.HasLen, maxOrdersInFlight+1)
}
