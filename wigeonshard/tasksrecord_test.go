package wigeonshard

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// recordBytes is the size of the largest record that the log accepts, callBytes that of the largest append.
const (
	recordBytes = 256 << 10
	callBytes   = 2 << 20
)

// largeStep returns a step of small tasks that write checkpoints.
func largeStep(count int, after ...int) wigeonjob.Step {
	return wigeonjob.Step{
		Count: count, Required: wigeonstep.Resources{CPU: 20, Memory: 2}, Estimate: 700 * time.Millisecond, SavesProgress: true, After: after,
	}
}

// tasksRecords returns the number of records of tasks in the log.
func (m *clusterModel) tasksRecords() int {
	n := 0
	for key := range m.logKeys {
		if strings.HasPrefix(key, string(wigeonjob.KindTasks)+"/") {
			n++
		}
	}
	return n
}

// Guards against a job whose progress is larger than the log accepts in one record, so that its queue stops: all records and
// appends are bounded, the jobs behind it complete, and so does the job itself, across changes of owner.
func TestLargeJobDoesNotStopItsQueue(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	m := newClusterModel(t, 1, 20)
	m.addOwner()
	m.submitJob(testJob("large", largeStep(4000), largeStep(4000), largeStep(4000, 0)))
	for i := range 10 {
		job := testJob(wigeonstep.JobID(fmt.Sprintf("usual%d", i)), testStep(4))
		m.schedule(time.Duration(i)*200*time.Millisecond, func() { m.submitJob(job) })
	}
	for range 3 {
		m.advance(time.Second)
		m.addOwner()
	}
	m.advance(5 * time.Second)
	for i := range 10 {
		c.Assert(m.log.Find(wigeonstep.JobID(fmt.Sprintf("usual%d", i))).State(), qt.Equals, wigeonjob.StateCompleted)
	}
	m.advance(60 * time.Second)
	c.Assert(m.violations, qt.HasLen, 0)
	c.Assert(m.unfinishedJobs(), qt.HasLen, 0)
	c.Assert(m.largestRecord < recordBytes/4, qt.IsTrue, qt.Commentf("a record of %d bytes", m.largestRecord))
	c.Assert(m.largestAppend < callBytes/2, qt.IsTrue, qt.Commentf("an append of %d bytes", m.largestAppend))
	c.Assert(m.tasksRecords(), qt.Equals, 0)
}

// Guards against records of tasks that stay in the log after their occurrence, or after a cancelled job.
func TestRecordsOfEndedTasksAreRemoved(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 2, 8)
	m.settings.TasksPerRecord = 2
	m.addOwner()
	timed := testJob("timed", testStep(5))
	timed.Repeats, timed.Interval, timed.StartAt = 3, 3*time.Second, m.eventTime().Wall
	m.submitJob(timed)
	m.advance(2900 * time.Millisecond)
	c.Assert(m.tasksRecords(), qt.Equals, 0)
	m.advance(400 * time.Millisecond)
	c.Assert(m.tasksRecords(), qt.Equals, 3)
	m.addOwner()
	m.advance(10 * time.Second)
	c.Assert(m.unfinishedJobs(), qt.HasLen, 0)
	lasting := testStep(7)
	lasting.LongRunning = true
	m.submitJob(testJob("lasting", lasting))
	m.advance(2 * time.Second)
	c.Assert(m.tasksRecords(), qt.Equals, 4)
	m.cancelJob("lasting")
	m.advance(2 * time.Second)
	c.Assert(m.tasksRecords(), qt.Equals, 0)
	c.Assert(m.violations, qt.HasLen, 0)
}

// Guards against a record that outgrows the log with the checkpoints of its tasks.
func TestTooLargeCheckpointIsNotRecorded(t *testing.T) {
	c := qt.New(t)
	var task task
	task.setCheckpoint("usual")
	task.setCheckpoint(wigeonstep.Checkpoint(strings.Repeat("x", wigeonjob.MaxCheckpointBytes+1)))
	c.Assert(task.checkpoint, qt.Equals, wigeonstep.Checkpoint("usual"))
}

// Guards against records of tasks that the log refuses although each task has the largest progress that an owner records.
func TestLargestRecordOfTasksIsBounded(t *testing.T) {
	c := qt.New(t)
	longest := strings.Repeat("w", 64)
	tasks := make([]wigeonjob.TaskProgress, wigeonjob.TasksPerRecord)
	for i := range tasks {
		tasks[i] = wigeonjob.TaskProgress{
			Occurrence: 9999, Step: 255, Index: 4095, LastRun: 1 << 20, Failures: 1 << 20,
			Checkpoint: wigeonstep.Checkpoint(strings.Repeat("c", wigeonjob.MaxCheckpointBytes)),
		}
		for range 2 {
			tasks[i].Runs = append(tasks[i].Runs, wigeonjob.LiveRun{Number: 1 << 20, Worker: wigeonstep.WorkerID(longest), PlannedAt: 1_700_000_000_000})
		}
		for n := range wigeonstep.RunNumber(maxLostRuns) {
			tasks[i].LostRuns = append(tasks[i].LostRuns, 1<<20+n)
		}
		for range maxCrashes + conclusiveSameAge {
			tasks[i].Crashes = append(tasks[i].Crashes, wigeonjob.WorkerCrash{
				Run: 1 << 20, Worker: wigeonstep.WorkerID(longest), RunAge: time.Hour, Ended: true, Likely: true, Sole: true, Explained: true,
			})
		}
	}
	value, err := wigeonjob.EncodeTasks(tasks)
	c.Assert(err, qt.IsNil)
	c.Assert(len(value) < recordBytes, qt.IsTrue, qt.Commentf("%d bytes", len(value)))
}
