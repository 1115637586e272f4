package wigeonpool

import (
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// DefaultMaxDrain is how long a VM of a pool without a document may drain.
const DefaultMaxDrain = 300 * time.Second

// Pool is one pool in one planning round: what its documents ask for, and which of its VMs are available.
type Pool struct {
	Name wigeonstep.PoolName
	// VMs are sorted by id.
	VMs []*wigeonstate.VM
	// Services are the documents of the pool, sorted by service.
	Services []*wigeonstate.Service
	// Workers is the sum of the workers that the documents ask for.
	Workers int
	// Shape is the smallest shape that every service of the pool accepts.
	Shape wigeonstep.Shape
	// MaxUnavailable is the strictest bound of the documents.
	MaxUnavailable int
	// MaxPerRack is the strictest bound of the documents on planned losses in one rack; zero means none.
	MaxPerRack int
	// Survive is the largest failure domain that a document names.
	Survive wigeondocument.FailureDomain
	// MaxDrain is the longest drain that a document allows.
	MaxDrain time.Duration
	// Checkpoint is set when every document allows a checkpoint.
	Checkpoint bool
	// BufferWeight and MovesWeight are the sums over the documents, at least 1.
	BufferWeight, MovesWeight int

	// Available counts the VMs that can take work and fit Shape.
	Available int
	// Planned counts VMs that are out of service for maintenance or a move, Unplanned all other unavailable ones.
	Planned, Unplanned int
	// Out holds the VMs that the fold has out of service, sorted by id.
	Out []*wigeonstate.VM

	domains *domains
	// reserve is kept until the next change of the counts.
	reserve      int
	reserveKnown bool
	// listed and available stand beside VMs, so that a round looks each VM up in the VM list once.
	listed    []*wigeonstep.ListedVM
	available []bool
	// first is the first data centre by name that has VMs of the pool and an open control session; any for an empty pool.
	first wigeonstep.DataCentreName
}

// AvailableAt reports whether VMs[i] can take work.
func (p *Pool) AvailableAt(i int) bool { return p.available[i] }

// Rack identifies a rack across data centres.
type Rack struct {
	DataCentre wigeonstep.DataCentreName
	Rack       wigeonstep.RackName
}

// RackOf returns the rack of the VM.
func RackOf(vm *wigeonstate.VM) Rack { return Rack{DataCentre: vm.DataCentre, Rack: vm.Rack} }

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

func (p *Pool) count(f *Fleet) {
	if len(p.Services) == 0 {
		p.MaxDrain, p.BufferWeight, p.MovesWeight = DefaultMaxDrain, 1, 1
		// A pool without a document promises nothing, but three quarters of the spare pool stay ready for repair.
		p.MaxUnavailable = max(1, len(p.VMs)/4)
	}
	if len(p.VMs) == 0 {
		for name, z := range f.centres {
			if z.control && (p.first == "" || name < p.first) {
				p.first = name
			}
		}
	}
	p.available = make([]bool, len(p.VMs))
	z, name := (*centre)(nil), wigeonstep.DataCentreName("")
	for i, vm := range p.VMs {
		if z == nil || vm.DataCentre != name {
			name = vm.DataCentre
			z = f.centre(name)
			if z.control && (p.first == "" || name < p.first) {
				p.first = name
			}
		}
		down := f.Seen.Listing != nil && f.down(vm, p.listed[i], z)
		p.available[i] = vm.InService() && z.control && !down
		p.countOne(f, vm, p.available[i], down)
	}
}

func (p *Pool) countOne(f *Fleet, vm *wigeonstate.VM, available, down bool) {
	own := f.Own(vm)
	switch {
	case vm.Phase != wigeonwire.Phase_PHASE_IN_SERVICE:
		p.Out = append(p.Out, vm)
	case vm.Leaving && own:
		f.leaving = append(f.leaving, vm)
	}
	if down && own {
		f.broken = append(f.broken, vm)
	}
	switch {
	case available && vm.Shape.Fits(p.Shape):
		p.Available++
	case available:
	case PlannedLoss(vm):
		p.Planned++
	default:
		p.Unplanned++
	}
}

// PlannedLoss reports whether the VM is out of service for maintenance or a move.
func PlannedLoss(vm *wigeonstate.VM) bool {
	switch vm.Phase {
	case wigeonwire.Phase_PHASE_DRAINING, wigeonwire.Phase_PHASE_DRAINED, wigeonwire.Phase_PHASE_REBOOTING:
		return !vm.Leaving
	case wigeonwire.Phase_PHASE_VERIFYING:
		// Without a wave the VM is on its way back from a failure.
		return vm.Wave != "" && !vm.Leaving
	}
	return false
}

// InTransit reports whether the VM drains or is drained for a move.
func InTransit(vm *wigeonstate.VM) bool {
	return vm.Wave == "" && !vm.Leaving && (vm.Phase == wigeonwire.Phase_PHASE_DRAINING || vm.Phase == wigeonwire.Phase_PHASE_DRAINED)
}

func largestShape(a, b wigeonstep.Shape) wigeonstep.Shape {
	return wigeonstep.Shape{
		Cores:        max(a.Cores, b.Cores),
		MemoryGB:     max(a.MemoryGB, b.MemoryGB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

func domainSize(d wigeondocument.FailureDomain) int {
	switch d {
	case wigeondocument.DomainRack:
		return 1
	case wigeondocument.DomainDataCentre:
		return 2
	}
	return 0
}
