package wigeoningress

import "time"

const (
	// ordinaryAge is the age below which an unfinished request is no worse than an idle connection. Ordinary requests arrive
	// whole within it.
	ordinaryAge = 250 * time.Millisecond
	// minAge keeps the order by charge among connections of no age.
	minAge = time.Millisecond
)

// sender is a connection as the decision sees it.
type sender struct {
	// charge is what the connection holds of the budget, in bytes.
	charge int64
	// age is the time since the first byte of its unfinished request, since it was accepted if it has sent nothing, or since its
	// last response.
	age time.Duration
	// unfinished is set if the connection has begun a request or never sent one.
	unfinished bool
	// kept is set if the connection must not be ended: its request is being handled, or it is being ended already.
	kept bool
}

// cost orders senders: what they hold, times for how long.
func (s sender) cost() float64 { return float64(s.charge) * float64(max(s.age, minAge)) }

// overdue reports whether the sender is evicted before all others.
func (s sender) overdue() bool { return s.unfinished && s.age > ordinaryAge }

// chooseVictim returns the index of the sender to evict, -1 if there is none: among those with an overdue request, or
// among all if there are none, the one with the highest cost. Of equals, the first is evicted.
func chooseVictim(senders []sender) int {
	victim := -1
	for i, s := range senders {
		if s.kept {
			continue
		}
		if victim < 0 {
			victim = i
			continue
		}
		v := senders[victim]
		if s.overdue() != v.overdue() {
			if s.overdue() {
				victim = i
			}
			continue
		}
		if s.cost() > v.cost() {
			victim = i
		}
	}
	return victim
}
