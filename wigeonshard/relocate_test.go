package wigeonshard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// Guards against runs that are stopped on a slow worker although the room elsewhere suffices for one of them only: the others would
// wait for room, and their work would stand still.
func TestOnlyRunsThatFitElsewhereLeaveASlowWorker(t *testing.T) {
	c := qt.New(t)
	now := Timestamp{Steady: time.Hour, Wall: 1_700_000_000_000}
	o := NewOwner(testSettings, 1, now, wigeonjob.OwnerRecord{})
	room := func(cpu wigeonstep.MilliCPU) wigeonstep.Resources {
		return wigeonstep.Resources{CPU: cpu, Memory: 8192}
	}
	o.SetWorkers(now, []wigeonstep.ListedWorker{
		{ID: "slow", Address: "slow:1", Service: testService, Capacity: room(8000)},
		{ID: "other", Address: "other:1", Service: testService, Capacity: room(2000)},
	})
	for _, w := range o.sortedWorkers {
		w.answered, w.clock = true, 1
	}
	saving := testStep(3)
	saving.SavesProgress = true
	o.AddJob(now, testJob("job", saving), wigeonjob.Progress{}, false)
	for _, task := range o.jobs["job"].occurrences[0].steps[0].tasks {
		task.checkpoint = "saved"
		o.planRun(task, o.workers["slow"], 1)
		task.runs[0].phase = runAccepted
	}
	o.relocateFromSlowWorker(now, o.workers["slow"])
	stopped := 0
	for _, r := range o.workers["slow"].runs {
		if r.stopping {
			stopped++
		}
	}
	c.Assert(stopped, qt.Equals, 1)
}
