package wigeonsoak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

const (
	// KindKill ends a process by SIGKILL; it is started again.
	KindKill Kind = "kill"
	// KindTerm ends a process by SIGTERM; it is started again.
	KindTerm Kind = "term"
	// KindPause stops a process by SIGSTOP and lets it go on by SIGCONT.
	KindPause Kind = "pause"
	// KindReload sends SIGHUP.
	KindReload Kind = "reload"
	// KindPowerLoss kills all processes at once.
	KindPowerLoss Kind = "power_loss"
	// KindStoreLink disturbs the link between a process and the store.
	KindStoreLink Kind = "store_link"
	// KindWorkerLink disturbs the links between the processes and a worker.
	KindWorkerLink Kind = "worker_link"
	// KindStoreReset resets the open connections between a process and the store.
	KindStoreReset Kind = "store_reset"
	// KindWorkerReset resets the open connections to a worker.
	KindWorkerReset Kind = "worker_reset"
	// KindStoreDown makes the store refuse every call.
	KindStoreDown Kind = "store_down"
	// KindAnswersLost lets appends take effect without an answer.
	KindAnswersLost Kind = "answers_lost"
	// KindHistoryGone drops the history of the log; the newest record of each key stays.
	KindHistoryGone Kind = "history_gone"
	// KindWorkerCrash ends a worker and all that runs there; another one comes in its place.
	KindWorkerCrash Kind = "worker_crash"
	// KindConfigure puts a new version of the configuration in force.
	KindConfigure Kind = "configure"
)

var kinds = []Kind{
	KindKill, KindKill, KindTerm, KindTerm, KindPause, KindPause, KindReload, KindPowerLoss, KindStoreLink, KindStoreLink,
	KindWorkerLink, KindWorkerLink, KindStoreReset, KindWorkerReset, KindStoreDown, KindAnswersLost, KindHistoryGone,
	KindWorkerCrash, KindConfigure,
}

// Fault is one disturbance.
type Fault struct {
	At, For time.Duration
	Kind    Kind
	// Target is the index of a process or a worker.
	Target int
	// Link is how a disturbed link treats its connections.
	Link Link
}

// String returns the fault as the report names it.
func (f Fault) String() string {
	return fmt.Sprintf("at=%s for=%s kind=%s target=%d link=%+v", f.At.Round(time.Millisecond), f.For.Round(time.Millisecond), f.Kind, f.Target, f.Link)
}

const (
	maxFaultLength = 5 * time.Second
	maxLinkDelay   = 300 * time.Millisecond
	// seriesShare is the share of faults, in percent, that come as a series of the same kind.
	seriesShare = 30
	seriesGap   = 700 * time.Millisecond
)

// Plan returns the faults of a seed, in the order of their times. They overlap, and some come in series.
func Plan(seed uint64, length time.Duration, processes, workers int) []Fault {
	r := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // a plan has to be repeatable
	var plan []Fault
	for at := time.Duration(0); at < length; {
		at += time.Duration(r.Int64N(int64(1500 * time.Millisecond)))
		f := Fault{At: at, For: 200*time.Millisecond + time.Duration(r.Int64N(int64(maxFaultLength))), Kind: kinds[r.IntN(len(kinds))]}
		f.Link = randomLink(r)
		repeats := 1
		if r.IntN(100) < seriesShare {
			repeats = 2 + r.IntN(2)
		}
		for i := range repeats {
			f.At = at + time.Duration(i)*seriesGap
			f.Target = r.IntN(processes)
			if f.Kind == KindWorkerLink || f.Kind == KindWorkerReset || f.Kind == KindWorkerCrash {
				f.Target = r.IntN(workers)
			}
			plan = append(plan, f)
		}
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}

func randomLink(r *rand.Rand) Link {
	switch r.IntN(4) {
	case 0:
		return Link{Delay: time.Duration(r.Int64N(int64(maxLinkDelay)))}
	case 1:
		return Link{DropRequests: true}
	case 2:
		return Link{DropAnswers: true}
	}
	return Link{DropRequests: true, DropAnswers: true}
}
