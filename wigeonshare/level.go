package wigeonshare

import (
	"cmp"
	"math"
	"slices"

	"github.com/wigeonstep/wigeonstep"
)

// division holds the fair levels of the resources, as of the last call of Divide. The zero value is a division without contention.
type division struct {
	// perUnit is 1 divided by the capacity; 0 for a resource of which there is none.
	perUnit vector
	// usedUpAt holds the level at which progressive filling uses each resource up; +Inf if all demand for it fits. It has a
	// meaning only while contended is set, which says that one of them is finite.
	usedUpAt  vector
	contended bool
	// demands and rest are kept between calls, so that none allocates.
	demands, rest []demand
}

// demand is what a team uses and asks for.
type demand struct {
	// shares holds its share of each resource.
	shares vector
	// level is the level at which the demand is met: the largest of shares, divided by the weight.
	level float64
	// firstPart is the part of the demand that a single task is.
	firstPart float64
	// slope is what this demand and those with higher levels use for each unit of the level, until they are met.
	slope vector
}

// Divide finds the fair level of each resource for the teams, which share the capacity less what others use. The work grows with
// the number of teams that use or want something.
func (d *division) Divide(capacity, others wigeonstep.Resources, teams []*Team) {
	left, otherUse := vector{}, newVector(others)
	for r, c := range newVector(capacity) {
		d.perUnit[r], left[r] = 0, math.Inf(1)
		if c > 0 {
			d.perUnit[r] = 1 / c
			left[r] = min(max(1-otherUse[r]/c, 0), 1)
		}
	}
	d.demands = d.demands[:0]
	for _, t := range teams {
		shares := d.shares(t.use.Add(t.waiting))
		if dominant := shares.largest(); dominant > 0 {
			first := min(d.shares(t.task).largest()/dominant, 1)
			d.demands = append(d.demands, demand{shares: shares, level: dominant / t.Weight(), firstPart: first})
		}
	}
	slices.SortFunc(d.demands, func(a, b demand) int { return cmp.Compare(a.level, b.level) })
	d.usedUpAt = d.fillWithFirstTasks(left)
	d.contended = !math.IsInf(lowest(d.usedUpAt), 1)
}

const (
	// maxFirstPart is the part of a resource that teams may be owed for their first tasks beyond their weights. Where there are
	// more teams than that, their first tasks wait for each other, so that teams with a large weight keep most of the room.
	maxFirstPart = 0.5
	// maxFirstPasses bounds the passes that find the teams whose share is smaller than one task.
	maxFirstPasses = 4
)

// fillWithFirstTasks is fill where each team is owed its first task, also if its share is smaller than that. What the others are owed
// is less by as much; otherwise a team with a large share would be owed the room in which the first tasks run.
func (d *division) fillWithFirstTasks(left vector) (usedUpAt vector) {
	whole := left
	d.rest = append(d.rest[:0], d.demands...)
	for range maxFirstPasses {
		before := len(d.rest)
		usedUpAt = fill(d.rest, left)
		level := lowest(usedUpAt)
		// fill has overwritten the demands.
		d.rest, left = d.rest[:0], whole
		for _, dm := range d.demands {
			if dm.level*dm.firstPart <= level {
				d.rest = append(d.rest, dm)
				continue
			}
			for r, share := range dm.shares {
				left[r] -= share * dm.firstPart
			}
		}
		if len(d.rest) == before {
			return usedUpAt
		}
		for r := range left {
			if left[r] < whole[r]*(1-maxFirstPart) {
				d.rest = append(d.rest[:0], d.demands...)
				return fill(d.rest, whole)
			}
		}
	}
	return usedUpAt
}

func lowest(v vector) float64 { return min(v[0], v[1], v[2]) }

// fill raises the levels of all demands together. When a resource is used up, the demands for it stop and the others go on. It
// returns the level at which each resource is used up. demands is sorted by level, and overwritten.
func fill(demands []demand, left vector) (usedUpAt vector) {
	for r := range usedUpAt {
		usedUpAt[r] = math.Inf(1)
	}
	for {
		used, level := firstUsedUp(demands, left, usedUpAt)
		if used < 0 {
			return usedUpAt
		}
		usedUpAt[used] = level
		demands = slices.DeleteFunc(demands, func(dm demand) bool {
			stops := dm.shares[used] > 0 && dm.level > level
			for r, share := range dm.shares {
				if stops {
					left[r] = max(left[r]-share*(level/dm.level), 0)
				}
			}
			return stops
		})
	}
}

// firstUsedUp returns the first resource that is used up when the levels of the demands are raised together, and the level then;
// those with a level in usedUpAt don't count. The resource is negative if there is none.
func firstUsedUp(demands []demand, left, usedUpAt vector) (resource int, level float64) {
	var slope vector
	for i := len(demands) - 1; i >= 0; i-- {
		for r, share := range demands[i].shares {
			slope[r] += share / demands[i].level
		}
		demands[i].slope = slope
	}
	for i := range demands {
		dm := &demands[i]
		resource, level = -1, dm.level*(1-levelTolerance)
		for r := range left {
			if dm.slope[r] > 0 && math.IsInf(usedUpAt[r], 1) && left[r] < level*dm.slope[r] {
				resource, level = r, left[r]/dm.slope[r]
			}
		}
		if resource >= 0 {
			return resource, level
		}
		for r, share := range dm.shares {
			left[r] = max(left[r]-share, 0)
		}
	}
	return -1, 0
}

// levelTolerance is the relative difference below which two levels count as equal, so that the rounding of sums does not decide.
const levelTolerance = 1e-9

// Share returns the dominant share of the team: the largest of its shares of the resources of the shard.
func (d *division) Share(t *Team) float64 { return d.shares(t.use).largest() }

// Level returns the dominant share of the team divided by its weight.
func (d *division) Level(t *Team) float64 { return d.Share(t) / t.Weight() }

// FairShare returns the share up to which the team is owed room now, for what it uses and wants; 1 if all demand fits.
func (d *division) FairShare(t *Team) float64 {
	return min(d.fairLevel(t.use.Add(t.waiting))*t.Weight(), 1)
}

// Owed reports whether the team is owed room for one more task that reserves as much: it stays within its fair share with it, or has
// nothing running. The fair shares of all teams fit into the room, so what is owed does not depend on who asks first.
func (d *division) Owed(t *Team, reserved wigeonstep.Resources) bool {
	if !d.contended || t.use == (wigeonstep.Resources{}) {
		return true
	}
	with := d.shares(t.use.Add(reserved)).largest() / t.Weight()
	return with <= d.fairLevel(reserved)*(1+levelTolerance)
}

// fairLevel returns the lowest level at which one of the resources is used up.
func (d *division) fairLevel(resources wigeonstep.Resources) float64 {
	level := math.Inf(1)
	if !d.contended {
		return level
	}
	for r, amount := range newVector(resources) {
		if amount > 0 {
			level = min(level, d.usedUpAt[r])
		}
	}
	return level
}

// tasksWithin returns the number of further tasks with which the team stays within the level, at least 1.
func (d *division) tasksWithin(t *Team, reserved wigeonstep.Resources, level float64) int {
	return int(max(math.Floor(d.tasksTo(t, reserved, level*(1+levelTolerance))), 1))
}

// tasksUntil returns the number of further tasks with which the team reaches the level, at least 1.
func (d *division) tasksUntil(t *Team, reserved wigeonstep.Resources, level float64) int {
	return int(max(math.Ceil(d.tasksTo(t, reserved, level*(1-levelTolerance))), 1))
}

// tasksTo returns the number of further tasks that bring the team to the level.
func (d *division) tasksTo(t *Team, reserved wigeonstep.Resources, level float64) float64 {
	share := level * t.Weight()
	use, task := d.shares(t.use), d.shares(reserved)
	tasks := float64(unlimitedTasks)
	for r, each := range task {
		if each > 0 {
			tasks = min(tasks, (share-use[r])/each)
		}
	}
	return tasks
}

// unlimitedTasks is above the number of tasks of any step.
const unlimitedTasks = 1 << 30

// resourceCount is the number of fields of wigeonstep.Resources.
const resourceCount = 3

// vector holds the fields of wigeonstep.Resources, or shares of them.
type vector [resourceCount]float64

func newVector(r wigeonstep.Resources) vector {
	return vector{float64(r.CPU), float64(r.Memory), float64(r.GPU)}
}

func (v vector) largest() float64 { return max(v[0], v[1], v[2]) }

func (d *division) shares(r wigeonstep.Resources) vector {
	v := newVector(r)
	for i := range v {
		v[i] *= d.perUnit[i]
	}
	return v
}
