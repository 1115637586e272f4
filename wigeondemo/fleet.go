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
	// wavePeriod is much longer than a run, so that no VM is due for maintenance twice.
	wavePeriod = 3 * 7 * 24 * time.Hour
	// drainDelay is short, since there is no load balancer that has to detect that an entry process stops.
	drainDelay = 50 * time.Millisecond
)

// fleet is a running deployment of fake workers and real processes.
type fleet struct {
	scenario *Scenario
	workers  wigeonfake.Fleet
	logger   *zap.Logger
	// callerAddresses are the addresses at which the entry processes accept requests of callers, peerAddresses those at
	// which they accept requests of other processes.
	callerAddresses []string
	peerAddresses   []string
}

// startWorkers starts the workers of all pools. Those of a pool are spread evenly over the data centres.
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

// startProcesses starts an entry process and a control daemon in each data centre. They stop gracefully when ctx is done.
func (f *fleet) startProcesses(ctx context.Context, group *errgroup.Group) error {
	for _, centre := range f.scenario.DataCentres {
		process := wigeonsettings.Process{
			DataCentre:    centre,
			VM:            wigeonstep.VMID("entry-" + string(centre)),
			StopTimeoutMS: 10_000,
			LogRetentionS: 3600,
		}
		listeners, err := listenAll(ctx, 3)
		if err != nil {
			return err
		}
		f.callerAddresses = append(f.callerAddresses, listeners[0].Addr().String())
		f.peerAddresses = append(f.peerAddresses, listeners[1].Addr().String())
		platform := f.workers.Platform.Client(string(process.VM))
		entry := wigeonsettings.Entry{Process: process, DrainDelayMS: int(drainDelay.Milliseconds())}
		control := wigeonsettings.Control{
			Process: process, PlanIntervalMS: 200, ListIntervalMS: 200, WaveIntervalS: int(wavePeriod.Seconds()),
		}
		deps := wigeonprocess.Deps{Platform: platform, Logger: f.logger, DisableAdmin: true}
		entryDeps, controlDeps := deps, deps
		entryDeps.CallerListener, entryDeps.PeerListener = listeners[0], listeners[1]
		controlDeps.PeerListener = listeners[2]
		group.Go(func() error { return wigeonprocess.RunEntry(ctx, entry, entryDeps) })
		group.Go(func() error { return wigeonprocess.RunControl(ctx, control, controlDeps) })
	}
	return nil
}

// listenAll opens count listeners on free ports of the loopback address.
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
