package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep/platform"
	"github.com/wigeonstep/wigeonstep/wigeondaemon"
	"github.com/wigeonstep/wigeonstep/wigeongroup"
	"github.com/wigeonstep/wigeonstep/wigeonpeer"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
	"github.com/wigeonstep/wigeonstep/wigeontelemetry"
)

const (
	// maxLease bounds the lease of running work. It covers a change of owner: a hold that had just not been renewed, the
	// time after which the group drops the old owner, and the first hold of the new one. A worker that is gone or cut
	// off keeps its tasks no longer than that.
	maxLease = 3200 * time.Millisecond
	// confirmLimit is how long an owner that hears nothing from the log renews leases; with the lease it covers the
	// outages of the log that are common.
	confirmLimit = 6 * time.Second
	// holdWait is how long a worker may wait for an end; a lease covers two renewals that get no answer.
	holdWait = 800 * time.Millisecond
	// holdGap lets ends that come together be reported together.
	holdGap = 20 * time.Millisecond
	// memberTTL is after how long a silent process loses its shards.
	memberTTL = 1100 * time.Millisecond
	// serveAfterTerm is the part of the grace period in which a stopping process still serves open connections; the
	// load balancer needs two missed checks, a second apart, to send no new ones.
	serveAfterTerm = 0.55
	// drainAfterTerm is the part of the grace period after which a stopping process ends in any case.
	drainAfterTerm = 0.85
	drainPoll      = 20 * time.Millisecond
	// retentionFactor times the shortest time for which clients may ask for an ended job is how long it is kept; it
	// covers wrong clocks and late retries of the request that handed it in.
	retentionFactor = 3
)

func newNode(out, errOut io.Writer) *ffcli.Command {
	flags := newFlags("node", errOut)
	level := flags.String("log-level", "info", "least level of the lines that are logged")
	return &ffcli.Command{
		Name:       "node",
		ShortUsage: "wigeonstep node [-log-level LEVEL]",
		ShortHelp:  "runs jobs on the users' platform: accepts them, places their tasks and maintains the VMs",
		LongHelp: `Reads the settings file that the platform names in the environment (deploy/system.toml, deploy/settings.json).
Logs one key=value line for each event to the standard output.
SIGTERM stops the process gracefully; the exit status is then 0. SIGHUP checks the settings file again.`,
		FlagSet: flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usagef("node: takes no arguments")
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
			return runNode(ctx, settings, logger.With(zap.String("node", settings.NodeName)))
		},
	}
}

// runNode serves until ctx ends, then stops within the grace period.
func runNode(ctx context.Context, settings platform.Settings, logger *zap.Logger) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)

	set := metrics.NewSet()
	config, err := nodeConfig(settings, logger, set)
	if err != nil {
		return err
	}
	daemon := wigeondaemon.New(config)
	frontend := &platform.Frontend{Jobs: daemon}
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	listeners, err := listenNode(ctx, settings)
	if err != nil {
		return err
	}
	failed := serveNode(running, listeners, logger, daemon, frontend, set)
	go daemon.Run(running)
	logger.Info("started", zap.String("data_centre", settings.DataCentre), zap.String("clients", settings.Listen.Frontend), zap.String("peers", settings.PeerAddress()))
	for {
		select {
		case err := <-failed:
			return err
		case <-hup:
			checkReload(settings, logger)
			continue
		case <-ctx.Done():
		}
		break
	}
	logger.Info("stopping", zap.Int("in_flight", frontend.InFlight()))
	drainNode(running, settings, daemon, frontend)
	logger.Info("stopped", zap.Int("in_flight", frontend.InFlight()))
	return nil
}

func nodeConfig(settings platform.Settings, logger *zap.Logger, set *metrics.Set) (wigeondaemon.Config, error) {
	store, err := platform.NewStore(settings.Store.Address)
	if err != nil {
		return wigeondaemon.Config{}, err
	}
	workers, err := platform.NewWorkers()
	if err != nil {
		return wigeondaemon.Config{}, err
	}
	machines, err := platform.NewMachines(settings.Cloud.Address, settings.NodeName)
	if err != nil {
		return wigeondaemon.Config{}, err
	}
	rate := wigeongroup.RateOf(settings.Limits.Cores, settings.Limits.LinkMbps)
	c := wigeondaemon.Config{
		Logger:     logger,
		Jobs:       store.Jobs(),
		Group:      store,
		Operator:   store.Operator(),
		Workers:    store.Workers(),
		Decoder:    platform.Decoder{},
		Orders:     workers,
		Machines:   machines,
		Waves:      store,
		Peers:      &wigeonpeer.Client{DialTimeout: 300 * time.Millisecond},
		Metrics:    wigeondaemon.NewMetrics(set),
		Member:     wigeongroup.MemberName(settings.NodeName, time.Now().UnixNano(), rate),
		Rate:       rate,
		Partitions: settings.Store.Parts,
		Retention:  retentionFactor * settings.Retention(),
		MemberTTL:  max(memberTTL, settings.MinMemberTTL()),
		Shard: wigeonshard.Settings{
			Lease:        min(maxLease, settings.MaxLease()),
			HoldWait:     holdWait,
			HoldGap:      holdGap,
			ConfirmLimit: confirmLimit,
			Address:      settings.PeerAddress(),
		},
		Now: wigeondaemon.SystemNow,
	}
	if settings.AdviceAddress != "" {
		if c.Advisor, err = platform.NewAdvisor(settings.AdviceAddress); err != nil {
			return wigeondaemon.Config{}, err
		}
	}
	return c, nil
}

// nodeListeners are the listeners of a node.
type nodeListeners struct {
	clients, ready, peers, metrics net.Listener
}

// listenNode opens the listeners at the addresses of the settings.
func listenNode(ctx context.Context, settings platform.Settings) (nodeListeners, error) {
	var opened []net.Listener
	for _, address := range []string{settings.Listen.Frontend, settings.Listen.Ready, settings.PeerAddress(), settings.MetricsAddress()} {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		if err != nil {
			return nodeListeners{}, errors.Join(fmt.Errorf("listen on %s: %w", address, err), closeAll(opened))
		}
		opened = append(opened, l)
	}
	return nodeListeners{clients: opened[0], ready: opened[1], peers: opened[2], metrics: opened[3]}, nil
}

// serveNode serves the listeners until ctx ends; the channel receives the error of the first one that fails.
func serveNode(ctx context.Context, listeners nodeListeners, logger *zap.Logger, daemon *wigeondaemon.Daemon, frontend *platform.Frontend, set *metrics.Set) <-chan error {
	failed := make(chan error, 4)
	go func() { failed <- frontend.Serve(ctx, listeners.clients) }()
	go func() { failed <- frontend.ServeReady(ctx, listeners.ready) }()
	peers := wigeonpeer.NewServer(listeners.peers, daemon, logger)
	go func() { failed <- peers.Serve() }()
	context.AfterFunc(ctx, func() { _ = peers.Close() })
	admin := &wigeontelemetry.Admin{Metrics: set, Ready: daemon.Ready}
	go func() { failed <- admin.Serve(ctx, listeners.metrics) }()
	return failed
}

func closeAll(listeners []net.Listener) error {
	var errs []error
	for _, l := range listeners {
		errs = append(errs, l.Close())
	}
	return errors.Join(errs...)
}

// checkReload reports whether the settings file still fits; addresses and bounds stay as they were at the start.
func checkReload(old platform.Settings, logger *zap.Logger) {
	settings, err := platform.LoadSettings()
	if err != nil {
		logger.Warn("reload_refused", zap.Error(err))
		return
	}
	logger.Info("reloaded", zap.Bool("same_addresses", settings.Listen == old.Listen))
}

// drainNode gives the shards back at once and serves open connections until the load balancer sends no new ones.
func drainNode(ctx context.Context, settings platform.Settings, daemon *wigeondaemon.Daemon, frontend *platform.Frontend) {
	began := time.Now()
	grace := float64(settings.Grace())
	frontend.Leave()
	leave, cancel := context.WithTimeout(ctx, time.Second)
	daemon.Leave(leave)
	cancel()
	for time.Since(began) < time.Duration(grace*drainAfterTerm) {
		if time.Since(began) > time.Duration(grace*serveAfterTerm) && frontend.InFlight() == 0 {
			return
		}
		time.Sleep(drainPoll)
	}
}
