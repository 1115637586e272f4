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

// fleetOf returns a round over one pool without a document, whose VMs are all up.
func fleetOf(now time.Time, vms []*wigeonstate.VM, waves ...*wigeonstate.Wave) *wigeonpool.Fleet {
	view := &wigeonstate.View{
		Time: now, Waves: waves, VMs: map[wigeonstep.VMID]*wigeonstate.VM{},
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

func vm(id string, maintained time.Time) *wigeonstate.VM {
	return &wigeonstate.VM{ID: wigeonstep.VMID(id), DataCentre: "a", Rack: "r", Pool: "orders", Phase: wigeonwire.Phase_PHASE_IN_SERVICE, Epoch: 1, LastMaintained: maintained}
}

// waveOf returns the wave that the plan starts, or nothing.
func waveOf(plan wigeonpool.Plan) wigeonstep.WaveID {
	for _, e := range plan.Entries {
		if start := e.GetWaveStart(); start != nil {
			return wigeonstep.WaveID(start.GetWave())
		}
	}
	return ""
}

// Every VM must be maintained once in a period: a wave is due from the start of each period, once, and a VM that was moved
// to the pool after its wave and is overdue gets a further one.
func TestWhenAWaveIsDue(t *testing.T) {
	c := qt.New(t)
	p := wigeonmaintenance.NewPlanner(wigeonmaintenance.Config{})
	now := time.Unix(1_800_000_000, 0)
	vms := []*wigeonstate.VM{vm("a1", time.Time{}), vm("a2", time.Time{})}
	first := waveOf(p.Plan(fleetOf(now, vms)))
	c.Assert(first, qt.Not(qt.Equals), wigeonstep.WaveID(""))
	for _, v := range vms {
		v.LastWave, v.LastMaintained = first, now
	}
	c.Assert(waveOf(p.Plan(fleetOf(now.Add(time.Hour), vms))), qt.Equals, wigeonstep.WaveID(""))
	next := waveOf(p.Plan(fleetOf(now.Add(period), vms)))
	c.Assert(next, qt.Not(qt.Equals), wigeonstep.WaveID(""))
	c.Assert(next, qt.Not(qt.Equals), first)

	moved := vm("a3", now.Add(-period-time.Hour))
	vms = append(vms, moved)
	further := waveOf(p.Plan(fleetOf(now.Add(time.Hour), vms)))
	c.Assert(string(further), qt.Matches, string(first)+`\+\d+`)
	plan := p.Plan(fleetOf(now.Add(time.Hour), vms, &wigeonstate.Wave{ID: further, Pool: "orders", Started: now.Add(time.Hour)}))
	c.Assert(plan.Entries, qt.HasLen, 1, qt.Commentf("only the overdue VM drains"))
	c.Assert(plan.Entries[0].GetVmTransition().GetVm(), qt.Equals, "a3")
	c.Assert(plan.Entries[0].GetVmTransition().GetWave(), qt.Equals, string(further))
}

// A planner must not wait for ever for a drain that the planner of another data centre does not propose.
func TestIdlePlannerElsewhereDelaysNoWave(t *testing.T) {
	c := qt.New(t)
	p := wigeonmaintenance.NewPlanner(wigeonmaintenance.Config{})
	now := time.Unix(1_800_000_000, 0)
	other := vm("b1", now.Add(-3*period))
	other.DataCentre = "b"
	round := func(at time.Time) []*wigeonwire.Entry {
		fleet := fleetOf(at, []*wigeonstate.VM{vm("a1", now.Add(-2*period)), other}, &wigeonstate.Wave{ID: "w", Pool: "orders"})
		view := *fleet.View
		view.Sessions = append(view.Sessions, &wigeonstate.Session{ID: 2, Role: wigeonwire.Role_ROLE_CONTROL, DataCentre: "b"})
		return p.Plan(wigeonpool.NewFleet(&view, at, "a", fleet.Observed)).Entries
	}
	c.Assert(round(now), qt.HasLen, 0, qt.Commentf("the VM in b was maintained longer ago, and one VM may drain"))
	c.Assert(round(now.Add(10*time.Second)), qt.HasLen, 0)
	entries := round(now.Add(31 * time.Second))
	c.Assert(entries, qt.HasLen, 1)
	c.Assert(entries[0].GetVmTransition().GetVm(), qt.Equals, "a1")
}

// A wave over a pool whose VMs have all moved away must end, since it would block the next one.
func TestWaveOfEmptyPoolEnds(t *testing.T) {
	c := qt.New(t)
	p := wigeonmaintenance.NewPlanner(wigeonmaintenance.Config{})
	entries := p.Plan(fleetOf(time.Unix(1_800_000_000, 0), nil, &wigeonstate.Wave{ID: "w", Pool: "spare"})).Entries
	c.Assert(entries, qt.HasLen, 1)
	c.Assert(entries[0].GetWaveEnd().GetWave(), qt.Equals, "w")
}
