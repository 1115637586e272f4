package wigeonshard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
)

// Guards against a run that never began and is counted as a crash at its start: its worker answers a stop of a run that it doesn't
// have like any other.
func TestStoppedRunThatNeverBeganIsNoEvidence(t *testing.T) {
	c := qt.New(t)
	o := newAnsweredOwner(t, 1, 100_000)
	runs := o.submit("job", 1)
	for range maxStartTries {
		for len(o.starts) == 0 {
			o.advance(10 * time.Millisecond)
		}
		o.answerStart(o.starts[0], wigeonstep.StartResult{Verdict: wigeonstep.StartUnknown})
		o.starts = nil
	}
	for range 100 {
		if len(o.stops) == 0 {
			o.advance(10 * time.Millisecond)
		}
	}
	c.Assert(o.stops, qt.HasLen, 1)
	c.Assert(o.stops[0].Run, qt.Equals, runs[0])
	o.answerStop(o.stops[0], nil)
	o.failHeartbeat(wigeonstep.ErrConnectionClosed)
	for _, l := range o.LostWorkers() {
		o.WorkerEnded(o.now, l)
	}
	crashes := o.jobs["job"].occurrences[0].steps[0].tasks[0].crashes
	for _, crash := range crashes {
		c.Check(crash.Confirmed(), qt.IsFalse)
		c.Check(crash.Sole, qt.IsFalse)
	}
	c.Assert(crashes.suspicious(), qt.IsFalse)
}
