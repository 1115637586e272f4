package wigeonfake

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wigeonstep/wigeonstep"
)

const (
	// maxWait is the upper end of the histograms; longer waits are recorded as this one.
	maxWait = time.Hour
	// maxDetails bounds the examples that a report keeps.
	maxDetails = 20
	// settleInterval is how often the run counts are read while jobs settle.
	settleInterval = 100 * time.Millisecond
)

// Report says what became of the arrivals of a trace.
type Report struct {
	// Rows are sorted by team and class.
	Rows []*ReportRow
	// Details are examples of what went wrong, at most 20.
	Details []string
	// Checked is set when the run counts of the servers were read, so that RunTwice, RanNotRun, DoneNotRun and the
	// jobs in Lost are known.
	Checked bool
}

// ReportRow counts the arrivals of one class of a team.
type ReportRow struct {
	Team  wigeonstep.TeamName
	Class wigeonstep.ClassName
	Calls int
	// Done, NotRun, Unknown and Accepted count final answers by their outcome.
	Done, NotRun, Unknown, Accepted int
	// Cancelled counts arrivals that their caller gave up.
	Cancelled int
	// Lost counts arrivals without a final answer, and accepted jobs that did not run.
	Lost int
	// Bad counts answers that are not whole, belong to another request or break the rules of their outcome.
	Bad int
	// RunTwice counts keys whose work ran more than once.
	RunTwice int
	// RanNotRun counts answers not_run to work that ran.
	RanNotRun int
	// DoneNotRun counts answers done to work that did not run.
	DoneNotRun int
	// Wait holds the waits of Done and Accepted in microseconds: the time from the planned arrival to the whole answer,
	// less the run time that the trace states for Done.
	Wait *hdrhistogram.Histogram
	// Refused holds the times to the answers NotRun and Unknown in microseconds.
	Refused *hdrhistogram.Histogram
}

// report builds the report. It reads the run counts until all accepted jobs have run or Settle is over.
func (c *Caller) report(ctx context.Context, results []callResult) (*Report, error) {
	report := &Report{}
	rows := map[string]*ReportRow{}
	for _, r := range results {
		report.row(rows, r.arrival).add(r)
		if r.outcome == callBad || r.outcome == callNoAnswer {
			report.detail("%s/%s key %q: %s: %s", r.arrival.Team, r.arrival.Class, r.arrival.Key, r.outcome, r.detail)
		}
	}
	report.Rows = slices.SortedFunc(maps.Values(rows), func(a, b *ReportRow) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Class, b.Class))
	})
	if c.Counts == nil {
		return report, ctx.Err()
	}
	counts, err := c.settledCounts(ctx, results)
	if err != nil {
		return report, fmt.Errorf("read the run counts: %w", err)
	}
	report.check(rows, results, counts)
	return report, ctx.Err()
}

func (c *Caller) settledCounts(ctx context.Context, results []callResult) (RunCounts, error) {
	end := time.Now().Add(c.Settle)
	for {
		counts, err := c.Counts(ctx)
		if err != nil || time.Now().After(end) || acceptedRan(results, counts) {
			return counts, err
		}
		if err := pause(ctx, settleInterval); err != nil {
			return counts, err
		}
	}
}

func acceptedRan(results []callResult, counts RunCounts) bool {
	return !slices.ContainsFunc(results, func(r callResult) bool {
		return r.outcome == callAccepted && counts.ByBody[BodyHash(r.body)] == 0
	})
}

func (r *Report) row(rows map[string]*ReportRow, arrival Arrival) *ReportRow {
	name := string(arrival.Team) + "\x00" + string(arrival.Class)
	row := rows[name]
	if row == nil {
		row = &ReportRow{Team: arrival.Team, Class: arrival.Class, Wait: newHistogram(), Refused: newHistogram()}
		rows[name] = row
	}
	return row
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxWait.Microseconds(), 3)
}

func (r *ReportRow) add(result callResult) {
	r.Calls++
	switch result.outcome {
	case callDone:
		r.Done++
		record(r.Wait, result.took-time.Duration(result.arrival.RunMS)*time.Millisecond)
	case callAccepted:
		r.Accepted++
		record(r.Wait, result.took)
	case callNotRun:
		r.NotRun++
		record(r.Refused, result.took)
	case callUnknown:
		r.Unknown++
		record(r.Refused, result.took)
	case callCancelled:
		r.Cancelled++
	case callBad:
		r.Bad++
	default:
		r.Lost++
	}
}

func record(h *hdrhistogram.Histogram, took time.Duration) {
	_ = h.RecordValue(min(max(took, time.Microsecond), maxWait).Microseconds()) // never out of the range
}

// check compares the answers with what ran.
func (r *Report) check(rows map[string]*ReportRow, results []callResult, counts RunCounts) {
	r.Checked = true
	twice := map[wigeonstep.Key]bool{}
	// A call of which a repetition with the same key may have run says nothing about the runs of the key.
	mayRun := map[wigeonstep.Key]bool{}
	for _, result := range results {
		if result.outcome != callNotRun && result.arrival.Key != "" {
			mayRun[result.arrival.Key] = true
		}
	}
	for _, result := range results {
		row, key := r.row(rows, result.arrival), result.arrival.Key
		runs := counts.ByBody[BodyHash(result.body)]
		switch {
		case key != "" && runs > 1 && !twice[key]:
			twice[key] = true
			row.RunTwice++
			r.detail("%s/%s key %q: ran %d times", result.arrival.Team, result.arrival.Class, key, runs)
		case result.outcome == callNotRun && runs > 0 && !mayRun[key]:
			row.RanNotRun++
			r.detail("%s/%s key %q: not_run, and ran", result.arrival.Team, result.arrival.Class, key)
		case result.outcome == callDone && runs == 0:
			row.DoneNotRun++
			r.detail("%s/%s key %q: done, and never ran", result.arrival.Team, result.arrival.Class, key)
		case result.outcome == callAccepted && runs == 0:
			row.Lost++
			r.detail("%s/%s key %q: accepted, and never ran", result.arrival.Team, result.arrival.Class, key)
		}
	}
}

func (r *Report) detail(format string, values ...any) {
	if len(r.Details) < maxDetails {
		r.Details = append(r.Details, fmt.Sprintf(format, values...))
	}
}

// Broken returns how many arrivals break a promise: run twice, not_run and ran, done and never ran, or a bad answer.
func (r *Report) Broken() int {
	broken := 0
	for _, row := range r.Rows {
		broken += row.RunTwice + row.RanNotRun + row.DoneNotRun + row.Bad
	}
	return broken
}

// WriteTable writes the report as a table. Times are in milliseconds; wait columns cover done and accepted, refusal
// columns not_run and unknown.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "team\tclass\tcalls\tdone\tnot_run\tunknown\taccepted\tcancelled\tlost\tbad\trun_twice\tran_not_run\tdone_not_run\t"+
		"wait_p50_ms\twait_p95_ms\twait_p99_ms\twait_max_ms\trefused_p99_ms\t")
	for _, row := range r.Rows {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n",
			row.Team, row.Class, row.Calls, row.Done, row.NotRun, row.Unknown, row.Accepted, row.Cancelled, row.Lost, row.Bad,
			r.checked(row.RunTwice), r.checked(row.RanNotRun), r.checked(row.DoneNotRun),
			quantile(row.Wait, 50), quantile(row.Wait, 95), quantile(row.Wait, 99), quantile(row.Wait, 100), quantile(row.Refused, 99))
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	for _, detail := range r.Details {
		if _, err := fmt.Fprintln(w, detail); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
	}
	return nil
}

func (r *Report) checked(count int) string {
	if !r.Checked {
		return "-"
	}
	return fmt.Sprint(count)
}

func quantile(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtPercentile(percent)) / 1000
}
