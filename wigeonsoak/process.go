package wigeonsoak

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/wigeonstep/wigeonstep/platform/wigeonstandin"
)

const (
	// restartDelay is the pause before a process that has ended is started again.
	restartDelay = 300 * time.Millisecond
	// stopGrace is how long a process may take to end after SIGTERM.
	stopGrace = 6 * time.Second
	// lossGrace is how much later than that it may be seen to have ended on a busy machine.
	lossGrace = 2 * time.Second
)

// process is one real process of the system, started again whenever it ends.
type process struct {
	name    string
	clients string
	command func() *exec.Cmd
	history *history

	mu sync.Mutex
	// running is nil between two lives.
	running *exec.Cmd
	paused  bool
	// expected is set once a signal was sent that ends the process; graceful is set when that was SIGTERM alone.
	expected, graceful bool
	termSent           time.Time
	stopped            bool
	ended              chan struct{}
}

// newProcess writes the settings of a process and returns it.
func newProcess(binary, directory, name, ip, store, cloud string, h *history) (*process, error) {
	addresses, err := freeAddresses(ip, 4)
	if err != nil {
		return nil, err
	}
	settings := wigeonstandin.NodeSettings{
		Name: name, IP: ip, Clients: addresses[0], Ready: addresses[1], Peers: addresses[2], Metrics: addresses[3],
		Store: store, Cloud: cloud, Partitions: partitions, Grace: stopGrace,
	}
	environment, err := settings.Write(filepath.Join(directory, name+".json"))
	if err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(directory, name+".log")) //nolint:gosec // a directory of the soak
	if err != nil {
		return nil, fmt.Errorf("create log: %w", err)
	}
	command := func() *exec.Cmd {
		c := exec.Command(binary, "node") //nolint:gosec,noctx // the soak ends its processes itself, with the signals of its plan
		c.Env = append(os.Environ(), environment)
		c.Stdout, c.Stderr = output, output
		return c
	}
	return &process{name: name, clients: addresses[0], command: command, history: h, ended: make(chan struct{})}, nil
}

// ownIP returns the loopback address of a process, and of the proxies, of a soak. On a shared one, the port of a process
// that is down could be taken by a connection of another, and processes that a killed soak left behind could reach the store
// of a later one by a port that is used again.
func ownIP(seed uint64, process int) string {
	const values = 250
	return fmt.Sprintf("127.%d.%d.%d", 2+os.Getpid()%values, 1+seed%values, 1+process)
}

// freeAddresses asks the system for free ports, in rising order.
func freeAddresses(ip string, n int) ([]string, error) {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0")) //nolint:noctx // it is closed at once
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b)) })
	return addresses, nil
}

// keep runs the process and starts it again until stop.
func (p *process) keep() {
	defer close(p.ended)
	for {
		c := p.command()
		p.mu.Lock()
		if p.stopped {
			p.mu.Unlock()
			return
		}
		err := c.Start()
		if err == nil {
			p.running, p.paused, p.expected, p.graceful = c, false, false, false
		}
		p.mu.Unlock()
		if err != nil {
			p.history.breach("process: %s did not start: %v", p.name, err)
			return
		}
		p.judge(c.Wait())
		time.Sleep(restartDelay)
	}
}

// judge checks how a life of the process ended.
func (p *process) judge(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running = nil
	if !p.expected && !p.stopped {
		p.history.breach("process: %s ended by itself: %v", p.name, err)
		return
	}
	if !p.graceful || p.stopped {
		return
	}
	if err != nil {
		p.history.breach("process: %s ended after SIGTERM with %v", p.name, err)
	}
	if took := time.Since(p.termSent); took > stopGrace+lossGrace {
		p.history.breach("process: %s took %s to end after SIGTERM", p.name, took)
	}
}

// signal sends a signal to the process if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil {
		return
	}
	switch s {
	case syscall.SIGKILL:
		p.expected, p.graceful = true, false
	case syscall.SIGTERM:
		p.graceful = !p.expected && !p.paused
		if !p.expected {
			p.termSent = time.Now()
		}
		p.expected = true
	case syscall.SIGSTOP:
		p.paused, p.graceful = true, false
	case syscall.SIGCONT:
		p.paused = false
	}
	if err := p.running.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.history.breach("process: signal %s to %s: %v", s, p.name, err)
	}
}

// stop ends the process for good.
func (p *process) stop() {
	p.mu.Lock()
	p.stopped = true
	if p.running != nil {
		_ = p.running.Process.Kill()
	}
	p.mu.Unlock()
	<-p.ended
}
