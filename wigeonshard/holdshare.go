package wigeonshard

import (
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

const (
	// maxShareHoldPart is the number of workers for each one on which room may be kept for teams below their fair share, so that
	// most of the pool stays in full use.
	maxShareHoldPart = 8
	// maxNewShareHolds bounds the searches for such a worker at each division, because each goes over the runs of all workers.
	maxNewShareHolds = 2
	// minShareWait is the time for which a task has to wait before room is kept for it. A task that fits into the room of one
	// ended run gets it sooner in a busy pool.
	minShareWait = 200 * time.Millisecond
)

// updateHeldShares gives up the room that is kept for teams which have reached their fair share, and keeps room for one waiting task
// of each team below it. It does so only while teams that have reached theirs get room for smaller tasks: these would otherwise take
// each piece of room before there is enough for a larger one.
func (o *Owner) updateHeldShares(now Timestamp, r *round) {
	d := &o.sharing
	d.held = slices.DeleteFunc(d.held, func(t *task) bool {
		s := t.step
		if t.hold != nil && (s.closed() || s.job.team == nil || !s.limitAllows() || !d.Owed(&s.job.team.share, s.Reserved())) {
			dropHold(t)
			r.order = newRoomOrder(r.pool)
		}
		return t.hold == nil
	})
	if d.lent == (wigeonstep.Resources{}) {
		return
	}
	searches, most := 0, max(len(r.pool)/maxShareHoldPart, 1)
	capacities := largestCapacities(r.pool)
	var searchedFor *team
	for _, e := range o.finiteSteps.entries {
		if searches >= maxNewShareHolds || len(d.held) >= most {
			return
		}
		if e.job.team == searchedFor || !anyCovers(capacities[e.job.Service], e.reserved) {
			continue
		}
		if t := o.taskToHoldFor(now, e); t != nil {
			searches++
			// Steps of one team that find no worker must not use up the searches of the others.
			searchedFor = e.job.team
			if w := e.soonestWorker(now.Steady, t, r.pool); w != nil && e.limitAllowsBesides(o.uncountedHolds(e.step)) {
				o.holdRoom(t, w, false)
				d.held = append(d.held, t)
				r.order = newRoomOrder(r.pool)
			}
		}
	}
}

// taskToHoldFor returns a task of the step for which room should be kept; nil if there is none.
func (o *Owner) taskToHoldFor(now Timestamp, e openStep) *task {
	team := e.job.team
	// A task that is no larger than one that was lent room would have got that room first.
	if team == nil || o.sharing.lent.Covers(e.reserved) || e.job.excess || e.waiting == 0 || e.closed() || !e.ready() || !e.plain() || !e.limitAllows() || !o.sharing.Owed(&team.share, e.reserved) {
		return nil
	}
	if slices.ContainsFunc(o.sharing.held, func(t *task) bool { return t.step.job.team == team }) {
		return nil
	}
	i := slices.IndexFunc(e.tasks, func(t *task) bool {
		return t.needsRoom(now.Steady) && now.Steady-t.waitingSince >= minShareWait
	})
	if i < 0 {
		return nil
	}
	return e.tasks[i]
}

// largestCapacities returns the capacity of each worker that no other worker's of its service covers. A task that fits into none of
// them would not fit on an empty worker.
func largestCapacities(pool []*worker) map[wigeonstep.ServiceName][]wigeonstep.Resources {
	largest := map[wigeonstep.ServiceName][]wigeonstep.Resources{}
	for _, w := range pool {
		if found := largest[w.Service]; !anyCovers(found, w.Capacity) {
			largest[w.Service] = append(found, w.Capacity)
		}
	}
	return largest
}

// placeHeldShares plans runs for the tasks whose kept room is free, and returns their number.
func (o *Owner) placeHeldShares(now Timestamp, pool []*worker) int {
	planned := 0
	for _, t := range o.sharing.held {
		if t.hold != nil && !t.step.closed() {
			planned += o.placeHeldTasks(now, t.step, pool)
		}
	}
	return planned
}
