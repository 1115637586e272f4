package wigeonshard

import (
	"maps"
	"slices"

	"github.com/wigeonstep/wigeonstep"
)

// smallestFittingRack returns the workers of the rack that has room for all remaining tasks of the step and, among those,
// for the fewest. It returns the whole pool when no rack has room for all.
func (s *step) smallestFittingRack(pool []*worker) []*worker {
	racks := map[wigeonstep.Label][]*worker{}
	for _, w := range pool {
		if w.Service == s.job.Service {
			racks[w.Rack] = append(racks[w.Rack], w)
		}
	}
	best, bestFits := pool, 0
	for _, rack := range slices.Sorted(maps.Keys(racks)) {
		fits := 0
		for _, w := range racks[rack] {
			fits += s.tasksFitting(w)
		}
		if fits >= s.tasksLeft && (bestFits == 0 || fits < bestFits) {
			best, bestFits = racks[rack], fits
		}
	}
	return best
}

// tasksFitting returns the number of remaining tasks of the step for which a worker has room.
func (s *step) tasksFitting(w *worker) int {
	reserved, free := s.Reserved(), w.free()
	n := s.tasksLeft
	if s.MaxPerWorker > 0 {
		n = min(n, s.MaxPerWorker)
	}
	if reserved.CPU > 0 {
		n = min(n, int(free.CPU/reserved.CPU))
	}
	if reserved.Memory > 0 {
		n = min(n, int(free.Memory/reserved.Memory))
	}
	if reserved.GPU > 0 {
		n = min(n, int(free.GPU/reserved.GPU))
	}
	return max(n, 0)
}
