package wigeonsoak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/wigeonstep/wigeonstep/platform/wigeonstandin"
)

// clientJob is one submitted job as its client knows it.
type clientJob struct {
	// acceptedAt is the time of the acknowledgement, and refusedAt the time of a refusal that no attempt with an unknown
	// outcome preceded. Each is zero until then.
	acceptedAt, refusedAt time.Time
	// cancelled is set once a cancellation was acknowledged.
	cancelled   bool
	longRunning bool
	// reportedState is the state that the latest successful query returned; it is empty before one.
	reportedState string
}

// taskRun is one run of a task as its worker observed it.
type taskRun struct {
	worker    string
	number    uint32
	startedAt time.Time
	// endedAt is zero while the task runs.
	endedAt time.Time
	// endReason is set together with endedAt.
	endReason string
	// endAcknowledged is set once the owner has acknowledged the end to the worker, unless the lease of the worker expired
	// between the end and the acknowledgement.
	endAcknowledged bool
}

// history collects what clients and workers observe during a soak.
type history struct {
	mu sync.Mutex
	// jobs is keyed by job ID.
	jobs map[string]*clientJob
	// runs is keyed by task ID, which is the job ID followed by ".OCCURRENCE.STEP.INDEX".
	runs map[string][]*taskRun
	// leaseExpiredAt holds the time at which the lease of a worker last expired, by worker ID.
	leaseExpiredAt map[string]time.Time
	violations     []string
}

func newHistory() *history {
	return &history{jobs: map[string]*clientJob{}, runs: map[string][]*taskRun{}, leaseExpiredAt: map[string]time.Time{}}
}

// recordViolation records a violated guarantee, or a failed operation of the soak itself, while the soak runs. The text begins
// with one of the categories that check lists, followed by a colon.
func (h *history) recordViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// observe records an event of a worker.
func (h *history) observe(o wigeonstandin.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch o.Kind {
	case wigeonstandin.RunStarted:
		h.runs[o.Task] = append(h.runs[o.Task], &taskRun{worker: o.Worker, number: o.Run, startedAt: o.At})
	case wigeonstandin.LeaseExpired:
		h.leaseExpiredAt[o.Worker] = o.At
	default:
		for _, r := range h.runs[o.Task] {
			if r.worker != o.Worker || r.number != o.Run {
				continue
			}
			if o.Kind == wigeonstandin.EndAcknowledged {
				r.endAcknowledged = r.endAcknowledged || !h.leaseExpiredAt[o.Worker].After(r.endedAt)
				continue
			}
			r.endedAt, r.endReason = o.At, o.Cause
		}
	}
}

// check returns the recorded violations and those that the history shows. A violation begins with its category: "twice" is
// a task that ran more than once, "lost" an accepted job that did not reach its expected state, "refused" a refused job
// that ran, "unrequested" a run that no client asked for; "client", "process" and "soak" name where an operation failed.
func (h *history) check() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	found := slices.Clone(h.violations)
	for _, task := range slices.Sorted(maps.Keys(h.runs)) {
		id, _, _ := strings.Cut(task, ".")
		j := h.jobs[id]
		switch {
		case j == nil:
			found = append(found, fmt.Sprintf("unrequested: task %s started although no client submitted its job", task))
		case !j.refusedAt.IsZero() && j.acceptedAt.IsZero():
			found = append(found, fmt.Sprintf("refused: task %s started although its job was refused", task))
		}
		found = append(found, duplicateRuns(task, h.runs[task])...)
	}
	for _, id := range slices.Sorted(maps.Keys(h.jobs)) {
		j := h.jobs[id]
		if j.acceptedAt.IsZero() || j.cancelled {
			continue
		}
		if !j.longRunning && j.reportedState != "completed" {
			found = append(found, fmt.Sprintf("lost: accepted job %s is reported as %q", id, j.reportedState))
		}
		if j.longRunning && j.reportedState != "running" {
			found = append(found, fmt.Sprintf("lost: accepted long-running job %s is reported as %q", id, j.reportedState))
		}
	}
	return found
}

// duplicateRuns returns a violation for each pair of runs of a task that overlap, or of which the later one started
// although the earlier one had completed and its end was acknowledged. A task may run again after a run that did not
// complete or whose end was not acknowledged.
func duplicateRuns(task string, runs []*taskRun) []string {
	var found []string
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if b.startedAt.Before(a.startedAt) {
				a, b = b, a
			}
			if a.endedAt.IsZero() || b.startedAt.Before(a.endedAt) {
				found = append(found, fmt.Sprintf("twice: task %s run %d on %s overlaps run %d on %s", task, a.number, a.worker, b.number, b.worker))
			} else if a.endReason == wigeonstandin.CauseDone && a.endAcknowledged {
				found = append(found, fmt.Sprintf("twice: task %s run %d on %s started after run %d on %s had completed", task, b.number, b.worker, a.number, a.worker))
			}
		}
	}
	return found
}

func (h *history) add(id string, j *clientJob) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs[id] = j
}

// update applies a change to a job that was added, with the lock held.
func (h *history) update(id string, apply func(*clientJob)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	apply(h.jobs[id])
}

func (h *history) jobByID(id string) clientJob {
	h.mu.Lock()
	defer h.mu.Unlock()
	return *h.jobs[id]
}

// acceptedJobs returns the sorted IDs of the accepted jobs that match.
func (h *history) acceptedJobs(match func(clientJob) bool) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(h.jobs)) {
		if j := h.jobs[id]; !j.acceptedAt.IsZero() && match(*j) {
			ids = append(ids, id)
		}
	}
	return ids
}

// activeRuns returns the number of task runs of a job that have started and not ended.
func (h *history) activeRuns(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for task, runs := range h.runs {
		if !strings.HasPrefix(task, id) {
			continue
		}
		for _, r := range runs {
			if r.endedAt.IsZero() {
				n++
			}
		}
	}
	return n
}
