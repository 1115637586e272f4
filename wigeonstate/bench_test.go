package wigeonstate_test

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// fleetSize is a size at which the fold is measured. The last one is the target size of the design page.
type fleetSize struct {
	vms, pools, teams, centres, entries int
}

func fleetSizes() []fleetSize {
	return []fleetSize{{50, 5, 6, 3, 8}, {500, 20, 24, 3, 16}, {7300, 84, 97, 7, 56}}
}

func (s fleetSize) String() string {
	return fmt.Sprintf("vms=%d/pools=%d/teams=%d/sessions=%d", s.vms, s.pools, s.teams, 2*s.entries)
}

// benchFleet makes the records of a fleet and folds them in portions, so that only the fold is timed.
type benchFleet struct {
	b        testing.TB
	size     fleetSize
	state    wigeonstate.State
	document string
	second   int
	next     uint64
	pending  [][]byte
	epochs   map[string]uint64
	versions []uint64
	sequence map[uint64]uint64
	renewals map[uint64]uint64
	keys     int
	changes  int
	waves    map[string]string
	// later holds the steps that follow at a second.
	later map[int][]func()
	// folded counts records and bytes.
	folded, bytes int
}

// sessionID spreads the ids as random ones are; each daemon and entry process has an odd one.
func sessionID(i int) uint64 { return (uint64(i) + 1) * 0x9e3779b97f4a7c15 }

// operatorSession is outside the ids of the daemons and entry processes.
func operatorSession(change int) uint64 { return sessionID(1_000_000 + change) }

func (f *benchFleet) entrySession(i int) uint64   { return sessionID(2 * i) }
func (f *benchFleet) controlSession(i int) uint64 { return sessionID(2*i + 1) }
func (f *benchFleet) centre(i int) string         { return fmt.Sprint("data-centre-", i%f.size.centres+1) }
func (f *benchFleet) vmID(i int) string           { return fmt.Sprintf("vm-%05d", i) }
func (f *benchFleet) pool(vm int) string          { return fmt.Sprintf("pool-%02d", vm%f.size.pools) }

// documentPool returns the pool of a team's document; the last pool has none.
func (f *benchFleet) documentPool(team int) string {
	return fmt.Sprintf("pool-%02d", team%(f.size.pools-1))
}

func newBenchFleet(b testing.TB, size fleetSize) *benchFleet {
	b.Helper()
	document, err := os.ReadFile("../examples/documents/orders.yaml")
	qt.Assert(b, err, qt.IsNil)
	f := &benchFleet{
		b: b, size: size, document: string(document), epochs: map[string]uint64{}, versions: make([]uint64, size.teams),
		sequence: map[uint64]uint64{}, renewals: map[uint64]uint64{}, waves: map[string]string{}, later: map[int][]func(){},
	}
	for i := range size.entries {
		f.put(f.entrySession(i), f.openEntry(wigeonwire.Role_ROLE_ENTRY, i, 7001))
		f.put(f.controlSession(i), f.openEntry(wigeonwire.Role_ROLE_CONTROL, i, 7002))
	}
	f.renewAll()
	for i := range size.vms {
		f.observe(i)
	}
	for team := range size.teams {
		f.changeDocument(team)
	}
	f.fold()
	return f
}

func (f *benchFleet) openEntry(role wigeonwire.Role, i, port int) *wigeonwire.Entry {
	return openEntry(role, f.centre(i), fmt.Sprintf("10.1.%d.%d:%d", i%f.size.centres, i, port))
}

func (f *benchFleet) put(session uint64, entries ...*wigeonwire.Entry) {
	f.sequence[session]++
	payload, err := proto.Marshal(&wigeonwire.Batch{
		Session: session, Sequence: f.sequence[session], AtUnixMs: 1_800_000_000_000 + int64(f.second)*1000, Entries: entries,
	})
	qt.Assert(f.b, err, qt.IsNil)
	f.pending = append(f.pending, payload)
	f.next++
	f.bytes += len(payload)
}

// fold applies what is pending and returns the processor time that it took.
func (f *benchFleet) fold() time.Duration {
	first := f.next - uint64(len(f.pending))
	began := processorTime()
	for i, payload := range f.pending {
		for _, verdict := range f.state.Apply(wigeonstep.Offset(first+uint64(i)), payload) {
			if !verdict.Accepted {
				f.b.Fatalf("second %d: %v refused: %s", f.second, verdict.Entry, verdict.Reason)
			}
		}
	}
	took := processorTime() - began
	f.folded += len(f.pending)
	f.pending = f.pending[:0]
	return took
}

// decode returns the processor time of only decoding what is pending, the least that a reader does.
func (f *benchFleet) decode() time.Duration {
	began := processorTime()
	for _, payload := range f.pending {
		var batch wigeonwire.Batch
		if err := proto.Unmarshal(payload, &batch); err != nil {
			f.b.Fatal(err)
		}
	}
	return processorTime() - began
}

func (f *benchFleet) renew(session uint64) {
	f.renewals[session]++
	f.put(session, renewEntry(&wigeonwire.SessionRenew{Renewal: f.renewals[session], AppliedOffset: f.next - 1, Ready: true}))
}

func (f *benchFleet) renewAll() {
	for i := range f.size.entries {
		f.renew(f.entrySession(i))
		f.renew(f.controlSession(i))
	}
}

func (f *benchFleet) observe(vm int) {
	id := f.vmID(vm)
	f.epochs[id] = f.next + 1
	f.put(f.controlSession(vm%f.size.centres), &wigeonwire.Entry{Body: &wigeonwire.Entry_VmObserve{VmObserve: &wigeonwire.VMObserve{
		Vm: id, DataCentre: f.centre(vm), Rack: fmt.Sprint("rack-", vm/4), Pool: f.pool(vm), Address: fmt.Sprintf("10.2.%d.%d:8000", vm/250, vm%250),
		Shape: &wigeonwire.Shape{Cores: 32, MemoryGb: 64, Slots: 8, Connections: 64},
	}}})
}

// transition proposes a change with the texts that the planners give.
func (f *benchFleet) transition(vm int, to wigeonwire.Phase, wave string) {
	id := f.vmID(vm)
	f.put(f.controlSession(vm%f.size.centres), transitionEntry(&wigeonwire.VMTransition{
		Vm: id, Epoch: f.epochs[id], To: to, Wave: wave, Cause: "maintenance wave of the pool", Rule: "disruption budget", Figures: "unavailable 1, allowed 3, reserve 1",
	}))
	f.epochs[id]++
}

func (f *benchFleet) after(seconds int, step func()) {
	f.later[f.second+seconds] = append(f.later[f.second+seconds], step)
}

func (f *benchFleet) maintain(vm int) {
	pool := f.pool(vm)
	if f.waves[pool] == "" {
		f.waves[pool] = fmt.Sprintf("%s-%d", pool, f.second)
		f.put(f.controlSession(vm%f.size.centres), &wigeonwire.Entry{Body: &wigeonwire.Entry_WaveStart{WaveStart: &wigeonwire.WaveStart{Wave: f.waves[pool], Pool: pool}}})
	}
	f.transition(vm, wigeonwire.Phase_PHASE_DRAINING, f.waves[pool])
	f.after(3, func() { f.transition(vm, wigeonwire.Phase_PHASE_DRAINED, "") })
	f.after(4, func() { f.transition(vm, wigeonwire.Phase_PHASE_REBOOTING, "") })
	f.after(10, func() { f.transition(vm, wigeonwire.Phase_PHASE_VERIFYING, "") })
	f.after(12, func() { f.transition(vm, wigeonwire.Phase_PHASE_IN_SERVICE, "") })
}

func (f *benchFleet) restart(vm int) {
	f.transition(vm, wigeonwire.Phase_PHASE_FAILED, "")
	f.after(2, func() { f.transition(vm, wigeonwire.Phase_PHASE_VERIFYING, "") })
	f.after(4, func() { f.transition(vm, wigeonwire.Phase_PHASE_IN_SERVICE, "") })
}

// fail replaces a VM: it leaves the fleet, a new one is listed, and a VM of another pool takes its place by way of a drain.
func (f *benchFleet) fail(vm int) {
	f.transition(vm, wigeonwire.Phase_PHASE_FAILED, "")
	f.after(2, func() { f.transition(vm, wigeonwire.Phase_PHASE_GONE, "") })
	f.after(4, func() { f.observe(vm) })
	f.after(5, func() { f.transition(vm, wigeonwire.Phase_PHASE_DRAINING, "") })
	f.after(8, func() { f.transition(vm, wigeonwire.Phase_PHASE_DRAINED, "") })
	f.after(9, func() { f.transition(vm, wigeonwire.Phase_PHASE_IN_SERVICE, "") })
}

// changeDocument puts the records of one "wigeonstep apply": a session of its own, which it opens, renews once and closes.
func (f *benchFleet) changeDocument(team int) {
	f.changes++
	session := operatorSession(f.changes)
	f.put(session, openEntry(wigeonwire.Role_ROLE_OPERATOR, "", ""))
	f.renew(session)
	service := fmt.Sprintf("service-%02d", team)
	content := strings.NewReplacer("service: orders", "service: "+service, "team: grafters", fmt.Sprintf("team: team-%02d", team),
		"pool: orders", "pool: "+f.documentPool(team), "weight: 2", fmt.Sprint("weight: ", f.changes%5+1)).Replace(f.document)
	f.put(session, documentEntry(fmt.Sprintf("%016x", sessionID(f.changes)), service, f.versions[team], content))
	f.put(session, closeEntry())
	f.versions[team]++
}

// keyed puts the two records of one request with a caller's own key.
func (f *benchFleet) keyed() {
	f.keys++
	key := fmt.Sprintf("%016x-%016x", sessionID(f.keys), f.keys)
	owner := uint64(f.state.View().Owner(wigeonstep.Key(key)).ID)
	f.put(owner, &wigeonwire.Entry{Body: &wigeonwire.Entry_Intent{Intent: &wigeonwire.Intent{
		Key: key, Team: "team-07", Class: "place-order", Service: "service-07", RequestHash: sessionID(f.keys),
	}}})
	f.put(owner, &wigeonwire.Entry{Body: &wigeonwire.Entry_KeyOutcome{KeyOutcome: &wigeonwire.KeyOutcome{Key: key, Outcome: wigeonwire.Outcome_OUTCOME_DONE}}})
}

// rate calls do as often in a second as the daily number asks for.
func (f *benchFleet) rate(daily int, do func(n int)) {
	for n := daily * f.second / 86400; n < daily*(f.second+1)/86400; n++ {
		do(n)
	}
}

// hour puts the records of an hour of the target size's daily numbers, scaled to the number of VMs.
func (f *benchFleet) hour(keyedPerSecond int) {
	scaled := func(daily int) int { return max(1, daily*f.size.vms/7300) }
	// The VMs of the kinds of event are spread over the fleet and do not meet.
	pick := func(kind, n int) int { return (n*3 + kind) * 13 % f.size.vms }
	for end := f.second + 3600; f.second < end; f.second++ {
		if f.second%2 == 0 {
			f.renewAll()
		}
		for _, step := range f.later[f.second] {
			step()
		}
		delete(f.later, f.second)
		f.rate(scaled(7300/21), func(n int) { f.maintain(pick(0, n)) })
		f.rate(scaled(880), func(n int) { f.restart(pick(1, n)) })
		f.rate(scaled(55), func(n int) { f.fail(pick(2, n)) })
		f.rate(scaled(14000), func(n int) { f.changeDocument(n % f.size.teams) })
		for range keyedPerSecond {
			f.keyed()
		}
	}
}

// BenchmarkFoldDay folds a day's records and then writes and reads a snapshot. The ratio is to only decoding the records.
func BenchmarkFoldDay(b *testing.B) {
	for _, size := range fleetSizes() {
		for _, keyed := range []int{0, 1, 10} {
			// The slope of keys does not depend on the fleet, so the longest run is made at the target size only.
			if keyed == 10 && size.vms < 7300 {
				continue
			}
			b.Run(fmt.Sprintf("%v/keyed_per_s=%d", size, keyed), func(b *testing.B) {
				for range b.N {
					foldDay(b, size, keyed)
				}
			})
		}
	}
}

func foldDay(b *testing.B, size fleetSize, keyed int) {
	before := heap()
	f := newBenchFleet(b, size)
	f.folded, f.bytes = 0, 0
	var fold, decode time.Duration
	for range 24 {
		f.hour(keyed)
		decode += f.decode()
		fold += f.fold()
	}
	f.forget()
	held := heap() - before
	var mem, after runtime.MemStats
	runtime.ReadMemStats(&mem)
	began := processorTime()
	data, err := f.state.Encode()
	encode := processorTime() - began
	qt.Assert(b, err, qt.IsNil)
	runtime.ReadMemStats(&after)
	began = processorTime()
	_, err = wigeonstate.Decode(data)
	start := processorTime() - began
	qt.Assert(b, err, qt.IsNil)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(fold.Seconds(), "cpu-s/day")
	b.ReportMetric(100*fold.Seconds()/86400, "%core")
	b.ReportMetric(float64(fold)/float64(decode), "x_decode")
	b.ReportMetric(float64(f.folded), "records/day")
	b.ReportMetric(float64(f.bytes)/86400, "log-B/s")
	b.ReportMetric(float64(held), "heap-B")
	b.ReportMetric(float64(len(data)), "snapshot-B")
	b.ReportMetric(float64(after.TotalAlloc-mem.TotalAlloc), "encode-alloc-B")
	b.ReportMetric(encode.Seconds()*1000, "encode-cpu-ms")
	b.ReportMetric(start.Seconds()*1000, "decode-cpu-ms")
	runtime.KeepAlive(f)
}

// BenchmarkRecord folds records of one kind in a fleet of the size. The ratio is to only decoding them.
func BenchmarkRecord(b *testing.B) {
	const portion = 1000
	for _, kind := range []struct {
		name string
		put  func(f *benchFleet, i int)
	}{
		{"renewal", func(f *benchFleet, i int) { f.renew(f.entrySession(i % f.size.entries)) }},
		{"keyed", func(f *benchFleet, _ int) { f.keyed() }},
		{"document", func(f *benchFleet, i int) { f.changeDocument(i % f.size.teams) }},
		{"observe", func(f *benchFleet, i int) {
			f.transition(i%f.size.vms, wigeonwire.Phase_PHASE_GONE, "")
			f.observe(i % f.size.vms)
		}},
	} {
		for _, size := range fleetSizes() {
			b.Run(kind.name+"/"+size.String(), func(b *testing.B) {
				f := newBenchFleet(b, size)
				f.bytes = 0
				var fold, decode time.Duration
				i := 0
				for b.Loop() {
					for range portion {
						f.second = i / 100
						kind.put(f, i)
						i++
					}
					decode += f.decode()
					fold += f.fold()
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(float64(fold)/float64(i), "cpu-ns/item")
				b.ReportMetric(float64(fold)/float64(decode), "x_decode")
				b.ReportMetric(float64(f.bytes)/float64(i), "log-B/item")
			})
		}
	}
}

// BenchmarkView publishes a view after a renewal and after a change of a VM. The ratio is to a view of the smallest fleet.
func BenchmarkView(b *testing.B) {
	baseline := map[string]float64{}
	renew := func(f *benchFleet, i int) { f.renew(f.entrySession(i % f.size.entries)) }
	for _, change := range []struct {
		name string
		put  func(f *benchFleet, i int)
		// changes is the number of document changes before, each of which leaves a closed session for a day.
		changes int
	}{
		{"renewal", renew, 0},
		{"renewal_after_14000_changes", renew, 14000},
		{"vm", func(f *benchFleet, i int) {
			f.transition(i%f.size.vms, wigeonwire.Phase_PHASE_GONE, "")
			f.observe(i % f.size.vms)
		}, 0},
	} {
		for _, size := range fleetSizes() {
			b.Run(change.name+"/"+size.String(), func(b *testing.B) {
				f := newBenchFleet(b, size)
				for n := range change.changes {
					f.changeDocument(n % size.teams)
				}
				f.fold()
				f.state.View()
				var view time.Duration
				i := 0
				for b.Loop() {
					change.put(f, i)
					f.fold()
					began := time.Now()
					f.state.View()
					view += time.Since(began)
					i++
				}
				perView := float64(view) / float64(i)
				if baseline[change.name] == 0 {
					baseline[change.name] = perView
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(perView, "ns/view")
				b.ReportMetric(perView/baseline[change.name], "x_smallest")
			})
		}
	}
}

// heap returns the bytes in use after a collection.
func heap() int64 {
	var mem runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&mem)
	return int64(mem.HeapAlloc)
}

// processorTime returns the processor time of this process, which a busy machine changes less than the wall clock.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
