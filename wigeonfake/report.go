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
	// maxRecordedWait is the upper limit of the histograms; longer times are recorded as this value.
	maxRecordedWait = time.Hour
	// maxDetails limits the number of examples in a report.
	maxDetails = 20
	// countsInterval is the interval between reads of the run counts while accepted jobs have not run.
	countsInterval = 100 * time.Millisecond
)

// Report summarizes the outcomes of the arrivals of a trace.
type Report struct {
	// Rows are sorted by team and class.
	Rows []*ReportRow
	// Details describes examples of missing or bad answers and of violated guarantees, at most 20.
	Details []string
	// Checked is set if the run counts of the backend servers were read. Otherwise RunTwice, RanNotRun and DoneNotRun are
	// unknown, and Lost does not include accepted jobs.
	Checked bool
}

// ReportRow holds the counts and latencies of the arrivals of one class of a team.
type ReportRow struct {
	Team  wigeonstep.TeamName
	Class wigeonstep.ClassName
	Calls int
	// Done, NotRun, Unknown and Accepted count final answers by their outcome.
	Done, NotRun, Unknown, Accepted int
	// Cancelled counts arrivals that their caller cancelled.
	Cancelled int
	// Lost counts arrivals without a final answer, and accepted jobs that did not run.
	Lost int
	// Bad counts answers that are damaged, belong to another request or do not agree with their outcome.
	Bad int
	// RunTwice counts the keys whose request ran more than once.
	RunTwice int
	// RanNotRun counts the requests that ran although they were answered with not_run.
	RanNotRun int
	// DoneNotRun counts the requests that did not run although they were answered with done.
	DoneNotRun int
	// Wait is the histogram of the waits of Done and Accepted in microseconds: the time from the planned arrival to the end
	// of the answer. For Done, the run time in the trace is subtracted.
	Wait *hdrhistogram.Histogram
	// Refused is the histogram of the times from the planned arrival to the answer of NotRun and Unknown in microseconds.
	Refused *hdrhistogram.Histogram
}

// report builds the report of the results.
func (c *Caller) report(ctx context.Context, results []callResult) (*Report, error) {
	report := &Report{}
	rows := map[string]*ReportRow{}
	for _, r := range results {
		report.row(rows, r.arrival).add(r)
		if r.outcome == callBad || r.outcome == callNoAnswer {
			report.addDetail("%s/%s key %q: %s: %s", r.arrival.Team, r.arrival.Class, r.arrival.Key, r.outcome, r.detail)
		}
	}
	report.Rows = slices.SortedFunc(maps.Values(rows), func(a, b *ReportRow) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Class, b.Class))
	})
	if c.Counts == nil {
		return report, ctx.Err()
	}
	counts, err := c.awaitCounts(ctx, results)
	if err != nil {
		return report, fmt.Errorf("read the run counts: %w", err)
	}
	report.checkRuns(rows, results, counts)
	return report, ctx.Err()
}

// awaitCounts reads the run counts until all accepted jobs have run, but for at most AcceptedJobsTimeout.
func (c *Caller) awaitCounts(ctx context.Context, results []callResult) (RunCounts, error) {
	end := time.Now().Add(c.AcceptedJobsTimeout)
	for {
		counts, err := c.Counts(ctx)
		if err != nil || time.Now().After(end) || allAcceptedRan(results, counts) {
			return counts, err
		}
		if err := sleepContext(ctx, countsInterval); err != nil {
			return counts, err
		}
	}
}

// allAcceptedRan reports whether every accepted job has run at least once.
func allAcceptedRan(results []callResult, counts RunCounts) bool {
	return !slices.ContainsFunc(results, func(r callResult) bool {
		return r.outcome == callAccepted && counts.ByBody[BodyHash(r.body)] == 0
	})
}

// row returns the row of the arrival, which it creates if necessary.
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
	return hdrhistogram.New(1, maxRecordedWait.Microseconds(), 3)
}

func (r *ReportRow) add(result callResult) {
	r.Calls++
	switch result.outcome {
	case callDone:
		r.Done++
		recordLatency(r.Wait, result.latency-time.Duration(result.arrival.RunMS)*time.Millisecond)
	case callAccepted:
		r.Accepted++
		recordLatency(r.Wait, result.latency)
	case callNotRun:
		r.NotRun++
		recordLatency(r.Refused, result.latency)
	case callUnknown:
		r.Unknown++
		recordLatency(r.Refused, result.latency)
	case callCancelled:
		r.Cancelled++
	case callBad:
		r.Bad++
	default:
		r.Lost++
	}
}

func recordLatency(h *hdrhistogram.Histogram, latency time.Duration) {
	_ = h.RecordValue(min(max(latency, time.Microsecond), maxRecordedWait).Microseconds()) // always within the range
}

// checkRuns compares the answers with the run counts.
func (r *Report) checkRuns(rows map[string]*ReportRow, results []callResult, counts RunCounts) {
	r.Checked = true
	ranTwice := map[wigeonstep.IdempotencyKey]bool{}
	// A not_run answer says nothing about the runs of its key if another request with the key had another outcome: that
	// request may have run.
	mayHaveRun := map[wigeonstep.IdempotencyKey]bool{}
	for _, result := range results {
		if result.outcome != callNotRun && result.arrival.Key != "" {
			mayHaveRun[result.arrival.Key] = true
		}
	}
	for _, result := range results {
		row, key := r.row(rows, result.arrival), result.arrival.Key
		runs := counts.ByBody[BodyHash(result.body)]
		switch {
		case key != "" && runs > 1 && !ranTwice[key]:
			ranTwice[key] = true
			row.RunTwice++
			r.addDetail("%s/%s key %q: ran %d times", result.arrival.Team, result.arrival.Class, key, runs)
		case result.outcome == callNotRun && runs > 0 && !mayHaveRun[key]:
			row.RanNotRun++
			r.addDetail("%s/%s key %q: not_run, and ran", result.arrival.Team, result.arrival.Class, key)
		case result.outcome == callDone && runs == 0:
			row.DoneNotRun++
			r.addDetail("%s/%s key %q: done, and never ran", result.arrival.Team, result.arrival.Class, key)
		case result.outcome == callAccepted && runs == 0:
			row.Lost++
			r.addDetail("%s/%s key %q: accepted, and never ran", result.arrival.Team, result.arrival.Class, key)
		}
	}
}

func (r *Report) addDetail(format string, values ...any) {
	if len(r.Details) < maxDetails {
		r.Details = append(r.Details, fmt.Sprintf(format, values...))
	}
}

// Violations returns the number of violated guarantees: the sum of RunTwice, RanNotRun, DoneNotRun and Bad over all rows.
func (r *Report) Violations() int {
	violations := 0
	for _, row := range r.Rows {
		violations += row.RunTwice + row.RanNotRun + row.DoneNotRun + row.Bad
	}
	return violations
}

// WriteTable writes the report as a table. Times are in milliseconds. The wait columns cover done and accepted, the refusal
// column not_run and unknown.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "team\tclass\tcalls\tdone\tnot_run\tunknown\taccepted\tcancelled\tlost\tbad\trun_twice\tran_not_run\tdone_not_run\t"+
		"wait_p50_ms\twait_p95_ms\twait_p99_ms\twait_max_ms\trefused_p99_ms\t")
	for _, row := range r.Rows {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n",
			row.Team, row.Class, row.Calls, row.Done, row.NotRun, row.Unknown, row.Accepted, row.Cancelled, row.Lost, row.Bad,
			r.formatCheckedCount(row.RunTwice), r.formatCheckedCount(row.RanNotRun), r.formatCheckedCount(row.DoneNotRun),
			percentileMS(row.Wait, 50), percentileMS(row.Wait, 95), percentileMS(row.Wait, 99), percentileMS(row.Wait, 100), percentileMS(row.Refused, 99))
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

// formatCheckedCount returns the count, or "-" if the run counts are unknown.
func (r *Report) formatCheckedCount(count int) string {
	if !r.Checked {
		return "-"
	}
	return fmt.Sprint(count)
}

// percentileMS returns a percentile of a histogram of microseconds in milliseconds.
func percentileMS(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtPercentile(percent)) / 1000
}
