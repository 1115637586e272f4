package wigeondaemon

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonreplica"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
	"github.com/wigeonstep/wigeonstep/wigeontail"
)

// orderRecord returns the record of a maintenance order for one VM in a phase.
func orderRecord(t *testing.T, phase wigeonjob.OrderPhase) wigeonstep.KeyedRecord {
	t.Helper()
	value, err := wigeonjob.EncodeMaintenance(wigeonjob.MaintenanceOrder{VM: "vm-1", Wave: 1, Worker: "w-1", Phase: phase})
	qt.Assert(t, err, qt.IsNil)
	return wigeonstep.KeyedRecord{Key: wigeonjob.Key(wigeonjob.KindMaintenance, wigeonstep.VMID("vm-1")), Value: value}
}

// Guards against an order that goes back to an earlier phase when the tail reads the records of the process late: a VM in
// maintenance would then not count as down, and the wave would exceed its limit.
func TestLateTailDoesNotRevertOrders(t *testing.T) {
	c := qt.New(t)
	d := New(Config{Logger: zap.NewNop(), Now: func() wigeonshard.Timestamp { return wigeonshard.Timestamp{} }})
	sh := &shard{part: fleetPartition, replica: &wigeonreplica.Replica{}, wakeTail: make(chan struct{}, 1), loaded: true}
	d.shards[fleetPartition] = sh
	phase := func() wigeonjob.OrderPhase { return sh.replica.MaintenanceOrders["vm-1"].Phase }
	cordon, issued, done := orderRecord(t, wigeonjob.OrderCordon), orderRecord(t, wigeonjob.OrderIssued), orderRecord(t, wigeonjob.OrderDone)

	d.applyWritten(sh, []wigeonstep.KeyedRecord{cordon}, 1)
	d.applyWritten(sh, []wigeonstep.KeyedRecord{issued}, 2)
	d.applyWritten(sh, []wigeonstep.KeyedRecord{done}, 3)
	c.Assert(phase(), qt.Equals, wigeonjob.OrderDone)
	d.applyShardBatch(sh, wigeontail.Batch{Records: []wigeonstep.KeyedRecord{cordon, issued}, From: 0, Next: 2})
	c.Assert(phase(), qt.Equals, wigeonjob.OrderDone)
	// A listing may have been made before the last record was written.
	d.applyShardBatch(sh, wigeontail.Batch{Reset: true, Records: []wigeonstep.KeyedRecord{issued}, Next: 2})
	c.Assert(phase(), qt.Equals, wigeonjob.OrderDone)
	d.applyShardBatch(sh, wigeontail.Batch{Records: []wigeonstep.KeyedRecord{done}, From: 2, Next: 3, Complete: true})
	c.Assert(phase(), qt.Equals, wigeonjob.OrderDone)
	c.Assert(sh.written, qt.HasLen, 0)
}
