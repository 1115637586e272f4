package wigeonshare

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/wigeonstep/wigeonstep"
)

var testWindow = Window{Length: 5 * time.Second, Overage: 0.1, Slack: 20}

// Guards against a limit that differs from weight x window x (1 + overage) + slack, and against excess jobs that count themselves.
func TestRateOfATeam(t *testing.T) {
	c := qt.New(t)
	var a Arrivals
	within := 0
	for range 100 {
		if !a.Excess(testWindow, 2, 1_000_000) {
			within++
		}
	}
	c.Assert(within, qt.Equals, 2*5+1+20)
	c.Assert(a.Excess(testWindow, 2, 1_004_999), qt.IsTrue)
	c.Assert(a.Excess(testWindow, 2, 1_005_000), qt.IsFalse)
	c.Assert(a.Excess(Window{}, 2, 1_005_000), qt.IsFalse)
}

// Guards against a steady stream within the rate whose jobs become excess, and a memory that grows with the jobs of a day.
func TestSteadyStreamIsWithinItsRate(t *testing.T) {
	var a Arrivals
	for i := range 100_000 {
		if a.Excess(testWindow, 50, wigeonstep.UnixMillis(1_000_000+20*i)) {
			t.Fatalf("job %d is excess", i)
		}
	}
	qt.Assert(t, cap(a.accepted) < 4000, qt.IsTrue, qt.Commentf("%d", cap(a.accepted)))
}

// Guards against a new owner that decides otherwise than the one before it: it reads the same jobs, in the order of their accepted
// times. The reference counts all jobs again for each job.
func TestOwnersDecideAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		weight := rapid.SampledFrom([]float64{0.5, 1, 4, 20}).Draw(t, "weight")
		window := Window{Length: time.Second, Overage: 0.1, Slack: float64(rapid.IntRange(0, 3).Draw(t, "slack"))}
		var jobs []wigeonstep.UnixMillis
		at := wigeonstep.UnixMillis(1_000_000)
		for range 300 {
			at += wigeonstep.UnixMillis(random.IntN(200) * random.IntN(2))
			jobs = append(jobs, at)
		}
		var first, next Arrivals
		var counted []wigeonstep.UnixMillis
		for i, accepted := range jobs {
			excess := first.Excess(window, weight, accepted)
			recent := 1
			for _, other := range counted {
				if other > accepted-1000 {
					recent++
				}
			}
			if want := float64(recent) > window.Limit(weight); excess != want {
				t.Fatalf("job %d: excess is %v, %d within the window", i, excess, recent)
			}
			if !excess {
				counted = append(counted, accepted)
			}
		}
		slices.Sort(jobs)
		again := 0
		for _, accepted := range jobs {
			if !next.Excess(window, weight, accepted) {
				again++
			}
		}
		if again != len(counted) {
			t.Fatalf("%d jobs are within the rate, %d for the next owner", len(counted), again)
		}
	})
}

// Guards against times that are counted in a wrong window when jobs of several processes are read out of order.
func TestJobsOutOfOrder(t *testing.T) {
	c := qt.New(t)
	var a Arrivals
	window := Window{Length: time.Second, Slack: 2}
	c.Assert(a.Excess(window, 0, 10_000), qt.IsFalse)
	c.Assert(a.Excess(window, 0, 8000), qt.IsFalse)
	c.Assert(a.Excess(window, 0, 10_500), qt.IsFalse)
	c.Assert(a.Excess(window, 0, 9500), qt.IsFalse)
	c.Assert(a.Excess(window, 0, 10_400), qt.IsTrue)
	c.Assert(slices.IsSorted(a.accepted), qt.IsTrue)
}
