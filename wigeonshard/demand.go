package wigeonshard

import (
	"math"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonbalance"
)

const (
	// fastWindow and slowWindow are the time constants of the averages in arrivalRate. A queue submits its jobs in
	// phases of some seconds; a VM that leaves its pool during a short pause in such a phase is unavailable to the pool
	// for the duration of two moves. The slow average therefore falls little during such a pause.
	fastWindow = 350 * time.Millisecond
	slowWindow = 1000 * time.Millisecond
)

// arrivalRate holds exponentially decaying averages of the work that arrives at a service.
type arrivalRate struct {
	// fast and slow are in core-milliseconds per millisecond, that is in cores.
	fast, slow float64
	updatedAt  time.Duration
}

// rate returns the arriving work in cores. It follows a rising demand with the fast average and a falling one with the
// slow average.
func (a *arrivalRate) rate() float64 { return max(a.fast, a.slow) }

func (a *arrivalRate) add(now time.Duration, work float64) {
	a.decay(now)
	a.fast += work / float64(fastWindow.Milliseconds())
	a.slow += work / float64(slowWindow.Milliseconds())
}

func (a *arrivalRate) decay(now time.Duration) {
	a.fast *= math.Exp(-float64(now-a.updatedAt) / float64(fastWindow))
	a.slow *= math.Exp(-float64(now-a.updatedAt) / float64(slowWindow))
	a.updatedAt = now
}

// Demand is the work of a service and the workers that are available for it.
type Demand struct {
	Service wigeonstep.ServiceName
	// ReadyWork is the remaining work of the finite steps whose dependencies are done, in core-milliseconds.
	ReadyWork float64
	// ArrivalRate is the average rate of newly accepted finite work, in cores.
	ArrivalRate float64
	// Capacity is the CPU of the usable workers less the CPU of the long-running tasks on them.
	Capacity wigeonstep.MilliCPU
	// MissingWorkers is the number of additional workers needed for long-running tasks that wait, or whose worker drains or is
	// cordoned, and that would not fit on the usable workers even if no finite work ran there.
	MissingWorkers int
	// Usable lists the workers that accept new runs, Idle those of them without any run.
	Usable []wigeonstep.WorkerID
	Idle   []wigeonstep.WorkerID
	// Emptying lists the usable workers with finite runs only.
	Emptying []Emptying
}

// Emptying is a worker that becomes idle after the expected time Remaining if it gets no further runs.
type Emptying struct {
	Worker    wigeonstep.WorkerID
	Remaining time.Duration
}

// Demands returns the demand of each of the services, in the order of services.
func (o *Owner) Demands(now Timestamp, services []wigeonstep.ServiceName) []Demand {
	demands := make([]Demand, len(services))
	index := make(map[wigeonstep.ServiceName]*Demand, len(services))
	for i, name := range services {
		demands[i].Service = name
		index[name] = &demands[i]
		if a := o.arrivals[name]; a != nil {
			a.decay(now.Steady)
			demands[i].ArrivalRate = a.rate()
		}
	}
	for _, w := range o.sortedWorkers {
		d := index[w.Service]
		if d == nil || !w.usable() {
			continue
		}
		d.Usable = append(d.Usable, w.ID)
		if len(w.runs) == 0 && len(w.held.holds) == 0 {
			d.Idle = append(d.Idle, w.ID)
		} else if remaining, ends := w.remaining(now.Steady); ends {
			d.Emptying = append(d.Emptying, Emptying{Worker: w.ID, Remaining: remaining})
		}
		d.Capacity += w.Capacity.CPU
		for _, r := range w.runs {
			if r.task.step.LongRunning {
				d.Capacity -= r.task.step.Reserved().CPU
			}
		}
	}
	for name, n := range o.missingWorkers() {
		if d := index[name]; d != nil {
			d.MissingWorkers = n
		}
	}
	for s := range o.finiteSteps.all() {
		if d := index[s.job.Service]; d != nil && !s.closed() && s.ready() {
			d.ReadyWork += s.readyWork()
		}
	}
	return demands
}

// remaining returns the time until the runs of the worker should have ended by their estimates; ends is false when one
// of them is long-running, or room is kept on the worker.
func (w *worker) remaining(now time.Duration) (longest time.Duration, ends bool) {
	if len(w.held.holds) > 0 {
		return 0, false
	}
	for _, r := range w.runs {
		s := r.task.step
		if s.LongRunning {
			return 0, false
		}
		longest = max(longest, r.remaining(now))
	}
	return longest, true
}

// readyWork returns the remaining work of a finite step whose dependencies are done, in core-milliseconds. Steps with open
// dependencies do not count in the demand, because no VM can work on them yet. Running tasks count as half done. The estimate of
// a task is limited to wigeonbalance.BacklogClearTime, the time in which a pool should clear its waiting work: a
// longer task could not use more than its own cores in that time.
func (s *step) readyWork() float64 {
	tasks := float64(s.tasksLeft) - float64(min(s.liveRuns, s.tasksLeft))/2
	return tasks * float64(s.Required.CPU) / 1000 * float64(min(s.Estimate, wigeonbalance.BacklogClearTime).Milliseconds())
}

// finiteWork returns the remaining work of all steps that are not long-running, in core-milliseconds.
func (occ *occurrence) finiteWork() float64 {
	work := 0.0
	for _, s := range occ.steps {
		if !s.LongRunning {
			work += float64(s.tasksLeft) * float64(s.Required.CPU) / 1000 * float64(s.Estimate.Milliseconds())
		}
	}
	return work
}

// recordArrival adds the finite work of a pending job to the arrival rate of its service.
func (o *Owner) recordArrival(now Timestamp, j *job) {
	work := 0.0
	for _, occ := range j.occurrences {
		work += occ.finiteWork()
	}
	if work == 0 {
		return
	}
	a := o.arrivals[j.Service]
	if a == nil {
		a = &arrivalRate{updatedAt: now.Steady}
		o.arrivals[j.Service] = a
	}
	a.add(now.Steady, work)
}
