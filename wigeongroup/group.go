// Package wigeongroup decides which processes share the partitions of the job log. VMs differ in size, and the owner of a
// shard holds all workers of a pool, so owners belong on VMs that can carry them.
//
// It reads no clock and no socket: the same members always give the same answer.
package wigeongroup

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Rate is the number of tasks a second that an owner on a VM can start and follow to their ends; 0 when it is not known.
type Rate int

const (
	// Ample is the rate from which a process always takes part: it carries a pool of a hundred VMs in its turn.
	Ample Rate = 3000
	// cpuPerTask is the processor time of a start, the holds and the end of a task, in seconds.
	cpuPerTask = 100e-6
	// megabitsPerTask is what they put on the network.
	megabitsPerTask = 0.01
)

// RateOf returns the rate of a VM with a share of a core and a link of so many megabits a second. What is 0 is not known.
func RateOf(cores, linkMbps float64) Rate {
	byCPU, byLink := Rate(cores/cpuPerTask), Rate(linkMbps/megabitsPerTask)
	if byCPU <= 0 || byLink <= 0 {
		return max(byCPU, byLink, 0)
	}
	return min(byCPU, byLink)
}

// rateMark separates the name of a process from its rate.
const rateMark = "/"

// MemberName returns the name of a life of a process in the group, which tells the others its rate.
func MemberName(process string, life int64, r Rate) string {
	return fmt.Sprintf("%s@%d%s%d", process, life, rateMark, r)
}

// rateOfMember returns the rate that the name of a member tells; 0 when it tells none.
func rateOfMember(name string) Rate {
	i := strings.LastIndex(name, rateMark)
	r, err := strconv.Atoi(name[i+1:])
	if i < 0 || err != nil || r < 0 {
		return 0
	}
	return Rate(r)
}

// Belongs reports whether a process should take part: always when it is ample or does not know its rate, else unless the
// members with higher rates that hold partitions give each of the shards at least what this process could.
func Belongs(own Rate, holders []string, shards int) bool {
	if own >= Ample || own <= 0 {
		return true
	}
	var stronger []Rate
	for _, name := range slices.Compact(slices.Sorted(slices.Values(holders))) {
		if r := rateOfMember(name); r > own {
			stronger = append(stronger, r)
		}
	}
	if len(stronger) == 0 {
		return true
	}
	shardsEach := (max(shards, 1) + len(stronger) - 1) / len(stronger)
	return slices.Min(stronger)/Rate(shardsEach) < own
}
