package wigeonsoak

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep/platform/wigeonstandin"
)

// Guards the soak itself: a check that finds nothing would prove nothing.
func TestHistoryFindsWhatIsBroken(t *testing.T) {
	start := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	see := func(ms int, worker string, what wigeonstandin.What, run uint32, how string) wigeonstandin.Observation {
		return wigeonstandin.Observation{At: start.Add(time.Duration(ms) * time.Millisecond), Worker: worker, What: what, Task: "j.0.0.0", Run: run, How: how}
	}
	began := func(ms int, worker string, run uint32) wigeonstandin.Observation {
		return see(ms, worker, wigeonstandin.Began, run, "")
	}
	done := func(ms int, worker string, run uint32) wigeonstandin.Observation {
		return see(ms, worker, wigeonstandin.Ended, run, wigeonstandin.HowDone)
	}
	noted := func(ms int, worker string, run uint32) wigeonstandin.Observation {
		return see(ms, worker, wigeonstandin.EndNoted, run, "")
	}
	whole := []wigeonstandin.Observation{began(0, "a", 1), done(5, "a", 1), noted(6, "a", 1)}
	accepted := call{accepted: start, shown: "completed"}
	for _, test := range []struct {
		name string
		call *call
		seen []wigeonstandin.Observation
		want string
	}{
		{"a whole job", &accepted, whole, ""},
		{"again after a failure", &accepted, append([]wigeonstandin.Observation{began(-9, "b", 1), see(-8, "b", wigeonstandin.Ended, 1, "failed")}, whole...), ""},
		{"two runs at the same time", &accepted, append([]wigeonstandin.Observation{began(3, "b", 2)}, whole...), "twice"},
		{"again after the end was noted", &accepted, append([]wigeonstandin.Observation{began(8, "b", 2)}, whole...), "twice"},
		{"again after an end that nobody noted", &accepted, []wigeonstandin.Observation{began(0, "a", 1), done(5, "a", 1), began(8, "b", 2)}, ""},
		{"again after a lapse before the end was noted", &accepted, []wigeonstandin.Observation{
			began(0, "a", 1), done(5, "a", 1), see(6, "a", wigeonstandin.LeaseLapsed, 0, ""), noted(7, "a", 1), began(8, "b", 2),
		}, ""},
		{"a refused job", &call{refused: start}, whole, "refused"},
		{"a job that nobody sent", nil, whole, "unasked"},
		{"a job without an answer", &call{}, whole, ""},
		{"an accepted job that does not end", &call{accepted: start, shown: "running"}, whole, "lost"},
		{"a cancelled job", &call{accepted: start, lasting: true, cancelled: true, shown: "cancelled"}, nil, ""},
		{"a job that lasts and has ended", &call{accepted: start, lasting: true, shown: "completed"}, nil, "lost"},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHistory()
			if test.call != nil {
				h.add("j", test.call)
			}
			for _, o := range test.seen {
				h.observe(o)
			}
			found := h.check()
			if test.want == "" {
				qt.Assert(t, found, qt.HasLen, 0)
				return
			}
			qt.Assert(t, found, qt.HasLen, 1)
			qt.Assert(t, strings.HasPrefix(found[0], test.want+":"), qt.IsTrue, qt.Commentf("%s", found[0]))
		})
	}
}

// Guards the repetition of a failed seed: its plan is the same each time, and another seed has another one.
func TestPlanIsRepeatable(t *testing.T) {
	c := qt.New(t)
	a, b := Plan(7, time.Minute, 4, 5), Plan(7, time.Minute, 4, 5)
	c.Assert(a, qt.DeepEquals, b)
	c.Assert(Plan(8, time.Minute, 4, 5), qt.Not(qt.DeepEquals), a)
	seen := map[Kind]bool{}
	for i, f := range a {
		seen[f.Kind] = true
		c.Assert(f.Target < 5, qt.IsTrue)
		c.Assert(i == 0 || a[i-1].At <= f.At, qt.IsTrue)
	}
	for _, kind := range kinds {
		c.Assert(seen[kind], qt.IsTrue, qt.Commentf("%s", kind))
	}
}
