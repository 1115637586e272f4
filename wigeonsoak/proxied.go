package wigeonsoak

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/wigeonstep/wigeonstep/platform/wigeonstandin"
)

const (
	// bufferBytes exceeds the size of a request, so that a request arrives in one read as a rule.
	bufferBytes = 32 << 10
	// minLateBy is the least time by which a request is late because of LinkFault.LateRate.
	minLateBy = 2 * time.Second
)

// proxied is a connection of a caller through a proxy.
type proxied struct {
	proxy          *Proxy
	caller, target net.Conn
	// silent is set once the caller gets no further answer from the target, not even the end of the connection.
	silent atomic.Bool
	// unanswered is set while a request has no answer.
	unanswered atomic.Bool
}

// replayedConn is a connection of which some data has been read already, which its reader returns again.
type replayedConn struct {
	net.Conn
	reader io.Reader
}

func (c replayedConn) Read(data []byte) (int, error) { return c.reader.Read(data) }

// Silence lets all requests that wait get no answer, and their connections no sign of an end; what is sent on these is lost. Other
// connections go on with the next target. Of all these requests, LinkFault.LateRate are late instead.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.silent.Store(true)
	}
	clear(p.conns)
}

// forwardConnection connects to the target and forwards data between it and the caller until either side closes.
func (p *Proxy) forwardConnection(ctx context.Context, caller net.Conn, acceptedAt time.Time) {
	target, err := p.connect(ctx)
	if err != nil {
		_ = caller.Close()
		return
	}
	p.forwardBetween(ctx, caller, target, acceptedAt)
}

// forwardBetween forwards data between the caller and the target until either side closes. The first request may have been sent at
// firstSentAt.
func (p *Proxy) forwardBetween(ctx context.Context, caller, target net.Conn, firstSentAt time.Time) {
	c := &proxied{proxy: p, caller: caller, target: target}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	go c.forwardRequests(ctx, firstSentAt)
	c.forwardAnswers()
}

// continueWithNextTarget forwards the data and all that follows to the next target.
func (c *proxied) continueWithNextTarget(ctx context.Context, data []byte, sentAt time.Time) {
	_ = c.target.Close()
	target, err := c.proxy.connect(ctx)
	if err != nil {
		_ = c.caller.Close()
		return
	}
	caller := replayedConn{c.caller, io.MultiReader(bytes.NewReader(data), c.caller)}
	c.proxy.forwardBetween(ctx, caller, target, sentAt)
}

// close ends both connections.
func (c *proxied) close() {
	_ = c.target.Close()
	_ = c.caller.Close()
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	delete(c.proxy.conns, c)
}

// forwardRequests forwards what the caller sends until either side closes. The first request may have been sent at firstSentAt.
func (c *proxied) forwardRequests(ctx context.Context, firstSentAt time.Time) {
	var late net.Conn
	buffer := make([]byte, bufferBytes)
	for first := true; ; first = false {
		n, err := c.caller.Read(buffer)
		sentAt := time.Now()
		if first {
			sentAt = firstSentAt
		}
		if n > 0 && late == nil {
			switch c.forwardRequest(buffer[:n], sentAt) {
			case forwardedLate:
				late = c.connectLate(ctx)
			case forNextTarget:
				c.continueWithNextTarget(ctx, buffer[:n], sentAt)
				return
			case forwarded:
			}
		}
		if n > 0 && late != nil {
			_, _ = late.Write(c.mark(buffer[:n], sentAt))
		}
		if err != nil {
			break
		}
	}
	c.close()
	if late != nil {
		_ = late.Close()
	}
}

// forwarding says what has become of a request.
type forwarding int

const (
	// forwarded is a request that was sent to the target or lost.
	forwarded forwarding = iota
	// forwardedLate is a request that has to be sent on a connection of its own now.
	forwardedLate
	// forNextTarget is a request that has to be sent to the next target, as all that follow.
	forNextTarget
)

// forwardRequest forwards a request to the target unless a fault prevents it. It waits until a late request is due.
func (c *proxied) forwardRequest(data []byte, sentAt time.Time) forwarding {
	fault := c.proxy.currentFault()
	switch {
	case rand.Float64() < fault.LateRate: //nolint:gosec // a test fault
		c.unanswered.Store(true)
		c.silent.Store(true)
		time.Sleep(minLateBy + time.Duration(rand.Float64()*float64(fault.LateBy-minLateBy))) //nolint:gosec // a test fault
		return forwardedLate
	case c.silent.Load() && !c.unanswered.Load():
		return forNextTarget
	case fault.DropRequests || c.silent.Load():
		return forwarded
	}
	c.unanswered.Store(true)
	time.Sleep(fault.Delay + fault.RequestDelay + retransmissionDelay(fault.LossRate))
	_, err := c.target.Write(c.mark(data, sentAt))
	if err != nil && !c.silent.Load() {
		_ = c.caller.Close()
	}
	return forwarded
}

// connectLate connects to the present target, whose answers are lost. It returns nil if that fails.
func (c *proxied) connectLate(ctx context.Context) net.Conn {
	conn, err := c.proxy.connect(ctx)
	if err != nil {
		return nil
	}
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	return conn
}

// mark returns the request with wigeonstandin.FormerProcessHeader if it was sent before the present target started.
func (c *proxied) mark(data []byte, sentAt time.Time) []byte {
	c.proxy.mu.Lock()
	former := sentAt.Before(c.proxy.targetSince)
	c.proxy.mu.Unlock()
	if !former || !bytes.HasPrefix(data, []byte("POST ")) {
		return data
	}
	return bytes.Replace(data, []byte("\r\n"), []byte("\r\n"+wigeonstandin.FormerProcessHeader+": 1\r\n"), 1)
}

// forwardAnswers forwards what the target sends until either side closes or the connection is silent.
func (c *proxied) forwardAnswers() {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := c.target.Read(buffer)
		fault := c.proxy.currentFault()
		if n > 0 && !fault.DropAnswers && !c.silent.Load() {
			c.unanswered.Store(false)
			time.Sleep(fault.Delay + retransmissionDelay(fault.LossRate))
			if _, err := c.caller.Write(buffer[:n]); err != nil && !c.silent.Load() {
				c.close()
				return
			}
		}
		if err == nil {
			continue
		}
		if !c.silent.Load() {
			c.close()
		}
		return
	}
}
