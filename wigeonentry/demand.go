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

// demandBook holds the last demand report of each peer session.
type demandBook struct {
	mu      sync.Mutex
	reports map[wigeonstep.SessionID]*peerReport
	own     uint64
}

type peerReport struct {
	number uint64
	// applied is the offset that the peer had applied.
	applied wigeonstep.Offset
	heard   time.Time
	late    bool
	pools   map[string]wigeonadmission.Demand
}

// take keeps the report unless it is older than the last one.
func (b *demandBook) take(now time.Time, report *wigeonwire.DemandReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := wigeonstep.SessionID(report.GetSession())
	if last := b.reports[id]; last != nil && report.GetReport() <= last.number {
		return
	}
	r := &peerReport{number: report.GetReport(), applied: wigeonstep.Offset(report.GetAppliedOffset()), heard: now, pools: make(map[string]wigeonadmission.Demand, len(report.GetPools()))}
	for _, pl := range report.GetPools() {
		r.pools[pl.GetPool()] = wigeonadmission.Demand{Held: int(pl.GetHeld()), Wanted: int(pl.GetWanted()), Long: int(pl.GetLong())}
	}
	b.reports[id] = r
}

// appliedBy returns the offset that the session last reported as applied, zero when none.
func (b *demandBook) appliedBy(session wigeonstep.SessionID) wigeonstep.Offset {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.reports[session]; r != nil {
		return r.applied
	}
	return 0
}

// of returns the reports of the peers for one pool. A peer counts with its last report until its session ends.
func (b *demandBook) of(peers []*wigeonstate.Session, pool wigeonstep.PoolName) []wigeonadmission.Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	reports := make([]wigeonadmission.Report, 0, len(peers)+1)
	for _, s := range peers {
		r := wigeonadmission.Report{Session: s.ID}
		if last := b.reports[s.ID]; last != nil {
			r.Heard, r.Stale, r.Demand = true, last.late, last.pools[string(pool)]
		}
		reports = append(reports, r)
	}
	return reports
}

// prune forgets ended sessions and returns those whose report became older than maxAge.
func (b *demandBook) prune(now time.Time, peers []*wigeonstate.Session, maxAge time.Duration) []wigeonstep.SessionID {
	b.mu.Lock()
	defer b.mu.Unlock()
	var late []wigeonstep.SessionID
	for id, r := range b.reports {
		if !slices.ContainsFunc(peers, func(s *wigeonstate.Session) bool { return s.ID == id }) {
			if now.Sub(r.heard) > maxAge {
				delete(b.reports, id)
			}
			continue
		}
		isLate := now.Sub(r.heard) > maxAge
		if isLate && !r.late {
			late = append(late, id)
		}
		r.late = isLate
	}
	return late
}

// trafficPeers returns the other open entry sessions that share slots with this process.
func (p *Process) trafficPeers(view *wigeonstate.View) []*wigeonstate.Session {
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

// resplit computes this process's part of every pool; reported is set once in each report interval. The caller holds applyMu.
func (p *Process) resplit(view *wigeonstate.View, reported bool) {
	self := p.config.Follower.Session()
	peers := p.trafficPeers(view)
	for name, pl := range *p.pools.Load() {
		pl.split(self, p.demands.of(peers, name), reported)
	}
}

// reportDemand tells the peers the demand of this process; calls that are still running are not repeated.
func (p *Process) reportDemand(ctx context.Context) {
	p.applyMu.Lock()
	view := p.applied
	p.resplit(view, true)
	peers := p.trafficPeers(view)
	p.applyMu.Unlock()
	for _, id := range p.demands.prune(p.config.Now(), peers, p.config.ReportMaxAge) {
		p.config.Logger.Warn("a peer's demand report is late; its last one still counts", zap.Stringer("session", id))
	}
	if p.config.Peers == nil || len(peers) == 0 {
		return
	}
	report := p.demandReport()
	for _, s := range peers {
		if _, busy := p.reporting.LoadOrStore(s.PeerAddress, struct{}{}); busy {
			continue
		}
		p.background.Go(func() {
			defer p.reporting.Delete(s.PeerAddress)
			ctx, cancel := context.WithTimeout(ctx, p.config.ReportMaxAge)
			defer cancel()
			request := &wigeonwire.PeerRequest{FromSession: report.GetSession(), Body: &wigeonwire.PeerRequest_DemandReport{DemandReport: report}}
			if _, err := p.config.Peers.Call(ctx, s.PeerAddress, request); err != nil {
				p.config.Logger.Debug("demand report was not delivered", zap.Error(err))
			}
		})
	}
}

func (p *Process) demandReport() *wigeonwire.DemandReport {
	p.demands.mu.Lock()
	p.demands.own++
	number := p.demands.own
	p.demands.mu.Unlock()
	report := &wigeonwire.DemandReport{Session: uint64(p.config.Follower.Session()), Report: number}
	if next := p.config.Follower.View().Next; next > 0 {
		report.AppliedOffset = uint64(next) - 1
	}
	for name, pl := range *p.pools.Load() {
		if d := pl.demand(); d.Wanted > 0 {
			report.Pools = append(report.Pools, &wigeonwire.PoolDemand{Pool: string(name), Held: uint32(d.Held), Wanted: uint32(d.Wanted), Long: uint32(d.Long)})
		}
	}
	slices.SortFunc(report.Pools, func(a, b *wigeonwire.PoolDemand) int { return strings.Compare(a.GetPool(), b.GetPool()) })
	return report
}
