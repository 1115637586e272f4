package wigeonreplay

import (
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonpool"
)

// machine is the actual state of a VM and its worker. The state recorded in the fold may differ from it.
type machine struct {
	wigeonstep.ListedVM
	// crashed is set from a failure event until the VM returns, draining from a drain action until the VM is assigned to a
	// pool.
	crashed, draining bool
	// rebootEnd is the time at which the current reboot ends.
	rebootEnd time.Duration
	// fence is the highest epoch of an accepted action other than a probe.
	fence wigeonstep.VMEpoch
	// rebootEpoch is the epoch of the last reboot. A repeated reboot action of this epoch does nothing.
	rebootEpoch wigeonstep.VMEpoch
	tasks       []*task
	// reboots counts the reboots of each wave.
	reboots map[wigeonstep.WaveID]int
}

// task is work that occupies a slot of a worker.
type task struct {
	work    *work
	machine *machine
	started time.Duration
	// stopped is set when the task is stopped before its end.
	stopped bool
}

func (d *driver) addMachines() {
	shape := wigeonstep.Shape{
		Cores: d.trace.Shape.Cores, MemoryGB: d.trace.Shape.MemoryGB, Accelerators: d.trace.Shape.Accelerators,
		Slots: d.trace.Shape.Slots, Connections: d.trace.Shape.Connections,
	}
	d.poolNames = []wigeonstep.PoolName{wigeonstep.SparePool}
	for _, r := range d.trace.Racks {
		for n, id := range d.trace.racks[rackKey{r.DataCentre, r.Rack}] {
			d.machines[id] = &machine{
				ListedVM: wigeonstep.ListedVM{
					ID: id, DataCentre: r.DataCentre, Rack: r.Rack, Pool: r.Pools[n], Address: string(id) + ":1", Shape: shape, Up: true,
				},
				reboots: map[wigeonstep.WaveID]int{},
			}
			d.vmIDs = append(d.vmIDs, id)
			d.poolNames = append(d.poolNames, r.Pools[n])
		}
	}
	slices.Sort(d.poolNames)
	d.poolNames = slices.Compact(d.poolNames)
}

func (m *machine) available() bool { return m.Up && !m.crashed }

// finishReboots brings the VMs back up whose reboot time has passed.
func (d *driver) finishReboots() {
	for _, id := range d.vmIDs {
		if m := d.machines[id]; !m.Up && !m.crashed && d.now >= m.rebootEnd {
			m.Up = true
		}
	}
}

// recordVMList appends the platform's current VM list to the recent lists, so that the control daemons can read the one
// from ListLagS seconds ago.
func (d *driver) recordVMList() {
	list := &wigeonstep.VMList{Pools: d.poolNames, Age: time.Duration(d.trace.ListLagS) * time.Second}
	for _, id := range d.vmIDs {
		m := d.machines[id]
		listed := m.ListedVM
		listed.Leaving, listed.Up = m.draining, m.available()
		list.VMs = append(list.VMs, listed)
	}
	d.vmLists = append(d.vmLists, list)
	if keep := d.trace.ListLagS + 1; len(d.vmLists) > keep {
		d.vmLists = d.vmLists[len(d.vmLists)-keep:]
	}
}

// failMachine takes the machine down. Whether its tasks completed is unknown to their entry processes.
func (d *driver) failMachine(m *machine) {
	m.crashed, m.Up = true, false
	d.stopTasks(m, wigeonstep.BackendOutcomeUnknown)
}

// restoreMachine brings a failed machine back up.
func (d *driver) restoreMachine(m *machine) { m.crashed, m.Up = false, true }

// stopTasks stops all tasks of the machine before their end. Their entry processes receive the verdict.
func (d *driver) stopTasks(m *machine, verdict wigeonstep.BackendVerdict) {
	tasks := m.tasks
	m.tasks = nil
	for _, t := range tasks {
		t.stopped = true
		if verdict.NotRun() {
			// Only a checkpoint stops tasks with such a verdict. It preserves their progress, so the next run needs only the
			// remaining time.
			t.work.runTime = max(t.work.runTime-(d.now-t.started), time.Millisecond)
			t.work.undoRun()
		}
		d.schedule(messageLatency, func() { t.work.handleResult(wigeonstep.BackendResult{Verdict: verdict}) })
	}
}

// serve handles a request on the worker. The result is delivered by work.handleResult.
func (m *machine) serve(d *driver, w *work, epoch wigeonstep.VMEpoch) {
	reply := func(verdict wigeonstep.BackendVerdict) {
		d.schedule(messageLatency, func() {
			w.handleResult(wigeonstep.BackendResult{Verdict: verdict, Leaving: verdict == wigeonstep.BackendLeaving})
		})
	}
	switch {
	case !m.available() || !d.connected(w.core.dataCentre, m.DataCentre):
		reply(wigeonstep.BackendNotSent)
	case epoch < m.fence || m.draining:
		reply(wigeonstep.BackendLeaving)
	case len(m.tasks) >= m.Shape.Slots:
		reply(wigeonstep.BackendBusy)
	default:
		t := &task{work: w, machine: m, started: d.now}
		m.tasks = append(m.tasks, t)
		w.recordRun()
		d.schedule(w.runTime, func() {
			if t.stopped {
				return
			}
			m.tasks = slices.DeleteFunc(m.tasks, func(o *task) bool { return o == t })
			w.stats.completed++
			d.schedule(messageLatency, func() { w.handleResult(wigeonstep.BackendResult{Verdict: wigeonstep.BackendAnswered, Status: 200}) })
		})
	}
}

// handleAction performs an action on the platform and reports whether it succeeded. It refuses actions whose epoch is
// below the highest one accepted for the VM, the assignment of a VM to another pool before it is draining, and the reboot
// of a VM that is up and not draining.
func (d *driver) handleAction(action wigeonpool.Action) bool {
	m := d.machines[action.VM]
	if m == nil || action.Epoch < m.fence {
		return false
	}
	switch action.Kind {
	case wigeonpool.ActionProbe:
		return m.available()
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
		d.counters.workCutOff += len(m.tasks)
		d.stopTasks(m, wigeonstep.BackendOutcomeUnknown)
		if vm := d.state.View().VMs[m.ID]; vm != nil && vm.Wave != "" {
			m.reboots[vm.Wave]++
		}
		m.rebootEpoch, m.Up, m.rebootEnd = action.Epoch, false, d.now+time.Duration(d.trace.RebootS)*time.Second
	}
	m.fence = action.Epoch
	return true
}
