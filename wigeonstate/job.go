package wigeonstate

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	jobPending   = wigeonwire.JobState_JOB_STATE_PENDING
	jobRunning   = wigeonwire.JobState_JOB_STATE_RUNNING
	jobEnded     = wigeonwire.JobState_JOB_STATE_ENDED
	jobCancelled = wigeonwire.JobState_JOB_STATE_CANCELLED

	// maxAnswerBytes bounds the size of the stored answer of a job.
	maxAnswerBytes = 64 << 10
)

// partitionKey returns the key whose partition a job belongs to: its idempotency key, or its id when it has none. Only the
// session that owns the partition starts the job. Reasons of refusals call that session the job's home.
func partitionKey(accept *wigeonwire.JobAccept) string {
	return cmp.Or(accept.GetKey(), accept.GetJob())
}

// acceptJob adds a pending job. If the job has an idempotency key, the key is claimed with the outcome accepted, so that a
// repeated request finds the job instead of creating a second one.
func (s *State) acceptJob(accept *wigeonwire.JobAccept, r recordContext) string {
	id := wigeonstep.JobID(accept.GetJob())
	if id == "" || s.jobs[id] != nil {
		return "the job has no id or is known"
	}
	if r.session.view.Role != roleEntry {
		return "only an entry session may accept a job"
	}
	if accept.GetKey() != "" {
		claim := keyEntry{requestHash: accept.GetRequestHash()}
		claim.setOutcome(wigeonwire.Outcome_OUTCOME_ACCEPTED)
		names := keyNames{team: accept.GetTeam(), class: accept.GetClass(), service: accept.GetService()}
		if reason := s.claimKey(accept.GetKey(), claim, names, r); reason != "" {
			return reason
		}
	}
	s.jobs[id] = &wigeonwire.Job{
		Accept:         accept,
		State:          jobPending,
		AcceptedUnixMs: s.foldTimeMS,
		AcceptedOffset: uint64(r.offset),
	}
	return ""
}

// startJob records the start of an attempt, which only the owner of the job's partition may propose. While an earlier
// attempt may still be running, a new one starts only if the job's class is idempotent.
func (s *State) startJob(start *wigeonwire.JobStart, r recordContext) string {
	job := s.jobs[wigeonstep.JobID(start.GetJob())]
	if job == nil {
		return "the job is not known"
	}
	if owner := s.owner(partitionKey(job.GetAccept())); owner != r.session.view.ID {
		return fmt.Sprintf("the job's home is session %s", owner)
	}
	if start.GetAttempt() != job.GetAttempt()+1 {
		return fmt.Sprintf("attempt %d does not follow attempt %d", start.GetAttempt(), job.GetAttempt())
	}
	switch {
	case job.GetState() == jobRunning && !s.idempotent(job.GetAccept()):
		return fmt.Sprintf("attempt %d of the job may be running and its class is not idempotent", job.GetAttempt())
	case job.GetState() == jobRunning && job.GetCancelRequested():
		return "the job is cancelled"
	case job.GetState() != jobPending && job.GetState() != jobRunning:
		return "the job has ended"
	}
	if vm := s.vms[wigeonstep.VMID(start.GetVm())]; vm == nil || !vm.InService() {
		return "the VM is not in service"
	}
	job.State, job.Attempt, job.Vm, job.Runner = jobRunning, start.GetAttempt(), start.GetVm(), uint64(r.session.view.ID)
	return ""
}

// idempotent reports whether the class of the job is idempotent according to the document in force. It is false for an
// unknown service or class.
func (s *State) idempotent(accept *wigeonwire.JobAccept) bool {
	current := s.services[wigeonstep.ServiceName(accept.GetService())]
	if current == nil {
		return false
	}
	class, ok := current.view.Document.Class(wigeonstep.ClassName(accept.GetClass()))
	return ok && class.Idempotent
}

// endJob records the outcome of the latest attempt and ends the job. After not_run the job becomes pending again, or
// cancelled if its cancellation was requested.
func (s *State) endJob(end *wigeonwire.JobEnd, r recordContext) string {
	job := s.jobs[wigeonstep.JobID(end.GetJob())]
	if job == nil {
		return "the job is not known"
	}
	if job.GetState() != jobRunning || end.GetAttempt() != job.GetAttempt() {
		return fmt.Sprintf("attempt %d of the job is not running", end.GetAttempt())
	}
	if len(end.GetAnswer()) > maxAnswerBytes {
		return fmt.Sprintf("the answer has %d bytes; at most %d are kept", len(end.GetAnswer()), maxAnswerBytes)
	}
	if reason := s.checkJobEndReporter(job, end, r); reason != "" {
		return reason
	}
	job.Status, job.Reason = end.GetStatus(), end.GetReason()
	if end.GetOutcome() == wigeonwire.Outcome_OUTCOME_NOT_RUN {
		if job.GetCancelRequested() {
			s.finishJob(job, jobCancelled, wigeonwire.Outcome_OUTCOME_NOT_RUN)
			return ""
		}
		job.State, job.Vm, job.Runner = jobPending, "", 0
		return ""
	}
	job.Answer = end.GetAnswer()
	s.finishJob(job, jobEnded, end.GetOutcome())
	return ""
}

// checkJobEndReporter returns the reason why the session may not report this outcome, or "". The process that ran the
// attempt may report any outcome. The owner of the job's partition may report only unknown, and only when the session
// that ran the attempt is not open any more.
func (s *State) checkJobEndReporter(job *wigeonwire.Job, end *wigeonwire.JobEnd, r recordContext) string {
	switch end.GetOutcome() {
	case wigeonwire.Outcome_OUTCOME_DONE, wigeonwire.Outcome_OUTCOME_NOT_RUN, wigeonwire.Outcome_OUTCOME_UNKNOWN:
	default:
		return "the outcome does not end a job"
	}
	runner := s.sessions[wigeonstep.SessionID(job.GetRunner())]
	if job.GetRunner() == uint64(r.session.view.ID) || runner.sameProcess(r.session) {
		return ""
	}
	if s.owner(partitionKey(job.GetAccept())) == r.session.view.ID && !runner.open() && end.GetOutcome() == wigeonwire.Outcome_OUTCOME_UNKNOWN {
		return ""
	}
	return fmt.Sprintf("the attempt is of session %s", wigeonstep.SessionID(job.GetRunner()))
}

// cancelJob cancels a pending job immediately. For a running job it only records the request; the job ends when the outcome
// of its attempt is recorded.
func (s *State) cancelJob(cancel *wigeonwire.JobCancel, _ recordContext) string {
	job := s.jobs[wigeonstep.JobID(cancel.GetJob())]
	if job == nil {
		return "the job is not known"
	}
	switch job.GetState() {
	case jobPending:
		job.Reason = "cancelled by " + cancel.GetBy()
		s.finishJob(job, jobCancelled, wigeonwire.Outcome_OUTCOME_NOT_RUN)
		return ""
	case jobRunning:
		job.CancelRequested = true
		return ""
	default:
		return "the job has ended"
	}
}

// finishJob ends a job. It releases the request body, which is not sent again.
func (s *State) finishJob(job *wigeonwire.Job, state wigeonwire.JobState, outcome wigeonwire.Outcome) {
	job.State, job.Outcome, job.EndedUnixMs = state, outcome, s.foldTimeMS
	job.Accept.Body = nil
}

// Job returns the state of a job, and false when the job is not known. The message belongs to the State: the caller
// must not modify it, and later records change it.
func (s *State) Job(job wigeonstep.JobID) (*wigeonwire.Job, bool) {
	known, ok := s.jobs[job]
	return known, ok
}

// UnfinishedJobs returns the jobs that have not ended and whose partition the session owns, in the order in which they were
// accepted.
func (s *State) UnfinishedJobs(session wigeonstep.SessionID) []*wigeonwire.Job {
	var unfinished []*wigeonwire.Job
	for _, job := range s.jobs {
		if job.GetEndedUnixMs() == 0 && s.owner(partitionKey(job.GetAccept())) == session {
			unfinished = append(unfinished, job)
		}
	}
	slices.SortFunc(unfinished, func(a, b *wigeonwire.Job) int {
		return cmp.Or(cmp.Compare(a.GetAcceptedOffset(), b.GetAcceptedOffset()), cmp.Compare(a.GetAccept().GetJob(), b.GetAccept().GetJob()))
	})
	return unfinished
}
