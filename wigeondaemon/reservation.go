package wigeondaemon

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonteam"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// This file keeps two teams from using one job id. The store keeps the newest record of a job, so a second record, of another team,
// would replace the first one in processes that start later.

const (
	// reservationTimeout bounds the time for which the submission of a job waits for its id to be reserved.
	reservationTimeout = peerTimeout + 50*time.Millisecond
	// unreservedLookUpTimeout bounds the look-up in the log that replaces a reservation without an answer. A slow store answers a
	// read after a quarter of a second. Without a result the job is written all the same.
	unreservedLookUpTimeout = 600 * time.Millisecond
)

// responseIDTaken answers the submission of a job under the id of a job that the caller may not access.
var responseIDTaken = wigeonstep.NotRunResponse(http.StatusConflict, "the job id is in use", "reserve", "job log", 0)

// answerKnownJob answers the submission of a job under an id that is known.
func (d *Daemon) answerKnownJob(known jobLookup, id wigeonstep.JobID, caller wigeonteam.Caller) wigeonstep.Response {
	if !caller.MayAccess(known.team, known.queue) {
		d.logForeignJob("submit_refused", id, caller, known.team)
		return responseIDTaken
	}
	return responseAccepted
}

// reserveID reserves the id of a job at the owner of its partition before the job is written. answered is set if the job must not be
// written, because it is stored already or another team has the id. Without required credentials it does nothing.
func (d *Daemon) reserveID(ctx context.Context, part wigeonstep.Partition, job *wigeonjob.Job, caller wigeonteam.Caller) (response wigeonstep.Response, answered bool) {
	if !d.requiresCredentials(d.routes.Load()) {
		return wigeonstep.Response{}, false
	}
	status := d.askOwnerToReserve(ctx, &wigeonwire.JobQuery{Partition: uint32(part), Job: string(job.ID), Reserve: true, Team: string(job.Team)})
	team := wigeonstep.TeamName(status.GetTeam())
	switch {
	case status.GetKnown():
		return d.answerKnownJob(jobLookup{team: team, queue: wigeonstep.QueueName(status.GetQueue())}, job.ID, caller), true
	case status.GetReserved() && team != job.Team:
		d.logForeignJob("submit_refused", job.ID, caller, team)
		return responseIDTaken, true
	case status.GetReserved():
		return wigeonstep.Response{}, false
	}
	// The partition has no owner now, or it does not answer. The end of the log tells at least of the jobs that were accepted before.
	if v, known := d.lookUpUnreserved(ctx, part, job.ID); known {
		return d.answerKnownJob(v, job.ID, caller), true
	}
	return wigeonstep.Response{}, false
}

// leaveTime returns the limit, or a quarter of the time until the client's deadline if that is less: the job has to be written in
// the rest.
func leaveTime(ctx context.Context, limit time.Duration) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return min(limit, time.Until(deadline)/4)
	}
	return limit
}

// lookUpUnreserved looks a job up at the end of the log of its partition.
func (d *Daemon) lookUpUnreserved(ctx context.Context, part wigeonstep.Partition, id wigeonstep.JobID) (jobLookup, bool) {
	ctx, cancel := context.WithTimeout(ctx, leaveTime(ctx, unreservedLookUpTimeout))
	defer cancel()
	if !d.following.Load() {
		v, _ := d.lookUpAtHolders(ctx, part, id)
		return v, v.known
	}
	v, ok := d.lookUpLocal(ctx, part, id)
	if !ok || v.known {
		return v, v.known
	}
	v, _ = d.lookUpAtLogEnd(ctx, id, v)
	return v, v.known
}

// askOwnerToReserve asks the owner of the partition, which may be this process, to reserve an id. It returns nil without an answer.
func (d *Daemon) askOwnerToReserve(ctx context.Context, query *wigeonwire.JobQuery) *wigeonwire.JobStatus {
	ctx, cancel := context.WithTimeout(ctx, leaveTime(ctx, reservationTimeout))
	defer cancel()
	part := wigeonstep.Partition(query.GetPartition())
	request := &wigeonwire.PeerRequest{Body: &wigeonwire.PeerRequest_Job{Job: query}}
	if !d.following.Load() {
		var status *wigeonwire.JobStatus
		d.askHolders(ctx, part, request, func(response *wigeonwire.PeerResponse) bool {
			status = response.GetJob()
			return status.GetKnown() || status.GetOwner()
		})
		return status
	}
	v, ok := d.lookUpLocal(ctx, part, wigeonstep.JobID(query.GetJob()))
	switch {
	case !ok:
		return nil
	case v.owned:
		return d.answerReservation(ctx, query).GetJob()
	case v.ownerAddress == "":
		return nil
	}
	answer, err := d.config.Peers.Call(ctx, v.ownerAddress, request)
	if err != nil {
		d.config.Metrics.peerFailures.Inc()
		return nil
	}
	return answer.GetJob()
}

// answerReservation reserves the id of a job if this process owns its partition. It answers with the job if a replica here holds it,
// and otherwise with the team that has the id.
func (d *Daemon) answerReservation(ctx context.Context, query *wigeonwire.JobQuery) *wigeonwire.PeerResponse {
	part, id := wigeonstep.Partition(query.GetPartition()), wigeonstep.JobID(query.GetJob())
	type reservation struct {
		team wigeonstep.TeamName
		made bool
	}
	// The id is reserved before the look-up, so that a job whose record is read in between has one or the other.
	r, ok := queryLoop(ctx, d, func() reservation {
		sh := d.shards[part]
		if sh == nil || sh.owner == nil {
			return reservation{}
		}
		team, _ := sh.reservations.Reserve(d.config.Now().Steady, id, wigeonstep.TeamName(query.GetTeam()))
		return reservation{team, true}
	})
	if !ok {
		return nil
	}
	v, ok := d.lookUpAnywhere(ctx, part, id)
	if !ok {
		return nil
	}
	status := v.status()
	if !v.known && r.made {
		status.Reserved, status.Team, status.Owner = true, string(r.team), true
	}
	return &wigeonwire.PeerResponse{Body: &wigeonwire.PeerResponse_Job{Job: status}}
}

// status returns what a peer is told of the job.
func (v jobLookup) status() *wigeonwire.JobStatus {
	return &wigeonwire.JobStatus{Owner: v.owned, Known: v.known, State: wigeonwire.ProgressState(v.state), Team: string(v.team), Queue: string(v.queue)}
}

// logForeignJob logs a call about a job of another team.
func (d *Daemon) logForeignJob(event string, id wigeonstep.JobID, caller wigeonteam.Caller, team wigeonstep.TeamName) {
	if d.unauthorizedLines.Allow() {
		d.config.Logger.Warn(event, zap.String("job", string(id)), zap.String("team", string(caller.Team)), zap.String("job_team", string(team)))
	}
}

// restoreReplaced writes the records of jobs that were replaced by those of another team, if this process owns the shard: the id was
// not reserved, because the owner did not answer or had changed.
func (d *Daemon) restoreReplaced(sh *shard) {
	if sh.owner == nil {
		// The replica keeps the list for the time when this process owns the shard.
		return
	}
	for _, job := range sh.replica.TakeReplaced() {
		value, err := wigeonjob.EncodeJob(job)
		if err != nil {
			d.config.Logger.Error("restore_failed", zap.String("job", string(job.ID)), zap.Error(err))
			continue
		}
		d.config.Logger.Warn("job_record_restored", zap.String("job", string(job.ID)), zap.String("team", string(job.Team)))
		ctx, part := sh.ctx, sh.part
		record := wigeonstep.KeyedRecord{Key: wigeonjob.Key(wigeonjob.KindJob, job.ID), Value: value}
		go func() {
			for delay := minAppendDelay; ctx.Err() == nil; delay = min(2*delay, maxAppendDelay) {
				if keeps, ok := queryLoop(ctx, d, func() bool { return d.keepsJob(sh, job.ID) }); !ok || !keeps {
					return
				}
				err := d.appendBatched(ctx, part, record, time.Time{})
				if err == nil || errors.Is(err, wigeonstep.ErrRejected) {
					return
				}
				sleep(ctx, delay)
			}
		}()
	}
}

// restoreMargin is the time before the removal of an ended job from which its record is not restored any more: a record that is
// written after the removal would start the job again.
const restoreMargin = 10 * time.Second

// keepsJob reports whether the job is held here and is not about to be removed.
func (d *Daemon) keepsJob(sh *shard, id wigeonstep.JobID) bool {
	e := sh.replica.Find(id)
	if e == nil {
		return false
	}
	removed := e.Progress.Ended + wigeonstep.UnixMillis(d.config.Retention.Milliseconds())
	return !e.Progress.State.Terminal() || e.Progress.Ended == 0 || d.config.Now().Wall < removed-wigeonstep.UnixMillis(restoreMargin.Milliseconds())
}
