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
	// Address is the host:port of the server.
	Address string
	Epoch   wigeonstep.VMEpoch
	// Slots is the number of requests that the server runs at once, from all entry processes together.
	Slots int
	// Connections bounds the requests in flight from this process; 0 means that only Slots bounds them.
	Connections int
	// InService is false while the VM drains, reboots or has failed.
	InService bool
}

// Config is the configuration of a Picker.
type Config struct {
	// DataCentre is the data centre of this process. It is used only for picks with LocalOnly.
	DataCentre wigeonstep.DataCentreName
	// Seed is the seed of the random choice of servers and of the jitter of delays.
	Seed uint64
}

// PickOptions holds the constraints of a request on the choice of its server.
type PickOptions struct {
	// Exclude holds the servers that must not be picked, usually those that the request has already tried.
	Exclude []wigeonstep.VMID
	// LocalOnly restricts the choice to the data centre of the process.
	LocalOnly bool
	// NoProbe prevents the request from being a probe of a quarantined server until the probe is overdue by noProbeGrace.
	// It is meant for work that must not run twice, since the outcome of a probe is likely to be unknown.
	NoProbe bool
}

// Picker selects the backend servers of one pool for the requests of one process.
//
// The slots of all servers are divided among the entry processes by the slot ranges that wigeonadmission.Split assigns to each.
// Processes that do not see each other's requests can thus fill a server without overloading it. If a server answers busy
// nevertheless, its concurrency limit is halved (multiplicative decrease) and grows again with successful answers (additive
// increase).
type Picker struct {
	config  Config
	random  *rand.Rand
	servers map[wigeonstep.VMID]*server
	// listed holds the servers of the last SetServers call, sorted by compareDealOrder, which gives the same order in every
	// process.
	listed []*server
	// inService is the number of listed servers that are in service.
	inService int
	sets      [setCount]serverSet
	share     share
	timers    timerHeap
	// now is the latest time passed by a caller.
	now time.Time

	// budget bounds the number of quarantined servers, in addition to a quarter of the pool; 0 means that no budget is set.
	budget      int
	quarantined quarantineHeap
	// probes holds the quarantined servers whose probe is due. Entries may be outdated; takeProbe skips those.
	probes []*server
	// slowness is the decayed mean, over the successes on all servers, of the logarithm of latency divided by expected run time.
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

// SetServers replaces the servers of the pool. If a VM occurs twice, the first entry counts. Limits, failure rates, latencies and
// quarantine of a server are kept until its epoch increases.
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
			s.reset()
		}
		s.Server, s.listed = entry, true
		p.listed = append(p.listed, s)
	}
	slices.SortFunc(p.listed, compareDealOrder)
	for _, s := range previous {
		if !s.listed {
			p.updateSets(s)
			p.dropUnlisted(s)
		}
	}
	p.dealSlots()
	p.trimQuarantine(now)
}

// SetShare sets the slots of the pool that belong to this process, as computed by wigeonadmission.Split, and the number of slots
// of the pool. Without a share, all slots of the pool belong to the process.
func (p *Picker) SetShare(ranges []SlotRange, pool int) {
	if pool != p.share.pool || !slices.Equal(ranges, p.share.ranges) {
		p.share = share{ranges: slices.Clone(ranges), pool: pool}
		p.dealSlots()
	}
}

// SetBudget sets the disruption budget of the pool, which bounds the number of quarantined servers; 0 means no budget. With or
// without one, at most a quarter of the servers in service are quarantined.
func (p *Picker) SetBudget(maxUnavailable int) {
	p.budget = max(maxUnavailable, 0)
	p.trimQuarantine(p.now)
}

// Pick selects a server and counts a request in flight on it. It returns false if no server has a free slot for the request. A
// slot may become free with the next Done or SetServers, or by itself within a second, when a pause or the block of a slot ends.
// The caller calls Done or Release once for every successful Pick.
func (p *Picker) Pick(now time.Time, options PickOptions) (Server, bool) {
	p.advance(now)
	if s := p.takeProbe(now, options); s != nil {
		s.inFlight++
		p.updateSets(s)
		return s.Server, true
	}
	own, shared := setOwn, setShared
	if options.LocalOnly {
		own, shared = setOwnLocal, setSharedLocal
	}
	s := p.chooseServer(p.sets[own].servers, options.Exclude)
	if s == nil && !p.hasOwnServer(options) {
		s = p.chooseServer(p.sets[shared].servers, options.Exclude)
	}
	if s == nil {
		return Server{}, false
	}
	s.inFlight++
	p.updateSets(s)
	return s.Server, true
}

// hasOwnServer reports whether there is a server that the request may use and on which the process has slots of its own, even if
// none of these slots is free now. Only if there is no such server does a request use slots of other processes. Otherwise a
// process without a free slot would take one of a second process, which would then take one of a third, and so on through the
// whole pool.
func (p *Picker) hasOwnServer(options PickOptions) bool {
	set := setServing
	if options.LocalOnly {
		set = setServingLocal
	}
	n := len(p.sets[set].servers)
	for i, vm := range options.Exclude {
		if s := p.servers[vm]; s != nil && s.index[set] >= 0 && !slices.Contains(options.Exclude[:i], vm) {
			n--
		}
	}
	return n > 0
}

// chooseServer returns the better of two servers drawn at random (power of two choices), so that its cost does not depend on the
// number of servers.
func (p *Picker) chooseServer(servers []*server, exclude []wigeonstep.VMID) *server {
	if len(servers) == 0 {
		return nil
	}
	a, b := p.drawServer(servers, exclude), p.drawServer(servers, exclude)
	if a == nil || b.score(p.slowness) < a.score(p.slowness) {
		return b
	}
	return a
}

// maxDraws bounds the random draws before drawServer searches the set in order. Exclude lists are short, so all draws can hit
// excluded servers only if the set is about as small as the list; the choice then need not be random.
const maxDraws = 8

// drawServer returns a random server that is not excluded, or nil if all are.
func (p *Picker) drawServer(servers []*server, exclude []wigeonstep.VMID) *server {
	for range maxDraws {
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

// Done ends a picked request and records its result. latency is the duration of the attempt. expected is the mean run time of the
// request's class, or its declared run time before the first run has ended. A success records latency relative to expected, which
// makes classes comparable, unless either is 0. After a busy or failed result, a slot of the server stays blocked for a time that
// follows from expected, at most a second.
func (p *Picker) Done(now time.Time, vm wigeonstep.VMID, result wigeonstep.BackendResult, latency, expected time.Duration) {
	p.advance(now)
	s := p.servers[vm]
	if s == nil {
		return
	}
	s.inFlight = max(s.inFlight-1, 0)
	switch {
	case result.Verdict == wigeonstep.BackendBusy:
		p.recordBusy(now, s, expected)
	case result.Verdict == wigeonstep.BackendLeaving:
		// Leaving says nothing about the health of the server, so no result is recorded. It is marked as leaving below.
	case failed(result):
		p.recordFailure(now, s, latency, expected)
	default:
		p.recordSuccess(now, s, latency, expected)
	}
	if result.Leaving || result.Verdict == wigeonstep.BackendLeaving {
		p.markLeaving(now, s)
	}
	p.updateSets(s)
	p.dropUnlisted(s)
}

// Release ends a pick whose request was not sent. It records no result, and a probe stays due.
func (p *Picker) Release(now time.Time, vm wigeonstep.VMID) {
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
	p.updateSets(s)
	p.dropUnlisted(s)
}

// failed reports whether the result counts as a failure of the server.
func failed(result wigeonstep.BackendResult) bool {
	switch result.Verdict {
	case wigeonstep.BackendAnswered:
		return result.Status >= 500
	default:
		return true
	}
}

// InFlight returns the number of requests that this process has in flight on the VM, also if the VM is no longer listed.
func (p *Picker) InFlight(vm wigeonstep.VMID) int {
	if s := p.servers[vm]; s != nil {
		return s.inFlight
	}
	return 0
}

// MarkLeaving excludes the server from selection until its epoch increases or leavingTimeout has passed since the last
// announcement that it is leaving.
func (p *Picker) MarkLeaving(now time.Time, vm wigeonstep.VMID) {
	if s := p.servers[vm]; s != nil {
		p.markLeaving(now, s)
		p.updateSets(s)
	}
}

// leavingTimeout is the time after which an announcement of leaving is ignored. A server that restarts by itself keeps its epoch
// and would otherwise never be used again. A drain shows in the server list long before the timeout.
const leavingTimeout = 10 * time.Minute

func (p *Picker) markLeaving(now time.Time, s *server) {
	if !s.leaving {
		p.recordDecision(now, s, "leave", "the server takes no new work", "leaving", "")
	}
	s.leaving = true
	s.leavingUntil = now.Add(leavingTimeout)
	p.startTimer(s, s.leavingUntil, timerLeaving)
}

// dropUnlisted removes a server that is no longer listed and has no requests in flight.
func (p *Picker) dropUnlisted(s *server) {
	if !s.listed && s.inFlight == 0 {
		p.endQuarantine(s)
		delete(p.servers, s.VM)
	}
}
