package wigeonshard

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// tasksInMemory returns the number of tasks that the owner holds.
func (o *Owner) tasksInMemory() int {
	n := 0
	for _, j := range o.jobs {
		for _, occ := range j.occurrences {
			for _, s := range occ.steps {
				n += len(s.tasks)
			}
		}
	}
	return n
}

// overdueJob returns a scheduled job whose occurrences are all due.
func (m *clusterModel) overdueJob(id wigeonstep.JobID, repeats int, steps ...wigeonjob.Step) *wigeonjob.Job {
	job := testJob(id, steps...)
	job.Repeats, job.Interval = repeats, time.Second
	job.StartAt = m.eventTime().Wall - wigeonstep.UnixMillis(repeats)*1000
	return job
}

// watchMemory fails the test if an owner ever holds more tasks than the limit.
func (m *clusterModel) watchMemory(limit int) {
	for _, o := range m.owners {
		if n := o.tasksInMemory(); n > limit && !o.crashed {
			m.reportViolation("an owner holds %d tasks", n)
		}
	}
	m.schedule(10*time.Millisecond, func() { m.watchMemory(limit) })
}

// Guards against an owner that runs out of memory because a client submits one scheduled job whose start lies hours in the past, so
// that all its occurrences are due at once. Every owner of the shard ended like that, and no job behind it ran.
func TestOverdueScheduledJobDoesNotFillItsOwner(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	m := newClusterModel(t, 1, 20)
	o := m.addOwner()
	m.submitJob(m.overdueJob("overdue", 10_000, testStep(128)))
	c.Assert(o.tasksInMemory() <= defaultMaxOpenTasks, qt.IsTrue, qt.Commentf("%d tasks", o.tasksInMemory()))
	m.watchMemory(defaultMaxOpenTasks)
	for range 2 {
		for i := range 10 {
			m.submitJob(testJob(wigeonstep.JobID(fmt.Sprintf("usual%d-%d", m.epoch, i)), testStep(4)))
		}
		m.advance(3 * time.Second)
		m.addOwner()
	}
	m.advance(2 * time.Second)
	c.Assert(m.violations, qt.HasLen, 0)
	c.Assert(m.unfinishedJobs(), qt.DeepEquals, []string{"overdue running"})
}

// Guards against an owner that runs out of memory because many scheduled jobs are overdue together, as after a time in which the
// service had no owner, or because they are read from the log with a cancellation.
func TestManyOverdueJobsDoNotFillTheirOwner(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 2, 4)
	for i := range 400 {
		m.submitJob(m.overdueJob(wigeonstep.JobID(fmt.Sprintf("overdue%03d", i)), 10_000, largeStep(16)))
	}
	for i := range 200 {
		id := wigeonstep.JobID(fmt.Sprintf("cancelled%03d", i))
		m.submitJob(m.overdueJob(id, 10_000, largeStep(1000)))
		m.cancelJob(id)
	}
	o := m.addOwner()
	c.Assert(o.tasksInMemory() <= defaultMaxOpenTasks, qt.IsTrue, qt.Commentf("%d tasks", o.tasksInMemory()))
	m.watchMemory(defaultMaxOpenTasks)
	m.advance(4 * time.Second)
	c.Assert(m.violations, qt.HasLen, 0)
	// Every job has had a turn, and none waits behind the backlog of another.
	for id, e := range m.log.Jobs() {
		if !e.Cancelled {
			c.Assert(e.State(), qt.Equals, wigeonjob.StateRunning, qt.Commentf("job %s", id))
		}
	}
}

// Guards against occurrences that the limit on open tasks drops, repeats or leaves behind, also across changes of the owner. The
// model checks that no task runs twice.
func TestDeferredOccurrencesAllRunOnce(t *testing.T) {
	for seed := range uint64(20) {
		c := qt.New(t)
		m := newClusterModel(t, seed, 4)
		m.settings.MaxOpenTasks, m.settings.TasksPerRecord = 200, 2
		m.lostAnswerRate = 0.02
		m.addOwner()
		m.watchMemory(200)
		m.submitJob(m.overdueJob("first", 60, testStep(3), testStep(2, 0)))
		m.submitJob(m.overdueJob("second", 40, testStep(5)))
		ahead := testJob("ahead", testStep(2))
		ahead.Repeats, ahead.Interval, ahead.StartAt = 20, 500*time.Millisecond, m.eventTime().Wall+2000
		m.submitJob(ahead)
		for range 4 {
			m.advance(2 * time.Second)
			m.addOwner()
		}
		m.advance(60 * time.Second)
		c.Assert(m.violations, qt.HasLen, 0, qt.Commentf("seed %d", seed))
		c.Assert(m.unfinishedJobs(), qt.HasLen, 0, qt.Commentf("seed %d", seed))
		for _, id := range []wigeonstep.JobID{"first", "second", "ahead"} {
			for k := range m.jobs[id].Repeats {
				c.Assert(m.doneTasks[wigeonstep.TaskID{Job: id, Occurrence: k}], qt.IsTrue, qt.Commentf("seed %d: occurrence %d of %s", seed, k, id))
			}
		}
	}
}

// Guards against jobs that fit on no worker and hold all open tasks, so that no sound job behind them is ever opened.
func TestHopelessJobsDoNotHoldTheLimit(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 3, 4)
	m.settings.MaxOpenTasks = 200
	m.addOwner()
	m.watchMemory(200)
	hopeless := testStep(20)
	hopeless.RequiredLabel = "nowhere"
	for i := range 50 {
		m.submitJob(testJob(wigeonstep.JobID(fmt.Sprintf("hopeless%02d", i)), hopeless))
	}
	m.submitJob(testJob("sound", testStep(4)))
	m.advance(25 * time.Second)
	c.Assert(m.violations, qt.HasLen, 0)
	c.Assert(m.log.Find("sound").State(), qt.Equals, wigeonjob.StateCompleted)
}

// Guards against a large job that never fits into the limit because smaller ones take what becomes free.
func TestLargeJobIsOpenedAmongSmallOnes(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 4, 4)
	m.settings.MaxOpenTasks = 200
	m.addOwner()
	m.watchMemory(200)
	for i := range 400 {
		job := testJob(wigeonstep.JobID(fmt.Sprintf("small%03d", i)), testStep(10))
		m.schedule(time.Duration(i)*200*time.Millisecond, func() { m.submitJob(job) })
	}
	m.advance(10 * time.Second)
	m.submitJob(testJob("large", testStep(150)))
	m.advance(45 * time.Second)
	c.Assert(m.violations, qt.HasLen, 0)
	c.Assert(m.log.Find("large").State(), qt.Equals, wigeonjob.StateCompleted)
}

// Guards against an explanation that doesn't say why an overdue occurrence waits, or that says so of one that is not due.
func TestDeferredOccurrencesAreExplained(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 5, 1)
	m.settings.MaxOpenTasks = 100
	o := m.addOwner()
	m.submitJob(m.overdueJob("overdue", 50, testStep(4)))
	m.advance(100 * time.Millisecond)
	status, known := o.Explain(m.eventTime(), "overdue")
	c.Assert(known, qt.IsTrue)
	c.Assert(status.WaitsFor, qt.Matches, `4[0-9] due occurrences wait until others are done: [0-9]+ tasks and steps of the shard are open.*`)
	c.Assert(o.TakeLoad().DeferredOccurrences > 40, qt.IsTrue)
	ahead := testJob("ahead", testStep(2))
	ahead.Repeats, ahead.Interval, ahead.StartAt = 3, time.Second, m.eventTime().Wall+60_000
	m.submitJob(ahead)
	m.advance(100 * time.Millisecond)
	status, known = o.Explain(m.eventTime(), "ahead")
	c.Assert(known, qt.IsTrue)
	c.Assert(status.WaitsFor, qt.Equals, "")
}
