//go:build review

package main

import (
	"net/http"
	"time"
)

// playFlapping: the only machine with the label that a lasting task requires goes down and up by turns for ten seconds, each time
// half a second after the task has started, and is up from then on.
func playFlapping(r *recorder, trouble bool) int {
	const (
		id       = "00000000000000c1"
		machine  = machineCount - 1
		label    = "b"
		age      = 500 * time.Millisecond
		down     = time.Second
		flapping = 10 * time.Second
		calm     = 20 * time.Second
	)
	p := newPool(r)
	kind := func(m int) string {
		if m == machine {
			return label
		}
		return "a"
	}
	d, f, err := startDeployment(r, p, kind)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		r.printf("%v", err)
		return invalid
	}
	until := time.Now().Add(flapping)
	p.onStart = func(*worker, *taskRun) {
		if trouble && time.Now().Add(age).Before(until) {
			time.AfterFunc(age, func() { f.crash(machine, down, label, false) })
		}
	}
	if !d.submit(p, 0, id, jobSpec{Spec: "lasts", Steps: []stepSpec{{Count: 1, CPU: 2600, Memory: 4800, EstimateMS: 700, LongRunning: true, RequiredLabel: label, MayMiss: 1}}}) {
		return invalid
	}
	time.Sleep(flapping + down)
	r.printf("the machine stays up from here on")
	seen := f.watch(calm)
	a := d.get(1, id)
	ran, failedEnds := seen.jobs[id], p.failedRuns(id+".0.0")
	switch {
	case a.status != http.StatusOK:
		r.printf("the state of the job is not known")
		return invalid
	case a.state() == "failed" && failedEnds < attempts, !ran:
		r.printf("BROKEN LOST: the job is shown as %s; %d of its runs have ended failed; in the %s since the machine is up its task has run: %t", a.state(), failedEnds, calm, ran)
		return broken
	}
	r.printf("HELD: the job is shown as %s; its task has run: %t", a.state(), ran)
	return held
}
