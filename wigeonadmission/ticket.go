package wigeonadmission

import (
	"container/list"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// Ticket is the request for a slot by one HTTP request or job. A ticket must be submitted at most once.
type Ticket struct {
	Team  wigeonstep.TeamName
	Class wigeonstep.ClassName
	// Deadline is the time after which the work must not start any more; zero means none.
	Deadline time.Time
	// Enqueued is the time at which the work first asked for a slot. Submit sets it if it is zero.
	Enqueued time.Time
	// Value is for the caller; the pool does not read it.
	Value any

	state ticketState
	class *class
	// element is the ticket's element in the queue of its class, nil unless queued.
	element *list.Element
	// expiry is the time at which a queued ticket is refused; zero means never.
	expiry time.Time
	// expiryIndex is the position in the pool's expiry heap, -1 when absent.
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

// Verdict is the result of submitting a ticket.
type Verdict int

const (
	// Started means that the ticket holds a slot until Finish or Cancel.
	Started Verdict = iota + 1
	// Queued means that the ticket waits. A later call returns it as started or expired, unless it is cancelled.
	Queued
	// Refused means that the ticket was not admitted and will not be.
	Refused
)

// Decision is the answer to a submitted ticket.
type Decision struct {
	Verdict Verdict
	// Reason names the rule and the figures that led to a refusal; empty unless refused.
	Reason string
	// Status is the HTTP status of a refusal: 429 if the team is at or over its share of the slots or at its limit, 503
	// otherwise; zero unless refused.
	Status int
	// RetryAfter is the time after which the caller should retry; zero unless refused.
	RetryAfter time.Duration
	// Wait is the estimated queue time of a ticket of a short class; zero if started or not estimated.
	Wait time.Duration
}

// Demand is the demand for slots of one pool that a process reports to its peers.
type Demand struct {
	// Held is the number of slots held now.
	Held int
	// Wanted is the recent peak of held and queued tickets; at least their current number.
	Wanted int
	// HeldLong is the number of held slots that long work holds and cannot release soon.
	HeldLong int
}

// expiryHeap orders queued tickets by expiry.
type expiryHeap []*Ticket

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiry.Before(h[j].expiry) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiryIndex, h[j].expiryIndex = i, j
}

// Push appends a ticket and records its heap position.
func (h *expiryHeap) Push(x any) {
	t := x.(*Ticket)
	t.expiryIndex = len(*h)
	*h = append(*h, t)
}

// Pop removes and returns the last ticket.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.expiryIndex = -1
	return t
}
