package wigeonentry_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonbackend"
	"github.com/wigeonstep/wigeonstep/wigeonentry"
	"github.com/wigeonstep/wigeonstep/wigeonfake"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// sendLoad sends request n of a client of startLoad: an order or a read.
func sendLoad(e *entry, client, n int) answer {
	if n%4 == 0 {
		return e.order(fmt.Sprintf("load-%d-%d", client, n), "load")
	}
	return e.read("load")
}

// startLoad sends reads and orders over keep-alive connections to the ready entry processes, as a load balancer does,
// until stop is called.
func (f *fleet) startLoad(clients int) (stop func() (sent int64, failures []answer)) {
	var sent atomic.Int64
	var mu sync.Mutex
	var failures []answer
	var clientLoops sync.WaitGroup
	stopped := make(chan struct{})
	for i := range clients {
		clientLoops.Go(func() {
			for n := i; ; n++ {
				select {
				case <-stopped:
					return
				default:
				}
				e := f.entries[n%len(f.entries)]
				if !e.process.Ready() {
					continue
				}
				got := sendLoad(e, i, n)
				if errors.Is(got.err, syscall.ECONNREFUSED) && !e.process.Ready() {
					// The process has stopped listening since it was chosen. Nothing was sent, so another one gets the request.
					got = sendLoad(f.entries[(n+1)%len(f.entries)], i, n)
				}
				sent.Add(1)
				if got.err != nil || got.outcome != wigeonstep.OutcomeDone {
					mu.Lock()
					failures = append(failures, got)
					mu.Unlock()
				}
			}
		})
	}
	return func() (int64, []answer) {
		close(stopped)
		clientLoops.Wait()
		return sent.Load(), failures
	}
}

// TestGracefulStop guards against a stop under load that cuts off a request, leaves the session open or returns an error.
func TestGracefulStop(t *testing.T) {
	f := newFleet(t, 2, 2, func(c *wigeonentry.Config) { c.DrainDelay = 100 * time.Millisecond })
	stop := f.startLoad(8)
	slow := make(chan answer, 1)
	go func() {
		slow <- send(f.entries[0].address, http.MethodPost, "/read?run_ms=400", "slow", wigeonstep.HeaderTeam, "wax", wigeonstep.HeaderClass, "read")
	}()
	waitFor(t, "the slow request to run", func() bool { return f.runCounter.RunsOfBody([]byte("slow")) == 1 })
	f.entries[0].stop()
	f.c.Assert(<-f.entries[0].result, qt.IsNil)
	f.c.Assert(f.entries[0].process.Ready(), qt.IsFalse)
	f.c.Assert(f.entries[0].follower.closed.Load(), qt.IsTrue)
	got := <-slow
	f.c.Assert(got.err, qt.IsNil)
	f.c.Assert(got.outcome, qt.Equals, wigeonstep.OutcomeDone)
	sent, failures := stop()
	f.c.Assert(failures, qt.HasLen, 0, qt.Commentf("of %d requests", sent))
}

// TestLeavingServer guards against new requests, over any connection, to a backend server that has announced that it is
// leaving, and against requests that fail because of it.
func TestLeavingServer(t *testing.T) {
	f := newFleet(t, 2, 1, nil)
	stop := f.startLoad(8)
	waitFor(t, "both servers to be used", func() bool { return f.runCounter.Counts().Total > 100 })
	f.backends[0].SetFaults(wigeonfake.BackendFaults{Leaving: true})
	total := f.runCounter.Counts().Total
	waitFor(t, "work on the other server", func() bool { return f.runCounter.Counts().Total > total+500 })
	_, failures := stop()
	f.c.Assert(failures, qt.HasLen, 0)
	f.c.Assert(f.backends[0].Stats().LastRefusedLeaving < 3*time.Second, qt.IsTrue, qt.Commentf("%v", f.backends[0].Stats()))
}

// TestDrainRecord guards against requests to a VM after the log has recorded its drain, and against reporting the VM as
// idle before its last request has ended.
func TestDrainRecord(t *testing.T) {
	f := newFleet(t, 1, 1, nil)
	e := f.entries[0]
	f.backends[0].SetFaults(wigeonfake.BackendFaults{Paused: true})
	held := make(chan answer, 1)
	go func() { held <- e.read("held") }()
	waitFor(t, "the request to reach the server", func() bool { return f.backends[0].Stats().Waiting == 1 })
	f.control.mustAppend(t, &wigeonwire.Entry{Body: &wigeonwire.Entry_VmTransition{VmTransition: &wigeonwire.VMTransition{
		Vm: "vm-0", Epoch: uint64(e.follower.View().VMs["vm-0"].Epoch), To: wigeonwire.Phase_PHASE_DRAINING, Cause: "test",
	}}})
	f.c.Assert(e.process.BusyVMs(), qt.DeepEquals, []wigeonstep.VMID{"vm-0"})
	got := send(e.address, http.MethodPost, "/read", "late", wigeonstep.HeaderTeam, "wax", wigeonstep.HeaderClass, "read", wigeonstep.HeaderDeadlineMS, "50")
	f.c.Assert(got.outcome, qt.Equals, wigeonstep.OutcomeNotRun, qt.Commentf("%+v", got))
	f.backends[0].SetFaults(wigeonfake.BackendFaults{})
	f.c.Assert((<-held).outcome, qt.Equals, wigeonstep.OutcomeDone)
	waitFor(t, "the VM to be idle", func() bool { return len(e.process.BusyVMs()) == 0 })
	f.c.Assert(f.runCounter.RunsOfBody([]byte("late")), qt.Equals, 0)
}

// TestCutOffDataCentre guards against the use of VMs of other data centres when the view has been unconfirmed for longer than
// RemoteMaxAge.
func TestCutOffDataCentre(t *testing.T) {
	f := newFleet(t, 1, 1, func(c *wigeonentry.Config) { c.DataCentre = "b" })
	e := f.entries[0]
	f.c.Assert(e.read("before").outcome, qt.Equals, wigeonstep.OutcomeDone)
	f.log.setDown(true)
	// 7 s is above the default RemoteMaxAge of 6 s.
	e.follower.confirmed.Store(time.Now().Add(-7 * time.Second).UnixNano())
	waitFor(t, "requests to be refused", func() bool {
		return send(e.address, http.MethodPost, "/read", "during", wigeonstep.HeaderTeam, "wax", wigeonstep.HeaderClass, "read", wigeonstep.HeaderDeadlineMS, "50").outcome == wigeonstep.OutcomeNotRun
	})
	runs := f.runCounter.Counts().Total
	f.c.Assert(send(e.address, http.MethodPost, "/read", "after", wigeonstep.HeaderTeam, "wax", wigeonstep.HeaderClass, "read", wigeonstep.HeaderDeadlineMS, "50").outcome, qt.Equals, wigeonstep.OutcomeNotRun)
	f.c.Assert(f.runCounter.Counts().Total, qt.Equals, runs)
	f.log.setDown(false)
	waitFor(t, "requests to be served again", func() bool { return e.read("again").outcome == wigeonstep.OutcomeDone })
}

// TestInvalidLeaseExcludesRemoteVMs guards against the use of VMs of other data centres without a valid lease, even with
// a fresh view. The session may have expired, and a drain of such a VM does not wait for an expired session.
func TestInvalidLeaseExcludesRemoteVMs(t *testing.T) {
	f := newFleet(t, 1, 1, func(c *wigeonentry.Config) { c.DataCentre = "b" })
	e := f.entries[0]
	f.c.Assert(e.read("before").outcome, qt.Equals, wigeonstep.OutcomeDone)
	e.follower.leaseLost.Store(true)
	waitFor(t, "requests to be refused", func() bool {
		return send(e.address, http.MethodPost, "/read", "during", wigeonstep.HeaderTeam, "wax", wigeonstep.HeaderClass, "read", wigeonstep.HeaderDeadlineMS, "50").outcome == wigeonstep.OutcomeNotRun
	})
	e.follower.leaseLost.Store(false)
	waitFor(t, "requests to be served again", func() bool { return e.read("again").outcome == wigeonstep.OutcomeDone })
}

// TestMalformedRequests guards against truncated, oversized or malformed HTTP requests that get no error or disturb other
// requests.
func TestMalformedRequests(t *testing.T) {
	f := newFleet(t, 1, 1, func(c *wigeonentry.Config) { c.MaxBody = 1000 })
	for _, test := range []struct{ name, text, status string }{
		{"truncated body", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nshort", "400"},
		{"oversized body", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000), "413"},
		{"oversized header", "POST / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 40_000) + "\r\n\r\n", "431"},
		{"garbage", "\x16\x03\x01\x02garbage\r\n\r\n", "400"},
		{"broken chunk", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := sendRaw(t, f.entries[0].address, test.text)
			qt.Assert(t, strings.HasPrefix(got, "HTTP/1.1 "+test.status), qt.IsTrue, qt.Commentf("%q", got))
			qt.Assert(t, strings.Contains(got, "application/problem+json"), qt.IsTrue, qt.Commentf("%q", got))
			qt.Assert(t, f.entries[0].read("others").outcome, qt.Equals, wigeonstep.OutcomeDone)
		})
	}
}

// sendRaw writes the text to a new connection, closes the write side and returns everything that the server sent.
func sendRaw(t *testing.T, address, text string) string {
	t.Helper()
	conn := dial(t, address)
	defer conn.Close()
	_, err := conn.Write([]byte(text))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, conn.CloseWrite(), qt.IsNil)
	got, err := io.ReadAll(conn)
	qt.Assert(t, err, qt.IsNil)
	return string(got)
}

// failingFollower never becomes ready, and its Run fails.
type failingFollower struct{ *testFollower }

func (f failingFollower) Run(context.Context) error { return errors.New("the log is broken") }

func (f failingFollower) WaitReady(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// TestFollowerFailureEndsRun guards against a process that keeps running after its follower has failed. Run has to return the
// error of the follower.
func TestFollowerFailureEndsRun(t *testing.T) {
	c := qt.New(t)
	log := &testLog{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	process, err := wigeonentry.New(wigeonentry.Config{
		DataCentre: "a", Listener: listener, Backend: wigeonbackend.New(wigeonbackend.Config{}),
		Follower: failingFollower{log.addFollower(t, 0xe0, wigeonwire.Role_ROLE_ENTRY, "a", "127.0.0.1:1")},
	})
	c.Assert(err, qt.IsNil)
	c.Assert(process.Run(context.Background()), qt.ErrorMatches, "follow the log: the log is broken")
}
