package wigeonshard

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

const (
	// startCrashAge is the age of a run up to which the crash of its worker points to the start of the run.
	startCrashAge = 100 * time.Millisecond
	// conclusivePrompt is the number of crashes soon after the start of runs that are the only likely cause after which a task is
	// given up.
	conclusivePrompt = 3
	// suspiciousSameAge and conclusiveSameAge are the numbers of crashes under runs of nearly the same age after which a task is
	// suspected, and given up. The ages differ by at most one part in sameAgeShare, and survivalMargin.
	suspiciousSameAge = 3
	conclusiveSameAge = 4
	sameAgeShare      = 5
	// maxCrashes is the number of lost workers of which a task is a likely cause after which it is given up.
	maxCrashes = 5
	// survivalFactor and survivalMargin give the age at which a run has outlived an earlier crash under its task, from the age of
	// the run at the crash.
	survivalFactor = 2
	survivalMargin = 50 * time.Millisecond
	// unknownCrashAge takes the place of an unknown age.
	unknownCrashAge = 100 * time.Millisecond
)

// crashHistory holds the crashes of workers under runs of one task, or of one gang, that no run has outlived. The zero value is
// the history of a task that is not suspected.
type crashHistory []wigeonjob.WorkerCrash

// suspicious reports whether the task should only run isolated, so that a further crash shows whether it is the cause: after
// one confirmed crash at the start of a run that is a likely cause, after two crashes of which it is a likely cause, or after several
// under runs of nearly the same age.
func (h crashHistory) suspicious() bool {
	likely, starts := 0, 0
	for _, c := range h {
		if !c.Likely || c.Explained {
			continue
		}
		likely++
		if confirmedWithin(c, startCrashAge) {
			starts++
		}
	}
	return starts >= 1 || likely >= 2 || h.sameAge() >= suspiciousSameAge
}

// points reports whether a suspicious history points at the task more than at others that were lost with it: it is the only likely
// cause of a crash, or a likely cause of several.
func (h crashHistory) points() bool {
	likely := 0
	for _, c := range h {
		if !c.Likely || c.Explained {
			continue
		}
		if likely++; c.Sole {
			return true
		}
	}
	return likely >= 2
}

// conclusive reports whether the task has to be given up: two workers have crashed at the start of its runs, one of them with no
// other likely cause; or more that way soon after the start, or under runs of nearly the same age; or maxCrashes were lost with the
// task as a likely cause.
func (h crashHistory) conclusive() bool {
	likely, starts, soleStarts, solePrompt := 0, 0, 0, 0
	for _, c := range h {
		if c.Likely {
			likely++
		}
		if !c.Likely || c.Explained {
			continue
		}
		if confirmedWithin(c, startCrashAge) {
			starts++
		}
		if c.Sole && confirmedWithin(c, startCrashAge) {
			soleStarts++
		}
		if c.Sole && confirmedWithin(c, promptCrashAge) {
			solePrompt++
		}
	}
	last := len(h) - 1
	return starts >= 2 && soleStarts >= 1 || solePrompt >= conclusivePrompt || h.sameAge() >= conclusiveSameAge && h[last].Sole || likely >= maxCrashes
}

// confirmedWithin reports whether a worker has certainly crashed under a run of at most the age.
func confirmedWithin(c wigeonjob.WorkerCrash, age time.Duration) bool {
	return c.Confirmed() && c.RunAge <= age
}

// sameAge returns the number of confirmed crashes under runs that were about as old as the run at the newest crash.
func (h crashHistory) sameAge() int {
	n := 0
	for _, c := range h {
		newest := h[len(h)-1].RunAge
		difference := max(c.RunAge, newest) - min(c.RunAge, newest)
		if c.Confirmed() && !c.Explained && difference <= max(c.RunAge, newest)/sameAgeShare+survivalMargin {
			n++
		}
	}
	return n
}

// has reports whether the history holds the crash of a worker under a run. An earlier owner may have counted it.
func (h crashHistory) has(run wigeonstep.RunNumber, worker wigeonstep.WorkerID) bool {
	return slices.ContainsFunc(h, func(c wigeonjob.WorkerCrash) bool { return c.Run == run && c.Worker == worker })
}

// names reports whether the history holds a crash of the worker.
func (h crashHistory) names(worker wigeonstep.WorkerID) bool {
	return slices.ContainsFunc(h, func(c wigeonjob.WorkerCrash) bool { return c.Worker == worker })
}

// survivalAge returns the age at which a run has outlived so many crashes of the history that the rest is not suspicious.
func (h crashHistory) survivalAge() time.Duration {
	ages := make([]time.Duration, len(h))
	for i, c := range h {
		ages[i] = outlivedAge(c)
	}
	slices.Sort(ages)
	for _, age := range ages {
		if !h.outlived(age).suspicious() {
			return age
		}
	}
	return 0
}

// quietAge returns the age that the other runs on a worker must have before the task may start there.
func (h crashHistory) quietAge() time.Duration {
	return min(h.survivalAge(), maxIsolation)
}

// outlivedAge returns the age at which a run has outlived a crash.
func outlivedAge(c wigeonjob.WorkerCrash) time.Duration {
	return survivalFactor*cmp.Or(c.RunAge, unknownCrashAge) + survivalMargin
}

// outlived returns the crashes that a run of the age has not outlived.
func (h crashHistory) outlived(age time.Duration) crashHistory {
	var rest crashHistory
	for _, c := range h {
		if age < outlivedAge(c) {
			rest = append(rest, c)
		}
	}
	return rest
}

// explained returns the history after the crash of a worker was put down to another task. The crash still counts towards
// maxCrashes.
func (h crashHistory) explained(worker wigeonstep.WorkerID) crashHistory {
	rest := slices.Clone(h)
	for i := range rest {
		if rest[i].Worker == worker {
			rest[i].Explained = true
		}
	}
	return rest
}

// ended returns the history after the process of a worker has certainly ended; changed is set if that was not known before.
func (h crashHistory) ended(worker wigeonstep.WorkerID) (all crashHistory, changed bool) {
	all = slices.Clone(h)
	for i := range all {
		if all[i].Worker == worker && !all[i].Ended {
			all[i].Ended, changed = true, true
		}
	}
	return all, changed
}

// without returns the history without the losses of a worker whose process has not ended.
func (h crashHistory) without(worker wigeonstep.WorkerID) crashHistory {
	var rest crashHistory
	for _, c := range h {
		if c.Ended || c.Worker != worker {
			rest = append(rest, c)
		}
	}
	return rest
}

// String names the workers and the ages of the runs under which they crashed.
func (h crashHistory) String() string {
	crashes := make([]string, len(h))
	for i, c := range h {
		age := "of unknown age"
		if c.RunAge > 0 {
			age = c.RunAge.Round(time.Millisecond).String() + " old"
		}
		certainty := "confirmed"
		if !c.Confirmed() {
			certainty = "unconfirmed"
		}
		crashes[i] = fmt.Sprintf("%s under run %d (%s, %s)", c.Worker, c.Run, age, certainty)
	}
	return strings.Join(crashes, ", ")
}
