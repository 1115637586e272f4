package main

import (
	"fmt"
	"time"
)

// playCrashes: a job with three tasks that last. Every five seconds one worker of the nine crashes, and its machine is back with a
// new worker 4.5 s later. No task fails, and its queue allows eight attempts, so the job must never be shown as failed.
func playCrashes(p *play) (int, string) {
	p.kinds["cure"] = taskKind{need: room{CPU: 1500, Mem: 2048}, forever: true}
	if !p.boot(3, 8) {
		return noRun, "the nodes did not become ready"
	}
	const id = "a1b2c3d4e5f60718"
	job := map[string]any{"spec": "cure", "steps": []map[string]any{{
		"count": 3, "cpu": 1500, "mem_mb": 2048, "estimate_ms": 500, "long_running": true, "image": "cure", "may_miss": 1, "max_per_server": 1,
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
		for _, s := range p.states(id) {
			if s == "failed" {
				return broken, fmt.Sprintf("after %d crashes of workers the job is shown as failed, though none of its tasks has failed", n+1)
			}
		}
	}
	time.Sleep(5 * time.Second)
	if p.machineWith(id+".0.0.0") == nil {
		return broken, "the task is not running 10 s after the last crash"
	}
	return held, "the job runs"
}
