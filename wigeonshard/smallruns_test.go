package wigeonshard

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// BenchmarkRunMemory measures the memory of an owner for each run under way, of wide jobs and of jobs with one task each. The ratio of the
// two is reported.
func BenchmarkRunMemory(b *testing.B) {
	const runs, workers = 1 << 14, 10
	cost := map[int]float64{}
	for _, width := range []int{4096, 1} {
		b.Run(fmt.Sprintf("tasks=%d", width), func(b *testing.B) {
			for range b.N {
				before := liveHeap()
				o, now := newOwnerWithFullWorkers(workers, 0)
				for n := range runs / width {
					id := wigeonstep.JobID(fmt.Sprintf("job%05d", n))
					o.AddJob(now, testJob(id, tinyStep(width)), wigeonjob.Progress{}, false)
					s := o.jobs[id].occurrences[0].steps[0]
					o.addTasks(now, s, width)
					for i, t := range s.tasks {
						o.planRun(t, o.sortedWorkers[(n+i)%workers], 1)
						o.markBegun(now, t.runs[0])
					}
				}
				o.out = Actions{}
				cost[width] = float64(liveHeap()-before) / runs
				runtime.KeepAlive(o)
			}
			b.ReportMetric(cost[width], "B/run")
			if width == 1 {
				b.ReportMetric(cost[1]/cost[4096], "ratio")
			}
		})
	}
}

func liveHeap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
