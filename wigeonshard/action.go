package wigeonshard

import (
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// Start is an order to start a run. Step returns it only after the append with the record of the run is acknowledged. The
// caller reports the answer with StartAnswered.
type Start struct {
	Worker wigeonstep.WorkerRef
	// SendBefore is the time after which the order must not be sent; the caller reports StartNotSent instead.
	SendBefore time.Duration
	Order      wigeonstep.StartOrder
}

// Stop is an order to stop a run. The caller reports the answer with StopAnswered.
type Stop struct {
	Worker wigeonstep.WorkerRef
	Run    wigeonstep.RunID
	// SentAt is the time of the Step that returned the order; answers to all but the newest stop of a run are ignored.
	SentAt time.Duration
}

// Heartbeat is an order that asks a worker for its running and ended runs, and renews its lease when Request.LeaseEnd is
// set. The caller reports the answer with HeartbeatAnswered.
type Heartbeat struct {
	Worker wigeonstep.WorkerRef
	// Number orders the heartbeats of the owner. Of an answer that is older than the last one applied only the ended runs count.
	Number uint64
	// SentAt is the time of the Step that returned the heartbeat.
	SentAt time.Duration
	// AckBefore is the time after which the heartbeat is sent, and reported as sent, with an AckedEnd of 0.
	AckBefore time.Duration
	Request   wigeonstep.HeartbeatRequest
}

// Throttle is an order that limits a best-effort run to a percentage of its full speed.
type Throttle struct {
	Worker  wigeonstep.WorkerRef
	Run     wigeonstep.RunID
	Percent int
}

// AdviceRequest is a request to the advice service for tickets with which the tasks of a step may start on the named workers.
type AdviceRequest struct {
	Job        wigeonstep.JobID
	Occurrence int
	Step       int
	Workers    []wigeonstep.WorkerID
	// SentAt is the time of the Step that returned the request.
	SentAt time.Duration
}

// Decision is a decision of the owner that the caller logs.
type Decision struct {
	Event  string
	Run    wigeonstep.RunID
	Worker wigeonstep.WorkerID
	// Cause is the reason for the decision, in a few words.
	Cause string
	// Age is the age of the input that led to the decision, such as the time since the last report about the run; 0 when
	// the input has no age.
	Age time.Duration
}

// Actions holds the orders, requests and records that result from a Step. The caller may carry them out in any order.
type Actions struct {
	// Append holds the records to append to the log; nil when there are none. Step returns no further records until the
	// caller has reported the acknowledged append with AppendAcknowledged.
	Append         []wigeonstep.KeyedRecord
	Starts         []Start
	Stops          []Stop
	Heartbeats     []Heartbeat
	Throttles      []Throttle
	AdviceRequests []AdviceRequest
	Decisions      []Decision
}
