package wigeonadmission

import (
	"fmt"
	"math"
	"net/http"
	"time"
)

// runTime learns the run time of a class. Documents state run times that are wrong by a factor of ten either way, so the declared
// one only serves until something was seen.
type runTime struct {
	// mean is in seconds.
	mean float64
	// seen counts observations up to runTimeMemory.
	seen int
	// startSum is the sum of the start times of the running tickets, in seconds since epoch.
	startSum float64
	epoch    time.Time
}

// runTimeMemory is how many observations the decayed mean spans.
const runTimeMemory = 128

func (r *runTime) start(now time.Time) {
	if r.epoch.IsZero() {
		r.epoch = now
	}
	r.startSum += now.Sub(r.epoch).Seconds()
}

func (r *runTime) end(started time.Time, running int) {
	r.startSum -= started.Sub(r.epoch).Seconds()
	if running == 0 {
		// Starting afresh keeps rounding errors and the distance to the epoch from growing without end.
		r.startSum, r.epoch = 0, time.Time{}
	}
}

// learn adds an observation. The first one replaces the declared time.
func (r *runTime) learn(run time.Duration) {
	if run <= 0 {
		return
	}
	r.seen = min(r.seen+1, runTimeMemory)
	r.mean += (run.Seconds() - r.mean) / float64(r.seen)
}

// ageWeight is how many observations a mean counts for against the ages of running tickets.
const ageWeight = 16

// seconds returns the expected run time. Running tickets that are older than the mean says raise it, because work that is ten times
// longer than declared otherwise shows itself only when it ends. The ages of n tickets with exponential run times add up to n means
// with a deviation of sqrt(n) means; only what is beyond that counts.
func (r *runTime) seconds(now time.Time, running int) float64 {
	mean := max(r.mean, 1e-4)
	if running == 0 {
		return mean
	}
	n := float64(running)
	ages := n*now.Sub(r.epoch).Seconds() - r.startSum
	beyond := max(ages/mean-n-math.Sqrt(n), 0)
	return mean * (1 + beyond/max(n, float64(min(r.seen, ageWeight))))
}

func (c *class) expected(now time.Time) float64 { return c.run.seconds(now, c.running) }

// effectiveSlots estimates how many slots the team's short work gets while it queues: fair is its part of the slots that long work
// leaves, and now what it holds, which includes what it borrows, if that is more.
func (p *Pool) effectiveSlots(t *team) (fair, now float64) {
	weights := p.activeWeight
	if !t.counted {
		weights += t.weight
	}
	open := max(p.grant.Slots-p.heldLong, 1)
	fair = max(float64(open)*float64(t.weight)/float64(weights), float64(t.localGuarantee-t.heldLong))
	fair = min(fair, float64(t.localLimit), float64(open))
	return fair, min(max(fair, float64(t.heldShort())), float64(t.localLimit), float64(open))
}

// borrowTrust is for how long the estimate counts on borrowed slots. Other teams may take them back at any moment, and what was
// admitted on them is then refused after a wait instead of at once.
const borrowTrust = 250 * time.Millisecond

// drain returns how long the team's short work of so many slot seconds takes.
func (p *Pool) drain(t *team, work float64) time.Duration {
	fair, now := p.effectiveSlots(t)
	if trusted := now * borrowTrust.Seconds(); work > trusted {
		return borrowTrust + seconds((work-trusted)/fair)
	}
	return seconds(work / now)
}

// queuedAhead returns the work, in slot seconds, that starts before a new ticket of the class.
func (c *class) queuedAhead(now time.Time) float64 {
	ahead := 0.0
	for _, o := range c.team.classes {
		if o.long() || o.queue.Len() == 0 {
			continue
		}
		part := 1.0
		if later := o.maxQueue() - c.maxQueue(); later > 0 {
			// Only tickets that have waited longer than the difference of the bounds must start before the new one.
			age := now.Sub(o.head().Enqueued)
			part = max(0, (age-later).Seconds()/max(age.Seconds(), 1e-9))
		}
		ahead += part * float64(o.queue.Len()) * o.expected(now)
	}
	return ahead
}

// estimate returns how long a new ticket of a short class waits.
func (p *Pool) estimate(now time.Time, c *class) time.Duration {
	return p.drain(c.team, c.queuedAhead(now)+c.expected(now))
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, 1e9) * float64(time.Second))
}

// admitMargin is the part of the bound that the estimate may fill. Estimates are off by a tenth either way, and at the bound itself
// half of the admitted tickets would expire in the queue.
const admitMargin = 0.85

// admitQueued queues or refuses a ticket of a short class that finds no free slot.
func (p *Pool) admitQueued(now time.Time, t *Ticket) Decision {
	c := t.class
	if p.grant.Pool <= 0 {
		return Decision{
			Verdict: Refused, Status: http.StatusServiceUnavailable, Reason: fmt.Sprintf("pool %s has no slots", p.config.Name),
			RetryAfter: p.jitter(noSlotsRetry),
		}
	}
	wait := p.estimate(now, c)
	bound, rule := t.Enqueued.Add(c.maxQueue()).Sub(now), "max_queue_ms"
	if !t.Deadline.IsZero() && t.Deadline.Sub(now) < bound {
		bound, rule = t.Deadline.Sub(now), "the deadline"
	}
	if float64(wait) <= float64(bound)*admitMargin {
		return Decision{Verdict: Queued, Wait: wait}
	}
	status := http.StatusServiceUnavailable
	if fair, _ := p.effectiveSlots(c.team); float64(c.team.heldShort()) >= fair || c.team.held >= c.team.localLimit {
		status = http.StatusTooManyRequests
	}
	return Decision{
		Verdict: Refused,
		Status:  status,
		Reason: fmt.Sprintf("estimated wait %d ms is above the %d ms that %s leaves: team %s has %d queued and holds %d of %d slots of pool %s",
			wait.Milliseconds(), max(bound.Milliseconds(), 0), rule, c.team.name, c.team.queuedShort, c.team.held, p.grant.Slots, p.config.Name),
		RetryAfter: p.retryAfter(now, c, wait),
		Wait:       wait,
	}
}

const (
	// noSlotsRetry is the middle of the spread of Retry-After while the pool has no slots.
	noSlotsRetry = 5 * time.Second
	// longestRetry bounds Retry-After; callers that would be told to wait longer are spread over the second half of it.
	longestRetry = 60 * time.Second
)

// retryAfter gives each refused caller of a team its own time to come back, one after another at the rate at which the team's work
// drains, so that the callers of a burst do not return together.
func (p *Pool) retryAfter(now time.Time, c *class, wait time.Duration) time.Duration {
	t := c.team
	if first := now.Add(wait); t.returning.Before(first) {
		t.returning = first
	}
	_, slots := p.effectiveSlots(t)
	t.returning = t.returning.Add(seconds(c.expected(now) / slots))
	after := t.returning.Sub(now)
	if after > longestRetry {
		t.returning = now.Add(longestRetry)
		return longestRetry/2 + time.Duration(p.random.Int64N(int64(longestRetry/2)))
	}
	return p.jitter(after)
}

// jitter returns a duration within a tenth of d.
func (p *Pool) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*p.random.Float64()))
}
