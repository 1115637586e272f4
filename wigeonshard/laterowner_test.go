package wigeonshard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
)

// Guards against a run that a later owner gives up while it goes on: the former owner found its worker silent after an unknown process
// had accepted the run, and recorded the end of the lease without the orders that may renew it. Runs that are known to have begun in
// the former process don't wait for them.
func TestLaterOwnerAwaitsOrdersThatRenewTheLease(t *testing.T) {
	former := newAnsweredOwner(t, 1, 100_000)
	known := former.submit("known", 1)
	former.answerStarts(100_050)
	former.answerHeartbeat(wigeonstep.HeartbeatResult{Clock: 100_060, StartedAt: 1, Running: listRunning(known...)})
	former.sentHeartbeat()
	run := former.submit("job", 1)
	former.answerStarts(50)
	accepted := former.now.Steady
	former.silence(500 * time.Millisecond)

	o := former.nextOwner()
	o.silence(testSettings.ConfirmLimit + testSettings.Lease + time.Second)
	o.assertRunning(run...)
	o.silence(accepted - time.Second + maxOrderDelay + testSettings.MaxLease - o.now.Steady)
	o.assertRunning(run...)
	o.silence(4 * time.Second)
	o.assertRunning()
}

// Guards against a run that a new owner gives up while it goes on: the former owner ended before it knew that the worker had restarted,
// so it recorded nothing, and its orders may still renew the lease. The entry of the worker shows that it is young.
func TestNewOwnerAwaitsOrdersToYoungWorker(t *testing.T) {
	for _, test := range []struct {
		name  string
		age   time.Duration
		bound time.Duration
	}{
		{"young", time.Second, testSettings.ConfirmLimit + maxOrderDelay + testSettings.MaxLease},
		{"old", time.Minute, testSettings.ConfirmLimit + testSettings.Lease},
	} {
		t.Run(test.name, func(t *testing.T) {
			o, run := newOwnerWithInheritedRun(t)
			o.list("former:1", o.now.Wall-wigeonstep.UnixMillis(test.age.Milliseconds()))
			o.silence(test.bound)
			o.assertRunning(run)
			o.silence(2 * time.Second)
			o.assertRunning()
		})
	}
}

// Guards against a run that a third owner gives up while it goes on: the second one found that the worker is young and waits for the
// orders of the first, and the third takes its record for that of a usual lease.
func TestRecordOfOrdersToYoungWorkerHoldsForLaterOwners(t *testing.T) {
	for _, test := range []struct {
		name string
		// silentBefore is the time for which the worker doesn't answer before its entry shows that it is young.
		silentBefore time.Duration
	}{
		{"young when it is found silent", 0},
		{"found young later", 2 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			first := newAnsweredOwner(t, 1, 100_000)
			run := first.submit("job", 1)
			first.answerStarts(100_050)
			second := first.nextOwner()
			certain := second.now.Steady + testSettings.ConfirmLimit + maxOrderDelay + testSettings.MaxLease
			second.silence(test.silentBefore)
			second.list("w:1", second.now.Wall-1000)
			second.silence(2 * time.Second)

			third := second.nextOwner()
			third.silence(certain - third.now.Steady)
			third.assertRunning(run...)
			third.silence(wallMargin + 2*time.Second)
			third.assertRunning()
		})
	}
}

// Guards against a run that a third owner gives up while it goes on: the second one wrote the record of the task before it found the
// worker silent, and left out the orders that may renew the lease.
func TestRecordOfUnreachedWorkerKeepsUnansweredOrders(t *testing.T) {
	first := newAnsweredOwner(t, 1, 100_000)
	first.answerHeartbeat(wigeonstep.HeartbeatResult{Clock: 100_010, StartedAt: 1})
	run := first.submit("job", 1)
	first.answerStarts(50)
	accepted := first.now.Steady
	first.silence(500 * time.Millisecond)

	second := first.nextOwner()
	second.markTaskDirty(second.findTask(run[0].Task))
	second.advance(50 * time.Millisecond)

	third := second.nextOwner()
	third.silence(accepted - time.Second + maxOrderDelay + testSettings.MaxLease - third.now.Steady)
	third.assertRunning(run...)
	third.silence(4 * time.Second)
	third.assertRunning()
}

// Guards against a run that a later owner gives up too early because its wall clock is ahead of that of the former owner, which recorded
// when an order without an answer was sent.
func TestLaterOwnerAllowsForItsWallClock(t *testing.T) {
	former := newAnsweredOwner(t, 1, 100_000)
	run := former.submit("job", 1)
	sent := former.starts[0].SentAt
	former.answerStart(former.starts[0], wigeonstep.StartResult{Verdict: wigeonstep.StartUnknown})
	former.starts = nil
	former.silence(6 * time.Second)

	former.now.Wall += 4000
	o := former.nextOwner()
	o.silence(sent + maxOrderDelay + testSettings.MaxLease - o.now.Steady)
	o.assertRunning(run...)
}

// Guards against a run that a later owner gives up while it goes on: the former owner recorded a time for the leases of a restarted
// worker that is later than that of a usual lease.
func TestLaterOwnerGoesByTheRecordedLapse(t *testing.T) {
	former := newAnsweredOwner(t, 1, 100_000)
	unanswered := former.sentHeartbeat()
	former.heartbeats = nil
	run := former.submit("job", 1)
	// An answer without a clock doesn't show the restart, so the heartbeat that does has the token of the former process.
	former.answerStarts(0)
	former.answerHeartbeat(wigeonstep.HeartbeatResult{Clock: 60, StartedAt: 2, Running: listRunning(run...)})
	former.silence(time.Second)
	o := former.nextOwner()
	o.silence(unanswered.SentAt + maxOrderDelay + testSettings.MaxLease - o.now.Steady)
	o.assertRunning(run...)
	o.silence(8 * time.Second)
	o.assertRunning()
}

// Guards against a run that is given up while it may still begin: the second of two later owners found no order without an answer in
// its record, because the first had written the record anew before its own first heartbeat to the worker failed.
func TestSecondLaterOwnerAwaitsTheStart(t *testing.T) {
	former := newAnsweredOwner(t, 1, 100_000)
	run := former.submit("job", 1)
	sent := former.starts[0].SentAt
	former.answerStart(former.starts[0], wigeonstep.StartResult{Verdict: wigeonstep.StartUnknown})
	former.starts = nil
	former.silence(time.Second)
	first := former.nextOwner()
	first.log = former.log
	first.markTaskDirty(first.findTask(run[0].Task))
	first.advance(50 * time.Millisecond)
	second := first.nextOwner()
	second.silence(sent + maxOrderDelay + testSettings.MaxLease - second.now.Steady)
	second.assertRunning(run...)
}

// Guards against a run that waits longer with each change of the owner: each owner added the margin for its wall clock to the recorded
// time of the order without an answer, and recorded the sum when the record was written again.
func TestRecordedOrderIsNotMovedByLaterOwners(t *testing.T) {
	o := newAnsweredOwner(t, 1, 100_000)
	run := o.submit("job", 1)
	o.answerStart(o.starts[0], wigeonstep.StartResult{Verdict: wigeonstep.StartUnknown})
	o.starts = nil
	o.silence(time.Second)
	recorded := o.recordedOrder(run[0])
	o.c.Assert(recorded, qt.Not(qt.Equals), wigeonstep.UnixMillis(0))
	for range 4 {
		o = o.nextOwner()
		// Another task in the same record has changed.
		o.markTaskDirty(o.findTask(run[0].Task))
		o.silence(3 * time.Second)
		o.c.Assert(o.recordedOrder(run[0]), qt.Equals, recorded)
	}
}

// recordedOrder returns the time of the order without an answer in the record of the run.
func (o *answeredOwner) recordedOrder(id wigeonstep.RunID) wigeonstep.UnixMillis {
	for _, e := range o.log.Jobs() {
		for _, p := range e.FullProgress().Tasks {
			for _, r := range p.Runs {
				if e.Job.ID == id.Task.Job && p.Index == id.Task.Index && r.Number == id.Number {
					return r.UnansweredAt
				}
			}
		}
	}
	return 0
}

// Guards against runs on a young worker that wait longer with each change of the owner: each owner recorded the time that it had read,
// with the margin for its wall clock.
func TestRecordedLapseOfYoungWorkerIsNotMovedByLaterOwners(t *testing.T) {
	o := newAnsweredOwner(t, 1, 100_000)
	o.submit("job", 1)
	o.answerStarts(100_050)
	startedAt := o.now.Wall
	for range 6 {
		o = o.nextOwner()
		o.list("w:1", startedAt)
		o.silence(time.Second)
	}
	o.c.Assert(o.log.Owner.Lapses, qt.HasLen, 1)
	wait := testSettings.ConfirmLimit + maxOrderDelay + testSettings.MaxLease + time.Second
	o.c.Assert(o.log.Owner.Lapses[0].At <= o.now.Wall+wigeonstep.UnixMillis(wait.Milliseconds()), qt.IsTrue,
		qt.Commentf("%d ms", o.log.Owner.Lapses[0].At-o.now.Wall))
}

// Guards against long-running tasks that wait for half a minute after their worker has crashed and the owner has changed: the worker is
// young, so the former owner had recorded the end of the longest lease, which was taken for the record of an owner that hadn't reached
// the worker.
func TestRecordedLongestLeaseIsNotExtended(t *testing.T) {
	first := newAnsweredOwner(t, 1, 100_000)
	first.list("w:1", first.now.Wall-2000)
	first.answerRestart(first.now.Wall-2000, 2000)
	run := first.submit("job", 1)
	first.answerStarts(2060)
	first.answerHeartbeat(wigeonstep.HeartbeatResult{Clock: 2100, StartedAt: first.now.Wall - 2000, Running: listRunning(run...)})
	first.silence(time.Second)
	second := first.nextOwner()
	second.silence(testSettings.MaxLease + wallMargin + time.Second)
	second.assertRunning()
}

// Guards against long-running tasks that wait for half a minute after their worker has crashed and the owner has changed before it
// noticed that: a worker that is young because its VM has just joined the pool has no former process whose orders it could execute.
func TestYoungWorkerWithoutFormerProcessHasAUsualLease(t *testing.T) {
	first := newAnsweredOwner(t, 1, 100_000)
	first.list("w:1", first.now.Wall-2000)
	run := first.submit("job", 1)
	first.answerStarts(100_060)
	first.answerHeartbeat(wigeonstep.HeartbeatResult{Clock: 100_100, StartedAt: 1, Running: listRunning(run...)})
	// The log has to tell that the run has begun.
	first.advance(20 * time.Millisecond)
	second := first.nextOwner()
	second.silence(testSettings.ConfirmLimit + testSettings.Lease + time.Second)
	second.assertRunning()
}
