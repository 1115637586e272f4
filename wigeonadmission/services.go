package wigeonadmission

import (
	"cmp"
	"slices"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
)

// maxShareValue bounds the weight and the slot limit of a team, each summed over its documents, so that products of
// weights or limits and slots do not overflow an int.
const maxShareValue = 1 << 20

// SetServices replaces the documents of the pool; documents of other pools are ignored. Queued and running tickets stay
// queued and running, and the run time estimate of a class is kept as long as its kind stays the same.
//
// A team with several documents in the pool gets the sum of their weights, guarantees and limits. It has no limit if
// one of the documents has none. Values out of range are clamped, and a guarantee above the limit is lowered to the
// limit. The caller must call Dispatch afterwards.
func (p *Pool) SetServices(documents []*wigeondocument.Document) {
	poolDocuments := slices.DeleteFunc(slices.Clone(documents), func(d *wigeondocument.Document) bool {
		return d == nil || d.Pool != p.config.Name
	})
	slices.SortStableFunc(poolDocuments, func(a, b *wigeondocument.Document) int { return cmp.Compare(a.Service, b.Service) })

	for _, t := range p.teamList {
		for _, c := range t.classes {
			c.retired = true
		}
		t.guarantee, t.limit, t.unlimited = 0, 0, true
		if slices.ContainsFunc(poolDocuments, func(d *wigeondocument.Document) bool { return d.Team == t.name }) {
			p.setWeight(t, 0)
			t.unlimited = false
		}
	}
	p.classes = map[classKey]*class{}
	for _, d := range poolDocuments {
		t := p.ensureTeam(d.Team)
		p.setWeight(t, min(t.weight+max(d.Share.Weight, 0), maxShareValue))
		t.guarantee += max(d.Share.GuaranteedSlots, 0)
		t.limit += max(d.Share.MaxSlots, 0)
		t.unlimited = t.unlimited || d.Share.MaxSlots <= 0
		for _, spec := range d.Classes {
			p.setClass(t, spec)
		}
	}
	for _, t := range p.teamList {
		p.setWeight(t, max(t.weight, 1))
	}
	p.removeRetired()
	p.applyGrant()
}

// ensureTeam returns the team of the given name, which it adds to the pool if necessary.
func (p *Pool) ensureTeam(name wigeonstep.TeamName) *team {
	if t := p.teams[name]; t != nil {
		return t
	}
	t := &team{name: name, virtualTime: p.virtualTime}
	// The team is not in any ranking yet.
	for i := range t.rankIndex {
		t.rankIndex[i] = -1
	}
	p.teams[name] = t
	p.teamList = append(p.teamList, t)
	return t
}

// setWeight sets the weight of a team and updates activeWeight.
func (p *Pool) setWeight(t *team, weight int) {
	if t.inActiveWeight {
		p.activeWeight += weight - t.weight
	}
	t.weight = weight
}

// setClass applies a class of a document to the team. If the team already has a class of that name and kind, which may
// be retired, the class is updated and keeps its queue and run time estimate; otherwise a new one is added. If several
// classes of a team have the same name, the first one by service name applies and the others are ignored.
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
	if c.runEstimate.samples == 0 {
		// The declared run time counts only until the first sample. A class without a positive one counts with 1 ms:
		// with zero, its starts would not advance the team's virtual time.
		c.runEstimate.meanSeconds = max(spec.ExpectedRun().Seconds(), 1e-3)
	}
	p.classes[key] = c
}

// removeRetired removes classes that no document has and that have no tickets, and teams left without classes and
// slots.
func (p *Pool) removeRetired() {
	p.teamList = slices.DeleteFunc(p.teamList, func(t *team) bool {
		t.classes = slices.DeleteFunc(t.classes, func(c *class) bool {
			return c.retired && c.queue.Len() == 0 && c.running == 0
		})
		if len(t.classes) > 0 || t.held > 0 {
			return false
		}
		p.setWeight(t, 0)
		t.inActiveWeight = false
		delete(p.teams, t.name)
		return true
	})
}

// applyGrant recomputes the limits and guarantees in this process, and the rankings, from the grant and the documents.
func (p *Pool) applyGrant() {
	// Each process, too, keeps at least one slot for short work. A process with a single slot may give it to long work,
	// which could otherwise never run there; the next split then adds a slot for short work.
	p.longLimit = min(p.grant.LongSlots, max(p.grant.Slots-1, 1))
	p.unusedGuarantee = 0
	for _, t := range p.teamList {
		t.localLimit = max(p.grant.Slots, 1)
		if !t.unlimited {
			// The limit is at least one: a key or job that this process owns could otherwise never run.
			t.localLimit = max(p.grant.portion(min(t.limit, maxShareValue)), 1)
		}
		t.localGuarantee = min(p.grant.portion(min(t.guarantee, p.grant.PoolSlots)), t.localLimit)
		p.unusedGuarantee += t.unusedGuarantee()
	}
	// The sort keys of several teams have changed at once, so the heaps are rebuilt.
	for i := range p.teamRankings {
		for _, t := range p.teamRankings[i].teams {
			t.rankIndex[i] = -1
		}
		p.teamRankings[i].teams = p.teamRankings[i].teams[:0]
	}
	for _, t := range p.teamList {
		p.updateRankings(t)
	}
}
