package wigeondaemon

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonteam"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// This file makes the cancellation of a job that does not exist hold for a submission of it that is still under way: in the buffers of a
// process that is paused, at a slow log, or at a process that follows an older configuration. The answer to the client follows a
// record, the withdrawal, in each partition to which the submission may be written. Withdrawals end, and so submissions have to. From the
// first byte of a request on, all waits count against the deadline of its client and maxSubmissionTime: for its head and body
// (wigeoningress), for the appends before it (appendbatch.go), and for a peer that writes it (writerecord.go).

const (
	// withdrawalLifetime is the time for which a withdrawal holds: the longest time for which a submission may be under way, in which
	// the process may be paused twice without noticing it, and the difference between the clocks of the process that wrote the
	// withdrawal and of the one that removes it.
	withdrawalLifetime = 2*maxPause + maxSubmissionTime + maxClockDifference + maxPeerWriteTime + batchAppendTimeout + maxLateAppend + maxClockDifference
	// maxSubmissionTime is the time after which a process writes no record of a request any more.
	maxSubmissionTime = 15 * time.Second
	// maxPeerWriteTime is the time after which a peer writes no record that it was asked to write.
	maxPeerWriteTime = 5 * time.Second
	// maxLateAppend is the time after which the log carries out no append any more whose answer was lost.
	maxLateAppend = 10 * time.Second
	// maxClockDifference bounds the difference between the wall clocks of two VMs.
	maxClockDifference = 5 * time.Second
	// maxPause is the longest pause of the process after which the requests in its buffers are handled like others, and stalePause
	// the time after a longer one in which submissions are refused.
	maxPause   = 10 * time.Second
	stalePause = 5 * time.Second
	// maxWithdrawals and maxTeamWithdrawals bound the withdrawals in one partition, and those of one team, or of all calls without
	// one, in it.
	maxWithdrawals     = 1 << 13
	maxTeamWithdrawals = 1 << 10
	// maxSweptWithdrawals bounds the withdrawals that are removed from one shard in a sweep.
	maxSweptWithdrawals = 1 << 11
)

var (
	responseWithdrawalsFull = wigeonstep.NotRunResponse(http.StatusTooManyRequests, "too many unknown jobs were cancelled lately", "cancel", "job log", refusalRetryAfter)
	responseWithdrawn       = wigeonstep.NotRunResponse(http.StatusServiceUnavailable, "the job was cancelled before it was accepted", "submit", "job log", withdrawalLifetime)
	responseStale           = wigeonstep.NotRunResponse(http.StatusServiceUnavailable, "the process was paused, and the request may be old", "submit", "process", refusalRetryAfter)
)

// withdraw records that the client cancels a job that does not exist, in each partition to which a submission of it may be written.
func (d *Daemon) withdraw(ctx context.Context, id wigeonstep.JobID, queue wigeonstep.Queue, caller wigeonteam.Caller) wigeonstep.Response {
	part, known := d.jobPartition(queue.Service, id)
	if !known {
		return responseNoPartitions
	}
	if full, known := d.withdrawalsFull(ctx, part, caller.Team); !known {
		return wigeonstep.NotRunResponse(http.StatusServiceUnavailable, "no process that counts the cancellations answers", "cancel", "peers", refusalRetryAfter)
	} else if full {
		return responseWithdrawalsFull
	}
	w := wigeonjob.Withdrawal{Job: id, Team: caller.Team, PublicQueue: caller.PublicQueue, At: d.config.Now().Wall}
	value, err := wigeonjob.EncodeWithdrawal(w)
	if err != nil {
		return wigeonstep.UnknownResponse(false, err.Error(), "encode", "process")
	}
	parts := d.jobPartitions(part, id)
	responses := make([]wigeonstep.Response, len(parts))
	var written sync.WaitGroup
	for i, part := range parts {
		written.Go(func() {
			responses[i] = d.writeRecord(ctx, part, wigeonstep.KeyedRecord{Key: w.Key(), Value: value})
		})
	}
	written.Wait()
	for _, response := range responses {
		if response.Status != http.StatusOK {
			return response
		}
	}
	d.config.Logger.Info("job_withdrawn", zap.String("job", string(id)), zap.String("team", string(caller.Team)), zap.Int("partitions", len(parts)))
	return responseNoSuchJob
}

// withdrawalsFull reports whether the team may withdraw no further job of the partition now; known is false if nothing is known of it.
func (d *Daemon) withdrawalsFull(ctx context.Context, part wigeonstep.Partition, team wigeonstep.TeamName) (full, known bool) {
	if d.following.Load() {
		return queryLoop(ctx, d, func() bool { return d.countsAsFull(part, team) })
	}
	query := &wigeonwire.JobQuery{Partition: uint32(part), Withdraw: true, Team: string(team)}
	known = d.askHolders(ctx, part, &wigeonwire.PeerRequest{Body: &wigeonwire.PeerRequest_Job{Job: query}}, func(response *wigeonwire.PeerResponse) bool {
		full = response.GetJob().GetWithdrawalsFull()
		return response.GetJob() != nil
	})
	return full, known
}

// countsAsFull reports whether the replica of the partition holds as many withdrawals as it may, or the team has as many.
func (d *Daemon) countsAsFull(part wigeonstep.Partition, team wigeonstep.TeamName) bool {
	sh := d.shards[part]
	if sh == nil {
		return false
	}
	ofTeam, all := sh.replica.CountWithdrawals(team)
	// Where teams have credentials, calls without a team are those on public queues.
	hasShare := team != "" || d.requiresCredentials(d.routes.Load())
	return all >= maxWithdrawals || hasShare && ofTeam >= maxTeamWithdrawals
}

// answerWithdrawQuery answers a standby that is about to write a withdrawal.
func (d *Daemon) answerWithdrawQuery(ctx context.Context, query *wigeonwire.JobQuery) *wigeonwire.PeerResponse {
	part, team := wigeonstep.Partition(query.GetPartition()), wigeonstep.TeamName(query.GetTeam())
	full, ok := queryLoop(ctx, d, func() bool { return d.countsAsFull(part, team) })
	if !ok {
		return nil
	}
	return &wigeonwire.PeerResponse{Body: &wigeonwire.PeerResponse_Job{Job: &wigeonwire.JobStatus{WithdrawalsFull: full}}}
}

// sweepWithdrawals removes the withdrawals that have ended from the log of a shard that this process owns.
func (d *Daemon) sweepWithdrawals(sh *shard, now wigeonstep.UnixMillis) {
	before := now - wigeonstep.UnixMillis(withdrawalLifetime.Milliseconds())
	sh.owner.DropRecords(sh.replica.ExpiredWithdrawals(before, maxSweptWithdrawals))
}

// pauseWatch notices pauses of the process, which only show afterwards. The zero value is ready to use.
type pauseWatch struct {
	// turnAt is the time of the newest turn of the event loop, wokeAt that of the newest one after a pause; both are times of the
	// steady clock, and 0 if there was none.
	turnAt, wokeAt atomic.Int64
}

// turn records a turn of the event loop.
func (p *pauseWatch) turn(now time.Duration) {
	if before := p.turnAt.Swap(int64(now)); before != 0 && now-time.Duration(before) > maxPause {
		p.wokeAt.Store(int64(now))
	}
}

// stale reports whether a request that is read now may have waited in a buffer for longer than maxPause.
func (p *pauseWatch) stale(now time.Duration) bool {
	turnAt, wokeAt := time.Duration(p.turnAt.Load()), time.Duration(p.wokeAt.Load())
	return turnAt != 0 && now-turnAt > maxPause || wokeAt != 0 && now-wokeAt < stalePause
}
