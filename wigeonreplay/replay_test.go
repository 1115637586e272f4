package wigeonreplay_test

import (
	"bytes"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/wigeonstep/wigeonstep/wigeonreplay"
)

// replay replays a trace of testdata and returns the output of the replay command.
func replay(t *testing.T, name string) (string, *wigeonreplay.Result) {
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
	result, err := wigeonreplay.Replay(trace, outcomes, 1, wigeonreplay.PolicyWigeonstep)
	c.Assert(err, qt.IsNil)
	var out bytes.Buffer
	c.Assert(result.WriteText(&out), qt.IsNil)
	return out.String(), result
}

// Guards the stated outcomes on every trace. It also guards against a decision that depends on a clock, an unseeded random
// source or the iteration order of a map: a second replay and the golden file must have the same bytes.
func TestReplay(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"oltvanykod", "oltvanykod-centre", "consortium", "consortium-centre"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			first, result := replay(t, name)
			second, _ := replay(t, name)
			c.Check(second, qt.Equals, first)
			c.Check(result.Breaches, qt.Equals, 0, qt.Commentf("%s", first))
			goldie.New(t).Assert(t, name, []byte(first))
		})
	}
}
