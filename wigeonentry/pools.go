package wigeonentry

import (
	"maps"
	"slices"
	"strings"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
)

// poolOf returns the pool of a route. A pool that no view has shown yet is created empty.
func (p *Process) poolOf(name wigeonstep.PoolName) *pool {
	if pl := (*p.pools.Load())[name]; pl != nil {
		return pl
	}
	p.applyMu.Lock()
	defer p.applyMu.Unlock()
	return p.addPool(name)
}

// addPool returns the pool, new when there is none. The caller holds applyMu.
func (p *Process) addPool(name wigeonstep.PoolName) *pool {
	current := *p.pools.Load()
	if pl := current[name]; pl != nil {
		return pl
	}
	pl := newPool(name, &p.config)
	next := maps.Clone(current)
	next[name] = pl
	p.pools.Store(&next)
	return pl
}

// apply brings every pool to the newest view.
func (p *Process) apply() *wigeonstate.View {
	p.applyMu.Lock()
	defer p.applyMu.Unlock()
	view := p.config.Follower.View()
	// The fold stops waiting for a session of another data centre once it expired, and a session whose appends fail expires
	// although its view is fresh. So the view's age alone does not end the use of remote VMs in time; the lease does.
	localOnly := p.config.Follower.ConfirmedAge() >= p.config.RemoteMaxAge || !p.config.Follower.LeaseValid()
	if view == p.applied && localOnly == p.localOnly {
		return view
	}
	if p.localOnly != localOnly {
		p.logLocalOnly(localOnly)
	}
	p.applied, p.localOnly = view, localOnly
	p.once.Observe(view)
	documents := map[wigeonstep.PoolName][]*wigeondocument.Document{}
	for _, service := range view.Services {
		d := service.Document
		documents[d.Pool] = append(documents[d.Pool], d)
	}
	for _, list := range documents {
		slices.SortFunc(list, func(a, b *wigeondocument.Document) int { return strings.Compare(string(a.Service), string(b.Service)) })
	}
	for name := range documents {
		p.addPool(name)
	}
	changed := false
	for name, pl := range *p.pools.Load() {
		changed = pl.apply(view.Pools[name], documents[name], localOnly, p.config.DataCentre) || changed
	}
	// Renewals change the view many times a second; the split changes with the reports, the servers and the set of processes only.
	sharers := []wigeonstep.SessionID{p.config.Follower.Session()}
	for _, s := range p.trafficPeers(view) {
		sharers = append(sharers, s.ID)
	}
	if changed || !slices.Equal(sharers, p.sharers) {
		p.sharers = sharers
		p.resplit(view, false)
	}
	return view
}

// BusyVMs returns the VMs that are out of service and on which requests of this process are in flight.
// It first applies the newest view, so no request picked later goes to a VM that the view has out of service.
func (p *Process) BusyVMs() []wigeonstep.VMID {
	view := p.apply()
	var out []*wigeonstate.VM
	for _, vm := range view.VMs {
		if !vm.InService() {
			out = append(out, vm)
		}
	}
	if len(out) == 0 {
		return nil
	}
	var busy []wigeonstep.VMID
	pools := *p.pools.Load()
	for _, vm := range out {
		for _, pl := range pools {
			pl.mu.Lock()
			n := pl.picker.InFlight(vm.ID)
			pl.mu.Unlock()
			if n > 0 {
				busy = append(busy, vm.ID)
				break
			}
		}
	}
	slices.Sort(busy)
	return busy
}
