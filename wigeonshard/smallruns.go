package wigeonshard

import (
	"cmp"
	"math"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// This file bounds the runs of an owner. The capacity of the workers bounds those of ordinary tasks, however long they last, and nothing
// else may: a run that never ends would keep its part of any other limit for good. Only tasks that are so small that the workers would
// hold too many of them for the memory of the owner are limited in number, and so they keep no ordinary task waiting.

const (
	// defaultMaxSmallRuns is the default of Settings.MaxSmallRuns, as many as the tasks of the largest job.
	defaultMaxSmallRuns = wigeonjob.MaxTasks
	// smallTaskShare makes a task small: the capacity of its service is enough for more than smallTaskShare of them.
	smallTaskShare = 1 << 14
	// tinyTaskShare makes a small task tiny, in the same way, and tinyRunsShare is the part of the limit, one in tinyRunsShare, that tiny
	// tasks leave to larger ones. In a service with very many workers the tasks of ordinary jobs may be small, but not tiny.
	tinyTaskShare = 16 * smallTaskShare
	tinyRunsShare = 4
)

// smallRuns counts the runs of small tasks. The zero value has none.
type smallRuns struct {
	count int
	// capacities holds the capacity of the listed workers of each service.
	capacities map[wigeonstep.ServiceName]wigeonstep.Resources
}

func (s *Settings) maxSmallRuns() int { return cmp.Or(s.MaxSmallRuns, defaultMaxSmallRuns) }

// setWorkers takes over the capacities of the listed workers.
func (c *smallRuns) setWorkers(workers []*worker) {
	if c.capacities == nil {
		c.capacities = map[wigeonstep.ServiceName]wigeonstep.Resources{}
	}
	clear(c.capacities)
	for _, w := range workers {
		if w.listed {
			c.capacities[w.Service] = c.capacities[w.Service].Add(w.Capacity)
		}
	}
}

// fits reports whether the workers of the step's service have the capacity for a number of its tasks.
func (c *smallRuns) fits(s *step, tasks int) bool {
	return c.capacities[s.job.Service].Covers(times(s.Reserved(), tasks))
}

func (c *smallRuns) attached(r *run) {
	if r.small = c.fits(r.task.step, smallTaskShare); r.small {
		c.count++
	}
}

func (c *smallRuns) detached(r *run) {
	if r.small {
		c.count--
	}
}

// left returns the number of runs of the step that may be added to those under way.
func (c *smallRuns) left(s *step, limit int) int {
	switch {
	case !c.fits(s, smallTaskShare):
		return math.MaxInt
	case c.fits(s, tinyTaskShare):
		limit -= limit / tinyRunsShare
	}
	return max(limit-c.count, 0)
}

// runsLeft returns the number of runs of the step that may be added to those under way. A gang that needs more than the limit is started
// when there are no other small runs.
func (o *Owner) runsLeft(s *step) int {
	if s.Gang && o.smallRuns.count == 0 {
		return math.MaxInt
	}
	left := o.smallRuns.left(s, o.settings.maxSmallRuns())
	if s.Gang && left < s.Count {
		return 0
	}
	return left
}
