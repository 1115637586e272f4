package wigeonentry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonadmission"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
	"github.com/wigeonstep/wigeonstep/wigeonretry"
	"github.com/wigeonstep/wigeonstep/wigeonrouting"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
)

const (
	stepAdmission = "admission"
	stepSelect    = "select backend server"
	// serverPoll is how often a request that holds a slot looks for a server that became free.
	serverPoll = 2 * time.Millisecond
)

// pool is the queue, the slots and the servers of one pool in this process.
type pool struct {
	name wigeonstep.PoolName
	now  func() time.Time

	mu        sync.Mutex
	admission *wigeonadmission.Pool
	picker    *wigeonrouting.Picker
	budgets   map[wigeonstep.TeamName]*wigeonretry.Budget
	random    *rand.Rand
	// members and documents are what was applied last; views share them while they do not change.
	members   []*wigeonstate.VM
	documents []*wigeondocument.Document
	localOnly bool
	grant     wigeonadmission.Grant
	// lastTarget is the split at the last report.
	lastTarget wigeonadmission.Grant
	slots      int
}

func newPool(name wigeonstep.PoolName, config *Config) *pool {
	seed := config.Seed ^ uint64(len(name))
	for _, c := range []byte(name) {
		seed = seed*31 + uint64(c)
	}
	return &pool{
		name:      name,
		now:       config.Now,
		admission: wigeonadmission.New(wigeonadmission.Config{Name: name, Seed: seed}),
		picker:    wigeonrouting.New(wigeonrouting.Config{DataCentre: config.DataCentre, Seed: seed}),
		budgets:   map[wigeonstep.TeamName]*wigeonretry.Budget{},
		random:    rand.New(rand.NewPCG(seed, config.Seed)),
	}
}

// slot is one request or job that asks for a slot of a pool.
type slot struct {
	ticket wigeonadmission.Ticket
	pool   *pool
	route  *wigeonstate.Route
	// granted and expired are written under the lock of the pool; signal is closed afterwards.
	granted bool
	expired bool
	signal  chan struct{}
	// refusal is set with expired.
	refusal wigeonadmission.Decision
	// grantedAt is when the request learnt that it holds a slot.
	grantedAt time.Time
}

func newSlot(pl *pool, route *wigeonstate.Route, deadline time.Time) *slot {
	s := &slot{pool: pl, route: route}
	s.ticket = wigeonadmission.Ticket{Team: route.Service.Document.Team, Class: route.Class.Name, Deadline: deadline, Value: s}
	return s
}

// admit waits until the request holds a slot; it returns the refusal otherwise.
func (s *slot) admit(ctx context.Context) *wigeonstep.Response {
	p := s.pool
	now := p.now()
	p.mu.Lock()
	decision := p.admission.Submit(now, &s.ticket)
	if decision.Verdict == wigeonadmission.Queued {
		s.signal = make(chan struct{})
	}
	p.mu.Unlock()
	switch decision.Verdict {
	case wigeonadmission.Started:
		s.grantedAt = now
		return nil
	case wigeonadmission.Queued:
		return s.wait(ctx, now)
	default:
		return p.refusal(decision)
	}
}

func (p *pool) refusal(d wigeonadmission.Decision) *wigeonstep.Response {
	r := wigeonstep.NotRun(d.Status, d.Reason, stepAdmission, "pool "+string(p.name), d.RetryAfter)
	return &r
}

func (s *slot) wait(ctx context.Context, now time.Time) *wigeonstep.Response {
	var expiry <-chan time.Time
	if !s.ticket.Deadline.IsZero() {
		longest := s.ticket.Deadline.Sub(now)
		if q := s.route.Class.MaxQueue(); q > 0 {
			longest = min(longest, q)
		}
		timer := time.NewTimer(longest)
		defer timer.Stop()
		expiry = timer.C
	}
	select {
	case <-s.signal:
	case <-expiry:
		s.leaveQueue()
	case <-ctx.Done():
		s.leaveQueue()
	}
	if s.granted {
		s.grantedAt = s.pool.now()
		return nil
	}
	return s.pool.refusal(s.refusal)
}

// leaveQueue ends the wait; a slot that was granted meanwhile is kept.
func (s *slot) leaveQueue() {
	p := s.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.deliverExpired(p.admission.Expire(now))
	if s.granted || s.expired {
		return
	}
	_, started := p.admission.Cancel(now, &s.ticket)
	s.expired, s.refusal = true, p.admission.Refusal(now, &s.ticket)
	p.deliver(started)
}

// finish gives the slot back. For work that ran, the time for which it held the slot teaches the estimate of the queue; for an
// order that includes the wait for its intent.
func (s *slot) finish(ran bool) {
	p := s.pool
	now := p.now()
	held := time.Duration(0)
	if ran {
		held = now.Sub(s.grantedAt)
	}
	p.mu.Lock()
	p.deliver(p.admission.Finish(now, &s.ticket, held))
	p.mu.Unlock()
}

// deliver wakes the requests that hold a slot now. The caller holds the lock.
func (p *pool) deliver(started []*wigeonadmission.Ticket) {
	for _, t := range started {
		s := t.Value.(*slot)
		s.granted = true
		if s.signal != nil {
			close(s.signal)
		}
	}
}

func (p *pool) deliverExpired(expired []*wigeonadmission.Ticket) {
	for _, t := range expired {
		s := t.Value.(*slot)
		s.expired, s.refusal = true, p.admission.Refusal(p.now(), t)
		if s.signal != nil {
			close(s.signal)
		}
	}
}

// expire ends the waits whose time has passed.
func (p *pool) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if at, ok := p.admission.NextExpiry(); ok && !at.After(now) {
		p.deliverExpired(p.admission.Expire(now))
	}
}

// pickFirst selects the server of a first attempt, and counts it; the retry budget is a share of these.
func (p *pool) pickFirst(team wigeonstep.TeamName, want wigeonrouting.Want) (wigeonrouting.Server, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.budget(team).First(now)
	want.LocalOnly = p.localOnly
	return p.picker.Pick(now, want)
}

// pick selects a server, and one that was tried before when there is no other.
func (p *pool) pick(want wigeonrouting.Want) (wigeonrouting.Server, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	want.LocalOnly = p.localOnly
	server, ok := p.picker.Pick(now, want)
	if !ok && len(want.Exclude) > 0 {
		want.Exclude = nil
		server, ok = p.picker.Pick(now, want)
	}
	return server, ok
}

// awaitServer looks for a free server until the time given or the end of ctx.
func (p *pool) awaitServer(ctx context.Context, want wigeonrouting.Want, until time.Time) (wigeonrouting.Server, bool) {
	timer := time.NewTimer(serverPoll)
	defer timer.Stop()
	for {
		if server, ok := p.pick(want); ok {
			return server, true
		}
		if !until.IsZero() && !p.now().Before(until) {
			return wigeonrouting.Server{}, false
		}
		select {
		case <-ctx.Done():
			return wigeonrouting.Server{}, false
		case <-timer.C:
			timer.Reset(serverPoll)
		}
	}
}

// done ends an attempt and decides whether there is another one.
func (p *pool) done(s *slot, vm wigeonstep.VMID, result wigeonstep.BackendResult, latency time.Duration, attempt int, deadline time.Time) (again bool, delay time.Duration) {
	team, class := s.ticket.Team, s.route.Class
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.picker.Done(now, vm, result, latency, p.admission.ExpectedRun(team, class.Name))
	if result.Verdict == wigeonstep.BackendWhole && result.Status < http.StatusInternalServerError {
		return false, 0
	}
	return wigeonretry.Decide(class.Retry, class.Idempotent, attempt, result, now, deadline, p.budget(team), p.random)
}

// unused ends a pick whose server got no request.
func (p *pool) unused(vm wigeonstep.VMID) {
	p.mu.Lock()
	p.picker.Unused(p.now(), vm)
	p.mu.Unlock()
}

func (p *pool) budget(team wigeonstep.TeamName) *wigeonretry.Budget {
	b := p.budgets[team]
	if b == nil {
		b = &wigeonretry.Budget{}
		p.budgets[team] = b
	}
	return b
}

// apply takes over the VMs and documents of a view, and returns whether the servers changed. localOnly leaves out VMs of other data centres.
func (p *pool) apply(members []*wigeonstate.VM, documents []*wigeondocument.Document, localOnly bool, dataCentre wigeonstep.DataCentreName) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
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
		return false
	}
	p.members, p.localOnly = members, localOnly
	servers := make([]wigeonrouting.Server, 0, len(members))
	p.slots = 0
	for _, vm := range members {
		if localOnly && vm.DataCentre != dataCentre {
			continue
		}
		server := wigeonrouting.Server{
			VM: vm.ID, DataCentre: vm.DataCentre, Rack: vm.Rack, Address: vm.Address, Epoch: vm.Epoch,
			Slots: vm.Shape.Slots, Connections: vm.Shape.Connections, InService: vm.InService(),
		}
		if server.InService {
			p.slots += server.Slots
		}
		servers = append(servers, server)
	}
	p.picker.SetServers(now, servers)
	return true
}

// split takes over this process's part of the pool's slots. A slot that another process may hold is used only when two reports in a
// row gave it to this process, because the other one gives it back when its request ends; a slot that is lost is lost at once.
func (p *pool) split(self wigeonstep.SessionID, reports []wigeonadmission.Report, reported bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	alone := len(reports) == 0
	reports = append(reports, wigeonadmission.Report{Session: self, Heard: true, Demand: p.admission.Demand(p.now())})
	target := wigeonadmission.Split(p.slots, self, reports)
	if alone {
		p.lastTarget = target
	}
	p.setGrant(target.Intersect(p.lastTarget))
	if reported {
		p.lastTarget = target
	}
}

func (p *pool) setGrant(grant wigeonadmission.Grant) {
	if grant.Equal(p.grant) {
		return
	}
	p.grant = grant
	p.admission.SetSlots(grant)
	p.picker.SetShare(grant.Ranges, grant.Pool)
	p.deliver(p.admission.Dispatch(p.now()))
}

func (p *pool) demand() wigeonadmission.Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.admission.Demand(p.now())
}
