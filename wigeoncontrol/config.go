// Package wigeoncontrol wires the control daemon: it reads the VM list, runs the planners, proposes entries and acts on the platform.
package wigeoncontrol

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonmaintenance"
	"github.com/wigeonstep/wigeonstep/wigeonpool"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// Follower is what the daemon uses of *wigeonfollow.Follower.
type Follower interface {
	wigeonstep.Proposer[*wigeonwire.Entry]
	// View returns the newest view.
	View() *wigeonstate.View
	// Session returns the id of the open session, or zero.
	Session() wigeonstep.SessionID
	// LeaseValid reports whether the lease of the session still runs.
	LeaseValid() bool
	// ConfirmedAge returns the time since the view was last known to be at the end of the log.
	ConfirmedAge() time.Duration
}

// Config configures a control daemon.
type Config struct {
	// DataCentre is the data centre whose VMs the daemon plans for. Required.
	DataCentre wigeonstep.DataCentreName
	// Follower follows the log; the caller runs it. Required.
	Follower Follower
	// Platform is the platform. Required.
	Platform wigeonstep.Platform
	// Logger is the logger, default none.
	Logger *zap.Logger
	// Metrics is where the daemon registers its metrics, default a private set.
	Metrics *metrics.Set
	// PlanInterval is the time between planning rounds, default 1 s. A round follows earlier after an accepted proposal.
	PlanInterval time.Duration
	// ListInterval is the time between readings of the VM list, default 1 s.
	ListInterval time.Duration
	// CallTimeout bounds one call to the platform and one probe, default 5 s.
	CallTimeout time.Duration
	// Pool configures targets and moves, default wigeonpool's.
	Pool wigeonpool.Config
	// Maintenance configures waves, default wigeonmaintenance's: every VM once in 3 weeks.
	Maintenance wigeonmaintenance.Config
	// Loads returns the slots that the work of each pool wants; a pool without a value wants none. Default none: pools are
	// then not judged by load, as they are when it returns nil.
	Loads func() map[wigeonstep.PoolName]int
	// Reach returns the connection results of the entry processes, default none.
	Reach func() map[wigeonstep.VMID]wigeonpool.Reach
	// Probe checks that the backend server of a VM takes connections before the VM returns to service, default a TCP dial.
	Probe func(ctx context.Context, address string) error
}

const (
	defaultInterval    = time.Second
	defaultCallTimeout = 5 * time.Second
	// maxViewAge is the age of the view from which the daemon changes nothing; entry processes use the same bound for VMs
	// of other data centres.
	maxViewAge = 6 * time.Second
)

func (c Config) withDefaults() (Config, error) {
	if c.DataCentre == "" || c.Follower == nil || c.Platform == nil {
		return c, fmt.Errorf("control daemon: data centre, follower and platform are required")
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	for _, d := range []*time.Duration{&c.PlanInterval, &c.ListInterval} {
		if *d <= 0 {
			*d = defaultInterval
		}
	}
	if c.CallTimeout <= 0 {
		c.CallTimeout = defaultCallTimeout
	}
	if c.Loads == nil {
		c.Loads = func() map[wigeonstep.PoolName]int { return nil }
	}
	if c.Reach == nil {
		c.Reach = func() map[wigeonstep.VMID]wigeonpool.Reach { return nil }
	}
	if c.Probe == nil {
		c.Probe = dial
	}
	return c, nil
}

func dial(ctx context.Context, address string) error {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return &wigeonstep.StepError{Step: "vm probe", Peer: address, Err: err}
	}
	return conn.Close()
}
