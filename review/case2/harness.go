//go:build review

// Command case2 plays the cases of the second review. It starts the node processes of the deploy file on loopback addresses with
// stand-ins of the store, the machine service and the workers, and exits with 1 if the rule of the case was broken, with 0 if it
// held, and with 2 if the case couldn't run.
package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/wigeonstep/wigeonstep/platform/wigeonstandin"
)

const (
	host       = "queue.example"
	prefix     = "/q/"
	service    = "arajanlat"
	partitions = 24
	// memoryMB is the memory of a machine of the small deployments (SYSTEM.md).
	memoryMB = 284
	// restartDelay is the time after which the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
)

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	file  io.Writer
	began time.Time
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
}

// node is one machine of the system: its process is started again whenever it ends.
type node struct {
	name, client, ready string
	environment         string
	logPath             string
	r                   *recorder

	mu      sync.Mutex
	running *exec.Cmd
	// ends counts the ends of the process that the case did not ask for, overMemory those for memory over the limit.
	ends, overMemory int
	// asked is set while the case has asked the process to end. disturbed holds the times of its signals and starts.
	asked     bool
	disturbed []time.Time
	// peakMB is the most memory that the process has used.
	peakMB  int
	stopped bool
	done    chan struct{}
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	ctx       context.Context
	cancel    context.CancelFunc
	directory string
	binary    string
	r         *recorder
	store     *wigeonstandin.Store
	cloud     *wigeonstandin.MachineService
	nodes     []*node
	// storeAddress and cloudAddress are the addresses that the nodes get, if they are not those of store and cloud.
	storeAddress, cloudAddress string
}

func newDeployment(r *recorder) (*deployment, error) {
	directory, err := os.MkdirTemp("", "case2-")
	if err != nil {
		return nil, err
	}
	binary, err := filepath.Abs("target/wigeonstep")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(binary); err != nil {
		return nil, fmt.Errorf("the build of the deploy file is missing: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &deployment{ctx: ctx, cancel: cancel, directory: directory, binary: binary, r: r}, nil
}

func (d *deployment) close() {
	for _, n := range d.nodes {
		n.stop()
	}
	d.cancel()
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(d.directory, keep)
	}
	_ = os.RemoveAll(d.directory)
}

// startNodes starts n node processes that reach the store at the address.
func (d *deployment) startNodes(count int) error {
	for i := range count {
		n, err := d.newNode(fmt.Sprintf("edge-%d", i+1))
		if err != nil {
			return err
		}
		d.nodes = append(d.nodes, n)
		go n.supervise(d.binary)
	}
	return nil
}

func (d *deployment) newNode(name string) (*node, error) {
	// Each process has a loopback address of its own, so that no outgoing connection occupies its ports while it is down.
	ip := fmt.Sprintf("127.%d.%d.%d", 2+os.Getpid()%250, 1+os.Getpid()/250%250, 1+len(d.nodes))
	addresses, err := freeAddresses(ip, 4)
	if err != nil {
		return nil, err
	}
	settings := wigeonstandin.NodeSettings{
		Name: name, IP: ip, ClientAddress: addresses[0], ReadyAddress: addresses[1], PeerAddress: addresses[2], MetricsAddress: addresses[3],
		StoreAddress: cmp.Or(d.storeAddress, d.store.Address()), MachineServiceAddress: cmp.Or(d.cloudAddress, d.cloud.Address()), Partitions: partitions, Grace: 6 * time.Second, MemoryMB: memoryMB, MaxFDs: 4100,
	}
	environment, err := settings.Write(filepath.Join(d.directory, name+".json"))
	if err != nil {
		return nil, err
	}
	return &node{name: name, client: addresses[0], ready: addresses[1], environment: environment, logPath: filepath.Join(d.directory, name+".log"), r: d.r, done: make(chan struct{})}, nil
}

// supervise runs the process until stop, and ends it when it uses more memory than its machine has, as the platform does
// (DEPLOY.md, "Memory and descriptors" and "Ends").
func (n *node) supervise(binary string) {
	defer close(n.done)
	// The process is killed with the thread that started it, so that none outlives the case.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	log, err := os.Create(n.logPath)
	if err != nil {
		n.r.printf("%s: %v", n.name, err)
		return
	}
	defer func() { _ = log.Close() }()
	for {
		n.mu.Lock()
		if n.stopped {
			n.mu.Unlock()
			return
		}
		c := exec.Command(binary, "node")
		c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), n.environment}
		c.Stdout, c.Stderr = log, log
		c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		err := c.Start()
		n.running = c
		n.disturbed = append(n.disturbed, time.Now())
		n.mu.Unlock()
		if err != nil {
			n.r.printf("%s: %v", n.name, err)
			return
		}
		exited := make(chan error, 1)
		go func() { exited <- c.Wait() }()
		over := 0
		for waiting := true; waiting; {
			select {
			case err = <-exited:
				waiting = false
			case <-time.After(20 * time.Millisecond):
				mb := residentMB(c.Process.Pid)
				n.mu.Lock()
				n.peakMB = max(n.peakMB, mb)
				n.mu.Unlock()
				if mb > memoryMB && over == 0 {
					over = mb
					_ = c.Process.Kill()
				}
			}
		}
		n.mu.Lock()
		n.running = nil
		expected := n.stopped || n.asked
		n.asked = false
		if !expected {
			n.ends++
			if over > 0 {
				n.overMemory++
			}
		}
		n.mu.Unlock()
		switch {
		case over > 0:
			n.r.printf("%s: its process used %d MB of %d and was killed", n.name, over, memoryMB)
		case !expected:
			n.r.printf("%s: its process ended by itself: %v", n.name, err)
		}
		time.Sleep(restartDelay)
	}
}

// residentMB returns the memory of a process that is in use, 0 once it has ended.
func residentMB(pid int) int {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// signal asks the process to end.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.running != nil {
		n.asked = true
		n.disturbed = append(n.disturbed, time.Now())
		_ = n.running.Process.Signal(s)
		n.r.printf("%s: %v", n.name, s)
	}
}

// calmAt reports whether the process was neither started nor asked to end in the time before.
func (n *node) calmAt(at time.Time, window time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !slices.ContainsFunc(n.disturbed, func(d time.Time) bool { return d.Before(at) && at.Sub(d) < window })
}

func (n *node) stop() {
	n.mu.Lock()
	n.stopped = true
	if n.running != nil {
		_ = n.running.Process.Kill()
	}
	n.mu.Unlock()
	<-n.done
}

// freeAddresses returns loopback addresses with ports that were free, in ascending order of their ports.
func freeAddresses(ip string, count int) ([]string, error) {
	var ports []int
	for range count {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	slices.Sort(ports)
	var addresses []string
	for _, port := range ports {
		addresses = append(addresses, net.JoinHostPort(ip, strconv.Itoa(port)))
	}
	return addresses, nil
}

// answer is the answer to a client; status 0 stands for none.
type answer struct {
	status int
	body   string
}

// call sends one request of a client, which waits for three seconds.
func call(n *node, method, path string, body any) answer {
	const deadline = 3 * time.Second
	var encoded []byte
	if body != nil {
		encoded, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.client+path, bytes.NewReader(encoded))
	if err != nil {
		return answer{}
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Wigeonstep-Deadline-Ms", strconv.Itoa(int(deadline.Milliseconds())))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return answer{}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	return answer{response.StatusCode, strings.TrimSpace(string(text))}
}

// state returns the state in the answer to a GET for a job.
func (a answer) state() string {
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(a.body), &body)
	return body.State
}

// endedByItself reports whether a process has ended that the case did not stop.
func (d *deployment) endedByItself() bool {
	return slices.ContainsFunc(d.nodes, func(n *node) bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.ends > 0
	})
}

// waitReady waits until all nodes answer their readiness check.
func (d *deployment) waitReady(limit time.Duration) bool {
	until := time.Now().Add(limit)
	for _, n := range d.nodes {
		for {
			client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			response, err := client.Get("http://" + n.ready + "/-/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}
