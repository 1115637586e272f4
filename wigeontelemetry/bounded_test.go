package wigeontelemetry

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// blockedWriter blocks in Write forever, like a full pipe without a reader.
type blockedWriter struct{}

func (blockedWriter) Write([]byte) (int, error) { select {} }

// Guards against a log whose writer blocks the process when the log is not read, and against lines that are dropped
// without being counted.
func TestBoundedWriterNeverBlocks(t *testing.T) {
	c := qt.New(t)
	w := NewBoundedWriter(blockedWriter{})
	const lines = 3 * maxQueuedLines
	for range lines {
		n, err := w.Write([]byte("event=x\n"))
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, 8)
	}
	c.Assert(w.Dropped() >= lines-maxQueuedLines-2, qt.IsTrue)
}
