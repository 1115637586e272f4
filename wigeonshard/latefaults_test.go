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
	firstLateSeed = flag.Int("late.first", 0, "the first seed of TestSeededLateAnswers")
	lateSeeds     = flag.Int("late.seeds", 0, "the number of seeds of TestSeededLateAnswers; 0 means the usual number")
)

// Guards against tasks that run twice at the same time, are lost, or start after their end was acknowledged, while owners
// are paused and read answers late and in any order, workers restart within a moment, at another address too, and the log is
// slow, in addition to the faults of TestSeededFaults.
func TestSeededLateAnswers(t *testing.T) {
	t.Parallel()
	seeds := *lateSeeds
	switch {
	case seeds > 0:
	case testing.Short():
		seeds = 10
	default:
		seeds = 40
	}
	for seed := *firstLateSeed; seed < *firstLateSeed+seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			m := newClusterModel(t, uint64(seed), 6) //nolint:gosec // seeds are small
			m.lostAnswerRate, m.lateCallRate, m.lateAnswerRate = 0.02, 0.01, 0.01
			m.heartbeatsWait, m.groupConfirms = true, true
			for i, l := range m.listed {
				f := m.workers[l.ID]
				f.forgetsAhead = i%2 == 0
				if i%3 == 0 {
					f.maxListedEnds = 2
				}
			}
			m.addOwner()
			for i := range 40 {
				job := testJob(wigeonstep.JobID(fmt.Sprintf("job%02d", i)), testStep(1+m.random.IntN(6)), testStep(1+m.random.IntN(3), 0))
				m.schedule(m.randomTime(15*time.Second), func() { m.submitJob(job) })
			}
			for range 10 {
				m.schedule(m.randomTime(20*time.Second), m.injectLateFault)
			}
			m.advance(22 * time.Second)
			m.lateAnswerRate, m.slowAppends = 0, false
			m.endFaults()
			m.advance(60 * time.Second)
			c.Assert(m.violations, qt.HasLen, 0)
			c.Assert(m.unfinishedJobs(), qt.HasLen, 0)
		})
	}
}

func (m *clusterModel) randomTime(below time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(below)))
}

// confirmOwnership confirms the ownership of an owner every 100 ms until another one replaces it.
func (m *clusterModel) confirmOwnership(o *fakeOwner) {
	if o != m.owners[len(m.owners)-1] {
		return
	}
	o.Confirm(m.now)
	m.schedule(100*time.Millisecond, func() { m.deliver(o, func() { m.confirmOwnership(o) }) })
}

// injectLateFault causes one fault, chosen at random.
func (m *clusterModel) injectLateFault() {
	id := m.listed[m.random.IntN(len(m.listed))].ID
	newest := m.owners[len(m.owners)-1]
	switch m.random.IntN(8) {
	case 0, 1:
		newest.pausedUntil = m.now + time.Second + m.randomTime(9*time.Second)
		if m.random.IntN(3) > 0 {
			m.schedule(1100*time.Millisecond+m.randomTime(time.Second), func() { m.addOwner() })
		}
	case 2, 3, 4:
		m.restartSoon(id)
	case 5:
		m.slowAppends = true
		m.schedule(m.randomTime(5*time.Second), func() { m.slowAppends = false })
	case 6:
		m.addOwner()
	case 7:
		m.injectFault()
	}
}

// restartSoon crashes a worker, which starts again under its id, at another address in two of five cases. Another worker
// answers at the former address then.
func (m *clusterModel) restartSoon(id wigeonstep.WorkerID) {
	f := m.workers[id]
	if f.down {
		return
	}
	f.crash(m)
	m.schedule(f.minRestart()+m.randomTime(time.Second), func() {
		if !f.down {
			return
		}
		f.restart(m)
		if m.random.IntN(5) < 2 {
			m.takenAddresses[f.listed.Address] = true
			f.listed.Address = fmt.Sprintf("%s:%d", id, m.now)
		}
		entry := f.listed
		m.schedule(m.randomTime(1500*time.Millisecond), func() { m.relist(entry) })
	})
}

// minRestart returns the shortest time between a crash and the restart of the worker. One that forgets ends to come takes
// longer than maxAckAge, which the owner relies on.
func (f *fakeWorker) minRestart() time.Duration {
	if f.forgetsAhead {
		return maxAckAge + 50*time.Millisecond
	}
	return 50 * time.Millisecond
}

// relist writes the entry of a worker, unless there is a newer one.
func (m *clusterModel) relist(entry wigeonstep.ListedWorker) {
	for i := range m.listed {
		if m.listed[i].ID == entry.ID && m.listed[i].StartedAt < entry.StartedAt {
			m.listed[i] = entry
		}
	}
	for _, o := range m.owners {
		m.deliver(o, func() { o.SetWorkers(m.eventTime(), m.listed) })
	}
}
