package wigeonfake_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonfake"
)

// Guards against requests that are counted under a wrong outcome, and against repeated runs that the report misses. The
// first entry address refuses connections, so that the caller has to try the next one.
func TestCallerReport(t *testing.T) {
	backend := startBackend(t, &wigeonfake.BackendServer{Slots: 64})
	caller := &wigeonfake.Caller{
		EntryAddresses: []string{"127.0.0.1:1", backend.Address()},
		Counts: func(ctx context.Context) (wigeonfake.RunCounts, error) {
			return wigeonfake.FetchCounts(ctx, []string{backend.Address()})
		},
	}
	arrivals, err := wigeonfake.ParseTraceCSV(strings.NewReader(
		"offset_ms,team,class,key,run_ms,cancel_ms\n" +
			"20,wax,order,k1,1,\n" +
			"0,wax,order,k1,1,\n" +
			"0,wax,order,k2,1,\n" +
			"0,wax,bake,,60000,50\n"))
	qt.Assert(t, err, qt.IsNil)
	report, err := caller.Run(t.Context(), arrivals)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, report.Rows, qt.HasLen, 2)
	bake, order := report.Rows[0], report.Rows[1]
	qt.Assert(t, bake.Cancelled, qt.Equals, 1)
	qt.Assert(t, bake.Calls, qt.Equals, 1)
	qt.Assert(t, order.Done, qt.Equals, 3)
	qt.Assert(t, order.RunTwice, qt.Equals, 1)
	qt.Assert(t, order.Wait.TotalCount(), qt.Equals, int64(3))
	qt.Assert(t, report.Violations(), qt.Equals, 1)
	var table strings.Builder
	qt.Assert(t, report.WriteTable(&table), qt.IsNil)
	qt.Assert(t, table.String(), qt.Contains, `wax/order key "k1": ran 2 times`)
}

// Guards against answers that break the rules of their outcome and still count as good.
func TestCallerChecksAnswers(t *testing.T) {
	ran := wigeonfake.RunCounts{ByBody: map[string]int{wigeonfake.BodyHash([]byte(`{"call":"key-k"}`)): 1}}
	own := `{"body_hash":"` + wigeonfake.BodyHash([]byte(`{"call":"key-k"}`)) + `","whole":true}`
	for _, test := range []struct {
		name    string
		status  int
		outcome wigeonstep.Outcome
		body    string
		counts  wigeonfake.RunCounts
		want    wigeonfake.ReportRow
	}{
		{"done", 200, "done", own, ran, wigeonfake.ReportRow{Done: 1}},
		{"done and never ran", 200, "done", own, wigeonfake.RunCounts{}, wigeonfake.ReportRow{Done: 1, DoneNotRun: 1}},
		{"other's answer", 200, "done", `{"body_hash":"1","whole":true}`, ran, wigeonfake.ReportRow{Bad: 1}},
		{"no outcome", 200, "", own, ran, wigeonfake.ReportRow{Bad: 1}},
		{"not_run and ran", 503, "not_run", "", ran, wigeonfake.ReportRow{NotRun: 1, RanNotRun: 1}},
		{"not_run with a wrong status", 200, "not_run", "", ran, wigeonfake.ReportRow{Bad: 1}},
		{"unknown", 502, "unknown", "", ran, wigeonfake.ReportRow{Unknown: 1}},
		{"accepted", 202, "accepted", "", ran, wigeonfake.ReportRow{Accepted: 1}},
		{"accepted and never ran", 202, "accepted", "", wigeonfake.RunCounts{}, wigeonfake.ReportRow{Accepted: 1, Lost: 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Retry-After", "1")
				w.Header().Set(wigeonstep.HeaderOutcome, string(test.outcome))
				w.WriteHeader(test.status)
				_, _ = w.Write([]byte(test.body))
			}))
			t.Cleanup(server.Close)
			caller := &wigeonfake.Caller{
				EntryAddresses: []string{server.Listener.Addr().String()},
				Counts:         func(context.Context) (wigeonfake.RunCounts, error) { return test.counts, nil },
			}
			report, err := caller.Run(t.Context(), []wigeonfake.Arrival{{Key: "k"}})
			qt.Assert(t, err, qt.IsNil)
			got := *report.Rows[0]
			got.Wait, got.Refused, got.Calls = nil, nil, 0
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}

// Guards against traces that are misread, and against invalid traces that are accepted.
func TestParseTrace(t *testing.T) {
	want := []wigeonfake.Arrival{{OffsetMS: 1, Team: "a"}, {OffsetMS: 5, Team: "b", Class: "c", Key: "k", RunMS: 7, CancelMS: 9, DeadlineMS: 11}}
	got, err := wigeonfake.ParseTraceYAML(strings.NewReader(
		"arrivals:\n- {offset_ms: 5, team: b, class: c, key: k, run_ms: 7, cancel_ms: 9, deadline_ms: 11}\n- {offset_ms: 1, team: a}\n"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, want)
	for _, test := range []struct{ name, csv, want string }{
		{"unknown column", "offset_ms,colour\n1,red\n", `line 2: unknown column "colour"`},
		{"no number", "offset_ms\nsoon\n", `line 2: column "offset_ms": "soon" is not a whole number`},
		{"negative time", "offset_ms,run_ms\n1,-1\n", `line 2: a time is negative`},
		{"empty", "", `read the line of column names: EOF`},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := wigeonfake.ParseTraceCSV(strings.NewReader(test.csv))
			qt.Assert(t, err, qt.ErrorMatches, test.want)
		})
	}
	_, err = wigeonfake.ParseTraceYAML(strings.NewReader("arrivals:\n- {colour: red}\n"))
	qt.Assert(t, err, qt.ErrorMatches, `(?s).*unknown field "colour".*`)
}
