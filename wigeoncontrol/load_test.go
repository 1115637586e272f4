package wigeoncontrol_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep/wigeonpool"
)

// loaded returns a world with a pool of 11 workers of 8 slots that has its target, and 6 spare VMs. Waves are far away.
func loaded(t *testing.T, config wigeonpool.Config, objective string) *world {
	t.Helper()
	w := newWorld(t, planners{pool: config}, "a")
	w.addVMs("orders", 11, 32)
	w.addVMs("spare", 6, 32)
	w.run(10*time.Second, nil)
	w.document("orders", 0, 10, "availability: {max_unavailable_workers: 3}\nmaintenance: {max_drain_s: 40}\nobjective: "+objective+"\n")
	w.c.Assert(w.run(time.Hour, func() bool { return w.maintained("orders") && w.maintained("spare") && len(w.state.View().Waves) == 0 }), qt.IsTrue)
	w.stats = stats{}
	return w
}

// idle passes time under a load of so many workers and returns the worker seconds in the pool beyond load and document.
func (w *world) idle(d time.Duration, workers int) int {
	w.loads["orders"] = 8 * workers
	idle := 0
	w.run(d, func() bool {
		idle += max(0, len(w.state.View().Pools["orders"])-max(10, workers))
		return false
	})
	return idle
}

// A queue that demands five times its mean for seconds must cause no move; load that stays must. Moves as soon as load
// exceeds a pool chase every burst.
func TestBurstAgainstLastingLoad(t *testing.T) {
	t.Parallel()
	bursts := func(config wigeonpool.Config, objective string) int {
		w := loaded(t, config, objective)
		for range 6 {
			w.idle(20*time.Second, 40)
			// Entry processes do not name pools that they want nothing of.
			delete(w.loads, "orders")
			w.run(5*time.Minute, nil)
		}
		return w.stats.moves
	}
	ours, greedy := bursts(wigeonpool.Config{}, "{}"), bursts(wigeonpool.GreedyMoves(), "{}")
	t.Logf("6 bursts of 20 s: %d moves, greedy %d moves", ours, greedy)
	c := qt.New(t)
	c.Assert(ours, qt.Equals, 0)
	c.Assert(bursts(wigeonpool.Config{}, "{moves_weight: 10}"), qt.Equals, 0)
	c.Assert(greedy >= 6, qt.IsTrue)

	w := loaded(t, wigeonpool.Config{}, "{}")
	w.idle(5*time.Minute, 14)
	c.Assert(len(w.state.View().Pools["orders"]), qt.Equals, 14)
	w.idle(40*time.Minute, 5)
	c.Assert(len(w.state.View().Pools["orders"]), qt.Equals, 11, qt.Commentf("a surplus that lasts goes back"))
	c.Assert(w.stats.moves, qt.Equals, 6)
}

// The weights must change the result in the stated direction: where moves weigh most there are fewer of them, and where
// the buffer weighs most less capacity stays idle.
func TestWeightsOfBothUsers(t *testing.T) {
	t.Parallel()
	run := func(buffer, moves int) (int, int) {
		w := loaded(t, wigeonpool.Config{}, fmt.Sprintf("{buffer_weight: %d, moves_weight: %d}", buffer, moves))
		idle := 0
		for range 2 {
			idle += w.idle(50*time.Minute, 14)
			idle += w.idle(20*time.Minute, 3)
			idle += w.idle(100*time.Second, 13)
			idle += w.idle(20*time.Minute, 3)
			idle += w.idle(45*time.Second, 13)
			idle += w.idle(20*time.Minute, 3)
		}
		t.Logf("buffer_weight %2d, moves_weight %2d: %2d moves, %6d idle worker seconds", buffer, moves, w.stats.moves, idle)
		return w.stats.moves, idle
	}
	orchardMoves, orchardIdle := run(10, 1)
	evenMoves, evenIdle := run(1, 1)
	bakersMoves, bakersIdle := run(1, 10)
	c := qt.New(t)
	c.Assert(orchardMoves > evenMoves && evenMoves > bakersMoves, qt.IsTrue)
	c.Assert(orchardIdle < evenIdle && evenIdle < bakersIdle, qt.IsTrue)
}
