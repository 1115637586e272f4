package wigeondemo

import (
	"context"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonfake"
	"github.com/wigeonstep/wigeonstep/wigeonprocess"
	"github.com/wigeonstep/wigeonstep/wigeonsettings"
)

const (
	workerSlots       = 8
	workerConnections = 64
	rackSize          = 4
	// wavePeriod puts every VM into one wave, which begins as soon as the VMs are known.
	wavePeriod = 3 * 7 * 24 * time.Hour
	// drainDelay is short, since no load balancer has to notice the stop.
	drainDelay = 50 * time.Millisecond
)

// fleet is a running deployment: stand-ins and real processes.
type fleet struct {
	scenario *Scenario
	workers  wigeonfake.Fleet
	logger   *zap.Logger
	// callers are the addresses of the entry processes for callers, peers those for other processes.
	callers []string
	peers   []string
}

// startWorkers adds the VMs of all pools, spread over the data centres.
func (f *fleet) startWorkers() error {
	for _, pool := range f.scenario.Pools {
		f.workers.Platform.AddPool(pool.Name)
		counts := make(map[wigeonstep.DataCentreName]int)
		for i := range pool.Workers {
			centre := f.scenario.DataCentres[i%len(f.scenario.DataCentres)]
			counts[centre]++
			n := counts[centre]
			_, err := f.workers.Add(wigeonstep.ListedVM{
				ID:         wigeonstep.VMID(fmt.Sprintf("%s-%s-%d", centre, pool.Name, n)),
				DataCentre: centre,
				Rack:       wigeonstep.RackName(fmt.Sprintf("%s-%d", pool.Name, (n-1)/rackSize)),
				Pool:       pool.Name,
				Shape:      f.scenario.shape(),
				Up:         true,
			})
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// startProcesses starts an entry process and a control daemon in each data centre. They end with ctx.
func (f *fleet) startProcesses(ctx context.Context, group *errgroup.Group) error {
	for _, centre := range f.scenario.DataCentres {
		process := wigeonsettings.Process{
			DataCentre:    centre,
			VM:            wigeonstep.VMID("entry-" + string(centre)),
			StopTimeoutMS: 10_000,
			LogRetentionS: 3600,
		}
		ports, err := listenAll(ctx, 3)
		if err != nil {
			return err
		}
		f.callers = append(f.callers, ports[0].Addr().String())
		f.peers = append(f.peers, ports[1].Addr().String())
		platform := f.workers.Platform.Client(string(process.VM))
		entry := wigeonsettings.Entry{Process: process, DrainDelayMS: int(drainDelay.Milliseconds())}
		control := wigeonsettings.Control{
			Process: process, PlanIntervalMS: 200, ListIntervalMS: 200, WaveIntervalS: int(wavePeriod.Seconds()),
		}
		deps := wigeonprocess.Deps{Platform: platform, Logger: f.logger, NoAdmin: true}
		entryDeps, controlDeps := deps, deps
		entryDeps.Callers, entryDeps.Peers = ports[0], ports[1]
		controlDeps.Peers = ports[2]
		group.Go(func() error { return wigeonprocess.RunEntry(ctx, entry, entryDeps) })
		group.Go(func() error { return wigeonprocess.RunControl(ctx, control, controlDeps) })
	}
	return nil
}

func listenAll(ctx context.Context, count int) ([]net.Listener, error) {
	var config net.ListenConfig
	listeners := make([]net.Listener, count)
	for i := range listeners {
		listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		listeners[i] = listener
	}
	return listeners, nil
}
