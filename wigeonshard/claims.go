package wigeonshard

import (
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

const (
	// openAhead is the number of tasks that a step may have in memory beyond those that have had a run. It is more than a round of
	// placement plans for one step in most cases, and far below the limit, so that many wide steps are open side by side.
	openAhead = 2 * wigeonjob.TasksPerRecord
	// maxBypass is the time after which a claim that is too large for the rest of the limit keeps most of what becomes free.
	maxBypass = 10 * time.Second
	// bypassShare is the part of the limit, one in bypassShare, that claims may take past one that has waited for maxBypass. Without
	// it a claim that never fits would keep all others out.
	bypassShare = 8
)

// claims counts what open steps and further occurrences take of the limit on open tasks. Tasks with a run have no part in it: the room
// of the workers and the limit on small runs bound those, and they may last for as long as they like.
type claims struct {
	// size is the size of all claims; further is the part of it that is not the first claim of a job.
	size, further int
	// bypassed is the size of the claims that were made past one that has waited for maxBypass, and that still stand.
	bypassed int
}

// claim is what one step takes of the limit.
type claim struct {
	size, further int
	// open is set while the step has a claim, first for the first claim of a job, bypass for one that was made past another.
	open, first, bypass bool
}

// allowsFurther reports whether the limit allows a claim of a job that has one already.
func (c *claims) allowsFurther(size, limit int) bool {
	return c.size+size <= limit && c.further+size <= limit/2
}

// set changes the claim of a step to a size. Of a first claim only what was claimed at first counts as such.
func (c *claims) set(of *claim, size int) {
	further := size
	if of.first {
		further = max(0, size-stepSize-openAhead)
	}
	c.size += size - of.size
	c.further += further - of.further
	if of.bypass {
		c.bypassed += size - of.size
	}
	of.size, of.further = size, further
}

// updateClaim sets the claim of a step, if it has one, to what its tasks in memory take.
func (p *opening) updateClaim(s *step) {
	if s.claim.open {
		p.set(&s.claim, s.claimSize())
	}
}

// claimSize returns what the step takes of the limit: its tasks in memory without a run and, if any of them waits for one, stepSize.
func (s *step) claimSize() int {
	switch {
	case !s.isOpen():
		return 0
	case s.hasWaiting():
		return stepSize + len(s.tasks) - s.tasksWithRuns
	}
	return len(s.tasks) - s.tasksWithRuns
}

// hasWaiting reports whether a task in memory needs a run, or another one, so that a round of placement looks at the step.
func (s *step) hasWaiting() bool { return s.waiting > s.notInMemory() || s.copiesNeeded > 0 }

// occurrenceOpened counts an occurrence that was opened beside another one of its job.
func (p *opening) occurrenceOpened(j *job, occ *occurrence) {
	occ.further = len(j.occurrences) > 0
	if occ.further {
		p.size += len(j.Steps)
		p.further += len(j.Steps)
	}
}

// occurrenceClosed counts an occurrence that is not open any more.
func (p *opening) occurrenceClosed(occ *occurrence) {
	if occ.further {
		p.size -= len(occ.steps)
		p.further -= len(occ.steps)
	}
	for _, s := range occ.steps {
		p.release(s)
	}
}

// release ends the claim of a step.
func (p *opening) release(s *step) {
	if s.claim.open && s.tasksLeft > 0 {
		s.job.claimingSteps--
	}
	p.set(&s.claim, 0)
	s.claim = claim{}
	p.searchDue = p.searchDue || p.deferred > 0
}

// tasksAhead returns the number of tasks with which a step is opened. A gang starts as a whole, and each task of a long-running step
// is missed for as long as it doesn't run, so they are opened as a whole.
func tasksAhead(s *wigeonjob.Step) int {
	if s.Gang || s.LongRunning {
		return s.Count
	}
	return min(s.Count, openAhead)
}

// over reports whether nothing of the step is left to run.
func (s *step) over() bool {
	return s.tasksLeft == 0 || s.job.state.Terminal() || s.job.cancelled || s.occurrence.closed
}

// openReady opens the steps of an occurrence whose turn has come, or adds them to those that wait.
func (o *Owner) openReady(now Timestamp, occ *occurrence) {
	for _, s := range occ.steps {
		if !s.ready() || s.over() || s.isOpen() {
			continue
		}
		if first := s.claimsFirst(); len(o.opening.steps) == 0 && o.mayClaim(s, first, false) {
			o.extendStep(now, s, first)
		} else {
			o.enqueueStep(now, s)
		}
	}
}

// enqueueStep adds a step to those that wait to be opened or extended.
func (o *Owner) enqueueStep(now Timestamp, s *step) {
	if s.queued {
		return
	}
	s.queued, s.queuedAt = true, now.Steady
	o.opening.steps = append(o.opening.steps, s)
	o.opening.searchDue = true
}

// claimsFirst reports whether the next claim of the step is the first one of its job.
func (s *step) claimsFirst() bool { return !s.isOpen() && s.job.claimingSteps == 0 }

// openSteps opens or extends the steps that wait, as far as the limit allows. Steps that no worker of their service could run now, or of
// which no further run is allowed, come after all others, and have no part in the half of the limit that is reserved for first claims.
func (o *Owner) openSteps(now Timestamp) {
	p := &o.opening
	if len(p.steps) == 0 {
		return
	}
	var held, unsuitable []*step
	suits := suitableWorkers{owner: o}
	// The first claim that has waited for too long comes before all others, one that is not the first of its job before others like it.
	reservedFirst, reservedFurther := false, false
	heldFirst := false
	extend := func(s *step, first bool) {
		s.queued = false
		o.extendStep(now, s, first)
	}
	for _, s := range p.steps {
		first := s.claimsFirst()
		reserved := reservedFirst || !first && reservedFurther
		switch {
		case s.over() || s.end >= s.Count && s.evicted == 0:
			s.queued = false
		case !suits.any(s), o.runsLeft(s) == 0:
			unsuitable = append(unsuitable, s)
		case s.evicted > 0 && heldFirst:
			// It has had a turn in which nothing of it could run, and the other has had none.
			held = append(held, s)
		case o.mayClaim(s, first, reserved):
			extend(s, first)
			s.bypass(p, reserved)
		default:
			held = append(held, s)
			heldFirst = heldFirst || first
			if now.Steady-s.queuedAt > maxBypass {
				reservedFirst, reservedFurther = reservedFirst || first, true
			}
		}
	}
	for _, s := range unsuitable {
		if len(held) == 0 && o.mayClaim(s, false, false) {
			extend(s, false)
		} else {
			held = append(held, s)
		}
	}
	p.steps = held
	o.placementDue = true
}

// bypass marks the claim of the step if it was made past one that has waited too long.
func (s *step) bypass(p *opening, reserved bool) {
	if reserved && !s.claim.bypass {
		s.claim.bypass = true
		p.bypassed += s.claim.size
	}
}

// mayClaim reports whether the limit allows the step to be opened or extended. first is set for the first claim of a job, reserved if
// another step has waited too long. A single claim is always allowed.
func (o *Owner) mayClaim(s *step, first, reserved bool) bool {
	p, limit := &o.opening, o.settings.maxOpenTasks()
	size := s.evicted + s.nextEnd() - s.end
	if !s.isOpen() {
		size = s.nextEnd() - s.base
	}
	if !s.isOpen() || !s.hasWaiting() {
		size += stepSize
	}
	switch {
	case p.size == 0:
		return true
	case reserved && p.bypassed+size > limit/bypassShare:
		return false
	case !first:
		return p.allowsFurther(size, limit)
	}
	return p.size+size <= limit
}

// extendFiniteSteps lets the finite steps that will soon have planned all their tasks in memory wait to be extended. Long-running ones
// are opened as a whole.
func (o *Owner) extendFiniteSteps(now Timestamp) {
	for _, s := range o.finiteSteps.entries {
		if s.needsTasks() {
			o.enqueueStep(now, s.step)
		}
	}
}

// needsTasks reports whether the step is open, and tasks of it were removed from memory or few of those there have had no run, so that
// more should follow.
func (s *step) needsTasks() bool {
	if s.queued || !s.isOpen() {
		return false
	}
	return s.evicted > 0 || s.end < s.Count && s.tasks[max(len(s.tasks)-openAhead/2, 0)].lastRun > 0
}

// suitableWorkers finds out whether any worker could run a step if it had no other run, once for all steps that require the same.
type suitableWorkers struct {
	owner *Owner
	found map[suitability]bool
}

// suitability is what a step requires of a worker.
type suitability struct {
	service  wigeonstep.ServiceName
	label    wigeonstep.Label
	reserved wigeonstep.Resources
}

func (f *suitableWorkers) any(s *step) bool {
	need := suitability{service: s.job.Service, label: s.RequiredLabel, reserved: s.Reserved()}
	suits, known := f.found[need]
	if !known {
		suits = slices.ContainsFunc(f.owner.sortedWorkers, need.metBy)
		if f.found == nil {
			f.found = map[suitability]bool{}
		}
		f.found[need] = suits
	}
	return suits
}

func (n suitability) metBy(w *worker) bool {
	return w.listed && w.Service == n.service && (n.label == "" || w.hasLabel(n.label)) && w.Capacity.Covers(n.reserved)
}
