package wigeonentry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
)

// TestShortRequestStartsInTimeOrIsRefused guards against a short request that starts later than maxStartDelay after its
// arrival, because its waits for a slot, its intent record and a free server are limited one by one instead of
// together.
func TestShortRequestStartsInTimeOrIsRefused(t *testing.T) {
	c := qt.New(t)
	arrived := time.Unix(1_800_000_000, 0)
	c.Assert(slotDeadline(arrived, time.Time{}), qt.Equals, arrived.Add(maxStartDelay-intentReserve))
	c.Assert(slotDeadline(arrived, arrived.Add(time.Second)), qt.Equals, arrived.Add(time.Second))

	now := arrived
	r := requestRun{
		process:   &Process{config: Config{Now: func() time.Time { return now }}},
		slotClaim: &slotClaim{}, request: &wigeonstep.Request{Deadline: arrived.Add(time.Minute)},
	}
	r.slotClaim.ticket.Enqueued = arrived
	c.Assert(r.attemptDeadline(), qt.Equals, arrived.Add(maxStartDelay))
	c.Assert(r.startTimePassed(), qt.IsFalse)
	now = arrived.Add(maxStartDelay)
	c.Assert(r.startTimePassed(), qt.IsTrue)
	r.mayHaveRun = true
	c.Assert(r.startTimePassed(), qt.IsFalse)
	c.Assert(r.attemptDeadline(), qt.Equals, arrived.Add(time.Minute), qt.Commentf("work that has started is bound by its deadline only"))
}
