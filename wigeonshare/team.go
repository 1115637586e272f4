// Package wigeonshare divides the room of a shard among teams: weighted dominant resource fairness decides which team's step
// gets the next tasks, and a sliding window decides which jobs of a team exceed its rate.
//
// The package reads no clock and is not safe for concurrent use.
package wigeonshare

import (
	"math"

	"github.com/wigeonstep/wigeonstep"
)

// Team is a team in the division of a shard's room. It belongs to one Order. The zero value has weight 1 and uses nothing.
type Team struct {
	// weight counts as 1 while it is 0.
	weight float64
	// use is what the runs of the team reserve, waiting what its ready tasks without a run would reserve.
	use, waiting wigeonstep.Resources
	// task is what a task of the team reserves, the last one that was added.
	task wigeonstep.Resources
	// first and last are the ends of the list of the team's entries that wait for the second part of the order, as indices in
	// Order.entries plus 1; 0 if the list is empty.
	first, last int32
}

// minWeight and maxWeight bound weights, so that quotients of shares and weights are neither 0 nor infinite.
const (
	minWeight = 1e-9
	maxWeight = 1e12
)

// SetWeight sets the weight of the team. One that is not a positive number counts as 1.
func (t *Team) SetWeight(weight float64) {
	if weight <= 0 || math.IsInf(weight, 0) || math.IsNaN(weight) {
		weight = 1
	}
	t.weight = min(max(weight, minWeight), maxWeight)
}

// Weight returns the weight of the team.
func (t *Team) Weight() float64 {
	if t.weight == 0 {
		return 1
	}
	return t.weight
}

// Use returns what the runs of the team reserve.
func (t *Team) Use() wigeonstep.Resources { return t.use }

// AddUse adds what a run reserves.
func (t *Team) AddUse(reserved wigeonstep.Resources) {
	t.use = t.use.Add(reserved)
	t.task = reserved
}

// SubUse subtracts what a run that has ended reserved.
func (t *Team) SubUse(reserved wigeonstep.Resources) { t.use = t.use.Sub(reserved) }

// ResetWaiting sets what waits to nothing.
func (t *Team) ResetWaiting() { t.waiting = wigeonstep.Resources{} }

// AddWaiting adds what a number of ready tasks would reserve.
func (t *Team) AddWaiting(tasks int, reserved wigeonstep.Resources) {
	t.task = reserved
	n := int64(tasks)
	t.waiting.CPU += wigeonstep.MilliCPU(n) * reserved.CPU
	t.waiting.Memory += wigeonstep.Megabytes(n) * reserved.Memory
	t.waiting.GPU += n * reserved.GPU
}
