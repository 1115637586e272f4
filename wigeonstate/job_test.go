package wigeonstate_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

func decisionEntry(pool, action string) *wigeonwire.Entry {
	return &wigeonwire.Entry{Body: &wigeonwire.Entry_Decision{Decision: &wigeonwire.Decision{SubjectKind: "pool", Subject: pool, Action: action}}}
}

func acceptEntry(job, key, class string) *wigeonwire.Entry {
	return &wigeonwire.Entry{Body: &wigeonwire.Entry_JobAccept{JobAccept: &wigeonwire.JobAccept{
		Job: job, Key: key, Service: "orders", Team: "team-orders", Class: class, Body: []byte("body"),
	}}}
}

func startEntry(job string, attempt uint32) *wigeonwire.Entry {
	return &wigeonwire.Entry{Body: &wigeonwire.Entry_JobStart{JobStart: &wigeonwire.JobStart{Job: job, Attempt: attempt, Vm: "a11"}}}
}

func endEntry(job string, attempt uint32, outcome wigeonwire.Outcome) *wigeonwire.Entry {
	return &wigeonwire.Entry{Body: &wigeonwire.Entry_JobEnd{JobEnd: &wigeonwire.JobEnd{Job: job, Attempt: attempt, Outcome: outcome, Answer: []byte("answer")}}}
}

func cancelEntry(job string) *wigeonwire.Entry {
	return &wigeonwire.Entry{Body: &wigeonwire.Entry_JobCancel{JobCancel: &wigeonwire.JobCancel{Job: job, By: "team"}}}
}

// advance moves the fold time on; each batch moves it by 5 s at most.
func (f *fold) advance(by time.Duration) {
	f.c.Helper()
	for end := f.atMS + by.Milliseconds(); f.atMS < end; {
		f.atMS = min(f.atMS+5000, end)
		f.renew(entryA)
	}
}

// jobFold is a fold with one VM in service, the documents' long classes, and the home of every job.
func jobFold(t *testing.T) (f *fold, home, other uint64) {
	t.Helper()
	f = newFold(t)
	f.start()
	f.observe("orders", "a11")
	f.accept(operator, documentEntry("d1", "orders", 0, document("orders", "orders", 1, 0)))
	home = uint64(f.state.View().Owner("j").ID)
	return f, home, entryA + entryB - home
}

const (
	done    = wigeonwire.Outcome_OUTCOME_DONE
	notRun  = wigeonwire.Outcome_OUTCOME_NOT_RUN
	unknown = wigeonwire.Outcome_OUTCOME_UNKNOWN
)

// Guards against a job of a class that is not idempotent which runs twice, however its first attempt was lost.
func TestJobRunsOnce(t *testing.T) {
	f, home, other := jobFold(t)
	f.accept(other, acceptEntry("j", "", "once"))
	f.refuse(other, acceptEntry("j", "", "once"), "the job has no id or is known")
	f.c.Assert(f.state.PendingJobs(wigeonstep.SessionID(home)), qt.HasLen, 1)
	f.refuse(other, startEntry("j", 1), "the job's home is session .*")
	f.refuse(home, startEntry("j", 2), "attempt 2 does not follow attempt 0")
	f.accept(home, startEntry("j", 1))
	f.refuse(home, startEntry("j", 1), "attempt 1 does not follow attempt 1")
	f.refuse(home, startEntry("j", 2), "attempt 1 of the job may be running and its class is not idempotent")
	f.refuse(other, endEntry("j", 1, notRun), "the attempt is of session .*")
	f.accept(controlA, expireEntry(home, f.renewals[home]))
	f.refuse(other, startEntry("j", 2), "attempt 1 of the job may be running.*")
	f.refuse(other, endEntry("j", 1, notRun), "the attempt is of session .*")
	f.accept(other, endEntry("j", 1, unknown))
	job, _ := f.state.Job("j")
	f.c.Assert(job.GetOutcome(), qt.Equals, unknown)
	f.c.Assert(job.GetAccept().GetBody(), qt.IsNil)
	f.c.Assert(f.state.PendingJobs(wigeonstep.SessionID(other)), qt.HasLen, 0)
	f.refuse(other, startEntry("j", 2), "the job has ended")
}

func TestIdempotentJobStartsAgain(t *testing.T) {
	f, home, other := jobFold(t)
	f.accept(home, acceptEntry("j", "", "bake"))
	f.accept(home, startEntry("j", 1))
	f.accept(controlA, expireEntry(home, f.renewals[home]))
	f.accept(other, startEntry("j", 2))
	f.refuse(other, endEntry("j", 1, done), "attempt 1 of the job is not running")
	f.accept(other, endEntry("j", 2, done))
	job, _ := f.state.Job("j")
	f.c.Assert(job.GetAttempt(), qt.Equals, uint32(2))
	f.c.Assert(string(job.GetAnswer()), qt.Equals, "answer")
}

func TestJobThatDidNotRunIsPendingAgain(t *testing.T) {
	f, home, _ := jobFold(t)
	f.accept(home, acceptEntry("j", "", "once"))
	f.accept(home, startEntry("j", 1))
	f.accept(home, endEntry("j", 1, notRun))
	f.accept(controlA, f.to("a11", failed))
	f.refuse(home, startEntry("j", 2), "the VM is not in service")
	f.accept(controlA, f.to("a11", verifying))
	f.accept(controlA, f.to("a11", inService))
	f.accept(home, startEntry("j", 2))
}

// Guards against a process that comes back under a new session and cannot report the end of what it ran.
func TestJobEndAfterReopen(t *testing.T) {
	f, home, _ := jobFold(t)
	f.accept(home, acceptEntry("j", "", "once"))
	f.accept(home, startEntry("j", 1))
	f.accept(controlA, expireEntry(home, f.renewals[home]))
	address := map[uint64]string{entryA: "127.0.0.1:161", entryB: "127.0.0.1:162"}[home]
	f.accept(0xa9, openEntry(wigeonwire.Role_ROLE_ENTRY, "a", address))
	f.accept(0xa9, endEntry("j", 1, done))
}

func TestJobCancel(t *testing.T) {
	f, home, _ := jobFold(t)
	f.accept(home, acceptEntry("j", "", "bake"))
	f.accept(home, startEntry("j", 1))
	f.accept(operator, cancelEntry("j"))
	f.refuse(home, startEntry("j", 2), "the job is cancelled")
	f.accept(home, endEntry("j", 1, notRun))
	job, _ := f.state.Job("j")
	f.c.Assert(job.GetState(), qt.Equals, wigeonwire.JobState_JOB_STATE_CANCELLED)
	f.refuse(operator, cancelEntry("j"), "the job has ended")
	f.accept(home, acceptEntry("j2", "", "bake"))
	f.accept(operator, cancelEntry("j2"))
	job, _ = f.state.Job("j2")
	f.c.Assert(job.GetOutcome(), qt.Equals, notRun)
}

// Guards against a repeated request that becomes a second job.
func TestJobKeyIsClaimedOnce(t *testing.T) {
	f, home, other := jobFold(t)
	f.refuse(other, acceptEntry("j1", "j", "bake"), "partition .* of the key is owned by .*")
	f.accept(home, acceptEntry("j1", "j", "bake"))
	f.refuse(home, acceptEntry("j2", "j", "bake"), "the key has an intent of .*")
	f.refuse(home, intentEntry("j"), "the key has an intent of .*")
	key, _ := f.state.Key("j")
	f.c.Assert(key.GetOutcome(), qt.Equals, wigeonwire.Outcome_OUTCOME_ACCEPTED)
}
