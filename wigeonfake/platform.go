package wigeonfake

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/wigeonstep/wigeonstep"
)

const platformPeer = "platform"

// errDisconnected is returned to clients that SetDisconnected has disconnected.
var errDisconnected = fmt.Errorf("%w: disconnected from the platform", wigeonstep.ErrUnavailable)

// Platform is an in-memory implementation of the platform: its log and its VM service. The zero value is ready to use.
// Methods are safe for concurrent use. Calls of wigeonstep.Log and wigeonstep.Platform on a Platform count as calls of the
// client with the empty name.
type Platform struct {
	// Seed initializes the random choices. It is set before the first use.
	Seed uint64
	// Now returns the current time; default time.Now. It is set before the first use.
	Now func() time.Time
	// OnVMEvent is called after each change of a VM, without a lock held. It is set before the first use and may be nil.
	OnVMEvent func(event VMEvent)

	mu      sync.Mutex
	faults  Faults
	random  *rand.Rand
	limiter *rate.Limiter // nil until the first append after a change of the rate
	// readersWoken is closed and set to nil when waiting reads have to check the log again. It is nil until
	// the next read.
	readersWoken chan struct{}
	streams      map[wigeonstep.Stream]*stream
	disconnected map[string]bool
	registry     vmRegistry
	appends      int
	// tokenEpoch is part of the tokens of the VM list, so that tokens of another platform are recognized. It is zero until
	// the first token.
	tokenEpoch int64
}

var (
	_ wigeonstep.Log      = (*Platform)(nil)
	_ wigeonstep.Platform = (*Platform)(nil)
	_ wigeonstep.Log      = (*PlatformClient)(nil)
	_ wigeonstep.Platform = (*PlatformClient)(nil)
)

// PlatformClient calls a Platform as one named client.
type PlatformClient struct {
	platform *Platform
	name     string
}

// Client returns the named client of the platform. SetDisconnected disconnects clients by name.
func (p *Platform) Client(name string) *PlatformClient {
	return &PlatformClient{platform: p, name: name}
}

// SetDisconnected disconnects the named client from the platform if cut is true, and reconnects it otherwise. Calls of a
// disconnected client fail with ErrUnavailable.
func (p *Platform) SetDisconnected(name string, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.disconnected == nil {
		p.disconnected = map[string]bool{}
	}
	if cut {
		p.disconnected[name] = true
	} else {
		delete(p.disconnected, name)
	}
	p.wakeReadersLocked()
}

// Faults returns a copy of the faults in force.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces the faults in force, as ChangeFaults does.
func (p *Platform) SetFaults(faults Faults) {
	p.ChangeFaults(func(f *Faults) { *f = faults })
}

// ChangeFaults calls change with the faults in force, which change modifies. It holds the lock of the Platform, so
// change must not call methods of the Platform. If change sets VMListFrozen, the VM list freezes in its current state.
// If change sets another append rate, the rate limiter restarts.
func (p *Platform) ChangeFaults(change func(faults *Faults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Applies the changes of VMs that are due with the present lag, before the lag changes.
	p.registry.applyPending(p.now(), p.faults)
	before := p.faults
	change(&p.faults)
	if p.faults.VMListFrozen && !before.VMListFrozen {
		p.registry.frozenAt = p.now()
	}
	if p.faults.appendsPerSecond() != before.appendsPerSecond() {
		p.limiter = nil
	}
	p.wakeReadersLocked()
}

// Appends returns the number of appends that took effect, including those whose answer was lost.
func (p *Platform) Appends() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.appends
}

func (p *Platform) now() time.Time {
	if p.Now != nil {
		return p.Now()
	}
	return time.Now()
}

func (p *Platform) randomLocked() *rand.Rand {
	if p.random == nil {
		p.random = rand.New(rand.NewPCG(p.Seed, 1))
	}
	return p.random
}

// readersWokenLocked returns the channel that wakeReadersLocked closes next.
func (p *Platform) readersWokenLocked() chan struct{} {
	if p.readersWoken == nil {
		p.readersWoken = make(chan struct{})
	}
	return p.readersWoken
}

// wakeReadersLocked makes waiting reads check again for records, for an outage of the log and for their disconnection.
func (p *Platform) wakeReadersLocked() {
	if p.readersWoken != nil {
		close(p.readersWoken)
		p.readersWoken = nil
	}
}

// checkLogAvailableLocked returns an error if the client is disconnected or the log is down.
func (p *Platform) checkLogAvailableLocked(name, step string) error {
	if p.disconnected[name] {
		return stepError(step, fmt.Errorf("%w: client %q", errDisconnected, name))
	}
	if p.faults.LogUnavailable {
		return stepError(step, fmt.Errorf("%w: the log is down", wigeonstep.ErrUnavailable))
	}
	return nil
}

func stepError(step string, err error) error {
	return &wigeonstep.StepError{Step: step, Peer: platformPeer, Err: err}
}

// Append appends a record as the client with the empty name. The faults of the log apply.
func (p *Platform) Append(ctx context.Context, stream wigeonstep.Stream, payload []byte) (wigeonstep.Offset, error) {
	return p.append(ctx, "", stream, payload)
}

// Read reads records as the client with the empty name. It waits for a record for at most the given time if there is none.
// The faults of the log apply.
func (p *Platform) Read(ctx context.Context, stream wigeonstep.Stream, from wigeonstep.Offset, limit int, wait time.Duration) (wigeonstep.LogRead, error) {
	return p.read(ctx, "", stream, from, limit, wait)
}

// Append appends a record as the named client. The faults of the log apply.
func (c *PlatformClient) Append(ctx context.Context, stream wigeonstep.Stream, payload []byte) (wigeonstep.Offset, error) {
	return c.platform.append(ctx, c.name, stream, payload)
}

// Read reads records as the named client. It waits for a record for at most the given time if there is none. The faults of
// the log apply.
func (c *PlatformClient) Read(ctx context.Context, stream wigeonstep.Stream, from wigeonstep.Offset, limit int, wait time.Duration) (wigeonstep.LogRead, error) {
	return c.platform.read(ctx, c.name, stream, from, limit, wait)
}
