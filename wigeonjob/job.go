// Package wigeonjob defines jobs, their steps and their progress, and encodes them as records of the job log.
package wigeonjob

import (
	"errors"
	"fmt"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// Limits of one job. A job that exceeds one of them is refused on submission.
const (
	maxSteps        = 256
	maxTasksPerStep = 4096
	// MaxTasks bounds the tasks of one occurrence, and of all occurrences together if they are long-running, because all of them are
	// in the memory of their owner, with about a kilobyte each.
	MaxTasks   = 32_768
	maxRepeats = 10_000
	// maxDuration bounds the estimates, the target and the interval, so that sums of them don't overflow.
	maxDuration = 366 * 24 * time.Hour
	// maxUnixTime bounds the due times of a scheduled job, so that their distance from now is a valid duration.
	maxUnixTime wigeonstep.UnixMillis = 9_000_000_000_000
	// MaxSpecBytes is the size limit of a job's specification.
	MaxSpecBytes = 4000
)

// Step is a set of Count identical tasks.
type Step struct {
	// Count is at least 1.
	Count int
	// Required is the resources that one task requires. Reserved returns the part that is reserved on a worker.
	Required wigeonstep.Resources
	// Estimate is the duration of a task as the client declared it. The declaration may be wrong by a factor of ten.
	Estimate time.Duration
	// After holds the numbers of the steps whose tasks must all be done before this step starts. Each number is below the
	// step's own.
	After []int
	// SavesProgress is set when the tasks write checkpoints from which another run can resume.
	SavesProgress bool
	// Gang is set when the tasks have to run at the same time and end together.
	Gang bool
	// SameRack is set when the tasks run faster if all of them are on one rack.
	SameRack bool
	// RequiredLabel is the label that a worker must have to run the tasks; empty when any worker may run them.
	RequiredLabel wigeonstep.Label
	// DataRack is the rack that holds the data of the tasks, where they run faster; empty when there is none.
	DataRack wigeonstep.Label
	// MaxPerWorker limits the tasks of one occurrence of the step on one worker; 0 means no limit.
	MaxPerWorker int
	// Speculative is set when two runs of the same task may run at the same time.
	Speculative bool
	// LongRunning is set when the tasks run until the job is cancelled.
	LongRunning bool
	Image       wigeonstep.ImageName
	// Target is the maximum tail response time of a long-running task; 0 means that the task serves no requests.
	Target time.Duration
	// BestEffort is set when the tasks use only processor time that other tasks leave idle; no CPU is reserved for them.
	BestEffort bool
	// MaxUnavailable is the number of tasks of a long-running step that may be unavailable at once because of maintenance
	// and moves; 0 counts as 1.
	MaxUnavailable int
}

// Reserved returns the capacity that a task of the step reserves on its worker.
func (s *Step) Reserved() wigeonstep.Resources {
	reserved := s.Required
	if s.BestEffort {
		reserved.CPU = 0
	}
	return reserved
}

// Job is an accepted job. It is immutable.
type Job struct {
	ID      wigeonstep.JobID
	Queue   wigeonstep.QueueName
	Service wigeonstep.ServiceName
	// Team is the team that submitted the job; empty for a job of a public queue, or of a deployment without teams.
	Team  wigeonstep.TeamName
	Spec  string
	Steps []Step
	// Repeats is the number of occurrences of a scheduled job, the first one included: it is due at StartAt, and each
	// further one Interval after the one before. 0 means a job that is not scheduled: it has one occurrence, due at once.
	Repeats  int
	StartAt  wigeonstep.UnixMillis
	Interval time.Duration
	Accepted wigeonstep.UnixMillis
	Policy   wigeonstep.QueuePolicy
}

// Occurrences returns the number of times that the steps run.
func (j *Job) Occurrences() int {
	return max(j.Repeats, 1)
}

// DueAt returns the earliest start time of an occurrence; 0 means at once.
func (j *Job) DueAt(occurrence int) wigeonstep.UnixMillis {
	if j.Repeats == 0 {
		return 0
	}
	return j.StartAt + wigeonstep.UnixMillis(int64(occurrence)*j.Interval.Milliseconds())
}

// LongRunning reports whether a step is long-running, so that the job runs until it is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// CriticalPath returns the estimated duration of the longest chain of dependent steps.
func (j *Job) CriticalPath() time.Duration {
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

// maxObjective bounds the objective, of which callers form small multiples.
const maxObjective = 10 * maxDuration

// Objective returns the target time from the due time of an occurrence to its end.
func (j *Job) Objective() time.Duration {
	// The inner conversion keeps the processor from fusing the product and the sum, which would round differently.
	objective := float64(j.Policy.ObjectiveFactor*float64(j.CriticalPath())) + float64(j.Policy.ObjectiveBase)
	return time.Duration(min(objective, float64(maxObjective)))
}

// Validate returns an error for the first invalid field of a job.
func (j *Job) Validate() error {
	switch {
	case len(j.Spec) > MaxSpecBytes:
		return fmt.Errorf("spec has %d bytes; the limit is %d", len(j.Spec), MaxSpecBytes)
	case len(j.Steps) == 0:
		return errors.New("a job needs at least one step")
	case len(j.Steps) > maxSteps:
		return fmt.Errorf("the job has %d steps; the limit is %d", len(j.Steps), maxSteps)
	case j.Repeats < 0 || j.Repeats > maxRepeats:
		return fmt.Errorf("repeats is %d; it must be 0 to %d", j.Repeats, maxRepeats)
	case j.Interval < 0 || j.Interval > maxDuration:
		return fmt.Errorf("the interval %s is out of range", j.Interval)
	case j.StartAt < 0 || j.StartAt > maxUnixTime || j.DueAt(j.Repeats) > maxUnixTime:
		return fmt.Errorf("the occurrences from %d ms on are due out of range", j.StartAt)
	}
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	return nil
}

// CheckTaskCount returns an error if a new job has too many tasks. An accepted job is run whatever its size.
func (j *Job) CheckTaskCount() error {
	n := j.TaskCount()
	if n > MaxTasks {
		return fmt.Errorf("the job has %d tasks; the limit is %d", n, MaxTasks)
	}
	if j.LongRunning() && n*j.Occurrences() > MaxTasks {
		return fmt.Errorf("the %d occurrences of the long-running job have %d tasks; the limit is %d", j.Occurrences(), n*j.Occurrences(), MaxTasks)
	}
	return nil
}

// TaskCount returns the number of tasks of one occurrence.
func (j *Job) TaskCount() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

func (s *Step) validate(number int) error {
	if s.Count < 1 || s.Count > maxTasksPerStep {
		return fmt.Errorf("count is %d; it must be 1 to %d", s.Count, maxTasksPerStep)
	}
	if s.Required.CPU < 0 || s.Required.Memory < 0 || s.Required.GPU < 0 || s.Estimate < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 || s.Target < 0 {
		return errors.New("a size, duration or bound is negative")
	}
	if !s.Required.Valid() || s.Estimate > maxDuration || s.Target > maxDuration {
		return errors.New("a size or duration is too large")
	}
	for _, before := range s.After {
		if before < 0 || before >= number {
			return fmt.Errorf("after names step %d, which is not an earlier one", before)
		}
	}
	return nil
}
