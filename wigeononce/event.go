package wigeononce

import (
	"time"

	"github.com/wigeonstep/wigeonstep"
)

type (
	// WaiterID names one caller's request that waits for an answer.
	WaiterID uint64
	// RunID names one try of this process to run a key. Events of an earlier try of the same key are ignored.
	RunID uint64
)

// FoldKey is what the fold knows of a key.
type FoldKey struct {
	// Session is the session whose intent the fold accepted.
	Session wigeonstep.SessionID
	Hash    uint64
	// Answer is the final answer when the fold itself holds it, as for an accepted job.
	Answer *wigeonstep.Response
}

// Place is what the process knew about a key when an event was made.
type Place struct {
	// Fold is nil when the fold holds no intent for the key.
	Fold *FoldKey
	// Owner is the session that owns the key's partition or issued the key; zero when there is none.
	Owner wigeonstep.SessionID
	// LeaseValid is set while the lease of this process's session runs.
	LeaseValid bool
	// Leaving is set before the log says that the session closes. Another session may own the key from then on, so nothing is not_run any more.
	Leaving bool
	// Settled is set when no other session can still believe to own the key, see Handover.
	Settled bool
	// Stale is set when the log has been out of reach for so long that recording a key would fail.
	Stale bool
}

// mayRefuse reports whether a refusal by the owner is certainly not_run.
func (p *Place) mayRefuse() bool { return p.LeaseValid && !p.Leaving }

// Event is something that happened to a key, a request or the process.
type Event interface{ event() }

type (
	// Arrive is a request that asks for a key, or asks again after a Wait.
	Arrive struct {
		Waiter   WaiterID
		Request  *wigeonstep.Request
		Hash     uint64
		Deadline time.Time
		// Forwarded is set when another entry process sent the request; it is not forwarded again.
		Forwarded bool
		Place     Place
	}
	// Admitted says that the run holds a slot.
	Admitted struct {
		Key   wigeonstep.Key
		Run   RunID
		Place Place
	}
	// Refused says that the run got no slot.
	Refused struct {
		Key      wigeonstep.Key
		Run      RunID
		Response wigeonstep.Response
		Place    Place
	}
	// IntentJudged says what became of the proposed intent.
	IntentJudged struct {
		Key     wigeonstep.Key
		Run     RunID
		Verdict IntentVerdict
		Place   Place
	}
	// Finished is the final answer of a dispatched run.
	Finished struct {
		Key      wigeonstep.Key
		Run      RunID
		Response wigeonstep.Response
	}
	// ForwardEnded is the result of Forward.
	ForwardEnded struct {
		Waiter WaiterID
		// Answered is false when the peer was not reached, its answer was lost, or it was not the owner.
		Answered bool
		Response wigeonstep.Response
	}
	// AskEnded is the result of Ask.
	AskEnded struct {
		Waiter WaiterID
		// Found is set when the earlier session has an answer.
		Found bool
		// Running is set when the earlier session still runs the request.
		Running  bool
		Response wigeonstep.Response
	}
	// TimedOut says that the waiter's deadline has passed or its caller is gone.
	TimedOut struct {
		Waiter WaiterID
		Place  Place
	}
	// SessionOpened says that the process has a new session. It keeps answering for its earlier ones.
	SessionOpened struct{ Session wigeonstep.SessionID }
)

// IntentVerdict is what became of a proposed intent.
type IntentVerdict int

const (
	// IntentAccepted means that the fold accepted it.
	IntentAccepted IntentVerdict = iota + 1
	// IntentRefused means that the fold refused it.
	IntentRefused
	// IntentNotAppended means that it certainly is not on the log and never will be.
	IntentNotAppended
	// IntentLost means that it may yet be accepted.
	IntentLost
)

func (Arrive) event()        {}
func (Admitted) event()      {}
func (Refused) event()       {}
func (IntentJudged) event()  {}
func (Finished) event()      {}
func (ForwardEnded) event()  {}
func (AskEnded) event()      {}
func (TimedOut) event()      {}
func (SessionOpened) event() {}

// Action is something that the adapter does.
type Action interface{ action() }

type (
	// Answer gives the waiter its final response.
	Answer struct {
		Waiter   WaiterID
		Response wigeonstep.Response
	}
	// NotOwner tells the process that forwarded the request that the key belongs elsewhere.
	NotOwner struct{ Waiter WaiterID }
	// Admit asks for a slot; Admitted or Refused follows.
	Admit struct {
		Key     wigeonstep.Key
		Run     RunID
		Request *wigeonstep.Request
	}
	// CancelAdmit takes the run out of the queue; Refused follows.
	CancelAdmit struct {
		Key wigeonstep.Key
		Run RunID
	}
	// Propose appends the intent; IntentJudged follows.
	Propose struct {
		Key     wigeonstep.Key
		Run     RunID
		Request *wigeonstep.Request
		Hash    uint64
	}
	// Withdraw records that the key did not run, so that a later request may claim it again. Nothing follows.
	Withdraw struct{ Key wigeonstep.Key }
	// Dispatch sends the request to a backend server; Finished follows.
	Dispatch struct {
		Key      wigeonstep.Key
		Run      RunID
		Request  *wigeonstep.Request
		Deadline time.Time
	}
	// Release gives back the slot of a run that is not dispatched.
	Release struct {
		Key wigeonstep.Key
		Run RunID
	}
	// Forward sends the waiter's request to the session; ForwardEnded follows.
	Forward struct {
		Waiter  WaiterID
		Session wigeonstep.SessionID
	}
	// Ask asks an earlier session for the key's answer; AskEnded follows.
	Ask struct {
		Waiter  WaiterID
		Key     wigeonstep.Key
		Hash    uint64
		Session wigeonstep.SessionID
	}
	// Wait lets the waiter arrive again after a delay, or earlier when its owner is no longer Failed.
	Wait struct {
		Waiter WaiterID
		// Failed is the session that could not be used, zero when none.
		Failed wigeonstep.SessionID
	}
)

func (Answer) action()      {}
func (NotOwner) action()    {}
func (Admit) action()       {}
func (CancelAdmit) action() {}
func (Propose) action()     {}
func (Dispatch) action()    {}
func (Withdraw) action()    {}
func (Release) action()     {}
func (Forward) action()     {}
func (Ask) action()         {}
func (Wait) action()        {}
