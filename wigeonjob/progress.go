package wigeonjob

import (
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// State is the state of a job. wigeonreplica.JobEntry.State adds cancellations that the owner has not recorded yet.
//
// A run is planned when the owner has assigned a worker to it; its start order follows when the record of the plan is durable.
type State int

const (
	// StatePending means that no run of the job is known to have begun.
	StatePending State = iota
	// StateRunning means that a run of the job has begun on its worker.
	StateRunning
	// StateCompleted means that all tasks of all occurrences are done.
	StateCompleted
	// StateFailed means that a task, or a gang as a whole, failed as often as QueuePolicy.MaxAttempts allows.
	StateFailed
	// StateCancelled means that a client cancelled the job.
	StateCancelled
	// StateMoved means that another partition holds the job, which was submitted again after its queue got another service.
	// Clients never see it.
	StateMoved
	// StateDegraded means that a task of a long-running job was given up, and the others run until the job is cancelled. Clients
	// see a failed job.
	StateDegraded
)

// String returns the lower-case name of the state, which clients receive.
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
	case StateMoved:
		return "moved"
	case StateDegraded:
		return "degraded"
	}
	return "unknown"
}

// ForClients returns the state that clients see.
func (s State) ForClients() State {
	if s == StateDegraded {
		return StateFailed
	}
	return s
}

// Terminal reports whether a job never leaves the state in its partition.
func (s State) Terminal() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled || s == StateMoved
}

// LiveRun is a planned run whose end is not known, whether or not it has started.
type LiveRun struct {
	Number wigeonstep.RunNumber
	Worker wigeonstep.WorkerID
	// PlannedAt is 0 in records of processes that did not write it.
	PlannedAt wigeonstep.UnixMillis
	// UnansweredAt is the time at which the newest order without an answer was sent that may begin the run in a later process of the
	// worker, or renew its lease there, as of the loss of the worker; 0 if there is none. If the newest such order was answered, it is
	// the time of the answer less the time for which an order may be on its way, so that nothing is awaited but the lease.
	UnansweredAt wigeonstep.UnixMillis
	// Begun is set if a process of the worker is known to have begun the run, and no start of it may still be on its way. If neither
	// Begun nor UnansweredAt is set, a start may have been sent since the record was written.
	Begun bool
}

// WorkerCrash is the loss of a worker with a run of a task that may have crashed it.
type WorkerCrash struct {
	Run    wigeonstep.RunNumber
	Worker wigeonstep.WorkerID
	// RunAge is the time for which the run had been started when the worker was found not to answer; 0 if the run is not known to
	// have begun.
	RunAge time.Duration
	// Ended is set if the worker's process is known to have ended. Otherwise it may only have been unreachable.
	Ended bool
	// Likely is set if the run was among those that most likely crashed the worker, Sole if no run of another task was.
	Likely bool
	Sole   bool
	// Explained is set once the crash was put down to another task.
	Explained bool
}

// Confirmed reports whether the worker has certainly crashed under the run.
func (c WorkerCrash) Confirmed() bool { return c.Ended && c.RunAge > 0 }

// TaskProgress is the progress of a task for which a run was ever planned.
type TaskProgress struct {
	Occurrence int
	Step       int
	Index      int
	// LastRun is the highest run number in use, whether or not its start order was sent. The next run gets LastRun+1.
	LastRun    wigeonstep.RunNumber
	Failures   int
	Done       bool
	Checkpoint wigeonstep.Checkpoint
	Runs       []LiveRun
	// LostRuns holds runs that were given up when their leases had ended, and whose own end is not known. A worker that was
	// cut off may still report that such a run failed, and the failure counts.
	LostRuns []wigeonstep.RunNumber
	// Crashes holds the newest crashes of workers under runs of the task, the oldest first, since a run last survived for so
	// long that they count no more. A gang counts them at its first task.
	Crashes []WorkerCrash
	// GivenUp is set if the task of a long-running job has crashed its workers, so that it gets no run any more.
	GivenUp bool
}

// Progress is the durable progress of a job. It is appended to the log before the start orders of its runs are sent.
type Progress struct {
	State State
	// Ended is 0 until the state is terminal.
	Ended wigeonstep.UnixMillis
	// Cause says why the job failed or is degraded; empty in other states.
	Cause string
	// Holder is the partition that holds the job in StateMoved, and 0 in other states.
	Holder wigeonstep.Partition
	// Finished lists the numbers of the occurrences whose tasks are all done; empty once the state is terminal.
	Finished []int
	// Tasks lists the progress of tasks in other occurrences; empty once the state is terminal. In the record of a job with more
	// than TasksPerRecord tasks it is empty, and the tasks are in records of KindTasks.
	Tasks []TaskProgress
}

const (
	// TasksPerRecord bounds the tasks in one record, so that it is smaller than the log accepts even if each task has its largest
	// progress, about 1.5 KB.
	TasksPerRecord = 128
	// MaxCheckpointBytes is the size above which a checkpoint is not recorded.
	MaxCheckpointBytes = 512
)

// OrderPhase is the phase of an order to change a VM.
type OrderPhase int

const (
	// OrderCordon means that the worker on the VM is cordoned and being drained.
	OrderCordon OrderPhase = iota
	// OrderIssued means that the platform may have been called, so that the change may have begun.
	OrderIssued
	// OrderDone means that the platform has confirmed the change.
	OrderDone
)

// MaintenanceOrder is an order of the fleet shard's owner to take a VM down for maintenance as part of a wave.
type MaintenanceOrder struct {
	VM   wigeonstep.VMID
	Wave int
	// Worker is the worker on the VM, which has to be drained first; empty when the VM is off.
	Worker wigeonstep.WorkerID
	Phase  OrderPhase
	// DoneWaves lists the other waves whose maintenance of the VM was confirmed. The log holds one order for each VM.
	DoneWaves []int
}

// DoneFor reports whether the maintenance of the VM for a wave was confirmed.
func (o MaintenanceOrder) DoneFor(wave int) bool {
	return o.Wave == wave && o.Phase == OrderDone || slices.Contains(o.DoneWaves, wave)
}

// MoveOrder is an order of the fleet shard's owner to move a VM from the pool From to the pool Pool.
type MoveOrder struct {
	VM   wigeonstep.VMID
	From wigeonstep.PoolName
	Pool wigeonstep.PoolName
	// Worker is the worker on the VM, which has to be drained first; empty when the VM is off.
	Worker wigeonstep.WorkerID
	Phase  OrderPhase
}

// Release records that a cordoned worker has no runs and that the owner of its shard starts none there any more.
type Release struct {
	Worker wigeonstep.WorkerID
	VM     wigeonstep.VMID
	Epoch  wigeonstep.FencingToken
}

// OwnerRecord records the process that owns a shard.
type OwnerRecord struct {
	Epoch   wigeonstep.FencingToken
	Address string
	// Lapses lists the workers that do not answer and may still have runs. The owner renews the lease of a listed worker
	// only after a record without it is durable.
	Lapses []Lapse
}

// Lapse is the wall-clock time by which all leases on a worker have ended.
type Lapse struct {
	Worker wigeonstep.WorkerID
	At     wigeonstep.UnixMillis
}
