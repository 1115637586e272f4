package wigeonquota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// divide takes in what the owners have confirmed, sets the targets of the partitions if a shard is short, and determines the
// grants and the raises that are due.
func (d *Division) divide(now time.Duration, t *dividedTeam) {
	if t.limit == unlimited {
		return
	}
	t.dividedAt = now
	holders := t.holders
	for _, h := range holders {
		d.takeConfirmation(t, h)
	}
	movesReserve := now-t.reserveMovedAt >= reserveInterval && slices.ContainsFunc(holders, t.nearlyShort)
	if !t.recorded && !t.writing || t.redivide || t.over(holders) || slices.ContainsFunc(holders, t.short) || movesReserve {
		t.redivide, t.reserveMovedAt = false, now
		t.setTargets(holders)
	}
	if !t.writing {
		t.raise(holders)
	}
	if t.recorded {
		d.issueGrants(t, holders)
	}
}

// takeConfirmation lowers the allowance to the cap that the owner has confirmed, but not below its use: a new division knows only
// the allowance until the owner reports to it.
func (d *Division) takeConfirmation(t *dividedTeam, h *holder) {
	if d.confirmed(h) {
		h.allowance = minEach(h.allowance, maxEach(h.use.Cap, h.use.Use))
		h.mayExceed = h.sent.MayExceed
	}
	if !t.writing {
		h.raised, h.rising = h.allowance, false
	}
}

// short reports whether the shard wants more than its allowance.
func (t *dividedTeam) short(h *holder) bool {
	return !h.allowance.Covers(minEach(h.use.Wanted, t.limit))
}

const (
	// reserveDivisor is the divisor of a shard's use that gives the reserve below which it is nearly short.
	reserveDivisor = 4
	// reserveInterval is the minimum time between two divisions for the sake of reserves, which change with each report.
	reserveInterval = 100 * time.Millisecond
)

// nearlyShort reports whether the shard uses most of its allowance. What no shard wants then moves to it before a task has to
// wait, because the work of a queue rises faster than an allowance moves.
func (t *dividedTeam) nearlyShort(h *holder) bool {
	reserve := Resources{CPU: h.use.Use.CPU / reserveDivisor, Memory: h.use.Use.Memory / reserveDivisor, GPU: h.use.Use.GPU / reserveDivisor}
	return !h.allowance.Covers(minEach(h.use.Use.Add(reserve), t.limit))
}

// over reports whether the partitions hold more than the limit.
func (t *dividedTeam) over(holders []*holder) bool {
	return !t.limit.Covers(t.limitedPart(sumHeld(holders)))
}

// limitedPart returns the amount without the resources that have no limit.
func (t *dividedTeam) limitedPart(r Resources) Resources {
	f := fields(r)
	for i, l := range fields(t.limit) {
		if l == Unlimited {
			f[i] = 0
		}
	}
	return fromFields(f)
}

func sumHeld(holders []*holder) Resources {
	var sum Resources
	for _, h := range holders {
		sum = sum.Add(h.held())
	}
	return sum
}

// minUnit is the smallest amount, in millionths of the limit, by which setTargets fills up, so that it ends after few rounds.
const minUnit = whole / 32

// filling is what a partition gets when the limit is filled up, in millionths of the limit.
type filling struct {
	*holder
	filled, wanted, unit int64
	use                  int64
	done                 bool
}

// turnLength is the time for which a shard may have nothing running before its turn comes ahead of shards that run tasks. With
// shorter turns much of the limit would be unused while parts of it pass on; a team may wait for at most 3 s.
const turnLength = time.Second

// served returns the time at which the shard last used something; the end of time if it has done so within turnLength.
func (h *holder) served(now time.Duration) time.Duration {
	if h.use.Use != (Resources{}) || h.servedAt != 0 && now-h.servedAt < turnLength {
		return math.MaxInt64
	}
	return h.servedAt
}

// setTargets fills the limit up, a task at a time, for the shard that has the least; among equals for the one that has had
// nothing running for the longest, then for the one that uses most, so that no task has to end without need. What is left goes to
// the shards that still want some of it; if none does, half of it goes to all alike and half by what they use.
func (t *dividedTeam) setTargets(holders []*holder) {
	if len(holders) == 0 {
		return
	}
	fillings := make([]filling, len(holders))
	for i, h := range holders {
		f := filling{holder: h, use: shareOf(h.use.Use, t.limit)}
		f.wanted = shareOf(h.use.Wanted, t.limit)
		f.unit = min(max(shareOf(h.use.Next, t.limit), minUnit), whole)
		f.done = f.wanted == 0
		fillings[i] = f
	}
	left := int64(whole)
	for {
		f := nextToFill(t.dividedAt, fillings)
		if f == nil {
			break
		}
		step := min(f.unit, f.wanted-f.filled)
		if step > left {
			f.done = true
			continue
		}
		f.filled += step
		left -= step
		f.done = f.filled == f.wanted
	}
	unsatisfied, used := 0, int64(0)
	for _, f := range fillings {
		used += f.use
		if f.filled < f.wanted {
			unsatisfied++
		}
	}
	for _, f := range fillings {
		switch {
		case unsatisfied == 0 && used == 0:
			f.filled += left / int64(len(fillings))
		case unsatisfied == 0:
			f.filled += left/2/int64(len(fillings)) + left/2*f.use/used
		case f.filled < f.wanted:
			f.filled += left / int64(unsatisfied)
		}
		f.target = amountOf(f.filled, t.limit)
	}
}

// nextToFill returns the filling that gets the next task; nil if all are done.
func nextToFill(now time.Duration, fillings []filling) *filling {
	var next *filling
	for i := range fillings {
		f := &fillings[i]
		if !f.done && (next == nil || cmp.Or(cmp.Compare(f.filled, next.filled), cmp.Compare(f.served(now), next.served(now)), cmp.Compare(next.use, f.use)) < 0) {
			next = f
		}
	}
	return next
}

// raise determines the allowances that can be raised to their targets with what is free: first those of the shards that have had
// nothing running for the longest, then the smallest.
func (t *dividedTeam) raise(holders []*holder) {
	t.raising = !t.recorded
	free := t.limit.Sub(sumHeld(holders))
	holders = slices.DeleteFunc(slices.Clone(holders), func(h *holder) bool { return h.allowance.Covers(h.target) })
	slices.SortStableFunc(holders, func(a, b *holder) int {
		return cmp.Or(cmp.Compare(a.served(t.dividedAt), b.served(t.dividedAt)), cmp.Compare(shareOf(a.allowance, t.limit), shareOf(b.allowance, t.limit)))
	})
	for _, h := range holders {
		wanted := maxEach(h.target, h.allowance)
		if wanted == h.allowance || !t.short(h) && shareOf(less(wanted, h.allowance), t.limit) < reportStep {
			continue
		}
		raised := t.affordable(h, wanted, free)
		if raised == h.allowance || raised != wanted && !raised.Covers(minEach(h.use.Use.Add(h.use.Next), wanted)) {
			// Less than the next task needs is of no use; it stays free until it suffices.
			continue
		}
		before := h.held()
		h.raised, h.rising, t.raising = raised, true, true
		free = free.Sub(h.held().Sub(before))
	}
}

// affordable returns the allowance on the way to the wanted one that can be had for what is free.
func (t *dividedTeam) affordable(h *holder, wanted, free Resources) Resources {
	part := int64(whole)
	from, to, frees, limits := fields(h.held()), fields(maxEach(h.held(), wanted)), fields(free), fields(t.limit)
	for i, l := range limits {
		if cost, has := to[i]-from[i], max(frees[i], 0); l != Unlimited && cost > has {
			part = min(part, has*whole/cost)
		}
	}
	if part == whole {
		return wanted
	}
	has, full := fields(h.allowance), fields(wanted)
	for i, l := range limits {
		if l == Unlimited {
			has[i] = full[i]
			continue
		}
		has[i] += (full[i] - has[i]) * part / whole
	}
	return fromFields(has)
}

// totalStep is the reduction of the total, in millionths of the limit, from which new grants tell it.
const totalStep = whole / 50

// issueGrants issues new grants to the partitions whose newest ones are out of date.
func (d *Division) issueGrants(t *dividedTeam, holders []*holder) {
	total := maxEach(t.limitedPart(sumHeld(holders)), t.limit)
	for _, h := range holders {
		g := t.grant(h)
		g.Total = total
		g.MayExceed = t.mayExceed(holders, h)
		sent := h.sent
		if total != t.limit && t.limit == sent.Limit && sent.Total.Covers(total) && shareOf(less(sent.Total, total), t.limit) < totalStep {
			g.Total = sent.Total
		}
		g.Number, g.Version = sent.Number, sent.Version
		if sent.Number.Counter == 0 || g != sent {
			d.issue(h, g)
		}
	}
}

// mayExceed reports whether a partition may exceed its allowance by a task: it is to hold more than half of the limit, and no other
// partition may still do so.
func (t *dividedTeam) mayExceed(holders []*holder, h *holder) bool {
	grant, limit := fields(minEach(h.target, h.allowance)), fields(t.limit)
	for i, l := range limit {
		if l != Unlimited && 2*grant[i] <= l {
			return false
		}
	}
	return !slices.ContainsFunc(holders, func(other *holder) bool { return other != h && other.mayExceed })
}

// grant returns the grant that a partition should have, with the total and the right of the newest one.
func (t *dividedTeam) grant(h *holder) Grant {
	return Grant{
		Team: t.name, Allowance: minEach(h.target, h.allowance), Limit: t.limit,
		Total: maxEach(h.sent.Total, t.limit), MayExceed: h.sent.MayExceed,
	}
}

// issue makes the grant the newest one of the partition.
func (d *Division) issue(h *holder, g Grant) {
	d.counter++
	g.Version = d.version
	g.Number = GrantNumber{Epoch: d.fence, Counter: d.counter}
	h.sent = g
	h.mayExceed = h.mayExceed || g.MayExceed
}
