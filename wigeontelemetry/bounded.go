package wigeontelemetry

import (
	"io"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// boundedLines is how many lines may wait to be written.
	boundedLines = 2048
	// boundedRate and boundedBurst bound the lines of one process, in lines a second and in lines at once.
	boundedRate  = 400
	boundedBurst = 2000
)

// BoundedWriter hands lines to a writer without ever blocking. Lines above its bounds are left out and counted.
type BoundedWriter struct {
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Uint64
}

// NewBoundedWriter returns a writer in front of w.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	b := &BoundedWriter{lines: make(chan []byte, boundedLines), limit: rate.NewLimiter(boundedRate, boundedBurst)}
	go func() {
		for line := range b.lines {
			// A log that can't be written has nowhere to be reported.
			_, _ = w.Write(line)
		}
	}()
	return b
}

// Write implements io.Writer. It never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	if !b.limit.Allow() {
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were left out.
func (b *BoundedWriter) Dropped() uint64 { return b.dropped.Load() }
