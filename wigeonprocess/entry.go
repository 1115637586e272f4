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
	// BusyVMs is called only after process is set, because process.Run runs the follower.
	var process *wigeonentry.Process
	c, err := newComponents(ctx, settings.Process, deps, wigeonwire.Role_ROLE_ENTRY, func() []wigeonstep.VMID { return process.BusyVMs() })
	if err != nil {
		return err
	}
	listener := c.CallerListener
	if listener == nil {
		listener, err = listen(ctx, "callers", settings.CallerAddress)
		if err != nil {
			return errors.Join(err, c.PeerListener.Close())
		}
	}
	process, err = wigeonentry.New(wigeonentry.Config{
		DataCentre:      settings.DataCentre,
		Listener:        listener,
		Follower:        c.follower,
		Backend:         wigeonbackend.New(wigeonbackend.Config{}),
		Peers:           c.client,
		NextPeerHandler: stateHandler{follower: c.follower},
		Logger:          c.Logger,
		Metrics:         c.Metrics,
		DrainDelay:      settings.DrainDelay(),
		StopTimeout:     settings.StopTimeout(),
	})
	if err != nil {
		return errors.Join(fmt.Errorf("entry process: %w", err), listener.Close(), c.PeerListener.Close())
	}
	stop, err := c.startServers(ctx, process, process.Ready)
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	c.Logger.Info("entry process started", zap.String("data_centre", string(settings.DataCentre)), zap.String("callers", listener.Addr().String()), zap.String("peers", c.settings.PeerAddress))
	err = process.Run(ctx)
	err = errors.Join(err, stop())
	c.Logger.Info("entry process stopped", zap.Error(err))
	return err
}
