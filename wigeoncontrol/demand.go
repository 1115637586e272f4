package wigeoncontrol

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// demandInterval is the least time between two questions to the same entry process.
	demandInterval = 2 * time.Second
	// demandSpacing is the least time between two questions: at 84 pools a report has about 1.3 KB, so that all of them
	// together take at most 9 KB/s of the 17 KB/s that a daemon may use.
	demandSpacing = 150 * time.Millisecond
)

// Peers calls other processes; *wigeonpeer.Client is one.
type Peers interface {
	Call(ctx context.Context, address string, request *wigeonwire.PeerRequest) (*wigeonwire.PeerResponse, error)
}

// demands asks the entry processes how many slots of each pool their work wants. A process that does not answer counts
// with its last report until its session ends.
type demands struct {
	peers    Peers
	follower Follower
	logger   *zap.Logger

	mu      sync.Mutex
	reports map[wigeonstep.SessionID]*wigeonwire.DemandReport
}

// loads returns the sum over the reports. A pool that no process wants has no value, so it counts as zero once any
// process has reported, and as not known before.
func (d *demands) loads() map[wigeonstep.PoolName]int {
	view := d.follower.View()
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.reports) == 0 {
		return nil
	}
	loads := make(map[wigeonstep.PoolName]int, len(view.Pools))
	for pool := range view.Pools {
		loads[pool] = 0
	}
	for _, report := range d.reports {
		for _, pool := range report.GetPools() {
			loads[wigeonstep.PoolName(pool.GetPool())] += int(pool.GetWanted())
		}
	}
	return loads
}

// run asks one entry process after the other until ctx ends, while this daemon plans.
func (d *demands) run(ctx context.Context, timeout time.Duration, planning func() bool) {
	for {
		started := time.Now()
		if planning() {
			entries := entrySessions(d.follower.View())
			d.forget(entries)
			for _, s := range entries {
				d.ask(ctx, s, timeout)
				if !sleep(ctx, jittered(demandSpacing)) {
					return
				}
			}
		}
		if !sleep(ctx, max(demandSpacing, demandInterval-time.Since(started))) {
			return
		}
	}
}

func entrySessions(view *wigeonstate.View) []*wigeonstate.Session {
	var entries []*wigeonstate.Session
	for _, s := range view.Sessions {
		if s.Role == wigeonwire.Role_ROLE_ENTRY && !s.Expired && s.PeerAddress != "" {
			entries = append(entries, s)
		}
	}
	return entries
}

func (d *demands) ask(ctx context.Context, s *wigeonstate.Session, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, min(timeout, demandInterval))
	defer cancel()
	// A report without a number is a question.
	response, err := d.peers.Call(ctx, s.PeerAddress, &wigeonwire.PeerRequest{
		FromSession: uint64(d.follower.Session()), Body: &wigeonwire.PeerRequest_DemandReport{DemandReport: &wigeonwire.DemandReport{}},
	})
	if err != nil || response.GetDemandReport() == nil {
		d.logger.Debug("an entry process did not report its demand; its last report still counts", zap.Stringer("session", s.ID), zap.Error(err))
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reports[s.ID] = response.GetDemandReport()
}

// forget drops the reports of sessions that have ended.
func (d *demands) forget(entries []*wigeonstate.Session) {
	open := make(map[wigeonstep.SessionID]bool, len(entries))
	for _, s := range entries {
		open[s.ID] = true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.reports {
		if !open[id] {
			delete(d.reports, id)
		}
	}
}
