package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	registerEvery = 1500 * time.Millisecond
	stopTime      = 100 * time.Millisecond
	maxLease      = 6 * time.Second
)

// worker is a stand-in of a worker that guards its capacity. A spec has the form "STEP:key=value,...;STEP:...", with the keys ms (run
// time), cpu (thousandths of a core) and mem (MB). A step without ms runs until it is stopped.
type worker struct {
	id, service, address string
	labels               []string
	cpu, mem             int
	store                *store
	log                  *record
	born                 time.Time
	server               *http.Server
	// swallow reports whether the worker crashes silently when it gets the start, which its next process carries out; nil for never.
	swallow func(*worker, order) bool

	mu   sync.Mutex
	down bool
	// dark is set from a silent crash until the next process is up: calls get no answer and no end of their connection.
	dark bool
	// late is the start that the next process carries out when it is up; nil for none.
	late       *order
	fence      uint64
	leaseEnd   int64
	runs       map[string]*taskRun
	highest    map[string]uint32
	ended      [][]any
	endedCount int
	changed    chan struct{}
	usedCPU    int
	usedMem    int
	seq        int
}

type taskRun struct {
	task     string
	run      uint32
	began    time.Time
	length   time.Duration
	cpu, mem int
}

func startWorker(s *store, log *record, id, service string, cpu, mem int, labels []string) (*worker, error) {
	w := &worker{id: id, service: service, cpu: cpu, mem: mem, labels: labels, store: s, log: log}
	return w, w.boot()
}

// boot starts a process of the worker, the first one or the next one under its id.
func (w *worker) boot() error {
	w.mu.Lock()
	w.down, w.dark, w.fence, w.leaseEnd, w.endedCount, w.ended = false, false, 0, 0, 0, nil
	w.runs, w.highest, w.changed = map[string]*taskRun{}, map[string]uint32{}, make(chan struct{})
	w.usedCPU, w.usedMem, w.seq = 0, 0, 0
	w.born = time.Now()
	if o := w.late; o != nil {
		w.late = nil
		w.fence = o.Fence
		w.log.event("late-start", map[string]any{"worker": w.id, "task": o.Task, "run": o.Run, "fence": o.Fence})
		w.start(nil, *o)
	}
	w.mu.Unlock()
	address := "127.0.0.1:0"
	if w.address != "" {
		address = w.address
	}
	if w.server != nil {
		_ = w.server.Close()
	}
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	w.address = listener.Addr().String()
	w.server = &http.Server{Handler: w}
	go func(s *http.Server) { _ = s.Serve(listener) }(w.server)
	go w.register(w.born)
	go w.checkLease(w.born)
	return nil
}

// goDark ends the process of the worker without a sign. The caller holds w.mu.
func (w *worker) goDark() {
	w.down, w.dark = true, true
	for _, r := range w.runs {
		w.log.event("run-lost", map[string]any{"worker": w.id, "task": r.task, "run": r.run, "cause": "its worker crashed"})
	}
	w.runs = map[string]*taskRun{}
	w.log.event("worker-crash", map[string]any{"worker": w.id})
}

func (w *worker) register(born time.Time) {
	for {
		w.mu.Lock()
		if w.down || w.born != born {
			w.mu.Unlock()
			return
		}
		w.seq++
		entry := map[string]any{
			"service": w.service, "address": w.address, "zone": "a", "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0, "seq_no": w.seq,
			"born": born.UnixMilli(), "capacity": map[string]any{"cpu": w.cpu, "mem_mb": w.mem, "gpu": 0}, "labels": w.labels,
		}
		w.mu.Unlock()
		w.store.put("keyed.servers", w.id, entry)
		time.Sleep(registerEvery)
	}
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

func (w *worker) checkLease(born time.Time) {
	for {
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		if w.down || w.born != born {
			w.mu.Unlock()
			return
		}
		now := time.Now()
		lapsed := w.leaseEnd > 0 && w.clock() > w.leaseEnd
		for _, r := range w.runs {
			switch {
			case lapsed:
				w.end(r, "lapsed")
			case r.length > 0 && now.Sub(r.began) >= r.length:
				w.end(r, "done")
			}
		}
		w.mu.Unlock()
	}
}

// end ends a run. The caller holds w.mu.
func (w *worker) end(r *taskRun, how string) {
	key := runKey(r.task, r.run)
	if w.runs[key] != r {
		return
	}
	delete(w.runs, key)
	w.usedCPU -= r.cpu
	w.usedMem -= r.mem
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.endedCount++
	w.ended = append(w.ended, []any{w.endedCount, r.task, r.run, how, ""})
	w.log.event("run-end", map[string]any{"worker": w.id, "task": r.task, "run": r.run, "how": how})
	close(w.changed)
	w.changed = make(chan struct{})
}

func runKey(task string, run uint32) string { return fmt.Sprintf("%s/%d", task, run) }

// used returns the share of the worker's processors that its runs have.
func (w *worker) used() (cpu, capacity, runs int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.usedCPU, w.cpu, len(w.runs)
}

type order struct {
	Task     string `json:"task"`
	Run      uint32 `json:"run"`
	Spec     string `json:"spec"`
	UntilMS  int64  `json:"until_ms"`
	Fence    uint64 `json:"fence"`
	LastSeen int    `json:"last_seen"`
	WaitMS   int64  `json:"wait_ms"`
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &o) != nil {
		answer(rw, 400, map[string]any{})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dark {
		w.mu.Unlock()
		<-r.Context().Done()
		w.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	if w.down {
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get("X-Wigeonstep-Expect-Instance") != w.id {
		answer(rw, 421, map[string]any{})
		return
	}
	if o.Fence < w.fence {
		answer(rw, 409, map[string]any{"clock_ms": w.clock(), "reason": "fence"})
		return
	}
	w.fence = o.Fence
	switch r.URL.Path {
	case "/-/run-start":
		if w.swallow != nil && w.swallow(w, o) {
			w.late = &o
			w.goDark()
			w.mu.Unlock()
			<-r.Context().Done()
			w.mu.Lock()
			panic(http.ErrAbortHandler)
		}
		w.start(rw, o)
	case "/-/run-stop":
		w.stop(rw, o)
	case "/-/hold":
		w.hold(rw, r, o)
	case "/-/pace":
		answer(rw, 200, map[string]any{"clock_ms": w.clock()})
	default:
		answer(rw, 404, map[string]any{})
	}
}

func (w *worker) extend(until int64) {
	until = min(until, w.clock()+maxLease.Milliseconds())
	w.leaseEnd = max(w.leaseEnd, until)
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	answer(rw, 409, map[string]any{"clock_ms": w.clock(), "reason": reason})
}

// start carries out an order to start a run. rw is nil if nobody waits for the answer.
func (w *worker) start(rw http.ResponseWriter, o order) {
	if rw == nil {
		rw = httptest.NewRecorder()
	}
	length, cpu, mem := parseSpec(o.Spec, o.Task)
	key := runKey(o.Task, o.Run)
	switch {
	case w.runs[key] != nil:
		w.extend(o.UntilMS)
		answer(rw, 200, map[string]any{"clock_ms": w.clock()})
		return
	case w.highest[o.Task] >= o.Run:
		w.extend(o.UntilMS)
		w.refuse(rw, "old")
		return
	case o.UntilMS <= w.clock():
		w.refuse(rw, "late")
		return
	case w.usedCPU+cpu > w.cpu || w.usedMem+mem > w.mem:
		w.extend(o.UntilMS)
		w.refuse(rw, "room")
		return
	}
	w.extend(o.UntilMS)
	run := &taskRun{task: o.Task, run: o.Run, began: time.Now(), length: length, cpu: cpu, mem: mem}
	w.runs[key] = run
	w.usedCPU += cpu
	w.usedMem += mem
	w.log.event("run-start", map[string]any{"worker": w.id, "task": o.Task, "run": o.Run, "fence": o.Fence})
	answer(rw, 200, map[string]any{"clock_ms": w.clock()})
}

func (w *worker) stop(rw http.ResponseWriter, o order) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if run := w.runs[runKey(o.Task, o.Run)]; run != nil {
		born := w.born
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.born == born && !w.down {
				w.end(run, "stopped")
			}
		})
	}
	answer(rw, 200, map[string]any{"clock_ms": w.clock()})
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	w.extend(o.UntilMS)
	rest := w.ended[:0]
	for _, row := range w.ended {
		if row[0].(int) > o.LastSeen {
			rest = append(rest, row)
			continue
		}
		w.log.event("end-noted", map[string]any{"worker": w.id, "task": row[1], "run": row[2], "how": row[3]})
	}
	w.ended = rest
	timer := time.NewTimer(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	defer timer.Stop()
	born := w.born
	for waiting := o.WaitMS > 0; waiting && len(w.ended) == 0 && !w.down && w.born == born; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
	}
	if w.dark {
		w.mu.Unlock()
		<-r.Context().Done()
		w.mu.Lock()
	}
	if w.down || w.born != born {
		panic(http.ErrAbortHandler)
	}
	running := [][]any{}
	for _, run := range w.runs {
		percent := 100
		if run.length > 0 {
			percent = min(99, int(100*time.Since(run.began)/run.length))
		}
		running = append(running, []any{run.task, run.run, "", percent, 0})
	}
	ended := w.ended[:min(len(w.ended), 500)]
	answer(rw, 200, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended})
}

// parseSpec returns the run time and the size of a task.
func parseSpec(spec, task string) (length time.Duration, cpu, mem int) {
	step := ""
	if parts := strings.Split(task, "."); len(parts) == 4 {
		step = parts[2]
	}
	spec, _, _ = strings.Cut(spec, "|")
	for _, part := range strings.Split(spec, ";") {
		name, fields, _ := strings.Cut(part, ":")
		if name != step && name != "*" {
			continue
		}
		for _, field := range strings.Split(fields, ",") {
			key, text, _ := strings.Cut(field, "=")
			n, _ := strconv.Atoi(text)
			switch key {
			case "ms":
				length = time.Duration(n) * time.Millisecond
			case "cpu":
				cpu = n
			case "mem":
				mem = n
			}
		}
		if name == step {
			return length, cpu, mem
		}
	}
	return length, cpu, mem
}
