// Package wigeoncaller serves callers over HTTP/1.1: it reads requests within size and time limits, passes them to a
// Handler and writes the responses.
//
// Hertz accepts the connections and decodes the messages. This package has its own request loop for a connection,
// because every invalid request needs a problem document and one log line, and because a graceful stop must tell an
// idle connection from one on which a request has begun.
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

// Handler answers requests of callers. Every method returns the final response. Methods are called concurrently.
type Handler interface {
	// Serve handles one request of a team. The handler may keep the request after it returns.
	Serve(ctx context.Context, request *wigeonstep.Request) wigeonstep.Response
	// IssueKeys returns a response with count new idempotency keys that name this process.
	IssueKeys(ctx context.Context, count int) wigeonstep.Response
	// JobStatus returns a response with the state of a job.
	JobStatus(ctx context.Context, job wigeonstep.JobID) wigeonstep.Response
	// CancelJob cancels a job for the team in by. The response tells whether the job ran.
	CancelJob(ctx context.Context, job wigeonstep.JobID, by string) wigeonstep.Response
}

// Config configures a Server.
type Config struct {
	// Handler answers the requests; it is required.
	Handler Handler
	// Logger receives one line for each invalid request, default none.
	Logger *zap.Logger
	// MaxBody bounds the body of a request in bytes, default 8 MB.
	MaxBody int
	// MaxHeader bounds the header of a request in bytes, default 32 KB.
	MaxHeader int
	// ReadTimeout bounds the reading of one request, and the wait for the first request on a connection, default 10 s.
	ReadTimeout time.Duration
	// IdleTimeout bounds the wait for a further request on a connection, default 60 s.
	IdleTimeout time.Duration
	// IdleDrainDelay is the time for which Drain still serves requests on connections that are idle when it begins, default
	// 500 ms. A caller may have chosen such a connection already and send a request on it.
	IdleDrainDelay time.Duration
	// WriteTimeout bounds the writing of one response, default 10 s.
	WriteTimeout time.Duration
	// MaxDeadline is the longest deadline that a caller may set, default 24 h.
	MaxDeadline time.Duration
	// Now returns the wall clock time, default time.Now.
	Now func() time.Time
}

// Server serves callers on one listener.
type Server struct {
	config Config
	// prefix is random for each process, so that request IDs are unique across processes.
	prefix   string
	requests atomic.Uint64
	// inFlight counts requests from their first byte to the last byte of their response.
	inFlight atomic.Int64
	// closeAfterResponse is set once every response must ask its caller to close the connection.
	closeAfterResponse atomic.Bool

	mu    sync.Mutex
	conns map[*callerConn]struct{}
}

// New returns a Server with the defaults of Config applied.
func New(c Config) (*Server, error) {
	if c.Handler == nil {
		return nil, errors.New("the server for callers has no handler")
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	setDefault(&c.MaxBody, 8<<20)
	setDefault(&c.MaxHeader, 32<<10)
	setDefault(&c.ReadTimeout, 10*time.Second)
	setDefault(&c.IdleTimeout, time.Minute)
	setDefault(&c.IdleDrainDelay, 500*time.Millisecond)
	setDefault(&c.WriteTimeout, 10*time.Second)
	setDefault(&c.MaxDeadline, 24*time.Hour)
	if c.Now == nil {
		c.Now = time.Now
	}
	var b [4]byte
	if _, err := rand.Read(b[:]); err != nil {
		return nil, fmt.Errorf("generate the prefix of request IDs: %w", err)
	}
	return &Server{config: c, prefix: hex.EncodeToString(b[:]) + "-", conns: map[*callerConn]struct{}{}}, nil
}

func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

// Serve accepts connections until the listener is closed. The end of ctx closes it.
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

// DisableKeepAlives makes every later response ask its caller to close the connection.
func (s *Server) DisableKeepAlives() { s.closeAfterResponse.Store(true) }

// InFlight returns the number of requests that have begun and whose response is not yet written.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Drain waits until no connection is left or ctx ends. It closes a connection after its next response, and those that are
// still idle after IdleDrainDelay. The caller must have closed the listener before.
func (s *Server) Drain(ctx context.Context) error {
	s.DisableKeepAlives()
	closeIdleAt := time.Now().Add(s.config.IdleDrainDelay)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for {
		if time.Now().After(closeIdleAt) {
			s.closeIdle()
		}
		if s.openConnections() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("drain connections of callers: %d requests are still in flight: %w", s.InFlight(), ctx.Err())
		case <-tick.C:
		}
	}
}

// closeIdle closes the connections on which no request has begun.
func (s *Server) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.state.CompareAndSwap(connIdle, connClosed) {
			_ = c.Close()
			delete(s.conns, c)
		}
	}
}

// openConnections returns the number of connections that are not closed.
func (s *Server) openConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
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

// nextID returns the ID of the next request: the prefix of this process and a counter in hexadecimal.
func (s *Server) nextID() wigeonstep.RequestID {
	b := make([]byte, 0, 24)
	b = append(b, s.prefix...)
	b = strconv.AppendUint(b, s.requests.Add(1), 16)
	return wigeonstep.RequestID(b)
}

// protocolFactory registers the request loop of this package with the hertz engine.
type protocolFactory struct{ server *Server }

// New returns the protocol server for all connections. It implements suite.ServerFactory.
func (f *protocolFactory) New(suite.Core) (protocol.Server, error) { return f, nil }

// Serve serves the requests of one connection. It implements protocol.Server.
func (f *protocolFactory) Serve(ctx context.Context, c network.Conn) error {
	f.server.serveConn(ctx, c)
	return nil
}
