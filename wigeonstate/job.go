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

	// maxAnswerBytes bounds the answer that is kept of a job.
	maxAnswerBytes = 64 << 10
)

// partitionText returns the text whose partition decides the home of a job: its idempotency key, or its id when it has none.
func partitionText(accept *wigeonwire.JobAccept) string {
	return cmp.Or(accept.GetKey(), accept.GetJob())
}

func (s *State) acceptJob(accept *wigeonwire.JobAccept, r record) string {
	id := wigeonstep.JobID(accept.GetJob())
	if id == "" || s.jobs[id] != nil {
		return "the job has no id or is known"
	}
	if r.session.view.Role != roleEntry {
		return "only an entry session may accept a job"
	}
	if accept.GetKey() != "" {
		claim := keyEntry{request: accept.GetRequestHash()}
		claim.setOutcome(wigeonwire.Outcome_OUTCOME_ACCEPTED)
		names := keyNames{team: accept.GetTeam(), class: accept.GetClass(), service: accept.GetService()}
		if reason := s.claimKey(accept.GetKey(), claim, names, r); reason != "" {
			return reason
		}
	}
	s.jobs[id] = &wigeonwire.Job{
		Accept:         accept,
		State:          jobPending,
		AcceptedUnixMs: s.timeMS,
		AcceptedOffset: uint64(r.offset),
	}
	return ""
}

// startJob accepts an attempt from the job's home. A job that may be running starts again only when its class is idempotent.
func (s *State) startJob(start *wigeonwire.JobStart, r record) string {
	job := s.jobs[wigeonstep.JobID(start.GetJob())]
	if job == nil {
		return "the job is not known"
	}
	if owner := s.owner(partitionText(job.GetAccept())); owner != r.session.view.ID {
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

func (s *State) idempotent(accept *wigeonwire.JobAccept) bool {
	current := s.services[wigeonstep.ServiceName(accept.GetService())]
	if current == nil {
		return false
	}
	class, ok := current.view.Document.Class(wigeonstep.ClassName(accept.GetClass()))
	return ok && class.Idempotent
}

// endJob records the end of the newest attempt. After not_run the job is pending again.
func (s *State) endJob(end *wigeonwire.JobEnd, r record) string {
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
	if reason := s.checkJobEnd(job, end, r); reason != "" {
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

// checkJobEnd lets the process that ran the attempt report any outcome. The home of the job, which cannot know, reports only unknown.
func (s *State) checkJobEnd(job *wigeonwire.Job, end *wigeonwire.JobEnd, r record) string {
	switch end.GetOutcome() {
	case wigeonwire.Outcome_OUTCOME_DONE, wigeonwire.Outcome_OUTCOME_NOT_RUN, wigeonwire.Outcome_OUTCOME_UNKNOWN:
	default:
		return "the outcome does not end a job"
	}
	runner := s.sessions[wigeonstep.SessionID(job.GetRunner())]
	if job.GetRunner() == uint64(r.session.view.ID) || runner.sameProcess(r.session) {
		return ""
	}
	if s.owner(partitionText(job.GetAccept())) == r.session.view.ID && !runner.open() && end.GetOutcome() == wigeonwire.Outcome_OUTCOME_UNKNOWN {
		return ""
	}
	return fmt.Sprintf("the attempt is of session %s", wigeonstep.SessionID(job.GetRunner()))
}

// cancelJob ends a pending job at once. An attempt that may be running is asked to stop and ends by its own record.
func (s *State) cancelJob(cancel *wigeonwire.JobCancel, _ record) string {
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

// finishJob ends a job. Its body is dropped, since it will not be sent again.
func (s *State) finishJob(job *wigeonwire.Job, state wigeonwire.JobState, outcome wigeonwire.Outcome) {
	job.State, job.Outcome, job.EndedUnixMs = state, outcome, s.timeMS
	job.Accept.Body = nil
}

// Job returns what the fold knows of a job.
func (s *State) Job(job wigeonstep.JobID) (*wigeonwire.Job, bool) {
	known, ok := s.jobs[job]
	return known, ok
}

// PendingJobs returns the jobs that are not ended and whose home is the session, in the order of their acceptance.
func (s *State) PendingJobs(home wigeonstep.SessionID) []*wigeonwire.Job {
	var pending []*wigeonwire.Job
	for _, job := range s.jobs {
		if job.GetEndedUnixMs() == 0 && s.owner(partitionText(job.GetAccept())) == home {
			pending = append(pending, job)
		}
	}
	slices.SortFunc(pending, func(a, b *wigeonwire.Job) int {
		return cmp.Or(cmp.Compare(a.GetAcceptedOffset(), b.GetAcceptedOffset()), cmp.Compare(a.GetAccept().GetJob(), b.GetAccept().GetJob()))
	})
	return pending
}
