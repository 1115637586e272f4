package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep/platform"
	"github.com/wigeonstep/wigeonstep/wigeondaemon"
	"github.com/wigeonstep/wigeonstep/wigeongroup"
	"github.com/wigeonstep/wigeonstep/wigeoningress"
	"github.com/wigeonstep/wigeonstep/wigeonpeer"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
	"github.com/wigeonstep/wigeonstep/wigeonshare"
	"github.com/wigeonstep/wigeonstep/wigeontelemetry"
)

const (
	// maxLease bounds the lease of running tasks. It covers a change of owner: the time since the last heartbeat, the
	// expiry of the old owner's group membership, and the first heartbeat of the new owner. It also bounds the time for
	// which a worker that has crashed or is cut off keeps its tasks.
	maxLease = 3200 * time.Millisecond
	// confirmLimit is the time for which an owner renews leases without a confirmation of its ownership by the group,
	// which is in the same store as the log. Together with the lease it covers common outages of the log.
	confirmLimit = 6 * time.Second
	// heartbeatWait bounds the time for which a worker may delay the response to a heartbeat until a run ends. It is so
	// short that a lease outlasts two successive heartbeats without a response.
	heartbeatWait = 800 * time.Millisecond
	// heartbeatPause is the pause between two heartbeats of a worker, so that runs that end close together are reported
	// together.
	heartbeatPause = 20 * time.Millisecond
	// defaultMemberTTL is the TTL of the group membership unless the platform's minimum is higher. A process that stops
	// renewing it loses its shards.
	defaultMemberTTL = 1100 * time.Millisecond
	// minServeFraction is the fraction of the grace period for which a stopping process serves at least. The load balancer
	// sends new connections until two readiness checks, a second apart, have failed.
	minServeFraction = 0.55
	// maxDrainFraction is the fraction of the grace period after which a stopping process exits even with requests in
	// flight.
	maxDrainFraction  = 0.85
	drainPollInterval = 20 * time.Millisecond
	// heapFraction is the fraction of the VM's memory from which on the collector runs more often.
	heapFraction = 0.8
	// retentionFactor multiplies the minimum retention of ended jobs in the settings. The margin covers clock errors and
	// late retries of the submission.
	retentionFactor = 3
)

func newNodeCommand(out, errOut io.Writer) *ffcli.Command {
	flags := newFlagSet("node", errOut)
	var limits wigeoningress.Limits
	limits.AddFlags(flags)
	level := flags.String("log-level", "info", "least level of the lines that are logged")
	relayed := flags.Int("relayed-workers", wigeondaemon.DefaultMinRelayedWorkers, "number of workers of a shard from which other processes send its orders")
	return &ffcli.Command{
		Name:       "node",
		ShortUsage: "wigeonstep node [-log-level LEVEL] [-relayed-workers COUNT] [limits of clients]",
		ShortHelp:  "runs jobs on the users' platform: accepts them, places their tasks and maintains the VMs",
		LongHelp: `Reads the settings file that the platform names in the environment (deploy/system.toml, deploy/settings.json).
Logs one key=value line for each event to the standard output.
SIGTERM stops the process gracefully; the exit status is then 0. SIGHUP checks the settings file again.`,
		FlagSet: flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usagef("node: takes no arguments")
			}
			if *relayed < 1 {
				return usagef("node: -relayed-workers is %d, expected 1 or more", *relayed)
			}
			settings, err := platform.LoadSettings()
			if err != nil {
				return usageError{err}
			}
			logger, err := wigeontelemetry.NewLogger(wigeontelemetry.NewBoundedWriter(out), *level)
			if err != nil {
				return usageError{err}
			}
			wigeontelemetry.RedirectHertz(logger)
			return runNode(ctx, settings, *relayed, limits, logger.With(zap.String("node", settings.NodeName)))
		},
	}
}

// runNode runs the node until ctx ends and then drains it within the grace period. minRelayedWorkers is
// wigeondaemon.Config.MinRelayedWorkers.
func runNode(ctx context.Context, settings platform.Settings, minRelayedWorkers int, limits wigeoningress.Limits, logger *zap.Logger) error {
	// A SIGHUP that came before is ignored. The settings were read only shortly before.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)

	set := metrics.NewSet()
	config, err := nodeConfig(settings, logger, set)
	if err != nil {
		return err
	}
	config.MinRelayedWorkers = minRelayedWorkers
	daemon := wigeondaemon.New(config)
	limitHeap(settings)
	frontend := newFrontend(settings, limits, daemon, logger, set)
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	listeners, err := listenNode(ctx, settings)
	if err != nil {
		return err
	}
	failed := serveNode(runCtx, listeners, logger, daemon, frontend, set)
	go daemon.Run(runCtx)
	logger.Info("started", zap.String("data_centre", settings.DataCentre), zap.String("clients", settings.Listen.Frontend), zap.String("peers", settings.PeerAddress()))
	for {
		select {
		case err := <-failed:
			return err
		case <-hup:
			validateReload(settings, logger)
			continue
		case <-ctx.Done():
		}
		break
	}
	logger.Info("stopping", zap.Int("in_flight", frontend.InFlight()))
	drainNode(runCtx, settings, daemon, frontend)
	logger.Info("stopped", zap.Int("in_flight", frontend.InFlight()))
	return nil
}

// limitHeap makes the garbage collector work harder before the process reaches the memory of its VM.
func limitHeap(settings platform.Settings) {
	if settings.Limits.MemoryMB > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(heapFraction * float64(settings.Limits.MemoryMB) * (1 << 20)))
	}
}

// newFrontend returns the server for the clients of the daemon.
func newFrontend(settings platform.Settings, limits wigeoningress.Limits, daemon *wigeondaemon.Daemon, logger *zap.Logger, set *metrics.Set) *platform.Frontend {
	gate := wigeoningress.NewGate(wigeoningress.Settings{
		MemoryBytes: int64(settings.Limits.MemoryMB) << 20, MaxDescriptors: settings.Limits.MaxFDs, Logger: logger, Metrics: set,
	})
	return &platform.Frontend{Jobs: daemon, Logger: logger, Gate: gate, Limits: limits, ClientLimits: daemon.ClientLimits}
}

func nodeConfig(settings platform.Settings, logger *zap.Logger, set *metrics.Set) (wigeondaemon.Config, error) {
	store, err := platform.NewStoreClient(settings.Store.Address)
	if err != nil {
		return wigeondaemon.Config{}, err
	}
	workers, err := platform.NewWorkerClient()
	if err != nil {
		return wigeondaemon.Config{}, err
	}
	machines, err := platform.NewMachineClient(settings.MachineService.Address, settings.NodeName)
	if err != nil {
		return wigeondaemon.Config{}, err
	}
	clock := &wigeondaemon.Clock{}
	rate := wigeongroup.TaskRateOf(settings.Limits.Cores, settings.Limits.LinkMbps)
	c := wigeondaemon.Config{
		Logger:          logger,
		Jobs:            store.Jobs(),
		Registry:        store.Registry(settings.Store.Partitions),
		Group:           store,
		Operator:        store.Operator(),
		Workers:         store.Workers(),
		Decoder:         platform.Decoder{},
		Orders:          workers,
		Machines:        machines,
		Waves:           store,
		Peers:           &wigeonpeer.Client{DialTimeout: 300 * time.Millisecond},
		Metrics:         wigeondaemon.NewMetrics(set),
		Member:          wigeongroup.MemberName(settings.NodeName, time.Now().UnixNano(), settings.PeerAddress(), rate),
		Rate:            rate,
		Partitions:      settings.Store.Partitions,
		MaxRecordBytes:  settings.Store.RecordBytes,
		MaxAppendBytes:  settings.Store.AppendBytes,
		MachineCallRate: settings.MachineService.ChangesPerSecond,
		Retention:       retentionFactor * settings.JobRetention(),
		MemberTTL:       max(defaultMemberTTL, settings.MinMemberTTL()),
		Shard: wigeonshard.Settings{
			Lease:          min(maxLease, settings.MaxLease()),
			MaxLease:       settings.MaxLease(),
			HeartbeatWait:  heartbeatWait,
			HeartbeatPause: heartbeatPause,
			ConfirmLimit:   confirmLimit,
			Address:        settings.PeerAddress(),
			RegisterJobs:   true,
			RateWindow:     rateWindow(&settings),
		},
		RequireCredentials: settings.RequiresCredentials(),
		RevokeAfter:        settings.RevokeAfter(),
		Now:                clock.Now,
	}
	if settings.AdviceAddress != "" {
		if c.Advisor, err = platform.NewAdvisor(settings.AdviceAddress); err != nil {
			return wigeondaemon.Config{}, err
		}
	}
	return c, nil
}

// rateWindow returns the window over which the jobs of a team are counted; none if the settings have no bounds of rates.
func rateWindow(settings *platform.Settings) wigeonshare.Window {
	return wigeonshare.Window{
		Length:  time.Duration(settings.Bounds.QuotaWindowS * float64(time.Second)),
		Overage: settings.Bounds.QuotaOverage,
		Slack:   settings.Bounds.QuotaSlack,
	}
}

// nodeListeners are the listeners of a node for clients, readiness checks, peers and metrics.
type nodeListeners struct {
	clients, ready, peers, metrics net.Listener
}

// listenNode opens the listeners at the addresses in the settings, or none if one of them fails.
func listenNode(ctx context.Context, settings platform.Settings) (nodeListeners, error) {
	var opened []net.Listener
	for _, address := range []string{settings.Listen.Frontend, settings.Listen.Ready, settings.PeerAddress(), settings.MetricsAddress()} {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		if err != nil {
			return nodeListeners{}, errors.Join(fmt.Errorf("listen on %s: %w", address, err), closeListeners(opened))
		}
		opened = append(opened, l)
	}
	return nodeListeners{clients: opened[0], ready: opened[1], peers: opened[2], metrics: opened[3]}, nil
}

// serveNode serves the listeners until ctx ends. The channel receives the result of each server that stops.
func serveNode(ctx context.Context, listeners nodeListeners, logger *zap.Logger, daemon *wigeondaemon.Daemon, frontend *platform.Frontend, set *metrics.Set) <-chan error {
	failed := make(chan error, 4)
	go func() { failed <- frontend.Serve(ctx, listeners.clients) }()
	go func() { failed <- frontend.ServeReady(ctx, listeners.ready) }()
	peers := wigeonpeer.NewServer(listeners.peers, daemon, logger)
	go func() { failed <- peers.Serve() }()
	context.AfterFunc(ctx, func() { _ = peers.Close() })
	admin := &wigeontelemetry.Admin{Metrics: set, Ready: daemon.Ready}
	bounded := frontend.Gate.Listen(listeners.metrics, wigeoningress.ListenerSettings{Limits: wigeoningress.CheckLimits()})
	go func() { failed <- admin.Serve(ctx, platform.RetryingListener{Listener: bounded}) }()
	return failed
}

func closeListeners(listeners []net.Listener) error {
	var errs []error
	for _, l := range listeners {
		errs = append(errs, l.Close())
	}
	return errors.Join(errs...)
}

// validateReload checks the settings file again and logs the result. The running process keeps its settings.
func validateReload(old platform.Settings, logger *zap.Logger) {
	settings, err := platform.LoadSettings()
	if err != nil {
		logger.Warn("reload_refused", zap.Error(err))
		return
	}
	logger.Info("reloaded", zap.Bool("same_addresses", settings.Listen == old.Listen))
}

// drainNode drops the shards at once and keeps serving until the load balancer sends no new connections and no request
// is in flight, bounded by the grace period.
func drainNode(ctx context.Context, settings platform.Settings, daemon *wigeondaemon.Daemon, frontend *platform.Frontend) {
	began := time.Now()
	grace := float64(settings.Grace())
	frontend.CloseConnections()
	leave, cancel := context.WithTimeout(ctx, time.Second)
	daemon.Leave(leave)
	cancel()
	for time.Since(began) < time.Duration(grace*maxDrainFraction) {
		if time.Since(began) > time.Duration(grace*minServeFraction) && frontend.InFlight() == 0 {
			return
		}
		time.Sleep(drainPollInterval)
	}
}
