package wigeonshard

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// maxListedWorkers bounds the workers that are listed for one step and one reason.
const maxListedWorkers = 20

// maxExplainedSteps bounds the steps that are explained for one question, since each is compared with all workers of the service on
// the event loop of the owner.
const maxExplainedSteps = 16

// Placement says where the tasks of a job that has not been submitted would be placed now.
type Placement struct {
	Team  *TeamShare      `json:"team,omitempty"`
	Steps []StepPlacement `json:"steps"`
	// MoreSteps is the number of steps after the last one in Steps.
	MoreSteps int `json:"more_steps,omitempty"`
}

// TeamShare is what a team has running in a shard, and what it may have.
type TeamShare struct {
	Name   wigeonstep.TeamName  `json:"name"`
	Weight float64              `json:"weight"`
	Limit  wigeonstep.Resources `json:"limit"`
	Use    wigeonstep.Resources `json:"use"`
	// Share and FairShare are those of TeamStatus.
	Share     float64 `json:"share"`
	FairShare float64 `json:"fair_share"`
}

// StepPlacement says where the first task of a step would be placed.
type StepPlacement struct {
	Step  int `json:"step"`
	Tasks int `json:"tasks"`
	// WaitsFor is what the tasks would wait for; empty if the first one can be placed now.
	WaitsFor string `json:"waits_for,omitempty"`
	// Suitable is the number of workers that could take the task now. Workers holds the first of them, best first.
	Suitable int            `json:"suitable"`
	Workers  []WorkerChoice `json:"workers,omitempty"`
	// Unsuitable holds the other workers of the service, by the first reason why they can't take the task.
	Unsuitable []UnsuitableWorkers `json:"unsuitable,omitempty"`
}

// WorkerChoice is a worker that could take a task, with what speaks against it.
type WorkerChoice struct {
	Worker wigeonstep.WorkerID  `json:"worker"`
	Free   wigeonstep.Resources `json:"free"`
	// Against is empty if the worker is as good as any.
	Against string `json:"against,omitempty"`
}

// UnsuitableWorkers are workers that can't take a task for the same reason.
type UnsuitableWorkers struct {
	Reason string `json:"reason"`
	Count  int    `json:"count"`
	// Workers holds the first of them.
	Workers []wigeonstep.WorkerID `json:"workers"`
}

// Where says where the tasks of a job would be placed if it were submitted now. It changes nothing, and sends nothing to workers
// or to the advice service.
func (o *Owner) Where(now Timestamp, accepted *wigeonjob.Job) Placement {
	var p Placement
	pool := o.pool(now)
	candidates := o.serviceWorkers(accepted.Service, pool)
	j := &job{Job: accepted}
	if t := o.teams[accepted.Team]; t != nil && accepted.Team != "" {
		j.team = t
		p.Team = &TeamShare{
			Name: t.Name, Weight: t.Weight, Limit: t.Limit, Use: t.use,
			Share: o.sharing.Share(&t.share), FairShare: o.sharing.FairShare(&t.share),
		}
	}
	occ := &occurrence{due: now.Steady}
	explained := min(len(accepted.Steps), maxExplainedSteps)
	p.MoreSteps = len(accepted.Steps) - explained
	for n := range accepted.Steps[:explained] {
		s := &step{Step: &accepted.Steps[n], job: j, occurrence: occ, number: n, tasksLeft: accepted.Steps[n].Count, waiting: accepted.Steps[n].Count}
		s.interference = o.interferenceOf(s.Step)
		p.Steps = append(p.Steps, s.placement(now, candidates, pool))
	}
	return p
}

// serviceWorker is a worker of the service of a job.
type serviceWorker struct {
	*worker
	// place is that in the pool; negative for a worker that is not in it.
	place int
}

// serviceWorkers returns the listed workers of a service.
func (o *Owner) serviceWorkers(service wigeonstep.ServiceName, pool []*worker) []serviceWorker {
	places := make(map[*worker]int, len(pool))
	for i, w := range pool {
		places[w] = i
	}
	var all []serviceWorker
	for _, w := range o.sortedWorkers {
		if w.Service != service || !w.listed {
			continue
		}
		place, inPool := places[w]
		if !inPool {
			place = -1
		}
		all = append(all, serviceWorker{w, place})
	}
	return all
}

// ratedWorker is a worker that could take a task.
type ratedWorker struct {
	serviceWorker
	score score
}

// compare orders workers as placement chooses them: by score, and the first one in the pool among equal ones.
func (w ratedWorker) compare(other ratedWorker) int {
	switch {
	case w.score.less(other.score):
		return -1
	case other.score.less(w.score):
		return 1
	}
	return cmp.Compare(w.place, other.place)
}

// placement says where the first task of a step would be placed on the workers of the pool.
func (s *step) placement(now Timestamp, candidates []serviceWorker, pool []*worker) StepPlacement {
	p := StepPlacement{Step: s.number, Tasks: s.Count}
	switch at := s.job.DueAt(0); {
	case len(s.After) > 0:
		p.WaitsFor = fmt.Sprintf("the steps %v", s.After)
		return p
	case at > now.Wall:
		p.WaitsFor = fmt.Sprintf("its first occurrence, in %d ms", at-now.Wall)
		return p
	}
	var onRack map[*worker]bool
	if s.SameRack {
		onRack = map[*worker]bool{}
		for _, w := range s.smallestFittingRack(labelled(s, pool)) {
			onRack[w] = true
		}
	}
	t := &task{step: s}
	reserved := s.Reserved()
	var suitable []ratedWorker
	places := map[string]int{}
	for _, w := range candidates {
		reason := s.unsuitability(t, w.worker, w.place >= 0)
		if reason == "" && s.SameRack && !onRack[w.worker] {
			reason = "rack: another one has room for all tasks of the step"
		}
		if reason == "" {
			suitable = append(suitable, ratedWorker{w, s.score(t, w.worker, reserved)})
			continue
		}
		p.addUnsuitable(places, reason, w.ID)
	}
	slices.SortFunc(suitable, ratedWorker.compare)
	slices.SortStableFunc(p.Unsuitable, func(a, b UnsuitableWorkers) int { return -cmp.Compare(a.Count, b.Count) })
	p.Suitable = len(suitable)
	for _, w := range suitable[:min(len(suitable), maxListedWorkers)] {
		p.Workers = append(p.Workers, WorkerChoice{Worker: w.ID, Free: w.free(), Against: w.score.against()})
	}
	p.WaitsFor = s.wouldWaitFor(suitable)
	return p
}

// addUnsuitable adds a worker to those with the same reason; places holds the place of each reason.
func (p *StepPlacement) addUnsuitable(places map[string]int, reason string, id wigeonstep.WorkerID) {
	i, known := places[reason]
	if !known {
		i = len(p.Unsuitable)
		places[reason] = i
		p.Unsuitable = append(p.Unsuitable, UnsuitableWorkers{Reason: reason})
	}
	u := &p.Unsuitable[i]
	if u.Count++; len(u.Workers) < maxListedWorkers {
		u.Workers = append(u.Workers, id)
	}
}

// labelled returns the workers of the pool with the label that the step requires.
func labelled(s *step, pool []*worker) []*worker {
	if s.RequiredLabel == "" {
		return pool
	}
	return labelledWorkers(pool, s.RequiredLabel)
}

// unsuitability returns the first reason why the worker can't take a task of the step; empty if it can.
func (s *step) unsuitability(t *task, w *worker, inPool bool) string {
	switch {
	case w.Draining:
		return "drain: the worker is about to stop"
	case w.cordoned != "":
		return "drain: its VM is wanted for maintenance or a move"
	case !w.usable():
		return "it does not answer, or is not known well enough yet"
	case w.isolation != nil:
		return "quarantine: it is kept for a task that may have crashed others"
	case !inPool:
		return "quarantine: its last runs failed, were refused or made little progress"
	case s.RequiredLabel != "" && !w.hasLabel(s.RequiredLabel):
		return "label: it lacks " + string(s.RequiredLabel)
	case !w.free().Covers(s.Reserved()):
		return "room: it has too little that is free"
	case !s.accepts(t, w, s.Reserved()):
		return "limit: it holds as many tasks of the step as it may"
	}
	return ""
}

// against says what speaks against a worker that could take a task.
func (sc score) against() string {
	switch {
	case sc.offRack > 0:
		return "rack: it is not on that of the data"
	case sc.slowdown > 0:
		return fmt.Sprintf("kept apart: suspected pairs on it slow tasks down by %d%%", sc.slowdown)
	}
	return ""
}

// wouldWaitFor returns what the tasks of a new step would wait for.
func (s *step) wouldWaitFor(suitable []ratedWorker) string {
	if limit := s.waitsForLimit(); limit != "" {
		return limit
	}
	if len(suitable) == 0 {
		return fmt.Sprintf("a worker for tasks of %d millicores, %d MB and %d GPUs", s.Reserved().CPU, s.Reserved().Memory, s.Reserved().GPU)
	}
	fitting := 0
	for _, w := range suitable {
		fitting += s.tasksFitting(w.worker)
	}
	if s.Gang && fitting < s.Count {
		return fmt.Sprintf("room for all %d tasks of its gang at once; there is room for %d", s.Count, fitting)
	}
	if s.job.Policy.Advice != nil {
		return "the advice service, which is asked before a task starts and may refuse workers"
	}
	return ""
}
