package wigeonshard

import (
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
)

var (
	firstLossSeed = flag.Int("loss.first", 0, "the first seed of TestSeededOwnerLossesAfterCrashes")
	lossSeeds     = flag.Int("loss.seeds", 0, "the number of seeds of TestSeededOwnerLossesAfterCrashes; 0 means the usual number")
)

// Guards against tasks that run twice when a worker crashes silently as orders arrive and their sender ends before it finds that out:
// the next owner has nothing but the records from before the orders, and the worker carries them out when it is back under its id.
func TestSeededOwnerLossesAfterCrashes(t *testing.T) {
	t.Parallel()
	seeds := *lossSeeds
	switch {
	case seeds > 0:
	case testing.Short():
		seeds = 10
	default:
		seeds = 50
	}
	for seed := *firstLossSeed; seed < *firstLossSeed+seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			m := newClusterModel(t, uint64(seed), 6) //nolint:gosec // seeds are small
			m.settings.Lease, m.settings.MaxLease = 3200*time.Millisecond, []time.Duration{6 * time.Second, 10 * time.Second}[seed%2]
			m.lostAnswerRate, m.lateCallRate = 0.02, []float64{0, 0.1}[seed/2%2]
			m.heartbeatsWait, m.groupConfirms, m.silentFaults, m.vmList = true, true, true, seed/4%4 != 0
			m.outcome = func(wigeonstep.RunID) (time.Duration, wigeonstep.EndCause) {
				return 200*time.Millisecond + m.randomTime([]time.Duration{2 * time.Second, 12 * time.Second}[m.random.IntN(2)]), wigeonstep.EndDone
			}
			m.addOwner()
			for i := range 10 {
				job := testJob(wigeonstep.JobID(fmt.Sprintf("job%02d", i)), manyFitStep(1+m.random.IntN(4)), manyFitStep(1+m.random.IntN(3), 0))
				m.schedule(m.randomTime(30*time.Second), func() { m.submitJob(job) })
			}
			for i := range 8 {
				m.schedule(time.Duration(i)*4*time.Second+m.randomTime(2*time.Second), func() { m.crashUnderOrders(i) })
			}
			m.advance(40 * time.Second)
			m.endFaults()
			m.advance(120 * time.Second)
			c.Assert(m.violations, qt.HasLen, 0)
			c.Assert(m.unfinishedJobs(), qt.HasLen, 0)
		})
	}
}

// crashUnderOrders submits jobs, crashes a worker silently at about the time at which it gets their starts, and ends the owner up to
// 1.2 s later, mostly. The worker is back under its id after up to 8 s; some are cut off soon after.
func (m *clusterModel) crashUnderOrders(fault int) {
	id := m.listed[m.random.IntN(len(m.listed))].ID
	f := m.workers[id]
	if f.down || m.now < m.cutUntil[id] {
		return
	}
	for i := range 3 {
		m.submitJob(testJob(wigeonstep.JobID(fmt.Sprintf("under%02d-%d", fault, i)), manyFitStep(1+m.random.IntN(6))))
	}
	m.schedule(m.randomTime(40*time.Millisecond), func() {
		if f.down {
			return
		}
		f.crash(m)
		back := minSilentRestart + m.randomTime(8*time.Second)
		m.returnUnlisted(f, back)
		if m.random.IntN(3) == 0 {
			m.schedule(back+m.randomTime(time.Second), func() { m.cutUntil[id] = m.now + m.randomTime(12*time.Second) })
		}
	})
	if m.random.IntN(4) > 0 {
		m.schedule(40*time.Millisecond+m.randomTime(1200*time.Millisecond), m.replaceOwner)
	}
}
