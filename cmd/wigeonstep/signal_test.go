package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep/platform/wigeonstandin"
)

// TestReloadSignalDuringStart guards against a node that exits because SIGHUP arrives while it reads its settings.
func TestReloadSignalDuringStart(t *testing.T) {
	directory := buildCommands(t)
	file, client := writeSignalNodeSettings(t, directory)
	settings := replaceByPipe(t, file)
	node := startProgram(t, "node", filepath.Join(directory, "wigeonstep"), "node")
	pipe, err := os.OpenFile(file, os.O_WRONLY, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, node.Process.Signal(syscall.SIGHUP), qt.IsNil)
	_, err = pipe.Write(settings)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, pipe.Close(), qt.IsNil)
	awaitListening(t, node, client)
}

// TestReloadSignalBeforeMain guards against a node that exits because SIGHUP arrives after the Go runtime has started, while
// the packages are initialised and before main runs. A later SIGHUP still reloads.
func TestReloadSignalBeforeMain(t *testing.T) {
	directory := buildCommands(t)
	file, client := writeSignalNodeSettings(t, directory)
	for range 5 {
		node := startProgram(t, "node", filepath.Join(directory, "wigeonstep"), "node")
		// The runtime of Go starts its second thread before it initialises the packages.
		for threads := 0; threads < 2; {
			entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", node.Process.Pid))
			qt.Assert(t, err, qt.IsNil)
			threads = len(entries)
		}
		qt.Assert(t, node.Process.Signal(syscall.SIGHUP), qt.IsNil)
		awaitListening(t, node, client)
		settings := replaceByPipe(t, file)
		qt.Assert(t, node.Process.Signal(syscall.SIGHUP), qt.IsNil)
		// This write returns once the node has opened its settings again.
		qt.Assert(t, os.WriteFile(file, settings, 0), qt.IsNil)
		qt.Assert(t, node.Process.Signal(syscall.SIGTERM), qt.IsNil)
		<-node.exited
		qt.Assert(t, node.ProcessState.Success(), qt.IsTrue)
		qt.Assert(t, os.Remove(file), qt.IsNil)
		qt.Assert(t, os.WriteFile(file, settings, 0o600), qt.IsNil)
	}
}

// replaceByPipe replaces a settings file by a named pipe, and returns the settings. A node blocks in the read of its settings
// until the pipe is written.
func replaceByPipe(t *testing.T, file string) []byte {
	t.Helper()
	settings, err := os.ReadFile(file)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, os.Remove(file), qt.IsNil)
	qt.Assert(t, syscall.Mkfifo(file, 0o600), qt.IsNil)
	return settings
}

// writeSignalNodeSettings writes the settings of a node without a platform and sets their path in the environment. It returns
// their file and the address at which the node serves clients.
func writeSignalNodeSettings(t *testing.T, directory string) (file, client string) {
	t.Helper()
	addresses := freeAddresses(t, "127.0.0.1", 6)
	slices.Sort(addresses[2:4]) // The peer port is the first of the internal ports, the metrics port the last.
	file = filepath.Join(directory, "node.json")
	environment, err := wigeonstandin.NodeSettings{
		Name: "node-1", IP: "127.0.0.1", ClientAddress: addresses[0], ReadyAddress: addresses[1], PeerAddress: addresses[2],
		MetricsAddress: addresses[3], StoreAddress: addresses[4], MachineServiceAddress: addresses[5], Partitions: 2, Grace: time.Second,
	}.Write(file)
	qt.Assert(t, err, qt.IsNil)
	name, value, _ := strings.Cut(environment, "=")
	t.Setenv(name, value)
	return file, addresses[0]
}

// awaitListening waits until the node listens at the address. It fails the test if the node exits.
func awaitListening(t *testing.T, node *program, address string) {
	t.Helper()
	eventually(t, "the node serves clients", func() bool {
		select {
		case <-node.exited:
			t.Fatalf("the node exited: %s", node.ProcessState)
		default:
		}
		return isListening(address)
	})
}
