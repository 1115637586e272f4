package wigeonshard

import "time"

// Stage is a part of the way of a job, or of an order for it, from the client to the end of the last task.
type Stage int

const (
	// StageRead lasts from the acceptance of a job until its owner has read it from the log.
	StageRead Stage = iota
	// StageRegistered lasts from there until the registry has assigned the job to the shard.
	StageRegistered
	// StageRecorded lasts from the hand-over of an append until the log has acknowledged it.
	StageRecorded
	// StageStarted lasts from the acceptance of a job until its first start is sent.
	StageStarted
	// StageAnswered lasts from the first start of a run until the worker has answered it.
	StageAnswered
	// StageEnded lasts from the acceptance of a job until its last state is durable. A late end is one after the objective.
	StageEnded
	// StageCount is the number of stages.
	StageCount
)

// String returns the name of the stage in logs and metrics.
func (s Stage) String() string {
	return [StageCount]string{"read", "registered", "recorded", "started", "answered", "ended"}[s]
}

// StageTimes sums up the times that a stage has taken.
type StageTimes struct {
	Count int
	// Late counts the ends of jobs after their objective, without cancelled and repeating jobs; 0 in other stages.
	Late           int
	Total, Longest time.Duration
}

// Mean returns the mean time of the stage; 0 if it was not completed once.
func (t StageTimes) Mean() time.Duration {
	if t.Count == 0 {
		return 0
	}
	return t.Total / time.Duration(t.Count)
}

func (t *StageTimes) add(took time.Duration) {
	t.Count++
	t.Total += took
	t.Longest = max(t.Longest, took)
}

// Load describes the work of an owner since the last call of TakeLoad, and what it holds now.
type Load struct {
	Stages [StageCount]StageTimes
	// Workers and Jobs count the known workers and the jobs that have not ended.
	Workers, Jobs int
	// WaitingTasks counts the tasks of finite steps whose turn has come and that have no run.
	WaitingTasks int
	// DeferredOccurrences counts the due occurrences and the steps that wait until the tasks of others are done.
	DeferredOccurrences int
	// LateRuns counts the runs that were withdrawn because their starts could not be sent in time.
	LateRuns int
	// SmallRuns counts the runs of tasks that are small for their service.
	SmallRuns int
}

// TakeLoad returns the load since the last call.
func (o *Owner) TakeLoad() Load {
	load := Load{Stages: o.stages, Workers: len(o.sortedWorkers), Jobs: len(o.jobs), DeferredOccurrences: o.opening.deferred, LateRuns: o.lateRuns, SmallRuns: o.smallRuns.count}
	o.stages, o.lateRuns = [StageCount]StageTimes{}, 0
	for s := range o.finiteSteps.all() {
		if !s.closed() && s.ready() {
			load.WaitingTasks += s.waiting
		}
	}
	return load
}

// recordEnd measures the end of a job whose last state has become durable.
func (o *Owner) recordEnd(now Timestamp, j *job) {
	took := now.Steady - j.acceptedAt
	ended := &o.stages[StageEnded]
	ended.add(took)
	if j.Repeats == 0 && !j.cancelled && took > j.objective {
		ended.Late++
	}
}
