package wigeondaemon

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against leases that count as valid after the VM was suspended, although the boot-time clock is read only now and then:
// the first reading after a suspension includes it, also when the wall clock is set back by as much.
func TestClockIncludesSuspension(t *testing.T) {
	c := qt.New(t)
	var elapsed, suspended, stepped time.Duration
	reads := 0
	k := &Clock{
		boot: func() time.Duration {
			reads++
			return time.Hour + elapsed + suspended
		},
		read: func() clockReading {
			return clockReading{wall: 1000*time.Hour + elapsed + suspended + stepped, monotonic: elapsed}
		},
	}
	check := func(wantReads int) {
		c.Helper()
		c.Assert(k.Now().Steady, qt.Equals, time.Hour+elapsed+suspended)
		c.Assert(reads, qt.Equals, wantReads)
	}
	check(1)
	for range 1000 {
		elapsed += 10 * time.Microsecond
		check(1)
	}
	suspended = 3 * time.Second
	check(2)
	stepped = -3 * time.Second
	check(3)
	elapsed += time.Minute
	check(4)
}

// Guards against a clock that goes back, from which leases would end later than they do.
func TestClockNeverGoesBack(t *testing.T) {
	var last time.Duration
	k := &Clock{}
	for limit := time.Now().Add(3 * maxAnchorAge); time.Now().Before(limit); {
		now := k.Now().Steady
		qt.Assert(t, now >= last, qt.IsTrue)
		last = now
	}
}
