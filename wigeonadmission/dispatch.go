package wigeonadmission

import (
	"container/heap"
	"time"
)

// mayStart reports whether the slots of the pool and the limits of the team allow a ticket of the class to start now.
// It does not compare the team with other teams that have queued tickets.
func (p *Pool) mayStart(c *class) bool {
	return p.held < p.grant.Slots && c.team.held < c.team.localLimit && (!c.long() || p.longMayStart(c.team))
}

// longMayStart reports whether the team may start long work without using slots that are reserved for short work or
// guaranteed to other teams.
func (p *Pool) longMayStart(t *team) bool {
	return p.heldLong < p.longLimit && (t.belowGuarantee() || p.grant.Slots-p.held > p.unusedGuarantee)
}

// nextClass returns the class whose first ticket gets the next free slot, or nil if no queued ticket may start.
func (p *Pool) nextClass() *class {
	if p.held >= p.grant.Slots {
		return nil
	}
	// While short work holds fewer slots than its reserve, short tickets start first, and teams are ranked by the short
	// slots that they hold. Ranking by all slots would let a team's own long work keep its short work out of the
	// reserve.
	if p.held-p.heldLong < p.grant.Slots-p.longLimit {
		if t := p.teamRankings[rankReserve].top(); t != nil {
			return t.nextClass(false)
		}
	}
	short, long := p.teamRankings[rankShort].top(), p.teamRankings[rankLong].top()
	if long != nil && !p.longMayStart(long) {
		long = nil
	}
	switch {
	case short == nil && long == nil:
		return nil
	case long == nil:
		return short.nextClass(false)
	case short == nil:
		return long.nextClass(true)
	case short == long:
		// A team splits its slots equally between short and long work, so that a steady stream of short work does not
		// starve its long jobs.
		return short.nextClass(long.heldLong < short.heldShort())
	case p.teamRankings[rankLong].less(long, short):
		return long.nextClass(true)
	default:
		return short.nextClass(false)
	}
}

// startTicket marks the ticket as running and accounts for its slot.
func (p *Pool) startTicket(now time.Time, t *Ticket) {
	c := t.class
	t.state, t.started = ticketRunning, now
	c.runEstimate.runStarted(now)
	p.catchUpVirtualTime(c.team)
	p.virtualTime = max(p.virtualTime, c.team.virtualTime)
	c.team.virtualTime += c.runEstimate.meanSeconds / float64(c.team.weight)
	p.addHeld(c, 1)
}

// catchUpVirtualTime raises the virtual time of an idle team to that of the pool, so that the team gains no credit for
// the time in which it was idle.
func (p *Pool) catchUpVirtualTime(t *team) {
	if t.held == 0 && t.queuedShort == 0 && t.queuedLong == 0 {
		t.virtualTime = max(t.virtualTime, p.virtualTime)
	}
}

// addHeld adds n to the number of slots that the class holds.
func (p *Pool) addHeld(c *class, n int) {
	t := c.team
	p.unusedGuarantee -= t.unusedGuarantee()
	hadShortWork := t.hasShortWork()
	c.running += n
	t.held += n
	p.held += n
	if c.long() {
		t.heldLong += n
		p.heldLong += n
	}
	p.unusedGuarantee += t.unusedGuarantee()
	p.updateTeam(t, hadShortWork)
}

// addQueued adds n to the number of queued tickets of the class.
func (p *Pool) addQueued(c *class, n int) {
	t := c.team
	hadShortWork := t.hasShortWork()
	if c.long() {
		t.queuedLong += n
	} else {
		t.queuedShort += n
		p.queuedShort += n
	}
	p.queued += n
	p.updateTeam(t, hadShortWork)
}

// updateTeam updates the pool's active weight, the list of idle teams and the rankings after the held or queued counts
// of the team have changed. hadShortWork is the team's state before the change.
func (p *Pool) updateTeam(t *team, hadShortWork bool) {
	switch hasWork := t.hasShortWork(); {
	case hasWork && !t.inActiveWeight:
		t.inActiveWeight = true
		p.activeWeight += t.weight
	case !hasWork && hadShortWork:
		t.idleSince = p.now
		if !t.inIdleTeams {
			t.inIdleTeams = true
			p.idleTeams = append(p.idleTeams, t)
		}
	}
	p.updateRankings(t)
}

// idleTimeout is the time for which a team without short work still counts in activeWeight. A team that sends in
// bursts, or a few requests all the time, has new work well within that time. Its share must therefore not be promised
// to the tickets of other teams.
const idleTimeout = 10 * time.Second

// advanceTime advances the pool's time and checks one idle team: it removes the team's weight from activeWeight once
// the team has been idle for idleTimeout.
func (p *Pool) advanceTime(now time.Time) {
	if now.After(p.now) {
		p.now = now
	}
	if len(p.idleTeams) == 0 {
		return
	}
	// Each call checks one team only, in round-robin order, so that the cost does not depend on the number of teams.
	t := p.idleTeams[0]
	p.idleTeams = p.idleTeams[1:]
	if p.now.Sub(t.idleSince) <= idleTimeout {
		p.idleTeams = append(p.idleTeams, t)
		return
	}
	t.inIdleTeams = false
	if t.inActiveWeight && !t.hasShortWork() {
		t.inActiveWeight = false
		p.activeWeight -= t.weight
	}
}

func (p *Pool) updateRankings(t *team) {
	for i := range p.teamRankings {
		p.teamRankings[i].update(t)
	}
}

func (p *Pool) enqueue(t *Ticket) {
	p.catchUpVirtualTime(t.class.team)
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

// expireQueued advances the pool's time and removes tickets that have reached their expiry from the queues.
func (p *Pool) expireQueued(now time.Time) {
	p.advanceTime(now)
	for len(p.expiries) > 0 && !p.expiries[0].expiry.After(now) {
		t := p.expiries[0]
		p.dequeue(t)
		t.state = ticketEnded
		p.expired = append(p.expired, t)
	}
}
