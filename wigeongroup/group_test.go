package wigeongroup

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// An owner on a VM with 0.19 of a core and 10 Mbit/s learned of ends half a second late while its pool of 77 VMs was busy,
// so that hardly a job was on time although the pool had room. Owners stay off such VMs while larger ones are there.
func TestBelongs(t *testing.T) {
	small, large := RateOf(0.192, 10), RateOf(0.8, 200)
	larges := func(n int) []string {
		var names []string
		for i := range n {
			names = append(names, MemberName("large", int64(i), large))
		}
		return names
	}
	for _, test := range []struct {
		name    string
		own     Rate
		holders []string
		shards  int
		want    bool
	}{
		{"larger VMs hold the shards", small, larges(6), 5, false},
		{"two larger VMs are left", small, larges(2), 5, false},
		{"a larger VM would carry too many shards", small, larges(1), 60, true},
		{"the larger VMs are gone", small, []string{MemberName("other", 1, small)}, 5, true},
		{"nobody holds a partition", small, nil, 5, true},
		{"no shard is known yet", small, larges(1), 0, false},
		{"a large VM", large, larges(6), 5, true},
		{"all VMs are of one middle size", RateOf(0.4, 1000), []string{MemberName("other", 1, RateOf(0.4, 1000))}, 5, true},
		{"the own size is not known", 0, larges(6), 5, true},
		{"names that tell no rate", small, []string{"edge-1@17", "edge-2@17/x", "edge-3@17/-4"}, 5, true},
		{"a member that holds several partitions counts once", small, append(larges(1), larges(1)...), 9, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, Belongs(test.own, test.holders, test.shards), qt.Equals, test.want)
		})
	}
}

func TestRateOf(t *testing.T) {
	for _, test := range []struct {
		cores, link float64
		want        Rate
	}{
		{0.192, 10, 1000},
		{0.8, 200, 8000},
		{0.4, 1000, 4000},
		{0.4, 0, 4000},
		{0, 10, 1000},
		{0, 0, 0},
		{-1, -1, 0},
	} {
		qt.Assert(t, RateOf(test.cores, test.link), qt.Equals, test.want)
	}
}
