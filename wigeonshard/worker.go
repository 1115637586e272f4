package wigeonshard

import (
	"cmp"
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
	// addressSince is the time at which this owner got the worker's address. addressConfirmed is set once the worker has
	// answered a heartbeat there.
	addressSince     time.Duration
	addressConfirmed bool
	workerProcess
	// tokenRaises counts how often the token of the orders to the worker was raised, below TokensPerEpoch: for each earlier process
	// that may have got orders of this owner, and for starts that were given up.
	tokenRaises int
	// orderedAt is the time at which this owner last sent the present process an order that starts a run, grants a lease or
	// acknowledges ends; 0 if it sent none.
	orderedAt time.Duration
	// renewals holds the orders that may renew the leases of the present process, or of the next one.
	renewals renewals
	// gone is set while the worker does not answer and its VM was found to have no such worker.
	gone bool
	// inheritedRunsEnd is the time at which the runs of earlier owners, and of earlier processes of the worker, count as
	// ended if the current process has not answered, unless formerOrdersEnd or the certainEnd of a run is later.
	inheritedRunsEnd time.Duration
	// reached is set once a process of the worker has answered this owner.
	reached bool
	// formerOrdersEnd is the time at which all leases have ended that orders of earlier owners to a former process may give the
	// present one; 0 if its entries don't show a recent restart. It counts while the process has not answered.
	formerOrdersEnd time.Duration
	// leasesEndWall is the wall-clock time by which all leases on the worker have ended, while it does not answer; 0
	// otherwise.
	leasesEndWall wigeonstep.UnixMillis
	// lapseRecorded is set while the owner record in the log may hold leasesEndWall; no lease is renewed then.
	lapseRecorded bool

	// runs holds the runs on the worker in the order in which they were added, by run.place; runIndex holds the same runs.
	runs      []*run
	runIndex  map[wigeonstep.RunID]*run
	nextPlace uint64
	// unsentRuns counts the runs of which no start has been sent.
	unsentRuns int
	used       wigeonstep.Resources
	held       heldRoom
	// keepNothingUntil is the earliest time at which room that is not free may be kept on the worker again.
	keepNothingUntil time.Duration
	// bestEffort counts the best-effort runs.
	bestEffort int
	// speedChangedAt is the time at which the speed of the best-effort runs last changed.
	speedChangedAt time.Duration
	// unexpected counts the runs in the worker's last answer that this owner does not expect there.
	unexpected int

	// settled is set while no run on the worker needs an order before the next event about the worker or the run.
	settled bool
	// ordersInFlight counts the starts, stops and throttles without an answer, at most maxOrdersInFlight.
	ordersInFlight int
	// askAtOnce is set when a heartbeat is due at once, also in place of one that waits at the worker.
	askAtOnce bool
	// processInDoubt is set from the time at which a process that may be another than the one that last answered a heartbeat accepted a
	// start, until the next answer to a heartbeat. No heartbeat renews the lease or acknowledges ends meanwhile.
	processInDoubt bool
	// pendingHeartbeat is the number of the newest heartbeat while it has no answer; 0 otherwise. pendingWait is the time for
	// which the worker may delay that answer.
	pendingHeartbeat uint64
	pendingWait      time.Duration
	// overdue is set once the pending heartbeat has been without an answer for longer than its timeout; the next one does not
	// wait for that answer.
	overdue bool
	// appliedHeartbeat is the number of the newest heartbeat whose answer was applied, which was sent at appliedSentAt. An
	// answer to an earlier one is out of date.
	appliedHeartbeat uint64
	appliedSentAt    time.Duration
	// lateAnswers goes up by one with each late answer and down by one with each other; between 0 and maxLateAnswers.
	lateAnswers int
	// heartbeatSentAt is the time at which the newest heartbeat was sent, whether or not it renewed the lease.
	heartbeatSentAt time.Duration
	// nextHeartbeatAt is the earliest time of the next heartbeat.
	nextHeartbeatAt time.Duration
	// failures counts the heartbeats without an answer, and the answers of another process at the worker's address, since
	// the worker last answered a heartbeat. loss describes the first of them.
	failures int
	loss     workerLoss
	// isolation is set while the worker is kept for a suspected task.
	isolation *isolation

	// cordoned is the VM of a worker that has to be emptied for maintenance or a move; empty otherwise.
	cordoned wigeonstep.VMID
	// released is set once this owner has decided to release the worker, or the release is in the log.
	released bool

	backoff workerBackoff
	// neighbours is nil until a best-effort run is on the worker.
	neighbours *workerNeighbours
}

// workerProcess is what the owner knows of the current process of a worker. Clock and end numbers start again with each
// process, so they are never compared across processes. The zero value is a process that has not answered.
type workerProcess struct {
	// answered is set once the process has answered a heartbeat with the present fencing token; from then on it refuses orders of
	// earlier owners, and those that this owner sent to earlier processes.
	answered bool
	// processStartedAt is the start time in the answers of the process; 0 while unknown. The one in the worker's list entry
	// may be older or newer.
	processStartedAt wigeonstep.UnixMillis
	// clock is the newest reading of the worker's clock, which arrived at clockAt.
	clock   wigeonstep.WorkerMillis
	clockAt time.Duration
	// clockLead is an upper bound of the lead of the worker's clock over this process's steady clock: the lowest difference
	// between a reading and the time at which its heartbeat was sent.
	clockLead time.Duration
	// seenAt is the latest time at which the process was certainly up. oldAnswers counts the last answers in a row that
	// were read maxAckAge or more after it.
	seenAt     time.Duration
	oldAnswers int
	// leaseEnd is the latest end of any lease that this owner granted, or that an earlier owner may have granted, by the
	// worker's clock.
	leaseEnd wigeonstep.WorkerMillis
	// lastEnd is the number of the last applied end, flushingEnd of the last one in the pending append, durableEnd of the
	// last one whose effects are in the log, and ackedEnd of the last one that the process has forgotten.
	lastEnd, flushingEnd, durableEnd, ackedEnd uint64
}

func (w *worker) ref() wigeonstep.WorkerRef {
	return wigeonstep.WorkerRef{ID: w.ID, Address: w.Address}
}

// recordAnswer stores when the worker was last certainly up, and the reading of its clock in the answer to a heartbeat that
// was sent at sentAt; 0 means that the answer carried none, or that the worker's process has just started. The answer may be read
// long after the worker gave it.
func (w *worker) recordAnswer(clock wigeonstep.WorkerMillis, sentAt, now time.Duration) {
	w.seenAt = sentAt
	if clock != 0 {
		reading := time.Duration(clock) * time.Millisecond
		if lead := reading - sentAt; w.clock == 0 || lead < w.clockLead {
			w.clockLead = lead
		}
		// The worker's clock is not fast, so it showed the reading at this time or later.
		w.seenAt = min(reading-w.clockLead, now)
	}
	if clock != 0 || w.clock == 0 {
		w.clock, w.clockAt = clock, now
	}
	w.oldAnswers++
	if now-w.seenAt < maxAckAge {
		w.oldAnswers = 0
	}
}

// sameProcessUntil returns the time until which the process that last answered is taken to be up. It is later while all
// answers are read late, so that an owner that falls behind still starts runs and acknowledges ends.
func (w *worker) sameProcessUntil() time.Duration {
	return w.seenAt + maxAckAge<<min(w.oldAnswers, maxAckAgeDoublings)
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
		return now > max(w.inheritedRunsEnd, w.formerOrdersEnd)
	}
	return w.minClock(now) > w.leaseEnd+wigeonstep.WorkerMillis(lapseMargin.Milliseconds())
}

// leaseTimeLeft returns the time after which all leases that this owner or an earlier one granted have ended; negative
// when they have.
func (w *worker) leaseTimeLeft(now time.Duration) time.Duration {
	if !w.answered {
		return max(w.inheritedRunsEnd, w.formerOrdersEnd) - now
	}
	return time.Duration(float64(w.leaseEnd-w.minClock(now))/clockRate)*time.Millisecond + lapseMargin
}

// answerTimeout returns the time after which the answer to a heartbeat is overdue, in addition to the wait at the worker. It
// doubles with each late answer, so that a worker behind a slow link doesn't count as silent for good.
func (w *worker) answerTimeout() time.Duration {
	return minAnswerTimeout << w.lateAnswers
}

// recordDelay adjusts the timeout after an answer.
func (w *worker) recordDelay(late bool) {
	if late {
		w.lateAnswers = min(w.lateAnswers+1, maxLateAnswers)
	} else {
		w.lateAnswers = max(w.lateAnswers-1, 0)
	}
}

func (w *worker) hasLabel(label wigeonstep.Label) bool {
	return slices.Contains(w.Labels, label)
}

// free returns the capacity that is neither used by runs nor kept for tasks.
func (w *worker) free() wigeonstep.Resources {
	return w.Capacity.Sub(w.used).Sub(w.held.total)
}

// leaving reports whether the worker is about to stop, or has to be emptied.
func (w *worker) leaving() bool {
	return w.Draining || w.cordoned != ""
}

// usable reports whether new runs may be placed on the worker.
func (w *worker) usable() bool {
	return w.accepting() && w.cordoned == ""
}

// accepting reports whether the worker would accept new runs, whether or not it is cordoned.
func (w *worker) accepting() bool {
	return w.listed && w.answered && w.clock != 0 && !w.Draining && w.failures == 0 && w.unexpected == 0 && !w.lapseRecorded
}

func (w *worker) attach(r *run) {
	w.settled = false
	if w.runIndex == nil {
		w.runIndex = map[wigeonstep.RunID]*run{}
	}
	w.nextPlace++
	r.place = w.nextPlace
	w.runs = append(w.runs, r)
	w.runIndex[r.id()] = r
	if r.unsent() {
		w.unsentRuns++
	}
	w.used = w.used.Add(r.task.step.Reserved())
	if r.task.step.BestEffort {
		w.bestEffort++
		if w.neighbours == nil {
			w.neighbours = &workerNeighbours{}
		}
	}
}

func (w *worker) detach(r *run) {
	i, found := slices.BinarySearchFunc(w.runs, r.place, func(other *run, place uint64) int { return cmp.Compare(other.place, place) })
	if !found {
		return
	}
	w.settled = false
	w.runs = slices.Delete(w.runs, i, i+1)
	delete(w.runIndex, r.id())
	if r.unsent() {
		w.unsentRuns--
	}
	w.used = w.used.Sub(r.task.step.Reserved())
	if r.task.step.BestEffort {
		w.bestEffort--
		w.neighbours.ended = true
		if w.bestEffort == 0 {
			w.neighbours.targeted.image = ""
		}
	}
}

// youngestRunAge returns the time for which the last started run had been started when the worker was found not to answer; 0
// when it has no run that this owner has started.
func (w *worker) youngestRunAge() time.Duration {
	youngest := time.Duration(0)
	for _, r := range w.runs {
		if age := r.ageWhenLost(); age > 0 && (youngest == 0 || age < youngest) {
			youngest = age
		}
	}
	return youngest
}

// findRun returns the run on the worker, or nil.
func (w *worker) findRun(id wigeonstep.RunID) *run { return w.runIndex[id] }

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
