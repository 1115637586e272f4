package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep/platform"
	"github.com/wigeonstep/wigeonstep/wigeondaemon"
	"github.com/wigeonstep/wigeonstep/wigeoningress"
)

const (
	// localPartitions is the number of partitions of the stand-in store's job log.
	localPartitions = 6
	localHost       = "127.0.0.1"
)

// localNode is a node in this process on the loopback address.
type localNode struct {
	daemon *wigeondaemon.Daemon
	// clientAddress is the host:port for clients.
	clientAddress string
	// peerAddress is the host:port for other processes and operators.
	peerAddress string
	metrics     *metrics.Set
}

// localVM describes the VM of a local node and the addresses of the store and the machine service that the node uses.
type localVM struct {
	name, store, machineService string
	// cores and linkMbps are the limits of the VM; 0 means unknown.
	cores, linkMbps float64
	// minRelayedWorkers is wigeondaemon.Config.MinRelayedWorkers.
	minRelayedWorkers int
	// contracts is platform.Settings.Contracts.
	contracts []string
	// revokeAfter is the time without the store after which calls that need a credential are refused; 0 for never.
	revokeAfter time.Duration
}

// startLocalNode runs a node in this process until ctx ends, on free ports. The end of ctx acts like SIGKILL: the node
// does not leave the group.
func startLocalNode(ctx context.Context, vm localVM, logger *zap.Logger) (localNode, error) {
	var ports [4]int
	var opened [4]net.Listener
	for i := range ports {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", net.JoinHostPort(localHost, "0"))
		if err != nil {
			return localNode{}, errors.Join(fmt.Errorf("listen on a free port of %s: %w", localHost, err), closeListeners(opened[:i]))
		}
		address, _ := l.Addr().(*net.TCPAddr)
		opened[i], ports[i] = l, address.Port
	}
	var s platform.Settings
	s.NodeName, s.IP = vm.name, localHost
	s.InternalPorts = ports[2:]
	s.Bounds.MaxLeaseMS, s.Bounds.TerminationGraceS = 10_000, 6
	s.Store.Address, s.Store.Partitions, s.Store.MinMemberTTLMS = vm.store, localPartitions, 1000
	s.MachineService.Address = vm.machineService
	s.Limits.Cores, s.Limits.LinkMbps = vm.cores, vm.linkMbps
	s.Contracts = vm.contracts
	s.Bounds.FailClosed, s.Bounds.RevokeMS = vm.revokeAfter > 0, float64(vm.revokeAfter.Milliseconds())
	set := metrics.NewSet()
	config, err := nodeConfig(s, logger, set)
	if err != nil {
		return localNode{}, errors.Join(err, closeListeners(opened[:]))
	}
	config.MinRelayedWorkers = vm.minRelayedWorkers
	daemon := wigeondaemon.New(config)
	listeners := nodeListeners{clients: opened[0], ready: opened[1], peers: opened[2], metrics: opened[3]}
	serveNode(ctx, listeners, logger, daemon, newFrontend(s, wigeoningress.Limits{}, daemon, logger, set), set)
	go daemon.Run(ctx)
	return localNode{daemon: daemon, clientAddress: opened[0].Addr().String(), peerAddress: s.PeerAddress(), metrics: set}, nil
}
