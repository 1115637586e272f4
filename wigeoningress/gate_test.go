package wigeoningress

import (
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
)

// accept returns the connection that a gate's listener makes of inner.
func accept(t *testing.T, l *Listener, inner net.Conn) (*Conn, error) {
	t.Helper()
	scripted := l.Listener.(*scriptedListener)
	scripted.conns = append(scripted.conns, inner)
	c, err := l.Accept()
	if err != nil {
		return nil, err
	}
	return c.(*Conn), nil
}

func newConns(t *testing.T, l *Listener, count int) []*Conn {
	t.Helper()
	var conns []*Conn
	for range count {
		c, err := accept(t, l, &scriptedConn{})
		qt.Assert(t, err, qt.IsNil)
		conns = append(conns, c)
	}
	return conns
}

// Guards against a budget that is exceeded, that ends a request that is being handled, or that refuses an ordinary caller while a
// costlier sender could be evicted.
func TestBudgetEndsTheCostliestSender(t *testing.T) {
	const total = 1 << 20
	g := NewGate(Settings{MemoryBytes: memoryFraction * total})
	conns := newConns(t, g.Listen(&scriptedListener{}, ListenerSettings{}), 4)
	handled, hostile, small, ordinary := conns[0], conns[1], conns[2], conns[3]
	long := time.Now().Add(-time.Second)
	qt.Assert(t, handled.enter(phaseHandling, long), qt.IsTrue)
	qt.Assert(t, hostile.enter(phaseCollecting, long), qt.IsTrue)
	qt.Assert(t, small.enter(phaseCollecting, long), qt.IsTrue)
	qt.Assert(t, ordinary.enter(phaseCollecting, time.Now()), qt.IsTrue)
	qt.Assert(t, g.take(handled, total/4), qt.IsTrue)
	qt.Assert(t, g.take(hostile, total/2), qt.IsTrue)
	qt.Assert(t, g.take(ordinary, total/4), qt.IsTrue)
	qt.Assert(t, hostile.phase.Load(), qt.Equals, phaseEnding)
	qt.Assert(t, Reason(hostile.endReason.Load()), qt.Equals, BudgetExhausted)
	qt.Assert(t, small.phase.Load(), qt.Equals, phaseCollecting)

	// The hostile connection has not given anything back yet, and the overdraft is bounded.
	qt.Assert(t, g.take(ordinary, total/4), qt.IsFalse)
	qt.Assert(t, hostile.Close(), qt.IsNil)
	qt.Assert(t, ordinary.Close(), qt.IsNil)
	qt.Assert(t, g.reclaiming, qt.Equals, int64(0))
	qt.Assert(t, g.take(small, total/8), qt.IsTrue)
	qt.Assert(t, small.phase.Load(), qt.Equals, phaseCollecting)
	// No other connection can be evicted, so the sender itself is.
	qt.Assert(t, g.take(small, total), qt.IsFalse)
	qt.Assert(t, handled.phase.Load(), qt.Equals, phaseHandling)
	qt.Assert(t, small.Close(), qt.IsNil)
	qt.Assert(t, handled.Close(), qt.IsNil)
	qt.Assert(t, g.used.Load(), qt.Equals, int64(0))
	qt.Assert(t, g.peak.Load() > total, qt.IsTrue)
}

// Guards against silent connections that keep out all others, and against a limit that ends requests in progress.
func TestConnectionLimits(t *testing.T) {
	for _, limits := range []Limits{{Connections: 4, AddressConnections: 9}, {Connections: 9, AddressConnections: 4}} {
		g := NewGate(Settings{})
		l := g.Listen(&scriptedListener{}, ListenerSettings{Limits: limits})
		conns := newConns(t, l, 4)
		for _, c := range conns[1:] {
			c.phase.Store(phaseHandling)
		}
		conns = append(conns, newConns(t, l, 1)...)
		qt.Assert(t, conns[0].phase.Load(), qt.Equals, phaseEnding)
		// The evicted connection is still open, and so many more are too many.
		_, err := accept(t, l, &scriptedConn{})
		qt.Assert(t, err, qt.Equals, net.ErrClosed)
		qt.Assert(t, conns[4].phase.Load(), qt.Equals, phaseFresh)
		qt.Assert(t, conns[0].Close(), qt.IsNil)
		conns[4].phase.Store(phaseHandling)
		_, err = accept(t, l, &scriptedConn{})
		qt.Assert(t, err, qt.Equals, net.ErrClosed, qt.Commentf("the connection is closed, and the listener accepts the next"))
		for _, c := range conns[1:] {
			qt.Assert(t, c.phase.Load(), qt.Equals, phaseHandling)
			qt.Assert(t, c.Close(), qt.IsNil)
		}
		qt.Assert(t, g.used.Load(), qt.Equals, int64(0))
		qt.Assert(t, l.open, qt.Equals, 0)
		qt.Assert(t, l.byAddress, qt.HasLen, 0)
	}
}

// Guards against a listener at its limit that ends connections of another listener of the process.
func TestConnectionLimitsEndOnlyOwnConnections(t *testing.T) {
	for _, limits := range []Limits{{Connections: 2, AddressConnections: 9}, {Connections: 9, AddressConnections: 2}} {
		g := NewGate(Settings{})
		others := newConns(t, g.Listen(&scriptedListener{}, ListenerSettings{}), 3)
		for _, c := range others {
			c.since.Store(time.Now().Add(-time.Hour).UnixNano())
		}
		small := g.Listen(&scriptedListener{}, ListenerSettings{Limits: limits})
		own := newConns(t, small, 3)
		ended := 0
		for _, c := range own {
			if c.phase.Load() == phaseEnding {
				ended++
			}
		}
		qt.Assert(t, ended, qt.Equals, 1)
		_, err := accept(t, small, &scriptedConn{})
		qt.Assert(t, err, qt.Equals, net.ErrClosed)
		for _, c := range others {
			qt.Assert(t, c.phase.Load(), qt.Equals, phaseFresh)
		}
	}
}

// Guards against a connection that is ended for the limit of its address in favour of one that the listener's limit refuses.
func TestNoVictimForARefusedConnection(t *testing.T) {
	g := NewGate(Settings{})
	l := g.Listen(&scriptedListener{}, ListenerSettings{Limits: Limits{Connections: 4, AddressConnections: 4}})
	conns := newConns(t, l, 4)
	// Another address has used up the overdraft of the listener.
	l.open = withOverdraft(4)
	_, err := accept(t, l, &scriptedConn{})
	qt.Assert(t, err, qt.Equals, net.ErrClosed)
	for _, c := range conns {
		qt.Assert(t, c.phase.Load(), qt.Equals, phaseFresh)
	}
	qt.Assert(t, g.counters[TooManyConnections].unlogged.Load(), qt.Equals, int64(1))
}

// Guards against a sender that keeps its connection for ever, and against a refusal that doesn't say what happened.
func TestTimeLimits(t *testing.T) {
	limits := Limits{HeadTimeout: 20 * time.Millisecond, BodyGrace: 20 * time.Millisecond, WriteTimeout: 20 * time.Millisecond}
	for _, test := range []struct {
		input  string
		reason Reason
	}{
		{"", Disconnected}, {get, HeadTimeout}, {"\r\n", HeadTimeout}, {post + "Content-Length: 5\r\n\r\nab", BodyTimeout}, {chunked + "5\r\nab", BodyTimeout},
	} {
		client, server := net.Pipe()
		// The server must not close before the input is written, however slow the machine is.
		limits.IdleTimeout = time.Hour
		if test.input == "" {
			limits.IdleTimeout = 20 * time.Millisecond
		}
		c, err := accept(t, NewGate(Settings{}).Listen(&scriptedListener{}, ListenerSettings{Limits: limits}), server)
		qt.Assert(t, err, qt.IsNil)
		go func() {
			_, _ = c.Read(make([]byte, 4096))
			_ = c.Close()
		}()
		if test.input != "" {
			_, err = io.WriteString(client, test.input)
			qt.Assert(t, err, qt.IsNil)
		}
		answer, err := io.ReadAll(client)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(answer), qt.Equals, string(test.reason.response()), qt.Commentf("%q", test.input))
	}
	_, server := net.Pipe()
	c, err := accept(t, NewGate(Settings{}).Listen(&scriptedListener{}, ListenerSettings{Limits: limits}), server)
	qt.Assert(t, err, qt.IsNil)
	_, err = io.WriteString(c, "unread")
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, c.listener.gate.counters[WriteTimeout].unlogged.Load(), qt.Equals, int64(1))
}

// Guards against bytes that count as still to come after a victim has given them back, so that nobody else is evicted.
func TestReclaimingEndsWithRelease(t *testing.T) {
	const total = 1 << 20
	g := NewGate(Settings{MemoryBytes: memoryFraction * total})
	conns := newConns(t, g.Listen(&scriptedListener{}, ListenerSettings{}), 3)
	first, second, ordinary := conns[0], conns[1], conns[2]
	for _, c := range conns[:2] {
		qt.Assert(t, c.enter(phaseCollecting, time.Now().Add(-time.Second)), qt.IsTrue)
	}
	qt.Assert(t, first.takeBuffer(total/2), qt.IsTrue)
	qt.Assert(t, g.take(ordinary, total/2), qt.IsTrue)
	qt.Assert(t, first.phase.Load(), qt.Equals, phaseEnding)
	first.freeBuffer()
	qt.Assert(t, g.reclaiming, qt.Equals, int64(connectionCharge))
	qt.Assert(t, second.takeBuffer(total/4), qt.IsTrue)
	// The buffer of the first connection is free already, so the second one has to be evicted.
	qt.Assert(t, g.take(ordinary, total/4), qt.IsTrue)
	qt.Assert(t, second.phase.Load(), qt.Equals, phaseEnding)
	for _, c := range conns {
		qt.Assert(t, c.Close(), qt.IsNil)
	}
	qt.Assert(t, g.reclaiming, qt.Equals, int64(0))
	qt.Assert(t, g.used.Load(), qt.Equals, int64(0))
}

// slowDeadlineConn holds the setting of its first read deadline in the past until resume is closed, and records its last deadlines.
type slowDeadlineConn struct {
	scriptedConn
	started, resume chan struct{}
	mu              sync.Mutex
	read            time.Time
}

func (c *slowDeadlineConn) SetReadDeadline(t time.Time) error {
	if t.Before(time.Now()) {
		close(c.started)
		<-c.resume
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read = t
	return nil
}

func (c *slowDeadlineConn) CloseWrite() error { return nil }

// Guards against a victim whose refusal is lost because the deadline that wakes it replaces the one of its last reads.
func TestWakingKeepsTheDeadlineOfARefusal(t *testing.T) {
	inner := &slowDeadlineConn{started: make(chan struct{}), resume: make(chan struct{})}
	c, err := accept(t, NewGate(Settings{}).Listen(&scriptedListener{}, ListenerSettings{}), inner)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.enter(phaseCollecting, time.Now()), qt.IsTrue)
	c.begun = true
	var work sync.WaitGroup
	work.Go(func() { c.end(BudgetExhausted) })
	<-inner.started
	work.Go(func() { c.refuse(BudgetExhausted) })
	<-time.After(20 * time.Millisecond)
	close(inner.resume)
	work.Wait()
	qt.Assert(t, inner.read.After(time.Unix(1, 0)), qt.IsTrue)
}

// Guards against a victim that waits for its deadline before it closes, or that is not notified.
func TestVictimIsToldAtOnce(t *testing.T) {
	client, server := net.Pipe()
	c, err := accept(t, NewGate(Settings{}).Listen(&scriptedListener{}, ListenerSettings{Limits: Limits{HeadTimeout: time.Hour}}), server)
	qt.Assert(t, err, qt.IsNil)
	go func() {
		_, _ = c.Read(make([]byte, 4096))
		_ = c.Close()
	}()
	// The connection waits for more once it has taken the second write.
	for _, text := range []string{get, "X: y\r\n"} {
		_, err = io.WriteString(client, text)
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, c.end(BudgetExhausted), qt.IsTrue)
	qt.Assert(t, client.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	answer, err := io.ReadAll(client)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, strings.Contains(string(answer), "HTTP/1.1 503 Service Unavailable\r\n"), qt.IsTrue)
	qt.Assert(t, strings.Contains(string(answer), "\r\nRetry-After: 1\r\n"), qt.IsTrue)
}

// Guards against clients that keep out others by leaving their responses unread, and against a response that is cut although its
// client reads it.
func TestUnreadResponseGivesWay(t *testing.T) {
	client, server := net.Pipe()
	g := NewGate(Settings{})
	c, err := accept(t, g.Listen(&scriptedListener{}, ListenerSettings{Limits: Limits{WriteTimeout: time.Hour}}), server)
	qt.Assert(t, err, qt.IsNil)
	written := make(chan error)
	go func() {
		_, err := c.Write(make([]byte, 2*coveredBytes))
		written <- err
	}()
	_, err = client.Read(make([]byte, 1))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, g.used.Load(), qt.Equals, int64(connectionCharge+2*coveredBytes))
	g.mu.Lock()
	// The response counts as unread for less than stalledAge, however slow the machine is.
	c.since.Store(time.Now().Add(time.Hour).UnixNano())
	victim := g.endVictim(nil, netip.Addr{}, TooManyConnections, nil)
	c.since.Store(time.Now().Add(-2 * stalledAge).UnixNano())
	later := g.endVictim(nil, netip.Addr{}, TooManyConnections, nil)
	g.mu.Unlock()
	qt.Assert(t, victim, qt.IsNil)
	qt.Assert(t, later, qt.Equals, c)
	qt.Assert(t, <-written, qt.Equals, error(syscall.EPIPE))
	qt.Assert(t, c.Close(), qt.IsNil)
	qt.Assert(t, g.used.Load(), qt.Equals, int64(0))
}

// Guards against limits of a configuration that are not used, that are used although they make no sense, or that leave a client
// at the limit too little time.
func TestConfiguredLimits(t *testing.T) {
	var configured wigeonstep.ClientLimits
	g := NewGate(Settings{MemoryBytes: 184 << 20, MaxDescriptors: 4100})
	l := g.Listen(&scriptedListener{}, ListenerSettings{Configured: func() wigeonstep.ClientLimits { return configured }})
	qt.Assert(t, *l.limits(), qt.Equals, Limits{
		HeadBytes: 16384, RequestLineBytes: 16384, Fields: 1024, EmptyLines: 4, BodyBytes: 1 << 20, ChunkLineBytes: 256, Chunks: 1 << 20, FramingRatio: 8,
		TrailerBytes: 4096, PipelinedBytes: 4096, HeadTimeout: 3 * time.Second, IdleTimeout: time.Minute, WriteTimeout: 10 * time.Second,
		BodyGrace: 5 * time.Second, BodyRate: 1000, RequestTimeout: 15 * time.Second, Connections: 981, AddressConnections: 735,
	})
	configured = wigeonstep.ClientLimits{HeaderBytes: 8000, BodyBytes: 262144, HeaderTimeoutMS: 2000, IdleTimeoutMS: 15000}
	limits := l.limits()
	qt.Assert(t, limits.HeadBytes, qt.Equals, 8000)
	qt.Assert(t, limits.RequestLineBytes, qt.Equals, 8000)
	qt.Assert(t, limits.BodyBytes, qt.Equals, 262144)
	qt.Assert(t, limits.HeadTimeout, qt.Equals, 2500*time.Millisecond)
	qt.Assert(t, limits.IdleTimeout, qt.Equals, 15500*time.Millisecond)
	configured = wigeonstep.ClientLimits{HeaderBytes: 1 << 40, BodyBytes: 1 << 40, HeaderTimeoutMS: 1 << 62, IdleTimeoutMS: -1}
	limits = l.limits()
	qt.Assert(t, limits.HeadBytes, qt.Equals, maxHeadBytes)
	qt.Assert(t, limits.BodyBytes, qt.Equals, g.MaxBodyBytes())
	qt.Assert(t, limits.HeadTimeout > 0 && limits.IdleTimeout == time.Minute, qt.IsTrue)
}
