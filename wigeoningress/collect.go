package wigeoningress

import (
	"strconv"
	"sync"
	"time"
)

const (
	// smallBytes is the size up to which a buffer is allocated at once by the announced length; above it, buffers grow with what
	// has arrived. A request above it, or with more than smallFields fields, is the last one on its connection, since the library
	// keeps the buffers of a connection at the size of its largest request.
	smallBytes  = 16 << 10
	smallFields = 64
	// handlingFactor times the size of a request is what it holds of the budget while it is handled: the library's buffer and its
	// copy of the body, and the decoded job.
	handlingFactor = 3
	// grownFactor times the size of the largest small request is what its connection holds until it is closed, in the library's
	// buffers.
	grownFactor = 2
)

// pooledBytes is the size of the first buffer of a request. Most requests that don't arrive in one read fit into it.
const pooledBytes = 8 << 10

var bufferPool = sync.Pool{New: func() any { return new([pooledBytes]byte) }}

// newBuffer returns an empty buffer of the given capacity.
func newBuffer(size int) []byte {
	if size == pooledBytes {
		if pooled, ok := bufferPool.Get().(*[pooledBytes]byte); ok {
			return pooled[:0]
		}
	}
	return make([]byte, 0, size)
}

// collector is the request that a connection collects.
type collector struct {
	// begun is set from the first byte of the request on, which was read at begunAt.
	begun   bool
	begunAt time.Time
	head    headScanner
	chunks  chunkDecoder
	// buffer holds the head, from the first empty line before it, and the content of the body as far as it has arrived.
	buffer []byte
	// bufferCharge is what the buffers hold of the budget, handlingCharge what the request holds that is being handled.
	bufferCharge, handlingCharge int64
	// grown is the size of the largest small request for which the connection holds something until it is closed.
	grown int
}

// receive waits for the next request. If it arrives whole in the first read and needs no change, its bytes are in p and their
// number is returned; otherwise they are in c.out.
func (c *Conn) receive(p []byte) (int, Reason) {
	l := c.listener.limits()
	c.listener.gate.release(c, c.handlingCharge)
	c.head, c.chunks, c.handlingCharge = headScanner{}, chunkDecoder{}, 0
	c.begun = len(c.rest) > 0
	now := time.Now()
	if c.phase.Load() != phaseFresh && !c.enter(phaseIdle, now) {
		return 0, Reason(c.endReason.Load())
	}
	if len(c.rest) > 0 {
		c.begunAt = c.restAt
		if counter, ok := c.Conn.(requestCounter); ok {
			counter.BeginRequest()
		}
		rest := c.rest
		c.rest = nil
		return 0, c.collect(rest, l)
	}
	c.setReadDeadline(now.Add(l.IdleTimeout))
	direct := p[:min(len(p), l.PipelinedBytes)]
	if len(direct) < minReadBytes {
		direct = make([]byte, minReadBytes)
	}
	n, err := c.Conn.Read(direct)
	if n == 0 {
		return 0, c.failure(err, Disconnected)
	}
	c.begun, c.begunAt = true, time.Now()
	c.restAt = c.begunAt
	if reason := c.head.scan(direct[:n], l); reason != None {
		return 0, reason
	}
	size := c.head.end + c.head.length
	if len(direct) > len(p) || !c.head.plain() || size > n || c.head.length > l.BodyBytes {
		return 0, c.collect(direct[:n], l)
	}
	if !c.enter(phaseHandling, now) {
		return 0, Reason(c.endReason.Load())
	}
	if size < n {
		c.rest = append([]byte(nil), direct[size:n]...)
	}
	return size, None
}

// plain reports whether the head is complete and the library can get it as it is.
func (s *headScanner) plain() bool {
	return s.end > 0 && s.start == 0 && s.cutCount == 0 && s.fields <= smallFields
}

// collect collects the request that begins with the bytes.
func (c *Conn) collect(first []byte, l *Limits) Reason {
	now := time.Now()
	if !c.enter(phaseCollecting, now) {
		return Reason(c.endReason.Load())
	}
	// Nearly all requests that don't arrive in one read have announced their length by now.
	size := max(pooledBytes, len(first), min(c.head.end+min(c.head.length, l.BodyBytes), smallBytes))
	if !c.takeBuffer(size) {
		return BudgetExhausted
	}
	c.buffer = append(newBuffer(size), first...)
	if c.head.end == 0 {
		c.setReadDeadline(now.Add(min(l.HeadTimeout, l.RequestTimeout)))
	}
	if reason := c.collectHead(l); reason != None {
		return reason
	}
	if c.head.chunked {
		if reason := c.collectChunks(l); reason != None {
			return reason
		}
	} else if reason := c.collectBody(l); reason != None {
		return reason
	}
	return c.complete()
}

func (c *Conn) collectHead(l *Limits) Reason {
	for {
		if reason := c.head.scan(c.buffer, l); reason != None {
			return reason
		}
		if c.head.end > 0 {
			return None
		}
		if reason := c.readMore(l.PipelinedBytes, c.head.start+l.HeadBytes+minReadBytes, HeadTimeout); reason != None {
			return reason
		}
	}
}

// bodyTime returns the time that a body may take of which n bytes have arrived.
func (l *Limits) bodyTime(n int) time.Duration {
	return l.BodyGrace + time.Duration(n)*time.Second/time.Duration(l.BodyRate)
}

// setBodyDeadline sets the deadline of the next read of a body, which is at most that of the request, and returns the reason of a refusal
// if it passes.
func (c *Conn) setBodyDeadline(body time.Time, l *Limits) Reason {
	request := c.begunAt.Add(l.RequestTimeout)
	if c.head.deadline > 0 && c.head.deadline < l.RequestTimeout {
		request = c.begunAt.Add(c.head.deadline)
	}
	if request.Before(body) {
		c.setReadDeadline(request)
		return RequestTimeout
	}
	c.setReadDeadline(body)
	return BodyTimeout
}

// collectBody collects a body with a length, which may be 0.
func (c *Conn) collectBody(l *Limits) Reason {
	if c.head.length > l.BodyBytes {
		return BodyTooLarge
	}
	size := c.head.end + c.head.length
	if c.head.length > 0 {
		if reason := c.inviteBody(len(c.buffer) > c.head.end); reason != None {
			return reason
		}
	}
	began := time.Now()
	for len(c.buffer) < size {
		timeout := c.setBodyDeadline(began.Add(l.bodyTime(len(c.buffer)-c.head.end)), l)
		if reason := c.readMore(size-len(c.buffer), size, timeout); reason != None {
			return reason
		}
	}
	if len(c.buffer) > size {
		c.rest = append([]byte(nil), c.buffer[size:]...)
		c.buffer = c.buffer[:size]
	}
	return None
}

// collectChunks collects the content of a chunked body.
func (c *Conn) collectChunks(l *Limits) Reason {
	if !c.takeBuffer(l.PipelinedBytes) {
		return BudgetExhausted
	}
	scratch := make([]byte, max(l.PipelinedBytes, len(c.buffer)-c.head.end))
	n := copy(scratch, c.buffer[c.head.end:])
	c.buffer = c.buffer[:c.head.end]
	if reason := c.inviteBody(n > 0); reason != None {
		return reason
	}
	began := time.Now()
	for {
		content, consumed, reason := c.chunks.decode(scratch[:n], l)
		if reason != None {
			return reason
		}
		if !c.reserve(len(content), c.head.end+l.BodyBytes) {
			return BudgetExhausted
		}
		c.buffer = append(c.buffer, content...)
		if c.chunks.state == chunkDone {
			if consumed < n {
				c.rest = append([]byte(nil), scratch[consumed:n]...)
			}
			return None
		}
		timeout := c.setBodyDeadline(began.Add(l.bodyTime(c.chunks.content)), l)
		var err error
		if n, err = c.Conn.Read(scratch); n == 0 {
			return c.failure(err, timeout)
		}
		c.restAt = time.Now()
	}
}

// inviteBody asks the client for the body if it waits for that. begun is set if some of it has arrived.
func (c *Conn) inviteBody(begun bool) Reason {
	if !c.head.expectsContinue || begun {
		return None
	}
	const response = "HTTP/1.1 100 Continue\r\n\r\n"
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	write := c.Conn.Write
	if counter, ok := c.Conn.(requestCounter); ok {
		write = counter.WriteInterim
	}
	if _, err := write([]byte(response)); err != nil {
		return Disconnected
	}
	return None
}

// readMore reads at most want bytes into the buffer, which may grow to the size most.
func (c *Conn) readMore(want, most int, timeout Reason) Reason {
	if !c.reserve(1, most) {
		return BudgetExhausted
	}
	from := len(c.buffer)
	n, err := c.Conn.Read(c.buffer[from:min(cap(c.buffer), from+want)])
	c.buffer = c.buffer[:from+n]
	if n == 0 {
		return c.failure(err, timeout)
	}
	return None
}

// reserve makes room for n bytes in the buffer, which may grow to the size most. It returns false if the budget is used up.
func (c *Conn) reserve(n, most int) bool {
	need := len(c.buffer) + n
	if need <= cap(c.buffer) {
		return true
	}
	size := max(need, min(2*cap(c.buffer), most))
	if !c.takeBuffer(size - cap(c.buffer)) {
		return false
	}
	c.buffer = append(make([]byte, 0, size), c.buffer...)
	return true
}

// takeBuffer takes n bytes of the budget for a buffer.
func (c *Conn) takeBuffer(n int) bool {
	c.bufferCharge += int64(n)
	return c.listener.gate.take(c, int64(n))
}

// freeBuffer lets go of the buffer and gives back what it holds.
func (c *Conn) freeBuffer() {
	if cap(c.buffer) == pooledBytes {
		bufferPool.Put((*[pooledBytes]byte)(c.buffer[:pooledBytes]))
	}
	c.buffer = nil
	c.listener.gate.release(c, c.bufferCharge)
	c.bufferCharge = 0
}

// complete prepares the request for the library: a chunked body becomes one with a length, and a large request asks to close the
// connection after it.
func (c *Conn) complete() Reason {
	h := &c.head
	var lines []string
	if h.chunked {
		lines = append(lines, "Content-Length: "+strconv.Itoa(len(c.buffer)-h.end)+"\r\n")
	}
	if len(c.buffer)-h.start > smallBytes || h.fields > smallFields {
		lines = append(lines, "Connection: close\r\n")
		c.last.Store(true)
	}
	c.out = [2][]byte{c.buffer[h.start:]}
	if len(lines) > 0 || h.cutCount > 0 {
		size := h.end
		for _, line := range lines {
			size += len(line)
		}
		if !c.takeBuffer(size) {
			return BudgetExhausted
		}
		c.out = [2][]byte{h.appendHead(make([]byte, 0, size), c.buffer, lines...), c.buffer[h.end:]}
	}
	charge := int64(handlingFactor * len(c.buffer))
	c.handlingCharge = charge
	if n := min(len(c.buffer), smallBytes); n > c.grown {
		charge += int64(grownFactor * (n - c.grown))
		c.grown = n
	}
	if !c.listener.gate.take(c, charge) {
		return BudgetExhausted
	}
	if !c.enter(phaseHandling, time.Now()) {
		return Reason(c.endReason.Load())
	}
	return None
}
