package wigeonadmission

import (
	"container/list"
	"fmt"
	"net/http"
	"time"
)

// shedInterval is the minimum time between two scans of a team's queues; the cost of a scan grows with their length.
const shedInterval = 100 * time.Millisecond

// shed removes queued short tickets that are expected to start too late, because other teams reclaimed their slots or
// runs became longer after the tickets were admitted. Such tickets are refused while the caller still has time to go
// elsewhere, and the tickets queued behind them start in time. The estimate uses the mean run time and ignores the ages
// of running tickets, which vary too much to justify dropping admitted work.
func (p *Pool) shed(now time.Time) {
	for _, t := range p.teamList {
		if t.queuedShort == 0 || now.Sub(t.lastShed) < shedInterval {
			continue
		}
		work, longestQueueTime := 0.0, time.Duration(0)
		for _, c := range t.classes {
			if !c.long() && c.queue.Len() > 0 {
				work += float64(c.queue.Len()) * c.runEstimate.meanSeconds
				longestQueueTime = max(longestQueueTime, c.maxQueueTime())
			}
		}
		if _, slots := p.effectiveSlots(t); work > longestQueueTime.Seconds()*slots {
			t.lastShed = now
			p.shedTeam(now, t)
		}
	}
}

// shedTeam walks through the team's short tickets in the order in which they start, and removes each one whose
// estimated start is after its expiry.
func (p *Pool) shedTeam(now time.Time, t *team) {
	cursors := make([]*list.Element, len(t.classes))
	for i, c := range t.classes {
		if !c.long() {
			cursors[i] = c.queue.Front()
		}
	}
	_, slots := p.effectiveSlots(t)
	ahead := 0.0
	for {
		first := -1
		for i, e := range cursors {
			if e != nil && (first < 0 || startsBefore(e.Value.(*Ticket), cursors[first].Value.(*Ticket))) {
				first = i
			}
		}
		if first < 0 {
			return
		}
		ticket := cursors[first].Value.(*Ticket)
		cursors[first] = cursors[first].Next()
		if now.Add(durationFromSeconds(ahead / slots)).After(ticket.expiry) {
			p.dequeue(ticket)
			ticket.state = ticketEnded
			p.expired = append(p.expired, ticket)
			continue
		}
		ahead += t.classes[first].runEstimate.meanSeconds
	}
}

// ExpiredDecision returns the decision for a ticket that Expire returned.
func (p *Pool) ExpiredDecision(now time.Time, t *Ticket) Decision {
	if t.class == nil {
		return p.refuse("the ticket was never queued")
	}
	wait := p.estimateWait(now, t.class)
	return Decision{
		Verdict: Refused,
		Status:  http.StatusServiceUnavailable,
		Reason: fmt.Sprintf("no slot of pool %s became free for team %s within %d ms; the estimated wait is now %d ms",
			p.config.Name, t.Team, now.Sub(t.Enqueued).Milliseconds(), wait.Milliseconds()),
		RetryAfter: p.nextRetryAfter(now, t.class, wait),
		Wait:       wait,
	}
}
