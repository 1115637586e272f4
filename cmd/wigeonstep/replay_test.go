package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

const replayTrace = `name: small
duration_s: 60
data_centres: [a]
racks:
  - {data_centre: a, rack: r1, pools: [orders, orders, spare]}
documents:
  - service: orders
    team: grafters
    pool: orders
    capacity: {workers: 1}
    classes: [{name: query, idempotent: true}]
arrivals:
  - {team: grafters, class: query, mean_per_min: 60, true_run_ms: 100}
`

// Guards against an exit status that does not tell a breach (1) from bad input (2); CI depends on it.
func TestReplayExitStatus(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name, trace, outcome string
		more                 []string
		want                 int
	}{
		{name: "kept", trace: replayTrace, outcome: "{measure: jobs_lost, bound: never}", want: 0},
		{name: "breached", trace: replayTrace, outcome: "{measure: refused, bound: at_least, value_count: 1000}", want: exitFailure},
		{name: "bad trace", trace: replayTrace + "extra: 1\n", outcome: "{measure: jobs_lost, bound: never}", want: exitUsage},
		{name: "bad outcome", trace: replayTrace, outcome: "{measure: luck, bound: never}", want: exitUsage},
		{name: "bad policy", trace: replayTrace, outcome: "{measure: jobs_lost, bound: never}", more: []string{"-policy", "lazy"}, want: exitUsage},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			dir := t.TempDir()
			trace, outcomes := filepath.Join(dir, "trace.yaml"), filepath.Join(dir, "outcomes.yaml")
			c.Assert(os.WriteFile(trace, []byte(test.trace), 0o600), qt.IsNil)
			c.Assert(os.WriteFile(outcomes, []byte("outcomes:\n  - "+test.outcome+"\n"), 0o600), qt.IsNil)
			var out, errOut bytes.Buffer
			args := append([]string{"replay", "-trace", trace, "-outcomes", outcomes}, test.more...)
			c.Assert(run(context.Background(), args, &out, &errOut), qt.Equals, test.want, qt.Commentf("%s%s", &out, &errOut))
		})
	}
	var out, errOut bytes.Buffer
	qt.New(t).Assert(run(context.Background(), []string{"replay", "-trace", "none.yaml", "-outcomes", "none.yaml"}, &out, &errOut), qt.Equals, exitUsage)
}
