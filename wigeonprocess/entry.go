package wigeonprocess

import (
	"context"
	"errors"
	"fmt"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonbackend"
	"github.com/wigeonstep/wigeonstep/wigeonentry"
	"github.com/wigeonstep/wigeonstep/wigeonsettings"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// RunEntry runs an entry process until ctx ends, then stops it gracefully. It returns nil after a clean stop.
func RunEntry(ctx context.Context, settings wigeonsettings.Entry, deps Deps) error {
	var process *wigeonentry.Process
	p, err := newParts(ctx, settings.Process, deps, wigeonwire.Role_ROLE_ENTRY, func() []wigeonstep.VMID { return process.BusyVMs() })
	if err != nil {
		return err
	}
	listener := p.Callers
	if listener == nil {
		listener, err = listen(ctx, "callers", settings.CallerAddress)
		if err != nil {
			return errors.Join(err, p.Peers.Close())
		}
	}
	process, err = wigeonentry.New(wigeonentry.Config{
		DataCentre:      settings.DataCentre,
		Listener:        listener,
		Follower:        p.follower,
		Backend:         wigeonbackend.New(wigeonbackend.Config{}),
		Peers:           p.client,
		NextPeerHandler: stateHandler{follower: p.follower},
		Logger:          p.Logger,
		Metrics:         p.Metrics,
		DrainDelay:      settings.DrainDelay(),
		StopTimeout:     settings.StopTimeout(),
	})
	if err != nil {
		return errors.Join(fmt.Errorf("entry process: %w", err), listener.Close(), p.Peers.Close())
	}
	stop, err := p.serve(ctx, process, process.Ready)
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	p.Logger.Info("entry process started", zap.String("data_centre", string(settings.DataCentre)), zap.String("callers", listener.Addr().String()), zap.String("peers", p.settings.PeerAddress))
	err = process.Run(ctx)
	err = errors.Join(err, stop())
	p.Logger.Info("entry process stopped", zap.Error(err))
	return err
}
