package wigeondaemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// whereView is the prefix of a question where a job would be placed, ownedWhereView of one that is not forwarded any further.
	whereView      = "where/"
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
	*wigeonshard.Placement
}

func refused(queue wigeonstep.QueueName, status int, reason string) WhereAnswer {
	return WhereAnswer{Queue: queue, Refusal: fmt.Sprintf("%d: %s", status, reason)}
}

// answerWhere answers where a job would be placed. A process that does not own the shard of the job forwards the question to the
// owner.
func (d *Daemon) answerWhere(ctx context.Context, encoded string, owned bool) *wigeonwire.PeerResponse {
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
	answer, job := d.route(question)
	if answer.Refusal != "" {
		return answer.response()
	}
	answer, ok = queryLoop(ctx, d, func() WhereAnswer { return d.place(answer, job) })
	switch {
	case !ok:
		return nil
	case answer.Placement != nil:
		return answer.response()
	case owned:
	case answer.Owner != "":
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		request := &wigeonwire.PeerRequest{Body: &wigeonwire.PeerRequest_Status{Status: &wigeonwire.StatusQuery{View: ownedWhereView + encoded}}}
		if response, err := d.config.Peers.Call(ctx, answer.Owner, request); err == nil {
			return response
		}
		d.config.Metrics.peerFailures.Inc()
	case !d.following.Load():
		return d.explainByHolder(ctx, whereView+encoded)
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

// route returns the job of a question, with what its queue and team add, and the answer so far: the refusal that the job would get, or
// its partition.
func (d *Daemon) route(question WhereQuestion) (WhereAnswer, *wigeonjob.Job) {
	table := d.routes.Load()
	if table == nil {
		return refused(question.Queue, http.StatusServiceUnavailable, errNoConfiguration.Error()), nil
	}
	queue, found := table.named(question.Queue)
	if !found {
		return refused(question.Queue, http.StatusNotFound, "no such queue"), nil
	}
	if !queue.Public && d.requiresCredentials(table) && !table.directory.Has(question.Team) {
		return refused(question.Queue, http.StatusUnauthorized, "the queue isn't public, and the configuration in force has no such team"), nil
	}
	job, err := wigeonjob.DecodeJob(question.ID, question.Job)
	if err == nil {
		err = job.CheckTaskCount()
	}
	if err == nil {
		err = d.checkRecordSize(wigeonstep.KeyedRecord{Key: wigeonjob.Key(wigeonjob.KindJob, job.ID), Value: question.Job})
	}
	if err != nil {
		return refused(question.Queue, http.StatusBadRequest, err.Error()), nil
	}
	job.Queue, job.Service, job.Policy, job.Team, job.Accepted = queue.Name, queue.Service, queue.Policy, question.Team, d.config.Now().Wall
	part, known := d.jobPartition(job.Service, job.ID)
	if !known {
		return refused(question.Queue, http.StatusServiceUnavailable, responseNoPartitions.Refusal.Reason), nil
	}
	return WhereAnswer{Queue: queue.Name, Service: job.Service, Partition: part}, job
}

// place adds the placement by the owner of the shard in this process. Without one the answer gets the address of the owner, as far as
// it is known.
func (d *Daemon) place(a WhereAnswer, job *wigeonjob.Job) WhereAnswer {
	sh := d.shards[a.Partition]
	if sh == nil {
		return a
	}
	a.Owner = sh.replica.Owner.Address
	if sh.owner != nil {
		a.Owner = d.config.Shard.Address
		placement := sh.owner.Where(d.config.Now(), job)
		a.Placement = &placement
	}
	return a
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
