// Package wigeonsoak is a soak test with fault injection. It runs the wigeonstep binary as several processes, injects the
// faults of a plan that is generated from a seed, and checks the guarantees to clients against what clients and workers
// observe.
package wigeonsoak

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/wigeonstep/wigeonstep/platform/wigeonstandin"
)

const (
	partitions = 6
	service    = "orders"
	// startupTimeout bounds the time until all processes serve requests.
	startupTimeout = 15 * time.Second
	// completionTimeout bounds the time after the last fault within which every accepted job reaches its expected state.
	completionTimeout = 30 * time.Second
	pollInterval      = 250 * time.Millisecond
	// clientCount clients send requests concurrently. Each waits clientInterval after a request.
	clientCount    = 3
	clientInterval = 150 * time.Millisecond
	// connectedInterval is the time between two requests of all the clients with a connection of their own together, one
	// client for each process. connectedQueryPercent is their share of state queries.
	connectedInterval     = 40 * time.Millisecond
	connectedQueryPercent = 75
	// startupTimePerProcess lengthens startupTimeout, because many processes start on one machine.
	startupTimePerProcess = 300 * time.Millisecond
	// entryTTL is the time after which the store removes the entry of a worker that does not renew it.
	entryTTL = 1500 * time.Millisecond
	// addedPathPrefix selects a queue that exists in every other version of the configuration.
	addedPathPrefix = "/added/"
)

// Settings configures one soak.
type Settings struct {
	// Binary is the path of the wigeonstep executable.
	Binary string
	// Directory receives the settings and log files of the processes.
	Directory string
	// Seed determines the fault plan and the random choices of the clients.
	Seed uint64
	// FaultPeriod is the period over which faults are planned.
	FaultPeriod time.Duration
	// PacketLoss adds the faults of PlanLoss to those of Plan.
	PacketLoss bool
	// Lives adds the faults of PlanLives to those of Plan.
	Lives bool
	// Recuts replaces the faults of Plan by those of PlanRecuts, and lets clients submit jobs whose tasks are slow.
	Recuts bool
	// Crashes replaces all faults by those of PlanCrashes, and lets clients submit jobs that crash their workers.
	Crashes bool
	// StopsOnly replaces all faults by the planned work of PlanStops.
	StopsOnly bool
	// Relays lets owners send their orders to workers through other processes, however few workers there are.
	Relays bool
	// Teams lets clients send the keys of teams, which change with the configuration, and calls that must be refused.
	Teams bool
	// Processes and Workers are the numbers of processes and of workers, at least 2 each.
	Processes, Workers int
}

// Report is the result of a soak.
type Report struct {
	Plan []Fault
	// Violations describes each violated guarantee, and each operation of the soak itself that failed.
	Violations []string
	// Exempt describes each case that no owner could have prevented, so that it violates no guarantee.
	Exempt []string
	// Accepted, Refused and Unknown count the submitted jobs by the outcome that their client knows.
	Accepted, Refused, Unknown int
	// Cut counts the requests whose connection ended without an answer, allowed ones included.
	Cut int
}

// system holds the processes, workers and stand-ins of one soak.
type system struct {
	settings Settings
	ctx      context.Context
	history  *history
	store    *wigeonstandin.Store
	machines *wigeonstandin.MachineService
	// teams is nil in a soak without teams.
	teams     *teams
	processes []*process
	// storeLinks holds the proxy between each process and the store, by the index of the process.
	storeLinks []*Proxy
	// clientAddresses holds the address at which each process serves clients.
	clientAddresses []string

	mu      sync.Mutex
	workers []*wigeonstandin.Worker
	// workerLinks holds the proxy in front of each worker, by the index of the worker.
	workerLinks []*Proxy
	// restarting is set, by the index of the worker, while a worker is down and will restart under its ID.
	restarting []bool
	// startedWorkers counts the workers started so far; it makes worker IDs unique.
	startedWorkers int
	// configurationVersion is the version of the configuration that was stored last.
	configurationVersion int
}

// Run runs a soak. It returns an error if the system does not start; violated guarantees are in the report.
func Run(ctx context.Context, settings Settings) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &system{settings: settings, ctx: ctx, history: newHistory()}
	s.history.workerMilliCPU = settings.workerMilliCPU()
	if settings.Teams {
		s.teams = &teams{}
	}
	eventLog, err := os.Create(filepath.Join(settings.Directory, "events.log"))
	if err != nil {
		return Report{}, fmt.Errorf("create the event log: %w", err)
	}
	buffered := bufio.NewWriter(eventLog)
	s.history.log = buffered
	defer func() {
		s.history.stopLog()
		_ = buffered.Flush()
		_ = eventLog.Close()
	}()
	defer func() {
		for _, p := range s.processes {
			p.stop()
		}
	}()
	if err := s.start(); err != nil {
		return Report{}, err
	}
	report := Report{Plan: settings.plan()}
	loadCtx, stopLoad := context.WithCancel(ctx)
	var load sync.WaitGroup
	if settings.Teams {
		load.Go(func() { s.probeKeys(loadCtx, s.newClient(s.clientAddresses, settings.Seed)) })
	}
	for i := range clientCount {
		load.Go(func() {
			c := s.newClient(s.clientAddresses, settings.Seed+uint64(i)) //nolint:gosec // i is small
			if settings.Crashes {
				c.crashingPercent = crashingPercent
			}
			if settings.Recuts {
				c.longRunningPercent = recutsLongRunningPercent
			}
			s.sendLoad(loadCtx, i, c, clientInterval)
		})
	}
	for i, address := range s.clientAddresses {
		c := s.newClient(s.clientAddresses, settings.Seed+uint64(clientCount+i)) //nolint:gosec // i is small
		c.connection = &connection{address: address, history: s.history}
		c.stateQueryPercent, c.longRunningPercent = connectedQueryPercent, 0
		load.Go(func() {
			defer c.connection.close()
			s.sendLoad(loadCtx, clientCount+i, c, connectedInterval*time.Duration(len(s.clientAddresses)))
		})
	}
	s.injectFaults(report.Plan)
	stopLoad()
	load.Wait()
	s.awaitExpectedStates()
	s.checkLostRuns()
	report.Violations, report.Exempt = splitExempt(s.history.check())
	s.countJobs(&report)
	return report, nil
}

// newClient returns a client that sends the keys of the teams.
func (s *system) newClient(addresses []string, seed uint64) *client {
	c := newClient(addresses, s.history, seed)
	c.teams = s.teams
	if s.settings.Recuts {
		c.slowPercent = slowPercent
	}
	return c
}

// plan returns the faults of the soak, sorted by start.
func (s Settings) plan() []Fault {
	switch {
	case s.StopsOnly:
		return PlanStops(s.Seed, s.FaultPeriod, s.Processes)
	case s.Crashes:
		return PlanCrashes(s.Seed, s.FaultPeriod, s.Processes, s.Workers)
	}
	var faults []Fault
	if !s.Recuts {
		faults = Plan(s.Seed, s.FaultPeriod, s.Processes, s.Workers)
	}
	if s.PacketLoss {
		faults = append(faults, PlanLoss(s.Seed, s.FaultPeriod, s.Processes, s.Workers)...)
	}
	if s.Lives {
		faults = append(faults, PlanLives(s.Seed, s.FaultPeriod, s.Processes, s.Workers)...)
	}
	if s.Recuts {
		faults = append(faults, PlanRecuts(s.Seed, s.FaultPeriod, s.Processes, s.Workers)...)
	}
	return sortPlan(faults)
}

func (s *system) start() error {
	var err error
	if s.store, err = wigeonstandin.NewStore(s.ctx, partitions); err != nil {
		return err
	}
	s.workers = make([]*wigeonstandin.Worker, s.settings.Workers)
	s.workerLinks, s.restarting = make([]*Proxy, s.settings.Workers), make([]bool, s.settings.Workers)
	var machines []*wigeonstandin.Machine
	for i := range s.settings.Workers {
		if err := s.startWorker(i); err != nil {
			return err
		}
		machines = append(machines, &wigeonstandin.Machine{ID: fmt.Sprintf("m-%d", i), Pool: service, Worker: s.workers[i].ID})
	}
	machineService, err := wigeonstandin.NewMachineService(s.ctx, machines...)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.machines = machineService
	s.mu.Unlock()
	if err := s.storeConfiguration(); err != nil {
		return err
	}
	for i := range s.settings.Processes {
		link, err := NewProxy(s.ctx, loopbackIP(s.settings.Seed, i), s.store.Address())
		if err != nil {
			return err
		}
		var arguments []string
		if s.settings.Relays {
			arguments = []string{"-relayed-workers", "1"}
		}
		p, err := newProcess(s.settings.Binary, s.settings.Directory, fmt.Sprintf("n-%d", i), loopbackIP(s.settings.Seed, i), link.Address(), machineService.Address(), arguments, s.settings.maxLease(), s.history)
		if err != nil {
			return err
		}
		s.storeLinks, s.processes, s.clientAddresses = append(s.storeLinks, link), append(s.processes, p), append(s.clientAddresses, p.clientAddress)
		go p.supervise()
	}
	return s.awaitService()
}

// startWorker starts a worker with a new ID behind a new proxy and stores both at index i.
func (s *system) startWorker(i int) error {
	link, err := NewProxy(s.ctx, loopbackIP(s.settings.Seed, i), "")
	if err != nil {
		return err
	}
	link.AwaitTarget(s.settings.Lives || s.settings.Recuts)
	w, err := s.startWorkerProcess(i, s.newWorkerID(i), link, restarted{})
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers[i], s.workerLinks[i] = w, link
	return nil
}

func (s *system) newWorkerID(i int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startedWorkers++
	return fmt.Sprintf("i-%d-%d", i, s.startedWorkers)
}

// startWorkerProcess starts worker i with the given ID, which registers the address of the link. From then on, the link
// forwards new connections to it.
func (s *system) startWorkerProcess(i int, id string, link *Proxy, r restarted) (*wigeonstandin.Worker, error) {
	return wigeonstandin.StartWorker(s.ctx, s.store, wigeonstandin.WorkerSettings{
		Former: r.former, RegisterDelay: r.registerDelay, ClockRate: s.clockRate(i), MaxLease: s.settings.maxLease(), MilliCPU: s.settings.workerMilliCPU(),
		ID: id, Service: service, Rack: fmt.Sprintf("r%d", i), OnEvent: s.history.observe,
		OnCrash: func() { s.replaceWorker(i) },
		RegisteredAddress: func(address string) (string, error) {
			link.SetTarget(address)
			return link.Address(), nil
		},
	})
}

// storeConfiguration stores the next version of the configuration. Versions with an odd number have one more queue.
func (s *system) storeConfiguration() error {
	s.configurationVersion++
	if s.teams != nil {
		return s.teams.store(s.store, s.configurationVersion)
	}
	if s.configurationVersion%2 == 0 {
		return s.store.PutQueue(s.configurationVersion, service, jobHost, jobPathPrefix)
	}
	return s.store.PutQueue(s.configurationVersion, service, jobHost, jobPathPrefix, addedPathPrefix)
}

// awaitService waits until every process serves requests, that is, answers a query for an unknown job with status 410.
func (s *system) awaitService() error {
	timeout := startupTimeout + time.Duration(len(s.processes))*startupTimePerProcess
	deadline := time.Now().Add(timeout)
	for _, address := range s.clientAddresses {
		c := s.newClient([]string{address}, s.settings.Seed)
		for {
			if status, _ := c.send(s.ctx, "GET", fmt.Sprintf("%016x", 0), nil); status == 410 {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("process at %s did not serve requests within %s of the start; see its log", address, timeout)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// sendLoad submits jobs and queries their states until ctx ends, with a pause after each. n is the index of the client.
func (s *system) sendLoad(ctx context.Context, n int, c *client, pause time.Duration) {
	var submitted []string
	for i := 1; ctx.Err() == nil; i++ {
		if len(submitted) > 0 && c.random.IntN(100) < c.stateQueryPercent {
			c.queryState(s.ctx, submitted[c.random.IntN(len(submitted))])
		} else {
			id := fmt.Sprintf("%04x%012x", n+1, i)
			c.submit(s.ctx, id)
			submitted = append(submitted, id)
		}
		time.Sleep(pause)
	}
}

// awaitExpectedStates queries accepted jobs until every ordinary job is reported as completed and every long-running job
// as running, for at most completionTimeout. It then cancels the long-running jobs.
func (s *system) awaitExpectedStates() {
	c := s.newClient(s.clientAddresses, s.settings.Seed)
	completionDeadline := time.Now().Add(s.settings.completionTimeout())
	pending := func(j clientJob) bool {
		return !j.cancelled && j.reportedState != j.expectedState() && j.reportedState != stateFailed
	}
	for time.Now().Before(completionDeadline) {
		ids := s.history.acceptedJobs(pending)
		if len(ids) == 0 {
			break
		}
		for _, id := range ids {
			c.queryState(s.ctx, id)
		}
		time.Sleep(pollInterval)
	}
	s.cancelLongRunning(c, completionDeadline)
}

// cancelLongRunning checks that all tasks of each accepted long-running job run by completionDeadline, cancels the job,
// and checks that its tasks end within stopGrace of the acknowledgement.
func (s *system) cancelLongRunning(c *client, completionDeadline time.Time) {
	for _, id := range s.history.acceptedJobs(func(j clientJob) bool { return j.longRunning && j.reportedState != stateFailed }) {
		for s.history.activeRuns(id) < longRunningTasks {
			if time.Now().After(completionDeadline) {
				s.history.recordViolation("lost: long-running job %s has %d of %d tasks running", id, s.history.activeRuns(id), longRunningTasks)
				break
			}
			time.Sleep(pollInterval)
		}
		c.cancel(s.ctx, id)
		for stopDeadline := time.Now().Add(stopGrace); s.history.activeRuns(id) > 0; time.Sleep(pollInterval) {
			if time.Now().After(stopDeadline) {
				s.history.recordViolation("unrequested: job %s still runs %s after its cancellation was acknowledged", id, stopGrace)
				break
			}
		}
	}
}

// countJobs counts the jobs of the history in the report.
func (s *system) countJobs(r *Report) {
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	r.Cut = len(s.history.cutRequests)
	for _, j := range s.history.jobs {
		switch {
		case !j.acceptedAt.IsZero():
			r.Accepted++
		case !j.refusedAt.IsZero():
			r.Refused++
		default:
			r.Unknown++
		}
	}
}
