package wigeonshard

import (
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

const (
	// clockRate is the slowest rate of a worker's clock against ours.
	clockRate = 0.98
	// lapseMargin is added to the end of a lease before its runs count as gone.
	lapseMargin = 150 * time.Millisecond
)

// worker is one life of a worker as the owner sees it.
type worker struct {
	wigeonstep.ListedWorker
	// listed is set while the worker's own entry is there.
	listed bool
	// known is set once the worker has answered a hold with this owner's fence; from then on no order of an earlier
	// owner has an effect there.
	known bool
	// clock is the worker's clock as it was read at clockAt, when the answer arrived.
	clock   wigeonstep.WorkerMillis
	clockAt time.Duration
	// until is the latest end of a lease that any order of this owner carried.
	until wigeonstep.WorkerMillis
	// lost is when the runs of earlier owners on a worker that never answered count as gone.
	lost time.Duration
	// lapse is when every lease on the worker has ended by the time of day, while it does not answer; 0 otherwise.
	lapse wigeonstep.UnixMillis
	// noted is set while the durable note of the owner may hold the lapse; no lease is renewed then.
	noted bool

	runs []*run
	used wigeonstep.Resources
	// bestEffort counts the best-effort runs.
	bestEffort int
	// paced is when the pace of the best-effort runs last changed.
	paced time.Duration
	// unexpected counts the runs that the worker listed and that should not be there.
	unexpected int

	// seen is the number of the last end that was taken over, durable the last one whose consequences the log holds.
	seen, writing, durable uint64

	holding  bool
	holdSent time.Duration
	// nextHold is when the next hold may be sent.
	nextHold time.Duration
	renewed  time.Duration
	failures int

	// cordoned names the VM when the worker has to be emptied for upkeep.
	cordoned wigeonstep.VMID
	released bool

	trust trust
}

func (w *worker) ref() wigeonstep.WorkerRef {
	return wigeonstep.WorkerRef{ID: w.ID, Address: w.Address}
}

// readClock takes a reading of the worker's clock over.
func (w *worker) readClock(clock wigeonstep.WorkerMillis, at time.Duration) {
	if clock == 0 {
		return
	}
	w.clock, w.clockAt = clock, at
}

// clockLow returns a time that the worker's clock has certainly reached.
func (w *worker) clockLow(now time.Duration) wigeonstep.WorkerMillis {
	return w.clock + wigeonstep.WorkerMillis(float64((now-w.clockAt).Milliseconds())*clockRate)
}

// lease returns the end of a lease of the given length, and remembers the latest one.
func (w *worker) lease(now, length time.Duration) wigeonstep.WorkerMillis {
	until := w.clock + wigeonstep.WorkerMillis((now - w.clockAt + length).Milliseconds())
	w.until = max(w.until, until)
	return until
}

// lapsed reports whether everything that ran on the worker has certainly ended, because no lease reaches this far.
func (w *worker) lapsed(now time.Duration) bool {
	if !w.known {
		return now > w.lost
	}
	return w.clockLow(now) > w.until+wigeonstep.WorkerMillis(lapseMargin.Milliseconds())
}

// lapseAt returns the time of day at which every lease that this owner or an earlier one gave has ended.
func (w *worker) lapseAt(now Now) wigeonstep.UnixMillis {
	left := w.lost - now.Steady
	if w.known {
		left = time.Duration(float64(w.until-w.clockLow(now.Steady))/clockRate)*time.Millisecond + lapseMargin
	}
	return now.Wall + wigeonstep.UnixMillis(max(left, 0).Milliseconds())
}

func (w *worker) hasLabel(label wigeonstep.Label) bool {
	return slices.Contains(w.Labels, label)
}

func (w *worker) free() wigeonstep.Resources {
	return w.Capacity.Sub(w.used)
}

// usable reports whether new work may be started on the worker.
func (w *worker) usable() bool {
	return w.listed && w.known && !w.Draining && w.cordoned == "" && w.failures == 0 && w.unexpected == 0 && !w.noted
}

func (w *worker) attach(r *run) {
	w.runs = append(w.runs, r)
	w.used = w.used.Add(r.task.step.Room())
	if r.task.step.BestEffort {
		w.bestEffort++
	}
}

func (w *worker) detach(r *run) {
	i := slices.Index(w.runs, r)
	if i < 0 {
		return
	}
	w.runs = slices.Delete(w.runs, i, i+1)
	w.used = w.used.Sub(r.task.step.Room())
	if r.task.step.BestEffort {
		w.bestEffort--
	}
}

// find returns the run on the worker, or nil.
func (w *worker) find(id wigeonstep.RunID) *run {
	for _, r := range w.runs {
		if r.number == id.Number && r.task.id == id.Task {
			return r
		}
	}
	return nil
}

// countOf returns how many runs of an occurrence of a step are on the worker.
func (w *worker) countOf(s *step) int {
	n := 0
	for _, r := range w.runs {
		if r.task.step == s {
			n++
		}
	}
	return n
}
