package wigeonshard

import (
	"iter"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// openSteps lists the open steps that are not done, in the order in which they were opened. What a task
// reserves stands beside each step, so that a search for steps that fit into the free room of a full pool goes over one array
// and not over all waiting jobs. The zero value is empty.
type openSteps struct {
	entries []openStep
	// running holds the steps without a task in memory to place, and perhaps some that have come back to the end of entries since, with
	// the first task that needs a run. returned is set if there are any.
	running  []openStep
	returned bool
	// lastCleanup is the time of the last cleanUp, lastRunningCleanup that of the last removal of steps that are done from running.
	lastCleanup, lastRunningCleanup time.Duration
}

// openStep is a step with the resources that each of its tasks reserves.
type openStep struct {
	*step
	reserved wigeonstep.Resources
}

func (l *openSteps) add(s *step) {
	l.returned = l.returned || s.setApart
	s.setApart = false
	l.entries = append(l.entries, openStep{step: s, reserved: s.Reserved()})
}

// all goes over the steps with tasks to place, and then over the others.
func (l *openSteps) all() iter.Seq[openStep] {
	return func(yield func(openStep) bool) {
		for _, e := range l.entries {
			if !yield(e) {
				return
			}
		}
		for _, e := range l.running {
			if e.setApart && !yield(e) {
				return
			}
		}
	}
}

// closed reports whether the step needs no more runs, or is not open.
func (s *step) closed() bool {
	return s.over() || !s.isOpen()
}

const (
	// openStepsCleanupInterval is the time between two removals of the steps that are done, or have no task to place, from those that
	// each round of placement goes over, runningCleanupInterval that between two removals from the others.
	openStepsCleanupInterval = 50 * time.Millisecond
	runningCleanupInterval   = time.Second
)

// cleanUp removes the steps that are done, and sets those apart that have no task to place.
func (l *openSteps) cleanUp(now time.Duration) {
	if now-l.lastCleanup < openStepsCleanupInterval {
		return
	}
	l.lastCleanup = now
	l.removeClosed()
	if l.returned || now-l.lastRunningCleanup >= runningCleanupInterval {
		l.lastRunningCleanup, l.returned = now, false
		l.running = slices.DeleteFunc(l.running, func(e openStep) bool { return e.closed() || !e.setApart })
	}
	l.entries = slices.DeleteFunc(l.entries, func(e openStep) bool {
		if !e.hasWaiting() && (e.queued || e.notInMemory() == 0) {
			l.running = append(l.running, e)
			e.setApart = true
		}
		return e.setApart
	})
}

func (l *openSteps) removeClosed() {
	l.entries = slices.DeleteFunc(l.entries, func(e openStep) bool { return e.closed() })
}

// taskNeedsRun lists a step among those with tasks to place, if it was set apart.
func (l *openSteps) taskNeedsRun(s *step) {
	if s.setApart {
		l.add(s)
	}
}

// setNeedsCopy sets whether a second run of the task should start.
func (o *Owner) setNeedsCopy(t *task, needed bool) {
	if t.needsCopy == needed {
		return
	}
	t.needsCopy = needed
	s := t.step
	if needed {
		s.copiesNeeded++
		o.openStepsOf(s).taskNeedsRun(s)
	} else {
		s.copiesNeeded--
	}
	o.opening.updateClaim(s)
}

// openStepsOf returns the list for steps of the same kind.
func (o *Owner) openStepsOf(s *step) *openSteps {
	if s.LongRunning {
		return &o.longRunningSteps
	}
	return &o.finiteSteps
}
