package wigeonstate

import (
	"fmt"
	"runtime"
	"testing"
	"time"
	"unsafe"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// maxKeyBytes bounds the memory per key: the entry, its share of an index that is between 3/8 and 3/4 full, and a margin.
const maxKeyBytes = 64

// Guards against a table that loses keys, or finds removed ones, after entries expired or the index was rebuilt. The table is
// compared with a map.
func TestKeyTableAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table keyTable
		at := map[string]int64{}
		now := int64(0)
		for range rapid.IntRange(1, 25).Draw(t, "rounds") {
			now += int64(rapid.IntRange(0, 3).Draw(t, "seconds"))
			first := rapid.IntRange(0, 3000).Draw(t, "first")
			for i := first; i < first+rapid.SampledFrom([]int{1, 10, 600}).Draw(t, "count"); i++ {
				key := fmt.Sprint(i)
				if table.find(keyIDOf(key)) == nil {
					table.add(keyEntry{id: keyIDOf(key), acceptedS: uint32(now)}, keyNames{team: key[:1]})
					at[key] = now
				}
			}
			before := now - int64(rapid.IntRange(0, 5).Draw(t, "lifetime"))
			table.expire(before)
			for key, accepted := range at {
				if accepted < before {
					delete(at, key)
				}
			}
			if table.len() != len(at) {
				t.Fatalf("%d keys, want %d", table.len(), len(at))
			}
			for i := first % 7; i < 3600; i += 7 {
				key := fmt.Sprint(i)
				entry := table.find(keyIDOf(key))
				if _, want := at[key]; (entry != nil) != want {
					t.Fatalf("key %s found %v, want %v", key, entry != nil, want)
				}
				if entry != nil && table.wireKey(entry, key).GetTeam() != key[:1] {
					t.Fatalf("key %s has the team of another key", key)
				}
			}
		}
	})
}

// Guards against a key table that needs too much memory for a daemon, for example through a pointer in each entry.
func TestKeyMemory(t *testing.T) {
	c := qt.New(t)
	c.Assert(unsafe.Sizeof(keyEntry{}), qt.Equals, uintptr(keyEntryBytes))
	const count = 200_000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var table keyTable
	for i := range count {
		table.add(keyEntry{id: keyIDOf(fmt.Sprint(i))}, keyNames{team: "shop", class: "order", service: "orders"})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	bytes := float64(after.HeapAlloc-before.HeapAlloc) / count
	t.Logf("%.1f bytes a key", bytes)
	c.Assert(bytes <= maxKeyBytes, qt.IsTrue, qt.Commentf("%.1f bytes a key", bytes))
	runtime.KeepAlive(&table)
}

// Guards against decisions that stay after decisionRetention or are removed before.
func TestDecisionHistoryExpires(t *testing.T) {
	c := qt.New(t)
	var history decisionHistory
	for hour := range int64(10) {
		encoded, err := proto.Marshal(&wigeonwire.Explained{AtUnixMs: hour * time.Hour.Milliseconds()})
		c.Assert(err, qt.IsNil)
		history.add(encoded)
	}
	week := decisionRetention.Milliseconds()
	history.expire(week)
	c.Assert(history.count, qt.Equals, 10)
	history.expire(week + 4*time.Hour.Milliseconds() + 1)
	c.Assert(history.count, qt.Equals, 5)
	history.expire(2 * week)
	c.Assert(history.count, qt.Equals, 0)
	c.Assert(history.data, qt.HasLen, 0)
}
