// Package wigeonshard makes the decisions of the owner of a shard: it places tasks on workers, stops and moves runs, applies
// their ends to tasks and jobs, and delays each start until the record of the run is durable.
//
// It is a deterministic state machine that uses no clock, random source or network: methods of Owner take events, Step
// returns actions, and the same events always give the same actions.
package wigeonshard

import (
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// Timestamp is the time of an event on two clocks.
type Timestamp struct {
	// Steady is a monotonic clock that includes the time in which the process is paused or its VM suspended.
	Steady time.Duration
	// Wall is the time of day.
	Wall wigeonstep.UnixMillis
}

// wallTime returns the time of day at a time of the steady clock.
func (t Timestamp) wallTime(at time.Duration) wigeonstep.UnixMillis {
	return t.Wall + wigeonstep.UnixMillis((at - t.Steady).Milliseconds())
}

// job is an accepted job that has runs left or whose final state is not durable.
type job struct {
	*wigeonjob.Job
	// team is nil if the job belongs to no team.
	team *team
	// excess is set if the job exceeded the rate of its team when it was accepted.
	excess    bool
	cancelled bool
	state     wigeonjob.State
	// durableState is the newest state that is in the log. JobState returns no other, except for a cancellation, which it
	// returns at once.
	durableState wigeonjob.State
	ended        wigeonstep.UnixMillis
	// occurrences holds the open occurrences, sorted by number: those that are due and not done, the first one and more up to a limit.
	occurrences []*occurrence
	// nextOccurrence is at most the number of the first occurrence that is neither open nor done.
	nextOccurrence int
	// unopened is set while the job is in opening.jobs.
	unopened bool
	// claimingSteps counts the open steps with tasks that are not done.
	claimingSteps int
	// finished holds the numbers of the occurrences whose tasks are all done, sorted.
	finished []int
	// registered is set once the job is known to be assigned to this shard; no run starts before.
	registered bool
	// holder is the partition that holds the job in StateMoved, and 0 in other states.
	holder wigeonstep.Partition
	// recordsTasks is set if the tasks are in records of their own, because the job has too many for one record.
	recordsTasks bool
	// removedRecords holds the records of tasks to remove from the log with the next record of the job.
	removedRecords []wigeonjob.TasksID
	// dirty is set while the progress differs from the newest record that was handed to an append.
	dirty bool
	// objective is the target time from the due time of an occurrence to its end.
	objective time.Duration
	// acceptedAt is the time at which the job was accepted, on the steady clock.
	acceptedAt time.Duration
	// readAt is the time at which this owner read the job.
	readAt time.Duration
	// liveRuns counts the runs of all tasks.
	liveRuns int
	// clearedTasks counts the tasks that were suspected of crashing their workers and have been cleared.
	clearedTasks int
	// cause says why the job failed or is degraded; empty in other states.
	cause string
	// startRecorded is set once this owner has sent a start of the job, so that job_started is logged once.
	startRecorded bool
}

// endedJob is the durable end of a job.
type endedJob struct {
	state wigeonjob.State
	// cause says why the job failed; empty in other states.
	cause string
	// holder is the partition that holds the job in StateMoved, and 0 in other states.
	holder wigeonstep.Partition
	// team and queue decide which callers may see the job.
	team  wigeonstep.TeamName
	queue wigeonstep.QueueName
}

type occurrence struct {
	number int
	steps  []*step
	// stepsLeft counts the steps with tasks that are not done.
	stepsLeft int
	due       time.Duration
	// openedAt is the time at which this owner opened the occurrence.
	openedAt time.Duration
	// further is set if the job had another open occurrence when this one was opened.
	further bool
	// closed is set once the occurrence is closed without having begun a task.
	closed bool
	// latestStart is the latest time at which the longest remaining chain of steps may begin for the objective to be met.
	latestStart time.Duration
}

type step struct {
	*wigeonjob.Step
	job        *job
	occurrence *occurrence
	number     int
	// tasks holds the tasks in memory in their order; none unless the step is open. All have indexes from base to before end. Those before
	// base are done; those from end on have never had a run while the step is open, and end is base while it is not.
	tasks     []*task
	base, end int
	// closedTasks holds the progress of the tasks that had a run and are not in memory, in their order. It lacks those before base and,
	// if the job records its tasks apart, those of a step that is done.
	closedTasks []closedTask
	// evicted counts the tasks before end that are neither done nor in memory, while the step is open.
	evicted int
	// claim is what the step takes of the limit on open tasks.
	claim claim
	// activeAt is the time at which a run of the step was last planned, or the step was opened or extended.
	activeAt time.Duration
	// queued is set while the step is in opening.steps, since queuedAt.
	queued   bool
	queuedAt time.Duration
	// tasksLeft counts the tasks that are not done.
	tasksLeft int
	// waiting counts the tasks that are not done and have no run.
	waiting int
	// blocked counts the steps in After with tasks that are not done.
	blocked int
	// liveRuns counts the runs of all tasks of the step, tasksWithRuns the tasks that have one.
	liveRuns, tasksWithRuns int
	// copiesNeeded counts the tasks whose needsCopy is set.
	copiesNeeded int
	// setApart is set while the step is in openSteps.running.
	setApart bool
	// suspects counts the tasks whose crash history is suspicious.
	suspects int
	// records holds the state of the records of the tasks, in the order of the tasks; empty unless job.recordsTasks is set.
	records []tasksRecord
	// interference is nil if nothing is learned about tasks of the step.
	interference *stepInterference
	// advice is nil until the step is first considered for placement on a queue with advice.
	advice *adviceState
}

type task struct {
	id       wigeonstep.TaskID
	step     *step
	lastRun  wigeonstep.RunNumber
	failures int
	// lastFailedRun is the newest run that was counted in failures by this owner.
	lastFailedRun wigeonstep.RunNumber
	done          bool
	checkpoint    wigeonstep.Checkpoint
	// runs holds the planned runs and those whose end is not known.
	runs []*run
	// hold is the room that is kept for the task; nil when there is none, and while the task has a run that stays.
	hold *roomHold
	// lostRuns holds the newest runs that were given up without a known end, at most maxLostRuns.
	lostRuns []wigeonstep.RunNumber
	// crashes holds the crashes of workers under the runs of the task; for a gang, those of all its tasks at the first one.
	crashes crashHistory
	// givenUp is set once the task of a long-running job has crashed its workers, so that it gets no run any more.
	givenUp bool
	// isolation is set while a worker is kept for the task.
	isolation *isolation
	// stalledRuns counts the runs that this owner stopped because they showed no progress.
	stalledRuns int
	// avoidWorker is the worker on which the task last failed, stalled or was slow; it is chosen only when no other worker
	// fits.
	avoidWorker wigeonstep.WorkerID
	// retryAt is the earliest time at which the task may be placed again after a failure or refusal.
	retryAt time.Duration
	// waitingSince is the time at which the task was created or its last run ended. It has no meaning while the task has a run.
	waitingSince time.Duration
	// nextWaitReportAt is the earliest time of the next decision task_waiting about the task.
	nextWaitReportAt time.Duration
	// needsCopy is set when a second run of a speculative task should start on another worker.
	needsCopy bool
}

// needsRun reports whether the task has to be placed: it has no run, or one run and needs a copy.
func (t *task) needsRun() bool {
	return !t.done && !t.givenUp && (len(t.runs) == 0 || t.needsCopy && len(t.runs) == 1 && !t.suspected())
}

// runPhase is the progress of a run from its plan to its end.
type runPhase int

const (
	// runPlanned is the phase before the record of the run is appended.
	runPlanned runPhase = iota
	// runWriting is the phase while the append of the record is pending.
	runWriting
	// runDurable is the phase after the append is acknowledged, while the start waits for other orders to the worker. The run
	// may still be ended without a start.
	runDurable
	// runStarting is the phase after a start was sent and before it is answered.
	runStarting
	// runAccepted is the phase after the worker acknowledged the run.
	runAccepted
	// runUnknown is the phase of a run of an earlier owner, and of a run whose start got no answer.
	runUnknown
	// runEnded is the phase of a run that has certainly ended or never started.
	runEnded
)

// run is one execution of a task on a worker. An owner goes over all runs of a worker for each event about it, so the size of a run
// counts: it fits into four cache lines of 64 bytes, with the flags beside each other.
type run struct {
	task   *task
	number wigeonstep.RunNumber
	worker *worker
	phase  runPhase
	// place is the position of the run among those that were added to its worker.
	place uint64
	// listedIn is the number of the last heartbeat in whose answer the worker listed the run; 0 if none did.
	listedIn uint64
	// startKnownAt is the time from which it is certain that the worker has begun the run or never will; negative while
	// that is uncertain, and 0 for runs of earlier owners. When the answer to a heartbeat sent later doesn't list the
	// run, it is not on the worker.
	startKnownAt time.Duration
	// stopping is set once the run is to be stopped.
	stopping bool
	// unanswered is set while the run is to be stopped only because its starts were not answered, so that it may not have begun.
	unanswered bool
	// onCordoned is set if the worker was cordoned when the run was planned.
	onCordoned bool
	// onlyStopAnswered is set if the worker has acknowledged a stop of the run, and nothing shows that the run had begun.
	onlyStopAnswered bool
	// inherited is set for runs of an earlier owner.
	inherited bool
	// small is set if the run was counted as a small one when it was planned.
	small bool
	// recordedBegun is set if the record of an earlier owner says that the run has begun, begunRecorded once a record of this one may.
	recordedBegun, begunRecorded bool
	// crashCounted is set once the end of the worker's process was counted against the run, or found not to be its fault.
	crashCounted bool
	// stopSentAt is the time at which the newest stop was sent; zero when none was sent or the newest one failed.
	stopSentAt time.Duration
	// stopTries counts the stops that failed, startTries the starts that got no answer.
	stopTries  int
	startTries int
	// sentAt is the time at which the newest start was sent, and unansweredAt that of the newest one that got no answer; 0 if there
	// is none. For an inherited run unansweredAt comes from its record, by LiveRun.UnansweredAt or LiveRun.PlannedAt.
	sentAt, unansweredAt time.Duration
	// unansweredWall is LiveRun.UnansweredAt in the record of an earlier owner.
	unansweredWall wigeonstep.UnixMillis
	// token is the fencing token of the newest start; 0 for runs of earlier owners.
	token wigeonstep.FencingToken
	// processKnown is set while the run is known to have begun in the process that last answered a heartbeat.
	processKnown bool
	// retryAt is the earliest time at which a start without an answer, or a stop that failed, is repeated.
	retryAt time.Duration
	// startSentAt is the time at which the first start was sent; for runs of an earlier owner, the time at which this
	// owner read them from the log.
	startSentAt time.Duration
	// plannedWall is the time at which the record of the run was first written, plannedAt the same time on this process's steady
	// clock. It is by the clocks of two VMs for an inherited run.
	plannedWall wigeonstep.UnixMillis
	plannedAt   time.Duration
	// progressPercent, tailLatency and cpu are from the newest report of the worker, which arrived at
	// reportedAt.
	progressPercent int
	tailLatency     time.Duration
	cpu             wigeonstep.MilliCPU
	reportedAt      time.Duration
	// progressedAt is the time at which progressPercent last rose.
	progressedAt time.Duration
	// speed is the speed that a best-effort run should have, in percent of its full speed; sentSpeed is the newest one that
	// was sent to the worker.
	speed     int
	sentSpeed int
	// speedSince is the time from which on the worker is known to have the newest throttle; negative while that is not known, and
	// 0 for a run without a throttle.
	speedSince time.Duration
	// observedAt is the end of the time that the last tail covered from which the owner has learned; 0 if there was none.
	observedAt time.Duration
	// throttleRetryAt is the earliest time at which a throttle that failed is repeated.
	throttleRetryAt time.Duration
}

// unsent reports whether no start of the run has been sent.
func (r *run) unsent() bool {
	return r.phase == runPlanned || r.phase == runWriting || r.phase == runDurable
}

func (r *run) id() wigeonstep.RunID {
	return wigeonstep.RunID{Task: r.task.id, Number: r.number}
}

// begunAt returns the latest time at which an accepted run may have begun. For a run of an earlier owner it is the time at which
// that owner planned it, by the clocks of both, and so comparable only with other such runs.
func (r *run) begunAt() time.Duration {
	if r.inherited {
		return r.plannedAt
	}
	return r.startKnownAt
}

// begun reports whether the worker has shown that it has begun the run.
func (r *run) begun() bool { return r.phase == runAccepted && !r.onlyStopAnswered }

// ageWhenLost returns the time since which the run was known to have begun when its worker was found not to answer, at least a
// millisecond; 0 if it is not known to have begun.
func (r *run) ageWhenLost() time.Duration {
	if !r.begun() {
		return 0
	}
	return max(r.worker.loss.noticedAt-r.begunAt(), time.Millisecond)
}

// serving reports whether a long-running run is ready, not stopping, and on a worker that answers. The last report of a
// worker that stopped answering doesn't count.
func (r *run) serving() bool {
	return r.phase == runAccepted && !r.stopping && r.progressPercent >= fullSpeed && r.worker.failures == 0
}
