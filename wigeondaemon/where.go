package wigeondaemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
	"github.com/wigeonstep/wigeonstep/wigeonteam"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// whereView is the prefix of a question where a job would be placed, heldWhereView of one from a standby, which is forwarded to
	// the owner but to no other holder, and ownedWhereView of one that is not forwarded any further.
	whereView      = "where/"
	heldWhereView  = "held-where/"
	ownedWhereView = "owned-where/"
	// maxWhereRate bounds the questions that a node answers in a second: for each, up to 16 steps are compared with all workers of a
	// service on the event loop of the owner.
	maxWhereRate = 10
)

// WhereQuestion asks where a job would be placed. Nothing about it is stored.
type WhereQuestion struct {
	Queue wigeonstep.QueueName `json:"queue"`
	Team  wigeonstep.TeamName  `json:"team,omitempty"`
	ID    wigeonstep.JobID     `json:"id"`
	// Job is the record of the job, without what depends on the queue.
	Job []byte `json:"job"`
}

// View returns the view of a status query that asks the question.
func (q WhereQuestion) View() (string, error) {
	encoded, err := json.Marshal(q)
	return whereView + string(encoded), err
}

// WhereAnswer says where a job would be placed, or how it would be refused.
type WhereAnswer struct {
	Queue     wigeonstep.QueueName   `json:"queue"`
	Service   wigeonstep.ServiceName `json:"service,omitempty"`
	Partition wigeonstep.Partition   `json:"partition"`
	Owner     string                 `json:"owner,omitempty"`
	// Refusal is the status and the reason with which the job would be refused; empty if it would be accepted.
	Refusal string `json:"refusal,omitempty"`
	// Known is the state of the job that has the id already, if the caller may access it: the submission would be answered with
	// 200 and place nothing.
	Known string `json:"known,omitempty"`
	*wigeonshard.Placement
}

func refused(queue wigeonstep.QueueName, status int, reason string) WhereAnswer {
	return WhereAnswer{Queue: queue, Refusal: fmt.Sprintf("%d: %s", status, reason)}
}

// answerWhere answers where a job would be placed. A process that does not own the shard of the job forwards the question to the
// owner, and a standby that does not know the owner to a holder.
func (d *Daemon) answerWhere(ctx context.Context, view, encoded string) *wigeonwire.PeerResponse {
	allowed, ok := queryLoop(ctx, d, func() bool {
		d.whereLimit.Rate = maxWhereRate
		defer d.whereLimit.Release()
		return d.whereLimit.Take(d.config.Now().Steady)
	})
	switch {
	case !ok:
		return nil
	case !allowed:
		return &wigeonwire.PeerResponse{Error: fmt.Sprintf("this node answers %d such questions a second; ask again later", maxWhereRate)}
	}
	var question WhereQuestion
	if err := json.Unmarshal([]byte(encoded), &question); err != nil {
		return &wigeonwire.PeerResponse{Error: "decode the question: " + err.Error()}
	}
	answer, job, caller := d.route(question)
	if answer.Refusal != "" {
		return answer.response()
	}
	answer, ok = queryLoop(ctx, d, func() WhereAnswer { return d.place(answer, job, caller) })
	switch {
	case !ok:
		return nil
	case answer.Placement != nil, answer.Known != "", answer.Refusal != "":
		return answer.response()
	case view == ownedWhereView:
	case answer.Owner != "":
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		request := &wigeonwire.PeerRequest{Body: &wigeonwire.PeerRequest_Status{Status: &wigeonwire.StatusQuery{View: ownedWhereView + encoded}}}
		if response, err := d.config.Peers.Call(ctx, answer.Owner, request); err == nil {
			return response
		}
		d.config.Metrics.peerFailures.Inc()
	case view == whereView && !d.following.Load():
		return d.explainByHolder(ctx, heldWhereView+encoded)
	}
	return &wigeonwire.PeerResponse{Error: "the owner of the shard is not known or does not answer"}
}

func (a WhereAnswer) response() *wigeonwire.PeerResponse {
	data, err := json.Marshal(a)
	if err != nil {
		return &wigeonwire.PeerResponse{Error: err.Error()}
	}
	return &wigeonwire.PeerResponse{Body: &wigeonwire.PeerResponse_Status{Status: &wigeonwire.StatusData{Json: data}}}
}

// route returns the job of a question, with what its queue and team add, the caller that would submit it, and the answer so far: the
// refusal that the job would get, or its partition.
func (d *Daemon) route(question WhereQuestion) (WhereAnswer, *wigeonjob.Job, wigeonteam.Caller) {
	caller := wigeonteam.Caller{Team: question.Team}
	table := d.routes.Load()
	if table == nil {
		return refused(question.Queue, http.StatusServiceUnavailable, errNoConfiguration.Error()), nil, caller
	}
	queue, found := table.named(question.Queue)
	if !found {
		return refused(question.Queue, http.StatusNotFound, "no such queue"), nil, caller
	}
	if !queue.Public && d.requiresCredentials(table) && !table.directory.Has(question.Team) {
		return refused(question.Queue, http.StatusUnauthorized, "the queue isn't public, and the configuration in force has no such team"), nil, caller
	}
	switch {
	case queue.Public:
		caller = wigeonteam.Caller{PublicQueue: queue.Name}
	case !d.requiresCredentials(table):
		caller = wigeonteam.Caller{}
	}
	job, err := wigeonjob.DecodeJob(question.ID, question.Job)
	if err == nil {
		err = job.CheckTaskCount()
	}
	if err == nil {
		err = d.checkRecordSize(wigeonstep.KeyedRecord{Key: wigeonjob.Key(wigeonjob.KindJob, job.ID), Value: question.Job})
	}
	if err != nil {
		return refused(question.Queue, http.StatusBadRequest, err.Error()), nil, caller
	}
	job.Queue, job.Service, job.Policy, job.Team, job.Accepted = queue.Name, queue.Service, queue.Policy, question.Team, d.config.Now().Wall
	part, known := d.jobPartition(job.Service, job.ID)
	if !known {
		return refused(question.Queue, http.StatusServiceUnavailable, responseNoPartitions.Refusal.Reason), nil, caller
	}
	return WhereAnswer{Queue: queue.Name, Service: job.Service, Partition: part}, job, caller
}

// place adds the placement by the owner of the shard in this process. Without one the answer gets the address of the owner, as far as
// it is known.
func (d *Daemon) place(a WhereAnswer, job *wigeonjob.Job, caller wigeonteam.Caller) WhereAnswer {
	sh := d.shards[a.Partition]
	if sh == nil {
		return a
	}
	a.Owner = sh.replica.Owner.Address
	if sh.owner != nil {
		a.Owner = d.config.Shard.Address
		if state, team, queue, known := d.knownJob(sh, job.ID); known {
			return a.knownAs(state, caller.MayAccess(team, queue))
		}
		placement := sh.owner.Where(d.config.Now(), job)
		a.Placement = &placement
	}
	return a
}

// knownJob returns the job that has the id, as the owner of the shard or a replica in this process knows it. A job that has moved
// is known where it is now.
func (d *Daemon) knownJob(sh *shard, id wigeonstep.JobID) (state wigeonjob.State, team wigeonstep.TeamName, queue wigeonstep.QueueName, known bool) {
	if state, known = sh.owner.JobState(id); known && state != wigeonjob.StateMoved {
		team, queue = sh.owner.JobTeam(id)
		return state, team, queue, true
	}
	for _, other := range d.sortedShards {
		if e := other.replica.Find(id); e != nil && e.State() != wigeonjob.StateMoved {
			return e.State(), e.Job.Team, e.Job.Queue, true
		}
	}
	return state, "", "", false
}

// knownAs returns the answer for an id that a job in the given state has.
func (a WhereAnswer) knownAs(state wigeonjob.State, accessible bool) WhereAnswer {
	if accessible {
		a.Known = state.String()
		return a
	}
	return refused(a.Queue, responseIDTaken.Status, responseIDTaken.Refusal.Reason)
}

// named returns the queue with the name.
func (t *routeTable) named(name wigeonstep.QueueName) (wigeonstep.Queue, bool) {
	for _, queues := range t.queuesByHost {
		for _, q := range queues {
			if q.Name == name {
				return q, true
			}
		}
	}
	return wigeonstep.Queue{}, false
}
