package wigeonshard

import (
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

const (
	// clockRate is the assumed minimum rate of a worker's clock relative to this process's clock.
	clockRate = 0.98
	// lapseMargin is the time after the end of a lease at which its runs count as ended.
	lapseMargin = 150 * time.Millisecond
)

// worker is the owner's view of a worker.
type worker struct {
	wigeonstep.ListedWorker
	// listed is set while the worker is in the list of SetWorkers.
	listed bool
	// answered is set once the current process of the worker has answered a heartbeat with this owner's fencing token;
	// from then on it refuses orders of earlier owners.
	answered bool
	// clock is the newest reading of the worker's clock, which arrived at clockAt.
	clock   wigeonstep.WorkerMillis
	clockAt time.Duration
	// leaseEnd is the latest end of any lease that this owner granted, or that an earlier owner may have granted, by the
	// worker's clock.
	leaseEnd wigeonstep.WorkerMillis
	// inheritedRunsEnd is the time at which the runs of earlier owners count as ended if the worker has not answered.
	inheritedRunsEnd time.Duration
	// leasesEndWall is the wall-clock time by which all leases on the worker have ended, while it does not answer; 0
	// otherwise.
	leasesEndWall wigeonstep.UnixMillis
	// lapseRecorded is set while the owner record in the log may hold leasesEndWall; no lease is renewed then.
	lapseRecorded bool

	runs []*run
	used wigeonstep.Resources
	held heldRoom
	// bestEffort counts the best-effort runs.
	bestEffort int
	// speedChangedAt is the time at which the speed of the best-effort runs last changed.
	speedChangedAt time.Duration
	// unexpected counts the runs in the worker's last answer that this owner does not expect there.
	unexpected int

	// lastEnd is the number of the last applied end, flushingEnd of the last one in the pending append, and durableEnd
	// of the last one whose effects are in the log.
	lastEnd, flushingEnd, durableEnd uint64

	heartbeatPending bool
	// heartbeatSentAt is the time at which the newest heartbeat was sent.
	heartbeatSentAt time.Duration
	// nextHeartbeatAt is the earliest time of the next heartbeat.
	nextHeartbeatAt time.Duration
	// renewedAt is the time at which the newest heartbeat was sent, whether or not it renewed the lease.
	renewedAt time.Duration
	// failures counts the heartbeats without an answer, and the answers of another process at the worker's address, since
	// the worker last answered a heartbeat.
	failures int

	// cordoned is the VM of a worker that has to be emptied for maintenance or a move; empty otherwise.
	cordoned wigeonstep.VMID
	// released is set once this owner has decided to release the worker, or the release is in the log.
	released bool

	backoff workerBackoff
}

func (w *worker) ref() wigeonstep.WorkerRef {
	return wigeonstep.WorkerRef{ID: w.ID, Address: w.Address}
}

// recordClock stores a reading of the worker's clock; 0 means that the answer carried none.
func (w *worker) recordClock(clock wigeonstep.WorkerMillis, at time.Duration) {
	if clock == 0 {
		return
	}
	w.clock, w.clockAt = clock, at
}

// minClock returns a time that the worker's clock has certainly reached.
func (w *worker) minClock(now time.Duration) wigeonstep.WorkerMillis {
	return w.clock + wigeonstep.WorkerMillis(float64((now-w.clockAt).Milliseconds())*clockRate)
}

// grantLease returns the end of a new lease of the given length by the worker's clock, and updates leaseEnd.
func (w *worker) grantLease(now, length time.Duration) wigeonstep.WorkerMillis {
	until := w.clock + wigeonstep.WorkerMillis((now - w.clockAt + length).Milliseconds())
	w.leaseEnd = max(w.leaseEnd, until)
	return until
}

// leasesEnded reports whether all leases on the worker have certainly ended, so that nothing runs there any more.
func (w *worker) leasesEnded(now time.Duration) bool {
	if !w.answered {
		return now > w.inheritedRunsEnd
	}
	return w.minClock(now) > w.leaseEnd+wigeonstep.WorkerMillis(lapseMargin.Milliseconds())
}

// leasesEndAt returns the wall-clock time by which all leases that this owner or an earlier one granted have ended.
func (w *worker) leasesEndAt(now Timestamp) wigeonstep.UnixMillis {
	left := w.inheritedRunsEnd - now.Steady
	if w.answered {
		left = time.Duration(float64(w.leaseEnd-w.minClock(now.Steady))/clockRate)*time.Millisecond + lapseMargin
	}
	return now.Wall + wigeonstep.UnixMillis(max(left, 0).Milliseconds())
}

func (w *worker) hasLabel(label wigeonstep.Label) bool {
	return slices.Contains(w.Labels, label)
}

// free returns the capacity that is neither used by runs nor kept for tasks.
func (w *worker) free() wigeonstep.Resources {
	return w.Capacity.Sub(w.used).Sub(w.held.total)
}

// leaving reports whether the worker has to be emptied.
func (w *worker) leaving() bool {
	return w.cordoned != "" || w.Draining
}

// usable reports whether new runs may be placed on the worker.
func (w *worker) usable() bool {
	return w.accepting() && w.cordoned == ""
}

// accepting reports whether the worker would accept new runs, whether or not it is cordoned.
func (w *worker) accepting() bool {
	return w.listed && w.answered && !w.Draining && w.failures == 0 && w.unexpected == 0 && !w.lapseRecorded
}

func (w *worker) attach(r *run) {
	w.runs = append(w.runs, r)
	w.used = w.used.Add(r.task.step.Reserved())
	if r.task.step.BestEffort {
		w.bestEffort++
	}
}

func (w *worker) detach(r *run) {
	i := slices.Index(w.runs, r)
	if i < 0 {
		return
	}
	w.runs = slices.Delete(w.runs, i, i+1)
	w.used = w.used.Sub(r.task.step.Reserved())
	if r.task.step.BestEffort {
		w.bestEffort--
	}
}

// findRun returns the run on the worker, or nil.
func (w *worker) findRun(id wigeonstep.RunID) *run {
	for _, r := range w.runs {
		if r.number == id.Number && r.task.id == id.Task {
			return r
		}
	}
	return nil
}

// countTasks returns the number of runs on the worker, and of holds, for tasks of the step of one occurrence.
func (w *worker) countTasks(s *step) int {
	return w.countRuns(s) + w.held.count(s)
}

// countRuns returns the number of runs on the worker that belong to the step of one occurrence.
func (w *worker) countRuns(s *step) int {
	n := 0
	for _, r := range w.runs {
		if r.task.step == s {
			n++
		}
	}
	return n
}
