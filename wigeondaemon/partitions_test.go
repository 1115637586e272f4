package wigeondaemon

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
)

// Guards against services whose shards all go to one process when the group deals its partitions anew, as when they had the lowest
// numbers: the owner of all bursts had the processor of one VM.
func TestPartitionsOfServicesAreApart(t *testing.T) {
	c := qt.New(t)
	const count = 48
	d := &Daemon{config: Config{Partitions: count}}
	used := map[wigeonstep.Partition]int{}
	shards := []wigeonstep.Partition{fleetPartition}
	for range 4 {
		shards = append(shards, d.leastUsedPartitions(used, 1)...)
	}
	for members := wigeonstep.Partition(10); members <= 16; members++ {
		inTurn, inRanges := map[wigeonstep.Partition]int{}, map[wigeonstep.Partition]int{}
		for _, part := range shards {
			inTurn[part%members]++
			inRanges[part*members/count]++
			c.Assert(inTurn[part%members] <= 2, qt.IsTrue, qt.Commentf("%v among %d members in turn", shards, members))
			c.Assert(inRanges[part*members/count] <= 1, qt.IsTrue, qt.Commentf("%v among %d members in ranges", shards, members))
		}
	}
}

// Guards against services that share a partition while others have none, and against a service that gets one twice.
func TestPartitionsAreUsedEvenly(t *testing.T) {
	c := qt.New(t)
	d := &Daemon{config: Config{Partitions: 5}}
	used := map[wigeonstep.Partition]int{}
	c.Assert(d.leastUsedPartitions(used, 9), qt.HasLen, 4)
	d.leastUsedPartitions(used, 2)
	d.leastUsedPartitions(used, 2)
	for part := wigeonstep.Partition(1); part < 5; part++ {
		c.Assert(used[part], qt.Equals, 2)
	}
}
