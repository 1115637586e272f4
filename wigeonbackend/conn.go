package wigeonbackend

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// conn is a connection to a backend server. It carries one request at a time.
type conn struct {
	net.Conn
	reader reader
	// out holds the encoded request; its memory is reused for the next request.
	out []byte
	raw syscall.RawConn
	// peek sets readable. It is allocated once for each connection, so that stale does not allocate.
	peek     func(fd uintptr) bool
	readable bool
	// lastUsed is the time at which the last request on the connection started.
	lastUsed time.Time
}

func newConn(c net.Conn) *conn {
	cn := &conn{Conn: c}
	cn.reader.conn = c
	if s, ok := c.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			cn.raw = raw
		}
	}
	cn.peek = func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		cn.readable = err != syscall.EAGAIN
		return true
	}
	return cn
}

// stale reports whether the backend server closed the idle connection or sent bytes that answer no request.
func (c *conn) stale() bool {
	if c.raw == nil {
		return false
	}
	c.readable = false
	if err := c.raw.Read(c.peek); err != nil {
		return true
	}
	return c.readable
}

// idlePool holds the idle connections to one address, the most recently used one last.
type idlePool struct {
	mu    sync.Mutex
	conns []*conn
}

// take removes the most recently used connection from the pool and returns it, or nil when the pool is empty.
func (p *idlePool) take() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.conns)
	if n == 0 {
		return nil
	}
	c := p.conns[n-1]
	p.conns[n-1] = nil
	p.conns = p.conns[:n-1]
	return c
}

// put adds c to the pool, or closes c when the pool holds limit connections. Before that it removes and closes the least
// recently used connection if that was last used before usedBefore. One removal per call is enough, because each call adds
// at most one connection.
func (p *idlePool) put(c *conn, limit int, usedBefore time.Time) {
	p.mu.Lock()
	var expired *conn
	if len(p.conns) > 0 && p.conns[0].lastUsed.Before(usedBefore) {
		expired = p.conns[0]
		p.conns = append(p.conns[:0], p.conns[1:]...)
	}
	pooled := len(p.conns) < limit
	if pooled {
		p.conns = append(p.conns, c)
	}
	p.mu.Unlock()
	if expired != nil {
		_ = expired.Close()
	}
	if !pooled {
		_ = c.Close()
	}
}

func (p *idlePool) closeAll() {
	p.mu.Lock()
	conns := p.conns
	p.conns = nil
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}
