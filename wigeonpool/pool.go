package wigeonpool

import (
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// DefaultMaxDrain is the time limit of a drain in a pool without a document.
const DefaultMaxDrain = 300 * time.Second

// Pool is a pool in one planning round: the sums and bounds of its documents, and the counts of its VMs.
type Pool struct {
	Name wigeonstep.PoolName
	// VMs are sorted by id.
	VMs []*wigeonstate.VM
	// Services are the documents of the pool, sorted by service.
	Services []*wigeonstate.Service
	// Workers is the sum of the workers that the documents ask for.
	Workers int
	// Shape is the smallest shape that satisfies every document.
	Shape wigeonstep.Shape
	// MaxUnavailable is the disruption budget, the lowest bound of the documents on unavailable VMs.
	MaxUnavailable int
	// MaxPerRack is the lowest bound of the documents on unavailable VMs in one rack; no VM of the rack starts to drain
	// at the bound. Zero means no bound.
	MaxPerRack int
	// Survive is the largest failure domain whose loss a document asks to survive.
	Survive wigeondocument.FailureDomain
	// MaxDrain is the time limit of a drain, the longest of the documents.
	MaxDrain time.Duration
	// Checkpoint is set when every document allows tasks to be checkpointed and stopped.
	Checkpoint bool
	// BufferWeight and MovesWeight are the sums over the documents, at least 1.
	BufferWeight, MovesWeight int

	// Available counts the VMs that can take work and satisfy Shape.
	Available int
	// Planned counts the VMs that are out of service for maintenance or a move, Unplanned all other unavailable VMs.
	Planned, Unplanned int
	// OutOfService holds the VMs that are out of service by the folded state, sorted by id.
	OutOfService []*wigeonstate.VM

	domains *domains
	// reserve caches the result of Reserve while reserveValid is set.
	reserve      int
	reserveValid bool
	// listed and available hold the VM list's record and the availability of VMs[i], so that a round looks up each VM
	// once.
	listed    []*wigeonstep.ListedVM
	available []bool
	// leader is the first data centre by name with an open control session and VMs of the pool; for an empty pool, the
	// first one with an open control session.
	leader wigeonstep.DataCentreName
}

// AvailableAt reports whether VMs[i] can take work.
func (p *Pool) AvailableAt(i int) bool { return p.available[i] }

// Rack identifies a rack in the whole fleet; its name is unique only within the data centre.
type Rack struct {
	DataCentre wigeonstep.DataCentreName
	Rack       wigeonstep.RackName
}

// RackOf returns the rack of the VM.
func RackOf(vm *wigeonstate.VM) Rack { return Rack{DataCentre: vm.DataCentre, Rack: vm.Rack} }

// addService adds the document of a service to the sums and bounds of the pool.
func (p *Pool) addService(s *wigeonstate.Service) {
	d := s.Document
	first := len(p.Services) == 0
	p.Services = append(p.Services, s)
	p.Workers += d.Capacity.Workers
	p.Shape = largestShape(p.Shape, d.Capacity.Shape())
	if first || d.Availability.MaxUnavailableWorkers < p.MaxUnavailable {
		p.MaxUnavailable = d.Availability.MaxUnavailableWorkers
	}
	if n := d.Availability.MaxUnavailablePerRack; n > 0 && (p.MaxPerRack == 0 || n < p.MaxPerRack) {
		p.MaxPerRack = n
	}
	if domainSize(d.Availability.Survive) > domainSize(p.Survive) {
		p.Survive = d.Availability.Survive
	}
	p.MaxDrain = max(p.MaxDrain, d.Maintenance.MaxDrain())
	p.Checkpoint = d.Maintenance.Checkpoint && (first || p.Checkpoint)
	p.BufferWeight += max(1, d.Objective.BufferWeight)
	p.MovesWeight += max(1, d.Objective.MovesWeight)
}

// countVMs counts the VMs of the pool and determines its leader.
func (p *Pool) countVMs(f *Fleet) {
	if len(p.Services) == 0 {
		p.MaxDrain, p.BufferWeight, p.MovesWeight = DefaultMaxDrain, 1, 1
		// No document bounds the unavailable VMs. A quarter is allowed, so that three quarters of the spare pool stay
		// available for repair.
		p.MaxUnavailable = max(1, len(p.VMs)/4)
	}
	if len(p.VMs) == 0 {
		for name, dc := range f.dataCentres {
			if dc.hasControl && (p.leader == "" || name < p.leader) {
				p.leader = name
			}
		}
	}
	p.available = make([]bool, len(p.VMs))
	// dc is that of the previous VM, which saves a map look-up while consecutive VMs are in the same data centre.
	dc, name := (*dataCentreState)(nil), wigeonstep.DataCentreName("")
	for i, vm := range p.VMs {
		if dc == nil || vm.DataCentre != name {
			name = vm.DataCentre
			dc = f.dataCentre(name)
			if dc.hasControl && (p.leader == "" || name < p.leader) {
				p.leader = name
			}
		}
		down := f.Observed.Listing != nil && f.isDown(vm, p.listed[i], dc)
		p.available[i] = vm.InService() && dc.hasControl && !down
		p.countVM(f, vm, p.available[i], down)
	}
}

// countVM adds one VM to the counts of the pool, and to the fleet's lists of down and leaving VMs if they apply.
func (p *Pool) countVM(f *Fleet, vm *wigeonstate.VM, available, down bool) {
	own := f.Owns(vm)
	switch {
	case vm.Phase != wigeonwire.Phase_PHASE_IN_SERVICE:
		p.OutOfService = append(p.OutOfService, vm)
	case vm.Leaving && own:
		f.leaving = append(f.leaving, vm)
	}
	if down && own {
		f.down = append(f.down, vm)
	}
	switch {
	case available && vm.Shape.Fits(p.Shape):
		p.Available++
	case available:
	case IsPlanned(vm):
		p.Planned++
	default:
		p.Unplanned++
	}
}

// IsPlanned reports whether the VM is out of service for maintenance or a move.
func IsPlanned(vm *wigeonstate.VM) bool {
	switch vm.Phase {
	case wigeonwire.Phase_PHASE_DRAINING, wigeonwire.Phase_PHASE_DRAINED, wigeonwire.Phase_PHASE_REBOOTING:
		return !vm.Leaving
	case wigeonwire.Phase_PHASE_VERIFYING:
		// Without a wave the VM is verified after a failure.
		return vm.Wave != "" && !vm.Leaving
	}
	return false
}

// InTransit reports whether the VM drains or is drained for a move.
func InTransit(vm *wigeonstate.VM) bool {
	return vm.Wave == "" && !vm.Leaving && (vm.Phase == wigeonwire.Phase_PHASE_DRAINING || vm.Phase == wigeonwire.Phase_PHASE_DRAINED)
}

// largestShape returns the smallest shape that satisfies both.
func largestShape(a, b wigeonstep.Shape) wigeonstep.Shape {
	return wigeonstep.Shape{
		Cores:        max(a.Cores, b.Cores),
		MemoryGB:     max(a.MemoryGB, b.MemoryGB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// domainSize returns the rank of a failure domain by its size; 0 for none.
func domainSize(d wigeondocument.FailureDomain) int {
	switch d {
	case wigeondocument.DomainRack:
		return 1
	case wigeondocument.DomainDataCentre:
		return 2
	}
	return 0
}
