package wigeonadmission_test

import (
	"testing"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

func TestScratchFlood(t *testing.T) {
	const run = 200 * time.Millisecond
	for _, procs := range []int{1, 4, 8} {
		for _, heavy := range []float64{0.4, 8} {
			for _, times := range []float64{1, 100} {
				f := newFleet(3, procs, 20, documents(10, run), nil, nil)
				share := 160 / run.Seconds() / 10
				f.constant("a", "bake", share*times, run)
				f.constant("b", "bake", heavy*share, run)
				var others stats
				for i := range 8 {
					f.constant(wigeonstep.TeamName(rune('c'+i)), "bake", 0.4*share, run)
				}
				f.run(30 * time.Second)
				for _, s := range f.sources[2:] {
					others.waits = append(others.waits, s.waits...)
					others.refused += s.refused
					others.expired += s.expired
				}
				t.Logf("procs %d heavy %v times %v p50 %v p99 %v refused %d late %d used %.3f busy %.4f", procs, heavy, times, quantile(others.waits, .5), others.p99(), others.refused, others.expired, f.used(), f.busyAnswers())
			}
		}
	}
}
func TestScratchBurst(t *testing.T) {
	for _, procs := range []int{1, 4, 8} {
		for _, run := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, time.Second} {
			for _, load := range []float64{0.7, 0.9, 1.3} {
				mean := load * 80 / run.Seconds() / 5 / 1.04
				f := newFleet(1, procs, 10, documents(5, run), nil, nil)
				for i := range 5 {
					f.add(&source{team: wigeonstep.TeamName(rune('a' + i)), class: "bake", peak: 5 * mean, run: run, rate: burst(mean, i, 5)})
				}
				f.run(60 * time.Second)
				var s stats
				for _, o := range f.sources {
					s.sent += o.sent
					s.refused += o.refused
					s.expired += o.expired
					s.done += o.done
					s.failed += o.failed
					s.waits = append(s.waits, o.waits...)
				}
				t.Logf("procs %d run %v load %.1f sent %d refused %d late %d failed %d done %d used %.3f busy %.4f p99 %v", procs, run, load, s.sent, s.refused, s.expired, s.failed, s.done, f.used(), f.busyAnswers(), s.p99())
			}
		}
	}
}
