package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	decideTime = 5 * time.Millisecond
	eachTime   = time.Millisecond
	ticketTime = 3 * time.Second
)

// adviceService returns the advice service of one node: it answers one call at a time.
func (f *fleet) adviceService() http.Handler {
	var turn sync.Mutex
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var b struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if json.NewDecoder(r.Body).Decode(&b) != nil || len(b.Workers) > 100 {
			answer(w, http.StatusBadRequest, struct{}{})
			return
		}
		turn.Lock()
		time.Sleep(decideTime + time.Duration(len(b.Workers))*eachTime)
		turn.Unlock()
		good := [][2]string{}
		for _, id := range b.Workers {
			if f.allowed(id) {
				good = append(good, [2]string{id, fmt.Sprintf("%s/%s/%d", b.Step, id, time.Now().Add(ticketTime).UnixMilli())})
			}
		}
		f.rec.add("advise step=%s workers=%d first=%s last=%s good=%d", b.Step, len(b.Workers), b.Workers[0], b.Workers[len(b.Workers)-1], len(good))
		answer(w, http.StatusOK, map[string]any{"good": good, "valid_ms": ticketTime.Milliseconds()})
	})
}

// validTicket reports whether a ticket allows a task on a worker.
func validTicket(ticket, task, worker string) bool {
	fields := strings.Split(ticket, "/")
	if len(fields) != 3 || fields[1] != worker || !strings.HasPrefix(task, fields[0]+".") {
		return false
	}
	until, err := strconv.ParseInt(fields[2], 10, 64)
	return err == nil && time.Now().UnixMilli() <= until
}

// playAdvice: the policy of a queue allows four of the forty workers of its service. One of them crashes for good; the job that is
// handed in then has to run on one of the others.
func playAdvice(p *play) (int, string) {
	p.kinds["bake"] = taskKind{need: room{CPU: 1800, Mem: 1000}, lasts: 800 * time.Millisecond, ticketed: true}
	p.advice = p.listen(p.adviceService())
	r := route("r-orders", "/orders/", "quotes", 4)
	r["advice"] = map[string]any{"decide_ms": 5, "each_ms": 1, "valid_ms": ticketTime.Milliseconds()}
	p.configure(4, []map[string]any{r}, []map[string]any{service("quotes")})
	p.addPool("quotes", 40, room{CPU: 32000, Mem: 65536})
	allowed := map[string]bool{}
	for _, i := range []int{0, 35, 36, 37} {
		allowed[p.machines[i].worker.id] = true
		p.rec.add("allowed worker=%s", p.machines[i].worker.id)
	}
	p.allowed = func(worker string) bool { return allowed[worker] }
	for n := range 3 {
		p.addNode(fmt.Sprintf("edge-%d", n+1), 0.4)
	}
	if !p.awaitReady(30 * time.Second) {
		return noRun, "the nodes did not become ready"
	}
	time.Sleep(3 * time.Second)
	job := map[string]any{"spec": "bake", "steps": []map[string]any{{"count": 2, "cpu": 1800, "mem_mb": 1000, "estimate_ms": 800}}}
	const first, second = "e1b2c3d4e5f60721", "e1b2c3d4e5f60722"
	if !p.submit(first, job) || p.await(first, 10*time.Second, "completed") != "completed" {
		return noRun, "a job does not complete before the trouble"
	}
	if p.trouble {
		p.rec.add("crash worker=%s, for good", p.machines[0].worker.id)
		p.crash(p.machines[0], time.Hour)
	}
	time.Sleep(3 * time.Second)
	if !p.submit(second, job) {
		return noRun, "the second job was not accepted"
	}
	if s := p.await(second, 20*time.Second, "completed"); s != "completed" {
		return broken, fmt.Sprintf("the second job is %q 20 s after it was accepted, %d of its tasks have started; three allowed workers are idle", s, p.rec.startsOf(second))
	}
	return held, "both jobs were completed"
}
