package wigeonshard

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// Settings bound what an owner does.
type Settings struct {
	// Lease is how long the runs of a worker last without a renewal.
	Lease time.Duration
	// HoldWait is how long a worker may wait for an end before it answers a hold; well below Lease.
	HoldWait time.Duration
	// HoldGap is the pause between two holds of a worker, so that ends are reported together.
	HoldGap time.Duration
	// ConfirmLimit is how long an owner that hears nothing from the log renews leases. A new owner waits as long, and a
	// lease more, before it counts the runs of a worker that it can't reach as gone.
	ConfirmLimit time.Duration
	// Address is where peers reach this process.
	Address string
}

// Owner decides for one shard. Its methods are called by one goroutine.
type Owner struct {
	settings Settings
	fence    wigeonstep.Fence
	// began is when the ownership began, confirmed when the log or the group last confirmed it.
	began     time.Duration
	confirmed time.Duration
	deposed   bool

	jobs map[wigeonstep.JobID]*job
	// ended holds the durable last states of the jobs that this owner has forgotten.
	ended map[wigeonstep.JobID]wigeonjob.State
	// order holds the jobs in the order in which they became known.
	order   []*job
	workers map[wigeonstep.WorkerID]*worker
	// roster holds the workers by id, so that decisions do not depend on the order of a map.
	roster []*worker
	// released names the workers whose release the log holds.
	released map[wigeonstep.WorkerID]bool
	// absent is since when a released worker has been neither listed nor the holder of a run.
	absent map[wigeonstep.WorkerID]time.Duration
	// swept is when releases were last looked through.
	swept    time.Duration
	arrivals map[wigeonstep.ServiceName]*arrivals

	// placed is when the last round of placement was, changed is set when something has changed since.
	placed  time.Duration
	changed bool

	dirty    []*job
	releases []wigeonjob.Release
	// unreleases names the workers whose releases leave the log.
	unreleases []wigeonstep.WorkerID
	// drops names ended jobs that are to be removed from the log.
	drops []wigeonstep.JobID
	// noted is set once a note of this owner is durable, renote while the newest one is out of date.
	noted  bool
	renote bool
	// inherited holds the lapses in the note of the owner before.
	inherited map[wigeonstep.WorkerID]wigeonstep.UnixMillis
	flush     *flush
	out       Actions
}

// NewOwner returns the owner of a shard from the moment at which the log accepted its fence.
// before is the newest note of an owner that the log holds.
func NewOwner(settings Settings, fence wigeonstep.Fence, now Now, before wigeonjob.OwnerNote) *Owner {
	inherited := map[wigeonstep.WorkerID]wigeonstep.UnixMillis{}
	for _, l := range before.Lapses {
		inherited[l.Worker] = l.At
	}
	return &Owner{
		inherited: inherited,
		settings:  settings,
		fence:     fence,
		began:     now.Steady,
		confirmed: now.Steady,
		jobs:      map[wigeonstep.JobID]*job{},
		ended:     map[wigeonstep.JobID]wigeonjob.State{},
		workers:   map[wigeonstep.WorkerID]*worker{},
		released:  map[wigeonstep.WorkerID]bool{},
		absent:    map[wigeonstep.WorkerID]time.Duration{},
		arrivals:  map[wigeonstep.ServiceName]*arrivals{},
	}
}

// Fence returns the fencing token of the ownership.
func (o *Owner) Fence() wigeonstep.Fence { return o.fence }

// Deposed reports whether a peer has seen a higher fence. The owner must be dropped then.
func (o *Owner) Deposed() bool { return o.deposed }

// Confirm notes that the log or the group confirmed the ownership at the time.
func (o *Owner) Confirm(at time.Duration) { o.confirmed = max(o.confirmed, at) }

// State returns the durable state of a job that this owner holds.
func (o *Owner) State(id wigeonstep.JobID) (wigeonjob.State, bool) {
	j := o.jobs[id]
	if j == nil {
		state, known := o.ended[id]
		return state, known
	}
	if j.cancelled && !j.shown.Terminal() {
		return wigeonjob.StateCancelled, true
	}
	return j.shown, true
}

// Drop removes jobs from the log whose last state nobody asks for any more.
func (o *Owner) Drop(ended []wigeonstep.JobID) {
	for _, id := range ended {
		if o.jobs[id] == nil {
			delete(o.ended, id)
			o.drops = append(o.drops, id)
		}
	}
}

// SetWorkers takes over the workers of the services of this shard.
func (o *Owner) SetWorkers(now Now, listed []wigeonstep.ListedWorker) {
	o.changed = true
	for _, w := range o.roster {
		w.listed = false
	}
	for _, l := range listed {
		w := o.worker(now, l.ID)
		born := w.Born
		w.ListedWorker = l
		if w.known {
			// What the worker itself said last tells its lives apart; an entry may be older or newer than that.
			w.Born = born
		}
		w.listed = true
	}
	o.forgetWorkers()
}

// forgetWorkers drops the workers that are neither listed nor hold a run, once the log holds no lapse of them.
func (o *Owner) forgetWorkers() {
	o.roster = slices.DeleteFunc(o.roster, func(w *worker) bool {
		gone := !w.listed && len(w.runs) == 0
		if gone && w.noted {
			o.renote = true
			return false
		}
		if gone {
			delete(o.workers, w.ID)
		}
		return gone
	})
}

// SetCordons names the workers that have to be emptied, with their VMs.
func (o *Owner) SetCordons(cordons map[wigeonstep.WorkerID]wigeonstep.VMID) {
	for _, w := range o.roster {
		if vm, ok := cordons[w.ID]; ok {
			w.cordoned = vm
		}
	}
}

// Released returns the workers whose release the log holds.
func (o *Owner) Released() []wigeonstep.WorkerID {
	var released []wigeonstep.WorkerID
	for _, w := range o.roster {
		if o.released[w.ID] {
			released = append(released, w.ID)
		}
	}
	return released
}

// SetReleased names a worker whose release the log holds.
func (o *Owner) SetReleased(r wigeonjob.Release) {
	o.released[r.Worker] = true
	if w := o.workers[r.Worker]; w != nil {
		w.cordoned, w.released = r.VM, true
	}
}

// worker returns the worker with the id, which may be known only from the log.
func (o *Owner) worker(now Now, id wigeonstep.WorkerID) *worker {
	if w := o.workers[id]; w != nil {
		return w
	}
	w := &worker{
		ListedWorker: wigeonstep.ListedWorker{ID: id},
		lost:         max(o.began, now.Steady) + time.Duration(float64(o.settings.ConfirmLimit+o.settings.Lease)/clockRate) + lapseMargin,
		released:     o.released[id],
	}
	if w.released {
		w.cordoned = wigeonstep.VMID(id)
	}
	if at, ok := o.inherited[id]; ok {
		w.lapse, w.noted = at, true
		w.lost = min(w.lost, now.Steady+max(time.Duration(at-now.Wall)*time.Millisecond+wallMargin, 0))
	}
	o.workers[id] = w
	i, _ := slices.BinarySearchFunc(o.roster, id, func(w *worker, id wigeonstep.WorkerID) int { return cmp.Compare(w.ID, id) })
	o.roster = slices.Insert(o.roster, i, w)
	return w
}

// reborn notes that a worker has started again under its id: nothing of before runs, and its counts start anew. there
// names the runs that the new life has. A start of before that got no answer may yet begin in the new life, so such a
// run is stopped there before its task goes on.
func (o *Owner) reborn(now Now, w *worker, there func(*run) bool) {
	for _, r := range slices.Clone(w.runs) {
		switch {
		case there(r), r.phase == runPlanned, r.phase == runWriting, r.phase == runStarting && r.startTry == 0:
		case r.phase == runStarting, r.phase == runUnknown:
			r.phase, r.settled, r.stopping, r.stopSent = runUnknown, -1, true, 0
		default:
			o.note("run_lost", r, "the worker started again", now.Steady-r.seen)
			o.resolve(now, r, wigeonstep.EndLapsed, r.task.checkpoint)
		}
	}
	w.Born = 0
	w.clock, w.clockAt, w.until = 0, 0, 0
	w.seen, w.writing, w.durable = 0, 0, 0
	w.known = false
	w.trust = trust{}
	o.noteWorker("worker_reborn", w, "it started again under its id")
}

// loseRuns resolves every run of a worker that is certainly not there any more.
func (o *Owner) loseRuns(now Now, w *worker, cause string) {
	for len(w.runs) > 0 {
		r := w.runs[0]
		o.note("run_lost", r, cause, now.Steady-r.seen)
		o.resolve(now, r, wigeonstep.EndLapsed, r.task.checkpoint)
	}
}

// Step returns what has to be done now.
func (o *Owner) Step(now Now) Actions {
	if !o.deposed {
		o.raiseOccurrences(now)
		o.expire(now)
		o.empty(now)
		o.sweepReleases(now)
		o.place(now)
		o.reorder(now)
		o.hold(now)
		o.write(now)
	}
	out := o.out
	o.out = Actions{}
	return out
}

// expire resolves the runs of workers whose leases have certainly passed.
func (o *Owner) expire(now Now) {
	for _, w := range o.roster {
		// A worker that is known only from the log has no address and never fails to answer.
		if len(w.runs) > 0 && (w.failures > 0 || !w.known) && w.lapsed(now.Steady) {
			o.loseRuns(now, w, "the lease lapsed")
		}
	}
	o.forgetWorkers()
}

func (o *Owner) note(event string, r *run, cause string, age time.Duration) {
	n := Note{Event: event, Cause: cause, Age: age, Run: r.id()}
	if r.worker != nil {
		n.Worker = r.worker.ID
	}
	o.out.Notes = append(o.out.Notes, n)
}

func (o *Owner) noteJob(event string, j *job, cause string, age time.Duration) {
	o.out.Notes = append(o.out.Notes, Note{Event: event, Cause: cause, Age: age, Run: wigeonstep.RunID{Task: wigeonstep.TaskID{Job: j.ID}}})
}

func (o *Owner) noteWorker(event string, w *worker, cause string) {
	o.out.Notes = append(o.out.Notes, Note{Event: event, Cause: cause, Worker: w.ID})
}

// wallMargin covers the difference between the times of day of two VMs.
const wallMargin = 2500 * time.Millisecond

func (o *Owner) touch(j *job) {
	o.changed = true
	if !j.dirty {
		j.dirty = true
		o.dirty = append(o.dirty, j)
	}
}
