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
	// restartDelay is the time between the exit of a process and its restart.
	restartDelay = 300 * time.Millisecond
	// stopGrace is the time within which a process must exit after SIGTERM.
	stopGrace = 6 * time.Second
	// exitTolerance is added to stopGrace because a busy machine may report an exit late.
	exitTolerance = 2 * time.Second
)

// process is one operating-system process of the system, which is restarted whenever it exits.
type process struct {
	name string
	// clientAddress is the address at which the process serves clients.
	clientAddress string
	command       func() *exec.Cmd
	history       *history

	mu sync.Mutex
	// running is nil between an exit and the restart.
	running *exec.Cmd
	// paused is set between SIGSTOP and SIGCONT.
	paused bool
	// exitExpected is set once SIGTERM or SIGKILL was sent. exitGraceful is set while SIGTERM, first sent to a process that
	// was not paused, is the only reason for the exit; the process then has to exit without an error and in time, also if
	// further signals come while it stops.
	exitExpected, exitGraceful bool
	termSentAt                 time.Time
	// hangupDuringLoad is set once SIGHUP was sent before the runtime of the program had started. The loader cannot ignore
	// it, so the signal may end the process.
	hangupDuringLoad bool
	// output is the log of the process, and outputSize its size when the process started.
	output     *os.File
	outputSize int64
	// stopped is set by stop and prevents restarts.
	stopped bool
	// done is closed when supervise returns.
	done chan struct{}
}

// newProcess writes the settings file of a process and creates its log file. It does not start the process.
func newProcess(binary, directory, name, ip, store, machineService string, arguments []string, maxLease time.Duration, h *history) (*process, error) {
	addresses, err := freeAddresses(ip, 4)
	if err != nil {
		return nil, err
	}
	settings := wigeonstandin.NodeSettings{
		Name: name, IP: ip, ClientAddress: addresses[0], ReadyAddress: addresses[1], PeerAddress: addresses[2], MetricsAddress: addresses[3],
		StoreAddress: store, MachineServiceAddress: machineService, Partitions: partitions, Grace: stopGrace, MaxLease: maxLease,
	}
	environment, err := settings.Write(filepath.Join(directory, name+".json"))
	if err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(directory, name+".log")) //nolint:gosec // the directory belongs to the soak
	if err != nil {
		return nil, fmt.Errorf("create log: %w", err)
	}
	command := func() *exec.Cmd {
		c := exec.Command(binary, append([]string{"node"}, arguments...)...) //nolint:gosec,noctx // the soak ends its processes with the signals of its plan
		c.Env = append(os.Environ(), environment)
		c.Stdout, c.Stderr = output, output
		return c
	}
	return &process{name: name, clientAddress: addresses[0], command: command, output: output, history: h, done: make(chan struct{})}, nil
}

// loopbackIP returns the loopback address of a process or proxy, which depends on the process ID of the soak, its seed and
// the index. On a shared address, an outgoing connection of another process could occupy the port of a process that is
// down, and processes left behind by a killed soak could reach the store of a later soak through a reused port.
func loopbackIP(seed uint64, process int) string {
	const values = 250
	return fmt.Sprintf("127.%d.%d.%d", 2+os.Getpid()%values, 1+seed%values, 1+process)
}

// startMutex is held for reading while a process starts and for writing while free addresses are searched for. A child that
// is forked meanwhile would hold the listeners until it executes its program, so that a port is still in use when the
// process for which it was found listens on it.
var startMutex sync.RWMutex

// freeAddresses returns n addresses of ip with ports that were free, sorted by port. The ports are not reserved.
func freeAddresses(ip string, n int) ([]string, error) {
	startMutex.Lock()
	defer startMutex.Unlock()
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0")) //nolint:noctx // it is closed on return
		if err != nil {
			return nil, fmt.Errorf("find a free port on %s: %w", ip, err)
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b)) })
	return addresses, nil
}

// startCommand starts a command while no free addresses are searched for.
func startCommand(c *exec.Cmd) error {
	startMutex.RLock()
	defer startMutex.RUnlock()
	return c.Start()
}

// supervise starts the process and restarts it after each exit until stop. It returns early, with a violation, if the
// process does not start.
func (p *process) supervise() {
	defer close(p.done)
	for {
		c := p.command()
		p.mu.Lock()
		if p.stopped {
			p.mu.Unlock()
			return
		}
		p.outputSize = p.logSize()
		err := startCommand(c)
		if err == nil {
			p.running, p.paused, p.exitExpected, p.exitGraceful, p.hangupDuringLoad = c, false, false, false, false
		}
		p.mu.Unlock()
		if err != nil {
			p.history.recordViolation("process: %s did not start: %v", p.name, err)
			return
		}
		p.checkExit(c.Wait())
		time.Sleep(restartDelay)
	}
}

// checkExit records a violation if the process exited unexpectedly or did not stop gracefully. err is the result of Wait.
func (p *process) checkExit(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running = nil
	if p.hangupDuringLoad && endedBy(err, syscall.SIGHUP) {
		return
	}
	if !p.exitExpected && !p.stopped {
		p.history.recordViolation("process: %s exited without a signal of the soak: %v", p.name, err)
		return
	}
	if !p.exitGraceful || p.stopped {
		return
	}
	// SIGTERM ends a process that has logged nothing and so does not serve yet.
	endedBeforeServing := endedBy(err, syscall.SIGTERM) && p.logSize() == p.outputSize
	if err != nil && !endedBeforeServing {
		p.history.recordViolation("process: %s exited after SIGTERM with %v", p.name, err)
	}
	if took := time.Since(p.termSentAt); took > stopGrace+exitTolerance {
		p.history.recordViolation("process: %s took %s to exit after SIGTERM", p.name, took)
	}
}

// endedBy reports whether err is the result of a process that a signal has ended.
func endedBy(err error, s syscall.Signal) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == s
}

// logSize returns the size of the log of the process; 0 if it is unknown.
func (p *process) logSize() int64 {
	info, err := p.output.Stat()
	if err != nil {
		return 0
	}
	return info.Size()
}

// runtimeStarted reports whether the Go runtime of a process has started. It has several threads from then on.
func runtimeStarted(pid int) bool {
	threads, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	return err == nil && len(threads) > 1
}

// signal sends a signal to the process if it runs, and records what checkExit has to expect.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil {
		return
	}
	switch s {
	case syscall.SIGKILL:
		p.exitExpected, p.exitGraceful = true, false
	case syscall.SIGTERM:
		if !p.exitExpected {
			p.exitGraceful, p.termSentAt = !p.paused, time.Now()
		}
		p.exitExpected = true
	case syscall.SIGHUP:
		p.hangupDuringLoad = p.hangupDuringLoad || !runtimeStarted(p.running.Process.Pid)
	case syscall.SIGSTOP:
		p.paused, p.exitGraceful = true, false
	case syscall.SIGCONT:
		p.paused = false
	}
	if err := p.running.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.history.recordViolation("process: send signal %s to %s: %v", s, p.name, err)
	}
}

// stop kills the process and waits until supervise returns.
func (p *process) stop() {
	p.mu.Lock()
	p.stopped = true
	if p.running != nil {
		_ = p.running.Process.Kill()
	}
	p.mu.Unlock()
	<-p.done
}
