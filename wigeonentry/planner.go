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
	// minPlannerReportInterval is the minimum time between two reports to the planners.
	minPlannerReportInterval = 2 * time.Second
	// plannerReportIntervalPerEntry lengthens the interval with the number of entry processes. With 56 of them each reports
	// every 10 s, so a planner receives 5.6 reports/s of about 1.3 KB (84 pools) out of its budget of 17 KB/s.
	plannerReportIntervalPerEntry = 180 * time.Millisecond
)

// PlannerReportInterval returns the time between two reports of one entry process to a planner. It grows with the number of
// entry processes, so the load on a planner stays bounded.
func PlannerReportInterval(view *wigeonstate.View) time.Duration {
	entries := 0
	for _, s := range view.Sessions {
		if s.Role == wigeonwire.Role_ROLE_ENTRY && !s.Expired {
			entries++
		}
	}
	return max(minPlannerReportInterval, time.Duration(entries)*plannerReportIntervalPerEntry)
}

// planningSessions returns the control session that plans for each data centre, which is the open one with the lowest id.
func planningSessions(view *wigeonstate.View) []*wigeonstate.Session {
	seen := make(map[wigeonstep.DataCentreName]bool)
	var sessions []*wigeonstate.Session
	for _, s := range view.Sessions {
		if s.Role != wigeonwire.Role_ROLE_CONTROL || s.Expired || seen[s.DataCentre] {
			continue
		}
		seen[s.DataCentre] = true
		sessions = append(sessions, s)
	}
	return sessions
}

// reportToPlanners sends the planners the demand for each pool and the connection results for the VMs of their data
// centre. It does nothing until PlannerReportInterval has passed since the previous report.
func (p *Process) reportToPlanners(ctx context.Context) {
	view := p.config.Follower.View()
	if now := p.config.Now(); p.config.Peers == nil || now.Sub(p.lastPlannerReport) < PlannerReportInterval(view) {
		return
	}
	p.lastPlannerReport = p.config.Now()
	connections := p.connections.takeCounts()
	for _, s := range planningSessions(view) {
		report := p.demandReport()
		for _, count := range connections {
			if vm := view.VMs[wigeonstep.VMID(count.GetVm())]; vm != nil && vm.DataCentre == s.DataCentre {
				report.Reach = append(report.Reach, count)
			}
		}
		p.background.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, minPlannerReportInterval)
			defer cancel()
			request := &wigeonwire.PeerRequest{FromSession: report.GetSession(), Body: &wigeonwire.PeerRequest_DemandReport{DemandReport: report}}
			if _, err := p.config.Peers.Call(ctx, s.PeerAddress, request); err != nil {
				p.config.Logger.Debug("sending the demand report to a planner failed", zap.Error(err))
			}
		})
	}
}
