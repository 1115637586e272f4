package wigeonshard

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

var (
	firstFaultSeed = flag.Int("faults.first", 0, "the first seed of TestSeededFaults and TestSeededFaultsWithSmallRecords")
	faultSeeds     = flag.Int("faults.seeds", 0, "the number of seeds of each of these tests; 0 means the usual number")
)

// Guards against steps that never start or never end although no fault occurs.
func TestJobsCompleteWithoutFaults(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 1, 4)
	m.addOwner()
	for i := range 20 {
		m.submitJob(testJob(wigeonstep.JobID(fmt.Sprintf("job%02d", i)), testStep(4), testStep(3, 0)))
	}
	m.advance(20 * time.Second)
	c.Assert(m.violations, qt.HasLen, 0)
	c.Assert(m.unfinishedJobs(), qt.HasLen, 0)
}

// Guards against renewals that extend the lease of a worker that does not answer. Each unanswered heartbeat extended
// the lease, so the tasks of a crashed worker never restarted.
func TestTasksOfCrashedWorkerRestartElsewhere(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 2, 3)
	m.addOwner()
	longRunning := testStep(2)
	longRunning.LongRunning, longRunning.MaxPerWorker = true, 1
	m.submitJob(testJob("lasting", longRunning))
	m.advance(2 * time.Second)
	var busy wigeonstep.WorkerID
	for _, l := range m.listed {
		if len(m.workers[l.ID].runs) > 0 {
			busy = l.ID
		}
	}
	m.crash(busy, false)
	m.advance(testSettings.Lease + 3*time.Second)
	c.Assert(m.violations, qt.HasLen, 0)
	for i := range longRunning.Count {
		c.Assert(m.liveRuns[wigeonstep.TaskID{Job: "lasting", Index: i}], qt.Equals, 1)
	}
}

// Guards against a wait for the end of leases that restarts with each owner. When owners changed every two seconds, none
// of them waited long enough to end the runs of a crashed worker.
func TestLeaseExpiryDespiteOwnerChanges(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 5, 3)
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
	m.advance(time.Second)
	for range 5 {
		m.owners[len(m.owners)-1].crashed = true
		m.addOwner()
		m.advance(2 * time.Second)
	}
	c.Assert(m.violations, qt.HasLen, 0)
	c.Assert(m.liveRuns[wigeonstep.TaskID{Job: "lasting"}], qt.Equals, 1)
}

// Guards against tasks that never restart because their worker is known only from the log. The worker was no longer listed
// when the new owner started, so no heartbeat was sent to it and its leases never counted as ended.
func TestRunsOfUnlistedWorkerExpire(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 6, 3)
	m.addOwner()
	longRunning := testStep(1)
	longRunning.LongRunning = true
	m.submitJob(testJob("lasting", longRunning))
	m.advance(2 * time.Second)
	for i, l := range m.listed {
		if len(m.workers[l.ID].runs) > 0 {
			m.crash(l.ID, false)
			m.listed = slices.Delete(m.listed, i, i+1)
			break
		}
	}
	m.owners[0].crashed = true
	m.advance(time.Second)
	m.addOwner()
	m.advance(testSettings.ConfirmLimit + testSettings.Lease + 2*time.Second)
	c.Assert(m.violations, qt.HasLen, 0)
	c.Assert(m.liveRuns[wigeonstep.TaskID{Job: "lasting"}], qt.Equals, 1)
}

// Guards against a lapse that stays in the owner record after the worker has returned. The worker was unlisted for a while
// and removed from memory, was listed again and got runs, and the next owner ended these runs because the record still
// held the lapse.
func TestLapseOfReturnedWorkerIsRemoved(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 7, 1)
	o := m.addOwner()
	longRunning := testStep(1)
	longRunning.LongRunning = true
	m.submitJob(testJob("lasting", longRunning))
	m.advance(2 * time.Second)
	o.unreachable["w00"] = true
	listed := m.listed
	m.advance(testSettings.Lease + 3*time.Second)
	o.SetWorkers(m.eventTime(), nil)
	m.advance(time.Second)
	o.unreachable["w00"] = false
	o.SetWorkers(m.eventTime(), listed)
	m.advance(2 * time.Second)
	task := wigeonstep.TaskID{Job: "lasting"}
	c.Assert(m.liveRuns[task], qt.Equals, 1)
	c.Assert(m.log.Owner.Lapses, qt.HasLen, 0)
	m.advance(5 * time.Second)
	m.owners[0].crashed = true
	m.addOwner()
	m.advance(3 * time.Second)
	c.Assert(m.violations, qt.HasLen, 0)
	c.Assert(m.liveRuns[task], qt.Equals, 1)
}

// Guards against a second execution of an ended job. The job was submitted twice, and its second record was read together
// with progress from before the end.
func TestAddJobIgnoresEndedJob(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 8, 2)
	o := m.addOwner()
	job := testJob("twice", testStep(2))
	m.submitJob(job)
	m.advance(100 * time.Millisecond)
	stale := m.log.Find("twice").Progress
	c.Assert(stale.State, qt.Equals, wigeonjob.StateRunning)
	m.advance(3 * time.Second)
	c.Assert(m.log.Find("twice").State(), qt.Equals, wigeonjob.StateCompleted)
	o.AddJob(m.eventTime(), job, stale, false)
	m.advance(3 * time.Second)
	c.Assert(m.violations, qt.HasLen, 0)
	state, known := o.JobState("twice")
	c.Assert(known, qt.IsTrue)
	c.Assert(state, qt.Equals, wigeonjob.StateCompleted)
}

// Guards against a second execution of jobs that ended under an earlier owner. When the log no longer holds an offset, the
// owner's process reads all records again, and the records of jobs come before those of their progress.
func TestAddJobIgnoresJobEndedUnderEarlierOwner(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 8, 2)
	m.addOwner()
	job := testJob("earlier", testStep(2))
	m.submitJob(job)
	m.advance(3 * time.Second)
	c.Assert(m.log.Find("earlier").State(), qt.Equals, wigeonjob.StateCompleted)
	next := m.addOwner()
	next.AddJob(m.eventTime(), job, wigeonjob.Progress{}, false)
	m.advance(3 * time.Second)
	c.Assert(m.violations, qt.HasLen, 0)
	state, known := next.JobState("earlier")
	c.Assert(known, qt.IsTrue)
	c.Assert(state, qt.Equals, wigeonjob.StateCompleted)
}

// Guards against maintenance that adds to the effect of a failure: while the worker of one task does not answer, no other
// task of the step may be stopped for maintenance.
func TestNoTaskIsMovedWhileAnotherIsUnavailable(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 9, 5)
	o := m.addOwner()
	longRunning := testStep(3)
	longRunning.LongRunning, longRunning.MaxPerWorker, longRunning.MaxUnavailable = true, 1, 1
	m.submitJob(testJob("lasting", longRunning))
	m.advance(2 * time.Second)
	var busy []wigeonstep.WorkerID
	for _, l := range m.listed {
		if len(m.workers[l.ID].runs) > 0 {
			busy = append(busy, l.ID)
		}
	}
	m.crash(busy[0], false)
	m.advance(time.Second)
	m.cordons[busy[1]] = "vm"
	o.SetCordons(m.cordons)
	for range 40 {
		m.advance(50 * time.Millisecond)
		c.Assert(m.workers[busy[1]].runs, qt.HasLen, 1)
	}
	m.advance(testSettings.Lease + 2*time.Second)
	c.Assert(m.workers[busy[1]].runs, qt.HasLen, 0)
	for i := range 3 {
		c.Assert(m.liveRuns[wigeonstep.TaskID{Job: "lasting", Index: i}], qt.Equals, 1)
	}
}

// Guards against a log that grows without limit because ended jobs stay in it, and against the removal of running jobs.
func TestEndedJobsAreDropped(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 10, 2)
	o := m.addOwner()
	longRunning := testStep(1)
	longRunning.LongRunning = true
	m.submitJob(testJob("ended", testStep(2)))
	m.submitJob(testJob("lasting", longRunning))
	m.advance(3 * time.Second)
	expired := m.log.Expired(m.eventTime().Wall, 10)
	c.Assert(expired, qt.DeepEquals, []wigeonstep.JobID{"ended"})
	o.DropEndedJobs(append(expired, "lasting"))
	m.advance(time.Second)
	c.Assert(m.log.Find("ended"), qt.IsNil)
	c.Assert(m.log.Jobs(), qt.HasLen, 1)
	_, known := o.JobState("ended")
	c.Assert(known, qt.IsFalse)
	c.Assert(m.liveRuns[wigeonstep.TaskID{Job: "lasting"}], qt.Equals, 1)
}

// Guards against tasks that run twice at the same time, are lost, or start after their end was acknowledged, while owners
// replace each other, calls are lost or delayed, workers crash and restart, and the log is unavailable.
func TestSeededFaults(t *testing.T) {
	t.Parallel()
	playSeededFaults(t, testSettings)
}

// Guards against the same when the progress of a job is in several records, which go out with several appends.
func TestSeededFaultsWithSmallRecords(t *testing.T) {
	t.Parallel()
	settings := testSettings
	settings.TasksPerRecord, settings.FlushBytes = 2, 100
	playSeededFaults(t, settings)
}

func playSeededFaults(t *testing.T, settings Settings) {
	t.Helper()
	seeds := *faultSeeds
	switch {
	case seeds > 0:
	case testing.Short():
		seeds = 20
	default:
		seeds = 150
	}
	for seed := *firstFaultSeed; seed < *firstFaultSeed+seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			m := newClusterModel(t, uint64(seed), 6) //nolint:gosec // seeds are small
			m.settings = settings
			m.lostAnswerRate, m.lateCallRate = 0.03, 0.02
			m.addOwner()
			for i := range 40 {
				job := testJob(wigeonstep.JobID(fmt.Sprintf("job%02d", i)), testStep(1+m.random.IntN(6)), testStep(1+m.random.IntN(3), 0))
				m.schedule(time.Duration(m.random.IntN(15_000))*time.Millisecond, func() { m.submitJob(job) })
				if m.random.IntN(8) == 0 {
					m.schedule(time.Duration(m.random.IntN(20_000))*time.Millisecond, func() {
						if m.log.Find(job.ID) != nil {
							m.cancelJob(job.ID)
						}
					})
				}
			}
			for range 6 {
				m.schedule(time.Duration(m.random.IntN(20_000))*time.Millisecond, func() { m.injectFault() })
			}
			m.advance(22 * time.Second)
			m.endFaults()
			m.advance(60 * time.Second)
			c.Assert(m.violations, qt.HasLen, 0)
			c.Assert(m.unfinishedJobs(), qt.HasLen, 0)
		})
	}
}

// injectFault causes one fault, chosen at random, in the newest owner, a worker or the log.
func (m *clusterModel) injectFault() {
	id := m.listed[m.random.IntN(len(m.listed))].ID
	newest := m.owners[len(m.owners)-1]
	switch m.random.IntN(6) {
	case 0:
		newest.crashed = true
		m.schedule(time.Second, func() { m.addOwner() })
	case 1:
		// The previous owner loses its connection to the log and continues to run.
		newest.logUnreachable = true
		m.addOwner()
	case 2:
		m.crash(id, true)
	case 3:
		newest.unreachable[id] = true
		m.schedule(8*time.Second, func() { newest.unreachable[id] = false })
	case 4:
		m.logDown = true
		m.schedule(4*time.Second, func() { m.logDown = false })
	case 5:
		// A new owner starts while the previous one still reaches the log and all workers.
		m.addOwner()
	}
}

// endFaults ends all injected faults and makes sure that there is a live owner.
func (m *clusterModel) endFaults() {
	m.lostAnswerRate, m.lateCallRate, m.logDown = 0, 0, false
	for _, o := range m.owners {
		o.unreachable = map[wigeonstep.WorkerID]bool{}
		o.logUnreachable = false
	}
	if m.owners[len(m.owners)-1].crashed {
		m.addOwner()
	}
}

// Guards against a job that always fails and occupies its workers for ever.
func TestFailingJobEndsAfterItsAttempts(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 3, 2)
	starts := 0
	m.outcome = func(wigeonstep.RunID) (time.Duration, wigeonstep.EndCause) {
		starts++
		return 100 * time.Millisecond, wigeonstep.EndFailed
	}
	m.addOwner()
	m.submitJob(testJob("failing", testStep(1)))
	m.advance(10 * time.Second)
	c.Assert(starts, qt.Equals, 4)
	c.Assert(m.log.Find("failing").State(), qt.Equals, wigeonjob.StateFailed)
}

// Guards against maintenance that interrupts work: a worker may be released only when it has no run, and long-running
// tasks have to move one at a time.
func TestCordonedWorkerIsEmptiedWithinBudget(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 4, 5)
	o := m.addOwner()
	longRunning := testStep(3)
	longRunning.LongRunning, longRunning.MaxPerWorker, longRunning.MaxUnavailable = true, 1, 1
	m.submitJob(testJob("lasting", longRunning))
	m.advance(2 * time.Second)
	for _, l := range m.listed {
		if len(m.workers[l.ID].runs) > 0 {
			m.cordons[l.ID] = wigeonstep.VMID("vm-" + string(l.ID))
			if len(m.cordons) == 2 {
				break
			}
		}
	}
	o.SetCordons(m.cordons)
	fewest := 3
	for range 300 {
		m.advance(10 * time.Millisecond)
		running := 0
		for i := range 3 {
			running += m.liveRuns[wigeonstep.TaskID{Job: "lasting", Index: i}]
		}
		fewest = min(fewest, running)
	}
	c.Assert(m.violations, qt.HasLen, 0)
	c.Assert(fewest, qt.Equals, 2)
	for id := range m.cordons {
		c.Assert(m.workers[id].runs, qt.HasLen, 0)
		c.Assert(m.log.Releases[id].Worker, qt.Equals, id)
	}
}

// Guards against a wrong or missing reason when an operator asks why a job waits.
func TestExplain(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 4, 1)
	o := m.addOwner()
	wide, after := testStep(2), testStep(1)
	after.After = []int{0}
	huge := testStep(1)
	huge.Required.CPU = 1 << 20
	chained := testJob("chain", wide, after)
	chained.Accepted = m.eventTime().Wall
	m.submitJob(chained)
	m.submitJob(testJob("huge", huge))
	m.advance(100 * time.Millisecond)
	_, known := o.Explain(m.eventTime(), "other")
	c.Assert(known, qt.IsFalse)
	chain, known := o.Explain(m.eventTime(), "chain")
	c.Assert(known, qt.IsTrue)
	c.Assert(chain, qt.Equals, wigeonstep.ObjectStatus{
		Kind: "job", Subject: "chain", WaitsFor: "step 0.1: the steps before it",
		State: "running, service bake, accepted 100ms ago, step 0.0: 0 of 2 tasks done, 2 runs, step 0.1: 0 of 1 tasks done, 0 runs",
	})
	unplaceable, _ := o.Explain(m.eventTime(), "huge")
	c.Assert(unplaceable.WaitsFor, qt.Equals, "step 0.0: room for 1 tasks of 1048576 millicores and 1000 MB: none of 1 usable workers has any")
	m.advance(3 * time.Second)
	chain, _ = o.Explain(m.eventTime(), "chain")
	c.Assert(chain.State, qt.Equals, "completed")
}

// Guards against a log and memory that grow with each move of a VM. An owner must remove the release of a worker that it has
// found absent for releaseRetention, also when it has taken the release over from an earlier owner. The release of a listed
// worker must stay.
func TestReleasesOfRemovedWorkersExpire(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 4, 3)
	o := m.addOwner()
	m.advance(time.Second)
	unlisted, listed := m.listed[0].ID, m.listed[1].ID
	m.cordons[unlisted], m.cordons[listed] = "vm-gone", "vm-there"
	o.SetCordons(m.cordons)
	m.advance(time.Second)
	c.Assert(m.log.Releases, qt.HasLen, 2)
	m.listed = m.listed[1:]
	o.SetWorkers(m.eventTime(), m.listed)
	m.advance(time.Minute)
	c.Assert(m.log.Releases, qt.HasLen, 2)
	// The new owner counts releaseRetention from its own first sweep.
	m.addOwner()
	m.advance(3 * time.Minute)
	c.Assert(m.violations, qt.HasLen, 0)
	c.Assert(m.log.Releases, qt.HasLen, 1)
	c.Assert(m.log.Releases[listed].Worker, qt.Equals, listed)
}
