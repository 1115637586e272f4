package main

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep/platform/wigeonstandin"
)

// Guards against a queue that stops because the store rejects the progress of one job: its shard went from owner to owner. The
// job is given up with a reason, the jobs behind it complete, and the rejection is counted.
func TestRejectedRecordHarmsOneJob(t *testing.T) {
	c := qt.New(t)
	f := newPlatformStandIn(t, 4)
	n := f.startNode(t, "node")
	f.store.MaxRecordBytes.Store(400)
	submit := func(i int, job any) {
		status, _ := n.request(c, http.MethodPost, "/new/"+jobID(i), job)
		c.Assert(status, qt.Equals, http.StatusOK)
	}
	submit(0, wigeonstandin.LongRunningJob(30))
	submit(1, wigeonstandin.Job("order"))
	waitFor(c, "the job with a small record is completed", func() bool { return n.jobState(c, jobID(1)) == "completed" })
	waitFor(c, "the job whose record is rejected is given up", func() bool { return n.jobState(c, jobID(0)) == "failed" })
	waitFor(c, "none of its tasks runs", func() bool {
		running := 0
		for _, w := range f.workers {
			running += w.RunningCount()
		}
		return running == 0
	})
	submit(2, wigeonstandin.Job("order"))
	waitFor(c, "a later job is completed", func() bool { return n.jobState(c, jobID(2)) == "completed" })
	var exported bytes.Buffer
	n.metrics.WritePrometheus(&exported)
	c.Assert(strings.Contains(exported.String(), "wigeonstep_records_rejected_total 0"), qt.IsFalse)
}
