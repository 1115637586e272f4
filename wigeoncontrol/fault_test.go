package wigeoncontrol_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonpool"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// settled returns a world whose pools have their targets and whose waves are over.
func settled(t *testing.T, centres ...string) *world {
	t.Helper()
	w := newWorld(t, planners{}, centres...)
	w.addVMs("orders", 11, 32)
	w.addVMs("spare", 3, 32)
	w.run(10*time.Second, nil)
	w.document("orders", 0, 10, "availability: {max_unavailable_workers: 2}\nmaintenance: {max_drain_s: 40}\n")
	w.c.Assert(w.run(time.Hour, func() bool { return w.maintained("orders") && w.maintained("spare") && len(w.state.View().Waves) == 0 }), qt.IsTrue)
	return w
}

// A platform that is silent or shows too little must not look like the failure of VMs.
func TestSilentPlatformFailsNoVM(t *testing.T) {
	t.Parallel()
	w := settled(t, "a")
	for _, fault := range []string{"empty", "stale"} {
		w.listFault = fault
		w.run(15*time.Minute, nil)
		w.c.Assert(w.stats.lost, qt.Equals, 0, qt.Commentf("the list is %s", fault))
	}
	w.listFault = ""
	w.run(time.Minute, nil)

	for _, id := range w.ids[:5] {
		w.truth[id].hidden = true
	}
	w.run(15*time.Minute, nil)
	w.c.Assert(w.stats.lost, qt.Equals, 0, qt.Commentf("5 of 14 VMs vanished at once"))
	w.reach[w.ids[0]] = wigeonpool.Reach{Failed: 3}
	w.reach[w.ids[1]] = wigeonpool.Reach{Failed: 3, Succeeded: 1}
	w.run(30*time.Second, nil)
	w.c.Assert(w.vm(w.ids[0]).Phase, qt.Equals, wigeonwire.Phase_PHASE_FAILED, qt.Commentf("the connection results agree"))
	w.c.Assert(w.stats.lost, qt.Equals, 1)
}

// A list that lacks a VM must count while it is at most 60 s old, and not afterwards; and one odd list must not count as
// an absence that lasts, however long it stays the last one that was read.
func TestListAge(t *testing.T) {
	t.Parallel()
	w := settled(t, "a")
	w.truth[w.ids[0]].hidden = true
	for _, test := range []struct {
		name       string
		age        time.Duration
		single     bool
		transition int
	}{{"55 s old", 55 * time.Second, false, 1}, {"65 s old", 65 * time.Second, false, 0}, {"one list", 0, true, 0}} {
		planner := wigeonpool.NewPlanner(wigeonpool.Config{})
		list := w.trueList()
		list.Age = test.age
		listing := wigeonpool.NewListing(list, w.now)
		transitions := 0
		for range 8 {
			w.now = w.now.Add(time.Second)
			if !test.single {
				listing = listing.Next(list, w.now)
			}
			transitions = 0
			for _, e := range planner.Plan(wigeonpool.NewFleet(w.state.View(), w.now, "a", wigeonpool.Observations{Listing: listing})).Entries {
				if e.GetVmTransition() != nil {
					transitions++
				}
			}
		}
		w.c.Assert(transitions, qt.Equals, test.transition, qt.Commentf(test.name))
	}
}

// A single VM that vanishes is news: it must count as lost within seconds and leave the fleet after a minute.
func TestVanishedVMIsReplaced(t *testing.T) {
	t.Parallel()
	w := settled(t, "a")
	w.truth[w.ids[0]].hidden = true
	w.run(15*time.Second, nil)
	w.c.Assert(w.vm(w.ids[0]).Phase, qt.Equals, wigeonwire.Phase_PHASE_FAILED)
	w.c.Assert(w.run(5*time.Minute, func() bool { return w.vm(w.ids[0]) == nil && len(w.state.View().Pools["orders"]) == 11 }), qt.IsTrue)
}

// A VM that a list without news would show as failed for ever must not be failed while the list is stale.
func TestRebootUnderStaleList(t *testing.T) {
	t.Parallel()
	w := newWorld(t, planners{}, "a")
	w.addVMs("orders", 3, 32)
	w.run(10*time.Second, nil)
	w.document("orders", 0, 2, "maintenance: {max_drain_s: 40}\n")
	rebooting := func() bool { return w.phase(wigeonwire.Phase_PHASE_REBOOTING) == 1 }
	w.c.Assert(w.run(10*time.Minute, rebooting), qt.IsTrue)
	w.listFault = "stale"
	w.run(20*time.Minute, nil)
	w.c.Assert(w.stats.lost, qt.Equals, 0)
	w.listFault = ""
	w.c.Assert(w.run(30*time.Minute, func() bool { return w.maintained("orders") }), qt.IsTrue)
	w.c.Assert(w.stats.lost, qt.Equals, 0)
}

func (w *world) phase(phase wigeonwire.Phase) int {
	n := 0
	for _, vm := range w.state.View().VMs {
		if vm.Phase == phase {
			n++
		}
	}
	return n
}

// A VM that does not come back from its reboot must be failed after 10 minutes, replaced from the spare pool, and reported.
func TestVMThatStaysDownIsReplaced(t *testing.T) {
	t.Parallel()
	w := newWorld(t, planners{}, "a")
	w.addVMs("orders", 3, 32)
	w.addVMs("spare", 2, 32)
	broken := w.ids[0]
	w.truth[broken].neverBack = true
	w.run(10*time.Second, nil)
	w.document("orders", 0, 2, "maintenance: {max_drain_s: 40}\n")
	w.c.Assert(w.run(time.Hour, func() bool {
		vm := w.vm(broken)
		return vm.Pool == wigeonstep.SparePool && vm.Phase == wigeonwire.Phase_PHASE_FAILED && len(w.state.View().Pools["orders"]) == 3 && w.maintained("orders")
	}), qt.IsTrue)
	w.c.Assert(w.truth[broken].reboots, qt.Equals, 1)
	reported := false
	for _, e := range w.state.Explain("vm", string(broken)) {
		reported = reported || (e.GetDecision().GetAction() == "failed" && e.GetDecision().GetCause() == "the VM did not come back from its reboot")
	}
	w.c.Assert(reported, qt.IsTrue)

	w.truth[broken].neverBack = false
	w.c.Assert(w.run(5*time.Minute, func() bool { return w.vm(broken).InService() }), qt.IsTrue, qt.Commentf("a repaired VM serves again, in the spare pool"))
}

// A data centre that is cut off must keep its assignments, and the others must count its VMs as unavailable.
func TestCutOffDataCentreChangesNothing(t *testing.T) {
	t.Parallel()
	w := settled(t, "a", "b", "c")
	w.cut("b", true)
	before := map[wigeonstep.VMID]wigeonstep.Epoch{}
	for id, vm := range w.state.View().VMs {
		if vm.DataCentre == "b" {
			before[id] = vm.Epoch
		}
	}
	w.run(9*time.Minute, nil)
	for id, epoch := range before {
		w.c.Assert(w.vm(id).Epoch, qt.Equals, epoch)
	}
	fleet := wigeonpool.NewFleet(w.state.View(), w.now, "a", wigeonpool.Observations{Listing: w.listing()})
	w.c.Assert(fleet.Pool("orders").Unplanned, qt.Equals, 4)
	w.c.Assert(w.stats.moves, qt.Equals, 0)
	w.cut("b", false)
	w.run(time.Minute, nil)
	fleet = wigeonpool.NewFleet(w.state.View(), w.now, "a", wigeonpool.Observations{Listing: w.listing()})
	w.c.Assert(fleet.Pool("orders").Lost(), qt.Equals, 0)
}

// cut takes a data centre off the log, where its control session expires, or back.
func (w *world) cut(centre string, off bool) {
	for _, d := range w.daemons {
		if d.centre != centre {
			continue
		}
		d.cut = off
		if off {
			w.accept(w.daemons[0].session, &wigeonwire.Entry{Body: &wigeonwire.Entry_SessionExpire{SessionExpire: &wigeonwire.SessionExpire{Session: d.session, LastRenewal: d.renewals}}})
		} else {
			w.restart(d)
		}
	}
}

// Work that does not end in time must never be cut off: the VM returns to service and drains again later.
func TestDrainThatDoesNotEnd(t *testing.T) {
	t.Parallel()
	w := newWorld(t, planners{}, "a")
	w.addVMs("ovens", 2, 32)
	w.run(10*time.Second, nil)
	w.document("ovens", 0, 1, "maintenance: {max_drain_s: 40}\n")
	busy := w.ids[0]
	w.truth[busy].busyUntil = w.now.Add(10 * time.Minute)
	aborted := func() bool {
		for _, e := range w.state.Explain("vm", string(busy)) {
			if e.GetDecision().GetAction() == "in_service" && e.GetDecision().GetCause() == "work was still in flight when max_drain_s had passed" {
				return true
			}
		}
		return false
	}
	w.c.Assert(w.run(8*time.Minute, aborted), qt.IsTrue)
	w.c.Assert(w.truth[busy].reboots, qt.Equals, 0)
	w.c.Assert(w.run(time.Hour, func() bool { return w.maintained("ovens") && w.truth[busy].reboots == 1 }), qt.IsTrue)
}

// A document that allows a checkpoint lets the VM drain although its work would not end.
func TestDrainByCheckpoint(t *testing.T) {
	t.Parallel()
	w := newWorld(t, planners{}, "a")
	w.addVMs("ovens", 2, 32)
	w.run(10*time.Second, nil)
	w.document("ovens", 0, 1, "maintenance: {max_drain_s: 40, checkpoint: true}\n")
	for _, id := range w.ids {
		w.truth[id].busyUntil = w.now.Add(24 * time.Hour)
	}
	w.c.Assert(w.run(time.Hour, func() bool { return w.maintained("ovens") }), qt.IsTrue)
	for _, id := range w.ids {
		w.c.Assert(w.truth[id].checkpoints, qt.Equals, 1)
	}
}

// A VM that the platform takes away must drain at once and be replaced; wigeonstep's own drains must not look like that.
func TestLeavingVM(t *testing.T) {
	t.Parallel()
	w := settled(t, "a")
	for _, vm := range w.state.View().VMs {
		w.c.Assert(vm.Leaving, qt.IsFalse, qt.Commentf("%s", vm.ID))
	}
	left := w.ids[0]
	w.truth[left].Leaving = true
	w.run(listLag+3*time.Second, nil)
	w.c.Assert(w.vm(left).Leaving, qt.IsTrue)
	w.c.Assert(w.run(10*time.Minute, func() bool {
		return w.vm(left).Phase == wigeonwire.Phase_PHASE_DRAINED && len(w.state.View().Pools["orders"]) == 12
	}), qt.IsTrue)
	w.truth[left] = nil
	w.c.Assert(w.run(3*time.Minute, func() bool { return w.vm(left) == nil }), qt.IsTrue)
}

// A clock that is an hour ahead, or fold time that catches up after an outage of the log, must neither fail VMs that
// reboot nor stop a wave.
func TestFoldTimeApartFromClock(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name   string
		ahead  time.Duration
		outage time.Duration
	}{{"one clock an hour ahead", time.Hour, 0}, {"an outage of an hour in mid-wave", 0, time.Hour}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, planners{}, "a")
			w.addVMs("orders", 5, 32)
			w.run(10*time.Second, nil)
			w.document("orders", 0, 3, "maintenance: {max_drain_s: 40}\n")
			w.c.Assert(w.run(10*time.Minute, func() bool { return w.phase(wigeonwire.Phase_PHASE_REBOOTING) > 0 }), qt.IsTrue)
			w.skew = test.ahead
			for range 2 * int(test.ahead/(5*time.Second)) {
				w.renew()
			}
			w.now = w.now.Add(test.outage)
			w.c.Assert(w.run(30*time.Minute, func() bool { return w.maintained("orders") }), qt.IsTrue)
			w.c.Assert(w.stats.lost, qt.Equals, 0)
		})
	}
}
