package wigeonstep

import (
	"context"
	"strconv"
	"time"
)

// Resources is an amount of CPU, memory and GPUs: the requirement of a task or the capacity of a worker.
type Resources struct {
	CPU    MilliCPU
	Memory Megabytes
	// GPU is a number of GPUs.
	GPU int64
}

// Add returns r plus other, field by field.
func (r Resources) Add(other Resources) Resources {
	return Resources{CPU: r.CPU + other.CPU, Memory: r.Memory + other.Memory, GPU: r.GPU + other.GPU}
}

// Sub returns r minus other, field by field. Fields of the result may be negative.
func (r Resources) Sub(other Resources) Resources {
	return Resources{CPU: r.CPU - other.CPU, Memory: r.Memory - other.Memory, GPU: r.GPU - other.GPU}
}

// Max returns the larger of r and other, field by field.
func (r Resources) Max(other Resources) Resources {
	return Resources{CPU: max(r.CPU, other.CPU), Memory: max(r.Memory, other.Memory), GPU: max(r.GPU, other.GPU)}
}

// Min returns the smaller of r and other, field by field.
func (r Resources) Min(other Resources) Resources {
	return Resources{CPU: min(r.CPU, other.CPU), Memory: min(r.Memory, other.Memory), GPU: min(r.GPU, other.GPU)}
}

// Bounds of the capacity of a worker and of the requirement of a task.
const (
	maxCPU    MilliCPU  = 100_000_000
	maxMemory Megabytes = 1 << 30
	maxGPU              = 100_000
)

// Valid reports whether no field is negative, or so large that sums over a fleet could overflow.
func (r Resources) Valid() bool {
	return r.CPU >= 0 && r.CPU <= maxCPU && r.Memory >= 0 && r.Memory <= maxMemory && r.GPU >= 0 && r.GPU <= maxGPU
}

// Covers reports whether r is at least need in every field.
func (r Resources) Covers(need Resources) bool {
	return need.CPU <= r.CPU && need.Memory <= r.Memory && need.GPU <= r.GPU
}

// ListedWorker is a worker as described by its own record.
type ListedWorker struct {
	ID         WorkerID
	Address    string
	Service    ServiceName
	DataCentre DataCentreName
	// StartedAt is the start time of the worker. It distinguishes a restarted worker from its predecessor with the same id.
	StartedAt UnixMillis
	// Restarted is set if an earlier entry of the worker had another start time, as far as this process has read them.
	Restarted bool
	Draining  bool
	// MinRemaining is the minimum time for which a draining worker keeps running.
	MinRemaining time.Duration
	Capacity     Resources
	// Labels holds the kind and the rack of the VM.
	Labels []Label
	// Rack is the label of the rack; empty if the worker reports none.
	Rack Label
}

// TaskID identifies one task of a step in one occurrence of a job.
type TaskID struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// Path returns the numbers of the occurrence, the step and the task, separated by dots.
func (t TaskID) Path() string {
	return strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// RunID identifies one run of a task.
type RunID struct {
	Task   TaskID
	Number RunNumber
}

// WorkerRef is the id and the address of a worker. Calls fail if a worker with another id answers at the address.
type WorkerRef struct {
	ID      WorkerID
	Address string
}

// StartOrder tells a worker to start a run.
type StartOrder struct {
	Run  RunID
	Spec string
	// LeaseEnd is the end of the run's lease.
	LeaseEnd WorkerMillis
	Fence    FencingToken
	// Checkpoint is the saved progress from which the run continues; empty for none.
	Checkpoint Checkpoint
	// Ticket is empty if the queue does not use the advice service.
	Ticket Ticket
}

// HeartbeatRequest renews the leases of all runs on a worker and requests the list of its running and ended runs.
type HeartbeatRequest struct {
	Fence FencingToken
	// LeaseEnd is the new end of the leases; 0 renews none.
	LeaseEnd WorkerMillis
	// AckedEnd is the EndedRun.Number up to which the owner has recorded all ended runs durably. The worker drops them
	// from its list.
	AckedEnd uint64
	// Wait bounds the time for which the worker may delay its answer until a run ends.
	Wait time.Duration
}

// StartVerdict is the conclusion from a worker's answer to a start order.
type StartVerdict int

const (
	// StartAccepted means that the worker has accepted the run.
	StartAccepted StartVerdict = iota + 1
	// StartUnknown means that the answer was lost or unclear. The run may have started or may still start.
	StartUnknown
	// StartNoCapacity means that the worker lacks the free capacity for the run.
	StartNoCapacity
	// StartSuperseded means that the run, or a later run of the task, has ended or was stopped on the worker.
	StartSuperseded
	// StartLeaseExpired means that the lease in the order had expired before the worker received it.
	StartLeaseExpired
	// StartTicketInvalid means that the ticket is missing or no longer valid.
	StartTicketInvalid
	// StartFenced means that the worker has seen a higher fencing token.
	StartFenced
	// StartUnavailable means that the worker could not be reached or answered that it is overloaded or unavailable. The run
	// did not start.
	StartUnavailable
	// StartInvalid means that the order could not be encoded or that the worker rejected it as invalid.
	StartInvalid
	// StartWorkerReplaced means that a worker with another id answered at the address.
	StartWorkerReplaced
	// StartNotSent means that the order was not sent, because this process was too late for it. It says nothing of the worker.
	StartNotSent
)

// StartResult is the result of a start order.
type StartResult struct {
	Verdict StartVerdict
	// Clock is the time on the worker's clock, or 0 if the answer contains none.
	Clock WorkerMillis
	// Err is nil for StartAccepted.
	Err error
}

// RunningRun is an entry in a worker's list of running runs.
type RunningRun struct {
	Run        RunID
	Checkpoint Checkpoint
	// ProgressPercent is the progress of the run. A long-running run does its full work at 100.
	ProgressPercent int
	// TailLatency is the tail latency over the last half second. It is valid only for a long-running run that serves
	// requests: a worker reports one number for a run, which is decoded into both TailLatency and CPU.
	TailLatency time.Duration
	// CPU is the CPU use over the last half second. It is valid only for the other runs.
	CPU MilliCPU
}

// EndCause is the reason why a run ended.
type EndCause int

const (
	// EndDone means that the task is done.
	EndDone EndCause = iota + 1
	// EndFailed means that the task or the worker failed.
	EndFailed
	// EndStopped means that the owner ordered the run to stop.
	EndStopped
	// EndLeaseExpired means that the lease of the run expired.
	EndLeaseExpired
	// EndGangMemberEnded means that the run was ended because another member of its gang had ended.
	EndGangMemberEnded
	// EndGangIncomplete means that the run was ended because the other members of its gang did not start.
	EndGangIncomplete
)

// EndedRun is an entry in a worker's list of ended runs.
type EndedRun struct {
	// Number increases by one with each run that ends; it starts anew when the worker restarts.
	Number     uint64
	Run        RunID
	Cause      EndCause
	Checkpoint Checkpoint
}

// HeartbeatResult is the answer to a heartbeat.
type HeartbeatResult struct {
	// Clock is the time on the worker's clock.
	Clock WorkerMillis
	// StartedAt is ListedWorker.StartedAt of the answering worker, or 0 if the answer contains none.
	StartedAt UnixMillis
	Running   []RunningRun
	Ended     []EndedRun
	// MoreEnded is set when the worker may have more ended runs than Ended holds. A run that is in neither list may be one
	// of them.
	MoreEnded bool
	// UndecodableRows describes the rows of the answer that could not be decoded.
	UndecodableRows []string
}

// WorkerClient sends orders to workers. Errors wrap ErrFenced, ErrWorkerReplaced, ErrRejected, ErrUnavailable or
// ErrAnswerLost.
type WorkerClient interface {
	Start(ctx context.Context, worker WorkerRef, order StartOrder) StartResult
	Stop(ctx context.Context, worker WorkerRef, run RunID, fence FencingToken) error
	Heartbeat(ctx context.Context, worker WorkerRef, request HeartbeatRequest) (HeartbeatResult, error)
	// Throttle limits a run to a percentage of its full speed.
	Throttle(ctx context.Context, worker WorkerRef, run RunID, percent int, fence FencingToken) error
}

// VMState is the state of a VM in the list of the platform's machine service.
type VMState string

// States of a VM.
const (
	VMUp          VMState = "up"
	VMMoving      VMState = "moving"
	VMMaintenance VMState = "upkeep"
	VMDown        VMState = "down"
)

// PooledVM is one entry of the VM list of the platform's machine service.
type PooledVM struct {
	ID    VMID
	Pool  PoolName
	State VMState
	// Worker is the worker on the VM; empty if there is none.
	Worker   WorkerID
	Capacity Resources
	Labels   []Label
}

// MachineClient is the API of the platform's machine service, which maintains and moves VMs. Errors wrap ErrFenced,
// ErrVMNotUp, ErrRejected, ErrUnavailable or ErrAnswerLost.
type MachineClient interface {
	ListPooledVMs(ctx context.Context) ([]PooledVM, error)
	// Maintain takes the VM down for its maintenance in a wave.
	Maintain(ctx context.Context, vm VMID, wave int, fence FencingToken) error
	// Move moves the VM to a pool.
	Move(ctx context.Context, vm VMID, pool PoolName, fence FencingToken) error
}

// Advice holds the tickets for the workers that may run a step.
type Advice struct {
	Tickets map[WorkerID]Ticket
	// TTL is the validity period of the tickets.
	TTL time.Duration
}

// Advisor is the API of the advice service.
type Advisor interface {
	// Advise returns tickets for those of the workers that may run the step of a job's occurrence.
	Advise(ctx context.Context, job JobID, occurrence, step int, workers []WorkerID) (Advice, error)
}
