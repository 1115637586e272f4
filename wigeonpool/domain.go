package wigeonpool

import (
	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
)

// DomainCount counts a pool's VMs in one rack or data centre.
type DomainCount struct {
	// Available VMs take work and fit the pool.
	Available int
	// Lost VMs are unavailable, for whatever cause.
	Lost int
	// Total counts all VMs.
	Total int
}

// domains are the counts of one pool by failure domain. They are computed on first use, since most pools need none.
type domains struct {
	racks   map[Rack]*DomainCount
	centres map[wigeonstep.DataCentreName]*DomainCount
}

func (p *Pool) domainCounts() *domains {
	if p.domains != nil {
		return p.domains
	}
	d := &domains{racks: map[Rack]*DomainCount{}, centres: map[wigeonstep.DataCentreName]*DomainCount{}}
	for i, vm := range p.VMs {
		available := p.available[i]
		for _, c := range [2]*DomainCount{d.rack(RackOf(vm)), d.centre(vm.DataCentre)} {
			c.Total++
			if !available {
				c.Lost++
			} else if vm.Shape.Fits(p.Shape) {
				c.Available++
			}
		}
	}
	p.domains = d
	return d
}

// RackCount returns the counts of the VM's rack.
func (p *Pool) RackCount(rack Rack) DomainCount { return *p.domainCounts().rack(rack) }

// DataCentreCount returns the counts of a data centre.
func (p *Pool) DataCentreCount(dataCentre wigeonstep.DataCentreName) DomainCount {
	return *p.domainCounts().centre(dataCentre)
}

// largestLoss returns the most available VMs that the loss of one failure domain takes away. It looks at racks, and at
// data centres when a document asks to survive the loss of one. Domains with more than bound VMs are left out.
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
		for _, c := range p.domainCounts().centres {
			consider(c)
		}
	}
	return largest
}

// Expect counts a VM that is on its way to the pool, so that the placement of the next one spreads.
func (p *Pool) Expect(vm *wigeonstate.VM) {
	d := p.domainCounts()
	d.rack(RackOf(vm)).Total++
	d.centre(vm.DataCentre).Total++
}

// Take counts the VM as a planned loss for the rest of the round.
func (p *Pool) Take(vm *wigeonstate.VM) {
	d := p.domainCounts()
	fits := vm.Shape.Fits(p.Shape)
	for _, c := range [2]*DomainCount{d.rack(RackOf(vm)), d.centre(vm.DataCentre)} {
		c.Lost++
		if fits {
			c.Available--
		}
	}
	p.Planned++
	p.reserveKnown = false
	if fits {
		p.Available--
	}
}

// GiveBack counts a VM that drains as available for the rest of the round.
func (p *Pool) GiveBack(vm *wigeonstate.VM) {
	d := p.domainCounts()
	fits := vm.Shape.Fits(p.Shape)
	for _, c := range [2]*DomainCount{d.rack(RackOf(vm)), d.centre(vm.DataCentre)} {
		c.Lost--
		if fits {
			c.Available++
		}
	}
	p.Planned--
	p.reserveKnown = false
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

func (d *domains) centre(name wigeonstep.DataCentreName) *DomainCount {
	c := d.centres[name]
	if c == nil {
		c = &DomainCount{}
		d.centres[name] = c
	}
	return c
}
