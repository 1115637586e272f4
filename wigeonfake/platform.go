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

var errCutOff = fmt.Errorf("%w: cut off", wigeonstep.ErrUnavailable)

// Platform is an in-memory platform. The zero value works and is safe for concurrent use.
// Its methods of wigeonstep.Log and wigeonstep.Platform act as the client with the empty name.
type Platform struct {
	// Seed of the random choices, set before the first use.
	Seed uint64
	// Now returns the time, default time.Now; set before the first use.
	Now func() time.Time
	// OnVM is called after each change of a VM, without a lock held; set before the first use.
	OnVM func(event VMEvent)

	mu      sync.Mutex
	faults  Faults
	random  *rand.Rand
	limiter *rate.Limiter
	changed chan struct{} // closed and replaced when a waiting read has to look again
	streams map[wigeonstep.Stream]*stream
	cut     map[string]bool
	fleet   fleet
	appends int
	started int64 // makes the tokens of the VM list unlike those of other platforms
}

var (
	_ wigeonstep.Log      = (*Platform)(nil)
	_ wigeonstep.Platform = (*Platform)(nil)
	_ wigeonstep.Log      = (*PlatformClient)(nil)
	_ wigeonstep.Platform = (*PlatformClient)(nil)
)

// PlatformClient is the platform as one named client sees it.
type PlatformClient struct {
	platform *Platform
	name     string
}

// Client returns the platform as the named client sees it. CutOff cuts clients off by their name.
func (p *Platform) Client(name string) *PlatformClient {
	return &PlatformClient{platform: p, name: name}
}

// CutOff cuts the named client off from the platform, or connects it again.
func (p *Platform) CutOff(name string, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut == nil {
		p.cut = map[string]bool{}
	}
	if cut {
		p.cut[name] = true
	} else {
		delete(p.cut, name)
	}
	p.wakeLocked()
}

// Faults returns the faults in force.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(faults Faults) {
	p.ChangeFaults(func(f *Faults) { *f = faults })
}

// ChangeFaults changes the faults in one step.
func (p *Platform) ChangeFaults(change func(faults *Faults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet.show(p.now(), p.faults)
	before := p.faults
	change(&p.faults)
	if p.faults.ListStale && !before.ListStale {
		p.fleet.frozenAt = p.now()
	}
	if p.faults.appendsPerSecond() != before.appendsPerSecond() {
		p.limiter = nil
	}
	p.wakeLocked()
}

// Appends returns how many appends took effect.
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

func (p *Platform) changedLocked() chan struct{} {
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return p.changed
}

func (p *Platform) wakeLocked() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

// reachLocked returns an error when the client cannot reach the log.
func (p *Platform) reachLocked(name, step string) error {
	if p.cut[name] {
		return stepError(step, fmt.Errorf("%w: client %q", errCutOff, name))
	}
	if p.faults.LogDown {
		return stepError(step, fmt.Errorf("%w: the log is down", wigeonstep.ErrUnavailable))
	}
	return nil
}

func stepError(step string, err error) error {
	return &wigeonstep.StepError{Step: step, Peer: platformPeer, Err: err}
}

// Append implements wigeonstep.Log.
func (p *Platform) Append(ctx context.Context, stream wigeonstep.Stream, payload []byte) (wigeonstep.Offset, error) {
	return p.append(ctx, "", stream, payload)
}

// Read implements wigeonstep.Log.
func (p *Platform) Read(ctx context.Context, stream wigeonstep.Stream, from wigeonstep.Offset, limit int, wait time.Duration) (wigeonstep.LogRead, error) {
	return p.read(ctx, "", stream, from, limit, wait)
}

// Append implements wigeonstep.Log.
func (c *PlatformClient) Append(ctx context.Context, stream wigeonstep.Stream, payload []byte) (wigeonstep.Offset, error) {
	return c.platform.append(ctx, c.name, stream, payload)
}

// Read implements wigeonstep.Log.
func (c *PlatformClient) Read(ctx context.Context, stream wigeonstep.Stream, from wigeonstep.Offset, limit int, wait time.Duration) (wigeonstep.LogRead, error) {
	return c.platform.read(ctx, c.name, stream, from, limit, wait)
}
