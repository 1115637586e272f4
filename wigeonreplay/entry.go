package wigeonreplay

import (
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonadmission"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
	"github.com/wigeonstep/wigeonstep/wigeonretry"
	"github.com/wigeonstep/wigeonstep/wigeonrouting"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// entry is one entry decision core: what an entry process decides, without its I/O.
type entry struct {
	*process
	seed   uint64
	random *rand.Rand
	// pools are sorted by name.
	pools []*entryPool
	// jobs are those that the process queues or runs.
	jobs map[wigeonstep.JobID]*work
	// keys are those that the process has admitted, so that a second request of one joins the first.
	keys map[wigeonstep.Key]bool
}

// entryPool is what an entry core holds of one pool.
type entryPool struct {
	name      wigeonstep.PoolName
	admit     *wigeonadmission.Pool
	route     *wigeonrouting.Picker
	budgets   map[wigeonstep.TeamName]*wigeonretry.Budget
	members   []*wigeonstate.VM
	documents []*wigeondocument.Document
	localOnly bool
	slots     int
	// heard holds the last report of each session.
	heard map[wigeonstep.SessionID]wigeonadmission.Demand
}

// reset forgets what the process held in memory.
func (e *entry) reset() {
	e.random = rand.New(rand.NewPCG(e.seed, uint64(e.life)))
	e.pools = nil
	e.jobs = map[wigeonstep.JobID]*work{}
	e.keys = map[wigeonstep.Key]bool{}
}

func (e *entry) pool(name wigeonstep.PoolName) *entryPool {
	i, found := slices.BinarySearchFunc(e.pools, name, func(p *entryPool, name wigeonstep.PoolName) int {
		switch {
		case p.name < name:
			return -1
		case p.name > name:
			return 1
		}
		return 0
	})
	if !found {
		seed := e.seed + uint64(e.life)<<32
		e.pools = slices.Insert(e.pools, i, &entryPool{
			name: name, admit: wigeonadmission.New(wigeonadmission.Config{Name: name, Seed: seed}),
			route:   wigeonrouting.New(wigeonrouting.Config{DataCentre: e.dataCentre, Seed: seed}),
			budgets: map[wigeonstep.TeamName]*wigeonretry.Budget{}, heard: map[wigeonstep.SessionID]wigeonadmission.Demand{},
		})
	}
	return e.pools[i]
}

// refresh takes over the VMs and documents of the view.
func (e *entry) refresh() {
	byPool := map[wigeonstep.PoolName][]*wigeondocument.Document{}
	for _, name := range slices.Sorted(maps.Keys(e.view.Services)) {
		document := e.view.Services[name].Document
		byPool[document.Pool] = append(byPool[document.Pool], document)
	}
	for _, name := range slices.Sorted(maps.Keys(byPool)) {
		e.pool(name)
	}
	localOnly := e.viewAge() >= viewSpan
	for _, p := range e.pools {
		p.apply(e, e.view.Pools[p.name], byPool[p.name], localOnly)
	}
}

func (p *entryPool) apply(e *entry, members []*wigeonstate.VM, documents []*wigeondocument.Document, localOnly bool) {
	if !slices.Equal(p.documents, documents) {
		p.documents = documents
		p.admit.SetServices(documents)
		budget := 0
		for _, d := range documents {
			if n := d.Availability.MaxUnavailableWorkers; budget == 0 || n < budget {
				budget = n
			}
		}
		p.route.SetBudget(budget)
	}
	if p.localOnly == localOnly && slices.Equal(p.members, members) {
		return
	}
	p.members, p.localOnly, p.slots = members, localOnly, 0
	var servers []wigeonrouting.Server
	for _, vm := range members {
		if localOnly && vm.DataCentre != e.dataCentre {
			continue
		}
		if vm.InService() {
			p.slots += vm.Shape.Slots
		}
		servers = append(servers, wigeonrouting.Server{
			VM: vm.ID, DataCentre: vm.DataCentre, Rack: vm.Rack, Address: vm.Address, Epoch: vm.Epoch,
			Slots: vm.Shape.Slots, Connections: vm.Shape.Connections, InService: vm.InService(),
		})
	}
	p.route.SetServers(e.driver.time(), servers)
}

// share passes the demand of every entry core to those that hear it, and splits the slots of each pool.
func (d *driver) share() {
	for _, from := range d.entries {
		if !from.runs() {
			continue
		}
		for _, p := range from.pools {
			demand := p.admit.Demand(d.time())
			for _, to := range d.entries {
				if to.runs() && d.connected(from.dataCentre, to.dataCentre) {
					to.pool(p.name).heard[from.session] = demand
				}
			}
		}
	}
	for _, e := range d.entries {
		if e.runs() {
			e.split()
		}
	}
}

func (e *entry) split() {
	for _, p := range e.pools {
		var reports []wigeonadmission.Report
		for _, s := range e.view.Sessions {
			if s.Expired || s.Role != wigeonwire.Role_ROLE_ENTRY || !s.Ready {
				continue
			}
			if p.localOnly && s.DataCentre != e.dataCentre {
				continue
			}
			demand, heard := p.heard[s.ID]
			reports = append(reports, wigeonadmission.Report{Session: s.ID, Heard: heard, Demand: demand})
		}
		grant := wigeonadmission.Split(p.slots, e.session, reports)
		p.admit.SetSlots(grant)
		p.route.SetShare(grant.Ranges, grant.Pool)
		e.begin(p, p.admit.Dispatch(e.driver.time()))
	}
}

// begin lets the work of started tickets run.
func (e *entry) begin(p *entryPool, tickets []*wigeonadmission.Ticket) {
	for _, t := range tickets {
		w := t.Value.(*work)
		p.budget(w.key.team).First(e.driver.time())
		w.granted()
	}
}

func (p *entryPool) budget(team wigeonstep.TeamName) *wigeonretry.Budget {
	if p.budgets[team] == nil {
		p.budgets[team] = &wigeonretry.Budget{}
	}
	return p.budgets[team]
}

// expire refuses the work whose time in the queue has passed.
func (e *entry) expire() {
	if !e.runs() {
		return
	}
	for _, p := range e.pools {
		for _, t := range p.admit.Expire(e.driver.time()) {
			t.Value.(*work).refused()
		}
	}
}

// busyVMs returns the VMs out of service on which the process has requests in flight.
func (e *entry) busyVMs() []string {
	var busy []string
	for _, id := range e.driver.ids {
		if vm := e.view.VMs[id]; vm == nil || vm.InService() {
			continue
		}
		for _, p := range e.pools {
			if p.route.InFlight(id) > 0 {
				busy = append(busy, string(id))
				break
			}
		}
	}
	return busy
}
