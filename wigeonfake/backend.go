package wigeonfake

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/wigeonstep/wigeonstep"
)

var errAlreadyRunning = errors.New("backend server is already running")

// BackendFaults configures the faults of a BackendServer. The zero value injects none.
type BackendFaults struct {
	// SlowFactor multiplies the run time of requests; default 0, which means 1.
	SlowFactor float64 `json:"slow_factor"`
	// FailAll makes every request run without a run time and fail with status 500; default false.
	FailAll bool `json:"fail_all"`
	// Leaving makes the server refuse new requests as not_run and send Wigeonstep-Leaving: 1 with every response; default
	// false.
	Leaving bool `json:"leaving"`
	// TruncateProbability is the probability that the connection closes in the middle of an answer; default 0.
	TruncateProbability float64 `json:"die_mid_answer"`
	// TruncateNextAnswers is the number of next answers that are truncated, regardless of TruncateProbability; default 0.
	TruncateNextAnswers int `json:"die_next_answers"`
	// MismatchNextAnswers is the number of next answers that carry the ID and body hash of another request; default 0.
	MismatchNextAnswers int `json:"wrong_next_ids"`
	// Paused makes every request wait before its run and before its answer until the pause ends; default false.
	Paused bool `json:"paused"`
}

// BackendServer is a stand-in of a backend server that serves HTTP. Its fields are set before Start. Its methods are safe
// for concurrent use. The response to a request that ran is an Answer.
//
// A refusal has status 503, the header Wigeonstep-Outcome: not_run and a body with the reason: "busy" if no slot is free,
// "leaving", or "stale epoch" if Wigeonstep-Fence is below the highest epoch that the server knows.
type BackendServer struct {
	// VM is the ID in answers and refusals.
	VM wigeonstep.VMID
	// Slots is the maximum number of concurrent requests; default 8.
	Slots int
	// Connections is the maximum number of open connections; default 64. Further connections wait in the listen queue.
	Connections int
	// RunTime is the run time of requests that do not set one; default 5 ms.
	RunTime time.Duration
	// RunCounter counts the runs. By default the server has a run counter of its own.
	RunCounter *RunCounter
	// Seed initializes the random choices.
	Seed uint64

	mu     sync.Mutex
	http   *httpServer // nil while stopped
	addr   string      // host:port of the last start
	faults BackendFaults
	// resumed is closed when the pause ends. It is nil while the server is not paused.
	resumed chan struct{}
	// incarnation counts the stops. A request that took its slot before a stop must not release it afterwards.
	incarnation   int
	random        *rand.Rand
	fence         wigeonstep.VMEpoch
	stats         BackendStats
	ownRunCounter RunCounter
}

// BackendStats holds the counters of a BackendServer.
type BackendStats struct {
	// Fence is the highest epoch that the server knows.
	Fence wigeonstep.VMEpoch `json:"fence"`
	// InFlight is the number of requests that hold a slot.
	InFlight int `json:"in_flight"`
	// Waiting is the number of requests that wait for the end of a pause.
	Waiting int `json:"waiting"`
	// MaxInFlight is the highest value of InFlight so far.
	MaxInFlight int `json:"max_in_flight"`
	// Busy, RefusedLeaving and StaleEpochs count refused requests by reason.
	Busy           int `json:"busy"`
	RefusedLeaving int `json:"refused_leaving"`
	StaleEpochs    int `json:"stale_epochs"`
	// LastRefusedLeaving is the time from the latest start of leaving to the last request refused for it. It is negative if
	// none was refused since, and zero before the first start of leaving.
	LastRefusedLeaving time.Duration `json:"last_refused_leaving_ns"`
	// CutOff counts the requests that held a slot when the server stopped.
	CutOff int `json:"cut_off"`

	leavingSince time.Time
}

// Start listens on host:port and starts to serve. Port 0 stands for any free port, an empty address for the address of the
// last start.
func (b *BackendServer) Start(address string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.http != nil {
		return errAlreadyRunning
	}
	if address == "" {
		address = b.addr
	}
	connections := b.Connections
	if connections <= 0 {
		connections = 64
	}
	http, err := startHTTP(address, connections, func(engine *server.Hertz) { b.registerRoutes(engine) })
	if err != nil {
		return err
	}
	b.http, b.addr = http, http.address()
	return nil
}

// Address returns the host:port of the last start, also while the server is stopped. It is empty before the first Start.
func (b *BackendServer) Address() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.addr
}

// Stop stops the server and resets all connections, as the loss of its VM does. Requests that hold a slot count as CutOff.
func (b *BackendServer) Stop() {
	b.mu.Lock()
	http := b.http
	b.http = nil
	if http != nil {
		b.stats.CutOff += b.stats.InFlight
		b.stats.InFlight = 0
		b.incarnation++
	}
	b.mu.Unlock()
	if http != nil {
		http.kill()
	}
}

// Faults returns a copy of the faults in force.
func (b *BackendServer) Faults() BackendFaults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

// SetFaults replaces the faults in force, as ChangeFaults does.
func (b *BackendServer) SetFaults(faults BackendFaults) {
	b.ChangeFaults(func(f *BackendFaults) { *f = faults })
}

// ChangeFaults calls change with the faults in force, which change modifies. It holds the lock of the server, so change
// must not call methods of the server. It also starts or ends the pause and notes the start of leaving.
func (b *BackendServer) ChangeFaults(change func(faults *BackendFaults)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.faults
	change(&b.faults)
	if b.faults.Leaving && !before.Leaving {
		b.stats.leavingSince = time.Now()
		b.stats.LastRefusedLeaving = -1
	}
	if before.Paused && !b.faults.Paused && b.resumed != nil {
		close(b.resumed)
		b.resumed = nil
	}
	if b.faults.Paused && b.resumed == nil {
		b.resumed = make(chan struct{})
	}
}

// RaiseFence makes the server refuse requests with an epoch below the given one. A lower fence has no effect.
func (b *BackendServer) RaiseFence(epoch wigeonstep.VMEpoch) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fence = max(b.fence, epoch)
}

// Stats returns a copy of the counters.
func (b *BackendServer) Stats() BackendStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	stats := b.stats
	stats.Fence = b.fence
	return stats
}

// Runs returns the counter of the runs of this server: RunCounter, or its own one.
func (b *BackendServer) Runs() *RunCounter {
	if b.RunCounter != nil {
		return b.RunCounter
	}
	return &b.ownRunCounter
}
