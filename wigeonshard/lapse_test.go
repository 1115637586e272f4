package wigeonshard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonreplica"
)

// lapseFixture is an owner of one worker whose appends are applied to a replica.
type lapseFixture struct {
	*qt.C
	now     Timestamp
	owner   *Owner
	replica wigeonreplica.Replica
	starts  []Start
	// pending holds the records of an append that is not acknowledged.
	pending []wigeonstep.KeyedRecord
	// heartbeat is the newest heartbeat to the worker.
	heartbeat Heartbeat
}

// newLapseFixture returns an owner whose worker has answered and whose record is durable.
func newLapseFixture(t *testing.T) *lapseFixture {
	t.Helper()
	f := &lapseFixture{C: qt.New(t), now: Timestamp{Steady: time.Hour, Wall: 1_700_000_000_000}}
	f.owner = NewOwner(testSettings, 1, f.now, wigeonjob.OwnerRecord{})
	f.owner.SetWorkers(f.now, []wigeonstep.ListedWorker{{ID: "w", Address: "w:1", Service: testService, Capacity: wigeonstep.Resources{CPU: 8000, Memory: 8192}}})
	f.step()
	f.acknowledge()
	f.answer()
	f.advance(testSettings.HeartbeatPause)
	f.Assert(f.heartbeat.Request.LeaseEnd, qt.Not(qt.Equals), wigeonstep.WorkerMillis(0))
	return f
}

// submit writes a job with one task to the log and passes it to the owner.
func (f *lapseFixture) submit() {
	job := testJob("job", testStep(1))
	value, err := wigeonjob.EncodeJob(job)
	f.Assert(err, qt.IsNil)
	f.Assert(f.replica.Apply(wigeonstep.KeyedRecord{Key: wigeonjob.Key(wigeonjob.KindJob, job.ID), Value: value}), qt.IsNil)
	f.owner.AddJob(f.now, job, wigeonjob.Progress{}, false)
}

func (f *lapseFixture) advance(d time.Duration) {
	f.now.Steady += d
	f.now.Wall += wigeonstep.UnixMillis(d.Milliseconds())
	f.step()
}

func (f *lapseFixture) step() {
	a := f.owner.Step(f.now)
	if a.Append != nil {
		f.pending = a.Append
	}
	for _, h := range a.Heartbeats {
		f.heartbeat = h
	}
	f.starts = append(f.starts, a.Starts...)
}

// acknowledge makes the pending append durable, if there is one, and reports its answer.
func (f *lapseFixture) acknowledge() {
	if f.pending == nil {
		return
	}
	for _, r := range f.pending {
		f.Assert(f.replica.Apply(r), qt.IsNil)
	}
	f.pending = nil
	f.owner.AppendAcknowledged(f.now, f.now.Steady)
	f.step()
}

// answer reports that the worker has answered the newest heartbeat.
func (f *lapseFixture) answer() {
	clock := wigeonstep.WorkerMillis(f.now.Steady.Milliseconds())
	f.owner.HeartbeatAnswered(f.now, f.heartbeat, wigeonstep.HeartbeatResult{Clock: clock}, nil)
	f.step()
}

// lose reports that the newest heartbeat got no answer.
func (f *lapseFixture) lose() {
	f.owner.HeartbeatAnswered(f.now, f.heartbeat, wigeonstep.HeartbeatResult{}, wigeonstep.ErrAnswerLost)
	f.step()
}

// Guards against a start that extends the lease of a worker beyond the lapse that the log names for it: a later owner that
// does not reach the worker takes its runs for ended at the lapse, and starts their tasks again while they run.
func TestNoStartWhileTheLogHoldsALapse(t *testing.T) {
	f := newLapseFixture(t)
	f.submit()
	// The run is planned and the worker stops answering, so one append holds both the run and the lapse.
	f.owner.placeTasks(Timestamp{Steady: f.now.Steady + placeInterval, Wall: f.now.Wall})
	f.lose()
	f.Assert(f.pending, qt.HasLen, 2)
	f.advance(startRetryDelay * 2)
	f.answer()
	f.acknowledge()
	f.Assert(f.replica.Owner.Lapses, qt.HasLen, 1)
	f.Assert(f.starts, qt.HasLen, 0)

	// Once the log holds no lapse, the task starts.
	for range 20 {
		f.advance(50 * time.Millisecond)
		f.acknowledge()
	}
	f.Assert(f.replica.Owner.Lapses, qt.HasLen, 0)
	f.Assert(f.starts, qt.HasLen, 1)
}

// Guards against a repeated start, after one without an answer, that extends the lease of a worker beyond the lapse in the log.
func TestNoRepeatedStartWhileTheLogHoldsALapse(t *testing.T) {
	f := newLapseFixture(t)
	f.submit()
	for range 20 {
		f.advance(placeInterval)
		f.acknowledge()
	}
	f.Assert(f.starts, qt.HasLen, 1)
	f.owner.StartAnswered(f.now, f.starts[0], wigeonstep.StartResult{Verdict: wigeonstep.StartUnknown})
	f.lose()
	f.acknowledge()
	f.Assert(f.replica.Owner.Lapses, qt.HasLen, 1)
	f.advance(startRetryDelay * 2)
	f.answer()
	f.advance(startRetryDelay)
	f.Assert(f.starts, qt.HasLen, 1)

	f.acknowledge()
	f.Assert(f.replica.Owner.Lapses, qt.HasLen, 0)
	f.Assert(f.starts, qt.HasLen, 2)
}

// Guards against a task that runs twice because the clocks of two VMs differ: the lapse of a worker that does not answer is a
// time of day, which the next owner reads by its own clock.
func TestLapseIsReadByAnotherClock(t *testing.T) {
	const clockDifference = 5 * time.Second
	f := newLapseFixture(t)
	f.submit()
	for range 20 {
		f.advance(placeInterval)
		f.acknowledge()
	}
	f.Assert(f.starts, qt.HasLen, 1)
	leaseEnd := max(f.starts[0].Order.LeaseEnd, f.heartbeat.Request.LeaseEnd)
	// The worker's clock is 2% slow.
	leaseLeft := time.Duration(float64(leaseEnd-wigeonstep.WorkerMillis(f.now.Steady.Milliseconds()))/clockRate) * time.Millisecond
	leasesEnd := f.now.Steady + leaseLeft
	f.lose()
	f.acknowledge()
	f.Assert(f.replica.Owner.Lapses, qt.HasLen, 1)

	f.now.Wall += wigeonstep.UnixMillis(clockDifference.Milliseconds())
	f.owner = NewOwner(testSettings, 2, f.now, f.replica.Owner)
	e := f.replica.Find("job")
	f.owner.AddJob(f.now, e.Job, e.Progress, false)
	for f.now.Steady < leasesEnd {
		f.Assert(f.owner.jobs["job"].liveRuns, qt.Equals, 1, qt.Commentf("the leases end in %s", leasesEnd-f.now.Steady))
		f.advance(10 * time.Millisecond)
		f.acknowledge()
	}
}
