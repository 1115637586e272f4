package main

import (
	"fmt"
	"time"
)

// playLarge: a client hands in one job with many small tasks, and other clients go on handing in usual jobs. Without the trouble the
// large job has a usual number of tasks.
func playLarge(p *play) (int, string) {
	p.kinds["bake"] = taskKind{need: room{CPU: 1800, Mem: 1000}, lasts: 800 * time.Millisecond}
	p.kinds["reel"] = taskKind{need: room{CPU: 20, Mem: 16}, lasts: 20 * time.Second, progress: true}
	p.rec.quietStarts = true
	if !p.boot(3, 4) {
		return noRun, "the nodes did not become ready"
	}
	usual := func(n int) (string, any) {
		return fmt.Sprintf("%016x", 0xb0000000+n), map[string]any{"spec": "bake", "steps": []map[string]any{{"count": 4, "cpu": 1800, "mem_mb": 1000, "estimate_ms": 800}}}
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
	time.Sleep(15 * time.Second)
	p.rec.add("starts of the large job: %d; appends refused as too large: %d, largest record %d bytes", p.rec.startsOf(large), p.store.tooLarge.Load(), p.store.largest.Load())
	var ids []string
	for n := 1; n <= 5; n++ {
		id, job := usual(n)
		if !p.submit(id, job) {
			return noRun, "a usual job was not accepted"
		}
		ids = append(ids, id)
		time.Sleep(500 * time.Millisecond)
	}
	stuck := 0
	for _, id := range ids {
		if s := p.await(id, 5*time.Second, "completed"); s != "completed" {
			stuck++
		}
	}
	p.rec.add("starts of the large job: %d; appends refused as too large: %d, largest record %d bytes", p.rec.startsOf(large), p.store.tooLarge.Load(), p.store.largest.Load())
	if stuck > 0 {
		return broken, fmt.Sprintf("%d of %d usual jobs that were accepted have no run or do not end; the store refused %d appends, with a record of %d bytes", stuck, len(ids), p.store.tooLarge.Load(), p.store.largest.Load())
	}
	return held, "all usual jobs were completed"
}
