//go:build review

package main

import (
	"fmt"
	"time"
)

// playSuspects: the worker with all lasting tasks of a job goes down, and eight seconds later the worker that has them then.
func playSuspects(r *recorder, trouble bool) int {
	const (
		id        = "00000000000000a1"
		tasks     = 24
		crashes   = 2
		workFor   = 8 * time.Second
		down      = 5 * time.Second
		startTime = 20 * time.Second
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
	lasting := jobSpec{Spec: "lasts", Steps: []stepSpec{{Count: tasks, CPU: 1300, Memory: 2000, EstimateMS: 700, LongRunning: true, MayMiss: 1}}}
	if !d.submit(p, 0, id, lasting) {
		return invalid
	}
	for range crashes {
		for began := time.Now(); f.runs(id) < tasks && time.Since(began) < startTime; {
			time.Sleep(sampleTime)
		}
		r.printf("%d of %d tasks run", f.runs(id), tasks)
		time.Sleep(workFor)
		if trouble {
			f.crash(f.fullest(id), down, "a", true)
		}
	}
	time.Sleep(down + calmTime)
	r.printf("%s have passed since the machine was up again", calmTime)
	// No task has run for longer than the six seconds of LOST by now unless it runs: the last crash was 9 s ago.
	seen := f.watch(waitTime)
	missing := 0
	for i := range tasks {
		if !seen.tasks[fmt.Sprintf("%s.0.0.%d", id, i)] {
			missing++
		}
	}
	a := d.get(1, id)
	r.printf("in the last %s at most %d of %d thousandths of a core were in use", waitTime, seen.mostCPU, machineCount*workerCPU)
	if missing > 0 && 2*seen.mostCPU < machineCount*workerCPU {
		r.printf("BROKEN LOST: for %s %d of %d lasting tasks have not run, with capacity for them; the job is shown as %s", waitTime, missing, tasks, a.state())
		for range 10 {
			time.Sleep(waitTime)
			r.printf("%d of %d tasks run", f.runs(id), tasks)
		}
		return broken
	}
	r.printf("HELD: %d of %d lasting tasks have run", tasks-missing, tasks)
	return held
}
