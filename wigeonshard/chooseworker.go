package wigeonshard

import (
	"cmp"
	"math"
	"slices"

	"github.com/wigeonstep/wigeonstep"
)

// crowdedRuns is the number of runs on a worker from which other workers are preferred for further ones.
const crowdedRuns = 128

// eligibleWorkers returns the workers of the pool that have the label and, on queues with advice, the ticket that the step
// requires.
func (o *Owner) eligibleWorkers(now Timestamp, s *step, pool []*worker) []*worker {
	if s.RequiredLabel != "" {
		pool = labelledWorkers(pool, s.RequiredLabel)
	}
	if s.job.Policy.Advice != nil {
		pool = o.workersWithTicket(now, s, pool)
	}
	return pool
}

// labelledWorkers returns the workers of the pool that have the label.
func labelledWorkers(pool []*worker, label wigeonstep.Label) []*worker {
	var labelled []*worker
	for _, w := range pool {
		if w.hasLabel(label) {
			labelled = append(labelled, w)
		}
	}
	return labelled
}

// chooseWorker returns the worker of the pool with the best score for a task, or nil when no worker of the step's service
// has room, runs no other copy of the task and is below MaxPerWorker.
func (s *step) chooseWorker(t *task, pool []*worker, reserved wigeonstep.Resources) *worker {
	var best *worker
	var bestScore score
	for _, w := range pool {
		if !s.accepts(t, w, reserved) {
			continue
		}
		candidate := s.score(t, w, reserved)
		if best == nil || candidate.less(bestScore) {
			best, bestScore = w, candidate
		}
	}
	return best
}

// accepts reports whether the worker belongs to the step's service, has room for a task, runs no other copy of it, can be sent its
// start soon and is below MaxPerWorker.
func (s *step) accepts(t *task, w *worker, reserved wigeonstep.Resources) bool {
	if w.isolation != nil || !w.free().Covers(reserved) || w.Service != s.job.Service || t.runsOn(w) || !s.maySendOrdersTo(w) {
		return false
	}
	return s.belowMaxPerWorker(w)
}

// maySendOrdersTo reports whether a start of a task would be sent to the worker soon.
func (s *step) maySendOrdersTo(w *worker) bool { return w.unsentRuns < s.orderPlaces() }

// orderPlaces returns the number of unsent runs on a worker from which no further task of the step is planned there. A step with many
// tasks leaves half of the places to others. The tasks of a gang start together or not at all, so they are planned however many wait.
func (s *step) orderPlaces() int {
	switch {
	case s.Gang:
		return math.MaxInt
	case s.Count > maxUnsentRuns:
		return maxUnsentRuns / 2
	}
	return maxUnsentRuns
}

// crowding returns a measure of the runs on the worker. Each costs time in every answer of the worker, whatever room it takes.
func (w *worker) crowding() int { return len(w.runs) / crowdedRuns }

func (s *step) belowMaxPerWorker(w *worker) bool {
	return s.MaxPerWorker == 0 || w.countTasks(s) < s.MaxPerWorker
}

// runsOn reports whether a run of the task is on the worker.
func (t *task) runsOn(w *worker) bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool { return r.worker == w })
}

// score ranks workers for a task. Fields are compared in their order, and lower values are better.
type score struct {
	// avoided is 1 for the worker on which the task last failed, stalled or was slow.
	avoided int
	// offRack is 1 when the data of the step, or the other tasks of a SameRack step, are on another rack.
	offRack int
	// slowdown is the sum of the slowdowns, in percent, by the suspected pairs of images that the task would make on the worker.
	slowdown int
	// interference counts the runs on the worker that would compete with the task for processor time: the best-effort
	// runs for a serving task, all runs for a best-effort task, and none for other tasks.
	interference int
	// crowding is that of the worker. Few workers have so many runs, unless the tasks take next to no room.
	crowding int
	// spareCPU is the CPU that stays free on the worker. Tasks are packed on the fullest worker, so that whole VMs stay
	// idle for other pools or for maintenance. It is negated for best-effort and serving tasks, which are spread.
	spareCPU wigeonstep.MilliCPU
}

func (a score) less(b score) bool {
	return cmp.Or(cmp.Compare(a.avoided, b.avoided), cmp.Compare(a.offRack, b.offRack), cmp.Compare(a.slowdown, b.slowdown), cmp.Compare(a.interference, b.interference), cmp.Compare(a.crowding, b.crowding), cmp.Compare(a.spareCPU, b.spareCPU)) < 0
}

func (s *step) score(t *task, w *worker, reserved wigeonstep.Resources) score {
	sc := score{crowding: w.crowding(), spareCPU: w.free().CPU - reserved.CPU}
	if t.avoidWorker == w.ID {
		sc.avoided = 1
	}
	if s.DataRack != "" && !w.hasLabel(s.DataRack) {
		sc.offRack = 1
	}
	if s.SameRack && !s.onRackOfStep(w) {
		sc.offRack = 1
	}
	if s.BestEffort || s.Target > 0 {
		// Best-effort and serving tasks compete for processor time, so they are spread.
		sc.spareCPU = -sc.spareCPU
		sc.slowdown = s.slowdownOn(w)
		sc.interference = w.bestEffort
		if s.BestEffort {
			sc.interference = len(w.runs)
		}
	}
	return sc
}

// onRackOfStep reports whether the worker is on the rack of the first run of the step, or the step has no run.
func (s *step) onRackOfStep(w *worker) bool {
	if s.liveRuns == 0 {
		return true
	}
	for _, t := range s.tasks {
		for _, r := range t.runs {
			return r.worker.Rack == w.Rack
		}
	}
	return true
}
