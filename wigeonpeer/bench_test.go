package wigeonpeer_test

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep/wigeonpeer"
)

// BenchmarkCall measures a call with 256 bytes each way. It reports the ratio of its latency to that of an exchange of as
// many bytes on a plain TCP connection in the same run.
func BenchmarkCall(b *testing.B) {
	server, _ := startServer(b, "127.0.0.1:0", echoView)
	client := newClient(b)
	request := statusQuery(string(make([]byte, 256)))
	call := func() {
		if _, err := client.Call(b.Context(), server.Addr(), request); err != nil {
			b.Fatal(err)
		}
	}
	call()
	baseline := tcpExchangeNs(b, 256+16)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		call()
	}
	perCall := float64(b.Elapsed().Nanoseconds()) / float64(b.N)
	b.ReportMetric(perCall/baseline, "x_bare_tcp")
}

// BenchmarkCallParallel measures calls that share one session.
func BenchmarkCallParallel(b *testing.B) {
	server, _ := startServer(b, "127.0.0.1:0", echoView)
	client := newClient(b)
	request := statusQuery(string(make([]byte, 256)))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := client.Call(b.Context(), server.Addr(), request); err != nil {
				b.Error(err)
			}
		}
	})
}

// tcpExchangeNs returns the mean time in nanoseconds of one exchange of the given number of bytes over TCP.
func tcpExchangeNs(b *testing.B, bytes int) float64 {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(b, err, qt.IsNil)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		buffer := make([]byte, bytes)
		for {
			if _, err := io.ReadFull(conn, buffer); err != nil {
				return
			}
			_, _ = conn.Write(buffer)
		}
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	qt.Assert(b, err, qt.IsNil)
	defer conn.Close()
	buffer := make([]byte, bytes)
	const exchanges = 5000
	start := time.Now()
	for range exchanges {
		_, err := conn.Write(buffer)
		qt.Assert(b, err, qt.IsNil)
		_, err = io.ReadFull(conn, buffer)
		qt.Assert(b, err, qt.IsNil)
	}
	return float64(time.Since(start).Nanoseconds()) / exchanges
}

// BenchmarkIdleSessions measures the cost of 111 idle sessions, one to each other process of a fleet of the target size,
// at both ends together: memory and goroutines for each session, and the processor time of all over 20 s, an interval
// that includes a keepalive ping.
func BenchmarkIdleSessions(b *testing.B) {
	const sessions = 111
	for range b.N {
		server, _ := startServer(b, "127.0.0.1:0", echoView)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		goroutines := runtime.NumGoroutine()
		clients := make([]*wigeonpeer.Client, sessions)
		for i := range clients {
			clients[i] = newClient(b)
			_, err := clients[i].Call(b.Context(), server.Addr(), statusQuery("x"))
			qt.Assert(b, err, qt.IsNil)
		}
		start := processorTime(b)
		time.Sleep(20 * time.Second) // the measured interval
		used := processorTime(b) - start
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/sessions, "B/session")
		b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/sessions, "goroutines/session")
		b.ReportMetric(100*used.Seconds()/20, "%core")
		runtime.KeepAlive(clients)
	}
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(fmt.Errorf("read the processor time: %w", err))
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
