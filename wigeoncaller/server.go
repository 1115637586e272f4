// Package wigeoncaller serves callers over HTTP/1.1: it reads whole requests within limits and writes outcomes.
//
// Connections are accepted by hertz and messages decoded by it. The loop over the requests of a connection is
// written here, because every bad input needs a problem document and one log line, and a stop must tell an idle
// connection from one whose request has begun.
package wigeoncaller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/suite"
	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
)

// Handler answers requests of callers. Every method returns the final response and may be called from many goroutines.
type Handler interface {
	// Serve handles one request of a team. The request is the handler's to keep.
	Serve(ctx context.Context, request *wigeonstep.Request) wigeonstep.Response
	// IssueKeys returns new idempotency keys that name this process.
	IssueKeys(ctx context.Context, count int) wigeonstep.Response
	// Job shows what became of a job.
	Job(ctx context.Context, job wigeonstep.JobID) wigeonstep.Response
	// CancelJob cancels a job and tells whether it ran.
	CancelJob(ctx context.Context, job wigeonstep.JobID, by string) wigeonstep.Response
}

// Config configures a Server.
type Config struct {
	// Handler answers the requests; required.
	Handler Handler
	// Logger receives one line per bad input, default none.
	Logger *zap.Logger
	// MaxBody bounds the body of a request in bytes, default 8 MB.
	MaxBody int
	// MaxHeader bounds the header of a request in bytes, default 32 KB.
	MaxHeader int
	// ReadTimeout bounds the reading of one request, default 10 s.
	ReadTimeout time.Duration
	// IdleTimeout is how long a connection may be idle, default 60 s.
	IdleTimeout time.Duration
	// WriteTimeout bounds the writing of one response, default 10 s.
	WriteTimeout time.Duration
	// MaxDeadline is the longest deadline that a caller may set, default 24 h.
	MaxDeadline time.Duration
	// Now returns the wall clock time, default time.Now.
	Now func() time.Time
}

// Server serves callers on one listener.
type Server struct {
	config   Config
	prefix   string
	requests atomic.Uint64
	// inFlight counts requests from their first byte to the last byte of their response.
	inFlight atomic.Int64
	// leaving asks callers to close their connections after the response.
	leaving atomic.Bool

	mu    sync.Mutex
	conns map[*callerConn]struct{}
}

// New returns a Server.
func New(c Config) (*Server, error) {
	if c.Handler == nil {
		return nil, errors.New("the caller server needs a handler")
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	setDefault(&c.MaxBody, 8<<20)
	setDefault(&c.MaxHeader, 32<<10)
	setDefault(&c.ReadTimeout, 10*time.Second)
	setDefault(&c.IdleTimeout, time.Minute)
	setDefault(&c.WriteTimeout, 10*time.Second)
	setDefault(&c.MaxDeadline, 24*time.Hour)
	if c.Now == nil {
		c.Now = time.Now
	}
	var b [4]byte
	if _, err := rand.Read(b[:]); err != nil {
		return nil, fmt.Errorf("request id prefix: %w", err)
	}
	return &Server{config: c, prefix: hex.EncodeToString(b[:]) + "-", conns: map[*callerConn]struct{}{}}, nil
}

func setDefault[T int | time.Duration](value *T, standard T) {
	if *value <= 0 {
		*value = standard
	}
}

// Serve accepts connections until the listener is closed by Stop or ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	h := server.New(
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithExitWaitTime(time.Second),
		server.WithDisablePrintRoute(true),
		config.Option{F: func(o *config.Options) { o.Addr = listener.Addr().String() }},
	)
	h.AddProtocol(suite.HTTP1, &protocolFactory{server: s})
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	if err := h.Run(); err != nil {
		return fmt.Errorf("serve callers on %s: %w", listener.Addr(), err)
	}
	return nil
}

// Leave makes every further response ask its caller to close the connection.
func (s *Server) Leave() { s.leaving.Store(true) }

// InFlight returns the number of requests that have begun and whose response is not written.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Drain closes idle connections and waits until no request is in flight or ctx ends. The listener must be closed first.
func (s *Server) Drain(ctx context.Context) error {
	s.Leave()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for {
		if s.closeIdle() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d requests of callers are still in flight: %w", s.InFlight(), ctx.Err())
		case <-tick.C:
		}
	}
}

// closeIdle closes connections on which no request has begun and returns how many remain.
func (s *Server) closeIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.state.CompareAndSwap(connIdle, connClosed) {
			_ = c.Close()
			delete(s.conns, c)
		}
	}
	return len(s.conns)
}

func (s *Server) track(c *callerConn) {
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
}

func (s *Server) untrack(c *callerConn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

func (s *Server) nextID() wigeonstep.RequestID {
	b := make([]byte, 0, 24)
	b = append(b, s.prefix...)
	b = strconv.AppendUint(b, s.requests.Add(1), 16)
	return wigeonstep.RequestID(b)
}

// protocolFactory puts the request loop of this package into the hertz engine.
type protocolFactory struct{ server *Server }

// New implements suite.ServerFactory.
func (f *protocolFactory) New(suite.Core) (protocol.Server, error) { return f, nil }

// Serve implements protocol.Server for one connection.
func (f *protocolFactory) Serve(ctx context.Context, c network.Conn) error {
	f.server.serveConn(ctx, c)
	return nil
}
