package wigeonplatform_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonfake"
	"github.com/wigeonstep/wigeonstep/wigeonplatform"
)

func newClient(t testing.TB, address, name string) *wigeonplatform.Client {
	t.Helper()
	client, err := wigeonplatform.New(wigeonplatform.Config{Address: address, Name: name, CallTimeout: 2 * time.Second})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = client.Close() })
	return client
}

func startPlatform(t testing.TB) (*wigeonfake.Platform, *wigeonplatform.Client, string) {
	t.Helper()
	server := startPlatformAt(t, "127.0.0.1:0")
	return server.Platform, newClient(t, server.Address(), "a"), server.Address()
}

func startPlatformAt(t testing.TB, address string) *wigeonfake.PlatformServer {
	t.Helper()
	server := &wigeonfake.PlatformServer{Platform: &wigeonfake.Platform{}}
	qt.Assert(t, server.Start(address), qt.IsNil)
	t.Cleanup(server.Close)
	t.Cleanup(server.Platform.Close)
	return server
}

// Guards against payloads that are altered in transit, and against a long poll that misses an append.
func TestAppendAndRead(t *testing.T) {
	ctx := t.Context()
	_, client, _ := startPlatform(t)
	payload := string([]byte{0, 255, '\n', '"'}) + strings.Repeat("z", 300<<10)
	offset, err := client.Append(ctx, wigeonstep.SnapshotStream, []byte(payload))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, offset, qt.Equals, wigeonstep.Offset(0))
	read, err := client.Read(ctx, wigeonstep.SnapshotStream, 0, 10, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(read.Records[0].Payload) == payload, qt.IsTrue)

	polled := make(chan error, 1)
	go func() {
		read, err := client.Read(ctx, wigeonstep.FleetStream, 0, 10, time.Minute)
		if err == nil && (len(read.Records) != 1 || read.Next != 1) {
			err = fmt.Errorf("unexpected read %v", read)
		}
		polled <- err
	}()
	_, err = client.Append(ctx, wigeonstep.FleetStream, []byte("x"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, <-polled, qt.IsNil)
	read, err = client.Read(ctx, wigeonstep.FleetStream, 1, 10, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, read, qt.DeepEquals, wigeonstep.LogRead{Next: 1})
}

// Guards against errors that report a call as without effect when it may have taken effect, or the other way round.
func TestPlatformErrors(t *testing.T) {
	appendTo := func(c *wigeonplatform.Client) error {
		_, err := c.Append(context.Background(), wigeonstep.FleetStream, []byte("x"))
		return err
	}
	readFrom := func(c *wigeonplatform.Client) error {
		_, err := c.Read(context.Background(), wigeonstep.FleetStream, 0, 1, 0)
		return err
	}
	list := func(c *wigeonplatform.Client) error {
		_, err := c.ListVMs(context.Background())
		return err
	}
	drain := func(c *wigeonplatform.Client) error { return c.DrainVM(context.Background(), "a1", 1) }
	for _, test := range []struct {
		name    string
		prepare func(p *wigeonfake.Platform)
		call    func(c *wigeonplatform.Client) error
		want    error
		appends int
	}{
		{"append while the log is down", func(p *wigeonfake.Platform) { p.SetFaults(wigeonfake.Faults{LogUnavailable: true}) }, appendTo, wigeonstep.ErrUnavailable, 0},
		{"read while the log is down", func(p *wigeonfake.Platform) { p.SetFaults(wigeonfake.Faults{LogUnavailable: true}) }, readFrom, wigeonstep.ErrUnavailable, 0},
		{"append whose answer is lost", func(p *wigeonfake.Platform) { p.SetFaults(wigeonfake.Faults{LoseNextAppendAnswers: 1}) }, appendTo, wigeonstep.ErrAnswerLost, 1},
		{"append that takes too long", func(p *wigeonfake.Platform) { p.SetFaults(wigeonfake.Faults{LogDelay: time.Minute}) }, appendTo, wigeonstep.ErrAnswerLost, 0},
		{"read that takes too long", func(p *wigeonfake.Platform) { p.SetFaults(wigeonfake.Faults{LogDelay: time.Minute}) }, readFrom, wigeonstep.ErrUnavailable, 0},
		{"append while cut off", func(p *wigeonfake.Platform) { p.SetDisconnected("a", true) }, appendTo, wigeonstep.ErrAnswerLost, 0},
		{"list while cut off", func(p *wigeonfake.Platform) { p.SetDisconnected("a", true) }, list, wigeonstep.ErrUnavailable, 0},
		{"drain while the VM service is down", func(p *wigeonfake.Platform) { p.SetFaults(wigeonfake.Faults{VMServiceUnavailable: true}) }, drain, wigeonstep.ErrUnavailable, 0},
		{"drain of an unknown VM", func(*wigeonfake.Platform) {}, drain, wigeonstep.ErrRejected, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			platform, _, address := startPlatform(t)
			test.prepare(platform)
			client, err := wigeonplatform.New(wigeonplatform.Config{Address: address, Name: "a", CallTimeout: 500 * time.Millisecond})
			qt.Assert(t, err, qt.IsNil)
			err = test.call(client)
			qt.Assert(t, err, qt.ErrorIs, test.want)
			var step *wigeonstep.StepError
			qt.Assert(t, err, qt.ErrorAs, &step)
			qt.Assert(t, step.Peer, qt.Equals, address)
			qt.Assert(t, platform.Appends(), qt.Equals, test.appends)
		})
	}
}

// Guards against a read below the oldest retained offset whose error does not state that offset, and against an append that is
// rejected, for the append rate or for its size, and is reported as one with unknown effect.
func TestCompactedReadAndRejectedAppends(t *testing.T) {
	ctx := t.Context()
	platform, client, _ := startPlatform(t)
	platform.SetFaults(wigeonfake.Faults{AppendsPerSecond: -1, RetainRecords: 3})
	for range 5 {
		_, err := client.Append(ctx, wigeonstep.FleetStream, []byte("x"))
		qt.Assert(t, err, qt.IsNil)
	}
	read, err := client.Read(ctx, wigeonstep.FleetStream, 1, 10, 0)
	qt.Assert(t, err, qt.ErrorIs, wigeonstep.ErrCompacted)
	qt.Assert(t, read, qt.DeepEquals, wigeonstep.LogRead{First: 2, Next: 5})
	// The new rate limiter admits one append at once, so the first append passes and the second one exceeds the rate.
	platform.SetFaults(wigeonfake.Faults{AppendsPerSecond: 1})
	_, err = client.Append(ctx, wigeonstep.FleetStream, []byte("x"))
	qt.Assert(t, err, qt.IsNil)
	_, err = client.Append(ctx, wigeonstep.FleetStream, []byte("x"))
	qt.Assert(t, err, qt.ErrorIs, wigeonstep.ErrRejected)
	_, err = client.Append(ctx, wigeonstep.FleetStream, make([]byte, wigeonplatform.MaxPayloadBytes+1))
	qt.Assert(t, err, qt.ErrorIs, wigeonstep.ErrRejected)
	qt.Assert(t, platform.Appends(), qt.Equals, 6)
}

// Guards against a client whose VM list differs from that of the platform after changes, after an empty or outdated list, or
// after a restart of the platform.
func TestListVMsAppliesChanges(t *testing.T) {
	ctx := t.Context()
	server := startPlatformAt(t, "127.0.0.1:0")
	platform, client := server.Platform, newClient(t, server.Address(), "a")
	checkSameList := func() {
		t.Helper()
		want, err := platform.ListVMs(ctx)
		qt.Assert(t, err, qt.IsNil)
		got, err := client.ListVMs(ctx)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(got.VMs), qt.Equals, len(want.VMs))
		for i := range got.VMs {
			qt.Assert(t, got.VMs[i], qt.Equals, want.VMs[i])
		}
		qt.Assert(t, got.Pools, qt.DeepEquals, want.Pools)
	}
	checkSameList()
	for _, id := range []wigeonstep.VMID{"b", "a", "c"} {
		platform.AddVM(wigeonstep.ListedVM{ID: id, DataCentre: "dc1", Rack: "r1", Pool: "wax", Shape: wigeonstep.Shape{Cores: 32}})
	}
	checkSameList()
	platform.RemoveVM("b")
	qt.Assert(t, client.DrainVM(ctx, "a", 1), qt.IsNil)
	checkSameList()
	platform.SetFaults(wigeonfake.Faults{VMListEmpty: true})
	empty, err := client.ListVMs(ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, empty.VMs, qt.HasLen, 0)
	platform.SetFaults(wigeonfake.Faults{VMListLag: time.Hour})
	platform.RemoveVM("c")
	got, err := client.ListVMs(ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.VMs, qt.HasLen, 2)
	qt.Assert(t, got.Age, qt.Equals, time.Hour)
	platform.SetFaults(wigeonfake.Faults{})
	checkSameList()

	server.Close()
	platform = startPlatformAt(t, server.Address()).Platform
	// The list had six changes before the restart. After six again, the list version is the same, and only the epoch in the
	// token shows that the client's copy is outdated.
	for _, id := range []wigeonstep.VMID{"d", "e", "f", "g", "h", "i"} {
		platform.AddVM(wigeonstep.ListedVM{ID: id})
	}
	// The first call may fail on the connection to the old platform process, which was reset.
	_, err = client.ListVMs(ctx)
	if err != nil {
		qt.Assert(t, err, qt.ErrorIs, wigeonstep.ErrUnavailable)
	}
	checkSameList()
}

// Guards against actions whose fields do not reach the platform, and against calls with a stale epoch that take effect.
func TestVMActions(t *testing.T) {
	ctx := t.Context()
	platform, client, _ := startPlatform(t)
	platform.AddVM(wigeonstep.ListedVM{ID: "a", Pool: "wax"})
	qt.Assert(t, client.DrainVM(ctx, "a", 4), qt.IsNil)
	qt.Assert(t, client.CheckpointVM(ctx, "a", 4), qt.IsNil)
	qt.Assert(t, client.RebootVM(ctx, "a", 5), qt.IsNil)
	qt.Assert(t, client.RebootVM(ctx, "a", 5), qt.IsNil)
	qt.Assert(t, client.AssignVM(ctx, "a", "orders", 3), qt.ErrorIs, wigeonstep.ErrRejected)
	qt.Assert(t, client.AssignVM(ctx, "a", "orders", 6), qt.IsNil)
	state, _ := platform.VM("a")
	qt.Assert(t, state.Pool, qt.Equals, wigeonstep.PoolName("orders"))
	qt.Assert(t, state.Reboots, qt.Equals, 1)
	qt.Assert(t, state.Checkpoints, qt.Equals, 1)
	qt.Assert(t, state.Fence, qt.Equals, wigeonstep.VMEpoch(6))
}

// Guards against a long poll that keeps waiting after its context was cancelled.
func TestCancelledLongPoll(t *testing.T) {
	_, client, _ := startPlatform(t)
	ctx, cancel := context.WithCancel(t.Context())
	polled := make(chan error, 1)
	go func() {
		_, err := client.Read(ctx, wigeonstep.FleetStream, 0, 1, time.Minute)
		polled <- err
	}()
	cancel()
	err := <-polled
	qt.Assert(t, err, qt.ErrorIs, wigeonstep.ErrUnavailable)
	qt.Assert(t, err, qt.ErrorIs, context.Canceled)
}

// Guards against an append that is reported as rejected or as done after a malformed, truncated, oversized or unexpected
// response, which leaves its effect unknown.
func TestMalformedResponses(t *testing.T) {
	for _, test := range []struct{ name, answer string }{
		{"no HTTP", "\x00\x01garbage\r\n\r\n"},
		{"cut off answer", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"off"},
		{"other JSON", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"},
		{"too large", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n"},
		{"redirect", "HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			t.Cleanup(func() { _ = listener.Close() })
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, test.answer)
				_ = conn.Close()
			}()
			_, err = newClient(t, listener.Addr().String(), "a").Append(t.Context(), wigeonstep.FleetStream, []byte("x"))
			qt.Assert(t, err, qt.ErrorIs, wigeonstep.ErrAnswerLost)
		})
	}
}

// Guards against an append that is reported as possibly done although the connection failed and nothing was sent, and against
// a client that is created without an address.
func TestConnectFailureAndMissingAddress(t *testing.T) {
	_, err := newClient(t, "127.0.0.1:1", "a").Append(t.Context(), wigeonstep.FleetStream, []byte("x"))
	qt.Assert(t, err, qt.ErrorIs, wigeonstep.ErrUnavailable)
	_, err = wigeonplatform.New(wigeonplatform.Config{})
	qt.Assert(t, err, qt.ErrorMatches, "the platform has no address")
}
