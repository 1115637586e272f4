package wigeonsoak

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep/platform/wigeonstandin"
)

// Guards against a check that misses a violation, which would let every soak pass, or reports allowed behaviour.
func TestHistoryReportsViolations(t *testing.T) {
	start := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	event := func(ms int, worker string, kind wigeonstandin.EventKind, run uint32, cause string) wigeonstandin.Event {
		return wigeonstandin.Event{At: start.Add(time.Duration(ms) * time.Millisecond), Worker: worker, Kind: kind, Task: "j.0.0.0", Run: run, Cause: cause}
	}
	started := func(ms int, worker string, run uint32) wigeonstandin.Event {
		return event(ms, worker, wigeonstandin.RunStarted, run, "")
	}
	completed := func(ms int, worker string, run uint32) wigeonstandin.Event {
		return event(ms, worker, wigeonstandin.RunEnded, run, wigeonstandin.CauseDone)
	}
	endAcknowledged := func(ms int, worker string, run uint32) wigeonstandin.Event {
		return event(ms, worker, wigeonstandin.EndAcknowledged, run, "")
	}
	completeRun := []wigeonstandin.Event{started(0, "a", 1), completed(5, "a", 1), endAcknowledged(6, "a", 1)}
	accepted := clientJob{acceptedAt: start, reportedState: "completed"}
	for _, test := range []struct {
		name   string
		job    *clientJob
		events []wigeonstandin.Event
		want   string
	}{
		{"completed job", &accepted, completeRun, ""},
		{"second run after a failed one", &accepted, append([]wigeonstandin.Event{started(-9, "b", 1), event(-8, "b", wigeonstandin.RunEnded, 1, "failed")}, completeRun...), ""},
		{"overlapping runs", &accepted, append([]wigeonstandin.Event{started(3, "b", 2)}, completeRun...), "twice"},
		{"second run after an acknowledged end", &accepted, append([]wigeonstandin.Event{started(8, "b", 2)}, completeRun...), "twice"},
		{"second run after an end that was not acknowledged", &accepted, []wigeonstandin.Event{started(0, "a", 1), completed(5, "a", 1), started(8, "b", 2)}, ""},
		{"second run after a lease that expired before the end was acknowledged", &accepted, []wigeonstandin.Event{
			started(0, "a", 1), completed(5, "a", 1), event(6, "a", wigeonstandin.LeaseExpired, 0, ""), endAcknowledged(7, "a", 1), started(8, "b", 2),
		}, ""},
		{"refused job that ran", &clientJob{refusedAt: start}, completeRun, "refused"},
		{"run without a submitted job", nil, completeRun, "unrequested"},
		{"run of a job without an answer", &clientJob{}, completeRun, ""},
		{"accepted job that is not reported as completed", &clientJob{acceptedAt: start, reportedState: "running"}, completeRun, "lost"},
		{"cancelled long-running job", &clientJob{acceptedAt: start, longRunning: true, cancelled: true, reportedState: "cancelled"}, nil, ""},
		{"long-running job that ended without a cancellation", &clientJob{acceptedAt: start, longRunning: true, reportedState: "completed"}, nil, "lost"},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHistory()
			if test.job != nil {
				h.add("j", test.job)
			}
			for _, o := range test.events {
				h.observe(o)
			}
			violations := h.check()
			if test.want == "" {
				qt.Assert(t, violations, qt.HasLen, 0)
				return
			}
			qt.Assert(t, violations, qt.HasLen, 1)
			qt.Assert(t, strings.HasPrefix(violations[0], test.want+":"), qt.IsTrue, qt.Commentf("%s", violations[0]))
		})
	}
}

// Guards against a failed seed that cannot be repeated: a seed always gives the same plan, and another seed another plan.
// A long plan contains every kind of fault.
func TestPlanIsRepeatable(t *testing.T) {
	c := qt.New(t)
	a, b := Plan(7, time.Minute, 4, 5), Plan(7, time.Minute, 4, 5)
	c.Assert(a, qt.DeepEquals, b)
	c.Assert(Plan(8, time.Minute, 4, 5), qt.Not(qt.DeepEquals), a)
	seen := map[Kind]bool{}
	for i, f := range a {
		seen[f.Kind] = true
		c.Assert(f.Target < 5, qt.IsTrue)
		c.Assert(i == 0 || a[i-1].Offset <= f.Offset, qt.IsTrue)
	}
	for _, kind := range weightedKinds {
		c.Assert(seen[kind], qt.IsTrue, qt.Commentf("%s", kind))
	}
}
