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

// simulation runs the planners of several data centres on the real fold and a simulated platform, in steps of one
// second.
type simulation struct {
	t           testing.TB
	c           *qt.C
	random      *rand.Rand
	now         time.Time
	state       wigeonstate.State
	offset      wigeonstep.Offset
	sequences   map[uint64]uint64
	platformVMs map[wigeonstep.VMID]*simulatedVM
	ids         []wigeonstep.VMID
	pools       []wigeonstep.PoolName
	daemons     []*daemon
	entries     []*entryProcess
	// listHistory holds the actual VM lists of the last seconds; the planners see the one from listLag ago.
	listHistory []*wigeonstep.VMList
	// listFault is the fault of the VM list that the planners see: none if empty, else "empty" or "stale".
	listFault         string
	slotDemand        map[wigeonstep.PoolName]int
	connectionResults map[wigeonstep.VMID]wigeonpool.ConnectionResults
	// steps counts the points at which a daemon may be restarted, over all daemons. The daemon that reaches point
	// restartAt is restarted there; -1 means none.
	steps, restartAt int
	nextSession      uint64
	// clockSkew is the time by which the clocks of the sessions that append batches are ahead.
	clockSkew time.Duration
	stats     stats
}

// stats are the statistics by which policies are compared.
type stats struct {
	// budgetBreaches counts the seconds, summed over the pools, in which a budget was exceeded although unplanned losses
	// alone would not have exceeded it.
	budgetBreaches int
	// singleLossBreaches counts the budgetBreaches with at most one unplanned loss, which the reserve always covers.
	singleLossBreaches int
	// worstExcess is the largest number of VMs by which a budget was exceeded in a budget breach.
	worstExcess int
	moves       int
	// vmsLost counts the accepted transitions of VMs to failed or gone.
	vmsLost int
	// surplusVMSeconds sums, over all seconds, the VMs in service beyond the workers that the documents ask for.
	surplusVMSeconds int
	seconds          int
}

// simulatedVM is the actual state of a VM on the platform, as opposed to its state in the view.
type simulatedVM struct {
	wigeonstep.ListedVM
	// failed VMs are down for good. VMs with staysDown do not come back from a reboot. draining VMs are those that the
	// platform drains.
	failed, staysDown, draining bool
	// unlisted VMs work but are missing from the VM list.
	unlisted                              bool
	upAt                                  time.Time
	busyUntil                             time.Time
	highestEpoch, rebootEpoch, drainEpoch wigeonstep.VMEpoch
	reboots, checkpoints                  int
}

type entryProcess struct {
	session    uint64
	renewals   uint64
	dataCentre string
}

// daemon is a control daemon without its goroutines.
type daemon struct {
	session     uint64
	dataCentre  string
	pools       *wigeonpool.Planner
	maintenance *wigeonmaintenance.Planner
	confirmed   map[wigeonpool.Action]time.Time
	renewals    uint64
	cutOff      bool
	config      plannerConfigs
}

// plannerConfigs configures the planners of a daemon.
type plannerConfigs struct {
	pool        wigeonpool.Config
	maintenance wigeonmaintenance.Config
}

func newSimulation(t testing.TB, config plannerConfigs, dataCentres ...string) *simulation {
	w := &simulation{
		t: t, c: qt.New(t), random: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1_800_000_000, 0),
		sequences: map[uint64]uint64{}, platformVMs: map[wigeonstep.VMID]*simulatedVM{},
		slotDemand: map[wigeonstep.PoolName]int{}, connectionResults: map[wigeonstep.VMID]wigeonpool.ConnectionResults{},
		restartAt: -1, nextSession: 0xc0, pools: []wigeonstep.PoolName{wigeonstep.SparePool},
	}
	w.mustAppend(operatorSession, openEntry(wigeonwire.Role_ROLE_OPERATOR, dataCentres[0], "op"))
	for i, dataCentre := range dataCentres {
		for j := range 2 {
			e := &entryProcess{session: uint64(0xe0 + 2*i + j), dataCentre: dataCentre}
			w.mustAppend(e.session, openEntry(wigeonwire.Role_ROLE_ENTRY, dataCentre, fmt.Sprint("entry", i, j)))
			w.entries = append(w.entries, e)
		}
		w.startDaemon(dataCentre, config)
	}
	w.renewSessions()
	return w
}

func openEntry(role wigeonwire.Role, dataCentre, address string) *wigeonwire.Entry {
	return &wigeonwire.Entry{Body: &wigeonwire.Entry_SessionOpen{SessionOpen: &wigeonwire.SessionOpen{Role: role, DataCentre: dataCentre, PeerAddress: address}}}
}

func (w *simulation) startDaemon(dataCentre string, config plannerConfigs) *daemon {
	d := &daemon{dataCentre: dataCentre, config: config}
	w.restart(d)
	w.daemons = append(w.daemons, d)
	return d
}

// restart replaces the process of the daemon, which loses its state and opens a new session at the same address.
func (w *simulation) restart(d *daemon) {
	address := fmt.Sprintf("control%p", d)
	d.session, w.nextSession = w.nextSession, w.nextSession+1
	d.renewals = 0
	d.pools = wigeonpool.NewPlanner(d.config.pool)
	d.maintenance = wigeonmaintenance.NewPlanner(d.config.maintenance)
	d.confirmed = map[wigeonpool.Action]time.Time{}
	w.mustAppend(d.session, openEntry(wigeonwire.Role_ROLE_CONTROL, d.dataCentre, address))
}

func (w *simulation) appendEntry(session uint64, entry *wigeonwire.Entry) wigeonstate.Verdict {
	w.sequences[session]++
	payload, err := proto.Marshal(&wigeonwire.Batch{Session: session, Sequence: w.sequences[session], AtUnixMs: w.now.Add(w.clockSkew).UnixMilli(), Entries: []*wigeonwire.Entry{entry}})
	if err != nil {
		w.t.Fatal(err)
	}
	verdict := w.state.Apply(w.offset, payload)[0]
	w.offset++
	return verdict
}

func (w *simulation) mustAppend(session uint64, entry *wigeonwire.Entry) {
	if reason := w.appendEntry(session, entry).Reason; reason != "" {
		w.t.Helper()
		w.t.Fatalf("the fold refused %v: %s", entry, reason)
	}
}

// putDocument changes the document of the service that has the name of the pool, whose current version is version, 0 for
// none. otherKeys is appended to its YAML.
func (w *simulation) putDocument(pool string, version, workers int, otherKeys string) {
	w.c.Helper()
	content := fmt.Sprintf("service: %s\nteam: t-%s\npool: %s\ncapacity: {workers: %d, cores: 8}\nclasses: [{name: c}]\n%s", pool, pool, pool, workers, otherKeys)
	w.mustAppend(operatorSession, &wigeonwire.Entry{Body: &wigeonwire.Entry_DocumentChange{DocumentChange: &wigeonwire.DocumentChange{
		ChangeId: fmt.Sprint(pool, version), Service: pool, BaseVersion: uint64(version), Content: []byte(content), Operator: "test",
	}}})
}

// addVMs adds count VMs with the given number of cores each to the pool. It spreads them over the data centres and, in
// each, over racks of 4 VMs.
func (w *simulation) addVMs(pool string, count, cores int) {
	dataCentres := w.dataCentres()
	for i := range count {
		dataCentre := dataCentres[i%len(dataCentres)]
		n := i / len(dataCentres)
		w.addVM(pool, dataCentre, fmt.Sprintf("%s-%s-%d", dataCentre, pool, n%((count/len(dataCentres)+3)/4)), cores)
	}
}

func (w *simulation) addVM(pool, dataCentre, rack string, cores int) wigeonstep.VMID {
	id := wigeonstep.VMID(fmt.Sprintf("%s-%s-%03d", dataCentre, pool, len(w.ids)))
	w.platformVMs[id] = &simulatedVM{ListedVM: wigeonstep.ListedVM{
		ID: id, DataCentre: wigeonstep.DataCentreName(dataCentre), Rack: wigeonstep.RackName(rack), Pool: wigeonstep.PoolName(pool),
		Address: string(id) + ":1", Shape: wigeonstep.Shape{Cores: cores, MemoryGB: 2 * cores, Slots: 8, Connections: 64}, Up: true,
	}}
	w.ids = append(w.ids, id)
	if !slices.Contains(w.pools, wigeonstep.PoolName(pool)) {
		w.pools = append(w.pools, wigeonstep.PoolName(pool))
		slices.Sort(w.pools)
	}
	return id
}

func (w *simulation) dataCentres() []string {
	var dataCentres []string
	for _, e := range w.entries {
		if !slices.Contains(dataCentres, e.dataCentre) {
			dataCentres = append(dataCentres, e.dataCentre)
		}
	}
	return dataCentres
}

func (w *simulation) vmState(id wigeonstep.VMID) *wigeonstate.VM { return w.state.View().VMs[id] }

// run advances the simulation until done returns true, for at most limit, and reports whether done returned true.
func (w *simulation) run(limit time.Duration, done func() bool) bool {
	for end := w.now.Add(limit); w.now.Before(end); {
		w.advanceSecond()
		if done != nil && done() {
			return true
		}
	}
	return false
}

func (w *simulation) advanceSecond() {
	w.now = w.now.Add(time.Second)
	for _, id := range w.ids {
		if m := w.platformVMs[id]; m != nil && !m.Up && !m.failed && !m.staysDown && !w.now.Before(m.upAt) {
			m.Up = true
		}
	}
	w.listHistory = append(w.listHistory, w.actualVMList())
	if keep := int(listLag/time.Second) + 1; len(w.listHistory) > keep {
		w.listHistory = w.listHistory[len(w.listHistory)-keep:]
	}
	if w.now.Unix()%2 == 0 {
		w.renewSessions()
	}
	for _, d := range w.daemons {
		if !d.cutOff {
			w.planRound(d)
		}
	}
	w.recordStats()
}

func (w *simulation) actualVMList() *wigeonstep.VMList {
	list := &wigeonstep.VMList{Pools: w.pools, Age: listLag}
	for _, id := range w.ids {
		if m := w.platformVMs[id]; m != nil && !m.unlisted {
			listed := m.ListedVM
			listed.Leaving = listed.Leaving || m.draining
			listed.Up = m.Up && !m.failed
			list.VMs = append(list.VMs, listed)
		}
	}
	return list
}

func (w *simulation) renewSessions() {
	var busy []string
	view := w.state.View()
	for _, id := range w.ids {
		vm, m := view.VMs[id], w.platformVMs[id]
		if vm == nil || m == nil || vm.Phase != wigeonwire.Phase_PHASE_DRAINING {
			continue
		}
		if m.drainEpoch != vm.Epoch {
			m.drainEpoch = vm.Epoch
			if m.busyUntil.Before(w.now) {
				m.busyUntil = w.now.Add(time.Duration(5+w.random.IntN(30)) * time.Second)
			}
		}
		if w.now.Before(m.busyUntil) && !m.failed {
			busy = append(busy, string(id))
		}
	}
	for _, e := range w.entries {
		e.renewals++
		w.mustAppend(e.session, &wigeonwire.Entry{Body: &wigeonwire.Entry_SessionRenew{SessionRenew: &wigeonwire.SessionRenew{
			Renewal: e.renewals, AppliedOffset: uint64(w.offset) - 1, Ready: true, BusyVms: busy,
		}}})
	}
	for _, d := range w.daemons {
		if !d.cutOff {
			d.renewals++
			w.appendEntry(d.session, &wigeonwire.Entry{Body: &wigeonwire.Entry_SessionRenew{SessionRenew: &wigeonwire.SessionRenew{Renewal: d.renewals, AppliedOffset: uint64(w.offset) - 1}}})
		}
	}
}

// shownListing returns the VM list that the planners see, with the lag and the fault of the list.
func (w *simulation) shownListing() *wigeonpool.Listing {
	lag := int(listLag / time.Second)
	switch {
	case w.listFault == "empty":
		return wigeonpool.NewListing(&wigeonstep.VMList{}, w.now)
	case len(w.listHistory) <= lag:
		return nil
	}
	list := *w.listHistory[len(w.listHistory)-1-lag]
	if w.listFault == "stale" {
		list.Age = 2 * wigeonpool.MaxListAge
	}
	return wigeonpool.NewListing(&list, w.now)
}

// planRound plans one round like the daemon of wigeoncontrol and carries out the plan at once. The daemon may be
// restarted before and after each proposal and action.
func (w *simulation) planRound(d *daemon) {
	fleet := wigeonpool.NewFleet(w.state.View(), w.now, wigeonstep.DataCentreName(d.dataCentre), wigeonpool.Observations{
		Listing: w.shownListing(), SlotDemand: w.slotDemand, ConnectionResults: w.connectionResults, Confirmed: d.confirmed,
	})
	plan := d.pools.Plan(fleet)
	plan.Append(d.maintenance.Plan(fleet))
	for _, entry := range plan.Entries {
		if w.restartIfDue(d) {
			return
		}
		before := w.state.View()
		if verdict := w.appendEntry(d.session, entry); verdict.Accepted {
			w.countTransition(entry.GetVmTransition(), before)
		}
		if w.restartIfDue(d) {
			return
		}
	}
	for _, action := range plan.Actions {
		if w.restartIfDue(d) {
			return
		}
		if w.applyAction(action) {
			if w.restartIfDue(d) {
				return
			}
			d.confirmed[action] = w.now
		}
	}
}

func (w *simulation) countTransition(t *wigeonwire.VMTransition, before *wigeonstate.View) {
	if t.GetPool() != "" && before.VMs[wigeonstep.VMID(t.GetVm())].Pool != wigeonstep.PoolName(t.GetPool()) {
		w.stats.moves++
	}
	if t.GetTo() == wigeonwire.Phase_PHASE_FAILED || t.GetTo() == wigeonwire.Phase_PHASE_GONE {
		w.stats.vmsLost++
	}
}

// restartIfDue counts a step and reports whether the daemon was restarted in it.
func (w *simulation) restartIfDue(d *daemon) bool {
	w.steps++
	if w.steps-1 != w.restartAt {
		return false
	}
	w.restart(d)
	return true
}

// applyAction simulates the platform's handling of an action and reports whether the action succeeded. The platform
// refuses epochs below the highest that it has seen.
func (w *simulation) applyAction(action wigeonpool.Action) bool {
	m := w.platformVMs[action.VM]
	if m == nil || action.Epoch < m.highestEpoch {
		return false
	}
	switch action.Kind {
	case wigeonpool.ActionProbe:
		return m.Up && !m.failed
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
		w.c.Assert(!m.failed && w.now.Before(m.busyUntil), qt.IsFalse, qt.Commentf("VM %s is rebooted while work runs on it", action.VM))
		m.reboots++
		m.rebootEpoch, m.Up, m.upAt = action.Epoch, false, w.now.Add(rebootTime)
	}
	m.highestEpoch = action.Epoch
	return true
}

func (w *simulation) recordStats() {
	view := w.state.View()
	w.stats.seconds++
	for _, s := range view.Services {
		pool := view.Pools[s.Document.Pool]
		lost, unplanned := 0, 0
		for _, vm := range pool {
			m := w.platformVMs[vm.ID]
			down := m == nil || m.failed || m.staysDown || vm.Phase == wigeonwire.Phase_PHASE_FAILED || (vm.InService() && !m.Up) ||
				(vm.Phase == wigeonwire.Phase_PHASE_VERIFYING && vm.Wave == "")
			if down {
				unplanned++
			}
			if down || !vm.InService() || !m.Up {
				lost++
			}
		}
		budget := s.Document.Availability.MaxUnavailableWorkers
		if lost > budget && unplanned <= budget {
			w.stats.budgetBreaches++
			if unplanned < 2 {
				w.stats.singleLossBreaches++
			}
			w.stats.worstExcess = max(w.stats.worstExcess, lost-budget)
		}
		w.stats.surplusVMSeconds += max(0, len(pool)-lost-s.Document.Capacity.Workers)
	}
}

// failVMs makes VMs fail permanently.
func (w *simulation) failVMs(ids ...wigeonstep.VMID) {
	for _, id := range ids {
		w.platformVMs[id].failed, w.platformVMs[id].Up = true, false
	}
}

// poolMaintained reports whether every VM of the pool that still works has been maintained in a wave.
func (w *simulation) poolMaintained(pool string) bool {
	vms := w.state.View().Pools[wigeonstep.PoolName(pool)]
	for _, vm := range vms {
		if m := w.platformVMs[vm.ID]; vm.LastWave == "" && m != nil && !m.failed && !m.staysDown {
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
