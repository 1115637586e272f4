//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/wigeonstep/wigeonstep/platform/wigeonstandin"
)

// Bounds of the small deployments (SYSTEM.md) and of PROTOCOL.md.
const (
	holdMax = 10 * time.Second
	// defaultStopTime and shortStopTime are below stop_ms, 200 ms.
	defaultStopTime = 100 * time.Millisecond
	shortStopTime   = 10 * time.Millisecond
	gangTime        = 3 * time.Second
	heartbeatTime   = 1500 * time.Millisecond
	startupTime     = 100 * time.Millisecond
	workerCPU       = 32000
	workerMemory    = 65536
	maxEnds         = 500
)

// stepSpec is a step of a job as its client sends it.
type stepSpec struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu"`
	Memory        int64  `json:"mem_mb"`
	EstimateMS    int64  `json:"estimate_ms"`
	Gang          bool   `json:"gang,omitempty"`
	LongRunning   bool   `json:"long_running,omitempty"`
	RequiredLabel string `json:"required_label,omitempty"`
	MayMiss       int    `json:"may_miss,omitempty"`
}

// jobSpec is a job as its client sends it.
type jobSpec struct {
	Spec       string     `json:"spec"`
	Steps      []stepSpec `json:"steps"`
	Repeats    int        `json:"repeats,omitempty"`
	StartAtMS  int64      `json:"start_at_ms,omitempty"`
	IntervalMS int64      `json:"interval_ms,omitempty"`
}

// pool holds what all workers share: the jobs of the clients, the runs of gangs, and the observer of starts and ends.
type pool struct {
	mu    sync.Mutex
	jobs  map[string]jobSpec
	gangs map[string]map[*taskRun]bool
	r     *recorder
	// stopTime is the time that a stop takes.
	stopTime time.Duration
	// onStart is called, without a lock, after a run has started.
	onStart func(w *worker, r *taskRun)
	// runsFailed holds, by step (ID.K.STEP), the runs of which a task ended failed.
	runsFailed map[string]map[uint32]bool
}

func newPool(r *recorder) *pool {
	return &pool{stopTime: defaultStopTime, jobs: map[string]jobSpec{}, gangs: map[string]map[*taskRun]bool{}, r: r, runsFailed: map[string]map[uint32]bool{}}
}

func (p *pool) add(id string, j jobSpec) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.jobs[id] = j
}

// stepOf returns the step of a task name ID.K.STEP.INDEX.
func (p *pool) stepOf(task string) (stepSpec, bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return stepSpec{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	j, ok := p.jobs[parts[0]]
	n, err := strconv.Atoi(parts[2])
	if !ok || err != nil || n >= len(j.Steps) {
		return stepSpec{}, false
	}
	return j.Steps[n], true
}

// stepName returns ID.K.STEP of a task name.
func stepName(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// taskRun is a run on a worker.
type taskRun struct {
	task    string
	run     uint32
	step    stepSpec
	worker  *worker
	workAt  time.Time
	ended   bool
	stopped bool
}

// worker is a stand-in of one life of a worker. It guards its capacity.
type worker struct {
	p       *pool
	store   *wigeonstandin.Store
	id      string
	rack    string
	kind    string
	born    time.Time
	address string
	cancel  context.CancelFunc
	server  *http.Server

	mu sync.Mutex
	// unhealthy makes the worker fail everything it runs.
	unhealthy bool
	// dark is closed when the worker goes down without closing its connections, which hang from then on.
	dark     chan struct{}
	crashed  bool
	fence    uint64
	leaseEnd int64
	runs     map[string]*taskRun
	highest  map[string]uint32
	ended    [][]any
	ends     int
	change   chan struct{}
}

func startWorker(ctx context.Context, p *pool, store *wigeonstandin.Store, id, rack, kind string) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	w := &worker{
		p: p, store: store, id: id, rack: rack, kind: kind, born: time.Now(), address: l.Addr().String(), cancel: cancel,
		runs: map[string]*taskRun{}, highest: map[string]uint32{}, change: make(chan struct{}), dark: make(chan struct{}),
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.handle)}
	go func() { _ = w.server.Serve(l) }()
	go w.heartbeats(ctx)
	go w.watchLease(ctx)
	return w, nil
}

// heartbeats writes the worker's entry to the store.
func (w *worker) heartbeats(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		entry, _ := json.Marshal(map[string]any{
			"service": service, "address": w.address, "zone": "a", "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0, "seq_no": n,
			"born": w.born.UnixMilli(), "capacity": map[string]any{"cpu": workerCPU, "mem_mb": workerMemory, "gpu": 0}, "labels": []string{w.kind, w.rack},
		})
		w.store.PutWorkerEntry(w.id, entry)
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatTime):
		}
	}
}

// crash ends the worker and all that it runs, without a word. With silent its connections hang, as those to a machine without
// power do; otherwise they are reset.
func (w *worker) crash(silent bool) {
	w.mu.Lock()
	w.crashed = true
	for _, r := range w.runs {
		r.ended = true
	}
	lost := len(w.runs)
	w.runs = map[string]*taskRun{}
	w.mu.Unlock()
	w.cancel()
	if silent {
		close(w.dark)
	} else {
		_ = w.server.Close()
	}
	w.p.r.printf("worker %s crashed with %d runs, silent: %t", w.id, lost, silent)
	time.AfterFunc(3*heartbeatTime, func() { w.store.PutWorkerEntry(w.id, nil) })
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1000 }

type order struct {
	Task     string `json:"task"`
	Run      uint32 `json:"run"`
	UntilMS  int64  `json:"until_ms"`
	Fence    uint64 `json:"fence"`
	LastSeen int    `json:"last_seen"`
	WaitMS   int64  `json:"wait_ms"`
}

// handle serves a request, or keeps it without an answer once the worker is dark.
func (w *worker) handle(out http.ResponseWriter, in *http.Request) {
	answered := make(chan struct{})
	recorder := &response{header: http.Header{}, status: http.StatusOK}
	go func() {
		defer close(answered)
		w.serve(recorder, in)
	}()
	select {
	case <-answered:
	case <-w.dark:
	}
	select {
	case <-w.dark:
		<-in.Context().Done()
		return
	default:
	}
	maps.Copy(out.Header(), recorder.header)
	out.WriteHeader(recorder.status)
	_, _ = out.Write(recorder.body.Bytes())
}

// response is an answer that is not sent yet.
type response struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *response) Header() http.Header         { return r.header }
func (r *response) WriteHeader(status int)      { r.status = status }
func (r *response) Write(b []byte) (int, error) { return r.body.Write(b) }

func (w *worker) serve(out http.ResponseWriter, in *http.Request) {
	if in.Method == http.MethodGet {
		return
	}
	var o order
	if json.NewDecoder(in.Body).Decode(&o) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := in.Header.Get("X-Wigeonstep-Expect-Instance"); id != "" && id != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	if o.Fence < w.fence {
		w.mu.Unlock()
		w.answer(out, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	w.fence = o.Fence
	w.mu.Unlock()
	switch in.URL.Path {
	case "/-/run-start":
		w.start(out, o)
	case "/-/run-stop":
		w.stop(out, o)
	case "/-/hold":
		w.hold(in.Context(), out, o)
	case "/-/pace":
		w.answer(out, http.StatusOK, map[string]any{})
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) answer(out http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"] = w.clock()
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(body)
}

// extend extends the lease; it never shortens. The caller holds w.mu.
func (w *worker) extend(until int64) {
	w.leaseEnd = max(w.leaseEnd, min(until, w.clock()+holdMax.Milliseconds()))
}

func (w *worker) start(out http.ResponseWriter, o order) {
	step, known := w.p.stepOf(o.Task)
	key := fmt.Sprintf("%s/%d", o.Task, o.Run)
	w.mu.Lock()
	usedCPU, usedMemory := step.CPU, step.Memory
	for _, r := range w.runs {
		usedCPU, usedMemory = usedCPU+r.step.CPU, usedMemory+r.step.Memory
	}
	status, reason := http.StatusOK, ""
	started := (*taskRun)(nil)
	switch {
	case !known:
		status = http.StatusBadRequest
	case w.runs[key] != nil:
	case w.highest[o.Task] >= o.Run:
		status, reason = http.StatusConflict, "old"
		w.extend(o.UntilMS)
	case o.UntilMS <= w.clock():
		status, reason = http.StatusConflict, "late"
	case usedCPU > workerCPU || usedMemory > workerMemory:
		status, reason = http.StatusConflict, "room"
		w.extend(o.UntilMS)
	default:
		w.extend(o.UntilMS)
		started = &taskRun{task: o.Task, run: o.Run, step: step, worker: w}
		w.runs[key] = started
	}
	w.mu.Unlock()
	body := map[string]any{}
	if reason != "" {
		body["reason"] = reason
	}
	if started != nil {
		w.p.begin(started)
	}
	w.answer(out, status, body)
	if started != nil && w.p.onStart != nil {
		w.p.onStart(w, started)
	}
}

// begin records the start of a run and lets it work, at once or when its gang is complete.
func (p *pool) begin(r *taskRun) {
	p.mu.Lock()
	members := []*taskRun{r}
	complete := true
	if r.step.Gang {
		key := fmt.Sprintf("%s/%d", stepName(r.task), r.run)
		if p.gangs[key] == nil {
			p.gangs[key] = map[*taskRun]bool{}
		}
		p.gangs[key][r] = true
		complete = len(p.gangs[key]) == r.step.Count
		members = nil
		for m := range p.gangs[key] {
			members = append(members, m)
		}
	}
	p.mu.Unlock()
	p.r.printf("worker %s started %s run %d", r.worker.id, r.task, r.run)
	if !complete {
		time.AfterFunc(gangTime, func() {
			r.worker.mu.Lock()
			waits := !r.ended && r.workAt.IsZero()
			r.worker.mu.Unlock()
			if waits {
				p.end(r, "alone")
			}
		})
		return
	}
	for _, m := range members {
		m.worker.mu.Lock()
		m.workAt = time.Now().Add(startupTime)
		unhealthy := m.worker.unhealthy
		m.worker.mu.Unlock()
		switch {
		case unhealthy:
			time.AfterFunc(startupTime, func() { p.end(m, "failed") })
		case !m.step.LongRunning:
			time.AfterFunc(time.Duration(m.step.EstimateMS)*time.Millisecond, func() { p.end(m, "done") })
		}
	}
}

// end ends a run, and what follows for its gang: all are done together, and the others are broken by any other end. Members that
// fail at the same moment end failed, each of them.
func (p *pool) end(r *taskRun, how string) {
	if !r.worker.finish(r, how) || !r.step.Gang {
		return
	}
	key := fmt.Sprintf("%s/%d", stepName(r.task), r.run)
	p.mu.Lock()
	var others []*taskRun
	for m := range p.gangs[key] {
		if m != r {
			others = append(others, m)
		}
	}
	p.mu.Unlock()
	follows := "broken"
	if how == "done" {
		follows = "done"
	}
	// The news of the end reaches the other members within milliseconds.
	time.AfterFunc(5*time.Millisecond, func() {
		for _, m := range others {
			m.worker.finish(m, follows)
		}
	})
}

// finish lists the end of a run; it returns false if the run has ended before.
func (w *worker) finish(r *taskRun, how string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.ended || w.crashed {
		return false
	}
	r.ended = true
	delete(w.runs, fmt.Sprintf("%s/%d", r.task, r.run))
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.ends++
	w.ended = append(w.ended, []any{w.ends, r.task, r.run, how, ""})
	close(w.change)
	w.change = make(chan struct{})
	w.p.mu.Lock()
	if how == "failed" {
		s := stepName(r.task)
		if w.p.runsFailed[s] == nil {
			w.p.runsFailed[s] = map[uint32]bool{}
		}
		w.p.runsFailed[s][r.run] = true
	}
	w.p.mu.Unlock()
	w.p.r.printf("worker %s ended %s run %d: %s", w.id, r.task, r.run, how)
	return true
}

func (w *worker) stop(out http.ResponseWriter, o order) {
	w.mu.Lock()
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	r := w.runs[fmt.Sprintf("%s/%d", o.Task, o.Run)]
	first := r != nil && !r.stopped
	if first {
		r.stopped = true
	}
	w.mu.Unlock()
	if first {
		time.AfterFunc(w.p.stopTime, func() { w.p.end(r, "stopped") })
	}
	w.answer(out, http.StatusOK, map[string]any{})
}

// hold answers with what runs and has ended. It waits for an end if the order says so.
func (w *worker) hold(ctx context.Context, out http.ResponseWriter, o order) {
	timeout := time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	w.mu.Lock()
	if o.UntilMS > 0 {
		w.extend(o.UntilMS)
	}
	kept := w.ended[:0]
	for _, row := range w.ended {
		if row[0].(int) > o.LastSeen {
			kept = append(kept, row)
		}
	}
	w.ended = kept
	for waiting := o.WaitMS > 0; waiting && len(w.ended) == 0; {
		change := w.change
		w.mu.Unlock()
		select {
		case <-change:
		case <-timeout:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
		w.mu.Lock()
	}
	running := [][]any{}
	for _, r := range w.runs {
		running = append(running, []any{r.task, r.run, "", r.percent(), 0})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	ended := append([][]any{}, w.ended[:min(len(w.ended), maxEnds)]...)
	w.mu.Unlock()
	w.answer(out, http.StatusOK, map[string]any{"born": w.born.UnixMilli(), "running": running, "ended": ended})
}

// percent returns the progress of a run; a task that lasts is at 100 while it is at work.
func (r *taskRun) percent() int {
	if r.workAt.IsZero() || time.Now().Before(r.workAt) {
		return 0
	}
	if r.step.LongRunning {
		return 100
	}
	return int(min(99, 100*time.Since(r.workAt).Milliseconds()/max(r.step.EstimateMS, 1)))
}

// watchLease ends everything when the lease has run out.
func (w *worker) watchLease(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		w.mu.Lock()
		var lapsed []*taskRun
		if w.clock() > w.leaseEnd {
			for _, r := range w.runs {
				lapsed = append(lapsed, r)
			}
		}
		w.mu.Unlock()
		for _, r := range lapsed {
			w.p.end(r, "lapsed")
		}
	}
}

// fleet is the workers of the deployment by machine.
type fleet struct {
	d     *deployment
	p     *pool
	mu    sync.Mutex
	lives int
	// workers holds the present worker of each machine; nil while the machine is down.
	workers []*worker
}

// startFleet starts the machines of one service, four to a rack, and their machine service.
func (d *deployment) startFleet(p *pool, machines int, kind func(machine int) string) (*fleet, error) {
	f := &fleet{d: d, p: p, workers: make([]*worker, machines)}
	var listed []*wigeonstandin.Machine
	for i := range machines {
		listed = append(listed, &wigeonstandin.Machine{ID: machineID(i), Pool: service})
	}
	var err error
	if d.cloud, err = wigeonstandin.NewMachineService(d.ctx, listed...); err != nil {
		return nil, err
	}
	for i := range machines {
		if err := f.boot(i, kind(i)); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// rackOf returns the rack of a machine; four share one.
func rackOf(machine int) string { return fmt.Sprintf("rack-%d", machine/4) }

func machineID(i int) string { return fmt.Sprintf("machine-%d", i) }

// boot starts a new life of a machine.
func (f *fleet) boot(machine int, kind string) error {
	f.mu.Lock()
	f.lives++
	id := fmt.Sprintf("worker-%d-%d", machine, f.lives)
	f.mu.Unlock()
	w, err := startWorker(f.d.ctx, f.p, f.d.store, id, rackOf(machine), kind)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.workers[machine] = w
	f.mu.Unlock()
	f.d.cloud.SetWorker(machineID(machine), id)
	return nil
}

// crash ends the worker of a machine, which starts again after the time.
func (f *fleet) crash(machine int, down time.Duration, kind string, silent bool) {
	f.mu.Lock()
	w := f.workers[machine]
	f.workers[machine] = nil
	f.mu.Unlock()
	if w == nil {
		return
	}
	f.d.cloud.SetWorker(machineID(machine), "")
	w.crash(silent)
	time.AfterFunc(down, func() {
		if f.d.ctx.Err() == nil {
			_ = f.boot(machine, kind)
			f.p.r.printf("machine-%d is up again", machine)
		}
	})
}

// sampleTime is the time between two samples of what runs.
const sampleTime = 50 * time.Millisecond

// sighting holds the jobs that had a run at some moment of a span, and the most CPU that was in use at one.
type sighting struct {
	jobs    map[string]bool
	mostCPU int64
}

// watch samples what runs for a while.
func (f *fleet) watch(span time.Duration) sighting {
	s := sighting{jobs: map[string]bool{}}
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(sampleTime) {
		used := int64(0)
		for _, r := range f.current() {
			s.jobs[r.task[:strings.IndexByte(r.task, '.')]] = true
			used += r.step.CPU
		}
		s.mostCPU = max(s.mostCPU, used)
	}
	return s
}

// current returns the runs on all workers.
func (f *fleet) current() []*taskRun {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []*taskRun
	for _, w := range f.workers {
		if w == nil {
			continue
		}
		w.mu.Lock()
		for _, r := range w.runs {
			all = append(all, r)
		}
		w.mu.Unlock()
	}
	return all
}

// failedRuns returns the number of runs of a step (ID.K.STEP) of which a task has ended failed.
func (p *pool) failedRuns(step string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.runsFailed[step])
}

func (w *worker) setUnhealthy(unhealthy bool) {
	w.mu.Lock()
	w.unhealthy = unhealthy
	w.mu.Unlock()
	w.p.r.printf("worker %s is unhealthy and fails everything it runs: %t", w.id, unhealthy)
}
