package wigeondaemon

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonteam"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// peerTimeout bounds a request to a peer other than an append.
	peerTimeout = 250 * time.Millisecond
	// refusalRetryAfter is the minimum retry delay in responses to requests that could not be served.
	refusalRetryAfter = time.Second
)

var errNoConfiguration = errors.New("no configuration is known yet")

// Queue returns the queue for a host and a path; found is false if there is none. The error is not nil while no configuration
// is in force.
func (d *Daemon) Queue(host, path string) (wigeonstep.Queue, bool, error) {
	table := d.routes.Load()
	if table == nil {
		return wigeonstep.Queue{}, false, errNoConfiguration
	}
	queue, found := table.match(host, path)
	return queue, found, nil
}

// ClientLimits returns the bounds of the configuration in force on the requests of clients.
func (d *Daemon) ClientLimits() wigeonstep.ClientLimits {
	table := d.routes.Load()
	if table == nil {
		return wigeonstep.ClientLimits{}
	}
	return table.clientLimits
}

// Ready reports whether the load balancer may send new connections to this process.
func (d *Daemon) Ready() bool { return d.ready.Load() && !d.logAccess.cutOff.Load() }

var (
	responseDone         = wigeonstep.Response{Outcome: wigeonstep.OutcomeDone, Status: http.StatusOK}
	responseAccepted     = wigeonstep.Response{Outcome: wigeonstep.OutcomeAccepted, Status: http.StatusOK}
	responseNoPartitions = wigeonstep.NotRunResponse(http.StatusServiceUnavailable, "the service of the queue has no partitions yet", "look up", "job log", refusalRetryAfter)
	responseNotCounted   = wigeonstep.NotRunResponse(http.StatusServiceUnavailable, "the jobs of the queue are not known yet", "count", "job log", refusalRetryAfter)
	responseNoSuchJob    = wigeonstep.NotRunResponse(http.StatusGone, "no such job", "look up", "job log", 0)
)

// jobLookup is the state of a job as this process knows it, and the state of the job's shard.
type jobLookup struct {
	// part is the partition in which the job was looked up.
	part  wigeonstep.Partition
	state wigeonjob.State
	known bool
	// team and queue are those of a known job, and empty otherwise.
	team  wigeonstep.TeamName
	queue wigeonstep.QueueName
	// holder is the partition that holds the job instead of part; 0 if none is known to.
	holder wigeonstep.Partition
	// owned is set if this process owns the shard, so that the state is authoritative.
	owned bool
	// loaded and nextOffset are those of the shard; ownerAddress is from its newest owner record.
	loaded       bool
	nextOffset   wigeonstep.Offset
	ownerAddress string
}

// lookUpLocal looks a job up in the owner or the replica in this process; the second result is false if ctx ends first.
func (d *Daemon) lookUpLocal(ctx context.Context, part wigeonstep.Partition, id wigeonstep.JobID) (jobLookup, bool) {
	return queryLoop(ctx, d, func() jobLookup {
		sh := d.shards[part]
		if sh == nil {
			return jobLookup{part: part}
		}
		v := jobLookup{part: part, loaded: sh.loaded, nextOffset: sh.nextOffset, ownerAddress: sh.replica.Owner.Address}
		if e := sh.replica.Find(id); e != nil {
			v.state, v.known, v.holder = e.State(), true, e.Progress.Holder
			v.team, v.queue = e.Job.Team, e.Job.Queue
		}
		if sh.owner != nil {
			if state, known := sh.owner.JobState(id); known {
				v.state, v.known, v.holder = state, true, sh.owner.JobHolder(id)
				// The replica may not hold the job while the log is listed anew.
				v.team, v.queue = sh.owner.JobTeam(id)
			}
			v.owned = true
		}
		v.known = v.known && v.state != wigeonjob.StateMoved
		return v
	})
}

// findJob returns the partition, the team and the queue of the job in the replica that holds it; the second result is false if none
// does. A queue may change its service between two requests with the same id, and the job is then in a shard of the former service.
func (d *Daemon) findJob(ctx context.Context, id wigeonstep.JobID) (jobLookup, bool) {
	v, _ := queryLoop(ctx, d, func() jobLookup { return d.lookUpReplicas(id) })
	return v, v.known
}

// lookUpReplicas is findJob on the event loop.
func (d *Daemon) lookUpReplicas(id wigeonstep.JobID) jobLookup {
	for _, sh := range d.sortedShards {
		if e := sh.replica.Find(id); e != nil && e.State() != wigeonjob.StateMoved {
			return jobLookup{part: sh.part, known: true, team: e.Job.Team, queue: e.Job.Queue}
		}
	}
	return jobLookup{}
}

// findSubmitted is findJob for a job that is being submitted; withdrawn is set if the job does not exist and was cancelled before.
func (d *Daemon) findSubmitted(ctx context.Context, job *wigeonjob.Job) (v jobLookup, withdrawn bool) {
	type result struct {
		jobLookup
		withdrawn bool
	}
	r, _ := queryLoop(ctx, d, func() result {
		withdrawn := slices.ContainsFunc(d.sortedShards, func(sh *shard) bool { return sh.replica.Withdrawn(job) })
		return result{d.lookUpReplicas(job.ID), withdrawn}
	})
	return r.jobLookup, r.withdrawn
}

// lookUpAnywhere looks a job up in the shard of the partition and, if it is not known there, in the shard that holds it.
func (d *Daemon) lookUpAnywhere(ctx context.Context, part wigeonstep.Partition, id wigeonstep.JobID) (jobLookup, bool) {
	v, ok := d.lookUpLocal(ctx, part, id)
	switch {
	case !ok || v.known:
		return v, ok
	case v.holder != 0:
		return d.lookUpLocal(ctx, v.holder, id)
	}
	if other, found := d.findJob(ctx, id); found {
		return d.lookUpLocal(ctx, other.part, id)
	}
	return v, true
}

// Submit writes a job of the caller to the job log. A job that a replica in this process already holds is accepted without a second
// record if the caller may access it, and refused otherwise.
func (d *Daemon) Submit(ctx context.Context, job *wigeonjob.Job, queue wigeonstep.Queue, caller wigeonteam.Caller) wigeonstep.Response {
	began := time.Now()
	job.Queue, job.Service, job.Policy, job.Team = queue.Name, queue.Service, queue.Policy, caller.Team
	job.Accepted = d.config.Now().Wall
	if d.pauses.stale(d.config.Now().Steady) {
		d.logRequest("submit", job.ID, queue, responseStale, time.Since(began))
		return responseStale
	}
	ctx, cancel := context.WithTimeout(ctx, maxSubmissionTime)
	defer cancel()
	switch v, withdrawn := d.findSubmitted(ctx, job); {
	case v.known:
		return d.answerKnownJob(v, job.ID, caller)
	case withdrawn:
		d.logRequest("submit", job.ID, queue, responseWithdrawn, time.Since(began))
		return responseWithdrawn
	}
	value, err := wigeonjob.EncodeJob(job)
	if err != nil {
		return wigeonstep.NotRunResponse(http.StatusBadRequest, err.Error(), "encode", "client", 0)
	}
	record := wigeonstep.KeyedRecord{Key: wigeonjob.Key(wigeonjob.KindJob, job.ID), Value: value}
	if err := d.checkRecordSize(record); err != nil {
		response := wigeonstep.NotRunResponse(http.StatusBadRequest, err.Error(), "encode", "client", 0)
		d.logRequest("submit", job.ID, queue, response, time.Since(began))
		return response
	}
	part, known := d.jobPartition(job.Service, job.ID)
	if !known {
		return responseNoPartitions
	}
	response, answered := d.reserveID(ctx, part, job, caller)
	if !answered {
		response = d.writeRecord(ctx, part, record)
	}
	if response.Status == http.StatusOK {
		response = responseAccepted
	}
	d.config.Metrics.observeSubmit(queue.Name, response, time.Since(began))
	d.logRequest("submit", job.ID, queue, response, time.Since(began))
	return response
}

// Status returns the state of a job that clients see. A job that the caller may not access is answered like one that does not
// exist.
func (d *Daemon) Status(ctx context.Context, id wigeonstep.JobID, queue wigeonstep.Queue, caller wigeonteam.Caller) (wigeonjob.State, wigeonstep.Response) {
	v, response := d.lookUpForCaller(ctx, id, queue, caller)
	return v.state.ForClients(), response
}

// lookUpForCaller looks a job up like lookUpJob. A job that the caller may not access is answered like one that does not exist.
func (d *Daemon) lookUpForCaller(ctx context.Context, id wigeonstep.JobID, queue wigeonstep.Queue, caller wigeonteam.Caller) (jobLookup, wigeonstep.Response) {
	v, response := d.lookUpJob(ctx, id, queue)
	if response.Status == http.StatusOK && !caller.MayAccess(v.team, v.queue) {
		d.logForeignJob("look_up_refused", id, caller, v.team)
		return jobLookup{}, responseNoSuchJob
	}
	return v, response
}

// lookUpJob returns the newest available state of a job: from the shard's owner, else from the replica, else from the
// log read to its end.
func (d *Daemon) lookUpJob(ctx context.Context, id wigeonstep.JobID, queue wigeonstep.Queue) (jobLookup, wigeonstep.Response) {
	part, known := d.jobPartition(queue.Service, id)
	if !known {
		return jobLookup{}, responseNoPartitions
	}
	if !d.following.Load() {
		return d.lookUpAtHolders(ctx, part, id)
	}
	v, ok := d.lookUpAnywhere(ctx, part, id)
	switch {
	case !ok:
		return v, wigeonstep.UnknownResponse(true, "the process is busy", "look up", "process")
	case v.known && (v.owned || v.state.Terminal()):
		return v, responseDone
	}
	if !v.owned && v.ownerAddress != "" {
		if status, known := d.queryOwner(ctx, v.ownerAddress, v.part, id); known {
			v.state = wigeonjob.State(status.GetState())
			if !v.known {
				v.known, v.team, v.queue = true, wigeonstep.TeamName(status.GetTeam()), wigeonstep.QueueName(status.GetQueue())
			}
			return v, responseDone
		}
	}
	if v.known {
		return v, responseDone
	}
	return d.lookUpAtLogEnds(ctx, id, v)
}

// queryOwner asks the shard's owner at address for the state and the team of a job. The second result is false if the peer fails, is
// not the owner or does not know the job.
func (d *Daemon) queryOwner(ctx context.Context, address string, part wigeonstep.Partition, id wigeonstep.JobID) (*wigeonwire.JobStatus, bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	request := &wigeonwire.PeerRequest{Body: &wigeonwire.PeerRequest_Job{Job: &wigeonwire.JobQuery{Partition: uint32(part), Job: string(id)}}}
	answer, err := d.config.Peers.Call(ctx, address, request)
	if err != nil {
		d.config.Metrics.peerFailures.Inc()
		return nil, false
	}
	status := answer.GetJob()
	return status, status.GetOwner() && status.GetKnown()
}

// HandlePeer answers a request of a peer. It returns nil if ctx ends first.
func (d *Daemon) HandlePeer(ctx context.Context, request *wigeonwire.PeerRequest) *wigeonwire.PeerResponse {
	kind := workPeerCalls
	if request.GetJob() != nil {
		kind = workJobQueries
	}
	d.work.add(kind, 1)
	if report := request.GetShard(); report != nil {
		orders, ok := queryLoop(ctx, d, func() *wigeonwire.ShardOrders { return d.handleReport(report) })
		if !ok {
			return nil
		}
		return &wigeonwire.PeerResponse{Body: &wigeonwire.PeerResponse_Shard{Shard: orders}}
	}
	if a := request.GetAppend(); a != nil {
		return &wigeonwire.PeerResponse{Body: &wigeonwire.PeerResponse_Append{Append: d.appendForPeer(ctx, a)}}
	}
	if status := request.GetStatus(); status != nil {
		return d.explain(ctx, status.GetView())
	}
	if request.GetLog() != nil {
		return &wigeonwire.PeerResponse{Body: &wigeonwire.PeerResponse_Log{Log: &wigeonwire.LogStatus{Reached: !d.logUnreachable()}}}
	}
	if count := request.GetCount(); count != nil {
		return d.answerCountQuery(ctx, count)
	}
	if query := request.GetDirectory(); query != nil {
		return d.answerDirectoryQuery(query)
	}
	if query := request.GetConfiguration(); query != nil {
		return d.answerConfigurationQuery(query)
	}
	query := request.GetJob()
	switch {
	case query == nil:
		return &wigeonwire.PeerResponse{Error: "this process does not answer such a request"}
	case query.GetReserve():
		return d.answerReservation(ctx, query)
	case query.GetWithdraw():
		return d.answerWithdrawQuery(ctx, query)
	}
	return d.answerJobQuery(ctx, query)
}

// answerJobQuery answers a peer's query for the state of a job from this process's owner or replica of the partition. If the
// peer asks for that, it also looks in the other shards and reads the log.
func (d *Daemon) answerJobQuery(ctx context.Context, query *wigeonwire.JobQuery) *wigeonwire.PeerResponse {
	part, id := wigeonstep.Partition(query.GetPartition()), wigeonstep.JobID(query.GetJob())
	lookUp := d.lookUpLocal
	if query.GetReadLog() {
		lookUp = d.lookUpAnywhere
	}
	v, ok := lookUp(ctx, part, id)
	if !ok {
		return nil
	}
	absent := false
	if !v.known && v.loaded && query.GetReadLog() {
		var response wigeonstep.Response
		v, response = d.lookUpAtLogEnds(ctx, id, v)
		absent = response.Status == http.StatusGone
	}
	status := v.status()
	status.Absent = absent
	return &wigeonwire.PeerResponse{Body: &wigeonwire.PeerResponse_Job{Job: status}}
}

// lookUpAtLogEnds reads the partition of v to its end while looking for the job, and then those that the job has under other
// services, one of which its queue may have had before. A job that is not found by then does not exist.
func (d *Daemon) lookUpAtLogEnds(ctx context.Context, id wigeonstep.JobID, v jobLookup) (jobLookup, wigeonstep.Response) {
	parts := d.jobPartitions(v.part, id)
	v, response := d.lookUpAtLogEnd(ctx, id, v)
	for _, part := range parts[1:] {
		if response.Status != http.StatusGone {
			break
		}
		other, ok := d.lookUpLocal(ctx, part, id)
		if !ok {
			return v, wigeonstep.UnknownResponse(true, "the process is busy", "look up", "process")
		}
		if other.known {
			return other, responseDone
		}
		v, response = d.lookUpAtLogEnd(ctx, id, other)
	}
	return v, response
}

// lookUpAtLogEnd looks the job up after the partition of v has been read to its end. A job that is not found then is not in it.
func (d *Daemon) lookUpAtLogEnd(ctx context.Context, id wigeonstep.JobID, v jobLookup) (jobLookup, wigeonstep.Response) {
	for range maxLogEndReads {
		if !v.loaded {
			break
		}
		end, reached := d.readToLogEnd(ctx, v.part)
		fresh, ok := d.lookUpLocal(ctx, v.part, id)
		switch {
		case !ok:
			return v, wigeonstep.UnknownResponse(true, "the process is busy", "look up", "process")
		case fresh.known:
			return fresh, responseDone
		case reached && fresh.nextOffset >= end:
			return fresh, responseNoSuchJob
		}
		if v = fresh; !reached {
			break
		}
		// A listing has replaced the replica meanwhile, perhaps without the records that were read.
	}
	return v, wigeonstep.NotRunResponse(http.StatusServiceUnavailable, "the job log can't be read to its end", "look up", "job log", refusalRetryAfter)
}

// Cancel writes a cancellation to the job log, unless the job has already ended. That of a job that does not exist is written as a
// withdrawal, so that a submission which is still under way has no effect. A job that the caller may not access is answered like one
// that does not exist.
func (d *Daemon) Cancel(ctx context.Context, id wigeonstep.JobID, queue wigeonstep.Queue, caller wigeonteam.Caller) wigeonstep.Response {
	began := time.Now()
	v, response := d.lookUpJob(ctx, id, queue)
	switch {
	case response.Status == http.StatusOK && !caller.MayAccess(v.team, v.queue):
		d.logForeignJob("look_up_refused", id, caller, v.team)
		response = responseNoSuchJob
	case response.Status == http.StatusGone:
		response = d.withdraw(ctx, id, queue, caller)
	}
	if response.Status != http.StatusOK || v.state.Terminal() {
		d.logRequest("cancel", id, queue, response, time.Since(began))
		return response
	}
	value, err := wigeonjob.EncodeCancel(d.config.Now().Wall)
	if err != nil {
		return wigeonstep.UnknownResponse(false, err.Error(), "encode", "process")
	}
	if !d.following.Load() {
		v.part = d.partitionAtHolders(ctx, v.part, id)
	}
	response = d.writeRecord(ctx, v.part, wigeonstep.KeyedRecord{Key: wigeonjob.Key(wigeonjob.KindCancel, id), Value: value})
	d.logRequest("cancel", id, queue, response, time.Since(began))
	return response
}

// CountWaiting counts the accepted jobs of a queue of which no task has started.
func (d *Daemon) CountWaiting(ctx context.Context, queue wigeonstep.Queue) (int, wigeonstep.Response) {
	parts := d.partitions(queue.Service)
	if !d.following.Load() {
		return d.countAtHolders(ctx, parts, queue.Name)
	}
	n, ok := queryLoop(ctx, d, func() int { return d.countPendingJobs(parts, queue.Name) })
	if !ok || n < 0 {
		return 0, responseNotCounted
	}
	return n, responseDone
}

// countPendingJobs counts the waiting jobs of a queue, which has the partitions now, in all shards: jobs that were accepted
// while the queue had another service are in others. It returns -1 while there are no partitions, or the replica of one of
// them is not loaded.
func (d *Daemon) countPendingJobs(parts []wigeonstep.Partition, queue wigeonstep.QueueName) int {
	for _, part := range parts {
		if sh := d.shards[part]; sh == nil || !sh.loaded {
			return -1
		}
	}
	if len(parts) == 0 {
		return -1
	}
	n := 0
	for _, sh := range d.sortedShards {
		n += sh.replica.CountPending(queue)
	}
	return n
}

// logRequest logs a client's request with its outcome and, for a refusal, the reason.
func (d *Daemon) logRequest(event string, id wigeonstep.JobID, queue wigeonstep.Queue, response wigeonstep.Response, took time.Duration) {
	fields := []zap.Field{zap.String("job", string(id)), zap.String("queue", string(queue.Name)), zap.Int("status", response.Status), zap.String("outcome", string(response.Outcome)), zap.Duration("took", took)}
	if table := d.routes.Load(); table != nil {
		fields = append(fields, zap.Uint64("version", uint64(table.version)))
	}
	if response.Refusal != nil {
		fields = append(fields, zap.String("reason", response.Refusal.Reason), zap.String("step", response.Refusal.Step), zap.String("peer", response.Refusal.Peer))
	}
	d.config.Logger.Info(event, fields...)
}
