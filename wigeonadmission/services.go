package wigeonadmission

import (
	"cmp"
	"slices"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
)

// maxWeight bounds the sum of the weights of a team's documents, so that products of weights and slots stay within an int.
const maxWeight = 1 << 20

// SetServices replaces the documents of the pool. Documents of other pools are ignored. Queued and running tickets keep their
// places; what was learned about a class is kept while its kind stays.
//
// A team with several documents in the pool has the sum of their weights, guarantees and limits, and no limit if one of them has
// none. Values out of range count as the nearest one in range, and a limit below the guarantee lowers the guarantee.
// Call Dispatch afterwards.
func (p *Pool) SetServices(documents []*wigeondocument.Document) {
	mine := slices.DeleteFunc(slices.Clone(documents), func(d *wigeondocument.Document) bool {
		return d == nil || d.Pool != p.config.Name
	})
	slices.SortStableFunc(mine, func(a, b *wigeondocument.Document) int { return cmp.Compare(a.Service, b.Service) })

	for _, t := range p.order {
		for _, c := range t.classes {
			c.retired = true
		}
		t.guarantee, t.limit, t.unlimited = 0, 0, true
		if slices.ContainsFunc(mine, func(d *wigeondocument.Document) bool { return d.Team == t.name }) {
			p.setWeight(t, 0)
			t.unlimited = false
		}
	}
	p.classes = map[classKey]*class{}
	for _, d := range mine {
		t := p.team(d.Team)
		p.setWeight(t, min(t.weight+max(d.Share.Weight, 0), maxWeight))
		t.guarantee += max(d.Share.GuaranteedSlots, 0)
		t.limit += max(d.Share.MaxSlots, 0)
		t.unlimited = t.unlimited || d.Share.MaxSlots <= 0
		for _, spec := range d.Classes {
			p.setClass(t, spec)
		}
	}
	for _, t := range p.order {
		p.setWeight(t, max(t.weight, 1))
	}
	p.dropRetired()
	p.applyGrant()
}

// team returns the team of the name, a new one when the pool has none.
func (p *Pool) team(name wigeonstep.TeamName) *team {
	if t := p.teams[name]; t != nil {
		return t
	}
	t := &team{name: name, virtual: p.virtual}
	for i := range t.index {
		t.index[i] = -1
	}
	p.teams[name] = t
	p.order = append(p.order, t)
	return t
}

// setWeight changes the weight of a team and the sum of the weights of the active teams with it.
func (p *Pool) setWeight(t *team, weight int) {
	if t.counted {
		p.activeWeight += weight - t.weight
	}
	t.weight = weight
}

// setClass adds a class of a document, or updates the one of the same name and kind. Of two classes of one name the first counts.
func (p *Pool) setClass(t *team, spec wigeondocument.Class) {
	key := classKey{t.name, spec.Name}
	if p.classes[key] != nil {
		return
	}
	i := slices.IndexFunc(t.classes, func(c *class) bool {
		return c.spec.Name == spec.Name && c.long() == (spec.Kind == wigeondocument.KindLong)
	})
	var c *class
	if i >= 0 {
		c = t.classes[i]
	} else {
		c = &class{team: t}
		t.classes = append(t.classes, c)
	}
	c.retired = false
	c.spec = spec
	if c.run.seen == 0 {
		c.run.mean = max(spec.ExpectedRun().Seconds(), 1e-3)
	}
	p.classes[key] = c
}

// dropRetired forgets classes and teams that the documents no longer have and that have no tickets.
func (p *Pool) dropRetired() {
	p.order = slices.DeleteFunc(p.order, func(t *team) bool {
		t.classes = slices.DeleteFunc(t.classes, func(c *class) bool {
			return c.retired && c.queue.Len() == 0 && c.running == 0
		})
		if len(t.classes) > 0 || t.held > 0 {
			return false
		}
		p.setWeight(t, 0)
		t.counted = false
		delete(p.teams, t.name)
		return true
	})
}

// applyGrant recomputes what depends on the process's part of the pool.
func (p *Pool) applyGrant() {
	// At least one slot is left to short work in each process, too. A process with a single slot may give it to long work, which
	// would never run otherwise; the next split then adds one for short work.
	p.longLimit = min(p.grant.Long, max(p.grant.Slots-1, 1))
	p.unfilled = 0
	for _, t := range p.order {
		t.localLimit = max(p.grant.Slots, 1)
		if !t.unlimited {
			// At least one, because a key or job that belongs to this process could otherwise never run.
			t.localLimit = max(p.grant.portion(min(t.limit, maxWeight)), 1)
		}
		t.localGuarantee = min(p.grant.portion(min(t.guarantee, p.grant.Pool)), t.localLimit)
		p.unfilled += t.unfilled()
	}
	// The keys of several teams have changed at once, so the rankings are built anew.
	for i := range p.ranks {
		for _, t := range p.ranks[i].teams {
			t.index[i] = -1
		}
		p.ranks[i].teams = p.ranks[i].teams[:0]
	}
	for _, t := range p.order {
		p.rank(t)
	}
}
