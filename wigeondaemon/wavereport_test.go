package wigeondaemon

import (
	"context"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep/wigeonshard"
)

// heldReports holds back each report of a wave until the test releases it.
type heldReports struct {
	sent    chan bool
	release chan error
}

func (h *heldReports) SetWaveState(_ context.Context, _ int, completed bool) error {
	h.sent <- completed
	return <-h.release
}

// Guards against a report of a wave as running that is still under way when the wave is completed, takes effect after the
// report of that, and stays.
func TestWaveReportsDoNotOvertakeEachOther(t *testing.T) {
	c := qt.New(t)
	reports := &heldReports{sent: make(chan bool, 2), release: make(chan error, 2)}
	d := New(Config{
		Logger: zap.NewNop(), Metrics: NewMetrics(metrics.NewSet()), Waves: reports,
		Now: func() wigeonshard.Timestamp { return wigeonshard.Timestamp{} },
	})
	sh := d.addShard(fleetPartition)
	sh.ctx = t.Context()
	d.reportWave(sh, 7, false)
	c.Assert(<-reports.sent, qt.IsFalse)

	d.reportWave(sh, 7, true)
	c.Assert(d.fleet.reportedWaves[7], qt.IsFalse)
	reports.release <- nil
	(<-d.events)()
	d.reportWave(sh, 7, true)
	c.Assert(<-reports.sent, qt.IsTrue)
	c.Assert(d.fleet.reportedWaves[7], qt.IsTrue)
	reports.release <- nil
	(<-d.events)()
}
