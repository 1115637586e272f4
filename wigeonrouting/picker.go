package wigeonrouting

import (
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// Server is one backend server of a pool.
type Server struct {
	VM          wigeonstep.VMID
	DataCentre  wigeonstep.DataCentreName
	Rack        wigeonstep.RackName
	Address     string
	Epoch       wigeonstep.Epoch
	Slots       int
	Connections int
	// InService is false while the VM drains, reboots or has failed.
	InService bool
}

// Config is the configuration of a Picker.
type Config struct {
	// DataCentre is the data centre of this process.
	DataCentre wigeonstep.DataCentreName
	// Seed seeds the choice between servers and the jitter of probes.
	Seed uint64
}

// Want is what a request asks of its server.
type Want struct {
	// Exclude are servers that the request has already tried.
	Exclude []wigeonstep.VMID
	// LocalOnly restricts the choice to the process's own data centre.
	LocalOnly bool
	// NoProbe keeps the request away from quarantined servers while another request may probe them; for work that must not run twice.
	NoProbe bool
}

// Quarantine is the state of one quarantined server.
type Quarantine struct {
	VM wigeonstep.VMID
	// Cause is one sentence with the figures behind the quarantine.
	Cause string
	Since time.Time
	// NextProbe is when one request may try the server again.
	NextProbe time.Time
}

// Picker selects backend servers of one pool for one process.
type Picker struct {
	config   Config
	servers  []Server
	inFlight map[wigeonstep.VMID]int
	leaving  map[wigeonstep.VMID]bool
}

// New returns a picker without servers.
func New(config Config) *Picker {
	return &Picker{config: config, inFlight: map[wigeonstep.VMID]int{}, leaving: map[wigeonstep.VMID]bool{}}
}

// SetServers replaces the servers of the pool. What was learned about a server is kept while its epoch stays.
func (p *Picker) SetServers(now time.Time, servers []Server) { p.servers = slices.Clone(servers) }

// SetShare tells which slots of the pool this process may use, as computed by wigeonadmission.Split:
// slots first to first+slots-1 of pool. Without a share, the process uses the whole pool.
func (p *Picker) SetShare(first, slots, pool int) {}

// SetBudget bounds the servers in quarantine by the pool's disruption budget, besides the quarter of the pool that always bounds them.
func (p *Picker) SetBudget(maxUnavailable int) {}

// Pick selects a server and counts a request in flight on it; ok is false when no server may take the request now.
// Every successful Pick is followed by one Done.
func (p *Picker) Pick(now time.Time, want Want) (Server, bool) {
	best := -1
	for i, s := range p.servers {
		if !s.InService || p.leaving[s.VM] || slices.Contains(want.Exclude, s.VM) || p.inFlight[s.VM] >= s.Slots ||
			want.LocalOnly && s.DataCentre != p.config.DataCentre {
			continue
		}
		if best < 0 || p.inFlight[s.VM] < p.inFlight[p.servers[best].VM] {
			best = i
		}
	}
	if best < 0 {
		return Server{}, false
	}
	p.inFlight[p.servers[best].VM]++
	return p.servers[best], true
}

// Done ends a picked request. latency is that of the attempt; expected is the learned run time of its class, so that servers are
// compared whatever they run. A zero latency or expectation teaches nothing about speed.
func (p *Picker) Done(now time.Time, vm wigeonstep.VMID, result wigeonstep.BackendResult, latency, expected time.Duration) {
	p.inFlight[vm]--
	if result.Leaving || result.Verdict == wigeonstep.BackendLeaving {
		p.MarkLeaving(now, vm)
	}
}

// InFlight returns the requests that this process has in flight on the VM, also after the VM has left the list.
func (p *Picker) InFlight(vm wigeonstep.VMID) int { return p.inFlight[vm] }

// MarkLeaving takes the server out of selection at once.
func (p *Picker) MarkLeaving(now time.Time, vm wigeonstep.VMID) { p.leaving[vm] = true }

// Quarantined returns the quarantined servers, in the order of their ids.
func (p *Picker) Quarantined() []Quarantine { return nil }
