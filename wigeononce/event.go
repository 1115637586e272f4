package wigeononce

import (
	"time"

	"github.com/wigeonstep/wigeonstep"
)

type (
	// WaiterID identifies one request that waits for an answer.
	WaiterID uint64
	// RunID identifies one attempt of this process to run a key. Events of an earlier attempt for the same key are
	// ignored.
	RunID uint64
)

// RecordedIntent is an accepted intent for a key in the folded state.
type RecordedIntent struct {
	// Session is the session that proposed the intent.
	Session wigeonstep.SessionID
	// Hash is the request hash of the intent.
	Hash uint64
	// Answer is the final answer if the folded state itself holds it, as for an accepted job; otherwise nil.
	Answer *wigeonstep.Response
}

// Ownership is a snapshot of the owner of a key, its recorded intent, and this process's right to run it. It is read
// immediately before the event that carries it.
type Ownership struct {
	// PriorIntent is the intent in the folded state, nil when there is none.
	PriorIntent *RecordedIntent
	// Owner is the session that owns the key's partition or issued the key; zero when there is none.
	Owner wigeonstep.SessionID
	// LeaseValid is set while the session of this process holds a valid lease.
	LeaseValid bool
	// Leaving is set before the renewal that marks the session as closing is appended to the log. Another session may own
	// the key as soon as that renewal is on the log, so this process must not answer not_run any more.
	Leaving bool
	// HandoverDone is set when no other session can still regard itself as the owner of the key, see Handover.
	HandoverDone bool
	// LogStale is set when the log has been unreachable for so long that appending an intent would fail.
	LogStale bool
}

// mayAnswerNotRun reports whether a refusal by this process, as the owner of the key, may be answered with not_run.
func (o *Ownership) mayAnswerNotRun() bool { return o.LeaseValid && !o.Leaving }

// Event is an input of Core.
type Event interface{ event() }

type (
	// Arrive delivers a request with a key, for the first time or again after a Retry.
	Arrive struct {
		Waiter   WaiterID
		Request  *wigeonstep.Request
		Hash     uint64
		Deadline time.Time
		// Forwarded is set when another entry process sent the request; it is not forwarded again.
		Forwarded bool
		Ownership Ownership
	}
	// Admitted reports that the run holds a slot.
	Admitted struct {
		Key       wigeonstep.IdempotencyKey
		Run       RunID
		Ownership Ownership
	}
	// Refused reports that the run was refused a slot.
	Refused struct {
		Key       wigeonstep.IdempotencyKey
		Run       RunID
		Response  wigeonstep.Response
		Ownership Ownership
	}
	// IntentResolved reports the verdict on the proposed intent.
	IntentResolved struct {
		Key       wigeonstep.IdempotencyKey
		Run       RunID
		Verdict   IntentVerdict
		Ownership Ownership
	}
	// Finished reports the final answer of a dispatched run.
	Finished struct {
		Key      wigeonstep.IdempotencyKey
		Run      RunID
		Response wigeonstep.Response
	}
	// ForwardEnded reports the result of Forward.
	ForwardEnded struct {
		Waiter WaiterID
		// Answered is false when the peer was unreachable, its answer was lost, or it may not run the key.
		Answered bool
		Response wigeonstep.Response
	}
	// QueryEnded reports the result of Query.
	QueryEnded struct {
		Waiter WaiterID
		// Found is set when the earlier session has an answer.
		Found bool
		// Running is set when the earlier session still runs the request.
		Running  bool
		Response wigeonstep.Response
	}
	// TimedOut reports that the waiter's deadline has passed or its caller has disconnected.
	TimedOut struct {
		Waiter    WaiterID
		Ownership Ownership
	}
	// SessionOpened reports a new session of this process, zero when none is open. The process still answers for its
	// earlier sessions.
	SessionOpened struct{ Session wigeonstep.SessionID }
)

// IntentVerdict is the result of proposing an intent.
type IntentVerdict int

const (
	// IntentAccepted means that the fold accepted the intent.
	IntentAccepted IntentVerdict = iota + 1
	// IntentRejected means that the fold rejected the intent.
	IntentRejected
	// IntentNotAppended means that the intent is not on the log and never will be.
	IntentNotAppended
	// IntentUnconfirmed means that no verdict arrived in time; the intent may be on the log or still be appended.
	IntentUnconfirmed
)

func (Arrive) event()         {}
func (Admitted) event()       {}
func (Refused) event()        {}
func (IntentResolved) event() {}
func (Finished) event()       {}
func (ForwardEnded) event()   {}
func (QueryEnded) event()     {}
func (TimedOut) event()       {}
func (SessionOpened) event()  {}

// Action is an output of Core, which Table executes.
type Action interface{ action() }

type (
	// Answer sends the waiter its final response.
	Answer struct {
		Waiter   WaiterID
		Response wigeonstep.Response
	}
	// NotOwner tells the process that forwarded the request that this process may not run the key.
	NotOwner struct{ Waiter WaiterID }
	// Admit requests a slot; Admitted or Refused follows.
	Admit struct {
		Key     wigeonstep.IdempotencyKey
		Run     RunID
		Request *wigeonstep.Request
	}
	// CancelAdmit cancels the wait of a run for a slot. Refused follows, or Admitted when the slot was granted first.
	CancelAdmit struct {
		Key wigeonstep.IdempotencyKey
		Run RunID
	}
	// Propose appends the intent; IntentResolved follows.
	Propose struct {
		Key     wigeonstep.IdempotencyKey
		Run     RunID
		Request *wigeonstep.Request
		Hash    uint64
	}
	// RecordNotRun appends the outcome not_run for a key whose intent is recorded, so that a later request may run it. No event
	// follows.
	RecordNotRun struct{ Key wigeonstep.IdempotencyKey }
	// Dispatch sends the request to a backend server; Finished follows.
	Dispatch struct {
		Key      wigeonstep.IdempotencyKey
		Run      RunID
		Request  *wigeonstep.Request
		Deadline time.Time
	}
	// Release releases the slot of a run that is not dispatched. No event follows.
	Release struct {
		Key wigeonstep.IdempotencyKey
		Run RunID
	}
	// Forward sends the waiter's request to the session; ForwardEnded follows.
	Forward struct {
		Waiter  WaiterID
		Session wigeonstep.SessionID
	}
	// Query requests the key's answer from the session that recorded its intent; QueryEnded follows.
	Query struct {
		Waiter  WaiterID
		Key     wigeonstep.IdempotencyKey
		Hash    uint64
		Session wigeonstep.SessionID
	}
	// Retry schedules another Arrive of the waiter after a delay. While FailedSession still owns the key, a repetition
	// also needs a share of the process's budget of forward retries.
	Retry struct {
		Waiter WaiterID
		// FailedSession is the session that gave no answer to a forward or query, zero when none.
		FailedSession wigeonstep.SessionID
	}
)

func (Answer) action()       {}
func (NotOwner) action()     {}
func (Admit) action()        {}
func (CancelAdmit) action()  {}
func (Propose) action()      {}
func (Dispatch) action()     {}
func (RecordNotRun) action() {}
func (Release) action()      {}
func (Forward) action()      {}
func (Query) action()        {}
func (Retry) action()        {}
