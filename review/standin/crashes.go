package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	noticeTime = 4500 * time.Millisecond
	// watchTasks is the number of tasks of the job that lasts, watchMayMiss its may_miss.
	watchTasks   = 5
	watchMayMiss = 1
)

// watch follows the tasks of one step that lasts, to check that orders never take too many of them away at once.
type watch struct {
	mu sync.Mutex
	// atWork is the time from which each task is at work; zero while it is not.
	atWork [watchTasks]time.Time
	// awaySince is the time from which a task is not at work; byOrder is set if a stop ended its last run.
	awaySince [watchTasks]time.Time
	byOrder   [watchTasks]bool
	found     string
}

func (c *watch) start(run *taskRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _, _, index := split(run.task)
	c.atWork[index] = time.Now().Add(startupTime)
}

// end applies the end of a run. A stop that ends a task at work breaks the rule while as many others as may be missed are away.
func (c *watch) end(run *taskRun, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _, _, index := split(run.task)
	now := time.Now()
	working := !c.atWork[index].IsZero() && now.After(c.atWork[index])
	if how == "stopped" && working {
		away := 0
		for i := range c.atWork {
			if i == index || !c.atWork[i].IsZero() && now.After(c.atWork[i]) {
				continue
			}
			if c.byOrder[i] || now.Sub(c.awaySince[i]) >= noticeTime {
				away++
			}
		}
		if away >= watchMayMiss && c.found == "" {
			c.found = fmt.Sprintf("task %s is ended by a stop while %d others of its step are away, and %d may be", run.task, away, watchMayMiss)
		}
	}
	c.atWork[index], c.awaySince[index], c.byOrder[index] = time.Time{}, now, how == "stopped"
}

// split returns the parts of a task's name.
func split(task string) (job string, occurrence, step, index int) {
	fields := strings.Split(task, ".")
	_, _ = fmt.Sscan(fields[1], &occurrence)
	_, _ = fmt.Sscan(fields[2], &step)
	_, _ = fmt.Sscan(fields[3], &index)
	return fields[0], occurrence, step, index
}

// playCrashes: a job with five tasks that last, of which one may be missed. Every five seconds one worker of the nine crashes, and its
// machine is back with a new worker 4.5 s later. No order may take the other tasks of the job away.
func playCrashes(p *play) (int, string) {
	p.kinds["cure"] = taskKind{need: room{CPU: 1500, Mem: 2048}, forever: true}
	if !p.boot(3, 2) {
		return noRun, "the nodes did not become ready"
	}
	var c watch
	p.rec.onStart = func(run *taskRun, _ *worker) { c.start(run) }
	p.rec.onEnd = func(run *taskRun, _ *worker, how string) { c.end(run, how) }
	const id = "a1b2c3d4e5f60718"
	job := map[string]any{"spec": "cure", "steps": []map[string]any{{
		"count": watchTasks, "cpu": 1500, "mem_mb": 2048, "estimate_ms": 500, "long_running": true, "image": "cure",
		"may_miss": watchMayMiss, "max_per_server": 1,
	}}}
	if !p.submit(id, job) {
		return noRun, "the job was not accepted"
	}
	time.Sleep(3 * time.Second)
	const crashes = 8
	for n := range crashes {
		if p.trouble {
			if m := p.machineWith(id + ".0.0.0"); m != nil {
				p.rec.add("crash n=%d machine=%s worker=%s", n+1, m.id, m.worker.id)
				p.crash(m, 4500*time.Millisecond)
			}
		}
		time.Sleep(5 * time.Second)
		states := p.states(id)
		c.mu.Lock()
		found := c.found
		c.mu.Unlock()
		if found != "" {
			return broken, fmt.Sprintf("after %d crashes of workers %s; the nodes show the job as %v", n+1, found, states)
		}
	}
	if p.machineWith(id+".0.0.0") == nil {
		return noRun, "the task is not running 5 s after the last crash"
	}
	return held, "no order has taken too many tasks away"
}
