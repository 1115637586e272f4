package wigeonshard

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// whereStep returns a step of one task of a kind that differs with the seed.
func whereStep(seed int, labels []wigeonstep.Label) wigeonjob.Step {
	s := testStep(1)
	s.Required.CPU = wigeonstep.MilliCPU(500 * (1 + seed%5))
	switch seed % 4 {
	case 1:
		s.RequiredLabel = labels[seed%len(labels)]
	case 2:
		s.LongRunning, s.BestEffort, s.Image = true, true, "mill"
	case 3:
		s.LongRunning, s.Target, s.Image, s.Required.CPU = true, testTarget, "cure", 200
	}
	return s
}

// Guards against an answer that differs from the placement that follows on an unchanged state, and against a question that changes the
// state.
func TestWhereAgreesWithPlacement(t *testing.T) {
	o := newDisturbedOwner(t, 6, map[wigeonstep.ImageName]float64{"mill": 2})
	o.teach("cure", "mill", 3)
	labels := []wigeonstep.Label{"w00", "w01", "w02", "none"}
	placed := 0
	for i := range 60 {
		job := testJob(wigeonstep.JobID(fmt.Sprintf("job%02d", i)), whereStep(i, labels))
		job.Accepted = o.now.Wall
		want := o.Where(o.now, job).Steps[0]
		again := o.Where(o.now, job).Steps[0]
		o.c.Assert(again, qt.DeepEquals, want)
		o.c.Assert(o.jobs[job.ID], qt.IsNil)
		before := len(o.starts)
		o.AddJob(o.now, job, wigeonjob.Progress{}, false)
		o.advance(100 * time.Millisecond)
		if want.WaitsFor != "" {
			o.c.Assert(o.starts[before:], qt.HasLen, 0, qt.Commentf("%s: %+v", job.ID, want))
			o.CancelJob(o.now, job.ID)
			continue
		}
		placed++
		o.c.Assert(o.starts[before:], qt.DeepEquals, []string{string(job.ID) + " on " + string(want.Workers[0].Worker)}, qt.Commentf("%+v", want))
	}
	o.c.Assert(placed > 20, qt.IsTrue, qt.Commentf("%d placed", placed))
}

// Guards against a wrong reason why a worker can't take a task.
func TestWhereSaysWhyNot(t *testing.T) {
	o := newDisturbedOwner(t, 7, nil)
	o.teach("cure", "mill", 3)
	o.add("cure", "cure", 1, false, "w06")
	full := testStep(1)
	full.LongRunning, full.RequiredLabel, full.Required.CPU = true, "w00", 8000
	o.AddJob(o.now, testJob("full", full), wigeonjob.Progress{}, false)
	o.advance(time.Second)
	o.workers["w01"].Draining = true
	o.workers["w02"].cordoned = "vm"
	o.workers["w03"].failures = 1
	o.workers["w04"].backoff.until = o.now.Steady + time.Second
	milling := testStep(2)
	milling.Image, milling.BestEffort = "mill", true
	big := testStep(3, 0)
	huge := testStep(1)
	huge.Required.CPU = 7000
	gang := testStep(20)
	gang.Gang = true
	job := testJob("asked", milling, big, huge, gang)
	o.SetTeams([]wigeonstep.Team{{Name: "team", Weight: 2, Limit: wigeonstep.Resources{CPU: 4000}}})
	job.Team = "team"
	encoded, err := json.MarshalIndent(o.Where(o.now, job), "", "  ")
	o.c.Assert(err, qt.IsNil)
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "where", append(encoded, '\n'))
}

// Guards against an answer that leaves out the limit of the team: a new owner may start nothing of a team with a limit before the
// division has granted it a part.
func TestWhereNamesTheLimit(t *testing.T) {
	o := newDisturbedOwner(t, 2, nil)
	teams := []wigeonstep.Team{{Name: "team", Weight: 2, Limit: wigeonstep.Resources{CPU: 4000}}}
	o.SetTeams(teams)
	o.SetLimits(o.now, 1, teams)
	job := testJob("asked", testStep(1))
	o.c.Assert(o.Where(o.now, job).Steps[0].WaitsFor, qt.Equals, "")
	job.Team = "team"
	o.c.Assert(o.Where(o.now, job).Steps[0].WaitsFor, qt.Contains, "the limit of team team (quota)")
}

// Guards against a question that holds the event loop of the owner for as many steps as a job may have.
func TestWhereExplainsFewSteps(t *testing.T) {
	o := newDisturbedOwner(t, 2, nil)
	steps := make([]wigeonjob.Step, 256)
	for i := range steps {
		steps[i] = testStep(1)
	}
	answer := o.Where(o.now, testJob("asked", steps...))
	o.c.Assert(answer.Steps, qt.HasLen, 16)
	o.c.Assert(answer.MoreSteps, qt.Equals, 240)
	answer = o.Where(o.now, testJob("asked", steps[:16]...))
	o.c.Assert(answer.Steps, qt.HasLen, 16)
	o.c.Assert(answer.MoreSteps, qt.Equals, 0)
}

// Guards against an answer that names another first worker than placement takes: among equal ones, those whose last runs failed come
// last in the pool.
func TestWhereFollowsPool(t *testing.T) {
	for name, data := range map[string]wigeonstep.Label{"plain": "", "scored": "rack"} {
		t.Run(name, func(t *testing.T) {
			o := newDisturbedOwner(t, 6, nil)
			for _, id := range []wigeonstep.WorkerID{"w00", "w01", "w02", "w03", "w04"} {
				o.workers[id].backoff.until = o.now.Steady + time.Second
			}
			s := testStep(1)
			s.DataRack = data
			job := testJob("asked", s)
			workers := o.Where(o.now, job).Steps[0].Workers
			o.c.Assert(len(workers) > 1, qt.IsTrue)
			o.c.Assert(workers[0].Worker, qt.Equals, wigeonstep.WorkerID("w05"))
			before := len(o.starts)
			o.AddJob(o.now, job, wigeonjob.Progress{}, false)
			o.advance(100 * time.Millisecond)
			o.c.Assert(o.starts[before:], qt.DeepEquals, []string{"asked on w05"})
		})
	}
}
