package wigeonpool

import (
	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
)

// DomainCount counts a pool's VMs in one rack or data centre.
type DomainCount struct {
	// Available counts the VMs that can take work and satisfy the pool's shape.
	Available int
	// Unavailable counts the VMs that cannot take work, for whatever cause.
	Unavailable int
	// Total counts all VMs, including those that CountIncoming added.
	Total int
}

// domains holds the counts of one pool by failure domain. They are computed on first use, since most pools need none.
type domains struct {
	racks       map[Rack]*DomainCount
	dataCentres map[wigeonstep.DataCentreName]*DomainCount
}

// domainCounts returns the counts, which it computes on first use.
func (p *Pool) domainCounts() *domains {
	if p.domains != nil {
		return p.domains
	}
	d := &domains{racks: map[Rack]*DomainCount{}, dataCentres: map[wigeonstep.DataCentreName]*DomainCount{}}
	for i, vm := range p.VMs {
		available := p.available[i]
		for _, c := range [2]*DomainCount{d.rack(RackOf(vm)), d.dataCentre(vm.DataCentre)} {
			c.Total++
			if !available {
				c.Unavailable++
			} else if vm.Shape.Fits(p.Shape) {
				c.Available++
			}
		}
	}
	p.domains = d
	return d
}

// RackCount returns the counts of a rack.
func (p *Pool) RackCount(rack Rack) DomainCount { return *p.domainCounts().rack(rack) }

// DataCentreCount returns the counts of a data centre.
func (p *Pool) DataCentreCount(dataCentre wigeonstep.DataCentreName) DomainCount {
	return *p.domainCounts().dataCentre(dataCentre)
}

// largestLoss returns the number of available VMs in the failure domain that has most of them. The domains are racks
// and, when a document asks to survive the loss of a data centre, data centres. Domains with more than bound available
// VMs are left out.
func (p *Pool) largestLoss(bound int) int {
	largest := 0
	consider := func(c *DomainCount) {
		if c.Available <= bound {
			largest = max(largest, c.Available)
		}
	}
	for _, c := range p.domainCounts().racks {
		consider(c)
	}
	if p.Survive == wigeondocument.DomainDataCentre {
		for _, c := range p.domainCounts().dataCentres {
			consider(c)
		}
	}
	return largest
}

// CountIncoming counts a VM of another pool that moves to this one, so that the next placement spreads over other
// domains.
func (p *Pool) CountIncoming(vm *wigeonstate.VM) {
	d := p.domainCounts()
	d.rack(RackOf(vm)).Total++
	d.dataCentre(vm.DataCentre).Total++
}

// AddPlanned moves an available VM to the planned unavailable ones in the counts, for the rest of the round.
func (p *Pool) AddPlanned(vm *wigeonstate.VM) {
	d := p.domainCounts()
	fits := vm.Shape.Fits(p.Shape)
	for _, c := range [2]*DomainCount{d.rack(RackOf(vm)), d.dataCentre(vm.DataCentre)} {
		c.Unavailable++
		if fits {
			c.Available--
		}
	}
	p.Planned++
	p.reserveValid = false
	if fits {
		p.Available--
	}
}

// RemovePlanned moves a VM that returns to service from the planned unavailable ones to the available ones in the
// counts, for the rest of the round.
func (p *Pool) RemovePlanned(vm *wigeonstate.VM) {
	d := p.domainCounts()
	fits := vm.Shape.Fits(p.Shape)
	for _, c := range [2]*DomainCount{d.rack(RackOf(vm)), d.dataCentre(vm.DataCentre)} {
		c.Unavailable--
		if fits {
			c.Available++
		}
	}
	p.Planned--
	p.reserveValid = false
	if fits {
		p.Available++
	}
}

func (d *domains) rack(r Rack) *DomainCount {
	c := d.racks[r]
	if c == nil {
		c = &DomainCount{}
		d.racks[r] = c
	}
	return c
}

func (d *domains) dataCentre(name wigeonstep.DataCentreName) *DomainCount {
	c := d.dataCentres[name]
	if c == nil {
		c = &DomainCount{}
		d.dataCentres[name] = c
	}
	return c
}
