package wigeonadmission

import (
	"container/list"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// Ticket is one request or job that asks for a slot. A ticket is submitted once.
type Ticket struct {
	Team  wigeonstep.TeamName
	Class wigeonstep.ClassName
	// Deadline is zero when the work has none.
	Deadline time.Time
	// Enqueued is when the work first asked for a slot; Submit sets it when it is zero.
	Enqueued time.Time
	// Value belongs to the caller and is not read.
	Value any

	state ticketState
	class *class
	// element is the place in the class's queue, nil unless queued.
	element *list.Element
	// expiry is when the ticket leaves the queue unstarted; zero means never.
	expiry time.Time
	// expiryIndex is the place in the pool's expiry heap, -1 when absent.
	expiryIndex int
	started     time.Time
}

type ticketState int

const (
	ticketNew ticketState = iota
	ticketQueued
	ticketRunning
	ticketEnded
)

// Verdict is what became of a submitted ticket.
type Verdict int

const (
	// Started means that the ticket holds a slot until Finish or Cancel.
	Started Verdict = iota + 1
	// Queued means that the ticket waits; a later call returns it as started or as expired.
	Queued
	// Refused means that the ticket is not and will not be admitted.
	Refused
)

// Decision is the answer to Submit.
type Decision struct {
	Verdict Verdict
	// Reason names the rule and the figures behind a refusal; empty otherwise.
	Reason string
	// Status is 429 when the team is at or over its share and 503 when the pool has no room; zero unless refused.
	Status int
	// RetryAfter is when the caller should come back; zero unless refused.
	RetryAfter time.Duration
	// Wait is the estimated time until the ticket starts; zero when started.
	Wait time.Duration
}

// Demand is what a process tells its peers about one pool.
type Demand struct {
	// Held is the number of slots held now.
	Held int
	// Wanted is at least Held plus the queued tickets.
	Wanted int
	// Long is the part of Held that long work holds, which cannot be given back soon.
	Long int
}

// expiryHeap orders queued tickets by expiry.
type expiryHeap []*Ticket

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiry.Before(h[j].expiry) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiryIndex, h[j].expiryIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	t := x.(*Ticket)
	t.expiryIndex = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.expiryIndex = -1
	return t
}
