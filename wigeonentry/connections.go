package wigeonentry

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// connectionRecorder is a Backend that counts the successful and failed connections to each VM for the reports to the planners.
// An attempt that was sent and got no answer before the deadline of the request counts as neither, and one whose deadline
// passed before it was sent counts as failed.
type connectionRecorder struct {
	wigeonstep.Backend

	mu     sync.Mutex
	counts map[wigeonstep.VMID]*wigeonwire.VMReach
}

// Call forwards the call to the wrapped Backend and records its result.
func (r *connectionRecorder) Call(ctx context.Context, call wigeonstep.BackendCall) wigeonstep.BackendResult {
	result := r.Backend.Call(ctx, call)
	r.record(call.VM, &result)
	return result
}

func (r *connectionRecorder) record(vm wigeonstep.VMID, result *wigeonstep.BackendResult) {
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
	case result.Verdict == wigeonstep.BackendNotSent, result.Verdict == wigeonstep.BackendOutcomeUnknown && !result.TimedOut:
		count.Failed++
	case result.Verdict != wigeonstep.BackendOutcomeUnknown:
		count.Succeeded++
	}
}

// takeCounts returns the counts since the previous call, sorted by VM, and resets them.
func (r *connectionRecorder) takeCounts() []*wigeonwire.VMReach {
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
