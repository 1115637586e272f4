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
	// leaseTicks and silentTicks are the lease of the holder and the silence after which others expire it, in ticks of 1 s.
	leaseTicks  = 8
	silentTicks = 10
)

// reader is one process of the model: a prefix of the log, a session, and what the process knows of its lease.
type reader struct {
	id        uint64
	role      wigeonwire.Role
	centre    string
	address   string
	state     *wigeonstate.State
	sequence  uint64
	renewal   uint64
	sentAt    map[uint64]int
	leaseFrom int
	alive     bool
	// pausedUntil is when a paused process acts again; its view stands still until then.
	pausedUntil int
	versions    map[wigeonstep.ServiceName]wigeonstep.Version
	sent        [][]byte
}

// model is a log with processes that read it at their own speed.
type model struct {
	t       *rapid.T
	now     int
	log     [][]byte
	renewed map[uint64]int
	readers []*reader
	truth   *wigeonstate.State
	encoded map[wigeonstep.Offset]string
	intents map[string]int
	nextID  uint64
	drains  int
	moves   int
}

func (m *model) join(role wigeonwire.Role, centre, address string) *reader {
	m.nextID++
	r := &reader{
		id: m.nextID * 0x9e3779b97f4a7c15, role: role, centre: centre, address: address, alive: true, leaseFrom: -leaseTicks - 1,
		sentAt: map[uint64]int{}, versions: map[wigeonstep.ServiceName]wigeonstep.Version{},
	}
	data, err := m.truth.Encode()
	m.check(err == nil, "encode: %v", err)
	r.state, err = wigeonstate.Decode(data)
	m.check(err == nil, "decode: %v", err)
	m.readers = append(m.readers, r)
	m.append(r, openEntry(role, centre, address))
	return r
}

func (m *model) check(ok bool, format string, args ...any) {
	m.t.Helper()
	if !ok {
		m.t.Fatalf(format, args...)
	}
}

// append puts a batch on the log and judges it by the reference state, with the invariants on each verdict.
func (m *model) append(r *reader, entries ...*wigeonwire.Entry) {
	r.sequence++
	payload, err := proto.Marshal(&wigeonwire.Batch{Session: r.id, Sequence: r.sequence, AtUnixMs: int64(m.now+1) * 1000, Entries: entries})
	m.check(err == nil, "marshal: %v", err)
	r.sent = append(r.sent, payload)
	m.land(payload)
}

func (m *model) land(payload []byte) {
	before := m.truth.View()
	offset := wigeonstep.Offset(len(m.log))
	m.log = append(m.log, payload)
	for _, verdict := range m.truth.Apply(offset, payload) {
		if !verdict.Accepted {
			continue
		}
		if intent := verdict.Entry.GetIntent(); intent != nil {
			m.intents[intent.GetKey()]++
			m.check(m.intents[intent.GetKey()] == 1, "key %s has %d accepted intents", intent.GetKey(), m.intents[intent.GetKey()])
			owner := before.Owner(wigeonstep.Key(intent.GetKey()))
			m.check(owner != nil && owner.ID == verdict.Session, "key %s was accepted from session %v, which does not own it", intent.GetKey(), verdict.Session)
		}
		if verdict.Entry.GetSessionRenew() != nil {
			m.renewed[uint64(verdict.Session)] = m.now
		}
		if change := verdict.Entry.GetVmTransition(); change != nil {
			m.checkDrain(before, change)
		}
	}
}

// checkDrain counts the losses of the pool anew, by the words of the design page.
func (m *model) checkDrain(before *wigeonstate.View, change *wigeonwire.VMTransition) {
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
		m.check(lost <= budget.MaxUnavailableWorkers, "service %s: %d workers lost, budget %d", name, lost, budget.MaxUnavailableWorkers)
		m.check(budget.MaxUnavailablePerRack == 0 || lostInRack <= budget.MaxUnavailablePerRack, "service %s: %d workers of a rack lost", name, lostInRack)
	}
}

// read lets a process fold the next records.
func (m *model) read(r *reader, count int) {
	for ; count > 0 && int(r.state.Next()) < len(m.log); count-- {
		offset := r.state.Next()
		for _, verdict := range r.state.Apply(offset, m.log[offset]) {
			if renew := verdict.Entry.GetSessionRenew(); renew != nil && uint64(verdict.Session) == r.id && verdict.Accepted {
				r.leaseFrom = max(r.leaseFrom, r.sentAt[renew.GetRenewal()])
			}
		}
		data, err := r.state.Encode()
		m.check(err == nil, "encode: %v", err)
		if earlier, ok := m.encoded[r.state.Next()]; ok {
			m.check(earlier == string(data), "two readers of %d records have different encodings", r.state.Next())
		}
		m.encoded[r.state.Next()] = string(data)
		for name, service := range r.state.View().Services {
			m.check(service.Version >= r.versions[name], "document %s went back from version %d to %d", name, r.versions[name], service.Version)
			r.versions[name] = service.Version
		}
	}
}

// checkPools looks at every process at its own prefix: a VM may be usable in one pool only.
func (m *model) checkPools() {
	users := map[wigeonstep.VMID]*reader{}
	for _, r := range m.readers {
		if !r.alive || r.role != wigeonwire.Role_ROLE_ENTRY {
			continue
		}
		for id, vm := range r.state.View().VMs {
			if !vm.InService() || (string(vm.DataCentre) != r.centre && m.now-r.leaseFrom > leaseTicks) {
				continue
			}
			if other := users[id]; other != nil {
				pool := other.state.View().VMs[id].Pool
				m.check(pool == vm.Pool, "VM %s is usable in pool %s by %s at %d and in pool %s by %s at %d of %d records",
					id, pool, other.address, other.state.Next(), vm.Pool, r.address, r.state.Next(), len(m.log))
			}
			users[id] = r
		}
	}
}

// step draws and does one thing that a process may do at any moment.
func (m *model) step() {
	r := rapid.SampledFrom(m.readers).Draw(m.t, "process")
	if r.pausedUntil > m.now {
		return
	}
	if !r.alive {
		// A killed process may come back on its port; the new session closes the old one.
		if rapid.IntRange(0, 3).Draw(m.t, "restart") == 0 && m.currentOf(r.address) == r {
			m.join(r.role, r.centre, r.address)
		}
		return
	}
	actions := []string{"read", "read", "renew", "renew", "renew", "repeat", "expire", "intent", "document", "kill", "leave", "pause", "tick", "tick"}
	if r.role == wigeonwire.Role_ROLE_CONTROL {
		actions = []string{"read", "renew", "drain", "drain", "drained", "drained", "drained", "assign", "assign", "return", "repeat", "expire", "kill", "fail"}
		// A planner mostly acts on a recent view, and sometimes on an old one.
		if rapid.IntRange(0, 3).Draw(m.t, "recent") > 0 {
			m.read(r, len(m.log))
		}
	}
	switch rapid.SampledFrom(actions).Draw(m.t, "action") {
	case "read":
		m.read(r, rapid.IntRange(1, 40).Draw(m.t, "records"))
	case "renew":
		if rapid.IntRange(0, 2).Draw(m.t, "current") > 0 {
			m.read(r, len(m.log))
		}
		m.renew(r)
	case "drain":
		m.transition(r, draining, "")
	case "drained":
		m.transition(r, drained, "")
	case "assign":
		m.transition(r, inService, rapid.SampledFrom([]string{"orders", "prices", "spare", "spare"}).Draw(m.t, "pool"))
	case "return":
		m.transition(r, inService, "")
	case "fail":
		if rapid.IntRange(0, 4).Draw(m.t, "fails") == 0 {
			m.transition(r, rapid.SampledFrom([]wigeonwire.Phase{failed, verifying}).Draw(m.t, "phase"), "")
		}
	case "repeat":
		m.land(rapid.SampledFrom(r.sent).Draw(m.t, "batch"))
	case "expire":
		m.expire(r)
	case "intent":
		m.append(r, intentEntry(rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(m.t, "key")))
	case "document":
		service := rapid.SampledFrom([]string{"orders", "prices"}).Draw(m.t, "service")
		base := rapid.IntRange(0, 3).Draw(m.t, "base")
		m.append(r, documentEntry(fmt.Sprint(len(m.log)), service, uint64(base), document(service, service, base%3+1, base%2)))
	case "pause":
		r.pausedUntil = m.now + rapid.IntRange(1, 2*silentTicks).Draw(m.t, "pause")
	case "kill":
		if rapid.IntRange(0, 4).Draw(m.t, "killed") == 0 {
			r.alive = false
		}
	case "leave":
		if rapid.IntRange(0, 4).Draw(m.t, "leaves") == 0 {
			r.alive = false
			m.append(r, closeEntry())
		}
	case "tick":
		m.now += rapid.IntRange(1, 4).Draw(m.t, "ticks")
	}
}

// currentOf returns the newest process of an address.
func (m *model) currentOf(address string) *reader {
	var current *reader
	for _, r := range m.readers {
		if r.address == address {
			current = r
		}
	}
	return current
}

func (m *model) renew(r *reader) {
	if r.state.Next() == 0 {
		return
	}
	r.renewal++
	r.sentAt[r.renewal] = m.now
	m.append(r, renewEntry(&wigeonwire.SessionRenew{Renewal: r.renewal, AppliedOffset: uint64(r.state.Next() - 1), Ready: true}))
}

func (m *model) transition(r *reader, to wigeonwire.Phase, pool string) {
	id := rapid.SampledFrom(m.candidates(r, to)).Draw(m.t, "vm")
	if vm := r.state.View().VMs[wigeonstep.VMID(id)]; vm != nil {
		m.append(r, transitionEntry(&wigeonwire.VMTransition{Vm: id, Epoch: uint64(vm.Epoch), To: to, Pool: pool}))
	}
}

// candidates returns the VMs that the process would propose to change, or every VM now and then.
func (m *model) candidates(r *reader, to wigeonwire.Phase) []string {
	all := []string{"a11", "a12", "b11", "b12"}
	if rapid.IntRange(0, 7).Draw(m.t, "any") == 0 {
		return all
	}
	from := map[wigeonwire.Phase]wigeonwire.Phase{draining: inService, drained: draining, inService: drained, failed: inService, verifying: failed}
	var fit []string
	for _, id := range all {
		if vm := r.state.View().VMs[wigeonstep.VMID(id)]; vm != nil && id[:1] == r.centre && vm.Phase == from[to] {
			fit = append(fit, id)
		}
	}
	if len(fit) == 0 {
		return all
	}
	return fit
}

// expire proposes the end of a session that was silent for long enough.
func (m *model) expire(r *reader) {
	for _, session := range r.state.View().Sessions {
		renewedAt, ok := m.renewed[uint64(session.ID)]
		if uint64(session.ID) != r.id && !session.Expired && ok && m.now-renewedAt > silentTicks {
			m.append(r, expireEntry(uint64(session.ID), session.LastRenewal))
		}
	}
}

// Guards the promises that every interleaving must keep: a VM usable in one pool only over the prefixes of all readers, drains
// within every budget, one intent for a key and only from its owner, versions that never go back, and equal states of equal prefixes.
func TestInterleavings(t *testing.T) {
	drains, moves := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t: t, now: 1, truth: &wigeonstate.State{}, renewed: map[uint64]int{},
			encoded: map[wigeonstep.Offset]string{}, intents: map[string]int{},
		}
		m.join(wigeonwire.Role_ROLE_ENTRY, "a", "e1")
		m.join(wigeonwire.Role_ROLE_ENTRY, "b", "e2")
		controls := []*reader{m.join(wigeonwire.Role_ROLE_CONTROL, "a", "c1"), m.join(wigeonwire.Role_ROLE_CONTROL, "b", "c2")}
		for i, vm := range []string{"a11", "a12", "b11", "b12"} {
			m.append(controls[i/2], observeEntry(vm, "orders"))
		}
		m.append(controls[0], documentEntry("first", "orders", 0, document("orders", "orders", 3, 0)))
		for range rapid.IntRange(40, 200).Draw(t, "steps") {
			m.step()
			m.checkPools()
		}
		for _, r := range m.readers {
			m.read(r, len(m.log))
		}
		m.checkPools()
		drains += m.drains
		moves += m.moves
	})
	// A model in which nothing is ever drained or moved would prove nothing.
	if drains < 20 || moves < 5 {
		t.Errorf("the interleavings accepted %d drains and %d moves", drains, moves)
	}
	t.Logf("%d drains and %d moves accepted", drains, moves)
}
