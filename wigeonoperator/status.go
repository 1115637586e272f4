// Package wigeonoperator implements the operations of operators: it applies and previews service documents, starts
// maintenance waves, reports the status of the fleet and explains the decisions about a subject.
//
// All of it works on the state that every process folds from the records of the fleet log. The same fold decides whether
// a proposed change is accepted.
package wigeonoperator

import (
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// Status is the report of the status command. Its times come from the records of the log, not from the clock of the
// process, except for ConfirmedAgeMS.
type Status struct {
	// NextOffset is the offset of the first record that is not yet applied to the view.
	NextOffset wigeonstep.Offset `json:"next_offset"`
	// ConfirmedAgeMS is the time in milliseconds since the view was last confirmed to be at the end of the log.
	ConfirmedAgeMS int64 `json:"confirmed_age_ms"`
	// FoldTime is the latest time among the applied records.
	FoldTime          time.Time         `json:"fold_time"`
	UnreadableRecords uint64            `json:"unreadable_records"`
	DuplicateBatches  uint64            `json:"duplicate_batches"`
	DataCentres       []DataCentreState `json:"data_centres"`
	Pools             []PoolState       `json:"pools"`
	Services          []ServiceState    `json:"services"`
	Waves             []WaveState       `json:"waves"`
}

// DataCentreState counts the processes and VMs of one data centre.
type DataCentreState struct {
	Name             wigeonstep.DataCentreName `json:"name"`
	EntryProcesses   int                       `json:"entry_processes"`
	ReadyProcesses   int                       `json:"ready_processes"`
	ControlProcesses int                       `json:"control_processes"`
	ExpiredSessions  int                       `json:"expired_sessions"`
	VMs              int                       `json:"vms"`
	// CutOff is set when the data centre has VMs but no control process with an open session.
	CutOff bool `json:"cut_off"`
}

// PoolState counts the VMs of one pool, by phase, and the slots of those in service.
type PoolState struct {
	Name   wigeonstep.PoolName `json:"name"`
	VMs    int                 `json:"vms"`
	Slots  int                 `json:"slots"`
	Phases map[string]int      `json:"phases"`
}

// ServiceState reports how far the fleet follows the document in force of a service, and the use of its disruption
// budget.
type ServiceState struct {
	Name     wigeonstep.ServiceName     `json:"name"`
	Team     wigeonstep.TeamName        `json:"team"`
	Pool     wigeonstep.PoolName        `json:"pool"`
	Version  wigeonstep.DocumentVersion `json:"version"`
	Operator string                     `json:"operator"`
	// InService is the number of workers in service in the pool whose shape fits the document and whose data centre has a
	// control session. Required is the number that the document requires.
	InService int `json:"in_service"`
	Required  int `json:"wanted"`
	// Unavailable is the number of workers of the pool that are out of service, planned or not, or whose data centre has no
	// control session. Budget is the maximum that the document allows.
	Unavailable int `json:"unavailable"`
	Budget      int `json:"budget"`
	// UnmetReason is the reason why the fleet does not meet the document, empty when it does.
	UnmetReason string `json:"not_met"`
}

// WaveState is the progress of one maintenance wave in numbers of VMs.
type WaveState struct {
	ID      wigeonstep.WaveID   `json:"id"`
	Pool    wigeonstep.PoolName `json:"pool"`
	Done    int                 `json:"done"`
	Total   int                 `json:"total"`
	Started time.Time           `json:"started"`
	// ExpectedEnd is extrapolated from the mean time per VM so far, and zero before the first VM is done.
	ExpectedEnd time.Time `json:"expected_end"`
}

// NewStatus returns the status of a view. UnreadableRecords and DuplicateBatches are not part of a view and stay zero.
func NewStatus(view *wigeonstate.View, confirmedAge time.Duration) Status {
	return Status{
		NextOffset:     view.NextOffset,
		ConfirmedAgeMS: confirmedAge.Milliseconds(),
		FoldTime:       view.FoldTime,
		DataCentres:    dataCentreStates(view),
		Pools:          poolStates(view),
		Services:       serviceStates(view),
		Waves:          waveStates(view),
	}
}

// dataCentreStates returns the states of all data centres with a session or a VM, sorted by name.
func dataCentreStates(view *wigeonstate.View) []DataCentreState {
	byName := make(map[wigeonstep.DataCentreName]*DataCentreState)
	stateOf := func(name wigeonstep.DataCentreName) *DataCentreState {
		if byName[name] == nil {
			byName[name] = &DataCentreState{Name: name}
		}
		return byName[name]
	}
	for _, s := range view.Sessions {
		if s.Role == wigeonwire.Role_ROLE_OPERATOR {
			continue
		}
		state := stateOf(s.DataCentre)
		switch {
		case s.Expired:
			state.ExpiredSessions++
		case s.Role == wigeonwire.Role_ROLE_CONTROL:
			state.ControlProcesses++
		case s.Role == wigeonwire.Role_ROLE_ENTRY:
			state.EntryProcesses++
			if s.Ready && !s.Closing {
				state.ReadyProcesses++
			}
		}
	}
	for _, vm := range view.VMs {
		stateOf(vm.DataCentre).VMs++
	}
	var states []DataCentreState
	for _, state := range byName {
		state.CutOff = state.VMs > 0 && state.ControlProcesses == 0
		states = append(states, *state)
	}
	sort.Slice(states, func(i, j int) bool { return states[i].Name < states[j].Name })
	return states
}

// poolStates returns the states of all pools, sorted by name.
func poolStates(view *wigeonstate.View) []PoolState {
	var states []PoolState
	for name, vms := range view.Pools {
		state := PoolState{Name: name, VMs: len(vms), Phases: make(map[string]int)}
		for _, vm := range vms {
			state.Phases[PhaseName(vm.Phase)]++
			if vm.InService() {
				state.Slots += vm.Shape.Slots
			}
		}
		states = append(states, state)
	}
	sort.Slice(states, func(i, j int) bool { return states[i].Name < states[j].Name })
	return states
}

// serviceStates returns the states of all services with a document in force, sorted by name.
func serviceStates(view *wigeonstate.View) []ServiceState {
	var states []ServiceState
	hasControl := make(map[wigeonstep.DataCentreName]bool)
	for _, centre := range dataCentreStates(view) {
		hasControl[centre.Name] = centre.ControlProcesses > 0
	}
	for name, service := range view.Services {
		document := service.Document
		state := ServiceState{
			Name: name, Team: document.Team, Pool: document.Pool,
			Version: service.Version, Operator: service.Operator,
			Required: document.Capacity.Workers,
			Budget:   document.Availability.MaxUnavailableWorkers,
		}
		for _, vm := range view.Pools[document.Pool] {
			// The budget check of the fold also counts the VMs of a data centre without a control session as unavailable.
			if !vm.InService() || !hasControl[vm.DataCentre] {
				state.Unavailable++
			} else if vm.Shape.Fits(document.Capacity.Shape()) {
				state.InService++
			}
		}
		state.UnmetReason = unmetReason(state)
		states = append(states, state)
	}
	sort.Slice(states, func(i, j int) bool { return states[i].Name < states[j].Name })
	return states
}

// unmetReason returns the value of ServiceState.UnmetReason.
func unmetReason(s ServiceState) string {
	if missing := s.Required - s.InService; missing > 0 {
		return fmt.Sprintf("pool %s has %d workers in service that fit; the document asks for %d", s.Pool, s.InService, s.Required)
	}
	return ""
}

// waveStates returns the states of all waves of the view.
func waveStates(view *wigeonstate.View) []WaveState {
	var states []WaveState
	for _, wave := range view.Waves {
		state := WaveState{ID: wave.ID, Pool: wave.Pool, Done: wave.DoneVMs, Total: wave.TotalVMs, Started: wave.StartedAt}
		if wave.DoneVMs > 0 {
			perVM := view.FoldTime.Sub(wave.StartedAt) / time.Duration(wave.DoneVMs)
			state.ExpectedEnd = view.FoldTime.Add(perVM * time.Duration(wave.TotalVMs-wave.DoneVMs))
		}
		states = append(states, state)
	}
	return states
}

// PhaseName returns the name of a phase in snake case, for example "in_service".
func PhaseName(phase wigeonwire.Phase) string {
	return strings.ToLower(strings.TrimPrefix(phase.String(), "PHASE_"))
}

// WriteText writes the status as tables.
func (s Status) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "offset\t%d\nview confirmed\t%s ago\nfold time\t%s\n", s.NextOffset, time.Duration(s.ConfirmedAgeMS)*time.Millisecond, formatTime(s.FoldTime))
	fmt.Fprintf(w, "unreadable records\t%d\nduplicate batches\t%d\n", s.UnreadableRecords, s.DuplicateBatches)
	fmt.Fprint(w, "\nDATA CENTRE\tENTRY\tREADY\tCONTROL\tEXPIRED\tVMS\tSTATE\n")
	for _, d := range s.DataCentres {
		state := "ok"
		if d.CutOff {
			state = "cut off: no control session"
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%s\n", d.Name, d.EntryProcesses, d.ReadyProcesses, d.ControlProcesses, d.ExpiredSessions, d.VMs, state)
	}
	fmt.Fprint(w, "\nPOOL\tVMS\tSLOTS IN SERVICE\tPHASES\n")
	for _, p := range s.Pools {
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", p.Name, p.VMs, p.Slots, formatPhases(p.Phases))
	}
	fmt.Fprint(w, "\nSERVICE\tTEAM\tPOOL\tVERSION\tBY\tWORKERS\tUNAVAILABLE/BUDGET\tNOT MET\n")
	for _, v := range s.Services {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d of %d\t%d/%d\t%s\n", v.Name, v.Team, v.Pool, v.Version, v.Operator, v.InService, v.Required, v.Unavailable, v.Budget, v.UnmetReason)
	}
	fmt.Fprint(w, "\nWAVE\tPOOL\tDONE\tSTARTED\tEXPECTED END\n")
	for _, v := range s.Waves {
		fmt.Fprintf(w, "%s\t%s\t%d of %d\t%s\t%s\n", v.ID, v.Pool, v.Done, v.Total, formatTime(v.Started), formatTime(v.ExpectedEnd))
	}
	return w.Flush()
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

func formatPhases(phases map[string]int) string {
	var names []string
	for name := range phases {
		names = append(names, name)
	}
	slices.Sort(names)
	parts := make([]string, len(names))
	for i, name := range names {
		parts[i] = fmt.Sprintf("%s=%d", name, phases[name])
	}
	return strings.Join(parts, " ")
}
