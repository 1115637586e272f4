package wigeonreplay

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// Result holds the figures of a replay and the checks of its outcomes.
type Result struct {
	Trace   string
	Policy  Policy
	Seed    uint64
	Seconds int
	Figures map[string]Figure
	Classes []ClassFigures
	Checks  []Check
	// Breaches is the number of checks that do not hold.
	Breaches int
}

// Check is a stated outcome with the measured figure. Holds is false if the figure breaches the outcome.
type Check struct {
	Outcome
	Figure Figure
	Holds  bool
}

// Replay replays the trace under the policy and checks the outcomes. It returns an error if the fold does not accept an
// initial document of the trace.
func Replay(trace *Trace, outcomes *Outcomes, seed uint64, policy Policy) (*Result, error) {
	d := newDriver(trace, seed, policy)
	if err := d.run(); err != nil {
		return nil, fmt.Errorf("trace %s: %w", trace.Name, err)
	}
	r := &Result{Trace: trace.Name, Policy: policy, Seed: seed, Seconds: trace.DurationS, Figures: d.figures(), Classes: d.classFigures()}
	for _, o := range outcomes.Outcomes {
		figure := r.Figures[o.Measure]
		c := Check{Outcome: o, Figure: figure, Holds: o.holds(figure, measures[o.Measure])}
		if !c.Holds {
			r.Breaches++
		}
		r.Checks = append(r.Checks, c)
	}
	return r, nil
}

// WriteText writes tables of the checked outcomes, all figures and the counts of each class.
func (r *Result) WriteText(out io.Writer) error {
	fmt.Fprintf(out, "trace %s policy %s seed %d duration_s %d\n\n", r.Trace, r.Policy, r.Seed, r.Seconds)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "outcome\tbound\tfigure\tverdict")
	for _, c := range r.Checks {
		verdict := "holds"
		if !c.Holds {
			verdict = "BREACH"
		}
		unit := measures[c.Measure]
		bound := c.Bound
		if c.Bound != boundNever {
			bound = fmt.Sprintf("%s %d %s", c.Bound, c.value(unit), unit)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", c.Measure, bound, c.Figure.text(unit), verdict)
	}
	fmt.Fprintln(w, "\t\t\t\nmeasure\tfigure\t\t")
	for _, name := range slices.Sorted(maps.Keys(r.Figures)) {
		fmt.Fprintf(w, "%s\t%s\t\t\n", name, r.Figures[name].text(measures[name]))
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write the result: %w", err)
	}
	return r.writeClasses(out)
}

func (r *Result) writeClasses(out io.Writer) error {
	fmt.Fprintln(out)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "team\tclass\tarrived\trepeated\tstarted\tdone\trefused\tunknown\tcancelled\tworst_wait_ms\tworst_refusal_ms")
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", c.Team, c.Class, c.Arrived, c.Repeated, c.Started, c.Done,
			c.Refused, c.Unknown, c.Cancelled, c.WorstWait.Milliseconds(), c.WorstRefusal.Milliseconds())
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write the result: %w", err)
	}
	fmt.Fprintf(out, "\n%d of %d outcomes breached\n", r.Breaches, len(r.Checks))
	return nil
}

func (f Figure) text(unit string) string {
	if !f.Known {
		return "none"
	}
	return fmt.Sprintf("%d %s", f.Value, unit)
}
