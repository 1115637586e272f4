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
	// serverPollInterval is the polling interval of a request that holds a slot while no backend server is free.
	serverPollInterval = 2 * time.Millisecond
)

// pool combines the admission queue, the granted slots and the backend server picker of one pool in this process.
type pool struct {
	name wigeonstep.PoolName
	now  func() time.Time

	mu        sync.Mutex
	admission *wigeonadmission.Pool
	picker    *wigeonrouting.Picker
	budgets   map[wigeonstep.TeamName]*wigeonretry.Budget
	random    *rand.Rand
	// vms and documents are those of the last applied view. Successive views share unchanged slices, so comparing them
	// is cheap.
	vms       []*wigeonstate.VM
	documents []*wigeondocument.Document
	localOnly bool
	grant     wigeonadmission.Grant
	// lastTarget is the grant computed at the last demand report. Only slots in both the last and the current target are
	// used.
	lastTarget wigeonadmission.Grant
	// slotsInService counts the slots of the usable servers that are in service.
	slotsInService int
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

// slotClaim is the claim of one request or job on a slot of a pool.
type slotClaim struct {
	ticket wigeonadmission.Ticket
	pool   *pool
	route  *wigeonstate.Route
	// granted and denied are guarded by pool.mu. Exactly one of them is set before decided is closed. decided is nil
	// unless the claim was queued.
	granted bool
	denied  bool
	decided chan struct{}
	// refusal explains a denied claim.
	refusal wigeonadmission.Decision
	// grantedAt is the time at which the waiting goroutine learned of the grant.
	grantedAt time.Time
}

func newSlotClaim(pl *pool, route *wigeonstate.Route, deadline time.Time) *slotClaim {
	s := &slotClaim{pool: pl, route: route}
	s.ticket = wigeonadmission.Ticket{Team: route.Service.Document.Team, Class: route.Class.Name, Deadline: deadline, Value: s}
	return s
}

// admit waits for a slot. It returns nil when the claim holds one and the refusal otherwise.
func (s *slotClaim) admit(ctx context.Context) *wigeonstep.Response {
	p := s.pool
	now := p.now()
	p.mu.Lock()
	decision := p.admission.Submit(now, &s.ticket)
	if decision.Verdict == wigeonadmission.Queued {
		s.decided = make(chan struct{})
	}
	p.mu.Unlock()
	switch decision.Verdict {
	case wigeonadmission.Started:
		s.grantedAt = now
		return nil
	case wigeonadmission.Queued:
		return s.wait(ctx, now)
	default:
		return p.refusalResponse(decision)
	}
}

func (p *pool) refusalResponse(d wigeonadmission.Decision) *wigeonstep.Response {
	r := wigeonstep.NotRunResponse(d.Status, d.Reason, stepAdmission, "pool "+string(p.name), d.RetryAfter)
	return &r
}

func (s *slotClaim) wait(ctx context.Context, now time.Time) *wigeonstep.Response {
	var expiry <-chan time.Time
	if !s.ticket.Deadline.IsZero() {
		maxWait := s.ticket.Deadline.Sub(now)
		if queueTime := s.route.Class.MaxQueue(); queueTime > 0 {
			maxWait = min(maxWait, queueTime)
		}
		timer := time.NewTimer(maxWait)
		defer timer.Stop()
		expiry = timer.C
	}
	select {
	case <-s.decided:
	case <-expiry:
		s.cancelWait()
	case <-ctx.Done():
		s.cancelWait()
	}
	if s.granted {
		s.grantedAt = s.pool.now()
		return nil
	}
	return s.pool.refusalResponse(s.refusal)
}

// cancelWait removes the claim from the queue and denies it, unless the pool has granted or denied it in the meantime.
func (s *slotClaim) cancelWait() {
	p := s.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.refuseExpired(p.admission.Expire(now))
	if s.granted || s.denied {
		return
	}
	_, started := p.admission.Cancel(now, &s.ticket)
	s.denied, s.refusal = true, p.admission.ExpiredDecision(now, &s.ticket)
	p.wakeStarted(started)
}

// release returns the slot to the pool. For completed work the time since the grant updates the run time estimate of the
// queue. For a request with a key this time includes the wait for its intent record.
func (s *slotClaim) release(completed bool) {
	p := s.pool
	now := p.now()
	held := time.Duration(0)
	if completed {
		held = now.Sub(s.grantedAt)
	}
	p.mu.Lock()
	p.wakeStarted(p.admission.Finish(now, &s.ticket, held))
	p.mu.Unlock()
}

// wakeStarted wakes the requests whose tickets were started. The caller holds p.mu.
func (p *pool) wakeStarted(started []*wigeonadmission.Ticket) {
	for _, t := range started {
		s := t.Value.(*slotClaim)
		s.granted = true
		if s.decided != nil {
			close(s.decided)
		}
	}
}

// refuseExpired denies and wakes the claims whose tickets have expired. The caller holds p.mu.
func (p *pool) refuseExpired(expired []*wigeonadmission.Ticket) {
	for _, t := range expired {
		s := t.Value.(*slotClaim)
		s.denied, s.refusal = true, p.admission.ExpiredDecision(p.now(), t)
		if s.decided != nil {
			close(s.decided)
		}
	}
}

// expireWaits denies queued claims whose deadline or queue time has passed.
func (p *pool) expireWaits() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if at, ok := p.admission.NextExpiry(); ok && !at.After(now) {
		p.refuseExpired(p.admission.Expire(now))
	}
}

// pickFirst selects a server for a first attempt. First attempts are counted because the retry budget of a team is a share of
// them.
func (p *pool) pickFirst(team wigeonstep.TeamName, options wigeonrouting.PickOptions) (wigeonrouting.Server, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.retryBudget(team).CountFirstAttempt(now)
	options.LocalOnly = p.localOnly
	return p.picker.Pick(now, options)
}

// pick selects a server for a further attempt. It prefers servers that the request has not tried and falls back to the
// others.
func (p *pool) pick(options wigeonrouting.PickOptions) (wigeonrouting.Server, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	options.LocalOnly = p.localOnly
	server, ok := p.picker.Pick(now, options)
	if !ok && len(options.Exclude) > 0 {
		options.Exclude = nil
		server, ok = p.picker.Pick(now, options)
	}
	return server, ok
}

// awaitServer polls for a free server until ctx ends or the time until has passed. A zero until sets no limit.
func (p *pool) awaitServer(ctx context.Context, options wigeonrouting.PickOptions, until time.Time) (wigeonrouting.Server, bool) {
	timer := time.NewTimer(serverPollInterval)
	defer timer.Stop()
	for {
		if server, ok := p.pick(options); ok {
			return server, true
		}
		if !until.IsZero() && !p.now().Before(until) {
			return wigeonrouting.Server{}, false
		}
		select {
		case <-ctx.Done():
			return wigeonrouting.Server{}, false
		case <-timer.C:
			timer.Reset(serverPollInterval)
		}
	}
}

// finishAttempt reports the result of an attempt to the picker and decides whether and after which delay to retry. A whole
// answer with a status below 500 is never retried.
func (p *pool) finishAttempt(s *slotClaim, vm wigeonstep.VMID, result wigeonstep.BackendResult, latency time.Duration, attempt int, deadline time.Time) (retry bool, delay time.Duration) {
	team, class := s.ticket.Team, s.route.Class
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.picker.Done(now, vm, result, latency, p.admission.ExpectedRun(team, class.Name))
	if result.Verdict == wigeonstep.BackendAnswered && result.Status < http.StatusInternalServerError {
		return false, 0
	}
	return wigeonretry.Decide(class.Retry, class.Idempotent, attempt, result, now, deadline, p.retryBudget(team), p.random)
}

// releaseUnused undoes a pick for which no request was sent to the server.
func (p *pool) releaseUnused(vm wigeonstep.VMID) {
	p.mu.Lock()
	p.picker.Release(p.now(), vm)
	p.mu.Unlock()
}

func (p *pool) retryBudget(team wigeonstep.TeamName) *wigeonretry.Budget {
	b := p.budgets[team]
	if b == nil {
		b = &wigeonretry.Budget{}
		p.budgets[team] = b
	}
	return b
}

// applyView updates the pool from the VMs and documents of a view and returns whether the servers changed. localOnly excludes
// VMs of other data centres.
func (p *pool) applyView(vms []*wigeonstate.VM, documents []*wigeondocument.Document, localOnly bool, dataCentre wigeonstep.DataCentreName) bool {
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
	if p.localOnly == localOnly && slices.Equal(p.vms, vms) {
		return false
	}
	p.vms, p.localOnly = vms, localOnly
	servers := make([]wigeonrouting.Server, 0, len(vms))
	p.slotsInService = 0
	for _, vm := range vms {
		if localOnly && vm.DataCentre != dataCentre {
			continue
		}
		server := wigeonrouting.Server{
			VM: vm.ID, DataCentre: vm.DataCentre, Rack: vm.Rack, Address: vm.Address, Epoch: vm.Epoch,
			Slots: vm.Shape.Slots, Connections: vm.Shape.Connections, InService: vm.InService(),
		}
		if server.InService {
			p.slotsInService += server.Slots
		}
		servers = append(servers, server)
	}
	p.picker.SetServers(now, servers)
	return true
}

// updateGrant recomputes which slots of the pool this process may use. atReport is set when the call precedes a demand report
// to the peers.
//
// A slot that another process may still hold is used only when the targets of two consecutive reports assign it to this
// process, because the other process keeps it until its request ends. A slot that the target no longer assigns is given
// up at once. A process without peers needs no second report.
func (p *pool) updateGrant(self wigeonstep.SessionID, reports []wigeonadmission.Report, atReport bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	alone := len(reports) == 0
	reports = append(reports, wigeonadmission.Report{Session: self, Reported: true, Demand: p.admission.Demand(p.now())})
	target := wigeonadmission.Split(p.slotsInService, self, reports)
	if alone {
		p.lastTarget = target
	}
	p.setGrant(target.Intersect(p.lastTarget))
	if atReport {
		p.lastTarget = target
	}
}

func (p *pool) setGrant(grant wigeonadmission.Grant) {
	if grant.Equal(p.grant) {
		return
	}
	p.grant = grant
	p.admission.SetSlots(grant)
	p.picker.SetShare(grant.Ranges, grant.PoolSlots)
	p.wakeStarted(p.admission.Dispatch(p.now()))
}

func (p *pool) demand() wigeonadmission.Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.admission.Demand(p.now())
}
