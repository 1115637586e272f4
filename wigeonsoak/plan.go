package wigeonsoak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the kind of a fault.
type Kind string

const (
	// KindKill sends SIGKILL to a process, which is then restarted.
	KindKill Kind = "kill"
	// KindTerm sends SIGTERM to a process, which is restarted after its exit.
	KindTerm Kind = "term"
	// KindPause suspends a process with SIGSTOP and resumes it with SIGCONT.
	KindPause Kind = "pause"
	// KindReload sends SIGHUP to a process.
	KindReload Kind = "reload"
	// KindPowerLoss sends SIGKILL to all processes at once.
	KindPowerLoss Kind = "power_loss"
	// KindStoreLink applies a link fault between a process and the store.
	KindStoreLink Kind = "store_link"
	// KindWorkerLink applies a link fault between all processes and a worker.
	KindWorkerLink Kind = "worker_link"
	// KindStoreReset resets the open connections of a process to the store.
	KindStoreReset Kind = "store_reset"
	// KindWorkerReset resets the open connections of all processes to a worker.
	KindWorkerReset Kind = "worker_reset"
	// KindStoreDown makes the store fail every call.
	KindStoreDown Kind = "store_down"
	// KindAppendAnswersLost loses the answers to the next three appends, which take effect.
	KindAppendAnswersLost Kind = "answers_lost"
	// KindLogCompacted compacts the log: only the newest record of each key remains available.
	KindLogCompacted Kind = "history_gone"
	// KindWorkerCrash crashes a worker with all its task runs. A worker with a new ID replaces it.
	KindWorkerCrash Kind = "worker_crash"
	// KindConfigure stores a new version of the configuration.
	KindConfigure Kind = "configure"
	// KindWorkerRestart crashes a worker with all its task runs. It restarts under its ID and at its address.
	KindWorkerRestart Kind = "worker_restart"
	// KindWorkerMove crashes a worker with all its task runs. A worker with a new ID takes over its address at once, and it
	// restarts under its ID at another address.
	KindWorkerMove Kind = "worker_move"
	// KindWorkerRecut crashes a worker silently: open connections to it get no further answer and no sign of their end. It restarts
	// under its ID and at its address, and is cut off soon after.
	KindWorkerRecut Kind = "worker_recut"
	// KindWorkerResize lets the capacity of a worker shrink for a time.
	KindWorkerResize Kind = "worker_resize"
)

// planned reports whether a fault of the kind is planned work, during which every request has to be answered.
func (k Kind) planned() bool {
	return k == KindTerm || k == KindReload || k == KindConfigure || k == KindWorkerResize
}

// weightedKinds lists the kinds of faults for a random choice; a kind that is listed twice is twice as likely.
var weightedKinds = []Kind{
	KindKill, KindKill, KindTerm, KindTerm, KindPause, KindPause, KindReload, KindPowerLoss, KindStoreLink, KindStoreLink,
	KindWorkerLink, KindWorkerLink, KindStoreReset, KindWorkerReset, KindStoreDown, KindAppendAnswersLost, KindLogCompacted,
	KindWorkerCrash, KindConfigure,
}

// Fault is one injected fault.
type Fault struct {
	// Offset is the time from the start of the plan to the start of the fault. ActiveFor is the length of a pause, of a
	// link fault, of an outage of the store or of the time until a crashed worker restarts; other kinds ignore it.
	Offset, ActiveFor time.Duration
	Kind              Kind
	// Target is the index of a worker for the kinds that concern a worker, and of a process otherwise.
	Target int
	// LinkFault applies to KindStoreLink and KindWorkerLink, and to KindWorkerRecut until the cut; other kinds ignore it.
	LinkFault LinkFault
	// CutAfter and CutFor are the time from the restart of a worker to its cut, and the length of the cut, for KindWorkerRecut.
	CutAfter, CutFor time.Duration
	// Percent is the share of its capacity that is left to a worker by KindWorkerResize; other kinds ignore it.
	Percent int
}

// String returns the fault in the form in which a failed soak prints its plan.
func (f Fault) String() string {
	text := fmt.Sprintf("at=%s for=%s kind=%s target=%d link=%+v", f.Offset.Round(time.Millisecond), f.ActiveFor.Round(time.Millisecond), f.Kind, f.Target, f.LinkFault)
	if f.Kind == KindWorkerRecut {
		text += fmt.Sprintf(" cut_after=%s cut_for=%s", f.CutAfter.Round(time.Millisecond), f.CutFor.Round(time.Millisecond))
	}
	return text
}

const (
	// faultDurationRange is the range of random fault durations above their minimum.
	faultDurationRange = 5 * time.Second
	maxLinkDelay       = 300 * time.Millisecond
	// seriesPercent is the share of faults that are repeated as a series of the same kind, seriesInterval apart.
	seriesPercent  = 30
	seriesInterval = 700 * time.Millisecond
	// lossPeriod is the time in which one link loses packets on average, and maxLossRate the largest rate.
	lossPeriod  = 2 * time.Second
	maxLossRate = 0.3
	// livesPeriod, stopsPeriod and crashesPeriod are the average times between two entries of PlanLives, PlanStops and PlanCrashes.
	livesPeriod   = 900 * time.Millisecond
	stopsPeriod   = 1200 * time.Millisecond
	crashesPeriod = 700 * time.Millisecond
	// maxWorkerDowntime bounds the time until a crashed worker restarts under its ID.
	maxWorkerDowntime = 2500 * time.Millisecond
	// minLateness exceeds the time limit of an order to a worker, so that its caller has given up when the worker executes it.
	minLateness = 700 * time.Millisecond
	// latenessRange is the range of random delays above minLateness.
	latenessRange = 4 * time.Second
	// maxSeriesGap is below the time for which a stopping process serves, so that most series overlap with a drain.
	maxSeriesGap = 1500 * time.Millisecond
	// otherTargetPercent is the share of the further faults of a series whose target is chosen anew.
	otherTargetPercent = 30
)

// Plan returns the faults that a seed determines, sorted by start. They may overlap. The last one may start up to 1.5 s
// after the period, and its repetitions later.
func Plan(seed uint64, period time.Duration, processes, workers int) []Fault {
	r := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // the plan of a seed has to be repeatable
	var plan []Fault
	for offset := time.Duration(0); offset < period; {
		offset += time.Duration(r.Int64N(int64(1500 * time.Millisecond)))
		f := Fault{Offset: offset, ActiveFor: 200*time.Millisecond + time.Duration(r.Int64N(int64(faultDurationRange))), Kind: weightedKinds[r.IntN(len(weightedKinds))]}
		f.LinkFault = randomLinkFault(r)
		seriesLength := 1
		if r.IntN(100) < seriesPercent {
			seriesLength = 2 + r.IntN(2)
		}
		for i := range seriesLength {
			f.Offset = offset + time.Duration(i)*seriesInterval
			f.Target = r.IntN(processes)
			if f.Kind == KindWorkerLink || f.Kind == KindWorkerReset || f.Kind == KindWorkerCrash {
				f.Target = r.IntN(workers)
			}
			plan = append(plan, f)
		}
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.Offset - b.Offset) })
	return plan
}

// PlanLoss returns the loss of packets on links that a seed determines, sorted by start. It does not depend on the faults of
// Plan, so that the plan of a seed stays the same without loss.
func PlanLoss(seed uint64, period time.Duration, processes, workers int) []Fault {
	r := rand.New(rand.NewPCG(seed, 2)) //nolint:gosec // the plan of a seed has to be repeatable
	var plan []Fault
	for offset := time.Duration(0); offset < period; offset += time.Duration(r.Int64N(int64(2 * lossPeriod))) {
		f := Fault{Offset: offset, ActiveFor: time.Second + time.Duration(r.Int64N(int64(faultDurationRange))), Kind: KindStoreLink, Target: r.IntN(processes)}
		if r.IntN(2) == 0 {
			f.Kind, f.Target = KindWorkerLink, r.IntN(workers)
		}
		f.LinkFault.LossRate = maxLossRate * r.Float64()
		plan = append(plan, f)
	}
	return plan
}

// PlanLives returns faults around restarts, sorted by start: workers that restart under their ID at the same or another
// address, calls that a worker executes late, and series of signals and changes of the configuration that overlap on one
// process. It does not depend on the faults of Plan.
func PlanLives(seed uint64, period time.Duration, processes, workers int) []Fault {
	r := rand.New(rand.NewPCG(seed, 3)) //nolint:gosec // the plan of a seed has to be repeatable
	var plan []Fault
	for offset := randomDuration(r, 2*livesPeriod); offset < period; offset += randomDuration(r, 2*livesPeriod) {
		f := Fault{Offset: offset, Target: r.IntN(workers)}
		switch r.IntN(4) {
		case 0:
			f.Kind, f.ActiveFor = KindWorkerRestart, randomDuration(r, maxWorkerDowntime)
		case 1:
			f.Kind, f.ActiveFor = KindWorkerMove, randomDuration(r, maxWorkerDowntime)
		case 2:
			f.Kind, f.ActiveFor = KindWorkerLink, randomDuration(r, faultDurationRange)
			f.LinkFault.RequestDelay = minLateness + randomDuration(r, latenessRange)
		default:
			plan = append(plan, planSeries(r, offset, processes, []Kind{KindTerm, KindTerm, KindReload, KindKill, KindConfigure})...)
			continue
		}
		plan = append(plan, f)
	}
	return sortPlan(plan)
}

// PlanStops returns planned work only, sorted by start: overlapping series of SIGTERM, SIGHUP and changes of the
// configuration.
func PlanStops(seed uint64, period time.Duration, processes int) []Fault {
	r := rand.New(rand.NewPCG(seed, 4)) //nolint:gosec // the plan of a seed has to be repeatable
	var plan []Fault
	for offset := randomDuration(r, 2*stopsPeriod); offset < period; offset += randomDuration(r, 2*stopsPeriod) {
		plan = append(plan, planSeries(r, offset, processes, []Kind{KindTerm, KindTerm, KindReload, KindConfigure})...)
	}
	return sortPlan(plan)
}

// PlanCrashes returns the faults beside jobs that crash their workers, sorted by start: workers that shrink and grow, and now and
// then a process that is killed, terminated or paused, or a worker that is unreachable.
func PlanCrashes(seed uint64, period time.Duration, processes, workers int) []Fault {
	r := rand.New(rand.NewPCG(seed, 5)) //nolint:gosec // the plan of a seed has to be repeatable
	var plan []Fault
	for offset := randomDuration(r, 2*crashesPeriod); offset < period; offset += randomDuration(r, 2*crashesPeriod) {
		f := Fault{Offset: offset, ActiveFor: randomDuration(r, faultDurationRange), Kind: KindWorkerResize, Target: r.IntN(workers), Percent: r.IntN(100)}
		if r.IntN(3) == 0 {
			f.Kind, f.Target, f.Percent = []Kind{KindKill, KindTerm, KindPause}[r.IntN(3)], r.IntN(processes), 0
		}
		if r.IntN(8) == 0 {
			f.Kind, f.Target, f.Percent = KindWorkerLink, r.IntN(workers), 0
			f.LinkFault = LinkFault{DropRequests: true, DropAnswers: true}
		}
		plan = append(plan, f)
	}
	return sortPlan(plan)
}

// planSeries returns two to four faults of the given kinds. Each starts at most maxSeriesGap after the one before, and most
// of them have the same target, so that they come while a process drains or restarts.
func planSeries(r *rand.Rand, offset time.Duration, processes int, kinds []Kind) []Fault {
	target := r.IntN(processes)
	series := []Fault{{Offset: offset, Kind: kinds[r.IntN(len(kinds))], Target: target}}
	for range 1 + r.IntN(3) {
		offset += randomDuration(r, maxSeriesGap)
		f := Fault{Offset: offset, Kind: kinds[r.IntN(len(kinds))], Target: target}
		if r.IntN(100) < otherTargetPercent {
			f.Target = r.IntN(processes)
		}
		series = append(series, f)
	}
	return series
}

func sortPlan(plan []Fault) []Fault {
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.Offset, b.Offset) })
	return plan
}

// randomDuration returns a random duration below the limit.
func randomDuration(r *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(limit)))
}

func randomLinkFault(r *rand.Rand) LinkFault {
	switch r.IntN(4) {
	case 0:
		return LinkFault{Delay: time.Duration(r.Int64N(int64(maxLinkDelay)))}
	case 1:
		return LinkFault{DropRequests: true}
	case 2:
		return LinkFault{DropAnswers: true}
	}
	return LinkFault{DropRequests: true, DropAnswers: true}
}
