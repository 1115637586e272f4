package wigeonshard

import (
	"cmp"
	"slices"

	"github.com/wigeonstep/wigeonstep"
)

// allowed returns the workers of the pool on which the step may run.
func (o *Owner) allowed(now Now, s *step, pool []*worker) []*worker {
	if s.job.Policy.Advice != nil {
		pool = o.advised(now, s, pool)
	}
	if s.RequiredLabel == "" {
		return pool
	}
	var labelled []*worker
	for _, w := range pool {
		if w.hasLabel(s.RequiredLabel) {
			labelled = append(labelled, w)
		}
	}
	return labelled
}

// choose returns the best worker of the pool for a task, or nil when none has room.
func (s *step) choose(t *task, pool []*worker, room wigeonstep.Resources) *worker {
	var best *worker
	var bestScore score
	for _, w := range pool {
		if !w.free().Holds(room) || w.Service != s.job.Service || t.runsOn(w) {
			continue
		}
		if s.MaxPerWorker > 0 && w.countOf(s) >= s.MaxPerWorker {
			continue
		}
		candidate := s.score(t, w, room)
		if best == nil || candidate.less(bestScore) {
			best, bestScore = w, candidate
		}
	}
	return best
}

// runsOn reports whether a run of the task is on the worker.
func (t *task) runsOn(w *worker) bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool { return r.worker == w })
}

// score orders workers for a task; lower fields and values are better.
type score struct {
	// avoided is 1 when the task failed there last.
	avoided int
	// far is 1 when the data, or the other tasks of a step that belongs on one rack, are on another rack.
	far int
	// crowd counts what would disturb the task or be disturbed by it.
	crowd int
	// left is the CPU that stays free. Work packs, so that whole VMs stay idle for other pools or for their upkeep.
	left wigeonstep.MilliCPU
}

func (a score) less(b score) bool {
	return cmp.Or(cmp.Compare(a.avoided, b.avoided), cmp.Compare(a.far, b.far), cmp.Compare(a.crowd, b.crowd), cmp.Compare(a.left, b.left)) < 0
}

func (s *step) score(t *task, w *worker, room wigeonstep.Resources) score {
	sc := score{left: w.free().CPU - room.CPU}
	if t.avoid == w.ID {
		sc.avoided = 1
	}
	if s.DataRack != "" && !w.hasLabel(s.DataRack) {
		sc.far = 1
	}
	if s.SameRack && !s.besideOthers(w) {
		sc.far = 1
	}
	if s.BestEffort || s.Target > 0 {
		// Best-effort work and serving tasks disturb each other, so they spread.
		sc.left = -sc.left
		sc.crowd = w.bestEffort
		if s.BestEffort {
			sc.crowd = len(w.runs)
		}
	}
	return sc
}

// besideOthers reports whether the worker is on the rack of the first run of the step, or the step has no run.
func (s *step) besideOthers(w *worker) bool {
	if s.live == 0 {
		return true
	}
	for _, t := range s.tasks {
		for _, r := range t.runs {
			return r.worker.Rack == w.Rack
		}
	}
	return true
}
