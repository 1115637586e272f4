package wigeondemo

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/wigeonstep/wigeonstep/wigeonfake"
)

// Result holds the measured figures of one deployment.
type Result struct {
	Name   string
	Report *wigeonfake.Report
	// ChangeInForce is the time from the verdict on the document change until it was in force at every entry process. It
	// is zero if the run was too short for the change.
	ChangeInForce time.Duration
	Waves         []WaveResult
	Moves         int
	// BufferCost is the ratio of spare to used worker-hours. Worker-hours in service that are not used are spare.
	BufferCost float64
	// BudgetExceeded counts the samples in which planned losses exceeded a disruption budget.
	BudgetExceeded int

	// usedWorkerSeconds is the sum of the run times of all requests sent, divided by the slots of a worker.
	usedWorkerSeconds float64
}

// WaveResult is the progress of one maintenance wave. Done and Total are numbers of VMs, Elapsed is the time between the
// first and the last sample that showed the wave.
type WaveResult struct {
	Pool        string
	Done, Total int
	Elapsed     time.Duration
	Ended       bool
}

// collect fills the result from the callers' report and the measurements of the watcher.
func (r *Result) collect(report *wigeonfake.Report, w *watcher) {
	r.Report = report
	r.Moves = w.countMoves()
	r.BudgetExceeded = w.budgetExceeded
	if r.usedWorkerSeconds > 0 {
		r.BufferCost = (w.inServiceSeconds - r.usedWorkerSeconds) / r.usedWorkerSeconds
	}
	for _, wave := range w.sortedWaves() {
		r.Waves = append(r.Waves, WaveResult{
			Pool: string(wave.pool), Done: wave.done, Total: wave.total, Elapsed: wave.lastSeen.Sub(wave.firstSeen), Ended: wave.ended,
		})
	}
}

// Breaches describes each violated guarantee. It is empty if there is none.
func (r *Result) Breaches() []string {
	var breaches []string
	if r.Report == nil {
		return []string{"no report"}
	}
	if violations := r.Report.Violations(); violations > 0 {
		breaches = append(breaches, fmt.Sprintf("%d outcomes break a promise", violations))
	}
	if r.ChangeInForce > inForceBound {
		breaches = append(breaches, fmt.Sprintf("the document change took %s, the bound is %s", r.ChangeInForce, inForceBound))
	}
	if r.BudgetExceeded > 0 {
		breaches = append(breaches, fmt.Sprintf("planned losses were above a disruption budget in %d samples", r.BudgetExceeded))
	}
	return breaches
}

// WriteText writes the tables of outcomes and measures, followed by the breaches.
func (r *Result) WriteText(out io.Writer) error {
	fmt.Fprintf(out, "\n%s: outcomes\n", r.Name)
	if r.Report == nil {
		fmt.Fprintln(out, "no report")
		return nil
	}
	if err := r.Report.WriteTable(out); err != nil {
		return err
	}
	fmt.Fprintf(out, "\n%s: measures\n", r.Name)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "buffer cost\t%.1f spare worker-hours per worker-hour used\n", r.BufferCost)
	change := "not reached"
	if r.ChangeInForce > 0 {
		change = r.ChangeInForce.Round(time.Millisecond).String()
	}
	fmt.Fprintf(w, "roll-out of the document change\t%s\n", change)
	for _, wave := range r.Waves {
		state := "running"
		if wave.Ended || wave.Done == wave.Total {
			state = "ended"
		}
		fmt.Fprintf(w, "roll-out of the wave in %s\t%d of %d VMs in %s, %s\n", wave.Pool, wave.Done, wave.Total, wave.Elapsed.Round(100*time.Millisecond), state)
	}
	fmt.Fprintf(w, "moves of VMs between pools\t%d\n", r.Moves)
	if err := w.Flush(); err != nil {
		return err
	}
	for _, breach := range r.Breaches() {
		fmt.Fprintf(out, "BREACH: %s\n", breach)
	}
	return nil
}
