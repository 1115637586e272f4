package wigeondaemon

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
	"github.com/wigeonstep/wigeonstep/wigeontail"
	"github.com/wigeonstep/wigeonstep/wigeonteam"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// memoryLog is a job log in memory that several daemons share.
type memoryLog struct {
	wigeonstep.JobLog
	mu      sync.Mutex
	records map[wigeonstep.Partition][]wigeonstep.KeyedRecord
	// refuse holds the kinds of records of which nothing is written.
	refuse map[wigeonjob.Kind]bool
}

func (l *memoryLog) ReadKeyed(_ context.Context, part wigeonstep.Partition, from wigeonstep.Offset, _ time.Duration) (wigeonstep.KeyedRead, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := wigeonstep.Offset(len(l.records[part]))
	return wigeonstep.KeyedRead{Records: l.records[part][from:end:end], Next: end, End: end}, nil
}

func (l *memoryLog) Append(_ context.Context, part wigeonstep.Partition, records []wigeonstep.KeyedRecord, _ *wigeonstep.AppendFence) (wigeonstep.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range records {
		if kind, _, _ := wigeonjob.SplitKey(r.Key); l.refuse[kind] {
			return 0, wigeonstep.ErrUnavailable
		}
	}
	l.records[part] = append(l.records[part], records...)
	return wigeonstep.Offset(len(l.records[part])), nil
}

// withdrawals returns the number of withdrawals that were ever written.
func (l *memoryLog) withdrawals() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, records := range l.records {
		for _, r := range records {
			if strings.HasPrefix(r.Key, string(wigeonjob.KindWithdrawal)) {
				n++
			}
		}
	}
	return n
}

// withdrawalTest has several daemons over one log. No daemon reads the log by itself, so that each is as far behind as the test wants.
type withdrawalTest struct {
	*qt.C
	t   *testing.T
	log *memoryLog
	ctx context.Context
}

func newWithdrawalTest(t *testing.T) *withdrawalTest {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	log := &memoryLog{records: map[wigeonstep.Partition][]wigeonstep.KeyedRecord{}, refuse: map[wigeonjob.Kind]bool{}}
	return &withdrawalTest{C: qt.New(t), t: t, log: log, ctx: ctx}
}

// formerQueue is listedQueue with the service that it had before a change of the configuration.
var formerQueue = wigeonstep.Queue{Name: listedQueue.Name, Service: "returns"}

// addDaemon returns a running daemon with the records that the log has now. It follows a partition of each of two services.
func (w *withdrawalTest) addDaemon() *Daemon {
	w.t.Helper()
	d, sh := newListingDaemon(w.log)
	d.partitionTable.Store(&partitionTable{listedQueue.Service: {listedPartition}, formerQueue.Service: {movedPartition}})
	w.read(d, sh)
	w.read(d, d.addShard(movedPartition))
	runEvents(w.t, d)
	return d
}

// read applies the records that the log has now, on the event loop of the daemon if it runs.
func (w *withdrawalTest) read(d *Daemon, sh *shard) {
	read, err := w.log.ReadKeyed(w.ctx, sh.part, sh.nextOffset, 0)
	w.Assert(err, qt.IsNil)
	d.applyShardBatch(sh, wigeontail.Batch{Records: read.Records, From: sh.nextOffset, Next: read.Next, Complete: true})
}

func (w *withdrawalTest) submit(d *Daemon, queue wigeonstep.Queue, caller wigeonteam.Caller) wigeonstep.Response {
	return d.Submit(w.ctx, &wigeonjob.Job{ID: listedJob, Steps: []wigeonjob.Step{teamStep}}, queue, caller)
}

// stateAtNextOwner returns the state of the job at a process that reads the log now and owns the partition.
func (w *withdrawalTest) stateAtNextOwner(part wigeonstep.Partition) wigeonjob.State {
	w.t.Helper()
	d := w.addDaemon()
	state, _ := queryLoop(w.ctx, d, func() wigeonjob.State {
		sh := d.shards[part]
		sh.owned = true
		d.startOwnership(sh)
		state, known := sh.owner.JobState(listedJob)
		w.Check(known, qt.IsTrue)
		return state
	})
	return state
}

// Guards against a job that runs although its cancellation was answered: its submission was under way, at a process that was paused, at
// a slow log, or at one that follows an older configuration.
func TestSubmissionAfterItsCancellationHasNoEffect(t *testing.T) {
	for _, test := range []struct {
		name  string
		queue wigeonstep.Queue
		part  wigeonstep.Partition
		// before is set if the record of the job was written before that of its cancellation, after the look-up.
		before bool
	}{
		{name: "at another process", queue: listedQueue, part: listedPartition},
		{name: "at a process with an older configuration", queue: formerQueue, part: movedPartition},
		{name: "between the look-up and the record of the cancellation", queue: listedQueue, part: listedPartition, before: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newWithdrawalTest(t)
			first, second := w.addDaemon(), w.addDaemon()
			submit := func() {
				w.Assert(w.submit(second, test.queue, wigeonteam.Caller{}).Status, qt.Equals, http.StatusOK)
			}
			if test.before {
				submit()
				w.Assert(first.withdraw(w.ctx, listedJob, listedQueue, wigeonteam.Caller{}).Status, qt.Equals, http.StatusGone)
			} else {
				w.Assert(first.Cancel(w.ctx, listedJob, listedQueue, wigeonteam.Caller{}).Status, qt.Equals, http.StatusGone)
				submit()
			}
			w.Assert(w.stateAtNextOwner(test.part), qt.Equals, wigeonjob.StateCancelled)
			// A repeat of the submission is answered as truly.
			w.Assert(w.submit(w.addDaemon(), test.queue, wigeonteam.Caller{}).Status, qt.Equals, http.StatusOK)
			state, _ := w.addDaemon().Status(w.ctx, listedJob, test.queue, wigeonteam.Caller{})
			w.Assert(state, qt.Equals, wigeonjob.StateCancelled)
		})
	}
}

// Guards against an owner that starts a job which it reads after the withdrawal, or reads the withdrawal of after the job.
func TestOwnerCancelsWithdrawnJob(t *testing.T) {
	w := newWithdrawalTest(t)
	owner, other := w.addDaemon(), w.addDaemon()
	queryLoop(w.ctx, owner, func() bool {
		sh := owner.shards[listedPartition]
		sh.owned = true
		owner.startOwnership(sh)
		return true
	})
	state := func() wigeonjob.State {
		state, _ := queryLoop(w.ctx, owner, func() wigeonjob.State {
			w.read(owner, owner.shards[listedPartition])
			state, _ := owner.shards[listedPartition].owner.JobState(listedJob)
			return state
		})
		return state
	}
	w.Assert(w.submit(other, listedQueue, wigeonteam.Caller{}).Status, qt.Equals, http.StatusOK)
	w.Assert(state(), qt.Equals, wigeonjob.StatePending)
	w.Assert(other.withdraw(w.ctx, listedJob, listedQueue, wigeonteam.Caller{}).Status, qt.Equals, http.StatusGone)
	w.Assert(state(), qt.Equals, wigeonjob.StateCancelled)
}

// Guards against 410 for a cancellation that nothing keeps, and against a job that is accepted after it.
func TestCancellationIsDurableBeforeItsAnswer(t *testing.T) {
	w := newWithdrawalTest(t)
	d := w.addDaemon()
	w.log.refuse[wigeonjob.KindWithdrawal] = true
	response := d.Cancel(w.ctx, listedJob, listedQueue, wigeonteam.Caller{})
	w.Assert(response.Status, qt.Equals, http.StatusServiceUnavailable)
	w.Assert(response.Outcome, qt.Equals, wigeonstep.OutcomeNotRun)
	w.log.refuse[wigeonjob.KindWithdrawal] = false
	w.Assert(d.Cancel(w.ctx, listedJob, listedQueue, wigeonteam.Caller{}).Status, qt.Equals, http.StatusGone)
	response = w.submit(w.addDaemon(), listedQueue, wigeonteam.Caller{})
	w.Assert(response.Status, qt.Equals, http.StatusServiceUnavailable)
	w.Assert(response.Outcome, qt.Equals, wigeonstep.OutcomeNotRun)
	w.Assert(response.RetryAfter, qt.Equals, withdrawalLifetime)
}

// Guards against a client that cancels the jobs to come of another team, or replaces that team's cancellations.
func TestWithdrawalIsOfOneTeam(t *testing.T) {
	one, two := wigeonteam.Caller{Team: "one"}, wigeonteam.Caller{Team: "two"}
	w := newWithdrawalTest(t)
	d := w.addDaemon()
	w.Assert(d.Cancel(w.ctx, listedJob, listedQueue, two).Status, qt.Equals, http.StatusGone)
	w.Assert(w.submit(w.addDaemon(), listedQueue, one).Status, qt.Equals, http.StatusOK)
	w.Assert(w.stateAtNextOwner(listedPartition), qt.Equals, wigeonjob.StatePending)

	w = newWithdrawalTest(t)
	d, late := w.addDaemon(), w.addDaemon()
	w.Assert(d.Cancel(w.ctx, listedJob, listedQueue, one).Status, qt.Equals, http.StatusGone)
	w.Assert(d.Cancel(w.ctx, listedJob, listedQueue, two).Status, qt.Equals, http.StatusGone)
	w.Assert(w.submit(late, listedQueue, one).Status, qt.Equals, http.StatusOK)
	w.Assert(w.stateAtNextOwner(listedPartition), qt.Equals, wigeonjob.StateCancelled)
}

// Guards against clients that fill the log and the memory of all processes with cancellations of jobs that never come: their number is
// bounded, a team has only a part of it, and they end.
func TestWithdrawalsAreBounded(t *testing.T) {
	w := newWithdrawalTest(t)
	d := w.addDaemon()
	sh := d.shards[listedPartition]
	add := func(team wigeonstep.TeamName, n int) {
		queryLoop(w.ctx, d, func() bool {
			for i := range n {
				withdrawal := wigeonjob.Withdrawal{Job: wigeonstep.JobID(fmt.Sprintf("%016x", 1000+i)), Team: team, At: d.config.Now().Wall - 1}
				value, err := wigeonjob.EncodeWithdrawal(withdrawal)
				w.Check(err, qt.IsNil)
				w.Check(sh.replica.Apply(wigeonstep.KeyedRecord{Key: withdrawal.Key(), Value: value}), qt.IsNil)
			}
			return true
		})
	}
	status := func(team wigeonstep.TeamName) int {
		return d.Cancel(w.ctx, listedJob, listedQueue, wigeonteam.Caller{Team: team}).Status
	}
	other := w.addDaemon()
	other.routes.Store(newRouteTable(teamsConfiguration(1)))
	for i := range maxTeamWithdrawals {
		withdrawal := wigeonjob.Withdrawal{Job: wigeonstep.JobID(fmt.Sprintf("%016x", i)), PublicQueue: "public"}
		value, err := wigeonjob.EncodeWithdrawal(withdrawal)
		w.Assert(err, qt.IsNil)
		w.Assert(other.shards[listedPartition].replica.Apply(wigeonstep.KeyedRecord{Key: withdrawal.Key(), Value: value}), qt.IsNil)
	}
	add("one", maxTeamWithdrawals)
	w.Assert(status("one"), qt.Equals, http.StatusTooManyRequests)
	w.Assert(status("two"), qt.Equals, http.StatusGone)
	for i := range maxWithdrawals/maxTeamWithdrawals - 1 {
		add(wigeonstep.TeamName(fmt.Sprintf("other%d", i)), maxTeamWithdrawals)
	}
	w.Assert(status("two"), qt.Equals, http.StatusTooManyRequests)
	answer := d.HandlePeer(w.ctx, &wigeonwire.PeerRequest{Body: &wigeonwire.PeerRequest_Job{Job: &wigeonwire.JobQuery{Partition: uint32(listedPartition), Withdraw: true, Team: "two"}}})
	w.Assert(answer.GetJob().GetWithdrawalsFull(), qt.IsTrue)
	w.Assert(w.log.withdrawals(), qt.Equals, 2)

	// Calls on public queues have a part of their own only.
	w.Assert(other.countsAsFull(listedPartition, ""), qt.IsTrue)

	queryLoop(w.ctx, d, func() bool {
		sh.owned = true
		d.startOwnership(sh)
		later := d.config.Now().Wall + wigeonstep.UnixMillis(withdrawalLifetime.Milliseconds())
		for range maxWithdrawals/maxSweptWithdrawals + 1 {
			d.sweepWithdrawals(sh, later)
			for _, record := range sh.owner.Step(d.config.Now()).Append {
				w.Check(sh.replica.Apply(record), qt.IsNil)
			}
			sh.owner.AppendAcknowledged(d.config.Now(), 0)
		}
		return true
	})
	w.Assert(status("one"), qt.Equals, http.StatusGone)
}

// Guards against a withdrawal that ends before its job has: a process that starts later would find the job uncancelled.
func TestWithdrawalOutlastsItsJob(t *testing.T) {
	w := newWithdrawalTest(t)
	d, late := w.addDaemon(), w.addDaemon()
	w.Assert(d.Cancel(w.ctx, listedJob, listedQueue, wigeonteam.Caller{}).Status, qt.Equals, http.StatusGone)
	w.Assert(w.submit(late, listedQueue, wigeonteam.Caller{}).Status, qt.Equals, http.StatusOK)
	sh := w.addDaemon().shards[listedPartition]
	w.Assert(sh.replica.ExpiredWithdrawals(1<<60, 10), qt.HasLen, 0)
	w.Assert(sh.replica.Apply(completedRecord(w.C)), qt.IsNil)
	w.Assert(sh.replica.ExpiredWithdrawals(1<<60, 10), qt.HasLen, 1)
}

// Guards against a submission that outlasts the withdrawal of its job, in the buffers of a process that was paused for longer or in the
// middle of its work.
func TestOldSubmissionIsRefused(t *testing.T) {
	w := newWithdrawalTest(t)
	d := w.addDaemon()
	now := time.Hour
	d.config.Now = func() wigeonshard.Timestamp { return wigeonshard.Timestamp{Steady: now, Wall: 1_700_000_000_000} }
	record := func() *wigeonwire.AppendResult {
		value := jobRecord(w.C)
		return d.HandlePeer(w.ctx, &wigeonwire.PeerRequest{Body: &wigeonwire.PeerRequest_Append{Append: &wigeonwire.AppendRequest{Partition: uint32(listedPartition), Key: value.Key, Value: value.Value}}}).GetAppend()
	}
	refused := func() {
		w.t.Helper()
		w.Assert(w.submit(d, listedQueue, wigeonteam.Caller{}), qt.DeepEquals, responseStale)
		w.Assert(record().GetDone() || record().GetMaybe(), qt.IsFalse)
		w.Assert(w.log.records[listedPartition], qt.HasLen, 0)
	}
	d.pauses.turn(now)
	now += maxPause + time.Second
	refused()
	d.pauses.turn(now)
	now += stalePause - time.Millisecond
	d.pauses.turn(now)
	refused()
	now += time.Millisecond
	d.pauses.turn(now)

	// The process is paused between the look-up and the append.
	ctx, cancel := context.WithCancel(w.ctx)
	defer cancel()
	lookedUp := make(chan struct{})
	d.config.Now = func() wigeonshard.Timestamp {
		select {
		case <-lookedUp:
			now += maxSubmissionTime + time.Second
		default:
			close(lookedUp)
		}
		return wigeonshard.Timestamp{Steady: now, Wall: 1_700_000_000_000}
	}
	w.Assert(d.writeRecord(ctx, listedPartition, jobRecord(w.C)), qt.DeepEquals, responseStale)
	w.Assert(w.log.records[listedPartition], qt.HasLen, 0)
}
