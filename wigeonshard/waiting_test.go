package wigeonshard

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
)

// Guards against a long-running task that waits for a worker without any line in the log that says why.
func TestReportsWhyLongRunningTaskWaits(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 30, 3)
	o := m.addOwner()
	o.SetCordons(map[wigeonstep.WorkerID]wigeonstep.VMID{"w00": "vm0"})
	m.advance(time.Second)
	lasting := testStep(3)
	lasting.LongRunning, lasting.MaxPerWorker = true, 1
	m.submitJob(testJob("lasting", lasting))
	m.advance(3 * time.Second)
	var reports []string
	for _, line := range m.history[wigeonstep.TaskID{Job: "lasting", Index: 2}] {
		if strings.Contains(line, "task_waiting") {
			reports = append(reports, line)
		}
	}
	c.Assert(reports, qt.HasLen, 1)
	c.Assert(reports[0], qt.Contains, "of 3 workers 1 leave, 0 do not answer, 0 lack the label, 0 lack room, 2 hold enough of its step, 0 are suspect, 0 suit")
}
