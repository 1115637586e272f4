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

// admitter and router are what the driver uses of a policy, so that the simplest policies can take the place of the real ones.
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
	Pick(now time.Time, want wigeonrouting.Want) (wigeonrouting.Server, bool)
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

// backend is a backend server of 8 slots that answers busy when they are taken.
type backend struct {
	wigeonrouting.Server
	running, accepted, busy int
	worked                  time.Duration
	// fails makes the server answer 500 within a millisecond; slow multiplies run times, 0 is 1.
	fails bool
	slow  float64
}

// source sends requests of one class.
type source struct {
	team  wigeonstep.TeamName
	class wigeonstep.ClassName
	// rate is in requests per second and at most peak.
	rate func(at time.Duration) float64
	peak float64
	run  time.Duration
	stats
}

type stats struct {
	sent, refused, expired, done, failed int
	// waits are those of started requests, wasted those of requests that were refused after a wait.
	waits, wasted, retryAfter []time.Duration
}

func (s *stats) p99() time.Duration { return quantile(s.waits, 0.99) }

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

type process struct {
	session wigeonstep.SessionID
	admit   admitter
	route   router
	budgets map[wigeonstep.TeamName]*wigeonretry.Budget
	// reports has the last report of each process, heard its time.
	reports []wigeonadmission.Report
	heard   []time.Duration
	last    wigeonadmission.Grant
}

type request struct {
	source    *source
	ticket    *wigeonadmission.Ticket
	submitted time.Duration
	attempts  int
	tried     []wigeonstep.VMID
}

// fleet is the shared driver: entry processes in front of backend servers, in simulated time.
type fleet struct {
	now       time.Duration
	queue     events
	seq       int
	random    *rand.Rand
	processes []*process
	backends  map[wigeonstep.VMID]*backend
	servers   []wigeonrouting.Server
	sources   []*source
	// intersect makes the processes use only slots that two splits in a row gave them.
	intersect bool
	// unlimited retries every failed request at once, without budget.
	unlimited bool
	firsts    int
	attempts  int
	observe   func()
	// cutOff reports whether two processes do not hear each other now.
	cutOff func(i, j int) bool
	// enter chooses the process of the next request, nil for any.
	enter func() int
}

// newFleet builds processes and servers. Nil policies are the real ones.
func newFleet(seed uint64, processes, servers int, documents []*wigeondocument.Document, admit func() admitter, route func() router) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 0)), backends: map[wigeonstep.VMID]*backend{}, intersect: admit == nil}
	for i := range servers {
		s := wigeonrouting.Server{VM: wigeonstep.VMID(fmt.Sprintf("vm%d", i)), Slots: 8, Connections: 64, InService: true, Epoch: 1}
		f.servers = append(f.servers, s)
		f.backends[s.VM] = &backend{Server: s}
	}
	for i := range processes {
		p := &process{session: wigeonstep.SessionID(i + 1), budgets: map[wigeonstep.TeamName]*wigeonretry.Budget{}}
		if admit != nil {
			p.admit = admit()
		} else {
			pool := wigeonadmission.New(wigeonadmission.Config{Name: "ovens", Seed: seed + uint64(i)})
			pool.SetServices(documents)
			p.admit = pool
		}
		if route != nil {
			p.route = route()
		} else {
			p.route = wigeonrouting.New(wigeonrouting.Config{Seed: seed + uint64(i)})
		}
		p.route.SetServers(epoch, f.servers)
		f.processes = append(f.processes, p)
	}
	return f
}

func (f *fleet) time() time.Time { return epoch.Add(f.now) }

func (f *fleet) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.queue, event{f.now + d, f.seq, run})
}

// exponential draws a duration with the given mean.
func (f *fleet) exponential(mean time.Duration) time.Duration {
	return time.Duration(math.Min(f.random.ExpFloat64(), 20) * float64(mean))
}

func (f *fleet) add(s *source) *source {
	f.sources = append(f.sources, s)
	var next func()
	next = func() {
		f.after(f.exponential(time.Duration(float64(time.Second)/s.peak)), func() {
			if f.random.Float64()*s.peak < s.rate(f.now) {
				f.submit(s)
			}
			next()
		})
	}
	next()
	return s
}

// constant is a source with a steady rate.
func (f *fleet) constant(team wigeonstep.TeamName, class wigeonstep.ClassName, rate float64, run time.Duration) *source {
	return f.add(&source{team: team, class: class, peak: rate, run: run, rate: func(time.Duration) float64 { return rate }})
}

// run simulates until the given time; the processes report their demand every 200 ms and act on the reports 5 ms later.
func (f *fleet) run(until time.Duration) {
	var report func()
	report = func() {
		var sent []wigeonadmission.Report
		for _, p := range f.processes {
			sent = append(sent, wigeonadmission.Report{Session: p.session, Heard: true, Demand: p.admit.Demand(f.time())})
		}
		f.after(5*time.Millisecond, func() {
			for i, p := range f.processes {
				if p.reports == nil {
					p.reports, p.heard = make([]wigeonadmission.Report, len(sent)), make([]time.Duration, len(sent))
				}
				for j, r := range sent {
					p.reports[j].Session = r.Session
					if f.cutOff == nil || !f.cutOff(i, j) {
						p.reports[j], p.heard[j] = r, f.now
					}
					p.reports[j].Stale = f.now-p.heard[j] > 2*time.Second
				}
				grant := wigeonadmission.Split(8*len(f.servers), p.session, p.reports)
				if last := p.last; f.intersect && last.Pool > 0 {
					p.last, grant = grant, grant.Intersect(last)
				} else {
					p.last = grant
				}
				p.admit.SetSlots(grant)
				p.route.SetShare(grant.Ranges, grant.Pool)
				f.start(p, p.admit.Dispatch(f.time()))
			}
		})
		f.after(200*time.Millisecond, report)
	}
	var tick func()
	tick = func() {
		for _, p := range f.processes {
			for _, t := range p.admit.Expire(f.time()) {
				r := t.Value.(*request)
				r.source.expired++
				r.source.wasted = append(r.source.wasted, f.now-r.submitted)
			}
		}
		if f.observe != nil {
			f.observe()
		}
		f.after(20*time.Millisecond, tick)
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
	if f.enter != nil {
		p = f.processes[f.enter()]
	}
	r := &request{source: s, submitted: f.now}
	r.ticket = &wigeonadmission.Ticket{Team: s.team, Class: s.class, Value: r}
	s.sent++
	switch d := p.admit.Submit(f.time(), r.ticket); d.Verdict {
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
		f.firsts++
		f.budget(p, t.Team).First(f.time())
		f.send(p, r)
	}
}

func (f *fleet) budget(p *process, team wigeonstep.TeamName) *wigeonretry.Budget {
	if p.budgets[team] == nil {
		p.budgets[team] = &wigeonretry.Budget{}
	}
	return p.budgets[team]
}

// send makes one attempt; the network takes half a millisecond each way.
func (f *fleet) send(p *process, r *request) {
	server, ok := p.route.Pick(f.time(), wigeonrouting.Want{Exclude: r.tried})
	if !ok {
		f.after(5*time.Millisecond, func() { f.send(p, r) })
		return
	}
	f.attempts++
	r.attempts++
	sent := f.now
	f.after(500*time.Microsecond, func() {
		b := f.backends[server.VM]
		result, takes := wigeonstep.BackendResult{Verdict: wigeonstep.BackendWhole, Status: 200}, time.Duration(0)
		switch {
		case b.running >= b.Slots:
			b.busy++
			result = wigeonstep.BackendResult{Verdict: wigeonstep.BackendBusy, Status: 429}
		case b.fails:
			result.Status, takes = 500, time.Millisecond
		default:
			takes = f.exponential(r.source.run)
			if b.slow > 0 {
				takes = time.Duration(float64(takes) * b.slow)
			}
		}
		accepted := result.Verdict == wigeonstep.BackendWhole
		if accepted {
			b.running++
			b.accepted++
			b.worked += takes
		}
		f.after(takes, func() {
			if accepted {
				b.running--
			}
			f.after(500*time.Microsecond, func() { f.finish(p, r, server.VM, result, f.now-sent) })
		})
	})
}

func (f *fleet) finish(p *process, r *request, vm wigeonstep.VMID, result wigeonstep.BackendResult, latency time.Duration) {
	p.route.Done(f.time(), vm, result, latency, p.admit.ExpectedRun(r.source.team, r.source.class))
	good := result.Verdict == wigeonstep.BackendWhole && result.Status == 200
	if !good {
		r.tried = append(r.tried, vm)
		again, delay := wigeonretry.Decide(wigeondocument.RetrySafe, true, r.attempts, result, f.time(), time.Time{},
			f.budget(p, r.source.team), f.random)
		if f.unlimited {
			again, delay = f.now-r.submitted < 10*time.Second, 0
			r.tried = nil
		}
		if again {
			f.after(delay, func() { f.send(p, r) })
			return
		}
		r.source.failed++
		f.start(p, p.admit.Finish(f.time(), r.ticket, 0))
		return
	}
	r.source.done++
	f.start(p, p.admit.Finish(f.time(), r.ticket, latency))
}

// busyAnswers returns the share of attempts that met a full server.
func (f *fleet) busyAnswers() float64 {
	busy := 0
	for _, b := range f.backends {
		busy += b.busy
	}
	return float64(busy) / float64(f.attempts)
}

// used returns the share of the pool's slot time that ran requests.
func (f *fleet) used() float64 {
	worked := time.Duration(0)
	for _, b := range f.backends {
		worked += b.worked
	}
	return worked.Seconds() / (f.now.Seconds() * float64(8*len(f.servers)))
}

// document returns a document of the pool with one short class "bake" and one long class "cure".
func document(team wigeonstep.TeamName, share wigeondocument.Share, run time.Duration) *wigeondocument.Document {
	return &wigeondocument.Document{
		Service: wigeonstep.ServiceName(team), Team: team, Pool: "ovens", Share: share,
		Classes: []wigeondocument.Class{
			{Name: "bake", Kind: wigeondocument.KindShort, MaxQueueMS: 4700, ExpectedRunMS: int(run.Milliseconds())},
			{Name: "cure", Kind: wigeondocument.KindLong, ExpectedRunMS: int(time.Hour.Milliseconds())},
		},
	}
}

// documents returns documents of equal weight for teams a, b, c and so on.
func documents(teams int, run time.Duration) []*wigeondocument.Document {
	var list []*wigeondocument.Document
	for i := range teams {
		list = append(list, document(wigeonstep.TeamName(rune('a'+i)), wigeondocument.Share{Weight: 1}, run))
	}
	return list
}
