package wigeonstep

import (
	"context"
	"time"
)

// Stream is the name of a stream of the platform's log.
type Stream string

const (
	// FleetStream holds the batches of entries that every process folds into its state.
	FleetStream Stream = "fleet"
	// SnapshotStream holds chunks of snapshots of the folded state.
	SnapshotStream Stream = "snapshot"
)

// LogRecord is one record of a stream.
type LogRecord struct {
	Offset  Offset
	Payload []byte
}

// LogRead is the result of one read of a stream.
type LogRead struct {
	// Records is sorted by offset.
	Records []LogRecord
	// First is the oldest offset that the stream still holds.
	First Offset
	// Next is the offset of the next append.
	Next Offset
}

// Log is the platform's append-only log.
type Log interface {
	// Append appends a record and returns its offset. ErrAnswerLost means that the record may have been appended.
	Append(ctx context.Context, stream Stream, payload []byte) (Offset, error)
	// Read returns at most limit records from the offset on. If there is none yet, it waits up to wait for the first one.
	// It returns ErrCompacted if the stream no longer holds the offset.
	Read(ctx context.Context, stream Stream, from Offset, limit int, wait time.Duration) (LogRead, error)
}

// ListedVM is one entry of the platform's VM list.
type ListedVM struct {
	ID         VMID           `json:"id"`
	DataCentre DataCentreName `json:"data_centre"`
	Rack       RackName       `json:"rack"`
	// Pool is the pool according to the platform. The fold uses it only for a VM that it has not seen before.
	Pool PoolName `json:"pool"`
	// Address is the host:port of the VM's backend server.
	Address string `json:"address"`
	Shape   Shape  `json:"shape"`
	// Leaving is set when the platform has announced that it will remove the VM. The list can also show a VM as leaving
	// after DrainVM was called for it.
	Leaving bool `json:"leaving"`
	// Up is false while the VM is stopped or rebooting according to the platform.
	Up bool `json:"up"`
}

// Shape is the size of a VM.
type Shape struct {
	Cores        int `json:"cores"`
	MemoryGB     int `json:"memory_gb"`
	Accelerators int `json:"accelerators"`
	// Slots is the number of requests that the backend server runs at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that the backend server accepts.
	Connections int `json:"connections"`
}

// Fits reports whether the shape has at least the cores, memory and accelerators of want.
func (s Shape) Fits(want Shape) bool {
	return s.Cores >= want.Cores && s.MemoryGB >= want.MemoryGB && s.Accelerators >= want.Accelerators
}

// VMList is one response of the platform's VM list, which lags behind the actual state of the VMs.
type VMList struct {
	VMs []ListedVM `json:"vms"`
	// Pools holds the names of all pools that exist on the platform.
	Pools []PoolName `json:"pools"`
	// Age is the age of the list at the time the platform sent it.
	Age time.Duration `json:"age_ns"`
}

// Platform is the VM management API of the platform.
type Platform interface {
	ListVMs(ctx context.Context) (VMList, error)
	// DrainVM reports to the platform that the VM takes no new work. It is idempotent.
	DrainVM(ctx context.Context, vm VMID, epoch VMEpoch) error
	// RebootVM reboots a drained VM. A second call with the same epoch has no effect.
	RebootVM(ctx context.Context, vm VMID, epoch VMEpoch) error
	// AssignVM moves a drained VM to a pool and raises the epoch of its backend server to epoch.
	AssignVM(ctx context.Context, vm VMID, pool PoolName, epoch VMEpoch) error
	// CheckpointVM asks the tasks on the VM to save a checkpoint and stop.
	CheckpointVM(ctx context.Context, vm VMID, epoch VMEpoch) error
}
