package wigeonsoak

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/wigeonstep/wigeonstep/platform/wigeonstandin"
)

// States of jobs as processes report them.
const (
	stateCompleted = "completed"
	stateRunning   = "running"
	stateFailed    = "failed"
)

// clientJob is one submitted job as its client knows it.
type clientJob struct {
	// acceptedAt is the time of the acknowledgement, and refusedAt the time of a refusal that no attempt with an unknown
	// outcome preceded. Each is zero until then.
	acceptedAt, refusedAt time.Time
	// cancelled is set once a cancellation was acknowledged.
	cancelled   bool
	longRunning bool
	// crashing is set if a task of the job crashes each worker that starts it.
	crashing bool
	// slow is set if the job has slow tasks.
	slow bool
	// reportedState is the state that the latest successful query returned; it is empty before one.
	reportedState string
	// completedAt is the time at which the job was first reported as completed; zero before.
	completedAt time.Time
}

// expectedState returns the state that an accepted job reaches in the end.
func (j clientJob) expectedState() string {
	switch {
	case j.longRunning:
		return stateRunning
	case j.crashing:
		return stateFailed
	}
	return stateCompleted
}

// taskCount returns the number of tasks of a job that is not long-running.
func (j clientJob) taskCount() int {
	if j.slow {
		return slowTasks
	}
	return ordinaryTasks
}

// workerProcess identifies one process of a worker, which may restart under its ID.
type workerProcess struct {
	id        string
	startedAt time.Time
}

// cutRequest is a request that was sent whole on a connection that ended without a complete answer.
type cutRequest struct {
	description     string
	sentAt, endedAt time.Time
}

// disruption is the time of a fault that is not planned work.
type disruption struct {
	startedAt, endedAt time.Time
}

const (
	// calmBefore is the time without a disruption before a request that has to be answered.
	calmBefore = 3 * time.Second
	// cutSlack is the time after a request was sent within which its connection may end without an answer: the process may
	// have closed it before it read the request.
	cutSlack = 200 * time.Millisecond
	// timeFormat is the format of times in violations and in the event log, that of the logs of the processes.
	timeFormat = "15:04:05.000"
)

// taskRun is one run of a task as its worker observed it.
type taskRun struct {
	worker    workerProcess
	number    uint32
	startedAt time.Time
	// endedAt is zero while the task runs.
	endedAt time.Time
	// endReason is set together with endedAt.
	endReason string
	// endAcknowledged is set once the owner has acknowledged the end to the worker, unless the lease of the worker expired
	// between the end and the acknowledgement.
	endAcknowledged bool
	// formerAcknowledged is set once a call to a former process of the worker has acknowledged the end, so that no owner knows of it.
	formerAcknowledged bool
	// unavoidable is the value of wigeonstandin.Event.Unavoidable of its start.
	unavoidable bool
}

// history collects what clients and workers observe during a soak.
type history struct {
	mu sync.Mutex
	// jobs is keyed by job ID.
	jobs map[string]*clientJob
	// runs is keyed by task ID, which is the job ID followed by ".OCCURRENCE.STEP.INDEX".
	runs map[string][]*taskRun
	// rooms holds the capacity and the use of each process of a worker.
	rooms map[workerProcess]*room
	// workerMilliCPU is the full capacity of a worker; 0 stands for the usual one.
	workerMilliCPU int
	// leaseExpiredAt holds the time at which the lease of a worker last expired.
	leaseExpiredAt  map[workerProcess]time.Time
	cutRequests     []cutRequest
	overloads       []overload
	disruptions     []disruption
	outdatedAnswers []outdatedAnswer
	violations      []string
	// log receives a line for each event, so that a violation can be traced; it may be nil.
	log io.Writer
}

func newHistory() *history {
	return &history{jobs: map[string]*clientJob{}, runs: map[string][]*taskRun{}, rooms: map[workerProcess]*room{}, leaseExpiredAt: map[workerProcess]time.Time{}}
}

// logEvent writes a line to the event log.
func (h *history) logEvent(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writeLog(time.Now(), format, args...)
}

// stopLog ends the event log, because workers may report events until the process ends.
func (h *history) stopLog() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.log = nil
}

// writeLog writes a line to the event log. The caller holds h.mu.
func (h *history) writeLog(at time.Time, format string, args ...any) {
	if h.log != nil {
		fmt.Fprintf(h.log, "%s %s\n", at.UTC().Format(timeFormat), fmt.Sprintf(format, args...))
	}
}

// recordViolation records a violated guarantee, or a failed operation of the soak itself, while the soak runs. The text begins
// with one of the categories that check lists, followed by a colon.
func (h *history) recordViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
	h.writeLog(time.Now(), format, args...)
}

// recordCut records a request whose connection ended without a complete answer.
func (h *history) recordCut(r cutRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cutRequests = append(h.cutRequests, r)
	h.writeLog(r.endedAt, "cut: %s, sent at %s", r.description, r.sentAt.UTC().Format(timeFormat))
}

// recordDisruption records a fault that is not planned work. The two times may be equal.
func (h *history) recordDisruption(startedAt, endedAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disruptions = append(h.disruptions, disruption{startedAt, endedAt})
}

// recordState records the state of a job that a process reported.
func (h *history) recordState(id, state string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.jobs[id]
	j.reportedState = state
	if state != stateCompleted || !j.completedAt.IsZero() {
		return
	}
	j.completedAt = time.Now()
	h.writeLog(j.completedAt, "job %s is reported as completed", id)
	if done := h.completedTasks(id); !j.longRunning && done < j.taskCount() {
		h.violations = append(h.violations, fmt.Sprintf("early: job %s is reported as completed with %d of %d tasks done", id, done, j.taskCount()))
	}
}

// completedTasks returns the number of tasks of a job with a run that has completed. The caller holds h.mu.
func (h *history) completedTasks(id string) int {
	n := 0
	for task, runs := range h.runs {
		if strings.HasPrefix(task, id+".") && slices.ContainsFunc(runs, func(r *taskRun) bool { return r.endReason == wigeonstandin.CauseDone }) {
			n++
		}
	}
	return n
}

// eventNames are the names of the kinds of events in the event log.
var eventNames = map[wigeonstandin.EventKind]string{
	wigeonstandin.RunStarted: "started", wigeonstandin.RunEnded: "ended", wigeonstandin.EndAcknowledged: "end_acknowledged",
	wigeonstandin.LeaseExpired: "lease_expired", wigeonstandin.Resized: "resized",
}

// observe records an event of a worker.
func (h *history) observe(o wigeonstandin.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writeLog(o.At, "worker=%s task=%s run=%d %s %s", o.Worker, o.Task, o.Run, eventNames[o.Kind], o.Cause)
	worker := workerProcess{o.Worker, o.WorkerStartedAt}
	h.observeRoom(worker, o)
	switch o.Kind {
	case wigeonstandin.RunStarted:
		h.runs[o.Task] = append(h.runs[o.Task], &taskRun{worker: worker, number: o.Run, startedAt: o.At, unavoidable: o.Unavoidable})
	case wigeonstandin.LeaseExpired:
		h.leaseExpiredAt[worker] = o.At
	case wigeonstandin.Resized:
	default:
		for _, r := range h.runs[o.Task] {
			if r.worker != worker || r.number != o.Run {
				continue
			}
			if o.Kind == wigeonstandin.EndAcknowledged && o.Former {
				r.formerAcknowledged = true
				continue
			}
			if o.Kind == wigeonstandin.EndAcknowledged {
				r.endAcknowledged = r.endAcknowledged || !h.leaseExpiredAt[worker].After(r.endedAt)
				continue
			}
			r.endedAt, r.endReason = o.At, o.Cause
		}
	}
}

// exemptPrefix begins the description of a case that violates no guarantee, because no owner could have prevented it.
const exemptPrefix = "exempt: "

// exempt returns exemptPrefix if it applies.
func exempt(applies bool) string {
	if applies {
		return exemptPrefix
	}
	return ""
}

// splitExempt separates the violations from the cases that are exempt.
func splitExempt(found []string) (violations, exempt []string) {
	for _, f := range found {
		if strings.HasPrefix(f, exemptPrefix) {
			exempt = append(exempt, f)
		} else {
			violations = append(violations, f)
		}
	}
	return violations, exempt
}

// check returns the recorded violations and those that the history shows. A violation begins with its category: "twice" is
// a task that ran more than once, "lost" an accepted job that did not reach its expected state, "refused" a refused job
// that ran, "unrequested" a run that no client asked for, "early" a job that was reported as completed before its tasks
// were, "cut" a request whose connection ended without an answer although there was no disruption, "crashes" a task that was
// started too often after it had crashed workers, "capacity" a start that exceeded the capacity of a worker, "belief" a run that
// its owner took for lost while it went on, "isolation" a call
// that was served without a key of the job's team, or refused with one; "client", "process"
// and "soak" name where an operation failed. exemptPrefix comes before the category of a case that is exempt.
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
		if j != nil {
			found = append(found, lateStarts(task, h.runs[task], j.completedAt)...)
			found = append(found, startsAfterCrashes(task, h.runs[task], j.crashing)...)
		}
	}
	for _, r := range h.cutRequests {
		if r.endedAt.Sub(r.sentAt) > cutSlack && h.calm(r.sentAt.Add(-calmBefore), r.endedAt) {
			found = append(found, fmt.Sprintf("cut: %s was sent at %s, and its connection ended at %s without an answer", r.description,
				r.sentAt.UTC().Format(timeFormat), r.endedAt.UTC().Format(timeFormat)))
		}
	}
	found = append(found, h.checkOutdatedAnswers()...)
	found = append(found, h.checkOverloads()...)
	for _, id := range slices.Sorted(maps.Keys(h.jobs)) {
		j := h.jobs[id]
		if j.acceptedAt.IsZero() || j.cancelled {
			continue
		}
		if j.reportedState != j.expectedState() && !h.mayFail(id, j) {
			found = append(found, fmt.Sprintf("lost: accepted job %s is reported as %q, not as %q", id, j.reportedState, j.expectedState()))
		}
	}
	return found
}

// calm reports whether no disruption was active between two times. The caller holds h.mu.
func (h *history) calm(from, to time.Time) bool {
	return !slices.ContainsFunc(h.disruptions, func(d disruption) bool {
		return d.startedAt.Before(to) && !d.endedAt.Before(from)
	})
}

// lateStarts returns a violation for each run of a task that started after its job had been reported as completed.
func lateStarts(task string, runs []*taskRun, completedAt time.Time) []string {
	var found []string
	for _, r := range runs {
		if !completedAt.IsZero() && r.startedAt.After(completedAt) {
			found = append(found, fmt.Sprintf("%stwice: task %s %s started after its job had been reported as completed", exempt(r.unavoidable), task, r))
		}
	}
	return found
}

// String returns the run with its worker and the times of its start and end.
func (r *taskRun) String() string {
	end := "still running"
	if !r.endedAt.IsZero() {
		end = r.endedAt.UTC().Format(timeFormat) + " " + r.endReason
	}
	return fmt.Sprintf("run %d on %s (%s to %s)", r.number, r.worker.id, r.startedAt.UTC().Format(timeFormat), end)
}

// duplicateRuns returns a violation for each pair of runs of a task that overlap, or of which the later one started
// although the earlier one had completed and its end was acknowledged. A task may run again after a run that did not
// complete or whose end was not acknowledged. What no owner could have prevented is marked as exempt.
func duplicateRuns(task string, runs []*taskRun) []string {
	var found []string
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if b.startedAt.Before(a.startedAt) {
				a, b = b, a
			}
			prefix := exempt(a.unavoidable || b.unavoidable)
			switch {
			case a.endedAt.IsZero() || b.startedAt.Before(a.endedAt):
				found = append(found, fmt.Sprintf("%stwice: task %s %s overlaps %s", prefix, task, a, b))
			case a.endReason != wigeonstandin.CauseDone:
			case a.endAcknowledged:
				found = append(found, fmt.Sprintf("%stwice: task %s %s started after %s had completed and its end was acknowledged", prefix, task, b, a))
			case a.formerAcknowledged:
				found = append(found, fmt.Sprintf("%stwice: task %s %s started after %s had completed and a call to a former process made its worker forget the end", exemptPrefix, task, b, a))
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
