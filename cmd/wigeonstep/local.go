package main

import (
	"context"
	"errors"
	"fmt"
	"net"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep/platform"
	"github.com/wigeonstep/wigeonstep/wigeondaemon"
)

const (
	// localPartitions is the number of partitions of a stand-in's topics.
	localPartitions = 6
	localHost       = "127.0.0.1"
)

// localNode is a node on the loopback address.
type localNode struct {
	daemon *wigeondaemon.Daemon
	// address is where it serves clients.
	address string
	// peer is where it serves other processes and operators.
	peer string
}

// localVM is the VM of a local node and what it reaches.
type localVM struct {
	name, store, cloud string
	// cores and linkMbps are the size of the VM; 0 means that it is not known.
	cores, linkMbps float64
}

// startLocal runs a node in this process until ctx ends, on ports that the system chooses. It ends like a process that
// is killed.
func startLocal(ctx context.Context, vm localVM, logger *zap.Logger) (localNode, error) {
	var ports [4]int
	var opened [4]net.Listener
	for i := range ports {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", net.JoinHostPort(localHost, "0"))
		if err != nil {
			return localNode{}, errors.Join(fmt.Errorf("listen: %w", err), closeAll(opened[:i]))
		}
		address, _ := l.Addr().(*net.TCPAddr)
		opened[i], ports[i] = l, address.Port
	}
	var s platform.Settings
	s.NodeName, s.IP = vm.name, localHost
	s.InternalPorts = ports[2:]
	s.Bounds.HoldMaxMS, s.Bounds.GraceS = 10_000, 6
	s.Store.Address, s.Store.Parts, s.Store.TTLMinMS = vm.store, localPartitions, 1000
	s.Cloud.Address = vm.cloud
	s.Limits.Cores, s.Limits.LinkMbps = vm.cores, vm.linkMbps
	set := metrics.NewSet()
	config, err := nodeConfig(s, logger, set)
	if err != nil {
		return localNode{}, errors.Join(err, closeAll(opened[:]))
	}
	daemon := wigeondaemon.New(config)
	listeners := nodeListeners{clients: opened[0], ready: opened[1], peers: opened[2], metrics: opened[3]}
	serveNode(ctx, listeners, logger, daemon, &platform.Frontend{Jobs: daemon}, set)
	go daemon.Run(ctx)
	return localNode{daemon: daemon, address: opened[0].Addr().String(), peer: s.PeerAddress()}, nil
}
