package wigeonshard

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonquota"
)

const testTeam = wigeonstep.TeamName("bakers")

// limitTeam limits testTeam in an owner to so many tasks of testStep, all of which the shard may use.
func (m *clusterModel) limitTeam(o *Owner, version wigeonstep.ConfigVersion, tasks int, allowance ...int) {
	limit := wigeonstep.Resources{CPU: 1800 * wigeonstep.MilliCPU(tasks)}
	configured := []wigeonstep.Team{{Name: testTeam, Weight: 1, Limit: limit}}
	o.SetTeams(configured)
	o.SetLimits(m.eventTime(), version, configured)
	bound := func(n int) wigeonstep.Resources {
		return wigeonstep.Resources{CPU: 1800 * wigeonstep.MilliCPU(n), Memory: wigeonquota.Unlimited, GPU: wigeonquota.Unlimited}
	}
	allowed := tasks
	for _, n := range allowance {
		allowed = n
	}
	o.ApplyGrants([]wigeonquota.Grant{{
		Team: testTeam, Number: wigeonquota.GrantNumber{Epoch: 1, Counter: uint64(version)}, Version: version,
		Allowance: bound(allowed), Limit: bound(tasks), Total: bound(tasks),
	}})
}

func teamJob(id wigeonstep.JobID, steps ...wigeonjob.Step) *wigeonjob.Job {
	j := testJob(id, steps...)
	j.Team = testTeam
	return j
}

// runningTasks returns the runs of the jobs of testTeam on the workers.
func (m *clusterModel) runningTasks() int {
	running := 0
	for _, f := range m.workers {
		for id := range f.runs {
			if m.jobs[id.Task.Job].Team == testTeam {
				running++
			}
		}
	}
	return running
}

// Guards against a way to plan a run that does not ask for the limit of the team: each kind of step has its own.
func TestEachKindOfStepStaysWithinLimit(t *testing.T) {
	const limit = 3
	kinds := map[string]func(*wigeonjob.Step){
		"plain":          func(*wigeonjob.Step) {},
		"labelled":       func(s *wigeonjob.Step) { s.RequiredLabel = "a" },
		"one rack":       func(s *wigeonjob.Step) { s.SameRack = true },
		"best effort":    func(s *wigeonjob.Step) { s.BestEffort = true },
		"speculative":    func(s *wigeonjob.Step) { s.Speculative = true },
		"long-running":   func(s *wigeonjob.Step) { s.LongRunning = true },
		"small gang":     func(s *wigeonjob.Step) { s.Gang, s.Count = true, limit },
		"large gang":     func(s *wigeonjob.Step) { s.Gang, s.Count = true, limit+1 },
		"suspected":      func(*wigeonjob.Step) {},
		"suspected gang": func(s *wigeonjob.Step) { s.Gang, s.Count = true, limit },
	}
	for name, change := range kinds {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/seed=%d", name, seed), func(t *testing.T) {
				c := qt.New(t)
				m := newClusterModel(t, seed, 6)
				if name == "suspected" || name == "suspected gang" {
					m.crashingTasks[wigeonstep.TaskID{Job: "team"}] = 100 * time.Millisecond
				}
				o := m.addOwner()
				s := testStep(8)
				change(&s)
				m.submitJob(teamJob("team", s))
				m.submitJob(testJob("other", testStep(10)))
				m.advance(50 * time.Millisecond)
				c.Assert(m.runningTasks() > 0, qt.IsTrue)
				highest := m.watchLimit(o, limit, 6*time.Second)
				want := limit
				if name == "large gang" {
					want = 0
					c.Assert(o.quotas.Allowance(testTeam).Refused(), qt.Equals, wigeonstep.Resources{})
				}
				c.Assert(highest <= limit, qt.IsTrue, qt.Commentf("%d runs", highest))
				if name != "suspected" && name != "suspected gang" {
					c.Assert(highest, qt.Equals, want)
				}
				c.Assert(m.violations, qt.HasLen, 0)
			})
		}
	}
}

// watchLimit cancels the first job of the team, submits it again with a limit, and returns the highest number of its runs.
func (m *clusterModel) watchLimit(o *fakeOwner, limit int, d time.Duration) int {
	m.limitTeam(o.Owner, 1, limit)
	m.cancelJob("team")
	m.advance(2 * time.Second)
	again := *m.jobs["team"]
	again.ID = "again"
	if age, crashes := m.crashingTasks[wigeonstep.TaskID{Job: "team"}]; crashes {
		m.crashingTasks[wigeonstep.TaskID{Job: "again"}] = age
	}
	m.submitJob(&again)
	highest := 0
	for until := m.now + d; m.now < until; m.advance(5 * time.Millisecond) {
		highest = max(highest, m.runningTasks())
		if m.now == until-d/2 {
			// Copies of speculative tasks are planned when a worker does not answer.
			for id := range m.workers {
				o.unreachable[id] = id == "w00" || id == "w01"
			}
		}
	}
	return highest
}

// Guards against runs of a team without a grant, against a limit that is not in force for jobs of an earlier owner, and against a
// limit that counts for a job without a team.
func TestNewOwnerStartsNothingWithoutGrant(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 1, 4)
	limited := []wigeonstep.Team{{Name: testTeam, Limit: wigeonstep.Resources{CPU: 1800 * 4}}}
	o := m.addOwner()
	o.SetTeams(limited)
	o.SetLimits(m.eventTime(), 1, limited)
	m.submitJob(teamJob("team", testStep(8)))
	m.submitJob(testJob("public", testStep(2)))
	m.advance(2 * time.Second)
	c.Assert(m.runningTasks(), qt.Equals, 0)
	c.Assert(m.log.Find("public").State(), qt.Equals, wigeonjob.StateCompleted)
	status, _ := o.Explain(m.eventTime(), "team")
	c.Assert(status.WaitsFor, qt.Contains, "quota")
	uses := o.QuotaReport()
	c.Assert(uses, qt.HasLen, 1)
	c.Assert(uses[0].Wanted, qt.Equals, wigeonstep.Resources{CPU: 8 * 1800, Memory: 8 * 1000})
	m.limitTeam(o.Owner, 2, 4)
	m.advance(150 * time.Millisecond)
	c.Assert(m.runningTasks(), qt.Equals, 4)
	o.crashed = true
	o = m.addOwner()
	o.SetTeams(limited)
	o.SetLimits(m.eventTime(), 2, limited)
	m.advance(100 * time.Millisecond)
	c.Assert(o.QuotaUses()[0].Use.CPU, qt.Equals, wigeonstep.MilliCPU(4*1800))
	m.advance(4 * time.Second)
	c.Assert(m.runningTasks(), qt.Equals, 0)
}

// Guards against a long-running task that maintenance stops and that does not start again, because the limit of its team was
// lowered, or another task takes its part of the limit.
func TestMovedTaskKeepsItsPartOfTheLimit(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 2, 3)
	o := m.addOwner()
	m.limitTeam(o.Owner, 1, 6)
	s := testStep(6)
	s.LongRunning = true
	m.submitJob(teamJob("team", s))
	m.advance(2 * time.Second)
	c.Assert(m.runningTasks(), qt.Equals, 6)
	m.limitTeam(o.Owner, 2, 2, 1)
	m.submitJob(teamJob("second", testStep(3)))
	m.cordons["w00"] = "vm0"
	o.SetCordons(m.cordons)
	m.advance(6 * time.Second)
	c.Assert(o.Released(), qt.HasLen, 1)
	c.Assert(m.runningTasks(), qt.Equals, 6)
	c.Assert(o.teams[testTeam].use.CPU, qt.Equals, wigeonstep.MilliCPU(6*1800))
	m.cancelJob("team")
	m.advance(3 * time.Second)
	c.Assert(o.teams[testTeam].use, qt.Equals, wigeonstep.Resources{})
	c.Assert(m.violations, qt.HasLen, 0)
}

// highestRunning runs the model and returns the highest number of runs of testTeam.
func (m *clusterModel) highestRunning(d time.Duration) int {
	highest := 0
	for until := m.now + d; m.now < until; m.advance(5 * time.Millisecond) {
		highest = max(highest, m.runningTasks())
	}
	return highest
}

// Guards against long-running tasks that exceed the limit on workers that are cordoned, or on those where room was kept for them.
func TestLongRunningTasksWithinLimit(t *testing.T) {
	longRunning := testStep(3)
	longRunning.LongRunning = true
	for name, prepare := range map[string]func(*clusterModel, *fakeOwner){
		"last resort": func(m *clusterModel, o *fakeOwner) {
			other := testStep(1)
			other.LongRunning = true
			m.submitJob(testJob("other", other))
			m.advance(time.Second)
			m.cordons["w00"] = "vm0"
			o.SetCordons(m.cordons)
		},
		"kept room": func(m *clusterModel, _ *fakeOwner) {
			m.outcome = func(wigeonstep.RunID) (time.Duration, wigeonstep.EndCause) {
				return 700 * time.Millisecond, wigeonstep.EndDone
			}
			m.submitJob(testJob("other", testStep(4)))
			m.advance(100 * time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			m := newClusterModel(t, 3, 1)
			o := m.addOwner()
			m.limitTeam(o.Owner, 1, 1)
			prepare(m, o)
			m.submitJob(teamJob("team", longRunning))
			c.Assert(m.highestRunning(4*time.Second), qt.Equals, 1)
		})
	}
}

// Guards against a task that may have crashed its worker and starts on a worker of its own although its team is at its limit.
func TestSuspectedTaskWaitsForLimit(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 4, 4)
	m.groupConfirms, m.vmList = true, true
	o := m.addOwner()
	longRunning := testStep(1)
	longRunning.LongRunning = true
	m.submitJob(teamJob("serving", longRunning))
	m.advance(time.Second)
	task := wigeonstep.TaskID{Job: "crashing"}
	m.crashingTasks[task] = 100 * time.Millisecond
	m.submitJob(teamJob("crashing", testStep(1)))
	// After two crashes the task is suspected and gets a worker of its own.
	for deadline := m.now + 10*time.Second; m.crashes[task] < 2 && m.now < deadline; {
		m.advance(10 * time.Millisecond)
	}
	c.Assert(m.crashes[task], qt.Equals, 2)
	m.limitTeam(o.Owner, 1, 1)
	m.advance(200 * time.Millisecond)
	c.Assert(m.highestRunning(8*time.Second), qt.Equals, 1)
	status, _ := o.Explain(m.eventTime(), "crashing")
	c.Assert(status.WaitsFor, qt.Contains, "quota")
	c.Assert(o.isolations, qt.HasLen, 0)
}

// Guards against runs that start seconds after a limit was lowered, because the store was slow to accept their record.
func TestUnsentRunsAreWithdrawnWhenLimitIsLowered(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 5, 4)
	o := m.addOwner()
	m.limitTeam(o.Owner, 1, 8)
	m.advance(time.Second)
	m.slowAppends = true
	m.submitJob(teamJob("team", testStep(8)))
	m.advance(50 * time.Millisecond)
	c.Assert(o.teams[testTeam].use.CPU, qt.Equals, wigeonstep.MilliCPU(8*1800))
	lowered := []wigeonstep.Team{{Name: testTeam, Limit: wigeonstep.Resources{CPU: 2 * 1800}}}
	o.SetTeams(lowered)
	o.SetLimits(m.eventTime(), 2, lowered)
	c.Assert(m.highestRunning(6*time.Second), qt.Equals, 2)
	c.Assert(m.violations, qt.HasLen, 0)
}

// Guards against room that is kept on many workers for tasks of a team whose limit allows only one of them.
func TestRoomIsKeptWithinLimit(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 6, 3)
	m.outcome = func(wigeonstep.RunID) (time.Duration, wigeonstep.EndCause) {
		return 700 * time.Millisecond, wigeonstep.EndDone
	}
	o := m.addOwner()
	m.limitTeam(o.Owner, 1, 1)
	m.submitJob(testJob("other", testStep(30)))
	m.advance(100 * time.Millisecond)
	longRunning := testStep(3)
	longRunning.LongRunning = true
	m.submitJob(teamJob("team", longRunning))
	most := 0
	for until := m.now + 2*time.Second; m.now < until; m.advance(5 * time.Millisecond) {
		holds := 0
		for _, w := range o.sortedWorkers {
			holds += len(w.held.holds)
		}
		most = max(most, holds)
	}
	c.Assert(most, qt.Equals, 1)
	c.Assert(m.runningTasks(), qt.Equals, 1)
}

// Guards against a task that may exceed the limit and is skipped because a gang that requires less in all was refused before it.
func TestRefusedGangDoesNotStopTaskThatMayExceed(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 7, 4)
	o := m.addOwner()
	m.limitTeam(o.Owner, 1, 3)
	a := o.quotas.Allowance(testTeam)
	bound := func(n wigeonstep.MilliCPU) wigeonstep.Resources {
		return wigeonstep.Resources{CPU: n * 1800, Memory: wigeonquota.Unlimited, GPU: wigeonquota.Unlimited}
	}
	o.ApplyGrants([]wigeonquota.Grant{{
		Team: testTeam, Number: wigeonquota.GrantNumber{Epoch: 1, Counter: 2}, Version: 1,
		Allowance: bound(2), Limit: bound(3), Total: bound(3), MayExceed: true,
	}})
	gang, large := testStep(3), testStep(1)
	gang.Gang = true
	large.Required = wigeonstep.Resources{CPU: 3*1800 + 100, Memory: 3 * gang.Required.Memory}
	m.submitJob(teamJob("gang", gang))
	m.advance(200 * time.Millisecond)
	c.Assert(a.Refused().CPU, qt.Equals, wigeonstep.MilliCPU(3*1800))
	m.submitJob(teamJob("large", large))
	m.advance(200 * time.Millisecond)
	c.Assert(o.teams[testTeam].use.CPU, qt.Equals, large.Required.CPU)
}

// Guards against a suspected task that asks for the limit of its team although there is no worker for it.
func TestSuspectedTaskWithoutWorkerIsNotRefused(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 4, 4)
	m.groupConfirms, m.vmList = true, true
	o := m.addOwner()
	longRunning := testStep(1)
	longRunning.LongRunning = true
	m.submitJob(teamJob("serving", longRunning))
	m.advance(time.Second)
	task := wigeonstep.TaskID{Job: "crashing"}
	m.crashingTasks[task] = 100 * time.Millisecond
	m.submitJob(teamJob("crashing", testStep(1)))
	for deadline := m.now + 10*time.Second; m.crashes[task] < 2 && m.now < deadline; {
		m.advance(10 * time.Millisecond)
	}
	c.Assert(m.crashes[task], qt.Equals, 2)
	m.limitTeam(o.Owner, 1, 1)
	a := o.quotas.Allowance(testTeam)
	refused := func() bool {
		for until := m.now + time.Second; m.now < until; m.advance(5 * time.Millisecond) {
			if a.Refused() != (wigeonstep.Resources{}) {
				return true
			}
		}
		return false
	}
	c.Assert(refused(), qt.IsTrue)
	others := testStep(4 * 4)
	others.LongRunning = true
	m.submitJob(testJob("others", others))
	m.advance(2 * time.Second)
	c.Assert(refused(), qt.IsFalse)
}

// Guards against a search over the pool in each round for gangs that the limit never lets start, or after another was refused.
func TestGangsThatCannotStartAreNotTried(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 8, 6)
	o := m.addOwner()
	m.limitTeam(o.Owner, 1, 3, 2)
	gangOf := func(id wigeonstep.JobID, n int) *step {
		s := testStep(n)
		s.Gang = true
		m.submitJob(teamJob(id, s))
		m.advance(200 * time.Millisecond)
		return o.jobs[id].occurrences[0].steps[0]
	}
	c.Assert(gangOf("never", 5).refusedAlready(), qt.IsTrue)
	c.Assert(o.quotas.Allowance(testTeam).Refused(), qt.Equals, wigeonstep.Resources{})
	c.Assert(gangOf("later", 3).refusedAlready(), qt.IsTrue)
	c.Assert(o.quotas.Allowance(testTeam).Refused().CPU, qt.Equals, wigeonstep.MilliCPU(3*1800))
}
