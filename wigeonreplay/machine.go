package wigeonreplay

import (
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonpool"
)

// machine is the truth about one VM and its worker.
type machine struct {
	wigeonstep.ListedVM
	dead, draining bool
	upAt           time.Duration
	fence          wigeonstep.Epoch
	rebootEpoch    wigeonstep.Epoch
	tasks          []*task
	// reboots counts the reboots of each wave.
	reboots map[wigeonstep.WaveID]int
}

// task is work in a slot of a worker.
type task struct {
	work    *work
	machine *machine
	started time.Duration
	stopped bool
}

func (d *driver) addMachines() {
	shape := wigeonstep.Shape{
		Cores: d.trace.Shape.Cores, MemoryGB: d.trace.Shape.MemoryGB, Accelerators: d.trace.Shape.Accelerators,
		Slots: d.trace.Shape.Slots, Connections: d.trace.Shape.Connections,
	}
	d.pools = []wigeonstep.PoolName{wigeonstep.SparePool}
	for _, r := range d.trace.Racks {
		for n, id := range d.trace.racks[rackKey{r.DataCentre, r.Rack}] {
			d.machines[id] = &machine{
				ListedVM: wigeonstep.ListedVM{
					ID: id, DataCentre: r.DataCentre, Rack: r.Rack, Pool: r.Pools[n], Address: string(id) + ":1", Shape: shape, Up: true,
				},
				reboots: map[wigeonstep.WaveID]int{},
			}
			d.ids = append(d.ids, id)
			d.pools = append(d.pools, r.Pools[n])
		}
	}
	slices.Sort(d.pools)
	d.pools = slices.Compact(d.pools)
}

func (m *machine) works() bool { return m.Up && !m.dead }

// returnMachines ends reboots.
func (d *driver) returnMachines() {
	for _, id := range d.ids {
		if m := d.machines[id]; !m.Up && !m.dead && d.now >= m.upAt {
			m.Up = true
		}
	}
}

// takeList keeps the VM list of this second, so that the one that is read lags.
func (d *driver) takeList() {
	list := &wigeonstep.VMList{Pools: d.pools, Age: time.Duration(d.trace.ListLagS) * time.Second}
	for _, id := range d.ids {
		m := d.machines[id]
		listed := m.ListedVM
		listed.Leaving, listed.Up = m.draining, m.works()
		list.VMs = append(list.VMs, listed)
	}
	d.lists = append(d.lists, list)
	if keep := d.trace.ListLagS + 1; len(d.lists) > keep {
		d.lists = d.lists[len(d.lists)-keep:]
	}
}

// fail stops the machine and everything that runs on it.
func (d *driver) fail(m *machine) {
	m.dead, m.Up = true, false
	d.stopTasks(m, wigeonstep.BackendLost)
}

// restore brings a failed machine back.
func (d *driver) restore(m *machine) { m.dead, m.Up = false, true }

// stopTasks ends the work on the machine; its callers see the verdict.
func (d *driver) stopTasks(m *machine, verdict wigeonstep.BackendVerdict) {
	tasks := m.tasks
	m.tasks = nil
	for _, t := range tasks {
		t.stopped = true
		if verdict.NotRun() {
			// A checkpoint keeps what was done.
			t.work.run = max(t.work.run-(d.now-t.started), time.Millisecond)
			t.work.undo()
		}
		d.after(network, func() { t.work.answer(wigeonstep.BackendResult{Verdict: verdict}) })
	}
}

// serve is the worker's side of a request. The answer comes by work.answer.
func (m *machine) serve(d *driver, w *work, epoch wigeonstep.Epoch) {
	reply := func(verdict wigeonstep.BackendVerdict) {
		d.after(network, func() {
			w.answer(wigeonstep.BackendResult{Verdict: verdict, Leaving: verdict == wigeonstep.BackendLeaving})
		})
	}
	switch {
	case !m.works() || !d.connected(w.entry.dataCentre, m.DataCentre):
		reply(wigeonstep.BackendNotSent)
	case epoch < m.fence || m.draining:
		reply(wigeonstep.BackendLeaving)
	case len(m.tasks) >= m.Shape.Slots:
		reply(wigeonstep.BackendBusy)
	default:
		t := &task{work: w, machine: m, started: d.now}
		m.tasks = append(m.tasks, t)
		w.began()
		d.after(w.run, func() {
			if t.stopped {
				return
			}
			m.tasks = slices.DeleteFunc(m.tasks, func(o *task) bool { return o == t })
			w.stream.completed++
			d.after(network, func() { w.answer(wigeonstep.BackendResult{Verdict: wigeonstep.BackendWhole, Status: 200}) })
		})
	}
}

// call is the platform's side of an action. It refuses epochs below the highest that it has seen.
func (d *driver) call(action wigeonpool.Action) bool {
	m := d.machines[action.VM]
	if m == nil || action.Epoch < m.fence {
		return false
	}
	switch action.Kind {
	case wigeonpool.ActionProbe:
		return m.works()
	case wigeonpool.ActionDrain:
		m.draining = true
	case wigeonpool.ActionCheckpoint:
		d.stopTasks(m, wigeonstep.BackendLeaving)
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
		d.measured.workCutOff += len(m.tasks)
		d.stopTasks(m, wigeonstep.BackendLost)
		if vm := d.state.View().VMs[m.ID]; vm != nil && vm.Wave != "" {
			m.reboots[vm.Wave]++
		}
		m.rebootEpoch, m.Up, m.upAt = action.Epoch, false, d.now+time.Duration(d.trace.RebootS)*time.Second
	}
	m.fence = action.Epoch
	return true
}
