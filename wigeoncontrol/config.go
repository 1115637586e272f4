// Package wigeoncontrol implements the loop of the control daemon: it reads the VM list of the platform, runs the
// planners, and executes their plans by proposing log entries and calling the platform.
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

// Follower lists the methods of *wigeonfollow.Follower that the daemon needs.
type Follower interface {
	wigeonstep.Proposer[*wigeonwire.Entry]
	// View returns the newest view.
	View() *wigeonstate.View
	// Session returns the ID of the open session, or zero if none is open.
	Session() wigeonstep.SessionID
	// LeaseValid reports whether the lease of the session has not expired.
	LeaseValid() bool
	// ConfirmedAge returns the time since the view was last confirmed to be at the end of the log.
	ConfirmedAge() time.Duration
}

// Config configures a control daemon.
type Config struct {
	// DataCentre is the data centre whose VMs the daemon plans for. Required.
	DataCentre wigeonstep.DataCentreName
	// Follower follows the log and proposes entries; the caller runs it. Required.
	Follower Follower
	// Platform is the client of the platform that lists, drains, reboots and assigns VMs. Required.
	Platform wigeonstep.Platform
	// Logger defaults to a logger that discards everything.
	Logger *zap.Logger
	// Metrics is the set in which the daemon registers its metrics, default a private set.
	Metrics *metrics.Set
	// PlanInterval is the maximum delay between the end of a planning round and the start of the next one, default 1 s.
	// After a long round the delay is longer: see roundSpacingFactor. A changed VM list and the result of a proposal or
	// of an action start a round earlier.
	PlanInterval time.Duration
	// ListInterval is the delay between two reads of the VM list, with a jitter of 10% in either direction, default 1 s.
	ListInterval time.Duration
	// CallTimeout bounds each call to the platform and each probe, default 5 s.
	CallTimeout time.Duration
	// Pool configures pool targets and moves of VMs between pools; the zero value means the defaults of wigeonpool.
	Pool wigeonpool.Config
	// Maintenance configures maintenance waves; the zero value means the defaults of wigeonmaintenance, which maintain
	// every VM once in 3 weeks.
	Maintenance wigeonmaintenance.Config
	// SlotDemand returns the number of slots that the running and queued work of each pool needs; a pool without a value
	// needs none. Nil means that the demand is unknown; pool targets then ignore it. The default returns nil.
	SlotDemand func() map[wigeonstep.PoolName]int
	// ConnectionResults returns the connection results that the entry processes reported for each VM. The default
	// returns none.
	ConnectionResults func() map[wigeonstep.VMID]wigeonpool.ConnectionResults
	// Probe checks that the backend server of a VM accepts connections before the VM returns to service, default a TCP
	// dial.
	Probe func(ctx context.Context, address string) error
}

const (
	defaultInterval    = time.Second
	defaultCallTimeout = 5 * time.Second
	// maxViewAge is the time since the last confirmation of the view above which the daemon does not plan. Entry
	// processes use the same bound for VMs of other data centres.
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
	if c.SlotDemand == nil {
		c.SlotDemand = func() map[wigeonstep.PoolName]int { return nil }
	}
	if c.ConnectionResults == nil {
		c.ConnectionResults = func() map[wigeonstep.VMID]wigeonpool.ConnectionResults { return nil }
	}
	if c.Probe == nil {
		c.Probe = probeTCP
	}
	return c, nil
}

func probeTCP(ctx context.Context, address string) error {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return &wigeonstep.StepError{Step: "vm probe", Peer: address, Err: err}
	}
	return conn.Close()
}
