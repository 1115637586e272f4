package wigeonreplay_test

import (
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep/wigeonreplay"
)

const smallTrace = `name: small
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
events:
  - {at_s: 10, kind: vm_fail, vm: a-r1-1}
  - {at_s: 20, kind: vm_return, vm: a-r1-1}
`

// Guards against a trace with an error being replayed as something other than what was recorded. Each fault must be
// reported with its line.
func TestBadTraces(t *testing.T) {
	t.Parallel()
	_, faults := wigeonreplay.ParseTrace("t", []byte(smallTrace))
	qt.New(t).Assert(faults.Err(), qt.IsNil)
	for _, test := range []struct{ name, from, to, want string }{
		{"unknown event", "kind: vm_fail", "kind: vm_stumble", `t:15:22: events\[0\].kind: expected one of vm_fail, .*`},
		{"events out of order", "at_s: 20", "at_s: 5", `t:16:6: events\[1\].at_s: expected at least 10, .*`},
		{"event after the end", "at_s: 20", "at_s: 61", `t:16:6: events\[1\].at_s: expected at most duration_s, which is 60`},
		{"unknown VM", "vm_return, vm: a-r1-1", "vm_return, vm: a-r1-9", `t:16:.*: events\[1\].vm: expected an id that the trace introduced before, found "a-r1-9"`},
		{"unknown rack", "kind: vm_return, vm: a-r1-1", "kind: rack_fail, data_centre: a, rack: r7", `t:16:.*rack: expected a rack of the trace.*`},
		{"unknown data centre", "kind: vm_return, vm: a-r1-1", "kind: cut, data_centre: b, for_s: 3", `t:16:.*data_centre: expected an id.*`},
		{"cut without a duration", "kind: vm_return, vm: a-r1-1", "kind: cut, data_centre: a", `t:16:.*for_s: expected a whole number from 1`},
		{"unknown pool", "kind: vm_return, vm: a-r1-1", "kind: wave, pool: stock", `t:16:.*pool: expected an id.*`},
		{"unknown change", "kind: vm_return, vm: a-r1-1", "kind: document_change, change: x", `t:16:.*change: expected the id of a change.*`},
		{"unknown key", "kind: vm_return, vm: a-r1-1", "kind: cancel, key: k1", `t:16:.*key: expected an id.*`},
		{"unknown class", "class: query, mean", "class: submit, mean", `t:13:.*class: expected a class of a document of the team.*`},
		{"bad document", "capacity: {workers: 1}", "capacity: {workers: 0}", `t:10:.*documents\[0\].capacity.workers: expected a whole number from 1.*`},
		{"unknown key of the file", "name: small", "title: small", `t:1:1: title: unknown key.*(\n.*)*`},
		{"truncated file", "  - {at_s: 20, kind: vm_return, vm: a-r1-1}\n", "  - {at_s: 20, ki", `t:.*valid YAML.*(\n.*)*`},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			text := strings.Replace(smallTrace, test.from, test.to, 1)
			qt.New(t).Assert(text, qt.Not(qt.Equals), smallTrace)
			_, faults := wigeonreplay.ParseTrace("t", []byte(text))
			qt.New(t).Assert(faults.Err(), qt.ErrorMatches, test.want)
		})
	}
}

// Guards against an outcome with an unknown measure or a wrong unit that is never checked and so seems to hold.
func TestBadOutcomes(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ name, text, want string }{
		{"unknown measure", "{measure: luck, bound: never}", `o:2:.*outcomes\[0\].measure: expected one of below_capacity, .*`},
		{"wrong unit", "{measure: moves, bound: at_most, value_ms: 3}", `o:2:.*outcomes\[0\].value_ms: expected value_count for measure moves`},
		{"no value", "{measure: moves, bound: at_most}", `o:2:.*outcomes\[0\].bound: expected value_count beside at_most`},
		{"value beside never", "{measure: moves, bound: never, value_count: 3}", `o:2:.*value_count: expected no value beside never`},
		{"never for a ratio", "{measure: buffer_cost, bound: never}", `o:2:.*bound: expected never only for.*`},
		{"unknown bound", "{measure: moves, bound: about, value_count: 3}", `o:2:.*bound: expected one of at_most, at_least, never, within.*`},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			_, faults := wigeonreplay.ParseOutcomes("o", []byte("outcomes:\n  - "+test.text+"\n"))
			qt.New(t).Assert(faults.Err(), qt.ErrorMatches, test.want)
		})
	}
}

// Guards against an outcome that holds under any policy: the greedy policy maintains a VM twice on the consortium trace,
// so the outcome must be breached.
func TestGreedyPolicyBreachesOutcome(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	data, err := os.ReadFile("testdata/consortium.yaml")
	c.Assert(err, qt.IsNil)
	trace, faults := wigeonreplay.ParseTrace("t", data)
	c.Assert(faults.Err(), qt.IsNil)
	outcomes, faults := wigeonreplay.ParseOutcomes("o", []byte("outcomes: [{measure: vms_maintained_twice, bound: never}]"))
	c.Assert(faults.Err(), qt.IsNil)
	result, err := wigeonreplay.Replay(trace, outcomes, 1, wigeonreplay.PolicyGreedy)
	c.Assert(err, qt.IsNil)
	c.Assert(result.Breaches, qt.Equals, 1)
}
