package wigeonstep

import (
	"context"
	"time"
)

// Resources is the room that a task takes or that a worker has.
type Resources struct {
	CPU    MilliCPU
	Memory Megabytes
	GPU    int64
}

// Add returns the sum.
func (r Resources) Add(other Resources) Resources {
	return Resources{CPU: r.CPU + other.CPU, Memory: r.Memory + other.Memory, GPU: r.GPU + other.GPU}
}

// Sub returns the difference.
func (r Resources) Sub(other Resources) Resources {
	return Resources{CPU: r.CPU - other.CPU, Memory: r.Memory - other.Memory, GPU: r.GPU - other.GPU}
}

// Holds reports whether need fits into r.
func (r Resources) Holds(need Resources) bool {
	return need.CPU <= r.CPU && need.Memory <= r.Memory && need.GPU <= r.GPU
}

// ListedWorker is what a worker reports about itself.
type ListedWorker struct {
	ID         WorkerID
	Address    string
	Service    ServiceName
	DataCentre DataCentreName
	// Born tells lives of a worker apart that use the same id.
	Born     UnixMillis
	Draining bool
	// Remaining is how long a draining worker runs on at least.
	Remaining time.Duration
	Capacity  Resources
	// Labels hold the kind and the rack of the VM.
	Labels []Label
	// Rack is one of Labels; empty when the worker names none.
	Rack Label
}

// TaskID names one task of one occurrence of a job.
type TaskID struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// RunID names one start of a task.
type RunID struct {
	Task   TaskID
	Number RunNumber
}

// WorkerRef names one life of a worker and where it is reached.
type WorkerRef struct {
	ID      WorkerID
	Address string
}

// StartOrder tells a worker to start a run.
type StartOrder struct {
	Run        RunID
	Spec       string
	Until      WorkerMillis
	Fence      Fence
	Checkpoint Checkpoint
	// Ticket is empty when the queue needs no advice.
	Ticket Ticket
}

// HoldOrder extends the lease of all that runs on a worker and asks what runs there.
type HoldOrder struct {
	Fence Fence
	// Until is the end of the lease; 0 extends nothing.
	Until WorkerMillis
	// LastSeen is the number of the last end that is durable; the worker forgets the ends up to it.
	LastSeen uint64
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
}

// StartVerdict says what a worker made of a start.
type StartVerdict int

const (
	// StartTaken means that the run is there.
	StartTaken StartVerdict = iota + 1
	// StartLost means that the run may be there or may yet begin.
	StartLost
	// StartNoRoom means that the worker has no room for the run.
	StartNoRoom
	// StartOld means that the run, or a higher one of the task, has ended or was stopped there.
	StartOld
	// StartLate means that the lease in the order had already passed.
	StartLate
	// StartNoTicket means that the ticket is missing or no longer valid.
	StartNoTicket
	// StartFenced means that the worker has seen a higher fence.
	StartFenced
	// StartUnhealthy means that the worker did nothing because it is not well.
	StartUnhealthy
	// StartInvalid means that the worker does not accept such an order.
	StartInvalid
	// StartGone means that another life of the worker answered.
	StartGone
)

// StartResult is the result of a start.
type StartResult struct {
	Verdict StartVerdict
	// Clock is the worker's clock, or 0 when the answer carries none.
	Clock WorkerMillis
	// Err is nil for StartTaken.
	Err error
}

// RunningRun is a run that a worker lists as running.
type RunningRun struct {
	Run        RunID
	Checkpoint Checkpoint
	// Percent is how far a run is; a long-running one is at work at 100.
	Percent int
	// Tail is the tail of the response times of a long-running run over the last half second, for a run that serves.
	Tail time.Duration
	// CPU is what any other run used over the last half second.
	CPU MilliCPU
}

// EndCause says how a run ended.
type EndCause int

const (
	// EndDone means that the task is done.
	EndDone EndCause = iota + 1
	// EndFailed means that the task or the worker failed.
	EndFailed
	// EndStopped means that the run was stopped by an order.
	EndStopped
	// EndLapsed means that the lease ran out.
	EndLapsed
	// EndBroken means that another member of the gang ended.
	EndBroken
	// EndAlone means that the other members of the gang did not come.
	EndAlone
)

// EndedRun is a run that a worker lists as ended.
type EndedRun struct {
	// Number rises by one with each end in one life of a worker.
	Number     uint64
	Run        RunID
	Cause      EndCause
	Checkpoint Checkpoint
}

// HoldResult is the answer to a hold.
type HoldResult struct {
	Clock WorkerMillis
	// Born is 0 when the answer carries none.
	Born    UnixMillis
	Running []RunningRun
	Ended   []EndedRun
	// Skipped describes the rows that could not be read.
	Skipped []string
}

// WorkerOrders gives orders to workers. Errors wrap ErrFenced, ErrWorkerGone, ErrRejected, ErrUnavailable or ErrAnswerLost.
type WorkerOrders interface {
	Start(ctx context.Context, worker WorkerRef, order StartOrder) StartResult
	Stop(ctx context.Context, worker WorkerRef, run RunID, fence Fence) error
	Hold(ctx context.Context, worker WorkerRef, order HoldOrder) (HoldResult, error)
	// Pace lets a run work at a share of its speed, in percent.
	Pace(ctx context.Context, worker WorkerRef, run RunID, percent int, fence Fence) error
}

// VMState is the state of a VM in the platform's list.
type VMState string

// States of a VM.
const (
	VMUp     VMState = "up"
	VMMoving VMState = "moving"
	VMUpkeep VMState = "upkeep"
	VMDown   VMState = "down"
)

// PooledVM is a VM of the platform's list.
type PooledVM struct {
	ID       VMID
	Pool     PoolName
	State    VMState
	Worker   WorkerID
	Capacity Resources
	Labels   []Label
}

// MachineOrders changes VMs. Errors wrap ErrFenced, ErrBusy, ErrRejected, ErrUnavailable or ErrAnswerLost.
type MachineOrders interface {
	ListPooledVMs(ctx context.Context) ([]PooledVM, error)
	Upkeep(ctx context.Context, vm VMID, wave int, fence Fence) error
	Move(ctx context.Context, vm VMID, pool PoolName, fence Fence) error
}

// Advice is which workers may run a step.
type Advice struct {
	Tickets map[WorkerID]Ticket
	// Valid is how long a ticket holds.
	Valid time.Duration
}

// Advisor says which workers may run a step.
type Advisor interface {
	Advise(ctx context.Context, job JobID, occurrence, step int, workers []WorkerID) (Advice, error)
}
