package wigeonquota

import (
	"maps"
	"slices"

	"github.com/wigeonstep/wigeonstep"
)

// maxReported bounds the teams in one report, so that the reports of a shard stay below about 15 KB a second.
const maxReported = 12

// Ledger holds the allowances of the owner of a shard. The zero value works and limits no team. A new owner gets a new one, which
// allows teams with a limit nothing until the first grant.
type Ledger struct {
	allowances map[wigeonstep.TeamName]*Allowance
	// names holds the teams in allowances in order.
	names []wigeonstep.TeamName
	// refused holds the allowances with a refusal in the newest round of placement.
	refused []*Allowance
	// division is the fencing token of the division that has received the reports.
	division wigeonstep.FencingToken
	// next is the index in names at which the next report begins; reports counts the reports.
	next, reports int
}

// SetLimits puts the limits of the teams of a newer configuration in force. An allowance is kept when its team has no limit any
// more, because the division counts it until the owner confirms a lower one.
func (l *Ledger) SetLimits(version wigeonstep.ConfigVersion, teams []wigeonstep.Team) {
	limits := map[wigeonstep.TeamName]Resources{}
	for _, t := range teams {
		if _, twice := limits[t.Name]; twice {
			continue
		}
		limits[t.Name] = limitOf(t.Limit)
		if limits[t.Name] != unlimited && l.allowances[t.Name] == nil {
			l.add(t.Name)
		}
	}
	for _, name := range l.names {
		limit, configured := limits[name]
		if !configured {
			limit = unlimited
		}
		l.allowances[name].setLimit(version, limit)
	}
}

func (l *Ledger) add(name wigeonstep.TeamName) {
	if l.allowances == nil {
		l.allowances = map[wigeonstep.TeamName]*Allowance{}
	}
	l.allowances[name] = &Allowance{team: name, ledger: l}
	l.names = slices.Sorted(maps.Keys(l.allowances))
}

// Allowance returns the allowance of a team; nil if the team has had no limit.
func (l *Ledger) Allowance(name wigeonstep.TeamName) *Allowance { return l.allowances[name] }

// Teams returns the teams with an allowance in order.
func (l *Ledger) Teams() []wigeonstep.TeamName { return l.names }

// BeginRound forgets the refusals of the round of placement before.
func (l *Ledger) BeginRound() {
	for _, a := range l.refused {
		a.refused = Resources{}
	}
	l.refused = l.refused[:0]
}

// Apply takes over the grants that are not outdated. use returns what the runs of a team require.
func (l *Ledger) Apply(grants []Grant, use func(wigeonstep.TeamName) Resources) {
	for _, g := range grants {
		if a := l.allowances[g.Team]; a != nil {
			a.apply(g, use(g.Team))
		}
	}
}

// Demand is what the runs and the ready tasks of a team in a shard require.
type Demand struct {
	Use, Ready Resources
}

// Report returns the uses that the division should know, those first for which the division or a task waits. demand returns
// those of a team. They count as received once Received is called.
func (l *Ledger) Report(demand func(wigeonstep.TeamName) Demand) []Use {
	var urgent, others []Use
	for i := range l.names {
		a := l.allowances[l.names[(l.next+i)%len(l.names)]]
		if !a.Limited() {
			continue
		}
		d := demand(a.team)
		u := a.report(d.Use, d.Ready)
		switch {
		case !a.changed(u):
		case a.urgent(u) && (a.hasReported || u.Wanted != Resources{}):
			urgent = append(urgent, u)
		default:
			others = append(others, u)
		}
	}
	l.reports++
	all := slices.Concat(urgent, others)
	if len(all) == 0 && l.reports%refreshInterval == 0 {
		all = l.refresh(demand)
	}
	if len(all) > maxReported {
		// The teams after the last one that fits come next, so that each gets its turn.
		all = all[:maxReported]
		last, _ := slices.BinarySearch(l.names, all[maxReported-1].Team)
		l.next = last + 1
	}
	return all
}

// refreshInterval is the number of reports after which one without changes repeats the use of one team. A report that the division
// received late may have replaced a newer one there.
const refreshInterval = 8

// refresh returns the use of the next team that has an allowance.
func (l *Ledger) refresh(demand func(wigeonstep.TeamName) Demand) []Use {
	for i := range l.names {
		a := l.allowances[l.names[(l.reports/refreshInterval+i)%len(l.names)]]
		if a.Limited() {
			d := demand(a.team)
			return []Use{a.report(d.Use, d.Ready)}
		}
	}
	return nil
}

// Urgent reports whether the division or a task waits for a report. use returns what the runs of a team require.
func (l *Ledger) Urgent(use func(wigeonstep.TeamName) Resources) bool {
	for _, name := range l.names {
		if a := l.allowances[name]; a.Limited() && a.hasReported && a.urgent(a.report(use(name), Resources{})) {
			return true
		}
	}
	return false
}

// Received records that the division with the fencing token has received the uses of a report. Another division than before
// gets all of them again.
func (l *Ledger) Received(division wigeonstep.FencingToken, uses []Use) {
	if division != l.division {
		l.division = division
		for _, a := range l.allowances {
			a.hasReported = false
		}
	}
	for _, u := range uses {
		if a := l.allowances[u.Team]; a != nil {
			a.reported, a.hasReported = u, true
		}
	}
}
