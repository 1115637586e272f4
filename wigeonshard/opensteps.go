package wigeonshard

import (
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// openSteps lists the open steps that are not done, in the order in which they were opened. What a task
// reserves stands beside each step, so that a search for steps that fit into the free room of a full pool goes over one array
// and not over all waiting jobs. The zero value is empty.
type openSteps struct {
	entries []openStep
	// lastCleanup is the time of the last removal of steps that are done.
	lastCleanup time.Duration
}

// openStep is a step with the resources that each of its tasks reserves.
type openStep struct {
	*step
	reserved wigeonstep.Resources
}

func (l *openSteps) add(s *step) {
	l.entries = append(l.entries, openStep{step: s, reserved: s.Reserved()})
}

// closed reports whether the step needs no more runs, or is not open.
func (s *step) closed() bool {
	return s.over() || !s.isOpen()
}

// openStepsCleanupInterval is the time between two removals of the steps that are done.
const openStepsCleanupInterval = 50 * time.Millisecond

// cleanUp removes the steps that are done, every openStepsCleanupInterval.
func (l *openSteps) cleanUp(now time.Duration) {
	if now-l.lastCleanup < openStepsCleanupInterval {
		return
	}
	l.lastCleanup = now
	l.removeClosed()
}

func (l *openSteps) removeClosed() {
	l.entries = slices.DeleteFunc(l.entries, func(e openStep) bool { return e.closed() })
}

// openStepsOf returns the list for steps of the same kind.
func (o *Owner) openStepsOf(s *step) *openSteps {
	if s.LongRunning {
		return &o.longRunningSteps
	}
	return &o.finiteSteps
}
