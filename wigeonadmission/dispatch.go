package wigeonadmission

import (
	"container/heap"
	"time"
)

// mayStart reports whether a ticket of the class may take a slot now, apart from the turn of other teams.
func (p *Pool) mayStart(c *class) bool {
	return p.held < p.grant.Slots && c.team.held < c.team.localLimit && (!c.long() || p.longMayStart(c.team))
}

// longMayStart reports whether long work of the team leaves the reserve and the unused guarantees of other teams alone.
func (p *Pool) longMayStart(t *team) bool {
	return p.heldLong < p.longLimit && (t.belowGuarantee() || p.grant.Slots-p.held > p.unfilled)
}

// next returns the class whose first ticket takes the next slot, nil when nothing may start.
func (p *Pool) next() *class {
	if p.held >= p.grant.Slots {
		return nil
	}
	// While short work holds less than the reserve, it goes first, and only short slots count: a team's own long work must not
	// keep its short work out of the reserve.
	if p.held-p.heldLong < p.grant.Slots-p.longLimit {
		if t := p.ranks[rankReserve].top(); t != nil {
			return t.next(false)
		}
	}
	short, long := p.ranks[rankShort].top(), p.ranks[rankLong].top()
	if long != nil && !p.longMayStart(long) {
		long = nil
	}
	switch {
	case short == nil && long == nil:
		return nil
	case long == nil:
		return short.next(false)
	case short == nil:
		return long.next(true)
	case short == long:
		// Between its own kinds a team's slots are shared equally, so that a steady stream of short work does not keep a long job
		// from ever starting.
		return short.next(long.heldLong < short.heldShort())
	case p.ranks[rankLong].less(long, short):
		return long.next(true)
	default:
		return short.next(false)
	}
}

// start gives the ticket a slot.
func (p *Pool) start(now time.Time, t *Ticket) {
	c := t.class
	t.state, t.started = ticketRunning, now
	c.run.start(now)
	p.wake(c.team)
	p.virtual = max(p.virtual, c.team.virtual)
	c.team.virtual += c.run.mean / float64(c.team.weight)
	p.addHeld(c, 1)
}

// wake brings the virtual time of an idle team up to date, so that it gains nothing from having been idle.
func (p *Pool) wake(t *team) {
	if t.held == 0 && t.queuedShort == 0 && t.queuedLong == 0 {
		t.virtual = max(t.virtual, p.virtual)
	}
}

// addHeld changes the slots that the class holds.
func (p *Pool) addHeld(c *class, n int) {
	t := c.team
	p.unfilled -= t.unfilled()
	wasActive := t.activeShort()
	c.running += n
	t.held += n
	p.held += n
	if c.long() {
		t.heldLong += n
		p.heldLong += n
	}
	p.unfilled += t.unfilled()
	p.changed(t, wasActive)
}

// addQueued changes the count of queued tickets of the class.
func (p *Pool) addQueued(c *class, n int) {
	t := c.team
	wasActive := t.activeShort()
	if c.long() {
		t.queuedLong += n
	} else {
		t.queuedShort += n
		p.queuedShort += n
	}
	p.queued += n
	p.changed(t, wasActive)
}

// changed keeps the sums and rankings that depend on the team.
func (p *Pool) changed(t *team, wasActive bool) {
	switch active := t.activeShort(); {
	case active && !t.counted:
		t.counted = true
		p.activeWeight += t.weight
	case !active && wasActive:
		t.idleSince = p.now
		if !t.idleListed {
			t.idleListed = true
			p.idle = append(p.idle, t)
		}
	}
	p.rank(t)
}

// activeSpan is how long a team without short work still counts in the split. A team that sends in bursts, or a little all the
// time, is back well within it, and its share must not be promised to the tickets of others.
const activeSpan = 10 * time.Second

// tick moves the pool's time on and, over several calls, forgets the teams that have been idle for activeSpan.
func (p *Pool) tick(now time.Time) {
	if now.After(p.now) {
		p.now = now
	}
	if len(p.idle) == 0 {
		return
	}
	// One team is looked at per call, in turn, so that the cost does not depend on the number of teams.
	t := p.idle[0]
	p.idle = p.idle[1:]
	if p.now.Sub(t.idleSince) <= activeSpan {
		p.idle = append(p.idle, t)
		return
	}
	t.idleListed = false
	if t.counted && !t.activeShort() {
		t.counted = false
		p.activeWeight -= t.weight
	}
}

func (p *Pool) rank(t *team) {
	for i := range p.ranks {
		p.ranks[i].update(t)
	}
}

func (p *Pool) enqueue(t *Ticket) {
	p.wake(t.class.team)
	t.state = ticketQueued
	t.element = t.class.queue.PushBack(t)
	if !t.expiry.IsZero() {
		heap.Push(&p.expiries, t)
	}
	p.addQueued(t.class, 1)
}

func (p *Pool) dequeue(t *Ticket) {
	t.class.queue.Remove(t.element)
	t.element = nil
	if t.expiryIndex >= 0 {
		heap.Remove(&p.expiries, t.expiryIndex)
	}
	p.addQueued(t.class, -1)
}

// collect moves the tickets whose time has passed out of the queues.
func (p *Pool) collect(now time.Time) {
	p.tick(now)
	for len(p.expiries) > 0 && !p.expiries[0].expiry.After(now) {
		t := p.expiries[0]
		p.dequeue(t)
		t.state = ticketEnded
		p.expired = append(p.expired, t)
	}
}
