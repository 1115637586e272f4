//go:build review

package main

import (
	"time"
)

// playLong: a client hands in a job of one long task, which only one machine may run. Without trouble the task is a tenth as long.
func playLong(r *recorder, trouble bool) int {
	const (
		id      = "00000000000000e1"
		machine = machineCount - 1
		label   = "b"
		watched = 60 * time.Second
		pause   = 2 * time.Millisecond
	)
	p := newPool(r)
	p.stopTime = shortStopTime
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
	task := stepSpec{Count: 1, CPU: 2600, Memory: 4800, EstimateMS: 30_000, RequiredLabel: label}
	if trouble {
		task.EstimateMS *= 10
	}
	if !d.submit(p, 0, id, jobSpec{Spec: "long", Steps: []stepSpec{task}}) {
		return invalid
	}
	idleSince, longest, gaps := time.Now(), time.Duration(0), 0
	for began := time.Now(); time.Since(began) < watched; time.Sleep(pause) {
		if len(f.current()) == 0 {
			longest = max(longest, time.Since(idleSince))
			continue
		}
		if time.Since(idleSince) >= waitTime {
			gaps++
			r.printf("nothing ran for %s", time.Since(idleSince).Round(time.Millisecond))
		}
		idleSince = time.Now()
		if !trouble && time.Since(began) > time.Duration(task.EstimateMS)*time.Millisecond+waitTime {
			break
		}
	}
	a := d.get(1, id)
	switch {
	case a.state() == "completed":
		r.printf("HELD: the job is completed")
		return held
	case gaps > 0:
		r.printf("BROKEN LOST: %d times nothing of the job ran for %s or more, with its machine idle and nothing disturbed; the job is shown as %s", gaps, waitTime, a.state())
		return broken
	}
	r.printf("HELD: nothing of the job ran for %s at most; it is shown as %s", longest.Round(time.Millisecond), a.state())
	return held
}
