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

// shortageReportInterval is the interval at which a shortage that no VM can fill is recorded again.
const shortageReportInterval = 10 * time.Minute

// moveRound is the state of planning the moves of one round. Every planner computes the moves of all data centres from
// the same folded state and proposes only those of its own data centre, so that two planners do not fill one shortage
// twice.
type moveRound struct {
	plan    *Plan
	fleet   *Fleet
	demands []*demand
	// inTransit holds the VMs that drain or are drained for a move. The folded state does not record their destination,
	// so each round decides it anew.
	inTransit []*wigeonstate.VM
	// spareVMs holds the available VMs of the spare pool.
	spareVMs []*wigeonstate.VM
	// chosen holds the VMs for which this round has planned a move.
	chosen map[wigeonstep.VMID]bool
}

// planMoves plans the moves between pools.
func (p *Planner) planMoves(plan *Plan, fleet *Fleet) {
	p.trackDataCentres(fleet)
	m := &moveRound{plan: plan, fleet: fleet, chosen: map[wigeonstep.VMID]bool{}}
	for _, pool := range fleet.Pools {
		if len(pool.Services) > 0 {
			m.demands = append(m.demands, p.assessDemand(fleet, pool))
		}
		m.collectCandidates(pool)
	}
	m.placeInTransit()
	m.fillShortages(p)
	m.releaseSurplus(p)
}

// collectCandidates adds the pool's VMs in transit, and the available VMs of the spare pool.
func (m *moveRound) collectCandidates(pool *Pool) {
	for _, vm := range pool.OutOfService {
		// Without a trusted VM list nothing shows whether the VM works, so it does not change its pool.
		if InTransit(vm) && m.fleet.HasControl(vm.DataCentre) && m.listTrusted(vm) {
			m.inTransit = append(m.inTransit, vm)
		}
	}
	if pool.Name != wigeonstep.SparePool {
		return
	}
	for _, vm := range pool.VMs {
		if m.fleet.Available(vm) && m.listTrusted(vm) {
			m.spareVMs = append(m.spareVMs, vm)
		}
	}
}

func (m *moveRound) listTrusted(vm *wigeonstate.VM) bool {
	trusted, _ := m.fleet.ListTrusted(vm.DataCentre)
	return trusted
}

// worstShortage returns the demand whose shortage is filled first by isWorse, or nil when no pool is short. With
// onlyDue it ignores shortages that have not lasted long enough to move a VM.
func (m *moveRound) worstShortage(onlyDue bool) *demand {
	var worst *demand
	for _, d := range m.demands {
		if d.missing < 1 || (onlyDue && !d.due) {
			continue
		}
		if worst == nil || isWorse(d, worst) {
			worst = d
		}
	}
	return worst
}

// isWorse reports whether the shortage of a is filled before that of b: urgent ones first, then due ones, then the one
// that is the larger share of the desired VMs.
func isWorse(a, b *demand) bool {
	if a.urgent != b.urgent {
		return a.urgent
	}
	if a.due != b.due {
		return a.due
	}
	x, y := a.missing*max(1, b.desired), b.missing*max(1, a.desired)
	if x != y {
		return x > y
	}
	return a.pool.Name < b.pool.Name
}

// placeInTransit chooses the pool of each VM in transit: for each shortage, the worst first, the best fitting VM, and
// the spare pool for the rest.
func (m *moveRound) placeInTransit() {
	unplaced := slices.DeleteFunc(slices.Clone(m.inTransit), m.fleet.Down)
	var unfilled []*demand
	for d := m.worstShortage(false); d != nil && len(unplaced) > 0; d = m.worstShortage(false) {
		i := bestFit(m.fleet, d.pool, unplaced)
		if i < 0 {
			// No unplaced VM satisfies the shape. A negative value hides the shortage from worstShortage for the rest of
			// the loop. It is restored below, since a VM of the spare pool or of a pool with a surplus may fill it.
			unfilled = append(unfilled, d)
			d.missing = -d.missing
			continue
		}
		vm := unplaced[i]
		unplaced = slices.Delete(unplaced, i, i+1)
		d.missing--
		m.chosen[vm.ID] = true
		d.pool.CountIncoming(vm)
		m.assignPool(vm, d.pool.Name, Reason{
			Cause: "pool " + string(d.pool.Name) + " is short", Rule: "smallest VM that satisfies the shape, from the failure domain least used by the pool", Figures: d.figures(),
		})
	}
	for _, d := range unfilled {
		d.missing = -d.missing
	}
	for _, vm := range m.inTransit {
		if !m.chosen[vm.ID] {
			m.assignPool(vm, wigeonstep.SparePool, Reason{
				Cause: "no pool is short of a VM of this shape", Rule: "a VM that no pool needs goes to the spare pool", Figures: fmt.Sprintf("from=%s down=%t", vm.Pool, m.fleet.Down(vm)),
			})
		}
	}
}

// assignPool proposes the new pool of a VM if the VM is drained and in this data centre. Before that, the platform must
// have confirmed the drain, since it reassigns only VMs that it knows as draining.
func (m *moveRound) assignPool(vm *wigeonstate.VM, pool wigeonstep.PoolName, reason Reason) {
	if vm.Phase != wigeonwire.Phase_PHASE_DRAINED || !m.fleet.Owns(vm) {
		return
	}
	drain := Action{Kind: ActionDrain, VM: vm.ID, Epoch: vm.Epoch}
	if !m.fleet.Confirmed(drain) {
		m.plan.AddAction(m.fleet, drain)
		return
	}
	m.plan.AddTransition(vm.ID, vm.Epoch, wigeonwire.Phase_PHASE_IN_SERVICE, pool, "", reason)
}

// fillShortages starts the drains of VMs that move to pools whose shortage is due.
func (m *moveRound) fillShortages(p *Planner) {
	for d := m.worstShortage(true); d != nil; d = m.worstShortage(true) {
		vm, donor := m.chooseVM(d)
		if vm == nil {
			p.reportShortage(m, d)
			d.missing = 0
			continue
		}
		d.missing--
		if donor != nil {
			donor.surplus--
		}
		d.pool.CountIncoming(vm)
		m.startDrain(vm, "pool "+string(d.pool.Name)+" is short", "a shortage that lasts is filled from the spare pool, then from pools with a surplus", d.figures())
	}
}

// chooseVM returns a VM that can move to the pool: one from the spare pool, or otherwise one from a pool with a
// surplus, whose demand is then the second result. A pool that is short by its load alone does not get the last spare
// VM that satisfies its shape, which is kept for repair. Both results are nil when no VM can move.
func (m *moveRound) chooseVM(d *demand) (*wigeonstate.VM, *demand) {
	if i := bestFit(m.fleet, d.pool, m.spareVMs); i >= 0 && (d.present < d.target || countFitting(d.pool, m.spareVMs) > 1) {
		vm := m.spareVMs[i]
		m.spareVMs = slices.Delete(m.spareVMs, i, i+1)
		return vm, nil
	}
	for _, donor := range m.demands {
		if donor == d || donor.surplus < 1 || donor.missing > 0 {
			continue
		}
		var free []*wigeonstate.VM
		for _, vm := range donor.pool.VMs {
			if ok, _ := donor.pool.CanDrain(m.fleet, vm); ok && !m.chosen[vm.ID] && m.fleet.Available(vm) && m.listTrusted(vm) {
				free = append(free, vm)
			}
		}
		if i := bestFit(m.fleet, d.pool, free); i >= 0 {
			return free[i], donor
		}
	}
	return nil, nil
}

// startDrain proposes the drain of a VM for a move when the VM is in this data centre, and counts the VM as unavailable.
func (m *moveRound) startDrain(vm *wigeonstate.VM, cause, rule, figures string) {
	m.chosen[vm.ID] = true
	if m.fleet.Owns(vm) {
		m.plan.AddTransition(vm.ID, vm.Epoch, wigeonwire.Phase_PHASE_DRAINING, "", "", Reason{Cause: cause, Rule: rule, Figures: figures})
	}
	m.fleet.Pool(vm.Pool).AddPlanned(vm)
}

// releaseSurplus starts the move of one VM to the spare pool for each pool whose surplus has lasted long enough.
func (m *moveRound) releaseSurplus(p *Planner) {
	for _, d := range m.demands {
		if !d.releaseDue || (d.surplus < 1 && d.tooSmall < 1) {
			continue
		}
		vm := m.vmToRelease(d)
		if vm == nil {
			continue
		}
		// The surplus must last as long again before the next VM is released.
		p.pools[d.pool.Name].surplusSince = m.fleet.Now
		m.startDrain(vm, "pool "+string(d.pool.Name)+" has a surplus", "a surplus that lasts ten times as long as a shortage may returns to the spare pool", d.figures())
	}
}

// vmToRelease returns the VM of the pool to release first: one that does not satisfy the shape, otherwise one from the
// data centre and rack with most available VMs of the pool, the largest first. It returns nil when no VM may be
// released.
func (m *moveRound) vmToRelease(d *demand) *wigeonstate.VM {
	var free []*wigeonstate.VM
	for _, vm := range d.pool.VMs {
		fits := vm.Shape.Fits(d.pool.Shape)
		if m.chosen[vm.ID] || !m.fleet.Available(vm) || !m.listTrusted(vm) || (fits && d.surplus < 1) {
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

// reportShortage records a shortage that no VM can fill, at most once every shortageReportInterval.
func (p *Planner) reportShortage(m *moveRound, d *demand) {
	h := p.pools[d.pool.Name]
	if !m.fleet.Leads(d.pool) || (!h.reportedAt.IsZero() && m.fleet.Now.Sub(h.reportedAt) < shortageReportInterval) {
		return
	}
	h.reportedAt = m.fleet.Now
	m.plan.AddDecision("pool", string(d.pool.Name), "stay short", Reason{
		Cause: "no spare VM and no VM of a pool with a surplus satisfies the shape", Rule: "a pool takes VMs only where no other pool becomes short",
		Figures: fmt.Sprintf("%s missing=%d cores=%d memory_gb=%d accelerators=%d", d.figures(), d.missing, d.pool.Shape.Cores, d.pool.Shape.MemoryGB, d.pool.Shape.Accelerators),
	})
}
