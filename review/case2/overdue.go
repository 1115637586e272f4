//go:build review

package main

import (
	"fmt"
	"time"
)

// playOverdue: a client hands in a scheduled job whose first times lie in the past. Without trouble all its times lie ahead.
func playOverdue(r *recorder, trouble bool) int {
	const (
		id       = "00000000000000d1"
		repeats  = 10_000
		interval = 5 * time.Second
		tasks    = 128
		watched  = 40 * time.Second
		pause    = 500 * time.Millisecond
		// position is the number of ordinary jobs before the scheduled one.
		position = 4
	)
	p := newPool(r)
	d, f, err := startDeployment(r, p, oneKind)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		r.printf("%v", err)
		return invalid
	}
	first := time.Now().Add(time.Hour)
	if trouble {
		first = time.Now().Add(-repeats * interval)
	}
	scheduled := jobSpec{
		Spec: "scheduled", Repeats: repeats, StartAtMS: first.UnixMilli(), IntervalMS: interval.Milliseconds(),
		Steps: []stepSpec{{Count: tasks, CPU: 200, Memory: 100, EstimateMS: 800}},
	}
	ordinary := jobSpec{Spec: "ordinary", Steps: []stepSpec{{Count: 6, CPU: 1800, Memory: 2500, EstimateMS: 800}}}
	var accepted []string
	for began, n := time.Now(), 0; time.Since(began) < watched; n++ {
		if n == position && !d.submit(p, 0, id, scheduled) {
			r.printf("the scheduled job was not accepted")
			return invalid
		}
		job := fmt.Sprintf("%016x", 0xe000+n)
		if d.submit(p, n, job, ordinary) {
			accepted = append(accepted, job)
		}
		time.Sleep(pause)
	}
	time.Sleep(finishTime - waitTime)
	seen := f.watch(waitTime)
	lost := 0
	for i, job := range accepted {
		if a := d.get(i, job); a.state() != "completed" && !seen.jobs[job] && 2*seen.mostCPU < machineCount*workerCPU {
			lost++
		}
	}
	ends, machines := 0, 0
	for _, n := range d.nodes {
		n.mu.Lock()
		r.printf("%s: its process ended by itself %d times, %d times with more memory than its machine has; it used at most %d MB", n.name, n.ends, n.overMemory, n.peakMB)
		ends += n.ends
		if n.ends >= 3 {
			machines++
		}
		n.mu.Unlock()
	}
	r.printf("processes ended by themselves %d times; on %d of %d machines three times or more", ends, machines, len(d.nodes))
	r.printf("in the last %s at most %d of %d thousandths of a core were in use", waitTime, seen.mostCPU, machineCount*workerCPU)
	if lost > 0 {
		r.printf("BROKEN LOST: %d of %d ordinary jobs that were accepted have not ended %s after the traffic, with nothing running", lost, len(accepted), finishTime)
		return broken
	}
	r.printf("HELD: all %d ordinary jobs that were accepted are completed", len(accepted))
	return held
}
