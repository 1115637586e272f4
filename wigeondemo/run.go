package wigeondemo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonfake"
	"github.com/wigeonstep/wigeonstep/wigeonfollow"
	"github.com/wigeonstep/wigeonstep/wigeonoperator"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// startupTime and jobDrainTime are the parts of Config.Length that are reserved for the start of the fleet and, after
	// the last arrival, for the accepted jobs to run.
	startupTime  = 4 * time.Second
	jobDrainTime = 6 * time.Second
	// shutdownTime is the part of Config.Length that is reserved for the graceful stop of all processes.
	shutdownTime = 2 * time.Second
	// inForceBound is the maximum time that users accept until a document change is in force everywhere.
	inForceBound = 8 * time.Second
	pollInterval = 10 * time.Millisecond
)

// Config configures a run.
type Config struct {
	// Length is the intended duration of the run, default 20 s. Arrivals and events are left out from the offset
	// Length - startupTime - jobDrainTime on. A run whose start or stop is slow takes longer than Length.
	Length time.Duration
	// Progress receives a line for each step of the run. The lines are discarded if it is nil.
	Progress io.Writer
	// Logger receives the logs of the processes. They are discarded if it is nil.
	Logger *zap.Logger
}

// Run replays all recorded scenarios concurrently and returns their results in the order of Deployments.
func Run(ctx context.Context, config Config) ([]*Result, error) {
	if config.Length <= 0 {
		config.Length = 20 * time.Second
	}
	if config.Progress == nil {
		config.Progress = io.Discard
	}
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	progress := &progress{out: config.Progress, startedAt: time.Now()}
	results := make([]*Result, len(Deployments))
	group, ctx := errgroup.WithContext(ctx)
	for i, name := range Deployments {
		group.Go(func() error {
			scenario, err := Load(name)
			if err != nil {
				return err
			}
			r := &runner{config: config, progress: progress, fleet: &fleet{scenario: scenario, logger: config.Logger.With(zap.String("deployment", name))}}
			results[i], err = r.run(ctx)
			if err != nil {
				return fmt.Errorf("deployment %s: %w", name, err)
			}
			return nil
		})
	}
	return results, group.Wait()
}

// progress writes lines that begin with the time since the start.
type progress struct {
	mu        sync.Mutex
	out       io.Writer
	startedAt time.Time
}

func (p *progress) printf(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.out, "%5.1fs  %s\n", time.Since(p.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// runner replays one scenario.
type runner struct {
	config   Config
	progress *progress
	fleet    *fleet
	watcher  *watcher
	result   Result
}

func (r *runner) run(ctx context.Context) (*Result, error) {
	defer r.fleet.workers.Close()
	if err := r.fleet.startWorkers(); err != nil {
		return nil, err
	}
	// The processes run until stop is called, even if ctx is cancelled, so that they can be stopped gracefully.
	processCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	processes := &errgroup.Group{}
	if err := r.fleet.startProcesses(processCtx, processes); err != nil {
		return nil, err
	}
	r.watcher = newWatcher(r.fleet.workers.Platform.Client("operator"))
	followCtx, stopFollowing := context.WithCancel(context.WithoutCancel(ctx))
	followers := &errgroup.Group{}
	followers.Go(func() error { return r.watcher.follower.Run(followCtx) })
	err := r.runScenario(ctx)
	if err == nil {
		r.progress.printf("%s: stopping all processes gracefully", r.fleet.scenario.Name)
	}
	stop()
	err = errors.Join(err, processes.Wait())
	stopFollowing()
	return &r.result, errors.Join(err, followers.Wait())
}

// runScenario puts the documents in force, sends the arrivals, applies the events and collects the result.
func (r *runner) runScenario(ctx context.Context) error {
	scenario := r.fleet.scenario
	r.result.Name = scenario.Name
	if err := r.awaitFleet(ctx); err != nil {
		return err
	}
	for _, file := range scenario.Documents {
		if _, err := r.apply(ctx, file); err != nil {
			return err
		}
	}
	r.progress.printf("%s: %d documents in force, %d workers in %d data centres", scenario.Name, len(scenario.Documents), len(r.watcher.follower.View().VMs), len(scenario.DataCentres))
	sampleCtx, stopSampling := context.WithCancel(ctx)
	samplers := &errgroup.Group{}
	samplers.Go(func() error { r.watcher.sampleUntilDone(sampleCtx); return nil })
	length := r.config.Length - startupTime - jobDrainTime
	events, eventsCtx := errgroup.WithContext(ctx)
	for _, event := range scenario.Events {
		if at := time.Duration(event.AtMS) * time.Millisecond; at < length {
			events.Go(func() error { return r.applyEvent(eventsCtx, at, event) })
		}
	}
	report, err := r.sendArrivals(ctx, length)
	err = errors.Join(err, events.Wait())
	r.awaitWaves(ctx)
	stopSampling()
	err = errors.Join(err, samplers.Wait())
	r.watcher.sample(time.Now())
	r.result.collect(report, r.watcher)
	return err
}

// sendArrivals sends the arrivals whose offset is below the length and returns the report of the callers.
func (r *runner) sendArrivals(ctx context.Context, length time.Duration) (*wigeonfake.Report, error) {
	var arrivals []wigeonfake.Arrival
	for _, arrival := range r.fleet.scenario.Arrivals {
		if time.Duration(arrival.OffsetMS)*time.Millisecond < length {
			arrivals = append(arrivals, arrival)
			r.result.usedWorkerSeconds += float64(arrival.RunMS) / 1000 / workerSlots
		}
	}
	r.progress.printf("%s: sending %d requests over %s", r.fleet.scenario.Name, len(arrivals), min(length, traceLength(arrivals)))
	caller := &wigeonfake.Caller{
		EntryAddresses:      r.fleet.callerAddresses,
		AcceptedJobsTimeout: jobDrainTime,
		Counts: func(context.Context) (wigeonfake.RunCounts, error) {
			return r.fleet.workers.Runs.Counts(), nil
		},
	}
	return caller.Run(ctx, arrivals)
}

// awaitWaves waits until no wave is running or only shutdownTime is left of the length of the run.
func (r *runner) awaitWaves(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, r.progress.startedAt.Add(r.config.Length-shutdownTime))
	defer cancel()
	for len(r.watcher.follower.View().Waves) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollInterval):
		}
	}
}

// traceLength returns the offset of the last arrival.
func traceLength(arrivals []wigeonfake.Arrival) time.Duration {
	if len(arrivals) == 0 {
		return 0
	}
	return time.Duration(arrivals[len(arrivals)-1].OffsetMS) * time.Millisecond
}

// awaitFleet waits until every VM is recorded and every entry process is ready.
func (r *runner) awaitFleet(ctx context.Context) error {
	expectedWorkers := 0
	for _, pool := range r.fleet.scenario.Pools {
		expectedWorkers += pool.Workers
	}
	return r.waitForView(ctx, fmt.Sprintf("%d VMs and %d ready entry processes", expectedWorkers, len(r.fleet.scenario.DataCentres)), func(view *wigeonstate.View) bool {
		ready := 0
		for _, s := range view.Sessions {
			if s.Role == wigeonwire.Role_ROLE_ENTRY && s.Ready {
				ready++
			}
		}
		return len(view.VMs) == expectedWorkers && ready == len(r.fleet.scenario.DataCentres)
	})
}

// waitForView waits until the view of the watcher satisfies the condition. It returns an error that names the awaited
// objects after 15 s.
func (r *runner) waitForView(ctx context.Context, awaited string, condition func(view *wigeonstate.View) bool) error {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	for !condition(r.watcher.follower.View()) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: %w", awaited, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// applyEvent waits for the time of the event and then applies it.
func (r *runner) applyEvent(ctx context.Context, at time.Duration, event Event) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(at):
	}
	switch event.Kind {
	case EventFailVM:
		r.progress.printf("%s: worker %s fails", r.fleet.scenario.Name, event.VM)
		r.fleet.workers.Platform.SetVMUp(event.VM, false)
	case EventWave:
		wave, err := r.startWave(ctx, event.Pool)
		if err != nil {
			return err
		}
		r.progress.printf("%s: maintenance wave %s begins", r.fleet.scenario.Name, wave)
	case EventApply:
		took, err := r.apply(ctx, event.File)
		if err != nil {
			return err
		}
		r.result.ChangeInForce = took
		r.progress.printf("%s: document %s in force at every entry process after %s", r.fleet.scenario.Name, event.File, took.Round(time.Millisecond))
	}
	return nil
}

func (r *runner) startWave(ctx context.Context, pool wigeonstep.PoolName) (wave wigeonstep.WaveID, err error) {
	err = r.withOperatorSession(ctx, func(follower *wigeonfollow.Follower) error {
		wave, err = wigeonoperator.StartWave(ctx, follower, pool)
		return err
	})
	return wave, err
}

// apply puts a document in force and returns the time from the verdict on the change until every entry process has the
// document in force.
func (r *runner) apply(ctx context.Context, file string) (time.Duration, error) {
	content, err := r.fleet.scenario.document(file)
	if err != nil {
		return 0, err
	}
	var verdict wigeonoperator.Verdict
	err = r.withOperatorSession(ctx, func(follower *wigeonfollow.Follower) error {
		verdict, err = wigeonoperator.Apply(ctx, follower, wigeonoperator.Change{
			ID: wigeonstep.ChangeID(wigeonfollow.NewSessionID().String()), File: file, Content: content, Operator: "demo",
		})
		return err
	})
	if err != nil {
		return 0, err
	}
	if !verdict.Accepted {
		return 0, fmt.Errorf("document %s was refused: %s", file, verdict.Reason)
	}
	acceptedAt := time.Now()
	if err := r.awaitVersion(ctx, verdict); err != nil {
		return 0, err
	}
	return time.Since(acceptedAt), nil
}

// withOperatorSession calls fn with a follower that holds a new operator session, and closes the session afterwards.
func (r *runner) withOperatorSession(ctx context.Context, fn func(follower *wigeonfollow.Follower) error) error {
	follower := wigeonfollow.New(wigeonfollow.Config{
		Log:       r.fleet.workers.Platform.Client("operator"),
		Session:   wigeonfollow.NewSessionID(),
		OpenEntry: &wigeonwire.SessionOpen{Role: wigeonwire.Role_ROLE_OPERATOR},
	})
	followCtx, stop := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- follower.Run(followCtx) }()
	err := follower.WaitReady(ctx)
	if err == nil {
		err = errors.Join(fn(follower), follower.CloseSession(ctx))
	}
	stop()
	return errors.Join(err, <-done)
}
