package wigeonshard

import (
	"math"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonbalance"
)

const (
	// fastSpan and slowSpan are the times over which the work that arrives is averaged. The turns of the queues take
	// seconds, and a VM that leaves a pool in a lull of a turn is gone for as long as two moves take.
	fastSpan = 350 * time.Millisecond
	slowSpan = 1000 * time.Millisecond
)

// arrivals averages the work that arrives at a service.
type arrivals struct {
	// fast and slow are in core-milliseconds a millisecond, which is cores.
	fast, slow float64
	at         time.Duration
}

// rate rises as fast as the demand, and falls more slowly.
func (a *arrivals) rate() float64 { return max(a.fast, a.slow) }

func (a *arrivals) add(now time.Duration, work float64) {
	a.decay(now)
	a.fast += work / float64(fastSpan.Milliseconds())
	a.slow += work / float64(slowSpan.Milliseconds())
}

func (a *arrivals) decay(now time.Duration) {
	a.fast *= math.Exp(-float64(now-a.at) / float64(fastSpan))
	a.slow *= math.Exp(-float64(now-a.at) / float64(slowSpan))
	a.at = now
}

// Demand is what a service needs and has.
type Demand struct {
	Service wigeonstep.ServiceName
	// Work is what can be worked on now of the finite steps whose turn has come, in core-milliseconds.
	Work float64
	// Arrival is the work that arrives, in cores.
	Arrival float64
	// Capacity is the CPU of usable workers, less what long-running tasks take.
	Capacity wigeonstep.MilliCPU
	// Blocked is how many workers are missing for long-running tasks that wait or that have to leave their worker.
	Blocked int
	// Usable are the workers that may take work, Idle those of them on which nothing runs.
	Usable []wigeonstep.WorkerID
	Idle   []wigeonstep.WorkerID
	// Emptying are the usable workers on which only work that ends runs, with the time that it is expected to take.
	Emptying []Emptying
}

// Emptying is a worker that would be empty soon if it got no more work.
type Emptying struct {
	Worker    wigeonstep.WorkerID
	Remaining time.Duration
}

// Demands returns what each of the services needs and has.
func (o *Owner) Demands(now Now, services []wigeonstep.ServiceName) []Demand {
	demands := make([]Demand, len(services))
	index := make(map[wigeonstep.ServiceName]*Demand, len(services))
	for i, name := range services {
		demands[i].Service = name
		index[name] = &demands[i]
		if a := o.arrivals[name]; a != nil {
			a.decay(now.Steady)
			demands[i].Arrival = a.rate()
		}
	}
	for _, w := range o.roster {
		d := index[w.Service]
		if d == nil || !w.usable() {
			continue
		}
		d.Usable = append(d.Usable, w.ID)
		if len(w.runs) == 0 {
			d.Idle = append(d.Idle, w.ID)
		} else if remaining, ends := w.remaining(now.Steady); ends {
			d.Emptying = append(d.Emptying, Emptying{Worker: w.ID, Remaining: remaining})
		}
		d.Capacity += w.Capacity.CPU
		for _, r := range w.runs {
			if r.task.step.LongRunning {
				d.Capacity -= r.task.step.Room().CPU
			}
		}
	}
	for name, n := range o.blocked() {
		if d := index[name]; d != nil {
			d.Blocked = n
		}
	}
	for _, j := range o.order {
		d := index[j.Service]
		if d == nil || j.state.Terminal() {
			continue
		}
		for _, occ := range j.occurrences {
			d.Work += occ.readyWork()
		}
	}
	return demands
}

// remaining returns the time until the runs of the worker are expected to have ended; ends is false when one is
// long-running.
func (w *worker) remaining(now time.Duration) (longest time.Duration, ends bool) {
	for _, r := range w.runs {
		s := r.task.step
		if s.LongRunning {
			return 0, false
		}
		left := s.Estimate
		if r.phase == runTaken {
			left = max(s.Estimate-(now-r.began), 0)
		}
		longest = max(longest, left)
	}
	return longest, true
}

// blocked returns for each service how many workers are missing for long-running tasks. One worker takes tasks of many
// steps, so the step that lacks most decides.
func (o *Owner) blocked() map[wigeonstep.ServiceName]int {
	missing := map[wigeonstep.ServiceName]int{}
	for _, j := range o.order {
		if j.state.Terminal() {
			continue
		}
		for _, occ := range j.occurrences {
			for _, s := range occ.steps {
				if s.LongRunning && s.ready() {
					missing[j.Service] = max(missing[j.Service], o.stuck(s))
				}
			}
		}
	}
	return missing
}

// stuck counts the tasks of a long-running step that need a worker which no usable one can replace.
func (o *Owner) stuck(s *step) int {
	n := 0
	for _, t := range s.tasks {
		if len(t.runs) == 0 && !o.roomFor(s, nil) {
			n++
			continue
		}
		for _, r := range t.runs {
			leaving := r.worker.cordoned != "" || r.worker.Draining
			if leaving && !r.stopping && !o.roomElsewhere(r) {
				n++
			}
		}
	}
	return n
}

// readyWork returns the work that is left of the finite steps whose turn has come, in core-milliseconds. Later steps do
// not count: no VM can work on them yet. Half of what runs is taken as done. A long task counts for no more than the pool
// can put to use in the time in which it clears what waits, which is the task's own cores.
func (occ *occurrence) readyWork() float64 {
	work := 0.0
	for _, s := range occ.steps {
		if s.LongRunning || s.left == 0 || !s.ready() {
			continue
		}
		tasks := float64(s.left) - float64(min(s.live, s.left))/2
		work += tasks * float64(s.Need.CPU) / 1000 * float64(min(s.Estimate, wigeonbalance.ClearTime).Milliseconds())
	}
	return work
}

// finiteWork returns the work that is left of the tasks that end, in core-milliseconds.
func (occ *occurrence) finiteWork() float64 {
	work := 0.0
	for _, s := range occ.steps {
		if !s.LongRunning {
			work += float64(s.left) * float64(s.Need.CPU) / 1000 * float64(s.Estimate.Milliseconds())
		}
	}
	return work
}

// arrived counts the work of a job that has just been accepted.
func (o *Owner) arrived(now Now, j *job) {
	work := 0.0
	for _, occ := range j.occurrences {
		work += occ.finiteWork()
	}
	if work == 0 {
		return
	}
	a := o.arrivals[j.Service]
	if a == nil {
		a = &arrivals{at: now.Steady}
		o.arrivals[j.Service] = a
	}
	a.add(now.Steady, work)
}
