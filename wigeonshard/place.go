package wigeonshard

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// maxPlannedPerRound is the number of planned runs after which a round ends, so that one append stays small. The last
// step of the round may exceed it.
const maxPlannedPerRound = 400

// lateFactor is the multiple of its objective after which an occurrence counts as overdue instead of late.
const lateFactor = 3

// urgency is the primary order of steps in a round of placement; lower values are placed first.
type urgency int

const (
	// urgencyLongRunning is a long-running step, whose service is missing for as long as it does not run.
	urgencyLongRunning urgency = iota
	// urgencyOnTime is a step whose occurrence can still meet its objective.
	urgencyOnTime
	// urgencyLate is a step whose occurrence will miss its objective, but end within lateFactor times the objective.
	urgencyLate
	// urgencyOverdue is a step whose occurrence will end after lateFactor times its objective. The result has no value by
	// then, but accepted jobs are completed all the same.
	urgencyOverdue
)

// candidate is a ready step with tasks to place.
type candidate struct {
	step     *step
	urgency  urgency
	priority int
	// slack is the time until the longest remaining chain of steps has to start for the objective to be met.
	slack time.Duration
}

// placeTasks plans runs for the waiting tasks in the order of compareCandidates. Without an event that could change the
// result there is one round every idlePlaceInterval; otherwise the events of each placeInterval share one round.
func (o *Owner) placeTasks(now Timestamp) {
	since := now.Steady - o.lastPlacement
	if since < placeInterval || !o.placementDue && since < idlePlaceInterval {
		return
	}
	o.lastPlacement, o.placementDue = now.Steady, false
	o.longRunningSteps.cleanUp(now.Steady)
	o.finiteSteps.cleanUp(now.Steady)
	o.quotas.BeginRound()
	longRunning := o.longRunningCandidates(now)
	r := round{pool: o.pool(now)}
	o.dropUnneededHolds(now, r.pool, servicesWithWaitingTasks(now, longRunning))
	o.placeSteps(now, longRunning, &r)
	if now.Steady-o.lastEmptying >= emptyInterval {
		o.lastEmptying = now.Steady
		o.holdForWaitingTasks(now, longRunning, r.pool)
		o.placeOnCordoned(now, longRunning)
		o.moveRuns(now, r.pool)
	}
	o.extendFiniteSteps(now)
	r.order = newRoomOrder(r.pool)
	if o.sharing.active {
		o.placeShared(now, &r)
	} else {
		o.placeSteps(now, o.finiteCandidates(now, r.order), &r)
	}
	o.reportLongWaits(now, longRunning)
}

// placeSteps plans runs for the waiting tasks of the candidates, in their order.
func (o *Owner) placeSteps(now Timestamp, candidates []candidate, r *round) {
	for _, c := range candidates {
		if r.planned >= maxPlannedPerRound {
			o.placementDue = true
			return
		}
		if c.step.refusedAlready() {
			continue
		}
		if len(r.pool) == 0 && c.step.suspects == 0 {
			// Only a suspected task may have a worker that is kept for it.
			o.placementDue = true
			continue
		}
		r.planned += o.placeStep(now, c.step, r)
	}
}

const (
	// placeInterval is the minimum time between two rounds of placement.
	placeInterval = 4 * time.Millisecond
	// idlePlaceInterval is the time between two rounds when nothing but the time has changed.
	idlePlaceInterval = 100 * time.Millisecond
)

// round is the state of one round of placement.
type round struct {
	// pool holds the workers that accept new runs.
	pool []*worker
	// order is the pool in the order of plain steps; nil while it is not known, because other runs have been planned since.
	order roomOrder
	// planned counts the runs that were planned in the round.
	planned int
	// taskLimit is the number of tasks of the current step that may be planned; 0 sets no limit. A gang is planned whole.
	taskLimit int
	// unplaceable holds requests for which no worker of a service has room; requests for as much or more are not tried.
	unplaceable []unplaceableRequest
}

type unplaceableRequest struct {
	service  wigeonstep.ServiceName
	reserved wigeonstep.Resources
	// orderPlaces is that of the step if workers have room for the request, and too many runs whose starts have not been sent; 0 if
	// none has room.
	orderPlaces int
}

// limitReached reports whether no further task of the current step may be planned.
func (r *round) limitReached(planned int) bool { return r.taskLimit > 0 && planned >= r.taskLimit }

// noteUnplaceable records that no worker takes a task of the step that needs no particular one.
func (r *round) noteUnplaceable(s *step, reserved wigeonstep.Resources) {
	request := unplaceableRequest{service: s.job.Service, reserved: reserved}
	awaitsOrders := func(w *worker) bool {
		return w.Service == s.job.Service && !s.maySendOrdersTo(w) && w.free().Covers(reserved)
	}
	if slices.ContainsFunc(r.pool, awaitsOrders) {
		request.orderPlaces = s.orderPlaces()
	}
	r.unplaceable = append(r.unplaceable, request)
}

// cannotFit reports whether a request that is no larger has already been found not to fit in this round.
func (r *round) cannotFit(s *step, reserved wigeonstep.Resources) bool {
	for _, f := range r.unplaceable {
		if f.service == s.job.Service && reserved.Covers(f.reserved) && (f.orderPlaces == 0 || s.orderPlaces() <= f.orderPlaces) {
			return true
		}
	}
	return false
}

// compareCandidates orders steps by urgency, by the priority of their queue, then by slack. Short jobs can't starve long
// ones this way, because slack shrinks as a job waits. Jobs that can no longer be on time are less urgent, so they don't
// delay those that can.
func compareCandidates(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.urgency, b.urgency),
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.slack, b.slack),
	)
}

// longRunningCandidates returns the long-running steps with tasks to place, in the order in which they are placed.
func (o *Owner) longRunningCandidates(now Timestamp) []candidate {
	var found []candidate
	for _, s := range o.longRunningSteps.entries {
		if o.runsLeft(s.step) > 0 || s.hasHold() {
			found = appendIfPlaceable(found, now, s.step)
		}
	}
	slices.SortStableFunc(found, compareCandidates)
	return found
}

// finiteCandidates returns the finite steps with tasks to place, without those whose tasks have room on no worker of the pool, in
// the order in which they are placed.
func (o *Owner) finiteCandidates(now Timestamp, pool roomOrder) []candidate {
	var found []candidate
	rooms := pool.largestRooms()
	for _, s := range o.finiteSteps.entries {
		// With an empty pool the steps are looked at all the same, so that another round is due.
		if (len(pool) == 0 || s.suspects > 0 || anyCovers(rooms, s.reserved)) && o.runsLeft(s.step) > 0 {
			found = appendIfPlaceable(found, now, s.step)
		}
	}
	slices.SortStableFunc(found, compareCandidates)
	return found
}

// appendIfPlaceable appends the step if its dependencies are done and it has tasks to place.
func appendIfPlaceable(found []candidate, now Timestamp, s *step) []candidate {
	if s.closed() || !s.ready() || !s.hasPlaceableTask(now.Steady) {
		return found
	}
	return append(found, newCandidate(now, s))
}

func newCandidate(now Timestamp, s *step) candidate {
	c := candidate{step: s, priority: s.job.Policy.Priority}
	c.slack, c.urgency = s.occurrence.slack(now.Steady, s.job)
	if s.LongRunning {
		c.urgency = urgencyLongRunning
	}
	return c
}

// ready reports whether all tasks of the steps in After are done.
func (s *step) ready() bool { return s.blocked == 0 }

// hasPlaceableTask reports whether a task of the step can be placed now. A gang is placed only while none of its members
// has a run.
func (s *step) hasPlaceableTask(now time.Duration) bool {
	if !s.hasWaiting() || s.Gang && s.liveRuns > 0 {
		return false
	}
	for _, t := range s.tasks {
		if t.needsRun() && now >= t.retryAt {
			return true
		}
	}
	return false
}

// slack returns the time until the longest remaining chain has to start for the objective to be met, negative when it is
// too late, and the urgency that follows from it.
func (occ *occurrence) slack(now time.Duration, j *job) (time.Duration, urgency) {
	left := occ.latestStart - now
	switch {
	case left >= 0:
		return left, urgencyOnTime
	case left >= -(lateFactor-1)*j.objective:
		return left, urgencyLate
	}
	return left, urgencyOverdue
}

// remainingChain returns the estimated duration of the longest chain of dependent steps that are not done.
func (occ *occurrence) remainingChain() time.Duration {
	var longest time.Duration
	// Few jobs have more steps than fit on the stack.
	var few [8]time.Duration
	ends := append(few[:0], make([]time.Duration, len(occ.steps))...)
	for i, s := range occ.steps {
		for _, before := range s.After {
			ends[i] = max(ends[i], ends[before])
		}
		if s.tasksLeft > 0 {
			ends[i] += s.Estimate
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// pool returns the workers that accept new runs.
func (o *Owner) pool(now Timestamp) []*worker {
	var usable, suspect []*worker
	for _, w := range o.sortedWorkers {
		switch {
		case !w.usable(), w.isolation != nil:
		case w.backoff.active(now.Steady):
			suspect = append(suspect, w)
		default:
			usable = append(usable, w)
		}
	}
	// A fault that affects most workers is probably not theirs, so at most one in maxSuspectShare workers is left out.
	if spare := len(suspect) - (len(usable)+len(suspect))/maxSuspectShare; spare > 0 {
		usable = append(usable, suspect[:spare]...)
	}
	return usable
}

// placeStep plans runs for the waiting tasks of a step and returns their number.
func (o *Owner) placeStep(now Timestamp, s *step, r *round) int {
	reserved := s.Reserved()
	planned := 0
	if s.suspects > 0 {
		r.order = nil
		planned = o.placeSuspects(now, s, r.pool)
		if s.Gang {
			return planned
		}
		r.pool = slices.DeleteFunc(slices.Clone(r.pool), func(w *worker) bool { return w.isolation != nil })
	}
	if s.LongRunning {
		r.order = nil
		planned += o.placeHeldTasks(now, s, r.pool)
	}
	left := o.runsLeft(s)
	if left == 0 || r.cannotFit(s, reserved) {
		return planned
	}
	if s.plain() {
		return o.placePlainStep(now, s, r, planned, left)
	}
	r.order = nil
	pool := o.eligibleWorkers(now, s, r.pool)
	if s.SameRack && s.liveRuns == 0 {
		pool = s.smallestFittingRack(pool)
	}
	if s.Gang {
		return o.placeGang(s, pool)
	}
	for _, t := range s.tasks {
		if !t.needsRun() || now.Steady < t.retryAt || t.mustIsolate(now.Steady) {
			continue
		}
		if r.limitReached(planned) || left == 0 {
			break
		}
		w := s.chooseWorker(t, pool, reserved)
		if w == nil {
			if s.unrestricted() && len(t.runs) == 0 {
				r.noteUnplaceable(s, reserved)
			}
			break
		}
		if !s.withinLimit() {
			break
		}
		o.planRun(t, w, t.lastRun+1)
		planned++
		left--
	}
	return planned
}

// placePlainStep plans at most left runs for the waiting tasks of a plain step, of which some are planned already, and returns the number
// of all.
func (o *Owner) placePlainStep(now Timestamp, s *step, r *round, planned, left int) int {
	reserved := s.Reserved()
	for _, t := range s.tasks {
		if !t.needsRun() || now.Steady < t.retryAt || t.mustIsolate(now.Steady) {
			continue
		}
		if r.limitReached(planned) || left == 0 {
			break
		}
		if r.order == nil {
			r.order = newRoomOrder(r.pool)
		}
		place, ok := r.order.choose(s, t, reserved)
		if !ok {
			if s.unrestricted() && len(t.runs) == 0 {
				r.noteUnplaceable(s, reserved)
			}
			break
		}
		if !s.withinLimit() {
			break
		}
		o.planRun(t, r.order[place].worker, t.lastRun+1)
		r.order.reorder(place)
		planned++
		left--
	}
	return planned
}

// unrestricted reports whether room is the only condition for the worker of a task of the step.
func (s *step) unrestricted() bool {
	return s.MaxPerWorker == 0 && s.RequiredLabel == "" && !s.SameRack && s.job.Policy.Advice == nil
}

// placeGang plans a run for each task of a gang, all with the same run number, or none when a task doesn't fit.
func (o *Owner) placeGang(s *step, pool []*worker) int {
	// The limit is asked for all members at once, so it is not asked again for each.
	if !s.limitAllows() {
		if s.fitsLimit() && s.chooseWorker(s.tasks[0], pool, s.Reserved()) != nil {
			s.withinLimit()
		}
		return 0
	}
	number := wigeonstep.RunNumber(0)
	for _, t := range s.tasks {
		number = max(number, t.lastRun)
	}
	number++
	reserved := s.Reserved()
	var members []*run
	for _, t := range s.tasks {
		w := s.chooseWorker(t, pool, reserved)
		if w == nil {
			for _, r := range members {
				o.detach(r)
			}
			return 0
		}
		members = append(members, o.reserveRun(t, w, number))
	}
	for _, r := range members {
		o.commitRun(r)
	}
	return len(members)
}

// planRun adds a planned run, whose start is sent once its record is durable.
func (o *Owner) planRun(t *task, w *worker, number wigeonstep.RunNumber) {
	o.commitRun(o.reserveRun(t, w, number))
}

// reserveRun adds a run that occupies room on the worker; detach releases the room again.
func (o *Owner) reserveRun(t *task, w *worker, number wigeonstep.RunNumber) *run {
	dropHold(t)
	t.step.activeAt = o.lastPlacement
	r := &run{task: t, number: number, worker: w, startKnownAt: -1, speed: fullSpeed, sentSpeed: fullSpeed}
	o.attach(r)
	return r
}

// commitRun makes a reserved run the newest run of its task.
func (o *Owner) commitRun(r *run) {
	r.task.lastRun = r.number
	o.setNeedsCopy(r.task, false)
	o.markTaskDirty(r.task)
}
