package wigeonrouting

import (
	"container/heap"
	"time"
)

// timerKind says what ends when a timer fires.
type timerKind int

const (
	timerPause timerKind = iota
	timerBlock
	timerLeaving
	timerProbe
)

// timer is a change of a server that comes with time alone.
type timer struct {
	at     time.Time
	server *server
	life   int
	kind   timerKind
}

// timerHeap has the next timer first.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = timer{}
	*h = (*h)[:last]
	return t
}

func (p *Picker) after(s *server, at time.Time, kind timerKind) {
	heap.Push(&p.timers, timer{at: at, server: s, life: s.life, kind: kind})
}

// advance applies the timers that have fired.
func (p *Picker) advance(now time.Time) {
	if now.After(p.now) {
		p.now = now
	}
	for len(p.timers) > 0 && !p.timers[0].at.After(now) {
		t := heap.Pop(&p.timers).(timer)
		s := t.server
		if s.life != t.life {
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
		p.update(s)
	}
}
