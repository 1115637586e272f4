package wigeonsoak

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/wigeonstep/wigeonstep/platform/wigeonstandin"
)

const (
	// maxCrashes is the number of workers that may crash under a task before its further starts are limited to
	// maxStartsAfterCrashes.
	maxCrashes            = 3
	maxStartsAfterCrashes = 2
	// crashesToGiveUp is the number of workers that have crashed under a task of a job that may be given up.
	crashesToGiveUp = 2
	// capacityGrace is the time after a worker has shrunk in which its former capacity still counts.
	capacityGrace = 5 * time.Second
)

// startsAfterCrashes returns a violation if a task that crashes its workers was started too often after some had crashed.
func startsAfterCrashes(task string, runs []*taskRun, crashing bool) []string {
	if !crashing || !strings.HasSuffix(task, ".0.0.0") {
		return nil
	}
	sorted := slices.SortedFunc(slices.Values(runs), func(a, b *taskRun) int { return a.startedAt.Compare(b.startedAt) })
	crashes, starts := 0, 0
	for _, r := range sorted {
		if crashes >= maxCrashes {
			starts++
		}
		if r.endReason == wigeonstandin.CauseCrashed {
			crashes++
		}
	}
	if starts <= maxStartsAfterCrashes {
		return nil
	}
	return []string{fmt.Sprintf("crashes: task %s was started %d times after %d workers had crashed under it", task, starts, maxCrashes)}
}

// mayFail reports whether a job may be reported as failed because workers have crashed under one of its tasks. The caller holds
// h.mu.
func (h *history) mayFail(id string, j *clientJob) bool {
	if j.reportedState != stateFailed {
		return false
	}
	for task, runs := range h.runs {
		crashes := 0
		for _, r := range runs {
			if r.endReason == wigeonstandin.CauseCrashed {
				crashes++
			}
		}
		if strings.HasPrefix(task, id+".") && crashes >= crashesToGiveUp {
			return true
		}
	}
	return false
}

// room is the capacity of a worker, in thousandths of a core, and its use.
type room struct {
	used int
	// capacities holds the capacities that the worker has had, each until a time, the oldest first; the last one holds now.
	capacities []formerCapacity
}

type formerCapacity struct {
	milliCPU int
	until    time.Time
}

// limit returns the largest capacity within capacityGrace before a time.
func (r *room) limit(at time.Time) int {
	limit := r.capacities[len(r.capacities)-1].milliCPU
	for _, c := range r.capacities[:len(r.capacities)-1] {
		if at.Sub(c.until) < capacityGrace {
			limit = max(limit, c.milliCPU)
		}
	}
	return limit
}

// observeRoom follows the capacity and the use of a worker, and records a start that exceeds the capacity unless there was a
// disruption since the worker shrank. The caller holds h.mu.
func (h *history) observeRoom(worker workerProcess, o wigeonstandin.Event) {
	r := h.rooms[worker]
	if r == nil {
		r = &room{capacities: []formerCapacity{{milliCPU: cmp.Or(h.workerMilliCPU, wigeonstandin.WorkerMilliCPU)}}}
		h.rooms[worker] = r
	}
	switch o.Kind {
	case wigeonstandin.Resized:
		r.capacities[len(r.capacities)-1].until = o.At
		r.capacities = append(r.capacities, formerCapacity{milliCPU: o.MilliCPU})
	case wigeonstandin.RunEnded:
		r.used -= wigeonstandin.TaskMilliCPU
	case wigeonstandin.RunStarted:
		r.used += wigeonstandin.TaskMilliCPU
		if limit := r.limit(o.At); r.used > limit {
			h.overloads = append(h.overloads, overload{at: o.At, since: r.shrunkAt(), description: fmt.Sprintf(
				"run %d of task %s starts on %s, which then uses %d of %d millicores", o.Run, o.Task, worker.id, r.used, limit)})
		}
	}
}

// shrunkAt returns the time of the last change of the capacity; zero without one.
func (r *room) shrunkAt() time.Time {
	if len(r.capacities) < 2 {
		return time.Time{}
	}
	return r.capacities[len(r.capacities)-2].until
}

// overload is a start that exceeded the capacity of a worker, which changed last at the time since.
type overload struct {
	at, since   time.Time
	description string
}

// checkOverloads returns a violation for each overload without a disruption since the capacity changed. The caller holds h.mu.
func (h *history) checkOverloads() []string {
	var found []string
	for _, o := range slices.SortedFunc(slices.Values(h.overloads), func(a, b overload) int { return cmp.Compare(a.description, b.description) }) {
		if h.calm(o.since.Add(-calmBefore), o.at) {
			found = append(found, "capacity: "+o.description)
		}
	}
	return found
}
