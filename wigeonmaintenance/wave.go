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

// foreignDrainTimeout is the time that the planner of another data centre has to propose the drain that is due there.
// After that time this planner drains VMs of its own data centre instead; the fold still checks every drain against the
// budget.
const foreignDrainTimeout = 30 * time.Second

// maxRetryDelay bounds the delay before the next attempt to drain a VM that returned to service from a drain. Below the
// bound the delay equals the pool's time limit of a drain, which may be a week.
const maxRetryDelay = time.Hour

// stableTime is the time for which the phases of a pool's VMs must not have changed before a wave starts. At
// a start of the fleet, the first wave thus waits until no more VMs of the pool are newly observed.
const stableTime = 30 * time.Second

// documentWait is the time for which a VM of a pool without a document must not have changed its phase before it drains,
// since the document may not have arrived yet.
const documentWait = 5 * time.Minute

// wavePeriod returns the id of the pool's wave for the period that contains the given time, and the start of the
// period. The id depends only on the pool and the time, so that all planners propose the same wave. The periods of
// pools start at different times, so that waves spread over the period.
func (p *Planner) wavePeriod(pool wigeonstep.PoolName, at time.Time) (wigeonstep.WaveID, time.Time) {
	period := p.config.Period.Milliseconds()
	shift := int64(xxhash.Sum64String(string(pool)) % uint64(period))
	number := (at.UnixMilli() + shift) / period
	return wigeonstep.WaveID(fmt.Sprintf("%s-%d", pool, number)), time.UnixMilli(number*period - shift)
}

// startWave proposes the wave that is due in the pool. If the pool has already had its wave in this period, VMs that
// were moved to the pool later and are overdue get an extra wave, at most one a day.
func (p *Planner) startWave(plan *wigeonpool.Plan, fleet *wigeonpool.Fleet, pool *wigeonpool.Pool) {
	if !fleet.Leads(pool) {
		return
	}
	now := fleet.View.FoldTime
	id, periodStart := p.wavePeriod(pool.Name, now)
	due, overdue, done := false, false, false
	for i, vm := range pool.VMs {
		if now.Sub(vm.PhaseSince) < stableTime {
			return
		}
		done = done || isWaveOfPeriod(vm.LastWave, id)
		due = due || (pool.AvailableAt(i) && vm.LastMaintained.Before(periodStart))
		overdue = overdue || (pool.AvailableAt(i) && p.overdue(vm, now))
	}
	switch {
	case done && overdue:
		id = wigeonstep.WaveID(fmt.Sprintf("%s%s%d", id, extraWaveMark, int(now.Sub(periodStart)/(24*time.Hour))))
	case done || !due:
		return
	}
	plan.Entries = append(plan.Entries, &wigeonwire.Entry{Body: &wigeonwire.Entry_WaveStart{
		WaveStart: &wigeonwire.WaveStart{Wave: string(id), Pool: string(pool.Name)},
	}})
}

// extraWaveMark separates the id of a period's wave from the day number in the id of an extra wave. Pool names do not
// contain it.
const extraWaveMark = "+"

// isWaveOfPeriod reports whether wave is the regular wave of a period, which has the given id, or an extra wave of that
// period.
func isWaveOfPeriod(wave, id wigeonstep.WaveID) bool {
	suffix, found := strings.CutPrefix(string(wave), string(id))
	return found && (suffix == "" || strings.HasPrefix(suffix, extraWaveMark))
}

// overdue reports whether the VM was last maintained more than one period ago; false when it never was.
func (p *Planner) overdue(vm *wigeonstate.VM, at time.Time) bool {
	return !vm.LastMaintained.IsZero() && at.Sub(vm.LastMaintained) > p.config.Period
}

// covers reports whether the wave still has to maintain the VM. A regular wave maintains every VM of the pool, an extra
// wave those that were overdue at its start. Neither maintains VMs that the platform removes.
func (p *Planner) covers(wave *wigeonstate.Wave, vm *wigeonstate.VM) bool {
	if vm.LastWave == wave.ID || vm.Leaving {
		return false
	}
	return !strings.Contains(string(wave.ID), extraWaveMark) || p.overdue(vm, wave.StartedAt)
}

// continueWave proposes the drains that the policy allows now, or the end of the wave when no VM remains to be
// maintained. Failed VMs do not keep a wave open.
func (p *Planner) continueWave(plan *wigeonpool.Plan, fleet *wigeonpool.Fleet, pool *wigeonpool.Pool, wave *wigeonstate.Wave) {
	remaining, failed := 0, 0
	room := p.config.Policy(pool) > 0
	var candidates []*wigeonstate.VM
	for i, vm := range pool.VMs {
		switch {
		case !p.covers(wave, vm):
		case vm.Phase == wigeonwire.Phase_PHASE_FAILED:
			failed++
		default:
			remaining++
			if room && pool.AvailableAt(i) && p.drainable(fleet, pool, vm) {
				candidates = append(candidates, vm)
			}
		}
	}
	if remaining > 0 {
		if room {
			p.proposeDrains(plan, fleet, pool, wave, candidates)
		}
		p.recordPause(plan, fleet, pool, wave, !room && pool.Planned == 0)
		return
	}
	delete(p.paused, wave.ID)
	if fleet.Leads(pool) {
		plan.Entries = append(plan.Entries, &wigeonwire.Entry{Body: &wigeonwire.Entry_WaveEnd{WaveEnd: &wigeonwire.WaveEnd{
			Wave: string(wave.ID), Reason: fmt.Sprintf("done=%d failed=%d total=%d", wave.DoneVMs, failed, wave.TotalVMs),
		}}})
	}
}

// recordPause notes that a wave is paused, because failures leave no room for a drain, or has resumed. The daemon that
// leads the pool also proposes a decision that records the change.
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

// drainable reports whether the VM may be chosen for a drain. A VM that returned to service from a drain is not chosen
// again for the pool's time limit of a drain, at most maxRetryDelay. A VM of a pool without a document is not chosen
// within documentWait of its last change of phase. No VM is chosen while the VM list is not trusted for its data
// centre.
func (p *Planner) drainable(fleet *wigeonpool.Fleet, pool *wigeonpool.Pool, vm *wigeonstate.VM) bool {
	if at, returned := p.returnedAt[vm.ID]; returned && fleet.Now.Sub(at) < min(pool.MaxDrain, maxRetryDelay) {
		return false
	}
	if len(pool.Services) == 0 && fleet.View.FoldTime.Sub(vm.PhaseSince) < documentWait {
		return false
	}
	trusted, _ := fleet.ListTrusted(vm.DataCentre)
	return trusted
}

// proposeDrains proposes the drains of VMs of this data centre that the policy allows. Every planner chooses among the
// VMs of all data centres and counts those that it chooses elsewhere, so that the planners together keep to the policy.
// The first chosen VM of another data centre is recorded as awaited.
func (p *Planner) proposeDrains(plan *wigeonpool.Plan, fleet *wigeonpool.Fleet, pool *wigeonpool.Pool, wave *wigeonstate.Wave, candidates []*wigeonstate.VM) {
	candidates = p.withoutLateDataCentres(fleet, pool, candidates)
	foreign := wigeonstep.VMID("")
	for room := p.config.Policy(pool); room > 0; room = p.config.Policy(pool) {
		i := nextCandidate(fleet, pool, candidates)
		if i < 0 {
			break
		}
		vm := candidates[i]
		candidates = append(candidates[:i], candidates[i+1:]...)
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
		delete(p.awaited, pool.Name)
	} else if p.awaited[pool.Name].vm != foreign {
		p.awaited[pool.Name] = awaitedDrain{vm: foreign, since: fleet.Now}
	}
}

// withoutLateDataCentres returns the candidates. If the awaited drain in another data centre has not been proposed
// within foreignDrainTimeout, it returns only those of this data centre.
func (p *Planner) withoutLateDataCentres(fleet *wigeonpool.Fleet, pool *wigeonpool.Pool, candidates []*wigeonstate.VM) []*wigeonstate.VM {
	drain, isAwaited := p.awaited[pool.Name]
	if !isAwaited || fleet.Now.Sub(drain.since) < foreignDrainTimeout {
		return candidates
	}
	var own []*wigeonstate.VM
	late := false
	for _, vm := range candidates {
		if fleet.Owns(vm) {
			own = append(own, vm)
		}
		late = late || vm.ID == drain.vm
	}
	if !late {
		delete(p.awaited, pool.Name)
		return candidates
	}
	return own
}

// nextCandidate returns the index of the candidate to drain next, or -1 when the racks of all candidates are at the
// bound of the pool on unavailable VMs in a rack. It spreads unavailable VMs over data centres and racks, and among
// equals chooses the VM that was maintained the longest time ago, then the one that has been in its phase for the
// longest time, which decides between VMs that were never maintained.
func nextCandidate(fleet *wigeonpool.Fleet, pool *wigeonpool.Pool, candidates []*wigeonstate.VM) int {
	best := -1
	var bestKey [2]int
	for i, vm := range candidates {
		rack := pool.RackCount(wigeonpool.RackOf(vm))
		if pool.MaxPerRack > 0 && rack.Unavailable >= pool.MaxPerRack {
			continue
		}
		key := [2]int{pool.DataCentreCount(vm.DataCentre).Unavailable, rack.Unavailable}
		if best < 0 || drainsBefore(key, bestKey, vm, candidates[best]) {
			best, bestKey = i, key
		}
	}
	return best
}

// drainsBefore reports whether VM x drains before VM y. a holds the numbers of unavailable VMs in the data centre and
// in the rack of x, b those of y. The order is total, so that all planners choose the same VM.
func drainsBefore(a, b [2]int, x, y *wigeonstate.VM) bool {
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
