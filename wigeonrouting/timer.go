package wigeonrouting

import (
	"container/heap"
	"time"
)

// timerKind is the kind of state change that a timer causes.
type timerKind int

const (
	// timerPause ends the pause of a server.
	timerPause timerKind = iota
	// timerBlock frees a blocked slot.
	timerBlock
	// timerLeaving ends the exclusion of a leaving server.
	timerLeaving
	// timerProbe makes the probe of a quarantined server due.
	timerProbe
)

// timer is a state change of a server at a given time.
type timer struct {
	at     time.Time
	server *server
	// generation is that of the server when the timer was started.
	generation int
	kind       timerKind
}

// timerHeap is a min-heap of timers by time.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends a timer.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop removes and returns the last timer.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = timer{}
	*h = (*h)[:last]
	return t
}

// startTimer schedules a state change of the server, which the first call of advance at or after the given time applies.
func (p *Picker) startTimer(s *server, at time.Time, kind timerKind) {
	heap.Push(&p.timers, timer{at: at, server: s, generation: s.generation, kind: kind})
}

// advance sets the time and applies the timers that are due.
func (p *Picker) advance(now time.Time) {
	if now.After(p.now) {
		p.now = now
	}
	for len(p.timers) > 0 && !p.timers[0].at.After(now) {
		t := heap.Pop(&p.timers).(timer)
		s := t.server
		if s.generation != t.generation {
			continue
		}
		switch t.kind {
		case timerPause:
			s.paused = false
		case timerBlock:
			s.blocked--
		case timerLeaving:
			if !s.leavingUntil.After(now) {
				s.leaving = false
			}
		case timerProbe:
			if s.quarantine.active && !s.quarantine.probing && !s.quarantine.nextProbe.After(now) {
				p.probes = append(p.probes, s)
			}
		}
		p.updateSets(s)
	}
}
