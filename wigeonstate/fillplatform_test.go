package wigeonstate_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonplatform"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// logFiller appends the records that a fleet of the target size writes in a day to the log of a running platform.
type logFiller struct {
	b          *testing.B
	platform   *wigeonplatform.Client
	nowMS      int64
	nextOffset uint64
	sequences  map[uint64]uint64
}

func (f *logFiller) append(session uint64, entries ...*wigeonwire.Entry) {
	f.sequences[session]++
	payload, err := proto.Marshal(&wigeonwire.Batch{Session: session, Sequence: f.sequences[session], AtUnixMs: f.nowMS, Entries: entries})
	qt.Assert(f.b, err, qt.IsNil)
	offset, err := f.platform.Append(f.b.Context(), wigeonstep.FleetStream, payload)
	qt.Assert(f.b, err, qt.IsNil)
	f.nextOffset = uint64(offset) + 1
}

// session returns ids above those of almost all real processes. Planning and writing snapshots thus stay with the real
// processes.
func (f *logFiller) session(i int) uint64 { return 0xffffff0000000000 + uint64(i) }

func (f *logFiller) openSession(session uint64, role wigeonwire.Role, centre int) {
	f.append(session, openEntry(role, fmt.Sprint("centre-", centre), fmt.Sprintf("127.79.0.1:%d", session&0xffff+10000)))
}

// addVM adds a VM and records a restart of it, which counts as its maintenance, so that no wave is due.
func (f *logFiller) addVM(i int) {
	id, epoch := fmt.Sprintf("vm-%05d", i), f.nextOffset+1
	to := func(phase wigeonwire.Phase) *wigeonwire.Entry {
		change := &wigeonwire.VMTransition{Vm: id, Epoch: epoch, To: phase, Cause: "the VM list shows the VM down", Rule: "a VM that is down for 5 s counts as lost", Figures: "down_s=5 listed=true"}
		epoch++
		return transitionEntry(change)
	}
	f.append(f.session(i%7), &wigeonwire.Entry{Body: &wigeonwire.Entry_VmObserve{VmObserve: &wigeonwire.VMObserve{
		Vm: id, DataCentre: fmt.Sprint("centre-", i%7+1), Rack: fmt.Sprint("rack-", i/28), Pool: fmt.Sprintf("pool-%02d", i%84), Address: fmt.Sprintf("127.78.%d.%d:8000", i/250, i%250),
		Shape: &wigeonwire.Shape{Cores: 32, MemoryGb: 64, Slots: 8, Connections: 64},
	}}}, to(wigeonwire.Phase_PHASE_FAILED), to(wigeonwire.Phase_PHASE_VERIFYING), to(wigeonwire.Phase_PHASE_IN_SERVICE))
}

func (f *logFiller) changeDocument(n int, document string) {
	team := n % 97
	session := f.session(1000 + n)
	content := strings.NewReplacer("service: orders", fmt.Sprint("service: service-", team), "team: grafters", fmt.Sprint("team: team-", team),
		"pool: orders", fmt.Sprintf("pool: pool-%02d", team%83), "weight: 2", fmt.Sprint("weight: ", n/97%5+1)).Replace(document)
	f.append(session, openEntry(wigeonwire.Role_ROLE_OPERATOR, "", ""), documentEntry(fmt.Sprintf("%016x", session), fmt.Sprint("service-", team), uint64(n/97), content), closeEntry())
}

// addKeyedRequests appends requests with idempotency keys from one entry session, which owns all partitions until it closes.
func (f *logFiller) addKeyedRequests(count int) {
	const portion = 200
	entry := f.session(500)
	f.openSession(entry, wigeonwire.Role_ROLE_ENTRY, 1)
	f.append(entry, renewEntry(&wigeonwire.SessionRenew{Renewal: 1, Ready: true}))
	for first := 0; first < count; first += portion {
		var entries []*wigeonwire.Entry
		for i := first; i < min(count, first+portion); i++ {
			key := fmt.Sprintf("%016x-%016x", sessionID(i), i)
			entries = append(entries,
				&wigeonwire.Entry{Body: &wigeonwire.Entry_Intent{Intent: &wigeonwire.Intent{Key: key, Team: "team-07", Class: "place-order", Service: "service-07", RequestHash: sessionID(i)}}},
				&wigeonwire.Entry{Body: &wigeonwire.Entry_KeyOutcome{KeyOutcome: &wigeonwire.KeyOutcome{Key: key, Outcome: wigeonwire.Outcome_OUTCOME_DONE}}})
		}
		f.append(entry, entries...)
	}
	f.append(entry, closeEntry())
}

// BenchmarkFillPlatform fills the log of the platform at CAPACITY_PLATFORM with the changes of a fleet of 7,300 VMs in a day and
// CAPACITY_KEYS keys. Until CAPACITY_SECONDS have passed since its start it then renews 101 sessions every 2 s, so that
// processes that follow the log can be measured. It reports the appends per second of one client.
func BenchmarkFillPlatform(b *testing.B) {
	address := os.Getenv("CAPACITY_PLATFORM")
	if address == "" {
		b.Skip("CAPACITY_PLATFORM is not set")
	}
	keys, _ := strconv.Atoi(os.Getenv("CAPACITY_KEYS"))
	seconds, _ := strconv.Atoi(os.Getenv("CAPACITY_SECONDS"))
	platform, err := wigeonplatform.New(wigeonplatform.Config{Address: address, Name: "fill"})
	qt.Assert(b, err, qt.IsNil)
	document, err := os.ReadFile("../examples/documents/orders.yaml")
	qt.Assert(b, err, qt.IsNil)
	const sessions = 101
	for range b.N {
		began := time.Now()
		f := &logFiller{b: b, platform: platform, nowMS: began.Add(-time.Hour).UnixMilli(), sequences: map[uint64]uint64{}}
		for i := range sessions {
			f.openSession(f.session(i), wigeonwire.Role_ROLE_CONTROL, i%7+1)
		}
		for i := range 7300 {
			f.addVM(i)
		}
		for n := range 14000 {
			f.nowMS += 250
			f.changeDocument(n, string(document))
		}
		f.addKeyedRequests(keys)
		b.ReportMetric(float64(f.nextOffset)/time.Since(began).Seconds(), "appends/s")
		fmt.Fprintln(os.Stderr, "filled")
		for renewal := uint64(1); time.Since(began) < time.Duration(seconds)*time.Second; renewal++ {
			for i := range sessions {
				f.nowMS = time.Now().UnixMilli()
				f.append(f.session(i), renewEntry(&wigeonwire.SessionRenew{Renewal: renewal, AppliedOffset: f.nextOffset}))
				time.Sleep(2*time.Second/sessions - 200*time.Microsecond)
			}
		}
	}
}
