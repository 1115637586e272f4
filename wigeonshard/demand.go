package wigeonshard

import (
	"math"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// arrivalSpan is the time over which the work that arrives is averaged; the turns of the queues take seconds.
const arrivalSpan = 700 * time.Millisecond

// arrivals averages the work that arrives at a service.
type arrivals struct {
	// rate is in core-milliseconds a millisecond, which is cores.
	rate float64
	at   time.Duration
}

func (a *arrivals) add(now time.Duration, work float64) {
	a.decay(now)
	a.rate += work / float64(arrivalSpan.Milliseconds())
}

func (a *arrivals) decay(now time.Duration) {
	a.rate *= math.Exp(-float64(now-a.at) / float64(arrivalSpan))
	a.at = now
}

// Demand is what a service needs and has.
type Demand struct {
	Service wigeonstep.ServiceName
	// Work is what is left of accepted jobs that end, in core-milliseconds.
	Work float64
	// Arrival is the work that arrives, in cores.
	Arrival float64
	// Capacity is the CPU of usable workers, less what long-running tasks take.
	Capacity wigeonstep.MilliCPU
	// Blocked counts the long-running tasks that wait for a worker.
	Blocked int
	// Usable are the workers that may take work, Idle those of them on which nothing runs.
	Usable []wigeonstep.WorkerID
	Idle   []wigeonstep.WorkerID
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
			demands[i].Arrival = a.rate
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
		}
		d.Capacity += w.Capacity.CPU
		for _, r := range w.runs {
			if r.task.step.LongRunning {
				d.Capacity -= r.task.step.Room().CPU
			}
		}
	}
	for _, j := range o.order {
		d := index[j.Service]
		if d == nil || j.state.Terminal() {
			continue
		}
		for _, occ := range j.occurrences {
			d.Work += occ.finiteWork()
			for _, s := range occ.steps {
				if s.LongRunning {
					d.Blocked += s.Count - s.live
				}
			}
		}
	}
	return demands
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
