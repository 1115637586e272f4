package wigeonshare

import (
	"cmp"

	"github.com/wigeonstep/wigeonstep"
)

// Order hands out the steps of a list in the order in which they get tasks. The steps are of equal urgency and priority, and the
// list is in the order of slack. Its first part takes the steps of teams that are owed room, in the order of the list; its second
// part fills the teams with steps left progressively, the one with the lowest level first.
//
// For each list, call Begin, Append for each step, and then Next and Planned in turn. The zero value is ready for use, and
// without a call of Divide it hands the list out as it is. Nothing is allocated once the lists have reached their size.
type Order struct {
	division
	// entries is the list; those before taken have been taken in the first part.
	entries []entry
	taken   int
	// filling is set in the second part. ranking is a heap of the teams with entries left then.
	filling bool
	ranking []rank
	// current is the index of the entry that Next returned.
	current int
}

// entry is a step in the list.
type entry struct {
	team     *Team
	reserved wigeonstep.Resources
	// next is the team's next entry that waits for the second part, as its index plus 1; 0 if it is the last one.
	next int32
}

// rank is a team in the second part, with its level.
type rank struct {
	team  *Team
	level float64
}

// before reports whether the team gets the next tasks: the one with the lowest level, and on a tie the one whose step is first in
// the list.
func (a rank) before(b rank) bool {
	return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(a.team.first, b.team.first)) < 0
}

// Begin starts a new list.
func (o *Order) Begin() {
	for i := range o.entries {
		t := o.entries[i].team
		t.first, t.last = 0, 0
		o.entries[i].team = nil
	}
	clear(o.ranking)
	o.entries, o.ranking, o.taken, o.filling = o.entries[:0], o.ranking[:0], 0, false
}

// Append adds a step of the team to the list; each of its tasks reserves as much.
func (o *Order) Append(team *Team, reserved wigeonstep.Resources) {
	o.entries = append(o.entries, entry{team: team, reserved: reserved})
}

// Next returns the index in the list of the step that gets the next tasks, and the largest number of them; ok is false at the end
// of the list.
func (o *Order) Next() (index, tasks int, ok bool) {
	for ; o.taken < len(o.entries); o.taken++ {
		e := &o.entries[o.taken]
		if o.Owed(e.team, e.reserved) {
			o.current = o.taken
			o.taken++
			return o.current, o.tasksWithin(e.team, e.reserved, o.fairLevel(e.reserved)), true
		}
		o.postpone(o.taken)
	}
	if !o.filling {
		o.startFilling()
	}
	if len(o.ranking) == 0 {
		return 0, 0, false
	}
	team := o.ranking[0].team
	o.current = int(team.first) - 1
	return o.current, o.tasksUntilNext(), true
}

// Filling reports whether the step that Next returned is of the second part, so that its team is owed no room.
func (o *Order) Filling() bool { return o.filling }

// tasksUntilNext returns the number of tasks with which the first team of the ranking reaches the level of the next one.
func (o *Order) tasksUntilNext() int {
	if len(o.ranking) == 1 {
		return unlimitedTasks
	}
	next := o.ranking[1]
	if len(o.ranking) > 2 && o.ranking[2].level < next.level {
		next = o.ranking[2]
	}
	return o.tasksUntil(o.ranking[0].team, o.entries[o.current].reserved, next.level)
}

// Planned ends the turn of the step that Next returned. more is set if the step has tasks left that could be placed; otherwise it
// is not handed out again. The use of its team has to be up to date.
func (o *Order) Planned(more bool) {
	switch {
	case !o.filling && more:
		o.postpone(o.current)
	case o.filling:
		o.fixRanking(more)
	}
}

// postpone adds an entry to the list of its team for the second part.
func (o *Order) postpone(index int) {
	t, number := o.entries[index].team, int32(index+1) //nolint:gosec // a list has far fewer entries
	if t.last == 0 {
		t.first = number
		// The first postponed entry of a team enters the team into the ranking, whose order is set by startFilling.
		o.ranking = append(o.ranking, rank{team: t})
	} else {
		o.entries[t.last-1].next = number
	}
	t.last = number
}

func (o *Order) startFilling() {
	o.filling = true
	for i := range o.ranking {
		o.ranking[i].level = o.Level(o.ranking[i].team)
	}
	for i := len(o.ranking)/2 - 1; i >= 0; i-- {
		o.siftDown(i)
	}
}

// fixRanking puts the first team of the ranking where it belongs after its turn; without more, its entry is removed from its list,
// and the team from the ranking when it has no other.
func (o *Order) fixRanking(more bool) {
	t := o.ranking[0].team
	if !more {
		t.first = o.entries[t.first-1].next
	}
	if t.first == 0 {
		t.last = 0
		last := len(o.ranking) - 1
		o.ranking[0] = o.ranking[last]
		o.ranking = o.ranking[:last]
	} else {
		o.ranking[0].level = o.Level(t)
	}
	o.siftDown(0)
}

func (o *Order) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(o.ranking) {
			return
		}
		if child+1 < len(o.ranking) && o.ranking[child+1].before(o.ranking[child]) {
			child++
		}
		if !o.ranking[child].before(o.ranking[i]) {
			return
		}
		o.ranking[i], o.ranking[child] = o.ranking[child], o.ranking[i]
		i = child
	}
}
