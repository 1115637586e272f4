package wigeonentry

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// reachRecorder is a Backend that counts successful and failed attempts by VM, as connectivity reports for the planners. A
// request that was sent and ran into its deadline counts as neither.
type reachRecorder struct {
	wigeonstep.Backend

	mu     sync.Mutex
	counts map[wigeonstep.VMID]*wigeonwire.VMReach
}

// Call forwards the call to the wrapped Backend and records its result.
func (r *reachRecorder) Call(ctx context.Context, call wigeonstep.BackendCall) wigeonstep.BackendResult {
	result := r.Backend.Call(ctx, call)
	r.record(call.VM, &result)
	return result
}

func (r *reachRecorder) record(vm wigeonstep.VMID, result *wigeonstep.BackendResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = make(map[wigeonstep.VMID]*wigeonwire.VMReach)
	}
	count := r.counts[vm]
	if count == nil {
		count = &wigeonwire.VMReach{Vm: string(vm)}
		r.counts[vm] = count
	}
	switch {
	case result.Verdict == wigeonstep.BackendNotSent, result.Verdict == wigeonstep.BackendLost && !result.TimedOut:
		count.Failed++
	case result.Verdict != wigeonstep.BackendLost:
		count.Succeeded++
	}
}

// takeCounts returns the counts since the previous call, sorted by VM, and resets them.
func (r *reachRecorder) takeCounts() []*wigeonwire.VMReach {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := make([]*wigeonwire.VMReach, 0, len(r.counts))
	for _, vm := range slices.Sorted(maps.Keys(r.counts)) {
		if count := r.counts[vm]; count.GetSucceeded()+count.GetFailed() > 0 {
			taken = append(taken, count)
		}
	}
	r.counts = nil
	return taken
}
