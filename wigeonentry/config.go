// Package wigeonentry implements the entry process. It admits requests of callers, sends them to backend servers, runs
// durable jobs and reports the outcome of each request and job.
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

// Follower is the part of wigeonfollow.Follower that a Process uses.
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

// PeerClient calls other processes. An error that wraps wigeonstep.ErrUnavailable guarantees that the call had no effect.
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
	// Follower follows the log; required. Process.Run runs it. Its BusyVMs callback must be Process.BusyVMs.
	Follower Follower
	// Backend sends requests to backend servers; required.
	Backend wigeonstep.Backend
	// Peers calls other processes. Without it, requests whose key another process owns end as unknown, and no demand is
	// reported.
	Peers PeerClient
	// NextPeerHandler handles the peer requests that the Process does not handle itself. Without it they get an error.
	NextPeerHandler PeerHandler
	// Logger defaults to one that discards everything.
	Logger *zap.Logger
	// Metrics is the set in which the process registers its metrics, default a new one.
	Metrics *metrics.Set
	// DrainDelay is the time for which the process still accepts requests after announcing that it is not ready,
	// default 5 s.
	DrainDelay time.Duration
	// StopTimeout limits the wait for requests and jobs in flight after DrainDelay, default 60 s.
	StopTimeout time.Duration
	// MaxBody limits the body of a request in bytes, default 8 MB.
	MaxBody int
	// ReportInterval is the time between demand reports to the peers, default 200 ms.
	ReportInterval time.Duration
	// ReportMaxAge is the age from which the last demand report of a peer counts as overdue, and the timeout for
	// sending one, default 2 s.
	ReportMaxAge time.Duration
	// RemoteMaxAge is the time since the last confirmation of the view after which VMs of other data centres are not used,
	// default 6 s.
	RemoteMaxAge time.Duration
	// AnswerTTL is the retention time of the answers to requests with a key, default 10 min.
	AnswerTTL time.Duration
	// MaxAnswerBytes limits the total size of the retained answers, default 64 MB.
	MaxAnswerBytes int
	// Seed seeds retry jitter and the choice between servers, default the wall clock time.
	Seed uint64
	// Now is the wall clock, default time.Now.
	Now func() time.Time
}

// checkAndSetDefaults returns an error for a missing required field and sets defaults. It leaves MaxBody, AnswerTTL and
// MaxAnswerBytes to the components that use them.
func (c *Config) checkAndSetDefaults() error {
	if c.Listener == nil || c.Follower == nil || c.Backend == nil || c.DataCentre == "" {
		return errors.New("data centre, listener, follower and backend are required")
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

func setDefault(value *time.Duration, defaultValue time.Duration) {
	if *value <= 0 {
		*value = defaultValue
	}
}
