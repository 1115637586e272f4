// Package wigeonshard decides what the owner of a shard does: which task starts where, what is stopped, what an end
// means, and what has to be durable before an order may leave.
//
// It reads no clock, random source or socket. Events go in, actions come out; the same events always give the same
// actions.
package wigeonshard

import (
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// Now is the time of an event.
type Now struct {
	// Steady counts on while the process is paused or its VM suspended.
	Steady time.Duration
	// Wall is the time of day.
	Wall wigeonstep.UnixMillis
}

// job is an accepted job that has not ended durably.
type job struct {
	*wigeonjob.Job
	cancelled bool
	state     wigeonjob.State
	// shown is the state that is durable; callers are shown no other.
	shown wigeonjob.State
	ended wigeonstep.UnixMillis
	// occurrences holds those that are due and not finished.
	occurrences []*occurrence
	// nextOccurrence is the first one that has not been due.
	nextOccurrence int
	finished       []int
	// dirty is set while the progress differs from what was last handed to the log.
	dirty bool
	// due is when the newest unfinished occurrence should have begun, on the steady clock.
	due time.Duration
	// liveRuns counts the runs of all tasks.
	liveRuns int
	// begun is set once a start of the job has left this owner.
	begun bool
}

type occurrence struct {
	number int
	steps  []*step
	// left counts the steps with tasks that are not done.
	left int
	due  time.Duration
}

type step struct {
	*wigeonjob.Step
	job        *job
	occurrence *occurrence
	number     int
	tasks      []*task
	// left counts the tasks that are not done.
	left int
	// live counts the runs of all tasks.
	live int
	// advice is nil until the advice service has answered.
	advice *adviceState
}

// task is one task of a step.
type task struct {
	id         wigeonstep.TaskID
	step       *step
	lastRun    wigeonstep.RunNumber
	failures   int
	done       bool
	checkpoint wigeonstep.Checkpoint
	// runs holds the runs whose end is not known.
	runs []*run
	// avoid is the worker on which the task failed last.
	avoid wigeonstep.WorkerID
	// retryAt is when the task may be placed again.
	retryAt time.Duration
	// copyWanted is set when a copy of a speculative task should run elsewhere.
	copyWanted bool
}

// waiting reports whether the task has to be placed.
func (t *task) waiting() bool {
	return !t.done && (len(t.runs) == 0 || t.copyWanted && len(t.runs) == 1)
}

// runPhase is how far an order to start is.
type runPhase int

const (
	// runPlanned is a run that the log does not hold yet; nothing was sent.
	runPlanned runPhase = iota
	// runWriting is a run whose record is on its way to the log.
	runWriting
	// runStarting is a run whose start was sent and not answered.
	runStarting
	// runTaken is a run that the worker has acknowledged.
	runTaken
	// runUnknown is a run of an earlier owner, or one whose start got no answer.
	runUnknown
	// runEnded is a run that is certainly over.
	runEnded
)

// run is one start of a task.
type run struct {
	task   *task
	number wigeonstep.RunNumber
	worker *worker
	phase  runPhase
	// settled is when it became certain that the worker has begun the run or never will; holds that were sent later and
	// do not list it prove that it is not there. It is negative while that is not certain.
	settled time.Duration
	// stopping is set once the run is to be stopped.
	stopping bool
	// stopSent is when the newest stop was sent; zero when none is on its way.
	stopSent time.Duration
	stopTry  int
	startTry int
	// retryAt is when a start without an answer is repeated.
	retryAt time.Duration
	// began is when the start was sent first.
	began time.Duration
	// percent, tail and cpu are the newest figures of the worker, at the time seen.
	percent int
	tail    time.Duration
	cpu     wigeonstep.MilliCPU
	seen    time.Duration
	// moved is when percent last rose.
	moved time.Duration
	// pace is the share at which the run may work, in percent.
	pace     int
	paceSent int
}

func (r *run) id() wigeonstep.RunID {
	return wigeonstep.RunID{Task: r.task.id, Number: r.number}
}

// atWork reports whether a long-running run serves, as far as is known. What a worker said before it fell silent is not.
func (r *run) atWork() bool {
	return r.phase == runTaken && !r.stopping && r.percent >= fullPace && r.worker.failures == 0
}

// adviceState is what the advice service said of a step.
type adviceState struct {
	// asked is when the newest question was sent; negative when none is on its way.
	asked   time.Duration
	retryAt time.Duration
	tickets map[wigeonstep.WorkerID]grant
}

type grant struct {
	ticket wigeonstep.Ticket
	until  time.Duration
}
