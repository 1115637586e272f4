package wigeonshard

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonshare"
)

// sharing is the division of a shard's room among teams, and what is reused between its rounds. The zero value is that of a
// deployment without teams.
type sharing struct {
	wigeonshare.Order
	// active is set while the configuration in force has teams.
	active bool
	// teams holds all teams sorted by name, so that sums don't depend on the order of a map, and shares their shares.
	teams  []*team
	shares []*wigeonshare.Team
	// dividedAt is the time of the last division. lent holds the largest fields of the tasks that teams got since then although
	// they had reached their fair shares.
	dividedAt time.Duration
	lent      wigeonstep.Resources
	// candidates is reused by each round.
	candidates []sharedCandidate
	roundRoom
	// held holds the tasks of teams below their fair share for which room is kept, and perhaps some that have got it.
	held []*task
}

// teamShare is what decides when the steps of a team get room.
type teamShare struct {
	share    wigeonshare.Team
	arrivals wigeonshare.Arrivals
	// configured is set if the configuration in force has the team.
	configured bool
	// waitingTasks counts the ready tasks without a run, as of the last division.
	waitingTasks int
	// excessJobs counts the excess jobs that have not ended.
	excessJobs int
}

// add inserts a team.
func (d *sharing) add(t *team) {
	i, _ := slices.BinarySearchFunc(d.teams, t.Name, func(t *team, name wigeonstep.TeamName) int { return cmp.Compare(t.Name, name) })
	d.teams = slices.Insert(d.teams, i, t)
	d.shares = slices.Insert(d.shares, i, &t.share)
}

// setWeights takes over the weights of the teams. Without teams in the configuration, steps are placed as if jobs had no team.
func (o *Owner) setWeights(active bool) {
	o.sharing.active, o.sharing.dividedAt = active, 0
	for _, t := range o.sharing.teams {
		t.share.SetWeight(t.Weight)
	}
	if !active {
		for _, t := range o.sharing.held {
			dropHold(t)
		}
		o.sharing.held = nil
	}
}

// countArrival counts a job against the rate of its team, and reports whether the job is excess. A team that the configuration does
// not have has no rate.
func (o *Owner) countArrival(accepted *wigeonjob.Job) bool {
	if accepted.Team == "" || o.settings.RateWindow.Length <= 0 {
		return false
	}
	t := o.ensureTeam(accepted.Team)
	return t.configured && t.arrivals.Excess(o.settings.RateWindow, t.share.Weight(), accepted.Accepted)
}

// addJob counts a job of the team that has not ended.
func (t *team) addJob(j *job, excess bool) {
	if excess {
		j.excess = true
		t.excessJobs++
	}
}

// sharedCandidate is a ready finite step in a deployment with teams.
type sharedCandidate struct {
	*openStep
	// class orders steps by urgency, excess and the priority of the queue; those of a class without a team come first.
	class stepClass
	slack time.Duration
	// index is the place of the step among those of the round, in the order of acceptance.
	index int
}

// stepClass is what precedes the order of teams, in one number: urgency, whether the job is excess, the priority of the queue, and
// whether the job has a team.
type stepClass int64

const (
	// maxPriority bounds the priorities that are told apart.
	maxPriority   = 1 << 30
	priorityShift = 1
	excessShift   = 40
	urgencyShift  = 41
)

func newStepClass(s *step, u urgency) stepClass {
	priority := min(max(s.job.Policy.Priority, -maxPriority), maxPriority) + maxPriority
	class := stepClass(u)<<urgencyShift | stepClass(priority)<<priorityShift
	if s.job.excess {
		class |= 1 << excessShift
	}
	if s.job.team != nil {
		class |= 1
	}
	return class
}

func (c stepClass) hasTeam() bool { return c&1 != 0 }

func compareShared(a, b sharedCandidate) int {
	switch {
	case a.class != b.class:
		return cmp.Compare(a.class, b.class)
	case a.slack != b.slack:
		return cmp.Compare(a.slack, b.slack)
	}
	return cmp.Compare(a.index, b.index)
}

// divisionInterval is the time between two divisions of the room, each of which takes a pass over the waiting steps.
const divisionInterval = 50 * time.Millisecond

// placeShared plans runs for the waiting finite tasks in a deployment with teams. docs/design/shares.md gives the order.
func (o *Owner) placeShared(now Timestamp, r *round) {
	d := &o.sharing
	if now.Steady-d.dividedAt >= divisionInterval {
		o.divideRoom(r.pool)
		o.updateHeldShares(now, r)
		d.dividedAt, d.lent = now.Steady, wigeonstep.Resources{}
	}
	r.planned += o.placeHeldShares(now, r.pool)
	candidates := o.sharedCandidates(now, r.order)
	for len(candidates) > 0 && o.hasTurn(r) {
		n := 1
		for n < len(candidates) && candidates[n].class == candidates[0].class {
			n++
		}
		if candidates[0].class.hasTeam() {
			o.placeTeams(now, candidates[:n], r)
		} else {
			o.placeTeamless(now, candidates[:n], r)
		}
		candidates = candidates[n:]
	}
}

// hasTurn reports whether the round may go on. It makes another round due if this one has planned enough.
func (o *Owner) hasTurn(r *round) bool {
	if r.planned >= maxPlannedPerRound {
		o.placementDue = true
		return false
	}
	d := &o.sharing
	if len(r.unplaceable) >= 2*d.failures && len(r.unplaceable) > 0 && r.order != nil {
		// Steps have found no room, so there may be none for any other. The search goes over the pool, so it is not repeated for each.
		d.failures = len(r.unplaceable)
		d.exhausted = !d.special && !r.order.hasRoom(d.smallest)
	}
	return !d.exhausted
}

// hasRoom reports whether a worker has room for a task.
func (order roomOrder) hasRoom(need wigeonstep.Resources) bool {
	return slices.ContainsFunc(order, func(w orderedWorker) bool { return w.free().Covers(need) })
}

// roundRoom says whether the candidates of a round may still find room. The zero value says so.
type roundRoom struct {
	// smallest holds the smallest fields of what the tasks of the candidates reserve.
	smallest wigeonstep.Resources
	// special is set if there is a candidate that has to be looked at although there is no room: one with a suspected task, or
	// one for which the advice service is asked.
	special bool
	// failures counts the requests of the round without room when exhausted was last set.
	failures  int
	exhausted bool
}

func (r *roundRoom) add(e *openStep) {
	r.smallest = r.smallest.Min(e.reserved)
	r.special = r.special || e.suspects > 0 || e.job.Policy.Advice != nil
}

// sharedCandidates returns the finite steps like finiteCandidates, in the order of compareShared. The result is valid until the next
// call.
func (o *Owner) sharedCandidates(now Timestamp, pool roomOrder) []sharedCandidate {
	found := o.sharing.candidates[:0]
	rooms := pool.largestRooms()
	o.sharing.roundRoom = roundRoom{special: len(pool) == 0}
	for i := range o.finiteSteps.entries {
		e := &o.finiteSteps.entries[i]
		// With an empty pool the steps are looked at all the same, so that another round is due.
		if len(pool) > 0 && e.suspects == 0 && !anyCovers(rooms, e.reserved) || e.closed() || !e.ready() || !e.hasPlaceableTask(now.Steady) || o.runsLeft(e.step) == 0 {
			continue
		}
		if len(found) == 0 {
			o.sharing.smallest = e.reserved
		}
		o.sharing.roundRoom.add(e)
		c := sharedCandidate{openStep: e, index: len(found)}
		slack, urgency := e.occurrence.slack(now.Steady, e.job)
		c.slack, c.class = slack, newStepClass(e.step, urgency)
		found = append(found, c)
	}
	slices.SortFunc(found, compareShared)
	if before := o.sharing.candidates; len(before) > len(found) {
		// Steps that are done are not kept in memory.
		clear(before[len(found):])
	}
	o.sharing.candidates = found
	return found
}

// placeTeamless plans runs for steps without a team, in their order.
func (o *Owner) placeTeamless(now Timestamp, steps []sharedCandidate, r *round) {
	for _, c := range steps {
		if !o.hasTurn(r) {
			return
		}
		o.placeShare(now, c.step, r, 0)
	}
}

// placeTeams plans runs for steps of one class, in the order of their teams.
func (o *Owner) placeTeams(now Timestamp, class []sharedCandidate, r *round) {
	d := &o.sharing
	d.Begin()
	for _, c := range class {
		d.Append(&c.job.team.share, c.reserved)
	}
	for o.hasTurn(r) {
		i, tasks, ok := d.Next()
		if !ok {
			return
		}
		s := class[i].step
		if d.Filling() {
			tasks = max(tasks, s.Count/maxTurnsPerStep)
		}
		planned := o.placeShare(now, s, r, tasks)
		if planned > 0 && d.Filling() {
			d.lent = d.lent.Max(class[i].reserved)
		}
		d.Planned(planned >= tasks && s.waiting > 0)
	}
}

// maxTurnsPerStep bounds the number of turns in which the tasks of one step are planned in a round, since each turn searches them
// from the first one on.
const maxTurnsPerStep = 64

// placeShare plans runs for at most limit waiting tasks of a step, all of them if limit is 0, and returns their number.
func (o *Owner) placeShare(now Timestamp, s *step, r *round, limit int) int {
	if len(r.pool) == 0 && s.suspects == 0 {
		// Only a suspected task may have a worker that is kept for it.
		o.placementDue = true
		return 0
	}
	if s.refusedAlready() {
		return 0
	}
	r.taskLimit = limit
	planned := o.placeStep(now, s, r)
	r.taskLimit = 0
	r.planned += planned
	return planned
}

// divideRoom finds the fair levels of the teams from what runs and what waits.
func (o *Owner) divideRoom(pool []*worker) {
	d := &o.sharing
	var capacity, others wigeonstep.Resources
	for _, w := range pool {
		capacity, others = capacity.Add(w.Capacity), others.Add(w.used)
	}
	for _, t := range d.teams {
		t.share.ResetWaiting()
		t.waitingTasks = 0
		others = others.Sub(t.share.Use())
	}
	countWaiting(o.longRunningSteps.entries)
	countWaiting(o.finiteSteps.entries)
	d.Divide(capacity, others, d.shares)
}

// countWaiting adds the ready tasks without a run to what their teams wait for.
func countWaiting(entries []openStep) {
	for _, e := range entries {
		if t := e.job.team; t != nil && e.waiting > 0 && e.ready() && !e.closed() {
			t.share.AddWaiting(e.waiting, e.reserved)
			t.waitingTasks += e.waiting
		}
	}
}
