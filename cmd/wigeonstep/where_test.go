package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep/platform/wigeonstandin"
	"github.com/wigeonstep/wigeonstep/wigeondaemon"
)

// Guards against a node that can't say where a job would be placed, and one that stores the job or starts it.
func TestWhere(t *testing.T) {
	c := qt.New(t)
	f := newPlatformStandIn(t, 3)
	a := f.startNode(t, "a")
	waitFor(c, "the node places jobs", func() bool {
		status, _ := a.request(c, http.MethodPost, "/new/"+jobID(0), wigeonstandin.Job("short"))
		return status == http.StatusOK && a.jobState(c, jobID(0)) == "completed"
	})
	var shown bytes.Buffer
	a.metrics.WritePrometheus(&shown)
	c.Assert(shown.String(), qt.Contains, `wigeonstep_interference_pairs{state="suspected"} 0`)
	b := f.startNode(t, "b")
	file := filepath.Join(t.TempDir(), "job.json")
	encoded, err := json.Marshal(wigeonstandin.Job("short"))
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(file, encoded, 0o600), qt.IsNil)
	ask := func(node *testNode, queue string) (answer wigeondaemon.WhereAnswer, err error) {
		var out, errOut bytes.Buffer
		err = newRootCommand(&out, &errOut).ParseAndRun(context.Background(), []string{"where", "-peer", node.peerAddress, "-queue", queue, "-id", jobID(1), "-json", file})
		if err == nil {
			c.Assert(json.Unmarshal(out.Bytes(), &answer), qt.IsNil)
		}
		return answer, err
	}
	for name, node := range map[string]*testNode{"the owner": a, "another node": b} {
		waitFor(c, name+" answers", func() bool {
			answer, err := ask(node, "r-orders")
			return err == nil && answer.Placement != nil && answer.Steps[0].Suitable == 3
		})
	}
	waitFor(c, "an unknown queue is refused", func() bool {
		answer, err := ask(a, "other")
		return err == nil && answer.Refusal == "404: no such queue"
	})
	status, _ := a.request(c, http.MethodGet, "/new/"+jobID(1), nil)
	c.Assert(status, qt.Equals, http.StatusGone)
	for _, w := range f.workers {
		c.Assert(w.StartCount(jobID(1)+".0.0.0"), qt.Equals, 0)
	}
}
