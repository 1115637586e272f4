package wigeonpool

import (
	"fmt"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	baseWait = 60 * time.Second
	// minWait bounds the wait from below whatever the weights say, so that a burst of seconds never moves a VM.
	minWait = 15 * time.Second
	// centrePatience is how long a data centre may have no open control session before its VMs are replaced elsewhere.
	centrePatience = 10 * time.Minute
)

// Target returns how many workers the pool is to have: what its documents ask for, headroom for the loss of the failure
// domain that Survive names, and one VM for a failure while a replacement takes place. It is zero for a pool without a document.
func Target(fleet *Fleet, pool *Pool) int {
	if len(pool.Services) == 0 {
		return 0
	}
	return pool.Workers + headroom(fleet, pool) + 1
}

func headroom(fleet *Fleet, pool *Pool) int {
	switch pool.Survive {
	case wigeondocument.DomainRack:
		largest := 1
		for _, c := range pool.domainCounts().racks {
			largest = max(largest, c.Total)
		}
		return min(largest, max(1, pool.Workers))
	case wigeondocument.DomainDataCentre:
		centres := 0
		for _, z := range fleet.centres {
			// A data centre that has just been lost still counts, as its VMs do; otherwise its loss alone would raise the
			// target and move VMs that go back when it returns.
			if (z.control || z.patient) && z.total > 0 {
				centres++
			}
		}
		if centres < 2 {
			return 0
		}
		// Spread evenly over the data centres, the pool keeps Workers when it loses one of them.
		return (pool.Workers + centres - 2) / (centres - 1)
	}
	return 0
}

// Wait returns how long a shortage lasts before a VM moves: 60 s x moves_weight / buffer_weight.
func Wait(pool *Pool) time.Duration {
	return max(minWait, baseWait*time.Duration(pool.MovesWeight)/time.Duration(pool.BufferWeight))
}

// history is what a planner remembers of one pool. A restart only delays moves by what it forgets.
type history struct {
	short, urgent, surplus, reported time.Time
	load                             window
}

// window keeps the least load over the last one to two spans.
type window struct {
	start     time.Time
	last, now int
	full      bool
}

func (w *window) add(at time.Time, value int, span time.Duration) {
	switch age := at.Sub(w.start); {
	case w.start.IsZero() || age >= 2*span:
		*w = window{start: at, now: value}
	case age >= span:
		w.last, w.now, w.full, w.start = w.now, value, true, at
	default:
		w.now = min(w.now, value)
	}
}

// least returns the least load that lasted for at least one span; ok is false before one has passed.
func (w *window) least() (int, bool) { return min(w.last, w.now), w.full }

// demand is what one pool needs in one round.
type demand struct {
	pool *Pool
	// target is by the documents, wanted includes load that lasts.
	target, wanted int
	// present counts VMs that serve or will return, unfit those that are too small for the documents.
	present, unfit int
	// missing is how many VMs the pool lacks now; due is set once the shortage has lasted long enough to move a VM.
	missing int
	due     bool
	urgent  bool
	// spare is how many VMs the pool can give at once to a pool that is short.
	spare int
	// release is set when the surplus has lasted long enough for a VM to return to the spare pool.
	release bool
	wait    time.Duration
	load    int
}

func (d *demand) figures() string {
	return fmt.Sprintf("target=%d wanted=%d present=%d workers=%d load_workers=%d wait_s=%d urgent=%t",
		d.target, d.wanted, d.present, d.pool.Workers, d.load, int(d.wait.Seconds()), d.urgent)
}

// assess judges one pool with a document.
func (p *Planner) assess(fleet *Fleet, pool *Pool) *demand {
	h := p.pools[pool.Name]
	if h == nil {
		h = &history{}
		p.pools[pool.Name] = h
	}
	d := &demand{pool: pool, target: p.config.Target(fleet, pool), wait: p.config.Wait(pool)}
	slots := p.countPresent(fleet, d)
	d.wanted = d.target
	passing := 0
	if fleet.Seen.Loads != nil && slots > 0 && d.present > 0 {
		d.load = (fleet.Seen.Loads[pool.Name]*d.present + slots - 1) / slots
		h.load.add(fleet.Now, d.load, d.wait)
		if lasting, known := h.load.least(); known {
			d.wanted = max(d.wanted, lasting)
		} else {
			passing = d.load
		}
	}
	d.missing = max(0, max(d.wanted, passing)-d.present)
	d.urgent = d.present < pool.Workers
	// Load above the target has lasted already when it counts in wanted.
	shortForLong := lasted(&h.short, d.present < d.target, fleet.Now, d.wait)
	// An urgent shortage is filled at once, but for what a start of the fleet shows while VMs are being observed.
	urgentForLong := lasted(&h.urgent, d.urgent, fleet.Now, minWait)
	d.due = urgentForLong || shortForLong || (d.present >= d.target && d.present < d.wanted)
	excess := d.present - max(d.wanted, passing)
	d.spare = max(0, excess)
	d.release = lasted(&h.surplus, excess > 0 || (d.unfit > 0 && excess >= 0), fleet.Now, time.Duration(p.config.SurplusFactor)*d.wait)
	return d
}

// lasted keeps since when a condition holds and reports whether it has held for the span.
func lasted(since *time.Time, holds bool, now time.Time, span time.Duration) bool {
	if !holds {
		*since = time.Time{}
		return false
	}
	if since.IsZero() {
		*since = now
	}
	return now.Sub(*since) >= span
}

// countPresent counts the VMs that serve the pool or will return to it, and returns their slots.
func (p *Planner) countPresent(fleet *Fleet, d *demand) (slots int) {
	for _, vm := range d.pool.VMs {
		if !p.returns(fleet, vm) {
			continue
		}
		if !vm.Shape.Fits(d.pool.Shape) {
			d.unfit++
			continue
		}
		d.present++
		slots += max(1, vm.Shape.Slots)
	}
	return slots
}

func (p *Planner) returns(fleet *Fleet, vm *wigeonstate.VM) bool {
	if vm.Leaving || p.dataCentreLost(fleet, vm.DataCentre) {
		return false
	}
	switch vm.Phase {
	case wigeonwire.Phase_PHASE_FAILED:
		return mayReturn(fleet, vm) && (fleet.Listed(vm) != nil || !p.isListTrusted(fleet, vm.DataCentre))
	case wigeonwire.Phase_PHASE_DRAINING, wigeonwire.Phase_PHASE_DRAINED:
		return vm.Wave != ""
	}
	return true
}

func (p *Planner) isListTrusted(fleet *Fleet, dataCentre wigeonstep.DataCentreName) bool {
	trusted, _ := fleet.ListTrusted(dataCentre)
	return trusted
}

// dataCentreLost reports whether the data centre has had no open control session for so long that its VMs are replaced elsewhere.
func (p *Planner) dataCentreLost(fleet *Fleet, dataCentre wigeonstep.DataCentreName) bool {
	since, silent := p.silent[dataCentre]
	return silent && fleet.Now.Sub(since) >= centrePatience
}

func (p *Planner) watchDataCentres(fleet *Fleet) {
	for name, z := range fleet.centres {
		if z.control {
			delete(p.silent, name)
		} else if _, known := p.silent[name]; !known {
			p.silent[name] = fleet.Now
		}
		z.patient = !z.control && !p.dataCentreLost(fleet, name)
	}
}
