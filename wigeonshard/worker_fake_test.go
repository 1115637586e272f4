package wigeonshard

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// fakeWorker behaves as the platform's workers do.
type fakeWorker struct {
	listed  wigeonstep.ListedWorker
	born    time.Duration
	fence   wigeonstep.Fence
	lease   wigeonstep.WorkerMillis
	runs    map[wigeonstep.RunID]*fakeRun
	highest map[wigeonstep.TaskID]wigeonstep.RunNumber
	ended   []wigeonstep.EndedRun
	ends    uint64
	down    bool
	used    wigeonstep.Resources
}

type fakeRun struct {
	id   wigeonstep.RunID
	room wigeonstep.Resources
	over bool
}

func (f *fakeWorker) clock(w *world) wigeonstep.WorkerMillis {
	return wigeonstep.WorkerMillis(float64((w.now - f.born).Milliseconds()) * 0.985)
}

func (f *fakeWorker) extend(w *world, until wigeonstep.WorkerMillis) {
	if until <= f.lease {
		return
	}
	f.lease = until
	w.after(time.Duration(until-f.clock(w))*time.Millisecond*104/100, func() {
		if f.clock(w) >= f.lease {
			for _, r := range f.sorted() {
				f.end(w, r, wigeonstep.EndLapsed)
			}
		}
	})
}

func (f *fakeWorker) sorted() []*fakeRun {
	var runs []*fakeRun
	for _, r := range f.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *fakeRun) int { return cmp.Compare(fmt.Sprint(a.id), fmt.Sprint(b.id)) })
	return runs
}

func (f *fakeWorker) start(w *world, order wigeonstep.StartOrder) any {
	result := wigeonstep.StartResult{Verdict: wigeonstep.StartTaken, Clock: f.clock(w)}
	if order.Fence < f.fence {
		result.Verdict = wigeonstep.StartFenced
		return result
	}
	f.fence = order.Fence
	if f.runs[order.Run] != nil {
		return result
	}
	if f.highest[order.Run.Task] >= order.Run.Number {
		result.Verdict = wigeonstep.StartOld
		return result
	}
	if order.Until <= f.clock(w) {
		result.Verdict = wigeonstep.StartLate
		return result
	}
	f.extend(w, order.Until)
	step := w.jobs[order.Run.Task.Job].Steps[order.Run.Task.Step]
	if !f.listed.Capacity.Sub(f.used).Holds(step.Room()) {
		w.fault("worker %s is over its room with %v", f.listed.ID, order.Run)
	}
	w.remember(order.Run.Task, "run %d starts on %s by %d", order.Run.Number, f.listed.ID, order.Fence)
	w.checkStart(order.Run, step)
	run := &fakeRun{id: order.Run, room: step.Room()}
	f.used = f.used.Add(run.room)
	f.runs[order.Run] = run
	if !step.LongRunning {
		length, cause := w.duration(order.Run)
		w.after(length, func() { f.end(w, run, cause) })
	}
	return result
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("at %s: ", w.now-time.Hour)+fmt.Sprintf(format, args...))
}

// remember adds a line to the history of a task, which a fault shows.
func (w *world) remember(id wigeonstep.TaskID, format string, args ...any) {
	w.history[id] = append(w.history[id], fmt.Sprintf("%s ", w.now-time.Hour)+fmt.Sprintf(format, args...))
}

func (w *world) checkStart(id wigeonstep.RunID, step wigeonjob.Step) {
	if w.running[id.Task] > 0 && !step.Speculative {
		w.fault("task %v starts while it runs: %v", id, w.history[id.Task])
	}
	if w.noted[id.Task] {
		w.fault("task %v starts after its end was noted: %v", id, w.history[id.Task])
	}
	for _, before := range step.After {
		job := w.jobs[id.Task.Job]
		for i := range job.Steps[before].Count {
			if !w.doneTasks[wigeonstep.TaskID{Job: id.Task.Job, Occurrence: id.Task.Occurrence, Step: before, Index: i}] {
				w.fault("task %v starts before step %d is done", id, before)
			}
		}
	}
	w.running[id.Task]++
}

func (f *fakeWorker) end(w *world, r *fakeRun, cause wigeonstep.EndCause) {
	if r.over {
		return
	}
	r.over = true
	delete(f.runs, r.id)
	w.remember(r.id.Task, "run %d ends on %s: %d", r.id.Number, f.listed.ID, cause)
	w.running[r.id.Task]--
	f.used = f.used.Sub(r.room)
	f.highest[r.id.Task] = max(f.highest[r.id.Task], r.id.Number)
	f.ends++
	f.ended = append(f.ended, wigeonstep.EndedRun{Number: f.ends, Run: r.id, Cause: cause})
	if cause == wigeonstep.EndDone {
		w.doneTasks[r.id.Task] = true
	}
}

func (f *fakeWorker) stop(w *world, id wigeonstep.RunID, fence wigeonstep.Fence) any {
	if fence < f.fence {
		return wigeonstep.ErrFenced
	}
	f.fence = fence
	f.highest[id.Task] = max(f.highest[id.Task], id.Number)
	if r := f.runs[id]; r != nil {
		w.after(100*time.Millisecond, func() { f.end(w, r, wigeonstep.EndStopped) })
	}
	return nil
}

func (f *fakeWorker) hold(w *world, order wigeonstep.HoldOrder) any {
	if order.Fence < f.fence {
		return wigeonstep.ErrFenced
	}
	f.fence = order.Fence
	f.extend(w, order.Until)
	f.ended = slices.DeleteFunc(f.ended, func(e wigeonstep.EndedRun) bool {
		if e.Number <= order.LastSeen && e.Cause == wigeonstep.EndDone {
			w.noted[e.Run.Task] = true
			w.remember(e.Run.Task, "the end is noted by %d", order.Fence)
		}
		return e.Number <= order.LastSeen
	})
	result := wigeonstep.HoldResult{Clock: f.clock(w), Born: f.listed.Born, Ended: slices.Clone(f.ended)}
	for _, r := range f.sorted() {
		result.Running = append(result.Running, wigeonstep.RunningRun{Run: r.id, Percent: 100})
	}
	return result
}

// crash ends a worker without a trace; it starts again under the same id when reborn is set.
func (w *world) crash(id wigeonstep.WorkerID, reborn bool) {
	f := w.workers[id]
	for _, r := range f.sorted() {
		r.over = true
		w.running[r.id.Task]--
	}
	f.runs = map[wigeonstep.RunID]*fakeRun{}
	f.used = wigeonstep.Resources{}
	f.down = true
	if !reborn {
		return
	}
	w.after(1200*time.Millisecond, func() { f.restart(w) })
}

func (f *fakeWorker) restart(w *world) {
	f.down = false
	f.born, f.fence, f.lease, f.ends, f.ended = w.now, 0, 0, 0, nil
	f.highest = map[wigeonstep.TaskID]wigeonstep.RunNumber{}
	f.listed.Born = wigeonstep.UnixMillis(w.now.Milliseconds())
}
