package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep/platform/wigeonstandin"
	"github.com/wigeonstep/wigeonstep/wigeonsoak"
)

const (
	// publicPrefix selects the public queue of the configurations with teams.
	publicPrefix = "/open/"
	// configTime is the time within which a configuration has to be in force in every process.
	configTime = 3 * time.Second
)

// putTeams writes a configuration with team one, which has the keys, and team two, which has the key "key-two".
func (f *platformStandIn) putTeams(c *qt.C, version int, keysOfOne ...string) {
	c.Helper()
	err := f.store.PutTeams(version, "orders", nodeTestHost, "/new/", publicPrefix,
		wigeonstandin.TeamSettings{Name: "one", Keys: keysOfOne, Weight: 10}, wigeonstandin.TeamSettings{Name: "two", Keys: []string{"key-two"}, Weight: 10})
	c.Assert(err, qt.IsNil)
}

// callWithKeys sends a client request with a credential header for each key and returns the HTTP status and the state in the answer.
func callWithKeys(c *qt.C, address, method, path string, body any, keys ...string) (status int, state string) {
	c.Helper()
	var encoded []byte
	if body != nil {
		var err error
		encoded, err = json.Marshal(body)
		c.Assert(err, qt.IsNil)
	}
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+path, bytes.NewReader(encoded))
	c.Assert(err, qt.IsNil)
	r.Host = nodeTestHost
	for _, key := range keys {
		r.Header.Add(wigeonstandin.CredentialHeader, key)
	}
	response, err := http.DefaultClient.Do(r)
	c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		State string `json:"state"`
	}
	if response.StatusCode == http.StatusOK && method == http.MethodGet {
		c.Assert(json.NewDecoder(response.Body).Decode(&answer), qt.IsNil)
	}
	return response.StatusCode, answer.State
}

// statusWithKeys is callWithKeys without the state.
func statusWithKeys(c *qt.C, address, method, path string, body any, keys ...string) int {
	c.Helper()
	status, _ := callWithKeys(c, address, method, path, body, keys...)
	return status
}

// startNodeProcess starts a real node process for the stand-in, without teams in its contracts, and returns it with the address at
// which it serves clients.
func (f *platformStandIn) startNodeProcess(t *testing.T, directory, name string) (*program, string) {
	t.Helper()
	addresses := freeAddresses(t, localHost, 4)
	slices.SortFunc(addresses[2:], func(a, b string) int { return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b)) })
	environment, err := wigeonstandin.NodeSettings{
		Name: name, IP: localHost, ClientAddress: addresses[0], ReadyAddress: addresses[1], PeerAddress: addresses[2], MetricsAddress: addresses[3],
		StoreAddress: f.store.Address(), MachineServiceAddress: f.machineService.Address(), Partitions: localPartitions, Grace: time.Second,
	}.Write(filepath.Join(directory, name+".json"))
	qt.Assert(t, err, qt.IsNil)
	variable, value, _ := strings.Cut(environment, "=")
	t.Setenv(variable, value)
	return startProgram(t, name, filepath.Join(directory, "wigeonstep"), "node"), addresses[0]
}

// Guards against real processes that serve a call without a valid key, on any method, that show a job to another team, that lose a
// job when its team's keys are rotated, or that write a key to their log.
func TestKeysOfTeams(t *testing.T) {
	c := qt.New(t)
	f := newPlatformStandIn(t, 2)
	f.putTeams(c, 2, "key-one")
	directory := buildCommands(t)
	var nodes []string
	var programs []*program
	for _, name := range []string{"node-a", "node-b"} {
		node, address := f.startNodeProcess(t, directory, name)
		waitFor(c, "the node listens", func() bool { return isListening(address) })
		programs, nodes = append(programs, node), append(nodes, address)
	}
	job, path := wigeonstandin.LongRunningJob(1), "/new/"+jobID(0)
	for _, address := range nodes {
		waitFor(c, "the node serves", func() bool {
			return statusWithKeys(c, address, http.MethodGet, "/new/"+jobID(99), nil, "key-one") == http.StatusGone
		})
	}
	c.Assert(statusWithKeys(c, nodes[0], http.MethodPost, path, job, "key-one"), qt.Equals, http.StatusOK)
	c.Assert(statusWithKeys(c, nodes[1], http.MethodPost, path, job, "key-two"), qt.Equals, http.StatusConflict)
	running := func() int { return f.workers[0].RunningCount() + f.workers[1].RunningCount() }
	waitFor(c, "the job runs", func() bool { return running() == 1 })
	for _, address := range nodes {
		for _, call := range []struct {
			method, path string
			body         any
		}{{http.MethodPost, "/new/" + jobID(1), job}, {http.MethodGet, path, nil}, {http.MethodDelete, path, nil}, {http.MethodGet, "/new/", nil}} {
			for _, keys := range [][]string{nil, {"key-three"}, {""}, {"key-one", "key-one"}, {"key-one", "key-two"}, {strings.Repeat("k", 5000)}} {
				c.Check(statusWithKeys(c, address, call.method, call.path, call.body, keys...), qt.Equals, http.StatusUnauthorized, qt.Commentf("%s %s", call.method, call.path))
			}
		}
		c.Check(statusWithKeys(c, address, http.MethodGet, path, nil, "key-two"), qt.Equals, http.StatusGone)
		c.Check(statusWithKeys(c, address, http.MethodDelete, path, nil, "key-two"), qt.Equals, http.StatusGone)
		c.Check(statusWithKeys(c, address, http.MethodPost, path, job, "key-two"), qt.Equals, http.StatusConflict)
		c.Check(statusWithKeys(c, address, http.MethodGet, path, nil, "key-one"), qt.Equals, http.StatusOK)
		c.Check(statusWithKeys(c, address, http.MethodGet, "/new/", nil, "key-two"), qt.Equals, http.StatusOK)
		c.Check(statusWithKeys(c, address, http.MethodGet, "/none/", nil), qt.Equals, http.StatusNotFound)
		c.Check(statusWithKeys(c, address, http.MethodGet, publicPrefix, nil), qt.Equals, http.StatusOK)
		c.Check(statusWithKeys(c, address, http.MethodGet, publicPrefix+jobID(0), nil), qt.Equals, http.StatusGone)
	}
	c.Assert(statusWithKeys(c, nodes[1], http.MethodPost, publicPrefix+jobID(2), wigeonstandin.Job("order"), "key-three"), qt.Equals, http.StatusOK)

	f.putTeams(c, 3, "key-one", "key-new")
	for _, address := range nodes {
		waitFor(c, "the new key is in force", func() bool { return statusWithKeys(c, address, http.MethodGet, path, nil, "key-new") == http.StatusOK })
	}
	c.Assert(statusWithKeys(c, nodes[0], http.MethodGet, path, nil, "key-one"), qt.Equals, http.StatusOK)
	f.putTeams(c, 4, "key-new")
	for _, address := range nodes {
		waitFor(c, "the old key is withdrawn", func() bool {
			return statusWithKeys(c, address, http.MethodGet, path, nil, "key-one") == http.StatusUnauthorized
		})
		c.Assert(statusWithKeys(c, address, http.MethodPost, path, job, "key-new"), qt.Equals, http.StatusOK)
	}
	c.Assert(f.workers[0].StartCount(jobID(0)+".0.0.0")+f.workers[1].StartCount(jobID(0)+".0.0.0"), qt.Equals, 1)
	c.Assert(statusWithKeys(c, nodes[1], http.MethodDelete, path, nil, "key-new"), qt.Equals, http.StatusOK)
	waitFor(c, "the cancelled job is stopped", func() bool { return running() == 0 })
	for _, node := range programs {
		c.Assert(node.Process.Kill(), qt.IsNil)
		<-node.exited
		for _, key := range []string{"key-one", "key-two", "key-three", "key-new"} {
			c.Check(strings.Contains(node.output.String(), key), qt.IsFalse, qt.Commentf("%s logs a key", node.name))
		}
		c.Check(strings.Contains(node.output.String(), "event=unauthorized"), qt.IsTrue)
	}
}

// Guards against a standby that shows a job to another team, or gives its id to one, and against a job whose team is forgotten when
// its processes are replaced.
func TestStandbyKnowsTeamOfJob(t *testing.T) {
	c := qt.New(t)
	f := newPlatformStandIn(t, 2)
	f.putTeams(c, 2, "key-one")
	large := f.startNodeOn(t, localVM{name: "large", store: f.store.Address(), cores: 0.8, linkMbps: 200})
	small := f.startNodeOn(t, localVM{name: "small", store: f.store.Address(), cores: 0.19, linkMbps: 10})
	check := func(n *testNode) {
		c.Helper()
		path := "/new/" + jobID(0)
		c.Assert(statusWithKeys(c, n.clientAddress, http.MethodGet, path, nil, "key-two"), qt.Equals, http.StatusGone)
		c.Assert(statusWithKeys(c, n.clientAddress, http.MethodDelete, path, nil, "key-two"), qt.Equals, http.StatusGone)
		c.Assert(statusWithKeys(c, n.clientAddress, http.MethodPost, path, wigeonstandin.Job("order"), "key-two"), qt.Equals, http.StatusConflict)
		c.Assert(statusWithKeys(c, n.clientAddress, http.MethodPost, path, wigeonstandin.Job("order"), "key-one"), qt.Equals, http.StatusOK)
	}
	c.Assert(statusWithKeys(c, small.clientAddress, http.MethodPost, "/new/"+jobID(0), wigeonstandin.Job("order"), "key-one"), qt.Equals, http.StatusOK)
	c.Assert(statusWithKeys(c, large.clientAddress, http.MethodPost, "/new/"+jobID(0), wigeonstandin.Job("order"), "key-two"), qt.Equals, http.StatusConflict)
	completed := func(n *testNode) func() bool {
		return func() bool {
			_, state := callWithKeys(c, n.clientAddress, http.MethodGet, "/new/"+jobID(0), nil, "key-one")
			return state == "completed"
		}
	}
	waitFor(c, "the job is completed", completed(small))
	check(small)
	check(large)
	large.kill()
	small.kill()
	f.store.Compact()
	next := f.startNode(t, "next")
	waitFor(c, "the next node knows the job", completed(next))
	check(next)
}

// Guards against a process without teams in its configuration that asks for keys, and against one whose settings require keys and
// that doesn't.
func TestKeysRequiredBySettings(t *testing.T) {
	c := qt.New(t)
	f := newPlatformStandIn(t, 1)
	open := f.startNode(t, "open")
	strict := f.startNodeOn(t, localVM{name: "strict", store: f.store.Address(), contracts: []string{"jobs", "tenants"}})
	c.Assert(statusWithKeys(c, open.clientAddress, http.MethodGet, "/new/", nil), qt.Equals, http.StatusOK)
	c.Assert(statusWithKeys(c, strict.clientAddress, http.MethodGet, "/new/", nil), qt.Equals, http.StatusUnauthorized)
	c.Assert(statusWithKeys(c, strict.clientAddress, http.MethodGet, "/new/", nil, "key-one"), qt.Equals, http.StatusUnauthorized)
	f.putTeams(c, 2, "key-one")
	for _, n := range []*testNode{open, strict} {
		waitFor(c, "the keys are in force", func() bool {
			return statusWithKeys(c, n.clientAddress, http.MethodGet, "/new/", nil, "key-one") == http.StatusOK &&
				statusWithKeys(c, n.clientAddress, http.MethodGet, "/new/", nil) == http.StatusUnauthorized
		})
	}
}

// Guards against a process that goes on with a withdrawn key, or doesn't know a new one, while the store rejects it or its link to the
// store drops packets: the newest configuration has to reach it through the other processes. The process may be a standby, or the
// only owner among standbys.
func TestConfigurationReachesNodeCutOffFromStore(t *testing.T) {
	for _, tc := range []struct {
		name               string
		silent             bool
		cutCores, keepCore float64
	}{
		{"rejected", false, 0, 0}, {"silent link", true, 0, 0}, {"standby", false, 0.19, 0.8}, {"only owner", false, 0.8, 0.19},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			f := newPlatformStandIn(t, 2)
			f.putTeams(c, 2, "key-one")
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			endpoint, err := f.store.NewEndpoint(ctx)
			c.Assert(err, qt.IsNil)
			link, err := wigeonsoak.NewProxy(ctx, localHost, endpoint.Address())
			c.Assert(err, qt.IsNil)
			vm := func(name, store string, cores float64) localVM {
				return localVM{name: name, store: store, cores: cores, linkMbps: 250 * cores}
			}
			var kept, cut *testNode
			if tc.cutCores > tc.keepCore {
				// Otherwise the log would name the other process as a former owner.
				cut = f.startNodeOn(t, vm("cut", link.Address(), tc.cutCores))
			}
			kept = f.startNodeOn(t, vm("kept", f.store.Address(), tc.keepCore))
			if cut == nil {
				cut = f.startNodeOn(t, vm("cut", link.Address(), tc.cutCores))
			}
			path := "/new/" + jobID(0)
			for _, n := range []*testNode{kept, cut} {
				waitFor(c, "a job is accepted", func() bool {
					return statusWithKeys(c, n.clientAddress, http.MethodPost, path, wigeonstandin.Job("order"), "key-one") == http.StatusOK
				})
			}
			waitFor(c, "the processes know each other", func() bool {
				return statusWithKeys(c, cut.clientAddress, http.MethodGet, path, nil, "key-one") == http.StatusOK && cut.daemon.KnownPeers() > 0
			})
			if tc.silent {
				link.SetFault(wigeonsoak.LinkFault{DropRequests: true, DropAnswers: true})
			} else {
				endpoint.Unavailable.Store(true)
				// A read that waits for a record was let in before and would still get it.
				link.Reset()
			}
			began := time.Now()
			f.putTeams(c, 3, "key-new")
			waitFor(c, "the old key is withdrawn", func() bool {
				return statusWithKeys(c, cut.clientAddress, http.MethodGet, "/new/x", nil, "key-one") == http.StatusUnauthorized
			})
			took := time.Since(began)
			t.Logf("in force at the process that is cut off after %s", took.Round(time.Millisecond))
			c.Check(took < configTime, qt.IsTrue, qt.Commentf("%s", took))
			c.Assert(statusWithKeys(c, cut.clientAddress, http.MethodGet, "/new/x", nil, "key-new"), qt.Equals, http.StatusNotFound)
			link.SetFault(wigeonsoak.LinkFault{})
			link.Reset()
			endpoint.Unavailable.Store(false)
			f.putTeams(c, 4, "key-last")
			waitFor(c, "the log is read again", func() bool {
				return statusWithKeys(c, cut.clientAddress, http.MethodGet, "/new/x", nil, "key-last") == http.StatusNotFound
			})
		})
	}
}

// Guards against a process that fails closed although a peer confirms its keys, and against one that goes on when nobody does.
func TestProcessFailsClosed(t *testing.T) {
	c := qt.New(t)
	f := newPlatformStandIn(t, 2)
	f.putTeams(c, 2, "key-one")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	endpoint, err := f.store.NewEndpoint(ctx)
	c.Assert(err, qt.IsNil)
	b := f.startNode(t, "b")
	a := f.startNodeOn(t, localVM{name: "a", store: endpoint.Address(), revokeAfter: 2 * time.Second})
	status := func(path string, keys ...string) int {
		return statusWithKeys(c, a.clientAddress, http.MethodGet, path, nil, keys...)
	}
	waitFor(c, "the processes know each other", func() bool { return a.daemon.KnownPeers() > 0 })
	endpoint.Unavailable.Store(true)
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		c.Assert(status("/new/x", "key-one"), qt.Equals, http.StatusNotFound)
	}
	b.kill()
	waitFor(c, "calls that need a key are refused", func() bool { return status("/new/x", "key-one") == http.StatusServiceUnavailable })
	c.Assert(status("/new/x"), qt.Equals, http.StatusServiceUnavailable)
	c.Assert(status(publicPrefix+"x"), qt.Equals, http.StatusNotFound)
	endpoint.Unavailable.Store(false)
	waitFor(c, "calls are served again", func() bool { return status("/new/x", "key-one") == http.StatusNotFound })
}
