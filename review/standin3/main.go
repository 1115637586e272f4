// Command standin3 plays one case of the third review: it starts stand-ins of the platform, processes of the system, and clients, on
// loopback addresses.
//
// The exit status is 1 if a rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const (
	host    = "pule25.example"
	prefix  = "/bake/"
	service = "bake"
	readyIn = 25 * time.Second
	// maxPlay is the time after which a play is given up.
	maxPlay = 115 * time.Second
)

// world is a small deployment.
type world struct {
	log     *record
	store   *store
	workers []*worker
	nodes   []*node
	trouble bool
}

// verdict is the result of a case.
type verdict struct {
	broken bool
	why    string
}

type scenario struct {
	nodes, workers int
	memoryMB       int
	play           func(*world) (verdict, error)
}

func main() {
	name := flag.String("case", "", "the case")
	recordPath := flag.String("record", "record.txt", "the record file")
	program := flag.String("program", "target/wigeonstep", "the program of the system")
	keep := flag.String("keep", "", "folder for the logs of the processes; a temporary one that is removed without it")
	flag.Parse()
	s, ok := scenarios[*name]
	if !ok {
		fmt.Println("unknown case", *name)
		os.Exit(2)
	}
	os.Exit(run(s, *recordPath, *program, *keep))
}

func run(s scenario, recordPath, program, keep string) int {
	dir := keep
	log, err := openRecord(recordPath)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review3-"); err != nil {
			fmt.Println(err)
			return 2
		}
		defer os.RemoveAll(dir)
	}
	w := &world{log: log, trouble: os.Getenv("TROUBLE") != "0"}
	defer func() {
		for _, n := range w.nodes {
			n.stop()
		}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(maxPlay):
		}
		log.say("could not run: interrupted, or not done in time")
		for _, n := range w.nodes {
			n.stop()
		}
		if keep == "" {
			_ = os.RemoveAll(dir)
		}
		os.Exit(2)
	}()
	if err := w.start(s, program, dir); err != nil {
		log.say("could not run: %v", err)
		return 2
	}
	v, err := s.play(w)
	for _, n := range w.nodes {
		n.mu.Lock()
		log.event("node-summary", map[string]any{"node": n.name, "starts": n.starts, "ends_of_its_own": n.ends, "over_memory": n.kills, "peak_anonymous_kb": n.peakKB})
		n.mu.Unlock()
	}
	switch {
	case err != nil:
		log.say("could not run: %v", err)
		return 2
	case v.broken:
		log.say("BROKEN: %s", v.why)
		return 1
	}
	log.say("held: %s", v.why)
	return 0
}

func (w *world) start(s scenario, program, dir string) error {
	var err error
	if w.store, err = newStore(); err != nil {
		return err
	}
	for i := range s.workers {
		id := fmt.Sprintf("w%02d-%08x", i, time.Now().UnixNano()&0xffffffff)
		x, err := startWorker(w.store, w.log, id, service, 16000, 32768, []string{"a", fmt.Sprintf("r%d", i/4)})
		if err != nil {
			return err
		}
		w.workers = append(w.workers, x)
	}
	cloud, err := newMachines(w.listMachines)
	if err != nil {
		return err
	}
	w.configure(1)
	for i := range s.nodes {
		n, err := newNode(i, program, dir, w.store.address, cloud.address, s.memoryMB, w.log)
		if err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
		if err := n.start(); err != nil {
			return err
		}
	}
	for began := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range w.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(w.nodes) {
			time.Sleep(2 * time.Second)
			return nil
		}
		if time.Since(began) > readyIn {
			return fmt.Errorf("only %d of %d processes are ready", ready, len(w.nodes))
		}
	}
}

func (w *world) listMachines() []map[string]any {
	rows := []map[string]any{}
	for i, x := range w.workers {
		x.mu.Lock()
		row := map[string]any{
			"machine": fmt.Sprintf("m%02d", i), "pool": service, "state": "up", "zone": "a", "labels": x.labels,
			"capacity": map[string]any{"cpu": x.cpu, "mem_mb": x.mem, "gpu": 0}, "id": x.id,
		}
		if x.down {
			row["state"], row["id"] = "down", nil
		}
		x.mu.Unlock()
		rows = append(rows, row)
	}
	return rows
}

// configure writes the operator's configuration with one queue.
func (w *world) configure(version int) {
	w.store.put("keyed.op", "config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "bakes", "host": host, "path_prefix": prefix, "timeout_ms": 3000, "target_duration_ms": 600, "service": service, "attempts": 4,
			"stretch": 1.6, "priority": 0,
		}},
		"services": []map[string]any{{"name": service, "admission_check": true, "spare": false}},
		"limits":   map[string]any{"max_body_bytes": 262144, "max_header_bytes": 16384, "header_timeout_ms": 3000, "idle_timeout_ms": 60000},
	})
	w.log.event("config", map[string]any{"version": version})
}

var idMutex sync.Mutex
var idCount uint64

func newID() string {
	idMutex.Lock()
	defer idMutex.Unlock()
	idCount++
	return fmt.Sprintf("%016x", uint64(time.Now().UnixNano())<<12|idCount&0xfff)
}

// submit hands a job in, and sends it again after no answer, a 502 or a 504, and after a 429 or 503, up to five times in all.
func (w *world) submit(id string, body any, first int) (accepted bool) {
	for try := range 5 {
		status, _ := call(w.log, w.nodes[(first+try)%len(w.nodes)], "POST", prefix+id, body)
		if status/100 == 2 {
			return true
		}
		if status == 400 || status == 413 {
			return false
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job; empty without an answer that has one.
func (w *world) state(id string, at int) (status int, state string) {
	status, body := call(w.log, w.nodes[at%len(w.nodes)], "GET", prefix+id, nil)
	var b struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(body, &b)
	return status, b.State
}

// oneStep returns a job with one step.
func oneStep(count, ms, cpu int) map[string]any {
	return map[string]any{
		"spec":  fmt.Sprintf("*:ms=%d,cpu=%d,mem=128", ms, cpu),
		"steps": []map[string]any{{"count": count, "cpu": cpu, "mem_mb": 128, "estimate_ms": ms}},
	}
}

// use returns the processors of all workers that are up, and how many of them are in use.
func (w *world) use() (used, capacity, runs int) {
	for _, x := range w.workers {
		u, c, r := x.used()
		used, capacity, runs = used+u, capacity+c, runs+r
	}
	return used, capacity, runs
}
