// Package wigeonjob holds the model of jobs: steps of tasks, their progress, and the records that keep both.
package wigeonjob

import (
	"errors"
	"fmt"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// Limits of one job. A job beyond them is refused when it is handed in.
const (
	maxSteps        = 256
	maxTasksPerStep = 4096
	maxRepeats      = 10_000
	// MaxSpecBytes is the size limit of a job's specification.
	MaxSpecBytes = 4000
)

// Step is a number of tasks that are alike.
type Step struct {
	// Count is at least 1.
	Count int
	// Need is the room of one task.
	Need wigeonstep.Resources
	// Estimate is the declared duration of a task; it may be wrong by a factor of ten.
	Estimate time.Duration
	// After holds the numbers of earlier steps whose tasks must all be done first; each is below the step's own number.
	After         []int
	SavesProgress bool
	// Gang is set when the tasks work only together and end together.
	Gang bool
	// SameRack is set when the tasks are slower on more than one rack.
	SameRack      bool
	RequiredLabel wigeonstep.Label
	// DataRack is the rack on which the tasks are faster; empty when there is none.
	DataRack wigeonstep.Label
	// MaxPerWorker bounds the tasks of one occurrence of the step on one worker; 0 means no bound.
	MaxPerWorker int
	// Speculative is set when copies of a task may run at the same time.
	Speculative bool
	// LongRunning is set when the tasks run until the job is cancelled.
	LongRunning bool
	Image       wigeonstep.ImageName
	// Target bounds the tail of the response times of a long-running task; 0 means that it serves nobody.
	Target time.Duration
	// BestEffort is set when the tasks take only the processor time that others leave; their CPU is not counted.
	BestEffort bool
	// MaxUnavailable is how many tasks of a long-running step may be away at once because of planned work.
	MaxUnavailable int
}

// Room returns what a task of the step takes of a worker's capacity.
func (s *Step) Room() wigeonstep.Resources {
	need := s.Need
	if s.BestEffort {
		need.CPU = 0
	}
	return need
}

// Job is a job as it was accepted. It never changes.
type Job struct {
	ID      wigeonstep.JobID
	Queue   wigeonstep.QueueName
	Service wigeonstep.ServiceName
	Spec    string
	Steps   []Step
	// Repeats is how often the steps run at times; 0 means once and at once.
	Repeats  int
	StartAt  wigeonstep.UnixMillis
	Interval time.Duration
	Accepted wigeonstep.UnixMillis
	Policy   wigeonstep.QueuePolicy
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int {
	return max(j.Repeats, 1)
}

// DueAt returns when an occurrence may start; 0 means at once.
func (j *Job) DueAt(occurrence int) wigeonstep.UnixMillis {
	if j.Repeats == 0 {
		return 0
	}
	return j.StartAt + wigeonstep.UnixMillis(int64(occurrence)*j.Interval.Milliseconds())
}

// LongRunning reports whether the job runs until it is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Chain returns the longest chain of estimated durations.
func (j *Job) Chain() time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		var begin time.Duration
		for _, before := range j.Steps[i].After {
			begin = max(begin, ends[before])
		}
		ends[i] = begin + j.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Objective returns the time in which an occurrence should be done.
func (j *Job) Objective() time.Duration {
	return time.Duration(j.Policy.Stretch*float64(j.Chain())) + j.Policy.Target
}

// Check returns an error that names the first fault of a job.
func (j *Job) Check() error {
	switch {
	case len(j.Spec) > MaxSpecBytes:
		return fmt.Errorf("spec has %d bytes; the limit is %d", len(j.Spec), MaxSpecBytes)
	case len(j.Steps) == 0:
		return errors.New("a job needs at least one step")
	case len(j.Steps) > maxSteps:
		return fmt.Errorf("the job has %d steps; the limit is %d", len(j.Steps), maxSteps)
	case j.Repeats < 0 || j.Repeats > maxRepeats:
		return fmt.Errorf("repeats is %d; it must be 0 to %d", j.Repeats, maxRepeats)
	case j.Interval < 0:
		return fmt.Errorf("the interval %s is negative", j.Interval)
	}
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	return nil
}

func (s *Step) check(number int) error {
	if s.Count < 1 || s.Count > maxTasksPerStep {
		return fmt.Errorf("count is %d; it must be 1 to %d", s.Count, maxTasksPerStep)
	}
	if s.Need.CPU < 0 || s.Need.Memory < 0 || s.Need.GPU < 0 || s.Estimate < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 || s.Target < 0 {
		return errors.New("a size, duration or bound is negative")
	}
	for _, before := range s.After {
		if before < 0 || before >= number {
			return fmt.Errorf("after names step %d, which is not an earlier one", before)
		}
	}
	return nil
}
