package wigeonpeer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// maxSessions covers all processes of a fleet of the target size (112) and their replacements.
	maxSessions = 512
	// maxCallsPerSession bounds the goroutines and buffers that the concurrent calls of one peer use.
	maxCallsPerSession = 1024
	// requestTimeout bounds the time to read the request of a stream.
	requestTimeout = 10 * time.Second
	// responseTimeout bounds the time to write a response to a peer that reads slowly.
	responseTimeout = 10 * time.Second
	// acceptRetryDelay is the delay after a failure to accept, for example when the process has no file descriptor left.
	acceptRetryDelay = 50 * time.Millisecond
)

// Handler answers the requests of peers.
type Handler interface {
	// HandlePeer returns the response, or nil to send none. It must set PeerResponse.error only when the request had no
	// effect. It is called concurrently. ctx ends when the call of the caller ends, when the connection is lost, and when
	// the server closes; no response reaches the caller after that.
	HandlePeer(ctx context.Context, request *wigeonwire.PeerRequest) *wigeonwire.PeerResponse
}

// HandlerFunc adapts a function to the interface Handler.
type HandlerFunc func(ctx context.Context, request *wigeonwire.PeerRequest) *wigeonwire.PeerResponse

// HandlePeer calls f.
func (f HandlerFunc) HandlePeer(ctx context.Context, request *wigeonwire.PeerRequest) *wigeonwire.PeerResponse {
	return f(ctx, request)
}

// Server serves the requests of peers that connect to its listener.
type Server struct {
	listener net.Listener
	handler  Handler
	logger   *zap.Logger
	// closing is closed at the start of Close. ctx ends only after the sessions are closed, so that no response that a
	// handler returns because its context ended reaches a peer.
	closing chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc

	mu       sync.Mutex
	sessions map[*yamux.Session]struct{}
	// running counts the goroutines of sessions.
	running sync.WaitGroup
}

// NewServer returns a server that owns the listener and closes it in Close.
func NewServer(listener net.Listener, handler Handler, logger *zap.Logger) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		listener: listener,
		handler:  handler,
		logger:   logger,
		closing:  make(chan struct{}),
		ctx:      ctx,
		cancel:   cancel,
		sessions: map[*yamux.Session]struct{}{},
	}
}

// Addr returns the address of the listener.
func (s *Server) Addr() string {
	return s.listener.Addr().String()
}

// Serve accepts connections until Close, and then returns nil.
func (s *Server) Serve() error {
	for {
		conn, err := s.listener.Accept()
		if err == nil {
			s.startSession(conn)
			continue
		}
		if s.isClosing() {
			break
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("accept peer connections on %s: %w", s.Addr(), err)
		}
		s.logger.Warn("cannot accept a peer connection", zap.String("address", s.Addr()), zap.Error(err))
		select {
		case <-s.closing:
		case <-time.After(acceptRetryDelay):
		}
	}
	return nil //nolint:nilerr // the listener failed because Close closed it
}

// Close closes the listener and all sessions, and waits until all handlers have returned. Callers of requests in flight
// get ErrAnswerLost.
func (s *Server) Close() error {
	s.mu.Lock()
	if !s.isClosing() {
		close(s.closing)
	}
	sessions := make([]*yamux.Session, 0, len(s.sessions))
	for session := range s.sessions {
		sessions = append(sessions, session)
	}
	s.mu.Unlock()
	err := s.listener.Close()
	for _, session := range sessions {
		_ = session.Close()
	}
	s.cancel()
	s.running.Wait()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("close peer listener: %w", err)
	}
	return nil
}

func (s *Server) isClosing() bool {
	select {
	case <-s.closing:
		return true
	default:
		return false
	}
}

// startSession starts a session on an accepted connection. It closes the connection when the server is closing or has
// maxSessions sessions.
func (s *Server) startSession(conn net.Conn) {
	peer := conn.RemoteAddr().String()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosing() || len(s.sessions) >= maxSessions {
		_ = conn.Close()
		if !s.isClosing() {
			s.logger.Warn("refused a peer connection: session limit reached", zap.String("peer", peer), zap.Int("limit", maxSessions))
		}
		return
	}
	session, err := yamux.Server(conn, sessionConfig(defaultWriteTimeout))
	if err != nil {
		_ = conn.Close()
		s.logger.Error("cannot start a peer session", zap.String("peer", peer), zap.Error(err))
		return
	}
	s.sessions[session] = struct{}{}
	s.running.Go(func() { s.serveSession(session, peer) })
}

// serveSession serves the calls of one peer until its session ends or a frame does not follow the protocol.
func (s *Server) serveSession(session *yamux.Session, peer string) {
	ctx, cancel := context.WithCancel(s.ctx)
	var calls sync.WaitGroup
	var protocolErr atomic.Pointer[error]
	callSlots := make(chan struct{}, maxCallsPerSession)
	sessionErr := s.acceptStreams(session, callSlots, func(stream *yamux.Stream) {
		calls.Go(func() {
			defer func() { <-callSlots }()
			defer s.recoverPanic(peer)
			if err := s.serveStream(ctx, stream); errors.Is(err, errBadFrame) {
				protocolErr.CompareAndSwap(nil, &err)
				_ = session.Close()
			}
		})
	})
	_ = session.Close()
	cancel()
	calls.Wait()
	s.mu.Lock()
	delete(s.sessions, session)
	s.mu.Unlock()
	if err := protocolErr.Load(); err != nil {
		sessionErr = *err
	}
	s.logSessionEnd(peer, sessionErr)
}

// recoverPanic logs a panic in the handler of one call, which ends only that call: its stream is closed without a response,
// so the peer gets ErrAnswerLost.
func (s *Server) recoverPanic(peer string) {
	if cause := recover(); cause != nil {
		s.logger.Error("panic", zap.String("peer", peer), zap.Any("cause", cause), zap.Stack("stack"))
	}
}

// acceptStreams acquires a call slot for each incoming stream and then serves the stream. It returns the error that
// ended the session.
func (s *Server) acceptStreams(session *yamux.Session, callSlots chan<- struct{}, serve func(stream *yamux.Stream)) error {
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return err
		}
		select {
		case callSlots <- struct{}{}:
			serve(stream)
		case <-session.CloseChan():
		}
	}
}

// logSessionEnd logs the error that ended a session, unless the peer or this server closed it in the regular way.
func (s *Server) logSessionEnd(peer string, sessionErr error) {
	if s.isClosing() || errors.Is(sessionErr, io.EOF) || errors.Is(sessionErr, yamux.ErrSessionShutdown) {
		return
	}
	s.logger.Warn("peer session ended with an error", zap.String("peer", peer), zap.Error(sessionErr))
}

// serveStream serves one request. The error wraps errBadFrame when the peer does not follow the protocol.
func (s *Server) serveStream(ctx context.Context, stream *yamux.Stream) error {
	defer stream.Close() //nolint:errcheck // a failure ends the session, which reports it
	_ = stream.SetReadDeadline(time.Now().Add(requestTimeout))
	request := &wigeonwire.PeerRequest{}
	if err := readFrame(stream, request); err != nil {
		return err
	}
	if request.GetBody() == nil {
		return fmt.Errorf("%w: the request has no body", errBadFrame)
	}
	_ = stream.SetReadDeadline(time.Time{})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if h, ok := s.handler.(StreamHandler); ok && h.HandleStream(ctx, request, &Stream{inner: stream}) {
		return nil
	}
	// The peer sends nothing after its request, so the read returns when the call of the peer ends or the stream closes.
	go func() {
		_, _ = stream.Read(make([]byte, 1))
		cancel()
	}()
	response := s.handler.HandlePeer(ctx, request)
	if response == nil {
		return nil
	}
	frame, err := encodeFrame(response)
	if err != nil {
		// The request may have taken effect, so the peer must not receive an error that means the opposite.
		s.logger.Error("cannot encode a response to a peer", zap.String("peer", stream.RemoteAddr().String()), zap.Error(err))
		return err
	}
	_ = stream.SetWriteDeadline(time.Now().Add(responseTimeout))
	if _, err := stream.Write(frame); err != nil {
		return fmt.Errorf("write response: %w", err)
	}
	return nil
}
