package wigeonprocess

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep/wigeoncontrol"
	"github.com/wigeonstep/wigeonstep/wigeonmaintenance"
	"github.com/wigeonstep/wigeonstep/wigeonsettings"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// RunControl runs a control daemon until ctx ends and then closes its session. It returns nil after a clean stop.
func RunControl(ctx context.Context, settings wigeonsettings.Control, deps Deps) error {
	c, err := newComponents(ctx, settings.Process, deps, wigeonwire.Role_ROLE_CONTROL, nil)
	if err != nil {
		return err
	}
	demand := &demandReports{next: stateHandler{follower: c.follower}}
	stop, err := c.startServers(ctx, demand, func() bool { return c.follower.Session() != 0 })
	if err != nil {
		return err
	}
	c.Logger.Info("control daemon started", zap.String("data_centre", string(settings.DataCentre)), zap.String("peers", c.settings.PeerAddress))
	// The follower outlives ctx, because closing the session needs the follower.
	followCtx, stopFollowing := context.WithCancel(context.WithoutCancel(ctx))
	followErr := make(chan error, 1)
	go func() { followErr <- c.follower.Run(followCtx) }()
	err = c.runPlanner(ctx, settings, demand)
	closeCtx, cancel := context.WithTimeout(followCtx, sessionCloseTimeout)
	if closeErr := c.follower.CloseSession(closeCtx); closeErr != nil {
		c.Logger.Warn("closing the session failed; it will expire", zap.Error(closeErr))
	}
	cancel()
	stopFollowing()
	err = errors.Join(err, <-followErr, stop())
	c.Logger.Info("control daemon stopped", zap.Error(err))
	return err
}

// runPlanner waits until the follower has read the log and then runs the control loop until ctx ends.
func (c *components) runPlanner(ctx context.Context, settings wigeonsettings.Control, demand *demandReports) error {
	if err := c.follower.WaitReady(ctx); err != nil && ctx.Err() == nil {
		return fmt.Errorf("wait for the state of the log: %w", err)
	}
	return wigeoncontrol.Run(ctx, wigeoncontrol.Config{
		DataCentre:   settings.DataCentre,
		Follower:     c.follower,
		Platform:     c.Platform,
		Logger:       c.Logger,
		Metrics:      c.Metrics,
		PlanInterval: time.Duration(settings.PlanIntervalMS) * time.Millisecond,
		ListInterval: time.Duration(settings.ListIntervalMS) * time.Millisecond,
		Maintenance: wigeonmaintenance.Config{
			Period: time.Duration(settings.WaveIntervalS) * time.Second,
		},
		SlotDemand:        func() map[poolName]int { return demand.slotDemand(time.Now(), c.follower.View()) },
		ConnectionResults: func() map[vmID]vmConnectionResults { return demand.vmConnectionResults(time.Now(), c.follower.View()) },
	})
}
