package wigeonshard

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// gangWorld lets the members of a gang end together, and one of them fail first when failures is above 0.
func gangWorld(t *testing.T, failures int) *world {
	w := newWorld(t, 20, 4)
	starts := map[wigeonstep.RunNumber]int{}
	w.duration = func(id wigeonstep.RunID) (time.Duration, wigeonstep.EndCause) {
		starts[id.Number]++
		if int(id.Number) <= failures && id.Task.Index == 0 {
			return 300 * time.Millisecond, wigeonstep.EndFailed
		}
		if int(id.Number) <= failures {
			return 310 * time.Millisecond, wigeonstep.EndBroken
		}
		return 500 * time.Millisecond, wigeonstep.EndDone
	}
	return w
}

func gangJob(count int) *wigeonjob.Job {
	s := testStep(count)
	s.Gang, s.SameRack = true, true
	return testJob("gang", s)
}

// Guards against a gang of which only some members start: all start with one run number, or none does.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	c := qt.New(t)
	w := gangWorld(t, 0)
	w.own()
	// Each worker holds four tasks of this size: 16 fit on all four.
	tooBig := gangJob(17)
	tooBig.ID = "toobig"
	w.submit(tooBig)
	w.submit(gangJob(9))
	w.run(5 * time.Second)
	c.Assert(w.faults, qt.HasLen, 0)
	c.Assert(w.log.Find("gang").State(), qt.Equals, wigeonjob.StateCompleted)
	c.Assert(w.log.Find("toobig").State(), qt.Equals, wigeonjob.StatePending)
	c.Assert(w.history[wigeonstep.TaskID{Job: "toobig"}], qt.HasLen, 0)
}

// Guards against members of a gang that start again one by one, with different run numbers, after one has failed, and
// against failures that are counted once for each member.
func TestGangStartsAgainAsAWhole(t *testing.T) {
	c := qt.New(t)
	w := gangWorld(t, 3)
	w.own()
	w.submit(gangJob(5))
	w.run(8 * time.Second)
	c.Assert(w.faults, qt.HasLen, 0)
	c.Assert(w.log.Find("gang").State(), qt.Equals, wigeonjob.StateCompleted)
	for i := range 5 {
		starts := 0
		for _, line := range w.history[wigeonstep.TaskID{Job: "gang", Index: i}] {
			var number, fence int
			var at, worker string
			if n, _ := fmt.Sscanf(line, "%s run %d starts on %s by %d", &at, &number, &worker, &fence); n == 4 {
				starts++
				c.Assert(number, qt.Equals, starts)
			}
		}
		c.Assert(starts, qt.Equals, 4)
	}
}

// Guards against a gang that never ends because a member fails as often as its queue allows.
func TestFailingGangEndsAfterItsAttempts(t *testing.T) {
	c := qt.New(t)
	w := gangWorld(t, 100)
	w.own()
	w.submit(gangJob(3))
	w.run(8 * time.Second)
	c.Assert(w.log.Find("gang").State(), qt.Equals, wigeonjob.StateFailed)
}

// Guards against occurrences that start early, are left out, or wait for each other.
func TestOccurrencesStartAtTheirTimes(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 21, 2)
	w.own()
	job := testJob("timed", testStep(2))
	job.Repeats, job.Interval = 4, time.Second
	job.StartAt = w.time().Wall + 1500
	began := w.now
	w.duration = func(wigeonstep.RunID) (time.Duration, wigeonstep.EndCause) {
		return 2500 * time.Millisecond, wigeonstep.EndDone
	}
	w.submit(job)
	for k := range job.Repeats {
		due := began + 1500*time.Millisecond + time.Duration(k)*job.Interval
		w.run(due - w.now - 10*time.Millisecond)
		id := wigeonstep.TaskID{Job: "timed", Occurrence: k}
		c.Assert(w.running[id], qt.Equals, 0)
		w.run(250 * time.Millisecond)
		c.Assert(w.running[id], qt.Equals, 1)
	}
	w.run(4 * time.Second)
	c.Assert(w.faults, qt.HasLen, 0)
	c.Assert(w.log.Find("timed").State(), qt.Equals, wigeonjob.StateCompleted)
}

// Guards against occurrences that are lost or repeated when the owner changes between them.
func TestOccurrencesSurviveAChangeOfOwner(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 22, 2)
	w.own()
	job := testJob("timed", testStep(1))
	job.Repeats, job.Interval, job.StartAt = 5, time.Second, w.time().Wall+500
	w.submit(job)
	for range 4 {
		w.run(1100 * time.Millisecond)
		w.owners[len(w.owners)-1].dead = true
		w.own()
	}
	w.run(5 * time.Second)
	c.Assert(w.faults, qt.HasLen, 0)
	c.Assert(w.log.Find("timed").State(), qt.Equals, wigeonjob.StateCompleted)
	for k := range job.Repeats {
		c.Assert(w.doneTasks[wigeonstep.TaskID{Job: "timed", Occurrence: k}], qt.IsTrue)
	}
}

// Guards against an occurrence that no owner starts: it had not begun when a later one had, and a new owner took the later
// one for the first that is left.
func TestOccurrenceThatNeverBeganIsNotLeftOut(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 25, 2)
	job := testJob("timed", testStep(1))
	job.Repeats, job.Interval, job.StartAt = 3, time.Second, w.time().Wall-1500
	w.submit(job)
	value, err := wigeonjob.EncodeProgress(&wigeonjob.Progress{
		State: wigeonjob.StateRunning, Tasks: []wigeonjob.TaskProgress{{Occurrence: 1, LastRun: 1, Failures: 1}},
	})
	c.Assert(err, qt.IsNil)
	w.apply(wigeonstep.KeyedRecord{Key: wigeonjob.Key(wigeonjob.KindProgress, job.ID), Value: value})
	w.own()
	w.run(5 * time.Second)
	c.Assert(w.faults, qt.HasLen, 0)
	for k := range job.Repeats {
		c.Assert(w.doneTasks[wigeonstep.TaskID{Job: "timed", Occurrence: k}], qt.IsTrue)
	}
	c.Assert(w.log.Find("timed").State(), qt.Equals, wigeonjob.StateCompleted)
}

// Guards against tasks on workers without the label they need, or more of them on one worker than allowed.
func TestLabelsAndCopiesPerWorker(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 23, 8)
	w.own()
	labelled := testStep(3)
	labelled.RequiredLabel = "r1"
	apart := testStep(8)
	apart.MaxPerWorker = 1
	w.submit(testJob("labelled", labelled))
	w.submit(testJob("apart", apart))
	w.run(150 * time.Millisecond)
	for _, l := range w.listed {
		f := w.workers[l.ID]
		copies := 0
		for _, r := range f.sorted() {
			switch r.id.Task.Job {
			case "labelled":
				c.Assert(l.Rack, qt.Equals, wigeonstep.Label("r1"))
			case "apart":
				copies++
			}
		}
		c.Assert(copies <= 1, qt.IsTrue)
	}
	w.run(8 * time.Second)
	c.Assert(w.unfinished(), qt.HasLen, 0)
}

// Guards against data that is left far away while its rack has room, and against a job that waits for ever for a rack.
func TestTasksRunNearTheirData(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 24, 8)
	w.own()
	near := testStep(4)
	near.DataRack = "r1"
	w.submit(testJob("near", near))
	w.run(150 * time.Millisecond)
	for _, l := range w.listed {
		if l.Rack != "r1" {
			c.Assert(w.workers[l.ID].runs, qt.HasLen, 0)
		}
	}
	gone := testStep(4)
	gone.DataRack = "nowhere"
	w.submit(testJob("gone", gone))
	w.run(5 * time.Second)
	c.Assert(w.unfinished(), qt.HasLen, 0)
}

// Guards against work on queues with advice that starts without a ticket, and against one that is never asked about.
func TestAdviceIsAskedAndKept(t *testing.T) {
	c := qt.New(t)
	o, now := fullOwner(4, 0)
	for _, w := range o.roster {
		o.loseRuns(now, w, "test")
	}
	o.changed = true
	job := testJob("advised", testStep(2))
	job.Policy.Advice = &wigeonstep.AdvicePolicy{}
	o.Add(now, job, wigeonjob.Progress{}, true)
	job = testJob("advised2", testStep(2))
	job.Policy.Advice = &wigeonstep.AdvicePolicy{}
	for _, j := range o.order {
		if !j.state.Terminal() {
			o.Cancel(now, j.ID)
		}
	}
	o.Add(now, job, wigeonjob.Progress{}, false)
	now.Steady += 200 * time.Millisecond
	a := o.Step(now)
	c.Assert(a.Questions, qt.HasLen, 1)
	c.Assert(a.Questions[0].Job, qt.Equals, wigeonstep.JobID("advised2"))
	o.Flushed(now)
	good := o.roster[2].ID
	o.Advised(now, a.Questions[0], wigeonstep.Advice{Tickets: map[wigeonstep.WorkerID]wigeonstep.Ticket{good: "t"}, Valid: 3 * time.Second}, nil)
	now.Steady += 200 * time.Millisecond
	o.Step(now)
	o.Flushed(now)
	now.Steady += 200 * time.Millisecond
	starts := o.Step(now).Starts
	c.Assert(starts, qt.HasLen, 2)
	for _, s := range starts {
		c.Assert(s.Worker.ID, qt.Equals, good)
		c.Assert(s.Order.Ticket, qt.Equals, wigeonstep.Ticket("t"))
	}
}

// Guards against serving tasks that stay over their target because of best-effort work beside them, and against tasks that
// fill and are never let go again.
func TestBestEffortYieldsToServingTasks(t *testing.T) {
	c := qt.New(t)
	now := Now{Steady: time.Hour, Wall: 1_700_000_000_000}
	o := NewOwner(testSettings, 1, now, wigeonjob.OwnerNote{})
	o.SetWorkers(now, []wigeonstep.ListedWorker{{ID: "w", Address: "10.0.0.1:80", Service: testService, Capacity: wigeonstep.Resources{CPU: 8000, Memory: 8192}}})
	o.Step(now)
	o.Held(now, "w", wigeonstep.HoldResult{Clock: 5000}, nil)
	o.Flushed(now)
	serving, besteffort := testStep(1), testStep(1)
	serving.LongRunning, serving.Target = true, 40*time.Millisecond
	besteffort.LongRunning, besteffort.BestEffort = true, true
	o.Add(now, testJob("serving", serving), wigeonjob.Progress{}, false)
	o.Add(now, testJob("besteffort", besteffort), wigeonjob.Progress{}, false)
	step := func(tail time.Duration) []Pace {
		now.Steady += time.Second
		if o.Step(now).Append != nil {
			o.Flushed(now)
		}
		for _, s := range o.Step(now).Starts {
			o.Started(now, s.Worker.ID, s.Order.Run, wigeonstep.StartResult{Verdict: wigeonstep.StartTaken, Clock: 5000})
		}
		w := o.workers["w"]
		w.holding = true
		var listed []wigeonstep.RunningRun
		for _, r := range w.runs {
			if r.phase == runTaken {
				entry := wigeonstep.RunningRun{Run: r.id(), Percent: 100}
				if r.task.step.Target > 0 {
					entry.Tail = tail
				}
				listed = append(listed, entry)
			}
		}
		o.Held(now, "w", wigeonstep.HoldResult{Clock: 5000, Running: listed}, nil)
		return o.Step(now).Paces
	}
	for range 4 {
		step(10 * time.Millisecond)
	}
	pace := 100
	for range 3 {
		for _, p := range step(60 * time.Millisecond) {
			c.Assert(p.Run.Task.Job, qt.Equals, wigeonstep.JobID("besteffort"))
			c.Assert(p.Percent < pace, qt.IsTrue)
			pace = p.Percent
		}
	}
	c.Assert(pace <= 25, qt.IsTrue)
	for range 20 {
		for _, p := range step(5 * time.Millisecond) {
			c.Assert(p.Percent > pace, qt.IsTrue)
			pace = p.Percent
		}
	}
	c.Assert(pace, qt.Equals, 100)
}
