package wigeongroup

import (
	"testing"

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
	for _, test := range []struct {
		name    string
		own     TaskRate
		holders []string
		shards  int
		want    bool
	}{
		{"larger VMs hold the shards", small, largeMembers(6), 5, false},
		{"two larger VMs hold the shards", small, largeMembers(2), 5, false},
		{"a larger VM would carry too many shards", small, largeMembers(1), 60, true},
		{"no larger VM holds a partition", small, []string{MemberName("other", 1, "", small)}, 5, true},
		{"nobody holds a partition", small, nil, 5, true},
		{"no shard is known yet", small, largeMembers(1), 0, false},
		{"a large VM", large, largeMembers(6), 5, true},
		{"all VMs have the same medium size", TaskRateOf(0.4, 1000), []string{MemberName("other", 1, "", TaskRateOf(0.4, 1000))}, 5, true},
		{"the rate of the process is unknown", 0, largeMembers(6), 5, true},
		{"names without a valid rate", small, []string{"edge-1@17", "edge-2@17/x", "edge-3@17/-4"}, 5, true},
		{"a member that holds several partitions counts once", small, append(largeMembers(1), largeMembers(1)...), 9, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, ShouldJoin(test.own, test.holders, test.shards), qt.Equals, test.want)
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
