package wigeonsoak

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a process that finds its address in use, because a process that was forked while the soak looked for free
// addresses still holds it.
func TestFreeAddressesStayFreeWhileProcessesStart(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	t.Cleanup(func() {
		cancel()
		<-done
	})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			c := exec.Command("true")
			if startCommand(c) == nil {
				_ = c.Wait()
			}
		}
	}()
	for range 400 {
		addresses, err := freeAddresses(loopbackIP(0, 200), 4)
		qt.Assert(t, err, qt.IsNil)
		for _, address := range addresses {
			l, err := net.Listen("tcp", address)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, l.Close(), qt.IsNil)
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a check of exits that misses one that a signal did not cause, or reports one that came before the process
// could act on the signal.
func TestCheckExit(t *testing.T) {
	// A child inherits an ignored SIGHUP, for instance under nohup, but not a handled one.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	t.Cleanup(func() { signal.Stop(hangups) })
	const silent, logs = "kill -%d $$", "echo started; kill -%d $$"
	for _, test := range []struct {
		name, script     string
		sent, endedBy    syscall.Signal
		hangupDuringLoad bool
		want             int
	}{
		{"SIGTERM before the process serves", silent, syscall.SIGTERM, syscall.SIGTERM, false, 0},
		{"SIGTERM without a drain", logs, syscall.SIGTERM, syscall.SIGTERM, false, 1},
		{"SIGHUP while the process was loaded", silent, 0, syscall.SIGHUP, true, 0},
		{"SIGHUP later", silent, 0, syscall.SIGHUP, false, 1},
		{"another end after SIGHUP while the process was loaded", silent, 0, syscall.SIGUSR1, true, 1},
		{"error after SIGTERM", "exit 1; %d", syscall.SIGTERM, syscall.SIGTERM, false, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			output, err := os.Create(filepath.Join(t.TempDir(), "log"))
			qt.Assert(t, err, qt.IsNil)
			defer output.Close()
			c := exec.Command("sh", "-c", fmt.Sprintf(test.script, int(test.endedBy)))
			c.Stdout = output
			p := &process{name: "n-0", history: newHistory(), output: output, hangupDuringLoad: test.hangupDuringLoad}
			p.exitExpected, p.exitGraceful, p.termSentAt = test.sent != 0, test.sent != 0, time.Now()
			qt.Assert(t, startCommand(c), qt.IsNil)
			p.checkExit(c.Wait())
			qt.Assert(t, p.history.violations, qt.HasLen, test.want, qt.Commentf("%s", p.history.violations))
		})
	}
}
