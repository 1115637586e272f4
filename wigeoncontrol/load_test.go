package wigeoncontrol_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep/wigeonpool"
)

// settledSimulation returns a simulation without load in which the first waves have ended. It has 6 spare VMs and a
// pool "orders" of 11 workers with 8 slots each. These are the target of the pool: the 10 workers of its document, and
// one for a failure. No further wave is due within the test.
func settledSimulation(t *testing.T, config wigeonpool.Config, objective string) *simulation {
	t.Helper()
	w := newSimulation(t, plannerConfigs{pool: config}, "a")
	w.addVMs("orders", 11, 32)
	w.addVMs("spare", 6, 32)
	w.run(10*time.Second, nil)
	w.putDocument("orders", 0, 10, "availability: {max_unavailable_workers: 3}\nmaintenance: {max_drain_s: 40}\nobjective: "+objective+"\n")
	w.c.Assert(w.run(time.Hour, func() bool {
		return w.poolMaintained("orders") && w.poolMaintained("spare") && len(w.state.View().Waves) == 0
	}), qt.IsTrue)
	w.stats = stats{}
	return w
}

// runUnderLoad runs the simulation for d under a load that needs loadWorkers workers. It returns the surplus of the pool
// in worker seconds: the workers beyond both the load and the 10 workers of the document, summed over all seconds.
func (w *simulation) runUnderLoad(d time.Duration, loadWorkers int) int {
	w.slotDemand["orders"] = 8 * loadWorkers
	surplusSeconds := 0
	// run calls the function once for each simulated second.
	w.run(d, func() bool {
		surplusSeconds += max(0, len(w.state.View().Pools["orders"])-max(10, loadWorkers))
		return false
	})
	return surplusSeconds
}

// A burst of 20 s that needs 40 workers in a pool of 11 must not move VMs, but a lasting load must. The greedy baseline,
// which moves VMs after 1 s of a shortage, moves them in every burst.
func TestOnlyLastingLoadMovesVMs(t *testing.T) {
	t.Parallel()
	bursts := func(config wigeonpool.Config, objective string) int {
		w := settledSimulation(t, config, objective)
		for range 6 {
			w.runUnderLoad(20*time.Second, 40)
			// Entry processes report no load for pools from which they need no slots.
			delete(w.slotDemand, "orders")
			w.run(5*time.Minute, nil)
		}
		return w.stats.moves
	}
	plannerMoves, greedyMoves := bursts(wigeonpool.Config{}, "{}"), bursts(wigeonpool.GreedyMoves(), "{}")
	t.Logf("6 bursts of 20 s: standard planner %d moves, greedy moves %d", plannerMoves, greedyMoves)
	c := qt.New(t)
	c.Assert(plannerMoves, qt.Equals, 0)
	c.Assert(bursts(wigeonpool.Config{}, "{moves_weight: 10}"), qt.Equals, 0)
	c.Assert(greedyMoves >= 6, qt.IsTrue)

	w := settledSimulation(t, wigeonpool.Config{}, "{}")
	w.runUnderLoad(5*time.Minute, 14)
	c.Assert(len(w.state.View().Pools["orders"]), qt.Equals, 14)
	w.runUnderLoad(40*time.Minute, 5)
	c.Assert(len(w.state.View().Pools["orders"]), qt.Equals, 11, qt.Commentf("a lasting surplus returns to the spare pool"))
	c.Assert(w.stats.moves, qt.Equals, 6)
}

// The weights of the objective must act in the stated direction: a higher moves_weight gives fewer moves, and a higher
// buffer_weight less idle capacity.
func TestObjectiveWeights(t *testing.T) {
	t.Parallel()
	run := func(buffer, moves int) (int, int) {
		w := settledSimulation(t, wigeonpool.Config{}, fmt.Sprintf("{buffer_weight: %d, moves_weight: %d}", buffer, moves))
		idle := 0
		for range 2 {
			idle += w.runUnderLoad(50*time.Minute, 14)
			idle += w.runUnderLoad(20*time.Minute, 3)
			idle += w.runUnderLoad(100*time.Second, 13)
			idle += w.runUnderLoad(20*time.Minute, 3)
			idle += w.runUnderLoad(45*time.Second, 13)
			idle += w.runUnderLoad(20*time.Minute, 3)
		}
		t.Logf("buffer_weight %2d, moves_weight %2d: %2d moves, %6d idle worker seconds", buffer, moves, w.stats.moves, idle)
		return w.stats.moves, idle
	}
	highBufferMoves, highBufferIdle := run(10, 1)
	equalMoves, equalIdle := run(1, 1)
	highMovesWeightMoves, highMovesWeightIdle := run(1, 10)
	c := qt.New(t)
	c.Assert(highBufferMoves > equalMoves && equalMoves > highMovesWeightMoves, qt.IsTrue)
	c.Assert(highBufferIdle < equalIdle && equalIdle < highMovesWeightIdle, qt.IsTrue)
}
