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

// maxRequestBytes is above the size of the largest request that wigeonstep forwards.
const maxRequestBytes = 16 << 20

// httpServer is a hertz server whose connections can be closed or reset at any time.
type httpServer struct {
	listener *faultListener
	// serving is closed when the server has ended.
	serving chan struct{}
}

// startHTTP listens on host:port and starts to serve. connections is the maximum number of open connections; 0 means no
// limit. Further connections wait in the listen queue.
func startHTTP(address string, connections int, register func(engine *server.Hertz)) (*httpServer, error) {
	var config net.ListenConfig
	inner, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	listener := newFaultListener(inner, connections)
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

// kill closes the listener and resets all connections, as killing the process does, and waits until the server has ended.
func (s *httpServer) kill() {
	_ = s.listener.Close()
	<-s.serving
}

type connKey struct{}

// connFromContext returns the connection of the request whose handler has the context.
func connFromContext(ctx context.Context) *faultConn {
	conn, _ := ctx.Value(connKey{}).(*faultConn)
	return conn
}

// faultListener is a listener that tracks its connections and resets them when it closes.
type faultListener struct {
	net.Listener
	slots  chan struct{} // nil without a limit
	closed chan struct{}

	mu       sync.Mutex
	conns    map[*faultConn]struct{}
	isClosed bool
}

func newFaultListener(inner net.Listener, connections int) *faultListener {
	l := &faultListener{Listener: inner, closed: make(chan struct{}), conns: map[*faultConn]struct{}{}}
	if connections > 0 {
		l.slots = make(chan struct{}, connections)
	}
	return l
}

// Accept waits for a connection and, if their number is limited, before that for a free slot.
func (l *faultListener) Accept() (net.Conn, error) {
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
	conn := &faultConn{Conn: inner, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed {
		conn.reset()
		return nil, net.ErrClosed
	}
	l.conns[conn] = struct{}{}
	return conn, nil
}

// Close closes the listener and resets all open connections.
func (l *faultListener) Close() error {
	l.mu.Lock()
	if l.isClosed {
		l.mu.Unlock()
		return nil
	}
	l.isClosed = true
	conns := l.conns
	l.conns = map[*faultConn]struct{}{}
	l.mu.Unlock()
	err := l.Listener.Close()
	for conn := range conns {
		conn.reset()
	}
	// Handlers wait for this channel. It closes after the resets, so that none of them can send an answer.
	close(l.closed)
	return err
}

// remove stops tracking a closed connection and frees its slot.
func (l *faultListener) remove(conn *faultConn) {
	l.mu.Lock()
	delete(l.conns, conn)
	l.mu.Unlock()
	if l.slots != nil {
		<-l.slots
	}
}

// faultConn is a connection that can be closed after a given number of further bytes, or reset.
type faultConn struct {
	net.Conn
	listener *faultListener
	once     sync.Once
	// remaining is the number of bytes until the connection closes, if limited is set.
	limited   atomic.Bool
	remaining atomic.Int64
}

var errClosedByFault = errors.New("connection closed by an injected fault")

// closeAfter makes the connection close after the given number of further written bytes.
func (c *faultConn) closeAfter(bytes int) {
	c.remaining.Store(int64(bytes))
	c.limited.Store(true)
}

// reset closes the connection with a TCP reset.
func (c *faultConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Write writes b. After closeAfter it writes no more than the permitted bytes, then closes the connection and returns an
// error.
func (c *faultConn) Write(b []byte) (int, error) {
	if !c.limited.Load() {
		return c.Conn.Write(b)
	}
	remaining := c.remaining.Load()
	if int64(len(b)) < remaining {
		c.remaining.Add(-int64(len(b)))
		return c.Conn.Write(b)
	}
	n, _ := c.Conn.Write(b[:remaining])
	// The connection is closed without a reset, so that the bytes written above reach the client first.
	_ = c.Close()
	return n, errClosedByFault
}

// Close closes the connection and frees its slot in the listener. Further calls return net.ErrClosed.
func (c *faultConn) Close() error {
	err := net.ErrClosed
	c.once.Do(func() {
		err = c.Conn.Close()
		c.listener.remove(c)
	})
	return err
}
