package wigeonentry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// minPlannerInterval is the least time between reports to the planners.
	minPlannerInterval = 2 * time.Second
	// plannerIntervalPerEntry makes 56 entry processes report every 10 s. A planner then hears 5.6 reports a second of about
	// 1.3 KB with 84 pools, of the 17 KB/s that a control daemon may receive.
	plannerIntervalPerEntry = 180 * time.Millisecond
)

// PlannerInterval returns the time between two reports of one entry process to a planner.
func PlannerInterval(view *wigeonstate.View) time.Duration {
	entries := 0
	for _, s := range view.Sessions {
		if s.Role == wigeonwire.Role_ROLE_ENTRY && !s.Expired {
			entries++
		}
	}
	return max(minPlannerInterval, time.Duration(entries)*plannerIntervalPerEntry)
}

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

// reportToPlanners tells the planners, when a report is due, the demand for each pool and the connection results for the VMs of their data centre.
func (p *Process) reportToPlanners(ctx context.Context) {
	view := p.config.Follower.View()
	if now := p.config.Now(); p.config.Peers == nil || now.Sub(p.toldPlanners) < PlannerInterval(view) {
		return
	}
	p.toldPlanners = p.config.Now()
	reach := p.reach.take()
	for _, s := range planners(view) {
		report := p.demandReport()
		for _, count := range reach {
			if vm := view.VMs[wigeonstep.VMID(count.GetVm())]; vm != nil && vm.DataCentre == s.DataCentre {
				report.Reach = append(report.Reach, count)
			}
		}
		p.background.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, minPlannerInterval)
			defer cancel()
			request := &wigeonwire.PeerRequest{FromSession: report.GetSession(), Body: &wigeonwire.PeerRequest_DemandReport{DemandReport: report}}
			if _, err := p.config.Peers.Call(ctx, s.PeerAddress, request); err != nil {
				p.config.Logger.Debug("report to a planner was not delivered", zap.Error(err))
			}
		})
	}
}
