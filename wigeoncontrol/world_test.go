package wigeoncontrol_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonmaintenance"
	"github.com/wigeonstep/wigeonstep/wigeonpool"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	operatorSession = 0xd0
	rebootTime      = 60 * time.Second
	listLag         = 3 * time.Second
)

// world runs planners of several data centres on the real fold and a simulated platform, one second at a time.
type world struct {
	t         testing.TB
	c         *qt.C
	rng       *rand.Rand
	now       time.Time
	state     wigeonstate.State
	offset    wigeonstep.Offset
	sequences map[uint64]uint64
	truth     map[wigeonstep.VMID]*trueVM
	ids       []wigeonstep.VMID
	pools     []wigeonstep.PoolName
	daemons   []*daemon
	entries   []*entry
	// seen are the last true lists, so that the shown one lags.
	seen      []*wigeonstep.VMList
	listFault string
	loads     map[wigeonstep.PoolName]int
	reach     map[wigeonstep.VMID]wigeonpool.Reach
	// steps counts what daemons have done; the daemon that reaches dieAt is restarted there.
	steps, dieAt int
	nextSession  uint64
	// skew is how far the clocks of the authors of batches are ahead.
	skew  time.Duration
	stats stats
}

// stats are the figures that policies are compared by.
type stats struct {
	// breaches counts pool seconds in which a budget was exceeded although unplanned losses alone would have kept it.
	breaches int
	// breachesBySingle counts those of them with at most one unplanned loss, which the reserve always covers.
	breachesBySingle int
	// worst is the largest loss seen beyond a budget.
	worst int
	moves int
	// lost counts VMs declared failed or gone.
	lost int
	// held is the sum over seconds of VMs in service beyond what the documents ask for.
	held    int
	seconds int
}

// trueVM is the truth about a VM.
type trueVM struct {
	wigeonstep.ListedVM
	dead, neverBack, draining bool
	// hidden VMs work and are missing from the list.
	hidden                        bool
	upAt                          time.Time
	busyUntil                     time.Time
	fence, rebootEpoch, busyEpoch wigeonstep.Epoch
	reboots, checkpoints          int
}

type entry struct {
	session  uint64
	renewals uint64
	centre   string
}

// daemon is one control daemon without its goroutines.
type daemon struct {
	session     uint64
	centre      string
	pools       *wigeonpool.Planner
	maintenance *wigeonmaintenance.Planner
	confirmed   map[wigeonpool.Action]time.Time
	renewals    uint64
	cut         bool
	config      planners
}

// planners are the policies of a daemon.
type planners struct {
	pool        wigeonpool.Config
	maintenance wigeonmaintenance.Config
}

func newWorld(t testing.TB, config planners, centres ...string) *world {
	w := &world{
		t: t, c: qt.New(t), rng: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1_800_000_000, 0),
		sequences: map[uint64]uint64{}, truth: map[wigeonstep.VMID]*trueVM{},
		loads: map[wigeonstep.PoolName]int{}, reach: map[wigeonstep.VMID]wigeonpool.Reach{},
		dieAt: -1, nextSession: 0xc0, pools: []wigeonstep.PoolName{wigeonstep.SparePool},
	}
	w.accept(operatorSession, openEntry(wigeonwire.Role_ROLE_OPERATOR, centres[0], "op"))
	for i, centre := range centres {
		for j := range 2 {
			e := &entry{session: uint64(0xe0 + 2*i + j), centre: centre}
			w.accept(e.session, openEntry(wigeonwire.Role_ROLE_ENTRY, centre, fmt.Sprint("entry", i, j)))
			w.entries = append(w.entries, e)
		}
		w.startDaemon(centre, config)
	}
	w.renew()
	return w
}

func openEntry(role wigeonwire.Role, centre, address string) *wigeonwire.Entry {
	return &wigeonwire.Entry{Body: &wigeonwire.Entry_SessionOpen{SessionOpen: &wigeonwire.SessionOpen{Role: role, DataCentre: centre, PeerAddress: address}}}
}

func (w *world) startDaemon(centre string, config planners) *daemon {
	d := &daemon{centre: centre, config: config}
	w.restart(d)
	w.daemons = append(w.daemons, d)
	return d
}

// restart replaces the daemon's process: everything it knew is lost, and it opens a new session at the same address.
func (w *world) restart(d *daemon) {
	address := fmt.Sprintf("control%p", d)
	d.session, w.nextSession = w.nextSession, w.nextSession+1
	d.renewals = 0
	d.pools = wigeonpool.NewPlanner(d.config.pool)
	d.maintenance = wigeonmaintenance.NewPlanner(d.config.maintenance)
	d.confirmed = map[wigeonpool.Action]time.Time{}
	w.accept(d.session, openEntry(wigeonwire.Role_ROLE_CONTROL, d.centre, address))
}

func (w *world) append(session uint64, entry *wigeonwire.Entry) wigeonstate.Verdict {
	w.sequences[session]++
	payload, err := proto.Marshal(&wigeonwire.Batch{Session: session, Sequence: w.sequences[session], AtUnixMs: w.now.Add(w.skew).UnixMilli(), Entries: []*wigeonwire.Entry{entry}})
	if err != nil {
		w.t.Fatal(err)
	}
	verdict := w.state.Apply(w.offset, payload)[0]
	w.offset++
	return verdict
}

func (w *world) accept(session uint64, entry *wigeonwire.Entry) {
	if reason := w.append(session, entry).Reason; reason != "" {
		w.t.Helper()
		w.t.Fatalf("the fold refused %v: %s", entry, reason)
	}
}

// document puts a document in force; tail holds further keys.
func (w *world) document(pool string, version, workers int, tail string) {
	w.c.Helper()
	content := fmt.Sprintf("service: %s\nteam: t-%s\npool: %s\ncapacity: {workers: %d, cores: 8}\nclasses: [{name: c}]\n%s", pool, pool, pool, workers, tail)
	w.accept(operatorSession, &wigeonwire.Entry{Body: &wigeonwire.Entry_DocumentChange{DocumentChange: &wigeonwire.DocumentChange{
		ChangeId: fmt.Sprint(pool, version), Service: pool, BaseVersion: uint64(version), Content: []byte(content), Operator: "test",
	}}})
}

// addVMs adds count VMs to the pool, spread over the data centres and over racks of 4.
func (w *world) addVMs(pool string, count, cores int) {
	centres := w.centres()
	for i := range count {
		centre := centres[i%len(centres)]
		n := i / len(centres)
		w.addVM(pool, centre, fmt.Sprintf("%s-%s-%d", centre, pool, n%((count/len(centres)+3)/4)), cores)
	}
}

func (w *world) addVM(pool, centre, rack string, cores int) wigeonstep.VMID {
	id := wigeonstep.VMID(fmt.Sprintf("%s-%s-%03d", centre, pool, len(w.ids)))
	w.truth[id] = &trueVM{ListedVM: wigeonstep.ListedVM{
		ID: id, DataCentre: wigeonstep.DataCentreName(centre), Rack: wigeonstep.RackName(rack), Pool: wigeonstep.PoolName(pool),
		Address: string(id) + ":1", Shape: wigeonstep.Shape{Cores: cores, MemoryGB: 2 * cores, Slots: 8, Connections: 64}, Up: true,
	}}
	w.ids = append(w.ids, id)
	if !slices.Contains(w.pools, wigeonstep.PoolName(pool)) {
		w.pools = append(w.pools, wigeonstep.PoolName(pool))
		slices.Sort(w.pools)
	}
	return id
}

func (w *world) centres() []string {
	var centres []string
	for _, e := range w.entries {
		if !slices.Contains(centres, e.centre) {
			centres = append(centres, e.centre)
		}
	}
	return centres
}

func (w *world) vm(id wigeonstep.VMID) *wigeonstate.VM { return w.state.View().VMs[id] }

// run passes seconds until done holds, at most limit of them, and reports whether it held.
func (w *world) run(limit time.Duration, done func() bool) bool {
	for end := w.now.Add(limit); w.now.Before(end); {
		w.second()
		if done != nil && done() {
			return true
		}
	}
	return false
}

func (w *world) second() {
	w.now = w.now.Add(time.Second)
	for _, id := range w.ids {
		if m := w.truth[id]; m != nil && !m.Up && !m.dead && !m.neverBack && !w.now.Before(m.upAt) {
			m.Up = true
		}
	}
	w.seen = append(w.seen, w.trueList())
	if keep := int(listLag/time.Second) + 1; len(w.seen) > keep {
		w.seen = w.seen[len(w.seen)-keep:]
	}
	if w.now.Unix()%2 == 0 {
		w.renew()
	}
	for _, d := range w.daemons {
		if !d.cut {
			w.round(d)
		}
	}
	w.measure()
}

func (w *world) trueList() *wigeonstep.VMList {
	list := &wigeonstep.VMList{Pools: w.pools, Age: listLag}
	for _, id := range w.ids {
		if m := w.truth[id]; m != nil && !m.hidden {
			listed := m.ListedVM
			listed.Leaving = listed.Leaving || m.draining
			listed.Up = m.Up && !m.dead
			list.VMs = append(list.VMs, listed)
		}
	}
	return list
}

func (w *world) renew() {
	var busy []string
	view := w.state.View()
	for _, id := range w.ids {
		vm, m := view.VMs[id], w.truth[id]
		if vm == nil || m == nil || vm.Phase != wigeonwire.Phase_PHASE_DRAINING {
			continue
		}
		if m.busyEpoch != vm.Epoch {
			m.busyEpoch = vm.Epoch
			if m.busyUntil.Before(w.now) {
				m.busyUntil = w.now.Add(time.Duration(5+w.rng.IntN(30)) * time.Second)
			}
		}
		if w.now.Before(m.busyUntil) && !m.dead {
			busy = append(busy, string(id))
		}
	}
	for _, e := range w.entries {
		e.renewals++
		w.accept(e.session, &wigeonwire.Entry{Body: &wigeonwire.Entry_SessionRenew{SessionRenew: &wigeonwire.SessionRenew{
			Renewal: e.renewals, AppliedOffset: uint64(w.offset) - 1, Ready: true, BusyVms: busy,
		}}})
	}
	for _, d := range w.daemons {
		if !d.cut {
			d.renewals++
			w.append(d.session, &wigeonwire.Entry{Body: &wigeonwire.Entry_SessionRenew{SessionRenew: &wigeonwire.SessionRenew{Renewal: d.renewals, AppliedOffset: uint64(w.offset) - 1}}})
		}
	}
}

// listing returns what the list shows with its lag and its fault.
func (w *world) listing() *wigeonpool.Listing {
	lag := int(listLag / time.Second)
	switch {
	case w.listFault == "empty":
		return wigeonpool.NewListing(&wigeonstep.VMList{}, w.now)
	case len(w.seen) <= lag:
		return nil
	}
	list := *w.seen[len(w.seen)-1-lag]
	if w.listFault == "stale" {
		list.Age = 2 * wigeonpool.MaxListAge
	}
	return wigeonpool.NewListing(&list, w.now)
}

// round is what wigeoncontrol does in one round, with a possible death before and after each step.
func (w *world) round(d *daemon) {
	fleet := wigeonpool.NewFleet(w.state.View(), w.now, wigeonstep.DataCentreName(d.centre), wigeonpool.Observations{
		Listing: w.listing(), Loads: w.loads, Reach: w.reach, Confirmed: d.confirmed,
	})
	plan := d.pools.Plan(fleet)
	plan.Append(d.maintenance.Plan(fleet))
	for _, entry := range plan.Entries {
		if w.dies(d) {
			return
		}
		before := w.state.View()
		if verdict := w.append(d.session, entry); verdict.Accepted {
			w.count(entry.GetVmTransition(), before)
		}
		if w.dies(d) {
			return
		}
	}
	for _, action := range plan.Actions {
		if w.dies(d) {
			return
		}
		if w.call(action) {
			if w.dies(d) {
				return
			}
			d.confirmed[action] = w.now
		}
	}
}

func (w *world) count(t *wigeonwire.VMTransition, before *wigeonstate.View) {
	if t.GetPool() != "" && before.VMs[wigeonstep.VMID(t.GetVm())].Pool != wigeonstep.PoolName(t.GetPool()) {
		w.stats.moves++
	}
	if t.GetTo() == wigeonwire.Phase_PHASE_FAILED || t.GetTo() == wigeonwire.Phase_PHASE_GONE {
		w.stats.lost++
	}
}

func (w *world) dies(d *daemon) bool {
	w.steps++
	if w.steps-1 != w.dieAt {
		return false
	}
	w.restart(d)
	return true
}

// call is the platform's side of an action. It refuses epochs below the highest that it has seen.
func (w *world) call(action wigeonpool.Action) bool {
	m := w.truth[action.VM]
	if m == nil || action.Epoch < m.fence {
		return false
	}
	switch action.Kind {
	case wigeonpool.ActionProbe:
		return m.Up && !m.dead
	case wigeonpool.ActionDrain:
		m.draining = true
	case wigeonpool.ActionCheckpoint:
		m.checkpoints++
		m.busyUntil = w.now
	case wigeonpool.ActionAssign:
		if !m.draining && m.Pool != action.Pool {
			return false
		}
		m.Pool, m.draining = action.Pool, false
	case wigeonpool.ActionReboot:
		if m.rebootEpoch == action.Epoch {
			break
		}
		if m.Up && !m.draining {
			return false
		}
		w.c.Assert(!m.dead && w.now.Before(m.busyUntil), qt.IsFalse, qt.Commentf("VM %s is rebooted while work runs on it", action.VM))
		m.reboots++
		m.rebootEpoch, m.Up, m.upAt = action.Epoch, false, w.now.Add(rebootTime)
	}
	m.fence = action.Epoch
	return true
}

func (w *world) measure() {
	view := w.state.View()
	w.stats.seconds++
	for _, s := range view.Services {
		pool := view.Pools[s.Document.Pool]
		lost, unplanned := 0, 0
		for _, vm := range pool {
			m := w.truth[vm.ID]
			broken := m == nil || m.dead || m.neverBack || vm.Phase == wigeonwire.Phase_PHASE_FAILED || (vm.InService() && !m.Up) ||
				(vm.Phase == wigeonwire.Phase_PHASE_VERIFYING && vm.Wave == "")
			if broken {
				unplanned++
			}
			if broken || !vm.InService() || !m.Up {
				lost++
			}
		}
		budget := s.Document.Availability.MaxUnavailableWorkers
		if lost > budget && unplanned <= budget {
			w.stats.breaches++
			if unplanned < 2 {
				w.stats.breachesBySingle++
			}
			w.stats.worst = max(w.stats.worst, lost-budget)
		}
		w.stats.held += max(0, len(pool)-lost-s.Document.Capacity.Workers)
	}
}

// kill makes VMs fail for good.
func (w *world) kill(ids ...wigeonstep.VMID) {
	for _, id := range ids {
		w.truth[id].dead, w.truth[id].Up = true, false
	}
}

// maintained reports whether every VM of the pool that works has done a wave.
func (w *world) maintained(pool string) bool {
	vms := w.state.View().Pools[wigeonstep.PoolName(pool)]
	for _, vm := range vms {
		if m := w.truth[vm.ID]; vm.LastWave == "" && m != nil && !m.dead && !m.neverBack {
			return false
		}
	}
	return len(vms) > 0
}

func observeEntry(vm *wigeonstep.ListedVM) *wigeonwire.Entry {
	return &wigeonwire.Entry{Body: &wigeonwire.Entry_VmObserve{VmObserve: &wigeonwire.VMObserve{
		Vm: string(vm.ID), DataCentre: string(vm.DataCentre), Rack: string(vm.Rack), Pool: string(vm.Pool), Address: vm.Address,
		Shape: &wigeonwire.Shape{
			Cores: uint32(vm.Shape.Cores), MemoryGb: uint32(vm.Shape.MemoryGB), Accelerators: uint32(vm.Shape.Accelerators),
			Slots: uint32(vm.Shape.Slots), Connections: uint32(vm.Shape.Connections),
		},
	}}}
}

func waveEntry(pool string) *wigeonwire.Entry {
	return &wigeonwire.Entry{Body: &wigeonwire.Entry_WaveStart{WaveStart: &wigeonwire.WaveStart{Wave: pool + "-1", Pool: pool}}}
}
