package wigeonreplay_test

import (
	"bytes"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep/wigeonreplay"
)

// replay returns what the command prints.
func replay(t *testing.T, name string, policy wigeonreplay.Policy) (string, *wigeonreplay.Result) {
	t.Helper()
	c := qt.New(t)
	data, err := os.ReadFile("testdata/" + name + ".yaml")
	c.Assert(err, qt.IsNil)
	trace, faults := wigeonreplay.ParseTrace(name+".yaml", data)
	c.Assert(faults.Err(), qt.IsNil)
	data, err = os.ReadFile("testdata/" + name + ".outcomes.yaml")
	c.Assert(err, qt.IsNil)
	outcomes, faults := wigeonreplay.ParseOutcomes(name+".outcomes.yaml", data)
	c.Assert(faults.Err(), qt.IsNil)
	result, err := wigeonreplay.Replay(trace, outcomes, 1, policy)
	c.Assert(err, qt.IsNil)
	var out bytes.Buffer
	c.Assert(result.WriteText(&out), qt.IsNil)
	return out.String(), result
}

// Guards against a decision that depends on a clock, an unseeded random source or the order of a map.
func TestReplayIsTheSameEveryTime(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"oltvanykod", "consortium"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, _ := replay(t, name, wigeonreplay.PolicyWigeonstep)
			second, _ := replay(t, name, wigeonreplay.PolicyWigeonstep)
			qt.New(t).Assert(second, qt.Equals, first)
		})
	}
}
