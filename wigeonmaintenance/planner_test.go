package wigeonmaintenance_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonmaintenance"
	"github.com/wigeonstep/wigeonstep/wigeonpool"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const period = 21 * 24 * time.Hour

// fleetOf returns the input of a planning round in data centre a, with one pool without a document. The VM list shows
// all VMs up.
func fleetOf(now time.Time, vms []*wigeonstate.VM, waves ...*wigeonstate.Wave) *wigeonpool.Fleet {
	view := &wigeonstate.View{
		FoldTime: now, Waves: waves, VMs: map[wigeonstep.VMID]*wigeonstate.VM{},
		Pools:    map[wigeonstep.PoolName][]*wigeonstate.VM{"orders": vms},
		Sessions: []*wigeonstate.Session{{ID: 1, Role: wigeonwire.Role_ROLE_CONTROL, DataCentre: "a"}},
	}
	list := &wigeonstep.VMList{}
	for _, vm := range vms {
		view.VMs[vm.ID] = vm
		list.VMs = append(list.VMs, wigeonstep.ListedVM{ID: vm.ID, DataCentre: "a", Up: true})
	}
	return wigeonpool.NewFleet(view, now, "a", wigeonpool.Observations{Listing: wigeonpool.NewListing(list, now)})
}

// vm returns a VM of pool orders that is in service and was last maintained at the given time.
func vm(id string, maintained time.Time) *wigeonstate.VM {
	return &wigeonstate.VM{ID: wigeonstep.VMID(id), DataCentre: "a", Rack: "r", Pool: "orders", Phase: wigeonwire.Phase_PHASE_IN_SERVICE, Epoch: 1, LastMaintained: maintained}
}

// startedWave returns the ID of the wave that the plan starts, or an empty ID.
func startedWave(plan wigeonpool.Plan) wigeonstep.WaveID {
	for _, e := range plan.Entries {
		if start := e.GetWaveStart(); start != nil {
			return wigeonstep.WaveID(start.GetWave())
		}
	}
	return ""
}

// Guards against VMs that are maintained twice in a period, or not at all: one wave starts in each period, and overdue
// VMs that were moved to the pool after its wave get an extra wave.
func TestOneWavePerPeriod(t *testing.T) {
	c := qt.New(t)
	p := wigeonmaintenance.NewPlanner(wigeonmaintenance.Config{})
	now := time.Unix(1_800_000_000, 0)
	vms := []*wigeonstate.VM{vm("a1", time.Time{}), vm("a2", time.Time{})}
	first := startedWave(p.Plan(fleetOf(now, vms)))
	c.Assert(first, qt.Not(qt.Equals), wigeonstep.WaveID(""))
	for _, v := range vms {
		v.LastWave, v.LastMaintained = first, now
	}
	c.Assert(startedWave(p.Plan(fleetOf(now.Add(time.Hour), vms))), qt.Equals, wigeonstep.WaveID(""))
	next := startedWave(p.Plan(fleetOf(now.Add(period), vms)))
	c.Assert(next, qt.Not(qt.Equals), wigeonstep.WaveID(""))
	c.Assert(next, qt.Not(qt.Equals), first)

	overdue := vm("a3", now.Add(-period-time.Hour))
	vms = append(vms, overdue)
	extra := startedWave(p.Plan(fleetOf(now.Add(time.Hour), vms)))
	c.Assert(string(extra), qt.Matches, string(first)+`\+\d+`)
	plan := p.Plan(fleetOf(now.Add(time.Hour), vms, &wigeonstate.Wave{ID: extra, Pool: "orders", StartedAt: now.Add(time.Hour)}))
	c.Assert(plan.Entries, qt.HasLen, 1, qt.Commentf("only the overdue VM drains"))
	c.Assert(plan.Entries[0].GetVmTransition().GetVm(), qt.Equals, "a3")
	c.Assert(plan.Entries[0].GetVmTransition().GetWave(), qt.Equals, string(extra))
}

// Guards against a wave that never ends because the planner of another data centre does not propose the drain that is
// due there.
func TestUnproposedDrainElsewhereTimesOut(t *testing.T) {
	c := qt.New(t)
	p := wigeonmaintenance.NewPlanner(wigeonmaintenance.Config{})
	now := time.Unix(1_800_000_000, 0)
	other := vm("b1", now.Add(-3*period))
	other.DataCentre = "b"
	planRound := func(at time.Time) []*wigeonwire.Entry {
		fleet := fleetOf(at, []*wigeonstate.VM{vm("a1", now.Add(-2*period)), other}, &wigeonstate.Wave{ID: "w", Pool: "orders"})
		view := *fleet.View
		view.Sessions = append(view.Sessions, &wigeonstate.Session{ID: 2, Role: wigeonwire.Role_ROLE_CONTROL, DataCentre: "b"})
		return p.Plan(wigeonpool.NewFleet(&view, at, "a", fleet.Observed)).Entries
	}
	c.Assert(planRound(now), qt.HasLen, 0, qt.Commentf("the VM in b was maintained longer ago, and one VM may drain"))
	c.Assert(planRound(now.Add(10*time.Second)), qt.HasLen, 0)
	entries := planRound(now.Add(31 * time.Second))
	c.Assert(entries, qt.HasLen, 1)
	c.Assert(entries[0].GetVmTransition().GetVm(), qt.Equals, "a1")
}

// Guards against a wave that never ends because all VMs of its pool have moved to other pools. It would block the next
// wave.
func TestWaveOfEmptyPoolEnds(t *testing.T) {
	c := qt.New(t)
	p := wigeonmaintenance.NewPlanner(wigeonmaintenance.Config{})
	entries := p.Plan(fleetOf(time.Unix(1_800_000_000, 0), nil, &wigeonstate.Wave{ID: "w", Pool: "spare"})).Entries
	c.Assert(entries, qt.HasLen, 1)
	c.Assert(entries[0].GetWaveEnd().GetWave(), qt.Equals, "w")
}
