package wigeontelemetry

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// stuckWriter never returns, as a pipe that nobody reads.
type stuckWriter struct{}

func (stuckWriter) Write([]byte) (int, error) { select {} }

// Guards against a log that blocks the process, and against lines that are left out without being counted.
func TestBoundedWriterNeverBlocks(t *testing.T) {
	c := qt.New(t)
	w := NewBoundedWriter(stuckWriter{})
	const lines = 3 * boundedLines
	for range lines {
		n, err := w.Write([]byte("event=x\n"))
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, 8)
	}
	c.Assert(w.Dropped() >= lines-boundedLines-2, qt.IsTrue)
}
