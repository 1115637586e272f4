package wigeonpool

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// reportEvery is how often a shortage that no VM can fill is recorded again.
const reportEvery = 10 * time.Minute

// moves is the state of one round of moving VMs. Every planner computes the moves of all data centres from the same state
// and proposes those of its own, so that two planners do not fill one shortage twice.
type moves struct {
	plan    *Plan
	fleet   *Fleet
	demands []*demand
	// transit holds VMs that drain or are drained for a move; the fold does not say where to, so each round decides anew.
	transit []*wigeonstate.VM
	spares  []*wigeonstate.VM
	chosen  map[wigeonstep.VMID]bool
}

func (p *Planner) move(plan *Plan, fleet *Fleet) {
	p.watchDataCentres(fleet)
	m := &moves{plan: plan, fleet: fleet, chosen: map[wigeonstep.VMID]bool{}}
	for _, pool := range fleet.Pools {
		if len(pool.Services) > 0 {
			m.demands = append(m.demands, p.assess(fleet, pool))
		}
		m.collect(pool)
	}
	m.settleTransit()
	m.fill(p)
	m.release(p)
}

func (m *moves) collect(pool *Pool) {
	for _, vm := range pool.Out {
		// While the platform is silent, nothing shows whether the VM works, and no VM changes its pool.
		if InTransit(vm) && m.fleet.HasControl(vm.DataCentre) && m.trusted(vm) {
			m.transit = append(m.transit, vm)
		}
	}
	if pool.Name != wigeonstep.SparePool {
		return
	}
	for _, vm := range pool.VMs {
		if m.fleet.Available(vm) && m.trusted(vm) {
			m.spares = append(m.spares, vm)
		}
	}
}

func (m *moves) trusted(vm *wigeonstate.VM) bool {
	trusted, _ := m.fleet.ListTrusted(vm.DataCentre)
	return trusted
}

// neediest returns the pool that lacks most by urgency and by share of what it wants, or nil. due leaves out shortages
// that have not lasted long enough.
func (m *moves) neediest(due bool) *demand {
	var worst *demand
	for _, d := range m.demands {
		if d.missing < 1 || (due && !d.due) {
			continue
		}
		if worst == nil || worse(d, worst) {
			worst = d
		}
	}
	return worst
}

func worse(a, b *demand) bool {
	if a.urgent != b.urgent {
		return a.urgent
	}
	if a.due != b.due {
		return a.due
	}
	x, y := a.missing*max(1, b.wanted), b.missing*max(1, a.wanted)
	if x != y {
		return x > y
	}
	return a.pool.Name < b.pool.Name
}

// settleTransit decides where each VM in transit goes: to the neediest pool that it fits, otherwise to the spare pool.
func (m *moves) settleTransit() {
	left := slices.DeleteFunc(slices.Clone(m.transit), m.fleet.Down)
	var unfilled []*demand
	for d := m.neediest(false); d != nil && len(left) > 0; d = m.neediest(false) {
		i := bestFit(m.fleet, d.pool, left)
		if i < 0 {
			unfilled = append(unfilled, d)
			d.missing = -d.missing
			continue
		}
		vm := left[i]
		left = slices.Delete(left, i, i+1)
		d.missing--
		m.chosen[vm.ID] = true
		d.pool.Expect(vm)
		m.assign(vm, d.pool.Name, Reason{
			Cause: "pool " + string(d.pool.Name) + " is short", Rule: "smallest VM that satisfies the shape, from the failure domain least used by the pool", Figures: d.figures(),
		})
	}
	for _, d := range unfilled {
		d.missing = -d.missing
	}
	for _, vm := range m.transit {
		if !m.chosen[vm.ID] {
			m.assign(vm, wigeonstep.SparePool, Reason{
				Cause: "no pool is short of a VM of this shape", Rule: "a VM that no pool needs goes to the spare pool", Figures: fmt.Sprintf("from=%s down=%t", vm.Pool, m.fleet.Down(vm)),
			})
		}
	}
}

// assign proposes the new pool of a drained VM of this data centre. The platform must know the VM as draining before,
// since it hands over only such VMs.
func (m *moves) assign(vm *wigeonstate.VM, pool wigeonstep.PoolName, reason Reason) {
	if vm.Phase != wigeonwire.Phase_PHASE_DRAINED || !m.fleet.Own(vm) {
		return
	}
	drain := Action{Kind: ActionDrain, VM: vm.ID, Epoch: vm.Epoch}
	if !m.fleet.Confirmed(drain) {
		m.plan.Act(m.fleet, drain)
		return
	}
	m.plan.Transition(vm.ID, vm.Epoch, wigeonwire.Phase_PHASE_IN_SERVICE, pool, "", reason)
}

// fill starts the drains that fill the shortages that are due.
func (m *moves) fill(p *Planner) {
	for d := m.neediest(true); d != nil; d = m.neediest(true) {
		vm, donor := m.donate(d)
		if vm == nil {
			p.report(m, d)
			d.missing = 0
			continue
		}
		d.missing--
		if donor != nil {
			donor.spare--
		}
		d.pool.Expect(vm)
		m.start(vm, "pool "+string(d.pool.Name)+" is short", "a shortage that lasts is filled from the spare pool, then from pools with a surplus", d.figures())
	}
}

// donate chooses the VM for the pool: from the spare pool, otherwise from a pool with a surplus. Load alone never takes
// the last spare VM that fits, which is kept for repair.
func (m *moves) donate(d *demand) (*wigeonstate.VM, *demand) {
	if i := bestFit(m.fleet, d.pool, m.spares); i >= 0 && (d.present < d.target || fitting(d.pool, m.spares) > 1) {
		vm := m.spares[i]
		m.spares = slices.Delete(m.spares, i, i+1)
		return vm, nil
	}
	for _, donor := range m.demands {
		if donor == d || donor.spare < 1 || donor.missing > 0 {
			continue
		}
		var free []*wigeonstate.VM
		for _, vm := range donor.pool.VMs {
			if ok, _ := donor.pool.CanDrain(m.fleet, vm); ok && !m.chosen[vm.ID] && m.fleet.Available(vm) && m.trusted(vm) {
				free = append(free, vm)
			}
		}
		if i := bestFit(m.fleet, d.pool, free); i >= 0 {
			return free[i], donor
		}
	}
	return nil, nil
}

func (m *moves) start(vm *wigeonstate.VM, cause, rule, figures string) {
	m.chosen[vm.ID] = true
	if m.fleet.Own(vm) {
		m.plan.Transition(vm.ID, vm.Epoch, wigeonwire.Phase_PHASE_DRAINING, "", "", Reason{Cause: cause, Rule: rule, Figures: figures})
	}
	m.fleet.Pool(vm.Pool).Take(vm)
}

// release returns one VM of each pool whose surplus has lasted to the spare pool.
func (m *moves) release(p *Planner) {
	for _, d := range m.demands {
		if !d.release || (d.spare < 1 && d.unfit < 1) {
			continue
		}
		vm := m.leastUseful(d)
		if vm == nil {
			continue
		}
		p.pools[d.pool.Name].surplus = m.fleet.Now
		m.start(vm, "pool "+string(d.pool.Name)+" has a surplus", "a surplus that lasts ten times as long as a shortage may returns to the spare pool", d.figures())
	}
}

// leastUseful returns the VM of the pool that is best given up: one that does not fit, otherwise one from the most used
// failure domain, the largest first.
func (m *moves) leastUseful(d *demand) *wigeonstate.VM {
	var free []*wigeonstate.VM
	for _, vm := range d.pool.VMs {
		fits := vm.Shape.Fits(d.pool.Shape)
		if m.chosen[vm.ID] || !m.fleet.Available(vm) || !m.trusted(vm) || (fits && d.spare < 1) {
			continue
		}
		if ok, _ := d.pool.CanDrain(m.fleet, vm); ok {
			free = append(free, vm)
		}
	}
	if len(free) == 0 {
		return nil
	}
	return slices.MinFunc(free, func(a, b *wigeonstate.VM) int {
		return cmp.Or(
			compareBool(a.Shape.Fits(d.pool.Shape), b.Shape.Fits(d.pool.Shape)),
			cmp.Compare(d.pool.DataCentreCount(b.DataCentre).Available, d.pool.DataCentreCount(a.DataCentre).Available),
			cmp.Compare(d.pool.RackCount(RackOf(b)).Available, d.pool.RackCount(RackOf(a)).Available),
			compareShapes(b.Shape, a.Shape),
			cmp.Compare(a.ID, b.ID),
		)
	})
}

// report records a shortage that no VM can fill, at most every reportEvery.
func (p *Planner) report(m *moves, d *demand) {
	h := p.pools[d.pool.Name]
	if !m.fleet.Leads(d.pool) || (!h.reported.IsZero() && m.fleet.Now.Sub(h.reported) < reportEvery) {
		return
	}
	h.reported = m.fleet.Now
	m.plan.Decide("pool", string(d.pool.Name), "stay short", Reason{
		Cause: "no spare VM and no VM of a pool with a surplus satisfies the shape", Rule: "a pool takes VMs only where no other pool becomes short",
		Figures: fmt.Sprintf("%s missing=%d cores=%d memory_gb=%d accelerators=%d", d.figures(), d.missing, d.pool.Shape.Cores, d.pool.Shape.MemoryGB, d.pool.Shape.Accelerators),
	})
}
