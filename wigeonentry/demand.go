package wigeonentry

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonadmission"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// demandReports holds the last demand report of each peer session.
type demandReports struct {
	mu      sync.Mutex
	reports map[wigeonstep.SessionID]*peerReport
	// lastNumber is the sequence number of the last report of this process.
	lastNumber uint64
}

type peerReport struct {
	// number is the sequence number that the peer gave the report.
	number uint64
	// applied is the last log offset that the peer had applied.
	applied    wigeonstep.Offset
	receivedAt time.Time
	overdue    bool
	pools      map[string]wigeonadmission.Demand
}

// update stores the report unless it is not newer than the stored one of its session.
func (d *demandReports) update(now time.Time, report *wigeonwire.DemandReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := wigeonstep.SessionID(report.GetSession())
	if last := d.reports[id]; last != nil && report.GetReport() <= last.number {
		return
	}
	r := &peerReport{number: report.GetReport(), applied: wigeonstep.Offset(report.GetAppliedOffset()), receivedAt: now, pools: make(map[string]wigeonadmission.Demand, len(report.GetPools()))}
	for _, pl := range report.GetPools() {
		r.pools[pl.GetPool()] = wigeonadmission.Demand{Held: int(pl.GetHeld()), Wanted: int(pl.GetWanted()), HeldLong: int(pl.GetLong())}
	}
	d.reports[id] = r
}

// appliedOffset returns the log offset that the session last reported as applied, zero without a report.
func (d *demandReports) appliedOffset(session wigeonstep.SessionID) wigeonstep.Offset {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.reports[session]; r != nil {
		return r.applied
	}
	return 0
}

// forPool returns the demand of the peers for one pool. The last report of a peer counts until its session ends; an
// overdue one is marked as stale.
func (d *demandReports) forPool(peers []*wigeonstate.Session, pool wigeonstep.PoolName) []wigeonadmission.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	reports := make([]wigeonadmission.Report, 0, len(peers)+1)
	for _, s := range peers {
		r := wigeonadmission.Report{Session: s.ID}
		if last := d.reports[s.ID]; last != nil {
			r.Reported, r.Stale, r.Demand = true, last.overdue, last.pools[string(pool)]
		}
		reports = append(reports, r)
	}
	return reports
}

// prune removes the reports older than maxAge of sessions that are no longer peers. It returns the peers whose reports have
// become older than maxAge since the previous call.
func (d *demandReports) prune(now time.Time, peers []*wigeonstate.Session, maxAge time.Duration) []wigeonstep.SessionID {
	d.mu.Lock()
	defer d.mu.Unlock()
	var overdue []wigeonstep.SessionID
	for id, r := range d.reports {
		if !slices.ContainsFunc(peers, func(s *wigeonstate.Session) bool { return s.ID == id }) {
			if now.Sub(r.receivedAt) > maxAge {
				delete(d.reports, id)
			}
			continue
		}
		isOverdue := now.Sub(r.receivedAt) > maxAge
		if isOverdue && !r.overdue {
			overdue = append(overdue, id)
		}
		r.overdue = isOverdue
	}
	return overdue
}

// entryPeers returns the other ready entry sessions, with which this process shares the slots of each pool. The caller holds
// applyMu.
func (p *Process) entryPeers(view *wigeonstate.View) []*wigeonstate.Session {
	self := p.config.Follower.Session()
	var peers []*wigeonstate.Session
	for _, s := range view.Sessions {
		if s.ID == self || s.Expired || s.Role != wigeonwire.Role_ROLE_ENTRY || !s.Ready {
			continue
		}
		if p.localOnly && s.DataCentre != p.config.DataCentre {
			continue
		}
		peers = append(peers, s)
	}
	return peers
}

// updateGrants recomputes this process's grant in every pool. atReport is set when the call precedes a demand report to the
// peers. The caller holds applyMu.
func (p *Process) updateGrants(view *wigeonstate.View, atReport bool) {
	self := p.config.Follower.Session()
	peers := p.entryPeers(view)
	for name, pl := range *p.pools.Load() {
		pl.updateGrant(self, p.peerDemand.forPool(peers, name), atReport)
	}
}

// reportDemandToPeers sends the demand of this process to the peers. It skips a peer while the previous report to it is still
// being sent.
func (p *Process) reportDemandToPeers(ctx context.Context) {
	p.applyMu.Lock()
	view := p.appliedView
	p.updateGrants(view, true)
	peers := p.entryPeers(view)
	p.applyMu.Unlock()
	for _, id := range p.peerDemand.prune(p.config.Now(), peers, p.config.ReportMaxAge) {
		p.config.Logger.Warn("demand report of a peer is overdue; using its last one", zap.Stringer("session", id))
	}
	if p.config.Peers == nil || len(peers) == 0 {
		return
	}
	report := p.demandReport()
	for _, s := range peers {
		if _, busy := p.reportsInFlight.LoadOrStore(s.PeerAddress, struct{}{}); busy {
			continue
		}
		p.background.Go(func() {
			defer p.reportsInFlight.Delete(s.PeerAddress)
			ctx, cancel := context.WithTimeout(ctx, p.config.ReportMaxAge)
			defer cancel()
			request := &wigeonwire.PeerRequest{FromSession: report.GetSession(), Body: &wigeonwire.PeerRequest_DemandReport{DemandReport: report}}
			if _, err := p.config.Peers.Call(ctx, s.PeerAddress, request); err != nil {
				p.config.Logger.Debug("sending the demand report to a peer failed", zap.Error(err))
			}
		})
	}
}

func (p *Process) demandReport() *wigeonwire.DemandReport {
	p.peerDemand.mu.Lock()
	p.peerDemand.lastNumber++
	number := p.peerDemand.lastNumber
	p.peerDemand.mu.Unlock()
	report := &wigeonwire.DemandReport{Session: uint64(p.config.Follower.Session()), Report: number}
	if next := p.config.Follower.View().NextOffset; next > 0 {
		report.AppliedOffset = uint64(next) - 1
	}
	for name, pl := range *p.pools.Load() {
		if d := pl.demand(); d.Wanted > 0 {
			report.Pools = append(report.Pools, &wigeonwire.PoolDemand{Pool: string(name), Held: uint32(d.Held), Wanted: uint32(d.Wanted), Long: uint32(d.HeldLong)})
		}
	}
	slices.SortFunc(report.Pools, func(a, b *wigeonwire.PoolDemand) int { return strings.Compare(a.GetPool(), b.GetPool()) })
	return report
}
