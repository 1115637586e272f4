package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// overlap finds tasks with two runs at the same time.
type overlap struct {
	mu    sync.Mutex
	runs  map[string][]*taskRun
	found string
}

func (o *overlap) watch(p *play) {
	o.runs = map[string][]*taskRun{}
	p.rec.onStart = func(run *taskRun, w *worker) {
		o.mu.Lock()
		defer o.mu.Unlock()
		for _, other := range o.runs[run.task] {
			if !other.over && o.found == "" {
				o.found = fmt.Sprintf("task %s: run %d starts on %s while run %d is at work elsewhere", run.task, run.run, w.id, other.run)
			}
		}
		o.runs[run.task] = append(o.runs[run.task], run)
	}
}

// playRepeated: a job is accepted; one configuration removes its route and the next adds a route with the same host and prefix to
// another service; then the client's request for the same id arrives once more, at another node. It has to remain one job.
func playRepeated(p *play) (int, string) {
	p.kinds["bake"] = taskKind{need: room{CPU: 1800, Mem: 1000}, lasts: 15 * time.Second}
	services := []map[string]any{service("quotes"), service("stock")}
	p.configure(4, []map[string]any{route("r-orders", "/orders/", "quotes", 4), route("r-stock", "/stock/", "stock", 4)}, services)
	p.addPool("quotes", 9, room{CPU: 32000, Mem: 65536})
	p.addPool("stock", 9, room{CPU: 32000, Mem: 65536})
	for n := range 3 {
		p.addNode(fmt.Sprintf("edge-%d", n+1), 0.4)
	}
	small := p.addNode("edge-4", 0.192)
	if !p.awaitReady(30 * time.Second) {
		return noRun, "the nodes did not become ready"
	}
	var o overlap
	o.watch(p)
	time.Sleep(3 * time.Second)
	const id = "d1b2c3d4e5f60720"
	job := map[string]any{"spec": "bake", "steps": []map[string]any{{"count": 4, "cpu": 1800, "mem_mb": 1000, "estimate_ms": 15000}}}
	if status, _ := p.client.call(p.nodes[0], "POST", host, "/orders/"+id, job); status/100 != 2 {
		return noRun, "the job was not accepted"
	}
	time.Sleep(time.Second)
	if p.trouble {
		p.configure(8, []map[string]any{route("r-stock", "/stock/", "stock", 4)}, services)
		time.Sleep(time.Second)
		p.configure(11, []map[string]any{route("r-orders-2", "/orders/", "stock", 4), route("r-stock", "/stock/", "stock", 4)}, services)
	} else {
		time.Sleep(time.Second)
	}
	time.Sleep(3 * time.Second)
	if status, _ := p.client.call(small, "POST", host, "/orders/"+id, job); status/100 != 2 {
		return noRun, "the repeated request was not answered with 2xx"
	}
	time.Sleep(4 * time.Second)
	if o.found != "" {
		return broken, o.found
	}
	if n := p.rec.startsOf(strings.ToLower(id)); n != 4 {
		return noRun, fmt.Sprintf("%d tasks have started, 4 were expected", n)
	}
	return held, "each task has run once"
}
