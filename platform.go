package wigeonstep

import (
	"context"
	"time"
)

// Stream names a stream of the log service.
type Stream string

const (
	// FleetStream carries the batches that every process folds.
	FleetStream Stream = "fleet"
	// SnapshotStream carries chunks of snapshots of the folded state.
	SnapshotStream Stream = "snapshot"
)

// LogRecord is one record of a stream.
type LogRecord struct {
	Offset  Offset
	Payload []byte
}

// LogRead is the result of one read of a stream.
type LogRead struct {
	// Records are in the order of their offsets.
	Records []LogRecord
	// First is the oldest offset that the stream still holds.
	First Offset
	// Next is the offset that the next append will get.
	Next Offset
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds a record. ErrAnswerLost means that the record may have been added.
	Append(ctx context.Context, stream Stream, payload []byte) (Offset, error)
	// Read returns at most limit records from the offset on, and waits up to wait for the first one.
	// It returns ErrCompacted when the stream no longer holds the offset.
	Read(ctx context.Context, stream Stream, from Offset, limit int, wait time.Duration) (LogRead, error)
}

// ListedVM is one VM of the platform's VM list.
type ListedVM struct {
	ID         VMID           `json:"id"`
	DataCentre DataCentreName `json:"data_centre"`
	Rack       RackName       `json:"rack"`
	// Pool is the platform's own record of the pool; the fold uses it only for a VM that is new.
	Pool PoolName `json:"pool"`
	// Address is host:port of the VM's backend server.
	Address string `json:"address"`
	Shape   Shape  `json:"shape"`
	Leaving bool   `json:"leaving"`
	// Up is false while the platform reports the VM as stopped or rebooting.
	Up bool `json:"up"`
}

// Shape is the size of a VM.
type Shape struct {
	Cores        int `json:"cores"`
	MemoryGB     int `json:"memory_gb"`
	Accelerators int `json:"accelerators"`
	// Slots is how many requests the worker runs at once.
	Slots int `json:"slots"`
	// Connections is how many connections the backend server takes.
	Connections int `json:"connections"`
}

// Fits reports whether a VM of this shape satisfies the wanted one.
func (s Shape) Fits(want Shape) bool {
	return s.Cores >= want.Cores && s.MemoryGB >= want.MemoryGB && s.Accelerators >= want.Accelerators
}

// VMList is one reading of the platform's VM list. It lags.
type VMList struct {
	VMs []ListedVM `json:"vms"`
	// Pools are all pools that the platform knows.
	Pools []PoolName `json:"pools"`
	// Age is how old the list was when the platform sent it.
	Age time.Duration `json:"age_ns"`
}

// Platform is what wigeonstep uses of the platform besides the log.
type Platform interface {
	ListVMs(ctx context.Context) (VMList, error)
	// DrainVM tells the platform that the VM takes no new work. It is idempotent.
	DrainVM(ctx context.Context, vm VMID, epoch Epoch) error
	// RebootVM reboots a drained VM. A second call with the same epoch has no effect.
	RebootVM(ctx context.Context, vm VMID, epoch Epoch) error
	// AssignVM gives a drained VM to a pool and raises the fence of the worker to epoch.
	AssignVM(ctx context.Context, vm VMID, pool PoolName, epoch Epoch) error
	// CheckpointVM asks the tasks of the VM to checkpoint and stop.
	CheckpointVM(ctx context.Context, vm VMID, epoch Epoch) error
}
