package wigeondaemon

import (
	"fmt"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep/wigeonshard"
)

// workKind is a kind of work that a process does for others or for its owners, and whose rate tells why its processor is busy.
type workKind int

const (
	// workOrders counts the orders of owners to workers, workAnswers the results of all calls that reached the owners.
	workOrders workKind = iota
	workAnswers
	// workFrames counts the frames of results that relays sent to this process.
	workFrames
	// workJobQueries counts the questions of other processes for the state of a job, workPeerCalls their other requests.
	workJobQueries
	workPeerCalls
	// workRecords counts the records of the job log that were read, workWritten those that owners wrote.
	workRecords
	workWritten
	// workRegistrations counts the calls to the registry.
	workRegistrations
	// workListings counts the records of the worker log that were read.
	workListings
	workKindCount
)

var workKindNames = [workKindCount]string{"orders", "answers", "frames", "job_queries", "peer_calls", "records", "written", "registrations", "listings"}

// workCounts counts the work since the last call of take. The zero value is ready to use, by several goroutines.
type workCounts [workKindCount]atomic.Int64

func (w *workCounts) add(kind workKind, n int) { w[kind].Add(int64(n)) }

// take returns the counts since the last call.
func (w *workCounts) take() [workKindCount]int {
	var taken [workKindCount]int
	for kind := range w {
		taken[kind] = int(w[kind].Swap(0))
	}
	return taken
}

// reportShardLoads counts the stages of the jobs of each owned shard, and logs those of the shards that had any.
func (d *Daemon) reportShardLoads() {
	for _, sh := range d.sortedShards {
		if sh.owner == nil {
			continue
		}
		load := sh.owner.TakeLoad()
		fields := []zap.Field{
			zap.Int("partition", int(sh.part)), zap.Int("workers", load.Workers), zap.Int("jobs", load.Jobs),
			zap.Int("waiting_tasks", load.WaitingTasks), zap.Int("deferred_occurrences", load.DeferredOccurrences), zap.Int("late_runs", load.LateRuns), zap.Int("small_runs", load.SmallRuns), zap.Int("late", load.Stages[wigeonshard.StageEnded].Late),
		}
		active := false
		for stage, times := range load.Stages {
			active = active || times.Count > 0
			d.config.Metrics.stageCounts[stage].Add(times.Count)
			d.config.Metrics.stageSeconds[stage].Add(times.Total.Seconds())
			fields = append(fields, zap.String(wigeonshard.Stage(stage).String(), fmt.Sprintf("%d/%.3f/%.3f", times.Count, times.Mean().Seconds(), times.Longest.Seconds())))
		}
		if active {
			d.config.Logger.Info("shard_load", fields...)
		}
	}
}
