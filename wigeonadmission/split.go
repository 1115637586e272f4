package wigeonadmission

import (
	"cmp"
	"slices"

	"github.com/wigeonstep/wigeonstep"
)

// Report is the last demand that a session reported for a pool, or the process's own. The caller keeps the last report of a
// session, however old, until the session ends.
type Report struct {
	Session wigeonstep.SessionID
	// Heard is false for a session that has never reported; it counts with an equal share.
	Heard bool
	Demand
}

// Grant is one process's part of the slots of a pool: the slots First to First+Slots-1 of Pool.
// The grants that Split computes from the same reports do not overlap.
type Grant struct {
	First int
	Slots int
	// Pool is the number of slots of the whole pool.
	Pool int
	// Long is how many of the slots long work may hold. Over all sessions it adds up to at most three quarters of the pool.
	Long int
}

// portion returns the grant's part of a pool-wide quantity. Over grants that cover the pool the parts add up to the quantity.
func (g Grant) portion(quantity int) int {
	if g.Pool <= 0 {
		return 0
	}
	return quantity*(g.First+g.Slots)/g.Pool - quantity*g.First/g.Pool
}

// Split returns the grant of session self. Every process that passes the same reports, in any order, computes the same split.
//
// Slots that long work holds stay with their process, because it cannot give them back for hours. The other slots are split
// max-min by demand. Every session counts with a demand of at least one slot, so that its next request need not wait for a report.
// Slots that nobody wants are spread equally, so that a burst finds some at every process.
//
// The slots for long work are split equally whatever the demand: if they moved between processes, long runs that hold the slots of
// an earlier split would take the reserve for hours.
func Split(slots int, self wigeonstep.SessionID, reports []Report) Grant {
	slots = max(slots, 0)
	sorted := slices.Clone(reports)
	slices.SortStableFunc(sorted, func(a, b Report) int { return cmp.Compare(a.Session, b.Session) })
	sorted = slices.CompactFunc(sorted, func(a, b Report) bool { return a.Session == b.Session })

	fixed, fixedTotal := make([]int, len(sorted)), 0
	wanted := make([]int, len(sorted))
	for i, r := range sorted {
		if r.Heard {
			fixed[i] = min(max(r.Long, 0), slots)
			wanted[i] = min(max(r.Wanted, r.Held)-fixed[i], slots)
		} else {
			wanted[i] = (slots + len(sorted) - 1) / len(sorted)
		}
		wanted[i] = max(wanted[i], 1)
		fixedTotal += fixed[i]
	}
	if fixedTotal > slots {
		scaled := 0
		for i := range fixed {
			fixed[i] = fixed[i] * slots / fixedTotal
			scaled += fixed[i]
		}
		fixedTotal = scaled
	}
	shares := maxMin(slots-fixedTotal, wanted)

	grant := Grant{Pool: slots}
	first, long := 0, max(min(slots*3/4, slots-1), 0)
	for i, r := range sorted {
		size := fixed[i] + shares[i]
		if r.Session == self {
			grant.First, grant.Slots = first, size
			grant.Long = long*(i+1)/len(sorted) - long*i/len(sorted)
		}
		first += size
	}
	return grant
}

// maxMin splits total over the demands: nobody gets more than it wants before everybody has as much as possible, and what is
// left over is spread equally. Units that do not divide go to the lowest indices.
func maxMin(total int, wanted []int) []int {
	shares := make([]int, len(wanted))
	order := make([]int, len(wanted))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(wanted[a], wanted[b]) })
	left := total
	for i, j := range order {
		level := left / (len(order) - i)
		if wanted[j] <= level {
			shares[j] = wanted[j]
			left -= wanted[j]
			continue
		}
		unsatisfied := slices.Clone(order[i:])
		slices.Sort(unsatisfied)
		spread(left, unsatisfied, shares)
		return shares
	}
	slices.Sort(order)
	spread(left, order, shares)
	return shares
}

// spread adds total to the shares at the indices, as equally as integers allow.
func spread(total int, indices, shares []int) {
	for i, j := range indices {
		shares[j] += total / len(indices)
		if i < total%len(indices) {
			shares[j]++
		}
	}
}
