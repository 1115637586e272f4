package wigeonadmission

import (
	"cmp"
	"slices"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonrouting"
)

// Report is the last demand for a pool that a session reported, or the current demand of this process. The caller keeps
// the last report of a session, however old, until the session ends.
type Report struct {
	Session wigeonstep.SessionID
	// Reported is false for a session that has not reported yet; it counts with an equal share.
	Reported bool
	// Stale is set when the report is older than 2 s. The demand of a stale report still counts towards the shares. Its
	// held slots beyond the session's share are no longer withheld from other sessions, because they become free as the
	// work on them ends.
	Stale bool
	Demand
}

// Grant is the part of a pool's slots that one process may use.
type Grant struct {
	// Slots is the number of slots that the process may hold. It is less than the size of Ranges while other processes
	// still hold some of these slots.
	Slots int
	// PoolSlots is the number of slots of the whole pool.
	PoolSlots int
	// LongSlots is the number of slots that long work may hold. The sum over all sessions is at most three quarters of the
	// pool.
	LongSlots int
	// Ranges are the slots of the process, numbered from 0 to PoolSlots-1. The ranges that Split computes for different
	// sessions from the same reports do not overlap.
	Ranges []wigeonrouting.SlotRange
}

// Equal reports whether g and o have the same slots, pool, long slots and ranges.
func (g Grant) Equal(o Grant) bool {
	return g.Slots == o.Slots && g.PoolSlots == o.PoolSlots && g.LongSlots == o.LongSlots && slices.Equal(g.Ranges, o.Ranges)
}

// Intersect returns the part of the grant that the previous grant has as well. Requests of the previous holder may
// still run on slots that the process has just been granted. A process that uses only the common part does not use
// these slots until the next report.
func (g Grant) Intersect(previous Grant) Grant {
	var common []wigeonrouting.SlotRange
	slots := 0
	for _, b := range previous.Ranges {
		for _, r := range g.Ranges {
			first := max(b.First, r.First)
			if n := min(b.First+b.Count, r.First+r.Count) - first; n > 0 {
				common = append(common, wigeonrouting.SlotRange{First: first, Count: n})
				slots += n
			}
		}
	}
	return Grant{Slots: min(g.Slots, slots), PoolSlots: g.PoolSlots, LongSlots: min(g.LongSlots, previous.LongSlots), Ranges: common}
}

// portion returns the grant's share of a pool-wide quantity. The shares of grants that cover the pool add up to the
// quantity.
func (g Grant) portion(quantity int) int {
	part := 0
	for _, r := range g.Ranges {
		if g.PoolSlots <= 0 {
			break
		}
		part += quantity*(r.First+r.Count)/g.PoolSlots - quantity*r.First/g.PoolSlots
	}
	return part
}

// Split returns the grant of the session self. It depends only on the set of reports, not on their order, so that all
// processes with the same reports compute the same split.
//
// Slots held by long work stay with their process, which cannot release them for hours. The other slots are split
// max-min fairly by demand. Slots beyond the total demand raise the smallest shares, so that every process has free
// slots for a burst. In a pool with many slots per session, each session counts with a demand of at least one, so that
// its next request does not have to wait for a report.
//
// Every session has an equal, contiguous part of the slots as its home range. A session uses its home range up to its
// share and lends only the rest to other sessions. Few slots therefore change hands when the demand changes while
// requests run on them.
//
// The slots for long work are split equally, regardless of demand. If they moved between processes, long runs on the
// slots of an earlier split would occupy the reserve for short work for hours.
func Split(slots int, self wigeonstep.SessionID, reports []Report) Grant {
	slots = max(slots, 0)
	sorted, bySession := slices.Clone(reports), func(a, b Report) int { return cmp.Compare(a.Session, b.Session) }
	if !slices.IsSortedFunc(sorted, bySession) {
		slices.SortStableFunc(sorted, bySession)
	}
	sorted = slices.CompactFunc(sorted, func(a, b Report) bool { return a.Session == b.Session })
	i := slices.IndexFunc(sorted, func(r Report) bool { return r.Session == self })
	if i < 0 {
		return Grant{PoolSlots: slots}
	}
	shares := sessionShares(slots, sorted)
	long := max(min(slots*3/4, slots-1), 0)
	n := len(sorted)
	return Grant{
		Slots:     startableSlots(sorted, shares, i),
		PoolSlots: slots,
		LongSlots: long*(i+1)/n - long*i/n,
		Ranges:    slotRanges(slots, shares, i),
	}
}

// idleSlotThreshold is the number of slots per session from which each idle session keeps one slot. In smaller pools,
// the slots kept for idle sessions would be too large a part of the pool.
const idleSlotThreshold = 4

// sessionShares returns the share of each session, in slots. The shares add up to the slots of the pool.
func sessionShares(slots int, sorted []Report) []int {
	minDemand := 0
	if slots >= idleSlotThreshold*len(sorted) {
		minDemand = 1
	}
	longSlots, longTotal := make([]int, len(sorted)), 0
	demands := make([]int, len(sorted))
	for i, r := range sorted {
		if r.Reported {
			longSlots[i] = min(max(r.HeldLong, 0), slots)
			demands[i] = min(max(r.Wanted, r.Held)-longSlots[i], slots)
		} else {
			demands[i] = (slots + len(sorted) - 1) / len(sorted)
		}
		demands[i] = max(demands[i], minDemand)
		longTotal += longSlots[i]
	}
	if longTotal > slots {
		scaled := 0
		for i := range longSlots {
			longSlots[i] = longSlots[i] * slots / longTotal
			scaled += longSlots[i]
		}
		longTotal = scaled
	}
	shares := maxMinShares(slots-longTotal, demands)
	for i := range shares {
		shares[i] += longSlots[i]
	}
	return shares
}

// startableSlots returns the number of slots that the session at the index may hold until the next reports. Sessions
// that hold more than their shares release the excess only as their work ends. Until then, the unused shares of the
// other sessions are reduced by the total excess, in proportion to their size.
func startableSlots(sorted []Report, shares []int, index int) int {
	excess, unusedTotal := 0, 0
	for i, r := range sorted {
		if !r.Stale {
			excess += max(r.Held-shares[i], 0)
		}
		unusedTotal += max(shares[i]-r.Held, 0)
	}
	unusedShare := max(shares[index]-sorted[index].Held, 0)
	if unusedShare == 0 || excess == 0 {
		return shares[index]
	}
	return shares[index] - min((excess*unusedShare+unusedTotal-1)/unusedTotal, unusedShare)
}

// maxMinShares splits total max-min fairly over the demands. If total covers the sum of the demands, every demand is
// met and the rest raises the smallest shares; otherwise no share exceeds its demand. Remainders that do not divide
// evenly go to the lowest indices. If there is not even one unit for each remaining demand, they go to the largest
// demands, which have the longest queues.
func maxMinShares(total int, demands []int) []int {
	shares := make([]int, len(demands))
	order := make([]int, len(demands))
	sum := 0
	for i, w := range demands {
		order[i] = i
		sum += w
	}
	// When slots are scarce, the smallest demands get their shares first, otherwise the largest ones.
	scarce := sum > total
	slices.SortStableFunc(order, func(a, b int) int {
		if scarce {
			return cmp.Compare(demands[a], demands[b])
		}
		return cmp.Compare(demands[b], demands[a])
	})
	remaining := total
	for len(order) > 0 {
		j, level := order[0], remaining/len(order)
		if scarce && demands[j] > level || !scarce && demands[j] <= level {
			break
		}
		shares[j] = demands[j]
		remaining -= demands[j]
		order = order[1:]
	}
	if !scarce || remaining >= len(order) {
		slices.Sort(order)
	} else {
		slices.Reverse(order)
	}
	for i, j := range order {
		shares[j] = remaining / len(order)
		if i < remaining%len(order) {
			shares[j]++
		}
	}
	return shares
}

// slotRanges returns the slots of the session at the index: the first slots of its home range, up to its share, then
// its part of the slots that other sessions lend.
func slotRanges(slots int, shares []int, index int) []wigeonrouting.SlotRange {
	n := len(shares)
	home := func(i int) (first, size int) {
		first = slots * i / n
		return first, slots*(i+1)/n - first
	}
	first, size := home(index)
	own := []wigeonrouting.SlotRange{{First: first, Count: min(shares[index], size)}}
	// Lent slots are allocated in the order of the sessions; skip counts those that borrowers before this one use.
	skip := 0
	for i := range index {
		_, lenderSize := home(i)
		skip += max(shares[i]-lenderSize, 0)
	}
	missing := max(shares[index]-size, 0)
	for i := 0; i < n && missing > 0; i++ {
		lenderFirst, lenderSize := home(i)
		lendable := max(lenderSize-shares[i], 0)
		borrowed := min(max(lendable-skip, 0), missing)
		if borrowed > 0 {
			own = append(own, wigeonrouting.SlotRange{First: lenderFirst + lenderSize - lendable + skip, Count: borrowed})
			missing -= borrowed
		}
		skip = max(skip-lendable, 0)
	}
	return own
}
