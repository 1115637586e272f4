package wigeonreplay

import (
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonmaintenance"
	"github.com/wigeonstep/wigeonstep/wigeonpool"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// daemon is a simulated control daemon with its planners.
type daemon struct {
	*process
	pools       *wigeonpool.Planner
	maintenance *wigeonmaintenance.Planner
	listing     *wigeonpool.Listing
	// confirmedActions holds the time at which each action last succeeded on the platform. An action is deleted when its VM
	// has a higher epoch or is no longer in the view.
	confirmedActions map[wigeonpool.Action]time.Time
}

// reset clears the in-memory state, as a restart of the process does.
func (c *daemon) reset() {
	c.pools, c.maintenance = c.driver.policy.planners()
	c.confirmedActions = map[wigeonpool.Action]time.Time{}
	c.listing = nil
}

// isPlanner reports whether the daemon plans for its data centre: its lease is valid, its view is not older than
// maxViewAge, and its session is the first unexpired control session of the data centre in the view.
func (c *daemon) isPlanner() bool {
	if !c.isRunning() || c.session == 0 || !c.leaseValid() || c.viewAge() > maxViewAge {
		return false
	}
	for _, s := range c.view.Sessions {
		if s.Role == wigeonwire.Role_ROLE_CONTROL && s.DataCentre == c.dataCentre && !s.Expired {
			return s.ID == c.session
		}
	}
	return false
}

// runRound runs a planning round of the control daemon. The planners use the view of the last refresh, which may be older
// than the state by which the fold decides.
func (c *daemon) runRound() {
	d := c.driver
	if !c.isRunning() {
		return
	}
	if lag := d.trace.ListLagS; len(d.vmLists) > lag && !d.isolated[c.dataCentre] {
		c.listing = c.listing.Update(d.vmLists[len(d.vmLists)-1-lag], d.time())
	}
	if !c.isPlanner() {
		return
	}
	fleet := wigeonpool.NewFleet(c.view, d.time(), c.dataCentre, wigeonpool.Observations{
		Listing: c.listing, SlotDemand: d.slotDemand(), Confirmed: c.confirmedActions,
	})
	plan := c.pools.Plan(fleet)
	plan.Append(c.maintenance.Plan(fleet))
	for _, entry := range plan.Entries {
		before := d.state.View()
		if verdict, ok := d.append(c.process, entry); ok && verdict.Accepted {
			d.countMove(entry.GetVmTransition(), before)
		}
	}
	if d.isolated[c.dataCentre] {
		return
	}
	for _, action := range plan.Actions {
		if d.handleAction(action) {
			c.confirmedActions[action] = d.time()
		}
	}
	for action := range c.confirmedActions {
		if vm := c.view.VMs[action.VM]; vm == nil || vm.Epoch > action.Epoch {
			delete(c.confirmedActions, action)
		}
	}
}

// slotDemand returns the number of slots wanted in each pool, summed over the running entry processes.
func (d *driver) slotDemand() map[wigeonstep.PoolName]int {
	wantedSlots := map[wigeonstep.PoolName]int{}
	for _, e := range d.entryCores {
		if !e.isRunning() {
			continue
		}
		for _, p := range e.pools {
			wantedSlots[p.name] += p.admission.Demand(d.time()).Wanted
		}
	}
	return wantedSlots
}

// countMove counts the accepted transition if it moves the VM to another pool.
func (d *driver) countMove(t *wigeonwire.VMTransition, before *wigeonstate.View) {
	if t.GetPool() != "" && before.VMs[wigeonstep.VMID(t.GetVm())].Pool != wigeonstep.PoolName(t.GetPool()) {
		d.counters.moves++
	}
}
