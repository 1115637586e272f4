package wigeonadmission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonrouting"
)

// Config is the configuration of a Pool.
type Config struct {
	// Name is the pool's name, used in reasons.
	Name wigeonstep.PoolName
	// Seed seeds the jitter of Retry-After, default 0.
	Seed uint64
}

// Pool holds the queues and slots of one pool of VMs in one process.
//
// A free slot goes to the team that is below its guarantee, else to the one that holds the fewest slots per weight, so that teams
// borrow idle slots and give them back as their work ends. Long work leaves the reserve, and the guaranteed slots of other teams,
// to work that comes later, because it gives nothing back for hours.
type Pool struct {
	config Config
	random *rand.Rand
	grant  Grant
	teams  map[wigeonstep.TeamName]*team
	// order has the teams in the order in which they were first seen.
	order   []*team
	classes map[classKey]*class
	ranks   [rankings]ranking

	held, heldLong int
	// queued counts all queued tickets, queuedShort those of short classes.
	queued, queuedShort int
	// longLimit is the number of slots that long work may hold here.
	longLimit int
	// activeWeight is the sum of the weights of teams whose short work runs or waits, or did so in the last activeSpan.
	activeWeight int
	// idle has the teams that became idle and may have to be forgotten.
	idle []*team
	// now is the latest time that a call passed.
	now time.Time
	// unfilled is the sum of the guaranteed slots that teams do not hold.
	unfilled int
	// virtual is the virtual time of the team served last; a team that comes back starts there.
	virtual  float64
	expiries expiryHeap
	// shedNext is when the queues are looked through next for tickets that cannot start in time.
	shedNext time.Time
	// peak is the decayed peak of the demand at the time peakAt.
	peak   float64
	peakAt time.Time
	// expired holds tickets that left the queue and were not yet returned by Expire.
	expired []*Ticket
}

type classKey struct {
	team  wigeonstep.TeamName
	class wigeonstep.ClassName
}

// New returns a pool without services and slots.
func New(config Config) *Pool {
	p := &Pool{
		config:  config,
		random:  rand.New(rand.NewPCG(config.Seed, 1)),
		teams:   map[wigeonstep.TeamName]*team{},
		classes: map[classKey]*class{},
	}
	for i := range p.ranks {
		p.ranks[i].kind = i
	}
	return p
}

// SetSlots sets the slots that this process may hold. Without ranges they are the first ones of the pool. Call Dispatch afterwards.
func (p *Pool) SetSlots(grant Grant) {
	grant.Pool = max(grant.Pool, 0)
	grant.Slots = min(max(grant.Slots, 0), grant.Pool)
	if len(grant.Ranges) == 0 {
		grant.Ranges = []wigeonrouting.SlotRange{{Count: grant.Slots}}
	}
	if grant.Equal(p.grant) {
		return
	}
	p.grant = grant
	p.applyGrant()
}

// Submit starts, queues or refuses the ticket.
func (p *Pool) Submit(now time.Time, t *Ticket) Decision {
	c := p.classes[classKey{t.Team, t.Class}]
	switch {
	case t.state != ticketNew:
		return p.refuse("the ticket was submitted before")
	case c == nil:
		return p.refuse(fmt.Sprintf("pool %s has no class %s of team %s", p.config.Name, t.Class, t.Team))
	case !t.Deadline.IsZero() && !now.Before(t.Deadline):
		return p.refuse("the deadline has passed")
	}
	if t.Enqueued.IsZero() {
		t.Enqueued = now
	}
	t.class, t.expiryIndex = c, -1
	t.expiry = t.Deadline
	if !c.long() {
		if latest := t.Enqueued.Add(c.maxQueue()); t.expiry.IsZero() || latest.Before(t.expiry) {
			t.expiry = latest
		}
	}
	if !t.expiry.IsZero() && !now.Before(t.expiry) {
		return p.refuse("the longest queue time has passed")
	}
	p.collect(now)
	if c.team.next(c.long()) == nil && p.mayStart(c) {
		p.start(now, t)
		return Decision{Verdict: Started}
	}
	decision := Decision{Verdict: Queued}
	if !c.long() {
		decision = p.admitQueued(now, t)
	}
	if decision.Verdict == Refused {
		t.state = ticketEnded
		return decision
	}
	p.enqueue(t)
	return decision
}

func (p *Pool) refuse(reason string) Decision {
	return Decision{Verdict: Refused, Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: p.jitter(noSlotsRetry)}
}

// Finish gives the ticket's slot back and returns the tickets that start now. The run time teaches the estimate; zero teaches
// nothing and is for work that did not run to its end.
func (p *Pool) Finish(now time.Time, t *Ticket, run time.Duration) []*Ticket {
	p.tick(now)
	if t.state == ticketRunning {
		t.state = ticketEnded
		t.class.run.learn(run)
		p.addHeld(t.class, -1)
		t.class.run.end(t.started, t.class.running)
	}
	return p.Dispatch(now)
}

// Cancel takes the ticket out of the queue, or gives its slot back when it has started, and returns the tickets that start now.
// The caller uses Finish instead when started work goes on after the cancellation.
func (p *Pool) Cancel(now time.Time, t *Ticket) (wasQueued bool, started []*Ticket) {
	if t.state == ticketQueued {
		p.dequeue(t)
		t.state = ticketEnded
		return true, p.Dispatch(now)
	}
	return false, p.Finish(now, t, 0)
}

// Expire removes and returns the queued tickets whose queue time or deadline has passed, and those that certainly will not start
// in time. Refusal gives the answer for each.
func (p *Pool) Expire(now time.Time) []*Ticket {
	p.collect(now)
	p.shed(now)
	p.shedNext = p.now.Add(shedSpan)
	expired := p.expired
	p.expired = nil
	return expired
}

// NextExpiry returns when to call Expire next; false when nothing queued can expire. While short work is queued, that is at most
// 100 ms after the last call.
func (p *Pool) NextExpiry() (time.Time, bool) {
	switch {
	case len(p.expired) > 0:
		return p.expired[0].expiry, true
	case len(p.expiries) == 0:
		return time.Time{}, false
	case p.queuedShort > 0 && p.shedNext.Before(p.expiries[0].expiry):
		return p.shedNext, true
	default:
		return p.expiries[0].expiry, true
	}
}

// Dispatch starts as many queued tickets as the slots allow and returns them. It starts no ticket that has expired.
func (p *Pool) Dispatch(now time.Time) []*Ticket {
	p.collect(now)
	var started []*Ticket
	for c := p.next(); c != nil; c = p.next() {
		t := c.head()
		p.start(now, t)
		p.dequeue(t)
		started = append(started, t)
	}
	return started
}

// demandHalfLife is how fast the reported demand falls behind a peak. Without it, each lull of a process lends its slots out and
// takes them back while requests of others still run on them, which then meet full servers.
const demandHalfLife = 2 * time.Second

// Demand returns what the process reports to its peers. Wanted is what is held and queued, and falls slowly.
func (p *Pool) Demand(now time.Time) Demand {
	p.tick(now)
	if age := p.now.Sub(p.peakAt); age > 0 {
		p.peak *= math.Exp2(-age.Seconds() / demandHalfLife.Seconds())
	}
	p.peak, p.peakAt = max(p.peak, float64(p.held+p.queued)), p.now
	return Demand{Held: p.held, Wanted: int(p.peak), Long: p.heldLong}
}

// ExpectedRun returns the learned run time of a class, or zero for an unknown one.
func (p *Pool) ExpectedRun(team wigeonstep.TeamName, class wigeonstep.ClassName) time.Duration {
	c := p.classes[classKey{team, class}]
	if c == nil {
		return 0
	}
	return seconds(c.run.mean)
}
