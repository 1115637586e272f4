// Package wigeonreplica keeps a copy of one partition of the job log, which every process follows.
package wigeonreplica

import (
	"fmt"
	"slices"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// Entry is what the log holds of one job.
type Entry struct {
	// Job is nil while only a cancellation or the progress of the job has been read.
	Job       *wigeonjob.Job
	Cancelled bool
	Progress  wigeonjob.Progress
}

// State returns the state of the job that callers are shown.
func (e *Entry) State() wigeonjob.State {
	if e.Cancelled && !e.Progress.State.Terminal() {
		return wigeonjob.StateCancelled
	}
	return e.Progress.State
}

// Replica is a copy of one partition. The zero value is empty. It is not safe for concurrent use.
type Replica struct {
	// Owner is the newest note of an owner.
	Owner wigeonjob.OwnerNote
	// Upkeep holds the newest upkeep order of each VM; only the fleet's partition has any.
	Upkeep map[wigeonstep.VMID]wigeonjob.UpkeepOrder
	// Moves holds the newest move order of each VM; only the fleet's partition has any.
	Moves map[wigeonstep.VMID]wigeonjob.MoveOrder
	// Splits holds the partitions of each service; only the fleet's partition has any.
	Splits map[wigeonstep.ServiceName][]wigeonstep.Partition
	// Releases holds the workers that a shard has emptied.
	Releases map[wigeonstep.WorkerID]wigeonjob.Release

	jobs map[wigeonstep.JobID]*Entry
}

// Jobs returns all entries. The map is the replica's own.
func (r *Replica) Jobs() map[wigeonstep.JobID]*Entry {
	return r.jobs
}

// Find returns the entry of an accepted job, or nil.
func (r *Replica) Find(id wigeonstep.JobID) *Entry {
	e := r.jobs[id]
	if e == nil || e.Job == nil {
		return nil
	}
	return e
}

// Waiting counts the accepted jobs of a queue for which no task has started.
func (r *Replica) Waiting(queue wigeonstep.QueueName) int {
	n := 0
	for _, e := range r.jobs {
		if e.Job != nil && e.Job.Queue == queue && e.State() == wigeonjob.StatePending {
			n++
		}
	}
	return n
}

// Apply takes a record over. An error means that the record was skipped.
func (r *Replica) Apply(record wigeonstep.KeyedRecord) error {
	kind, id, ok := wigeonjob.SplitKey(record.Key)
	if !ok {
		return fmt.Errorf("key %q has no kind", record.Key)
	}
	if len(record.Value) == 0 {
		r.drop(kind, id)
		return nil
	}
	switch kind {
	case wigeonjob.KindJob, wigeonjob.KindProgress, wigeonjob.KindCancel:
		return r.applyJob(kind, wigeonstep.JobID(id), record.Value)
	case wigeonjob.KindOwner:
		owner, err := wigeonjob.DecodeOwner(record.Value)
		if err != nil {
			return err
		}
		r.Owner = owner
	case wigeonjob.KindUpkeep:
		order, err := wigeonjob.DecodeUpkeep(wigeonstep.VMID(id), record.Value)
		if err != nil {
			return err
		}
		if r.Upkeep == nil {
			r.Upkeep = map[wigeonstep.VMID]wigeonjob.UpkeepOrder{}
		}
		r.Upkeep[order.VM] = order
	case wigeonjob.KindSplit:
		parts, err := wigeonjob.DecodeSplit(record.Value)
		if err != nil {
			return err
		}
		if r.Splits == nil {
			r.Splits = map[wigeonstep.ServiceName][]wigeonstep.Partition{}
		}
		r.Splits[wigeonstep.ServiceName(id)] = parts
	case wigeonjob.KindMove:
		order, err := wigeonjob.DecodeMove(wigeonstep.VMID(id), record.Value)
		if err != nil {
			return err
		}
		if r.Moves == nil {
			r.Moves = map[wigeonstep.VMID]wigeonjob.MoveOrder{}
		}
		r.Moves[order.VM] = order
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
		return fmt.Errorf("key %q is of an unknown kind", record.Key)
	}
	return nil
}

func (r *Replica) applyJob(kind wigeonjob.Kind, id wigeonstep.JobID, value []byte) error {
	switch kind {
	case wigeonjob.KindJob:
		e := r.entry(id)
		if e.Job != nil {
			// The same job handed in twice. The first record stays, because work may have begun on it.
			return nil
		}
		job, err := wigeonjob.DecodeJob(id, value)
		if err != nil {
			return err
		}
		e.Job = job
		r.trim(e)
	case wigeonjob.KindProgress:
		progress, err := wigeonjob.DecodeProgress(value)
		if err != nil {
			return err
		}
		e := r.entry(id)
		e.Progress = *progress
		r.trim(e)
	case wigeonjob.KindCancel:
		r.entry(id).Cancelled = true
	}
	return nil
}

// Expired returns up to limit jobs that ended before the time, in the order of their ids.
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

func (r *Replica) entry(id wigeonstep.JobID) *Entry {
	e := r.jobs[id]
	if e == nil {
		if r.jobs == nil {
			r.jobs = map[wigeonstep.JobID]*Entry{}
		}
		e = &Entry{}
		r.jobs[id] = e
	}
	return e
}

// trim drops what nobody reads of a job that has ended, so that memory holds only its state.
func (r *Replica) trim(e *Entry) {
	if e.Job == nil || !e.Progress.State.Terminal() {
		return
	}
	e.Job = &wigeonjob.Job{ID: e.Job.ID, Queue: e.Job.Queue, Service: e.Job.Service}
	e.Progress.Tasks = nil
	e.Progress.Finished = nil
}

func (r *Replica) drop(kind wigeonjob.Kind, id string) {
	switch kind {
	case wigeonjob.KindJob:
		delete(r.jobs, wigeonstep.JobID(id))
	case wigeonjob.KindUpkeep:
		delete(r.Upkeep, wigeonstep.VMID(id))
	case wigeonjob.KindMove:
		delete(r.Moves, wigeonstep.VMID(id))
	case wigeonjob.KindRelease:
		delete(r.Releases, wigeonstep.WorkerID(id))
	}
}
