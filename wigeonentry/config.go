// Package wigeonentry wires the traffic process: it takes requests of callers to backend servers and shows their outcome.
package wigeonentry

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// Follower is what the process uses of wigeonfollow.Follower.
type Follower interface {
	wigeonstep.Proposer[*wigeonwire.Entry]
	Run(ctx context.Context) error
	WaitReady(ctx context.Context) error
	View() *wigeonstate.View
	Read(fn func(state *wigeonstate.State))
	Session() wigeonstep.SessionID
	LeaseValid() bool
	ConfirmedAge() time.Duration
	SetReady(ready, closing bool)
	CloseSession(ctx context.Context) error
}

// PeerClient calls other processes. An error that wraps wigeonstep.ErrUnavailable means that the call had no effect.
type PeerClient interface {
	Call(ctx context.Context, address string, request *wigeonwire.PeerRequest) (*wigeonwire.PeerResponse, error)
}

// PeerHandler answers requests of other processes.
type PeerHandler interface {
	HandlePeer(ctx context.Context, request *wigeonwire.PeerRequest) *wigeonwire.PeerResponse
}

// Config configures a Process.
type Config struct {
	// DataCentre is the data centre of the process; required.
	DataCentre wigeonstep.DataCentreName
	// Listener accepts the connections of callers; required.
	Listener net.Listener
	// Follower follows the log; required. Run runs it. Its BusyVMs must be Process.BusyVMs.
	Follower Follower
	// Backend sends requests to backend servers; required.
	Backend wigeonstep.Backend
	// Peers calls other processes; without it, keys of other owners get unknown and no demand is reported.
	Peers PeerClient
	// NextPeerHandler answers the peer requests that are not about traffic, default an error.
	NextPeerHandler PeerHandler
	// Logger receives the log lines, default none.
	Logger *zap.Logger
	// Metrics receives the metrics, default a new set.
	Metrics *metrics.Set
	// DrainDelay is how long the process still takes requests after it said that it is not ready, default 5 s.
	DrainDelay time.Duration
	// StopTimeout bounds the wait for requests in flight after the drain delay, default 60 s.
	StopTimeout time.Duration
	// MaxBody bounds the body of a request in bytes, default 8 MB.
	MaxBody int
	// ReportInterval is the time between demand reports to the peers, default 200 ms.
	ReportInterval time.Duration
	// ReportMaxAge is the age from which a peer's missing report is logged, default 2 s.
	ReportMaxAge time.Duration
	// RemoteMaxAge is the age of the view from which VMs of other data centres are unused, default 6 s.
	RemoteMaxAge time.Duration
	// AnswersFor is how long the answers of keys are kept, default 10 min.
	AnswersFor time.Duration
	// AnswerBytes bounds the answers that are kept, default 64 MB.
	AnswerBytes int
	// Seed seeds the jitter and the choice between servers, default the wall clock.
	Seed uint64
	// Now returns the wall clock time, default time.Now.
	Now func() time.Time
}

func (c *Config) fill() error {
	if c.Listener == nil || c.Follower == nil || c.Backend == nil || c.DataCentre == "" {
		return errors.New("the traffic process needs a data centre, a listener, a follower and a backend")
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Seed == 0 {
		c.Seed = uint64(c.Now().UnixNano())
	}
	setDefault(&c.DrainDelay, 5*time.Second)
	setDefault(&c.StopTimeout, time.Minute)
	setDefault(&c.ReportInterval, 200*time.Millisecond)
	setDefault(&c.ReportMaxAge, 2*time.Second)
	setDefault(&c.RemoteMaxAge, 6*time.Second)
	return nil
}

func setDefault(value *time.Duration, standard time.Duration) {
	if *value <= 0 {
		*value = standard
	}
}
