package wigeonrouting

// SlotRange is a range of slot numbers of a pool.
type SlotRange struct {
	First, Count int
}

// share holds the slots of the pool that belong to this process. The zero value is the whole pool.
type share struct {
	ranges []SlotRange
	// pool is the number of slots of the pool; 0 if no share is set.
	pool int
}

// dealSlots computes the number of slots on each server that belong to this process. The slots are numbered in layers: the first
// slot of every server, then the second slot of every server that has one, and so on, so that a range covers as many servers as
// possible. All processes number the slots in the same way, so ranges that do not overlap use different slots.
func (p *Picker) dealSlots() {
	total, maxSlots := 0, 0
	p.inService = 0
	for _, s := range p.listed {
		s.own = 0
		if s.InService {
			p.inService++
			total += s.Slots
			maxSlots = max(maxSlots, s.Slots)
		}
	}
	owned, granted := p.ownedSlots(total)
	number := 0
	for layer := range maxSlots {
		for _, s := range p.listed {
			if !s.InService || layer >= s.Slots {
				continue
			}
			if owned[number] {
				s.own++
			}
			number++
		}
	}
	for _, s := range p.listed {
		s.share = s.Slots
		if p.share.pool > 0 {
			s.share = min((s.Slots*granted+total-1)/max(total, 1), s.Slots)
		}
		p.updateSets(s)
	}
}

// ownedSlots returns, for each of the total slots, whether it belongs to this process, and the number of slots that do.
func (p *Picker) ownedSlots(total int) (owned []bool, granted int) {
	owned = make([]bool, total)
	ranges, pool := p.share.ranges, p.share.pool
	if pool <= 0 {
		ranges, pool = []SlotRange{{Count: total}}, total
	}
	for _, r := range ranges {
		// The ranges may have been computed from a list that differs by a few servers, so they are scaled to total.
		first := min(max(r.First, 0), pool) * total / max(pool, 1)
		last := min(max(r.First+r.Count, 0), pool) * total / max(pool, 1)
		for number := first; number < last; number++ {
			owned[number] = true
		}
		granted += max(last-first, 0)
	}
	return owned, granted
}

// Indices of the sets of servers from which Pick chooses. The local sets hold the servers in the data centre of the process.
const (
	// setOwn holds the usable servers with a free slot within server.own, setShared those with one within server.share.
	setOwn = iota
	setOwnLocal
	setShared
	setSharedLocal
	// setServing holds the serving servers with slots of this process, free or not.
	setServing
	setServingLocal
	setCount
)

// serverSet is a set of servers from which a random one can be chosen in constant time.
type serverSet struct {
	servers []*server
}

// setMember adds the server to the set or removes it from it. set is the index of the set.
func (t *serverSet) setMember(s *server, set int, member bool) {
	i := s.index[set]
	switch {
	case member && i < 0:
		s.index[set] = len(t.servers)
		t.servers = append(t.servers, s)
	case !member && i >= 0:
		last := t.servers[len(t.servers)-1]
		t.servers[i] = last
		last.index[set] = i
		t.servers[len(t.servers)-1] = nil
		t.servers = t.servers[:len(t.servers)-1]
		s.index[set] = -1
	}
}

// updateSets adds the server to the sets in which its state puts it and removes it from the others.
func (p *Picker) updateSets(s *server) {
	local := s.DataCentre == p.config.DataCentre
	own := s.usable() && s.hasRoom(s.own)
	shared := s.usable() && s.hasRoom(s.share)
	serving := s.own > 0 && s.serving()
	p.sets[setServing].setMember(s, setServing, serving)
	p.sets[setServingLocal].setMember(s, setServingLocal, serving && local)
	p.sets[setOwn].setMember(s, setOwn, own)
	p.sets[setOwnLocal].setMember(s, setOwnLocal, own && local)
	p.sets[setShared].setMember(s, setShared, shared)
	p.sets[setSharedLocal].setMember(s, setSharedLocal, shared && local)
}
