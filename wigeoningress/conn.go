package wigeoningress

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// phase is the part of a connection's life, as the choice of a victim sees it.
type phase = int32

const (
	// phaseFresh: nothing has been received.
	phaseFresh phase = iota
	// phaseIdle: the last request has been answered.
	phaseIdle
	// phaseCollecting: a request has begun.
	phaseCollecting
	// phaseHandling: the request is complete; its response is not written yet.
	phaseHandling
	// phaseWriting: bytes of the response are being written.
	phaseWriting
	// phaseEnding: the connection has to end.
	phaseEnding
)

// requestCounter is implemented by connections that count requests in progress. Such a connection takes a Read as the start of a
// request and a Write as its response, which isn't true in the cases of these methods.
type requestCounter interface {
	// BeginRequest begins a request whose bytes were read with those of an earlier one.
	BeginRequest()
	// WriteInterim writes a response that is not the last one to its request.
	WriteInterim(b []byte) (int, error)
	// ReadUncounted reads bytes that begin no request.
	ReadUncounted(b []byte) (int, error)
}

// Conn is a connection of a client. Read returns only bytes of complete requests, and never those of two requests at once. It
// must not be called concurrently; neither may Write.
type Conn struct {
	net.Conn
	listener *Listener
	address  netip.Addr

	phase  atomic.Int32
	charge atomic.Int64
	// since is the start of the phase, in nanoseconds since 1970.
	since atomic.Int64
	// endReason is why the connection has to end. It is set before phaseEnding.
	endReason atomic.Int32
	// reclaimed is what the connection still holds of its charge at the time at which its eviction began. mu of the gate
	// protects it.
	reclaimed int64
	closed    atomic.Bool
	// last is set when the request was made the last one on the connection, although the client may have sent more.
	last atomic.Bool
	// deadlines is held while a deadline is set, and by end from the change of the phase on, so that end doesn't replace a
	// deadline that was set because of that change.
	deadlines sync.Mutex

	collector
	// out holds the bytes of the current request that Read has not returned yet.
	out [2][]byte
	// rest holds bytes behind the current request, which were read at restAt at the earliest.
	rest   []byte
	restAt time.Time
	// refused is set when the connection takes no further request.
	refused bool
}

func newConn(inner net.Conn, l *Listener) *Conn {
	c := &Conn{Conn: inner, listener: l}
	if a, ok := inner.RemoteAddr().(*net.TCPAddr); ok {
		c.address = a.AddrPort().Addr().Unmap()
	}
	c.since.Store(time.Now().UnixNano())
	return c
}

// sender returns the connection as the choice of a victim sees it.
func (c *Conn) sender(now time.Time) sender {
	p, age := c.phase.Load(), time.Duration(now.UnixNano()-c.since.Load())
	return sender{
		charge: c.charge.Load(), age: age, unfinished: p == phaseFresh || p == phaseCollecting || p == phaseWriting,
		kept: p == phaseHandling || p == phaseEnding || p == phaseWriting && age <= stalledAge,
	}
}

// end tells the connection to end. It returns false if a request is being handled, or if the connection ends already.
func (c *Conn) end(reason Reason) bool {
	p := c.phase.Load()
	if p == phaseHandling || p == phaseEnding {
		return false
	}
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	c.endReason.Store(int32(reason)) //nolint:gosec // one of a few constants
	if !c.phase.CompareAndSwap(p, phaseEnding) {
		return false
	}
	// The deadline ends the read or write that is in progress.
	if p == phaseWriting {
		_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	} else {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return true
}

// enter begins a phase. It returns false if the connection has to end.
func (c *Conn) enter(next phase, now time.Time) bool {
	p := c.phase.Load()
	if p == phaseEnding {
		return false
	}
	c.since.Store(now.UnixNano())
	return p == next || c.phase.CompareAndSwap(p, next)
}

// Read returns bytes of the current request, or waits until the next request is complete. It returns io.EOF when the connection
// takes no further request; the refusal has then been written.
func (c *Conn) Read(p []byte) (int, error) {
	if len(c.out[0])+len(c.out[1]) > 0 {
		return c.handOver(p), nil
	}
	if c.refused || len(p) == 0 {
		return 0, io.EOF
	}
	n, reason := c.receive(p)
	if reason != None {
		c.refuse(reason)
		return 0, io.EOF
	}
	if n > 0 {
		return n, nil
	}
	return c.handOver(p), nil
}

// handOver copies bytes of the current request to p, and lets go of the buffer after the last one.
func (c *Conn) handOver(p []byte) int {
	n := 0
	for i := range c.out {
		copied := copy(p[n:], c.out[i])
		c.out[i] = c.out[i][copied:]
		n += copied
	}
	if len(c.out[0])+len(c.out[1]) == 0 {
		c.out = [2][]byte{}
		c.freeBuffer()
	}
	return n
}

// failure returns why the connection ends after a read without bytes. timeout is the reason if its deadline has passed.
func (c *Conn) failure(err error, timeout Reason) Reason {
	if c.phase.Load() == phaseEnding {
		return Reason(c.endReason.Load())
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return timeout
	}
	return Disconnected
}

// setReadDeadline sets the deadline of the next read unless the connection has to end.
func (c *Conn) setReadDeadline(t time.Time) {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	if c.phase.Load() == phaseEnding {
		t = time.Unix(1, 0)
	}
	_ = c.Conn.SetReadDeadline(t)
}

// setWriteDeadline sets the deadline of the next write of a response unless the connection has to end.
func (c *Conn) setWriteDeadline(t time.Time) {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	if c.phase.Load() == phaseEnding {
		t = time.Unix(1, 0)
	}
	_ = c.Conn.SetWriteDeadline(t)
}

const (
	// refusalTimeout bounds the writing of a refusal, and lingerTimeout the time for which a connection is read after its last
	// response and what arrives is discarded: a connection that is closed with unread bytes is reset, which may take the response
	// from the client.
	refusalTimeout = time.Second
	lingerTimeout  = 500 * time.Millisecond
	lingerBytes    = 1 << 20
)

// refuse answers the unfinished request with a refusal, and ends the sending side of the connection.
func (c *Conn) refuse(reason Reason) {
	c.refused = true
	c.out, c.rest = [2][]byte{}, nil
	c.freeBuffer()
	if reason == Disconnected {
		return
	}
	c.listener.gate.count(reason, c)
	if !c.begun {
		return
	}
	response := reason.response()
	c.deadlines.Lock()
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	c.deadlines.Unlock()
	if _, err := c.Conn.Write(response); err != nil {
		return
	}
	c.linger()
}

// linger ends the sending side of the connection, and throws away what arrives for a while.
func (c *Conn) linger() {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); !ok || closer.CloseWrite() != nil {
		return
	}
	c.deadlines.Lock()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	c.deadlines.Unlock()
	drain := c.Conn.Read
	if counter, ok := c.Conn.(requestCounter); ok {
		drain = counter.ReadUncounted
	}
	var scratch [minReadBytes]byte
	for read := 0; read < lingerBytes; {
		n, err := drain(scratch[:])
		if err != nil {
			return
		}
		read += n
	}
}

const (
	// stalledAge is the time after which a response that is not read may be ended to make room for others.
	stalledAge = time.Second
	// coveredBytes is the size up to which a response is covered by connectionCharge.
	coveredBytes = 4 << 10
)

// Write writes bytes of a response within the time limit.
func (c *Conn) Write(b []byte) (int, error) {
	now := time.Now()
	if c.refused || !c.enter(phaseWriting, now) {
		return 0, syscall.EPIPE
	}
	c.setWriteDeadline(now.Add(c.listener.limits().WriteTimeout))
	var n int
	var err error
	if len(b) <= coveredBytes {
		n, err = c.Conn.Write(b)
	} else {
		n, err = c.writeCharged(b)
	}
	if !c.phase.CompareAndSwap(phaseWriting, phaseHandling) && err != nil {
		return n, c.abandon(Reason(c.endReason.Load()))
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return n, c.abandon(WriteTimeout)
	}
	return n, err
}

// writeCharged writes bytes that the budget holds until they are written.
func (c *Conn) writeCharged(b []byte) (int, error) {
	g := c.listener.gate
	defer g.release(c, int64(len(b)))
	if !g.take(c, int64(len(b))) {
		return 0, c.abandon(BudgetExhausted)
	}
	return c.Conn.Write(b)
}

// abandon ends the connection in the middle of a response. The library logs other errors than the one that is returned, without a
// bound.
func (c *Conn) abandon(reason Reason) error {
	c.refused = true
	c.last.Store(false)
	c.listener.gate.count(reason, c)
	return syscall.EPIPE
}

// SetReadDeadline does nothing. The connection sets its deadlines itself, by the part of a request that it waits for.
func (c *Conn) SetReadDeadline(time.Time) error { return nil }

// SetDeadline does nothing, as SetReadDeadline.
func (c *Conn) SetDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing, as SetReadDeadline.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// Close closes the connection and gives back what it holds of the budget. After a request that was made the last one, it lingers,
// so that requests behind it, which are not read, don't take the response from the client.
func (c *Conn) Close() error {
	if c.last.Swap(false) && c.enter(phaseIdle, time.Now()) {
		c.linger()
	}
	err := c.Conn.Close()
	if !c.closed.Swap(true) {
		c.listener.gate.forget(c)
	}
	return err
}
