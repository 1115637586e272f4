package wigeonadmission

import (
	"container/list"
	"fmt"
	"net/http"
	"time"
)

// shedSpan is the shortest time between two looks through a team's queue, whose cost grows with the length of the queue.
const shedSpan = 100 * time.Millisecond

// shed takes tickets out of the queues that can no longer start in time, because other teams took their slots back or runs became
// longer since the tickets were admitted. They are refused while there is time to go elsewhere, and the tickets behind them, which
// would wait for nothing, start in time instead. The learned run time is used without the ages of running tickets, which vary too
// much to give up admitted work for.
func (p *Pool) shed(now time.Time) {
	for _, t := range p.order {
		if t.queuedShort == 0 || now.Sub(t.shedAt) < shedSpan {
			continue
		}
		work, longest := 0.0, time.Duration(0)
		for _, c := range t.classes {
			if !c.long() && c.queue.Len() > 0 {
				work += float64(c.queue.Len()) * c.run.mean
				longest = max(longest, c.maxQueue())
			}
		}
		if _, slots := p.effectiveSlots(t); work > longest.Seconds()*slots {
			t.shedAt = now
			p.shedTeam(now, t)
		}
	}
}

// shedTeam follows the order in which the team's short tickets start, and drops each one that would start too late.
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
			if e != nil && (first < 0 || sooner(e.Value.(*Ticket), cursors[first].Value.(*Ticket))) {
				first = i
			}
		}
		if first < 0 {
			return
		}
		ticket := cursors[first].Value.(*Ticket)
		cursors[first] = cursors[first].Next()
		if now.Add(seconds(ahead / slots)).After(ticket.expiry) {
			p.dequeue(ticket)
			ticket.state = ticketEnded
			p.expired = append(p.expired, ticket)
			continue
		}
		ahead += t.classes[first].run.mean
	}
}

// Refusal returns the answer to a ticket that Expire returned.
func (p *Pool) Refusal(now time.Time, t *Ticket) Decision {
	if t.class == nil {
		return p.refuse("the ticket was never queued")
	}
	wait := p.estimate(now, t.class)
	return Decision{
		Verdict: Refused,
		Status:  http.StatusServiceUnavailable,
		Reason: fmt.Sprintf("no slot of pool %s became free for team %s within %d ms; the estimated wait is now %d ms",
			p.config.Name, t.Team, now.Sub(t.Enqueued).Milliseconds(), wait.Milliseconds()),
		RetryAfter: p.retryAfter(now, t.class, wait),
		Wait:       wait,
	}
}
