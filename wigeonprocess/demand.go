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
	poolName = wigeonstep.PoolName
	vmID     = wigeonstep.VMID
	reach    = wigeonpool.Reach
)

// reportMaxAge is the age, in intervals between reports, from which a demand report no longer counts.
const reportMaxAge = 3

// demandBook keeps the demand reports of entry processes for the planner. The zero value works.
type demandBook struct {
	next wigeonpeer.Handler

	mu      sync.Mutex
	reports map[wigeonstep.SessionID]heardReport
	reached []heardReach
}

type heardReport struct {
	report *wigeonwire.DemandReport
	at     time.Time
}

type heardReach struct {
	reach []*wigeonwire.VMReach
	at    time.Time
}

// HandlePeer keeps demand reports and passes all other requests on.
func (b *demandBook) HandlePeer(ctx context.Context, request *wigeonwire.PeerRequest) *wigeonwire.PeerResponse {
	report := request.GetDemandReport()
	if report == nil {
		return b.next.HandlePeer(ctx, request)
	}
	b.take(time.Now(), report)
	return &wigeonwire.PeerResponse{}
}

func (b *demandBook) take(now time.Time, report *wigeonwire.DemandReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reports == nil {
		b.reports = make(map[wigeonstep.SessionID]heardReport)
	}
	id := wigeonstep.SessionID(report.GetSession())
	if last, ok := b.reports[id]; ok && last.report.GetReport() >= report.GetReport() {
		return
	}
	b.reports[id] = heardReport{report: report, at: now}
	if len(report.GetReach()) > 0 {
		b.reached = append(b.reached, heardReach{reach: report.GetReach(), at: now})
	}
}

// loads returns the slots that the work of each pool wants, over all entry processes. It returns nil unless every ready one
// was heard of lately, since a sum without one of them would make pools look idle.
func (b *demandBook) loads(now time.Time, view *wigeonstate.View) map[poolName]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	wanted := make(map[poolName]int)
	for id, heard := range b.reports {
		if now.Sub(heard.at) > reportMaxAge*wigeonentry.PlannerReportInterval(view) {
			delete(b.reports, id)
			continue
		}
		for _, p := range heard.report.GetPools() {
			wanted[poolName(p.GetPool())] += int(p.GetWanted())
		}
	}
	for _, s := range view.Sessions {
		if _, heard := b.reports[s.ID]; s.Role == wigeonwire.Role_ROLE_ENTRY && s.Ready && !s.Expired && !heard {
			return nil
		}
	}
	return wanted
}

// reach returns the connection results of the last reports for each VM.
func (b *demandBook) reach(now time.Time, view *wigeonstate.View) map[vmID]reach {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := b.reached[:0]
	sums := make(map[vmID]reach)
	for _, heard := range b.reached {
		if now.Sub(heard.at) > reportMaxAge*wigeonentry.PlannerReportInterval(view) {
			continue
		}
		kept = append(kept, heard)
		for _, v := range heard.reach {
			sum := sums[vmID(v.GetVm())]
			sum.Succeeded += int(v.GetSucceeded())
			sum.Failed += int(v.GetFailed())
			sums[vmID(v.GetVm())] = sum
		}
	}
	b.reached = kept
	return sums
}
