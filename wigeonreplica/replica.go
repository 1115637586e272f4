// Package wigeonreplica folds the records of one partition of the job log into an in-memory copy of its state. Every process
// has a replica of each partition that it follows.
package wigeonreplica

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonquota"
)

// JobEntry is the recorded state of one job.
type JobEntry struct {
	// Job is nil until the record of the job itself has been read. The job's cancellation or progress may be read first.
	Job       *wigeonjob.Job
	Cancelled bool
	// Progress is the job's progress, without the tasks that are in records of their own.
	Progress wigeonjob.Progress

	// tasks holds the tasks in records of their own, by the record's id.
	tasks map[wigeonjob.TasksID][]wigeonjob.TaskProgress
}

// FullProgress returns the progress of the job with all its tasks.
func (e *JobEntry) FullProgress() wigeonjob.Progress {
	full := e.Progress
	full.Tasks = slices.Clone(full.Tasks)
	for _, tasks := range e.tasks {
		full.Tasks = append(full.Tasks, tasks...)
	}
	slices.SortFunc(full.Tasks, func(a, b wigeonjob.TaskProgress) int {
		return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
	return full
}

// State returns the state of the job that clients see: a cancelled job counts as cancelled before its tasks have stopped,
// unless it ended in another state first.
func (e *JobEntry) State() wigeonjob.State {
	if e.Cancelled && !e.Progress.State.Terminal() {
		return wigeonjob.StateCancelled
	}
	return e.Progress.State
}

// Replica is the state of one partition. The zero value is empty and ready to use. It is not safe for concurrent use.
type Replica struct {
	// Owner is the newest owner record of the partition.
	Owner wigeonjob.OwnerRecord
	// MaintenanceOrders holds the newest maintenance order of each VM; only the fleet partition has any.
	MaintenanceOrders map[wigeonstep.VMID]wigeonjob.MaintenanceOrder
	// MoveOrders holds the newest move order of each VM; only the fleet partition has any.
	MoveOrders map[wigeonstep.VMID]wigeonjob.MoveOrder
	// ServicePartitions holds the partitions of each service; only the fleet partition has any.
	ServicePartitions map[wigeonstep.ServiceName][]wigeonstep.Partition
	// Allowances holds the newest division of each team's limit, and ShardEpochs the newest epochs of the shards that may have
	// received an allowance; only the fleet partition has any.
	Allowances  map[wigeonstep.TeamName]wigeonquota.Record
	ShardEpochs map[wigeonstep.Partition]wigeonstep.FencingToken
	// Releases holds the release of each drained worker, on which its shard starts no more runs.
	Releases map[wigeonstep.WorkerID]wigeonjob.Release

	jobs        map[wigeonstep.JobID]*JobEntry
	withdrawals withdrawals
	// replaced holds the jobs that TakeReplaced returns.
	replaced []*wigeonjob.Job
	// pending counts the jobs in StatePending of each queue.
	pending map[wigeonstep.QueueName]int
}

// Jobs returns the entries of all jobs, also of those whose own record has not been read. The map is not a copy.
func (r *Replica) Jobs() map[wigeonstep.JobID]*JobEntry {
	return r.jobs
}

// Find returns the entry of a job, or nil if the record of the job has not been read.
func (r *Replica) Find(id wigeonstep.JobID) *JobEntry {
	e := r.jobs[id]
	if e == nil || e.Job == nil {
		return nil
	}
	return e
}

// CountPending returns the number of jobs of a queue that are in StatePending: no run is known to have begun, and they are
// not cancelled.
func (r *Replica) CountPending(queue wigeonstep.QueueName) int {
	return r.pending[queue]
}

// addPending adds n to the count of pending jobs if the job is one of them.
func (r *Replica) addPending(e *JobEntry, n int) {
	if e == nil || e.Job == nil || e.State() != wigeonjob.StatePending {
		return
	}
	if r.pending == nil {
		r.pending = map[wigeonstep.QueueName]int{}
	}
	r.pending[e.Job.Queue] += n
}

// Apply updates the state from the next record of the partition. A record without a value deletes its key. An error means
// that the record was skipped, because its kind is unknown or it cannot be decoded.
func (r *Replica) Apply(record wigeonstep.KeyedRecord) error {
	kind, id, ok := wigeonjob.SplitKey(record.Key)
	if !ok {
		return fmt.Errorf("record key %q has no kind prefix", record.Key)
	}
	if len(record.Value) == 0 {
		r.deleteKey(kind, id)
		return nil
	}
	switch kind {
	case wigeonjob.KindJob, wigeonjob.KindProgress, wigeonjob.KindCancel:
		return r.applyJob(kind, wigeonstep.JobID(id), record.Value)
	case wigeonjob.KindTasks:
		return r.applyTasks(id, record.Value)
	case wigeonjob.KindWithdrawal:
		return r.applyWithdrawal(record.Value)
	case wigeonjob.KindOwner:
		owner, err := wigeonjob.DecodeOwner(record.Value)
		if err != nil {
			return err
		}
		r.Owner = owner
	case wigeonjob.KindMaintenance:
		order, err := wigeonjob.DecodeMaintenance(wigeonstep.VMID(id), record.Value)
		if err != nil {
			return err
		}
		if r.MaintenanceOrders == nil {
			r.MaintenanceOrders = map[wigeonstep.VMID]wigeonjob.MaintenanceOrder{}
		}
		r.MaintenanceOrders[order.VM] = order
	case wigeonjob.KindPartitions:
		parts, err := wigeonjob.DecodePartitions(record.Value)
		if err != nil {
			return err
		}
		if r.ServicePartitions == nil {
			r.ServicePartitions = map[wigeonstep.ServiceName][]wigeonstep.Partition{}
		}
		r.ServicePartitions[wigeonstep.ServiceName(id)] = parts
	case wigeonjob.KindAllowances:
		division, err := wigeonjob.DecodeAllowances(wigeonstep.TeamName(id), record.Value)
		if err != nil {
			return err
		}
		if r.Allowances == nil {
			r.Allowances = map[wigeonstep.TeamName]wigeonquota.Record{}
		}
		r.Allowances[division.Team] = division
	case wigeonjob.KindShardEpochs:
		epochs, err := wigeonjob.DecodeShardEpochs(record.Value)
		if err != nil {
			return err
		}
		r.ShardEpochs = epochs
	case wigeonjob.KindMove:
		order, err := wigeonjob.DecodeMove(wigeonstep.VMID(id), record.Value)
		if err != nil {
			return err
		}
		if r.MoveOrders == nil {
			r.MoveOrders = map[wigeonstep.VMID]wigeonjob.MoveOrder{}
		}
		r.MoveOrders[order.VM] = order
	case wigeonjob.KindRelease:
		release, err := wigeonjob.DecodeRelease(wigeonstep.WorkerID(id), record.Value)
		if err != nil {
			return err
		}
		if r.Releases == nil {
			r.Releases = map[wigeonstep.WorkerID]wigeonjob.Release{}
		}
		r.Releases[release.Worker] = release
	default:
		return fmt.Errorf("record key %q has an unknown kind", record.Key)
	}
	return nil
}

func (r *Replica) applyJob(kind wigeonjob.Kind, id wigeonstep.JobID, value []byte) error {
	r.addPending(r.jobs[id], -1)
	defer func() { r.addPending(r.jobs[id], 1) }()
	switch kind {
	case wigeonjob.KindJob:
		e := r.ensureEntry(id)
		if e.Job != nil {
			// The job was submitted twice. The first record is kept, because its tasks may have started.
			return r.noteReplaced(e.Job, value)
		}
		job, err := wigeonjob.DecodeJob(id, value)
		if err != nil {
			return err
		}
		e.Job = job
		r.cancelWithdrawn(e)
		r.trimEnded(e)
	case wigeonjob.KindProgress:
		progress, err := wigeonjob.DecodeProgress(value)
		if err != nil {
			return err
		}
		e := r.ensureEntry(id)
		e.Progress = *progress
		r.trimEnded(e)
	case wigeonjob.KindCancel:
		r.ensureEntry(id).Cancelled = true
	}
	return nil
}

// noteReplaced notes a job if its record in the log, which keeps the newest one, has been replaced by that of another team.
func (r *Replica) noteReplaced(kept *wigeonjob.Job, value []byte) error {
	newer, err := wigeonjob.DecodeJob(kept.ID, value)
	if err != nil || newer.Team == kept.Team {
		return err
	}
	restored := *kept
	if len(restored.Steps) == 0 {
		// Nothing reads the steps of an ended job, but a record needs some.
		restored.Steps = newer.Steps
	}
	r.replaced = append(r.replaced, &restored)
	return nil
}

// TakeReplaced returns the jobs whose records in the log have been replaced by those of another team since the last call. A record
// has to be written for each of them.
func (r *Replica) TakeReplaced() []*wigeonjob.Job {
	replaced := r.replaced
	r.replaced = nil
	return replaced
}

// applyTasks sets the progress of tasks that have a record of their own.
func (r *Replica) applyTasks(id string, value []byte) error {
	tasksID, tasks, err := wigeonjob.DecodeTasks(id, value)
	if err != nil {
		return err
	}
	e := r.ensureEntry(tasksID.Job)
	if e.tasks == nil {
		e.tasks = map[wigeonjob.TasksID][]wigeonjob.TaskProgress{}
	}
	e.tasks[tasksID] = tasks
	return nil
}

// Expired returns the first limit ids, in ascending order, of the jobs that ended before the given time.
func (r *Replica) Expired(before wigeonstep.UnixMillis, limit int) []wigeonstep.JobID {
	var expired []wigeonstep.JobID
	for id, e := range r.jobs {
		if e.Progress.State.Terminal() && e.Progress.Ended != 0 && e.Progress.Ended < before {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	return expired[:min(len(expired), limit)]
}

// ensureEntry returns the entry of a job and adds an empty one if there is none.
func (r *Replica) ensureEntry(id wigeonstep.JobID) *JobEntry {
	e := r.jobs[id]
	if e == nil {
		if r.jobs == nil {
			r.jobs = map[wigeonstep.JobID]*JobEntry{}
		}
		e = &JobEntry{}
		r.jobs[id] = e
	}
	return e
}

// trimEnded drops the parts of an ended job that nothing reads any more, to save memory: the specification and steps of the
// job, and the tasks and finished occurrences of its progress.
func (r *Replica) trimEnded(e *JobEntry) {
	if e.Job == nil || !e.Progress.State.Terminal() {
		return
	}
	e.Job = &wigeonjob.Job{ID: e.Job.ID, Queue: e.Job.Queue, Service: e.Job.Service, Team: e.Job.Team}
	e.Progress.Tasks = nil
	e.Progress.Finished = nil
	e.tasks = nil
}

// deleteKey removes the state of a key that was deleted from the log. The deletion of a job's key also removes the job's
// progress and cancellation from the replica. The deletion of a progress, cancellation, owner or partitions key has no effect.
func (r *Replica) deleteKey(kind wigeonjob.Kind, id string) {
	switch kind {
	case wigeonjob.KindJob:
		r.addPending(r.jobs[wigeonstep.JobID(id)], -1)
		delete(r.jobs, wigeonstep.JobID(id))
	case wigeonjob.KindTasks:
		if tasksID, ok := wigeonjob.ParseTasksID(id); ok && r.jobs[tasksID.Job] != nil {
			delete(r.jobs[tasksID.Job].tasks, tasksID)
		}
	case wigeonjob.KindMaintenance:
		delete(r.MaintenanceOrders, wigeonstep.VMID(id))
	case wigeonjob.KindMove:
		delete(r.MoveOrders, wigeonstep.VMID(id))
	case wigeonjob.KindRelease:
		delete(r.Releases, wigeonstep.WorkerID(id))
	case wigeonjob.KindWithdrawal:
		r.withdrawals.remove(wigeonjob.Key(kind, id))
	}
}
