package wigeonbackend

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// conn is one connection to a backend server. It carries one request at a time.
type conn struct {
	net.Conn
	reader reader
	out    []byte
	raw    syscall.RawConn
	// peek is kept so that the check before each request allocates nothing.
	peek      func(fd uintptr) bool
	readable  bool
	idleSince time.Time
}

func newConn(c net.Conn) *conn {
	k := &conn{Conn: c}
	k.reader.conn = c
	if s, ok := c.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			k.raw = raw
		}
	}
	k.peek = func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		k.readable = err != syscall.EAGAIN
		return true
	}
	return k
}

// stale reports whether the peer closed the idle connection or sent bytes that belong to no request.
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

// idlePool holds the idle connections to one address, the last used on top.
type idlePool struct {
	mu    sync.Mutex
	conns []*conn
}

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

// put keeps the connection unless the pool already holds limit connections, and closes those idle since before.
func (p *idlePool) put(c *conn, limit int, before time.Time) {
	p.mu.Lock()
	var old *conn
	if len(p.conns) > 0 && p.conns[0].idleSince.Before(before) {
		old = p.conns[0]
		p.conns = append(p.conns[:0], p.conns[1:]...)
	}
	kept := len(p.conns) < limit
	if kept {
		p.conns = append(p.conns, c)
	}
	p.mu.Unlock()
	if old != nil {
		_ = old.Close()
	}
	if !kept {
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
