package wigeonstate_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	entryA   = 0xa1
	entryB   = 0xa2
	controlA = 0xc1
	controlB = 0xc2
	operator = 0xd1
)

// fixture holds a state, the records applied to it, and the sequence and renewal numbers of its sessions.
type fixture struct {
	c     *qt.C
	state wigeonstate.State
	// records holds all applied records; the index is the offset.
	records   [][]byte
	sequences map[uint64]uint64
	renewals  map[uint64]uint64
	nowMS     int64
}

func newFixture(t testing.TB) *fixture {
	t.Helper()
	return &fixture{c: qt.New(t), sequences: map[uint64]uint64{}, renewals: map[uint64]uint64{}, nowMS: 1_000_000}
}

// appendBatch applies the next batch of the session and returns its verdicts.
func (f *fixture) appendBatch(session uint64, entries ...*wigeonwire.Entry) []wigeonstate.Verdict {
	f.sequences[session]++
	return f.applyBatch(&wigeonwire.Batch{Session: session, Sequence: f.sequences[session], AtUnixMs: f.nowMS, Entries: entries})
}

func (f *fixture) applyBatch(batch *wigeonwire.Batch) []wigeonstate.Verdict {
	payload, err := proto.Marshal(batch)
	f.c.Assert(err, qt.IsNil)
	f.records = append(f.records, payload)
	return f.state.Apply(wigeonstep.Offset(len(f.records)-1), payload)
}

// accept applies an entry that must be accepted.
func (f *fixture) accept(session uint64, entry *wigeonwire.Entry) {
	f.c.Helper()
	f.c.Assert(f.appendBatch(session, entry)[0].Reason, qt.Equals, "", qt.Commentf("%v", entry))
}

// refuse applies an entry that must be refused with a reason that matches the regular expression.
func (f *fixture) refuse(session uint64, entry *wigeonwire.Entry, reason string) {
	f.c.Helper()
	f.c.Assert(f.appendBatch(session, entry)[0].Reason, qt.Matches, reason, qt.Commentf("%v", entry))
}

func (f *fixture) open(session uint64, role wigeonwire.Role, centre string) {
	f.c.Helper()
	f.accept(session, openEntry(role, centre, fmt.Sprintf("127.0.0.1:%d", session)))
}

func (f *fixture) renew(session uint64, busy ...string) {
	f.c.Helper()
	f.accept(session, f.renewEntry(session, busy...))
}

func (f *fixture) renewEntry(session uint64, busy ...string) *wigeonwire.Entry {
	f.renewals[session]++
	return renewEntry(&wigeonwire.SessionRenew{
		Renewal:       f.renewals[session],
		AppliedOffset: uint64(max(len(f.records), 1) - 1),
		Ready:         true,
		BusyVms:       busy,
	})
}

// openSessions opens an entry and a control session in each of the data centres a and b, and an operator session in a. It
// renews the entry sessions once, so that they are ready.
func (f *fixture) openSessions() {
	f.c.Helper()
	f.open(controlA, wigeonwire.Role_ROLE_CONTROL, "a")
	f.open(controlB, wigeonwire.Role_ROLE_CONTROL, "b")
	f.open(operator, wigeonwire.Role_ROLE_OPERATOR, "a")
	f.open(entryA, wigeonwire.Role_ROLE_ENTRY, "a")
	f.open(entryB, wigeonwire.Role_ROLE_ENTRY, "b")
	f.renew(entryA)
	f.renew(entryB)
}

// observe adds VMs to a pool. The first letter of a VM id is the data centre, a or b, and the second character the rack.
func (f *fixture) observe(pool string, vms ...string) {
	f.c.Helper()
	for _, vm := range vms {
		session := uint64(controlA)
		if vm[0] == 'b' {
			session = controlB
		}
		f.accept(session, observeEntry(vm, pool))
	}
}

func (f *fixture) vm(id string) *wigeonstate.VM {
	f.c.Helper()
	vm := f.state.View().VMs[wigeonstep.VMID(id)]
	f.c.Assert(vm, qt.IsNotNil, qt.Commentf("VM %s", id))
	return vm
}

// transitionTo returns a transition of the VM to the phase, based on its current epoch.
func (f *fixture) transitionTo(id string, phase wigeonwire.Phase) *wigeonwire.Entry {
	f.c.Helper()
	return transitionEntry(&wigeonwire.VMTransition{Vm: id, Epoch: uint64(f.vm(id).Epoch), To: phase, Cause: "test"})
}

func openEntry(role wigeonwire.Role, centre, address string) *wigeonwire.Entry {
	return &wigeonwire.Entry{Body: &wigeonwire.Entry_SessionOpen{SessionOpen: &wigeonwire.SessionOpen{
		Role: role, DataCentre: centre, PeerAddress: address, Vm: "vm-" + address,
	}}}
}

func renewEntry(renew *wigeonwire.SessionRenew) *wigeonwire.Entry {
	return &wigeonwire.Entry{Body: &wigeonwire.Entry_SessionRenew{SessionRenew: renew}}
}

func expireEntry(session, renewal uint64) *wigeonwire.Entry {
	return &wigeonwire.Entry{Body: &wigeonwire.Entry_SessionExpire{SessionExpire: &wigeonwire.SessionExpire{Session: session, LastRenewal: renewal}}}
}

func closeEntry() *wigeonwire.Entry {
	return &wigeonwire.Entry{Body: &wigeonwire.Entry_SessionClose{SessionClose: &wigeonwire.SessionClose{}}}
}

func observeEntry(vm, pool string) *wigeonwire.Entry {
	return &wigeonwire.Entry{Body: &wigeonwire.Entry_VmObserve{VmObserve: &wigeonwire.VMObserve{
		Vm: vm, DataCentre: vm[:1], Rack: vm[1:2], Pool: pool, Address: "127.0.0.1:80",
		Shape: &wigeonwire.Shape{Cores: 32, MemoryGb: 64, Slots: 8, Connections: 64},
	}}}
}

func transitionEntry(change *wigeonwire.VMTransition) *wigeonwire.Entry {
	return &wigeonwire.Entry{Body: &wigeonwire.Entry_VmTransition{VmTransition: change}}
}

func intentEntry(key string) *wigeonwire.Entry {
	return &wigeonwire.Entry{Body: &wigeonwire.Entry_Intent{Intent: &wigeonwire.Intent{Key: key, Team: "shop", Class: "order", Service: "orders"}}}
}

func documentEntry(change, service string, base uint64, content string) *wigeonwire.Entry {
	return &wigeonwire.Entry{Body: &wigeonwire.Entry_DocumentChange{DocumentChange: &wigeonwire.DocumentChange{
		ChangeId: change, Service: service, BaseVersion: base, Content: []byte(content), Operator: "op-" + change,
	}}}
}

// document returns a service document for 4 workers with the given limits of unavailable workers in total and per rack.
func document(service, pool string, unavailable, perRack int) string {
	return fmt.Sprintf(`service: %s
team: team-%s
pool: %s
capacity: {workers: 4}
availability: {max_unavailable_workers: %d, max_unavailable_per_rack: %d}
classes:
  - {name: order, kind: short, idempotent: false}
  - {name: bake, kind: long, idempotent: true}
  - {name: once, kind: long, idempotent: false}
`, service, service, pool, unavailable, perRack)
}
