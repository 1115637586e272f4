package wigeonreplay

import (
	"maps"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// waveProgress records the course of a maintenance wave that an event started.
type waveProgress struct {
	id      wigeonstep.WaveID
	pool    wigeonstep.PoolName
	started time.Duration
	// members are the VMs of the pool when the wave started.
	members []wigeonstep.VMID
	// elapsed is the duration of the wave. It is zero until the wave has ended.
	elapsed time.Duration
	ended   bool
	// notMaintained counts the members that were in service in the pool at the end of the wave and that the wave had not
	// maintained.
	notMaintained int
}

// counters holds the counts and times measured during a replay.
type counters struct {
	moves, movesAtStart int
	// workCutOff counts the tasks that planned reboots interrupted.
	workCutOff                      int
	ranAfterRefusal, ranAfterCancel int
	changesAccepted, changesRefused int
	// acceptedByBase counts the accepted changes of each service and base version, extraAccepts those beyond the first of the
	// same base version.
	acceptedByBase map[changeBase]int
	extraAccepts   int
	// slowestChange is the longest time from the submission of a change until it was in force. It is valid if changeInForce.
	slowestChange time.Duration
	changeInForce bool
	// budgetExceededS counts pool seconds in which the budget was exceeded, but not by unplanned losses alone.
	budgetExceededS int
	// unplannedExceededS counts pool seconds in which unplanned losses alone exceeded the budget.
	unplannedExceededS int
	// belowCapacityS counts pool seconds with fewer workers in service than the documents require.
	belowCapacityS int
	// spareWorkerS, usedWorkerS and idleWorkerS are worker-seconds. spareWorkerS counts the workers in service beyond those
	// that the documents require, usedWorkerS the busy slots divided by the slots of a worker, and idleWorkerS the workers
	// in service less the used ones.
	spareWorkerS, usedWorkerS, idleWorkerS float64
	// lastVersions holds the document versions of the previous sample. documentsReverted counts how often a document was
	// sampled with a lower version than in the previous sample.
	lastVersions      map[wigeonstep.ServiceName]wigeonstep.DocumentVersion
	documentsReverted int
	lostJobs          int
}

type changeBase struct {
	service wigeonstep.ServiceName
	base    int
}

// startMeasuring discards the moves and the pool samples of the warm-up and takes the first sample of the trace.
func (m *counters) startMeasuring(d *driver) {
	m.movesAtStart = m.moves
	m.budgetExceededS, m.unplannedExceededS, m.belowCapacityS, m.spareWorkerS, m.usedWorkerS, m.idleWorkerS = 0, 0, 0, 0, 0, 0
	m.lastVersions = map[wigeonstep.ServiceName]wigeonstep.DocumentVersion{}
	m.sampleSecond(d)
}

func (m *counters) finishMeasuring(d *driver) { m.lostJobs = d.countLostJobs() }

// recordAcceptedChange counts each accepted change beyond the first of the same base version.
func (m *counters) recordAcceptedChange(service wigeonstep.ServiceName, base int) {
	if m.acceptedByBase == nil {
		m.acceptedByBase = map[changeBase]int{}
	}
	m.acceptedByBase[changeBase{service, base}]++
	if m.acceptedByBase[changeBase{service, base}] > 1 {
		m.extraAccepts++
	}
}

// sampleSecond adds one second of the current state to the counters.
func (m *counters) sampleSecond(d *driver) {
	view := d.state.View()
	for _, p := range poolRequirements(view) {
		m.samplePool(d, view, p)
	}
	for name, s := range view.Services {
		if s.Version < m.lastVersions[name] {
			m.documentsReverted++
		}
		if m.lastVersions != nil {
			m.lastVersions[name] = s.Version
		}
	}
	d.recordWaveEnds(view)
}

// poolRequirement combines the documents of a pool: the sum of their workers and the smallest of their disruption budgets.
type poolRequirement struct {
	pool                    wigeonstep.PoolName
	workers, maxUnavailable int
}

// poolRequirements combines the documents by pool. The pools are in the order of the service names, so that the
// floating-point sums are the same in every replay.
func poolRequirements(view *wigeonstate.View) []*poolRequirement {
	requirements := map[wigeonstep.PoolName]*poolRequirement{}
	var sorted []*poolRequirement
	for _, name := range slices.Sorted(maps.Keys(view.Services)) {
		s := view.Services[name]
		document := s.Document
		requirement := requirements[document.Pool]
		if requirement == nil {
			requirement = &poolRequirement{pool: document.Pool, maxUnavailable: document.Availability.MaxUnavailableWorkers}
			requirements[document.Pool] = requirement
			sorted = append(sorted, requirement)
		}
		requirement.workers += document.Capacity.Workers
		requirement.maxUnavailable = min(requirement.maxUnavailable, document.Availability.MaxUnavailableWorkers)
	}
	return sorted
}

// samplePool compares the actual losses of the pool with its disruption budget, and its workers in service with the
// required and the busy ones.
func (m *counters) samplePool(d *driver, view *wigeonstate.View, required *poolRequirement) {
	lost, unplanned, serving := 0, 0, 0
	busySlots, slots := 0, 1
	for _, vm := range view.Pools[required.pool] {
		machine := d.machines[vm.ID]
		lostUnplanned := machine.crashed || vm.Phase == wigeonwire.Phase_PHASE_FAILED || (vm.InService() && !machine.available()) ||
			(vm.Phase == wigeonwire.Phase_PHASE_VERIFYING && vm.Wave == "")
		if lostUnplanned {
			unplanned++
		}
		if lostUnplanned || !vm.InService() {
			lost++
		} else {
			serving++
		}
		busySlots += len(machine.tasks)
		slots = vm.Shape.Slots
	}
	used := float64(busySlots) / float64(max(slots, 1))
	m.usedWorkerS += used
	m.spareWorkerS += float64(max(0, serving-required.workers))
	m.idleWorkerS += max(0, float64(serving)-used)
	if serving < required.workers {
		m.belowCapacityS++
	}
	switch {
	case unplanned > required.maxUnavailable:
		m.unplannedExceededS++
	case lost > required.maxUnavailable:
		m.budgetExceededS++
	}
}

// recordWaveEnds records the duration of each wave that has ended and counts the VMs that it did not maintain.
func (d *driver) recordWaveEnds(view *wigeonstate.View) {
	running := map[wigeonstep.WaveID]bool{}
	for _, w := range view.Waves {
		running[w.ID] = true
	}
	for _, w := range d.waves {
		if w.ended || running[w.id] {
			continue
		}
		w.ended, w.elapsed = true, d.now-w.started
		for _, id := range w.members {
			vm, machine := view.VMs[id], d.machines[id]
			if vm != nil && vm.Pool == w.pool && vm.InService() && machine.available() && vm.LastWave != w.id {
				w.notMaintained++
			}
		}
	}
}

// maintainedTwice returns the number of VMs that waves rebooted more than once in the replay.
func (d *driver) maintainedTwice() int {
	n := 0
	for _, id := range d.vmIDs {
		reboots := 0
		for _, count := range d.machines[id].reboots {
			reboots += count
		}
		if reboots > 1 {
			n++
		}
	}
	return n
}
