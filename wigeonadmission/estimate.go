package wigeonadmission

import (
	"fmt"
	"math"
	"net/http"
	"time"
)

// runTimeEstimator estimates the run time of a class. Declared run times can be wrong by a factor of ten in either
// direction, so the declared value is used only until the first run has ended.
type runTimeEstimator struct {
	// meanSeconds is the declared run time until the first sample, afterwards the decayed mean of the samples.
	meanSeconds float64
	// samples is the number of samples, at most maxSamples.
	samples int
	// startSumSeconds is the sum of the start times of the running tickets, in seconds since epoch.
	startSumSeconds float64
	epoch           time.Time
}

// maxSamples is the number of samples that the decayed mean spans.
const maxSamples = 128

// runStarted adds a ticket that starts now to the running tickets.
func (r *runTimeEstimator) runStarted(now time.Time) {
	if r.epoch.IsZero() {
		r.epoch = now
	}
	r.startSumSeconds += now.Sub(r.epoch).Seconds()
}

// runEnded removes a ticket that started at the given time. running is the number of tickets that still run.
func (r *runTimeEstimator) runEnded(started time.Time, running int) {
	r.startSumSeconds -= started.Sub(r.epoch).Seconds()
	if running == 0 {
		// Resetting the epoch while nothing runs bounds rounding errors and the size of the sum.
		r.startSumSeconds, r.epoch = 0, time.Time{}
	}
}

// addSample adds the run time of a finished ticket. The first sample replaces the declared time.
func (r *runTimeEstimator) addSample(run time.Duration) {
	if run <= 0 {
		return
	}
	r.samples = min(r.samples+1, maxSamples)
	r.meanSeconds += (run.Seconds() - r.meanSeconds) / float64(r.samples)
}

// maxMeanWeight bounds the weight, in samples, of the mean against the ages of running tickets.
const maxMeanWeight = 16

// expectedSeconds returns the expected run time. Running tickets that are older than the mean predicts raise it;
// otherwise runs that became ten times longer would show only when they end. The ages of n tickets with exponential run
// times add up to n means with a standard deviation of sqrt(n) means, so only the excess over n + sqrt(n) means raises
// the estimate.
func (r *runTimeEstimator) expectedSeconds(now time.Time, running int) float64 {
	mean := max(r.meanSeconds, 1e-4)
	if running == 0 {
		return mean
	}
	n := float64(running)
	ages := n*now.Sub(r.epoch).Seconds() - r.startSumSeconds
	overdueMeans := max(ages/mean-n-math.Sqrt(n), 0)
	return mean * (1 + overdueMeans/max(n, float64(min(r.samples, maxMeanWeight))))
}

func (c *class) expectedRunSeconds(now time.Time) float64 {
	return c.runEstimate.expectedSeconds(now, c.running)
}

// effectiveSlots estimates the number of slots that the team's short work gets while it queues. fair is the team's
// share, by weight, of the slots that long work does not hold. current is the larger of fair and the number of slots
// that the team's short work holds now, which include borrowed ones.
func (p *Pool) effectiveSlots(t *team) (fair, current float64) {
	weights := p.activeWeight
	if !t.inActiveWeight {
		weights += t.weight
	}
	shortSlots := max(p.grant.Slots-p.heldLong, 1)
	fair = max(float64(shortSlots)*float64(t.weight)/float64(weights), float64(t.localGuarantee-t.heldLong))
	fair = min(fair, float64(t.localLimit), float64(shortSlots))
	return fair, min(max(fair, float64(t.heldShort())), float64(t.localLimit), float64(shortSlots))
}

// borrowedSlotHorizon is the time for which the estimate counts on borrowed slots. Other teams may reclaim them at any
// moment, and tickets admitted on the strength of them are then refused after a wait instead of at once.
const borrowedSlotHorizon = 250 * time.Millisecond

// drainTime returns the time that the team's short work of the given slot seconds takes.
func (p *Pool) drainTime(t *team, work float64) time.Duration {
	fair, current := p.effectiveSlots(t)
	if horizonWork := current * borrowedSlotHorizon.Seconds(); work > horizonWork {
		return borrowedSlotHorizon + durationFromSeconds((work-horizonWork)/fair)
	}
	return durationFromSeconds(work / current)
}

// queuedWorkAhead returns the team's queued short work, in slot seconds, that starts before a new ticket of the class.
func (c *class) queuedWorkAhead(now time.Time) float64 {
	ahead := 0.0
	for _, o := range c.team.classes {
		if o.long() || o.queue.Len() == 0 {
			continue
		}
		// part is the fraction of o's queue that starts before the new ticket, if the tickets of o arrived at an even
		// rate.
		part := 1.0
		if boundDifference := o.maxQueueTime() - c.maxQueueTime(); boundDifference > 0 {
			// A ticket of o expires before the new one only if it has already waited longer than the difference of the
			// two bounds.
			age := now.Sub(o.head().Enqueued)
			part = max(0, (age-boundDifference).Seconds()/max(age.Seconds(), 1e-9))
		}
		ahead += part * float64(o.queue.Len()) * o.expectedRunSeconds(now)
	}
	return ahead
}

// estimateWait returns the estimated queue time of a new ticket of a short class.
func (p *Pool) estimateWait(now time.Time, c *class) time.Duration {
	return p.drainTime(c.team, c.queuedWorkAhead(now)+c.expectedRunSeconds(now))
}

func durationFromSeconds(s float64) time.Duration {
	return time.Duration(min(s, 1e9) * float64(time.Second))
}

// waitBoundFraction is the fraction of the queue time bound up to which the estimated wait is accepted. Estimates are
// off by a tenth in either direction; at the full bound, half of the admitted tickets would expire in the queue.
const waitBoundFraction = 0.85

// queueOrRefuse decides on a ticket of a short class that can't start at once.
func (p *Pool) queueOrRefuse(now time.Time, t *Ticket) Decision {
	c := t.class
	if p.grant.PoolSlots <= 0 {
		return Decision{
			Verdict: Refused, Status: http.StatusServiceUnavailable, Reason: fmt.Sprintf("pool %s has no slots", p.config.Name),
			RetryAfter: p.jitter(defaultRetryAfter),
		}
	}
	wait := p.estimateWait(now, c)
	bound, rule := t.Enqueued.Add(c.maxQueueTime()).Sub(now), "max_queue_ms"
	if !t.Deadline.IsZero() && t.Deadline.Sub(now) < bound {
		bound, rule = t.Deadline.Sub(now), "the deadline"
	}
	if float64(wait) <= float64(bound)*waitBoundFraction {
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
		RetryAfter: p.nextRetryAfter(now, c, wait),
		Wait:       wait,
	}
}

const (
	// defaultRetryAfter is the mean Retry-After of refusals without an estimated wait, such as those of a pool without
	// slots.
	defaultRetryAfter = 5 * time.Second
	// maxRetryAfter bounds Retry-After. Callers whose computed Retry-After is longer get a random one between half of
	// maxRetryAfter and maxRetryAfter.
	maxRetryAfter = 60 * time.Second
)

// nextRetryAfter returns the Retry-After of a refused ticket. Each refused caller of a team gets a later time than the
// one before, spaced at the rate at which the team's work drains, so that the callers of a burst do not return at the
// same time.
func (p *Pool) nextRetryAfter(now time.Time, c *class, wait time.Duration) time.Duration {
	t := c.team
	if earliest := now.Add(wait); t.lastRetryAt.Before(earliest) {
		t.lastRetryAt = earliest
	}
	_, slots := p.effectiveSlots(t)
	t.lastRetryAt = t.lastRetryAt.Add(durationFromSeconds(c.expectedRunSeconds(now) / slots))
	after := t.lastRetryAt.Sub(now)
	if after > maxRetryAfter {
		t.lastRetryAt = now.Add(maxRetryAfter)
		return maxRetryAfter/2 + time.Duration(p.random.Int64N(int64(maxRetryAfter/2)))
	}
	return p.jitter(after)
}

// jitter returns a random duration within 10% of d.
func (p *Pool) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*p.random.Float64()))
}
