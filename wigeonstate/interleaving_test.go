package wigeonstate_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// leaseTicks is the duration of the lease that a renewal gives, and expiryTicks the time without a renewal after
	// which other processes expire the session, both in ticks of 1 s.
	leaseTicks  = 8
	expiryTicks = 10
)

// process is one process of the model. It has applied a prefix of the log.
type process struct {
	// id is the session id.
	id       uint64
	role     wigeonwire.Role
	centre   string
	address  string
	replica  *wigeonstate.State
	sequence uint64
	renewal  uint64
	// sentAt maps each renewal to the tick at which it was sent.
	sentAt map[uint64]int
	// leaseStart is the tick at which the latest renewal that the process found in the log was sent.
	leaseStart int
	alive      bool
	// pausedUntil is the tick until which a paused process does nothing; it applies no records until then.
	pausedUntil int
	// versions holds the document versions that the process has seen.
	versions map[wigeonstep.ServiceName]wigeonstep.DocumentVersion
	// sent holds the batches of the process, so that duplicates of them can be appended.
	sent [][]byte
}

// model is a log and processes that apply its records independently of each other.
type model struct {
	t *rapid.T
	// now is the current tick.
	now int
	log [][]byte
	// renewalTicks maps each session to the tick of its last accepted renewal.
	renewalTicks map[uint64]int
	processes    []*process
	// reference is the state after all records of the log.
	reference *wigeonstate.State
	// encodedStates maps each number of applied records to the encoded state.
	encodedStates map[wigeonstep.Offset]string
	// acceptedIntents counts the accepted intents of each key.
	acceptedIntents map[string]int
	nextID          uint64
	// drains and moves count accepted transitions.
	drains int
	moves  int
}

// startProcess adds a process that starts from a snapshot of the reference state and opens a session.
func (m *model) startProcess(role wigeonwire.Role, centre, address string) *process {
	m.nextID++
	r := &process{
		id: m.nextID * 0x9e3779b97f4a7c15, role: role, centre: centre, address: address, alive: true, leaseStart: -leaseTicks - 1,
		sentAt: map[uint64]int{}, versions: map[wigeonstep.ServiceName]wigeonstep.DocumentVersion{},
	}
	data, err := m.reference.Encode()
	m.require(err == nil, "encode: %v", err)
	r.replica, err = wigeonstate.Decode(data)
	m.require(err == nil, "decode: %v", err)
	m.processes = append(m.processes, r)
	m.appendBatch(r, openEntry(role, centre, address))
	return r
}

func (m *model) require(ok bool, format string, args ...any) {
	m.t.Helper()
	if !ok {
		m.t.Fatalf(format, args...)
	}
}

// appendBatch appends the next batch of the process to the log.
func (m *model) appendBatch(r *process, entries ...*wigeonwire.Entry) {
	r.sequence++
	payload, err := proto.Marshal(&wigeonwire.Batch{Session: r.id, Sequence: r.sequence, AtUnixMs: int64(m.now+1) * 1000, Entries: entries})
	m.require(err == nil, "marshal: %v", err)
	r.sent = append(r.sent, payload)
	m.appendPayload(payload)
}

// appendPayload appends a record to the log, applies it to the reference state and checks the invariants of each accepted
// entry.
func (m *model) appendPayload(payload []byte) {
	before := m.reference.View()
	offset := wigeonstep.Offset(len(m.log))
	m.log = append(m.log, payload)
	for _, verdict := range m.reference.Apply(offset, payload) {
		if !verdict.Accepted {
			continue
		}
		if intent := verdict.Entry.GetIntent(); intent != nil {
			m.acceptedIntents[intent.GetKey()]++
			m.require(m.acceptedIntents[intent.GetKey()] == 1, "key %s has %d accepted intents", intent.GetKey(), m.acceptedIntents[intent.GetKey()])
			owner := before.Owner(wigeonstep.IdempotencyKey(intent.GetKey()))
			m.require(owner != nil && owner.ID == verdict.Session, "key %s was accepted from session %v, which does not own it", intent.GetKey(), verdict.Session)
		}
		if verdict.Entry.GetSessionRenew() != nil {
			m.renewalTicks[uint64(verdict.Session)] = m.now
		}
		if change := verdict.Entry.GetVmTransition(); change != nil {
			m.checkBudget(before, change)
		}
	}
}

// checkBudget checks an accepted drain against the disruption budgets. It counts the unavailable VMs independently of
// the code under test, as the design page defines them.
func (m *model) checkBudget(before *wigeonstate.View, change *wigeonwire.VMTransition) {
	vm := before.VMs[wigeonstep.VMID(change.GetVm())]
	if change.GetPool() != "" {
		m.moves++
	}
	if change.GetTo() != draining || vm.Phase == failed {
		return
	}
	m.drains++
	controlled := map[wigeonstep.DataCentreName]bool{}
	for _, session := range before.Sessions {
		if session.Role == wigeonwire.Role_ROLE_CONTROL && !session.Expired {
			controlled[session.DataCentre] = true
		}
	}
	lost, lostInRack := 1, 1
	for _, other := range before.VMs {
		if other.Pool != vm.Pool || other.ID == vm.ID || (other.Phase == inService && !other.Leaving && controlled[other.DataCentre]) {
			continue
		}
		lost++
		if other.Rack == vm.Rack && other.DataCentre == vm.DataCentre {
			lostInRack++
		}
	}
	for name, service := range before.Services {
		budget := service.Document.Availability
		if service.Document.Pool != vm.Pool {
			continue
		}
		m.require(lost <= budget.MaxUnavailableWorkers, "service %s: %d workers lost, budget %d", name, lost, budget.MaxUnavailableWorkers)
		m.require(budget.MaxUnavailablePerRack == 0 || lostInRack <= budget.MaxUnavailablePerRack, "service %s: %d workers of a rack lost", name, lostInRack)
	}
}

// applyRecords applies up to count records that the process has not applied yet, and checks that equal prefixes give equal
// states and that document versions never decrease.
func (m *model) applyRecords(r *process, count int) {
	for ; count > 0 && int(r.replica.NextOffset()) < len(m.log); count-- {
		offset := r.replica.NextOffset()
		for _, verdict := range r.replica.Apply(offset, m.log[offset]) {
			if renew := verdict.Entry.GetSessionRenew(); renew != nil && uint64(verdict.Session) == r.id && verdict.Accepted {
				r.leaseStart = max(r.leaseStart, r.sentAt[renew.GetRenewal()])
			}
		}
		data, err := r.replica.Encode()
		m.require(err == nil, "encode: %v", err)
		if earlier, ok := m.encodedStates[r.replica.NextOffset()]; ok {
			m.require(earlier == string(data), "two processes that applied %d records have different states", r.replica.NextOffset())
		}
		m.encodedStates[r.replica.NextOffset()] = string(data)
		for name, service := range r.replica.View().Services {
			m.require(service.Version >= r.versions[name], "document %s: version decreased from %d to %d", name, r.versions[name], service.Version)
			r.versions[name] = service.Version
		}
	}
}

// checkSinglePool checks that all running entry processes that may use a VM, each by its own prefix of the log, see it
// in the same pool.
func (m *model) checkSinglePool() {
	users := map[wigeonstep.VMID]*process{}
	for _, r := range m.processes {
		if !r.alive || r.role != wigeonwire.Role_ROLE_ENTRY {
			continue
		}
		for id, vm := range r.replica.View().VMs {
			if !vm.InService() || (string(vm.DataCentre) != r.centre && m.now-r.leaseStart > leaseTicks) {
				continue
			}
			if other := users[id]; other != nil {
				pool := other.replica.View().VMs[id].Pool
				m.require(pool == vm.Pool, "VM %s is usable in pool %s by %s at %d and in pool %s by %s at %d of %d records",
					id, pool, other.address, other.replica.NextOffset(), vm.Pool, r.address, r.replica.NextOffset(), len(m.log))
			}
			users[id] = r
		}
	}
}

// step draws and performs one action of a process.
func (m *model) step() {
	r := rapid.SampledFrom(m.processes).Draw(m.t, "process")
	if r.pausedUntil > m.now {
		return
	}
	if !r.alive {
		// A process may start again on the address of a stopped one; its new session closes the old one.
		if rapid.IntRange(0, 3).Draw(m.t, "restart") == 0 && m.newestProcessAt(r.address) == r {
			m.startProcess(r.role, r.centre, r.address)
		}
		return
	}
	actions := []string{"read", "read", "renew", "renew", "renew", "repeat", "expire", "intent", "document", "kill", "leave", "pause", "tick", "tick"}
	if r.role == wigeonwire.Role_ROLE_CONTROL {
		actions = []string{"read", "renew", "drain", "drain", "drained", "drained", "drained", "assign", "assign", "return", "repeat", "expire", "kill", "fail"}
		// A planner acts on a current view in most cases, and on an old one otherwise.
		if rapid.IntRange(0, 3).Draw(m.t, "recent") > 0 {
			m.applyRecords(r, len(m.log))
		}
	}
	switch rapid.SampledFrom(actions).Draw(m.t, "action") {
	case "read":
		m.applyRecords(r, rapid.IntRange(1, 40).Draw(m.t, "records"))
	case "renew":
		if rapid.IntRange(0, 2).Draw(m.t, "current") > 0 {
			m.applyRecords(r, len(m.log))
		}
		m.renew(r)
	case "drain":
		m.transition(r, draining, "")
	case "drained":
		m.transition(r, drained, "")
	case "assign":
		m.transition(r, inService, rapid.SampledFrom([]string{"prices", "stock", "spare"}).Draw(m.t, "pool"))
	case "return":
		m.transition(r, inService, "")
	case "fail":
		if rapid.IntRange(0, 4).Draw(m.t, "fails") == 0 {
			m.transition(r, rapid.SampledFrom([]wigeonwire.Phase{failed, verifying}).Draw(m.t, "phase"), "")
		}
	case "repeat":
		m.appendPayload(rapid.SampledFrom(r.sent).Draw(m.t, "batch"))
	case "expire":
		m.expireUnrenewedSessions(r)
	case "intent":
		m.appendBatch(r, intentEntry(rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(m.t, "key")))
	case "document":
		service := rapid.SampledFrom([]string{"orders", "prices"}).Draw(m.t, "service")
		base := rapid.IntRange(0, 3).Draw(m.t, "base")
		m.appendBatch(r, documentEntry(fmt.Sprint(len(m.log)), service, uint64(base), document(service, service, base%3+1, base%2)))
	case "pause":
		r.pausedUntil = m.now + rapid.IntRange(1, 2*expiryTicks).Draw(m.t, "pause")
	case "kill":
		if rapid.IntRange(0, 4).Draw(m.t, "killed") == 0 {
			r.alive = false
		}
	case "leave":
		if rapid.IntRange(0, 4).Draw(m.t, "leaves") == 0 {
			r.alive = false
			m.appendBatch(r, closeEntry())
		}
	case "tick":
		m.now += rapid.IntRange(1, 4).Draw(m.t, "ticks")
	}
}

// newestProcessAt returns the process that was started last at the address.
func (m *model) newestProcessAt(address string) *process {
	var current *process
	for _, r := range m.processes {
		if r.address == address {
			current = r
		}
	}
	return current
}

func (m *model) renew(r *process) {
	if r.replica.NextOffset() == 0 {
		return
	}
	r.renewal++
	r.sentAt[r.renewal] = m.now
	m.appendBatch(r, renewEntry(&wigeonwire.SessionRenew{Renewal: r.renewal, AppliedOffset: uint64(r.replica.NextOffset() - 1), Ready: true}))
}

func (m *model) transition(r *process, to wigeonwire.Phase, pool string) {
	id := rapid.SampledFrom(m.candidates(r, to)).Draw(m.t, "vm")
	if vm := r.replica.View().VMs[wigeonstep.VMID(id)]; vm != nil {
		m.appendBatch(r, transitionEntry(&wigeonwire.VMTransition{Vm: id, Epoch: uint64(vm.Epoch), To: to, Pool: pool}))
	}
}

// candidates returns the VMs of the process's data centre that its view shows in the phase from which it changes VMs to the
// given one. When there is none, and in some draws, it returns all VMs.
func (m *model) candidates(r *process, to wigeonwire.Phase) []string {
	all := []string{"a11", "a12", "a13", "b11", "b12", "b13"}
	if rapid.IntRange(0, 7).Draw(m.t, "any") == 0 {
		return all
	}
	from := map[wigeonwire.Phase]wigeonwire.Phase{draining: inService, drained: draining, inService: drained, failed: inService, verifying: failed}
	var fit []string
	for _, id := range all {
		if vm := r.replica.View().VMs[wigeonstep.VMID(id)]; vm != nil && id[:1] == r.centre && vm.Phase == from[to] {
			fit = append(fit, id)
		}
	}
	if len(fit) == 0 {
		return all
	}
	return fit
}

// expireUnrenewedSessions proposes to expire the sessions that were not renewed for more than expiryTicks.
func (m *model) expireUnrenewedSessions(r *process) {
	for _, session := range r.replica.View().Sessions {
		renewedAt, ok := m.renewalTicks[uint64(session.ID)]
		if uint64(session.ID) != r.id && !session.Expired && ok && m.now-renewedAt > expiryTicks {
			m.appendBatch(r, expireEntry(uint64(session.ID), session.LastRenewal))
		}
	}
}

// Guards against interleavings of processes that break an invariant: all entry processes that may use a VM see it in
// the same pool, drains stay within every budget, a key has one intent and only from its owner, document versions never
// decrease, and equal prefixes of the log give equal states.
func TestInterleavings(t *testing.T) {
	drains, moves := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t: t, now: 1, reference: &wigeonstate.State{}, renewalTicks: map[uint64]int{},
			encodedStates: map[wigeonstep.Offset]string{}, acceptedIntents: map[string]int{},
		}
		m.startProcess(wigeonwire.Role_ROLE_ENTRY, "a", "e1")
		m.startProcess(wigeonwire.Role_ROLE_ENTRY, "b", "e2")
		controls := []*process{m.startProcess(wigeonwire.Role_ROLE_CONTROL, "a", "c1"), m.startProcess(wigeonwire.Role_ROLE_CONTROL, "b", "c2")}
		// A pool does not lose VMs that its documents request, so the VMs that move between pools start in the spare pool.
		for i, vm := range []string{"a11", "a12", "a13", "b11", "b12", "b13"} {
			m.appendBatch(controls[i/3], observeEntry(vm, []string{"orders", "spare", "spare"}[i%3]))
		}
		m.appendBatch(controls[0], &wigeonwire.Entry{Body: &wigeonwire.Entry_PoolObserve{PoolObserve: &wigeonwire.PoolObserve{Pools: []string{"orders", "prices", "stock"}}}})
		m.appendBatch(controls[0], documentEntry("first", "orders", 0, document("orders", "orders", 1, 0)))
		for range rapid.IntRange(40, 200).Draw(t, "steps") {
			m.step()
			m.checkSinglePool()
		}
		for _, r := range m.processes {
			m.applyRecords(r, len(m.log))
		}
		m.checkSinglePool()
		drains += m.drains
		moves += m.moves
	})
	// Without a minimum of drains and moves the invariants would hold trivially.
	if drains < 20 || moves < 5 {
		t.Errorf("the interleavings accepted %d drains and %d moves", drains, moves)
	}
	t.Logf("%d drains and %d moves accepted", drains, moves)
}
