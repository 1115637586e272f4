package wigeondaemon

import (
	"context"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep/wigeonshard"
)

// Guards against a panic in the event loop that ends the process, or that leaves an owner with inconsistent state in charge of
// its shard.
func TestPanicEndsTheOwnershipNotTheProcess(t *testing.T) {
	c := qt.New(t)
	d := New(Config{
		Logger: zap.NewNop(), Metrics: NewMetrics(metrics.NewSet()),
		Now: func() wigeonshard.Timestamp { return wigeonshard.Timestamp{} },
	})
	sh := d.addShard(3)
	sh.owned, sh.owner = true, &wigeonshard.Owner{}
	sh.ctx, sh.cancel = context.WithCancel(t.Context())
	handled := false
	d.post(func() { panic("a defect") })
	d.post(func() { handled = true })
	d.drainEvents()
	c.Assert(handled, qt.IsTrue)
	c.Assert(sh.owned, qt.IsFalse)
	c.Assert(sh.owner, qt.IsNil)
	c.Assert(sh.ctx.Err(), qt.Equals, context.Canceled)
	c.Assert(d.config.Metrics.panics.Get(), qt.Equals, uint64(1))
}
