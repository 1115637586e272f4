package wigeondaemon

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonpeer"
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
		{Queue: "q", Service: "bake", Partition: 3, Owner: "10.0.0.1:7060", Known: "running"},
		refused("other", 404, "no such queue"),
	} {
		c.Assert(a.WriteText(&out), qt.IsNil)
		fmt.Fprintln(&out)
	}
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "where", out.Bytes())
}

// whereViewOf returns the view that asks where a job of a team would be placed.
func whereViewOf(c *qt.C, prefix string, team wigeonstep.TeamName, id wigeonstep.JobID) string {
	encoded, err := wigeonjob.EncodeJob(&wigeonjob.Job{ID: id, Steps: []wigeonjob.Step{teamStep}})
	c.Assert(err, qt.IsNil)
	question, err := json.Marshal(WhereQuestion{Queue: listedQueue.Name, Team: team, ID: id, Job: encoded})
	c.Assert(err, qt.IsNil)
	return prefix + string(question)
}

// newWhereDaemon returns a running daemon that owns its shard, which holds a job of team one, and the clock of the daemon.
func newWhereDaemon(c *qt.C, t *testing.T) (*Daemon, *atomic.Int64) {
	t.Helper()
	d, _ := newTeamDaemon(c, t, false)
	configuration := teamsConfiguration(1)
	configuration.Queues = []wigeonstep.Queue{listedQueue}
	d.routes.Store(newRouteTable(configuration))
	var now atomic.Int64
	now.Store(int64(time.Hour))
	queryLoop(t.Context(), d, func() bool {
		d.config.Now = func() wigeonshard.Timestamp {
			return wigeonshard.Timestamp{Steady: time.Duration(now.Load()), Wall: 1_700_000_000_000}
		}
		return true
	})
	return d, &now
}

// Guards against a node that answers more questions than the limiter allows, and against one that answers none after a burst.
func TestWhereRateIsBounded(t *testing.T) {
	c := qt.New(t)
	d, now := newWhereDaemon(c, t)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	view := whereViewOf(c, whereView, "one", "00000000000000ff")
	answered := func() (n int) {
		for range 200 {
			response := d.explain(ctx, view)
			if response.GetError() == "" {
				n++
				continue
			}
			c.Assert(response.GetError(), qt.Equals, "this node answers 10 such questions a second; ask again later")
		}
		return n
	}
	c.Assert(answered(), qt.Equals, 1)
	now.Add(int64(99 * time.Millisecond))
	c.Assert(answered(), qt.Equals, 0)
	now.Add(int64(2 * time.Millisecond))
	c.Assert(answered(), qt.Equals, 1)
	now.Add(int64(time.Minute))
	c.Assert(answered(), qt.Equals, 1)
}

// Guards against a placement for an id that a job has already: the submission would be refused, or place nothing.
func TestWhereReportsKnownID(t *testing.T) {
	c := qt.New(t)
	d, now := newWhereDaemon(c, t)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	ask := func(team wigeonstep.TeamName, id wigeonstep.JobID) (answer WhereAnswer) {
		now.Add(int64(time.Second))
		response := d.explain(ctx, whereViewOf(c, whereView, team, id))
		c.Assert(response.GetError(), qt.Equals, "")
		c.Assert(json.Unmarshal(response.GetStatus().GetJson(), &answer), qt.IsNil)
		return answer
	}
	own := ask("one", listedJob)
	c.Assert(own.Known, qt.Equals, wigeonjob.StatePending.String())
	c.Assert(own.Refusal, qt.Equals, "")
	c.Assert(own.Placement, qt.IsNil)
	foreign := ask("two", listedJob)
	c.Assert(foreign.Known, qt.Equals, "")
	c.Assert(foreign.Refusal, qt.Equals, "409: the job id is in use")
	c.Assert(foreign.Placement, qt.IsNil)
	unused := ask("two", "00000000000000ff")
	c.Assert(unused.Known+unused.Refusal, qt.Equals, "")
	c.Assert(unused.Placement, qt.IsNotNil)
}

// Guards against standbys that pass a question on to each other: only a question from outside is forwarded to a holder.
func TestWhereIsForwardedToOneHolder(t *testing.T) {
	for view, want := range map[string]bool{whereView: true, heldWhereView: false, ownedWhereView: false} {
		t.Run(view, func(t *testing.T) {
			c := qt.New(t)
			d, _ := newListingDaemon(nil)
			d.following.Store(false)
			d.routes.Store(newRouteTable(&wigeonstep.Configuration{Version: 1, Queues: []wigeonstep.Queue{listedQueue}}))
			d.holderAddresses.Store(&map[wigeonstep.Partition]string{fleetPartition: "127.0.0.1:1"})
			var dialed atomic.Bool
			d.config.Peers = &wigeonpeer.Client{Dial: func(context.Context, string) (net.Conn, error) {
				dialed.Store(true)
				return nil, errors.New("no holder")
			}}
			defer d.config.Peers.Close()
			runEvents(t, d)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			response := d.explain(ctx, whereViewOf(c, view, "", "00000000000000ff"))
			c.Assert(response.GetError(), qt.Not(qt.Equals), "")
			c.Assert(dialed.Load(), qt.Equals, want)
		})
	}
}
