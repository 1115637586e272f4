package wigeonreplay

import "time"

// scheduledEvent is a function to run at a time of the replay. Events of the same time run in the order of seq.
type scheduledEvent struct {
	at  time.Duration
	seq int
	run func()
}

// eventQueue is a min-heap of events by time for container/heap.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event. Only container/heap calls it.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

// Pop removes and returns the last event of the slice. Only container/heap calls it.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = scheduledEvent{}
	*q = (*q)[:last]
	return e
}
