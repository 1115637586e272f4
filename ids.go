package wigeonstep

import (
	"fmt"
	"strconv"
)

type (
	// VMID is the platform's id of a VM.
	VMID string
	// PoolName names a pool of VMs.
	PoolName string
	// TeamName names a team, the owner of service documents.
	TeamName string
	// ServiceName names a service; each service has one document.
	ServiceName string
	// ClassName names a class of requests of a service.
	ClassName string
	// DataCentreName names a data centre.
	DataCentreName string
	// RackName names a rack; it is unique within a data centre.
	RackName string
	// JobID is the id of a durably accepted job.
	JobID string
	// WaveID is the id of a maintenance wave.
	WaveID string
	// Key is an idempotency key, chosen by the caller or issued by a session.
	Key string
	// ChangeID is the id of one change of a document.
	ChangeID string
	// RequestID is the id of one request of a caller within a process.
	RequestID string
)

// Offset is the position of a record in a stream of the log.
type Offset uint64

// Epoch is the fencing token of a VM. Every accepted transition of the VM raises it.
type Epoch uint64

// Version is the version of a service document. The first accepted one is 1.
type Version uint64

// SessionID is the random id of one incarnation of a process.
type SessionID uint64

// String returns the id as 16 hexadecimal digits.
func (s SessionID) String() string {
	return fmt.Sprintf("%016x", uint64(s))
}

// ParseSessionID reads the form that String writes.
func ParseSessionID(text string) (SessionID, error) {
	id, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("session id %q is not hexadecimal: %w", text, err)
	}
	return SessionID(id), nil
}

// SparePool is the pool of VMs that no service uses.
const SparePool PoolName = "spare"

type (
	// WorkerID is the id of one worker: one life of a VM in a pool.
	WorkerID string
	// QueueName names a queue of jobs.
	QueueName string
	// Label is a property of a worker, for example its kind.
	Label string
	// ImageName names what the tasks of a step run.
	ImageName string
	// Checkpoint is the saved progress of a task; empty means none.
	Checkpoint string
	// Ticket is the permission of the advice service to start a step on a worker.
	Ticket string
)

// Partition is a partition of the job log.
type Partition int

// Fence is the fencing token of an owner. A worker, a VM and a partition of the log refuse a lower one than they have seen.
type Fence uint64

// RunNumber numbers the starts of a task from 1 on.
type RunNumber uint32

type (
	// MilliCPU is a thousandth of a core.
	MilliCPU int64
	// Megabytes is a size in memory.
	Megabytes int64
)

// UnixMillis is a wall clock time in milliseconds since 1970.
type UnixMillis int64

// WorkerMillis is a time in milliseconds on the steady clock of one life of a worker.
type WorkerMillis int64
