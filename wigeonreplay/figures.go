package wigeonreplay

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Units of the measures. The keys of an outcome file end with them.
const (
	unitMS       = "ms"
	unitS        = "s"
	unitCount    = "count"
	unitPermille = "permille"
)

var units = []string{unitMS, unitS, unitCount, unitPermille}

// measures maps the name of each measure to its unit.
var measures = map[string]string{
	"budget_exceeded":          unitS,        // pool-seconds in which a disruption budget was exceeded, but not by unplanned losses alone
	"unplanned_beyond_budget":  unitS,        // pool-seconds in which unplanned losses alone exceeded a budget
	"below_capacity":           unitS,        // pool-seconds with fewer workers in service than the documents require
	"jobs_lost":                unitCount,    // accepted jobs that are lost, as countLostJobs defines it
	"jobs_run_after_cancel":    unitCount,    // jobs that started after their cancellation was accepted
	"keys_run_twice":           unitCount,    // idempotency keys whose request or job ran more than once
	"ran_after_refusal":        unitCount,    // requests that ran although their caller was told not_run
	"work_cut_off":             unitCount,    // requests and jobs that a planned reboot interrupted
	"worst_short_wait":         unitMS,       // longest time from the arrival of a short request to the sending of an attempt that ran
	"worst_long_wait":          unitMS,       // longest time from the arrival of a job to the sending of an attempt that ran
	"worst_refusal_wait":       unitMS,       // longest time from the arrival of a request to its refusal
	"refused":                  unitCount,    // requests with the outcome not_run
	"short_refused":            unitPermille, // share of the short requests with the outcome not_run
	"vms_maintained_twice":     unitCount,    // VMs rebooted more than once for maintenance
	"vms_not_maintained":       unitCount,    // VMs in service that a wave did not maintain
	"waves_unfinished":         unitCount,    // waves that had not ended by the end of the replay
	"roll_out":                 unitS,        // duration of the longest wave
	"moves":                    unitCount,    // moves of VMs between pools
	"moves_per_day":            unitCount,    // moves, scaled from the length of the trace
	"buffer_cost":              unitPermille, // worker-hours in service beyond what the documents require, per worker-hour used
	"idle_cost":                unitPermille, // worker-hours in service without work, in the pools of documents, per worker-hour used
	"document_in_force":        unitMS,       // longest time from a document change to its use by every entry core that can reach the log
	"documents_reverted":       unitCount,    // documents sampled with a lower version than one second before
	"races_won_twice":          unitCount,    // accepted changes beyond the first of the same base version
	"document_changes_refused": unitCount,
}

func measureNames() string { return strings.Join(slices.Sorted(maps.Keys(measures)), ", ") }

// Figure is the measured value of one measure, in its unit.
type Figure struct {
	Value int64
	// Known is false if the replay had nothing that the measure applies to. For roll_out and document_in_force it is also
	// false if a wave or a document change was unfinished at the end of the replay.
	Known bool
}

// ClassFigures holds the counts and the worst waits of one class of a team, as classStats defines them.
type ClassFigures struct {
	Team, Class                                                             string
	Long                                                                    bool
	Arrived, Repeated, Started, Done, Refused, Unknown, Accepted, Completed int
	Cancelled                                                               int
	WorstWait, WorstRefusal                                                 time.Duration
}

// figures computes every measure at the end of a replay.
func (d *driver) figures() map[string]Figure {
	m := &d.counters
	figures := map[string]Figure{}
	count := func(name string, value int) { figures[name] = Figure{Value: int64(value), Known: true} }
	count("budget_exceeded", m.budgetExceededS)
	count("unplanned_beyond_budget", m.unplannedExceededS)
	count("below_capacity", m.belowCapacityS)
	count("jobs_lost", m.lostJobs)
	count("jobs_run_after_cancel", m.ranAfterCancel)
	twice := 0
	for _, runs := range d.keyRuns {
		if runs > 1 {
			twice++
		}
	}
	count("keys_run_twice", twice)
	count("ran_after_refusal", m.ranAfterRefusal)
	count("work_cut_off", m.workCutOff)
	d.waitFigures(figures)
	d.waveFigures(figures)
	moves := m.moves - m.movesAtStart
	count("moves", moves)
	count("moves_per_day", int((time.Duration(moves)*24*time.Hour+d.trace.duration()/2)/d.trace.duration()))
	if m.usedWorkerS > 0 {
		count("buffer_cost", int(1000*m.spareWorkerS/m.usedWorkerS+0.5))
		count("idle_cost", int(1000*m.idleWorkerS/m.usedWorkerS+0.5))
	}
	figures["document_in_force"] = Figure{Value: m.slowestChange.Milliseconds(), Known: m.changeInForce && len(d.pendingChanges) == 0}
	count("documents_reverted", m.documentsReverted)
	count("races_won_twice", m.extraAccepts)
	count("document_changes_refused", m.changesRefused)
	return figures
}

func (d *driver) waitFigures(figures map[string]Figure) {
	var short, long, refusal time.Duration
	shortStarted, longStarted, refused, shortRefused, shortArrived := 0, 0, 0, 0, 0
	for _, key := range d.statsKeys {
		s := d.stats[key]
		refused += s.refused
		refusal = max(refusal, s.worstRefusal)
		if s.long {
			longStarted += s.started
			long = max(long, s.worstWait)
			continue
		}
		shortStarted += s.started
		short = max(short, s.worstWait)
		shortRefused += s.refused
		shortArrived += s.arrived
	}
	// Waits are rounded up, so that a wait just above a bound does not satisfy it.
	ms := func(t time.Duration) int64 { return (t + time.Millisecond - 1).Milliseconds() }
	figures["worst_short_wait"] = Figure{Value: ms(short), Known: shortStarted > 0}
	figures["worst_long_wait"] = Figure{Value: ms(long), Known: longStarted > 0}
	figures["worst_refusal_wait"] = Figure{Value: ms(refusal), Known: refused > 0}
	figures["refused"] = Figure{Value: int64(refused), Known: true}
	figures["short_refused"] = Figure{Value: int64(1000 * shortRefused / max(shortArrived, 1)), Known: shortArrived > 0}
}

func (d *driver) waveFigures(figures map[string]Figure) {
	unfinished, missed := 0, 0
	var longest time.Duration
	for _, w := range d.waves {
		if !w.ended {
			unfinished++
		}
		missed += w.notMaintained
		longest = max(longest, w.elapsed)
	}
	figures["waves_unfinished"] = Figure{Value: int64(unfinished), Known: true}
	figures["vms_not_maintained"] = Figure{Value: int64(missed), Known: true}
	figures["vms_maintained_twice"] = Figure{Value: int64(d.maintainedTwice()), Known: true}
	figures["roll_out"] = Figure{Value: int64(longest.Seconds()), Known: len(d.waves) > 0 && unfinished == 0}
}

func (d *driver) classFigures() []ClassFigures {
	var list []ClassFigures
	for _, key := range d.statsKeys {
		s := d.stats[key]
		list = append(list, ClassFigures{
			Team: string(key.team), Class: string(key.class), Long: s.long, Arrived: s.arrived, Repeated: s.repeated, Started: s.started,
			Done: s.done, Refused: s.refused, Unknown: s.unknown, Accepted: s.accepted, Completed: s.completed, Cancelled: s.cancelled,
			WorstWait: s.worstWait, WorstRefusal: s.worstRefusal,
		})
	}
	return list
}
