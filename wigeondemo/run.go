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
	// startTime and settleTime are kept of the length for the start and for jobs in flight at the end.
	startTime  = 4 * time.Second
	settleTime = 6 * time.Second
	// stopTime is kept for the graceful stop of all processes.
	stopTime = 2 * time.Second
	// inForceBound is the users' bound for a change to be in force everywhere.
	inForceBound = 8 * time.Second
	pollInterval = 10 * time.Millisecond
)

// Config configures a run.
type Config struct {
	// Length bounds the run, default 20 s; arrivals that do not fit are left out.
	Length time.Duration
	// Progress gets one line for each step; default none.
	Progress io.Writer
	// Logger gets the logs of the processes; default none.
	Logger *zap.Logger
}

// Run plays the recorded scenarios side by side and returns their results in the order of Deployments.
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
	progress := &progress{out: config.Progress, begin: time.Now()}
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

// progress writes lines with the time since the start.
type progress struct {
	mu    sync.Mutex
	out   io.Writer
	begin time.Time
}

func (p *progress) printf(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.out, "%5.1fs  %s\n", time.Since(p.begin).Seconds(), fmt.Sprintf(format, args...))
}

// runner plays one scenario.
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
	// The processes outlive the callers, so that they can be stopped gracefully at the end.
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	processes := &errgroup.Group{}
	if err := r.fleet.startProcesses(running, processes); err != nil {
		return nil, err
	}
	r.watcher = newWatcher(r.fleet.workers.Platform.Client("operator"))
	watching, stopWatching := context.WithCancel(context.WithoutCancel(ctx))
	watchers := &errgroup.Group{}
	watchers.Go(func() error { return r.watcher.follower.Run(watching) })
	err := r.play(ctx)
	if err == nil {
		r.progress.printf("%s: stopping all processes gracefully", r.fleet.scenario.Name)
	}
	stop()
	err = errors.Join(err, processes.Wait())
	stopWatching()
	return &r.result, errors.Join(err, watchers.Wait())
}

// play puts the documents in force, sends the arrivals, makes the events happen and collects the result.
func (r *runner) play(ctx context.Context) error {
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
	sampling, stopSampling := context.WithCancel(ctx)
	sampled := &errgroup.Group{}
	sampled.Go(func() error { r.watcher.watch(sampling); return nil })
	length := r.config.Length - startTime - settleTime
	events, eventsCtx := errgroup.WithContext(ctx)
	for _, event := range scenario.Events {
		if at := time.Duration(event.AtMS) * time.Millisecond; at < length {
			events.Go(func() error { return r.happen(eventsCtx, at, event) })
		}
	}
	report, err := r.call(ctx, length)
	err = errors.Join(err, events.Wait())
	r.awaitWaves(ctx)
	stopSampling()
	err = errors.Join(err, sampled.Wait())
	r.watcher.sample(time.Now())
	r.result.collect(report, r.watcher)
	return err
}

// call sends the arrivals that fit into the length.
func (r *runner) call(ctx context.Context, length time.Duration) (*wigeonfake.Report, error) {
	var arrivals []wigeonfake.Arrival
	for _, arrival := range r.fleet.scenario.Arrivals {
		if time.Duration(arrival.OffsetMS)*time.Millisecond < length {
			arrivals = append(arrivals, arrival)
			r.result.usedWorkerSeconds += float64(arrival.RunMS) / 1000 / workerSlots
		}
	}
	r.progress.printf("%s: sending %d requests over %s", r.fleet.scenario.Name, len(arrivals), min(length, traceLength(arrivals)))
	caller := &wigeonfake.Caller{
		Entries: r.fleet.callers,
		Settle:  settleTime,
		Counts: func(context.Context) (wigeonfake.RunCounts, error) {
			return r.fleet.workers.Runs.Counts(), nil
		},
	}
	return caller.Run(ctx, arrivals)
}

// awaitWaves waits until no wave runs, or until the length of the run is over.
func (r *runner) awaitWaves(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, r.progress.begin.Add(r.config.Length-stopTime))
	defer cancel()
	for len(r.watcher.follower.View().Waves) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollInterval):
		}
	}
}

func traceLength(arrivals []wigeonfake.Arrival) time.Duration {
	if len(arrivals) == 0 {
		return 0
	}
	return time.Duration(arrivals[len(arrivals)-1].OffsetMS) * time.Millisecond
}

// awaitFleet waits until the fold knows every VM and every entry process is ready.
func (r *runner) awaitFleet(ctx context.Context) error {
	want := 0
	for _, pool := range r.fleet.scenario.Pools {
		want += pool.Workers
	}
	return r.await(ctx, "the fleet", func(view *wigeonstate.View) bool {
		ready := 0
		for _, s := range view.Sessions {
			if s.Role == wigeonwire.Role_ROLE_ENTRY && s.Ready {
				ready++
			}
		}
		return len(view.VMs) == want && ready == len(r.fleet.scenario.DataCentres)
	})
}

func (r *runner) await(ctx context.Context, what string, condition func(view *wigeonstate.View) bool) error {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	for !condition(r.watcher.follower.View()) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: %w", what, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return nil
}

func (r *runner) happen(ctx context.Context, at time.Duration, event Event) error {
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
	err = r.asOperator(ctx, func(follower *wigeonfollow.Follower) error {
		wave, err = wigeonoperator.StartWave(ctx, follower, pool)
		return err
	})
	return wave, err
}

// apply puts a document in force and returns the time from its verdict until every entry process has it.
func (r *runner) apply(ctx context.Context, file string) (time.Duration, error) {
	content, err := r.fleet.scenario.document(file)
	if err != nil {
		return 0, err
	}
	var verdict wigeonoperator.Verdict
	err = r.asOperator(ctx, func(follower *wigeonfollow.Follower) error {
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
	begin := time.Now()
	if err := r.awaitVersion(ctx, verdict); err != nil {
		return 0, err
	}
	return time.Since(begin), nil
}

// asOperator runs fn with a follower that has an operator's session.
func (r *runner) asOperator(ctx context.Context, fn func(follower *wigeonfollow.Follower) error) error {
	follower := wigeonfollow.New(wigeonfollow.Config{
		Log:     r.fleet.workers.Platform.Client("operator"),
		Session: wigeonfollow.NewSessionID(),
		Open:    &wigeonwire.SessionOpen{Role: wigeonwire.Role_ROLE_OPERATOR},
	})
	running, stop := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- follower.Run(running) }()
	err := follower.WaitReady(ctx)
	if err == nil {
		err = errors.Join(fn(follower), follower.CloseSession(ctx))
	}
	stop()
	return errors.Join(err, <-done)
}
