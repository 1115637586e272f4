package wigeonshard

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
)

// Guards against a load report from which it can't be told where the jobs of a shard wait.
func TestLoadShowsStagesOfJobs(t *testing.T) {
	c := qt.New(t)
	s := newRegisteredShard(c, 1)
	s.submit(twiceJob)
	s.advance(200 * time.Millisecond)
	load := s.TakeLoad()
	c.Assert(load.Stages[StageRead].Count, qt.Equals, 1)
	c.Assert(load.Stages[StageStarted].Count, qt.Equals, 0, qt.Commentf("the job is not registered"))
	c.Assert(load.Jobs, qt.Equals, 1)
	c.Assert(load.Workers, qt.Equals, 1)

	s.JobRegistered(s.now, twiceJob)
	s.advance(200 * time.Millisecond)
	s.cancel(twiceJob)
	s.advance(200 * time.Millisecond)
	load = s.TakeLoad()
	c.Assert(load.Stages[StageRead].Count, qt.Equals, 0, qt.Commentf("it was in the load before"))
	c.Assert(load.Stages[StageRegistered].Mean(), qt.Equals, 200*time.Millisecond)
	c.Assert(load.Stages[StageStarted].Longest >= 200*time.Millisecond, qt.IsTrue)
	c.Assert(load.Stages[StageAnswered].Count, qt.Equals, 2)
	c.Assert(load.Stages[StageRecorded].Count > 0, qt.IsTrue)
	c.Assert(load.Stages[StageEnded].Count, qt.Equals, 1)
	c.Assert(load.Stages[StageEnded].Late, qt.Equals, 0)
	c.Assert(load.Jobs, qt.Equals, 0)
}

// Guards against a backlog that the load report leaves out.
func TestLoadCountsWaitingTasks(t *testing.T) {
	c := qt.New(t)
	s := newRegisteredShard(c, 1)
	for i := range 40 {
		s.submit(wigeonstep.JobID(fmt.Sprintf("%016x", i)))
	}
	c.Assert(s.TakeLoad().WaitingTasks, qt.Equals, 80)
}
