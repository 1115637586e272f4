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

// fleetSize is a fleet size at which the benchmarks run. The last one is the target size of the design.
type fleetSize struct {
	vms, pools, teams, dataCentres, entryProcesses int
}

func fleetSizes() []fleetSize {
	return []fleetSize{{50, 5, 6, 3, 8}, {500, 20, 24, 3, 16}, {7300, 84, 97, 7, 56}}
}

func (s fleetSize) String() string {
	return fmt.Sprintf("vms=%d/pools=%d/teams=%d/sessions=%d", s.vms, s.pools, s.teams, 2*s.entryProcesses)
}

// benchFleet generates the records of a fleet. It collects them first and applies them together, so that only applying them
// is timed.
type benchFleet struct {
	b             testing.TB
	size          fleetSize
	state         wigeonstate.State
	document      string
	nowS          int
	nextOffset    uint64
	pending       [][]byte
	epochs        map[string]uint64
	versions      []uint64
	sequences     map[uint64]uint64
	renewals      map[uint64]uint64
	keyedRequests int
	changes       int
	waves         map[string]string
	// scheduled holds the steps to run at each second of nowS.
	scheduled map[int][]func()
	// appliedRecords counts applied records, and recordBytes the size of generated ones.
	appliedRecords, recordBytes int
}

// sessionID returns distinct ids that are spread over the id space like random ones.
func sessionID(i int) uint64 { return (uint64(i) + 1) * 0x9e3779b97f4a7c15 }

// operatorSession returns an id that no entry process or control daemon has.
func operatorSession(change int) uint64 { return sessionID(1_000_000 + change) }

func (f *benchFleet) entrySession(i int) uint64   { return sessionID(2 * i) }
func (f *benchFleet) controlSession(i int) uint64 { return sessionID(2*i + 1) }
func (f *benchFleet) centre(i int) string         { return fmt.Sprint("data-centre-", i%f.size.dataCentres+1) }
func (f *benchFleet) vmID(i int) string           { return fmt.Sprintf("vm-%05d", i) }
func (f *benchFleet) pool(vm int) string          { return fmt.Sprintf("pool-%02d", vm%f.size.pools) }

// documentPool returns the pool of a team's document. No document uses the last pool.
func (f *benchFleet) documentPool(team int) string {
	return fmt.Sprintf("pool-%02d", team%(f.size.pools-1))
}

func newBenchFleet(b testing.TB, size fleetSize) *benchFleet {
	b.Helper()
	document, err := os.ReadFile("../examples/documents/orders.yaml")
	qt.Assert(b, err, qt.IsNil)
	f := &benchFleet{
		b: b, size: size, document: string(document), epochs: map[string]uint64{}, versions: make([]uint64, size.teams),
		sequences: map[uint64]uint64{}, renewals: map[uint64]uint64{}, waves: map[string]string{}, scheduled: map[int][]func(){},
	}
	for i := range size.entryProcesses {
		f.put(f.entrySession(i), f.sessionOpenEntry(wigeonwire.Role_ROLE_ENTRY, i, 7001))
		f.put(f.controlSession(i), f.sessionOpenEntry(wigeonwire.Role_ROLE_CONTROL, i, 7002))
	}
	f.renewAllSessions()
	for i := range size.vms {
		f.observeVM(i)
	}
	for team := range size.teams {
		f.changeDocument(team)
	}
	f.applyPending()
	return f
}

// sessionOpenEntry returns the entry that opens a session of an entry process or control daemon. The data centre and the
// address follow from i.
func (f *benchFleet) sessionOpenEntry(role wigeonwire.Role, i, port int) *wigeonwire.Entry {
	return openEntry(role, f.centre(i), fmt.Sprintf("10.1.%d.%d:%d", i%f.size.dataCentres, i, port))
}

// put adds one record, a batch of the session with the entries, to the pending records. Its time is nowS after an arbitrary
// start.
func (f *benchFleet) put(session uint64, entries ...*wigeonwire.Entry) {
	f.sequences[session]++
	payload, err := proto.Marshal(&wigeonwire.Batch{
		Session: session, Sequence: f.sequences[session], AtUnixMs: 1_800_000_000_000 + int64(f.nowS)*1000, Entries: entries,
	})
	qt.Assert(f.b, err, qt.IsNil)
	f.pending = append(f.pending, payload)
	f.nextOffset++
	f.recordBytes += len(payload)
}

// applyPending applies the pending records, which must all be accepted, and returns the processor time of applying them.
func (f *benchFleet) applyPending() time.Duration {
	first := f.nextOffset - uint64(len(f.pending))
	began := processorTime()
	for i, payload := range f.pending {
		for _, verdict := range f.state.Apply(wigeonstep.Offset(first+uint64(i)), payload) {
			if !verdict.Accepted {
				f.b.Fatalf("second %d: %v refused: %s", f.nowS, verdict.Entry, verdict.Reason)
			}
		}
	}
	took := processorTime() - began
	f.appliedRecords += len(f.pending)
	f.pending = f.pending[:0]
	return took
}

// decodePending returns the processor time of only decoding the pending records, the lower bound for any reader of the log.
func (f *benchFleet) decodePending() time.Duration {
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
	f.put(session, renewEntry(&wigeonwire.SessionRenew{Renewal: f.renewals[session], AppliedOffset: f.nextOffset - 1, Ready: true}))
}

func (f *benchFleet) renewAllSessions() {
	for i := range f.size.entryProcesses {
		f.renew(f.entrySession(i))
		f.renew(f.controlSession(i))
	}
}

func (f *benchFleet) observeVM(vm int) {
	id := f.vmID(vm)
	f.epochs[id] = f.nextOffset + 1
	f.put(f.controlSession(vm%f.size.dataCentres), &wigeonwire.Entry{Body: &wigeonwire.Entry_VmObserve{VmObserve: &wigeonwire.VMObserve{
		Vm: id, DataCentre: f.centre(vm), Rack: fmt.Sprint("rack-", vm/4), Pool: f.pool(vm), Address: fmt.Sprintf("10.2.%d.%d:8000", vm/250, vm%250),
		Shape: &wigeonwire.Shape{Cores: 32, MemoryGb: 64, Slots: 8, Connections: 64},
	}}})
}

// transition proposes a change with texts like those of the planners.
func (f *benchFleet) transition(vm int, to wigeonwire.Phase, wave string) {
	id := f.vmID(vm)
	f.put(f.controlSession(vm%f.size.dataCentres), transitionEntry(&wigeonwire.VMTransition{
		Vm: id, Epoch: f.epochs[id], To: to, Wave: wave, Cause: "maintenance wave of the pool", Rule: "disruption budget", Figures: "unavailable 1, allowed 3, reserve 1",
	}))
	f.epochs[id]++
}

func (f *benchFleet) schedule(seconds int, step func()) {
	f.scheduled[f.nowS+seconds] = append(f.scheduled[f.nowS+seconds], step)
}

func (f *benchFleet) maintainVM(vm int) {
	pool := f.pool(vm)
	if f.waves[pool] == "" {
		f.waves[pool] = fmt.Sprintf("%s-%d", pool, f.nowS)
		f.put(f.controlSession(vm%f.size.dataCentres), &wigeonwire.Entry{Body: &wigeonwire.Entry_WaveStart{WaveStart: &wigeonwire.WaveStart{Wave: f.waves[pool], Pool: pool}}})
	}
	f.transition(vm, wigeonwire.Phase_PHASE_DRAINING, f.waves[pool])
	f.schedule(3, func() { f.transition(vm, wigeonwire.Phase_PHASE_DRAINED, "") })
	f.schedule(4, func() { f.transition(vm, wigeonwire.Phase_PHASE_REBOOTING, "") })
	f.schedule(10, func() { f.transition(vm, wigeonwire.Phase_PHASE_VERIFYING, "") })
	f.schedule(12, func() { f.transition(vm, wigeonwire.Phase_PHASE_IN_SERVICE, "") })
}

func (f *benchFleet) restartVM(vm int) {
	f.transition(vm, wigeonwire.Phase_PHASE_FAILED, "")
	f.schedule(2, func() { f.transition(vm, wigeonwire.Phase_PHASE_VERIFYING, "") })
	f.schedule(4, func() { f.transition(vm, wigeonwire.Phase_PHASE_IN_SERVICE, "") })
}

// replaceVM puts the records of a VM that fails and leaves the fleet and of a replacement that is listed under the same id.
// The drain and return to service that follow stand for those of a VM that moves from another pool.
func (f *benchFleet) replaceVM(vm int) {
	f.transition(vm, wigeonwire.Phase_PHASE_FAILED, "")
	f.schedule(2, func() { f.transition(vm, wigeonwire.Phase_PHASE_GONE, "") })
	f.schedule(4, func() { f.observeVM(vm) })
	f.schedule(5, func() { f.transition(vm, wigeonwire.Phase_PHASE_DRAINING, "") })
	f.schedule(8, func() { f.transition(vm, wigeonwire.Phase_PHASE_DRAINED, "") })
	f.schedule(9, func() { f.transition(vm, wigeonwire.Phase_PHASE_IN_SERVICE, "") })
}

// changeDocument puts the records of one "wigeonstep apply": a session that is opened, renewed once, used for the change and
// closed.
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

// enqueueKeyedRequest puts the two records of one request with an idempotency key.
func (f *benchFleet) enqueueKeyedRequest() {
	f.keyedRequests++
	key := fmt.Sprintf("%016x-%016x", sessionID(f.keyedRequests), f.keyedRequests)
	owner := uint64(f.state.View().Owner(wigeonstep.IdempotencyKey(key)).ID)
	f.put(owner, &wigeonwire.Entry{Body: &wigeonwire.Entry_Intent{Intent: &wigeonwire.Intent{
		Key: key, Team: "team-07", Class: "place-order", Service: "service-07", RequestHash: sessionID(f.keyedRequests),
	}}})
	f.put(owner, &wigeonwire.Entry{Body: &wigeonwire.Entry_KeyOutcome{KeyOutcome: &wigeonwire.KeyOutcome{Key: key, Outcome: wigeonwire.Outcome_OUTCOME_DONE}}})
}

// repeatDaily calls do in the current second as often as the daily number requires, with the count of earlier calls.
func (f *benchFleet) repeatDaily(daily int, do func(n int)) {
	for n := daily * f.nowS / 86400; n < daily*(f.nowS+1)/86400; n++ {
		do(n)
	}
}

// enqueueHour puts the records of one hour, from the daily numbers of the target size scaled to the number of VMs.
func (f *benchFleet) enqueueHour(keyedPerSecond int) {
	scaled := func(daily int) int { return max(1, daily*f.size.vms/7300) }
	// Events of different kinds get different VMs, spread over the fleet, so that they do not interfere.
	pick := func(kind, n int) int { return (n*3 + kind) * 13 % f.size.vms }
	for end := f.nowS + 3600; f.nowS < end; f.nowS++ {
		if f.nowS%2 == 0 {
			f.renewAllSessions()
		}
		for _, step := range f.scheduled[f.nowS] {
			step()
		}
		delete(f.scheduled, f.nowS)
		f.repeatDaily(scaled(7300/21), func(n int) { f.maintainVM(pick(0, n)) })
		f.repeatDaily(scaled(880), func(n int) { f.restartVM(pick(1, n)) })
		f.repeatDaily(scaled(55), func(n int) { f.replaceVM(pick(2, n)) })
		f.repeatDaily(scaled(14000), func(n int) { f.changeDocument(n % f.size.teams) })
		for range keyedPerSecond {
			f.enqueueKeyedRequest()
		}
	}
}

// BenchmarkFoldDay applies the records of a day and then encodes and decodes a snapshot. x_decode is the processor time
// relative to that of only decoding the records.
func BenchmarkFoldDay(b *testing.B) {
	for _, size := range fleetSizes() {
		for _, keyed := range []int{0, 1, 10} {
			// The cost of a key does not depend on the fleet size, so the longest run is made at the target size only.
			if keyed == 10 && size.vms < 7300 {
				continue
			}
			b.Run(fmt.Sprintf("%v/keyed_per_s=%d", size, keyed), func(b *testing.B) {
				for range b.N {
					measureDay(b, size, keyed)
				}
			})
		}
	}
}

func measureDay(b *testing.B, size fleetSize, keyedPerSecond int) {
	before := heapInUse()
	f := newBenchFleet(b, size)
	f.appliedRecords, f.recordBytes = 0, 0
	var applyTime, decodeTime time.Duration
	for range 24 {
		f.enqueueHour(keyedPerSecond)
		decodeTime += f.decodePending()
		applyTime += f.applyPending()
	}
	f.releaseGeneratorState()
	heapBytes := heapInUse() - before
	var beforeEncode, afterEncode runtime.MemStats
	runtime.ReadMemStats(&beforeEncode)
	began := processorTime()
	data, err := f.state.Encode()
	encodeTime := processorTime() - began
	qt.Assert(b, err, qt.IsNil)
	runtime.ReadMemStats(&afterEncode)
	began = processorTime()
	_, err = wigeonstate.Decode(data)
	decodeSnapshotTime := processorTime() - began
	qt.Assert(b, err, qt.IsNil)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(applyTime.Seconds(), "cpu-s/day")
	b.ReportMetric(100*applyTime.Seconds()/86400, "%core")
	b.ReportMetric(float64(applyTime)/float64(decodeTime), "x_decode")
	b.ReportMetric(float64(f.appliedRecords), "records/day")
	b.ReportMetric(float64(f.recordBytes)/86400, "log-B/s")
	b.ReportMetric(float64(heapBytes), "heap-B")
	b.ReportMetric(float64(len(data)), "snapshot-B")
	b.ReportMetric(float64(afterEncode.TotalAlloc-beforeEncode.TotalAlloc), "encode-alloc-B")
	b.ReportMetric(encodeTime.Seconds()*1000, "encode-cpu-ms")
	b.ReportMetric(decodeSnapshotTime.Seconds()*1000, "decode-cpu-ms")
	runtime.KeepAlive(f)
}

// BenchmarkRecord applies records of one kind in a fleet of each size. x_decode is the processor time relative to that of only
// decoding the records.
func BenchmarkRecord(b *testing.B) {
	const batchSize = 1000
	for _, kind := range []struct {
		name string
		put  func(f *benchFleet, i int)
	}{
		{"renewal", func(f *benchFleet, i int) { f.renew(f.entrySession(i % f.size.entryProcesses)) }},
		{"keyed", func(f *benchFleet, _ int) { f.enqueueKeyedRequest() }},
		{"document", func(f *benchFleet, i int) { f.changeDocument(i % f.size.teams) }},
		{"observe", func(f *benchFleet, i int) {
			f.transition(i%f.size.vms, wigeonwire.Phase_PHASE_GONE, "")
			f.observeVM(i % f.size.vms)
		}},
	} {
		for _, size := range fleetSizes() {
			b.Run(kind.name+"/"+size.String(), func(b *testing.B) {
				f := newBenchFleet(b, size)
				f.recordBytes = 0
				var applyTime, decodeTime time.Duration
				i := 0
				for b.Loop() {
					for range batchSize {
						f.nowS = i / 100
						kind.put(f, i)
						i++
					}
					decodeTime += f.decodePending()
					applyTime += f.applyPending()
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(float64(applyTime)/float64(i), "cpu-ns/item")
				b.ReportMetric(float64(applyTime)/float64(decodeTime), "x_decode")
				b.ReportMetric(float64(f.recordBytes)/float64(i), "log-B/item")
			})
		}
	}
}

// BenchmarkView builds a view after a renewal and after a change of a VM. x_smallest is the time relative to that of the
// smallest fleet.
func BenchmarkView(b *testing.B) {
	baseline := map[string]float64{}
	renew := func(f *benchFleet, i int) { f.renew(f.entrySession(i % f.size.entryProcesses)) }
	for _, change := range []struct {
		name string
		put  func(f *benchFleet, i int)
		// changes is the number of document changes before the measurement, each of which leaves a closed session behind.
		changes int
	}{
		{"renewal", renew, 0},
		{"renewal_after_14000_changes", renew, 14000},
		{"vm", func(f *benchFleet, i int) {
			f.transition(i%f.size.vms, wigeonwire.Phase_PHASE_GONE, "")
			f.observeVM(i % f.size.vms)
		}, 0},
	} {
		for _, size := range fleetSizes() {
			b.Run(change.name+"/"+size.String(), func(b *testing.B) {
				f := newBenchFleet(b, size)
				for n := range change.changes {
					f.changeDocument(n % size.teams)
				}
				f.applyPending()
				f.state.View()
				var view time.Duration
				i := 0
				for b.Loop() {
					change.put(f, i)
					f.applyPending()
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

// heapInUse returns the bytes of the heap in use after a garbage collection.
func heapInUse() int64 {
	var mem runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&mem)
	return int64(mem.HeapAlloc)
}

// processorTime returns the processor time of this process, which depends less on the load of the machine than wall-clock time.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
