package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep/wigeonfake"
)

// program is a running command of this repository. The end of its output is logged if the test fails.
type program struct {
	*exec.Cmd
	name   string
	output bytes.Buffer
	exited chan struct{}
}

// buildCommands compiles the commands into a temporary directory and returns it.
func buildCommands(t *testing.T) string {
	t.Helper()
	directory := t.TempDir()
	command := exec.Command("go", "build", "-o", directory+"/", "../...")
	output, err := command.CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", output))
	return directory
}

func startProgram(t *testing.T, name, path string, args ...string) *program {
	t.Helper()
	p := &program{Cmd: exec.Command(path, args...), name: name, exited: make(chan struct{})}
	p.Stdout, p.Stderr = &p.output, &p.output
	qt.Assert(t, p.Start(), qt.IsNil)
	go func() {
		defer close(p.exited)
		_ = p.Wait()
	}()
	t.Cleanup(func() {
		_ = p.Process.Kill()
		<-p.exited
		if t.Failed() {
			lines := strings.Split(strings.TrimSpace(p.output.String()), "\n")
			t.Logf("%s: the end of its output, at most 15 of %d lines\n%s", name, len(lines), strings.Join(lines[max(0, len(lines)-15):], "\n"))
		}
	})
	return p
}

// freeAddresses returns addresses on a loopback IP whose ports were free when the system chose them.
func freeAddresses(t *testing.T, ip string, count int) []string {
	t.Helper()
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", ip+":0")
		qt.Assert(t, err, qt.IsNil)
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

// eventually polls until the condition holds and fails the test after 60 s. CI machines can be slow.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for limit := time.Now().Add(60 * time.Second); !condition(); {
		if time.Now().After(limit) {
			t.Fatalf("not within 60 s: %s", description)
		}
		<-time.After(50 * time.Millisecond)
	}
}

// cluster is a platform, three data centres with an entry process and a control daemon each, and backend servers.
type cluster struct {
	// directory holds the compiled commands and the settings files.
	directory       string
	platformAddress string
	// callerAddresses, peerAddresses, adminAddresses and entries have one element for each entry process.
	callerAddresses []string
	peerAddresses   []string
	adminAddresses  []string
	entries         []*program
	// backends and serverAddresses have one element for each backend server.
	backends        []*program
	serverAddresses []string
}

func startCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{directory: buildCommands(t)}
	fake, step := filepath.Join(c.directory, "wigeonfake"), filepath.Join(c.directory, "wigeonstep")
	c.platformAddress = freeAddresses(t, "127.0.0.1", 1)[0]
	startProgram(t, "platform", fake, "platform", "-listen", c.platformAddress)
	eventually(t, "the platform listens", func() bool { return isListening(c.platformAddress) })
	for n, centre := range []string{"budapest", "kecskemet", "szeged"} {
		addresses := freeAddresses(t, fmt.Sprintf("127.0.%d.1", n+1), 5)
		c.callerAddresses, c.peerAddresses, c.adminAddresses = append(c.callerAddresses, addresses[0]), append(c.peerAddresses, addresses[1]), append(c.adminAddresses, addresses[2])
		common := fmt.Sprintf("data_centre: %s\nvm: entry-%s\nplatform_address: %s\n", centre, centre, c.platformAddress)
		entry := fmt.Sprintf("role: entry\n%scaller_address: %s\npeer_address: %s\nadmin_address: %s\ndrain_delay_ms: 200\n", common, addresses[0], addresses[1], addresses[2])
		control := fmt.Sprintf("role: control\n%speer_address: %s\nadmin_address: %s\nplan_interval_ms: 200\nlist_interval_ms: 200\n", common, addresses[3], addresses[4])
		c.entries = append(c.entries, startProgram(t, "entry "+centre, step, "entry", "-settings", c.writeYAML(t, "entry-"+centre, entry)))
		startProgram(t, "control "+centre, step, "control", "-settings", c.writeYAML(t, "control-"+centre, control))
		for i := range 4 {
			server := freeAddresses(t, fmt.Sprintf("127.0.%d.2", n+1), 1)[0]
			c.serverAddresses = append(c.serverAddresses, server)
			name := fmt.Sprintf("%s-o%d-", centre, i)
			c.backends = append(c.backends, startProgram(t, name, fake, "backend", "-platform", c.platformAddress, "-listen", server, "-pool", "orders", "-data-centre", centre, "-id-prefix", name))
		}
	}
	eventually(t, "the document is accepted", func() bool {
		return exec.Command(step, "apply", "-platform", c.platformAddress, "testdata/orders.yaml").Run() == nil
	})
	for i, caller := range c.callerAddresses {
		eventually(t, fmt.Sprintf("entry process %d serves", i), func() bool {
			answer, err := c.send(caller, "check-stock", "", "ready")
			return err == nil && answer.outcome == "done"
		})
	}
	return c
}

func (c *cluster) writeYAML(t *testing.T, name, content string) string {
	t.Helper()
	file := filepath.Join(c.directory, name+".yaml")
	qt.Assert(t, os.WriteFile(file, []byte(content), 0o600), qt.IsNil)
	return file
}

func isListening(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// callerResponse is the response to a caller's request.
type callerResponse struct {
	status  int
	outcome string
	body    string
}

func (c *cluster) send(address, class, key, body string) (callerResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/orders", strings.NewReader(body))
	if err != nil {
		return callerResponse{}, err
	}
	request.Header.Set("Wigeonstep-Team", "grafters")
	request.Header.Set("Wigeonstep-Class", class)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callerResponse{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return callerResponse{response.StatusCode, response.Header.Get("Wigeonstep-Outcome"), string(data)}, err
}

// runCounts returns how often each key ran, summed over the backend servers that respond.
func (c *cluster) runCounts(t *testing.T) wigeonfake.RunCounts {
	t.Helper()
	var all wigeonfake.RunCounts
	for _, server := range c.serverAddresses {
		response, err := http.Get("http://" + server + wigeonfake.ControlPath)
		if err != nil {
			continue
		}
		var state struct {
			Runs wigeonfake.RunCounts `json:"runs"`
		}
		err = json.NewDecoder(response.Body).Decode(&state)
		_ = response.Body.Close()
		qt.Assert(t, err, qt.IsNil)
		all.Add(state.Runs)
	}
	return all
}

// TestProcessesUnderKills guards against truncated, mixed-up or lost responses when an entry process and a backend
// server are killed under load, and against a key that runs twice on the backend servers that survive.
func TestProcessesUnderKills(t *testing.T) {
	c := startCluster(t)
	const callers, requestsPerCaller = 12, 40
	var mu sync.Mutex
	var violations []string
	addViolation := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		violations = append(violations, fmt.Sprintf(format, args...))
	}
	counts := map[string]int{}
	var work sync.WaitGroup
	// killNow is closed when the first caller has sent half of its requests.
	killNow := make(chan struct{})
	var signalKill sync.Once
	for n := range callers {
		work.Go(func() {
			for i := range requestsPerCaller {
				if i == requestsPerCaller/2 {
					signalKill.Do(func() { close(killNow) })
				}
				key, class := "", "check-stock"
				if i%2 == 0 {
					key, class = fmt.Sprintf("order-%d-%d", n, i), "place-order"
				}
				// As a load balancer would, retry at another entry process when the connection to the killed one is
				// refused.
				answer, err := c.send(c.callerAddresses[(n+i)%3], class, key, fmt.Sprintf("body-%d-%d", n, i))
				if errors.Is(err, syscall.ECONNREFUSED) {
					answer, err = c.send(c.callerAddresses[0], class, key, fmt.Sprintf("body-%d-%d", n, i))
				}
				// Requests to entry process 2, which is killed, may fail.
				switch {
				case err != nil && (n+i)%3 != 2:
					addViolation("request %d-%d to a running entry process: %v", n, i, err)
				case err != nil:
				case answer.outcome == "done" && (!strings.Contains(answer.body, `"whole":true`) || !strings.Contains(answer.body, `"key":"`+key+`"`)):
					addViolation("request %d-%d: mixed-up or truncated response %q", n, i, answer.body)
				case answer.outcome != "done" && answer.outcome != "not_run" && answer.outcome != "unknown":
					addViolation("request %d-%d: status %d, unexpected outcome %q", n, i, answer.status, answer.outcome)
				}
				mu.Lock()
				counts[answer.outcome]++
				mu.Unlock()
			}
		})
	}
	<-killNow
	qt.Assert(t, c.entries[2].Process.Kill(), qt.IsNil)
	qt.Assert(t, c.backends[0].Process.Kill(), qt.IsNil)
	work.Wait()
	qt.Assert(t, violations, qt.HasLen, 0)
	t.Logf("outcomes: %v", counts)
	qt.Assert(t, counts["done"] > callers*requestsPerCaller/2, qt.IsTrue, qt.Commentf("%v", counts))

	// A key that ran and is sent again to a running entry process must neither run again nor get the outcome not_run.
	before := c.runCounts(t)
	qt.Assert(t, len(before.ByKey) > callers*requestsPerCaller/4, qt.IsTrue)
	for key := range before.ByKey {
		answer, err := c.send(c.callerAddresses[len(key)%2], "place-order", string(key), strings.Replace(string(key), "order", "body", 1))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, answer.outcome, qt.Not(qt.Equals), "not_run", qt.Commentf("key %s ran", key))
	}
	for key, count := range c.runCounts(t).ByKey {
		qt.Check(t, count, qt.Equals, 1, qt.Commentf("key %s", key))
	}
}

// TestGracefulStopOfProcesses guards against an entry process that drops requests on SIGTERM or exits with an error.
func TestGracefulStopOfProcesses(t *testing.T) {
	c := startCluster(t)
	var work sync.WaitGroup
	failures := make(chan error, 64)
	for i := range 32 {
		work.Go(func() {
			answer, err := c.send(c.callerAddresses[1], "check-stock", "", fmt.Sprintf("body-%d", i))
			if err != nil || answer.outcome != "done" {
				failures <- fmt.Errorf("request %d: outcome %q: %w", i, answer.outcome, err)
			}
		})
	}
	qt.Assert(t, c.entries[1].Process.Signal(syscall.SIGTERM), qt.IsNil)
	work.Wait()
	close(failures)
	for err := range failures {
		// A refused connection carried no request; the load balancer would retry it at another process.
		if !errors.Is(err, syscall.ECONNREFUSED) {
			t.Error(err)
		}
	}
	<-c.entries[1].exited
	qt.Assert(t, c.entries[1].ProcessState.ExitCode(), qt.Equals, 0)
}

// isReady reports whether /readyz of entry process i returns 200, so that a load balancer would send requests to it.
func (c *cluster) isReady(i int) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + c.adminAddresses[i] + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// TestRollingReplacement guards against requests that are dropped or run twice while all entry processes are replaced
// one after the other under load. The simulated load balancer polls /readyz every 20 ms.
func TestRollingReplacement(t *testing.T) {
	c := startCluster(t)
	var mu sync.Mutex
	accepting := []bool{true, true, true}
	balancing, stopBalancing := context.WithCancel(t.Context())
	var balancer sync.WaitGroup
	balancer.Go(func() {
		for balancing.Err() == nil {
			for i := range accepting {
				ready := c.isReady(i)
				mu.Lock()
				accepting[i] = ready
				mu.Unlock()
			}
			<-time.After(20 * time.Millisecond)
		}
	})
	pick := func(n int) (string, bool) {
		mu.Lock()
		defer mu.Unlock()
		for i := range accepting {
			if at := (n + i) % len(accepting); accepting[at] {
				return c.callerAddresses[at], true
			}
		}
		return "", false
	}
	loading, stopLoading := context.WithCancel(t.Context())
	outcomes := map[string]int{}
	var failures []string
	var load sync.WaitGroup
	for n := range 8 {
		load.Go(func() {
			for i := 0; loading.Err() == nil; i++ {
				address, ok := pick(n + i)
				if !ok {
					<-time.After(10 * time.Millisecond)
					continue
				}
				key, class := "", "check-stock"
				if i%4 == 0 {
					key, class = fmt.Sprintf("rolling-%d-%d", n, i), "place-order"
				}
				answer, err := c.send(address, class, key, fmt.Sprintf("body-%d-%d", n, i))
				mu.Lock()
				outcomes[answer.outcome]++
				if err != nil {
					failures = append(failures, fmt.Sprintf("request %d-%d: %v", n, i, err))
				}
				mu.Unlock()
			}
		})
	}
	for i := range c.entries {
		qt.Assert(t, c.entries[i].Process.Signal(syscall.SIGTERM), qt.IsNil)
		<-c.entries[i].exited
		qt.Check(t, c.entries[i].ProcessState.ExitCode(), qt.Equals, 0)
		name := []string{"budapest", "kecskemet", "szeged"}[i]
		c.entries[i] = startProgram(t, "new entry "+name, filepath.Join(c.directory, "wigeonstep"), "entry", "-settings", filepath.Join(c.directory, "entry-"+name+".yaml"))
		eventually(t, "the replacement is ready", func() bool { return c.isReady(i) })
	}
	stopLoading()
	load.Wait()
	stopBalancing()
	balancer.Wait()
	t.Logf("outcomes: %v", outcomes)
	qt.Assert(t, failures, qt.HasLen, 0)
	qt.Assert(t, outcomes["done"] > 100, qt.IsTrue)
	for key, count := range c.runCounts(t).ByKey {
		qt.Check(t, count, qt.Equals, 1, qt.Commentf("key %s", key))
	}
}

// TestCommandLine guards against wrong exit statuses and messages, above all for usage errors and invalid files (2).
func TestCommandLine(t *testing.T) {
	tests := []struct {
		name string
		args []string
		want int
		text string
	}{
		{"help", []string{"-h"}, 0, "SUBCOMMANDS"},
		{"no command", nil, 2, "SUBCOMMANDS"},
		{"unknown command", []string{"reboot"}, 2, "unknown command"},
		{"unknown flag", []string{"status", "-colour"}, 2, "not defined"},
		{"check without files", []string{"check"}, 2, "at least one file"},
		{"check of a valid file", []string{"check", "testdata/orders.yaml"}, 0, "ok"},
		{"check of a faulty file", []string{"check", "../../wigeondocument/testdata/twice.yaml"}, 2, "twice.yaml:2:1: service: key is given twice"},
		{"check of a missing file", []string{"check", "testdata/none.yaml"}, 2, "no such file"},
		{"entry without settings", []string{"entry"}, 2, "-settings"},
		{"entry with a document", []string{"entry", "-settings", "testdata/orders.yaml"}, 2, "role: required key is missing"},
		{"explain of an unknown kind", []string{"explain", "-peer", "127.0.0.1:1", "worker", "a1"}, 2, "is not one of"},
		{"status without a source", []string{"status"}, 2, "either -platform or -peer"},
		{"status of a closed port", []string{"status", "-peer", "127.0.0.1:1", "-timeout", "2s"}, 1, "127.0.0.1:1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			qt.Check(t, run(context.Background(), test.args, &out, &errOut), qt.Equals, test.want)
			qt.Check(t, out.String()+errOut.String(), qt.Contains, test.text)
		})
	}
}
