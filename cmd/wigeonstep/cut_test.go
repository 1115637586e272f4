package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep/wigeonoperator"
)

// inForceBound is the users' bound for a change to be in force everywhere.
const inForceBound = 8 * time.Second

// setCut cuts the processes of an entry VM off from the platform, or ends the cut.
func (c *cluster) setCut(t *testing.T, vm string, off bool) {
	t.Helper()
	method := http.MethodDelete
	if off {
		method = http.MethodPut
	}
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+c.platform+"/control/cut/"+vm, http.NoBody)
	qt.Assert(t, err, qt.IsNil)
	response, err := http.DefaultClient.Do(request)
	qt.Assert(t, err, qt.IsNil)
	_ = response.Body.Close()
	qt.Assert(t, response.StatusCode < 300, qt.IsTrue, qt.Commentf("%s", response.Status))
}

// status asks an entry process for its view.
func (c *cluster) status(t *testing.T, i int) wigeonoperator.Status {
	t.Helper()
	var status wigeonoperator.Status
	data, err := askPeer(t.Context(), c.peers[i], wigeonoperator.StatusView)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, json.Unmarshal(data, &status), qt.IsNil)
	return status
}

// apply puts the orders document in force with another weight and returns the accepted version.
func (c *cluster) apply(t *testing.T, weight int) string {
	t.Helper()
	document, err := os.ReadFile("testdata/orders.yaml")
	qt.Assert(t, err, qt.IsNil)
	changed := strings.Replace(string(document), "weight: 2", "weight: "+strconv.Itoa(weight), 1)
	file := c.write(t, "orders-"+strconv.Itoa(weight), changed)
	var out, errOut bytes.Buffer
	qt.Assert(t, run(context.Background(), []string{"apply", "-platform", c.platform, file}, &out, &errOut), qt.Equals, 0, qt.Commentf("%s", errOut.String()))
	return out.String()
}

// TestCutOffFromThePlatform guards against a data centre that stops serving, or falls behind, when its processes are cut off
// from the platform and not from the other data centres, and against a version that goes back when the cut ends.
func TestCutOffFromThePlatform(t *testing.T) {
	c := startCluster(t)
	c.setCut(t, "entry-szeged", true)
	for weight := 3; weight <= 5; weight++ {
		accepted := c.apply(t, weight)
		version := weight - 1
		qt.Assert(t, accepted, qt.Contains, "version "+strconv.Itoa(version)+" accepted")
		began := time.Now()
		eventually(t, "the change reaches the process that is cut off", func() bool {
			return int(c.status(t, 2).Services[0].Version) >= version
		})
		took := time.Since(began)
		t.Logf("version %d in force at the process that is cut off after %v", version, took.Round(time.Millisecond))
		qt.Check(t, took < inForceBound, qt.IsTrue, qt.Commentf("%v", took))
		answer, err := c.send(c.callers[2], "check-stock", "", "during the cut")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, answer.outcome, qt.Equals, "done")
	}
	eventually(t, "the others show the data centre as cut off", func() bool {
		for _, centre := range c.status(t, 0).DataCentres {
			if centre.Name == "szeged" {
				return centre.CutOff
			}
		}
		return false
	})
	c.setCut(t, "entry-szeged", false)
	healed := time.Now()
	eventually(t, "all views are equal and the data centre is controlled again", func() bool {
		first, last := c.status(t, 0), c.status(t, 2)
		qt.Assert(t, int(last.Services[0].Version) >= 4, qt.IsTrue, qt.Commentf("the version went back to %d", last.Services[0].Version))
		for _, centre := range first.DataCentres {
			if centre.CutOff || centre.ReadyProcesses != 1 {
				return false
			}
		}
		return last.ConfirmedAgeMS < 1000 && last.Services[0].Version == first.Services[0].Version
	})
	t.Logf("views equal %v after the cut", time.Since(healed).Round(time.Millisecond))
	qt.Check(t, time.Since(healed) < inForceBound, qt.IsTrue)
}
