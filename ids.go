package wigeonstep

import (
	"fmt"
	"strconv"
)

type (
	// VMID is the id of a VM, assigned by the platform.
	VMID string
	// PoolName names a pool of VMs.
	PoolName string
	// TeamName names a team, the owner of service documents.
	TeamName string
	// ServiceName names a service. Each service has one service document.
	ServiceName string
	// ClassName names a request class of a service.
	ClassName string
	// DataCentreName names a data centre.
	DataCentreName string
	// RackName names a rack. It is unique within its data centre.
	RackName string
	// JobID is the id of a durably accepted job.
	JobID string
	// WaveID is the id of a maintenance wave.
	WaveID string
	// IdempotencyKey is an idempotency key, chosen by the caller or issued by a session.
	IdempotencyKey string
	// ChangeID is the id of one change to a service document.
	ChangeID string
	// RequestID is the id of one request of a caller. It is unique within a process.
	RequestID string
)

// Offset is the position of a record in a stream or partition of a log.
type Offset uint64

// VMEpoch numbers the states of a VM. Every accepted transition of the VM increases it. Backend servers refuse requests
// with an older epoch.
type VMEpoch uint64

// DocumentVersion is the version of a service document. The first accepted one is 1.
type DocumentVersion uint64

// SessionID is the random id of one incarnation of a process.
type SessionID uint64

// String returns the id as 16 hexadecimal digits.
func (s SessionID) String() string {
	return fmt.Sprintf("%016x", uint64(s))
}

// ParseSessionID parses the output of SessionID.String.
func ParseSessionID(text string) (SessionID, error) {
	id, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("session id %q is not hexadecimal: %w", text, err)
	}
	return SessionID(id), nil
}

// SparePool is the pool of the VMs that no service uses.
const SparePool PoolName = "spare"

type (
	// WorkerID is the id of a worker, the process that runs tasks on a VM. A VM that is moved to another pool gets a new
	// worker.
	WorkerID string
	// QueueName names a queue of jobs.
	QueueName string
	// Label is a property of a worker, for example the kind of its VM.
	Label string
	// ImageName names the image that the tasks of a step run.
	ImageName string
	// Checkpoint is the saved progress of a task; empty means none.
	Checkpoint string
	// Ticket is a permission, issued by the advice service, to start a step on a worker.
	Ticket string
)

// Partition is a partition of the job log.
type Partition int

// FencingToken is the fencing token of an owner. Workers, the platform's machine service and the partitions of the job log
// reject calls with a lower token than the highest one that they have seen.
type FencingToken uint64

// RunNumber numbers the runs of a task, starting at 1.
type RunNumber uint32

type (
	// MilliCPU is a thousandth of a core.
	MilliCPU int64
	// Megabytes is an amount of memory.
	Megabytes int64
)

// UnixMillis is a wall clock time in milliseconds since the Unix epoch.
type UnixMillis int64

// WorkerMillis is a time in milliseconds on the monotonic clock of a worker. The clock restarts with the worker.
type WorkerMillis int64
