// Package wigeongroup decides which processes join the group that owns the partitions of the job log. The owner of a shard
// handles all workers of a pool and VMs differ in size, so processes on small VMs stay out while processes on larger VMs can
// own all shards.
//
// The decision depends on its arguments only, not on a clock or on the network.
package wigeongroup

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// TaskRate is the number of tasks per second that an owner on a VM can start and track until they end; 0 if unknown.
type TaskRate int

const (
	// SufficientRate is the lowest rate at which a process joins the group whatever the other members' rates are. It is
	// sized for a burst on a pool of a hundred VMs; the busiest pool seen, of 77 VMs, ended up to 1,760 tasks in a second.
	SufficientRate TaskRate = 3000
	// cpuPerTask is the CPU time of an owner for the start, the heartbeats and the end of one task, in seconds.
	cpuPerTask = 100e-6
	// megabitsPerTask is the network traffic of an owner for the start, the heartbeats and the end of one task.
	megabitsPerTask = 0.01
)

// TaskRateOf returns the rate of a VM, the lower one of those that its cores and its link allow. linkMbps is in
// megabits per second. An argument of 0 is unknown and sets no limit; with both unknown the rate is 0.
func TaskRateOf(cores, linkMbps float64) TaskRate {
	byCPU, byLink := TaskRate(cores/cpuPerTask), TaskRate(linkMbps/megabitsPerTask)
	if byCPU <= 0 || byLink <= 0 {
		return max(byCPU, byLink, 0)
	}
	return min(byCPU, byLink)
}

// rateSeparator and addressSeparator separate the rate and the address of a process from the rest of its member name.
const (
	rateSeparator    = "/"
	addressSeparator = "|"
)

// MemberName returns the name under which one instance of a process joins the group. It contains the address for its peers
// and the rate, which other processes read from it.
func MemberName(process string, instance int64, address string, r TaskRate) string {
	return fmt.Sprintf("%s@%d%s%s%s%d", process, instance, addressSeparator, address, rateSeparator, r)
}

// AddressOf returns the address in the name of a member, or "" if the name contains none.
func AddressOf(member string) string {
	_, rest, _ := strings.Cut(member, addressSeparator)
	address, _, found := strings.Cut(rest, rateSeparator)
	if !found {
		return ""
	}
	return address
}

// rateOfMember returns the rate in the name of a member, or 0 if the name contains no valid one.
func rateOfMember(name string) TaskRate {
	i := strings.LastIndex(name, rateSeparator)
	r, err := strconv.Atoi(name[i+1:])
	if i < 0 || err != nil || r < 0 {
		return 0
	}
	return TaskRate(r)
}

// ShouldJoin reports whether a process with rate own should join the group. holders holds the name of the member that holds
// each partition; a name may occur several times. A process with a rate of at least SufficientRate or of 0 always joins. Any other process stays out if the
// holders with higher rates can own all shards and the slowest of them, with the shards shared out evenly, still has at
// least the rate own for each of its shards.
func ShouldJoin(own TaskRate, holders []string, shards int) bool {
	if own >= SufficientRate || own <= 0 {
		return true
	}
	var higherRates []TaskRate
	// A member occurs in holders once for each of its partitions.
	for _, name := range slices.Compact(slices.Sorted(slices.Values(holders))) {
		if r := rateOfMember(name); r > own {
			higherRates = append(higherRates, r)
		}
	}
	if len(higherRates) == 0 {
		return true
	}
	// While no shard is known yet, one is assumed.
	shardsEach := (max(shards, 1) + len(higherRates) - 1) / len(higherRates)
	return slices.Min(higherRates)/TaskRate(shardsEach) < own
}
