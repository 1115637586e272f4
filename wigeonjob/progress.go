package wigeonjob

import "github.com/wigeonstep/wigeonstep"

// State is the state of a job as callers see it.
type State int

const (
	// StatePending means that no task has started.
	StatePending State = iota
	// StateRunning means that a task has started.
	StateRunning
	// StateCompleted means that all tasks ended as done.
	StateCompleted
	// StateFailed means that a task failed as often as its queue allows.
	StateFailed
	// StateCancelled means that a client cancelled the job.
	StateCancelled
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case StatePending:
		return "pending"
	case StateRunning:
		return "running"
	case StateCompleted:
		return "completed"
	case StateFailed:
		return "failed"
	case StateCancelled:
		return "cancelled"
	}
	return "unknown"
}

// Terminal reports whether the state is the last one of a job.
func (s State) Terminal() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// LiveRun is a run whose end is not known.
type LiveRun struct {
	Number wigeonstep.RunNumber
	Worker wigeonstep.WorkerID
}

// TaskProgress is what is known of a task that has ever been started.
type TaskProgress struct {
	Occurrence int
	Step       int
	Index      int
	// LastRun is the highest run number that an order may have carried.
	LastRun    wigeonstep.RunNumber
	Failures   int
	Done       bool
	Checkpoint wigeonstep.Checkpoint
	Runs       []LiveRun
}

// Progress is the durable progress of a job. It is written before the orders that it allows are sent.
type Progress struct {
	State State
	// Ended is 0 until the state is terminal.
	Ended wigeonstep.UnixMillis
	// Finished lists the occurrences of which all tasks are done.
	Finished []int
	// Tasks lists the tasks of other occurrences that were ever started.
	Tasks []TaskProgress
}

// OrderPhase is how far the order to change a VM is.
type OrderPhase int

const (
	// OrderCordon means that the worker is to be emptied.
	OrderCordon OrderPhase = iota
	// OrderCalled means that the change may have begun.
	OrderCalled
	// OrderDone means that the platform has confirmed the change.
	OrderDone
)

// UpkeepOrder is the order of the fleet's owner to take a VM down for the upkeep of a wave.
type UpkeepOrder struct {
	VM   wigeonstep.VMID
	Wave int
	// Worker is the life of the VM that is emptied; empty when the VM is off.
	Worker wigeonstep.WorkerID
	Phase  OrderPhase
}

// MoveOrder is the order of the fleet's owner to move a VM to another pool.
type MoveOrder struct {
	VM   wigeonstep.VMID
	From wigeonstep.PoolName
	Pool wigeonstep.PoolName
	// Worker is the life of the VM that is emptied; empty when the VM is off.
	Worker wigeonstep.WorkerID
	Phase  OrderPhase
}

// Release says that a worker is empty and that its shard starts nothing there any more.
type Release struct {
	Worker wigeonstep.WorkerID
	VM     wigeonstep.VMID
	Epoch  wigeonstep.Fence
}

// OwnerNote names the process that owns a shard.
type OwnerNote struct {
	Epoch   wigeonstep.Fence
	Address string
	// Lapses says for each worker that does not answer when every lease on it has ended. The owner renews none of them
	// before a note without the worker is durable.
	Lapses []Lapse
}

// Lapse is the end of all leases on a worker.
type Lapse struct {
	Worker wigeonstep.WorkerID
	At     wigeonstep.UnixMillis
}
