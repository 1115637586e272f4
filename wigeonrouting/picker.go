package wigeonrouting

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// Server is one backend server of a pool.
type Server struct {
	VM         wigeonstep.VMID
	DataCentre wigeonstep.DataCentreName
	Rack       wigeonstep.RackName
	// Address is host:port.
	Address string
	Epoch   wigeonstep.Epoch
	// Slots is how many requests the server runs at once, over all entry processes.
	Slots int
	// Connections bounds the requests in flight from this process; zero means no bound besides Slots.
	Connections int
	// InService is false while the VM drains, reboots or has failed.
	InService bool
}

// Config is the configuration of a Picker.
type Config struct {
	// DataCentre is the data centre of this process; it matters only for picks that are local.
	DataCentre wigeonstep.DataCentreName
	// Seed seeds the choice between servers and the jitter of probes, default 0.
	Seed uint64
}

// Want is what a request asks of its server.
type Want struct {
	// Exclude are servers that the request has already tried.
	Exclude []wigeonstep.VMID
	// LocalOnly restricts the choice to the process's own data centre.
	LocalOnly bool
	// NoProbe leaves probes of quarantined servers to other requests for noProbeGrace. Set it for work that must not run twice,
	// since a probe is likely to end as unknown.
	NoProbe bool
}

// Picker selects backend servers of one pool for one process.
//
// The slots of every server are dealt out to the entry processes by the ranges that wigeonadmission.Split gives each of them, so
// processes that do not see each other's requests keep a server full without overrunning it. A server that answers busy all the
// same is used less (multiplicative decrease) until it has answered well for a while (additive increase).
type Picker struct {
	config  Config
	random  *rand.Rand
	servers map[wigeonstep.VMID]*server
	// listed are the servers of the last list in the order in which their slots are dealt out, which is the same in every process.
	listed []*server
	// inService is the number of listed servers that are in service.
	inService int
	sets      [setCount]serverSet
	share     share
	timers    timerHeap
	// now is the latest time that a call passed.
	now time.Time

	// budget bounds the quarantined servers besides the quarter of the pool; zero means that no budget is set.
	budget      int
	quarantined quarantineHeap
	// probes are quarantined servers whose probe is due.
	probes []*server
	// slowness is the decayed mean of the logarithm of latency to expected latency over all servers.
	slowness  float64
	decisions []Decision
}

// New returns a picker without servers.
func New(config Config) *Picker {
	return &Picker{
		config:  config,
		random:  rand.New(rand.NewPCG(config.Seed, 2)),
		servers: map[wigeonstep.VMID]*server{},
	}
}

// SetServers replaces the servers of the pool; of two entries of one VM the first counts. What was learned about a server is kept
// until its epoch rises.
func (p *Picker) SetServers(now time.Time, servers []Server) {
	p.advance(now)
	previous := p.listed
	for _, s := range previous {
		s.listed = false
	}
	p.listed = nil
	for _, entry := range servers {
		s := p.servers[entry.VM]
		switch {
		case s == nil:
			s = newServer(entry)
			p.servers[entry.VM] = s
		case s.listed:
			continue
		case entry.Epoch > s.Epoch:
			p.endQuarantine(s)
			s.forget()
		}
		s.Server, s.listed = entry, true
		p.listed = append(p.listed, s)
	}
	slices.SortFunc(p.listed, compareDealing)
	for _, s := range previous {
		if !s.listed {
			p.update(s)
			p.dropUnlisted(s)
		}
	}
	p.deal()
	p.trimQuarantine(now)
}

// SetShare tells which slots of the pool this process may use, as computed by wigeonadmission.Split, and how many the pool has.
// Without a share, the process uses the whole pool.
func (p *Picker) SetShare(ranges []SlotRange, pool int) {
	if pool != p.share.pool || !slices.Equal(ranges, p.share.ranges) {
		p.share = share{ranges: slices.Clone(ranges), pool: pool}
		p.deal()
	}
}

// SetBudget bounds the servers in quarantine by the pool's disruption budget, besides the quarter of the pool that always bounds
// them. Zero means no budget.
func (p *Picker) SetBudget(maxUnavailable int) {
	p.budget = max(maxUnavailable, 0)
	p.trimQuarantine(p.now)
}

// Pick selects a server and counts a request in flight on it; ok is false when no server may take the request now. Room may then
// come with the next Done or SetServers, or with time alone, within a second.
// Every successful Pick is followed by one Done or one Unused.
func (p *Picker) Pick(now time.Time, want Want) (Server, bool) {
	p.advance(now)
	if s := p.takeProbe(now, want); s != nil {
		s.inFlight++
		p.update(s)
		return s.Server, true
	}
	own, shared := setOwn, setShared
	if want.LocalOnly {
		own, shared = setOwnLocal, setSharedLocal
	}
	s := p.choose(p.sets[own].servers, want.Exclude)
	if s == nil && !p.ownServers(want) {
		s = p.choose(p.sets[shared].servers, want.Exclude)
	}
	if s == nil {
		return Server{}, false
	}
	s.inFlight++
	p.update(s)
	return s.Server, true
}

// ownServers reports whether one of the servers on which the process has slots of its own may take the request, now or when it
// has room. Only without any does a request go to slots of other processes: otherwise one process whose slot is taken would take
// that of the next, and so on through the whole pool.
func (p *Picker) ownServers(want Want) bool {
	set := setServing
	if want.LocalOnly {
		set = setServingLocal
	}
	n := len(p.sets[set].servers)
	for i, vm := range want.Exclude {
		if s := p.servers[vm]; s != nil && s.index[set] >= 0 && !slices.Contains(want.Exclude[:i], vm) {
			n--
		}
	}
	return n > 0
}

// choose returns the better of two servers drawn at random, so that the cost does not depend on the number of servers.
func (p *Picker) choose(servers []*server, exclude []wigeonstep.VMID) *server {
	if len(servers) == 0 {
		return nil
	}
	a, b := p.draw(servers, exclude), p.draw(servers, exclude)
	if a == nil || b.score(p.slowness) < a.score(p.slowness) {
		return b
	}
	return a
}

// draws bounds the random draws before all servers are looked through. Few servers are excluded, so only a small set needs that.
const draws = 8

func (p *Picker) draw(servers []*server, exclude []wigeonstep.VMID) *server {
	for range draws {
		if s := servers[p.random.IntN(len(servers))]; !slices.Contains(exclude, s.VM) {
			return s
		}
	}
	for _, s := range servers {
		if !slices.Contains(exclude, s.VM) {
			return s
		}
	}
	return nil
}

// Done ends a picked request. latency is that of the attempt; expected is the learned run time of its class, so that servers are
// compared whatever they run. A zero latency or expectation teaches nothing about speed.
func (p *Picker) Done(now time.Time, vm wigeonstep.VMID, result wigeonstep.BackendResult, latency, expected time.Duration) {
	p.advance(now)
	s := p.servers[vm]
	if s == nil {
		return
	}
	s.inFlight = max(s.inFlight-1, 0)
	switch {
	case result.Verdict == wigeonstep.BackendBusy:
		p.busy(now, s, expected)
	case result.Verdict == wigeonstep.BackendLeaving:
		// Says nothing about the health of the server.
	case failed(result):
		p.fail(now, s, latency, expected)
	default:
		p.succeed(now, s, latency, expected)
	}
	if result.Leaving || result.Verdict == wigeonstep.BackendLeaving {
		p.markLeaving(now, s)
	}
	p.update(s)
	p.dropUnlisted(s)
}

// Unused ends a pick whose server got no request. It teaches nothing, and a probe stays due.
func (p *Picker) Unused(now time.Time, vm wigeonstep.VMID) {
	p.advance(now)
	s := p.servers[vm]
	if s == nil {
		return
	}
	s.inFlight = max(s.inFlight-1, 0)
	if s.quarantine.probing {
		s.quarantine.probing = false
		p.probes = append(p.probes, s)
	}
	p.update(s)
	p.dropUnlisted(s)
}

// failed reports whether the result speaks against the server.
func failed(result wigeonstep.BackendResult) bool {
	switch result.Verdict {
	case wigeonstep.BackendWhole:
		return result.Status >= 500
	default:
		return true
	}
}

// InFlight returns the requests that this process has in flight on the VM, also after the VM has left the list.
func (p *Picker) InFlight(vm wigeonstep.VMID) int {
	if s := p.servers[vm]; s != nil {
		return s.inFlight
	}
	return 0
}

// MarkLeaving takes the server out of selection at once, until its epoch rises or it has been silent about leaving for leavingSpan.
func (p *Picker) MarkLeaving(now time.Time, vm wigeonstep.VMID) {
	if s := p.servers[vm]; s != nil {
		p.markLeaving(now, s)
		p.update(s)
	}
}

// leavingSpan is how long a server that announced itself as leaving is believed. A drain shows in the server list well before;
// a server that restarted by itself keeps its epoch and would otherwise never be used again.
const leavingSpan = 10 * time.Minute

func (p *Picker) markLeaving(now time.Time, s *server) {
	if !s.leaving {
		p.decide(now, s, "leave", "the server takes no new work", "leaving", "")
	}
	s.leaving = true
	s.leavingUntil = now.Add(leavingSpan)
	p.after(s, s.leavingUntil, timerLeaving)
}

// dropUnlisted forgets a server that has left the list and has nothing in flight.
func (p *Picker) dropUnlisted(s *server) {
	if !s.listed && s.inFlight == 0 {
		p.endQuarantine(s)
		delete(p.servers, s.VM)
	}
}
