package wigeonsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// LinkFault is a fault that a proxy applies to its connections. The zero value forwards all data without delay.
type LinkFault struct {
	// Delay is the time that each read is held before it is forwarded, in either direction.
	Delay time.Duration
	// RequestDelay is the further time that each read from the caller is held. The data reaches the target even if the caller
	// closes the connection meanwhile, so a request with a shorter time limit is executed late.
	RequestDelay time.Duration
	// LossRate is the share of the reads whose data is lost and arrives after a retransmission, in either direction. A
	// retransmission may be lost as well. On a stream, loss of packets shows only as late data.
	LossRate float64
	// DropRequests discards the data from the caller to the target, DropAnswers the data from the target to the caller.
	// The connections stay open.
	DropRequests, DropAnswers bool
	// LateRate is the share of the requests that get no answer and reach the target at a random time between minLateBy and LateBy
	// later, even if it is another process by then or other data is dropped.
	LateRate float64
	LateBy   time.Duration
}

const (
	// minRetransmissionDelay is the delay of the first retransmission of lost data, and about the least that TCP waits. It
	// doubles with each further loss, up to maxRetransmissionDelay.
	minRetransmissionDelay = 200 * time.Millisecond
	maxRetransmissionDelay = 3 * time.Second
)

// retransmissionDelay returns a random time by which loss of packets delays data.
func retransmissionDelay(lossRate float64) time.Duration {
	total := time.Duration(0)
	for delay := minRetransmissionDelay; total < maxRetransmissionDelay && rand.Float64() < lossRate; delay *= 2 { //nolint:gosec // a test fault
		total += delay
	}
	return total
}

// Proxy is a TCP proxy on a loopback address that can apply faults to its connections.
type Proxy struct {
	listener net.Listener

	mu sync.Mutex
	// target is the address to which new connections are forwarded.
	target string
	fault  LinkFault
	// cutUntil is the time until which all data is discarded in both directions, whatever the fault.
	cutUntil time.Time
	// awaitsTarget is set if a connection waits while nothing listens at the target, so that the next process there takes what the
	// caller has sent meanwhile, even if the caller has gone.
	awaitsTarget bool
	// targetSince is the time of the last call of SetTarget.
	targetSince time.Time
	conns       map[*proxied]struct{}
}

// NewProxy starts a proxy on a free port of ip that forwards connections to the target address until ctx ends.
func NewProxy(ctx context.Context, ip, target string) (*Proxy, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", target, err)
	}
	p := &Proxy{listener: listener, target: target, conns: map[*proxied]struct{}{}}
	context.AfterFunc(ctx, func() {
		_ = listener.Close()
		p.Reset()
	})
	go p.accept(ctx)
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFault replaces the fault of all connections, including those that are open.
func (p *Proxy) SetFault(lf LinkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = lf
}

// SetTarget replaces the target of new connections. Data of connections that are open still goes to the former target.
func (p *Proxy) SetTarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target, p.targetSince = address, time.Now()
}

// AwaitTarget sets whether connections wait while nothing listens at the target. Otherwise they are closed.
func (p *Proxy) AwaitTarget(awaits bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.awaitsTarget = awaits
}

// Reset closes all connections with a TCP reset to both sides.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		for _, conn := range []net.Conn{c.caller, c.target} {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
		}
	}
	clear(p.conns)
}

// Cut discards all data in both directions for a time, whatever other faults begin and end meanwhile, and then resets the connections.
func (p *Proxy) Cut(duration time.Duration) {
	end := time.Now().Add(duration)
	p.mu.Lock()
	p.cutUntil = later(p.cutUntil, end)
	p.mu.Unlock()
	time.Sleep(duration)
	p.mu.Lock()
	over := !p.cutUntil.After(end)
	p.mu.Unlock()
	if over {
		p.Reset()
	}
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (p *Proxy) currentFault() LinkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	fault := p.fault
	if time.Now().Before(p.cutUntil) {
		fault.DropRequests, fault.DropAnswers = true, true
	}
	return fault
}

func (p *Proxy) accept(ctx context.Context) {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forwardConnection(ctx, conn, time.Now())
	}
}

const (
	// maxTargetWait is the longest time for which a connection waits for its target, and connectPause the time between two attempts.
	maxTargetWait = 8 * time.Second
	connectPause  = 10 * time.Millisecond
)

// connect connects to the target, which may have to start first.
func (p *Proxy) connect(ctx context.Context) (net.Conn, error) {
	for began := time.Now(); ; time.Sleep(connectPause) {
		p.mu.Lock()
		address, awaits := p.target, p.awaitsTarget
		p.mu.Unlock()
		target, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err == nil || !awaits || ctx.Err() != nil || time.Since(began) > maxTargetWait {
			return target, err
		}
	}
}
