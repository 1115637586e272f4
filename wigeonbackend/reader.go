package wigeonbackend

import (
	"io"
	"net"
)

const (
	initialBufferBytes = 4 << 10
	// maxIdleBufferBytes bounds the buffer of an idle connection, so that a large response does not hold memory after it
	// was read.
	maxIdleBufferBytes = 64 << 10
)

// reader implements network.Reader of hertz on one connection. It is not safe for concurrent use.
type reader struct {
	conn net.Conn
	buf  []byte
	// buf[start:end] holds the bytes that were read and not yet consumed.
	start, end int
	// err is the last read error of the connection. The decoder of hertz hides the cause of some of them.
	err error
}

// Peek returns the next n bytes without consuming them, or fewer bytes and an error.
func (r *reader) Peek(n int) ([]byte, error) {
	for r.end-r.start < n {
		if err := r.fill(n); err != nil {
			return r.buf[r.start:r.end], err
		}
	}
	return r.buf[r.start : r.start+n], nil
}

// fill makes room for n unconsumed bytes and reads once from the connection. It moves the unconsumed bytes, or copies them
// to a larger buffer, when they would not fit.
func (r *reader) fill(n int) error {
	if r.start > 0 && len(r.buf)-r.start < n {
		copy(r.buf, r.buf[r.start:r.end])
		r.end -= r.start
		r.start = 0
	}
	if len(r.buf) < n {
		grown := make([]byte, max(n, initialBufferBytes))
		copy(grown, r.buf[r.start:r.end])
		r.buf, r.end, r.start = grown, r.end-r.start, 0
	}
	got, err := r.conn.Read(r.buf[r.end:])
	r.end += got
	if got > 0 {
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	r.err = err
	return err
}

// Skip consumes n bytes.
func (r *reader) Skip(n int) error {
	if _, err := r.Peek(n); err != nil {
		return err
	}
	r.start += n
	if r.start == r.end {
		r.start, r.end = 0, 0
	}
	return nil
}

// Release does nothing, since the reader keeps one buffer and has none to give back. A slice that Peek returned stays valid
// until the reader next reads from the connection. It implements network.Reader.
func (r *reader) Release() error { return nil }

// Len returns the number of bytes that were read and not yet consumed.
func (r *reader) Len() int { return r.end - r.start }

// ReadByte consumes one byte.
func (r *reader) ReadByte() (byte, error) {
	b, err := r.Peek(1)
	if err != nil {
		return 0, err
	}
	c := b[0]
	return c, r.Skip(1)
}

// ReadBinary consumes n bytes and returns a copy.
func (r *reader) ReadBinary(n int) ([]byte, error) {
	b, err := r.Peek(n)
	if err != nil {
		return nil, err
	}
	p := append([]byte(nil), b...)
	return p, r.Skip(n)
}

// shrink frees a buffer larger than maxIdleBufferBytes once all its bytes are consumed.
func (r *reader) shrink() {
	if len(r.buf) > maxIdleBufferBytes && r.Len() == 0 {
		r.buf = nil
	}
}
