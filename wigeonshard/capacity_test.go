package wigeonshard

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// Guards against a start that exceeds the capacity of a worker that has shrunk since the run was planned: its record was not
// durable before, because the log was down.
func TestPlannedRunIsWithdrawnFromShrunkWorker(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 1, 2)
	m.heartbeatsWait, m.groupConfirms = true, true
	m.addOwner()
	m.advance(time.Second)
	m.logDown = true
	m.submitJob(testJob("job", testStep(4)))
	m.advance(20 * time.Millisecond)
	for _, l := range m.listed {
		m.resize(l.ID, wigeonstep.Resources{CPU: 3000, Memory: 8192})
	}
	m.advance(5500 * time.Millisecond)
	m.logDown = false
	m.advance(10 * time.Second)
	c.Assert(m.violations, qt.HasLen, 0)
	c.Assert(m.unfinishedJobs(), qt.HasLen, 0)
}

// Guards against a start that is repeated on a worker that has shrunk since the first one, which got no answer.
func TestStartIsNotRepeatedOnShrunkWorker(t *testing.T) {
	f := newLapseFixture(t)
	f.submit()
	f.advance(placeInterval)
	f.acknowledge()
	f.Assert(f.starts, qt.HasLen, 1)
	f.owner.StartAnswered(f.now, f.starts[0], wigeonstep.StartResult{Verdict: wigeonstep.StartUnknown})
	f.owner.SetWorkers(f.now, []wigeonstep.ListedWorker{{ID: "w", Address: "w:1", Service: testService, Capacity: wigeonstep.Resources{CPU: 1000, Memory: 8192}}})
	f.advance(startRetryDelay)
	f.answer()
	f.advance(startRetryDelay)
	f.Assert(f.starts, qt.HasLen, 1)
	f.Assert(f.owner.workers["w"].runs[0].stopping, qt.IsTrue)
}

// Guards against room that is kept for a long-running task on a worker that has shrunk, while other workers have room.
func TestHoldOnShrunkWorkerIsDropped(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 2, 2)
	m.heartbeatsWait, m.groupConfirms = true, true
	o := m.addOwner()
	m.outcome = func(wigeonstep.RunID) (time.Duration, wigeonstep.EndCause) {
		return 8 * time.Second, wigeonstep.EndDone
	}
	finite := testStep(8)
	m.submitJob(testJob("finite", finite))
	m.advance(time.Second)
	longRunning := testStep(1)
	longRunning.LongRunning, longRunning.Required.CPU = true, 6000
	m.submitJob(testJob("lasting", longRunning))
	m.advance(time.Second)
	hold := o.jobs["lasting"].occurrences[0].steps[0].tasks[0].hold
	c.Assert(hold, qt.IsNotNil)
	m.resize(hold.worker.ID, wigeonstep.Resources{CPU: 4000, Memory: 8192})
	m.advance(2 * time.Second)
	next := o.jobs["lasting"].occurrences[0].steps[0].tasks[0].hold
	c.Assert(next, qt.IsNotNil)
	c.Assert(next.worker.ID, qt.Not(qt.Equals), hold.worker.ID)
	m.advance(10 * time.Second)
	c.Assert(m.violations, qt.HasLen, 0)
	c.Assert(m.liveRuns[wigeonstep.TaskID{Job: "lasting"}], qt.Equals, 1)
}

// Guards against starts that exceed the capacity of workers that shrink and grow, and against jobs that never run because of it,
// while the log is slow or down and owners replace each other.
func TestSeededCapacityChanges(t *testing.T) {
	seeds := 40
	if testing.Short() {
		seeds = 10
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			m := newClusterModel(t, uint64(seed), 6)
			m.heartbeatsWait, m.vmList, m.groupConfirms, m.slowAppends = true, true, true, seed%2 == 1
			if seed%3 == 1 {
				m.lostAnswerRate, m.lateCallRate = 0.05, 0.02
			}
			m.addOwner()
			full := m.listed[0].Capacity
			for range 20 {
				id := m.listed[m.random.IntN(len(m.listed))].ID
				share := wigeonstep.MilliCPU(m.random.IntN(100))
				m.schedule(time.Duration(m.random.IntN(20_000))*time.Millisecond, func() {
					m.resize(id, wigeonstep.Resources{CPU: full.CPU * share / 100, Memory: full.Memory})
				})
			}
			m.submitSeededJobs(25)
			m.crashingTasks = map[wigeonstep.TaskID]time.Duration{}
			for range 3 {
				m.schedule(time.Duration(m.random.IntN(20_000))*time.Millisecond, func() { m.injectFault() })
			}
			m.advance(22 * time.Second)
			m.endFaults()
			for _, l := range m.listed {
				m.resize(l.ID, full)
			}
			m.advance(90 * time.Second)
			c.Assert(m.violations, qt.HasLen, 0)
			for id, e := range m.log.Jobs() {
				if !e.Job.LongRunning() && m.mostCrashes(id) < 2 {
					c.Check(e.State(), qt.Equals, wigeonjob.StateCompleted, qt.Commentf("job %s: %s", id, e.Progress.Cause))
				}
			}
		})
	}
}
