package wigeonmaintenance_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
	"github.com/wigeonstep/wigeonstep/wigeonmaintenance"
	"github.com/wigeonstep/wigeonstep/wigeonpool"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// draining returns a round in which a1 drains for a wave since the given time, in a pool with a budget of 2.
func draining(now time.Time, since time.Duration, checkpoint bool, confirmed map[wigeonpool.Action]time.Time, session *wigeonstate.Session, failed ...string) *wigeonpool.Fleet {
	a1 := vm("a1", time.Time{})
	a1.Phase, a1.Wave, a1.PhaseSince, a1.PhaseOffset = wigeonwire.Phase_PHASE_DRAINING, "w", now.Add(-since), 10
	vms := []*wigeonstate.VM{a1}
	for _, id := range []string{"a2", "a3", "a4"} {
		vms = append(vms, vm(id, time.Time{}))
	}
	fleet := fleetOf(now, vms, &wigeonstate.Wave{ID: "w", Pool: "orders"})
	for _, id := range failed {
		fleet.View.VMs[wigeonstep.VMID(id)].Phase = wigeonwire.Phase_PHASE_FAILED
	}
	document := &wigeondocument.Document{Service: "orders", Pool: "orders"}
	document.Capacity.Workers, document.Availability.MaxUnavailableWorkers = 2, 2
	document.Maintenance = wigeondocument.Maintenance{MaxDrainS: 60, Checkpoint: checkpoint}
	fleet.View.Services = map[wigeonstep.ServiceName]*wigeonstate.Service{"orders": {Version: 1, Document: document}}
	if session != nil {
		fleet.View.Sessions = append(fleet.View.Sessions, session)
	}
	fleet.Observed.Confirmed = confirmed
	return wigeonpool.NewFleet(fleet.View, now, "a", fleet.Observed)
}

// phaseOf returns the phase that the plan proposes for a1.
func phaseOf(plan wigeonpool.Plan) wigeonwire.Phase {
	for _, e := range plan.Entries {
		if t := e.GetVmTransition(); t.GetVm() == "a1" {
			return t.GetTo()
		}
	}
	return wigeonwire.Phase_PHASE_UNSPECIFIED
}

// A drain that goes on after failures have used up the budget makes a loss last for a whole reboot that could end at once.
func TestDrainStopsWhenFailuresUseUpTheBudget(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	busy := &wigeonstate.Session{ID: 9, Role: wigeonwire.Role_ROLE_ENTRY, DataCentre: "a", LastRenewal: 1, AppliedOffset: 10, BusyVMs: map[wigeonstep.VMID]bool{"a1": true}}
	p := wigeonmaintenance.NewPlanner(wigeonmaintenance.Config{})
	c.Assert(phaseOf(p.Plan(draining(now, time.Second, false, nil, busy, "a2"))), qt.Equals, wigeonwire.Phase_PHASE_UNSPECIFIED)
	c.Assert(phaseOf(p.Plan(draining(now, time.Second, false, nil, busy, "a2", "a3"))), qt.Equals, wigeonwire.Phase_PHASE_IN_SERVICE)
}

// The process of an expired session in another data centre sends nothing new, but a reboot would cut off its long work.
func TestRebootWaitsForWorkOfACutOffProcess(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	cut := &wigeonstate.Session{ID: 9, Role: wigeonwire.Role_ROLE_ENTRY, DataCentre: "b", LastRenewal: 1, AppliedOffset: 5, Expired: true}
	checkpoint := map[wigeonpool.Action]time.Time{{Kind: wigeonpool.ActionCheckpoint, VM: "a1", Epoch: 1}: now}
	p := wigeonmaintenance.NewPlanner(wigeonmaintenance.Config{})
	c.Assert(phaseOf(p.Plan(draining(now, 30*time.Second, true, nil, cut))), qt.Equals, wigeonwire.Phase_PHASE_UNSPECIFIED)
	c.Assert(phaseOf(p.Plan(draining(now, 3*time.Minute, true, checkpoint, cut))), qt.Equals, wigeonwire.Phase_PHASE_DRAINED)
	c.Assert(phaseOf(p.Plan(draining(now, 3*time.Minute, true, nil, cut))), qt.Equals, wigeonwire.Phase_PHASE_IN_SERVICE)
	c.Assert(phaseOf(p.Plan(draining(now, 3*time.Minute, false, nil, cut))), qt.Equals, wigeonwire.Phase_PHASE_IN_SERVICE)
}
