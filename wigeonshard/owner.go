package wigeonshard

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonquota"
	"github.com/wigeonstep/wigeonstep/wigeonshare"
)

// Settings are the times and the address that an owner uses.
type Settings struct {
	// Lease is the time after which a worker ends its runs when its lease is not renewed.
	Lease time.Duration
	// MaxLease is the longest lease that a worker grants, at least Lease.
	MaxLease time.Duration
	// HeartbeatWait is the time for which a worker may delay its answer to a heartbeat until a run ends; well below Lease.
	HeartbeatWait time.Duration
	// HeartbeatPause is the time between the answer to a heartbeat and the next heartbeat of the same worker, so that
	// several ends are reported together.
	HeartbeatPause time.Duration
	// ConfirmLimit is the time since the last confirmation of the ownership after which an owner renews no leases. A new
	// owner waits for ConfirmLimit and one Lease before it treats the runs of a worker that it can't reach as ended.
	ConfirmLimit time.Duration
	// Address is the address at which peers reach this process.
	Address string
	// RegisterJobs is set if the first run of a job starts only after JobRegistered.
	RegisterJobs bool
	// TasksPerRecord is the number of tasks in one record, wigeonjob.TasksPerRecord by default.
	TasksPerRecord int
	// MaxOpenTasks limits the tasks in memory, those of open steps, that have no run; defaultMaxOpenTasks by default.
	MaxOpenTasks int
	// MaxSmallRuns limits the runs of tasks that are small for their service; defaultMaxSmallRuns by default.
	MaxSmallRuns int
	// RateWindow is the window over which the jobs of a team are counted against its rate. Without it no job is excess.
	RateWindow wigeonshare.Window
	// FlushBytes is the size of the progress records of one append above which further ones wait for the next append,
	// defaultFlushBytes by default.
	FlushBytes int
}

// Owner makes the decisions for one shard. It is not safe for concurrent use.
type Owner struct {
	settings Settings
	fence    wigeonstep.FencingToken
	// ownedSince is the start of the ownership; confirmedAt is the time at which the log or the group last confirmed it.
	ownedSince  time.Duration
	confirmedAt time.Duration
	// logConfirmedAt is the time at which the newest acknowledged append was sent.
	logConfirmedAt time.Duration
	deposed        bool

	jobs map[wigeonstep.JobID]*job
	// ended holds the durable final states of jobs that are no longer in jobs.
	ended map[wigeonstep.JobID]endedJob
	// opening is the state of the occurrences of jobs that are not open.
	opening opening
	// smallRuns counts the runs that the capacity of the workers doesn't bound enough.
	smallRuns smallRuns
	// longRunningSteps and finiteSteps hold the steps that are not done, and perhaps some that are.
	longRunningSteps, finiteSteps openSteps
	workers                       map[wigeonstep.WorkerID]*worker
	// removedWorkers holds what is kept of workers that are no longer in workers.
	removedWorkers map[wigeonstep.WorkerID]removedWorker
	// heartbeatCount is the number of the newest heartbeat of any worker.
	heartbeatCount uint64
	// sortedWorkers holds the workers sorted by id, so that decisions do not depend on the order of a map.
	sortedWorkers []*worker
	// released holds the workers whose release is in the log.
	released map[wigeonstep.WorkerID]bool
	// absentSince holds the time at which a sweep first found a released worker absent from workers.
	absentSince map[wigeonstep.WorkerID]time.Duration
	// lastSweep is the time of the last search for old releases and crashes.
	lastSweep time.Duration
	// teams holds the teams of the configuration and those of jobs.
	teams map[wigeonstep.TeamName]*team
	// sharing is the division of the room among the teams.
	sharing sharing
	// quotas holds the parts of the teams' limits that this shard may use.
	quotas wigeonquota.Ledger
	// arrivals holds the rate of the work that arrives at each service.
	arrivals map[wigeonstep.ServiceName]*arrivalRate

	// interference is what the owner has learned of tasks that slow each other down on a worker.
	interference interference

	// nextToStart is the index in sortedWorkers at which the next Step begins to send orders.
	nextToStart int

	// lastEmptying is the time of the last search for runs to move off draining and cordoned workers.
	lastEmptying time.Duration
	// lastPlacement is the time of the last round of placement; placementDue is set when an event since then could change
	// the result of the next one.
	lastPlacement time.Duration
	placementDue  bool

	// dirtyJobs holds the jobs whose dirty is set, in the order in which it was set.
	dirtyJobs []*job
	// pendingReleases holds the releases that are not durable yet.
	pendingReleases []wigeonjob.Release
	// expiredReleases holds the workers whose releases are to be removed from the log.
	expiredReleases []wigeonstep.WorkerID
	// droppedJobs holds the ended jobs that are to be removed from the log, droppedKeys the keys of other records.
	droppedJobs []wigeonstep.JobID
	droppedKeys []string
	// ownerRecordDurable is set once a record of this owner is durable; ownerRecordOutdated is set while the lapses in the
	// newest one are out of date.
	ownerRecordDurable  bool
	ownerRecordOutdated bool
	// inheritedLapses holds the lapses in the record of the previous owner.
	inheritedLapses map[wigeonstep.WorkerID]wigeonstep.UnixMillis
	// lastStep is the time of the newest Step.
	lastStep time.Duration
	// isolations holds the workers that are kept for suspected tasks, in the order in which they were chosen.
	isolations []*isolation
	// crashedTasks holds the tasks whose crash history names a worker, or has done so.
	crashedTasks map[wigeonstep.WorkerID][]crashedTask
	// recentLosses holds the losses of workers in the last lossRetention.
	recentLosses []serviceLoss
	// stages holds the times of the stages since the last TakeLoad.
	stages [StageCount]StageTimes
	// lateRuns counts the runs that were withdrawn since the last TakeLoad because their starts could not be sent in time.
	lateRuns int
	// flush is the state in the pending append; nil when none is pending.
	flush *flush
	// out collects the actions that the next Step returns.
	out Actions
}

// NewOwner returns the owner of a shard, after the log has accepted its fencing token. before is the newest owner
// record in the log.
func NewOwner(settings Settings, fence wigeonstep.FencingToken, now Timestamp, before wigeonjob.OwnerRecord) *Owner {
	inherited := map[wigeonstep.WorkerID]wigeonstep.UnixMillis{}
	for _, l := range before.Lapses {
		inherited[l.Worker] = l.At
	}
	return &Owner{
		inheritedLapses: inherited,
		settings:        settings,
		fence:           fence,
		ownedSince:      now.Steady,
		confirmedAt:     now.Steady,
		jobs:            map[wigeonstep.JobID]*job{},
		ended:           map[wigeonstep.JobID]endedJob{},
		workers:         map[wigeonstep.WorkerID]*worker{},
		removedWorkers:  map[wigeonstep.WorkerID]removedWorker{},
		released:        map[wigeonstep.WorkerID]bool{},
		absentSince:     map[wigeonstep.WorkerID]time.Duration{},
		arrivals:        map[wigeonstep.ServiceName]*arrivalRate{},
		teams:           map[wigeonstep.TeamName]*team{},
		crashedTasks:    map[wigeonstep.WorkerID][]crashedTask{},
	}
}

// Fence returns the fencing token of the ownership.
func (o *Owner) Fence() wigeonstep.FencingToken { return o.fence }

// Deposed reports whether a peer has seen a higher fencing token, which means that another owner has replaced this one. The
// caller must discard the owner then.
func (o *Owner) Deposed() bool { return o.deposed }

// WorkerCount returns the number of workers that the owner knows.
func (o *Owner) WorkerCount() int { return len(o.sortedWorkers) }

// Confirm records that the log or the group confirmed the ownership at the time at.
func (o *Owner) Confirm(at time.Duration) { o.confirmedAt = max(o.confirmedAt, at) }

// JobState returns the durable state of a job that this owner holds, or cancelled from the call of CancelJob on. The second
// result is false for an unknown job.
func (o *Owner) JobState(id wigeonstep.JobID) (wigeonjob.State, bool) {
	j := o.jobs[id]
	if j == nil {
		ended, known := o.ended[id]
		return ended.state, known
	}
	if j.cancelled && !j.durableState.Terminal() {
		return wigeonjob.StateCancelled, true
	}
	return j.durableState, true
}

// SetWorkers replaces the list of the workers of this shard's services.
func (o *Owner) SetWorkers(now Timestamp, listed []wigeonstep.ListedWorker) {
	o.placementDue = true
	o.opening.searchDue = o.opening.searchDue || o.opening.deferred > 0
	for _, w := range o.sortedWorkers {
		w.listed = false
	}
	for _, l := range listed {
		w := o.ensureWorker(now, l.ID)
		if w.Address != l.Address {
			if w.Address != "" {
				o.addressChanged(now, w)
			}
			w.addressSince, w.addressConfirmed = now.Steady, false
		}
		if l.StartedAt > w.StartedAt {
			// Another process is up, so a start that is on its way may begin its run there.
			w.gone = false
		}
		shrunk := !l.Capacity.Covers(w.Capacity)
		w.ListedWorker = l
		w.listed = true
		o.awaitFormerOrders(now, w)
		if shrunk {
			o.withdrawExcess(now, w)
		}
	}
	o.removeUnlistedWorkers(now)
	o.smallRuns.setWorkers(o.sortedWorkers)
}

// removeUnlistedWorkers removes the workers that are neither listed nor have a run or an order without an answer, once the
// log holds no lapse of them. A worker that returns may be another process, which must refuse the orders to this one.
func (o *Owner) removeUnlistedWorkers(now Timestamp) {
	o.sortedWorkers = slices.DeleteFunc(o.sortedWorkers, func(w *worker) bool {
		removable := !w.listed && len(w.runs) == 0 && w.ordersInFlight == 0
		if removable && w.lapseRecorded {
			o.ownerRecordOutdated = true
			return false
		}
		if removable {
			for _, h := range slices.Clone(w.held.holds) {
				dropHold(h.task)
			}
			if w.isolation != nil {
				o.dropIsolation(w.isolation.task)
			}
			o.keepToken(now, w)
			delete(o.workers, w.ID)
		}
		return removable
	})
}

// SetCordons marks workers as cordoned, each with its VM. Cordoned workers get no new runs and are emptied. It removes no
// earlier cordon.
func (o *Owner) SetCordons(cordons map[wigeonstep.WorkerID]wigeonstep.VMID) {
	for _, w := range o.sortedWorkers {
		if vm, ok := cordons[w.ID]; ok {
			w.cordoned = vm
		}
	}
}

// Released returns the known workers whose release is in the log.
func (o *Owner) Released() []wigeonstep.WorkerID {
	var released []wigeonstep.WorkerID
	for _, w := range o.sortedWorkers {
		if o.released[w.ID] {
			released = append(released, w.ID)
		}
	}
	return released
}

// AddRelease records that the log holds the release of a worker.
func (o *Owner) AddRelease(r wigeonjob.Release) {
	o.released[r.Worker] = true
	if w := o.workers[r.Worker]; w != nil {
		w.cordoned, w.released = r.VM, true
	}
}

// ensureWorker returns the worker with the id, and creates it when it does not exist. A worker may be known only from the
// progress of a job, without an entry in the list.
func (o *Owner) ensureWorker(now Timestamp, id wigeonstep.WorkerID) *worker {
	if w := o.workers[id]; w != nil {
		return w
	}
	kept := o.removedWorkers[id]
	w := &worker{
		ListedWorker:     wigeonstep.ListedWorker{ID: id},
		inheritedRunsEnd: o.inheritedRunsEnd(now, id),
		tokenRaises:      kept.tokenRaises,
		renewals:         kept.renewals,
		released:         o.released[id],
		appliedHeartbeat: o.heartbeatCount,
	}
	if w.released {
		// The VM of the release is not known here. Any value keeps the worker cordoned, and no second release is written.
		w.cordoned = wigeonstep.VMID(id)
	}
	if at, ok := o.inheritedLapses[id]; ok {
		w.leasesEndWall, w.lapseRecorded = at, true
	}
	o.workers[id] = w
	i, _ := slices.BinarySearchFunc(o.sortedWorkers, id, func(w *worker, id wigeonstep.WorkerID) int { return cmp.Compare(w.ID, id) })
	o.sortedWorkers = slices.Insert(o.sortedWorkers, i, w)
	return w
}

// addressChanged handles a new address of a worker, at which a new process answers. The answers of the new process prove
// which runs of the former one have ended.
func (o *Owner) addressChanged(now Timestamp, w *worker) {
	if w.addressConfirmed {
		prepareForNextProcess(w)
	}
	o.forgetProcess(now, w)
	w.gone = false
	w.backoff = workerBackoff{}
	w.pendingHeartbeat, w.appliedHeartbeat, w.nextHeartbeatAt = 0, o.heartbeatCount, now.Steady
}

// workerRestarted handles a worker that has restarted under its id; result is the first answer of the new process. The answer
// also proves which runs have ended with the old process, except those whose starts were answered after the heartbeat was
// sent: the new process may have them.
func (o *Owner) workerRestarted(now Timestamp, w *worker, result wigeonstep.HeartbeatResult) {
	if w.failures == 0 {
		o.recordLoss(now, w, false)
	}
	// A run that the new process lists was begun by it, and so has not ended with the former one.
	listed := listedRuns(result)
	lost := slices.DeleteFunc(w.sentRuns(), func(r *run) bool { return listed[r.id()] })
	o.countCrash(now, w, lost, true)
	o.confirmCrash(now, w.ID)
	prepareForNextProcess(w)
	o.forgetProcess(now, w)
	// Until the new process has answered an order with its own token, those to the former one may renew its lease.
	w.inheritedRunsEnd = max(w.inheritedRunsEnd, o.settings.longestLeaseEnd(max(now.Steady, w.renewals.until())))
	w.backoff = workerBackoff{}
	o.recordWorkerDecision("worker_reborn", w, "it restarted under the same id")
}

// prepareForNextProcess prepares the runs of a worker for its next process, which knows no stop and no throttle. Runs without an answer
// to a start that it doesn't list when it first answers with its own fencing token will not begin there, because it refuses their
// starts from then on. A run whose record is written but whose start is not sent never starts: a newer owner may have read the record
// and found the run missing in the earlier process.
func prepareForNextProcess(w *worker) {
	w.settled = false
	for _, r := range w.runs {
		if r.phase == runStarting && r.startTries > 0 {
			r.phase, r.unansweredAt = runUnknown, r.sentAt
		}
		if r.phase == runUnknown {
			r.startTries, r.startKnownAt = 0, -1
		}
		r.stopSentAt, r.sentSpeed = 0, -1
		r.stopping = r.stopping || r.phase == runWriting || r.phase == runDurable
	}
}

// maxLostRuns bounds the lost runs that are kept for a task. It is above the usual number of attempts.
const maxLostRuns = 8

// markRunsLost removes the runs of a worker that does not answer which have certainly ended: its leases have.
func (o *Owner) markRunsLost(now Timestamp, w *worker) {
	ended := slices.DeleteFunc(slices.Clone(w.runs), func(r *run) bool { return now.Steady <= o.certainEnd(r) })
	if len(ended) == 0 {
		return
	}
	o.processEnded(now, w, false)
	for _, r := range ended {
		if r.phase == runEnded {
			continue
		}
		r.task.lostRuns = append(r.task.lostRuns, r.number)
		r.task.lostRuns = slices.Delete(r.task.lostRuns, 0, max(len(r.task.lostRuns)-maxLostRuns, 0))
		o.recordRunDecision("run_lost", r, o.lapseCause(r), now.Steady-r.reportedAt)
		o.endRun(now, r, wigeonstep.EndLeaseExpired, r.task.checkpoint)
	}
}

// Step makes the decisions that are due and returns them together with those of the events since the last Step. A deposed
// owner makes no further decisions.
func (o *Owner) Step(now Timestamp) Actions {
	if !o.deposed {
		o.openOccurrences(now)
		o.expireHeartbeats(now)
		o.expireLeases(now)
		o.checkIsolations(now)
		o.releaseWorkers()
		o.sweep(now)
		o.decayInterference(now)
		o.placeTasks(now)
		o.sendRunOrders(now)
		o.sendHeartbeats(now)
		o.startFlush(now)
	}
	o.lastStep = now.Steady
	out := o.out
	o.out = Actions{}
	return out
}

// expireLeases ends the runs of workers that do not answer and whose leases have certainly ended.
func (o *Owner) expireLeases(now Timestamp) {
	for _, w := range o.sortedWorkers {
		// A worker that is known only from the log has no address, so no heartbeat is sent and failures stays 0.
		if len(w.runs) > 0 && (w.failures > 0 || !w.answered) && w.leasesEnded(now.Steady) {
			o.markRunsLost(now, w)
		}
	}
	o.removeUnlistedWorkers(now)
}

// sweepInterval is the time between two searches for old releases and crashes.
const sweepInterval = 10 * time.Second

// sweep removes what an owner would otherwise keep for ever.
func (o *Owner) sweep(now Timestamp) {
	if now.Steady-o.lastSweep < sweepInterval {
		return
	}
	o.lastSweep = now.Steady
	o.removeOldReleases(now)
	o.removeSettledCrashes()
	o.dropOldTokens(now)
}

func (o *Owner) recordRunDecision(event string, r *run, cause string, age time.Duration) {
	decision := Decision{Event: event, Cause: cause, Age: age, Run: r.id()}
	if r.worker != nil {
		decision.Worker = r.worker.ID
		if r.worker.failures > 0 {
			decision.RunAge = r.ageWhenLost()
		}
	}
	o.out.Decisions = append(o.out.Decisions, decision)
}

func (o *Owner) recordJobDecision(event string, j *job, cause string, age time.Duration) {
	o.out.Decisions = append(o.out.Decisions, Decision{Event: event, Cause: cause, Age: age, Run: wigeonstep.RunID{Task: wigeonstep.TaskID{Job: j.ID}}})
}

func (o *Owner) recordWorkerDecision(event string, w *worker, cause string) {
	o.out.Decisions = append(o.out.Decisions, Decision{Event: event, Cause: cause, Worker: w.ID})
}

// wallMargin is the assumed maximum difference between the wall clocks of two VMs. Clocks may be stepped by 2 s in either
// direction, so two VMs may differ by 4 s; the platform itself allows for 5 s.
const wallMargin = 5 * time.Second

func (o *Owner) markDirty(j *job) {
	o.placementDue = true
	if !j.dirty {
		j.dirty = true
		o.dirtyJobs = append(o.dirtyJobs, j)
	}
}
