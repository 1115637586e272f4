package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"regexp"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep/wigeonplatform"
)

// lockedBuffer is a bytes.Buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// startCommand runs a command until the end of the test and returns its output. The command must exit with status 0.
func startCommand(t *testing.T, args ...string) *lockedBuffer {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	log := &lockedBuffer{}
	var running sync.WaitGroup
	running.Go(func() { qt.Check(t, run(ctx, args, log, log), qt.Equals, 0, qt.Commentf("%s", log)) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return log
}

// waitForLog waits up to 10 s for a match of the pattern in the log and returns its first group.
func waitForLog(t *testing.T, log *lockedBuffer, pattern string) string {
	t.Helper()
	expression := regexp.MustCompile(pattern)
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if match := expression.FindStringSubmatch(log.String()); match != nil {
			return match[1]
		}
		if time.Now().After(end) {
			t.Fatalf("%s is not in the log after 10 s:\n%s", pattern, log)
		}
	}
}

// Guards against platform, backend and caller commands that do not work together: a VM that does not register, a trace
// whose repeated keys are not detected, and a drain or reboot that does not reach the backend server.
func TestPlatformBackendAndCaller(t *testing.T) {
	platform := waitForLog(t, startCommand(t, namePlatform, "-listen", "127.0.0.1:0", "-reboot-time", "200ms", "-list-lag", "0s"),
		`msg="the platform listens" address=(\S+)`)
	backends := startCommand(t, nameBackend, "-platform", platform, "-id-prefix", "a", "-pool", "wax")
	backend := waitForLog(t, backends, `msg="a backend server listens" vm=a1 address=(\S+)`)

	client, err := wigeonplatform.New(wigeonplatform.Config{Address: platform})
	qt.Assert(t, err, qt.IsNil)
	for {
		list, err := client.ListVMs(t.Context())
		qt.Assert(t, err, qt.IsNil)
		if len(list.VMs) == 1 {
			qt.Assert(t, list.VMs[0].Address, qt.Equals, backend)
			break
		}
	}
	trace := filepath.Join(t.TempDir(), "trace.csv")
	qt.Assert(t, os.WriteFile(trace, []byte("offset_ms,team,class,key\n0,wax,order,k1\n1,wax,order,k2\n"), 0o600), qt.IsNil)
	var table, log bytes.Buffer
	status := run(t.Context(), []string{nameCaller, "-entries", backend, "-backends", backend, "-trace", trace}, &table, &log)
	qt.Assert(t, status, qt.Equals, 0, qt.Commentf("%s%s", &table, &log))
	qt.Assert(t, table.String(), qt.Matches, `(?s).*\bwax +order +2 +2 +0 .*`)
	status = run(t.Context(), []string{nameCaller, "-entries", backend, "-backends", backend, "-trace", trace}, &table, &log)
	qt.Assert(t, status, qt.Equals, exitFailure, qt.Commentf("the keys ran twice"))

	qt.Assert(t, client.DrainVM(t.Context(), "a1", 1), qt.IsNil)
	waitForLog(t, backends, `vm=a1 (draining=true)`)
	qt.Assert(t, client.RebootVM(t.Context(), "a1", 2), qt.IsNil)
	waitForLog(t, backends, `msg="a VM came up" vm=a1 (address)`)
}

// Guards against a usage error that is not reported with its cause and exit status 2.
func TestUsageErrors(t *testing.T) {
	for _, test := range []struct {
		name, want string
		args       []string
	}{
		{"no command", "no command is named", nil},
		{"unknown command", `unknown command "entry"`, []string{"entry"}},
		{"unknown flag", "flag provided but not defined: -x", []string{namePlatform, "-x"}},
		{"argument", `unexpected argument "y"`, []string{namePlatform, "y"}},
		{"not loopback", "expected an IP number of the loopback range", []string{namePlatform, "-listen", "0.0.0.0:0"}},
		{"name", "expected an IP number of the loopback range", []string{nameBackend, "-listen", "localhost:0"}},
		{"no port", "missing port in address", []string{nameBackend, "-platform", "127.0.0.1"}},
		{"count", "expected 1 to 500", []string{nameBackend, "-count", "0"}},
		{"no trace", "-trace is missing", []string{nameCaller, "-entries", "127.0.0.1:1"}},
		{"no entries", "-entries", []string{nameCaller, "-trace", "x.csv"}},
		{"trace of another kind", "the extension is", []string{nameCaller, "-entries", "127.0.0.1:1", "-trace", "main.go"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out, log bytes.Buffer
			qt.Assert(t, run(t.Context(), test.args, &out, &log), qt.Equals, exitUsage)
			qt.Assert(t, log.String(), qt.Contains, test.want)
		})
	}
}

// Guards against a subcommand whose -h fails or shows no examples.
func TestHelp(t *testing.T) {
	for _, command := range []string{namePlatform, nameBackend, nameCaller} {
		var out, log bytes.Buffer
		qt.Assert(t, run(t.Context(), []string{command, "-h"}, &out, &log), qt.Equals, 0)
		qt.Assert(t, log.String(), qt.Contains, "Examples:\n  wigeonfake "+command)
	}
}
