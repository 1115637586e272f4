package wigeonfake

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

// maxRequestBytes is above the largest request that wigeonstep passes on.
const maxRequestBytes = 16 << 20

// httpServer is a hertz server whose connections can be cut at any time.
type httpServer struct {
	listener *cutListener
	serving  chan struct{}
}

// startHTTP listens on host:port and serves. With a limit above zero, further connections wait in the listen queue.
func startHTTP(address string, connections int, register func(engine *server.Hertz)) (*httpServer, error) {
	var config net.ListenConfig
	inner, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	listener := newCutListener(inner, connections)
	engine := server.New(
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(maxRequestBytes),
		server.WithDisablePrintRoute(true),
		server.WithOnAccept(func(conn net.Conn) context.Context {
			return context.WithValue(context.Background(), connKey{}, conn)
		}),
	)
	register(engine)
	s := &httpServer{listener: listener, serving: make(chan struct{})}
	go func() {
		defer close(s.serving)
		_ = engine.Run() // ends without an error once the listener is closed
	}()
	return s, nil
}

func (s *httpServer) address() string {
	return s.listener.Addr().String()
}

// kill closes the listener and resets every connection, as the death of the process does.
func (s *httpServer) kill() {
	_ = s.listener.Close()
	<-s.serving
}

type connKey struct{}

// connOf returns the connection that a request came on.
func connOf(ctx context.Context) *cutConn {
	conn, _ := ctx.Value(connKey{}).(*cutConn)
	return conn
}

// cutListener keeps track of its connections.
type cutListener struct {
	net.Listener
	slots  chan struct{} // nil without a limit
	closed chan struct{}

	mu    sync.Mutex
	conns map[*cutConn]struct{}
	done  bool
}

func newCutListener(inner net.Listener, connections int) *cutListener {
	l := &cutListener{Listener: inner, closed: make(chan struct{}), conns: map[*cutConn]struct{}{}}
	if connections > 0 {
		l.slots = make(chan struct{}, connections)
	}
	return l
}

// Accept implements net.Listener.
func (l *cutListener) Accept() (net.Conn, error) {
	if l.slots != nil {
		select {
		case l.slots <- struct{}{}:
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &cutConn{Conn: inner, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.done {
		conn.reset()
		return nil, net.ErrClosed
	}
	l.conns[conn] = struct{}{}
	return conn, nil
}

// Close implements net.Listener. It resets all connections.
func (l *cutListener) Close() error {
	l.mu.Lock()
	if l.done {
		l.mu.Unlock()
		return nil
	}
	l.done = true
	conns := l.conns
	l.conns = map[*cutConn]struct{}{}
	l.mu.Unlock()
	err := l.Listener.Close()
	for conn := range conns {
		conn.reset()
	}
	// Handlers that wait for this channel must find their connections reset, so that none of them answers.
	close(l.closed)
	return err
}

func (l *cutListener) forget(conn *cutConn) {
	l.mu.Lock()
	delete(l.conns, conn)
	l.mu.Unlock()
	if l.slots != nil {
		<-l.slots
	}
}

// cutConn is a connection that can be cut after some more bytes.
type cutConn struct {
	net.Conn
	listener *cutListener
	once     sync.Once
	cutting  atomic.Bool
	left     atomic.Int64
}

var errCut = errors.New("the stand-in cut the connection")

// cutAfter resets the connection once it has written the number of bytes.
func (c *cutConn) cutAfter(bytes int) {
	c.left.Store(int64(bytes))
	c.cutting.Store(true)
}

// reset closes the connection with a TCP reset.
func (c *cutConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Write implements net.Conn.
func (c *cutConn) Write(b []byte) (int, error) {
	if !c.cutting.Load() {
		return c.Conn.Write(b)
	}
	left := c.left.Load()
	if int64(len(b)) < left {
		c.left.Add(-int64(len(b)))
		return c.Conn.Write(b)
	}
	n, _ := c.Conn.Write(b[:left])
	// Without the reset the bytes written above reach the client before the end of the connection.
	_ = c.Close()
	return n, errCut
}

// Close implements net.Conn.
func (c *cutConn) Close() error {
	err := net.ErrClosed
	c.once.Do(func() {
		err = c.Conn.Close()
		c.listener.forget(c)
	})
	return err
}
