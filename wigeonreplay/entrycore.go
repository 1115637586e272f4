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

// entryCore is the admission and routing state of a simulated entry process, without its I/O.
type entryCore struct {
	*process
	seed   uint64
	random *rand.Rand
	// pools are sorted by name.
	pools []*entryPool
	// jobs holds the attempts of jobs that the process queues or runs.
	jobs map[wigeonstep.JobID]*work
	// activeKeys holds the idempotency keys of the requests in progress. A second request with the same key is a repeat.
	activeKeys map[wigeonstep.IdempotencyKey]bool
}

// entryPool is the state of an entry core for one pool.
type entryPool struct {
	name         wigeonstep.PoolName
	admission    *wigeonadmission.Pool
	picker       *wigeonrouting.Picker
	retryBudgets map[wigeonstep.TeamName]*wigeonretry.Budget
	members      []*wigeonstate.VM
	documents    []*wigeondocument.Document
	// localOnly restricts the pool to the VMs of the data centre of the entry core.
	localOnly bool
	// slots is the number of slots of the members in service, with localOnly of those in the data centre.
	slots int
	// reportedDemand holds the last demand report of each session.
	reportedDemand map[wigeonstep.SessionID]wigeonadmission.Demand
	// lastSplit and lastReports are the inputs of the last split of the slots.
	lastSplit   splitInput
	lastReports []wigeonadmission.Report
}

// splitInput holds the inputs of a split except the demand reports.
type splitInput struct {
	slots   int
	session wigeonstep.SessionID
}

// reset clears the in-memory state, as a restart of the process does.
func (e *entryCore) reset() {
	e.random = rand.New(rand.NewPCG(e.seed, uint64(e.incarnation)))
	e.pools = nil
	e.jobs = map[wigeonstep.JobID]*work{}
	e.activeKeys = map[wigeonstep.IdempotencyKey]bool{}
}

func (e *entryCore) pool(name wigeonstep.PoolName) *entryPool {
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
		seed := e.seed + uint64(e.incarnation)<<32
		e.pools = slices.Insert(e.pools, i, &entryPool{
			name: name, admission: wigeonadmission.New(wigeonadmission.Config{Name: name, Seed: seed}),
			picker:       wigeonrouting.New(wigeonrouting.Config{DataCentre: e.dataCentre, Seed: seed}),
			retryBudgets: map[wigeonstep.TeamName]*wigeonretry.Budget{}, reportedDemand: map[wigeonstep.SessionID]wigeonadmission.Demand{},
		})
	}
	return e.pools[i]
}

// refreshPools updates all pools from the VMs and documents of the view. With a view older than maxViewAge the pools use
// only VMs of their own data centre.
func (e *entryCore) refreshPools() {
	byPool := map[wigeonstep.PoolName][]*wigeondocument.Document{}
	for _, name := range slices.Sorted(maps.Keys(e.view.Services)) {
		document := e.view.Services[name].Document
		byPool[document.Pool] = append(byPool[document.Pool], document)
	}
	for _, name := range slices.Sorted(maps.Keys(byPool)) {
		e.pool(name)
	}
	localOnly := e.viewAge() >= maxViewAge
	for _, p := range e.pools {
		p.update(e, e.view.Pools[p.name], byPool[p.name], localOnly)
	}
}

// update passes changed documents to the admission and the picker, and changed members to the picker.
func (p *entryPool) update(e *entryCore, members []*wigeonstate.VM, documents []*wigeondocument.Document, localOnly bool) {
	if !slices.Equal(p.documents, documents) {
		p.documents = documents
		p.admission.SetServices(documents)
		budget := 0
		for _, d := range documents {
			if n := d.Availability.MaxUnavailableWorkers; budget == 0 || n < budget {
				budget = n
			}
		}
		p.picker.SetBudget(budget)
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
	p.picker.SetServers(e.driver.time(), servers)
}

// exchangeDemand delivers the demand of every running entry core to the connected ones, and then splits the slots of each
// pool in every entry core.
func (d *driver) exchangeDemand() {
	for _, from := range d.entryCores {
		if !from.isRunning() {
			continue
		}
		for _, p := range from.pools {
			demand := p.admission.Demand(d.time())
			for _, to := range d.entryCores {
				if to.isRunning() && d.connected(from.dataCentre, to.dataCentre) {
					to.pool(p.name).reportedDemand[from.session] = demand
				}
			}
		}
	}
	for _, e := range d.entryCores {
		if e.isRunning() {
			e.splitSlots()
		}
	}
}

func (e *entryCore) splitSlots() {
	for _, p := range e.pools {
		var reports []wigeonadmission.Report
		for _, s := range e.view.Sessions {
			if s.Expired || s.Role != wigeonwire.Role_ROLE_ENTRY || !s.Ready {
				continue
			}
			if p.localOnly && s.DataCentre != e.dataCentre {
				continue
			}
			demand, reported := p.reportedDemand[s.ID]
			reports = append(reports, wigeonadmission.Report{Session: s.ID, Reported: reported, Demand: demand})
		}
		// The split depends on these inputs only. Most are the same as 200 ms ago (reportInterval), so an unchanged split is
		// not computed again.
		if input := (splitInput{p.slots, e.session}); input != p.lastSplit || !slices.Equal(reports, p.lastReports) {
			p.lastSplit, p.lastReports = input, reports
			grant := wigeonadmission.Split(p.slots, e.session, reports)
			p.admission.SetSlots(grant)
			p.picker.SetShare(grant.Ranges, grant.PoolSlots)
		}
		e.startWork(p, p.admission.Dispatch(e.driver.time()))
	}
}

// startWork continues the work of tickets that have got a slot, and counts a first attempt of each in the retry budget of
// its team.
func (e *entryCore) startWork(p *entryPool, tickets []*wigeonadmission.Ticket) {
	for _, t := range tickets {
		w := t.Value.(*work)
		p.retryBudget(w.key.team).CountFirstAttempt(e.driver.time())
		w.onSlotGranted()
	}
}

func (p *entryPool) retryBudget(team wigeonstep.TeamName) *wigeonretry.Budget {
	if p.retryBudgets[team] == nil {
		p.retryBudgets[team] = &wigeonretry.Budget{}
	}
	return p.retryBudgets[team]
}

// expireQueued refuses the work whose ticket has expired in the queue.
func (e *entryCore) expireQueued() {
	if !e.isRunning() {
		return
	}
	for _, p := range e.pools {
		for _, t := range p.admission.Expire(e.driver.time()) {
			t.Value.(*work).refuse()
		}
	}
}

// busyVMs returns the VMs that are not in service and on which the process has requests in flight.
func (e *entryCore) busyVMs() []string {
	var busy []string
	for _, id := range e.driver.vmIDs {
		if vm := e.view.VMs[id]; vm == nil || vm.InService() {
			continue
		}
		for _, p := range e.pools {
			if p.picker.InFlight(id) > 0 {
				busy = append(busy, string(id))
				break
			}
		}
	}
	return busy
}
