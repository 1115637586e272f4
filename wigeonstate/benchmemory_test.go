package wigeonstate_test

import (
	"fmt"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// BenchmarkMemory measures the heap and the snapshot bytes that one item of each kind adds.
func BenchmarkMemory(b *testing.B) {
	for _, kind := range []struct {
		name  string
		count int
		put   func(f *benchFleet, i int)
	}{
		{"vm", 7300, func(f *benchFleet, i int) { f.observeVM(1000 + i) }},
		{"session", 1000, func(f *benchFleet, i int) {
			f.put(sessionID(1000+i), f.sessionOpenEntry(wigeonwire.Role_ROLE_ENTRY, 1000+i, 7001))
			f.renew(sessionID(1000 + i))
		}},
		{"key", 200000, func(f *benchFleet, _ int) { f.enqueueKeyedRequest() }},
		{"document", 90, func(f *benchFleet, i int) {
			f.versions = append(f.versions, 0)
			f.size.pools = 500
			f.changeDocument(6 + i)
		}},
		{"change", 14000, func(f *benchFleet, i int) { f.changeDocument(i % 2) }},
		{"decision", 40000, func(f *benchFleet, i int) {
			f.put(f.controlSession(0), &wigeonwire.Entry{Body: &wigeonwire.Entry_Decision{Decision: &wigeonwire.Decision{
				SubjectKind: "vm", Subject: f.vmID(i / 50), Action: "drain", Cause: "maintenance wave of the pool", Rule: "disruption budget",
				Figures: "unavailable 1, allowed 3, reserve 1",
			}}})
		}},
		{"job", 20000, func(f *benchFleet, i int) {
			f.put(f.entrySession(0), &wigeonwire.Entry{Body: &wigeonwire.Entry_JobAccept{JobAccept: &wigeonwire.JobAccept{
				Job: fmt.Sprintf("%016x-%d", f.entrySession(0), i), Service: "service-07", Team: "team-07", Class: "monthly-invoices",
				Method: "POST", Path: "/invoices", Body: make([]byte, 200),
			}}})
		}},
	} {
		b.Run(kind.name, func(b *testing.B) {
			for range b.N {
				f := newBenchFleet(b, fleetSizes()[0])
				f.addPools(kind.name)
				before, encodedBefore := heapInUse(), f.encodedBytes()
				for i := range kind.count {
					kind.put(f, i)
					if i%100 == 0 {
						f.applyPending()
					}
				}
				f.applyPending()
				f.releaseGeneratorState()
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(float64(heapInUse()-before)/float64(kind.count), "heap-B/each")
				b.ReportMetric(float64(f.encodedBytes()-encodedBefore)/float64(kind.count), "snapshot-B/each")
				runtime.KeepAlive(f)
			}
		})
	}
}

// addPools adds VMs in 500 pools for the items of kind document, which need pools with slots. For other kinds it does nothing.
func (f *benchFleet) addPools(kind string) {
	if kind != "document" {
		return
	}
	pools := f.size.pools
	f.size.pools = 500
	for vm := range 1500 {
		f.observeVM(1000 + vm)
	}
	f.size.pools = pools
	f.applyPending()
	f.pending = nil
	f.state.View()
}

// releaseGeneratorState frees what only the generation of records needs, so that the heap in use is that of the state and its
// view.
func (f *benchFleet) releaseGeneratorState() {
	f.pending, f.epochs, f.sequences, f.renewals, f.scheduled = nil, nil, nil, nil, nil
	f.state.View()
}

func (f *benchFleet) encodedBytes() int {
	data, err := f.state.Encode()
	qt.Assert(f.b, err, qt.IsNil)
	return len(data)
}
