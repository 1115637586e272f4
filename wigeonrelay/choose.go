package wigeonrelay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonstep/wigeonstep"
)

// MaxRelays is the largest number of relays that a process uses. With more of them each frame carries fewer orders.
const MaxRelays = 4

// Choose returns at most MaxRelays of the candidates for the process at the address own. Processes choose differently, so that
// the candidates share the work, and the choice changes little when a candidate comes or goes.
func Choose(own string, candidates []string) []string {
	chosen := slices.Clone(candidates)
	slices.SortFunc(chosen, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(own, b), rank(own, a)), cmp.Compare(a, b))
	})
	return chosen[:min(len(chosen), MaxRelays)]
}

// Pick returns the index of the address whose process sends the orders to a worker; addresses must not be empty. The orders to
// a worker change their way only when its relay goes or a relay with a higher rank comes.
func Pick(addresses []string, worker wigeonstep.WorkerID) int {
	best, bestRank := 0, uint64(0)
	for i, address := range addresses {
		if r := rank(address, string(worker)); i == 0 || r > bestRank {
			best, bestRank = i, r
		}
	}
	return best
}

// rank returns the rank of a pair of names: the highest-ranked pair wins (rendezvous hashing).
func rank(a, b string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(a)
	_, _ = d.WriteString(" ")
	_, _ = d.WriteString(b)
	return d.Sum64()
}
