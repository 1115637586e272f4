package wigeonpool

import (
	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// ActionKind names a call to the platform.
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

// Action is one call to the platform that the folded state allows. Every call is idempotent for its epoch,
// so a daemon that restarts may make it again.
type Action struct {
	Kind  ActionKind
	VM    wigeonstep.VMID
	Epoch wigeonstep.Epoch
	// Pool is set for ActionAssign only.
	Pool wigeonstep.PoolName
}

// Plan is the result of a planning round.
type Plan struct {
	// Entries are proposals in the order in which they are to be appended.
	Entries []*wigeonwire.Entry
	Actions []Action
}

// Reason is the cause, the rule and the figures of a decision, kept for explain.
type Reason struct {
	Cause   string
	Rule    string
	Figures string
}

// Transition adds a proposal that moves the VM to a phase. pool is set only for an assignment, wave only for a maintenance drain.
func (p *Plan) Transition(vm wigeonstep.VMID, epoch wigeonstep.Epoch, to wigeonwire.Phase, pool wigeonstep.PoolName, wave wigeonstep.WaveID, reason Reason) {
	p.Entries = append(p.Entries, &wigeonwire.Entry{Body: &wigeonwire.Entry_VmTransition{VmTransition: &wigeonwire.VMTransition{
		Vm: string(vm), Epoch: uint64(epoch), To: to, Pool: string(pool), Wave: string(wave),
		Cause: reason.Cause, Rule: reason.Rule, Figures: reason.Figures,
	}}})
}

// Decide adds a decision that changes no state besides what explain shows.
func (p *Plan) Decide(kind, subject, action string, reason Reason) {
	p.Entries = append(p.Entries, &wigeonwire.Entry{Body: &wigeonwire.Entry_Decision{Decision: &wigeonwire.Decision{
		SubjectKind: kind, Subject: subject, Action: action,
		Cause: reason.Cause, Rule: reason.Rule, Figures: reason.Figures,
	}}})
}

// Act adds an action unless the platform has confirmed it already.
func (p *Plan) Act(fleet *Fleet, action Action) {
	if !fleet.Confirmed(action) {
		p.Actions = append(p.Actions, action)
	}
}

// Append adds the entries and actions of another plan.
func (p *Plan) Append(other Plan) {
	p.Entries = append(p.Entries, other.Entries...)
	p.Actions = append(p.Actions, other.Actions...)
}
