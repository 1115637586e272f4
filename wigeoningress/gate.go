package wigeoningress

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
)

const (
	// connectionCharge is what an open connection holds of the budget at least: the library's read buffer, its structures and
	// its goroutine's stack, and the first buffers of the connection itself.
	connectionCharge = 24 << 10
	// defaultBudgetBytes is the budget of a process whose memory is unknown, and memoryFraction the fraction of the memory that
	// is the budget otherwise. The collector lets the heap grow to twice of what is live.
	defaultBudgetBytes = 64 << 20
	memoryFraction     = 6
	// descriptorFraction is the fraction of the descriptors that connections of clients may use. The others are for workers,
	// the store and peers.
	descriptorFraction = 2
	// connectionShare is the share of the budget, in quarters, that the least charges of all connections may use.
	connectionShare = 3
	// overdraftFraction is the fraction of the budget by which it may be exceeded until victims have given back what they hold.
	overdraftFraction = 4
	// slackFraction is the fraction of the budget that is free after victims have been chosen, so that they are not chosen anew
	// for each buffer.
	slackFraction = 32
	// bodyFraction is the fraction of the budget that one body may have.
	bodyFraction = 8
)

// Settings are the resources of a process that its clients share.
type Settings struct {
	// MemoryBytes is the memory of the process and MaxDescriptors the number of descriptors that it may open; 0 if unknown.
	MemoryBytes    int64
	MaxDescriptors int
	// Logger receives at most one line for each reason and second; nil for none.
	Logger *zap.Logger
	// Metrics is the set in which counters and gauges are registered; nil for none.
	Metrics *metrics.Set
}

// Gate holds the budget of a process and its connections of clients. It is safe for concurrent use.
type Gate struct {
	settings Settings
	// total is the budget in bytes.
	total int64
	// used is what all connections hold of it, peak the highest value of used.
	used, peak atomic.Int64
	counters   [reasonCount]counter

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// reclaiming is what the connections that are being evicted still hold of what they held when that began.
	reclaiming int64
	// senders and candidates are reused by endVictim.
	senders    []sender
	candidates []*Conn
}

// NewGate returns a gate without connections.
func NewGate(s Settings) *Gate {
	g := &Gate{settings: s, total: defaultBudgetBytes, conns: map[*Conn]struct{}{}}
	if s.MemoryBytes > 0 {
		g.total = s.MemoryBytes / memoryFraction
	}
	g.register()
	return g
}

// defaultConnections returns the number of connections that descriptors and budget allow.
func (g *Gate) defaultConnections() int {
	n := int(g.total / 4 * connectionShare / connectionCharge)
	if d := g.settings.MaxDescriptors; d > 0 {
		n = min(n, d/descriptorFraction)
	}
	return max(n, 1)
}

// MaxBodyBytes returns the size of the largest body that any configuration may allow.
func (g *Gate) MaxBodyBytes() int { return max(int(g.total/bodyFraction), DefaultBodyBytes) }

// take takes n bytes of the budget for the connection. It returns false if no other connection can be evicted; the bytes are then taken
// all the same, and the connection has to end.
func (g *Gate) take(c *Conn, n int64) bool {
	c.charge.Add(n)
	used := g.used.Add(n)
	for peak := g.peak.Load(); used > peak && !g.peak.CompareAndSwap(peak, used); {
		peak = g.peak.Load()
	}
	return used <= g.total || g.makeRoom(c)
}

// release gives n bytes back.
func (g *Gate) release(c *Conn, n int64) {
	if n == 0 {
		return
	}
	c.charge.Add(-n)
	if c.phase.Load() != phaseEnding {
		g.used.Add(-n)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.used.Add(-n)
	// What is given back before the connection is closed is no longer to come. endVictim may have seen the charge without it.
	if left := c.charge.Load(); left < c.reclaimed {
		g.reclaiming -= c.reclaimed - left
		c.reclaimed = left
	}
}

// makeRoom ends connections until what the others hold is within the budget. It returns false if c has to end itself: nobody else
// can, c costs the most, or those that are being evicted still hold too much.
func (g *Gate) makeRoom(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.used.Load()-g.reclaiming <= g.total {
		return g.used.Load() <= g.total+g.total/overdraftFraction
	}
	goal := g.total - g.total/slackFraction
	for g.used.Load()-g.reclaiming > goal {
		victim := g.endVictim(nil, netip.Addr{}, BudgetExhausted, c)
		if victim == nil {
			return g.used.Load()-g.reclaiming <= g.total
		}
		if victim == c {
			return false
		}
	}
	return g.used.Load() <= g.total+g.total/overdraftFraction
}

// endVictim tells a connection to end and returns it; nil if there is none. Only connections of l are considered, or all if l is
// nil, and only those from address if it is valid. self, which may be nil, is returned without being told. mu is held.
func (g *Gate) endVictim(l *Listener, address netip.Addr, reason Reason, self *Conn) *Conn {
	now := time.Now()
	g.senders, g.candidates = g.senders[:0], g.candidates[:0]
	for c := range g.conns {
		if (l == nil || c.listener == l) && (!address.IsValid() || c.address == address) {
			g.senders, g.candidates = append(g.senders, c.sender(now)), append(g.candidates, c)
		}
	}
	for {
		i := chooseVictim(g.senders)
		if i < 0 {
			return nil
		}
		c := g.candidates[i]
		if c == self {
			return c
		}
		if c.end(reason) {
			c.reclaimed = c.charge.Load()
			g.reclaiming += c.reclaimed
			return c
		}
		// The last byte of its request has arrived meanwhile.
		g.senders[i].kept = true
	}
}

// forget removes a connection that is closed and gives back what it holds.
func (g *Gate) forget(c *Conn) {
	g.mu.Lock()
	delete(g.conns, c)
	g.reclaiming -= c.reclaimed
	c.reclaimed = 0
	c.listener.forget(c)
	g.mu.Unlock()
	g.release(c, c.charge.Load())
}

// admit registers a new connection. If there are too many, another one has to end; it returns the reason if none can.
func (g *Gate) admit(c *Conn) Reason {
	l := c.listener
	g.mu.Lock()
	defer g.mu.Unlock()
	count, limits := l.byAddress[c.address], &l.base
	// Both counts are checked before a victim is evicted, so that none ends for a connection that is not admitted.
	switch {
	case count >= withOverdraft(limits.AddressConnections):
		return TooManyAddressConnections
	case l.open >= withOverdraft(limits.Connections):
		return TooManyConnections
	case count >= limits.AddressConnections:
		// A victim with this address makes room within both limits.
		if g.endVictim(l, c.address, TooManyAddressConnections, nil) == nil {
			return TooManyAddressConnections
		}
	case l.open >= limits.Connections && g.endVictim(l, netip.Addr{}, TooManyConnections, nil) == nil:
		return TooManyConnections
	}
	g.conns[c] = struct{}{}
	l.open++
	l.byAddress[c.address]++
	return None
}

// withOverdraft returns the number of connections that may be open at a limit. Those that are being evicted are still open for a
// while, so the limit may be exceeded by a quarter.
func withOverdraft(limit int) int { return limit + max(limit/overdraftFraction, 1) }

// ListenerSettings are the bounds of one listener.
type ListenerSettings struct {
	Limits Limits
	// Configured returns the limits of the configuration in force, which replace those of Limits; nil for none.
	Configured func() wigeonstep.ClientLimits
}

// Listener is a listener whose connections are those of a gate.
type Listener struct {
	net.Listener
	gate       *Gate
	base       Limits
	configured func() wigeonstep.ClientLimits
	// current holds the limits for the configuration that was seen last.
	current atomic.Pointer[currentLimits]

	// open and byAddress count the open connections. mu of the gate protects them.
	open      int
	byAddress map[netip.Addr]int
}

type currentLimits struct {
	source wigeonstep.ClientLimits
	limits *Limits
}

// Listen returns a listener whose connections bound what clients send.
func (g *Gate) Listen(inner net.Listener, s ListenerSettings) *Listener {
	return &Listener{
		Listener: inner, gate: g, base: s.Limits.withDefaults(g.defaultConnections()), configured: s.Configured, byAddress: map[netip.Addr]int{},
	}
}

// limits returns the limits in force.
func (l *Listener) limits() *Limits {
	var source wigeonstep.ClientLimits
	if l.configured != nil {
		source = l.configured()
	}
	current := l.current.Load()
	if current == nil || current.source != source {
		current = &currentLimits{source: source, limits: l.base.with(source, l.gate.MaxBodyBytes())}
		l.current.Store(current)
	}
	return current.limits
}

// Accept waits for the next connection. One that can't be admitted is closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(inner, l)
		reason := l.gate.admit(c)
		if reason == None && l.gate.take(c, connectionCharge) {
			return c, nil
		}
		if reason == None {
			reason = BudgetExhausted
			_ = c.Close()
		} else {
			_ = inner.Close()
		}
		l.gate.count(reason, c)
	}
}

// forget counts a connection out. mu of the gate is held.
func (l *Listener) forget(c *Conn) {
	l.open--
	if l.byAddress[c.address]--; l.byAddress[c.address] == 0 {
		delete(l.byAddress, c.address)
	}
}
