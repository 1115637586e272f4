package wigeonadmission

import (
	"net/http"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
)

// Config is the configuration of a Pool.
type Config struct {
	// Name is the pool's name, used in reasons.
	Name wigeonstep.PoolName
	// Seed seeds the jitter of Retry-After.
	Seed uint64
}

// Pool holds the queues and slots of one pool of VMs in one process.
type Pool struct {
	config  Config
	grant   Grant
	held    int
	queue   []*Ticket
	classes map[classKey]wigeondocument.Class
}

type classKey struct {
	team  wigeonstep.TeamName
	class wigeonstep.ClassName
}

// New returns a pool without services and slots.
func New(config Config) *Pool {
	return &Pool{config: config}
}

// SetServices replaces the documents of the pool. Documents of other pools are ignored.
func (p *Pool) SetServices(documents []*wigeondocument.Document) {
	p.classes = map[classKey]wigeondocument.Class{}
	for _, d := range documents {
		if d.Pool != p.config.Name {
			continue
		}
		for _, c := range d.Classes {
			p.classes[classKey{d.Team, c.Name}] = c
		}
	}
}

// SetSlots sets the slots that this process may hold. Call Dispatch afterwards.
func (p *Pool) SetSlots(grant Grant) { p.grant = grant }

// Submit starts, queues or refuses the ticket.
func (p *Pool) Submit(now time.Time, t *Ticket) Decision {
	c, ok := p.classes[classKey{t.Team, t.Class}]
	if !ok {
		return Decision{Verdict: Refused, Status: http.StatusServiceUnavailable, Reason: "the pool has no such class", RetryAfter: time.Second}
	}
	if t.Enqueued.IsZero() {
		t.Enqueued = now
	}
	t.kind = c.Kind
	if p.held < p.grant.Slots {
		p.held++
		t.state = ticketRunning
		return Decision{Verdict: Started}
	}
	t.state = ticketQueued
	p.queue = append(p.queue, t)
	return Decision{Verdict: Queued}
}

// Finish gives the ticket's slot back and returns the tickets that start now. The run time teaches the estimate; zero teaches nothing.
func (p *Pool) Finish(now time.Time, t *Ticket, run time.Duration) []*Ticket {
	_ = run
	if t.state == ticketRunning {
		t.state = ticketEnded
		p.held--
	}
	return p.Dispatch(now)
}

// Cancel takes the ticket out of the queue, or gives its slot back when it has started, and returns the tickets that start now.
// The caller uses Finish instead when started work goes on after the cancellation.
func (p *Pool) Cancel(now time.Time, t *Ticket) (wasQueued bool, started []*Ticket) {
	if t.state == ticketQueued {
		t.state = ticketEnded
		return true, p.Dispatch(now)
	}
	return false, p.Finish(now, t, 0)
}

// Expire removes and returns the queued tickets whose queue time or deadline has passed.
func (p *Pool) Expire(now time.Time) []*Ticket { return nil }

// NextExpiry returns when Expire next has something to return; false when nothing queued can expire.
func (p *Pool) NextExpiry() (time.Time, bool) { return time.Time{}, false }

// Dispatch starts as many queued tickets as the slots allow and returns them.
func (p *Pool) Dispatch(now time.Time) []*Ticket {
	var started []*Ticket
	for p.held < p.grant.Slots && len(p.queue) > 0 {
		t := p.queue[0]
		p.queue = p.queue[1:]
		if t.state != ticketQueued {
			continue
		}
		t.state = ticketRunning
		p.held++
		started = append(started, t)
	}
	return started
}

// Demand returns what the process reports to its peers.
func (p *Pool) Demand() Demand {
	return Demand{Held: p.held, Wanted: p.held + len(p.queue)}
}

// ExpectedRun returns the learned run time of a class, or zero for an unknown one.
func (p *Pool) ExpectedRun(team wigeonstep.TeamName, class wigeonstep.ClassName) time.Duration {
	return p.classes[classKey{team, class}].ExpectedRun()
}
