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

// sampleInterval is the time between two looks at the view.
const sampleInterval = 50 * time.Millisecond

// watcher follows the log of a deployment and measures what the fleet does.
type watcher struct {
	follower *wigeonfollow.Follower
	begin    time.Time

	// waves holds the real time of the first and last sight of each wave.
	waves map[wigeonstep.WaveID]*seenWave
	// inServiceSeconds adds up worker-seconds in service over all pools.
	inServiceSeconds float64
	lastSample       time.Time
	// overdrawn counts the samples in which planned losses were above a disruption budget.
	overdrawn int
}

type seenWave struct {
	pool        wigeonstep.PoolName
	first, last time.Time
	done, total int
	ended       bool
}

func newWatcher(log wigeonstep.Log) *watcher {
	return &watcher{
		follower: wigeonfollow.New(wigeonfollow.Config{Log: log, ReadOnly: true}),
		waves:    make(map[wigeonstep.WaveID]*seenWave),
	}
}

// watch samples the view until ctx ends.
func (w *watcher) watch(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	w.begin = time.Now()
	w.lastSample = w.begin
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			w.sample(now)
		}
	}
}

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
	if overdrawn(view) {
		w.overdrawn++
	}
	running := make(map[wigeonstep.WaveID]bool)
	for _, wave := range view.Waves {
		running[wave.ID] = true
		seen := w.waves[wave.ID]
		if seen == nil {
			seen = &seenWave{pool: wave.Pool, first: now}
			w.waves[wave.ID] = seen
		}
		seen.last, seen.done, seen.total = now, wave.Done, wave.Total
	}
	for id, seen := range w.waves {
		if !running[id] && !seen.ended {
			seen.ended, seen.done = true, seen.total
		}
	}
}

// moves counts the accepted moves of VMs between pools.
func (w *watcher) moves() int {
	count := 0
	w.follower.Read(func(state *wigeonstate.State) {
		for id := range state.View().VMs {
			for _, decision := range state.Explain("vm", string(id)) {
				if decision.GetAccepted() && strings.HasPrefix(decision.GetDecision().GetAction(), "assign to ") {
					count++
				}
			}
		}
	})
	return count
}

// overdrawn reports whether planned losses alone are above the disruption budget of a service.
func overdrawn(view *wigeonstate.View) bool {
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

// sortedWaves returns the waves that were seen, sorted by pool.
func (w *watcher) sortedWaves() []*seenWave {
	return slices.SortedFunc(maps.Values(w.waves), func(a, b *seenWave) int { return strings.Compare(string(a.pool), string(b.pool)) })
}
