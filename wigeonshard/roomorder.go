package wigeonshard

import (
	"cmp"
	"slices"

	"github.com/wigeonstep/wigeonstep"
)

// roomOrder holds the workers of a pool in the order in which a plain step prefers them: the fullest first, and of those with
// equal room the one that comes first in the pool. The first worker with enough room is found without looking at the fuller ones.
type roomOrder []orderedWorker

type orderedWorker struct {
	*worker
	freeCPU wigeonstep.MilliCPU
	// index is the place of the worker in the pool.
	index int
}

func compareOrdered(a, b orderedWorker) int {
	return cmp.Or(cmp.Compare(a.freeCPU, b.freeCPU), cmp.Compare(a.index, b.index))
}

func newRoomOrder(pool []*worker) roomOrder {
	order := make(roomOrder, len(pool))
	for i, w := range pool {
		order[i] = orderedWorker{worker: w, freeCPU: w.free().CPU, index: i}
	}
	slices.SortFunc(order, compareOrdered)
	return order
}

// plain reports whether every worker of the service may run the tasks of the step and only their room and MaxPerWorker decide
// which does.
func (s *step) plain() bool {
	return s.RequiredLabel == "" && s.DataRack == "" && !s.SameRack && !s.Gang && !s.BestEffort && s.Target == 0 && s.job.Policy.Advice == nil
}

// choose returns the place in the order of the worker on which chooseWorker would put a task of a plain step; ok is false if there
// is none. The worker on which the task failed is chosen only when no other one fits.
func (order roomOrder) choose(s *step, t *task, reserved wigeonstep.Resources) (place int, ok bool) {
	first, _ := slices.BinarySearchFunc(order, reserved.CPU, func(w orderedWorker, need wigeonstep.MilliCPU) int { return cmp.Compare(w.freeCPU, need) })
	avoided, crowded := -1, -1
	for i := first; i < len(order); i++ {
		w := order[i].worker
		switch {
		case !s.accepts(t, w, reserved):
		case w.ID == t.avoidWorker:
			avoided = i
		case w.crowding() == 0:
			return i, true
		case crowded < 0 || w.crowding() < order[crowded].crowding():
			crowded = i
		}
	}
	if crowded >= 0 {
		return crowded, true
	}
	return avoided, avoided >= 0
}

// reorder puts the worker at a place where it belongs after its room has become smaller.
func (order roomOrder) reorder(place int) {
	w := order[place]
	w.freeCPU = w.free().CPU
	to, _ := slices.BinarySearchFunc(order[:place], w, compareOrdered)
	copy(order[to+1:place+1], order[to:place])
	order[to] = w
}

// largestRooms returns the free room of each worker that no other worker's covers. A task that fits into none of it fits nowhere.
func (order roomOrder) largestRooms() []wigeonstep.Resources {
	var rooms []wigeonstep.Resources
	for _, w := range slices.Backward(order) {
		if free := w.free(); !anyCovers(rooms, free) {
			rooms = append(rooms, free)
		}
	}
	return rooms
}

func anyCovers(rooms []wigeonstep.Resources, need wigeonstep.Resources) bool {
	return slices.ContainsFunc(rooms, func(room wigeonstep.Resources) bool { return room.Covers(need) })
}
