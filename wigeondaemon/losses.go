package wigeondaemon

import (
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// lossListInterval and lossListIntervalPerVM give the minimum time between the request for a VM list and the next one while
	// it is not known whether a lost worker has ended. A list of a large fleet takes several calls.
	lossListInterval      = 100 * time.Millisecond
	lossListIntervalPerVM = 500 * time.Microsecond
	// seenRetention is the time for which a worker that is in no VM list any more is remembered.
	seenRetention = time.Minute
)

// lossTracker finds out from VM lists whether workers that do not answer their shard's owner have ended. A worker that was on a VM
// in an earlier list and is on none in a list that was requested after its loss was reported has ended: VMs don't exchange their
// workers, and no worker gets the id of another. The zero value tracks nothing.
type lossTracker struct {
	// losses holds the lost workers in the newest reports of the shards.
	losses map[wigeonstep.WorkerID]*loss
	// seenAt holds the time of the request for the newest list with each worker.
	seenAt map[wigeonstep.WorkerID]time.Duration
}

type loss struct {
	partition uint32
	// since identifies the loss for the owner of its shard.
	since int64
	// reportedAt is the time of the first report of the loss.
	reportedAt time.Duration
	ended, up  bool
}

// report replaces the lost workers of a shard.
func (t *lossTracker) report(now time.Duration, partition uint32, lost []*wigeonwire.LostWorker) {
	reported := make(map[wigeonstep.WorkerID]bool, len(lost))
	for _, l := range lost {
		id := wigeonstep.WorkerID(l.GetWorker())
		reported[id] = true
		if known := t.losses[id]; known != nil && known.since == l.GetSinceMs() && known.partition == partition {
			continue
		}
		if t.losses == nil {
			t.losses = map[wigeonstep.WorkerID]*loss{}
		}
		t.losses[id] = &loss{partition: partition, since: l.GetSinceMs(), reportedAt: now}
	}
	for id, l := range t.losses {
		if l.partition == partition && !reported[id] {
			delete(t.losses, id)
		}
	}
}

// unresolved reports whether it is not known of a lost worker that it has ended.
func (t *lossTracker) unresolved() bool {
	for _, l := range t.losses {
		if !l.ended {
			return true
		}
	}
	return false
}

// applyList applies a VM list that was requested at the given time.
func (t *lossTracker) applyList(requested time.Duration, vms []wigeonstep.PooledVM) {
	if t.seenAt == nil {
		t.seenAt = map[wigeonstep.WorkerID]time.Duration{}
	}
	up := make(map[wigeonstep.WorkerID]bool, len(vms))
	for _, vm := range vms {
		if vm.Worker != "" {
			up[vm.Worker] = vm.State == wigeonstep.VMUp
		}
	}
	for id, l := range t.losses {
		if requested < l.reportedAt {
			continue
		}
		isUp, present := up[id]
		_, seen := t.seenAt[id]
		l.up = present && isUp
		// A worker that is on its VM again has restarted under its id, and may have begun runs by late starts.
		l.ended = !present && (l.ended || seen)
	}
	for id := range up {
		t.seenAt[id] = requested
	}
	for id, at := range t.seenAt {
		if requested-at > seenRetention {
			delete(t.seenAt, id)
		}
	}
}

// verdicts returns the lost workers of a shard that have ended, and those whose VMs are up with them.
func (t *lossTracker) verdicts(partition uint32) (ended, up []*wigeonwire.LostWorker) {
	for id, l := range t.losses {
		lost := &wigeonwire.LostWorker{Worker: string(id), SinceMs: l.since}
		switch {
		case l.partition != partition:
		case l.ended:
			ended = append(ended, lost)
		case l.up:
			up = append(up, lost)
		}
	}
	return ended, up
}
