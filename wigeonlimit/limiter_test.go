package wigeonlimit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a zero value that blocks calls.
func TestZeroValueSetsNoBound(t *testing.T) {
	var l Limiter
	for range 1000 {
		qt.Assert(t, l.Take(0), qt.IsTrue)
	}
}

// Guards against more open calls than MaxOpen, and against slots that are not reused.
func TestOpenCallsAreBounded(t *testing.T) {
	l := Limiter{MaxOpen: 2}
	qt.Assert(t, l.Take(0), qt.IsTrue)
	qt.Assert(t, l.Take(0), qt.IsTrue)
	qt.Assert(t, l.Take(0), qt.IsFalse)
	l.Release()
	qt.Assert(t, l.Take(0), qt.IsTrue)
}

// Guards against more calls than the rate allows, also when the clock stands still or goes back.
func TestCallsPerSecondAreBounded(t *testing.T) {
	l := Limiter{Rate: 50}
	calls := 0
	for now := time.Hour; now < time.Hour+2*time.Second; now += time.Millisecond {
		for l.Take(now) {
			calls++
		}
		qt.Assert(t, l.Take(now-time.Second), qt.IsFalse)
	}
	// The burst of a tenth of a second comes on top of the rate.
	qt.Assert(t, calls >= 100 && calls <= 105, qt.IsTrue, qt.Commentf("%d calls", calls))
}
