package wigeontelemetry

import (
	"io"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines bounds the lines that are queued for the underlying writer.
	maxQueuedLines = 2048
	// maxLinesPerSecond and maxLineBurst bound the sustained rate and the burst of lines.
	maxLinesPerSecond = 400
	maxLineBurst      = 2000
)

// BoundedWriter queues lines for an underlying writer and never blocks. Lines above its rate or queue limits are dropped
// and counted.
type BoundedWriter struct {
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Uint64
}

// NewBoundedWriter returns a BoundedWriter for w and starts the goroutine that writes its lines to w. The goroutine
// never ends.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	b := &BoundedWriter{lines: make(chan []byte, maxQueuedLines), limiter: rate.NewLimiter(maxLinesPerSecond, maxLineBurst)}
	go func() {
		for line := range b.lines {
			// The error can't be logged, since w is the destination of the log.
			_, _ = w.Write(line)
		}
	}()
	return b
}

// Write queues a copy of the line or drops it. It never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	if !b.limiter.Allow() {
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

// Dropped returns the number of lines that were dropped.
func (b *BoundedWriter) Dropped() uint64 { return b.dropped.Load() }
