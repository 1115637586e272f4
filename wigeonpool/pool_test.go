package wigeonpool_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
	"github.com/wigeonstep/wigeonstep/wigeonpool"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

var testTime = time.Unix(1_800_000_000, 0)

// vm returns a VM in service; where is DATACENTRE/RACK with a data centre of one letter.
func vm(id, where, pool string, cores, accelerators int) *wigeonstate.VM {
	return &wigeonstate.VM{
		ID: wigeonstep.VMID(id), DataCentre: wigeonstep.DataCentreName(where[:1]), Rack: wigeonstep.RackName(where[2:]), Pool: wigeonstep.PoolName(pool),
		Phase: wigeonwire.Phase_PHASE_IN_SERVICE, Epoch: 1, PhaseSince: testTime.Add(-time.Hour),
		Shape: wigeonstep.Shape{Cores: cores, MemoryGB: 2 * cores, Accelerators: accelerators, Slots: 8},
	}
}

// document returns a service of the same name as its pool, with a budget of one VM.
func document(pool string, workers int, change func(d *wigeondocument.Document)) *wigeonstate.Service {
	d := &wigeondocument.Document{Service: wigeonstep.ServiceName(pool), Pool: wigeonstep.PoolName(pool)}
	d.Capacity.Workers = workers
	d.Availability.MaxUnavailableWorkers = 1
	d.Maintenance.MaxDrainS = 300
	d.Objective = wigeondocument.Objective{BufferWeight: 1, MovesWeight: 1}
	if change != nil {
		change(d)
	}
	return &wigeonstate.Service{Version: 1, Document: d}
}

// fleet returns the input of a planning round in data centre a. Data centres a, b and c have control sessions, and the
// VM list shows every VM up.
func fleet(now time.Time, vms []*wigeonstate.VM, services ...*wigeonstate.Service) *wigeonpool.Fleet {
	view := &wigeonstate.View{
		FoldTime: now, VMs: map[wigeonstep.VMID]*wigeonstate.VM{}, Pools: map[wigeonstep.PoolName][]*wigeonstate.VM{},
		Services: map[wigeonstep.ServiceName]*wigeonstate.Service{},
	}
	list := &wigeonstep.VMList{}
	for _, vm := range vms {
		view.VMs[vm.ID] = vm
		view.Pools[vm.Pool] = append(view.Pools[vm.Pool], vm)
		list.VMs = append(list.VMs, wigeonstep.ListedVM{ID: vm.ID, DataCentre: vm.DataCentre, Rack: vm.Rack, Pool: vm.Pool, Shape: vm.Shape, Up: true})
	}
	for i, dataCentre := range []wigeonstep.DataCentreName{"a", "b", "c"} {
		view.Sessions = append(view.Sessions, &wigeonstate.Session{ID: wigeonstep.SessionID(i + 1), Role: wigeonwire.Role_ROLE_CONTROL, DataCentre: dataCentre})
	}
	for _, s := range services {
		view.Services[s.Document.Service] = s
	}
	return wigeonpool.NewFleet(view, now, "a", wigeonpool.Observations{Listing: wigeonpool.NewListing(list, now)})
}

// Guards against targets without the headroom for the failure domain, or without the VM for a failure during a
// replacement.
func TestTarget(t *testing.T) {
	for _, test := range []struct {
		name    string
		survive wigeondocument.FailureDomain
		want    int
	}{
		{"none", wigeondocument.DomainNone, 7},
		{"rack with two VMs of the pool", wigeondocument.DomainRack, 9},
		{"data centre of three", wigeondocument.DomainDataCentre, 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			vms := []*wigeonstate.VM{
				vm("1", "a/1", "p", 32, 0), vm("2", "a/1", "p", 32, 0), vm("3", "a/2", "p", 32, 0),
				vm("4", "b/1", "p", 32, 0), vm("5", "c/1", "p", 32, 0), vm("6", "c/2", "p", 32, 0),
			}
			f := fleet(testTime, vms, document("p", 6, func(d *wigeondocument.Document) { d.Availability.Survive = test.survive }))
			qt.Assert(t, wigeonpool.Target(f, f.Pool("p")), qt.Equals, test.want)
		})
	}
}

// Guards against drains that leave no reserve in the budget for a failure, and against a pool with the smallest budget
// that is never maintained.
func TestDrainsAllowed(t *testing.T) {
	for _, test := range []struct {
		name         string
		budget, lost int
		racks        int
		want         int
	}{
		{"budget of one, nothing lost", 1, 0, 12, 1},
		{"budget of one, one lost", 1, 1, 12, 0},
		{"budget of two keeps one", 2, 0, 12, 1},
		{"budget of two, one lost", 2, 1, 12, 0},
		{"budget of four, racks of one", 4, 0, 12, 3},
		{"budget of four, racks of three", 4, 0, 4, 1},
		{"budget of four, racks of six cannot be provided for", 4, 0, 2, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			var vms []*wigeonstate.VM
			for i := range 12 {
				vms = append(vms, vm(fmt.Sprint(100+i), fmt.Sprint("a/", i%test.racks), "p", 32, 0))
				if i < test.lost {
					vms[i].Phase = wigeonwire.Phase_PHASE_FAILED
				}
			}
			f := fleet(testTime, vms, document("p", 10, func(d *wigeondocument.Document) { d.Availability.MaxUnavailableWorkers = test.budget }))
			qt.Assert(t, f.Pool("p").DrainsAllowed(), qt.Equals, test.want)
		})
	}
}

// Guards against a wrong choice among VMs of different shapes: the smallest one that satisfies the shape must move, a
// pool that is to survive the loss of a data centre must get the one in the data centre with fewer of its VMs, and a VM
// that is too small must not move.
func TestPlacementOfMismatchedVMs(t *testing.T) {
	spares := func() []*wigeonstate.VM {
		return []*wigeonstate.VM{
			vm("small", "a/1", "spare", 8, 0), vm("accelerated", "a/2", "spare", 32, 4), vm("large", "a/3", "spare", 64, 0), vm("fitting", "a/4", "spare", 32, 0),
			vm("used", "b/1", "p", 32, 0),
		}
	}
	for _, test := range []struct {
		name   string
		change func(d *wigeondocument.Document)
		vms    []*wigeonstate.VM
		want   string
	}{
		{"smallest that fits", func(d *wigeondocument.Document) { d.Capacity.Cores = 16 }, spares(), "fitting"},
		{"accelerators", func(d *wigeondocument.Document) { d.Capacity.Accelerators = 2 }, spares(), "accelerated"},
		{"memory", func(d *wigeondocument.Document) { d.Capacity.MemoryGB = 100 }, spares(), "large"},
		{"nothing fits", func(d *wigeondocument.Document) { d.Capacity.Cores = 65 }, spares(), ""},
		{
			"spread before size", func(d *wigeondocument.Document) { d.Availability.Survive = wigeondocument.DomainDataCentre },
			[]*wigeonstate.VM{vm("near", "b/2", "spare", 8, 0), vm("far", "a/1", "spare", 64, 0), vm("used", "b/1", "p", 8, 0)}, "far",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := wigeonpool.NewPlanner(wigeonpool.Config{})
			firstDrained := func(at time.Time) string {
				for _, e := range p.Plan(fleet(at, test.vms, document("p", 2, test.change))).Entries {
					if t := e.GetVmTransition(); t != nil {
						return t.GetVm()
					}
				}
				return ""
			}
			qt.Assert(t, firstDrained(testTime), qt.Equals, "", qt.Commentf("an urgent shortage must last for 15 s"))
			qt.Assert(t, firstDrained(testTime.Add(20*time.Second)), qt.Equals, test.want)
		})
	}
}

// Guards against a drain by wigeonstep that is recorded as a removal by the platform, since the VM list shows both as
// leaving. Only a VM in service whose assignment has taken effect may be recorded as leaving.
func TestOwnDrainIsNotRecordedAsLeaving(t *testing.T) {
	c := qt.New(t)
	p := wigeonpool.NewPlanner(wigeonpool.Config{})
	v := vm("1", "a/1", "p", 32, 0)
	planRound := func(after time.Duration, leaving bool, confirmed map[wigeonpool.Action]time.Time) (observed bool, plan wigeonpool.Plan) {
		now := testTime.Add(after)
		f := fleet(now, []*wigeonstate.VM{v})
		f.Observed.Listing.List.VMs[0].Leaving = leaving
		f.Observed.Confirmed = confirmed
		plan = p.Plan(f)
		for _, e := range plan.Entries {
			observed = observed || e.GetVmObserve().GetLeaving()
		}
		return observed, plan
	}
	v.Phase = wigeonwire.Phase_PHASE_DRAINING
	observed, _ := planRound(0, true, nil)
	c.Assert(observed, qt.IsFalse, qt.Commentf("draining"))

	v.Phase, v.Epoch, v.PhaseSince = wigeonwire.Phase_PHASE_IN_SERVICE, 4, testTime
	observed, plan := planRound(time.Second, true, nil)
	c.Assert(observed, qt.IsFalse, qt.Commentf("the platform has not confirmed the assignment"))
	assign := wigeonpool.Action{Kind: wigeonpool.ActionAssign, VM: "1", Epoch: 4, Pool: "p"}
	c.Assert(plan.Actions, qt.DeepEquals, []wigeonpool.Action{assign})

	confirmed := map[wigeonpool.Action]time.Time{assign: testTime.Add(2 * time.Second)}
	planRound(3*time.Second, false, confirmed)
	observed, _ = planRound(4*time.Second, true, confirmed)
	c.Assert(observed, qt.IsTrue, qt.Commentf("the platform itself removes the VM"))
}
