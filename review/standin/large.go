package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
)

// progress follows which jobs have a run at work and which of their tasks are done.
type progress struct {
	mu      sync.Mutex
	running map[string]int
	done    map[string]map[string]bool
	// idleSince is the time from which a job has nothing running.
	idleSince map[string]time.Time
}

func (c *progress) watch(p *play) {
	c.running, c.done, c.idleSince = map[string]int{}, map[string]map[string]bool{}, map[string]time.Time{}
	p.rec.onStart = func(run *taskRun, _ *worker) {
		c.mu.Lock()
		defer c.mu.Unlock()
		job, _, _ := strings.Cut(run.task, ".")
		c.running[job]++
	}
	p.rec.onEnd = func(run *taskRun, _ *worker, how string) {
		c.mu.Lock()
		defer c.mu.Unlock()
		job, _, _ := strings.Cut(run.task, ".")
		c.running[job]--
		c.idleSince[job] = time.Now()
		if c.done[job] == nil {
			c.done[job] = map[string]bool{}
		}
		if how == "done" {
			c.done[job][run.task] = true
		}
	}
}

// idle returns the jobs of the list that have had nothing running for idleTime although tasks of them are left.
func (c *progress) idle(jobs map[string]int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []string
	for job, tasks := range jobs {
		if len(c.done[job]) < tasks && c.running[job] == 0 && time.Since(c.idleSince[job]) >= idleTime {
			found = append(found, job)
		}
	}
	return found
}

// usedCPU returns the CPU that the runs on all workers need, and the CPU of the workers.
func (f *fleet) usedCPU() (used, total int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		total += m.room.CPU
		if m.worker != nil {
			m.worker.mu.Lock()
			used += m.worker.used().CPU
			m.worker.mu.Unlock()
		}
	}
	return used, total
}

// playLarge: a client hands in one job with many small tasks, and other clients go on handing in usual jobs. Without the trouble the
// large job has a usual number of tasks. From finish_s after the last request on, no usual job may have nothing running for three
// seconds while under half of the pool is in use.
func playLarge(p *play) (int, string) {
	p.kinds["bake"] = taskKind{need: room{CPU: 1800, Mem: 1000}, lasts: 800 * time.Millisecond}
	p.kinds["reel"] = taskKind{need: room{CPU: 20, Mem: 16}, lasts: 20 * time.Second, progress: true}
	p.rec.quietStarts = true
	if !p.boot(3, 4) {
		return noRun, "the nodes did not become ready"
	}
	var c progress
	c.watch(p)
	const usualTasks = 4
	usual := func(n int) (string, any) {
		return fmt.Sprintf("%016x", 0xb0000000+n), map[string]any{"spec": "bake", "steps": []map[string]any{{"count": usualTasks, "cpu": 1800, "mem_mb": 1000, "estimate_ms": 800}}}
	}
	id, job := usual(0)
	if !p.submit(id, job) || p.await(id, 10*time.Second, "completed") != "completed" {
		return noRun, "a usual job does not complete before the trouble"
	}
	const large = "c1b2c3d4e5f60719"
	count := 8
	if p.trouble {
		count = 4000
	}
	steps := []map[string]any{}
	for range 3 {
		steps = append(steps, map[string]any{"count": count, "cpu": 20, "mem_mb": 16, "estimate_ms": 20000, "saves_progress": true})
	}
	if !p.submit(large, map[string]any{"spec": "reel", "steps": steps}) {
		return noRun, "the large job was not accepted"
	}
	jobs := map[string]int{}
	for n := 1; n <= 20; n++ {
		id, job := usual(n)
		if !p.submit(id, job) {
			return noRun, "a usual job was not accepted"
		}
		jobs[id] = usualTasks
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(finishTime)
	most, total := 0, 0
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		idle := c.idle(jobs)
		used, all := p.usedCPU()
		total = all
		if 2*used < all && len(idle) > most {
			most = len(idle)
			p.rec.add("%d usual jobs have nothing running for 3 s, %d of %d mCPU are in use: %v", most, used, all, idle)
		}
	}
	p.rec.add("starts of the large job: %d; appends refused as too large: %d, largest record %d bytes", p.rec.startsOf(large), p.store.tooLarge.Load(), p.store.largest.Load())
	var states []string
	for id := range jobs {
		if s := p.await(id, 300*time.Millisecond, "completed"); s != "completed" {
			states = append(states, id+" "+s)
		}
	}
	if most > 0 {
		return broken, fmt.Sprintf("%d of %d usual jobs have nothing running for 3 s, 14 s after the last request, with under half of %d mCPU in use; at the end %d aren't completed; the store refused %d appends, with a record of %d bytes", most, len(jobs), total, len(states), p.store.tooLarge.Load(), p.store.largest.Load())
	}
	return held, "no usual job was left without a run"
}
