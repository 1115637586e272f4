// Package wigeonprocess builds the entry process and the control daemon from their settings.
package wigeonprocess

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonfollow"
	"github.com/wigeonstep/wigeonstep/wigeonpeer"
	"github.com/wigeonstep/wigeonstep/wigeonplatform"
	"github.com/wigeonstep/wigeonstep/wigeonsettings"
	"github.com/wigeonstep/wigeonstep/wigeontelemetry"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// Platform combines the log and the fleet interface of the platform.
type Platform interface {
	wigeonstep.Log
	wigeonstep.Platform
}

// Deps are the dependencies of a process that its settings do not name. The zero value is ready to use.
type Deps struct {
	// Platform defaults to a client for the platform address in the settings.
	Platform Platform
	// Logger defaults to one that discards everything.
	Logger *zap.Logger
	// Metrics defaults to a new set.
	Metrics *metrics.Set
	// DisableAdmin disables the admin endpoints. Set it to run several entry processes and control daemons in one OS
	// process.
	DisableAdmin bool
	// PeerListener is the listener for calls of other processes, default one on the peer address in the settings.
	PeerListener net.Listener
	// CallerListener is the listener for requests of callers, default one on the caller address in the settings.
	CallerListener net.Listener
}

// components are the parts that an entry process and a control daemon have in common.
type components struct {
	Deps
	settings wigeonsettings.Process
	follower *wigeonfollow.Follower
	client   *wigeonpeer.Client
	server   *wigeonpeer.Server
}

// newComponents opens the listener for peers and creates the follower. busyVMs may be nil.
func newComponents(ctx context.Context, settings wigeonsettings.Process, deps Deps, role wigeonwire.Role, busyVMs func() []wigeonstep.VMID) (*components, error) {
	c := &components{Deps: deps, settings: settings, client: &wigeonpeer.Client{}}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	if c.Platform == nil {
		client, err := wigeonplatform.New(wigeonplatform.Config{Address: settings.PlatformAddress, Name: string(settings.VM)})
		if err != nil {
			return nil, fmt.Errorf("create platform client: %w", err)
		}
		c.Platform = client
	}
	if c.PeerListener == nil {
		listener, err := listen(ctx, "peers", settings.PeerAddress)
		if err != nil {
			return nil, err
		}
		c.PeerListener = listener
	}
	// Sessions announce the actual address, since port 0 in the settings lets the system choose one.
	c.settings.PeerAddress = c.PeerListener.Addr().String()
	c.follower = wigeonfollow.New(wigeonfollow.Config{
		Log:       c.Platform,
		Session:   wigeonfollow.NewSessionID(),
		Peers:     c.recordSources,
		Retention: settings.LogRetention(),
		BusyVMs:   busyVMs,
		Logger:    c.Logger,
		OpenEntry: &wigeonwire.SessionOpen{
			Role:        role,
			DataCentre:  string(settings.DataCentre),
			PeerAddress: c.settings.PeerAddress,
			Vm:          string(settings.VM),
		},
	})
	return c, nil
}

// listen opens a TCP listener. Its errors name the purpose.
func listen(ctx context.Context, purpose, address string) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", purpose, err)
	}
	return listener, nil
}

// startServers starts the peer server and the admin endpoints. The returned function stops both and returns their errors.
func (c *components) startServers(ctx context.Context, handler wigeonpeer.Handler, ready func() bool) (stop func() error, err error) {
	c.server = wigeonpeer.NewServer(c.PeerListener, handler, c.Logger)
	serveErrors := make(chan error, 2)
	servers := 1
	go func() { serveErrors <- c.server.Serve() }()
	adminCtx, stopAdmin := context.WithCancel(context.WithoutCancel(ctx))
	if !c.DisableAdmin {
		listener, err := listen(ctx, "admin endpoints", c.settings.AdminAddress)
		if err != nil {
			stopAdmin()
			return nil, errors.Join(err, c.server.Close())
		}
		servers++
		admin := &wigeontelemetry.Admin{Metrics: c.Metrics, Ready: ready}
		go func() { serveErrors <- admin.Serve(adminCtx, listener) }()
	}
	return func() error {
		stopAdmin()
		errs := []error{c.server.Close(), c.client.Close()}
		for range servers {
			// Both errors are expected when the stop closes listeners and connections.
			if err := <-serveErrors; err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, io.EOF) {
				errs = append(errs, err)
			}
		}
		return errors.Join(errs...)
	}, nil
}

// recordSources returns the peers from which to read the log while the platform is unreachable, each address once and
// without the own one, in this order: the peers in the settings, the sessions of the own data centre, the other
// sessions. It leaves out expired sessions.
func (c *components) recordSources() []wigeonfollow.RecordSource {
	addresses := slices.Clone(c.settings.Peers)
	var remote []string
	for _, s := range c.follower.View().Sessions {
		switch {
		case s.Expired || s.PeerAddress == "":
		case s.DataCentre == c.settings.DataCentre:
			addresses = append(addresses, s.PeerAddress)
		default:
			remote = append(remote, s.PeerAddress)
		}
	}
	addresses = append(addresses, remote...)
	var sources []wigeonfollow.RecordSource
	seen := map[string]bool{c.settings.PeerAddress: true}
	for _, address := range addresses {
		if seen[address] {
			continue
		}
		seen[address] = true
		sources = append(sources, &wigeonpeer.RecordSource{Client: c.client, Address: address, Session: c.follower.Session})
	}
	return sources
}

// sessionCloseTimeout limits the attempt to close the session when the process stops. A session that is not closed expires.
const sessionCloseTimeout = 2 * time.Second
