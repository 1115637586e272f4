package wigeonsoak

import (
	"math/rand/v2"
	"time"

	"github.com/wigeonstep/wigeonstep/platform/wigeonstandin"
)

const (
	// recutsPeriod is the average time between two entries of PlanRecuts.
	recutsPeriod = 1800 * time.Millisecond
	// minRecutDowntime bounds the time until the worker restarts from below, and soonRecutDowntime and maxRecutDowntime from above, each
	// for half of the restarts. wigeonshard assumes that no worker restarts within 250 ms.
	minRecutDowntime  = 300 * time.Millisecond
	soonRecutDowntime = 600 * time.Millisecond
	maxRecutDowntime  = 1300 * time.Millisecond
	// minCutAfter bounds the time from the return of the worker to its cut from below, and soonCutAfter and maxCutAfter from above,
	// each for half of the cuts.
	minCutAfter  = 20 * time.Millisecond
	soonCutAfter = 100 * time.Millisecond
	maxCutAfter  = 3 * time.Second
	// minCutFor and maxCutFor bound the length of the cut.
	minCutFor = 4 * time.Second
	maxCutFor = 14 * time.Second
	// lateRate is the share of late calls around a crash, maxLateBy the longest time by which they are late, and lateLead the time
	// before the crash from which on calls are late.
	lateRate  = 0.5
	maxLateBy = 12 * time.Second
	lateLead  = 250 * time.Millisecond
	// maxRecutWorkers bounds the workers that crash within recutSpread of each other.
	maxRecutWorkers = 3
	recutSpread     = 100 * time.Millisecond
	// againPercent is the share of workers that crash again during or soon after their cut.
	againPercent = 40
	// ownerFaultPercent is the share of the entries with signals to a process, which come between the crash and the cut.
	ownerFaultPercent = 35
	// maxRegisterDelay bounds the time after its return in which the list of workers does not show the restart.
	maxRegisterDelay = time.Second
	// recutsMaxLease is the longest lease that workers grant.
	recutsMaxLease = 6 * time.Second
	// recutsMilliCPU is the capacity of a worker, in thousandths of a core, which has room for the slow tasks.
	recutsMilliCPU = 64_000
	// slowClockRate is the rate of the clocks of some workers, the slowest that the platform allows.
	slowClockRate = 0.98
)

// PlanRecuts returns workers that crash silently, restart under their ID and are cut off soon after, sorted by start: several at a time
// and again, with late calls, and with signals to processes in between. It does not depend on the faults of Plan.
func PlanRecuts(seed uint64, period time.Duration, processes, workers int) []Fault {
	r := rand.New(rand.NewPCG(seed, 6)) //nolint:gosec // the plan of a seed has to be repeatable
	var plan []Fault
	for offset := randomDuration(r, 2*recutsPeriod); offset < period; offset += randomDuration(r, 2*recutsPeriod) {
		first := r.IntN(workers)
		base := randomRecut(r)
		for i := range min(1+r.IntN(maxRecutWorkers), workers) {
			f := base
			f.Offset, f.Target = offset+randomDuration(r, recutSpread), (first+i)%workers
			plan = append(plan, f)
			if r.IntN(100) < againPercent {
				again := randomRecut(r)
				again.Target = f.Target
				again.Offset = f.Offset + lateLead + f.ActiveFor + f.CutAfter + randomDuration(r, f.CutFor+time.Second)
				plan = append(plan, again)
			}
		}
		if r.IntN(100) < ownerFaultPercent {
			at := offset + lateLead + randomDuration(r, base.ActiveFor+base.CutAfter+time.Second)
			plan = append(plan, planSeries(r, at, processes, []Kind{KindKill, KindKill, KindTerm, KindPause})...)
		}
	}
	for i := range plan {
		if plan[i].Kind == KindPause {
			plan[i].ActiveFor = minCutFor
		}
	}
	return sortPlan(plan)
}

// randomRecut returns a fault of KindWorkerRecut without time and target. Calls are late in two thirds of them.
func randomRecut(r *rand.Rand) Fault {
	f := Fault{Kind: KindWorkerRecut, CutFor: minCutFor + randomDuration(r, maxCutFor-minCutFor)}
	f.ActiveFor = randomBetween(r, minRecutDowntime, soonRecutDowntime, maxRecutDowntime)
	f.CutAfter = randomBetween(r, minCutAfter, soonCutAfter, maxCutAfter)
	if r.IntN(3) > 0 {
		f.LinkFault = LinkFault{LateRate: lateRate, LateBy: minLateBy + randomDuration(r, maxLateBy-minLateBy)}
	}
	return f
}

// randomBetween returns a random duration from least on, which is below soon in half of the cases and below limit in the others.
func randomBetween(r *rand.Rand, least, soon, limit time.Duration) time.Duration {
	if r.IntN(2) == 0 {
		limit = soon
	}
	return least + randomDuration(r, limit-least)
}

// completionTimeout returns the time after the last fault within which every accepted job reaches its expected state. The last late
// call may only be executed maxLateBy after it.
func (s Settings) completionTimeout() time.Duration {
	if s.Recuts {
		return completionTimeout + maxLateBy
	}
	return completionTimeout
}

// maxLease returns the longest lease that workers grant; 0 stands for the usual one. A short one ends during more of the cuts.
func (s Settings) maxLease() time.Duration {
	if s.Recuts {
		return recutsMaxLease
	}
	return 0
}

// workerMilliCPU returns the capacity of a worker; 0 stands for the usual one.
func (s Settings) workerMilliCPU() int {
	if s.Recuts {
		return recutsMilliCPU
	}
	return 0
}

// clockRate returns the rate of the clock of worker i.
func (s *system) clockRate(i int) float64 {
	if s.settings.Recuts && i%2 == 1 {
		return slowClockRate
	}
	return 1
}

// restarted says how a worker restarts under its ID; the zero value is a worker that starts for the first time.
type restarted struct {
	former        *wigeonstandin.Worker
	registerDelay time.Duration
}

// recutWorker crashes a worker silently, restarts it under its ID and cuts it off for a time.
func (s *system) recutWorker(f Fault) {
	old, link, ok := s.beginRestart(f.Target)
	if !ok {
		return
	}
	link.SetFault(f.LinkFault)
	time.Sleep(lateLead)
	s.history.logEvent("worker=%s crashes silently", old.ID)
	link.Silence()
	old.Crash()
	time.Sleep(f.ActiveFor)
	w, err := s.startWorkerProcess(f.Target, old.ID, link, restarted{former: old, registerDelay: min(maxRegisterDelay, entryTTL-f.ActiveFor)})
	if err != nil {
		s.history.recordViolation("soak: restart worker: %v", err)
		return
	}
	s.endRestart(f.Target, w, link)
	s.history.logEvent("worker=%s is back", old.ID)
	time.Sleep(f.CutAfter)
	s.history.logEvent("worker=%s is cut off", old.ID)
	link.SetFault(LinkFault{})
	link.Cut(f.CutFor)
	s.history.logEvent("worker=%s is reachable", old.ID)
}
