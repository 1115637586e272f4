package wigeonrouting

// SlotRange is a range of the numbers of a pool's slots.
type SlotRange struct {
	First, Count int
}

// share is the part of the pool's slots that belongs to this process. The zero value is the whole pool.
type share struct {
	ranges []SlotRange
	pool   int
}

// deal computes the slots of each server that belong to this process. The slots are numbered layer by layer: the first slot of
// every server, then the second of every server that has one, and so on, so that a range covers as many servers as possible.
// Every process numbers them alike, so ranges that do not overlap use different slots.
func (p *Picker) deal() {
	total, deepest := 0, 0
	p.inService = 0
	for _, s := range p.listed {
		s.own = 0
		if s.InService {
			p.inService++
			total += s.Slots
			deepest = max(deepest, s.Slots)
		}
	}
	mine, granted := p.numbers(total)
	number := 0
	for layer := range deepest {
		for _, s := range p.listed {
			if !s.InService || layer >= s.Slots {
				continue
			}
			if mine[number] {
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
		p.update(s)
	}
}

// numbers returns for each of total slots whether it belongs to this process, and how many do.
func (p *Picker) numbers(total int) (mine []bool, granted int) {
	mine = make([]bool, total)
	ranges, pool := p.share.ranges, p.share.pool
	if pool <= 0 {
		ranges, pool = []SlotRange{{Count: total}}, total
	}
	for _, r := range ranges {
		// The grant may have been computed from a list that differs by a few servers.
		first := min(max(r.First, 0), pool) * total / max(pool, 1)
		last := min(max(r.First+r.Count, 0), pool) * total / max(pool, 1)
		for number := first; number < last; number++ {
			mine[number] = true
		}
		granted += max(last-first, 0)
	}
	return mine, granted
}

// Sets of the servers that have room, from which Pick draws.
const (
	// setOwn has room in the slots dealt to this process; setShared has room in the process's part of the server's slots.
	setOwn = iota
	setOwnLocal
	setShared
	setSharedLocal
	// setServing has slots of this process, with or without room now.
	setServing
	setServingLocal
	setCount
)

// serverSet is a set from which a random member is drawn in constant time.
type serverSet struct {
	servers []*server
}

// put adds or removes the server.
func (t *serverSet) put(s *server, set int, member bool) {
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

// update puts the server into the sets that its state allows.
func (p *Picker) update(s *server) {
	local := s.DataCentre == p.config.DataCentre
	own := s.usable() && s.room(s.own)
	shared := s.usable() && s.room(s.share)
	serving := s.own > 0 && s.serving()
	p.sets[setServing].put(s, setServing, serving)
	p.sets[setServingLocal].put(s, setServingLocal, serving && local)
	p.sets[setOwn].put(s, setOwn, own)
	p.sets[setOwnLocal].put(s, setOwnLocal, own && local)
	p.sets[setShared].put(s, setShared, shared)
	p.sets[setSharedLocal].put(s, setSharedLocal, shared && local)
}
