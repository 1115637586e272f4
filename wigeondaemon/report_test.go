package wigeondaemon

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep/wigeonpeer"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// Guards against moves that stop for a second after each change of the fleet partition's owner, because the owners of the
// shards go on reporting to the former one until their next slow read of that partition.
func TestUnreachedFleetOwnerIsLookedUpAtOnce(t *testing.T) {
	c := qt.New(t)
	peers := &wigeonpeer.Client{DialTimeout: 100 * time.Millisecond}
	defer peers.Close()
	d := New(Config{
		Logger: zap.NewNop(), Peers: peers, Metrics: NewMetrics(metrics.NewSet()),
		Now: func() wigeonshard.Timestamp { return wigeonshard.Timestamp{} },
	})
	sh := d.addShard(fleetPartition)
	// Nothing listens on the port of the former owner.
	d.sendReports("127.0.0.1:1", []*wigeonwire.ShardReport{{Partition: 1}})
	(<-d.events)()
	c.Assert(sh.wakeTail, qt.HasLen, 1)
	c.Assert(d.reportInFlight, qt.IsFalse)
}
