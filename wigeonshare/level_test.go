package wigeonshare

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/wigeonstep/wigeonstep"
)

// newTeam returns a team that uses and waits for a number of tasks.
func newTeam(weight float64, running, waiting int, task wigeonstep.Resources) *Team {
	t := &Team{}
	t.SetWeight(weight)
	for range running {
		t.AddUse(task)
	}
	t.AddWaiting(waiting, task)
	return t
}

// fillAll hands out all room of the capacity to the steps of the teams, one step each, and returns the number of tasks of each.
func fillAll(o *Order, capacity wigeonstep.Resources, teams []*Team, tasks []wigeonstep.Resources, wanted []int) []int {
	got := make([]int, len(teams))
	free := capacity
	for _, t := range teams {
		free = free.Sub(t.Use())
	}
	o.Begin()
	for i, t := range teams {
		o.Append(t, tasks[i])
	}
	for {
		i, most, ok := o.Next()
		if !ok {
			return got
		}
		planned := 0
		for planned < most && got[i] < wanted[i] && free.Covers(tasks[i]) {
			free = free.Sub(tasks[i])
			teams[i].AddUse(tasks[i])
			got[i]++
			planned++
		}
		o.Planned(planned == most && got[i] < wanted[i])
	}
}

// Guards against a division that counts tasks, or one resource only, and not the dominant share of a team.
func TestDominantShares(t *testing.T) {
	small, large := wigeonstep.Resources{CPU: 1000, Memory: 4000}, wigeonstep.Resources{CPU: 3000, Memory: 1000}
	accelerated := wigeonstep.Resources{CPU: 1000, GPU: 1}
	capacity := wigeonstep.Resources{CPU: 9000, Memory: 18_000}
	for _, test := range []struct {
		name     string
		capacity wigeonstep.Resources
		tasks    []wigeonstep.Resources
		weights  []float64
		wanted   []int
		want     []int
	}{
		{"two resources, equal weights", capacity, []wigeonstep.Resources{small, large}, []float64{1, 1}, []int{9, 9}, []int{3, 2}},
		{"weights", wigeonstep.Resources{CPU: 12_000, Memory: 99_000}, []wigeonstep.Resources{large, large}, []float64{3, 1}, []int{9, 9}, []int{3, 1}},
		{"unused share is lent", wigeonstep.Resources{CPU: 30_000, Memory: 99_000}, []wigeonstep.Resources{large, large}, []float64{1, 1}, []int{2, 99}, []int{2, 8}},
		{"GPUs used up", wigeonstep.Resources{CPU: 20_000, Memory: 99_000, GPU: 2}, []wigeonstep.Resources{accelerated, accelerated, large}, []float64{1, 1, 1}, []int{9, 9, 9}, []int{1, 1, 6}},
		{"no such resource", wigeonstep.Resources{CPU: 6000, Memory: 9000}, []wigeonstep.Resources{accelerated, large}, []float64{1, 1}, []int{9, 9}, []int{0, 2}},
	} {
		t.Run(test.name, func(t *testing.T) {
			teams := make([]*Team, len(test.tasks))
			for i, task := range test.tasks {
				teams[i] = newTeam(test.weights[i], 0, test.wanted[i], task)
			}
			var o Order
			o.Divide(test.capacity, wigeonstep.Resources{}, teams)
			qt.Assert(t, fillAll(&o, test.capacity, teams, test.tasks, test.wanted), qt.DeepEquals, test.want)
		})
	}
}

// Guards against a team that has to step back although all demand fits, or because of a resource that it does not use.
func TestFairLevels(t *testing.T) {
	c := qt.New(t)
	cpu, gpu := wigeonstep.Resources{CPU: 1000}, wigeonstep.Resources{CPU: 10, GPU: 1}
	capacity := wigeonstep.Resources{CPU: 10_000, Memory: 1, GPU: 4}
	var o Order
	hungry, modest := newTeam(1, 5, 3, cpu), newTeam(1, 1, 1, cpu)
	o.Divide(capacity, wigeonstep.Resources{}, []*Team{hungry, modest})
	c.Assert(o.Owed(hungry, cpu), qt.IsTrue)
	c.Assert(o.FairShare(hungry), qt.Equals, 1.0)

	accelerated := []*Team{newTeam(1, 3, 9, gpu), newTeam(1, 1, 9, gpu)}
	o.Divide(capacity, wigeonstep.Resources{}, append(accelerated, hungry))
	c.Assert(o.Owed(accelerated[0], gpu), qt.IsFalse)
	c.Assert(o.Owed(accelerated[1], gpu), qt.IsTrue)
	c.Assert(o.Owed(hungry, cpu), qt.IsTrue)

	// Others use half of the room, so each of the two has a quarter.
	o.Divide(capacity, wigeonstep.Resources{CPU: 5000}, []*Team{hungry, newTeam(1, 0, 9, cpu)})
	c.Assert(math.Abs(o.FairShare(hungry)-0.25) < 1e-9, qt.IsTrue)
	c.Assert(o.Owed(hungry, cpu), qt.IsFalse)
}

// Guards against a team that is left below its fair share while another gets more than one task above its own, against room that
// is left free, and against weights or sizes that break the arithmetic.
func TestDivisionProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := wigeonstep.Resources{CPU: 100_000, Memory: 200_000, GPU: int64(rapid.IntRange(0, 8).Draw(t, "gpus"))}
		n := rapid.IntRange(1, 12).Draw(t, "teams")
		teams, tasks, wanted := make([]*Team, n), make([]wigeonstep.Resources, n), make([]int, n)
		for i := range teams {
			tasks[i] = wigeonstep.Resources{
				CPU:    wigeonstep.MilliCPU(rapid.IntRange(0, 8000).Draw(t, "cpu")),
				Memory: wigeonstep.Megabytes(rapid.IntRange(1, 16_000).Draw(t, "memory")),
				GPU:    int64(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "gpu")),
			}
			wanted[i] = rapid.IntRange(0, 40).Draw(t, "wanted")
			weight := rapid.SampledFrom([]float64{1, 2, 10, 0.5, 0, -1, math.Inf(1), math.NaN(), 1e300, 1e-300}).Draw(t, "weight")
			teams[i] = newTeam(weight, 0, wanted[i], tasks[i])
		}
		var o Order
		o.Divide(capacity, wigeonstep.Resources{}, teams)
		got := fillAll(&o, capacity, teams, tasks, wanted)
		free := capacity
		for _, team := range teams {
			free = free.Sub(team.Use())
		}
		for i, team := range teams {
			if got[i] == wanted[i] {
				continue
			}
			if free.Covers(tasks[i]) {
				t.Fatalf("team %d waits with room free: %+v", i, free)
			}
			if !o.Owed(team, tasks[i]) {
				continue
			}
			for j, other := range teams {
				if got[j] == 0 || !tasks[j].Covers(tasks[i]) {
					// Its tasks may fit into room that is too small for the one that waits.
					continue
				}
				if before := (Team{weight: other.weight, use: other.use.Sub(tasks[j])}); !o.Owed(&before, tasks[j]) {
					t.Fatalf("team %d is below its fair share, and team %d has more than one task above its own", i, j)
				}
			}
		}
	})
}

// Guards against allocations in the steady state: an owner divides its room many times a second.
func TestDivisionAllocatesNothing(t *testing.T) {
	task := wigeonstep.Resources{CPU: 1000, Memory: 1000}
	teams := make([]*Team, 97)
	for i := range teams {
		teams[i] = newTeam(float64(1+i%7), i%5, 9, task)
	}
	var o Order
	divide := func() {
		o.Divide(wigeonstep.Resources{CPU: 100_000, Memory: 200_000}, wigeonstep.Resources{}, teams)
		o.Begin()
		for range 3 {
			for _, team := range teams {
				o.Append(team, task)
			}
		}
		for i := 0; ; i++ {
			if _, _, ok := o.Next(); !ok {
				break
			}
			o.Planned(i < len(teams))
		}
	}
	divide()
	qt.Assert(t, testing.AllocsPerRun(10, divide), qt.Equals, 0.0)
}
