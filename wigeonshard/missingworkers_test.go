package wigeonshard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
)

func (m *clusterModel) missingWorkers(o *fakeOwner) int {
	return o.Demands(m.eventTime(), []wigeonstep.ServiceName{testService})[0].MissingWorkers
}

// Guards against a count of missing workers that takes the same room for tasks of several steps: two tasks that each need a
// whole worker lack two.
func TestMissingWorkersOfSeveralSteps(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 130, 3)
	o := m.addOwner()
	m.advance(time.Second)
	for _, id := range []wigeonstep.JobID{"first", "second", "third"} {
		s := testStep(1)
		s.Required.CPU = 8000
		m.submitLasting(id, s)
	}
	m.advance(time.Second)
	c.Assert(m.missingWorkers(o), qt.Equals, 0)
	m.cordons["w00"], m.cordons["w01"] = "vm0", "vm1"
	o.SetCordons(m.cordons)
	m.advance(time.Second)
	c.Assert(m.missingWorkers(o), qt.Equals, 2)
}

// Guards against a worker that is asked for whenever a long-running task has to wait for the end of a finite run: a pool with
// much finite work would get VMs that it does not need.
func TestFiniteRunsMakeNoWorkerMissing(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 131, 3)
	o := m.addOwner()
	m.advance(time.Second)
	s := testStep(2)
	s.Required.CPU = 5000
	m.submitLasting("lasting", s)
	m.advance(time.Second)
	m.submitRepeatedly(30*time.Millisecond, wigeonstep.Resources{CPU: 700, Memory: 300})
	m.advance(2 * time.Second)
	m.cordons["w00"] = "vm0"
	o.SetCordons(m.cordons)
	for range 50 {
		m.advance(20 * time.Millisecond)
		c.Assert(m.missingWorkers(o), qt.Equals, 0)
	}
}

// Guards against a service without any worker that never gets one for its long-running tasks.
func TestServiceWithoutWorkersMissesOne(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 133, 0)
	o := m.addOwner()
	m.submitLasting("lasting", testStep(3))
	m.advance(time.Second)
	c.Assert(m.missingWorkers(o), qt.Equals, 1)
}

// Guards against workers that are asked for without end for a task that fits on none.
func TestTaskLargerThanAnyWorkerMakesNoWorkerMissing(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 132, 2)
	o := m.addOwner()
	m.advance(time.Second)
	s := testStep(3)
	s.Required.CPU = 9000
	m.submitLasting("lasting", s)
	m.advance(time.Second)
	c.Assert(m.missingWorkers(o), qt.Equals, 0)
}
