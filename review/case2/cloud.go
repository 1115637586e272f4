//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Figures of the small deployments (SYSTEM.md).
const (
	upkeepTime = 2 * time.Second
	leaseTime  = 3 * time.Second
	// cloudAnswer is the time that an answer of the machine service takes, like one of the store.
	cloudAnswer = 4 * time.Millisecond
)

// machineOrder is an order for a machine that has arrived at the machine service.
type machineOrder struct {
	at      time.Time
	machine string
	holder  string
	token   uint64
}

// cloud is a stand-in of the machine service with upkeeps. It has one pool, so it refuses moves.
type cloud struct {
	f        *fleet
	listener net.Listener

	mu     sync.Mutex
	tokens map[string]uint64
	state  []string
	kept   []map[int]bool
	orders []machineOrder
}

func startCloud(f *fleet) (*cloud, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cloud{f: f, listener: l, tokens: map[string]uint64{}}
	for range f.workers {
		c.state, c.kept = append(c.state, "up"), append(c.kept, map[int]bool{})
	}
	server := &http.Server{Handler: http.HandlerFunc(c.serve)}
	go func() { _ = server.Serve(l) }()
	go func() {
		<-f.d.ctx.Done()
		_ = server.Close()
	}()
	return c, nil
}

func (c *cloud) Address() string { return c.listener.Addr().String() }

// serve carries a call out when it arrives, and answers it after the time of an answer.
func (c *cloud) serve(out http.ResponseWriter, in *http.Request) {
	status, body := c.call(in)
	time.Sleep(cloudAnswer)
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(body)
}

func (c *cloud) call(in *http.Request) (int, map[string]any) {
	switch in.URL.Path {
	case "/-/machines":
		return http.StatusOK, c.list()
	case "/-/machine-upkeep":
		return c.upkeep(in)
	}
	return http.StatusBadRequest, map[string]any{}
}

func (c *cloud) list() map[string]any {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	rows := []map[string]any{}
	for i, w := range c.f.workers {
		id := ""
		if w != nil {
			id = w.id
		}
		rows = append(rows, map[string]any{
			"machine": machineID(i), "pool": service, "state": c.state[i], "zone": "a", "labels": []string{"a", rackOf(i)}, "id": id,
			"capacity": map[string]any{"cpu": workerCPU, "mem_mb": workerMemory, "gpu": 0},
		})
	}
	return map[string]any{"machines": rows, "next_token": nil}
}

func (c *cloud) upkeep(in *http.Request) (int, map[string]any) {
	var body struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	token, err := strconv.ParseUint(in.Header.Get("X-Wigeonstep-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(in.Body).Decode(&body) != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	holder := in.Header.Get("X-Wigeonstep-Lease-Holder")
	c.mu.Lock()
	defer c.mu.Unlock()
	machine := -1
	for i := range c.state {
		if machineID(i) == body.Machine {
			machine = i
		}
	}
	if machine < 0 {
		return http.StatusBadRequest, map[string]any{}
	}
	c.orders = append(c.orders, machineOrder{time.Now(), body.Machine, holder, token})
	status, reason := http.StatusOK, ""
	switch {
	case token < c.tokens[body.Machine]:
		status, reason = http.StatusConflict, "fence"
	case c.kept[machine][body.Wave]:
		c.tokens[body.Machine] = token
	case c.state[machine] != "up":
		c.tokens[body.Machine] = token
		status, reason = http.StatusConflict, "busy"
	default:
		c.tokens[body.Machine] = token
		c.kept[machine][body.Wave] = true
		c.state[machine] = "upkeep"
		go c.maintain(machine)
	}
	c.f.p.r.printf("upkeep of %s by %s with token %d: %d %s", body.Machine, holder, token, status, reason)
	if reason != "" {
		return status, map[string]any{"reason": reason}
	}
	return status, map[string]any{}
}

// maintain ends what runs on the machine, and starts a new worker after the upkeep.
func (c *cloud) maintain(machine int) {
	// A worker takes some time to come up, and not always the same.
	takes := upkeepTime + rand.N(600*time.Millisecond)
	c.f.crash(machine, takes, "a", false)
	time.Sleep(takes)
	c.mu.Lock()
	c.state[machine] = "up"
	c.mu.Unlock()
}

// turns returns the orders that a holder gave within leaseTime after another one had given an order for the same machine, with
// what calm says of both holders at the times of their orders.
func (c *cloud) turns(calm func(holder string, at time.Time) bool) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := map[string]machineOrder{}
	var found []string
	for _, o := range c.orders {
		before, ordered := last[o.machine]
		last[o.machine] = o
		if ordered && before.holder != o.holder && o.at.Sub(before.at) < leaseTime && calm(before.holder, before.at) && calm(o.holder, o.at) {
			found = append(found, fmt.Sprintf("%s: %s with token %d, and %s with token %d after %s", o.machine, before.holder, before.token, o.holder, o.token, o.at.Sub(before.at).Round(time.Millisecond)))
		}
	}
	return found
}
