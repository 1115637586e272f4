package wigeonentry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeoncaller"
	"github.com/wigeonstep/wigeonstep/wigeononce"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	stepAcceptJob = "accept job"
	stepCancelJob = "cancel job"
	peerLog       = "platform log"
	// maxJobBodyBytes limits the body of a job, because it is part of a log record, and of every snapshot until the job
	// ends.
	maxJobBodyBytes = 64 << 10
	// recordTimeout limits the wait for the log to confirm a record about a job or the close of the session.
	recordTimeout = 5 * time.Second
)

// jobIDForKey derives the id of a job from its idempotency key, so that a repeated request finds the job of the first one.
func jobIDForKey(key wigeonstep.IdempotencyKey) wigeonstep.JobID {
	return wigeonstep.JobID(fmt.Sprintf("job-%016x%016x", xxhash.Sum64String(string(key)), xxhash.Sum64String("job of "+string(key))))
}

// acceptedJob is the response body for a job that has been recorded durably.
type acceptedJob struct {
	Job  wigeonstep.JobID `json:"job"`
	Path string           `json:"path"`
}

func acceptedResponse(job wigeonstep.JobID) wigeonstep.Response {
	return wigeoncaller.JSON(http.StatusAccepted, wigeonstep.OutcomeAccepted, acceptedJob{Job: job, Path: "/wigeonstep/jobs/" + string(job)})
}

// recordedJobResponse returns the response to a repeated request whose key is recorded as that of an accepted job, nil for
// other keys.
func recordedJobResponse(key *wigeonwire.Key) *wigeonstep.Response {
	if key.GetOutcome() != wigeonwire.Outcome_OUTCOME_ACCEPTED {
		return nil
	}
	r := acceptedResponse(jobIDForKey(wigeonstep.IdempotencyKey(key.GetKey())))
	return &r
}

// checkJob returns a refusal for a job that can never run, because its body is too large or no VM has the required shape.
func (p *Process) checkJob(route *wigeonstate.Route, request *wigeonstep.Request) *wigeonstep.Response {
	if len(request.Body) > maxJobBodyBytes {
		r := wigeoncaller.BadInput(http.StatusRequestEntityTooLarge, fmt.Sprintf("the body of a job is at most %d bytes", maxJobBodyBytes))
		return &r
	}
	want := route.Service.Document.Capacity.Shape()
	for _, vm := range p.config.Follower.View().VMs {
		if vm.Shape.Slots > 0 && vm.Shape.Fits(want) {
			return nil
		}
	}
	r := wigeonstep.NotRunResponse(http.StatusServiceUnavailable,
		fmt.Sprintf("no worker of the fleet has the %d cores, %d GB and %d accelerators that the service asks for", want.Cores, want.MemoryGB, want.Accelerators),
		stepAcceptJob, "service "+string(route.Service.Document.Service), time.Minute)
	return &r
}

func jobEntry(job wigeonstep.JobID, route *wigeonstate.Route, request *wigeonstep.Request, key wigeonstep.IdempotencyKey, hash uint64) *wigeonwire.Entry {
	return &wigeonwire.Entry{Body: &wigeonwire.Entry_JobAccept{JobAccept: &wigeonwire.JobAccept{
		Job: string(job), Key: string(key), Service: string(route.Service.Document.Service),
		Team: string(request.Team), Class: string(request.Class),
		Method: request.Method, Path: request.Path, ContentType: request.ContentType, Body: request.Body, RequestHash: hash,
	}}}
}

// acceptJob records a job for a request without a key.
func (p *Process) acceptJob(ctx context.Context, route *wigeonstate.Route, request *wigeonstep.Request) wigeonstep.Response {
	if refusal := p.checkJob(route, request); refusal != nil {
		return *refusal
	}
	job := wigeonstep.JobID("job-" + string(request.ID) + "-" + p.config.Follower.Session().String())
	return p.recordJob(ctx, jobEntry(job, route, request, "", wigeononce.HashRequest(request)), job)
}

func (p *Process) recordJob(ctx context.Context, entry *wigeonwire.Entry, job wigeonstep.JobID) wigeonstep.Response {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	_, err := p.config.Follower.Propose(ctx, entry)
	switch {
	case err == nil:
		p.jobs.wakePoll()
		return acceptedResponse(job)
	case errors.Is(err, wigeonstep.ErrUnavailable) || errors.Is(err, wigeonstep.ErrRejected):
		return wigeonstep.NotRunResponse(http.StatusServiceUnavailable, "the job was not recorded: "+err.Error(), stepAcceptJob, peerLog, time.Second)
	default:
		return wigeonstep.UnknownResponse(true, "the log did not confirm the record of the job", stepAcceptJob, peerLog)
	}
}

// jobSlot implements wigeononce.Slot for a job with a key, so that the job is recorded at most once. It holds no slot of a
// pool.
type jobSlot struct {
	process *Process
	route   *wigeonstate.Route
	request *wigeonstep.Request
	// recorded is set once Intent has returned the job record, which also serves as the intent record of the key.
	recorded bool
}

// Intent returns the job record, which also records the key.
func (s *jobSlot) Intent(hash uint64) *wigeonwire.Entry {
	s.recorded = true
	return jobEntry(jobIDForKey(s.request.Key), s.route, s.request, s.request.Key, hash)
}

// Dispatch wakes the job runner for a job that is recorded already and records the job otherwise.
func (s *jobSlot) Dispatch(ctx context.Context, _ time.Time) wigeonstep.Response {
	job := jobIDForKey(s.request.Key)
	if s.recorded {
		s.process.jobs.wakePoll()
		return acceptedResponse(job)
	}
	// An issued key needs no intent, so its job is recorded without the key.
	return s.process.recordJob(ctx, jobEntry(job, s.route, s.request, "", wigeononce.HashRequest(s.request)), job)
}

// Release does nothing, since no slot of a pool is held.
func (s *jobSlot) Release() {}

// jobStatus is the response body for a job.
type jobStatus struct {
	Job     wigeonstep.JobID     `json:"job"`
	Team    wigeonstep.TeamName  `json:"team"`
	Class   wigeonstep.ClassName `json:"class"`
	State   string               `json:"state"`
	Outcome wigeonstep.Outcome   `json:"outcome"`
	// Ran is no, yes or maybe.
	Ran     string `json:"ran"`
	Attempt uint32 `json:"attempt"`
	VM      string `json:"vm,omitempty"`
	Status  uint32 `json:"status,omitempty"`
	Reason  string `json:"reason,omitempty"`
	Answer  string `json:"answer,omitempty"`
	// AnswerBytes is set instead of Answer when the answer is not valid UTF-8; JSON carries it as base64.
	AnswerBytes     []byte    `json:"answer_bytes,omitempty"`
	CancelRequested bool      `json:"cancel_requested,omitempty"`
	AcceptedAt      time.Time `json:"accepted_at"`
	EndedAt         time.Time `json:"ended_at,omitzero"`
}

// lookupJob returns the status of a job from the folded state; ok is false for an unknown job.
func (p *Process) lookupJob(id wigeonstep.JobID) (status jobStatus, ok bool) {
	p.config.Follower.Read(func(state *wigeonstate.State) {
		job, found := state.Job(id)
		if !found {
			return
		}
		ok = true
		status = jobStatus{
			Job: id, Team: wigeonstep.TeamName(job.GetAccept().GetTeam()), Class: wigeonstep.ClassName(job.GetAccept().GetClass()),
			Attempt: job.GetAttempt(), VM: job.GetVm(), Status: job.GetStatus(), Reason: job.GetReason(),
			CancelRequested: job.GetCancelRequested(), AcceptedAt: time.UnixMilli(job.GetAcceptedUnixMs()).UTC(),
		}
		if answer := job.GetAnswer(); utf8.Valid(answer) {
			status.Answer = string(answer)
		} else {
			status.AnswerBytes = slices.Clone(answer)
		}
		if at := job.GetEndedUnixMs(); at != 0 {
			status.EndedAt = time.UnixMilli(at).UTC()
		}
		status.setState(job)
	})
	return status, ok
}

// setState sets State, Outcome and Ran from the recorded state of the job.
func (s *jobStatus) setState(job *wigeonwire.Job) {
	switch job.GetState() {
	case wigeonwire.JobState_JOB_STATE_RUNNING:
		s.State, s.Outcome, s.Ran = "running", wigeonstep.OutcomeAccepted, "maybe"
	case wigeonwire.JobState_JOB_STATE_CANCELLED:
		s.State, s.Outcome, s.Ran = "cancelled", wigeonstep.OutcomeNotRun, "no"
	case wigeonwire.JobState_JOB_STATE_ENDED:
		s.State, s.Outcome, s.Ran = "ended", wigeonstep.OutcomeUnknown, "maybe"
		if job.GetOutcome() == wigeonwire.Outcome_OUTCOME_DONE {
			s.Outcome, s.Ran = wigeonstep.OutcomeDone, "yes"
		}
	default:
		s.State, s.Outcome, s.Ran = "pending", wigeonstep.OutcomeAccepted, "no"
	}
}

func unknownJobResponse() wigeonstep.Response {
	return wigeoncaller.BadInput(http.StatusNotFound, "the job is not known; an ended job is kept for 24 h")
}

// JobStatus returns the status of a job, also of one that another process accepted or runs.
func (p *Process) JobStatus(_ context.Context, id wigeonstep.JobID) wigeonstep.Response {
	status, ok := p.lookupJob(id)
	if !ok {
		return unknownJobResponse()
	}
	return wigeoncaller.JSON(http.StatusOK, wigeonstep.OutcomeDone, status)
}

// CancelJob records the cancellation of a job. The response is the status of the job after the log has accepted or
// rejected the cancellation, and so tells whether the job ran.
func (p *Process) CancelJob(ctx context.Context, id wigeonstep.JobID, by string) wigeonstep.Response {
	if _, ok := p.lookupJob(id); !ok {
		return unknownJobResponse()
	}
	if by == "" {
		by = "a caller"
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	_, err := p.config.Follower.Propose(ctx, &wigeonwire.Entry{Body: &wigeonwire.Entry_JobCancel{JobCancel: &wigeonwire.JobCancel{Job: string(id), By: by}}})
	switch {
	case errors.Is(err, wigeonstep.ErrUnavailable):
		return wigeonstep.NotRunResponse(http.StatusServiceUnavailable, "the cancellation was not recorded, so the job goes on", stepCancelJob, peerLog, time.Second)
	case err != nil && !errors.Is(err, wigeonstep.ErrRejected):
		return wigeonstep.UnknownResponse(true, "the log did not confirm the cancellation", stepCancelJob, peerLog)
	}
	p.jobs.wakePoll()
	return p.JobStatus(ctx, id)
}
