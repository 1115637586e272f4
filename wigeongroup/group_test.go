package wigeongroup

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against owners on VMs that are too small for their pool. On a VM with 0.19 of a core and 10 Mbit/s, the owner of a
// busy pool of 77 VMs saw task ends half a second late, so that almost all jobs missed their deadlines although the pool had
// free capacity.
func TestShouldJoin(t *testing.T) {
	small, large := TaskRateOf(0.192, 10), TaskRateOf(0.8, 200)
	largeMembers := func(n int) []string {
		var names []string
		for i := range n {
			names = append(names, MemberName("large", int64(i), "10.0.0.1:7060", large))
		}
		return names
	}
	smallMembers := func(n int) []string {
		var names []string
		for i := range n {
			names = append(names, MemberName("small", int64(i), "10.0.0.2:7060", small))
		}
		return names
	}
	for _, test := range []struct {
		name    string
		own     TaskRate
		member  bool
		holders []string
		shards  int
		want    bool
	}{
		{"larger VMs hold the shards", small, false, largeMembers(6), 5, false},
		{"two larger VMs hold the shards", small, false, largeMembers(2), 5, false},
		{"a larger VM would carry too many shards", small, false, largeMembers(1), 60, true},
		{"no larger VM holds a partition", small, false, []string{MemberName("other", 1, "", small)}, 5, true},
		{"nobody holds a partition", small, false, nil, 5, true},
		{"no shard is known yet", small, false, largeMembers(1), 0, false},
		{"equal VMs hold the shards", small, false, smallMembers(5), 5, false},
		{"equal VMs are fewer than the shards", small, false, smallMembers(4), 5, true},
		{"a member among equal VMs", small, true, smallMembers(6), 5, true},
		{"a member, and larger VMs hold the shards", small, true, largeMembers(6), 5, false},
		{"a large VM", large, false, largeMembers(6), 5, true},
		{"all VMs have the same medium size", TaskRateOf(0.4, 1000), false, []string{MemberName("other", 1, "", TaskRateOf(0.4, 1000))}, 5, true},
		{"the rate of the process is unknown", 0, false, largeMembers(6), 5, true},
		{"names without a valid rate", small, false, []string{"edge-1@17", "edge-2@17/x", "edge-3@17/-4"}, 5, true},
		{"a member that holds several partitions counts once", small, false, append(largeMembers(1), largeMembers(1)...), 9, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, ShouldJoin(test.own, test.member, test.holders, test.shards), qt.Equals, test.want)
		})
	}
}

func TestTaskRateOf(t *testing.T) {
	for _, test := range []struct {
		cores, link float64
		want        TaskRate
	}{
		{0.192, 10, 1000},
		{0.8, 200, 8000},
		{0.4, 1000, 4000},
		{0.4, 0, 4000},
		{0, 10, 1000},
		{0, 0, 0},
		{-1, -1, 0},
	} {
		qt.Assert(t, TaskRateOf(test.cores, test.link), qt.Equals, test.want)
	}
}

// Guards against standbys that call a wrong address because a member name is not of the expected form.
func TestAddressOf(t *testing.T) {
	for _, test := range []struct{ member, want string }{
		{MemberName("edge-1", 17, "10.0.0.1:7060", 8000), "10.0.0.1:7060"},
		{MemberName("edge-1", 17, "", 8000), ""},
		{"edge-1@17/8000", ""},
		{"edge-1@17|10.0.0.1:7060", ""},
		{"", ""},
	} {
		qt.Assert(t, AddressOf(test.member), qt.Equals, test.want, qt.Commentf("%q", test.member))
	}
}

// Guards against a herd after a loss of power: when 130 processes on small VMs loaded the job log at once, the store answered
// nobody for 12 s. Few of them may begin in the time that the first needs to join.
func TestSmallVMsJoinOneAfterTheOther(t *testing.T) {
	const processes, joinTime = 130, 500 * time.Millisecond
	earliest, last := time.Hour, time.Duration(0)
	var delays []time.Duration
	for i := range processes {
		delay := JoinDelay(MemberName("edge", int64(i), "10.0.0.2:7060", 1920), true)
		delays = append(delays, delay)
		earliest, last = min(earliest, delay), max(last, delay)
	}
	early := 0
	for _, delay := range delays {
		if delay < earliest+joinTime {
			early++
		}
	}
	qt.Assert(t, early <= processes/4, qt.IsTrue, qt.Commentf("%d processes begin within %v", early, joinTime))
	qt.Assert(t, earliest >= startPatience, qt.IsTrue)
	qt.Assert(t, last < startPatience+joinSpread, qt.IsTrue)
}
