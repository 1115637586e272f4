package wigeonadmission

import (
	"container/heap"
	"container/list"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
)

// class is one class of a team with its queue.
type class struct {
	team *team
	spec wigeondocument.Class
	// retired is set when the documents no longer have the class; it ends with its last ticket.
	retired bool
	// queue holds *Ticket in the order of Submit.
	queue   list.List
	running int
	run     runTime
}

func (c *class) long() bool { return c.spec.Kind == wigeondocument.KindLong }

// head returns the ticket that starts next, nil when the queue is empty.
func (c *class) head() *Ticket {
	if e := c.queue.Front(); e != nil {
		return e.Value.(*Ticket)
	}
	return nil
}

// maxShortQueue is the upper bound of the queue time of short classes: urgent work starts within 4.7 s or is refused.
const maxShortQueue = 4700 * time.Millisecond

// maxQueue returns the longest time that a ticket of a short class waits.
func (c *class) maxQueue() time.Duration {
	if q := c.spec.MaxQueue(); q > 0 && q < maxShortQueue {
		return q
	}
	return maxShortQueue
}

// team is the work of one team in the pool.
type team struct {
	name    wigeonstep.TeamName
	classes []*class
	// weight is at least 1. weight, guarantee and limit are those of the whole pool; limit 0 means none.
	weight, guarantee, limit int
	// unlimited is set when one of the documents has no limit.
	unlimited bool
	// localGuarantee and localLimit are the parts that fall to this process; localLimit is at least 1.
	localGuarantee, localLimit int

	held, heldLong          int
	queuedShort, queuedLong int
	// virtual is the expected slot seconds per weight of the started tickets. It decides between teams that hold equally much.
	virtual float64
	// returning is the time for which the last refused caller was told to come back.
	returning time.Time
	// counted is set while the weight is part of the pool's activeWeight; idleSince is when the last short work ended.
	counted   bool
	idleSince time.Time
	// idleListed is set while the team is in the pool's list of idle teams.
	idleListed bool
	// shedAt is when the queues were last looked through for tickets that cannot start in time.
	shedAt time.Time
	// index is the place in each ranking, -1 when absent.
	index [rankings]int
}

func (t *team) heldShort() int { return t.held - t.heldLong }

func (t *team) belowGuarantee() bool { return t.held < t.localGuarantee }

// unfilled returns how many guaranteed slots the team does not hold.
func (t *team) unfilled() int { return max(t.localGuarantee-t.held, 0) }

// activeShort reports whether the team takes part in the split of the slots for short work.
func (t *team) activeShort() bool { return t.queuedShort > 0 || t.heldShort() > 0 }

// next returns the class of the kind whose first ticket must start soonest, nil when nothing of the kind is queued.
func (t *team) next(long bool) *class {
	var best *class
	for _, c := range t.classes {
		if c.long() != long || c.queue.Len() == 0 {
			continue
		}
		if best == nil || sooner(c.head(), best.head()) {
			best = c
		}
	}
	return best
}

// sooner reports whether ticket a must start before ticket b.
func sooner(a, b *Ticket) bool {
	switch {
	case a.expiry.Equal(b.expiry):
		return a.Enqueued.Before(b.Enqueued)
	case a.expiry.IsZero() || b.expiry.IsZero():
		return b.expiry.IsZero()
	default:
		return a.expiry.Before(b.expiry)
	}
}

// Rankings of the teams that have startable work.
const (
	// rankReserve orders teams with short work for the slots that are reserved for short work, by short slots held.
	rankReserve = iota
	// rankShort and rankLong order teams with short and with long work for the other slots, by all slots held.
	rankShort
	rankLong
	rankings
)

// ranking is a heap of teams, the one to serve next first.
type ranking struct {
	kind  int
	teams []*team
}

// less reports whether team a is served before team b: first who is below its guarantee, then who holds fewest slots per weight,
// then who has used fewest slot seconds per weight.
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
	if a.virtual != b.virtual {
		return a.virtual < b.virtual
	}
	return a.name < b.name
}

// top returns the team to serve next, nil when there is none.
func (r *ranking) top() *team {
	if len(r.teams) == 0 {
		return nil
	}
	return r.teams[0]
}

// update puts the team into its place, or removes it when it has nothing to start.
func (r *ranking) update(t *team) {
	queued := t.queuedShort
	if r.kind == rankLong {
		queued = t.queuedLong
	}
	i, startable := t.index[r.kind], queued > 0 && t.held < t.localLimit
	switch {
	case i < 0 && startable:
		heap.Push(r, t)
	case i >= 0 && startable:
		heap.Fix(r, i)
	case i >= 0:
		heap.Remove(r, i)
	}
}

// Len implements heap.Interface.
func (r *ranking) Len() int { return len(r.teams) }

// Less implements heap.Interface.
func (r *ranking) Less(i, j int) bool { return r.less(r.teams[i], r.teams[j]) }

// Swap implements heap.Interface.
func (r *ranking) Swap(i, j int) {
	r.teams[i], r.teams[j] = r.teams[j], r.teams[i]
	r.teams[i].index[r.kind], r.teams[j].index[r.kind] = i, j
}

// Push implements heap.Interface.
func (r *ranking) Push(x any) {
	t := x.(*team)
	t.index[r.kind] = len(r.teams)
	r.teams = append(r.teams, t)
}

// Pop implements heap.Interface.
func (r *ranking) Pop() any {
	last := len(r.teams) - 1
	t := r.teams[last]
	r.teams[last] = nil
	r.teams = r.teams[:last]
	t.index[r.kind] = -1
	return t
}
