package wigeonshard

import "slices"

// withdrawExcess withdraws the newest runs whose starts have not been sent, until the runs fit on a worker whose capacity has
// shrunk. Runs that have started stay.
func (o *Owner) withdrawExcess(now Timestamp, w *worker) {
	used := w.used
	for _, r := range slices.Backward(slices.Clone(w.runs)) {
		if w.Capacity.Covers(used) {
			return
		}
		if !r.unsent() || r.stopping {
			continue
		}
		used = used.Sub(r.task.step.Reserved())
		o.withdraw(now, r, "the capacity of its worker has shrunk")
	}
}

// withdraw ends a run whose start has not been sent.
func (o *Owner) withdraw(now Timestamp, r *run, cause string) {
	o.recordRunDecision("run_withdrawn", r, cause, 0)
	if r.phase == runWriting {
		// It ends once its record is durable.
		r.stopping = true
		return
	}
	o.endUnstartedRun(now, r)
}

// overCapacity reports whether the runs on the worker exceed its capacity, which may have shrunk since they started.
func (w *worker) overCapacity() bool {
	return !w.Capacity.Covers(w.used)
}

// possible reports whether the worker will have the room of the hold once its finite and stopping runs have ended.
func (h *roomHold) possible() bool {
	free := h.worker.Capacity
	for _, r := range h.worker.runs {
		if r.task.step.LongRunning && !r.stopping {
			free = free.Sub(r.task.step.Reserved())
		}
	}
	for _, other := range h.worker.held.holds {
		if other != h && other.granted {
			free = free.Sub(other.task.step.Reserved())
		}
	}
	return free.Covers(h.task.step.Reserved())
}
