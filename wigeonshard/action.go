package wigeonshard

import (
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// Start is an order to start a run. Step returns it only after the append with the record of the run is acknowledged. The
// caller reports the answer with StartAnswered, exactly once.
type Start struct {
	Worker wigeonstep.WorkerRef
	// SendBefore is the time from which the order must not be sent any more; the caller reports StartNotSent instead.
	SendBefore time.Duration
	// SentAt is the time of the Step that returned the order, and Clock the newest reading of the worker's clock then.
	SentAt time.Duration
	Clock  wigeonstep.WorkerMillis
	Order  wigeonstep.StartOrder
}

// Stop is an order to stop a run. The caller reports the answer with StopAnswered, exactly once.
type Stop struct {
	Worker wigeonstep.WorkerRef
	Run    wigeonstep.RunID
	Fence  wigeonstep.FencingToken
	// SentAt is the time of the Step that returned the order. It tells the answer to the newest stop of a run from earlier
	// ones, which change nothing about the run; zero for a run that the owner did not expect.
	SentAt time.Duration
}

// Heartbeat is an order that asks a worker for its running and ended runs, and renews its lease when Request.LeaseEnd is
// set. The caller reports the answer with HeartbeatAnswered.
type Heartbeat struct {
	Worker wigeonstep.WorkerRef
	// Number grows with each heartbeat of the owner, and is never 0. If the answer to a later heartbeat of the worker has been
	// applied, only the ended runs in this answer count.
	Number uint64
	// SentAt is the time of the Step that returned the heartbeat.
	SentAt time.Duration
	// AckBefore is the time from which the request must not acknowledge ends any more: the caller sets its AckedEnd to 0, in
	// the Heartbeat that it passes to HeartbeatAnswered as well.
	AckBefore time.Duration
	// Retry is set if the worker did not answer the heartbeat before.
	Retry bool
	// Resent is set by the caller if an earlier copy of the heartbeat, which it had handed to a relay, may still reach the worker.
	Resent  bool
	Request wigeonstep.HeartbeatRequest
}

// Throttle is an order that limits a best-effort run to a percentage of its full speed. The caller reports the answer with
// ThrottleAnswered, exactly once.
type Throttle struct {
	Worker  wigeonstep.WorkerRef
	Run     wigeonstep.RunID
	Fence   wigeonstep.FencingToken
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

// ForwardedCancel is the cancellation of a job that another partition holds.
type ForwardedCancel struct {
	Job    wigeonstep.JobID
	Holder wigeonstep.Partition
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
	// RunAge is the time for which the run, or the youngest run of the worker, had been started when the worker was found not to
	// answer; 0 when that doesn't apply or is unknown.
	RunAge time.Duration
	// Runs is the number of runs on the worker that the decision concerns; 0 for a decision about a single run.
	Runs int
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
	// Registrations holds the jobs to register; each is answered with JobRegistered or JobMoved.
	Registrations []wigeonstep.JobID
	// ForwardedCancels holds the cancellations to append to other partitions.
	ForwardedCancels []ForwardedCancel
	Decisions        []Decision
}
