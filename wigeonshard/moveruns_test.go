package wigeonshard

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// interruptionWatch measures for how long the long-running tasks that have started once have no run.
type interruptionWatch struct {
	tasks   []wigeonstep.TaskID
	since   map[wigeonstep.TaskID]time.Duration
	started map[wigeonstep.TaskID]bool
	longest time.Duration
	// longestTask is the task with the longest interruption.
	longestTask wigeonstep.TaskID
}

// watchInterruptions measures the interruptions of the tasks from now on.
func (m *clusterModel) watchInterruptions(tasks []wigeonstep.TaskID) *interruptionWatch {
	w := &interruptionWatch{tasks: tasks, since: map[wigeonstep.TaskID]time.Duration{}, started: map[wigeonstep.TaskID]bool{}}
	var sample func()
	sample = func() {
		for _, id := range w.tasks {
			w.observe(m, id)
		}
		m.schedule(10*time.Millisecond, sample)
	}
	sample()
	return w
}

func (w *interruptionWatch) observe(m *clusterModel, id wigeonstep.TaskID) {
	if m.liveRuns[id] > 0 {
		w.started[id] = true
		delete(w.since, id)
		return
	}
	if !w.started[id] {
		return
	}
	if _, interrupted := w.since[id]; !interrupted {
		w.since[id] = m.now
	}
	if d := m.now - w.since[id]; d > w.longest {
		w.longest, w.longestTask = d, id
	}
}

// submitLasting submits a job with one long-running step and returns its tasks.
func (m *clusterModel) submitLasting(id wigeonstep.JobID, s wigeonjob.Step) []wigeonstep.TaskID {
	s.LongRunning = true
	m.submitJob(testJob(id, s))
	var tasks []wigeonstep.TaskID
	for i := range s.Count {
		tasks = append(tasks, wigeonstep.TaskID{Job: id, Index: i})
	}
	return tasks
}

// submitRepeatedly submits a finite job of four tasks each interval.
func (m *clusterModel) submitRepeatedly(interval time.Duration, required wigeonstep.Resources) {
	n := 0
	var submit func()
	submit = func() {
		s := testStep(4)
		s.Required = required
		m.submitJob(testJob(wigeonstep.JobID(fmt.Sprintf("finite%04d", n)), s))
		n++
		m.schedule(interval, submit)
	}
	submit()
}

// maxMoveInterruption is the time within which a long-running task that was stopped to empty its worker has to run again.
const maxMoveInterruption = time.Second

// Guards against a long-running task that is stopped on a cordoned worker and then waits for seconds, because the room that
// was counted on for it was counted for other stopped runs too, or went to finite work while the run was stopping. The
// cordoned workers have to become empty all the same.
func TestMovedTasksRunAgainAtOnce(t *testing.T) {
	for seed := range uint64(8) {
		c := qt.New(t)
		m := newClusterModel(t, 100+seed, 8)
		o := m.addOwner()
		m.advance(time.Second)
		var tasks []wigeonstep.TaskID
		for i := range 4 {
			s := testStep(2)
			s.Required = wigeonstep.Resources{CPU: 4000, Memory: 2000}
			s.MaxPerWorker, s.MaxUnavailable = 1, 1
			tasks = append(tasks, m.submitLasting(wigeonstep.JobID(fmt.Sprintf("lasting%d", i)), s)...)
		}
		m.advance(time.Second)
		watch := m.watchInterruptions(tasks)
		m.submitRepeatedly(150*time.Millisecond, wigeonstep.Resources{CPU: 700, Memory: 300})
		m.advance(2 * time.Second)
		for i := range 3 {
			id := wigeonstep.WorkerID(fmt.Sprintf("w%02d", i*2))
			m.cordons[id] = wigeonstep.VMID("vm-" + string(id))
		}
		o.SetCordons(m.cordons)
		m.advance(12 * time.Second)
		c.Assert(m.violations, qt.HasLen, 0)
		c.Assert(o.Released(), qt.HasLen, len(m.cordons), qt.Commentf("seed %d", seed))
		c.Assert(watch.longest <= maxMoveInterruption, qt.IsTrue, qt.Commentf("seed %d: %v had no run for %v: %v", seed, watch.longestTask, watch.longest, m.history[watch.longestTask]))
	}
}

// Guards against a long-running task that never starts again after a failure, because smaller finite tasks take each piece
// of room that becomes free before there is enough for it.
func TestFailedLongRunningTaskIsNotStarvedBySmallerOnes(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 110, 4)
	m.addOwner()
	m.advance(time.Second)
	lasting := testStep(2)
	lasting.Required.CPU = 5000
	tasks := m.submitLasting("lasting", lasting)
	m.advance(time.Second)
	m.submitRepeatedly(50*time.Millisecond, wigeonstep.Resources{CPU: 700, Memory: 300})
	m.advance(3 * time.Second)
	watch := m.watchInterruptions(tasks)
	m.failRuns("lasting")
	m.advance(8 * time.Second)
	c.Assert(m.violations, qt.HasLen, 0)
	// A finite run takes up to a second here.
	c.Assert(watch.longest <= 2*time.Second, qt.IsTrue, qt.Commentf("%v had no run for %v: %v", watch.longestTask, watch.longest, m.history[watch.longestTask]))
}

// failRuns lets all runs of a job fail at their workers. It is meant for long-running jobs.
func (m *clusterModel) failRuns(job wigeonstep.JobID) {
	for _, l := range m.listed {
		f := m.workers[l.ID]
		for _, r := range f.sortedRuns() {
			if r.id.Task.Job == job {
				f.endRun(m, r, wigeonstep.EndFailed)
			}
		}
	}
}

// Guards against waits that block each other: room that is kept for moves must not keep a waiting task out, nor must room that
// is kept for tasks stop finite work for good.
func TestFiniteWorkEndsBesideKeptRoom(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 111, 4)
	o := m.addOwner()
	m.advance(time.Second)
	large := testStep(3)
	large.Required.CPU = 6000
	m.submitLasting("large", large)
	m.advance(time.Second)
	// The fourth worker is the only one with room for the tasks of the cordoned workers, and for one of them only.
	for i := range 12 {
		m.submitJob(testJob(wigeonstep.JobID(fmt.Sprintf("finite%02d", i)), testStep(6)))
	}
	m.cordons["w00"], m.cordons["w01"] = "vm0", "vm1"
	o.SetCordons(m.cordons)
	m.advance(time.Second)
	m.failRuns("large")
	m.advance(40 * time.Second)
	c.Assert(m.violations, qt.HasLen, 0)
	for id, e := range m.log.Jobs() {
		if id != "large" {
			c.Assert(e.State(), qt.Equals, wigeonjob.StateCompleted, qt.Commentf("%s", id))
		}
	}
}

// Guards against a task that waits for the end of the pause of a suspect worker on which room is kept for it.
func TestRoomIsNotKeptOnSuspectWorker(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 112, 4)
	o := m.addOwner()
	m.advance(time.Second)
	lasting := testStep(1)
	lasting.Required.CPU = 5000
	tasks := m.submitLasting("lasting", lasting)
	m.advance(time.Second)
	m.submitRepeatedly(25*time.Millisecond, wigeonstep.Resources{CPU: 700, Memory: 300})
	m.advance(3 * time.Second)
	watch := m.watchInterruptions(tasks)
	m.failRuns("lasting")
	m.advance(150 * time.Millisecond)
	hold := o.findTask(tasks[0]).hold
	c.Assert(hold, qt.IsNotNil)
	suspect := hold.worker
	// A run that is done ends the pause, so the worker is made suspect again and again.
	for until := m.now + 5*time.Second; m.now < until; m.advance(5 * time.Millisecond) {
		suspect.backoff.until = m.now + suspectDuration
	}
	c.Assert(m.violations, qt.HasLen, 0)
	// A finite run takes up to a second here.
	c.Assert(watch.longest <= 2*time.Second, qt.IsTrue, qt.Commentf("%v had no run for %v: %v", watch.longestTask, watch.longest, m.history[watch.longestTask]))
}

// Guards against room that stays kept on a worker that was removed: the owner counted the room as free, and the task got none
// elsewhere.
func TestRoomOnRemovedWorkerIsNotKept(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 113, 2)
	o := m.addOwner()
	m.advance(time.Second)
	lasting := testStep(1)
	tasks := m.submitLasting("lasting", lasting)
	m.advance(time.Second)
	moved := o.findTask(tasks[0])
	c.Assert(moved.runs, qt.HasLen, 1)
	from := moved.runs[0].worker
	i := slices.IndexFunc(o.sortedWorkers, func(w *worker) bool { return w != from })
	o.holdRoom(moved, o.sortedWorkers[i], true)
	o.SetWorkers(m.eventTime(), []wigeonstep.ListedWorker{from.ListedWorker})
	c.Assert(o.sortedWorkers, qt.HasLen, 1)
	c.Assert(moved.hold, qt.IsNil)
}
