package wigeonadmission_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonadmission"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
	"github.com/wigeonstep/wigeonstep/wigeonretry"
	"github.com/wigeonstep/wigeonstep/wigeonrouting"
)

// admitter and router are the methods that the simulation needs of an admission and a routing policy, so that baseline
// policies can replace the real ones.
type admitter interface {
	SetSlots(grant wigeonadmission.Grant)
	Submit(now time.Time, t *wigeonadmission.Ticket) wigeonadmission.Decision
	Finish(now time.Time, t *wigeonadmission.Ticket, run time.Duration) []*wigeonadmission.Ticket
	Dispatch(now time.Time) []*wigeonadmission.Ticket
	Expire(now time.Time) []*wigeonadmission.Ticket
	Demand(now time.Time) wigeonadmission.Demand
	ExpectedRun(team wigeonstep.TeamName, class wigeonstep.ClassName) time.Duration
}

type router interface {
	SetServers(now time.Time, servers []wigeonrouting.Server)
	SetShare(ranges []wigeonrouting.SlotRange, pool int)
	Pick(now time.Time, options wigeonrouting.PickOptions) (wigeonrouting.Server, bool)
	Done(now time.Time, vm wigeonstep.VMID, result wigeonstep.BackendResult, latency, expected time.Duration)
}

var epoch = time.Unix(1_800_000_000, 0)

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// backend simulates a backend server with 8 slots, which answers busy when all of them are in use.
type backend struct {
	wigeonrouting.Server
	// running counts the requests that run now, accepted those that were started and busy those that were answered busy.
	running, accepted, busy int
	workTime                time.Duration
	// fails makes the server answer 500 within a millisecond. slowFactor multiplies run times; 0 means 1.
	fails      bool
	slowFactor float64
}

// source generates requests of one class.
type source struct {
	team  wigeonstep.TeamName
	class wigeonstep.ClassName
	// rate returns the arrival rate in requests per second, at most peak.
	rate func(at time.Duration) float64
	peak float64
	run  time.Duration
	stats
}

type stats struct {
	sent, refused, expired, done, failed int
	// waits has the queue times of started requests, lateRefusalWaits those of requests refused after a wait, and
	// retryAfter the times at which callers refused at once are to retry.
	waits, lateRefusalWaits, retryAfter []time.Duration
}

func (s *stats) p99Wait() time.Duration { return quantile(s.waits, 0.99) }

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

type process struct {
	session   wigeonstep.SessionID
	admission admitter
	routing   router
	budgets   map[wigeonstep.TeamName]*wigeonretry.Budget
	// reports has the last report of each process, reportedAt the times at which they were received.
	reports    []wigeonadmission.Report
	reportedAt []time.Duration
	lastGrant  wigeonadmission.Grant
}

type request struct {
	source    *source
	ticket    *wigeonadmission.Ticket
	submitted time.Duration
	attempts  int
	tried     []wigeonstep.VMID
}

// fleet simulates entry processes and backend servers in simulated time.
type fleet struct {
	now       time.Duration
	queue     events
	seq       int
	random    *rand.Rand
	processes []*process
	backends  map[wigeonstep.VMID]*backend
	servers   []wigeonrouting.Server
	sources   []*source
	// intersectGrants limits each process to the slots that the last two splits both granted it.
	intersectGrants bool
	// unlimitedRetries retries every failed request at once, without a retry budget, until 10 s after it was submitted.
	unlimitedRetries bool
	firstAttempts    int
	attempts         int
	// observe, unless nil, is called every 20 ms.
	observe func()
	// partitioned reports whether process i currently receives no reports from process j.
	partitioned func(i, j int) bool
	// chooseProcess returns the index of the process that receives the next request; nil means a random one.
	chooseProcess func() int
}

// newFleet returns a fleet with the given numbers of processes and servers. A nil policy means the real one.
func newFleet(seed uint64, processes, servers int, documents []*wigeondocument.Document, newAdmitter func() admitter, newRouter func() router) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 0)), backends: map[wigeonstep.VMID]*backend{}, intersectGrants: newAdmitter == nil}
	for i := range servers {
		s := wigeonrouting.Server{VM: wigeonstep.VMID(fmt.Sprintf("vm%d", i)), Slots: 8, Connections: 64, InService: true, Epoch: 1}
		f.servers = append(f.servers, s)
		f.backends[s.VM] = &backend{Server: s}
	}
	for i := range processes {
		p := &process{session: wigeonstep.SessionID(i + 1), budgets: map[wigeonstep.TeamName]*wigeonretry.Budget{}}
		if newAdmitter != nil {
			p.admission = newAdmitter()
		} else {
			pool := wigeonadmission.New(wigeonadmission.Config{Name: "ovens", Seed: seed + uint64(i)})
			pool.SetServices(documents)
			p.admission = pool
		}
		if newRouter != nil {
			p.routing = newRouter()
		} else {
			p.routing = wigeonrouting.New(wigeonrouting.Config{Seed: seed + uint64(i)})
		}
		p.routing.SetServers(epoch, f.servers)
		f.processes = append(f.processes, p)
	}
	return f
}

func (f *fleet) wallTime() time.Time { return epoch.Add(f.now) }

func (f *fleet) schedule(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.queue, event{f.now + d, f.seq, run})
}

// exponential returns an exponentially distributed duration with the given mean, at most 20 times the mean.
func (f *fleet) exponential(mean time.Duration) time.Duration {
	return time.Duration(math.Min(f.random.ExpFloat64(), 20) * float64(mean))
}

func (f *fleet) addSource(s *source) *source {
	f.sources = append(f.sources, s)
	var next func()
	next = func() {
		f.schedule(f.exponential(time.Duration(float64(time.Second)/s.peak)), func() {
			if f.random.Float64()*s.peak < s.rate(f.now) {
				f.submit(s)
			}
			next()
		})
	}
	next()
	return s
}

// addConstantSource adds a source with a constant arrival rate.
func (f *fleet) addConstantSource(team wigeonstep.TeamName, class wigeonstep.ClassName, rate float64, run time.Duration) *source {
	return f.addSource(&source{team: team, class: class, peak: rate, run: run, rate: func(time.Duration) float64 { return rate }})
}

// run simulates until the given time. The processes report their demand every 200 ms; the reports arrive 5 ms later.
func (f *fleet) run(until time.Duration) {
	var report func()
	report = func() {
		var sent []wigeonadmission.Report
		for _, p := range f.processes {
			sent = append(sent, wigeonadmission.Report{Session: p.session, Reported: true, Demand: p.admission.Demand(f.wallTime())})
		}
		f.schedule(5*time.Millisecond, func() {
			for i, p := range f.processes {
				if p.reports == nil {
					p.reports, p.reportedAt = make([]wigeonadmission.Report, len(sent)), make([]time.Duration, len(sent))
				}
				for j, r := range sent {
					p.reports[j].Session = r.Session
					if f.partitioned == nil || !f.partitioned(i, j) {
						p.reports[j], p.reportedAt[j] = r, f.now
					}
					p.reports[j].Stale = f.now-p.reportedAt[j] > 2*time.Second
				}
				grant := wigeonadmission.Split(8*len(f.servers), p.session, p.reports)
				if previousGrant := p.lastGrant; f.intersectGrants && previousGrant.PoolSlots > 0 {
					p.lastGrant, grant = grant, grant.Intersect(previousGrant)
				} else {
					p.lastGrant = grant
				}
				p.admission.SetSlots(grant)
				p.routing.SetShare(grant.Ranges, grant.PoolSlots)
				f.start(p, p.admission.Dispatch(f.wallTime()))
			}
		})
		f.schedule(200*time.Millisecond, report)
	}
	var tick func()
	tick = func() {
		for _, p := range f.processes {
			for _, t := range p.admission.Expire(f.wallTime()) {
				r := t.Value.(*request)
				r.source.expired++
				r.source.lateRefusalWaits = append(r.source.lateRefusalWaits, f.now-r.submitted)
			}
		}
		if f.observe != nil {
			f.observe()
		}
		f.schedule(20*time.Millisecond, tick)
	}
	report()
	tick()
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.run()
	}
	f.queue = nil
}

func (f *fleet) submit(s *source) {
	p := f.processes[f.random.IntN(len(f.processes))]
	if f.chooseProcess != nil {
		p = f.processes[f.chooseProcess()]
	}
	r := &request{source: s, submitted: f.now}
	r.ticket = &wigeonadmission.Ticket{Team: s.team, Class: s.class, Value: r}
	s.sent++
	switch d := p.admission.Submit(f.wallTime(), r.ticket); d.Verdict {
	case wigeonadmission.Started:
		f.start(p, []*wigeonadmission.Ticket{r.ticket})
	case wigeonadmission.Refused:
		s.refused++
		s.retryAfter = append(s.retryAfter, f.now+d.RetryAfter)
	case wigeonadmission.Queued:
	}
}

func (f *fleet) start(p *process, tickets []*wigeonadmission.Ticket) {
	for _, t := range tickets {
		r := t.Value.(*request)
		r.source.waits = append(r.source.waits, f.now-r.submitted)
		f.firstAttempts++
		f.retryBudget(p, t.Team).CountFirstAttempt(f.wallTime())
		f.send(p, r)
	}
}

func (f *fleet) retryBudget(p *process, team wigeonstep.TeamName) *wigeonretry.Budget {
	if p.budgets[team] == nil {
		p.budgets[team] = &wigeonretry.Budget{}
	}
	return p.budgets[team]
}

// send makes one attempt. The network delay is 0.5 ms in each direction.
func (f *fleet) send(p *process, r *request) {
	server, ok := p.routing.Pick(f.wallTime(), wigeonrouting.PickOptions{Exclude: r.tried})
	if !ok {
		f.schedule(5*time.Millisecond, func() { f.send(p, r) })
		return
	}
	f.attempts++
	r.attempts++
	sent := f.now
	f.schedule(500*time.Microsecond, func() {
		b := f.backends[server.VM]
		result, serviceTime := wigeonstep.BackendResult{Verdict: wigeonstep.BackendAnswered, Status: 200}, time.Duration(0)
		switch {
		case b.running >= b.Slots:
			b.busy++
			result = wigeonstep.BackendResult{Verdict: wigeonstep.BackendBusy, Status: 429}
		case b.fails:
			result.Status, serviceTime = 500, time.Millisecond
		default:
			serviceTime = f.exponential(r.source.run)
			if b.slowFactor > 0 {
				serviceTime = time.Duration(float64(serviceTime) * b.slowFactor)
			}
		}
		accepted := result.Verdict == wigeonstep.BackendAnswered
		if accepted {
			b.running++
			b.accepted++
			b.workTime += serviceTime
		}
		f.schedule(serviceTime, func() {
			if accepted {
				b.running--
			}
			f.schedule(500*time.Microsecond, func() { f.handleAnswer(p, r, server.VM, result, f.now-sent) })
		})
	})
}

func (f *fleet) handleAnswer(p *process, r *request, vm wigeonstep.VMID, result wigeonstep.BackendResult, latency time.Duration) {
	p.routing.Done(f.wallTime(), vm, result, latency, p.admission.ExpectedRun(r.source.team, r.source.class))
	succeeded := result.Verdict == wigeonstep.BackendAnswered && result.Status == 200
	if !succeeded {
		r.tried = append(r.tried, vm)
		retry, delay := wigeonretry.Decide(wigeondocument.RetrySafe, true, r.attempts, result, f.wallTime(), time.Time{},
			f.retryBudget(p, r.source.team), f.random)
		if f.unlimitedRetries {
			// The baseline overrides the decision. It retries on any server, even one that has just failed the request.
			retry, delay = f.now-r.submitted < 10*time.Second, 0
			r.tried = nil
		}
		if retry {
			f.schedule(delay, func() { f.send(p, r) })
			return
		}
		r.source.failed++
		// A failed run is not a sample of the run time of the class.
		f.start(p, p.admission.Finish(f.wallTime(), r.ticket, 0))
		return
	}
	r.source.done++
	f.start(p, p.admission.Finish(f.wallTime(), r.ticket, latency))
}

// busyShare returns the fraction of attempts that were answered busy.
func (f *fleet) busyShare() float64 {
	busy := 0
	for _, b := range f.backends {
		busy += b.busy
	}
	return float64(busy) / float64(f.attempts)
}

// usedShare returns the fraction of the pool's slot time in which requests ran.
func (f *fleet) usedShare() float64 {
	workTime := time.Duration(0)
	for _, b := range f.backends {
		workTime += b.workTime
	}
	return workTime.Seconds() / (f.now.Seconds() * float64(8*len(f.servers)))
}

// document returns a document of the pool "ovens" with a short class "bake" and a long class "cure".
func document(team wigeonstep.TeamName, share wigeondocument.Share, run time.Duration) *wigeondocument.Document {
	return &wigeondocument.Document{
		Service: wigeonstep.ServiceName(team), Team: team, Pool: "ovens", Share: share,
		Classes: []wigeondocument.Class{
			{Name: "bake", Kind: wigeondocument.KindShort, MaxQueueMS: 4700, ExpectedRunMS: int(run.Milliseconds())},
			{Name: "cure", Kind: wigeondocument.KindLong, ExpectedRunMS: int(time.Hour.Milliseconds())},
		},
	}
}

// documents returns documents of equal weight for the teams a, b, c and so on.
func documents(teams int, run time.Duration) []*wigeondocument.Document {
	var list []*wigeondocument.Document
	for i := range teams {
		list = append(list, document(wigeonstep.TeamName(rune('a'+i)), wigeondocument.Share{Weight: 1}, run))
	}
	return list
}
