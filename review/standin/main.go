// Command standin plays one case of the review: it runs stand-ins of the platform, of the workers and of the clients on loopback
// addresses, starts the nodes as separate processes, and checks one rule. It exits with 0 if the rule held, 1 if it was broken and 2
// if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	held   = 0
	broken = 1
	noRun  = 2
	// limit is the longest time that a case may take.
	limit = 118 * time.Second
)

func fatal(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	os.Exit(noRun)
}

// play is what a case gets.
type play struct {
	*fleet
	client *client
	// trouble is false when the case is played without its disruption.
	trouble bool
}

// cases holds the case of each name. A case returns its exit code and what it has seen.
var cases = map[string]func(p *play) (int, string){
	"crashes":  playCrashes,
	"advice":   playAdvice,
	"large":    playLarge,
	"repeated": playRepeated,
}

func main() {
	name := flag.String("case", "", "the case to play")
	dir := flag.String("record", ".", "the folder of record.txt")
	flag.Parse()
	run, ok := cases[*name]
	if !ok {
		fatal(fmt.Errorf("no case %q", *name))
	}
	if _, err := os.Stat("target/wigeonstep"); err != nil {
		fatal(err)
	}
	file, err := os.Create(filepath.Join(*dir, "record.txt"))
	if err != nil {
		fatal(err)
	}
	scratch, err := os.MkdirTemp("", "review-")
	if err != nil {
		fatal(err)
	}
	rec := &recorder{began: time.Now(), file: file, starts: map[string]int{}}
	p := &play{fleet: newFleet(rec, scratch), client: newClient(rec), trouble: os.Getenv("TROUBLE") != "0"}
	finish := func(code int, what string) {
		rec.add("result code=%d %s", code, what)
		p.close()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(scratch)
		} else {
			fmt.Println("logs:", scratch)
		}
		fmt.Println(what)
		os.Exit(code)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { <-signals; finish(noRun, "it was interrupted") }()
	time.AfterFunc(limit, func() { finish(noRun, "it took too long") })
	finish(run(p))
}

const host = "orders.example"

// route returns a route of the configuration.
func route(name, prefix, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": "unsafe", "timeout_ms": 3000, "target_duration_ms": 600, "priority": 0,
		"service": service, "attempts": attempts, "stretch": 1.6,
	}
}

func service(name string) map[string]any {
	return map[string]any{"name": name, "admission_check": true}
}

func (p *play) configure(version int, routes, services []map[string]any) {
	p.rec.add("operator config version=%d routes=%v services=%v", version, routes, services)
	p.store.put("keyed.op", "config", map[string]any{"version": version, "routes": routes, "services": services, "limits": map[string]any{}})
}

// boot configures one queue with a pool of nine workers, as a small deployment has, and starts the nodes.
func (p *play) boot(nodes, attempts int) bool {
	p.configure(4, []map[string]any{route("r-orders", "/orders/", "quotes", attempts)}, []map[string]any{service("quotes")})
	p.addPool("quotes", 9, room{CPU: 32000, Mem: 65536})
	for i := range nodes {
		p.addNode(fmt.Sprintf("edge-%d", i+1), 0.4)
	}
	return p.awaitReady(20 * time.Second)
}

// submit hands a job in at the nodes in turn until it is accepted.
func (p *play) submit(id string, body any) bool {
	for try := range 10 {
		if status, _ := p.client.call(p.nodes[try%len(p.nodes)], "POST", host, "/orders/"+id, body); status >= 200 && status < 300 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// states asks every node for the state of a job.
func (p *play) states(id string) []string {
	var all []string
	for _, n := range p.nodes {
		status, body := p.client.call(n, "GET", host, "/orders/"+id, nil)
		if status == 200 {
			all = append(all, state(body))
		} else {
			all = append(all, fmt.Sprint(status))
		}
	}
	return all
}

// await asks for the state of a job until it is one of the wanted.
func (p *play) await(id string, limit time.Duration, wanted ...string) string {
	last := ""
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(250 * time.Millisecond) {
		for _, n := range p.nodes {
			if status, body := p.client.call(n, "GET", host, "/orders/"+id, nil); status == 200 {
				last = state(body)
				for _, w := range wanted {
					if last == w {
						return last
					}
				}
			}
		}
	}
	return last
}
