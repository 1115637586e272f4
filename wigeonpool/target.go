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
	// baseWait is the result of Wait for equal weights.
	baseWait = 60 * time.Second
	// minWait bounds Wait from below for any weights, so that a burst of a few seconds never moves a VM.
	minWait = 15 * time.Second
	// dataCentreGrace is the time for which a data centre may be without an open control session before its VMs are
	// replaced by VMs of other data centres.
	dataCentreGrace = 10 * time.Minute
)

// Target returns the number of workers that the pool is to have: those that its documents ask for, headroom for the
// loss of a failure domain of the kind Survive, and one VM for a failure while another VM is replaced. It is zero for a
// pool without a document.
func Target(fleet *Fleet, pool *Pool) int {
	if len(pool.Services) == 0 {
		return 0
	}
	return pool.Workers + headroom(fleet, pool) + 1
}

// headroom returns the number of workers that a pool needs beyond Workers to survive the loss of one failure domain.
func headroom(fleet *Fleet, pool *Pool) int {
	switch pool.Survive {
	case wigeondocument.DomainRack:
		largest := 1
		for _, c := range pool.domainCounts().racks {
			largest = max(largest, c.Total)
		}
		return min(largest, max(1, pool.Workers))
	case wigeondocument.DomainDataCentre:
		dataCentres := 0
		for _, dc := range fleet.dataCentres {
			// A data centre that was lost a short time ago still counts, as its VMs do. Otherwise its loss would raise
			// the target and move VMs that move back when it returns.
			if (dc.hasControl || dc.inGrace) && dc.expected > 0 {
				dataCentres++
			}
		}
		if dataCentres < 2 {
			return 0
		}
		// Spread evenly over the data centres, the pool keeps Workers when it loses one of them.
		return (pool.Workers + dataCentres - 2) / (dataCentres - 1)
	}
	return 0
}

// Wait returns the time for which a shortage must last before a VM moves to the pool: 60 s x moves_weight /
// buffer_weight, at least minWait.
func Wait(pool *Pool) time.Duration {
	return max(minWait, baseWait*time.Duration(pool.MovesWeight)/time.Duration(pool.BufferWeight))
}

// poolHistory holds the times since which one pool has been short, urgently short or in surplus, each zero while it is
// not, and the recent load of the pool. The loss of this history at a restart only delays moves.
type poolHistory struct {
	shortSince, urgentSince, surplusSince time.Time
	// reportedAt is the time at which a shortage that no VM can fill was last recorded.
	reportedAt time.Time
	load       minWindow
}

// minWindow tracks the lowest value over the last one to two spans.
type minWindow struct {
	// start is the start of the current span.
	start time.Time
	// previous and current are the lowest values of the previous and of the current span.
	previous, current int
	// complete is set once a whole span has passed.
	complete bool
}

// add adds a value observed at the given time. It starts anew if the current span began at least two spans ago.
func (w *minWindow) add(at time.Time, value int, span time.Duration) {
	switch age := at.Sub(w.start); {
	case w.start.IsZero() || age >= 2*span:
		*w = minWindow{start: at, current: value}
	case age >= span:
		w.previous, w.current, w.complete, w.start = w.current, value, true, at
	default:
		w.current = min(w.current, value)
	}
}

// lowest returns the lowest value over at least one span; the bool is false until one span has passed.
func (w *minWindow) lowest() (int, bool) { return min(w.previous, w.current), w.complete }

// demand is the shortage or surplus of one pool in one round. All numbers count VMs.
type demand struct {
	pool *Pool
	// target follows from the documents. desired is target, or the lowest number of VMs that the load needed over at
	// least one wait, if that is higher.
	target, desired int
	// present counts the VMs that serve or will return and satisfy the shape of the documents, tooSmall those that
	// serve or will return and do not.
	present, tooSmall int
	// missing is the shortage against desired, or against loadVMs if that is higher and the load has not yet been
	// observed for a whole wait; due is set once the shortage has lasted long enough to move a VM.
	missing int
	due     bool
	// urgent is set when the pool has fewer VMs than its documents ask for.
	urgent bool
	// surplus is the number of VMs that the pool can give to pools that are short.
	surplus int
	// releaseDue is set when the surplus, or the presence of VMs that are too small without a shortage, has lasted long
	// enough to move a VM to the spare pool.
	releaseDue bool
	// wait is the time for which a shortage must last before a VM moves.
	wait time.Duration
	// loadVMs is the number of VMs that the current load needs.
	loadVMs int
}

// figures returns the figures of the demand for the explanation of a decision.
func (d *demand) figures() string {
	return fmt.Sprintf("target=%d wanted=%d present=%d workers=%d load_workers=%d wait_s=%d urgent=%t",
		d.target, d.desired, d.present, d.pool.Workers, d.loadVMs, int(d.wait.Seconds()), d.urgent)
}

// assessDemand returns the demand of a pool that has a document, and updates the pool's history.
func (p *Planner) assessDemand(fleet *Fleet, pool *Pool) *demand {
	h := p.pools[pool.Name]
	if h == nil {
		h = &poolHistory{}
		p.pools[pool.Name] = h
	}
	d := &demand{pool: pool, target: p.config.Target(fleet, pool), wait: p.config.Wait(pool)}
	slots := p.countPresent(fleet, d)
	d.desired = d.target
	unconfirmedLoad := 0
	if fleet.Observed.SlotDemand != nil && slots > 0 && d.present > 0 {
		d.loadVMs = (fleet.Observed.SlotDemand[pool.Name]*d.present + slots - 1) / slots
		h.load.add(fleet.Now, d.loadVMs, d.wait)
		if lastingLoad, known := h.load.lowest(); known {
			d.desired = max(d.desired, lastingLoad)
		} else {
			unconfirmedLoad = d.loadVMs
		}
	}
	d.missing = max(0, max(d.desired, unconfirmedLoad)-d.present)
	d.urgent = d.present < pool.Workers
	// A load above the target counts in desired only once it has lasted, so it needs no further wait.
	shortForLong := heldFor(&h.shortSince, d.present < d.target, fleet.Now, d.wait)
	// An urgent shortage waits only for minWait: at a start of the fleet a pool looks short until its VMs have been
	// observed.
	urgentForLong := heldFor(&h.urgentSince, d.urgent, fleet.Now, minWait)
	d.due = urgentForLong || shortForLong || (d.present >= d.target && d.present < d.desired)
	excess := d.present - max(d.desired, unconfirmedLoad)
	d.surplus = max(0, excess)
	d.releaseDue = heldFor(&h.surplusSince, excess > 0 || (d.tooSmall > 0 && excess >= 0), fleet.Now, time.Duration(p.config.SurplusFactor)*d.wait)
	return d
}

// heldFor stores in since the time at which the condition began to hold, zero while it does not, and reports whether it
// has held for the span.
func heldFor(since *time.Time, holds bool, now time.Time, span time.Duration) bool {
	if !holds {
		*since = time.Time{}
		return false
	}
	if since.IsZero() {
		*since = now
	}
	return now.Sub(*since) >= span
}

// countPresent sets present and tooSmall of d, and returns the slots of the present VMs.
func (p *Planner) countPresent(fleet *Fleet, d *demand) (slots int) {
	for _, vm := range d.pool.VMs {
		if !p.servesOrReturns(fleet, vm) {
			continue
		}
		if !vm.Shape.Fits(d.pool.Shape) {
			d.tooSmall++
			continue
		}
		d.present++
		slots += max(1, vm.Shape.Slots)
	}
	return slots
}

// servesOrReturns reports whether the VM serves its pool or will return to it.
func (p *Planner) servesOrReturns(fleet *Fleet, vm *wigeonstate.VM) bool {
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

// dataCentreLost reports whether the data centre has been without an open control session for dataCentreGrace, so that
// VMs of other data centres replace its VMs.
func (p *Planner) dataCentreLost(fleet *Fleet, dataCentre wigeonstep.DataCentreName) bool {
	since, known := p.withoutControlSince[dataCentre]
	return known && fleet.Now.Sub(since) >= dataCentreGrace
}

// trackDataCentres records since when data centres have been without an open control session, and sets their inGrace.
func (p *Planner) trackDataCentres(fleet *Fleet) {
	for name, dc := range fleet.dataCentres {
		if dc.hasControl {
			delete(p.withoutControlSince, name)
		} else if _, known := p.withoutControlSince[name]; !known {
			p.withoutControlSince[name] = fleet.Now
		}
		dc.inGrace = !dc.hasControl && !p.dataCentreLost(fleet, name)
	}
}
