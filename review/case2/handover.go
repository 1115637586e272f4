//go:build review

package main

import (
	"syscall"
	"time"

	"github.com/wigeonstep/wigeonstep/platform/wigeonstandin"
)

// playHandover: machines are due for upkeep, and the machines of the system are stopped and started in turn. Without trouble the
// nodes aren't stopped.
func playHandover(r *recorder, trouble bool) int {
	const (
		machines = 49
		due      = 25
		maxDown  = 2
		gap      = 2 * time.Second
		// untilTouch is stable_window_ms.
		untilTouch = 3 * time.Second
		watched    = 74 * time.Second
		// again is the time of the second pair of waves, on the same machines.
		again = 37 * time.Second
	)
	p := newPool(r)
	d, err := newDeployment(r)
	if err != nil {
		r.printf("%v", err)
		return invalid
	}
	defer d.close()
	if d.store, err = wigeonstandin.NewStore(d.ctx, partitions); err != nil {
		return invalid
	}
	f, err := d.startFleet(p, machines, oneKind)
	if err != nil {
		return invalid
	}
	c, err := startCloud(f)
	if err != nil {
		return invalid
	}
	g, err := startGroupStore(d)
	if err != nil {
		return invalid
	}
	d.cloudAddress, d.storeAddress = c.Address(), g.Address()
	if err := d.store.PutQueue(1, service, host, prefix); err != nil {
		return invalid
	}
	if err := d.startNodes(nodeCount); err != nil {
		return invalid
	}
	if !d.waitReady(readyLimit) {
		r.printf("the nodes are not ready")
		return invalid
	}
	time.Sleep(settleTime)
	var names []string
	for i := range machines {
		names = append(names, machineID(i))
	}
	halves := [][]string{names[:due], names[due:]}
	waves := 0
	startWaves := func() error {
		for _, part := range halves {
			waves++
			if err := d.store.PutWave(waves, maxDown, part...); err != nil {
				return err
			}
			r.printf("wave %d of %d of %d machines, %d at once", waves, len(part), machines, maxDown)
		}
		return nil
	}
	if err := startWaves(); err != nil {
		return invalid
	}
	began := time.Now()
	for i := 0; time.Since(began) < watched; i++ {
		if waves == len(halves) && time.Since(began) > again {
			if err := startWaves(); err != nil {
				return invalid
			}
		}
		if trouble {
			d.nodes[i%len(d.nodes)].signal(syscall.SIGTERM)
		}
		time.Sleep(gap)
	}
	turns := c.turns(func(holder string, at time.Time) bool {
		for _, n := range d.nodes {
			if n.name == holder {
				return n.calmAt(at, untilTouch)
			}
		}
		return false
	})
	for _, t := range turns {
		r.printf("%s", t)
	}
	if len(turns) > 0 {
		r.printf("BROKEN ONE: %d orders for a machine came within %s after one of another holder, with both in touch", len(turns), leaseTime)
		return broken
	}
	r.printf("HELD: no two holders in touch took turns on a machine within %s", leaseTime)
	return held
}
