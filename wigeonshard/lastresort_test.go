package wigeonshard

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
)

// Guards against a long-running task that waits after a failure while cordoned workers have room for it and can't be emptied,
// because the other workers of the pool are full. The cordoned workers have to become empty once there is room elsewhere.
func TestFailedTaskRunsOnCordonedWorkerThatCannotBeEmptied(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 120, 3)
	o := m.addOwner()
	m.advance(time.Second)
	lasting := testStep(6)
	lasting.Required.CPU, lasting.MaxUnavailable = 4000, 2
	tasks := m.submitLasting("lasting", lasting)
	m.advance(time.Second)
	m.cordons["w00"], m.cordons["w01"] = "vm0", "vm1"
	o.SetCordons(m.cordons)
	m.advance(time.Second)
	watch := m.watchInterruptions(tasks)
	m.failRun("w00")
	m.advance(5 * time.Second)
	c.Assert(watch.longest <= time.Second, qt.IsTrue, qt.Commentf("%v had no run for %v: %v", watch.longestTask, watch.longest, m.history[watch.longestTask]))
	for i := range 2 {
		m.addWorker(wigeonstep.WorkerID(fmt.Sprintf("x%02d", i)), "r9")
	}
	o.SetWorkers(m.eventTime(), m.listed)
	m.advance(5 * time.Second)
	c.Assert(m.violations, qt.HasLen, 0)
	c.Assert(o.Released(), qt.DeepEquals, []wigeonstep.WorkerID{"w00", "w01"})
}

// Guards against a start on a cordoned worker after its release, when its VM may already go down.
func TestReleasedWorkerGetsNoTaskAsLastResort(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 121, 2)
	o := m.addOwner()
	m.advance(time.Second)
	m.cordons["w00"] = "vm0"
	o.SetCordons(m.cordons)
	m.advance(time.Second)
	lasting := testStep(3)
	lasting.Required.CPU = 4000
	m.submitLasting("lasting", lasting)
	m.advance(5 * time.Second)
	c.Assert(o.Released(), qt.DeepEquals, []wigeonstep.WorkerID{"w00"})
	c.Assert(m.workers["w00"].runs, qt.HasLen, 0)
	c.Assert(m.workers["w01"].runs, qt.HasLen, 2)
}

// failRun lets one run on a worker fail.
func (m *clusterModel) failRun(id wigeonstep.WorkerID) {
	f := m.workers[id]
	f.endRun(m, f.sortedRuns()[0], wigeonstep.EndFailed)
}
