package main

import (
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
	addresses := freeAddresses(t, "127.0.0.1", 6)
	slices.Sort(addresses[2:4]) // The peer port is the first of the internal ports, the metrics port the last.
	file := filepath.Join(directory, "node.json")
	environment, err := wigeonstandin.NodeSettings{
		Name: "node-1", IP: "127.0.0.1", ClientAddress: addresses[0], ReadyAddress: addresses[1], PeerAddress: addresses[2],
		MetricsAddress: addresses[3], StoreAddress: addresses[4], MachineServiceAddress: addresses[5], Partitions: 2, Grace: time.Second,
	}.Write(file)
	qt.Assert(t, err, qt.IsNil)
	settings, err := os.ReadFile(file)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, os.Remove(file), qt.IsNil)
	// The node blocks in the read of its settings until the pipe is written.
	qt.Assert(t, syscall.Mkfifo(file, 0o600), qt.IsNil)
	name, value, _ := strings.Cut(environment, "=")
	t.Setenv(name, value)
	node := startProgram(t, "node", filepath.Join(directory, "wigeonstep"), "node")
	pipe, err := os.OpenFile(file, os.O_WRONLY, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, node.Process.Signal(syscall.SIGHUP), qt.IsNil)
	_, err = pipe.Write(settings)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, pipe.Close(), qt.IsNil)
	eventually(t, "the node serves clients", func() bool {
		select {
		case <-node.exited:
			t.Fatal("the node exited")
		default:
		}
		return isListening(addresses[0])
	})
}
