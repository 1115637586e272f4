package wigeondaemon

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
)

// recordingWorkers records the starts and heartbeats that are sent, and answers all.
type recordingWorkers struct {
	wigeonstep.WorkerClient
	starts     []wigeonstep.StartOrder
	heartbeats []wigeonstep.HeartbeatRequest
}

func (r *recordingWorkers) Start(_ context.Context, _ wigeonstep.WorkerRef, order wigeonstep.StartOrder) wigeonstep.StartResult {
	r.starts = append(r.starts, order)
	return wigeonstep.StartResult{Verdict: wigeonstep.StartAccepted}
}

func (r *recordingWorkers) Heartbeat(_ context.Context, _ wigeonstep.WorkerRef, request wigeonstep.HeartbeatRequest) (wigeonstep.HeartbeatResult, error) {
	r.heartbeats = append(r.heartbeats, request)
	return wigeonstep.HeartbeatResult{}, nil
}

// Guards against starts and acknowledgements that leave long after the owner decided on them, because orders to the worker
// queued or the process was paused, and reach a process of the worker that has started since.
func TestLateOrdersLoseTheirEffect(t *testing.T) {
	for _, late := range []bool{false, true} {
		c := qt.New(t)
		now := wigeonshard.Timestamp{Steady: time.Hour}
		workers := &recordingWorkers{}
		d := New(Config{
			Logger: zap.NewNop(), Metrics: NewMetrics(metrics.NewSet()), Orders: workers,
			Now: func() wigeonshard.Timestamp { return now },
		})
		sh := d.addShard(3)
		sh.owner = wigeonshard.NewOwner(wigeonshard.Settings{}, 1, now, wigeonjob.OwnerRecord{})
		sh.ctx = t.Context()
		deadline := now.Steady + time.Millisecond
		if late {
			deadline = now.Steady
		}
		d.execute(sh, wigeonshard.Actions{Starts: []wigeonshard.Start{{SendBefore: deadline}}})
		(<-d.events)()
		d.execute(sh, wigeonshard.Actions{Heartbeats: []wigeonshard.Heartbeat{{
			AckBefore: deadline, Request: wigeonstep.HeartbeatRequest{AckedEnd: 7},
		}}})
		(<-d.events)()
		c.Assert(workers.heartbeats, qt.HasLen, 1)
		if late {
			c.Assert(workers.starts, qt.HasLen, 0)
			c.Assert(workers.heartbeats[0].AckedEnd, qt.Equals, uint64(0))
		} else {
			c.Assert(workers.starts, qt.HasLen, 1)
			c.Assert(workers.heartbeats[0].AckedEnd, qt.Equals, uint64(7))
		}
	}
}
