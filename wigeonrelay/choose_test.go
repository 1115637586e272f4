package wigeonrelay

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
)

func addresses(n int) []string {
	var all []string
	for i := range n {
		all = append(all, fmt.Sprintf("10.0.0.%d:7060", i+1))
	}
	return all
}

// Guards against owners that all choose the same relays while other candidates idle.
func TestChooseSharesCandidates(t *testing.T) {
	candidates := addresses(10)
	used := map[string]int{}
	for owner := range 50 {
		chosen := Choose(fmt.Sprintf("10.0.1.%d:7060", owner), candidates)
		qt.Assert(t, chosen, qt.HasLen, MaxRelays)
		for _, address := range chosen {
			used[address]++
		}
	}
	for _, address := range candidates {
		// 50 owners with 4 relays each use a candidate 20 times on average.
		qt.Check(t, used[address] >= 8 && used[address] <= 32, qt.IsTrue, qt.Commentf("%s is used %d times", address, used[address]))
	}
	qt.Assert(t, Choose("10.0.1.1:7060", nil), qt.HasLen, 0)
	qt.Assert(t, Choose("10.0.1.1:7060", candidates[:2]), qt.HasLen, 2)
}

// Guards against orders to one worker that overtake each other on different relays whenever a candidate comes or goes.
func TestPickMovesOnlyTheWorkersOfALostRelay(t *testing.T) {
	before := addresses(4)
	after := before[:3]
	perRelay := map[string]int{}
	for i := range 900 {
		worker := wigeonstep.WorkerID(fmt.Sprintf("i-%d", i))
		old, now := before[Pick(before, worker)], after[Pick(after, worker)]
		perRelay[old]++
		if old != before[3] {
			qt.Assert(t, now, qt.Equals, old)
		}
	}
	for _, address := range before {
		qt.Check(t, perRelay[address] > 180 && perRelay[address] < 270, qt.IsTrue, qt.Commentf("%s has %d of 900 workers", address, perRelay[address]))
	}
}
