package wigeonsoak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/wigeonstep/wigeonstep/platform/wigeonstandin"
)

// call is what a client knows of one job.
type call struct {
	// accepted is when the job was acknowledged, refused when it was refused for good; zero while it was not.
	accepted, refused time.Time
	cancelled         bool
	lasting           bool
	// shown is the newest state.
	shown string
}

// taskRun is one run of a task as the workers saw it.
type taskRun struct {
	worker string
	number uint32
	began  time.Time
	// ended is zero while it runs.
	ended time.Time
	how   string
	// noted is set once the worker was told that the end is known, and its lease had not lapsed before that.
	noted bool
}

// history is what callers and workers saw of a soak.
type history struct {
	mu    sync.Mutex
	calls map[string]*call
	runs  map[string][]*taskRun
	// lapsed is when the lease of a worker last lapsed.
	lapsed   map[string]time.Time
	breaches []string
}

func newHistory() *history {
	return &history{calls: map[string]*call{}, runs: map[string][]*taskRun{}, lapsed: map[string]time.Time{}}
}

func (h *history) breach(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.breaches = append(h.breaches, fmt.Sprintf(format, args...))
}

// observe takes what a worker saw over.
func (h *history) observe(o wigeonstandin.Observation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch o.What {
	case wigeonstandin.Began:
		h.runs[o.Task] = append(h.runs[o.Task], &taskRun{worker: o.Worker, number: o.Run, began: o.At})
	case wigeonstandin.LeaseLapsed:
		h.lapsed[o.Worker] = o.At
	default:
		for _, r := range h.runs[o.Task] {
			if r.worker != o.Worker || r.number != o.Run {
				continue
			}
			if o.What == wigeonstandin.EndNoted {
				r.noted = r.noted || !h.lapsed[o.Worker].After(r.ended)
				continue
			}
			r.ended, r.how = o.At, o.How
		}
	}
}

// check returns the promises that the history breaks.
func (h *history) check() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	found := slices.Clone(h.breaches)
	for _, task := range slices.Sorted(maps.Keys(h.runs)) {
		id, _, _ := strings.Cut(task, ".")
		c := h.calls[id]
		switch {
		case c == nil:
			found = append(found, fmt.Sprintf("unasked: task %s of a job that no client sent has begun", task))
		case !c.refused.IsZero() && c.accepted.IsZero():
			found = append(found, fmt.Sprintf("refused: task %s of a refused job has begun", task))
		}
		found = append(found, checkRuns(task, h.runs[task])...)
	}
	for _, id := range slices.Sorted(maps.Keys(h.calls)) {
		c := h.calls[id]
		if c.accepted.IsZero() || c.cancelled {
			continue
		}
		if !c.lasting && c.shown != "completed" {
			found = append(found, fmt.Sprintf("lost: job %s was accepted and is shown as %q", id, c.shown))
		}
		if c.lasting && c.shown != "running" {
			found = append(found, fmt.Sprintf("lost: job %s that lasts is shown as %q", id, c.shown))
		}
	}
	return found
}

// checkRuns compares the runs of one task with each other.
func checkRuns(task string, runs []*taskRun) []string {
	var found []string
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if b.began.Before(a.began) {
				a, b = b, a
			}
			if a.ended.IsZero() || b.began.Before(a.ended) {
				found = append(found, fmt.Sprintf("twice: task %s runs %d on %s and %d on %s at the same time", task, a.number, a.worker, b.number, b.worker))
			} else if a.how == wigeonstandin.HowDone && a.noted {
				found = append(found, fmt.Sprintf("twice: task %s run %d on %s begins after run %d on %s was done", task, b.number, b.worker, a.number, a.worker))
			}
		}
	}
	return found
}

func (h *history) add(id string, c *call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls[id] = c
}

// change changes what is known of a job.
func (h *history) change(id string, apply func(*call)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	apply(h.calls[id])
}

func (h *history) get(id string) call {
	h.mu.Lock()
	defer h.mu.Unlock()
	return *h.calls[id]
}

// ids returns the accepted jobs that are of interest, in order.
func (h *history) ids(wanted func(call) bool) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(h.calls)) {
		if c := h.calls[id]; !c.accepted.IsZero() && wanted(*c) {
			ids = append(ids, id)
		}
	}
	return ids
}

// atWork counts the runs of a job that have begun and not ended.
func (h *history) atWork(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for task, runs := range h.runs {
		if !strings.HasPrefix(task, id) {
			continue
		}
		for _, r := range runs {
			if r.ended.IsZero() {
				n++
			}
		}
	}
	return n
}
