package wigeonentry_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonbackend"
	"github.com/wigeonstep/wigeonstep/wigeonentry"
	"github.com/wigeonstep/wigeonstep/wigeonfake"
	"github.com/wigeonstep/wigeonstep/wigeonpeer"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const document = `service: orders
team: wax
pool: shop
capacity: {workers: 2, cores: 8}
availability: {max_unavailable_workers: 2}
classes:
  - {name: read, kind: short, idempotent: true, deadline_ms: 5000}
  - {name: order, kind: short, idempotent: false, deadline_ms: 5000}
  - {name: watch, kind: long, idempotent: true}
  - {name: bake, kind: long, idempotent: false}
`

// fleet is a pool of backend servers and the entry processes in front of it.
type fleet struct {
	t          testing.TB
	c          *qt.C
	log        *testLog
	control    *testFollower
	runCounter *wigeonfake.RunCounter
	backends   []*wigeonfake.BackendServer
	entries    []*entry
}

// entry is one running entry process.
type entry struct {
	process  *wigeonentry.Process
	follower *testFollower
	address  string
	peers    *wigeonpeer.Server
	stop     context.CancelFunc
	// result receives the error that Process.Run returns.
	result chan error
}

// newFleet starts the backend servers and then the entry processes. change, if not nil, modifies the configuration of each
// entry process.
func newFleet(t testing.TB, backends, entries int, change func(*wigeonentry.Config)) *fleet {
	t.Helper()
	f := &fleet{t: t, c: qt.New(t), log: &testLog{}, runCounter: &wigeonfake.RunCounter{}}
	f.control = f.log.addFollower(t, 0xc0, wigeonwire.Role_ROLE_CONTROL, "a", "127.0.0.1:1")
	f.control.mustAppend(t, &wigeonwire.Entry{Body: &wigeonwire.Entry_PoolObserve{PoolObserve: &wigeonwire.PoolObserve{Pools: []string{"shop"}}}})
	for i := range backends {
		f.addBackend(fmt.Sprintf("vm-%d", i))
	}
	f.control.mustAppend(t, &wigeonwire.Entry{Body: &wigeonwire.Entry_DocumentChange{DocumentChange: &wigeonwire.DocumentChange{
		ChangeId: "1", Service: "orders", Content: []byte(document), Operator: "test",
	}}})
	for i := range entries {
		f.addEntry(uint64(0xe0+i), change)
	}
	return f
}

func (f *fleet) addBackend(id string) *wigeonfake.BackendServer {
	f.t.Helper()
	b := &wigeonfake.BackendServer{VM: wigeonstep.VMID(id), RunCounter: f.runCounter, RunTime: time.Millisecond}
	f.c.Assert(b.Start("127.0.0.1:0"), qt.IsNil)
	f.t.Cleanup(b.Stop)
	f.backends = append(f.backends, b)
	f.addVM(id, b.Address(), 32)
	return b
}

func (f *fleet) addVM(id, address string, cores uint32) {
	f.t.Helper()
	f.control.mustAppend(f.t, &wigeonwire.Entry{Body: &wigeonwire.Entry_VmObserve{VmObserve: &wigeonwire.VMObserve{
		Vm: id, DataCentre: "a", Rack: "r1", Pool: "shop", Address: address,
		Shape: &wigeonwire.Shape{Cores: cores, MemoryGb: 64, Slots: 8, Connections: 64},
	}}})
}

func (f *fleet) addEntry(session uint64, change func(*wigeonentry.Config)) *entry {
	f.t.Helper()
	peerListener, err := net.Listen("tcp", "127.0.0.1:0")
	f.c.Assert(err, qt.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	f.c.Assert(err, qt.IsNil)
	client := &wigeonpeer.Client{}
	backend := wigeonbackend.New(wigeonbackend.Config{})
	e := &entry{address: listener.Addr().String(), result: make(chan error, 1)}
	e.follower = f.log.addFollower(f.t, session, wigeonwire.Role_ROLE_ENTRY, "a", peerListener.Addr().String())
	config := wigeonentry.Config{
		DataCentre: "a", Listener: listener, Follower: e.follower, Backend: backend, Peers: client,
		DrainDelay: time.Millisecond, Seed: session,
	}
	if change != nil {
		change(&config)
	}
	e.process, err = wigeonentry.New(config)
	f.c.Assert(err, qt.IsNil)
	e.peers = wigeonpeer.NewServer(peerListener, e.process, zap.NewNop())
	go func() { _ = e.peers.Serve() }()
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.result <- e.process.Run(ctx)
	}()
	f.t.Cleanup(func() {
		cancel()
		<-done
		_ = e.peers.Close()
		_ = client.Close()
		backend.Close()
	})
	f.entries = append(f.entries, e)
	waitFor(f.t, "the entry process to be ready", e.process.Ready)
	return e
}

func waitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// answer is the HTTP response, or the transport error, that a caller received.
type answer struct {
	status  int
	outcome wigeonstep.Outcome
	header  http.Header
	body    string
	err     error
}

// send sends one request of a caller. headers alternate between names and values.
func send(address, method, path, body string, headers ...string) answer {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{err: err}
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, outcome: wigeonstep.Outcome(response.Header.Get(wigeonstep.HeaderOutcome)),
		header: response.Header, body: string(data), err: err,
	}
}

func (e *entry) order(key, body string) answer {
	return send(e.address, http.MethodPost, "/orders", body,
		wigeonstep.HeaderTeam, "wax", wigeonstep.HeaderClass, "order", wigeonstep.HeaderIdempotencyKey, key)
}

func (e *entry) read(body string) answer {
	return send(e.address, http.MethodPost, "/read", body, wigeonstep.HeaderTeam, "wax", wigeonstep.HeaderClass, "read")
}

func dial(t testing.TB, address string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	return conn.(*net.TCPConn)
}
