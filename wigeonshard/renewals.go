package wigeonshard

import (
	"slices"
	"time"
)

// renewals keeps the orders to a worker that carry a time for its leases: starts, and heartbeats that renew. A process other than the
// one that an order was meant for takes the time for one far ahead of its own clock, and grants its longest lease to all its runs.
// The zero value holds no orders.
type renewals struct {
	// unanswered holds the times at which the orders without an answer were sent, oldest first. It may hold some that can't be
	// executed any more.
	unanswered []time.Duration
	// answeredAt is the time at which the newest answer to an order arrived.
	answeredAt time.Duration
}

// send records an order that is sent now.
func (s *renewals) send(now time.Duration) {
	expired := 0
	for expired < len(s.unanswered) && s.unanswered[expired]+maxOrderDelay < now {
		expired++
	}
	s.unanswered = append(slices.Delete(s.unanswered, 0, expired), now)
}

// answer records the answer to an order that was sent at sentAt.
func (s *renewals) answer(now, sentAt time.Duration) {
	s.withdraw(sentAt)
	s.answeredAt = now
}

// withdraw removes an order that was not sent after all.
func (s *renewals) withdraw(sentAt time.Duration) {
	if i := slices.Index(s.unanswered, sentAt); i >= 0 {
		s.unanswered = slices.Delete(s.unanswered, i, i+1)
	}
}

// until returns the latest time at which the worker has executed, or may still execute, one of the orders.
func (s *renewals) until() time.Duration {
	if len(s.unanswered) == 0 {
		return s.answeredAt
	}
	return max(s.answeredAt, s.unanswered[len(s.unanswered)-1]+maxOrderDelay)
}
