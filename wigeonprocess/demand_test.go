package wigeonprocess

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep/wigeonpool"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

func demandReport(session, number uint64, pool string, wanted uint32, reach ...*wigeonwire.VMReach) *wigeonwire.DemandReport {
	return &wigeonwire.DemandReport{Session: session, Report: number, Pools: []*wigeonwire.PoolDemand{{Pool: pool, Wanted: wanted}}, Reach: reach}
}

// Guards against a sum of demand that leaves out a ready entry process and so makes a pool look idle.
func TestSlotDemandNeedsEveryEntryProcess(t *testing.T) {
	view := &wigeonstate.View{Sessions: []*wigeonstate.Session{
		{ID: 1, Role: wigeonwire.Role_ROLE_ENTRY, Ready: true},
		{ID: 2, Role: wigeonwire.Role_ROLE_ENTRY, Ready: true},
		{ID: 3, Role: wigeonwire.Role_ROLE_ENTRY, Ready: true, Expired: true},
	}}
	start := time.Unix(1000, 0)
	reports := &demandReports{}
	qt.Assert(t, reports.slotDemand(start, view), qt.IsNil)
	reports.update(start, demandReport(1, 2, "orders", 5))
	qt.Assert(t, reports.slotDemand(start, view), qt.IsNil)
	reports.update(start, demandReport(2, 1, "orders", 7))
	reports.update(start, demandReport(1, 1, "orders", 100))
	qt.Assert(t, reports.slotDemand(start, view), qt.DeepEquals, map[poolName]int{"orders": 12})
	qt.Assert(t, reports.slotDemand(start.Add(7*time.Second), view), qt.IsNil)
}

// Guards against connection results that are counted after they have become too old.
func TestConnectionResultsExpire(t *testing.T) {
	start, view := time.Unix(1000, 0), &wigeonstate.View{}
	reports := &demandReports{}
	reports.update(start, demandReport(1, 1, "orders", 0, &wigeonwire.VMReach{Vm: "a1", Failed: 2}))
	reports.update(start, demandReport(2, 1, "orders", 0, &wigeonwire.VMReach{Vm: "a1", Succeeded: 1, Failed: 1}))
	qt.Assert(t, reports.vmConnectionResults(start.Add(time.Second), view), qt.DeepEquals, map[vmID]vmConnectionResults{"a1": wigeonpool.ConnectionResults{Succeeded: 1, Failed: 3}})
	qt.Assert(t, reports.vmConnectionResults(start.Add(7*time.Second), view), qt.HasLen, 0)
}
