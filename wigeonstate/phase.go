package wigeonstate

import (
	"context"

	"github.com/qmuntal/stateless"

	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// phaseMachine holds the permitted transitions of all VMs in one machine with external storage.
// A machine for each VM would take 42 MB at 7,300 VMs. Triggers are the phases to reach.
type phaseMachine struct {
	machine *stateless.StateMachine
	// phase is the phase of the VM that is being judged.
	phase wigeonwire.Phase
}

func newPhaseMachine() *phaseMachine {
	p := &phaseMachine{}
	p.machine = stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return p.phase, nil },
		func(_ context.Context, state stateless.State) error {
			p.phase, _ = state.(wigeonwire.Phase)
			return nil
		},
		stateless.FiringImmediate,
	)
	for from, targets := range transitions() {
		configured := p.machine.Configure(from)
		for _, to := range targets {
			configured.Permit(to, to)
		}
	}
	return p
}

// transitions lists the phases that each phase may change to. A VM leaves the fleet from any phase.
func transitions() map[wigeonwire.Phase][]wigeonwire.Phase {
	const (
		inService = wigeonwire.Phase_PHASE_IN_SERVICE
		draining  = wigeonwire.Phase_PHASE_DRAINING
		drained   = wigeonwire.Phase_PHASE_DRAINED
		rebooting = wigeonwire.Phase_PHASE_REBOOTING
		verifying = wigeonwire.Phase_PHASE_VERIFYING
		failed    = wigeonwire.Phase_PHASE_FAILED
		gone      = wigeonwire.Phase_PHASE_GONE
	)
	return map[wigeonwire.Phase][]wigeonwire.Phase{
		inService: {draining, failed, gone},
		draining:  {drained, inService, failed, gone},
		drained:   {rebooting, inService, failed, gone},
		rebooting: {verifying, failed, gone},
		verifying: {inService, rebooting, failed, gone},
		// A failed VM may still have requests in flight, so it is rebooted or moved by way of a drain.
		failed: {draining, verifying, gone},
	}
}

// fire moves from a phase to another and reports whether the machine permits it.
func (p *phaseMachine) fire(from, to wigeonwire.Phase) bool {
	p.phase = from
	return p.machine.Fire(to) == nil && p.phase == to
}
