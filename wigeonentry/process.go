package wigeonentry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeoncaller"
	"github.com/wigeonstep/wigeonstep/wigeononce"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
)

// applyInterval bounds how long a change of the view takes to reach the pools.
const applyInterval = 20 * time.Millisecond

// Process is one traffic process. It implements PeerHandler and wigeoncaller.Handler.
type Process struct {
	config  Config
	server  *wigeoncaller.Server
	once    *wigeononce.Table
	jobs    *jobBook
	meters  meters
	retries *metrics.Counter
	demands demandBook
	reach   *reachRecorder
	// toldPlanners is when the planners were told last; only the goroutine of work uses it.
	toldPlanners time.Time
	// refusals are those that no decision on the log covers yet.
	refusals refusals

	pools atomic.Pointer[map[wigeonstep.PoolName]*pool]
	// applyMu guards applied, localOnly and sharers, and orders the changes of the pools.
	applyMu   sync.Mutex
	applied   *wigeonstate.View
	localOnly bool
	// sharers are the sessions of the last split, this process's own first.
	sharers []wigeonstep.SessionID

	ready    atomic.Bool
	caughtUp atomic.Bool
	// peerInFlight counts requests of other entry processes.
	peerInFlight atomic.Int64
	reporting    sync.Map
	background   sync.WaitGroup
	// lifetime ends when the process has stopped.
	lifetime context.Context //nolint:containedctx // proposals outlive the request that made them
	end      context.CancelFunc
}

// New returns a process that Run starts.
func New(config Config) (*Process, error) {
	if err := config.fill(); err != nil {
		return nil, err
	}
	reach := &reachRecorder{Backend: config.Backend}
	config.Backend = reach
	p := &Process{config: config, reach: reach, demands: demandBook{reports: map[wigeonstep.SessionID]*peerReport{}}}
	p.lifetime, p.end = context.WithCancel(context.Background())
	p.pools.Store(&map[wigeonstep.PoolName]*pool{})
	p.meters.set = config.Metrics
	p.retries = config.Metrics.GetOrCreateCounter("wigeonstep_retries_total")
	p.jobs = newJobBook(p)
	p.once = wigeononce.NewTable(wigeononce.Config{
		Limits:   wigeononce.Limits{AnswersFor: config.AnswersFor, AnswerBytes: config.AnswerBytes},
		Follower: config.Follower, Runner: onceRunner{p}, Peers: oncePeers{p}, Recorded: recordedJob, Applied: p.demands.appliedBy, Now: config.Now,
	})
	server, err := wigeoncaller.New(wigeoncaller.Config{Handler: p, Logger: config.Logger, MaxBody: config.MaxBody, Now: config.Now})
	if err != nil {
		return nil, fmt.Errorf("caller server: %w", err)
	}
	p.server = server
	return p, nil
}

// Ready reports whether the process takes requests; it is false from the begin of a stop on.
func (p *Process) Ready() bool { return p.ready.Load() }

// Run takes requests until ctx ends, then stops gracefully; it returns nil after a graceful stop that cut off no request.
func (p *Process) Run(ctx context.Context) error {
	defer p.end()
	following, stopFollowing := context.WithCancel(context.Background())
	defer stopFollowing()
	failed := make(chan error, 2)
	var parts sync.WaitGroup
	parts.Go(func() { failed <- wrap("follow the log", p.config.Follower.Run(following)) })
	accepting, stopAccepting := context.WithCancel(context.Background())
	defer stopAccepting()
	parts.Go(func() { failed <- wrap("serve callers", p.server.Serve(accepting, p.config.Listener)) })
	working, stopWorking := context.WithCancel(context.Background())
	defer stopWorking()
	p.background.Go(func() { p.work(working) })
	starting, stopStarting := context.WithCancel(ctx)
	defer stopStarting()
	p.background.Go(func() { p.becomeReady(starting) })

	var err error
	select {
	case <-ctx.Done():
		err = p.stop(stopAccepting, stopWorking)
	case err = <-failed:
		if err == nil {
			err = errors.New("a part of the traffic process ended on its own")
		}
		p.ready.Store(false)
		stopAccepting()
		stopWorking()
	}
	p.end()
	stopStarting()
	p.background.Wait()
	stopFollowing()
	parts.Wait()
	return err
}

func wrap(step string, err error) error {
	if err == nil || errors.Is(err, context.Canceled) {
		return nil
	}
	return fmt.Errorf("%s: %w", step, err)
}

func (p *Process) becomeReady(ctx context.Context) {
	if err := p.config.Follower.WaitReady(ctx); err != nil {
		if ctx.Err() == nil {
			p.config.Logger.Error("the process does not become ready", zap.Error(err))
		}
		return
	}
	p.apply()
	p.caughtUp.Store(true)
	p.applyMu.Lock()
	defer p.applyMu.Unlock()
	if ctx.Err() != nil {
		return
	}
	p.config.Follower.SetReady(true, false)
	p.ready.Store(true)
	p.config.Logger.Info("ready", zap.String("data_centre", string(p.config.DataCentre)), zap.Stringer("address", p.config.Listener.Addr()))
}

// work applies views, reports demand, ends waits that are over and takes over jobs until ctx ends.
func (p *Process) work(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { p.jobs.follow(ctx) })
	loops.Go(func() { p.decide(ctx) })
	defer loops.Wait()
	apply := time.NewTicker(applyInterval)
	defer apply.Stop()
	report := time.NewTicker(p.config.ReportInterval)
	defer report.Stop()
	plan := time.NewTicker(minPlannerInterval / 2)
	defer plan.Stop()
	p.apply()
	for {
		select {
		case <-ctx.Done():
			return
		case <-apply.C:
			p.apply()
			for _, pl := range *p.pools.Load() {
				pl.expire()
			}
		case <-report.C:
			p.reportDemand(ctx)
		case <-plan.C:
			p.reportToPlanners(ctx)
		}
	}
}

// stop ends the process without cutting off a request.
func (p *Process) stop(stopAccepting, stopWorking context.CancelFunc) error {
	begin := p.config.Now()
	p.applyMu.Lock()
	p.ready.Store(false)
	p.once.Leave()
	p.config.Follower.SetReady(false, true)
	p.applyMu.Unlock()
	p.server.Leave()
	p.config.Logger.Info("stopping", zap.Duration("drain_delay", p.config.DrainDelay))
	sleep(context.Background(), p.config.DrainDelay)
	stopAccepting()
	ctx, cancel := context.WithTimeout(context.Background(), p.config.StopTimeout)
	defer cancel()
	err := p.server.Drain(ctx)
	for err == nil && p.peerInFlight.Load()+int64(p.jobs.running())+int64(p.once.Waiting()) > 0 {
		if !sleep(ctx, 5*time.Millisecond) {
			err = fmt.Errorf("%d forwarded requests and %d jobs are still in flight: %w", p.peerInFlight.Load(), p.jobs.running(), ctx.Err())
		}
	}
	stopWorking()
	closing, cancelClosing := context.WithTimeout(context.Background(), recordTimeout)
	defer cancelClosing()
	if closeErr := p.config.Follower.CloseSession(closing); closeErr != nil {
		// The session expires on its own; nothing of a caller depends on its clean end.
		p.config.Logger.Warn("the session was not closed", zap.Error(closeErr))
	}
	p.config.Logger.Info("stopped", zap.Duration("took", p.config.Now().Sub(begin)), zap.Error(err))
	return err
}
