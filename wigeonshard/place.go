package wigeonshard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// maxPlannedPerRound bounds the runs that one round plans, so that one append stays small.
const maxPlannedPerRound = 400

// lateFactor times the objective is the time after which a job is worth nothing more.
const lateFactor = 3

// urgency groups steps by what starting them now is worth.
type urgency int

const (
	// urgencyLasting is a long-running step: every second in which it is not at work is lost.
	urgencyLasting urgency = iota
	// urgencyOnTime is a step whose job can still meet its objective.
	urgencyOnTime
	// urgencyLate is a step whose job will be late.
	urgencyLate
	// urgencyOverdue is a step whose job is too late to be worth anything but its promise.
	urgencyOverdue
)

// candidate is a step with tasks to place.
type candidate struct {
	step     *step
	urgency  urgency
	priority int
	// slack is the time that is left until the longest chain that remains has to begin.
	slack time.Duration
}

// place plans runs for the tasks that wait, in the order of compare. Rounds that nothing could change are left out, and
// on a busy shard the events of placeInterval share one.
func (o *Owner) place(now Now) {
	since := now.Steady - o.placed
	if since < placeInterval || !o.changed && since < idlePlaceInterval {
		return
	}
	o.placed, o.changed = now.Steady, false
	candidates := o.candidates(now)
	if len(candidates) == 0 {
		return
	}
	slices.SortStableFunc(candidates, compare)
	r := round{pool: o.pool(now)}
	planned := 0
	for _, c := range candidates {
		if planned >= maxPlannedPerRound || len(r.pool) == 0 {
			o.changed = true
			return
		}
		planned += o.placeStep(now, c.step, &r)
	}
}

const (
	// placeInterval is the pause between two rounds of placement.
	placeInterval = 4 * time.Millisecond
	// idlePlaceInterval is the pause between two rounds when nothing has changed but the time.
	idlePlaceInterval = 100 * time.Millisecond
)

// round is the state of one round of placement.
type round struct {
	// pool holds the workers that may take new work.
	pool []*worker
	// failed holds rooms that no worker of a service has; what needs as much or more need not be tried.
	failed []failedRoom
}

type failedRoom struct {
	service wigeonstep.ServiceName
	room    wigeonstep.Resources
}

// neverFits reports whether a task of the given room has been found not to fit.
func (r *round) neverFits(service wigeonstep.ServiceName, room wigeonstep.Resources) bool {
	for _, f := range r.failed {
		if f.service == service && room.Holds(f.room) {
			return true
		}
	}
	return false
}

// compare orders the steps: by urgency, by the queue's priority, then the one first that can wait least. Long jobs are
// not starved by short ones this way; jobs that can't be on time any more have left the first group.
func compare(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.urgency, b.urgency),
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.slack, b.slack),
	)
}

// candidates returns the steps whose turn has come and that have tasks to place.
func (o *Owner) candidates(now Now) []candidate {
	var found []candidate
	for _, j := range o.order {
		if j.state.Terminal() {
			continue
		}
		for _, occ := range j.occurrences {
			found = appendCandidates(found, now, j, occ)
		}
	}
	return found
}

func appendCandidates(found []candidate, now Now, j *job, occ *occurrence) []candidate {
	for _, s := range occ.steps {
		if s.left == 0 || !s.ready() || !s.wants(now.Steady) {
			continue
		}
		c := candidate{step: s, priority: j.Policy.Priority}
		c.slack, c.urgency = occ.slack(now.Steady, j)
		if s.LongRunning {
			c.urgency = urgencyLasting
		}
		found = append(found, c)
	}
	return found
}

// ready reports whether all tasks of the steps before are done.
func (s *step) ready() bool {
	for _, before := range s.After {
		if s.occurrence.steps[before].left > 0 {
			return false
		}
	}
	return true
}

// wants reports whether a task of the step has to be placed now.
func (s *step) wants(now time.Duration) bool {
	if s.Gang && s.live > 0 {
		return false
	}
	for _, t := range s.tasks {
		if t.waiting() && now >= t.retryAt {
			return true
		}
	}
	return false
}

// slack returns the time until the longest chain that remains has to begin, and what starting it now is worth.
func (occ *occurrence) slack(now time.Duration, j *job) (time.Duration, urgency) {
	objective := j.Objective()
	chain := occ.remainingChain()
	left := objective - (now - occ.due) - chain
	switch {
	case left >= 0:
		return left, urgencyOnTime
	case left >= -(lateFactor-1)*objective:
		return left, urgencyLate
	}
	return left, urgencyOverdue
}

// remainingChain returns the longest chain of estimated durations of the steps that are not done.
func (occ *occurrence) remainingChain() time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(occ.steps))
	for i, s := range occ.steps {
		for _, before := range s.After {
			ends[i] = max(ends[i], ends[before])
		}
		if s.left > 0 {
			ends[i] += s.Estimate
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// pool returns the workers that may take new work.
func (o *Owner) pool(now Now) []*worker {
	var usable, suspect []*worker
	for _, w := range o.roster {
		switch {
		case !w.usable():
		case w.trust.suspect(now.Steady):
			suspect = append(suspect, w)
		default:
			usable = append(usable, w)
		}
	}
	// A fault that hits every worker is not the workers'; beyond a share of the pool suspicion is ignored.
	if spare := len(suspect) - (len(usable)+len(suspect))/maxSuspectShare; spare > 0 {
		usable = append(usable, suspect[:spare]...)
	}
	return usable
}

// placeStep plans runs for the waiting tasks of a step and returns how many.
func (o *Owner) placeStep(now Now, s *step, r *round) int {
	room := s.Room()
	if r.neverFits(s.job.Service, room) {
		return 0
	}
	pool := o.allowed(now, s, r.pool)
	if s.SameRack && s.live == 0 {
		pool = s.oneRack(pool)
	}
	if s.Gang {
		return o.placeGang(s, pool)
	}
	planned := 0
	for _, t := range s.tasks {
		if !t.waiting() || now.Steady < t.retryAt {
			continue
		}
		w := s.choose(t, pool, room)
		if w == nil {
			if s.unrestricted() && len(t.runs) == 0 {
				r.failed = append(r.failed, failedRoom{service: s.job.Service, room: room})
			}
			break
		}
		o.plan(t, w, t.lastRun+1)
		planned++
	}
	return planned
}

// unrestricted reports whether only room decides where the tasks of a step run.
func (s *step) unrestricted() bool {
	return s.MaxPerWorker == 0 && s.RequiredLabel == "" && !s.SameRack && s.job.Policy.Advice == nil
}

// placeGang plans one run for all tasks of a gang, or none.
func (o *Owner) placeGang(s *step, pool []*worker) int {
	number := wigeonstep.RunNumber(0)
	for _, t := range s.tasks {
		number = max(number, t.lastRun)
	}
	number++
	room := s.Room()
	var members []*run
	for _, t := range s.tasks {
		w := s.choose(t, pool, room)
		if w == nil {
			for _, r := range members {
				o.detach(r)
			}
			return 0
		}
		members = append(members, o.reserve(t, w, number))
	}
	for _, r := range members {
		o.commit(r)
	}
	return len(members)
}

// plan adds a run that leaves once the log holds it.
func (o *Owner) plan(t *task, w *worker, number wigeonstep.RunNumber) {
	o.commit(o.reserve(t, w, number))
}

// reserve takes the room of a run, which may still be given back.
func (o *Owner) reserve(t *task, w *worker, number wigeonstep.RunNumber) *run {
	r := &run{task: t, number: number, worker: w, settled: -1, pace: fullPace, paceSent: fullPace}
	o.attach(r)
	return r
}

// commit makes a reserved run a planned one.
func (o *Owner) commit(r *run) {
	r.task.lastRun = r.number
	r.task.copyWanted = false
	o.start(r.task.step.job)
}

// oneRack returns the workers of the rack that holds all tasks of the step with the least room to spare, or the whole
// pool when no rack does.
func (s *step) oneRack(pool []*worker) []*worker {
	racks := map[wigeonstep.Label][]*worker{}
	for _, w := range pool {
		if w.Service == s.job.Service {
			racks[w.Rack] = append(racks[w.Rack], w)
		}
	}
	best, bestFits := pool, 0
	for _, rack := range slices.Sorted(maps.Keys(racks)) {
		fits := 0
		for _, w := range racks[rack] {
			fits += s.fitting(w)
		}
		if fits >= s.left && (bestFits == 0 || fits < bestFits) {
			best, bestFits = racks[rack], fits
		}
	}
	return best
}

// fitting returns how many tasks of the step a worker has room for.
func (s *step) fitting(w *worker) int {
	room, free := s.Room(), w.free()
	n := s.left
	if s.MaxPerWorker > 0 {
		n = min(n, s.MaxPerWorker)
	}
	if room.CPU > 0 {
		n = min(n, int(free.CPU/room.CPU))
	}
	if room.Memory > 0 {
		n = min(n, int(free.Memory/room.Memory))
	}
	if room.GPU > 0 {
		n = min(n, int(free.GPU/room.GPU))
	}
	return max(n, 0)
}
