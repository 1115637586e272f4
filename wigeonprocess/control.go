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

// RunControl runs a control daemon until ctx ends and closes its session. It returns nil after a clean stop.
func RunControl(ctx context.Context, settings wigeonsettings.Control, deps Deps) error {
	p, err := newParts(ctx, settings.Process, deps, wigeonwire.Role_ROLE_CONTROL, nil)
	if err != nil {
		return err
	}
	book := &demandBook{next: stateHandler{follower: p.follower}}
	stop, err := p.serve(ctx, book, func() bool { return p.follower.Session() != 0 })
	if err != nil {
		return err
	}
	p.Logger.Info("control daemon started", zap.String("data_centre", string(settings.DataCentre)), zap.String("peers", p.settings.PeerAddress))
	// The follower outlives ctx, because closing the session needs it.
	following, stopFollowing := context.WithCancel(context.WithoutCancel(ctx))
	followed := make(chan error, 1)
	go func() { followed <- p.follower.Run(following) }()
	err = p.plan(ctx, settings, book)
	closing, cancel := context.WithTimeout(following, closeTimeout)
	if closeErr := p.follower.CloseSession(closing); closeErr != nil {
		p.Logger.Warn("session not closed; it will expire", zap.Error(closeErr))
	}
	cancel()
	stopFollowing()
	err = errors.Join(err, <-followed, stop())
	p.Logger.Info("control daemon stopped", zap.Error(err))
	return err
}

func (p *parts) plan(ctx context.Context, settings wigeonsettings.Control, book *demandBook) error {
	if err := p.follower.WaitReady(ctx); err != nil && ctx.Err() == nil {
		return fmt.Errorf("control daemon: %w", err)
	}
	return wigeoncontrol.Run(ctx, wigeoncontrol.Config{
		DataCentre:   settings.DataCentre,
		Follower:     p.follower,
		Platform:     p.Platform,
		Logger:       p.Logger,
		Metrics:      p.Metrics,
		PlanInterval: time.Duration(settings.PlanIntervalMS) * time.Millisecond,
		ListInterval: time.Duration(settings.ListIntervalMS) * time.Millisecond,
		Maintenance: wigeonmaintenance.Config{
			Period: time.Duration(settings.WaveIntervalS) * time.Second,
		},
		Loads: func() map[poolName]int { return book.loads(time.Now(), p.follower.View()) },
		Reach: func() map[vmID]reach { return book.reach(time.Now(), p.follower.View()) },
	})
}
