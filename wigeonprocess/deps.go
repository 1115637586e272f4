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

// Platform is the log and the fleet interface of the platform.
type Platform interface {
	wigeonstep.Log
	wigeonstep.Platform
}

// Deps are what a process uses besides its settings. The zero value works.
type Deps struct {
	// Platform defaults to a client of the address in the settings.
	Platform Platform
	// Logger defaults to none.
	Logger *zap.Logger
	// Metrics defaults to a new set.
	Metrics *metrics.Set
	// NoAdmin leaves out the admin endpoints, for several processes in one.
	NoAdmin bool
	// Peers is the listener of the inter-process port, default one on the address in the settings.
	Peers net.Listener
	// Callers is the listener for callers, default one on the address in the settings.
	Callers net.Listener
}

// parts are what both kinds of process have.
type parts struct {
	Deps
	settings wigeonsettings.Process
	follower *wigeonfollow.Follower
	client   *wigeonpeer.Client
	server   *wigeonpeer.Server
}

// newParts opens the inter-process port and builds the follower. busyVMs may be nil.
func newParts(ctx context.Context, settings wigeonsettings.Process, deps Deps, role wigeonwire.Role, busyVMs func() []wigeonstep.VMID) (*parts, error) {
	p := &parts{Deps: deps, settings: settings, client: &wigeonpeer.Client{}}
	if p.Logger == nil {
		p.Logger = zap.NewNop()
	}
	if p.Metrics == nil {
		p.Metrics = metrics.NewSet()
	}
	if p.Platform == nil {
		client, err := wigeonplatform.New(wigeonplatform.Config{Address: settings.PlatformAddress, Name: string(settings.VM)})
		if err != nil {
			return nil, fmt.Errorf("platform client: %w", err)
		}
		p.Platform = client
	}
	if p.Peers == nil {
		listener, err := listen(ctx, "peers", settings.PeerAddress)
		if err != nil {
			return nil, err
		}
		p.Peers = listener
	}
	// The port may have been left to the system.
	p.settings.PeerAddress = p.Peers.Addr().String()
	p.follower = wigeonfollow.New(wigeonfollow.Config{
		Log:       p.Platform,
		Session:   wigeonfollow.NewSessionID(),
		Peers:     p.recordSources,
		Retention: settings.LogRetention(),
		BusyVMs:   busyVMs,
		Logger:    p.Logger,
		Open: &wigeonwire.SessionOpen{
			Role:        role,
			DataCentre:  string(settings.DataCentre),
			PeerAddress: p.settings.PeerAddress,
			Vm:          string(settings.VM),
		},
	})
	return p, nil
}

// listen opens a TCP listener; the error names the purpose.
func listen(ctx context.Context, purpose, address string) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", purpose, err)
	}
	return listener, nil
}

// serve starts the peer server and the admin endpoints. The function that it returns ends both.
func (p *parts) serve(ctx context.Context, handler wigeonpeer.Handler, ready func() bool) (stop func() error, err error) {
	p.server = wigeonpeer.NewServer(p.Peers, handler, p.Logger)
	failed := make(chan error, 2)
	running := 1
	go func() { failed <- p.server.Serve() }()
	adminCtx, stopAdmin := context.WithCancel(context.WithoutCancel(ctx))
	if !p.NoAdmin {
		listener, err := listen(ctx, "admin endpoints", p.settings.AdminAddress)
		if err != nil {
			stopAdmin()
			return nil, errors.Join(err, p.server.Close())
		}
		running++
		admin := &wigeontelemetry.Admin{Metrics: p.Metrics, Ready: ready}
		go func() { failed <- admin.Serve(adminCtx, listener) }()
	}
	return func() error {
		stopAdmin()
		errs := []error{p.server.Close(), p.client.Close()}
		for range running {
			if err := <-failed; err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, io.EOF) {
				errs = append(errs, err)
			}
		}
		return errors.Join(errs...)
	}, nil
}

// recordSources returns the peers to follow while the platform is out of reach: those of the settings first, then the
// open sessions, of the own data centre before others.
func (p *parts) recordSources() []wigeonfollow.RecordSource {
	addresses := slices.Clone(p.settings.Peers)
	var remote []string
	for _, s := range p.follower.View().Sessions {
		switch {
		case s.Expired || s.PeerAddress == "":
		case s.DataCentre == p.settings.DataCentre:
			addresses = append(addresses, s.PeerAddress)
		default:
			remote = append(remote, s.PeerAddress)
		}
	}
	addresses = append(addresses, remote...)
	var sources []wigeonfollow.RecordSource
	seen := map[string]bool{p.settings.PeerAddress: true}
	for _, address := range addresses {
		if seen[address] {
			continue
		}
		seen[address] = true
		sources = append(sources, &wigeonpeer.RecordSource{Client: p.client, Address: address, Session: p.follower.Session})
	}
	return sources
}

// closeTimeout bounds the closing of a session at a stop; a session that stays open expires.
const closeTimeout = 2 * time.Second
