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

// Config configures a Pool.
type Config struct {
	// Name is the name of the pool, used in reasons. Documents of other pools are ignored.
	Name wigeonstep.PoolName
	// Seed seeds the jitter of Retry-After, default 0.
	Seed uint64
}

// Pool holds the queues of one pool of VMs in one process, and counts the slots in use.
//
// A free slot goes to a team below its guarantee first, then to the team that holds the fewest slots per weight. Teams
// thus borrow idle slots and return them as their work ends. Long work does not use the slots reserved for short work,
// nor the unused guaranteed slots of other teams, because it holds a slot for hours.
type Pool struct {
	config Config
	random *rand.Rand
	grant  Grant
	teams  map[wigeonstep.TeamName]*team
	// teamList lists the teams in the order in which they were added.
	teamList     []*team
	classes      map[classKey]*class
	teamRankings [rankingCount]ranking

	held, heldLong int
	// queued counts all queued tickets, queuedShort those of short classes.
	queued, queuedShort int
	// longLimit is the maximum number of this process's slots that long work may hold.
	longLimit int
	// activeWeight is the sum of the weights of the teams that have short work running or queued, or had some within
	// the last idleTimeout.
	activeWeight int
	// idleTeams lists the teams whose short work ended and that still have to be checked against idleTimeout.
	idleTeams []*team
	// now is the latest time passed to advanceTime.
	now time.Time
	// unusedGuarantee is the number of guaranteed slots that the teams do not hold.
	unusedGuarantee int
	// virtualTime is the highest virtual time that a team had when one of its tickets started. Teams that were idle
	// resume from it.
	virtualTime float64
	expiries    expiryHeap
	// nextShed is the time from which NextExpiry asks for another call of Expire, which sheds tickets that can't start
	// in time.
	nextShed time.Time
	// demandPeak is the peak of held and queued tickets, decayed up to demandPeakAt.
	demandPeak   float64
	demandPeakAt time.Time
	// expired holds tickets that were removed from the queues and not yet returned by Expire.
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
	for i := range p.teamRankings {
		p.teamRankings[i].kind = i
	}
	return p
}

// SetSlots sets the slots that this process may use. A grant without ranges stands for the first slots of the pool. The
// caller must call Dispatch afterwards.
func (p *Pool) SetSlots(grant Grant) {
	grant.PoolSlots = max(grant.PoolSlots, 0)
	grant.Slots = min(max(grant.Slots, 0), grant.PoolSlots)
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
		if latest := t.Enqueued.Add(c.maxQueueTime()); t.expiry.IsZero() || latest.Before(t.expiry) {
			t.expiry = latest
		}
	}
	if !t.expiry.IsZero() && !now.Before(t.expiry) {
		return p.refuse("the longest queue time has passed")
	}
	p.expireQueued(now)
	if c.team.nextClass(c.long()) == nil && p.mayStart(c) {
		p.startTicket(now, t)
		return Decision{Verdict: Started}
	}
	decision := Decision{Verdict: Queued}
	if !c.long() {
		decision = p.queueOrRefuse(now, t)
	}
	if decision.Verdict == Refused {
		t.state = ticketEnded
		return decision
	}
	p.enqueue(t)
	return decision
}

func (p *Pool) refuse(reason string) Decision {
	return Decision{Verdict: Refused, Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: p.jitter(defaultRetryAfter)}
}

// Finish releases the slot of a running ticket and returns the tickets that start now. A positive run time is added to
// the run time estimate; pass zero for work that did not run to its end.
func (p *Pool) Finish(now time.Time, t *Ticket, run time.Duration) []*Ticket {
	p.advanceTime(now)
	if t.state == ticketRunning {
		t.state = ticketEnded
		t.class.runEstimate.addSample(run)
		p.addHeld(t.class, -1)
		t.class.runEstimate.runEnded(t.started, t.class.running)
	}
	return p.Dispatch(now)
}

// Cancel removes a queued ticket from its queue or releases the slot of a running one, and returns the tickets that
// start now. If the work keeps running after the cancellation, call Finish when it ends instead.
func (p *Pool) Cancel(now time.Time, t *Ticket) (wasQueued bool, started []*Ticket) {
	if t.state == ticketQueued {
		p.dequeue(t)
		t.state = ticketEnded
		return true, p.Dispatch(now)
	}
	return false, p.Finish(now, t, 0)
}

// Expire removes and returns the queued tickets whose maximum queue time or deadline has passed, and the queued short
// tickets that are estimated to start only after that time. ExpiredDecision returns the decision for each of them.
func (p *Pool) Expire(now time.Time) []*Ticket {
	p.expireQueued(now)
	p.shed(now)
	p.nextShed = p.now.Add(shedInterval)
	expired := p.expired
	p.expired = nil
	return expired
}

// NextExpiry returns the time of the next call of Expire, or false if no queued ticket can expire. While short work is
// queued, that time is at most 100 ms after the last call of Expire.
func (p *Pool) NextExpiry() (time.Time, bool) {
	switch {
	case len(p.expired) > 0:
		return p.expired[0].expiry, true
	case len(p.expiries) == 0:
		return time.Time{}, false
	case p.queuedShort > 0 && p.nextShed.Before(p.expiries[0].expiry):
		return p.nextShed, true
	default:
		return p.expiries[0].expiry, true
	}
}

// Dispatch starts as many queued tickets as slots and limits allow and returns them. It never starts an expired ticket.
func (p *Pool) Dispatch(now time.Time) []*Ticket {
	p.expireQueued(now)
	var started []*Ticket
	for c := p.nextClass(); c != nil; c = p.nextClass() {
		t := c.head()
		p.startTicket(now, t)
		p.dequeue(t)
		started = append(started, t)
	}
	return started
}

// demandHalfLife is the half-life of the reported demand after a peak. Without the decay, a process lends out its slots
// in every short lull and reclaims them while requests of the borrowers still run on them; its own requests then reach
// full servers.
const demandHalfLife = 2 * time.Second

// Demand returns the demand that the process reports to its peers. Wanted is the number of held and queued tickets;
// after a peak it decays with demandHalfLife.
func (p *Pool) Demand(now time.Time) Demand {
	p.advanceTime(now)
	if age := p.now.Sub(p.demandPeakAt); age > 0 {
		p.demandPeak *= math.Exp2(-age.Seconds() / demandHalfLife.Seconds())
	}
	p.demandPeak, p.demandPeakAt = max(p.demandPeak, float64(p.held+p.queued)), p.now
	return Demand{Held: p.held, Wanted: int(p.demandPeak), HeldLong: p.heldLong}
}

// ExpectedRun returns the mean run time of a class, or zero for an unknown class. Until the first run has ended, it is
// the declared time.
func (p *Pool) ExpectedRun(team wigeonstep.TeamName, class wigeonstep.ClassName) time.Duration {
	c := p.classes[classKey{team, class}]
	if c == nil {
		return 0
	}
	return durationFromSeconds(c.runEstimate.meanSeconds)
}
