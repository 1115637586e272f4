package wigeonstate_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	targetVMs      = 7300
	targetPools    = 84
	targetSessions = 56
	targetServices = 97
)

// fleet folds a fleet of the given size: an entry and a control session for each entry VM, pools, documents and VMs.
func fleet(tb testing.TB, vms, pools int) *fold {
	tb.Helper()
	f := newFold(tb)
	for i := range uint64(targetSessions) {
		f.accept(1000+i, openEntry(wigeonwire.Role_ROLE_CONTROL, "a", fmt.Sprintf("10.0.0.%d:71", i)))
		f.accept(2000+i, openEntry(wigeonwire.Role_ROLE_ENTRY, "a", fmt.Sprintf("10.0.0.%d:70", i)))
		f.renew(2000 + i)
	}
	for i := range vms {
		entry := observeEntry("a11", fmt.Sprintf("pool-%02d", i%pools))
		entry.GetVmObserve().Vm = fmt.Sprintf("vm-%06d", i)
		entry.GetVmObserve().Rack = fmt.Sprintf("rack-%03d", i/4)
		entry.GetVmObserve().Address = fmt.Sprintf("10.%d.%d.1:8080", i/250, i%250)
		f.accept(1000, entry)
	}
	for i := range min(pools, targetServices) {
		name := fmt.Sprintf("service-%02d", i)
		f.accept(1000, documentEntry("first-"+name, name, 0, document(name, fmt.Sprintf("pool-%02d", i), 4, 2)))
	}
	return f
}

// day returns the batches of a second of the target's day: 56 renewals, 200 batches of 2 intents, and now and then a document or a VM.
func (f *fold) day(seconds int) [][]byte {
	f.records = nil
	var payloads [][]byte
	add := func(session uint64, entries ...*wigeonwire.Entry) {
		f.sequences[session]++
		payload, err := proto.Marshal(&wigeonwire.Batch{Session: session, Sequence: f.sequences[session], AtUnixMs: f.atMS, Entries: entries})
		f.c.Assert(err, qt.IsNil)
		payloads = append(payloads, payload)
	}
	view := f.state.View()
	key := 0
	for second := range seconds {
		f.atMS += 1000
		for i := range uint64(targetSessions) {
			session := 1000 + 1000*(uint64(second)%2) + i
			f.renewals[session]++
			add(session, renewEntry(&wigeonwire.SessionRenew{Renewal: f.renewals[session], AppliedOffset: uint64(f.state.Next()), Ready: true}))
		}
		for range 200 {
			var intents []*wigeonwire.Entry
			var owner uint64
			for len(intents) < 2 {
				key++
				text := fmt.Sprintf("3f2a77c0-5a52-4f3a-9f0e-%012d", key)
				session := uint64(view.Owner(wigeonstep.Key(text)).ID)
				if owner == 0 || owner == session {
					owner = session
					intents = append(intents, intentEntry(text))
				}
			}
			add(owner, intents...)
		}
		if second%5 == 0 {
			name := fmt.Sprintf("service-%02d", second/5%targetPools)
			add(1000, documentEntry(fmt.Sprint("day-", second), name, 1, document(name, "pool-"+name[8:], 4, 2)))
			vm := fmt.Sprintf("vm-%06d", second/5)
			add(1000, transitionEntry(&wigeonwire.VMTransition{Vm: vm, Epoch: uint64(view.VMs[wigeonstep.VMID(vm)].Epoch), To: draining}))
		}
	}
	return payloads
}

// BenchmarkFold folds seconds of a day at the target size and publishes a view 10 times a second, as a control daemon does.
func BenchmarkFold(b *testing.B) {
	f := fleet(b, targetVMs, targetPools)
	payloads := f.day(b.N)
	refused := 0
	b.ResetTimer()
	for i, payload := range payloads {
		for _, verdict := range f.state.Apply(f.state.Next(), payload) {
			if !verdict.Accepted {
				refused++
			}
		}
		if i%26 == 0 {
			f.state.View()
		}
	}
	b.StopTimer()
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(len(payloads)), "us/record")
	b.ReportMetric(100*b.Elapsed().Seconds()/float64(b.N), "%core")
	b.ReportMetric(float64(refused)/float64(len(payloads)), "refused/record")
}

// BenchmarkSnapshot encodes and restores a state of the target size with the keys of an hour at 5 a second.
func BenchmarkSnapshot(b *testing.B) {
	f := fleet(b, targetVMs, targetPools)
	for i := range 18_000 {
		key := fmt.Sprintf("3f2a77c0-5a52-4f3a-9f0e-%012d", i)
		f.accept(uint64(f.state.View().Owner(wigeonstep.Key(key)).ID), intentEntry(key))
	}
	data, err := f.state.Encode()
	f.c.Assert(err, qt.IsNil)
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			if _, err := f.state.Encode(); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(data)), "bytes")
	})
	b.Run("start", func(b *testing.B) {
		for b.Loop() {
			state, err := wigeonstate.Decode(data)
			if err != nil {
				b.Fatal(err)
			}
			state.View()
		}
	})
}

// BenchmarkViewAfterVMChange compares a view after one changed VM with a view of a state that shares nothing.
func BenchmarkViewAfterVMChange(b *testing.B) {
	for _, size := range []struct{ vms, pools int }{{50, 5}, {500, 10}, {targetVMs, targetPools}} {
		f := fleet(b, size.vms, size.pools)
		data, err := f.state.Encode()
		f.c.Assert(err, qt.IsNil)
		b.Run(fmt.Sprint(size.vms), func(b *testing.B) {
			entry := observeEntry("a11", "pool-00")
			entry.GetVmObserve().Vm = "vm-000000"
			cores := uint32(0)
			for b.Loop() {
				cores++
				entry.GetVmObserve().Shape.Cores = cores
				f.append(1000, entry)
				f.state.View()
			}
			changed := float64(b.Elapsed().Nanoseconds()) / float64(b.N)
			const rebuilds = 20
			var rebuilt time.Duration
			for range rebuilds {
				state, err := wigeonstate.Decode(data)
				if err != nil {
					b.Fatal(err)
				}
				began := time.Now()
				state.View()
				rebuilt += time.Since(began)
			}
			b.ReportMetric(changed*rebuilds/float64(rebuilt.Nanoseconds()), "of_rebuilt")
		})
	}
}

// BenchmarkMemory reports the heap of a state and its view at the target size, for each VM.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		var before, empty, full runtime.MemStats
		data := map[int][]byte{}
		for _, vms := range []int{1 * targetPools, targetVMs} {
			encoded, err := fleet(b, vms, targetPools).state.Encode()
			if err != nil {
				b.Fatal(err)
			}
			data[vms] = encoded
		}
		measure := func(encoded []byte, stats *runtime.MemStats) *wigeonstate.State {
			state, err := wigeonstate.Decode(encoded)
			if err != nil {
				b.Fatal(err)
			}
			state.View()
			runtime.GC()
			runtime.ReadMemStats(stats)
			return state
		}
		runtime.GC()
		runtime.ReadMemStats(&before)
		small := measure(data[targetPools], &empty)
		runtime.KeepAlive(small)
		smallBytes := float64(empty.HeapAlloc - before.HeapAlloc)
		large := measure(data[targetVMs], &full)
		runtime.KeepAlive(large)
		bytes := float64(full.HeapAlloc) - float64(before.HeapAlloc)
		b.ReportMetric((bytes-smallBytes)/float64(targetVMs-targetPools), "bytes/vm")
		b.ReportMetric(bytes/1e6, "MB")
	}
}
