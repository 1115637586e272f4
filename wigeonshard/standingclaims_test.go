package wigeonshard

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// tinyStep returns a step whose tasks take next to no room.
func tinyStep(count int) wigeonjob.Step {
	return wigeonjob.Step{Count: count, Required: wigeonstep.Resources{CPU: 1, Memory: 1}, Estimate: sleepTime}
}

// tallStep returns a step of which each worker of a model runs one task.
func tallStep(count int, cpu wigeonstep.MilliCPU) wigeonjob.Step {
	return wigeonjob.Step{Count: count, Required: wigeonstep.Resources{CPU: cpu, Memory: 1000}, Estimate: sleepTime, MaxPerWorker: 1}
}

func lasting(s wigeonjob.Step) wigeonjob.Step {
	s.LongRunning = true
	return s
}

func underestimated(s wigeonjob.Step) wigeonjob.Step {
	s.Estimate = time.Second
	return s
}

// specialLabel is a label of two workers.
const specialLabel = wigeonstep.Label("special")

// special returns the step for workers with specialLabel, each of which has 8,192 MB.
func special(s wigeonjob.Step, memory wigeonstep.Megabytes) wigeonjob.Step {
	s.RequiredLabel, s.Required.Memory = specialLabel, memory
	return s
}

// spread returns the step with one of its tasks on each worker.
func spread(s wigeonjob.Step) wigeonjob.Step {
	s.MaxPerWorker = 1
	return s
}

func speculative(s wigeonjob.Step) wigeonjob.Step {
	s.Speculative = true
	return s
}

func together(s wigeonjob.Step) wigeonjob.Step {
	s.Gang = true
	return s
}

// The times in which an ordinary job should be done: beside runs that last, and where room or workers are kept for others in turns.
const (
	besideRunsLimit = 6 * time.Second
	keptRoomLimit   = 14 * time.Second
)

// Guards against a limit of the owner that is used up for good by what runs, or waits, and never ends, so that ordinary jobs don't start
// although the workers have room for them. Each case fills one limit, or makes one claim on each worker; the limits are small, so that a
// few hundred jobs are enough.
func TestStandingClaimsLeaveRoomForOrdinaryJobs(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name string
		jobs int
		// steps are those of each job; later holds the steps of as many further jobs, which come a second after them.
		steps, later []wigeonjob.Step
		teams        int
		// maxSmallRuns is the limit on small runs, and unreachable the number of workers that get no calls from the start.
		maxSmallRuns, unreachable int
		// crash is set if the first task of each later job crashes its workers, and straggling if only the first task of each job lasts.
		crash, straggling bool
		// leaves is set if one of the two workers that run the jobs leaves.
		leaves bool
		// allBegin is set if each of the jobs should begin, too.
		allBegin bool
	}{
		{name: "narrow jobs at work", jobs: 120, steps: []wigeonjob.Step{tinyStep(1)}, allBegin: true},
		{name: "narrow jobs of several teams at work", jobs: 120, steps: []wigeonjob.Step{tinyStep(1)}, teams: 3},
		{name: "long-running jobs at work", jobs: 120, steps: []wigeonjob.Step{lasting(tinyStep(1))}},
		{name: "speculative jobs at work", jobs: 120, steps: []wigeonjob.Step{speculative(tinyStep(1))}},
		{name: "gangs at work", jobs: 20, steps: []wigeonjob.Step{together(tinyStep(40))}},
		{name: "wide steps at work", jobs: 8, steps: []wigeonjob.Step{tinyStep(300)}},
		{name: "narrow jobs at work with steps that wait for them", jobs: 120, steps: []wigeonjob.Step{tinyStep(1), largeStep(40, 0)}},
		{name: "small runs at their limit", jobs: 120, steps: []wigeonjob.Step{tinyStep(1)}, maxSmallRuns: 100},
		{name: "small long-running runs at their limit", jobs: 120, steps: []wigeonjob.Step{lasting(tinyStep(1))}, maxSmallRuns: 100},
		{name: "small runs of teams at their limit", jobs: 30, steps: []wigeonjob.Step{tinyStep(30)}, maxSmallRuns: 100, teams: 3},
		{name: "gangs larger than what is left of the limit", jobs: 30, steps: []wigeonjob.Step{together(tinyStep(30))}, maxSmallRuns: 100},
		{name: "wide steps with a straggler", jobs: 8, steps: []wigeonjob.Step{tinyStep(300)}, straggling: true, allBegin: true},
		{name: "wide steps with a straggler and others after them", jobs: 8, steps: []wigeonjob.Step{tinyStep(300), largeStep(300)}, straggling: true},
		{name: "wide steps of which a part has lost its worker", jobs: 12, steps: []wigeonjob.Step{special(tinyStep(160), 8)}, leaves: true},
		{name: "long-running steps of which a part fits", jobs: 40, steps: []wigeonjob.Step{lasting(spread(tinyStep(30)))}, allBegin: true},
		{name: "orders to workers that don't answer", jobs: 8, steps: []wigeonjob.Step{tinyStep(40)}, unreachable: 2},
		{name: "room kept behind runs that last", jobs: 1, steps: []wigeonjob.Step{tallStep(4, 3500)}, later: []wigeonjob.Step{lasting(tallStep(4, 5000))}},
		{name: "room kept behind runs that last longer than estimated", jobs: 1, steps: []wigeonjob.Step{underestimated(tallStep(4, 3500))}, later: []wigeonjob.Step{lasting(tallStep(4, 5000))}},
		{name: "room kept for many behind runs that last", jobs: 5, steps: []wigeonjob.Step{tallStep(4, 700)}, later: []wigeonjob.Step{lasting(tallStep(4, 5000))}},
		{name: "room kept for teams behind runs that last", jobs: 2, steps: []wigeonjob.Step{tallStep(4, 1750)}, later: []wigeonjob.Step{lasting(tallStep(4, 5000))}, teams: 2},
		{name: "room kept for teams' finite tasks behind runs that last", jobs: 2, steps: []wigeonjob.Step{tallStep(4, 1750)}, later: []wigeonjob.Step{tallStep(4, 5000)}, teams: 2},
		{name: "workers kept for tasks that crash them", jobs: 1, steps: []wigeonjob.Step{tallStep(4, 3500)}, later: []wigeonjob.Step{tallStep(1, 5000)}, crash: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			m := newClusterModel(t, 21, 4)
			limit := besideRunsLimit
			if test.later != nil {
				limit = keptRoomLimit
			}
			m.settings.MaxOpenTasks, m.settings.MaxSmallRuns = 600, test.maxSmallRuns
			usual := m.outcome
			m.outcome = func(id wigeonstep.RunID) (time.Duration, wigeonstep.EndCause) {
				if m.jobs[id.Task.Job].Spec == "sleep" && (!test.straggling || id.Task.Index == 0) {
					return sleepTime, wigeonstep.EndDone
				}
				return usual(id)
			}
			var teams []wigeonstep.TeamName
			for i := range test.teams {
				teams = append(teams, wigeonstep.TeamName(fmt.Sprintf("team%d", i)))
			}
			addOwner := func() *fakeOwner {
				o := m.addOwner()
				if test.teams > 0 {
					o.SetTeams(testTeams(1, teams...))
				}
				return o
			}
			submit := func(id wigeonstep.JobID, spec string, n int, steps ...wigeonjob.Step) {
				job := testJob(id, steps...)
				job.Spec = spec
				if test.teams > 0 {
					job.Team = teams[n%test.teams]
				}
				m.submitJob(job)
			}
			ordinary := 0
			submitOrdinary := func() {
				id := wigeonstep.JobID(fmt.Sprintf("ordinary%03d", ordinary))
				submit(id, "", ordinary, testStep(2))
				ordinary++
				m.schedule(limit, func() {
					if state := m.log.Find(id).State(); state != wigeonjob.StateCompleted {
						m.reportViolation("job %s is %s after %v", id, state, limit)
					}
				})
			}
			for i := range m.listed[:2] {
				m.listed[i].Labels = append(m.listed[i].Labels, specialLabel)
			}
			o := addOwner()
			for i := range test.unreachable {
				o.unreachable[m.listed[i].ID] = true
			}
			m.advance(time.Second)
			for i := range test.jobs {
				submit(wigeonstep.JobID(fmt.Sprintf("standing%03d", i)), "sleep", i, test.steps...)
			}
			m.advance(time.Second)
			if test.later != nil {
				for i := range test.jobs {
					id := wigeonstep.JobID(fmt.Sprintf("later%03d", i))
					submit(id, "sleep", i, test.later...)
					if test.crash {
						m.crashingTasks[wigeonstep.TaskID{Job: id}] = 100 * time.Millisecond
					}
				}
			}
			if test.leaves {
				m.advance(10 * time.Second)
				m.crash(m.listed[0].ID, false)
				m.listed = m.listed[1:]
				m.owners[0].SetWorkers(m.eventTime(), m.listed)
			}
			for range 30 {
				submitOrdinary()
				m.advance(500 * time.Millisecond)
			}
			for i := range test.jobs {
				id := wigeonstep.JobID(fmt.Sprintf("standing%03d", i))
				if state := m.log.Find(id).State(); test.allBegin && state != wigeonjob.StateRunning {
					m.reportViolation("job %s is %s", id, state)
				}
			}
			m.owners[0].crashed = true
			m.advance(time.Second)
			addOwner()
			for range 30 {
				m.advance(500 * time.Millisecond)
				submitOrdinary()
			}
			m.advance(limit)
			c.Assert(m.violations, qt.HasLen, 0)
		})
	}
}
