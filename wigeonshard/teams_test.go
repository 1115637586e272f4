package wigeonshard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
)

// Guards against a job that everybody may see once it has ended, because its owner has forgotten its team.
func TestOwnerKnowsTeamOfJob(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 10, 2)
	o := m.addOwner()
	job := testJob("ended", testStep(2))
	job.Team, job.Queue = "one", "orders"
	m.submitJob(job)
	m.advance(time.Millisecond)
	check := func() {
		c.Helper()
		team, queue := o.JobTeam("ended")
		c.Assert(team, qt.Equals, wigeonstep.TeamName("one"))
		c.Assert(queue, qt.Equals, wigeonstep.QueueName("orders"))
	}
	waitUntil := m.eventTime().Steady + 10*time.Second
	for len(o.ended) == 0 && m.eventTime().Steady < waitUntil {
		if o.jobs["ended"] != nil {
			check()
		}
		m.advance(100 * time.Millisecond)
	}
	c.Assert(o.ended, qt.HasLen, 1)
	check()
	team, _ := o.JobTeam("unknown")
	c.Assert(team, qt.Equals, wigeonstep.TeamName(""))
}
