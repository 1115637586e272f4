package wigeonstate_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// drawRecords draws a log of batches that cover every part of the state.
func drawRecords(outer testing.TB, t *rapid.T) [][]byte {
	f := newFixture(outer)
	f.openSessions()
	f.observe("orders", "a11", "a12", "b11")
	f.observe("prices", "a21")
	sessions := []uint64{entryA, entryB, controlA, controlB, operator}
	names := []string{"k1", "k2", "k3", "k4", "k5"}
	for i := range rapid.IntRange(1, 80).Draw(t, "records") {
		f.nowMS += int64(rapid.IntRange(0, 4000).Draw(t, "time"))
		name := rapid.SampledFrom(names).Draw(t, "name")
		vm := rapid.SampledFrom([]string{"a11", "a12", "a21", "b11"}).Draw(t, "vm")
		to := wigeonwire.Phase(rapid.IntRange(1, 7).Draw(t, "phase"))
		var entry *wigeonwire.Entry
		switch rapid.IntRange(0, 12).Draw(t, "kind") {
		case 0:
			entry = intentEntry(name)
		case 1:
			entry = outcomeEntry(name, unknown)
		case 2:
			entry = acceptEntry("j"+name, "", "bake")
		case 3:
			entry = startEntry("j"+name, uint32(rapid.IntRange(1, 2).Draw(t, "attempt")))
		case 4:
			entry = endEntry("j"+name, 1, done)
		case 5:
			entry = documentEntry(name, "orders", uint64(i%3), document("orders", "orders", 2, 1))
		case 6, 7, 8:
			if known := f.state.View().VMs[wigeonstep.VMID(vm)]; known != nil {
				entry = transitionEntry(&wigeonwire.VMTransition{Vm: vm, Epoch: uint64(known.Epoch), To: to, Wave: "w1"})
			}
		case 9:
			entry = &wigeonwire.Entry{Body: &wigeonwire.Entry_WaveStart{WaveStart: &wigeonwire.WaveStart{Wave: "w1", Pool: "orders"}}}
		case 10:
			entry = f.renewEntry(entryA, "a11", "a12")
		case 11:
			entry = &wigeonwire.Entry{Body: &wigeonwire.Entry_PoolObserve{PoolObserve: &wigeonwire.PoolObserve{Pools: []string{"z", "orders"}}}}
		case 12:
			if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
				entry = expireEntry(entryB, 1)
			}
		}
		if entry != nil {
			f.appendBatch(rapid.SampledFrom(sessions).Draw(t, "session"), entry)
		}
	}
	return f.records
}

// Guards against a process that starts from a snapshot and has a state that differs from that of the other processes, either
// immediately or after further records.
func TestEncodeRestoresTheState(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		records := drawRecords(t, rt)
		cut := rapid.IntRange(0, len(records)).Draw(rt, "cut")
		var whole, first wigeonstate.State
		for i, record := range records {
			whole.Apply(wigeonstep.Offset(i), record)
			if i < cut {
				first.Apply(wigeonstep.Offset(i), record)
			}
		}
		data, err := first.Encode()
		if err != nil {
			rt.Fatal(err)
		}
		restored, err := wigeonstate.Decode(data)
		if err != nil {
			rt.Fatal(err)
		}
		again, _ := restored.Encode()
		if string(again) != string(data) {
			rt.Fatalf("decoding and encoding a snapshot of %d records gives different bytes", cut)
		}
		for i := cut; i < len(records); i++ {
			restored.Apply(wigeonstep.Offset(i), records[i])
		}
		want, _ := whole.Encode()
		got, _ := restored.Encode()
		if string(got) != string(want) {
			rt.Fatalf("a snapshot of %d records and the %d records after it give a different state than all records", cut, len(records)-cut)
		}
		if len(restored.View().Sessions) != len(whole.View().Sessions) || restored.View().Owner("k") == nil != (whole.View().Owner("k") == nil) {
			rt.Fatal("the view of the restored state has other sessions or partition owners")
		}
	})
}

// Guards against a truncated snapshot that is decoded to the complete state or makes Decode panic.
func TestDecodeOfTruncatedSnapshot(t *testing.T) {
	f := newFixture(t)
	f.openSessions()
	f.observe("orders", "a11")
	f.accept(operator, documentEntry("d1", "orders", 0, document("orders", "orders", 1, 0)))
	f.accept(uint64(f.state.View().Owner("k").ID), intentEntry("k"))
	data, err := f.state.Encode()
	f.c.Assert(err, qt.IsNil)
	for end := range data {
		// A snapshot that ends between two fields can be decoded, but to another state.
		restored, err := wigeonstate.Decode(data[:end])
		if err == nil {
			again, _ := restored.Encode()
			f.c.Assert(string(again), qt.Not(qt.Equals), string(data))
		}
	}
	_, err = wigeonstate.Decode([]byte("garbage"))
	f.c.Assert(err, qt.ErrorMatches, "decode state: .*")
}
