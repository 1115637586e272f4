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

// applyInterval is the interval at which the pools are updated from the newest view.
const applyInterval = 20 * time.Millisecond

// Process is one entry process. It implements PeerHandler and wigeoncaller.Handler.
type Process struct {
	config         Config
	server         *wigeoncaller.Server
	keyTable       *wigeononce.Table
	jobs           *jobRunner
	requestMetrics requestMetrics
	retries        *metrics.Counter
	peerDemand     demandReports
	connections    *connectionRecorder
	// lastPlannerReport is the time of the last report to the planners. Only the goroutine of runLoops uses it.
	lastPlannerReport time.Time
	// refusalCounts counts the refusals that no decision on the log covers yet.
	refusalCounts refusalCounts

	pools atomic.Pointer[map[wigeonstep.PoolName]*pool]
	// applyMu guards appliedView, localOnly and splitSessions, and serializes updates of the pools.
	applyMu     sync.Mutex
	appliedView *wigeonstate.View
	localOnly   bool
	// splitSessions are the sessions that shared the slots at the last split, the own one first.
	splitSessions []wigeonstep.SessionID

	ready atomic.Bool
	// caughtUp is set once the process has read the log to the end that it had at the start.
	caughtUp atomic.Bool
	// peerInFlight counts the forwarded requests of other entry processes in flight.
	peerInFlight atomic.Int64
	// reportsInFlight holds the addresses of the peers to which a demand report is being sent.
	reportsInFlight sync.Map
	// background counts the goroutines that Run waits for before it stops the follower.
	background sync.WaitGroup
	// lifetime ends when the shutdown no longer waits for requests and jobs. Its end cancels the remaining proposals and
	// job calls.
	lifetime    context.Context //nolint:containedctx // proposals outlive the request that made them
	endLifetime context.CancelFunc
}

// New returns a Process. Call Run to start it.
func New(config Config) (*Process, error) {
	if err := config.checkAndSetDefaults(); err != nil {
		return nil, err
	}
	connections := &connectionRecorder{Backend: config.Backend}
	config.Backend = connections
	p := &Process{config: config, connections: connections, peerDemand: demandReports{reports: map[wigeonstep.SessionID]*peerReport{}}}
	p.lifetime, p.endLifetime = context.WithCancel(context.Background())
	p.pools.Store(&map[wigeonstep.PoolName]*pool{})
	p.requestMetrics.set = config.Metrics
	p.retries = config.Metrics.GetOrCreateCounter("wigeonstep_retries_total")
	p.jobs = newJobRunner(p)
	p.keyTable = wigeononce.NewTable(wigeononce.Config{
		Limits:   wigeononce.Limits{AnswerTTL: config.AnswerTTL, MaxAnswerBytes: config.MaxAnswerBytes},
		Follower: config.Follower, Runner: keyedRunner{p}, Peers: keyedPeers{p}, RecordedAnswer: recordedJobResponse, AppliedOffset: p.peerDemand.appliedOffset, Now: config.Now,
	})
	server, err := wigeoncaller.New(wigeoncaller.Config{Handler: p, Logger: config.Logger, MaxBody: config.MaxBody, Now: config.Now})
	if err != nil {
		return nil, fmt.Errorf("caller server: %w", err)
	}
	p.server = server
	return p, nil
}

// Ready reports whether the process is ready for requests. It is false again once a stop begins.
func (p *Process) Ready() bool { return p.ready.Load() }

// Run serves requests until ctx ends and then stops gracefully. It returns nil after a graceful stop that cut off no
// request, and an error when the follower or the caller server stops before ctx ends.
func (p *Process) Run(ctx context.Context) error {
	defer p.endLifetime()
	followCtx, stopFollowing := context.WithCancel(context.Background())
	defer stopFollowing()
	failed := make(chan error, 2)
	var components sync.WaitGroup
	components.Go(func() { failed <- wrapError("follow the log", p.config.Follower.Run(followCtx)) })
	acceptCtx, stopAccepting := context.WithCancel(context.Background())
	defer stopAccepting()
	components.Go(func() { failed <- wrapError("serve callers", p.server.Serve(acceptCtx, p.config.Listener)) })
	loopCtx, stopLoops := context.WithCancel(context.Background())
	defer stopLoops()
	p.background.Go(func() { p.runLoops(loopCtx) })
	readyCtx, cancelReady := context.WithCancel(ctx)
	defer cancelReady()
	p.background.Go(func() { p.becomeReady(readyCtx) })

	var err error
	select {
	case <-ctx.Done():
		err = p.stop(stopAccepting, stopLoops)
	case err = <-failed:
		if err == nil {
			err = errors.New("the follower or the caller server stopped before the entry process")
		}
		p.ready.Store(false)
		stopAccepting()
		stopLoops()
	}
	p.endLifetime()
	cancelReady()
	p.background.Wait()
	stopFollowing()
	components.Wait()
	return err
}

func wrapError(step string, err error) error {
	if err == nil || errors.Is(err, context.Canceled) {
		return nil
	}
	return fmt.Errorf("%s: %w", step, err)
}

// becomeReady waits until the log has been read and then announces the process as ready.
func (p *Process) becomeReady(ctx context.Context) {
	if err := p.config.Follower.WaitReady(ctx); err != nil {
		if ctx.Err() == nil {
			p.config.Logger.Error("reading the log failed; the entry process does not become ready", zap.Error(err))
		}
		return
	}
	p.applyView()
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

// runLoops applies views, expires queued requests, reports demand, runs jobs and records decisions until ctx ends.
func (p *Process) runLoops(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { p.jobs.pollUntilDone(ctx) })
	loops.Go(func() { p.recordDecisions(ctx) })
	defer loops.Wait()
	apply := time.NewTicker(applyInterval)
	defer apply.Stop()
	report := time.NewTicker(p.config.ReportInterval)
	defer report.Stop()
	plan := time.NewTicker(minPlannerReportInterval / 2)
	defer plan.Stop()
	p.applyView()
	for {
		select {
		case <-ctx.Done():
			return
		case <-apply.C:
			p.applyView()
			for _, pl := range *p.pools.Load() {
				pl.expireWaits()
			}
		case <-report.C:
			p.reportDemandToPeers(ctx)
		case <-plan.C:
			p.reportToPlanners(ctx)
		}
	}
}

// stop shuts the process down gracefully. It announces the process as not ready, accepts requests during DrainDelay,
// waits up to StopTimeout for requests and started jobs, and closes the session.
func (p *Process) stop(stopAccepting, stopLoops context.CancelFunc) error {
	begin := p.config.Now()
	p.applyMu.Lock()
	p.ready.Store(false)
	p.keyTable.BeginShutdown()
	p.config.Follower.SetReady(false, true)
	p.applyMu.Unlock()
	p.server.DisableKeepAlives()
	p.config.Logger.Info("stopping", zap.Duration("drain_delay", p.config.DrainDelay))
	sleep(context.Background(), p.config.DrainDelay)
	stopAccepting()
	ctx, cancel := context.WithTimeout(context.Background(), p.config.StopTimeout)
	defer cancel()
	err := p.server.Drain(ctx)
	for err == nil && p.peerInFlight.Load()+int64(p.jobs.startedJobs())+int64(p.keyTable.PendingRequests()) > 0 {
		if !sleep(ctx, 5*time.Millisecond) {
			err = fmt.Errorf("%d forwarded requests, %d jobs and %d requests with a key are still in flight: %w",
				p.peerInFlight.Load(), p.jobs.startedJobs(), p.keyTable.PendingRequests(), ctx.Err())
		}
	}
	stopLoops()
	closeCtx, cancelClose := context.WithTimeout(context.Background(), recordTimeout)
	defer cancelClose()
	if closeErr := p.config.Follower.CloseSession(closeCtx); closeErr != nil {
		// The session expires on its own, and no request depends on its clean close.
		p.config.Logger.Warn("closing the session failed; it will expire", zap.Error(closeErr))
	}
	p.config.Logger.Info("stopped", zap.Duration("took", p.config.Now().Sub(begin)), zap.Error(err))
	return err
}
