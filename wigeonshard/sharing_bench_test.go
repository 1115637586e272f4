package wigeonshard

import (
	"fmt"
	"testing"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// endLoop drives an owner of a full pool: a run ends in each turn, and another one starts in its place.
type endLoop struct {
	owner *Owner
	now   Timestamp
	ends  map[wigeonstep.WorkerID]uint64
	took  time.Duration
}

func newEndLoop(o *Owner, now Timestamp) *endLoop {
	return &endLoop{owner: o, now: now, ends: map[wigeonstep.WorkerID]uint64{}}
}

func (l *endLoop) turn(i int) {
	began := time.Now()
	o := l.owner
	l.now.Steady += time.Millisecond
	w := o.sortedWorkers[i%len(o.sortedWorkers)]
	pending := o.pendHeartbeat(l.now, w)
	if len(w.runs) > 0 {
		r := w.runs[0]
		l.ends[w.ID]++
		o.HeartbeatAnswered(l.now, pending, wigeonstep.HeartbeatResult{Clock: 5000, Ended: []wigeonstep.EndedRun{{Number: l.ends[w.ID], Run: r.id(), Cause: wigeonstep.EndStopped}}, Running: runReports(w, r)}, nil)
	}
	a := o.Step(l.now)
	if a.Append != nil {
		o.AppendAcknowledged(l.now, l.now.Steady)
	}
	for _, s := range o.Step(l.now).Starts {
		o.StartAnswered(l.now, s, wigeonstep.StartResult{Verdict: wigeonstep.StartAccepted, Clock: 5000})
	}
	l.took += time.Since(began)
}

// allocations returns the mean number of allocations of a turn.
func (l *endLoop) allocations() float64 {
	i := 0
	return testing.AllocsPerRun(500, func() {
		l.turn(i)
		i++
	})
}

// BenchmarkShares measures what the order of teams adds to the cost of one end and the start that replaces it. The turns of an owner
// with teams and of one without alternate, so that both meet the same load of the computer, and their ratio is reported.
func BenchmarkShares(b *testing.B) {
	const queues = 84
	for _, size := range []struct {
		teams int
		mixed bool
	}{{20, false}, {97, false}, {1000, false}, {97, true}, {1000, true}} {
		teams := size.teams
		b.Run(fmt.Sprintf("teams=%d/mixed=%v", teams, size.mixed), func(b *testing.B) {
			var configured []wigeonstep.Team
			for i := range teams {
				configured = append(configured, wigeonstep.Team{Name: wigeonstep.TeamName(fmt.Sprintf("team%04d", i)), Weight: float64(1 + i%9)})
			}
			queue := func(i int, j *wigeonjob.Job) {
				j.Queue, j.Policy.Priority = wigeonstep.QueueName(fmt.Sprintf("q%02d", i%queues)), i%queues%3
				if size.mixed {
					// Tasks of a third to one and a half of the usual size.
					for n := range j.Steps {
						j.Steps[n].Required.CPU = wigeonstep.MilliCPU(600 + i*37%2100)
					}
				}
			}
			without := newEndLoop(newOwnerWithWorkers(350, 1500, func(*Owner) {}, queue))
			with := newEndLoop(newOwnerWithWorkers(350, 1500, func(o *Owner) { o.SetTeams(configured) }, func(i int, j *wigeonjob.Job) {
				queue(i, j)
				j.Team = configured[i%teams].Name
			}))
			without.took, with.took = 0, 0
			b.ResetTimer()
			for i := range b.N {
				without.turn(i)
				with.turn(i)
			}
			b.ReportMetric(float64(without.took.Nanoseconds())/float64(b.N), "ns/start-without")
			b.ReportMetric(float64(with.took.Nanoseconds())/float64(b.N), "ns/start-with")
			b.ReportMetric(float64(with.took)/float64(without.took), "ratio")
			b.ReportMetric(without.allocations(), "allocs/start-without")
			b.ReportMetric(with.allocations(), "allocs/start-with")
		})
	}
}
