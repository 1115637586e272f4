package wigeonmaintenance

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonpool"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// foreignPatience is how long the planner waits for the planner of another data centre to propose the drain that is due there.
// After that it goes on with its own VMs; the fold still judges every drain.
const foreignPatience = 30 * time.Second

// maxRest bounds how long a VM stays in service between two attempts to drain it; a drain itself may take a week.
const maxRest = time.Hour

// startTime is how long the VMs of a pool must be unchanged before a wave starts, so that it knows all of them at a start of the fleet.
const startTime = 30 * time.Second

// settleTime is how long a pool without a document is left alone.
const settleTime = 5 * time.Minute

// cycle returns the id of the wave that is due in the pool at the time, and when its period began.
// The id depends only on the pool and the time, so that all planners propose the same wave. Pools begin their periods
// at different times, so that their waves spread over the period.
func (p *Planner) cycle(pool wigeonstep.PoolName, at time.Time) (wigeonstep.WaveID, time.Time) {
	period := p.config.Period.Milliseconds()
	shift := int64(xxhash.Sum64String(string(pool)) % uint64(period))
	number := (at.UnixMilli() + shift) / period
	return wigeonstep.WaveID(fmt.Sprintf("%s-%d", pool, number)), time.UnixMilli(number*period - shift)
}

// startWave proposes the wave that is due in the pool. When the pool has had its wave in this period, VMs that were moved
// to it and are overdue by then get a further wave, at most one a day.
func (p *Planner) startWave(plan *wigeonpool.Plan, fleet *wigeonpool.Fleet, pool *wigeonpool.Pool) {
	if !fleet.Leads(pool) {
		return
	}
	now := fleet.View.Time
	id, began := p.cycle(pool.Name, now)
	due, overdue, done := false, false, false
	for i, vm := range pool.VMs {
		if now.Sub(vm.PhaseSince) < startTime {
			return
		}
		done = done || isWaveOf(vm.LastWave, id)
		due = due || (pool.AvailableAt(i) && vm.LastMaintained.Before(began))
		overdue = overdue || (pool.AvailableAt(i) && p.overdue(vm, now))
	}
	switch {
	case done && overdue:
		id = wigeonstep.WaveID(fmt.Sprintf("%s%s%d", id, furtherMark, int(now.Sub(began)/(24*time.Hour))))
	case done || !due:
		return
	}
	plan.Entries = append(plan.Entries, &wigeonwire.Entry{Body: &wigeonwire.Entry_WaveStart{
		WaveStart: &wigeonwire.WaveStart{Wave: string(id), Pool: string(pool.Name)},
	}})
}

// furtherMark stands between the id of a period's wave and the day of a further one. Pool names do not contain it.
const furtherMark = "+"

// isWaveOf reports whether the wave is the given one of a period or a further one of the same period.
func isWaveOf(wave, id wigeonstep.WaveID) bool {
	rest, found := strings.CutPrefix(string(wave), string(id))
	return found && (rest == "" || strings.HasPrefix(rest, furtherMark))
}

// overdue reports whether the VM was maintained longer ago than the period.
func (p *Planner) overdue(vm *wigeonstate.VM, at time.Time) bool {
	return !vm.LastMaintained.IsZero() && at.Sub(vm.LastMaintained) > p.config.Period
}

// covers reports whether the wave is still to maintain the VM: every VM of the pool, or the overdue ones in a further wave.
func (p *Planner) covers(wave *wigeonstate.Wave, vm *wigeonstate.VM) bool {
	if vm.LastWave == wave.ID || vm.Leaving {
		return false
	}
	return !strings.Contains(string(wave.ID), furtherMark) || p.overdue(vm, wave.Started)
}

// continueWave proposes the drains that the policy allows now, or the end of the wave when no VM is left to maintain.
func (p *Planner) continueWave(plan *wigeonpool.Plan, fleet *wigeonpool.Fleet, pool *wigeonpool.Pool, wave *wigeonstate.Wave) {
	left, failed := 0, 0
	room := p.config.Policy(pool) > 0
	var ready []*wigeonstate.VM
	for i, vm := range pool.VMs {
		switch {
		case !p.covers(wave, vm):
		case vm.Phase == wigeonwire.Phase_PHASE_FAILED:
			failed++
		default:
			left++
			if room && pool.AvailableAt(i) && p.drainable(fleet, pool, vm) {
				ready = append(ready, vm)
			}
		}
	}
	if left > 0 {
		if room {
			p.drain(plan, fleet, pool, wave, ready)
		}
		p.recordPause(plan, fleet, pool, wave, !room && pool.Planned == 0)
		return
	}
	delete(p.paused, wave.ID)
	if fleet.Leads(pool) {
		plan.Entries = append(plan.Entries, &wigeonwire.Entry{Body: &wigeonwire.Entry_WaveEnd{WaveEnd: &wigeonwire.WaveEnd{
			Wave: string(wave.ID), Reason: fmt.Sprintf("done=%d failed=%d total=%d", wave.Done, failed, wave.Total),
		}}})
	}
}

// recordPause records when failures leave no room for a drain, and when the wave goes on.
func (p *Planner) recordPause(plan *wigeonpool.Plan, fleet *wigeonpool.Fleet, pool *wigeonpool.Pool, wave *wigeonstate.Wave, paused bool) {
	if paused == p.paused[wave.ID] {
		return
	}
	action, cause := "pause", "failures use up the disruption budget"
	if paused {
		p.paused[wave.ID] = true
	} else {
		delete(p.paused, wave.ID)
		action, cause = "resume", "the disruption budget has room again"
	}
	if fleet.Leads(pool) {
		plan.AddDecision("wave", string(wave.ID), action, wigeonpool.Reason{
			Cause: cause, Rule: "a wave stops while failures use up the budget", Figures: pool.BudgetFigures(),
		})
	}
}

// drainable reports whether the VM may be chosen for a drain. A VM that returned from a drain that did not end in time is
// left alone for as long as a drain may take, at most maxRest. A new VM of a pool without a document is left alone for
// settleTime, since the document may be on its way.
func (p *Planner) drainable(fleet *wigeonpool.Fleet, pool *wigeonpool.Pool, vm *wigeonstate.VM) bool {
	if at, rests := p.returned[vm.ID]; rests && fleet.Now.Sub(at) < min(pool.MaxDrain, maxRest) {
		return false
	}
	if len(pool.Services) == 0 && fleet.View.Time.Sub(vm.PhaseSince) < settleTime {
		return false
	}
	trusted, _ := fleet.ListTrusted(vm.DataCentre)
	return trusted
}

func (p *Planner) drain(plan *wigeonpool.Plan, fleet *wigeonpool.Fleet, pool *wigeonpool.Pool, wave *wigeonstate.Wave, ready []*wigeonstate.VM) {
	ready = p.withoutIdleCentres(fleet, pool, ready)
	foreign := wigeonstep.VMID("")
	for room := p.config.Policy(pool); room > 0; room = p.config.Policy(pool) {
		i := next(fleet, pool, ready)
		if i < 0 {
			break
		}
		vm := ready[i]
		ready = append(ready[:i], ready[i+1:]...)
		if fleet.Owns(vm) {
			plan.AddTransition(vm.ID, vm.Epoch, wigeonwire.Phase_PHASE_DRAINING, "", wave.ID, wigeonpool.Reason{
				Cause:   "maintenance wave " + string(wave.ID),
				Rule:    "as many drains as the disruption budget allows, less the reserve for failures during one drain",
				Figures: pool.BudgetFigures(),
			})
		} else if foreign == "" {
			foreign = vm.ID
		}
		pool.AddPlanned(vm)
	}
	if foreign == "" {
		delete(p.waiting, pool.Name)
	} else if p.waiting[pool.Name].vm != foreign {
		p.waiting[pool.Name] = awaited{vm: foreign, since: fleet.Now}
	}
}

// withoutIdleCentres leaves only own VMs when the drain due in another data centre was not proposed in time.
func (p *Planner) withoutIdleCentres(fleet *wigeonpool.Fleet, pool *wigeonpool.Pool, ready []*wigeonstate.VM) []*wigeonstate.VM {
	w, waits := p.waiting[pool.Name]
	if !waits || fleet.Now.Sub(w.since) < foreignPatience {
		return ready
	}
	var own []*wigeonstate.VM
	late := false
	for _, vm := range ready {
		if fleet.Owns(vm) {
			own = append(own, vm)
		}
		late = late || vm.ID == w.vm
	}
	if !late {
		delete(p.waiting, pool.Name)
		return ready
	}
	return own
}

// next returns the index of the VM to drain next, or -1. It spreads drains over data centres and racks, and takes the VM
// that was maintained longest ago first.
func next(fleet *wigeonpool.Fleet, pool *wigeonpool.Pool, ready []*wigeonstate.VM) int {
	best := -1
	var bestKey [2]int
	for i, vm := range ready {
		rack := pool.RackCount(wigeonpool.RackOf(vm))
		if pool.MaxPerRack > 0 && rack.Unavailable >= pool.MaxPerRack {
			continue
		}
		key := [2]int{pool.DataCentreCount(vm.DataCentre).Unavailable, rack.Unavailable}
		if best < 0 || before(key, bestKey, vm, ready[best]) {
			best, bestKey = i, key
		}
	}
	return best
}

func before(a, b [2]int, x, y *wigeonstate.VM) bool {
	switch {
	case a[0] != b[0]:
		return a[0] < b[0]
	case a[1] != b[1]:
		return a[1] < b[1]
	case !x.LastMaintained.Equal(y.LastMaintained):
		return x.LastMaintained.Before(y.LastMaintained)
	case !x.PhaseSince.Equal(y.PhaseSince):
		return x.PhaseSince.Before(y.PhaseSince)
	}
	return x.ID < y.ID
}
