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

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonoperator"
)

// maxChangeDelay is the longest time that users accept between the acceptance of a document and the moment at which it is
// in force in every process.
const maxChangeDelay = 8 * time.Second

// setCut cuts the processes of an entry VM off from the platform, or reconnects them.
func (c *cluster) setCut(t *testing.T, vm string, cut bool) {
	t.Helper()
	method := http.MethodDelete
	if cut {
		method = http.MethodPut
	}
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+c.platformAddress+"/control/cut/"+vm, http.NoBody)
	qt.Assert(t, err, qt.IsNil)
	response, err := http.DefaultClient.Do(request)
	qt.Assert(t, err, qt.IsNil)
	_ = response.Body.Close()
	qt.Assert(t, response.StatusCode < 300, qt.IsTrue, qt.Commentf("%s", response.Status))
}

// status returns the status view of entry process i.
func (c *cluster) status(t *testing.T, i int) wigeonoperator.Status {
	t.Helper()
	var status wigeonoperator.Status
	data, err := queryPeer(t.Context(), c.peerAddresses[i], wigeonoperator.StatusView)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, json.Unmarshal(data, &status), qt.IsNil)
	return status
}

// dataCentre returns the state of a data centre in the view of the first entry process, the zero value if it is unknown.
func (c *cluster) dataCentre(t *testing.T, name wigeonstep.DataCentreName) wigeonoperator.DataCentreState {
	t.Helper()
	for _, centre := range c.status(t, 0).DataCentres {
		if centre.Name == name {
			return centre
		}
	}
	return wigeonoperator.DataCentreState{}
}

// apply runs the apply command with the orders document at another weight and returns its output.
func (c *cluster) apply(t *testing.T, weight int) string {
	t.Helper()
	document, err := os.ReadFile("testdata/orders.yaml")
	qt.Assert(t, err, qt.IsNil)
	changed := strings.Replace(string(document), "weight: 2", "weight: "+strconv.Itoa(weight), 1)
	file := c.writeYAML(t, "orders-"+strconv.Itoa(weight), changed)
	var out, errOut bytes.Buffer
	qt.Assert(t, run(context.Background(), []string{"apply", "-platform", c.platformAddress, file}, &out, &errOut), qt.Equals, 0, qt.Commentf("%s", errOut.String()))
	return out.String()
}

// TestCutOffFromThePlatform guards against a data centre that stops serving or misses document changes while its entry
// process is cut off from the platform but not from the other data centres, and against an older version in force after
// the reconnection.
func TestCutOffFromThePlatform(t *testing.T) {
	c := startCluster(t)
	// A data centre counts as cut off only once its VMs are known.
	eventually(t, "the VMs of the data centre are known", func() bool { return c.dataCentre(t, "szeged").VMs > 0 })
	c.setCut(t, "entry-szeged", true)
	// The cluster starts with version 1 of the document and weight 2. Each pass applies the next version.
	for weight := 3; weight <= 5; weight++ {
		accepted := c.apply(t, weight)
		version := weight - 1
		qt.Assert(t, accepted, qt.Contains, "version "+strconv.Itoa(version)+" accepted")
		began := time.Now()
		eventually(t, "the change is in force at the process that is cut off", func() bool {
			return int(c.status(t, 2).Services[0].Version) >= version
		})
		took := time.Since(began)
		t.Logf("version %d in force at the process that is cut off after %v", version, took.Round(time.Millisecond))
		qt.Check(t, took < maxChangeDelay, qt.IsTrue, qt.Commentf("%v", took))
		answer, err := c.send(c.callerAddresses[2], "check-stock", "", "during the cut")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, answer.outcome, qt.Equals, "done")
	}
	eventually(t, "the others show the data centre as cut off", func() bool { return c.dataCentre(t, "szeged").CutOff })
	c.setCut(t, "entry-szeged", false)
	reconnectedAt := time.Now()
	eventually(t, "the first and last views have the same version and no data centre is cut off", func() bool {
		first, last := c.status(t, 0), c.status(t, 2)
		qt.Assert(t, int(last.Services[0].Version) >= 4, qt.IsTrue, qt.Commentf("the version went back to %d", last.Services[0].Version))
		for _, centre := range first.DataCentres {
			if centre.CutOff || centre.ReadyProcesses != 1 {
				return false
			}
		}
		return last.ConfirmedAgeMS < 1000 && last.Services[0].Version == first.Services[0].Version
	})
	t.Logf("views have the same version %v after the reconnection", time.Since(reconnectedAt).Round(time.Millisecond))
	qt.Check(t, time.Since(reconnectedAt) < maxChangeDelay, qt.IsTrue)
}
