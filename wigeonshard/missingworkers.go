package wigeonshard

import "github.com/wigeonstep/wigeonstep"

// bin is the room of a worker for long-running tasks, while missingWorkers distributes the tasks that need room.
type bin struct {
	// worker is nil for an additional worker.
	worker *worker
	free   wigeonstep.Resources
	// placed counts the tasks of each step that were put on the worker.
	placed map[*step]int
}

// fits reports whether a task of the step fits on the worker. An additional worker may get any label.
func (b *bin) fits(s *step) bool {
	if !b.free.Covers(s.Reserved()) {
		return false
	}
	if b.worker == nil {
		return s.MaxPerWorker == 0 || b.placed[s] < s.MaxPerWorker
	}
	if s.RequiredLabel != "" && !b.worker.hasLabel(s.RequiredLabel) {
		return false
	}
	return s.MaxPerWorker == 0 || b.worker.countTasks(s)+b.placed[s] < s.MaxPerWorker
}

func (b *bin) place(s *step) {
	b.free = b.free.Sub(s.Reserved())
	if b.placed == nil {
		b.placed = map[*step]int{}
	}
	b.placed[s]++
}

// missingWorkers returns the number of additional workers that the long-running tasks of each service need: the tasks that
// wait or have to leave their worker are put on the first worker with room, and where there is none on additional workers.
// Finite runs don't count as occupying room, since they end.
func (o *Owner) missingWorkers() map[wigeonstep.ServiceName]int {
	missing := map[wigeonstep.ServiceName]int{}
	bins := map[wigeonstep.ServiceName][]*bin{}
	for open := range o.longRunningSteps.all() {
		s := open.step
		n := s.tasksToPlace()
		if n == 0 || s.closed() {
			continue
		}
		service := s.job.Service
		largest, known := o.largestCapacity(service)
		if !known {
			// The size of the first worker is not known, so the tasks are distributed once it is there.
			missing[service] = 1
			continue
		}
		if bins[service] == nil {
			bins[service] = o.bins(service)
		}
		before := len(bins[service])
		bins[service] = distribute(s, n, bins[service], largest)
		missing[service] += len(bins[service]) - before
	}
	return missing
}

// tasksToPlace counts the tasks of a long-running step that have no run, or whose worker has to be emptied, and for which no
// room is kept.
func (s *step) tasksToPlace() int {
	if !s.LongRunning || !s.ready() {
		return 0
	}
	n := s.notInMemory()
	for _, t := range s.tasks {
		switch {
		case t.hold != nil, t.givenUp:
		case len(t.runs) == 0, t.runs[0].worker.leaving() && !t.runs[0].stopping:
			n++
		}
	}
	return n
}

// bins returns the room for long-running tasks on the usable workers of a service.
func (o *Owner) bins(service wigeonstep.ServiceName) []*bin {
	var bins []*bin
	for _, w := range o.sortedWorkers {
		if w.Service != service || !w.usable() {
			continue
		}
		b := &bin{worker: w, free: w.free()}
		for _, r := range w.runs {
			if !r.task.step.LongRunning {
				b.free = b.free.Add(r.task.step.Reserved())
			}
		}
		bins = append(bins, b)
	}
	return bins
}

// distribute puts n tasks of a step on the first bins with room, and adds bins of the given capacity for those that fit on
// none. A task that would not fit on an empty worker gets no bin: any number of workers would leave it waiting.
func distribute(s *step, n int, bins []*bin, capacity wigeonstep.Resources) []*bin {
	next := 0
	for n > 0 {
		for next < len(bins) && !bins[next].fits(s) {
			next++
		}
		if next == len(bins) {
			added := &bin{free: capacity}
			if !added.fits(s) {
				return bins
			}
			bins = append(bins, added)
		}
		bins[next].place(s)
		n--
	}
	return bins
}

// largestCapacity returns the largest CPU, memory and GPU capacity of the workers of a service, each by itself; known is false
// when it has no workers.
func (o *Owner) largestCapacity(service wigeonstep.ServiceName) (largest wigeonstep.Resources, known bool) {
	for _, w := range o.sortedWorkers {
		if w.Service == service {
			known = true
			largest.CPU = max(largest.CPU, w.Capacity.CPU)
			largest.Memory = max(largest.Memory, w.Capacity.Memory)
			largest.GPU = max(largest.GPU, w.Capacity.GPU)
		}
	}
	return largest, known
}
