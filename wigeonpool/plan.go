package wigeonpool

import (
	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// ActionKind is the kind of an Action.
type ActionKind string

const (
	// ActionDrain calls Platform.DrainVM.
	ActionDrain ActionKind = "drain"
	// ActionReboot calls Platform.RebootVM.
	ActionReboot ActionKind = "reboot"
	// ActionAssign calls Platform.AssignVM.
	ActionAssign ActionKind = "assign"
	// ActionCheckpoint calls Platform.CheckpointVM.
	ActionCheckpoint ActionKind = "checkpoint"
	// ActionProbe checks that the VM's backend server takes connections. It changes nothing.
	ActionProbe ActionKind = "probe"
)

// Action is a call to the platform, or a probe, that the folded state allows. Every call is idempotent within its
// epoch, so a daemon may repeat it after a restart.
type Action struct {
	Kind  ActionKind
	VM    wigeonstep.VMID
	Epoch wigeonstep.VMEpoch
	// Pool is set for ActionAssign only.
	Pool wigeonstep.PoolName
}

// Plan is the result of a planning round: proposals for the fleet stream and calls to the platform.
type Plan struct {
	// Entries are proposals in the order in which they are to be appended.
	Entries []*wigeonwire.Entry
	Actions []Action
}

// Reason holds the cause, the rule and the figures of a decision, which explain shows.
type Reason struct {
	Cause   string
	Rule    string
	Figures string
}

// AddTransition adds a proposal to change the phase of a VM. pool is set only for the return to service in a new pool,
// wave only for a drain for maintenance.
func (p *Plan) AddTransition(vm wigeonstep.VMID, epoch wigeonstep.VMEpoch, to wigeonwire.Phase, pool wigeonstep.PoolName, wave wigeonstep.WaveID, reason Reason) {
	p.Entries = append(p.Entries, &wigeonwire.Entry{Body: &wigeonwire.Entry_VmTransition{VmTransition: &wigeonwire.VMTransition{
		Vm: string(vm), Epoch: uint64(epoch), To: to, Pool: string(pool), Wave: string(wave),
		Cause: reason.Cause, Rule: reason.Rule, Figures: reason.Figures,
	}}})
}

// AddDecision adds a proposal that only records a decision for explain.
func (p *Plan) AddDecision(kind, subject, action string, reason Reason) {
	p.Entries = append(p.Entries, &wigeonwire.Entry{Body: &wigeonwire.Entry_Decision{Decision: &wigeonwire.Decision{
		SubjectKind: kind, Subject: subject, Action: action,
		Cause: reason.Cause, Rule: reason.Rule, Figures: reason.Figures,
	}}})
}

// AddAction adds an action, unless it has already been confirmed.
func (p *Plan) AddAction(fleet *Fleet, action Action) {
	if !fleet.Confirmed(action) {
		p.Actions = append(p.Actions, action)
	}
}

// Append adds the entries and actions of another plan.
func (p *Plan) Append(other Plan) {
	p.Entries = append(p.Entries, other.Entries...)
	p.Actions = append(p.Actions, other.Actions...)
}
