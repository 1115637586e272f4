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

// drainingFleet returns the input of a planning round in which VM a1 has been draining for a wave for drainTime. Its
// pool has a budget of 2, a drain limit of 60 s and the further VMs a2, a3 and a4, of which those in failed are in
// phase failed. checkpoint tells whether the document of the pool allows checkpoints. extraSession is ignored if nil.
func drainingFleet(now time.Time, drainTime time.Duration, checkpoint bool, confirmed map[wigeonpool.Action]time.Time, extraSession *wigeonstate.Session, failed ...string) *wigeonpool.Fleet {
	a1 := vm("a1", time.Time{})
	a1.Phase, a1.Wave, a1.PhaseSince, a1.PhaseOffset = wigeonwire.Phase_PHASE_DRAINING, "w", now.Add(-drainTime), 10
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
	if extraSession != nil {
		fleet.View.Sessions = append(fleet.View.Sessions, extraSession)
	}
	fleet.Observed.Confirmed = confirmed
	return wigeonpool.NewFleet(fleet.View, now, "a", fleet.Observed)
}

// proposedPhase returns the phase that the plan proposes for VM a1, or PHASE_UNSPECIFIED if it proposes none.
func proposedPhase(plan wigeonpool.Plan) wigeonwire.Phase {
	for _, e := range plan.Entries {
		if t := e.GetVmTransition(); t.GetVm() == "a1" {
			return t.GetTo()
		}
	}
	return wigeonwire.Phase_PHASE_UNSPECIFIED
}

// Guards against a drain that continues although, because of failures, more VMs are unavailable than the budget allows.
// The draining VM would stay unavailable until it has rebooted, while it could return to service at once. A drain that
// only uses the budget up continues.
func TestDrainEndsWhenFailuresExceedBudget(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	busy := &wigeonstate.Session{ID: 9, Role: wigeonwire.Role_ROLE_ENTRY, DataCentre: "a", LastRenewal: 1, AppliedOffset: 10, BusyVMs: map[wigeonstep.VMID]bool{"a1": true}}
	p := wigeonmaintenance.NewPlanner(wigeonmaintenance.Config{})
	c.Assert(proposedPhase(p.Plan(drainingFleet(now, time.Second, false, nil, busy, "a2"))), qt.Equals, wigeonwire.Phase_PHASE_UNSPECIFIED)
	c.Assert(proposedPhase(p.Plan(drainingFleet(now, time.Second, false, nil, busy, "a2", "a3"))), qt.Equals, wigeonwire.Phase_PHASE_IN_SERVICE)
}

// Guards against a reboot that interrupts requests of a process in another data centre whose session has expired. Such a
// process sends no new requests to the VM, but earlier ones may still run there. After the drain limit the VM is drained
// only if a checkpoint was confirmed; otherwise it returns to service.
func TestDrainWaitsForRequestsOfExpiredSession(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	expired := &wigeonstate.Session{ID: 9, Role: wigeonwire.Role_ROLE_ENTRY, DataCentre: "b", LastRenewal: 1, AppliedOffset: 5, Expired: true}
	checkpoint := map[wigeonpool.Action]time.Time{{Kind: wigeonpool.ActionCheckpoint, VM: "a1", Epoch: 1}: now}
	p := wigeonmaintenance.NewPlanner(wigeonmaintenance.Config{})
	c.Assert(proposedPhase(p.Plan(drainingFleet(now, 30*time.Second, true, nil, expired))), qt.Equals, wigeonwire.Phase_PHASE_UNSPECIFIED)
	c.Assert(proposedPhase(p.Plan(drainingFleet(now, 3*time.Minute, true, checkpoint, expired))), qt.Equals, wigeonwire.Phase_PHASE_DRAINED)
	c.Assert(proposedPhase(p.Plan(drainingFleet(now, 3*time.Minute, true, nil, expired))), qt.Equals, wigeonwire.Phase_PHASE_IN_SERVICE)
	c.Assert(proposedPhase(p.Plan(drainingFleet(now, 3*time.Minute, false, nil, expired))), qt.Equals, wigeonwire.Phase_PHASE_IN_SERVICE)
}
