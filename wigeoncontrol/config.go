// Package wigeoncontrol wires the control daemon: it reads the VM list, runs the planners, proposes entries and acts on the platform.
package wigeoncontrol

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonfollow"
	"github.com/wigeonstep/wigeonstep/wigeonpool"
)

// Config configures a control daemon.
type Config struct {
	// DataCentre is the data centre whose VMs the daemon plans for. Required.
	DataCentre wigeonstep.DataCentreName
	// Follower follows the log; the caller runs it. Required.
	Follower *wigeonfollow.Follower
	// Platform is the platform. Required.
	Platform wigeonstep.Platform
	// Logger is the logger, default none.
	Logger *zap.Logger
	// Metrics is where the daemon registers its metrics, default a private set.
	Metrics *metrics.Set
	// PlanInterval is the time between planning rounds, default 1 s.
	PlanInterval time.Duration
	// ListInterval is the time between readings of the VM list, default 2 s.
	ListInterval time.Duration
	// CallTimeout bounds one call to the platform, default 5 s.
	CallTimeout time.Duration
	// WavePeriod is the time in which every VM is maintained once, default 3 weeks.
	WavePeriod time.Duration
	// Loads returns the slots that the work of each pool wants, default none: pools are then not judged by load.
	Loads func() map[wigeonstep.PoolName]int
	// Reach returns the connection results of the entry processes, default none.
	Reach func() map[wigeonstep.VMID]wigeonpool.Reach
	// Probe checks that the backend server of a VM takes connections before the VM returns to service, default a TCP dial.
	Probe func(ctx context.Context, address string) error
}

// Run plans until ctx ends and returns nil then. The follower must be running.
func Run(ctx context.Context, config Config) error { return nil }
