package wigeonentry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
)

// Guards against short work that starts later than 4.7 s after its arrival because the waits for its slot, its intent and a free
// server are bounded one by one.
func TestShortWorkStartsInTimeOrNotAtAll(t *testing.T) {
	c := qt.New(t)
	arrived := time.Unix(1_800_000_000, 0)
	c.Assert(slotDeadline(arrived, time.Time{}), qt.Equals, arrived.Add(startWithin-intentReserve))
	c.Assert(slotDeadline(arrived, arrived.Add(time.Second)), qt.Equals, arrived.Add(time.Second))

	now := arrived
	r := running{
		process: &Process{config: Config{Now: func() time.Time { return now }}},
		slot:    &slot{}, request: &wigeonstep.Request{Deadline: arrived.Add(time.Minute)},
	}
	r.slot.ticket.Enqueued = arrived
	c.Assert(r.sendBy(), qt.Equals, arrived.Add(startWithin))
	c.Assert(r.late(), qt.IsFalse)
	now = arrived.Add(startWithin)
	c.Assert(r.late(), qt.IsTrue)
	r.mayHaveRun = true
	c.Assert(r.late(), qt.IsFalse)
	c.Assert(r.sendBy(), qt.Equals, arrived.Add(time.Minute), qt.Commentf("work that has started is bound by its deadline only"))
}
