package wigeonshard

import (
	"fmt"
	"testing"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// newOwnerWithFullWorkers returns an owner with the given numbers of fully used workers and of waiting jobs.
func newOwnerWithFullWorkers(workers, waiting int) (*Owner, Timestamp) {
	return newOwnerWithWorkers(workers, waiting, func(*Owner) {}, func(int, *wigeonjob.Job) {})
}

// newOwnerWithWorkers is newOwnerWithFullWorkers, with a call of prepare for the new owner and of change for each job.
func newOwnerWithWorkers(workers, waiting int, prepare func(*Owner), change func(int, *wigeonjob.Job)) (*Owner, Timestamp) {
	now := Timestamp{Steady: time.Hour, Wall: 1_700_000_000_000}
	o := NewOwner(testSettings, 1, now, wigeonjob.OwnerRecord{})
	prepare(o)
	var listed []wigeonstep.ListedWorker
	for i := range workers {
		id := wigeonstep.WorkerID(fmt.Sprintf("w%05d", i))
		listed = append(listed, wigeonstep.ListedWorker{
			ID: id, Address: "10.0.0.1:80", Service: testService, Capacity: wigeonstep.Resources{CPU: 32_000, Memory: 65_536},
			Labels: []wigeonstep.Label{"a", wigeonstep.Label(fmt.Sprintf("r%d", i/8))},
		})
	}
	o.SetWorkers(now, listed)
	for _, h := range o.Step(now).Heartbeats {
		o.HeartbeatAnswered(now, h, wigeonstep.HeartbeatResult{Clock: 5000}, nil)
	}
	o.AppendAcknowledged(now, now.Steady)
	clock := wigeonstep.WorkerMillis(5000)
	perJob := 8
	fill := workers * 17 / perJob
	for i := range fill + waiting {
		job := testJob(wigeonstep.JobID(fmt.Sprintf("%016x", i)), testStep(perJob), testStep(perJob, 0))
		job.Accepted = now.Wall
		change(i, job)
		o.AddJob(now, job, wigeonjob.Progress{}, false)
	}
	for range 20 {
		now.Steady += 50 * time.Millisecond
		a := o.Step(now)
		if a.Append != nil {
			o.AppendAcknowledged(now, now.Steady)
		}
		for _, s := range a.Starts {
			o.StartAnswered(now, s, wigeonstep.StartResult{Verdict: wigeonstep.StartAccepted, Clock: 5000})
		}
		clock += 50
		for _, h := range a.Heartbeats {
			running := runReports(o.workers[h.Worker.ID], nil)
			o.HeartbeatAnswered(now, h, wigeonstep.HeartbeatResult{Clock: clock, Running: running}, nil)
		}
	}
	for _, w := range o.sortedWorkers {
		// No heartbeat is due or overdue, so that callers answer only those that they want to.
		w.pendingHeartbeat, w.nextHeartbeatAt = 0, now.Steady+time.Hour
	}
	return o, now
}

// BenchmarkEnd measures the end of one task in a full pool and the start that replaces it. The cost limits the number of
// starts per second that an entry VM with a fifth of a core can decide. The ratio to the smallest pool is reported,
// because absolute times differ between computers.
func BenchmarkEnd(b *testing.B) {
	var base float64
	for _, size := range []struct{ workers, waiting int }{{50, 100}, {90, 600}, {350, 600}, {7300, 600}} {
		b.Run(fmt.Sprintf("workers=%d/waiting=%d", size.workers, size.waiting), func(b *testing.B) {
			l := newEndLoop(newOwnerWithFullWorkers(size.workers, size.waiting))
			b.ResetTimer()
			for i := range b.N {
				l.turn(i)
			}
			per := float64(b.Elapsed().Nanoseconds()) / float64(b.N)
			if base == 0 {
				base = per
			}
			b.ReportMetric(per/base, "ratio")
		})
	}
}

// pendHeartbeat makes a heartbeat to the worker the newest one, as if it had been sent, and returns it.
func (o *Owner) pendHeartbeat(now Timestamp, w *worker) Heartbeat {
	o.heartbeatCount++
	w.pendingHeartbeat, w.overdue = o.heartbeatCount, false
	return Heartbeat{Worker: w.ref(), Number: o.heartbeatCount, SentAt: now.Steady}
}

// runReports returns the reports of a worker's runs without the run except.
func runReports(w *worker, except *run) []wigeonstep.RunningRun {
	var all []wigeonstep.RunningRun
	for _, r := range w.runs {
		if r != except {
			all = append(all, wigeonstep.RunningRun{Run: r.id(), ProgressPercent: 50})
		}
	}
	return all
}
