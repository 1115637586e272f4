package wigeoninterference_test

import "testing"

// BenchmarkReport measures the cost of a report of one serving task with up to four neighbours, of twelve workers.
func BenchmarkReport(b *testing.B) {
	f := newFleet(scenarios[5], 1, 12)
	for n := 0; n < b.N; n += len(victims) * len(f.workers) {
		f.play()
	}
}
