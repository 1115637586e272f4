package wigeonquota

import (
	"slices"

	"github.com/wigeonstep/wigeonstep"
)

// maxKnownLimits bounds the limits that an allowance remembers. Older ones are merged, which only makes the owner more careful.
const maxKnownLimits = 8

// Allowance is what the owner of a shard knows about the limit of one team.
type Allowance struct {
	team   wigeonstep.TeamName
	ledger *Ledger
	// limits holds the limits that were in force here since the newest grant was computed, the last one being in force now.
	limits []versionedLimit
	// version is the version of the configuration that is in force here, first that of the first one with a limit of the team.
	version, first wigeonstep.ConfigVersion
	grant          Grant
	// cap is what the runs may require. It rises only with a newer grant, and is never above the highest allowance granted.
	cap Resources
	// refused is what the first task refused in the newest round of placement requires; zero if none was.
	refused Resources
	// reported is the newest use that the division has received.
	reported Use
	// hasReported is set if the present division has received a report.
	hasReported bool
}

type versionedLimit struct {
	version wigeonstep.ConfigVersion
	limit   Resources
}

func (a *Allowance) limit() Resources { return a.limits[len(a.limits)-1].limit }

// Limit returns the limit in force, in which a resource without one is Unlimited.
func (a *Allowance) Limit() Resources { return a.limit() }

// Limited reports whether the configuration in force limits the team.
func (a *Allowance) Limited() bool { return a.limit() != unlimited }

// setLimit puts the limit of a newer configuration in force.
func (a *Allowance) setLimit(version wigeonstep.ConfigVersion, limit Resources) {
	a.version = version
	if len(a.limits) == 0 {
		a.first = version
	}
	if len(a.limits) > 0 && a.limit() == limit {
		return
	}
	a.limits = append(a.limits, versionedLimit{version: version, limit: limit})
	if len(a.limits) > maxKnownLimits {
		a.limits[1].limit = maxEach(a.limits[0].limit, a.limits[1].limit)
		a.limits = slices.Delete(a.limits, 0, 1)
	}
}

// apply takes over a grant unless it is outdated. A grant from before the first limit that is known here is not taken over either:
// other shards may have used a limit that was in force in between.
func (a *Allowance) apply(g Grant, use Resources) {
	if !g.Number.after(a.grant.Number) || g.Version < a.first {
		return
	}
	// A raise takes effect at once, a reduction as far as the use allows.
	lowered := minEach(a.cap, maxEach(g.Allowance, use))
	a.cap = maxEach(g.Allowance, lowered)
	a.grant = g
	for len(a.limits) > 1 && a.limits[1].version <= g.Version {
		a.limits = slices.Delete(a.limits, 0, 1)
	}
}

// settle lowers the cap towards the granted allowance.
func (a *Allowance) settle(use Resources) {
	a.cap = minEach(a.cap, maxEach(a.grant.Allowance, use))
}

// excess returns what all partitions together may hold above the limit in force: a higher limit may have been used since the
// grant was computed.
func (a *Allowance) excess() Resources {
	total := a.grant.Total
	for _, l := range a.limits {
		total = maxEach(total, l.limit)
	}
	limit := a.limit()
	if a.version < a.grant.Version {
		// A newer configuration than the one here is in force elsewhere.
		limit = maxEach(limit, a.grant.Limit)
	}
	return less(total, limit)
}

// Allows reports whether a task may be started while the runs of the team in this shard require use.
func (a *Allowance) Allows(use, task Resources) bool {
	caps, uses, tasks := fields(a.Cap(use)), fields(use), fields(task)
	for i := range caps {
		if tasks[i] == 0 || uses[i]+tasks[i] <= caps[i] {
			continue
		}
		if !a.grant.MayExceed || uses[i] >= caps[i] {
			return false
		}
	}
	return true
}

// Fits reports whether a task can be started, when the whole limit is free for it, while runs of its gang require use.
func (a *Allowance) Fits(use Resources) bool {
	limits, uses := fields(a.limit()), fields(use)
	for i, l := range limits {
		if uses[i] > 0 && uses[i] >= l {
			return false
		}
	}
	return true
}

// Refuse records that a task, or a gang, was not started because of the limit.
func (a *Allowance) Refuse(need Resources) {
	if a.refused == (Resources{}) {
		a.refused = need
		a.ledger.refused = append(a.ledger.refused, a)
	}
}

// Refused returns what the first task requires that was refused in the newest round of placement; zero if none was.
func (a *Allowance) Refused() Resources { return a.refused }

// Cap returns what the runs of the team in this shard may require now.
func (a *Allowance) Cap(use Resources) Resources {
	a.settle(use)
	caps, granted := fields(less(a.cap, a.excess())), fields(a.grant.Limit)
	for i, l := range fields(a.limit()) {
		switch {
		case l == Unlimited:
			caps[i] = Unlimited
		case granted[i] == Unlimited:
			// The division doesn't know the limit yet, so the other shards may use anything.
			caps[i] = 0
		}
	}
	return fromFields(caps)
}

// report returns the use of the team as the division should know it.
func (a *Allowance) report(use, ready Resources) Use {
	a.settle(use)
	u := Use{Team: a.team, Use: use, Wanted: use, Cap: a.cap, Grant: a.grant.Number, Next: a.refused}
	if a.refused != (Resources{}) {
		u.Wanted = use.Add(maxEach(ready, a.refused))
	}
	return u
}

// reportStep is the change of an amount, in millionths of the limit, from which it is reported.
const reportStep = whole / 100

// urgent reports whether the division waits for the report, or a task for the answer to it.
func (a *Allowance) urgent(u Use) bool {
	r := &a.reported
	return !a.hasReported || u.Grant != r.Grant || u.Next != Resources{} && r.Next == Resources{}
}

// changed reports whether the report differs enough from the newest one that the division has received.
func (a *Allowance) changed(u Use) bool {
	if a.urgent(u) {
		return true
	}
	r, limit := &a.reported, a.limit()
	differs := func(a, b Resources) bool {
		return a != b && (a == Resources{} || b == Resources{} || shareOf(less(a, b), limit) >= reportStep || shareOf(less(b, a), limit) >= reportStep)
	}
	return differs(u.Use, r.Use) || differs(u.Wanted, r.Wanted) || differs(u.Next, r.Next) || differs(u.Cap, r.Cap) || u.Cap != r.Cap && u.Cap == a.grant.Allowance
}
