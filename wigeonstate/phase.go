package wigeonstate

import (
	"context"

	"github.com/qmuntal/stateless"

	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// phaseMachine checks the phase transitions of all VMs with one state machine, whose current state is set before each check.
// A machine for each VM would take 42 MB at 7,300 VMs. Triggers are the target phases.
type phaseMachine struct {
	machine *stateless.StateMachine
	// current is the phase of the VM whose transition is being checked.
	current wigeonwire.Phase
}

func newPhaseMachine() *phaseMachine {
	p := &phaseMachine{}
	p.machine = stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return p.current, nil },
		func(_ context.Context, state stateless.State) error {
			p.current, _ = state.(wigeonwire.Phase)
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

// transitions returns the permitted target phases of each phase. Every phase may change to gone.
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
		// A failed VM may still have requests in flight, so a reboot or a move to another pool starts with a drain. A VM that
		// is running again can be verified directly.
		failed: {draining, verifying, gone},
	}
}

// fire reports whether a VM may change from one phase to the other.
func (p *phaseMachine) fire(from, to wigeonwire.Phase) bool {
	p.current = from
	return p.machine.Fire(to) == nil && p.current == to
}
