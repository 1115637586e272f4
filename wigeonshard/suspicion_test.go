package wigeonshard

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// sharedCrash is a crash of which the task is one of several likely causes.
var sharedCrash = wigeonjob.WorkerCrash{Run: 1, Worker: "gone", RunAge: 20 * time.Millisecond, Ended: true, Likely: true}

// Guards against a job without a run because one of its tasks waits for a worker of its own: the other tasks start at once.
func TestTasksBesideASuspectStartAtOnce(t *testing.T) {
	c := qt.New(t)
	o := newAdvisedOwner(2)
	o.AddJob(o.now, testJob("job", testStep(3)), wigeonjob.Progress{Tasks: []wigeonjob.TaskProgress{{LastRun: 1, Crashes: []wigeonjob.WorkerCrash{sharedCrash}}}}, false)
	o.advance(60 * time.Millisecond)
	c.Assert(o.started, qt.HasLen, 3)
	c.Assert(o.running["w000"], qt.HasLen, 1, qt.Commentf("the suspect has a worker of its own"))
}

// Guards against innocent tasks that wait for ever in the queue for workers of their own after a series of crashes: a task at which
// no more points than at the others that were lost with it starts like any other in the end.
func TestWeakSuspicionEndsByItself(t *testing.T) {
	c := qt.New(t)
	sole, other := sharedCrash, sharedCrash
	sole.Sole, other.Run, other.Worker = true, 2, "also gone"
	for _, test := range []struct {
		name    string
		crashes crashHistory
		want    bool
	}{
		{"one of several likely causes", crashHistory{sharedCrash}, false},
		{"the only likely cause", crashHistory{sole}, true},
		{"a likely cause twice", crashHistory{sharedCrash, other}, true},
	} {
		suspect := &task{step: &step{Step: &wigeonjob.Step{}}, crashes: test.crashes, waitingSince: time.Hour}
		c.Check(suspect.mustIsolate(time.Hour), qt.IsTrue, qt.Commentf("%s", test.name))
		c.Check(suspect.mustIsolate(time.Hour+maxIsolationWait), qt.Equals, test.want, qt.Commentf("%s", test.name))
	}
}

// Guards against a run that never began and is counted as a crash at its start: its worker answers a stop of a run that it doesn't
// have like any other.
func TestStoppedRunThatNeverBeganIsNoEvidence(t *testing.T) {
	c := qt.New(t)
	o := newAnsweredOwner(t, 1, 100_000)
	runs := o.submit("job", 1)
	for range maxStartTries {
		for len(o.starts) == 0 {
			o.advance(10 * time.Millisecond)
		}
		o.answerStart(o.starts[0], wigeonstep.StartResult{Verdict: wigeonstep.StartUnknown})
		o.starts = nil
	}
	for range 100 {
		if len(o.stops) == 0 {
			o.advance(10 * time.Millisecond)
		}
	}
	c.Assert(o.stops, qt.HasLen, 1)
	c.Assert(o.stops[0].Run, qt.Equals, runs[0])
	o.answerStop(o.stops[0], nil)
	o.failHeartbeat(wigeonstep.ErrConnectionClosed)
	for _, l := range o.LostWorkers() {
		o.WorkerEnded(o.now, l)
	}
	crashes := o.jobs["job"].occurrences[0].steps[0].tasks[0].crashes
	for _, crash := range crashes {
		c.Check(crash.Confirmed(), qt.IsFalse)
		c.Check(crash.Sole, qt.IsFalse)
	}
	c.Assert(crashes.suspicious(), qt.IsFalse)
}

// Guards against suspicion of the tasks on workers that were lost at once, such as with the power of a rack, and against tasks that
// crash their workers together and are never suspected.
func TestLossesAtOnceRaiseSuspicionOnlyTheSecondTime(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 12, 9)
	m.vmList = true
	m.outcome = func(wigeonstep.RunID) (time.Duration, wigeonstep.EndCause) { return time.Second, wigeonstep.EndDone }
	o := m.addOwner()
	m.submitJob(testJob("job", testStep(20)))
	m.advance(100 * time.Millisecond)
	suspects := func() int { return o.jobs["job"].occurrences[0].steps[0].suspects }
	for n := range commonLossWorkers {
		m.crash(wigeonstep.WorkerID(fmt.Sprintf("w%02d", n)), false)
	}
	m.advance(900 * time.Millisecond)
	c.Assert(suspects(), qt.Equals, 0)
	m.advance(20 * time.Second)
	c.Assert(m.violations, qt.HasLen, 0)
	c.Assert(m.unfinishedJobs(), qt.HasLen, 0)

	twice := crashHistory{{Run: 1, Worker: "a", Likely: true, Explained: true, Ended: true, RunAge: time.Millisecond}, sharedCrash}
	c.Assert(twice[:1].suspicious(), qt.IsFalse)
	c.Assert(twice.suspicious(), qt.IsTrue)
}

// Guards against a long-running task that is given up because workers crash at a steady pace, each time the one below it, although
// its runs have served for seconds; and against one that crashes its workers at the start and is started without end.
func TestLongRunningTaskIsGivenUpOnlyForEarlyCrashes(t *testing.T) {
	c := qt.New(t)
	history := func(age time.Duration) crashHistory {
		var h crashHistory
		for n := range wigeonstep.RunNumber(maxCrashes) {
			h = append(h, wigeonjob.WorkerCrash{Run: n, Worker: wigeonstep.WorkerID(fmt.Sprint(n)), RunAge: age, Ended: true, Likely: true, Sole: true})
		}
		return h
	}
	for _, test := range []struct {
		longRunning bool
		age         time.Duration
		want        bool
	}{
		{longRunning: true, age: 5 * time.Second, want: false},
		{longRunning: true, age: 10 * time.Millisecond, want: true},
		{longRunning: true, age: 0, want: true},
		{longRunning: false, age: 5 * time.Second, want: true},
	} {
		lasting := &task{step: &step{Step: &wigeonjob.Step{LongRunning: test.longRunning}}, crashes: history(test.age)}
		c.Check(lasting.evidence().conclusive(), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}
