package wigeondaemon

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// jobView is the prefix of a job query that is forwarded to the owner of the shard, ownedJobView of one that is not
	// forwarded any further.
	jobView      = "job/"
	ownedJobView = "owned-job/"
)

// explain answers an operator's status query about a job. A process that does not own the job's shard forwards the query
// to the owner. If the owner does not respond, the answer comes from the replica.
func (d *Daemon) explain(ctx context.Context, view string) *wigeonwire.PeerResponse {
	for _, prefix := range []string{whereView, heldWhereView, ownedWhereView} {
		if question, isWhere := strings.CutPrefix(view, prefix); isWhere {
			return d.answerWhere(ctx, prefix, question)
		}
	}
	id, owned := strings.CutPrefix(view, ownedJobView)
	if !owned {
		var isJob bool
		if id, isJob = strings.CutPrefix(view, jobView); !isJob {
			return &wigeonwire.PeerResponse{Error: "a node explains jobs and where they would be placed; its other decisions are in its log"}
		}
	}
	type answer struct {
		status wigeonstep.ObjectStatus
		known  bool
		owner  string
	}
	a, ok := queryLoop(ctx, d, func() answer {
		status, known, owner := d.jobStatus(wigeonstep.JobID(id))
		return answer{status, known, owner}
	})
	if !ok {
		return nil
	}
	if !a.known && a.owner != "" && !owned {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		request := &wigeonwire.PeerRequest{Body: &wigeonwire.PeerRequest_Status{Status: &wigeonwire.StatusQuery{View: ownedJobView + id}}}
		if response, err := d.config.Peers.Call(ctx, a.owner, request); err == nil {
			return response
		}
		d.config.Metrics.peerFailures.Inc()
	}
	if !owned && !d.following.Load() {
		return d.explainByHolder(ctx, view)
	}
	encoded, err := json.Marshal(a.status)
	if err != nil {
		return &wigeonwire.PeerResponse{Error: err.Error()}
	}
	return &wigeonwire.PeerResponse{Body: &wigeonwire.PeerResponse_Status{Status: &wigeonwire.StatusData{Json: encoded}}}
}

// explainByHolder forwards a query about a job to a process that follows the job log.
func (d *Daemon) explainByHolder(ctx context.Context, view string) *wigeonwire.PeerResponse {
	explanation := &wigeonwire.PeerResponse{Error: "no process that follows the job log answers"}
	request := &wigeonwire.PeerRequest{Body: &wigeonwire.PeerRequest_Status{Status: &wigeonwire.StatusQuery{View: view}}}
	d.askHolders(ctx, fleetPartition, request, func(response *wigeonwire.PeerResponse) bool {
		explanation = response
		return true
	})
	return explanation
}

// jobStatus explains the state of a job; known is set if the explanation comes from the owner of its shard in this
// process, and owner is the address of another process that owns the shard.
func (d *Daemon) jobStatus(id wigeonstep.JobID) (status wigeonstep.ObjectStatus, known bool, owner string) {
	status = wigeonstep.ObjectStatus{Kind: "job", Subject: string(id)}
	for _, sh := range d.sortedShards {
		if sh.owner != nil {
			if s, ok := sh.owner.Explain(d.config.Now(), id); ok {
				return s, true, ""
			}
		}
		if e := sh.replica.Find(id); e != nil {
			status.State = e.State().String() + ", as the log says"
			if e.Progress.Cause != "" {
				status.State += ", because " + e.Progress.Cause
			}
			status.WaitsFor = ""
			if !e.State().Terminal() {
				status.WaitsFor = "its owner, which did not answer"
			}
			if sh.replica.Owner.Address != d.config.Shard.Address {
				owner = sh.replica.Owner.Address
			}
		}
	}
	return status, false, owner
}
