package wigeonreplay

import (
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonmaintenance"
	"github.com/wigeonstep/wigeonstep/wigeonpool"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// daemon is one control daemon with its planners.
type daemon struct {
	*process
	pools       *wigeonpool.Planner
	maintenance *wigeonmaintenance.Planner
	listing     *wigeonpool.Listing
	confirmed   map[wigeonpool.Action]time.Time
}

// reset forgets what the process held in memory.
func (c *daemon) reset() {
	c.pools, c.maintenance = c.driver.policy.planners()
	c.confirmed = map[wigeonpool.Action]time.Time{}
	c.listing = nil
}

// plans reports whether the daemon plans for its data centre: its lease and view are valid, and no open control session of
// the data centre has a lower id.
func (c *daemon) plans() bool {
	if !c.runs() || c.session == 0 || !c.leaseValid() || c.viewAge() > viewSpan {
		return false
	}
	for _, s := range c.view.Sessions {
		if s.Role == wigeonwire.Role_ROLE_CONTROL && s.DataCentre == c.dataCentre && !s.Expired {
			return s.ID == c.session
		}
	}
	return false
}

// round is one planning round of the control daemon. The planners see the view of the last report; the fold judges by its own.
func (c *daemon) round() {
	d := c.driver
	if !c.runs() {
		return
	}
	if lag := d.trace.ListLagS; len(d.lists) > lag && !d.cut[c.dataCentre] {
		c.listing = c.listing.Next(d.lists[len(d.lists)-1-lag], d.time())
	}
	if !c.plans() {
		return
	}
	fleet := wigeonpool.NewFleet(c.view, d.time(), c.dataCentre, wigeonpool.Observations{
		Listing: c.listing, Loads: d.loads(), Confirmed: c.confirmed,
	})
	plan := c.pools.Plan(fleet)
	plan.Append(c.maintenance.Plan(fleet))
	for _, entry := range plan.Entries {
		before := d.state.View()
		if verdict, ok := d.append(c.process, entry); ok && verdict.Accepted {
			d.noteTransition(entry.GetVmTransition(), before)
		}
	}
	if d.cut[c.dataCentre] {
		return
	}
	for _, action := range plan.Actions {
		if d.call(action) {
			c.confirmed[action] = d.time()
		}
	}
	for action := range c.confirmed {
		if vm := c.view.VMs[action.VM]; vm == nil || vm.Epoch > action.Epoch {
			delete(c.confirmed, action)
		}
	}
}

// loads returns the slots that the work of each pool wants, as the entry processes report them.
func (d *driver) loads() map[wigeonstep.PoolName]int {
	loads := map[wigeonstep.PoolName]int{}
	for _, e := range d.entries {
		if !e.runs() {
			continue
		}
		for _, p := range e.pools {
			loads[p.name] += p.admit.Demand(d.time()).Wanted
		}
	}
	return loads
}

// noteTransition counts moves between pools.
func (d *driver) noteTransition(t *wigeonwire.VMTransition, before *wigeonstate.View) {
	if t.GetPool() != "" && before.VMs[wigeonstep.VMID(t.GetVm())].Pool != wigeonstep.PoolName(t.GetPool()) {
		d.measured.moves++
	}
}
