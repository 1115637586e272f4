package wigeonentry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonbackend"
	"github.com/wigeonstep/wigeonstep/wigeonentry"
	"github.com/wigeonstep/wigeonstep/wigeonfake"
	"github.com/wigeonstep/wigeonstep/wigeonfollow"
	"github.com/wigeonstep/wigeonstep/wigeonpeer"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// realEntry is an entry process that uses wigeonfollow.Follower on a fake platform.
type realEntry struct {
	process *wigeonentry.Process
	address string
}

func newFollower(t testing.TB, platform *wigeonfake.Platform, name string, open *wigeonwire.SessionOpen, busy func() []wigeonstep.VMID) *wigeonfollow.Follower {
	t.Helper()
	return wigeonfollow.New(wigeonfollow.Config{Log: platform.Client(name), OpenEntry: open, Session: wigeonstep.SessionID(rand.Uint64()), BusyVMs: busy})
}

func startRealEntry(t testing.TB, platform *wigeonfake.Platform, name string) *realEntry {
	t.Helper()
	c := qt.New(t)
	peerListener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	e := &realEntry{address: listener.Addr().String()}
	follower := newFollower(t, platform, name, &wigeonwire.SessionOpen{
		Role: wigeonwire.Role_ROLE_ENTRY, DataCentre: "a", PeerAddress: peerListener.Addr().String(),
	}, func() []wigeonstep.VMID { return e.process.BusyVMs() })
	client, backend := &wigeonpeer.Client{}, wigeonbackend.New(wigeonbackend.Config{})
	e.process, err = wigeonentry.New(wigeonentry.Config{
		DataCentre: "a", Listener: listener, Follower: follower, Backend: backend, Peers: client, DrainDelay: time.Millisecond,
	})
	c.Assert(err, qt.IsNil)
	peers := wigeonpeer.NewServer(peerListener, e.process, zap.NewNop())
	go func() { _ = peers.Serve() }()
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- e.process.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		c.Check(<-result, qt.IsNil)
		_ = peers.Close()
		_ = client.Close()
		backend.Close()
	})
	return e
}

// startPlatform returns a fake platform with a pool of two workers and the service document.
func startPlatform(t testing.TB, runCounter *wigeonfake.RunCounter) *wigeonfake.Platform {
	t.Helper()
	c := qt.New(t)
	platform := &wigeonfake.Platform{}
	control := newFollower(t, platform, "control", &wigeonwire.SessionOpen{Role: wigeonwire.Role_ROLE_CONTROL, DataCentre: "a", PeerAddress: "127.0.0.1:1"}, nil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = control.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		platform.Close()
	})
	propose := func(entry *wigeonwire.Entry) {
		t.Helper()
		limit, end := context.WithTimeout(ctx, 20*time.Second)
		defer end()
		_, err := control.Propose(limit, entry)
		c.Assert(err, qt.IsNil)
	}
	propose(&wigeonwire.Entry{Body: &wigeonwire.Entry_PoolObserve{PoolObserve: &wigeonwire.PoolObserve{Pools: []string{"shop"}}}})
	for i := range 2 {
		id := fmt.Sprintf("vm-%d", i)
		b := &wigeonfake.BackendServer{VM: wigeonstep.VMID(id), RunCounter: runCounter, RunTime: time.Millisecond}
		c.Assert(b.Start("127.0.0.1:0"), qt.IsNil)
		t.Cleanup(b.Stop)
		propose(&wigeonwire.Entry{Body: &wigeonwire.Entry_VmObserve{VmObserve: &wigeonwire.VMObserve{
			Vm: id, DataCentre: "a", Rack: "r1", Pool: "shop", Address: b.Address(), Shape: &wigeonwire.Shape{Cores: 32, MemoryGb: 64, Slots: 8, Connections: 64},
		}}})
	}
	propose(&wigeonwire.Entry{Body: &wigeonwire.Entry_DocumentChange{DocumentChange: &wigeonwire.DocumentChange{
		ChangeId: "1", Service: "orders", Content: []byte(document), Operator: "test",
	}}})
	return platform
}

// TestOrdersOnFaultyPlatform guards orders over the real follower while the log loses answers, is slow and is down. No
// key may run twice, and each outcome must be true.
func TestOrdersOnFaultyPlatform(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	runCounter := &wigeonfake.RunCounter{}
	platform := startPlatform(t, runCounter)
	var entries []*entry
	for i := range 3 {
		e := startRealEntry(t, platform, fmt.Sprintf("entry-%d", i))
		entries = append(entries, &entry{process: e.process, address: e.address})
	}
	for _, e := range entries {
		waitFor(t, "the entry process to be ready", e.process.Ready)
		waitFor(t, "orders to be served", func() bool { return e.order("first", "wax").outcome == wigeonstep.OutcomeDone })
	}
	platform.SetFaults(wigeonfake.Faults{LoseAppendAnswerProbability: 0.2, LogDelay: 5 * time.Millisecond, LogDelayJitter: 20 * time.Millisecond})
	type sent struct {
		key     string
		answers []answer
	}
	results := make(chan sent, 300)
	var callers sync.WaitGroup
	for i := range 30 {
		callers.Go(func() {
			for n := range 10 {
				key, body := fmt.Sprintf("order-%d-%d", i, n), fmt.Sprintf("wax %d %d", i, n)
				s := sent{key: key}
				var both sync.WaitGroup
				answers := make(chan answer, 2)
				for k := range 1 + n%2 {
					both.Go(func() { answers <- entries[(i+n+k)%3].order(key, body) })
				}
				both.Wait()
				close(answers)
				for got := range answers {
					if got.outcome == wigeonstep.OutcomeDone {
						if _, err := wigeonfake.CheckAnswer([]byte(got.body), []byte(body)); err != nil {
							t.Errorf("key %s: %v", key, err)
						}
					}
					s.answers = append(s.answers, got)
				}
				results <- s
			}
		})
	}
	waitFor(t, "some orders to run", func() bool { return runCounter.Counts().Total > 50 })
	platform.ChangeFaults(func(f *wigeonfake.Faults) { f.LogUnavailable = true })
	waitFor(t, "an order to be refused during the outage", func() bool {
		return entries[0].order(fmt.Sprintf("probe-%d", rand.Uint64()), "probe").outcome != wigeonstep.OutcomeDone
	})
	platform.ChangeFaults(func(f *wigeonfake.Faults) { f.LogUnavailable = false })
	callers.Wait()
	close(results)
	outcomes := map[wigeonstep.Outcome]int{}
	for s := range results {
		runs := runCounter.RunsOfKey(wigeonstep.IdempotencyKey(s.key))
		c.Check(runs <= 1, qt.IsTrue, qt.Commentf("key %s ran %d times", s.key, runs))
		for _, got := range s.answers {
			c.Assert(got.err, qt.IsNil)
			outcomes[got.outcome]++
			if got.outcome == wigeonstep.OutcomeDone {
				c.Check(runs, qt.Equals, 1)
			}
			if got.outcome == wigeonstep.OutcomeNotRun && len(s.answers) == 1 {
				c.Check(runs, qt.Equals, 0)
			}
		}
	}
	t.Logf("outcomes: %v", outcomes)
	c.Check(outcomes[wigeonstep.OutcomeDone] > 50, qt.IsTrue)
}

// TestJobsOnFaultyPlatform guards jobs over the real follower while the log loses answers. Each job has to end and to
// run exactly once.
func TestJobsOnFaultyPlatform(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	runCounter := &wigeonfake.RunCounter{}
	platform := startPlatform(t, runCounter)
	var entries []*entry
	for i := range 2 {
		e := startRealEntry(t, platform, fmt.Sprintf("entry-%d", i))
		entries = append(entries, &entry{process: e.process, address: e.address})
		waitFor(t, "the entry process to be ready", e.process.Ready)
	}
	waitFor(t, "orders to be served", func() bool {
		return entries[0].order("first", "wax").outcome == wigeonstep.OutcomeDone && entries[1].order("second", "wax").outcome == wigeonstep.OutcomeDone
	})
	platform.SetFaults(wigeonfake.Faults{LoseAppendAnswerProbability: 0.3, LogDelay: 5 * time.Millisecond})
	bodies := map[string]string{}
	for i := range 40 {
		class, key, body := "watch", "", fmt.Sprintf("cure %d", i)
		if i%2 == 0 {
			class, key = "bake", fmt.Sprintf("bake-%d", i)
		}
		got, j := entries[i%2].submit(class, key, body)
		c.Assert(got.outcome, qt.Equals, wigeonstep.OutcomeAccepted, qt.Commentf("%+v", got))
		bodies[j.Job] = body
		if key != "" {
			_, again := entries[(i/2)%2].submit(class, key, body)
			c.Assert(again.Job, qt.Equals, j.Job)
		}
	}
	for id, body := range bodies {
		waitFor(t, "the job to end", func() bool { return entries[0].job("GET", id).State == "ended" })
		c.Check(entries[0].job("GET", id).Outcome, qt.Equals, "done")
		c.Check(runCounter.RunsOfBody([]byte(body)), qt.Equals, 1)
	}
}
