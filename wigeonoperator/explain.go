package wigeonoperator

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// SubjectKinds are the kinds of subject that the explain command accepts.
var SubjectKinds = []string{"vm", "pool", "service", "job", "request", "wave"}

// Explanation is the report of the explain command on one subject.
type Explanation struct {
	wigeonstep.ObjectStatus
	// Decisions are in the order of the log, oldest first.
	Decisions []Decision `json:"decisions"`
}

// Decision is a decision about the subject and the verdict of the fold.
type Decision struct {
	Offset  wigeonstep.Offset `json:"offset"`
	At      time.Time         `json:"at"`
	Session string            `json:"session"`
	Action  string            `json:"action"`
	Cause   string            `json:"cause"`
	Rule    string            `json:"rule"`
	Figures string            `json:"figures"`
	// Verdict is "accepted" or the reason of the refusal.
	Verdict string `json:"verdict"`
}

// Explain returns the current state of a subject and the decisions about it that the state retains.
func Explain(state *wigeonstate.State, kind, subject string) Explanation {
	explanation := Explanation{ObjectStatus: wigeonstep.ObjectStatus{Kind: kind, Subject: subject}}
	for _, e := range state.Decisions(kind, subject) {
		verdict := "accepted"
		if !e.Accepted {
			verdict = "refused: " + e.Verdict
		}
		explanation.Decisions = append(explanation.Decisions, Decision{
			Offset:  wigeonstep.Offset(e.Offset),
			At:      time.UnixMilli(e.AtUnixMs).UTC(),
			Session: wigeonstep.SessionID(e.Session).String(),
			Action:  e.Decision.GetAction(),
			Cause:   e.Decision.GetCause(),
			Rule:    e.Decision.GetRule(),
			Figures: e.Decision.GetFigures(),
			Verdict: verdict,
		})
	}
	explanation.State, explanation.WaitsFor = describeSubject(state, kind, subject)
	return explanation
}

// describeSubject returns the current state of a subject and what it waits for. Both are empty for an unknown subject.
func describeSubject(state *wigeonstate.State, kind, subject string) (summary, waitsFor string) {
	view := state.View()
	switch kind {
	case "vm":
		return describeVM(view, wigeonstep.VMID(subject))
	case "pool":
		for _, p := range poolStates(view) {
			if string(p.Name) == subject {
				return fmt.Sprintf("%d VMs, %d slots in service, %s", p.VMs, p.Slots, formatPhases(p.Phases)), ""
			}
		}
	case "service":
		for _, s := range serviceStates(view) {
			if string(s.Name) == subject {
				return fmt.Sprintf("version %d by %s, %d of %d workers, %d of %d unavailable", s.Version, s.Operator, s.InService, s.Required, s.Unavailable, s.Budget), s.UnmetReason
			}
		}
	case "wave":
		for _, w := range waveStates(view) {
			if string(w.ID) == subject {
				return fmt.Sprintf("%d of %d VMs of pool %s done, expected end %s", w.Done, w.Total, w.Pool, formatTime(w.ExpectedEnd)), ""
			}
		}
	case "job":
		if job, ok := state.Job(wigeonstep.JobID(subject)); ok {
			return describeJob(job)
		}
	case "request":
		if key, ok := state.Key(wigeonstep.IdempotencyKey(subject)); ok {
			return describeKey(key)
		}
	}
	return "", ""
}

func describeVM(view *wigeonstate.View, id wigeonstep.VMID) (summary, waitsFor string) {
	vm, ok := view.VMs[id]
	if !ok {
		return "", ""
	}
	summary = fmt.Sprintf("pool %s, %s since %s, epoch %d, data centre %s, rack %s", vm.Pool, PhaseName(vm.Phase), formatTime(vm.PhaseSince), vm.Epoch, vm.DataCentre, vm.Rack)
	switch vm.Phase {
	case wigeonwire.Phase_PHASE_DRAINING:
		waitsFor = "entry processes to finish their requests: " + blockingSessions(view, vm)
	case wigeonwire.Phase_PHASE_REBOOTING:
		waitsFor = "the platform to report the VM as up"
	case wigeonwire.Phase_PHASE_VERIFYING:
		waitsFor = "the backend server to answer"
	case wigeonwire.Phase_PHASE_DRAINED:
		waitsFor = "its reboot or its new pool"
	}
	return summary, waitsFor
}

// blockingSessions lists the entry processes that may still use a draining VM: those whose last renewal reported an
// applied offset not above that of the drain, and those with requests in flight on the VM.
func blockingSessions(view *wigeonstate.View, vm *wigeonstate.VM) string {
	var names []string
	for _, s := range view.Sessions {
		if s.Role != wigeonwire.Role_ROLE_ENTRY {
			continue
		}
		if s.AppliedOffset <= vm.PhaseOffset || s.BusyVMs[vm.ID] {
			names = append(names, fmt.Sprintf("%s (%s)", s.ID, s.PeerAddress))
		}
	}
	if len(names) == 0 {
		return "none left"
	}
	return strings.Join(names, ", ")
}

func describeJob(job *wigeonwire.Job) (summary, waitsFor string) {
	summary = fmt.Sprintf("%s, attempt %d, accepted %s", enumName(job.State.String(), "JOB_STATE_"), job.Attempt, formatTime(time.UnixMilli(job.AcceptedUnixMs)))
	switch job.State {
	case wigeonwire.JobState_JOB_STATE_PENDING:
		waitsFor = "a slot of its pool"
	case wigeonwire.JobState_JOB_STATE_RUNNING:
		waitsFor = "its answer from VM " + job.Vm
	case wigeonwire.JobState_JOB_STATE_ENDED:
		summary += fmt.Sprintf(", outcome %s, %s", enumName(job.Outcome.String(), "OUTCOME_"), job.Reason)
	}
	return summary, waitsFor
}

func describeKey(key *wigeonwire.Key) (summary, waitsFor string) {
	summary = fmt.Sprintf("intent at offset %d by session %s, team %s, class %s", key.Offset, wigeonstep.SessionID(key.Session), key.Team, key.Class)
	if key.Outcome == wigeonwire.Outcome_OUTCOME_UNSPECIFIED {
		// The log records only that the key must not run again. Only the process that ran the request keeps its answer.
		return summary + ", never to run again; the answer is with that session", ""
	}
	return summary + ", outcome " + enumName(key.Outcome.String(), "OUTCOME_"), ""
}

// enumName returns the name of an enum value in lower case without its prefix.
func enumName(name, prefix string) string {
	return strings.ToLower(strings.TrimPrefix(name, prefix))
}

// WriteText writes the explanation as text.
func (e Explanation) WriteText(out io.Writer) error {
	state := e.State
	if state == "" {
		state = "not known"
	}
	fmt.Fprintf(out, "%s %s: %s\n", e.Kind, e.Subject, state)
	if e.WaitsFor != "" {
		fmt.Fprintf(out, "waits for: %s\n", e.WaitsFor)
	}
	if len(e.Decisions) == 0 {
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "\nOFFSET\tAT\tBY\tACTION\tVERDICT\tCAUSE\tRULE\tFIGURES\n")
	for _, d := range e.Decisions {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", d.Offset, formatTime(d.At), d.Session, d.Action, d.Verdict, d.Cause, d.Rule, d.Figures)
	}
	return w.Flush()
}
