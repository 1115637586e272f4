package wigeonadmission

import (
	"container/heap"
	"container/list"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
)

// class is one class of a team, with its queue.
type class struct {
	team *team
	spec wigeondocument.Class
	// retired is set when no document has the class any more. SetServices removes a retired class that has no tickets.
	retired bool
	// queue holds *Ticket values in the order of submission.
	queue       list.List
	running     int
	runEstimate runTimeEstimator
}

func (c *class) long() bool { return c.spec.Kind == wigeondocument.KindLong }

// head returns the ticket of the class that starts next, or nil if the queue is empty.
func (c *class) head() *Ticket {
	if e := c.queue.Front(); e != nil {
		return e.Value.(*Ticket)
	}
	return nil
}

// maxShortQueueTime bounds the queue time of every short class: urgent work starts within 4.7 s or is refused.
const maxShortQueueTime = 4700 * time.Millisecond

// maxQueueTime returns the maximum queue time of a ticket of a short class.
func (c *class) maxQueueTime() time.Duration {
	if q := c.spec.MaxQueue(); q > 0 && q < maxShortQueueTime {
		return q
	}
	return maxShortQueueTime
}

// team is the state of one team in the pool.
type team struct {
	name    wigeonstep.TeamName
	classes []*class
	// weight is at least 1. weight, guarantee and limit apply to the whole pool; limit is ignored if unlimited is set.
	weight, guarantee, limit int
	// unlimited is set when one of the team's documents has no limit, or the team has no document.
	unlimited bool
	// localGuarantee and localLimit are this process's parts of guarantee and limit; localLimit is at least 1.
	localGuarantee, localLimit int

	held, heldLong          int
	queuedShort, queuedLong int
	// virtualTime is the sum of the expected slot seconds of the started tickets, divided by the weight. It orders
	// teams that hold equally many slots per weight.
	virtualTime float64
	// lastRetryAt is the time at which the last refused caller was told to retry.
	lastRetryAt time.Time
	// inActiveWeight is set while the pool's activeWeight includes the weight. idleSince is the time at which the team
	// last had no more short work running or queued.
	inActiveWeight bool
	idleSince      time.Time
	// inIdleTeams is set while the team is in the pool's idleTeams.
	inIdleTeams bool
	// lastShed is the time of the last scan of the queues for tickets that can't start in time.
	lastShed time.Time
	// rankIndex is the position in the heap of each ranking, -1 when absent.
	rankIndex [rankingCount]int
}

func (t *team) heldShort() int { return t.held - t.heldLong }

func (t *team) belowGuarantee() bool { return t.held < t.localGuarantee }

// unusedGuarantee returns the number of guaranteed slots that the team does not hold.
func (t *team) unusedGuarantee() int { return max(t.localGuarantee-t.held, 0) }

// hasShortWork reports whether the team has short work running or queued, and so takes part in the split of the slots
// for short work.
func (t *team) hasShortWork() bool { return t.queuedShort > 0 || t.heldShort() > 0 }

// nextClass returns the short or long class whose first ticket has to start soonest, or nil if no such ticket is
// queued.
func (t *team) nextClass(long bool) *class {
	var best *class
	for _, c := range t.classes {
		if c.long() != long || c.queue.Len() == 0 {
			continue
		}
		if best == nil || startsBefore(c.head(), best.head()) {
			best = c
		}
	}
	return best
}

// startsBefore reports whether ticket a starts before ticket b of the same team: the one that expires first, tickets
// without expiry last, and on a tie the one enqueued first.
func startsBefore(a, b *Ticket) bool {
	switch {
	case a.expiry.Equal(b.expiry):
		return a.Enqueued.Before(b.Enqueued)
	case a.expiry.IsZero() || b.expiry.IsZero():
		return b.expiry.IsZero()
	default:
		return a.expiry.Before(b.expiry)
	}
}

// Rankings of the teams that have queued work and hold fewer slots than their limit.
const (
	// rankReserve ranks teams with short work for the slots reserved for short work, by the short slots that they hold.
	rankReserve = iota
	// rankShort and rankLong rank teams with short and with long work for the other slots, by all slots that they hold.
	rankShort
	rankLong
	rankingCount
)

// ranking is a heap of teams; the first one gets the next slot.
type ranking struct {
	kind  int
	teams []*team
}

// less reports whether team a is served before team b: teams below their guarantee first, then the team with the fewest
// slots per weight, then the one with the lowest virtual time.
func (r *ranking) less(a, b *team) bool {
	if a.belowGuarantee() != b.belowGuarantee() {
		return a.belowGuarantee()
	}
	heldA, heldB := a.held, b.held
	if r.kind == rankReserve {
		heldA, heldB = a.heldShort(), b.heldShort()
	}
	if heldA*b.weight != heldB*a.weight {
		return heldA*b.weight < heldB*a.weight
	}
	if a.virtualTime != b.virtualTime {
		return a.virtualTime < b.virtualTime
	}
	return a.name < b.name
}

// top returns the team to serve next, or nil if there is none.
func (r *ranking) top() *team {
	if len(r.teams) == 0 {
		return nil
	}
	return r.teams[0]
}

// update moves the team to its position in the heap, or removes it if it has no queued work or has reached its limit.
func (r *ranking) update(t *team) {
	queued := t.queuedShort
	if r.kind == rankLong {
		queued = t.queuedLong
	}
	i, startable := t.rankIndex[r.kind], queued > 0 && t.held < t.localLimit
	switch {
	case i < 0 && startable:
		heap.Push(r, t)
	case i >= 0 && startable:
		heap.Fix(r, i)
	case i >= 0:
		heap.Remove(r, i)
	}
}

// Len returns the number of teams in the heap.
func (r *ranking) Len() int { return len(r.teams) }

// Less reports whether the team at i is served before the one at j.
func (r *ranking) Less(i, j int) bool { return r.less(r.teams[i], r.teams[j]) }

// Swap swaps two teams and updates their heap positions.
func (r *ranking) Swap(i, j int) {
	r.teams[i], r.teams[j] = r.teams[j], r.teams[i]
	r.teams[i].rankIndex[r.kind], r.teams[j].rankIndex[r.kind] = i, j
}

// Push appends a team and records its heap position.
func (r *ranking) Push(x any) {
	t := x.(*team)
	t.rankIndex[r.kind] = len(r.teams)
	r.teams = append(r.teams, t)
}

// Pop removes and returns the last team.
func (r *ranking) Pop() any {
	last := len(r.teams) - 1
	t := r.teams[last]
	r.teams[last] = nil
	r.teams = r.teams[:last]
	t.rankIndex[r.kind] = -1
	return t
}
