package wigeonreplay

import (
	"maps"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// waveRun is what became of one due wave.
type waveRun struct {
	id      wigeonstep.WaveID
	pool    wigeonstep.PoolName
	started time.Duration
	// members are the VMs of the pool when the wave started.
	members []wigeonstep.VMID
	took    time.Duration
	ended   bool
	// missed counts members that still worked in the pool at the end of the wave and were not maintained.
	missed int
}

// measured holds the counts of a replay.
type measured struct {
	moves, movesBefore              int
	workCutOff                      int
	ranAfterRefusal, ranAfterCancel int
	changesAccepted, changesRefused int
	changesOfBase                   map[changeBase]int
	racesWon                        int
	inForce                         time.Duration
	inForceKnown                    bool
	// breachS counts pool seconds in which a budget was exceeded that the unplanned losses alone would have kept.
	breachS int
	// unplannedS counts pool seconds in which unplanned losses alone exceeded a budget.
	unplannedS int
	// belowS counts pool seconds with fewer workers in service than the documents ask for.
	belowS int
	// spareS and usedS are worker seconds: in service beyond what the documents ask for, and busy. idleS is all that is not busy.
	spareS, usedS, idleS float64
	versions             map[wigeonstep.ServiceName]wigeonstep.Version
	reverted             int
	lostJobs             int
}

type changeBase struct {
	service wigeonstep.ServiceName
	base    int
}

func (m *measured) begin(d *driver) {
	m.movesBefore = m.moves
	m.breachS, m.unplannedS, m.belowS, m.spareS, m.usedS, m.idleS = 0, 0, 0, 0, 0, 0
	m.versions = map[wigeonstep.ServiceName]wigeonstep.Version{}
	m.second(d)
}

func (m *measured) end(d *driver) { m.lostJobs = d.lostJobs() }

// accepted counts two accepted changes of one base.
func (m *measured) accepted(service wigeonstep.ServiceName, base int) {
	if m.changesOfBase == nil {
		m.changesOfBase = map[changeBase]int{}
	}
	m.changesOfBase[changeBase{service, base}]++
	if m.changesOfBase[changeBase{service, base}] > 1 {
		m.racesWon++
	}
}

// second takes the measures of one second.
func (m *measured) second(d *driver) {
	view := d.state.View()
	for _, p := range needsOf(view) {
		m.pool(d, view, p)
	}
	for name, s := range view.Services {
		if s.Version < m.versions[name] {
			m.reverted++
		}
		if m.versions != nil {
			m.versions[name] = s.Version
		}
	}
	d.watchWaves(view)
}

// poolNeed is what the documents of one pool ask for together.
type poolNeed struct {
	pool                    wigeonstep.PoolName
	workers, maxUnavailable int
}

// needsOf sums the documents by pool, in the order of their names, so that sums of fractions are the same in every run.
func needsOf(view *wigeonstate.View) []*poolNeed {
	needs := map[wigeonstep.PoolName]*poolNeed{}
	var sorted []*poolNeed
	for _, name := range slices.Sorted(maps.Keys(view.Services)) {
		s := view.Services[name]
		document := s.Document
		need := needs[document.Pool]
		if need == nil {
			need = &poolNeed{pool: document.Pool, maxUnavailable: document.Availability.MaxUnavailableWorkers}
			needs[document.Pool] = need
			sorted = append(sorted, need)
		}
		need.workers += document.Capacity.Workers
		need.maxUnavailable = min(need.maxUnavailable, document.Availability.MaxUnavailableWorkers)
	}
	return sorted
}

// pool compares the true losses of a pool with its budget, and its workers with what it uses.
func (m *measured) pool(d *driver, view *wigeonstate.View, need *poolNeed) {
	lost, unplanned, serving := 0, 0, 0
	busySlots, slots := 0, 1
	for _, vm := range view.Pools[need.pool] {
		machine := d.machines[vm.ID]
		broken := machine.dead || vm.Phase == wigeonwire.Phase_PHASE_FAILED || (vm.InService() && !machine.works()) ||
			(vm.Phase == wigeonwire.Phase_PHASE_VERIFYING && vm.Wave == "")
		if broken {
			unplanned++
		}
		if broken || !vm.InService() {
			lost++
		} else {
			serving++
		}
		busySlots += len(machine.tasks)
		slots = vm.Shape.Slots
	}
	used := float64(busySlots) / float64(max(slots, 1))
	m.usedS += used
	m.spareS += float64(max(0, serving-need.workers))
	m.idleS += max(0, float64(serving)-used)
	if serving < need.workers {
		m.belowS++
	}
	switch {
	case unplanned > need.maxUnavailable:
		m.unplannedS++
	case lost > need.maxUnavailable:
		m.breachS++
	}
}

// watchWaves notes the end of each wave, and which of its VMs it left out.
func (d *driver) watchWaves(view *wigeonstate.View) {
	running := map[wigeonstep.WaveID]bool{}
	for _, w := range view.Waves {
		running[w.ID] = true
	}
	for _, w := range d.waves {
		if w.ended || running[w.id] {
			continue
		}
		w.ended, w.took = true, d.now-w.started
		for _, id := range w.members {
			vm, machine := view.VMs[id], d.machines[id]
			if vm != nil && vm.Pool == w.pool && vm.InService() && machine.works() && vm.LastWave != w.id {
				w.missed++
			}
		}
	}
}

// maintainedTwice counts VMs that were rebooted for maintenance more than once in the trace.
func (d *driver) maintainedTwice() int {
	n := 0
	for _, id := range d.ids {
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
