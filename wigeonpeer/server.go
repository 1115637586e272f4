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
	// maxSessions covers every process of the target size (112) with room for replacements.
	maxSessions = 512
	// maxCallsPerSession bounds the goroutines and buffers that one peer can claim.
	maxCallsPerSession = 1024
	// requestTimeout bounds the time between the opening of a stream and the end of its request.
	requestTimeout = 10 * time.Second
	// responseTimeout bounds the time to write a response to a peer that reads slowly.
	responseTimeout = 10 * time.Second
	// acceptRetryDelay follows a failure to accept, for example when no file descriptor is left.
	acceptRetryDelay = 50 * time.Millisecond
)

// Handler answers the requests of peers.
type Handler interface {
	// HandlePeer returns the response, or nil to send none; it sets PeerResponse.error only when the request had no
	// effect. It is called on many goroutines at once. ctx ends when the caller gives up, when the connection is lost,
	// and when the server closes; no response reaches the caller after that.
	HandlePeer(ctx context.Context, request *wigeonwire.PeerRequest) *wigeonwire.PeerResponse
}

// HandlerFunc is a function that is a Handler.
type HandlerFunc func(ctx context.Context, request *wigeonwire.PeerRequest) *wigeonwire.PeerResponse

// HandlePeer implements Handler.
func (f HandlerFunc) HandlePeer(ctx context.Context, request *wigeonwire.PeerRequest) *wigeonwire.PeerResponse {
	return f(ctx, request)
}

// Server answers peers on a listener.
type Server struct {
	listener net.Listener
	handler  Handler
	logger   *zap.Logger
	// closing is closed first by Close; ctx ends only once the sessions are closed, so that no handler answers because
	// its context ended.
	closing chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc

	mu       sync.Mutex
	sessions map[*yamux.Session]struct{}
	running  sync.WaitGroup
}

// NewServer returns a server that owns the listener.
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
			s.start(conn)
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

// Close closes the listener and all sessions, and waits until no handler runs. Requests in flight lose their answers;
// their callers get ErrAnswerLost.
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

func (s *Server) start(conn net.Conn) {
	peer := conn.RemoteAddr().String()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosing() || len(s.sessions) >= maxSessions {
		_ = conn.Close()
		if !s.isClosing() {
			s.logger.Warn("refused a peer connection over the limit", zap.String("peer", peer), zap.Int("limit", maxSessions))
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

func (s *Server) serveSession(session *yamux.Session, peer string) {
	ctx, cancel := context.WithCancel(s.ctx)
	var calls sync.WaitGroup
	var violation atomic.Pointer[error]
	slots := make(chan struct{}, maxCallsPerSession)
	end := s.acceptStreams(session, slots, func(stream *yamux.Stream) {
		calls.Go(func() {
			defer func() { <-slots }()
			if err := s.serveStream(ctx, stream); errors.Is(err, errBadFrame) {
				violation.CompareAndSwap(nil, &err)
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
	if err := violation.Load(); err != nil {
		end = *err
	}
	s.logEnd(peer, end)
}

// acceptStreams takes a slot for each stream, and returns why the session ended.
func (s *Server) acceptStreams(session *yamux.Session, slots chan<- struct{}, serve func(stream *yamux.Stream)) error {
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return err
		}
		select {
		case slots <- struct{}{}:
			serve(stream)
		case <-session.CloseChan():
		}
	}
}

// logEnd logs the end of a session once, when it was neither the peer's nor this server's wish.
func (s *Server) logEnd(peer string, end error) {
	if s.isClosing() || errors.Is(end, io.EOF) || errors.Is(end, yamux.ErrSessionShutdown) {
		return
	}
	s.logger.Warn("closed a peer connection", zap.String("peer", peer), zap.Error(end))
}

// serveStream answers one request. The error wraps errBadFrame when the peer does not follow the protocol.
func (s *Server) serveStream(ctx context.Context, stream *yamux.Stream) error {
	defer stream.Close() //nolint:errcheck // the session reports the failure
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
	// The peer sends nothing after its request, so the read returns when the peer gives up or the stream is closed.
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
		// The request may have had its effect, so the peer must not read an error that denies it.
		s.logger.Error("cannot encode a response to a peer", zap.String("peer", stream.RemoteAddr().String()), zap.Error(err))
		return err
	}
	_ = stream.SetWriteDeadline(time.Now().Add(responseTimeout))
	if _, err := stream.Write(frame); err != nil {
		return fmt.Errorf("write response: %w", err)
	}
	return nil
}
