package wigeonentry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// plannerInterval is the time between reports to the planners. With 56 entry processes a planner then hears 28 reports a
// second of a few hundred bytes, of the 17 KB/s that a control daemon may receive.
const plannerInterval = 2 * time.Second

// planners returns the control session that plans for each data centre: the open one with the lowest id.
func planners(view *wigeonstate.View) []*wigeonstate.Session {
	seen := make(map[wigeonstep.DataCentreName]bool)
	var lowest []*wigeonstate.Session
	for _, s := range view.Sessions {
		if s.Role != wigeonwire.Role_ROLE_CONTROL || s.Expired || seen[s.DataCentre] {
			continue
		}
		seen[s.DataCentre] = true
		lowest = append(lowest, s)
	}
	return lowest
}

// reportToPlanners tells the planners the demand for each pool and the connection results for the VMs of their data centre.
func (p *Process) reportToPlanners(ctx context.Context) {
	if p.config.Peers == nil {
		return
	}
	view := p.config.Follower.View()
	reach := p.reach.take()
	for _, s := range planners(view) {
		report := p.demandReport()
		for _, count := range reach {
			if vm := view.VMs[wigeonstep.VMID(count.GetVm())]; vm != nil && vm.DataCentre == s.DataCentre {
				report.Reach = append(report.Reach, count)
			}
		}
		p.background.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, plannerInterval)
			defer cancel()
			request := &wigeonwire.PeerRequest{FromSession: report.GetSession(), Body: &wigeonwire.PeerRequest_DemandReport{DemandReport: report}}
			if _, err := p.config.Peers.Call(ctx, s.PeerAddress, request); err != nil {
				p.config.Logger.Debug("report to a planner was not delivered", zap.Error(err))
			}
		})
	}
}
