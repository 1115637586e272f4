//go:build review

package main

import (
	"sync/atomic"
	"time"
)

// playGang: an unhealthy worker fails everything it runs for two seconds, among it the members of a gang.
func playGang(r *recorder, trouble bool) int {
	const (
		id        = "00000000000000b1"
		members   = 4
		unhealthy = 2 * time.Second
		limit     = 25 * time.Second
	)
	p := newPool(r)
	d, _, err := startDeployment(r, p, oneKind)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		r.printf("%v", err)
		return invalid
	}
	var begun atomic.Bool
	p.onStart = func(w *worker, _ *taskRun) {
		if trouble && begun.CompareAndSwap(false, true) {
			w.setUnhealthy(true)
			time.AfterFunc(unhealthy, func() { w.setUnhealthy(false) })
		}
	}
	if !d.submit(p, 0, id, jobSpec{Spec: "gang", Steps: []stepSpec{{Count: members, CPU: 1800, Memory: 1000, EstimateMS: 1500, Gang: true}}}) {
		return invalid
	}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		a := d.get(1, id)
		runs := p.failedRuns(id + ".0.0")
		switch {
		case a.state() == "completed":
			r.printf("HELD: the job is completed; %d runs of the gang have failed", runs)
			return held
		case a.state() == "failed" && runs < attempts:
			r.printf("BROKEN LOST: the job is shown as failed after %d run of the gang has failed; the queue allows %d attempts", runs, attempts)
			return broken
		case a.state() == "failed":
			r.printf("HELD: the job is shown as failed after %d runs of the gang have failed", runs)
			return held
		}
	}
	r.printf("the job has not ended")
	return invalid
}
