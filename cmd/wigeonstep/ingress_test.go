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
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep/platform/wigeonstandin"
)

const (
	// ingressMemoryMB and ingressMaxFDs are the limits of the node in the tests of hostile clients. Its peak resident memory and
	// its descriptors must stay below them.
	ingressMemoryMB = 128
	ingressMaxFDs   = 512
	// runawayFactor times ingressMemoryMB is the memory above which a test kills the node, to protect the machine.
	runawayFactor = 8
	// hostileTimeout bounds the time for which one hostile client sends.
	hostileTimeout = 20 * time.Second
	// settleTime is the time without growth after which the peak resident memory is read.
	settleTime = 2 * time.Second
	// hostileBlock is the size of one write of a hostile client.
	hostileBlock = 4096
	submitHead   = "POST /new/00000000000000aa HTTP/1.1\r\nHost: " + nodeTestHost + "\r\n"
	chunkedHead  = submitHead + "Transfer-Encoding: chunked\r\n\r\n"
	readHead     = "GET /new/ HTTP/1.1\r\nHost: " + nodeTestHost + "\r\n"
)

// hostileInput is what each of a crowd of hostile clients sends: head, then the block so many times, then tail. The connection
// stays open after that.
type hostileInput struct {
	connections int
	head, block string
	blocks      int
	tail        string
	// spread is set if the clients have addresses of their own in the loopback range.
	spread bool
	// address is the listener that they attack; empty for that for clients.
	address string
}

// fill returns the text as often as it fits into a block, at least once.
func fill(text string) string { return strings.Repeat(text, max(1, hostileBlock/len(text))) }

// attackedNode is a node in a process of its own with the limits of these tests.
type attackedNode struct {
	*program
	clientAddress, readyAddress, metricsAddress string
	// connections holds the connections of hostile clients, which stay open until the test ends.
	mu          sync.Mutex
	connections []net.Conn
}

func startAttackedNode(t *testing.T) *attackedNode {
	t.Helper()
	directory := t.TempDir()
	binary := filepath.Join(directory, "wigeonstep")
	output, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", output))
	f := newPlatformStandIn(t, 2)
	addresses := freeAddresses(t, localHost, 4)
	slices.SortFunc(addresses[2:4], func(a, b string) int { return len(a) - len(b) + strings.Compare(a, b) })
	environment, err := wigeonstandin.NodeSettings{
		Name: "node-1", IP: localHost, ClientAddress: addresses[0], ReadyAddress: addresses[1], PeerAddress: addresses[2],
		MetricsAddress: addresses[3], StoreAddress: f.store.Address(), MachineServiceAddress: f.machineService.Address(),
		Partitions: localPartitions, Grace: time.Second, MemoryMB: ingressMemoryMB, MaxFDs: ingressMaxFDs,
	}.Write(filepath.Join(directory, "node.json"))
	qt.Assert(t, err, qt.IsNil)
	name, value, _ := strings.Cut(environment, "=")
	t.Setenv(name, value)
	n := &attackedNode{program: startProgram(t, "node", binary, "node"), clientAddress: addresses[0], readyAddress: addresses[1], metricsAddress: addresses[3]}
	t.Cleanup(func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, c := range n.connections {
			_ = c.Close()
		}
	})
	n.submitUntilAccepted(t, 0)
	t.Logf("before: peak resident memory %d MB, %d descriptors", n.peakMemoryMB(), n.descriptors())
	go n.killRunaway()
	return n
}

// peakMemoryMB returns the peak resident memory of the process, 0 when it has ended.
func (n *attackedNode) peakMemoryMB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.Process.Pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.Atoi(fields[0])
	return kb / 1024
}

// settledPeakMB waits until the peak resident memory has stayed the same for settleTime, since the process may still have bytes to
// read when the clients have sent all, and returns it.
func (n *attackedNode) settledPeakMB() int {
	peak, since := n.peakMemoryMB(), time.Now()
	for limit := since.Add(hostileTimeout); time.Since(since) < settleTime && time.Now().Before(limit); {
		<-time.After(50 * time.Millisecond)
		if now := n.peakMemoryMB(); now != peak {
			peak, since = now, time.Now()
		}
	}
	return peak
}

func (n *attackedNode) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.Process.Pid))
	return len(entries)
}

// killRunaway kills the process when its memory passes a multiple of its limit.
func (n *attackedNode) killRunaway() {
	for {
		select {
		case <-n.exited:
			return
		case <-time.After(10 * time.Millisecond):
		}
		if n.peakMemoryMB() > runawayFactor*ingressMemoryMB {
			_ = n.Process.Kill()
			return
		}
	}
}

// submit sends one ordinary job over a connection of its own and returns the status.
func (n *attackedNode) submit(id int) (int, error) {
	encoded, err := json.Marshal(wigeonstandin.Job("order"))
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.clientAddress+"/new/"+jobID(id), bytes.NewReader(encoded))
	if err != nil {
		return 0, err
	}
	r.Host, r.Close = nodeTestHost, true
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

func (n *attackedNode) submitUntilAccepted(t *testing.T, id int) {
	t.Helper()
	eventually(t, "an ordinary request is answered", func() bool {
		select {
		case <-n.exited:
			t.Fatalf("the node has ended: %s", n.ProcessState)
		default:
		}
		status, err := n.submit(id)
		return err == nil && status == http.StatusOK
	})
}

// attack sends the input from all of its clients at once and returns when each has sent all or can send no more.
func (n *attackedNode) attack(input hostileInput) {
	var crowd sync.WaitGroup
	for i := range input.connections {
		crowd.Go(func() {
			dialer := net.Dialer{Timeout: hostileTimeout}
			if input.spread {
				dialer.LocalAddr = &net.TCPAddr{IP: net.IPv4(127, 1, byte(i/200), byte(1+i%200))}
			}
			conn, err := dialer.Dial("tcp", cmp.Or(input.address, n.clientAddress))
			if err != nil {
				return
			}
			n.mu.Lock()
			n.connections = append(n.connections, conn)
			n.mu.Unlock()
			_ = conn.SetWriteDeadline(time.Now().Add(hostileTimeout))
			if _, err := io.WriteString(conn, input.head); err != nil {
				return
			}
			for range input.blocks {
				if _, err := io.WriteString(conn, input.block); err != nil {
					return
				}
			}
			_, _ = io.WriteString(conn, input.tail)
		})
	}
	crowd.Wait()
}

// checkBounds checks that the process serves an ordinary request and is within its limits, while the connections of the hostile
// clients are open.
func (n *attackedNode) checkBounds(t *testing.T) {
	t.Helper()
	descriptors := n.descriptors()
	t.Logf("after the crowd: peak resident memory %d MB, %d descriptors", n.peakMemoryMB(), descriptors)
	n.submitUntilAccepted(t, 1)
	memory := n.settledPeakMB()
	// The process may not have accepted all connections when the clients have sent all.
	descriptors = max(descriptors, n.descriptors())
	t.Logf("at the end: peak resident memory %d MB, %d descriptors", memory, descriptors)
	qt.Check(t, descriptors < ingressMaxFDs, qt.IsTrue, qt.Commentf("%d descriptors", descriptors))
	qt.Assert(t, memory > 0 && memory < ingressMemoryMB, qt.IsTrue, qt.Commentf("peak resident memory of %d MB", memory))
}

func testHostileInput(t *testing.T, input hostileInput) {
	t.Helper()
	n := startAttackedNode(t)
	n.attack(input)
	n.checkBounds(t)
}

var (
	endlessField       = hostileInput{connections: 64, head: readHead + "X-Long: ", block: fill("a"), blocks: 256}
	endlessFields      = hostileInput{connections: 64, head: readHead, block: fill("X-Many: v\r\n"), blocks: 256}
	endlessRequestLine = hostileInput{connections: 64, head: "GET /new/", block: fill("a"), blocks: 256}
	endlessEmptyLines  = hostileInput{connections: 64, block: fill("\r\n"), blocks: 256}
	endlessTrailers    = hostileInput{connections: 64, head: chunkedHead + "2\r\n{}\r\n0\r\n", block: fill("X-Trailer: v\r\n"), blocks: 256}
	shortChunks        = hostileInput{connections: 160, head: chunkedHead + "70000\r\n", block: fill("a"), blocks: 0x70000 / hostileBlock, tail: "\r\n70000\r\n" + strings.Repeat("a", 0x70000-1), spread: true}
	announcedChunk     = hostileInput{connections: 160, head: chunkedHead + "80000000\r\n", block: fill("a"), blocks: 64}
	tinyChunks         = hostileInput{connections: 64, head: chunkedHead, block: fill("1\r\n{\r\n"), blocks: 1024}
	shortBodies        = hostileInput{connections: 200, head: submitHead + "Content-Length: 1048576\r\n\r\n", block: fill("a"), blocks: 255, tail: strings.Repeat("a", hostileBlock-1)}
	chunkExtensions    = hostileInput{connections: 64, head: chunkedHead + "2;", block: fill("a=b;"), blocks: 256}
	unreadResponses    = hostileInput{connections: 64, block: fill(readHead + "\r\n"), blocks: 512}
	silentConnections  = hostileInput{connections: 700, spread: true}
)

// TestEndlessHeadField guards against a process that collects a field of a head without end.
func TestEndlessHeadField(t *testing.T) { testHostileInput(t, endlessField) }

// TestEndlessHeadFields guards against a process that collects the fields of a head without end.
func TestEndlessHeadFields(t *testing.T) { testHostileInput(t, endlessFields) }

// TestEndlessRequestLine guards against a process that collects a request line without end.
func TestEndlessRequestLine(t *testing.T) { testHostileInput(t, endlessRequestLine) }

// TestEndlessEmptyLines guards against a process that collects empty lines before a request.
func TestEndlessEmptyLines(t *testing.T) { testHostileInput(t, endlessEmptyLines) }

// TestEndlessTrailers guards against a process that collects trailers without end.
func TestEndlessTrailers(t *testing.T) { testHostileInput(t, endlessTrailers) }

// TestShortChunks guards against a process that collects many chunked bodies at once, which stop just short of their end. The
// clients have different addresses, so a limit for each address alone doesn't help.
func TestShortChunks(t *testing.T) { testHostileInput(t, shortChunks) }

// TestAnnouncedChunk guards against a process that allocates the announced size of a chunk.
func TestAnnouncedChunk(t *testing.T) { testHostileInput(t, announcedChunk) }

// TestTinyChunks guards against a process that collects the framing of chunks of one byte.
func TestTinyChunks(t *testing.T) { testHostileInput(t, tinyChunks) }

// TestShortBodies guards against a process that allocates the announced lengths of many bodies, or waits for the last byte of all.
func TestShortBodies(t *testing.T) { testHostileInput(t, shortBodies) }

// TestChunkExtensions guards against a process that collects the extensions of a chunk without end.
func TestChunkExtensions(t *testing.T) { testHostileInput(t, chunkExtensions) }

// TestUnreadResponses guards against a process that collects the responses to pipelined requests of clients that don't read.
func TestUnreadResponses(t *testing.T) { testHostileInput(t, unreadResponses) }

// TestSilentConnections guards against clients that use up the descriptors, so that none is left for the store and the workers.
func TestSilentConnections(t *testing.T) { testHostileInput(t, silentConnections) }

// TestHostileChecks guards against clients that exhaust the process through its listeners for readiness checks and metrics.
func TestHostileChecks(t *testing.T) {
	n := startAttackedNode(t)
	for _, address := range []string{n.readyAddress, n.metricsAddress} {
		for _, input := range []hostileInput{endlessField, shortBodies, {connections: 300}} {
			input.address = address
			n.attack(input)
		}
	}
	n.checkBounds(t)
}

// TestHostileMixBesideCallers guards against inputs that are harmless alone and exhaust the process together, while ordinary
// callers submit jobs.
func TestHostileMixBesideCallers(t *testing.T) {
	n := startAttackedNode(t)
	inputs := []hostileInput{
		endlessField, endlessFields, endlessRequestLine, endlessEmptyLines, endlessTrailers, shortChunks, announcedChunk, tinyChunks, shortBodies,
		chunkExtensions, unreadResponses, silentConnections,
	}
	var work sync.WaitGroup
	for _, input := range inputs {
		input.connections, input.spread = 24, true
		work.Go(func() { n.attack(input) })
	}
	for caller := range 4 {
		work.Go(func() {
			for i := range 25 {
				_, _ = n.submit(100 + 25*caller + i)
			}
		})
	}
	work.Wait()
	n.checkBounds(t)
}
