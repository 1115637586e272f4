package wigeonshard

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// Guards against runs that are given up while they go on, and tasks that run twice at the same time, when workers crash without a sign
// and are back under their ids before an owner or the list of workers shows it, get jobs at once and are cut off within a tenth of a
// second. Some restart twice in a row, and owners are replaced in between.
func TestSeededSilentRestartsAndCuts(t *testing.T) {
	t.Parallel()
	seeds := *cutSeeds
	switch {
	case seeds > 0:
	case testing.Short():
		seeds = 10
	default:
		seeds = 50
	}
	for seed := *firstCutSeed; seed < *firstCutSeed+seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			m := newClusterModel(t, uint64(seed), 6) //nolint:gosec // seeds are small
			m.settings.Lease, m.settings.MaxLease = 3200*time.Millisecond, []time.Duration{6 * time.Second, 10 * time.Second}[seed%2]
			m.lostAnswerRate, m.lateCallRate = 0.02, []float64{0, 0.33}[seed/2%2]
			m.heartbeatsWait, m.groupConfirms, m.silentFaults, m.vmList = true, true, true, seed/4%2 == 1
			m.outcome = func(wigeonstep.RunID) (time.Duration, wigeonstep.EndCause) {
				return 200*time.Millisecond + m.randomTime([]time.Duration{time.Second, 20 * time.Second, 20 * time.Second}[m.random.IntN(3)]), wigeonstep.EndDone
			}
			m.addOwner()
			for i := range 15 {
				job := testJob(wigeonstep.JobID(fmt.Sprintf("job%02d", i)), manyFitStep(1+m.random.IntN(4)), manyFitStep(1+m.random.IntN(3), 0))
				m.schedule(m.randomTime(20*time.Second), func() { m.submitJob(job) })
			}
			for i := range 12 {
				m.schedule(m.randomTime(25*time.Second), func() { m.restartSilently(i) })
			}
			m.advance(40 * time.Second)
			m.endFaults()
			m.advance(120 * time.Second)
			c.Assert(m.violations, qt.HasLen, 0)
			c.Assert(m.unfinishedJobs(), qt.HasLen, 0)
		})
	}
}

// manyFitStep returns a step of which a worker has room for 13 tasks, so that restarted workers get some.
func manyFitStep(count int, after ...int) wigeonjob.Step {
	s := testStep(count, after...)
	s.Required = wigeonstep.Resources{CPU: 600, Memory: 400}
	return s
}

// minSilentRestart is the shortest time from a silent crash until the worker is back: an owner relies on more than maxAckAge.
const minSilentRestart = maxAckAge + 10*time.Millisecond

// restartSilently restarts a worker under its id, submits jobs within 50 ms of its return and cuts it off, mostly soon after.
func (m *clusterModel) restartSilently(fault int) {
	id := m.listed[m.random.IntN(len(m.listed))].ID
	f := m.workers[id]
	if f.down || m.now < m.cutUntil[id] {
		return
	}
	f.crash(m)
	back := minSilentRestart + m.randomTime(600*time.Millisecond)
	m.returnUnlisted(f, back)
	for i := range 2 + m.random.IntN(3) {
		job := testJob(wigeonstep.JobID(fmt.Sprintf("late%02d-%d", fault, i)), manyFitStep(1+m.random.IntN(6)))
		m.schedule(back+m.randomTime(50*time.Millisecond), func() { m.submitJob(job) })
	}
	cut := back + 20*time.Millisecond + m.randomTime(80*time.Millisecond)
	if m.random.IntN(3) == 0 {
		cut = back + 200*time.Millisecond + m.randomTime(3*time.Second)
	}
	m.schedule(cut, func() { m.cutUntil[id] = m.now + 4*time.Second + m.randomTime(16*time.Second) })
	if m.random.IntN(3) == 0 {
		m.schedule(back+10*time.Millisecond+m.randomTime(time.Second), func() {
			if !f.down {
				f.crash(m)
				m.returnUnlisted(f, minSilentRestart+m.randomTime(600*time.Millisecond))
			}
		})
	}
	if m.random.IntN(3) == 0 {
		m.schedule(m.randomTime(cut+time.Second), m.replaceOwner)
	}
}

// returnUnlisted starts a crashed worker again under its id after d. The list of workers shows it 0.7 s later.
func (m *clusterModel) returnUnlisted(f *fakeWorker, d time.Duration) {
	m.schedule(d, func() {
		if !f.down {
			return
		}
		f.restart(m)
		entry := f.listed
		m.schedule(700*time.Millisecond, func() { m.relist(entry) })
	})
}

// replaceOwner starts a new owner, after the process of the newest one has ended or while it still acts.
func (m *clusterModel) replaceOwner() {
	if m.random.IntN(2) == 0 {
		m.owners[len(m.owners)-1].crashed = true
	}
	m.addOwner()
}
