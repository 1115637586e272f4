package wigeonfake

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/wigeonstep/wigeonstep"
)

var errRunning = errors.New("the backend server runs already")

// BackendFaults are the faults that a BackendServer shows. The zero value is a server that works.
type BackendFaults struct {
	// SlowFactor multiplies the run time of requests; default 0, which means 1.
	SlowFactor float64 `json:"slow_factor"`
	// FailAll answers every request at once with status 500, after counting a run; default false.
	FailAll bool `json:"fail_all"`
	// Leaving refuses new requests as not_run and sends Wigeonstep-Leaving: 1 with every answer; default false.
	Leaving bool `json:"leaving"`
	// DieMidAnswer is the probability that the connection ends in the middle of an answer; default 0.
	DieMidAnswer float64 `json:"die_mid_answer"`
	// DieNextAnswers is how many of the next answers end in the middle for certain; default 0.
	DieNextAnswers int `json:"die_next_answers"`
	// WrongNextIDs is how many of the next answers name another request; default 0.
	WrongNextIDs int `json:"wrong_next_ids"`
	// Paused holds every request before its run and before its answer; default false.
	Paused bool `json:"paused"`
}

// BackendServer is a worker with a real HTTP server. Its fields are set before Start; its methods are safe from any
// goroutine. A request that runs is answered with an Answer.
//
// Every refusal has status 503, Wigeonstep-Outcome: not_run and a body with the reason: "busy" when all slots are taken,
// "leaving", or "stale epoch" when Wigeonstep-Fence is below the highest epoch seen.
type BackendServer struct {
	// VM is the id that answers name.
	VM wigeonstep.VMID
	// Slots is how many requests run at once, default 8.
	Slots int
	// Connections is how many connections are open at once, default 64; further ones wait to be accepted.
	Connections int
	// RunTime is how long a request runs that does not say so itself, default 5 ms.
	RunTime time.Duration
	// Ledger counts the runs; default one of its own.
	Ledger *Ledger
	// Seed of the random choices.
	Seed uint64

	mu       sync.Mutex
	http     *httpServer
	listenOn string
	faults   BackendFaults
	resumed  chan struct{} // closed when the pause ends
	// incarnation counts the stops. A request that started before a stop releases no slot after it.
	incarnation int
	random      *rand.Rand
	fence       wigeonstep.Epoch
	stats       BackendStats
	own         Ledger
}

// BackendStats counts what a BackendServer saw.
type BackendStats struct {
	// Fence is the highest epoch seen.
	Fence wigeonstep.Epoch `json:"fence"`
	// InFlight is how many requests hold a slot.
	InFlight int `json:"in_flight"`
	// Waiting is how many requests wait for the end of a pause.
	Waiting int `json:"waiting"`
	// MaxInFlight is the highest value of InFlight.
	MaxInFlight int `json:"max_in_flight"`
	// Busy, RefusedLeaving and StaleEpochs count refused requests by reason.
	Busy           int `json:"busy"`
	RefusedLeaving int `json:"refused_leaving"`
	StaleEpochs    int `json:"stale_epochs"`
	// LastRefusedLeaving is how long after the start of leaving the last new request arrived; negative without one.
	LastRefusedLeaving time.Duration `json:"last_refused_leaving_ns"`
	// CutOff counts requests that held a slot when the server stopped.
	CutOff int `json:"cut_off"`

	leavingSince time.Time
}

// Start listens on host:port, where port 0 is chosen by the system, and serves. After Stop it starts on the same
// address when address is empty.
func (b *BackendServer) Start(address string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.http != nil {
		return errRunning
	}
	if address == "" {
		address = b.listenOn
	}
	connections := b.Connections
	if connections <= 0 {
		connections = 64
	}
	http, err := startHTTP(address, connections, func(engine *server.Hertz) { b.routes(engine) })
	if err != nil {
		return err
	}
	b.http, b.listenOn = http, http.address()
	return nil
}

// Address returns host:port, also while the server is stopped; it is empty before the first Start.
func (b *BackendServer) Address() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.listenOn
}

// Stop resets all connections, as the loss of the VM does. Requests in flight count as cut off.
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

// Faults returns the faults in force.
func (b *BackendServer) Faults() BackendFaults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

// SetFaults replaces the faults.
func (b *BackendServer) SetFaults(faults BackendFaults) {
	b.ChangeFaults(func(f *BackendFaults) { *f = faults })
}

// ChangeFaults changes the faults in one step.
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

// RaiseFence makes the server refuse epochs below the given one.
func (b *BackendServer) RaiseFence(epoch wigeonstep.Epoch) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fence = max(b.fence, epoch)
}

// Stats returns what the server saw.
func (b *BackendServer) Stats() BackendStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	stats := b.stats
	stats.Fence = b.fence
	return stats
}

// Runs returns the ledger of the server.
func (b *BackendServer) Runs() *Ledger {
	if b.Ledger != nil {
		return b.Ledger
	}
	return &b.own
}
