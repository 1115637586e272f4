package wigeonentry_test

import (
	"context"
	"encoding/json"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonbackend"
	"github.com/wigeonstep/wigeonstep/wigeonfake"
)

// loadTarget sends requests to its addresses in turn, as callers do.
type loadTarget struct {
	client    *wigeonbackend.Client
	addresses []string
	// epochs are the fencing tokens for the addresses. Backend servers that have served the entry process refuse direct calls
	// without them.
	epochs []wigeonstep.VMEpoch
	// failure is the last result other than a whole answer with status 200.
	failure atomic.Pointer[wigeonstep.BackendResult]
}

func (t *loadTarget) call(n int) bool {
	result := t.client.Call(context.Background(), wigeonstep.BackendCall{
		Address: t.addresses[n%len(t.addresses)], Epoch: t.epochs[n%len(t.epochs)],
		Request: &wigeonstep.Request{
			Method: http.MethodPost, Path: "/read", Body: []byte("order of grafting wax " + strconv.Itoa(n)),
			Team: "wax", Class: "read", Deadline: time.Now().Add(5 * time.Second),
		},
	})
	if result.Verdict != wigeonstep.BackendAnswered || result.Status != http.StatusOK {
		t.failure.Store(&result)
		return false
	}
	return true
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// throughput runs closed-loop callers and returns the requests per second and per second of CPU time.
func (t *loadTarget) throughput(b *testing.B, callers int, duration time.Duration) (perSecond, perCore float64) {
	b.Helper()
	var done, failed atomic.Int64
	var running sync.WaitGroup
	begin, cpu := time.Now(), cpuTime()
	for i := range callers {
		running.Go(func() {
			for n := i; time.Since(begin) < duration; n++ {
				if t.call(n) {
					done.Add(1)
				} else {
					failed.Add(1)
				}
			}
		})
	}
	running.Wait()
	if failed.Load() > 0 {
		last := t.failure.Load()
		b.Fatalf("%d requests failed and %d were answered; the last one with status %d, %q, %v", failed.Load(), done.Load(), last.Status, last.Body, last.Err)
	}
	return float64(done.Load()) / time.Since(begin).Seconds(), float64(done.Load()) / (cpuTime() - cpu).Seconds()
}

// latency runs callers that together send at a fixed rate and returns the latencies in microseconds.
func (t *loadTarget) latency(b *testing.B, callers int, rate float64, duration time.Duration) *hdrhistogram.Histogram {
	b.Helper()
	total := hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	var running sync.WaitGroup
	interval := time.Duration(float64(callers) / rate * float64(time.Second))
	begin := time.Now()
	for i := range callers {
		running.Go(func() {
			own := hdrhistogram.New(1, 10_000_000, 3)
			for due := begin.Add(interval * time.Duration(i) / time.Duration(callers)); due.Sub(begin) < duration; due = due.Add(interval) {
				time.Sleep(time.Until(due))
				sent := time.Now()
				if !t.call(i) {
					b.Error("a request failed")
					return
				}
				_ = own.RecordValue(time.Since(sent).Microseconds())
			}
			mu.Lock()
			total.Merge(own)
			mu.Unlock()
		})
	}
	running.Wait()
	return total
}

// BenchmarkPath compares requests through an entry process with direct requests to the backend servers, in one run.
// Targets: at least 40 % of the direct throughput, and at most 0.3 ms more median latency at half load.
func BenchmarkPath(b *testing.B) {
	f := newFleet(b, 0, 0, nil)
	var addresses []string
	for i := range 4 {
		server := f.addBackend("vm-" + strconv.Itoa(i))
		server.Slots, server.RunTime = 64, time.Nanosecond
		addresses = append(addresses, server.Address())
	}
	e := f.addEntry(0xe0, nil)
	client := wigeonbackend.New(wigeonbackend.Config{MaxIdle: 256})
	defer client.Close()
	direct := &loadTarget{client: client, addresses: addresses}
	for i := range addresses {
		direct.epochs = append(direct.epochs, e.follower.View().VMs[wigeonstep.VMID("vm-"+strconv.Itoa(i))].Epoch)
	}
	viaEntry := &loadTarget{client: client, addresses: []string{e.address}, epochs: []wigeonstep.VMEpoch{0}}
	const callers = 24
	duration := 2 * time.Second
	direct.throughput(b, callers, duration/4)
	viaEntry.throughput(b, callers, duration/4)
	b.ResetTimer()
	for b.Loop() {
		directRate, directCore := direct.throughput(b, callers, duration)
		entryRate, entryCore := viaEntry.throughput(b, callers, duration)
		directLatency := direct.latency(b, callers, entryRate/2, duration)
		entryLatency := viaEntry.latency(b, callers, entryRate/2, duration)
		b.ReportMetric(directRate, "direct-req/s")
		b.ReportMetric(entryRate, "entry-req/s")
		b.ReportMetric(directCore, "direct-req/core-s")
		b.ReportMetric(entryCore, "entry-req/core-s")
		b.ReportMetric(entryRate/directRate, "ratio")
		b.ReportMetric(float64(directLatency.ValueAtQuantile(50))/1000, "direct-p50-ms")
		b.ReportMetric(float64(entryLatency.ValueAtQuantile(50))/1000, "entry-p50-ms")
		b.ReportMetric(float64(entryLatency.ValueAtQuantile(50)-directLatency.ValueAtQuantile(50))/1000, "added-p50-ms")
		b.ReportMetric(float64(entryLatency.ValueAtQuantile(99))/1000, "entry-p99-ms")
	}
	b.ReportMetric(float64(runtime.GOMAXPROCS(0)), "procs")
}

// BenchmarkOrders compares the median latency of orders with callers' own keys, of orders with issued keys and of idempotent
// requests, over the real follower in one run.
func BenchmarkOrders(b *testing.B) {
	runCounter := &wigeonfake.RunCounter{}
	platform := startPlatform(b, runCounter)
	started := startRealEntry(b, platform, "entry-0")
	e := &entry{process: started.process, address: started.address}
	waitFor(b, "orders to be served", func() bool { return e.order("first", "wax").outcome == wigeonstep.OutcomeDone })
	var issued struct{ Keys []string }
	serial := 0
	for b.Loop() {
		own, fromIssued, idempotent := hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3)
		if err := json.Unmarshal([]byte(send(e.address, http.MethodPost, "/wigeonstep/keys?count=100", "").body), &issued); err != nil {
			b.Fatal(err)
		}
		for _, key := range issued.Keys {
			serial++
			for _, kind := range []struct {
				latency *hdrhistogram.Histogram
				call    func() answer
			}{
				{own, func() answer { return e.order("own-"+strconv.Itoa(serial), "wax") }},
				{fromIssued, func() answer { return e.order(key, "wax") }},
				{idempotent, func() answer { return e.read("wax") }},
			} {
				begin := time.Now()
				if got := kind.call(); got.outcome != wigeonstep.OutcomeDone {
					b.Fatalf("%+v", got)
				}
				_ = kind.latency.RecordValue(time.Since(begin).Microseconds())
			}
		}
		b.ReportMetric(float64(own.ValueAtQuantile(50))/1000, "own-key-p50-ms")
		b.ReportMetric(float64(fromIssued.ValueAtQuantile(50))/1000, "issued-key-p50-ms")
		b.ReportMetric(float64(idempotent.ValueAtQuantile(50))/1000, "idempotent-p50-ms")
		b.ReportMetric(float64(own.ValueAtQuantile(50))/float64(idempotent.ValueAtQuantile(50)), "ratio")
	}
}
