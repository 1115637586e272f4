package wigeonadmission

import (
	"cmp"
	"slices"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonrouting"
)

// Report is the last demand that a session reported for a pool, or the process's own. The caller keeps the last report of a
// session, however old, until the session ends.
type Report struct {
	Session wigeonstep.SessionID
	// Heard is false for a session that has never reported; it counts with an equal share.
	Heard bool
	// Stale is set when the report is older than 2 s. Its demand still counts, but not that the session held more than its share:
	// that lasts only until its work has ended.
	Stale bool
	Demand
}

// Grant is one process's part of the slots of a pool.
type Grant struct {
	// Slots is how many slots the process may hold. It is less than the ranges have while others still hold some of them.
	Slots int
	// Pool is the number of slots of the whole pool.
	Pool int
	// Long is how many of the slots long work may hold. Over all sessions it adds up to at most three quarters of the pool.
	Long int
	// Ranges are the numbers of the process's slots, out of 0 to Pool-1. Those that Split computes from the same reports for
	// different sessions do not overlap.
	Ranges []wigeonrouting.SlotRange
}

// Equal reports whether two grants are the same.
func (g Grant) Equal(o Grant) bool {
	return g.Slots == o.Slots && g.Pool == o.Pool && g.Long == o.Long && slices.Equal(g.Ranges, o.Ranges)
}

// Intersect returns the slots of the grant that the one before it had, too. A process that uses only these leaves a slot that it
// was given to the requests that still run on it for another report.
func (g Grant) Intersect(before Grant) Grant {
	var both []wigeonrouting.SlotRange
	slots := 0
	for _, b := range before.Ranges {
		for _, r := range g.Ranges {
			first := max(b.First, r.First)
			if n := min(b.First+b.Count, r.First+r.Count) - first; n > 0 {
				both = append(both, wigeonrouting.SlotRange{First: first, Count: n})
				slots += n
			}
		}
	}
	return Grant{Slots: min(g.Slots, slots), Pool: g.Pool, Long: min(g.Long, before.Long), Ranges: both}
}

// portion returns the grant's part of a pool-wide quantity. Over grants that cover the pool the parts add up to the quantity.
func (g Grant) portion(quantity int) int {
	part := 0
	for _, r := range g.Ranges {
		if g.Pool <= 0 {
			break
		}
		part += quantity*(r.First+r.Count)/g.Pool - quantity*r.First/g.Pool
	}
	return part
}

// Split returns the grant of session self. Every process that passes the same reports, in any order, computes the same split.
//
// Slots that long work holds stay with their process, because it cannot give them back for hours. The other slots are split
// max-min by demand; what nobody wants raises the smallest shares, so that a burst finds free slots at every process. In a pool with
// many slots for each session, every session counts with a demand of at least one, so that its next request need not wait for a
// report.
//
// Every session has an equal part of the slots as its home. It keeps as much of it as its share allows, and only what it does not
// need is lent to others, so that few slots change hands when demand changes while requests run on them.
//
// The slots for long work are split equally whatever the demand: if they moved between processes, long runs that hold the slots of
// an earlier split would take the reserve for hours.
func Split(slots int, self wigeonstep.SessionID, reports []Report) Grant {
	slots = max(slots, 0)
	sorted, bySession := slices.Clone(reports), func(a, b Report) int { return cmp.Compare(a.Session, b.Session) }
	if !slices.IsSortedFunc(sorted, bySession) {
		slices.SortStableFunc(sorted, bySession)
	}
	sorted = slices.CompactFunc(sorted, func(a, b Report) bool { return a.Session == b.Session })
	i := slices.IndexFunc(sorted, func(r Report) bool { return r.Session == self })
	if i < 0 {
		return Grant{Pool: slots}
	}
	shares := entitled(slots, sorted)
	long := max(min(slots*3/4, slots-1), 0)
	n := len(sorted)
	return Grant{
		Slots:  startable(sorted, shares, i),
		Pool:   slots,
		Long:   long*(i+1)/n - long*i/n,
		Ranges: ranges(slots, shares, i),
	}
}

// idleSlotFrom is from how many slots for each session on idle sessions keep one. With fewer, slots kept for idle sessions would be
// too large a part of the pool.
const idleSlotFrom = 4

// entitled returns the share of each session; the shares add up to the slots.
func entitled(slots int, sorted []Report) []int {
	least := 0
	if slots >= idleSlotFrom*len(sorted) {
		least = 1
	}
	fixed, fixedTotal := make([]int, len(sorted)), 0
	wanted := make([]int, len(sorted))
	for i, r := range sorted {
		if r.Heard {
			fixed[i] = min(max(r.Long, 0), slots)
			wanted[i] = min(max(r.Wanted, r.Held)-fixed[i], slots)
		} else {
			wanted[i] = (slots + len(sorted) - 1) / len(sorted)
		}
		wanted[i] = max(wanted[i], least)
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
	for i := range shares {
		shares[i] += fixed[i]
	}
	return shares
}

// startable returns how many slots the session at the index may hold until the next reports. While other sessions still hold more
// than their shares, which they give back as their work ends, the free part of its share is smaller by its part of that excess.
func startable(sorted []Report, shares []int, index int) int {
	excess, free := 0, 0
	for i, r := range sorted {
		if !r.Stale {
			excess += max(r.Held-shares[i], 0)
		}
		free += max(shares[i]-r.Held, 0)
	}
	mine := max(shares[index]-sorted[index].Held, 0)
	if mine == 0 || excess == 0 {
		return shares[index]
	}
	return shares[index] - min((excess*mine+free-1)/free, mine)
}

// maxMin splits total over the demands. If it does not suffice, nobody gets more than it wants before everybody has as much as
// possible; otherwise everybody gets what it wants and the smallest shares are raised by what is left over. Units that do not
// divide go to the lowest indices, but when there is not one for everybody, to the largest demands: there the queues are longest.
func maxMin(total int, wanted []int) []int {
	shares := make([]int, len(wanted))
	order := make([]int, len(wanted))
	sum := 0
	for i, w := range wanted {
		order[i] = i
		sum += w
	}
	// Settled first are the smallest demands when slots are scarce, and the largest ones when they are not.
	scarce := sum > total
	slices.SortStableFunc(order, func(a, b int) int {
		if scarce {
			return cmp.Compare(wanted[a], wanted[b])
		}
		return cmp.Compare(wanted[b], wanted[a])
	})
	left := total
	for len(order) > 0 {
		j, level := order[0], left/len(order)
		if scarce && wanted[j] > level || !scarce && wanted[j] <= level {
			break
		}
		shares[j] = wanted[j]
		left -= wanted[j]
		order = order[1:]
	}
	if !scarce || left >= len(order) {
		slices.Sort(order)
	} else {
		slices.Reverse(order)
	}
	for i, j := range order {
		shares[j] = left / len(order)
		if i < left%len(order) {
			shares[j]++
		}
	}
	return shares
}

// ranges returns the slots of the session at the index: the first ones of its home, and its part of those that others lend.
func ranges(slots int, shares []int, index int) []wigeonrouting.SlotRange {
	n := len(shares)
	home := func(i int) (first, size int) {
		first = slots * i / n
		return first, slots*(i+1)/n - first
	}
	first, size := home(index)
	own := []wigeonrouting.SlotRange{{First: first, Count: min(shares[index], size)}}
	// The lent slots are dealt out in the order of the sessions; skip is what borrowers before this one take.
	skip := 0
	for i := range index {
		_, s := home(i)
		skip += max(shares[i]-s, 0)
	}
	need := max(shares[index]-size, 0)
	for i := 0; i < n && need > 0; i++ {
		f, s := home(i)
		lent := max(s-shares[i], 0)
		taken := min(max(lent-skip, 0), need)
		if taken > 0 {
			own = append(own, wigeonrouting.SlotRange{First: f + s - lent + skip, Count: taken})
			need -= taken
		}
		skip = max(skip-lent, 0)
	}
	return own
}
