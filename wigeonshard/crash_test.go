package wigeonshard

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// submitNeighbours submits n jobs of four tasks each, one every 50 ms.
func (m *clusterModel) submitNeighbours(n int) {
	for i := range n {
		job := testJob(wigeonstep.JobID(fmt.Sprintf("neighbour%02d", i)), testStep(4))
		m.schedule(time.Duration(i)*50*time.Millisecond, func() { m.submitJob(job) })
	}
}

// assertNeighboursComplete requires that the jobs of submitNeighbours have completed.
func (m *clusterModel) assertNeighboursComplete(c *qt.C) {
	c.Helper()
	for id, e := range m.log.Jobs() {
		if !m.jobCrashes(id) {
			c.Check(e.State(), qt.Equals, wigeonjob.StateCompleted, qt.Commentf("job %s: %s", id, e.Progress.Cause))
		}
	}
}

// Guards against a task that crashes each worker that starts it and is started again without end.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 1, 6)
	m.heartbeatsWait = true
	m.addOwner()
	m.crashingTasks[wigeonstep.TaskID{Job: "crashing"}] = 10 * time.Millisecond
	m.submitNeighbours(20)
	m.advance(300 * time.Millisecond)
	m.submitJob(testJob("crashing", testStep(3)))
	m.advance(40 * time.Second)
	c.Assert(m.violations, qt.HasLen, 0)
	c.Assert(m.log.Find("crashing").State(), qt.Equals, wigeonjob.StateFailed)
	m.assertNeighboursComplete(c)
}

// Guards against second copies that start while the crash under the first one has not been judged.
func TestCopiesOfTaskThatCrashesWorkersAreLimited(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 2, 6)
	m.heartbeatsWait = true
	m.addOwner()
	m.crashingTasks[wigeonstep.TaskID{Job: "crashing"}] = 10 * time.Millisecond
	speculative := testStep(3)
	speculative.Speculative = true
	m.submitNeighbours(20)
	m.submitJob(testJob("crashing", speculative))
	m.advance(40 * time.Second)
	c.Assert(m.violations, qt.HasLen, 0)
	c.Assert(m.log.Find("crashing").State(), qt.Equals, wigeonjob.StateFailed)
	m.assertNeighboursComplete(c)
}

// Guards against a count of crashes that ends with its owner: a new owner comes after each crash.
func TestCrashesAreCountedAcrossOwners(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 3, 6)
	m.heartbeatsWait = true
	m.addOwner()
	task := wigeonstep.TaskID{Job: "crashing"}
	m.crashingTasks[task] = 10 * time.Millisecond
	m.submitJob(testJob("crashing", testStep(1)))
	m.submitNeighbours(20)
	for range 6 {
		before := m.crashes[task]
		for range 200 {
			m.advance(100 * time.Millisecond)
			if m.crashes[task] > before {
				break
			}
		}
		m.owners[len(m.owners)-1].crashed = true
		m.advance(500 * time.Millisecond)
		m.addOwner()
	}
	m.advance(40 * time.Second)
	c.Assert(m.violations, qt.HasLen, 0)
	c.Assert(m.log.Find("crashing").State(), qt.Equals, wigeonjob.StateFailed)
	m.assertNeighboursComplete(c)
}

// Guards against a gang that crashes worker after worker: each of its runs takes one down, and the other members end with it.
func TestGangThatCrashesWorkersIsGivenUp(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 5, 8)
	m.heartbeatsWait, m.vmList, m.groupConfirms = true, true, true
	m.addOwner()
	m.outcome = func(wigeonstep.RunID) (time.Duration, wigeonstep.EndCause) {
		return 2 * time.Second, wigeonstep.EndDone
	}
	task := wigeonstep.TaskID{Job: "crashing", Index: 2}
	m.crashingTasks[task] = 10 * time.Millisecond
	gang := testStep(4)
	gang.Gang, gang.MaxPerWorker = true, 1
	m.submitJob(testJob("crashing", gang))
	m.advance(40 * time.Second)
	c.Assert(m.violations, qt.HasLen, 0)
	c.Assert(m.crashes[task], qt.Equals, 2)
	c.Assert(m.log.Find("crashing").State(), qt.Equals, wigeonjob.StateFailed)
}

// Guards against a long-running task that is restarted without end although it crashes its workers, and against a long-running
// neighbour that is given up with it.
func TestLongRunningTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 6, 6)
	m.heartbeatsWait, m.vmList, m.groupConfirms = true, true, true
	m.addOwner()
	task := wigeonstep.TaskID{Job: "crashing", Index: 1}
	m.crashingTasks[task] = 15 * time.Millisecond
	longRunning := testStep(3)
	longRunning.LongRunning = true
	m.submitJob(testJob("neighbour", longRunning))
	m.advance(time.Second)
	m.submitJob(testJob("crashing", longRunning))
	m.advance(40 * time.Second)
	c.Assert(m.violations, qt.HasLen, 0)
	c.Assert(m.crashes[task], qt.Equals, 2)
	c.Assert(m.log.Find("crashing").State().ForClients(), qt.Equals, wigeonjob.StateFailed)
	c.Assert(m.log.Find("neighbour").State(), qt.Equals, wigeonjob.StateRunning)
	for i := range longRunning.Count {
		c.Assert(m.liveRuns[wigeonstep.TaskID{Job: "neighbour", Index: i}], qt.Equals, 1)
	}
}

// Guards against sound tasks of a long-running job that are all stopped because another task of the job crashes its workers. They
// run on under the next owner too, until the job is cancelled.
func TestSoundTasksOfDegradedJobRunOn(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 6, 6)
	m.heartbeatsWait, m.vmList, m.groupConfirms = true, true, true
	m.addOwner()
	m.crashingTasks[wigeonstep.TaskID{Job: "crashing", Index: 1}] = 15 * time.Millisecond
	longRunning := testStep(3)
	longRunning.LongRunning = true
	m.submitJob(testJob("crashing", longRunning))
	assertState := func(state wigeonjob.State, runs int) {
		c.Helper()
		c.Assert(m.violations, qt.HasLen, 0)
		c.Assert(m.log.Find("crashing").State(), qt.Equals, state)
		for i := range longRunning.Count {
			want := runs
			if i == 1 {
				want = 0
			}
			c.Assert(m.liveRuns[wigeonstep.TaskID{Job: "crashing", Index: i}], qt.Equals, want)
		}
	}
	m.advance(40 * time.Second)
	assertState(wigeonjob.StateDegraded, 1)
	m.owners[len(m.owners)-1].crashed = true
	m.addOwner()
	m.advance(20 * time.Second)
	assertState(wigeonjob.StateDegraded, 1)
	m.cancelJob("crashing")
	m.advance(10 * time.Second)
	assertState(wigeonjob.StateCancelled, 0)
}

// Guards against innocent tasks that are put on one worker with the one that may have crashed their former worker.
func TestSuspectStartsAlone(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 7, 6)
	m.heartbeatsWait, m.vmList, m.groupConfirms = true, true, true
	m.addOwner()
	task := wigeonstep.TaskID{Job: "crashing"}
	m.crashingTasks[task] = 10 * time.Millisecond
	m.submitJob(testJob("neighbour", testStep(3)))
	m.submitJob(testJob("crashing", testStep(1)))
	m.advance(40 * time.Second)
	c.Assert(m.violations, qt.HasLen, 0)
	c.Assert(m.crashes[task], qt.Equals, 2)
	for i := range 3 {
		c.Assert(m.crashes[wigeonstep.TaskID{Job: "neighbour", Index: i}] <= 1, qt.IsTrue)
	}
	m.assertNeighboursComplete(c)
}

// Guards against an on-call engineer who can't tell from a job's id why it was given up and on which workers it ran.
func TestExplainNamesCrashedWorkers(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 8, 6)
	m.heartbeatsWait, m.vmList, m.groupConfirms = true, true, true
	o := m.addOwner()
	m.crashingTasks[wigeonstep.TaskID{Job: "crashing"}] = 10 * time.Millisecond
	m.submitJob(testJob("crashing", testStep(1)))
	explain := func(o *fakeOwner) wigeonstep.ObjectStatus {
		status, known := o.Explain(m.eventTime(), "crashing")
		c.Assert(known, qt.IsTrue)
		return status
	}
	for m.crashes[wigeonstep.TaskID{Job: "crashing"}] == 0 || explain(o).WaitsFor == "" {
		m.advance(time.Millisecond)
	}
	c.Assert(explain(o).WaitsFor, qt.Matches, `step 0.0: a worker of its own for task 0.0.0, which may have crashed others: w00 under run 1 .*`)
	m.advance(20 * time.Second)
	const cause = `failed, because task 0.0.0 crashed its workers: w00 under run 1 \(\d+ms old, confirmed\), w0\d under run 2 \(\d+ms old, confirmed\)`
	c.Assert(explain(o).State, qt.Matches, cause)
	c.Assert(explain(m.addOwner()).State, qt.Matches, cause)
	m.advance(2 * sweepInterval)
	c.Assert(o.crashedTasks, qt.HasLen, 0)
}

// Guards against a start that waits for a worker, or is held up on its way, until its task has been given up: it must not leave.
func TestWaitingStartOfGivenUpTaskIsWithdrawn(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 9, 6)
	m.heartbeatsWait, m.vmList, m.groupConfirms = true, true, true
	o := m.addOwner()
	task := wigeonstep.TaskID{Job: "crashing"}
	m.crashingTasks[task] = 10 * time.Millisecond
	m.submitJob(testJob("crashing", testStep(1)))
	m.advance(60 * time.Millisecond)
	for m.crashes[task] < 2 {
		m.advance(time.Millisecond)
	}
	// The record of the end can't be written before the second crash is judged.
	m.logDown = true
	m.advance(3 * time.Second)
	c.Assert(o.jobs["crashing"].state, qt.Equals, wigeonjob.StateFailed)
	m.logDown = false
	m.advance(10 * time.Second)
	c.Assert(m.crashes[task], qt.Equals, 2)
	c.Assert(m.violations, qt.HasLen, 0)
	c.Assert(m.log.Find("crashing").State(), qt.Equals, wigeonjob.StateFailed)
}

// Guards against a suspected task that never runs where only one worker is left, which is kept for it while its other runs are young
// and so accepts nothing.
func TestSuspectRunsOnTheOnlyWorker(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 10, 2)
	m.heartbeatsWait, m.vmList, m.groupConfirms = true, true, true
	m.addOwner()
	m.submitJob(testJob("first", testStep(4)))
	m.submitJob(testJob("second", testStep(2)))
	m.submitNeighbours(40)
	m.advance(25 * time.Millisecond)
	m.crash("w00", false)
	m.advance(60 * time.Second)
	c.Assert(m.violations, qt.HasLen, 0)
	c.Assert(m.unfinishedJobs(), qt.HasLen, 0)
}

// Guards against tasks that crash their workers without limit, and against innocent tasks that are given up or never run, while
// owners replace each other, workers crash by themselves or are cut off, calls are lost or late, and the log is unavailable.
func TestSeededCrashingTasks(t *testing.T) {
	t.Parallel()
	seeds := 40
	if testing.Short() {
		seeds = 20
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			m := newClusterModel(t, uint64(seed), 9)
			m.heartbeatsWait, m.vmList, m.groupConfirms = true, seed%3 > 0, true
			if seed%2 == 1 {
				m.lostAnswerRate, m.lateCallRate = 0.02, 0.02
			}
			if seed%5 == 2 {
				m.lateAnswerRate = 0.05
			}
			m.addOwner()
			m.submitSeededJobs(40)
			for range 5 {
				m.schedule(time.Duration(m.random.IntN(20_000))*time.Millisecond, func() { m.injectFault() })
			}
			m.advance(22 * time.Second)
			m.endFaults()
			m.advance(120 * time.Second)
			c.Assert(m.violations, qt.HasLen, 0)
			for id, e := range m.log.Jobs() {
				switch {
				case m.jobCrashes(id):
					c.Check(e.State().ForClients(), qt.Equals, wigeonjob.StateFailed, qt.Commentf("job %s: %v", id, m.crashingHistory(id)))
				case e.Job.LongRunning():
					c.Check(e.State(), qt.Equals, wigeonjob.StateRunning, qt.Commentf("job %s", id))
				case m.mostCrashes(id) < 2:
					c.Check(e.State(), qt.Equals, wigeonjob.StateCompleted, qt.Commentf("job %s: %s", id, e.Progress.Cause))
				}
			}
		})
	}
}

// submitSeededJobs submits n jobs of different kinds within 15 s. Some of them hold a task that crashes its workers.
func (m *clusterModel) submitSeededJobs(n int) {
	for i := range n {
		s := testStep(1 + m.random.IntN(5))
		s.Required.CPU = 900
		switch m.random.IntN(4) {
		case 0:
			s.Speculative = true
		case 1:
			s.LongRunning = true
		}
		job := testJob(wigeonstep.JobID(fmt.Sprintf("job%02d", i)), s)
		if m.random.IntN(8) == 0 {
			crashAge := time.Duration(5+m.random.IntN(30)) * time.Millisecond
			m.crashingTasks[wigeonstep.TaskID{Job: job.ID, Index: m.random.IntN(s.Count)}] = crashAge
		}
		m.schedule(time.Duration(m.random.IntN(15_000))*time.Millisecond, func() { m.submitJob(job) })
	}
}

// jobCrashes reports whether a task of the job crashes its workers.
func (m *clusterModel) jobCrashes(id wigeonstep.JobID) bool {
	return len(m.crashingHistory(id)) > 0
}

// mostCrashes returns the largest number of workers that crashed under one task of the job. A task under which two workers have
// crashed may be given up.
func (m *clusterModel) mostCrashes(id wigeonstep.JobID) int {
	most := 0
	for task, n := range m.crashes {
		if task.Job == id {
			most = max(most, n)
		}
	}
	return most
}

// crashingHistory returns the history of the tasks of the job that crash their workers.
func (m *clusterModel) crashingHistory(id wigeonstep.JobID) map[wigeonstep.TaskID][]string {
	histories := map[wigeonstep.TaskID][]string{}
	for task := range m.crashingTasks {
		if task.Job == id {
			histories[task] = m.history[task]
		}
	}
	return histories
}
