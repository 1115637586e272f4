package wigeoncontrol_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonpool"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// maintainedSimulation returns a simulation whose pools have their target sizes and whose first waves have ended.
func maintainedSimulation(t *testing.T, dataCentres ...string) *simulation {
	t.Helper()
	w := newSimulation(t, plannerConfigs{}, dataCentres...)
	w.addVMs("orders", 11, 32)
	w.addVMs("spare", 3, 32)
	w.run(10*time.Second, nil)
	w.putDocument("orders", 0, 10, "availability: {max_unavailable_workers: 2}\nmaintenance: {max_drain_s: 40}\n")
	w.c.Assert(w.run(time.Hour, func() bool {
		return w.poolMaintained("orders") && w.poolMaintained("spare") && len(w.state.View().Waves) == 0
	}), qt.IsTrue)
	return w
}

// An empty or stale VM list, or one that suddenly lacks many VMs, must not count as the failure of VMs. A VM that is
// missing from such a list is recorded as failed only if all connections of the entry processes to it failed.
func TestEmptyOrStaleListFailsNoVM(t *testing.T) {
	t.Parallel()
	w := maintainedSimulation(t, "a")
	for _, fault := range []string{"empty", "stale"} {
		w.listFault = fault
		w.run(15*time.Minute, nil)
		w.c.Assert(w.stats.vmsLost, qt.Equals, 0, qt.Commentf("the list is %s", fault))
	}
	w.listFault = ""
	w.run(time.Minute, nil)

	for _, id := range w.ids[:5] {
		w.platformVMs[id].unlisted = true
	}
	w.run(15*time.Minute, nil)
	w.c.Assert(w.stats.vmsLost, qt.Equals, 0, qt.Commentf("5 of 14 VMs vanished at once"))
	w.connectionResults[w.ids[0]] = wigeonpool.ConnectionResults{Failed: 3}
	w.connectionResults[w.ids[1]] = wigeonpool.ConnectionResults{Failed: 3, Succeeded: 1}
	w.run(30*time.Second, nil)
	w.c.Assert(w.vmState(w.ids[0]).Phase, qt.Equals, wigeonwire.Phase_PHASE_FAILED, qt.Commentf("the connection results agree"))
	w.c.Assert(w.stats.vmsLost, qt.Equals, 1)
}

// A list that lacks a VM must count while the list is at most 60 s old, and not afterwards. A single list that lacks a
// VM must not count as a lasting absence of the VM, however long it stays the last list that was read.
func TestAbsenceNeedsRecentLists(t *testing.T) {
	t.Parallel()
	w := maintainedSimulation(t, "a")
	w.platformVMs[w.ids[0]].unlisted = true
	for _, test := range []struct {
		name            string
		age             time.Duration
		singleList      bool
		wantTransitions int
	}{{"55 s old", 55 * time.Second, false, 1}, {"65 s old", 65 * time.Second, false, 0}, {"one list", 0, true, 0}} {
		planner := wigeonpool.NewPlanner(wigeonpool.Config{})
		list := w.actualVMList()
		list.Age = test.age
		listing := wigeonpool.NewListing(list, w.now)
		transitions := 0
		for range 8 {
			w.now = w.now.Add(time.Second)
			if !test.singleList {
				listing = listing.Update(list, w.now)
			}
			transitions = 0
			for _, e := range planner.Plan(wigeonpool.NewFleet(w.state.View(), w.now, "a", wigeonpool.Observations{Listing: listing})).Entries {
				if e.GetVmTransition() != nil {
					transitions++
				}
			}
		}
		w.c.Assert(transitions, qt.Equals, test.wantTransitions, qt.Commentf(test.name))
	}
}

// A single VM that vanishes from the list must be recorded as failed within seconds, removed from the fleet after a
// minute, and replaced.
func TestVanishedVMIsReplaced(t *testing.T) {
	t.Parallel()
	w := maintainedSimulation(t, "a")
	w.platformVMs[w.ids[0]].unlisted = true
	w.run(15*time.Second, nil)
	w.c.Assert(w.vmState(w.ids[0]).Phase, qt.Equals, wigeonwire.Phase_PHASE_FAILED)
	w.c.Assert(w.run(5*time.Minute, func() bool { return w.vmState(w.ids[0]) == nil && len(w.state.View().Pools["orders"]) == 11 }), qt.IsTrue)
}

// A stale list shows a rebooting VM as down for as long as the list stays stale. The VM must not be recorded as failed
// for that reason.
func TestRebootUnderStaleList(t *testing.T) {
	t.Parallel()
	w := newSimulation(t, plannerConfigs{}, "a")
	w.addVMs("orders", 3, 32)
	w.run(10*time.Second, nil)
	w.putDocument("orders", 0, 2, "maintenance: {max_drain_s: 40}\n")
	rebooting := func() bool { return w.countPhase(wigeonwire.Phase_PHASE_REBOOTING) == 1 }
	w.c.Assert(w.run(10*time.Minute, rebooting), qt.IsTrue)
	w.listFault = "stale"
	w.run(20*time.Minute, nil)
	w.c.Assert(w.stats.vmsLost, qt.Equals, 0)
	w.listFault = ""
	w.c.Assert(w.run(30*time.Minute, func() bool { return w.poolMaintained("orders") }), qt.IsTrue)
	w.c.Assert(w.stats.vmsLost, qt.Equals, 0)
}

func (w *simulation) countPhase(phase wigeonwire.Phase) int {
	n := 0
	for _, vm := range w.state.View().VMs {
		if vm.Phase == phase {
			n++
		}
	}
	return n
}

// A VM that does not come back from its reboot must be recorded as failed after 10 minutes, with an explanation, and be
// replaced from the spare pool.
func TestVMThatStaysDownIsReplaced(t *testing.T) {
	t.Parallel()
	w := newSimulation(t, plannerConfigs{}, "a")
	w.addVMs("orders", 3, 32)
	w.addVMs("spare", 2, 32)
	broken := w.ids[0]
	w.platformVMs[broken].staysDown = true
	w.run(10*time.Second, nil)
	w.putDocument("orders", 0, 2, "maintenance: {max_drain_s: 40}\n")
	w.c.Assert(w.run(time.Hour, func() bool {
		vm := w.vmState(broken)
		return vm.Pool == wigeonstep.SparePool && vm.Phase == wigeonwire.Phase_PHASE_FAILED && len(w.state.View().Pools["orders"]) == 3 && w.poolMaintained("orders")
	}), qt.IsTrue)
	w.c.Assert(w.platformVMs[broken].reboots, qt.Equals, 1)
	reported := false
	for _, e := range w.state.Decisions("vm", string(broken)) {
		reported = reported || (e.GetDecision().GetAction() == "failed" && e.GetDecision().GetCause() == "the VM did not come back from its reboot")
	}
	w.c.Assert(reported, qt.IsTrue)

	w.platformVMs[broken].staysDown = false
	w.c.Assert(w.run(5*time.Minute, func() bool { return w.vmState(broken).InService() }), qt.IsTrue, qt.Commentf("a repaired VM returns to service in the spare pool"))
}

// A data centre that is cut off from the log must keep its assignments, and the others must count its VMs as
// unavailable.
func TestCutOffDataCentreKeepsAssignments(t *testing.T) {
	t.Parallel()
	w := maintainedSimulation(t, "a", "b", "c")
	w.setCutOff("b", true)
	before := map[wigeonstep.VMID]wigeonstep.VMEpoch{}
	for id, vm := range w.state.View().VMs {
		if vm.DataCentre == "b" {
			before[id] = vm.Epoch
		}
	}
	w.run(9*time.Minute, nil)
	for id, epoch := range before {
		w.c.Assert(w.vmState(id).Epoch, qt.Equals, epoch)
	}
	fleet := wigeonpool.NewFleet(w.state.View(), w.now, "a", wigeonpool.Observations{Listing: w.shownListing()})
	w.c.Assert(fleet.Pool("orders").Unplanned, qt.Equals, 4)
	w.c.Assert(w.stats.moves, qt.Equals, 0)
	w.setCutOff("b", false)
	w.run(time.Minute, nil)
	fleet = wigeonpool.NewFleet(w.state.View(), w.now, "a", wigeonpool.Observations{Listing: w.shownListing()})
	w.c.Assert(fleet.Pool("orders").UnavailableCount(), qt.Equals, 0)
}

// setCutOff cuts a data centre off from the log, so that its control session expires, or reconnects it with a new
// session.
func (w *simulation) setCutOff(dataCentre string, cutOff bool) {
	for _, d := range w.daemons {
		if d.dataCentre != dataCentre {
			continue
		}
		d.cutOff = cutOff
		if cutOff {
			w.mustAppend(w.daemons[0].session, &wigeonwire.Entry{Body: &wigeonwire.Entry_SessionExpire{SessionExpire: &wigeonwire.SessionExpire{Session: d.session, LastRenewal: d.renewals}}})
		} else {
			w.restart(d)
		}
	}
}

// Work that outlasts max_drain_s must not be interrupted: the VM returns to service and drains again later.
func TestDrainTimeoutReturnsVMToService(t *testing.T) {
	t.Parallel()
	w := newSimulation(t, plannerConfigs{}, "a")
	w.addVMs("ovens", 2, 32)
	w.run(10*time.Second, nil)
	w.putDocument("ovens", 0, 1, "maintenance: {max_drain_s: 40}\n")
	busy := w.ids[0]
	w.platformVMs[busy].busyUntil = w.now.Add(10 * time.Minute)
	aborted := func() bool {
		for _, e := range w.state.Decisions("vm", string(busy)) {
			if e.GetDecision().GetAction() == "in_service" && e.GetDecision().GetCause() == "work was still in flight when max_drain_s had passed" {
				return true
			}
		}
		return false
	}
	w.c.Assert(w.run(8*time.Minute, aborted), qt.IsTrue)
	w.c.Assert(w.platformVMs[busy].reboots, qt.Equals, 0)
	w.c.Assert(w.run(time.Hour, func() bool { return w.poolMaintained("ovens") && w.platformVMs[busy].reboots == 1 }), qt.IsTrue)
}

// If the document allows checkpoints, a VM must drain even though its work would not end in time.
func TestDrainByCheckpoint(t *testing.T) {
	t.Parallel()
	w := newSimulation(t, plannerConfigs{}, "a")
	w.addVMs("ovens", 2, 32)
	w.run(10*time.Second, nil)
	w.putDocument("ovens", 0, 1, "maintenance: {max_drain_s: 40, checkpoint: true}\n")
	for _, id := range w.ids {
		w.platformVMs[id].busyUntil = w.now.Add(24 * time.Hour)
	}
	w.c.Assert(w.run(time.Hour, func() bool { return w.poolMaintained("ovens") }), qt.IsTrue)
	for _, id := range w.ids {
		w.c.Assert(w.platformVMs[id].checkpoints, qt.Equals, 1)
	}
}

// A VM that the platform is about to remove must drain at once and be replaced. A VM that wigeonstep itself drains must
// not be recorded as leaving the platform.
func TestVMLeavingThePlatformIsReplaced(t *testing.T) {
	t.Parallel()
	w := maintainedSimulation(t, "a")
	for _, vm := range w.state.View().VMs {
		w.c.Assert(vm.Leaving, qt.IsFalse, qt.Commentf("%s", vm.ID))
	}
	leaving := w.ids[0]
	w.platformVMs[leaving].Leaving = true
	w.run(listLag+3*time.Second, nil)
	w.c.Assert(w.vmState(leaving).Leaving, qt.IsTrue)
	w.c.Assert(w.run(10*time.Minute, func() bool {
		return w.vmState(leaving).Phase == wigeonwire.Phase_PHASE_DRAINED && len(w.state.View().Pools["orders"]) == 12
	}), qt.IsTrue)
	w.platformVMs[leaving] = nil
	w.c.Assert(w.run(3*time.Minute, func() bool { return w.vmState(leaving) == nil }), qt.IsTrue)
}

// Neither a clock that is an hour ahead, nor fold time that catches up after an outage of the log, may cause rebooting
// VMs to be recorded as failed, or stop a wave.
func TestFoldTimeDiffersFromClock(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name       string
		clockAhead time.Duration
		outage     time.Duration
	}{{"one clock an hour ahead", time.Hour, 0}, {"an outage of an hour in mid-wave", 0, time.Hour}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newSimulation(t, plannerConfigs{}, "a")
			w.addVMs("orders", 5, 32)
			w.run(10*time.Second, nil)
			w.putDocument("orders", 0, 3, "maintenance: {max_drain_s: 40}\n")
			w.c.Assert(w.run(10*time.Minute, func() bool { return w.countPhase(wigeonwire.Phase_PHASE_REBOOTING) > 0 }), qt.IsTrue)
			w.clockSkew = test.clockAhead
			for range 2 * int(test.clockAhead/(5*time.Second)) {
				w.renewSessions()
			}
			w.now = w.now.Add(test.outage)
			w.c.Assert(w.run(30*time.Minute, func() bool { return w.poolMaintained("orders") }), qt.IsTrue)
			w.c.Assert(w.stats.vmsLost, qt.Equals, 0)
		})
	}
}
