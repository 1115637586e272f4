package wigeonsoak

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// Link is how a proxy treats its connections. The zero value passes everything on.
type Link struct {
	// Delay is added to what passes in each direction.
	Delay time.Duration
	// DropRequests and DropAnswers swallow what passes in that direction; both together are a silent link.
	DropRequests, DropAnswers bool
}

// Proxy is a loopback address in front of another one, whose connections can be disturbed.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	link  Link
	conns map[net.Conn]struct{}
}

// NewProxy starts a proxy on a loopback address in front of the target until ctx ends.
func NewProxy(ctx context.Context, ip, target string) (*Proxy, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", target, err)
	}
	p := &Proxy{listener: listener, target: target, conns: map[net.Conn]struct{}{}}
	context.AfterFunc(ctx, func() {
		_ = listener.Close()
		p.Reset()
	})
	go p.accept(ctx)
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the treatment of all connections, open ones included.
func (p *Proxy) Set(l Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = l
}

// Reset ends all connections so that both sides see a reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	clear(p.conns)
}

func (p *Proxy) current() Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link
}

func (p *Proxy) accept(ctx context.Context) {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.join(ctx, conn)
	}
}

// join connects a new connection with the target.
func (p *Proxy) join(ctx context.Context, caller net.Conn) {
	target, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.target)
	if err != nil {
		_ = caller.Close()
		return
	}
	p.mu.Lock()
	p.conns[caller], p.conns[target] = struct{}{}, struct{}{}
	p.mu.Unlock()
	go p.pass(target, caller, func(l Link) bool { return l.DropRequests })
	p.pass(caller, target, func(l Link) bool { return l.DropAnswers })
}

// pass copies one direction until either side ends.
func (p *Proxy) pass(to, from net.Conn, dropped func(Link) bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
		p.mu.Lock()
		delete(p.conns, to)
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		link := p.current()
		if n > 0 && !dropped(link) {
			time.Sleep(link.Delay)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
