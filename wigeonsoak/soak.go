// Package wigeonsoak runs the real program as separate processes, disturbs them from outside by a plan that a seed gives,
// and checks the promises to clients from what callers and workers see.
package wigeonsoak

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/wigeonstep/wigeonstep/platform/wigeonstandin"
)

const (
	partitions = 6
	service    = "orders"
	// warmUp is how long the processes may take to serve the first request.
	warmUp = 15 * time.Second
	// settleTime is how long after the last fault everything that was accepted must be done.
	settleTime = 30 * time.Second
	settlePoll = 250 * time.Millisecond
	// clients and clientPause make the load.
	clients     = 3
	clientPause = 150 * time.Millisecond
	askShare    = 40
)

// Settings are the settings of a soak.
type Settings struct {
	// Binary is the path of the program.
	Binary string
	// Directory receives the settings and logs of the processes.
	Directory string
	Seed      uint64
	// Length is how long faults are injected.
	Length time.Duration
	// Processes and Workers are the sizes of the system, at least 2.
	Processes, Workers int
}

// Report is what a soak found.
type Report struct {
	Plan []Fault
	// Breaches are the promises that were broken; empty when all were kept.
	Breaches []string
	// Accepted, Refused and Unknown count the jobs by what their clients know.
	Accepted, Refused, Unknown int
}

// system is what a soak runs.
type system struct {
	settings  Settings
	ctx       context.Context
	history   *history
	store     *wigeonstandin.Store
	processes []*process
	stores    []*Proxy
	addresses []string

	mu      sync.Mutex
	workers []*wigeonstandin.Worker
	links   []*Proxy
	lives   int
	version int
}

// Run runs a soak. The error says that it could not be run; what the system did wrong is in the report.
func Run(ctx context.Context, settings Settings) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &system{settings: settings, ctx: ctx, history: newHistory()}
	defer func() {
		for _, p := range s.processes {
			p.stop()
		}
	}()
	if err := s.start(); err != nil {
		return Report{}, err
	}
	report := Report{Plan: Plan(settings.Seed, settings.Length, settings.Processes, settings.Workers)}
	load, endLoad := context.WithCancel(ctx)
	var loading sync.WaitGroup
	for i := range clients {
		loading.Go(func() { s.load(load, i) })
	}
	s.inject(report.Plan)
	endLoad()
	loading.Wait()
	s.settle()
	report.Breaches = s.history.check()
	s.count(&report)
	return report, nil
}

func (s *system) start() error {
	var err error
	if s.store, err = wigeonstandin.NewStore(s.ctx, partitions); err != nil {
		return err
	}
	s.workers = make([]*wigeonstandin.Worker, s.settings.Workers)
	s.links = make([]*Proxy, s.settings.Workers)
	var machines []*wigeonstandin.Machine
	for i := range s.settings.Workers {
		if err := s.startWorker(i); err != nil {
			return err
		}
		machines = append(machines, &wigeonstandin.Machine{ID: fmt.Sprintf("m-%d", i), Pool: service, Worker: s.workers[i].ID})
	}
	cloud, err := wigeonstandin.NewCloud(s.ctx, machines...)
	if err != nil {
		return err
	}
	if err := s.configure(); err != nil {
		return err
	}
	for i := range s.settings.Processes {
		link, err := NewProxy(s.ctx, ownIP(s.settings.Seed, i), s.store.Address())
		if err != nil {
			return err
		}
		p, err := newProcess(s.settings.Binary, s.settings.Directory, fmt.Sprintf("n-%d", i), ownIP(s.settings.Seed, i), link.Address(), cloud.Address(), s.history)
		if err != nil {
			return err
		}
		s.stores, s.processes, s.addresses = append(s.stores, link), append(s.processes, p), append(s.addresses, p.clients)
		go p.keep()
	}
	return s.awaitService()
}

// startWorker puts a new worker in place i.
func (s *system) startWorker(i int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lives++
	var link *Proxy
	w, err := wigeonstandin.StartWorker(s.ctx, s.store, wigeonstandin.WorkerSettings{
		ID: fmt.Sprintf("i-%d-%d", i, s.lives), Service: service, Rack: fmt.Sprintf("r%d", i), Observe: s.history.observe,
		Via: func(address string) (string, error) {
			var err error
			if link, err = NewProxy(s.ctx, ownIP(s.settings.Seed, i), address); err != nil {
				return "", err
			}
			return link.Address(), nil
		},
	})
	if err != nil {
		return err
	}
	s.workers[i], s.links[i] = w, link
	return nil
}

func (s *system) configure() error {
	s.version++
	return s.store.PutQueue(s.version, service, host, prefix)
}

// awaitService waits until every process answers that an unknown job does not exist.
func (s *system) awaitService() error {
	deadline := time.Now().Add(warmUp)
	for _, address := range s.addresses {
		c := newClient([]string{address}, s.history, s.settings.Seed)
		for {
			if status, _ := c.send(s.ctx, "GET", fmt.Sprintf("%016x", 0), nil); status == 410 {
				break
			}
			if time.Now().After(deadline) {
				return errors.New("the processes did not serve in time; see their logs")
			}
			time.Sleep(settlePoll)
		}
	}
	return nil
}

// load hands jobs in and asks for their states until ctx ends.
func (s *system) load(ctx context.Context, n int) {
	c := newClient(s.addresses, s.history, s.settings.Seed+uint64(n)) //nolint:gosec // n is small
	var sent []string
	for i := 1; ctx.Err() == nil; i++ {
		if len(sent) > 0 && c.random.IntN(100) < askShare {
			c.ask(s.ctx, sent[c.random.IntN(len(sent))])
		} else {
			id := fmt.Sprintf("%04x%012x", n+1, i)
			c.submit(s.ctx, id)
			sent = append(sent, id)
		}
		time.Sleep(clientPause)
	}
}

// inject carries the plan out and returns when its last fault is over.
func (s *system) inject(plan []Fault) {
	began := time.Now()
	var running sync.WaitGroup
	for _, f := range plan {
		time.Sleep(time.Until(began.Add(f.At)))
		running.Go(func() { s.apply(f) })
	}
	running.Wait()
	for _, p := range s.processes {
		p.signal(syscall.SIGCONT)
	}
	for _, link := range append(s.stores, s.links...) {
		link.Set(Link{})
	}
	s.store.Down.Store(false)
}

// apply injects one fault and ends it.
func (s *system) apply(f Fault) {
	p := s.processes[f.Target%len(s.processes)]
	switch f.Kind {
	case KindKill:
		p.signal(syscall.SIGKILL)
	case KindTerm:
		p.signal(syscall.SIGTERM)
	case KindPause:
		p.signal(syscall.SIGSTOP)
		time.Sleep(f.For)
		p.signal(syscall.SIGCONT)
	case KindReload:
		p.signal(syscall.SIGHUP)
	case KindPowerLoss:
		for _, each := range s.processes {
			each.signal(syscall.SIGKILL)
		}
	case KindStoreLink:
		s.disturb(s.stores[f.Target], f)
	case KindStoreReset:
		s.stores[f.Target].Reset()
	case KindWorkerLink:
		s.disturb(s.link(f.Target), f)
	case KindWorkerReset:
		s.link(f.Target).Reset()
	case KindStoreDown:
		s.store.Down.Store(true)
		time.Sleep(f.For)
		s.store.Down.Store(false)
	case KindAnswersLost:
		s.store.LoseAnswers.Add(3)
	case KindHistoryGone:
		s.store.Forget()
	case KindWorkerCrash:
		s.crash(f.Target)
	case KindConfigure:
		s.mu.Lock()
		defer s.mu.Unlock()
		if err := s.configure(); err != nil {
			s.history.breach("soak: configure: %v", err)
		}
	}
}

func (s *system) disturb(p *Proxy, f Fault) {
	p.Set(f.Link)
	time.Sleep(f.For)
	p.Set(Link{})
	if f.Link.DropRequests || f.Link.DropAnswers {
		// What was swallowed leaves the streams damaged.
		p.Reset()
	}
}

func (s *system) link(i int) *Proxy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.links[i]
}

func (s *system) crash(i int) {
	s.mu.Lock()
	w := s.workers[i]
	s.mu.Unlock()
	w.Crash()
	if err := s.startWorker(i); err != nil {
		s.history.breach("soak: start a worker: %v", err)
	}
}

// settle waits until everything that was accepted is done, and cancels what lasts.
func (s *system) settle() {
	c := newClient(s.addresses, s.history, s.settings.Seed)
	until := time.Now().Add(settleTime)
	open := func(k call) bool {
		return !k.cancelled && (k.lasting && k.shown != "running" || !k.lasting && k.shown != "completed")
	}
	for time.Now().Before(until) {
		ids := s.history.ids(open)
		if len(ids) == 0 {
			break
		}
		for _, id := range ids {
			c.ask(s.ctx, id)
		}
		time.Sleep(settlePoll)
	}
	s.endLasting(c, until)
}

// endLasting checks that jobs that last are at work, and that they end once they are cancelled.
func (s *system) endLasting(c *client, until time.Time) {
	for _, id := range s.history.ids(func(k call) bool { return k.lasting }) {
		for s.history.atWork(id) < lastingTasks {
			if time.Now().After(until) {
				s.history.breach("lost: job %s that lasts has %d of %d tasks at work", id, s.history.atWork(id), lastingTasks)
				break
			}
			time.Sleep(settlePoll)
		}
		c.cancel(s.ctx, id)
		for stopBy := time.Now().Add(stopGrace); s.history.atWork(id) > 0; time.Sleep(settlePoll) {
			if time.Now().After(stopBy) {
				s.history.breach("unasked: job %s runs on %s after its end was acknowledged", id, stopGrace)
				break
			}
		}
	}
}

func (s *system) count(r *Report) {
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	for _, c := range s.history.calls {
		switch {
		case !c.accepted.IsZero():
			r.Accepted++
		case !c.refused.IsZero():
			r.Refused++
		default:
			r.Unknown++
		}
	}
}
