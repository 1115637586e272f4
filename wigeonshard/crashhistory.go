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
	// maxCrashes is the number of crashes after which a task is given up, whatever is known of their cause.
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
// one confirmed crash of which it is a likely cause, after two unconfirmed ones, or after three crashes of any kind.
func (h crashHistory) suspicious() bool {
	likely, confirmed := 0, 0
	for _, c := range h {
		if c.Likely {
			likely++
			if c.Confirmed() {
				confirmed++
			}
		}
	}
	return confirmed >= 1 || likely >= 2 || len(h) >= 3
}

// conclusive reports whether the task has to be given up: two workers have certainly crashed under runs of similar age with the
// task as a likely cause, and one of them with no other; or three with it as the only likely cause of the last one; or maxCrashes
// workers were lost.
func (h crashHistory) conclusive() bool {
	confirmed := 0
	for i, c := range h {
		if !c.Confirmed() {
			continue
		}
		confirmed++
		for _, earlier := range h[:i] {
			if earlier.Confirmed() && earlier.Likely && c.Likely && (earlier.Sole || c.Sole) && similarAge(earlier, c) {
				return true
			}
		}
	}
	last := len(h) - 1
	return confirmed >= 3 && h[last].Confirmed() && h[last].Sole || len(h) >= maxCrashes
}

// similarAge reports whether neither run was so old at its crash that it had outlived the other crash.
func similarAge(a, b wigeonjob.WorkerCrash) bool {
	return a.RunAge < outlivedAge(b) && b.RunAge < outlivedAge(a)
}

// has reports whether the history holds the crash of a worker under a run. An earlier owner may have counted it.
func (h crashHistory) has(run wigeonstep.RunNumber, worker wigeonstep.WorkerID) bool {
	return slices.ContainsFunc(h, func(c wigeonjob.WorkerCrash) bool { return c.Run == run && c.Worker == worker })
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
			rest[i].Likely, rest[i].Sole = false, false
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
