package wigeonshard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
)

// Guards against runs that wait for the end of their leases although the VM list shows that their worker has ended.
func TestRunsOfEndedWorkerRestartAtOnce(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 2, 3)
	m.heartbeatsWait, m.vmList = true, true
	m.addOwner()
	longRunning := testStep(2)
	longRunning.LongRunning, longRunning.MaxPerWorker = true, 1
	m.submitJob(testJob("lasting", longRunning))
	m.advance(2 * time.Second)
	for _, l := range m.listed {
		if len(m.workers[l.ID].runs) > 0 {
			m.crash(l.ID, false)
			break
		}
	}
	m.advance(time.Second)
	c.Assert(m.violations, qt.HasLen, 0)
	for i := range longRunning.Count {
		c.Assert(m.liveRuns[wigeonstep.TaskID{Job: "lasting", Index: i}], qt.Equals, 1)
	}
}

// Guards against runs that wait for the limit of the former owner and the end of their leases, although the VM list shows that their
// worker has ended: it crashed as the owner changed, so it has never answered the new one.
func TestRunsOfWorkerThatEndedWithItsOwnerRestartAtOnce(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 2, 3)
	m.heartbeatsWait, m.vmList = true, true
	m.addOwner()
	longRunning := testStep(1)
	longRunning.LongRunning = true
	m.submitJob(testJob("lasting", longRunning))
	m.advance(2 * time.Second)
	for _, l := range m.listed {
		if len(m.workers[l.ID].runs) > 0 {
			m.crash(l.ID, false)
		}
	}
	m.owners[0].crashed = true
	m.addOwner()
	m.advance(2 * time.Second)
	c.Assert(m.violations, qt.HasLen, 0)
	c.Assert(m.liveRuns[wigeonstep.TaskID{Job: "lasting"}], qt.Equals, 1)
}

// Guards against a VM list that is applied to a later loss of the worker: its process has restarted since, and runs there.
func TestVMListOfEarlierLossIsIgnored(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 3, 1)
	o := m.addOwner()
	longRunning := testStep(1)
	longRunning.LongRunning = true
	m.submitJob(testJob("lasting", longRunning))
	m.advance(2 * time.Second)
	m.crash("w00", true)
	m.advance(time.Second)
	earlier := o.LostWorkers()
	c.Assert(earlier, qt.HasLen, 1)
	m.advance(4 * time.Second)
	task := wigeonstep.TaskID{Job: "lasting"}
	c.Assert(m.liveRuns[task], qt.Equals, 1)

	o.unreachable["w00"] = true
	m.advance(time.Second)
	c.Assert(o.LostWorkers(), qt.HasLen, 1)
	o.WorkerEnded(m.eventTime(), earlier[0])
	m.advance(500 * time.Millisecond)
	o.unreachable["w00"] = false
	m.advance(3 * time.Second)
	c.Assert(m.violations, qt.HasLen, 0)
	c.Assert(m.liveRuns[task], qt.Equals, 1)
	c.Assert(o.jobs["lasting"].occurrences[0].steps[0].tasks[0].lastRun, qt.Equals, wigeonstep.RunNumber(2))
}

// Guards against a task that is suspected because its worker was unreachable until its lease had ended.
func TestUnreachableWorkerRaisesNoSuspicion(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 4, 3)
	m.heartbeatsWait, m.vmList, m.groupConfirms = true, true, true
	o := m.addOwner()
	m.outcome = func(wigeonstep.RunID) (time.Duration, wigeonstep.EndCause) {
		return 20 * time.Second, wigeonstep.EndDone
	}
	m.submitJob(testJob("job", testStep(1)))
	task := wigeonstep.TaskID{Job: "job"}
	for range 4 {
		for m.liveRuns[task] == 0 {
			m.advance(10 * time.Millisecond)
		}
		for _, l := range m.listed {
			o.unreachable[l.ID] = len(m.workers[l.ID].runs) > 0
		}
		m.advance(testSettings.Lease + 3*time.Second)
		c.Assert(o.jobs["job"].occurrences[0].steps[0].tasks[0].crashes, qt.HasLen, 0)
	}
	m.outcome = func(wigeonstep.RunID) (time.Duration, wigeonstep.EndCause) { return time.Second, wigeonstep.EndDone }
	o.unreachable = map[wigeonstep.WorkerID]bool{}
	m.advance(30 * time.Second)
	c.Assert(m.violations, qt.HasLen, 0)
	c.Assert(m.unfinishedJobs(), qt.HasLen, 0)
}

// Guards against a panic, which ends the ownership of all shards in the process, when several workers crash at once and none of
// their runs is young enough to have crashed them.
func TestOldRunsOfWorkersLostTogether(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 5, 4)
	m.heartbeatsWait, m.vmList = true, true
	m.addOwner()
	longRunning := testStep(4)
	longRunning.LongRunning, longRunning.MaxPerWorker = true, 1
	m.submitJob(testJob("lasting", longRunning))
	m.advance(2 * time.Second)
	for _, l := range m.listed[:commonLossWorkers] {
		c.Assert(m.workers[l.ID].runs, qt.HasLen, 1)
		m.crash(l.ID, true)
	}
	m.advance(3 * time.Second)
	c.Assert(m.violations, qt.HasLen, 0)
	for i := range longRunning.Count {
		c.Assert(m.liveRuns[wigeonstep.TaskID{Job: "lasting", Index: i}], qt.Equals, 1)
	}
}
