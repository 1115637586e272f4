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
	"time"

	"github.com/cespare/xxhash/v2"
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

// ShouldJoin reports whether a process with rate own should be a member of the group; isMember is set if it is one. holders
// holds the name of the member that holds each partition; a name may occur several times. A process with a rate of at least
// SufficientRate or of 0 always joins. Any other process stays out if the holders with higher rates can own all shards and
// the slowest of them, with the shards shared out evenly, still has at least the rate own for each of its shards. It does not
// join either while there is a holder of at least its rate for each shard, because every member follows all partitions.
func ShouldJoin(own TaskRate, isMember bool, holders []string, shards int) bool {
	if own >= SufficientRate || own <= 0 {
		return true
	}
	// While no shard is known yet, one is assumed.
	shards = max(shards, 1)
	var higherRates []TaskRate
	equal := 0
	// A member occurs in holders once for each of its partitions.
	for _, name := range slices.Compact(slices.Sorted(slices.Values(holders))) {
		switch r := rateOfMember(name); {
		case r > own:
			higherRates = append(higherRates, r)
		case r == own:
			equal++
		}
	}
	if len(higherRates) > 0 {
		shardsEach := (shards + len(higherRates) - 1) / len(higherRates)
		if slices.Min(higherRates)/TaskRate(shardsEach) >= own {
			return false
		}
	}
	return isMember || len(higherRates)+equal < shards
}

const (
	// startPatience is the time that a process on a small VM leaves to those on larger VMs, which start at the same time after
	// a loss of power and first load the job log.
	startPatience = 2500 * time.Millisecond
	// joinSpread is the time over which small processes spread their joins. Each loads the whole job log, and those that come
	// later see that the earlier ones hold the shards.
	joinSpread = 4 * time.Second
)

// JoinDelay returns the time for which a process on a small VM waits before it joins the group although it should. starting
// is set if the process has not seen any holder of a partition since its start.
func JoinDelay(member string, starting bool) time.Duration {
	const steps = 1 << 16
	delay := joinSpread * time.Duration(xxhash.Sum64String(member)%steps) / steps
	if starting {
		delay += startPatience
	}
	return delay
}
