package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

var scenarios = map[string]scenario{
	"lock":   {nodes: 3, workers: 6, memoryMB: 284, play: playLock},
	"memory": {nodes: 3, workers: 6, memoryMB: 284, play: playMemory},
	"cancel": {nodes: 3, workers: 6, memoryMB: 284, play: playCancel},
	"zero":   {nodes: 3, workers: 6, memoryMB: 284, play: playZero},
	"crash":  {nodes: 3, workers: 7, memoryMB: 284, onStart: crashOnStart, play: playCrash},
}

const finish = 14 * time.Second

// awaitEnds asks for the states of jobs until all have ended or the time is over, and returns those that have not.
func (w *world) awaitEnds(ids []string, limit time.Duration) map[string]string {
	open := map[string]string{}
	for _, id := range ids {
		open[id] = ""
	}
	for began := time.Now(); ; time.Sleep(500 * time.Millisecond) {
		for i, id := range ids {
			if _, waiting := open[id]; !waiting {
				continue
			}
			status, state := w.state(id, i)
			open[id] = fmt.Sprintf("%d %s", status, state)
			if state == "completed" {
				delete(open, id)
			}
		}
		if len(open) == 0 || time.Since(began) > limit {
			return open
		}
	}
}

// wideJob returns a job whose first step can be done, while its wide later steps need a label that no worker has.
func wideJob(tasks int) map[string]any {
	steps := []map[string]any{{"count": 1, "cpu": 500, "mem_mb": 128, "estimate_ms": 200}}
	for tasks > 0 {
		n := min(tasks, 4096)
		tasks -= n
		steps = append(steps, map[string]any{"count": n, "cpu": 500, "mem_mb": 128, "estimate_ms": 200, "after": []int{0}, "required_label": "kiln-z"})
	}
	return map[string]any{"spec": "*:ms=200,cpu=500,mem=128", "steps": steps}
}

// playLock hands in three wide jobs that can never be done, and ordinary ones after them.
func playLock(w *world) (verdict, error) {
	var early, late []string
	for i := range 5 {
		id := newID()
		if !w.submit(id, oneStep(2, 300, 1000), i) {
			return verdict{}, fmt.Errorf("an early job was not accepted")
		}
		early = append(early, id)
	}
	if open := w.awaitEnds(early, 10*time.Second); len(open) > 0 {
		return verdict{}, fmt.Errorf("early jobs have not ended: %v", open)
	}
	var hopeless []string
	if w.trouble {
		for i, tasks := range []int{30000, 30000, 30000} {
			id := newID()
			if !w.submit(id, wideJob(tasks), i) {
				return verdict{}, fmt.Errorf("a wide job was not accepted")
			}
			hopeless = append(hopeless, id)
			time.Sleep(1500 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	for i := range 60 {
		id := newID()
		if w.submit(id, oneStep(2, 300, 1000), i) {
			late = append(late, id)
		}
		time.Sleep(500 * time.Millisecond)
	}
	w.log.say("%d ordinary jobs were accepted; the traffic has ended", len(late))
	v := w.findIdle(late)
	for _, id := range hopeless {
		w.state(id, 0)
	}
	return v, nil
}

// findIdle looks, from finish_s after the end of the traffic on and for 3 s, for accepted jobs whose tasks can be done, that have
// nothing running, while less than half of the capacity is in use.
func (w *world) findIdle(ids []string) verdict {
	time.Sleep(finish)
	open := w.awaitEnds(ids, 0)
	mostUsed, capacity := 0, 0
	began := time.Now()
	for time.Since(began) < 3500*time.Millisecond {
		used, all, _ := w.use()
		mostUsed, capacity = max(mostUsed, used), all
		time.Sleep(100 * time.Millisecond)
	}
	var idle []string
	for id, state := range open {
		if w.log.runs(id, began) == 0 {
			idle = append(idle, id)
			w.log.event("nothing-running", map[string]any{"job": id, "state": state})
		}
	}
	why := fmt.Sprintf("%.0f s after the end of the traffic and for 3 s more, %d of %d accepted ordinary jobs have nothing running; at most %d of %d thousandths of a core were in use",
		finish.Seconds(), len(idle), len(ids), mostUsed, capacity)
	return verdict{len(idle) > 0 && 2*mostUsed < capacity, why}
}

// longLists returns a job for a later time with as many steps as the system takes, each after all earlier ones.
func longLists(steps int, startAt int64) map[string]any {
	var all []map[string]any
	for n := range steps {
		s := map[string]any{"count": 1, "cpu": 500, "mem_mb": 128, "estimate_ms": 200}
		after := make([]int, n)
		for i := range after {
			after[i] = i
		}
		if n > 0 {
			s["after"] = after
		}
		all = append(all, s)
	}
	return map[string]any{"spec": "*:ms=200,cpu=500,mem=128", "steps": all, "repeats": 1, "start_at_ms": startAt, "interval_ms": 1000}
}

// playMemory hands in jobs that are due in an hour, each within all limits.
func playMemory(w *world) (verdict, error) {
	jobs, steps := 900, 256
	if !w.trouble {
		steps = 8
	}
	body := longLists(steps, time.Now().Add(time.Hour).UnixMilli())
	var ids []string
	refused := 0
	began := time.Now()
	for i := range jobs {
		if time.Since(began) > 60*time.Second {
			break
		}
		id := newID()
		status, _ := call(w.log, w.nodes[i%len(w.nodes)], "POST", prefix+id, body)
		if status/100 == 2 {
			ids = append(ids, id)
		} else {
			refused++
		}
	}
	w.log.say("%d jobs accepted, %d calls refused or without an answer, in %.0f s", len(ids), refused, time.Since(began).Seconds())
	time.Sleep(finish)
	sampled, unknown := 0, 0
	for i := 0; i < len(ids); i += max(len(ids)/10, 1) {
		sampled++
		if !w.known(ids[i], i) {
			unknown++
		}
	}
	kills, hit := 0, 0
	for _, n := range w.nodes {
		n.mu.Lock()
		kills += n.kills
		if n.ends >= 3 {
			hit++
		}
		n.mu.Unlock()
	}
	why := fmt.Sprintf("on %d of %d machines processes ended by themselves three times or more, %d ends for the memory in all; %d of %d sampled accepted jobs are unknown or get no answer, %.0f s after the last call",
		hit, len(w.nodes), kills, unknown, sampled, finish.Seconds())
	return verdict{hit >= 2 || unknown > 0, why}, nil
}

// known asks for a job up to five times, at any process, and reports whether one of them knew it.
func (w *world) known(id string, at int) bool {
	for try := range 5 {
		if status, state := w.state(id, at+try); status == 200 && state != "" {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// jobsInBuffer is the number of jobs that a frozen process has in its receive buffers.
const jobsInBuffer = 8

type cancelled struct {
	id     string
	status int
	at     time.Time
}

// playCancel freezes each process once, one after the other, with jobs in its receive buffers. Their clients get no answer in time and
// cancel them at another process.
func playCancel(w *world) (verdict, error) {
	var jobs []cancelled
	for i, frozen := range w.nodes {
		for _, c := range w.cancelDuringFreeze(frozen, w.nodes[(i+1)%len(w.nodes)]) {
			if c.status/100 != 2 && c.status != 410 {
				return verdict{}, fmt.Errorf("a cancellation got status %d", c.status)
			}
			jobs = append(jobs, c)
		}
		time.Sleep(4 * time.Second)
	}
	time.Sleep(14 * time.Second)
	var late []string
	broken := 0
	for _, c := range jobs {
		w.state(c.id, 1)
		starts := w.log.startsAfter(c.id, c.at.Add(cancelLimit))
		if len(starts) > 0 {
			broken++
		}
		late = append(late, starts...)
	}
	return verdict{broken > 0, fmt.Sprintf("tasks of %d of %d jobs started later than 3 s after their cancelling was acknowledged: %s", broken, len(jobs), strings.Join(late, ", "))}, nil
}

func (w *world) cancelDuringFreeze(frozen, other *node) []cancelled {
	job := map[string]any{
		"spec": "0:ms=6000,cpu=1000,mem=128;1:ms=500,cpu=1000,mem=128",
		"steps": []map[string]any{
			{"count": 1, "cpu": 1000, "mem_mb": 128, "estimate_ms": 6000},
			{"count": 2, "cpu": 1000, "mem_mb": 128, "estimate_ms": 500, "after": []int{0}},
		},
	}
	if w.trouble {
		frozen.signal(syscall.SIGSTOP)
		time.AfterFunc(freeze, func() { frozen.signal(syscall.SIGCONT) })
	}
	results := make(chan cancelled, jobsInBuffer)
	for range jobsInBuffer {
		go func() {
			id := newID()
			call(w.log, frozen, "POST", prefix+id, job)
			time.Sleep(50 * time.Millisecond)
			status, _ := call(w.log, other, "DELETE", prefix+id, nil)
			w.log.event("cancel-answered", map[string]any{"job": id, "status": status})
			results <- cancelled{id, status, time.Now()}
		}()
	}
	var jobs []cancelled
	for range jobsInBuffer {
		jobs = append(jobs, <-results)
	}
	return jobs
}

const (
	// freeze is the time for which the process stands still.
	freeze = 3900 * time.Millisecond
	// cancelLimit is cancel_ms.
	cancelLimit = 3 * time.Second
)

// crashDelay is the age of a run at which its worker crashes, crashDown the time until the next process of the worker is up.
var (
	crashDelay = 40 * time.Millisecond
	crashDown  = 200 * time.Millisecond
	crashing   atomic.Bool
)

// crashOnStart crashes the first worker shortly after each start, whatever the task is, and starts it again under its id.
func crashOnStart(x *worker, _ *taskRun) {
	if !crashing.Load() || !strings.HasPrefix(x.id, "w00-") {
		return
	}
	x.mu.Lock()
	born := x.born
	x.mu.Unlock()
	time.Sleep(crashDelay)
	if !x.crash(born) {
		return
	}
	x.log.event("worker-crash", map[string]any{"worker": x.id})
	time.Sleep(crashDown)
	_ = x.boot()
	x.log.event("worker-up", map[string]any{"worker": x.id})
}

// playCrash hands in jobs that can be done while one worker crashes under whatever starts there.
func playCrash(w *world) (verdict, error) {
	crashing.Store(w.trouble)
	var ids []string
	for i := range 60 {
		id := newID()
		if w.submit(id, oneStep(2, 400, 1000), i) {
			ids = append(ids, id)
		}
		time.Sleep(900 * time.Millisecond)
	}
	crashing.Store(false)
	w.log.say("%d jobs were accepted; the traffic has ended", len(ids))
	time.Sleep(finish)
	open := w.awaitEnds(ids, 3*time.Second)
	failed := 0
	for id, state := range open {
		w.log.event("not-completed", map[string]any{"job": id, "state": state})
		if strings.HasSuffix(state, "failed") {
			failed++
		}
	}
	return verdict{failed > 0, fmt.Sprintf("%d of %d jobs are shown as failed, and %d others have not ended; no run ended as failed", failed, len(ids), len(open)-failed)}, nil
}

// playZero hands in one job whose tasks have no size, and ordinary jobs after it.
func playZero(w *world) (verdict, error) {
	if w.trouble {
		var steps []map[string]any
		for range 7 {
			steps = append(steps, map[string]any{"count": 4096, "estimate_ms": 300000})
		}
		if !w.submit(newID(), map[string]any{"spec": "*:ms=300000", "steps": steps}, 0) {
			return verdict{}, fmt.Errorf("the wide job was not accepted")
		}
	}
	time.Sleep(15 * time.Second)
	var ids []string
	for i := range 60 {
		id := newID()
		if w.submit(id, oneStep(2, 300, 1000), i) {
			ids = append(ids, id)
		}
		time.Sleep(500 * time.Millisecond)
	}
	_, _, runs := w.use()
	w.log.say("%d ordinary jobs were accepted; %d runs; the traffic has ended", len(ids), runs)
	return w.findIdle(ids), nil
}
