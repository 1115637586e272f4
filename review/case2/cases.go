//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/wigeonstep/wigeonstep/platform/wigeonstandin"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	invalid = 2
)

const (
	nodeCount    = 8
	machineCount = 9
	// attempts is the number of attempts of the queue that wigeonstandin configures.
	attempts   = 4
	readyLimit = 20 * time.Second
	// settleTime is the time from readiness to the start of traffic.
	settleTime = 3 * time.Second
	// waitTime is from LOST: a job has nothing running for so long.
	waitTime = 3 * time.Second
	// finishTime is finish_s of the small deployments.
	finishTime = 14 * time.Second
)

// startDeployment starts the store, nine machines of one service, eight node processes, and one queue.
func startDeployment(r *recorder, p *pool, kind func(machine int) string) (*deployment, *fleet, error) {
	d, err := newDeployment(r)
	if err != nil {
		return nil, nil, err
	}
	if d.store, err = wigeonstandin.NewStore(d.ctx, partitions); err != nil {
		return d, nil, err
	}
	f, err := d.startFleet(p, machineCount, kind)
	if err != nil {
		return d, nil, err
	}
	if err := d.store.PutQueue(1, service, host, prefix); err != nil {
		return d, nil, err
	}
	if err := d.startNodes(nodeCount); err != nil {
		return d, nil, err
	}
	if !d.waitReady(readyLimit) {
		return d, nil, fmt.Errorf("the nodes are not ready after %s", readyLimit)
	}
	time.Sleep(settleTime)
	if d.endedByItself() {
		return d, nil, errors.New("a node process has ended before the traffic")
	}
	return d, f, nil
}

func oneKind(int) string { return "a" }

// submit hands a job in and reports whether it was accepted.
func (d *deployment) submit(p *pool, at int, id string, j jobSpec) bool {
	p.add(id, j)
	n := d.nodes[at%len(d.nodes)]
	a := call(n, http.MethodPost, prefix+id, j)
	d.r.printf("POST %s at %s: %d", id, n.name, a.status)
	return a.status == http.StatusOK
}

// get asks for the state of a job.
func (d *deployment) get(at int, id string) answer {
	n := d.nodes[at%len(d.nodes)]
	a := call(n, http.MethodGet, prefix+id, nil)
	d.r.printf("GET %s at %s: %d %s", id, n.name, a.status, a.body)
	return a
}
