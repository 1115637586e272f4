package wigeondemo

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonfollow"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// sampleInterval is the interval at which the view is sampled.
const sampleInterval = 50 * time.Millisecond

// watcher follows the log of a deployment and measures its waves, moves, workers in service and disruption budgets.
type watcher struct {
	follower  *wigeonfollow.Follower
	startedAt time.Time

	// waves holds the progress of each observed wave.
	waves map[wigeonstep.WaveID]*observedWave
	// inServiceSeconds is the sum of the worker-seconds in service over all pools.
	inServiceSeconds float64
	lastSample       time.Time
	// budgetExceeded counts the samples in which planned losses exceeded a disruption budget.
	budgetExceeded int
}

// observedWave is the progress of a wave as last sampled. A wave that is no longer in the view has ended, and all its VMs
// count as done. firstSeen and lastSeen are times of the local clock.
type observedWave struct {
	pool                wigeonstep.PoolName
	firstSeen, lastSeen time.Time
	done, total         int
	ended               bool
}

func newWatcher(log wigeonstep.Log) *watcher {
	return &watcher{
		follower: wigeonfollow.New(wigeonfollow.Config{Log: log, ReadOnly: true}),
		waves:    make(map[wigeonstep.WaveID]*observedWave),
	}
}

// sampleUntilDone samples the view every sampleInterval until ctx is done.
func (w *watcher) sampleUntilDone(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	w.startedAt = time.Now()
	w.lastSample = w.startedAt
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			w.sample(now)
		}
	}
}

// sample adds the time since the last sample, weighted with the workers in service, to inServiceSeconds, checks the
// disruption budgets and updates the progress of the waves.
func (w *watcher) sample(now time.Time) {
	view := w.follower.View()
	inService := 0
	for _, vm := range view.VMs {
		if vm.InService() {
			inService++
		}
	}
	w.inServiceSeconds += float64(inService) * now.Sub(w.lastSample).Seconds()
	w.lastSample = now
	if exceedsBudget(view) {
		w.budgetExceeded++
	}
	running := make(map[wigeonstep.WaveID]bool)
	for _, wave := range view.Waves {
		running[wave.ID] = true
		observed := w.waves[wave.ID]
		if observed == nil {
			observed = &observedWave{pool: wave.Pool, firstSeen: now}
			w.waves[wave.ID] = observed
		}
		observed.lastSeen, observed.done, observed.total = now, wave.DoneVMs, wave.TotalVMs
	}
	for id, observed := range w.waves {
		if !running[id] && !observed.ended {
			observed.ended, observed.done = true, observed.total
		}
	}
}

// countMoves returns the number of accepted moves of VMs between pools.
func (w *watcher) countMoves() int {
	count := 0
	w.follower.Read(func(state *wigeonstate.State) {
		for id := range state.View().VMs {
			for _, decision := range state.Decisions("vm", string(id)) {
				if decision.GetAccepted() && strings.HasPrefix(decision.GetDecision().GetAction(), "assign to ") {
					count++
				}
			}
		}
	})
	return count
}

// exceedsBudget reports whether more VMs of a pool are draining, drained, rebooting or verifying than the disruption budget
// of a service permits. Failed VMs do not count.
func exceedsBudget(view *wigeonstate.View) bool {
	for _, service := range view.Services {
		planned := 0
		for _, vm := range view.Pools[service.Document.Pool] {
			switch vm.Phase {
			case wigeonwire.Phase_PHASE_DRAINING, wigeonwire.Phase_PHASE_DRAINED, wigeonwire.Phase_PHASE_REBOOTING, wigeonwire.Phase_PHASE_VERIFYING:
				planned++
			}
		}
		if planned > service.Document.Availability.MaxUnavailableWorkers {
			return true
		}
	}
	return false
}

// sortedWaves returns the observed waves, sorted by pool.
func (w *watcher) sortedWaves() []*observedWave {
	return slices.SortedFunc(maps.Values(w.waves), func(a, b *observedWave) int { return strings.Compare(string(a.pool), string(b.pool)) })
}
