package wigeonshard

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// This file decides which occurrences of jobs and which of their steps are open. Only the tasks of open steps are in memory, and they
// are limited. Without a limit the memory of an owner would follow from what clients submit: a single scheduled job whose start lies
// in the past has thousands of due occurrences at once.
//
// A job always has one occurrence open, which costs no more than the record of the job. A step is opened once the steps before it are
// done, with the tasks that have had a run and openAhead others; the rest of its tasks are only a number. What has made no progress for
// openTurn while others wait is closed again, so that what can't run, or waits for something else, doesn't keep others out: the progress
// of its tasks is kept as it would be recorded.
//
// Nothing is dropped: what is above the limit is opened in order as others are done or closed. Half of the limit is reserved for the first
// claim of each job, so that wide jobs and the backlog of scheduled jobs delay no other job.

const (
	// defaultMaxOpenTasks is the default of Settings.MaxOpenTasks, twice the tasks of the largest job.
	defaultMaxOpenTasks = 2 * wigeonjob.MaxTasks
	// stepSize is the number of tasks that an open step counts for besides its own, because each round of placement goes over all
	// open steps.
	stepSize = 16
	// openTurn is the time for which a step that begins no task stays open while others wait.
	openTurn = 2 * time.Second
	// closeInterval is the time between two searches for steps to close while others wait.
	closeInterval = 200 * time.Millisecond
	// openInterval is the time between two searches for what to open while the limit keeps something waiting.
	openInterval = 10 * time.Millisecond
)

// opening is the state of what is due and not open. The zero value has nothing.
type opening struct {
	claims
	// jobs holds the jobs with occurrences that are neither open nor done, in the order of their turns.
	jobs []*job
	// steps holds the steps that wait to be opened, or to get more of their tasks, in the order of their turns.
	steps []*step
	// searchDue is set if room may have become free, or something was added, since the last search for what to open.
	searchDue bool
	// nextDue is the earliest due time of the occurrences that were not due at the last search; 0 without any.
	nextDue wigeonstep.UnixMillis
	// deferred counts the due occurrences and the steps that the limit kept from being opened at the last search.
	deferred int
	// lastSearch is the time of the last search for what to open, lastClosing that of the last one for steps to close.
	lastSearch, lastClosing time.Duration
}

func (s *Settings) maxOpenTasks() int { return cmp.Or(s.MaxOpenTasks, defaultMaxOpenTasks) }

// openAdded opens the first due occurrence of a job that was added. The others follow with the next Step.
func (o *Owner) openAdded(now Timestamp, j *job) {
	for _, occ := range j.occurrences {
		o.openReady(now, occ)
	}
	if j.hasDue(now) && o.mayOpen(j) {
		o.openNext(now, j)
	}
	o.addUnopened(j)
}

// addUnopened adds the job to those with occurrences that are not open, if it has any.
func (o *Owner) addUnopened(j *job) {
	if j.unopened || !j.skipOpened() {
		return
	}
	j.unopened = true
	o.opening.jobs = append(o.opening.jobs, j)
	o.opening.searchDue = true
}

// openOccurrences opens the steps that wait and the due occurrences, as far as the limit allows.
func (o *Owner) openOccurrences(now Timestamp) {
	p := &o.opening
	o.closeForOthers(now)
	if !p.searchDue && (p.nextDue == 0 || now.Wall < p.nextDue) || p.deferred > 0 && now.Steady-p.lastSearch < openInterval {
		return
	}
	p.lastSearch = now.Steady
	o.openSteps(now)
	held := o.openDue(now)
	o.recordDeferred(now, held)
	p.searchDue = false
}

// openDue opens due occurrences and returns the jobs of those that the limit keeps waiting. Jobs take turns, each with one occurrence.
func (o *Owner) openDue(now Timestamp) (held []*job) {
	p := &o.opening
	var later []*job
	due := p.jobs
	for len(due) > 0 {
		j := due[0]
		due = due[1:]
		switch {
		case !j.skipOpened():
			j.unopened = false
		case !j.hasDue(now):
			later = append(later, j)
		case o.mayOpen(j):
			o.openNext(now, j)
			due = append(due, j)
		default:
			held = append(held, j)
		}
	}
	p.jobs, p.nextDue = slices.Concat(held, later), earliestDue(later)
	return held
}

// earliestDue returns the earliest time at which an occurrence of the jobs becomes due; 0 without jobs.
func earliestDue(jobs []*job) wigeonstep.UnixMillis {
	earliest := wigeonstep.UnixMillis(0)
	for _, j := range jobs {
		if at := j.DueAt(j.nextOccurrence); earliest == 0 || at < earliest {
			earliest = at
		}
	}
	return earliest
}

// recordDeferred counts what the limit keeps waiting, and logs when that begins and ends.
func (o *Owner) recordDeferred(now Timestamp, held []*job) {
	p := &o.opening
	before := p.deferred
	p.deferred = len(p.steps)
	for _, j := range held {
		p.deferred += j.dueOccurrences(now) - len(j.occurrences) - len(j.finished)
	}
	switch {
	case before == 0 && p.deferred > 0:
		o.out.Decisions = append(o.out.Decisions, Decision{Event: "occurrences_deferred", Cause: fmt.Sprintf("%d tasks and steps are open; %d steps and due occurrences of %d jobs wait", p.size, len(p.steps), len(held))})
	case before > 0 && p.deferred == 0:
		o.out.Decisions = append(o.out.Decisions, Decision{Event: "occurrences_opened", Cause: "all due occurrences and their steps are open"})
	}
}

// mayOpen reports whether the limit allows another occurrence of the job. The first one is always allowed.
func (o *Owner) mayOpen(j *job) bool {
	if len(j.occurrences) == 0 {
		return true
	}
	size := len(j.Steps)
	for n := range j.Steps {
		if s := &j.Steps[n]; len(s.After) == 0 {
			size += stepSize + tasksAhead(s)
		}
	}
	return o.opening.allowsFurther(size, o.settings.maxOpenTasks())
}

// openNext opens the first occurrence of the job that is neither open nor done.
func (o *Owner) openNext(now Timestamp, j *job) {
	o.openReady(now, o.ensureOccurrence(now, j, j.nextOccurrence))
	o.placementDue = true
}

// closeForOthers closes what has been open for a turn without progress, while others wait.
func (o *Owner) closeForOthers(now Timestamp) {
	p := &o.opening
	if p.deferred == 0 || now.Steady-p.lastClosing < closeInterval {
		return
	}
	p.lastClosing, p.searchDue = now.Steady, true
	for _, id := range slices.Sorted(maps.Keys(o.jobs)) {
		j := o.jobs[id]
		for _, occ := range slices.Clone(j.occurrences) {
			if occ.further && now.Steady-occ.openedAt >= openTurn && occ.untouched() {
				o.closeOccurrence(j, occ)
				continue
			}
			for _, s := range occ.steps {
				o.closeIdle(now, s)
			}
		}
		o.addUnopened(j)
	}
	o.longRunningSteps.removeClosed()
	o.finiteSteps.removeClosed()
}

// untouched reports whether no task of the occurrence has had a run, and no room is kept for one.
func (occ *occurrence) untouched() bool {
	for _, s := range occ.steps {
		if s.tasksLeft < s.Count || len(s.closedTasks) > 0 {
			return false
		}
		for _, t := range s.tasks {
			if !t.untouched() {
				return false
			}
		}
	}
	return true
}

// closeOccurrence closes an occurrence that has begun no task, so that it can be opened again later.
func (o *Owner) closeOccurrence(j *job, occ *occurrence) {
	occ.closed = true
	j.removeOccurrence(occ)
	j.nextOccurrence = min(j.nextOccurrence, occ.number)
	o.opening.occurrenceClosed(occ)
}

// skipOpened moves nextOccurrence to the first occurrence that is neither open nor done, and reports whether one may be opened.
func (j *job) skipOpened() bool {
	for j.nextOccurrence < j.Occurrences() && (j.isFinished(j.nextOccurrence) || j.openOccurrence(j.nextOccurrence) != nil) {
		j.nextOccurrence++
	}
	return j.nextOccurrence < j.Occurrences() && !j.cancelled && !j.state.Terminal()
}

// hasDue reports whether an occurrence that is neither open nor done is due.
func (j *job) hasDue(now Timestamp) bool {
	return j.skipOpened() && j.DueAt(j.nextOccurrence) <= now.Wall
}

// dueOccurrences returns the number of occurrences that are due, whether or not they are open or done.
func (j *job) dueOccurrences(now Timestamp) int {
	switch {
	case j.DueAt(0) > now.Wall:
		return 0
	case j.Repeats == 0 || j.Interval == 0:
		return j.Occurrences()
	}
	return min(j.Occurrences(), int((now.Wall-j.StartAt)/wigeonstep.UnixMillis(j.Interval.Milliseconds()))+1)
}

// openOccurrence returns the open occurrence with the number, or nil.
func (j *job) openOccurrence(number int) *occurrence {
	if i, open := j.searchOccurrence(number); open {
		return j.occurrences[i]
	}
	return nil
}

// searchOccurrence returns the place of an open occurrence in occurrences, or the place at which it would be inserted.
func (j *job) searchOccurrence(number int) (int, bool) {
	return slices.BinarySearchFunc(j.occurrences, number, func(occ *occurrence, number int) int { return cmp.Compare(occ.number, number) })
}

func (j *job) removeOccurrence(occ *occurrence) {
	if i, open := j.searchOccurrence(occ.number); open {
		j.occurrences = slices.Delete(j.occurrences, i, i+1)
	}
}

// isFinished reports whether all tasks of the occurrence with the number are done.
func (j *job) isFinished(number int) bool {
	_, finished := slices.BinarySearch(j.finished, number)
	return finished
}
