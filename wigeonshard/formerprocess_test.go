package wigeonshard

import (
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

var (
	firstCutSeed = flag.Int("cut.first", 0, "the first seed of TestSeededRestartsAndCuts and TestSeededSilentRestartsAndCuts")
	cutSeeds     = flag.Int("cut.seeds", 0, "the number of seeds of each of these tests; 0 means the usual number")
)

// silence lets d pass in which no heartbeat is answered.
func (o *answeredOwner) silence(d time.Duration) {
	for until := o.now.Steady + d; o.now.Steady < until; {
		o.advance(10 * time.Millisecond)
		for len(o.heartbeats) > 0 {
			o.failHeartbeat(wigeonstep.ErrAnswerLost)
		}
	}
}

// Guards against orders to a restarted worker that can't be told from those to its former process: those carry a lower fencing token,
// so it refuses them once it has answered, and a refusal of one doesn't end the ownership.
func TestOrdersToRestartedWorkerHaveHigherToken(t *testing.T) {
	o := newAnsweredOwner(t, 1, 100_000)
	first := o.submit("first", 2)
	former := o.starts
	o.starts = nil
	o.answerRestart(2, 300)
	o.answerStart(former[0], wigeonstep.StartResult{Verdict: wigeonstep.StartFenced})
	o.answerStart(former[1], wigeonstep.StartResult{Verdict: wigeonstep.StartUnknown})
	o.c.Assert(o.Deposed(), qt.IsFalse)
	o.answerHeartbeat(wigeonstep.HeartbeatResult{Clock: 400, StartedAt: 2})
	o.advance(100 * time.Millisecond)
	o.c.Assert(o.starts, qt.HasLen, 2)
	for i, s := range o.starts {
		o.c.Assert(s.Order.Run.Task, qt.Equals, first[i].Task)
		o.c.Assert(s.Order.Run.Number, qt.Equals, wigeonstep.RunNumber(2))
		o.c.Assert(s.Order.Fence, qt.Equals, former[0].Order.Fence+1)
	}
	o.answerStart(o.starts[0], wigeonstep.StartResult{Verdict: wigeonstep.StartFenced})
	o.c.Assert(o.Deposed(), qt.IsTrue)
}

// Guards against a task that starts elsewhere because the restarted worker doesn't list its run, although its start got no answer and
// may still arrive: only the answer to an order that makes the worker refuse that start rules it out.
func TestUnansweredStartMayReachTheNextProcess(t *testing.T) {
	o := newAnsweredOwner(t, 1, 100_000)
	run := o.submit("job", 1)
	o.answerStart(o.starts[0], wigeonstep.StartResult{Verdict: wigeonstep.StartUnknown})
	o.starts = nil
	o.answerHeartbeat(wigeonstep.HeartbeatResult{Clock: 300, StartedAt: 2})
	o.assertRunning(run...)
	// The start begins the run before the next heartbeat arrives.
	o.answerHeartbeat(wigeonstep.HeartbeatResult{Clock: 320, StartedAt: 2, Running: listRunning(run...)})
	o.advance(100 * time.Millisecond)
	o.assertRunning(run...)
	o.c.Assert(o.stops, qt.HasLen, 0)
}

// Guards against a run that is given up while it goes on: a new owner took the lease of a worker that had just restarted for one of
// its own length, but a call of the former owner, with a time of the former clock, had given it the longest.
func TestNewOwnerAssumesTheLongestLeaseOfAYoungProcess(t *testing.T) {
	for _, test := range []struct {
		name  string
		clock wigeonstep.WorkerMillis
		lease time.Duration
	}{
		{"young process", 500, testSettings.MaxLease},
		{"old process", 500_000, testSettings.Lease},
	} {
		t.Run(test.name, func(t *testing.T) {
			o, run := newOwnerWithInheritedRun(t)
			born := o.now.Wall - wigeonstep.UnixMillis(test.clock)
			o.answerHeartbeat(wigeonstep.HeartbeatResult{Clock: test.clock, StartedAt: born, Running: listRunning(run)})
			o.silence(test.lease - 200*time.Millisecond)
			o.assertRunning(run)
			o.silence(2 * time.Second)
			o.assertRunning()
		})
	}
}

// Guards against a run that is given up while it goes on: the worker had restarted before it accepted the start, so it has the longest
// lease, and was cut off before a heartbeat showed the restart.
func TestRunAcceptedByUnknownProcessHasTheLongestLease(t *testing.T) {
	for _, test := range []struct {
		name  string
		clock wigeonstep.WorkerMillis
		lease time.Duration
	}{
		{"restarted", 50, testSettings.MaxLease},
		{"the same process", 100_100, testSettings.Lease},
	} {
		t.Run(test.name, func(t *testing.T) {
			o := newAnsweredOwner(t, 1, 100_000)
			run := o.submit("job", 1)
			// No other order is without an answer when the worker is cut off.
			o.answerHeartbeat(wigeonstep.HeartbeatResult{Clock: 100_040, StartedAt: 1})
			o.answerStarts(test.clock)
			o.silence(test.lease - 200*time.Millisecond)
			o.assertRunning(run...)
			o.silence(3 * time.Second)
			o.assertRunning()
		})
	}
}

// Guards against a run that is given up while it goes on, because its lease was renewed by an order to the former process of its
// worker: the worker had restarted before it accepted the run, and another order with a time of the former clock had no answer when
// the worker was cut off.
func TestOrderToFormerProcessRenewsTheLeaseOfTheNextOne(t *testing.T) {
	for _, test := range []struct {
		name string
		// send leaves an order without an answer, and lets the restarted worker accept the run.
		send func(o *answeredOwner) wigeonstep.RunID
	}{
		{"heartbeat after the start", func(o *answeredOwner) wigeonstep.RunID {
			o.answerHeartbeat(wigeonstep.HeartbeatResult{Clock: 100_010, StartedAt: 1})
			run := o.submit("job", 1)
			o.answerStarts(50)
			return run[0]
		}},
		{"heartbeat before the start", func(o *answeredOwner) wigeonstep.RunID {
			o.sentHeartbeat()
			o.advance(time.Second)
			run := o.submit("job", 1)
			o.answerStarts(50)
			return run[0]
		}},
		{"start of another run", func(o *answeredOwner) wigeonstep.RunID {
			run := o.submit("job", 1)
			accepted := o.starts
			o.starts = nil
			o.submit("other", 1)
			o.answerStart(o.starts[0], wigeonstep.StartResult{Verdict: wigeonstep.StartUnknown})
			o.starts = accepted
			o.answerStarts(50)
			return run[0]
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			o := newAnsweredOwner(t, 1, 100_000)
			run := test.send(o)
			renewed := o.now.Steady - 1100*time.Millisecond
			o.silence(renewed + maxOrderDelay + testSettings.MaxLease - o.now.Steady)
			o.c.Assert(o.workers[onlyWorker].findRun(run), qt.IsNotNil)
			o.silence(4 * time.Second)
			o.assertRunning()
		})
	}
}

// Guards against orders for a process that has ended, and a second heartbeat before the worker is used again: the clock in the answer
// to a start went back, so the worker has restarted.
func TestClockThatWentBackShowsTheRestart(t *testing.T) {
	o := newAnsweredOwner(t, 1, 100_000)
	former := o.submit("former", 1)
	o.answerStarts(100_040)
	o.answerHeartbeat(wigeonstep.HeartbeatResult{Clock: 100_060, StartedAt: 1, Running: listRunning(former...)})
	o.takeHeartbeat()
	run := o.submit("job", 1)
	o.answerStarts(50)
	o.AddJob(o.now, testJob("next", testStep(1)), wigeonjob.Progress{}, false)
	o.advance(50 * time.Millisecond)
	o.c.Assert(o.starts, qt.HasLen, 0)
	o.c.Assert(o.sentHeartbeat().Request, qt.Equals, wigeonstep.HeartbeatRequest{Fence: 2})
	o.answerHeartbeat(wigeonstep.HeartbeatResult{Clock: 110, StartedAt: 2, Running: listRunning(run...)})
	h := o.sentHeartbeat()
	o.c.Assert(h.Request.Fence, qt.Equals, wigeonstep.FencingToken(2))
	o.c.Assert(h.Request.LeaseEnd > 110, qt.IsTrue)
	o.c.Assert(o.workers[onlyWorker].findRun(run[0]), qt.IsNotNil)
	o.c.Assert(o.workers[onlyWorker].findRun(former[0]), qt.IsNil)
}

// Guards against a task that starts elsewhere although the first start of its run may still begin it: that start got no answer, a
// repetition was accepted, and the worker, which has restarted since, doesn't list the run. Only its answer to an order with a higher
// token is a proof.
func TestFirstOfTwoStartsMayReachTheNextProcess(t *testing.T) {
	o := newAnsweredOwner(t, 1, 100_000)
	run := o.submit("job", 1)
	o.answerStart(o.starts[0], wigeonstep.StartResult{Verdict: wigeonstep.StartUnknown})
	o.starts = nil
	o.advance(startRetryDelay + 20*time.Millisecond)
	o.c.Assert(o.starts, qt.HasLen, 1)
	o.answerStarts(100_200)
	o.answerHeartbeat(wigeonstep.HeartbeatResult{Clock: 100_210, StartedAt: 1, Running: listRunning(run...)})
	o.answerHeartbeat(wigeonstep.HeartbeatResult{Clock: 300, StartedAt: 2})
	o.assertRunning(run...)
	// The first start begins the run before the next heartbeat arrives.
	o.answerHeartbeat(wigeonstep.HeartbeatResult{Clock: 320, StartedAt: 2, Running: listRunning(run...)})
	o.advance(100 * time.Millisecond)
	o.assertRunning(run...)
}

// Guards against a task that starts elsewhere while the start of its former run may still arrive: the worker doesn't answer, and
// may have restarted unseen.
func TestUnansweredStartIsAwaitedOnSilentWorker(t *testing.T) {
	o := newAnsweredOwner(t, 1, 100_000)
	run := o.submit("job", 1)
	o.answerStart(o.starts[0], wigeonstep.StartResult{Verdict: wigeonstep.StartUnknown})
	o.starts = nil
	o.silence(maxOrderDelay + testSettings.MaxLease - 200*time.Millisecond)
	o.assertRunning(run...)
	o.silence(2 * time.Second)
	o.assertRunning()
}

// Guards against long-running tasks that a new owner doesn't start for more than 20 s after their worker has crashed, because the start
// of another run was without an answer: the former owner recorded the time until which that start might arrive for all runs.
func TestUnansweredStartDoesNotDelayOtherRunsAfterATakeover(t *testing.T) {
	o := newAnsweredOwner(t, 1, 100_000)
	before := o.submit("before", 1)
	o.answerStarts(100_050)
	o.answerHeartbeat(wigeonstep.HeartbeatResult{Clock: 100_060, StartedAt: 1, Running: listRunning(before...)})
	o.submit("unanswered", 1)
	o.answerStart(o.starts[0], wigeonstep.StartResult{Verdict: wigeonstep.StartUnknown})
	o.starts = nil
	o.silence(time.Second)
	left := o.workers[onlyWorker].leasesEndWall - o.now.Wall
	o.c.Assert(left > 0, qt.IsTrue)
	o.c.Assert(left <= wigeonstep.UnixMillis((testSettings.Lease+time.Second).Milliseconds()), qt.IsTrue, qt.Commentf("%d ms", left))
}

// Guards against tasks that wait for a worker which is gone for longer than a start may be on its way.
func TestUnansweredStartIsNotAwaitedOnWorkerThatIsGone(t *testing.T) {
	o := newAnsweredOwner(t, 1, 100_000)
	o.submit("job", 1)
	o.answerStart(o.starts[0], wigeonstep.StartResult{Verdict: wigeonstep.StartUnknown})
	o.starts = nil
	o.silence(time.Second)
	o.WorkerEnded(o.now, o.LostWorkers()[0])
	o.silence(maxOrderDelay + 200*time.Millisecond)
	o.assertRunning()
}

// Guards against a run that is given up while it goes on: the worker was gone from its VM and is back under its id, as its entry shows,
// and the start of the run has begun it there, but the worker doesn't answer.
func TestUnansweredStartIsAwaitedOnWorkerThatIsBack(t *testing.T) {
	o := newAnsweredOwner(t, 1, 100_000)
	run := o.submit("job", 1)
	o.answerStart(o.starts[0], wigeonstep.StartResult{Verdict: wigeonstep.StartUnknown})
	o.starts = nil
	o.silence(time.Second)
	o.WorkerEnded(o.now, o.LostWorkers()[0])
	o.list("w:1", o.now.Wall+200)
	o.silence(maxOrderDelay + testSettings.MaxLease - 1200*time.Millisecond)
	o.assertRunning(run...)
	o.silence(testSettings.ConfirmLimit + 2*time.Second)
	o.assertRunning()
}

// Guards against a task that starts although the worker lists a former run of it, which a late start has begun after a restart.
func TestGivenUpRunThatBeganIsKept(t *testing.T) {
	o := newAnsweredOwner(t, 1, 100_000)
	former := o.submit("job", 1)
	o.answerStart(o.starts[0], wigeonstep.StartResult{Verdict: wigeonstep.StartUnknown})
	o.starts = nil
	o.logStalled = true
	o.answerRestart(2, 300)
	o.advance(50 * time.Millisecond)
	o.c.Assert(o.workers[onlyWorker].runs[0].number, qt.Equals, wigeonstep.RunNumber(2))
	o.answerRestart(3, 100, former...)
	o.logStalled = false
	o.advance(100 * time.Millisecond)
	o.c.Assert(o.stops, qt.HasLen, 0)
	o.assertRunning(former...)
	o.answerHeartbeat(wigeonstep.HeartbeatResult{Clock: 600, StartedAt: 3, Ended: doneRuns(1, former...)})
	o.advance(200 * time.Millisecond)
	state, _ := o.JobState("job")
	o.c.Assert(state, qt.Equals, wigeonjob.StateCompleted)
}

// Guards against a worker that restarts so often that its tokens would reach those of the next owner.
func TestOwnerThatHasUsedUpItsTokensGivesUp(t *testing.T) {
	o := newAnsweredOwner(t, 1, 100_000)
	restarts := 0
	for ; !o.Deposed(); restarts++ {
		o.Confirm(o.now.Steady)
		o.answerHeartbeat(wigeonstep.HeartbeatResult{Clock: 100_000, StartedAt: wigeonstep.UnixMillis(restarts + 2)})
	}
	o.c.Assert(restarts, qt.Equals, TokensPerEpoch)
}

// Guards against tasks that run twice at the same time, or are lost, when workers start again under their ids, take calls that were
// meant for their former process, and are cut off soon after, while long tasks run and owners are replaced.
func TestSeededRestartsAndCuts(t *testing.T) {
	t.Parallel()
	seeds := *cutSeeds
	switch {
	case seeds > 0:
	case testing.Short():
		seeds = 20
	default:
		seeds = 150
	}
	for seed := *firstCutSeed; seed < *firstCutSeed+seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			m := newClusterModel(t, uint64(seed), 6) //nolint:gosec // seeds are small
			m.settings.Lease, m.settings.MaxLease = 3200*time.Millisecond, []time.Duration{6 * time.Second, 10 * time.Second}[seed%2]
			m.lostAnswerRate, m.lateCallRate = 0.02, []float64{0, 0.05}[seed/2%2]
			m.heartbeatsWait, m.groupConfirms = true, true
			m.outcome = func(wigeonstep.RunID) (time.Duration, wigeonstep.EndCause) {
				return 200*time.Millisecond + m.randomTime([]time.Duration{time.Second, 12 * time.Second}[m.random.IntN(2)]), wigeonstep.EndDone
			}
			m.addOwner()
			for i := range 30 {
				job := testJob(wigeonstep.JobID(fmt.Sprintf("job%02d", i)), testStep(1+m.random.IntN(6)), testStep(1+m.random.IntN(3), 0))
				m.schedule(m.randomTime(20*time.Second), func() { m.submitJob(job) })
			}
			for range 8 {
				m.schedule(m.randomTime(25*time.Second), m.restartAndCut)
			}
			m.advance(40 * time.Second)
			m.endFaults()
			m.advance(120 * time.Second)
			c.Assert(m.violations, qt.HasLen, 0)
			c.Assert(m.unfinishedJobs(), qt.HasLen, 0)
		})
	}
}

// restartAndCut restarts a worker under its id, and cuts it off some time later. Now and then the owner is replaced in between, or the
// worker restarts once more behind the cut.
func (m *clusterModel) restartAndCut() {
	id := m.listed[m.random.IntN(len(m.listed))].ID
	f := m.workers[id]
	if f.down || m.now < m.cutUntil[id] {
		return
	}
	restart := func() {
		f.crash(m)
		m.schedule(100*time.Millisecond+m.randomTime(700*time.Millisecond), func() {
			if f.down {
				f.restart(m)
				m.relist(f.listed)
			}
		})
	}
	restart()
	if m.random.IntN(3) == 0 {
		m.schedule(m.randomTime(2*time.Second), func() { m.addOwner() })
	}
	m.schedule(200*time.Millisecond+m.randomTime(3*time.Second), func() {
		m.cutUntil[id] = m.now + 2*time.Second + m.randomTime(8*time.Second)
		if m.random.IntN(3) == 0 {
			m.schedule(m.randomTime(2*time.Second), func() {
				if !f.down {
					restart()
				}
			})
		}
	})
}
