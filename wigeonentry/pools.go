package wigeonentry

import (
	"maps"
	"slices"
	"strings"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
)

// poolNamed returns the pool with the name. It creates an empty pool when no applied view has contained it.
func (p *Process) poolNamed(name wigeonstep.PoolName) *pool {
	if pl := (*p.pools.Load())[name]; pl != nil {
		return pl
	}
	p.applyMu.Lock()
	defer p.applyMu.Unlock()
	return p.getOrAddPool(name)
}

// getOrAddPool returns the pool with the name and creates it when missing. The caller holds applyMu.
func (p *Process) getOrAddPool(name wigeonstep.PoolName) *pool {
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

// applyView updates every pool from the newest view and returns that view.
func (p *Process) applyView() *wigeonstate.View {
	p.applyMu.Lock()
	defer p.applyMu.Unlock()
	view := p.config.Follower.View()
	// A drain does not wait for an expired session of another data centre, and a session whose appends fail expires even
	// though its view is fresh. The age of the view alone would therefore not end the use of remote VMs in time, so the
	// lease is checked, too.
	localOnly := p.config.Follower.ConfirmedAge() >= p.config.RemoteMaxAge || !p.config.Follower.LeaseValid()
	if view == p.appliedView && localOnly == p.localOnly {
		return view
	}
	if p.localOnly != localOnly {
		p.logLocalOnly(localOnly)
	}
	p.appliedView, p.localOnly = view, localOnly
	p.keyTable.ObserveView(view)
	documents := map[wigeonstep.PoolName][]*wigeondocument.Document{}
	for _, service := range view.Services {
		d := service.Document
		documents[d.Pool] = append(documents[d.Pool], d)
	}
	for _, list := range documents {
		slices.SortFunc(list, func(a, b *wigeondocument.Document) int { return strings.Compare(string(a.Service), string(b.Service)) })
	}
	for name := range documents {
		p.getOrAddPool(name)
	}
	changed := false
	for name, pl := range *p.pools.Load() {
		changed = pl.applyView(view.Pools[name], documents[name], localOnly, p.config.DataCentre) || changed
	}
	// Session renewals change the view many times a second, but the split depends only on demand reports, servers and
	// the set of entry processes.
	splitSessions := []wigeonstep.SessionID{p.config.Follower.Session()}
	for _, s := range p.entryPeers(view) {
		splitSessions = append(splitSessions, s.ID)
	}
	if changed || !slices.Equal(splitSessions, p.splitSessions) {
		p.splitSessions = splitSessions
		p.updateGrants(view, false)
	}
	return view
}

// BusyVMs returns the VMs that are out of service and on which this process has requests in flight. It first applies the
// newest view, so that no later pick selects a VM that is out of service in that view.
func (p *Process) BusyVMs() []wigeonstep.VMID {
	view := p.applyView()
	var outOfService []*wigeonstate.VM
	for _, vm := range view.VMs {
		if !vm.InService() {
			outOfService = append(outOfService, vm)
		}
	}
	if len(outOfService) == 0 {
		return nil
	}
	var busy []wigeonstep.VMID
	pools := *p.pools.Load()
	for _, vm := range outOfService {
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
