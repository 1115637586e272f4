package wigeoncontrol_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep/wigeonmaintenance"
	"github.com/wigeonstep/wigeonstep/wigeonpool"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
)

// runWaveWithRackLoss runs a wave in which a rack of the pool fails after the given time and another VM two minutes
// later. It adds the statistics of the run to sum and returns the time from the start of the wave until all VMs of the
// pool that still work are maintained.
func runWaveWithRackLoss(t *testing.T, policy wigeonmaintenance.Policy, after time.Duration, sum *stats) time.Duration {
	t.Helper()
	w := newSimulation(t, plannerConfigs{maintenance: wigeonmaintenance.Config{Policy: policy}}, "a", "b", "c")
	w.addVMs("orders", 24, 32)
	w.addVMs("spare", 6, 32)
	w.run(10*time.Second, nil)
	w.putDocument("orders", 0, 18, "availability: {max_unavailable_workers: 7, survive: rack}\nmaintenance: {max_drain_s: 60}\n")
	w.c.Assert(w.run(10*time.Minute, func() bool { return len(w.state.View().Waves) > 0 }), qt.IsTrue)
	start := w.now
	w.run(after, nil)
	failed := 0
	for _, id := range w.ids {
		if w.platformVMs[id].Rack == "b-orders-1" {
			w.failVMs(id)
			failed++
		}
	}
	w.c.Assert(failed, qt.Equals, 4)
	w.run(2*time.Minute, nil)
	w.failVMs(w.ids[0])
	w.c.Assert(w.run(12*time.Hour, func() bool { return w.poolMaintained("orders") }), qt.IsTrue)
	rollOutTime := w.now.Sub(start)
	sum.budgetBreaches += w.stats.budgetBreaches
	sum.worstExcess = max(sum.worstExcess, w.stats.worstExcess)
	sum.moves += w.stats.moves
	sum.surplusVMSeconds += w.stats.surplusVMSeconds
	sum.seconds += w.stats.seconds
	return rollOutTime
}

// The loss of a rack during a wave must not exceed a budget that would hold without the wave. A fixed batch as large as
// the budget exceeds it, which shows that the test can fail; one VM at a time keeps the budget and takes longer.
func TestWavePolicyAgainstBaselines(t *testing.T) {
	t.Parallel()
	results := map[string]*stats{}
	rollOutTime := map[string]time.Duration{}
	for _, p := range []struct {
		name   string
		policy wigeonmaintenance.Policy
	}{{"budget", wigeonmaintenance.BudgetPolicy}, {"batch", wigeonmaintenance.BatchPolicy(7)}, {"single", wigeonmaintenance.BatchPolicy(1)}} {
		sum := &stats{}
		for _, after := range []time.Duration{3 * time.Minute, 4*time.Minute + 30*time.Second, 6 * time.Minute} {
			rollOutTime[p.name] += runWaveWithRackLoss(t, p.policy, after, sum) / 3
		}
		results[p.name] = sum
		t.Logf("%-6s mean roll-out %-8s budget exceeded for %d pool seconds, by %d VMs at worst; %.2f surplus VMs on average, %d moves",
			p.name, rollOutTime[p.name].Round(time.Second), sum.budgetBreaches, sum.worstExcess, float64(sum.surplusVMSeconds)/float64(sum.seconds), sum.moves)
	}
	c := qt.New(t)
	c.Assert(results["budget"].budgetBreaches, qt.Equals, 0)
	c.Assert(results["batch"].budgetBreaches > 0, qt.IsTrue)
	c.Assert(rollOutTime["budget"] < rollOutTime["single"], qt.IsTrue)
}

// Compares the planners with two common practices under the same load and the failure of three VMs at the same time.
// Fixed headroom with one VM at a time holds more idle capacity and takes longer; greedy moves with full batches move
// more VMs and exceed the budget.
func TestPlannersAgainstBaselines(t *testing.T) {
	t.Parallel()
	type result struct {
		stats
		rollOutTime time.Duration
	}
	run := func(name string, config plannerConfigs) result {
		w := newSimulation(t, config, "a")
		w.addVMs("orders", 15, 32)
		w.addVMs("spare", 7, 32)
		w.run(10*time.Second, nil)
		w.putDocument("orders", 0, 10, "availability: {max_unavailable_workers: 6}\nmaintenance: {max_drain_s: 60}\n")
		w.c.Assert(w.run(10*time.Minute, func() bool { return len(w.state.View().Waves) > 0 }), qt.IsTrue)
		r, start := result{}, w.now
		for minute := range 90 {
			w.slotDemand["orders"] = 8 * 2
			if minute%6 == 0 {
				w.slotDemand["orders"] = 8 * 40
			}
			w.run(20*time.Second, nil)
			w.slotDemand["orders"] = 8 * 2
			if minute == 2 {
				serving := slices.DeleteFunc(slices.Clone(w.state.View().Pools["orders"]), func(vm *wigeonstate.VM) bool { return !vm.InService() })
				w.failVMs(serving[0].ID, serving[1].ID, serving[2].ID)
			}
			w.run(40*time.Second, nil)
			if r.rollOutTime == 0 && w.poolMaintained("orders") {
				r.rollOutTime = w.now.Sub(start)
			}
		}
		r.stats = w.stats
		t.Logf("%-29s roll-out %-8s budget exceeded for %3d s, %.2f surplus VMs on average, %d moves",
			name, r.rollOutTime, r.budgetBreaches, float64(r.surplusVMSeconds)/float64(r.seconds), r.moves)
		w.c.Assert(r.rollOutTime > 0, qt.IsTrue)
		return r
	}
	standard := run("standard planners", plannerConfigs{})
	fixed := run("fixed headroom, one at a time", plannerConfigs{pool: wigeonpool.FixedHeadroom(50), maintenance: wigeonmaintenance.Config{Policy: wigeonmaintenance.BatchPolicy(1)}})
	greedy := run("greedy moves, full batches", plannerConfigs{pool: wigeonpool.GreedyMoves(), maintenance: wigeonmaintenance.Config{Policy: wigeonmaintenance.BatchPolicy(6)}})
	c := qt.New(t)
	c.Assert(standard.budgetBreaches, qt.Equals, 0)
	c.Assert(standard.rollOutTime < fixed.rollOutTime && standard.surplusVMSeconds < fixed.surplusVMSeconds, qt.IsTrue)
	c.Assert(greedy.budgetBreaches > 0 && standard.moves < greedy.moves, qt.IsTrue)
}
