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

// advanceTime advances the fold time with renewals at intervals of 5 s, the largest step that one batch can cause.
func (f *fixture) advanceTime(by time.Duration) {
	f.c.Helper()
	for end := f.nowMS + by.Milliseconds(); f.nowMS < end; {
		f.nowMS = min(f.nowMS+5000, end)
		f.renew(entryA)
	}
}

// newJobFixture returns a fixture with one VM in service and a document with long classes, the entry session that owns the
// partition of the job "j", and the other entry session.
func newJobFixture(t *testing.T) (f *fixture, owner, other uint64) {
	t.Helper()
	f = newFixture(t)
	f.openSessions()
	f.observe("orders", "a11")
	f.accept(operator, documentEntry("d1", "orders", 0, document("orders", "orders", 1, 0)))
	owner = uint64(f.state.View().Owner("j").ID)
	return f, owner, entryA + entryB - owner
}

const (
	done    = wigeonwire.Outcome_OUTCOME_DONE
	notRun  = wigeonwire.Outcome_OUTCOME_NOT_RUN
	unknown = wigeonwire.Outcome_OUTCOME_UNKNOWN
)

// Guards against a second run of a job whose class is not idempotent, when the process of the first attempt is lost or
// another process reports its end.
func TestJobRunsOnce(t *testing.T) {
	f, owner, other := newJobFixture(t)
	f.accept(other, acceptEntry("j", "", "once"))
	f.refuse(other, acceptEntry("j", "", "once"), "the job has no id or is known")
	f.c.Assert(f.state.UnfinishedJobs(wigeonstep.SessionID(owner)), qt.HasLen, 1)
	f.refuse(other, startEntry("j", 1), "the job's home is session .*")
	f.refuse(owner, startEntry("j", 2), "attempt 2 does not follow attempt 0")
	f.accept(owner, startEntry("j", 1))
	f.refuse(owner, startEntry("j", 1), "attempt 1 does not follow attempt 1")
	f.refuse(owner, startEntry("j", 2), "attempt 1 of the job may be running and its class is not idempotent")
	f.refuse(other, endEntry("j", 1, notRun), "the attempt is of session .*")
	f.accept(controlA, expireEntry(owner, f.renewals[owner]))
	f.refuse(other, startEntry("j", 2), "attempt 1 of the job may be running.*")
	f.refuse(other, endEntry("j", 1, notRun), "the attempt is of session .*")
	f.accept(other, endEntry("j", 1, unknown))
	job, _ := f.state.Job("j")
	f.c.Assert(job.GetOutcome(), qt.Equals, unknown)
	f.c.Assert(job.GetAccept().GetBody(), qt.IsNil)
	f.c.Assert(f.state.UnfinishedJobs(wigeonstep.SessionID(other)), qt.HasLen, 0)
	f.refuse(other, startEntry("j", 2), "the job has ended")
}

// Guards against an idempotent job that is lost with the process of its first attempt, or ended by a report of that
// attempt.
func TestIdempotentJobStartsAgain(t *testing.T) {
	f, owner, other := newJobFixture(t)
	f.accept(owner, acceptEntry("j", "", "bake"))
	f.accept(owner, startEntry("j", 1))
	f.accept(controlA, expireEntry(owner, f.renewals[owner]))
	f.accept(other, startEntry("j", 2))
	f.refuse(other, endEntry("j", 1, done), "attempt 1 of the job is not running")
	f.accept(other, endEntry("j", 2, done))
	job, _ := f.state.Job("j")
	f.c.Assert(job.GetAttempt(), qt.Equals, uint32(2))
	f.c.Assert(string(job.GetAnswer()), qt.Equals, "answer")
}

// Guards against a job that cannot start again although its first attempt did not run.
func TestJobThatDidNotRunIsPendingAgain(t *testing.T) {
	f, owner, _ := newJobFixture(t)
	f.accept(owner, acceptEntry("j", "", "once"))
	f.accept(owner, startEntry("j", 1))
	f.accept(owner, endEntry("j", 1, notRun))
	f.accept(controlA, f.transitionTo("a11", failed))
	f.refuse(owner, startEntry("j", 2), "the VM is not in service")
	f.accept(controlA, f.transitionTo("a11", verifying))
	f.accept(controlA, f.transitionTo("a11", inService))
	f.accept(owner, startEntry("j", 2))
}

// Guards against a process that has opened a new session and cannot report the outcome of an attempt from its earlier one.
func TestJobEndAfterReopen(t *testing.T) {
	f, owner, _ := newJobFixture(t)
	f.accept(owner, acceptEntry("j", "", "once"))
	f.accept(owner, startEntry("j", 1))
	f.accept(controlA, expireEntry(owner, f.renewals[owner]))
	address := map[uint64]string{entryA: "127.0.0.1:161", entryB: "127.0.0.1:162"}[owner]
	f.accept(0xa9, openEntry(wigeonwire.Role_ROLE_ENTRY, "a", address))
	f.accept(0xa9, endEntry("j", 1, done))
}

// Guards against a cancelled job that starts again, and against a pending job that cannot be cancelled.
func TestJobCancel(t *testing.T) {
	f, owner, _ := newJobFixture(t)
	f.accept(owner, acceptEntry("j", "", "bake"))
	f.accept(owner, startEntry("j", 1))
	f.accept(operator, cancelEntry("j"))
	f.refuse(owner, startEntry("j", 2), "the job is cancelled")
	f.accept(owner, endEntry("j", 1, notRun))
	job, _ := f.state.Job("j")
	f.c.Assert(job.GetState(), qt.Equals, wigeonwire.JobState_JOB_STATE_CANCELLED)
	f.refuse(operator, cancelEntry("j"), "the job has ended")
	f.accept(owner, acceptEntry("j2", "", "bake"))
	f.accept(operator, cancelEntry("j2"))
	job, _ = f.state.Job("j2")
	f.c.Assert(job.GetOutcome(), qt.Equals, notRun)
}

// Guards against a repeated request with the same idempotency key that creates a second job.
func TestJobKeyIsClaimedOnce(t *testing.T) {
	f, owner, other := newJobFixture(t)
	f.refuse(other, acceptEntry("j1", "j", "bake"), "partition .* of the key is owned by .*")
	f.accept(owner, acceptEntry("j1", "j", "bake"))
	f.refuse(owner, acceptEntry("j2", "j", "bake"), "the key has an intent of .*")
	f.refuse(owner, intentEntry("j"), "the key has an intent of .*")
	key, _ := f.state.Key("j")
	f.c.Assert(key.GetOutcome(), qt.Equals, wigeonwire.Outcome_OUTCOME_ACCEPTED)
}
