package wigeondaemon

import (
	"bytes"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
)

// Guards against parts of the answer that a person does not see.
func TestWhereText(t *testing.T) {
	c := qt.New(t)
	room := wigeonstep.Resources{CPU: 4000, Memory: 8192, GPU: 1}
	placement := &wigeonshard.Placement{
		Team: &wigeonshard.TeamShare{Name: "team", Weight: 2, Limit: room, Use: wigeonstep.Resources{CPU: 500}},
		Steps: []wigeonshard.StepPlacement{
			{
				Step: 0, Tasks: 2, Suitable: 2,
				Workers:    []wigeonshard.WorkerChoice{{Worker: "w1", Free: room}, {Worker: "w2", Free: room, Against: "rack: it is not on that of the data"}},
				Unsuitable: []wigeonshard.UnsuitableWorkers{{Reason: "label: it lacks gpu", Count: 3, Workers: []wigeonstep.WorkerID{"w3", "w4"}}},
			},
			{Step: 1, Tasks: 1, WaitsFor: "the steps [0]"},
		},
		MoreSteps: 240,
	}
	var out bytes.Buffer
	for _, a := range []WhereAnswer{
		{Queue: "q", Service: "bake", Partition: 3, Owner: "10.0.0.1:7060", Placement: placement},
		refused("other", 404, "no such queue"),
	} {
		c.Assert(a.WriteText(&out), qt.IsNil)
		fmt.Fprintln(&out)
	}
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "where", out.Bytes())
}
