package wigeonadmission_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonrouting"
)

// Guards against entry processes that overload servers or leave them idle because no process sees the requests of the
// others.
func TestProcessesShareServersWithoutCoordination(t *testing.T) {
	t.Parallel()
	trial := func(newRouter func() router) (busy, used float64) {
		f := newFleet(6, 7, 10, documents(1, 100*time.Millisecond), nil, newRouter)
		f.addConstantSource("a", "bake", 1600, 100*time.Millisecond)
		f.run(20 * time.Second)
		return f.busyShare(), f.usedShare()
	}
	busyBaseline, usedBaseline := trial(newLeastLoaded)
	busy, used := trial(nil)
	t.Logf("attempts that met a full server: least loaded %.3f, policy %.4f; slots used: %.3f, %.3f", busyBaseline, busy, usedBaseline, used)
	c := quicktest.New(t)
	c.Check(busyBaseline > 0.05, quicktest.IsTrue)
	c.Check(busy < 0.005, quicktest.IsTrue)
	c.Check(used > 0.95 && used > usedBaseline, quicktest.IsTrue)
}

// Guards against overloaded or idle servers while some processes receive no reports from each other and the load moves
// between them. The slots that the processes compute for themselves then add up to more or less than the pool.
func TestStaleReportsDoNotOverloadServers(t *testing.T) {
	t.Parallel()
	for name, neverReported := range map[string]bool{"cut off after 5 s": false, "no reports at all": true} {
		t.Run(name, func(t *testing.T) {
			trial := func(newRouter func() router) (busy float64, s *source) {
				f := newFleet(10, 7, 10, documents(1, 100*time.Millisecond), nil, newRouter)
				f.partitioned = func(i, j int) bool { return (neverReported || f.now > 5*time.Second) && i/4 != j/4 }
				// 90% of the load enters at processes 4 to 6 in the first 5 s, and at 0 to 3 afterwards.
				f.chooseProcess = func() int {
					if (f.random.IntN(10) == 0) == (f.now < 5*time.Second) {
						return f.random.IntN(4)
					}
					return 4 + f.random.IntN(3)
				}
				s = f.addConstantSource("a", "bake", 600, 100*time.Millisecond)
				f.run(30 * time.Second)
				return f.busyShare(), s
			}
			busyBaseline, baseline := trial(newLeastLoaded)
			busy, policy := trial(nil)
			t.Logf("attempts that met a full server: least loaded %.3f, policy %.3f; done %d and %d of %d, failed %d and %d", busyBaseline, busy,
				baseline.done, policy.done, policy.sent, baseline.failed, policy.failed)
			c := quicktest.New(t)
			c.Check(busyBaseline > 0.1, quicktest.IsTrue)
			c.Check(busy < 0.01, quicktest.IsTrue)
			c.Check(policy.done > baseline.done, quicktest.IsTrue)
			c.Check(policy.failed*1000 < policy.sent, quicktest.IsTrue)
		})
	}
}

// Guards against overloaded servers when slots move between processes while requests run on them.
func TestBurstsDoNotOverrunServers(t *testing.T) {
	t.Parallel()
	const run = 200 * time.Millisecond
	trial := func(newAdmitter func() admitter, newRouter func() router) (busy float64, total stats) {
		f := newFleet(11, 8, 10, documents(5, run), newAdmitter, newRouter)
		mean := 0.9 * 80 / run.Seconds() / 5 / 1.04
		for i := range 5 {
			f.addSource(&source{team: wigeonstep.TeamName(rune('a' + i)), class: "bake", peak: 5 * mean, run: run, rate: burstRate(mean, i, 5)})
		}
		f.run(45 * time.Second)
		for _, s := range f.sources {
			total.sent, total.failed, total.done = total.sent+s.sent, total.failed+s.failed, total.done+s.done
		}
		return f.busyShare(), total
	}
	busyBaseline, baseline := trial(newFIFO, newLeastLoaded)
	busy, policy := trial(nil, nil)
	t.Logf("attempts that met a full server: least loaded %.3f, policy %.3f; failed %d and %d, done %d and %d of %d", busyBaseline, busy,
		baseline.failed, policy.failed, baseline.done, policy.done, policy.sent)
	c := quicktest.New(t)
	c.Check(busyBaseline > 0.2, quicktest.IsTrue)
	c.Check(busy < 0.02, quicktest.IsTrue)
	c.Check(policy.failed*500 < policy.sent, quicktest.IsTrue)
}

// runWithFaults runs a pool of 12 servers at 70% load for the given number of seconds and injects a fault into the
// servers at the given indices after 5 s.
func runWithFaults(newRouter func() router, seconds int, injectFault func(*backend), indices ...int) (*fleet, *source) {
	f := newFleet(7, 4, 12, documents(1, 100*time.Millisecond), nil, newRouter)
	s := f.addConstantSource("a", "bake", 0.7*960, 100*time.Millisecond)
	f.schedule(5*time.Second, func() {
		for _, i := range indices {
			injectFault(f.backends[f.servers[i].VM])
		}
	})
	f.run(time.Duration(seconds) * time.Second)
	return f, s
}

// Guards against sending most work to a server that fails every request quickly and therefore seems idle.
func TestFailingServersDoNotAttractWork(t *testing.T) {
	t.Parallel()
	for name, indices := range map[string][]int{
		"one server": {3}, "three servers, as many as the quarantine holds": {3, 4, 5}, "six servers, more than the quarantine holds": {0, 1, 2, 3, 4, 5},
	} {
		t.Run(name, func(t *testing.T) {
			injectFault := func(b *backend) { b.fails = true }
			_, baseline := runWithFaults(newLeastLoaded, 30, injectFault, indices...)
			_, policy := runWithFaults(nil, 30, injectFault, indices...)
			t.Logf("failed requests: least loaded %d of %d, policy %d of %d", baseline.failed, baseline.sent, policy.failed, policy.sent)
			c := quicktest.New(t)
			c.Check(baseline.failed*5 > baseline.sent, quicktest.IsTrue)
			if len(indices) <= 3 {
				c.Check(policy.failed*100 < policy.sent, quicktest.IsTrue)
			} else {
				c.Check(policy.failed*2 < baseline.failed, quicktest.IsTrue)
			}
		})
	}
}

// Guards against a slow server that keeps getting its full share of the work.
func TestSlowServerIsQuarantined(t *testing.T) {
	t.Parallel()
	injectFault := func(b *backend) { b.slowFactor, b.accepted = 20, 0 }
	trial := func(newRouter func() router) int {
		f, _ := runWithFaults(newRouter, 60, injectFault, 3)
		return f.backends[f.servers[3].VM].accepted
	}
	baseline, policy := trial(newLeastLoaded), trial(nil)
	t.Logf("requests that ran on the slow server: least loaded %d, policy %d", baseline, policy)
	quicktest.New(t).Check(policy*3 < baseline, quicktest.IsTrue)
}

// Guards against a quarantine that removes all servers when all fail at the same time, and that lasts longer than the
// fault.
func TestCorrelatedFailureLimitsQuarantine(t *testing.T) {
	t.Parallel()
	f := newFleet(8, 4, 12, documents(1, 100*time.Millisecond), nil, nil)
	s := f.addConstantSource("a", "bake", 0.7*960, 100*time.Millisecond)
	set := func(fails bool) func() {
		return func() {
			for _, b := range f.backends {
				b.fails = fails
			}
		}
	}
	f.schedule(5*time.Second, set(true))
	f.schedule(15*time.Second, set(false))
	most, before := 0, 0
	f.observe = func() {
		for _, p := range f.processes {
			most = max(most, len(p.routing.(*wigeonrouting.Picker).Quarantined()))
		}
	}
	f.schedule(15200*time.Millisecond, func() { before = s.done })
	f.run(20200 * time.Millisecond)
	rate := float64(s.done-before) / 5
	t.Logf("at most %d of 12 servers in quarantine; %.0f of 672 requests a second from 0.2 s after the fault", most, rate)
	c := quicktest.New(t)
	c.Check(most, quicktest.Equals, 3)
	c.Check(rate > 0.9*672, quicktest.IsTrue)
}

// Guards against retries that add more than a fifth to the load of a pool that is already failing.
func TestRetryBudgetLimitsExtraLoad(t *testing.T) {
	t.Parallel()
	trial := func(unlimited bool) float64 {
		f := newFleet(9, 4, 10, documents(1, 100*time.Millisecond), nil, nil)
		f.unlimitedRetries = unlimited
		f.addConstantSource("a", "bake", 200, 100*time.Millisecond)
		for _, b := range f.backends {
			b.fails = true
		}
		f.run(20 * time.Second)
		return float64(f.attempts) / float64(f.firstAttempts)
	}
	baseline, policy := trial(true), trial(false)
	t.Logf("attempts for each first attempt at a pool that fails: unlimited %.2f, policy %.3f", baseline, policy)
	c := quicktest.New(t)
	c.Check(baseline > 2, quicktest.IsTrue)
	c.Check(policy <= 1.2, quicktest.IsTrue)
}
