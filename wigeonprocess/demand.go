package wigeonprocess

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonentry"
	"github.com/wigeonstep/wigeonstep/wigeonpeer"
	"github.com/wigeonstep/wigeonstep/wigeonpool"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

type (
	poolName            = wigeonstep.PoolName
	vmID                = wigeonstep.VMID
	vmConnectionResults = wigeonpool.ConnectionResults
)

// maxReportIntervals is the maximum age of a demand report that still counts, in report intervals.
const maxReportIntervals = 3

// demandReports collects the demand reports of entry processes for the planner. The zero value is ready to use.
type demandReports struct {
	next wigeonpeer.Handler

	mu            sync.Mutex
	bySession     map[wigeonstep.SessionID]receivedReport
	resultReports []receivedResults
}

type receivedReport struct {
	report     *wigeonwire.DemandReport
	receivedAt time.Time
}

// receivedResults holds the connection results of one demand report.
type receivedResults struct {
	results    []*wigeonwire.VMReach
	receivedAt time.Time
}

// HandlePeer stores demand reports and passes all other requests to the next handler.
func (d *demandReports) HandlePeer(ctx context.Context, request *wigeonwire.PeerRequest) *wigeonwire.PeerResponse {
	report := request.GetDemandReport()
	if report == nil {
		return d.next.HandlePeer(ctx, request)
	}
	d.update(time.Now(), report)
	return &wigeonwire.PeerResponse{}
}

// update stores the report unless it is not newer than the stored one of its session.
func (d *demandReports) update(now time.Time, report *wigeonwire.DemandReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.bySession == nil {
		d.bySession = make(map[wigeonstep.SessionID]receivedReport)
	}
	id := wigeonstep.SessionID(report.GetSession())
	if last, ok := d.bySession[id]; ok && last.report.GetReport() >= report.GetReport() {
		return
	}
	d.bySession[id] = receivedReport{report: report, receivedAt: now}
	if len(report.GetReach()) > 0 {
		d.resultReports = append(d.resultReports, receivedResults{results: report.GetReach(), receivedAt: now})
	}
}

// slotDemand returns the number of slots of each pool that all entry processes together report as wanted. It returns
// nil unless every ready entry process has a recent report, since a sum that leaves one out would make pools look idle.
func (d *demandReports) slotDemand(now time.Time, view *wigeonstate.View) map[poolName]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	wanted := make(map[poolName]int)
	for id, received := range d.bySession {
		if now.Sub(received.receivedAt) > maxReportIntervals*wigeonentry.PlannerReportInterval(view) {
			delete(d.bySession, id)
			continue
		}
		for _, p := range received.report.GetPools() {
			wanted[poolName(p.GetPool())] += int(p.GetWanted())
		}
	}
	for _, s := range view.Sessions {
		if _, received := d.bySession[s.ID]; s.Role == wigeonwire.Role_ROLE_ENTRY && s.Ready && !s.Expired && !received {
			return nil
		}
	}
	return wanted
}

// vmConnectionResults returns the sums of the recently reported connection results for each VM.
func (d *demandReports) vmConnectionResults(now time.Time, view *wigeonstate.View) map[vmID]vmConnectionResults {
	d.mu.Lock()
	defer d.mu.Unlock()
	recent := d.resultReports[:0]
	sums := make(map[vmID]vmConnectionResults)
	for _, received := range d.resultReports {
		if now.Sub(received.receivedAt) > maxReportIntervals*wigeonentry.PlannerReportInterval(view) {
			continue
		}
		recent = append(recent, received)
		for _, v := range received.results {
			sum := sums[vmID(v.GetVm())]
			sum.Succeeded += int(v.GetSucceeded())
			sum.Failed += int(v.GetFailed())
			sums[vmID(v.GetVm())] = sum
		}
	}
	d.resultReports = recent
	return sums
}
