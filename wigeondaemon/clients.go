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
	"github.com/wigeonstep/wigeonstep/wigeontail"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// peerTimeout bounds the question to the owner of a shard.
	peerTimeout = 250 * time.Millisecond
	// refusalRetry is when a client may come back after the log refused.
	refusalRetry = time.Second
)

var errNoConfiguration = errors.New("no configuration is known yet")

// Queue implements platform.Jobs.
func (d *Daemon) Queue(host, path string) (wigeonstep.Queue, bool, error) {
	table := d.routes.Load()
	if table == nil {
		return wigeonstep.Queue{}, false, errNoConfiguration
	}
	queue, found := table.find(host, path)
	return queue, found, nil
}

// Ready implements platform.Jobs.
func (d *Daemon) Ready() bool { return d.ready.Load() && !d.reach.cutOff.Load() }

var (
	done     = wigeonstep.Response{Outcome: wigeonstep.OutcomeDone, Status: http.StatusOK}
	accept   = wigeonstep.Response{Outcome: wigeonstep.OutcomeAccepted, Status: http.StatusOK}
	notSplit = wigeonstep.NotRun(http.StatusServiceUnavailable, "the service of the queue has no partitions yet", "look up", "job log", refusalRetry)
	notFound = wigeonstep.NotRun(http.StatusGone, "no such job", "look up", "job log", 0)
)

// view is what this process knows of a job.
type view struct {
	state wigeonjob.State
	known bool
	// owned is set when the state is the owner's own.
	owned  bool
	loaded bool
	next   wigeonstep.Offset
	owner  string
}

// look returns what this process knows of a job of a shard.
func (d *Daemon) look(ctx context.Context, part wigeonstep.Partition, id wigeonstep.JobID) (view, bool) {
	return ask(ctx, d, func() view {
		sh := d.shards[part]
		if sh == nil {
			return view{}
		}
		v := view{loaded: sh.loaded, next: sh.next, owner: sh.replica.Owner.Address}
		if e := sh.replica.Find(id); e != nil {
			v.state, v.known = e.State(), true
		}
		if sh.owner != nil {
			if state, known := sh.owner.State(id); known {
				v.state, v.known = state, true
			}
			v.owned = true
		}
		return v
	})
}

// knownAnywhere reports whether any shard holds the job, which happens when a queue changes its service between two
// requests with the same id.
func (d *Daemon) knownAnywhere(ctx context.Context, id wigeonstep.JobID) bool {
	known, _ := ask(ctx, d, func() bool {
		return slices.ContainsFunc(d.order, func(sh *shard) bool { return sh.replica.Find(id) != nil })
	})
	return known
}

// Submit implements platform.Jobs.
func (d *Daemon) Submit(ctx context.Context, job *wigeonjob.Job, queue wigeonstep.Queue) wigeonstep.Response {
	began := time.Now()
	job.Queue, job.Service, job.Policy = queue.Name, queue.Service, queue.Policy
	job.Accepted = d.config.Now().Wall
	if d.knownAnywhere(ctx, job.ID) {
		return accept
	}
	value, err := wigeonjob.EncodeJob(job)
	if err != nil {
		return wigeonstep.NotRun(http.StatusBadRequest, err.Error(), "encode", "client", 0)
	}
	record := wigeonstep.KeyedRecord{Key: wigeonjob.Key(wigeonjob.KindJob, job.ID), Value: value}
	part, known := d.jobPartition(job.Service, job.ID)
	if !known {
		return notSplit
	}
	response := d.record(ctx, part, record)
	if response.Status == http.StatusOK {
		response = accept
	}
	d.config.Metrics.submitted(queue.Name, response, time.Since(began))
	d.logRequest("submit", job.ID, queue, response, time.Since(began))
	return response
}

// Show implements platform.Jobs.
func (d *Daemon) Show(ctx context.Context, id wigeonstep.JobID, queue wigeonstep.Queue) (wigeonjob.State, wigeonstep.Response) {
	v, response := d.find(ctx, id, queue)
	return v.state, response
}

// find returns the newest state of a job that can be had: of the owner, or else of the log.
func (d *Daemon) find(ctx context.Context, id wigeonstep.JobID, queue wigeonstep.Queue) (view, wigeonstep.Response) {
	part, known := d.jobPartition(queue.Service, id)
	if !known {
		return view{}, notSplit
	}
	v, ok := d.look(ctx, part, id)
	switch {
	case !ok:
		return v, wigeonstep.Unknown(true, "the process is busy", "look up", "process")
	case v.known && (v.owned || v.state.Terminal()):
		return v, done
	}
	if !v.owned && v.owner != "" {
		if state, known := d.askOwner(ctx, v.owner, part, id); known {
			v.state, v.known = state, true
			return v, done
		}
	}
	if v.known {
		return v, done
	}
	return d.freshen(ctx, part, id, v)
}

// askOwner asks the owner of a shard for the state of a job.
func (d *Daemon) askOwner(ctx context.Context, address string, part wigeonstep.Partition, id wigeonstep.JobID) (wigeonjob.State, bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	request := &wigeonwire.PeerRequest{Body: &wigeonwire.PeerRequest_Job{Job: &wigeonwire.JobQuery{Partition: uint32(part), Job: string(id)}}}
	answer, err := d.config.Peers.Call(ctx, address, request)
	if err != nil {
		d.config.Metrics.peerFailures.Inc()
		return 0, false
	}
	status := answer.GetJob()
	return wigeonjob.State(status.GetState()), status.GetOwner() && status.GetKnown()
}

// HandlePeer implements wigeonpeer.Handler.
func (d *Daemon) HandlePeer(ctx context.Context, request *wigeonwire.PeerRequest) *wigeonwire.PeerResponse {
	if report := request.GetShard(); report != nil {
		orders, ok := ask(ctx, d, func() *wigeonwire.ShardOrders { return d.takeReport(report) })
		if !ok {
			return nil
		}
		return &wigeonwire.PeerResponse{Body: &wigeonwire.PeerResponse_Shard{Shard: orders}}
	}
	if a := request.GetAppend(); a != nil {
		return &wigeonwire.PeerResponse{Body: &wigeonwire.PeerResponse_Append{Append: d.appendFor(ctx, a)}}
	}
	if status := request.GetStatus(); status != nil {
		return d.explain(ctx, status.GetView())
	}
	if request.GetLog() != nil {
		return &wigeonwire.PeerResponse{Body: &wigeonwire.PeerResponse_Log{Log: &wigeonwire.LogStatus{Reached: !d.logLost()}}}
	}
	query := request.GetJob()
	if query == nil {
		return &wigeonwire.PeerResponse{Error: "this process does not answer such a request"}
	}
	v, ok := d.look(ctx, wigeonstep.Partition(query.GetPartition()), wigeonstep.JobID(query.GetJob()))
	if !ok {
		return nil
	}
	status := &wigeonwire.JobStatus{Owner: v.owned, Known: v.known, State: wigeonwire.ProgressState(v.state)}
	return &wigeonwire.PeerResponse{Body: &wigeonwire.PeerResponse_Job{Job: status}}
}

// freshen reads the log up to its end, so that a job that is not there then does not exist.
func (d *Daemon) freshen(ctx context.Context, part wigeonstep.Partition, id wigeonstep.JobID, v view) (view, wigeonstep.Response) {
	const freshenReads = 8
	for range freshenReads {
		if !v.loaded {
			break
		}
		read, err := d.config.Jobs.ReadKeyed(ctx, part, v.next, 0)
		if err != nil {
			break
		}
		batch := wigeontail.Batch{Records: read.Records, From: v.next, Next: read.Next, Complete: read.Next >= read.End}
		d.post(func() { d.apply(d.shards[part], batch) })
		fresh, ok := d.look(ctx, part, id)
		switch {
		case !ok:
			return v, wigeonstep.Unknown(true, "the process is busy", "look up", "process")
		case fresh.known:
			return fresh, done
		case batch.Complete:
			return fresh, notFound
		}
		v = fresh
	}
	return v, wigeonstep.NotRun(http.StatusServiceUnavailable, "the job log can't be read to its end", "look up", "job log", refusalRetry)
}

// Cancel implements platform.Jobs.
func (d *Daemon) Cancel(ctx context.Context, id wigeonstep.JobID, queue wigeonstep.Queue) wigeonstep.Response {
	began := time.Now()
	v, response := d.find(ctx, id, queue)
	if response.Status != http.StatusOK || v.state.Terminal() {
		d.logRequest("cancel", id, queue, response, time.Since(began))
		return response
	}
	value, err := wigeonjob.EncodeCancel(d.config.Now().Wall)
	if err != nil {
		return wigeonstep.Unknown(false, err.Error(), "encode", "process")
	}
	part, _ := d.jobPartition(queue.Service, id)
	response = d.record(ctx, part, wigeonstep.KeyedRecord{Key: wigeonjob.Key(wigeonjob.KindCancel, id), Value: value})
	d.logRequest("cancel", id, queue, response, time.Since(began))
	return response
}

// Waiting implements platform.Jobs.
func (d *Daemon) Waiting(ctx context.Context, queue wigeonstep.Queue) (int, wigeonstep.Response) {
	parts := d.partitions(queue.Service)
	n, ok := ask(ctx, d, func() int { return d.countWaiting(parts, queue.Name) })
	if !ok || n < 0 {
		return 0, wigeonstep.NotRun(http.StatusServiceUnavailable, "the jobs of the queue are not known yet", "count", "job log", refusalRetry)
	}
	return n, done
}

// countWaiting counts the waiting jobs of a queue; it is negative while they are not known.
func (d *Daemon) countWaiting(parts []wigeonstep.Partition, queue wigeonstep.QueueName) int {
	n := 0
	for _, part := range parts {
		sh := d.shards[part]
		if sh == nil || !sh.loaded {
			return -1
		}
		n += sh.replica.Waiting(queue)
	}
	if len(parts) == 0 {
		return -1
	}
	return n
}

// logRequest writes the line of a client's request.
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
