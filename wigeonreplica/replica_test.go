package wigeonreplica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// record returns a record with the value that an Encode function returned together with err. It asserts that err is nil.
func record(c *qt.C, kind wigeonjob.Kind, id string, value []byte, err error) wigeonstep.KeyedRecord {
	c.Assert(err, qt.IsNil)
	return wigeonstep.KeyedRecord{Key: wigeonjob.Key(kind, id), Value: value}
}

func jobRecord(c *qt.C, id, spec string) wigeonstep.KeyedRecord {
	value, err := wigeonjob.EncodeJob(&wigeonjob.Job{
		ID: wigeonstep.JobID(id), Queue: "q", Service: "s", Spec: spec, Steps: []wigeonjob.Step{{Count: 1}},
	})
	return record(c, wigeonjob.KindJob, id, value, err)
}

// Guards against a second submission that replaces the job while its tasks may be running.
func TestFirstRecordOfAJobIsKept(t *testing.T) {
	c := qt.New(t)
	var r Replica
	c.Assert(r.Apply(jobRecord(c, "1", "first")), qt.IsNil)
	c.Assert(r.Apply(jobRecord(c, "1", "second")), qt.IsNil)
	c.Assert(r.Find("1").Job.Spec, qt.Equals, "first")
	c.Assert(r.CountPending("q"), qt.Equals, 1)
}

// Guards against losing a cancellation that is read before its job, and against one that changes the state of an ended job.
func TestCancellationBeforeJobAndAfterEnd(t *testing.T) {
	c := qt.New(t)
	var r Replica
	cancel, err := wigeonjob.EncodeCancel(5)
	c.Assert(r.Apply(record(c, wigeonjob.KindCancel, "1", cancel, err)), qt.IsNil)
	c.Assert(r.Find("1"), qt.IsNil)
	c.Assert(r.Apply(jobRecord(c, "1", "x")), qt.IsNil)
	c.Assert(r.Find("1").State(), qt.Equals, wigeonjob.StateCancelled)
	c.Assert(r.CountPending("q"), qt.Equals, 0)

	c.Assert(r.Apply(jobRecord(c, "2", "x")), qt.IsNil)
	ended, err := wigeonjob.EncodeProgress(&wigeonjob.Progress{State: wigeonjob.StateCompleted})
	c.Assert(r.Apply(record(c, wigeonjob.KindProgress, "2", ended, err)), qt.IsNil)
	c.Assert(r.Apply(record(c, wigeonjob.KindCancel, "2", cancel, nil)), qt.IsNil)
	c.Assert(r.Find("2").State(), qt.Equals, wigeonjob.StateCompleted)
}

// Guards against an undecodable record that keeps later ones from being applied.
func TestInvalidRecordsAreSkipped(t *testing.T) {
	c := qt.New(t)
	var r Replica
	for _, invalid := range []wigeonstep.KeyedRecord{
		{Key: "", Value: []byte("x")},
		{Key: "z/1", Value: []byte("x")},
		{Key: "j/1", Value: []byte("\xff\xff")},
		{Key: "p/1", Value: []byte("\xff\xff")},
		{Key: "o/", Value: []byte("\xff")},
	} {
		c.Assert(r.Apply(invalid), qt.IsNotNil, qt.Commentf("%q", invalid.Key))
	}
	c.Assert(r.Apply(jobRecord(c, "1", "x")), qt.IsNil)
	c.Assert(r.Find("1").State(), qt.Equals, wigeonjob.StatePending)
}

// Guards against progress fields that encoding to and decoding from a log record lose or change.
func TestProgressRoundTrip(t *testing.T) {
	c := qt.New(t)
	progress := wigeonjob.Progress{
		State: wigeonjob.StateRunning, Finished: []int{0, 2},
		Tasks: []wigeonjob.TaskProgress{
			{Occurrence: 1, Step: 1, Index: 3, LastRun: 4, Failures: 2, Checkpoint: "aa", Runs: []wigeonjob.LiveRun{{Number: 4, Worker: "w", PlannedAt: 7}}},
			{Occurrence: 2, LastRun: 3, LostRuns: []wigeonstep.RunNumber{2}, Crashes: []wigeonjob.WorkerCrash{
				{Run: 1, Worker: "v", RunAge: 12 * time.Millisecond, Ended: true, Likely: true, Sole: true},
				{Run: 2, Worker: "w", Likely: true, Explained: true},
			}},
			{Occurrence: 3, Done: true, LastRun: 1},
		},
	}
	value, err := wigeonjob.EncodeProgress(&progress)
	c.Assert(err, qt.IsNil)
	read, err := wigeonjob.DecodeProgress(value)
	c.Assert(err, qt.IsNil)
	c.Assert(*read, qt.DeepEquals, progress)
}

// Guards against a count of waiting jobs that differs from the jobs after records in any order.
func TestPendingCountFollowsTheRecords(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 41))
	running, err := wigeonjob.EncodeProgress(&wigeonjob.Progress{State: wigeonjob.StateRunning})
	c.Assert(err, qt.IsNil)
	ended, err := wigeonjob.EncodeProgress(&wigeonjob.Progress{State: wigeonjob.StateMoved, Holder: 2})
	c.Assert(err, qt.IsNil)
	cancel, err := wigeonjob.EncodeCancel(5)
	var r Replica
	for range 2000 {
		id := fmt.Sprint(random.IntN(20))
		switch random.IntN(6) {
		case 0, 1:
			c.Assert(r.Apply(jobRecord(c, id, "x")), qt.IsNil)
		case 2:
			c.Assert(r.Apply(record(c, wigeonjob.KindProgress, id, running, err)), qt.IsNil)
		case 3:
			c.Assert(r.Apply(record(c, wigeonjob.KindProgress, id, ended, err)), qt.IsNil)
		case 4:
			c.Assert(r.Apply(record(c, wigeonjob.KindCancel, id, cancel, err)), qt.IsNil)
		case 5:
			c.Assert(r.Apply(record(c, wigeonjob.KindJob, id, nil, err)), qt.IsNil)
		}
		want := 0
		for _, e := range r.Jobs() {
			if e.Job != nil && e.State() == wigeonjob.StatePending {
				want++
			}
		}
		c.Assert(r.CountPending("q"), qt.Equals, want)
	}
}
