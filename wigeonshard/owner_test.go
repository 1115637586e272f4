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

// Guards against a job whose steps never start or never end on a calm day.
func TestCalmDayCompletesAllJobs(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 1, 4)
	w.own()
	for i := range 20 {
		w.submit(testJob(wigeonstep.JobID(fmt.Sprintf("job%02d", i)), testStep(4), testStep(3, 0)))
	}
	w.run(20 * time.Second)
	c.Assert(w.faults, qt.HasLen, 0)
	c.Assert(w.unfinished(), qt.HasLen, 0)
}

// Guards against renewals that keep the lease of a silent worker alive: every hold that got no answer moved the end of
// the lease on, so the tasks of a worker that was gone for good never started again.
func TestTasksOfSilentWorkerStartElsewhere(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 2, 3)
	w.own()
	lasting := testStep(2)
	lasting.LongRunning, lasting.MaxPerWorker = true, 1
	w.submit(testJob("lasting", lasting))
	w.run(2 * time.Second)
	var held wigeonstep.WorkerID
	for _, l := range w.listed {
		if len(w.workers[l.ID].runs) > 0 {
			held = l.ID
		}
	}
	w.crash(held, false)
	w.run(testSettings.Lease + 3*time.Second)
	c.Assert(w.faults, qt.HasLen, 0)
	for i := range lasting.Count {
		c.Assert(w.running[wigeonstep.TaskID{Job: "lasting", Index: i}], qt.Equals, 1)
	}
}

// Guards against a wait that begins anew with each owner: while owners replaced each other every two seconds, none of
// them waited long enough to give up the runs of a worker that was gone.
func TestOwnersInSuccessionGiveSilentWorkerUp(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 5, 3)
	w.own()
	lasting := testStep(1)
	lasting.LongRunning = true
	w.submit(testJob("lasting", lasting))
	w.run(2 * time.Second)
	for _, l := range w.listed {
		if len(w.workers[l.ID].runs) > 0 {
			w.crash(l.ID, false)
		}
	}
	w.run(time.Second)
	for range 5 {
		w.owners[len(w.owners)-1].dead = true
		w.own()
		w.run(2 * time.Second)
	}
	c.Assert(w.faults, qt.HasLen, 0)
	c.Assert(w.running[wigeonstep.TaskID{Job: "lasting"}], qt.Equals, 1)
}

// Guards against runs on a worker that is known only from the log: its entry was gone when the new owner began, so it was
// never asked, never failed to answer, and its tasks never started elsewhere.
func TestRunsOfUnlistedWorkerAreGivenUp(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 6, 3)
	w.own()
	lasting := testStep(1)
	lasting.LongRunning = true
	w.submit(testJob("lasting", lasting))
	w.run(2 * time.Second)
	for i, l := range w.listed {
		if len(w.workers[l.ID].runs) > 0 {
			w.crash(l.ID, false)
			w.listed = slices.Delete(w.listed, i, i+1)
			break
		}
	}
	w.owners[0].dead = true
	w.run(time.Second)
	w.own()
	w.run(testSettings.ConfirmLimit + testSettings.Lease + 2*time.Second)
	c.Assert(w.faults, qt.HasLen, 0)
	c.Assert(w.running[wigeonstep.TaskID{Job: "lasting"}], qt.Equals, 1)
}

// Guards against a note that outlives its worker's silence: the worker's entry was gone for a while and it was forgotten,
// it came back and got work, and the next owner took that work for lapsed because the note still named the worker.
func TestWorkerThatCameBackIsNotTakenForLapsed(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 7, 1)
	o := w.own()
	lasting := testStep(1)
	lasting.LongRunning = true
	w.submit(testJob("lasting", lasting))
	w.run(2 * time.Second)
	o.cut["w00"] = true
	listed := w.listed
	w.run(testSettings.Lease + 3*time.Second)
	o.SetWorkers(w.time(), nil)
	w.run(time.Second)
	o.cut["w00"] = false
	o.SetWorkers(w.time(), listed)
	w.run(2 * time.Second)
	task := wigeonstep.TaskID{Job: "lasting"}
	c.Assert(w.running[task], qt.Equals, 1)
	c.Assert(w.log.Owner.Lapses, qt.HasLen, 0)
	w.run(5 * time.Second)
	w.owners[0].dead = true
	w.own()
	w.run(3 * time.Second)
	c.Assert(w.faults, qt.HasLen, 0)
	c.Assert(w.running[task], qt.Equals, 1)
}

// Guards against a job that is taken over again after its end: it was handed in twice, and the second record was read
// together with progress older than the end.
func TestEndedJobIsNotTakenOverAgain(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 8, 2)
	o := w.own()
	job := testJob("twice", testStep(2))
	w.submit(job)
	w.run(100 * time.Millisecond)
	stale := w.log.Find("twice").Progress
	c.Assert(stale.State, qt.Equals, wigeonjob.StateRunning)
	w.run(3 * time.Second)
	c.Assert(w.log.Find("twice").State(), qt.Equals, wigeonjob.StateCompleted)
	o.Add(w.time(), job, stale, false)
	w.run(3 * time.Second)
	c.Assert(w.faults, qt.HasLen, 0)
	state, known := o.State("twice")
	c.Assert(known, qt.IsTrue)
	c.Assert(state, qt.Equals, wigeonjob.StateCompleted)
}

// Guards against a second run of jobs that ended under an earlier owner: when the history of the log is gone, the owner's
// process lists all records again, and those that accepted the jobs come before those of their progress.
func TestJobThatEndedEarlierIsNotTakenOver(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 8, 2)
	w.own()
	job := testJob("earlier", testStep(2))
	w.submit(job)
	w.run(3 * time.Second)
	c.Assert(w.log.Find("earlier").State(), qt.Equals, wigeonjob.StateCompleted)
	next := w.own()
	next.Add(w.time(), job, wigeonjob.Progress{}, false)
	w.run(3 * time.Second)
	c.Assert(w.faults, qt.HasLen, 0)
	state, known := next.State("earlier")
	c.Assert(known, qt.IsTrue)
	c.Assert(state, qt.Equals, wigeonjob.StateCompleted)
}

// Guards against planned work that adds to a failure: while the worker of one task is silent, no other task of the step
// is stopped for an upkeep.
func TestNoTaskMovesWhileAnotherIsSilent(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 9, 5)
	o := w.own()
	lasting := testStep(3)
	lasting.LongRunning, lasting.MaxPerWorker, lasting.MaxUnavailable = true, 1, 1
	w.submit(testJob("lasting", lasting))
	w.run(2 * time.Second)
	var busy []wigeonstep.WorkerID
	for _, l := range w.listed {
		if len(w.workers[l.ID].runs) > 0 {
			busy = append(busy, l.ID)
		}
	}
	w.crash(busy[0], false)
	w.run(time.Second)
	w.cordons[busy[1]] = "vm"
	o.SetCordons(w.cordons)
	for range 40 {
		w.run(50 * time.Millisecond)
		c.Assert(w.workers[busy[1]].runs, qt.HasLen, 1)
	}
	w.run(testSettings.Lease + 2*time.Second)
	c.Assert(w.workers[busy[1]].runs, qt.HasLen, 0)
	for i := range 3 {
		c.Assert(w.running[wigeonstep.TaskID{Job: "lasting", Index: i}], qt.Equals, 1)
	}
}

// Guards against a log that grows for ever: an ended job is removed with all its keys, and a job that runs is not.
func TestEndedJobsAreDropped(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 10, 2)
	o := w.own()
	lasting := testStep(1)
	lasting.LongRunning = true
	w.submit(testJob("ended", testStep(2)))
	w.submit(testJob("lasting", lasting))
	w.run(3 * time.Second)
	expired := w.log.Expired(w.time().Wall, 10)
	c.Assert(expired, qt.DeepEquals, []wigeonstep.JobID{"ended"})
	o.Drop(append(expired, "lasting"))
	w.run(time.Second)
	c.Assert(w.log.Find("ended"), qt.IsNil)
	c.Assert(w.log.Jobs(), qt.HasLen, 1)
	_, known := o.State("ended")
	c.Assert(known, qt.IsFalse)
	c.Assert(w.running[wigeonstep.TaskID{Job: "lasting"}], qt.Equals, 1)
}

// Guards against a task that runs twice, is lost, or starts after its end was noted, while owners replace each other,
// calls are lost or carried out late, workers crash and come back, and the log is away.
func TestSeededFaults(t *testing.T) {
	seeds := 150
	if testing.Short() {
		seeds = 20
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(t, uint64(seed), 6)
			w.loss, w.late = 0.03, 0.02
			w.own()
			for i := range 40 {
				job := testJob(wigeonstep.JobID(fmt.Sprintf("job%02d", i)), testStep(1+w.random.IntN(6)), testStep(1+w.random.IntN(3), 0))
				w.after(time.Duration(w.random.IntN(15_000))*time.Millisecond, func() { w.submit(job) })
				if w.random.IntN(8) == 0 {
					w.after(time.Duration(w.random.IntN(20_000))*time.Millisecond, func() {
						if w.log.Find(job.ID) != nil {
							w.cancel(job.ID)
						}
					})
				}
			}
			for range 6 {
				w.after(time.Duration(w.random.IntN(20_000))*time.Millisecond, func() { w.disturb() })
			}
			w.run(22 * time.Second)
			w.calm()
			w.run(60 * time.Second)
			c.Assert(w.faults, qt.HasLen, 0)
			c.Assert(w.unfinished(), qt.HasLen, 0)
		})
	}
}

// disturb does one thing that may happen to a fleet.
func (w *world) disturb() {
	id := w.listed[w.random.IntN(len(w.listed))].ID
	newest := w.owners[len(w.owners)-1]
	switch w.random.IntN(6) {
	case 0:
		newest.dead = true
		w.after(time.Second, func() { w.own() })
	case 1:
		// The former owner is cut off from the log and goes on.
		newest.cutFromLog = true
		w.own()
	case 2:
		w.crash(id, true)
	case 3:
		newest.cut[id] = true
		w.after(8*time.Second, func() { newest.cut[id] = false })
	case 4:
		w.logDown = true
		w.after(4*time.Second, func() { w.logDown = false })
	case 5:
		// A new owner while the former one still reaches everything.
		w.own()
	}
}

// calm ends all disturbances.
func (w *world) calm() {
	w.loss, w.late, w.logDown = 0, 0, false
	for _, o := range w.owners {
		o.cut = map[wigeonstep.WorkerID]bool{}
		o.cutFromLog = false
	}
	if w.owners[len(w.owners)-1].dead {
		w.own()
	}
}

// Guards against a job that can never be done and holds its workers for ever.
func TestFailingJobEndsAfterItsAttempts(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 3, 2)
	starts := 0
	w.duration = func(wigeonstep.RunID) (time.Duration, wigeonstep.EndCause) {
		starts++
		return 100 * time.Millisecond, wigeonstep.EndFailed
	}
	w.own()
	w.submit(testJob("failing", testStep(1)))
	w.run(10 * time.Second)
	c.Assert(starts, qt.Equals, 4)
	c.Assert(w.log.Find("failing").State(), qt.Equals, wigeonjob.StateFailed)
}

// Guards against an upkeep that ends work: a worker is released only when nothing runs there, and long-running tasks
// move one at a time.
func TestCordonedWorkerIsEmptiedWithinBudget(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 4, 5)
	o := w.own()
	lasting := testStep(3)
	lasting.LongRunning, lasting.MaxPerWorker, lasting.MaxUnavailable = true, 1, 1
	w.submit(testJob("lasting", lasting))
	w.run(2 * time.Second)
	for _, l := range w.listed {
		if len(w.workers[l.ID].runs) > 0 {
			w.cordons[l.ID] = wigeonstep.VMID("vm-" + string(l.ID))
			if len(w.cordons) == 2 {
				break
			}
		}
	}
	o.SetCordons(w.cordons)
	least := 3
	for range 300 {
		w.run(10 * time.Millisecond)
		running := 0
		for i := range 3 {
			running += w.running[wigeonstep.TaskID{Job: "lasting", Index: i}]
		}
		least = min(least, running)
	}
	c.Assert(w.faults, qt.HasLen, 0)
	c.Assert(least, qt.Equals, 2)
	for id := range w.cordons {
		c.Assert(w.workers[id].runs, qt.HasLen, 0)
		c.Assert(w.log.Releases[id].Worker, qt.Equals, id)
	}
}

// Guards the answer to an operator who asks why a job does not go on.
func TestExplain(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 4, 1)
	o := w.own()
	wide, after := testStep(2), testStep(1)
	after.After = []int{0}
	huge := testStep(1)
	huge.Need.CPU = 1 << 20
	chained := testJob("chain", wide, after)
	chained.Accepted = w.time().Wall
	w.submit(chained)
	w.submit(testJob("huge", huge))
	w.run(100 * time.Millisecond)
	_, known := o.Explain(w.time(), "other")
	c.Assert(known, qt.IsFalse)
	chain, known := o.Explain(w.time(), "chain")
	c.Assert(known, qt.IsTrue)
	c.Assert(chain, qt.Equals, wigeonstep.Standing{
		Kind: "job", Subject: "chain", WaitsFor: "step 0.1: the steps before it",
		State: "running, service bake, accepted 100ms ago, step 0.0: 0 of 2 tasks done, 2 runs, step 0.1: 0 of 1 tasks done, 0 runs",
	})
	stuck, _ := o.Explain(w.time(), "huge")
	c.Assert(stuck.WaitsFor, qt.Equals, "step 0.0: room for 1 tasks of 1048576 millicores and 1000 MB: none of 1 usable workers has any")
	w.run(3 * time.Second)
	chain, _ = o.Explain(w.time(), "chain")
	c.Assert(chain.State, qt.Equals, "completed")
}

// Guards against a log and a memory that grow with each move: the release of a worker that has gone is removed after some
// time, also by a later owner; that of one that is still there stays.
func TestReleasesOfGoneWorkersAreRemoved(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 4, 3)
	o := w.own()
	w.run(time.Second)
	gone, there := w.listed[0].ID, w.listed[1].ID
	w.cordons[gone], w.cordons[there] = "vm-gone", "vm-there"
	o.SetCordons(w.cordons)
	w.run(time.Second)
	c.Assert(w.log.Releases, qt.HasLen, 2)
	w.listed = w.listed[1:]
	o.SetWorkers(w.time(), w.listed)
	w.run(time.Minute)
	c.Assert(w.log.Releases, qt.HasLen, 2)
	w.own()
	w.run(3 * time.Minute)
	c.Assert(w.faults, qt.HasLen, 0)
	c.Assert(w.log.Releases, qt.HasLen, 1)
	c.Assert(w.log.Releases[there].Worker, qt.Equals, there)
}
