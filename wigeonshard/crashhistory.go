package wigeonshard

import (
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
	// survivalFactor and survivalMargin give the age at which a run has outlived the earlier crashes under its task, from the
	// greatest age of a run at such a crash.
	survivalFactor = 2
	survivalMargin = 50 * time.Millisecond
	// unknownCrashAge takes the place of the age of a run that an earlier owner started.
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
			if c.Confirmed {
				confirmed++
			}
		}
	}
	return confirmed >= 1 || likely >= 2 || len(h) >= 3
}

// conclusive reports whether the task has to be given up: two workers have certainly crashed with the task as a likely cause,
// and one of them with no other; or three with it as the only likely cause of the last one; or maxCrashes workers were lost.
func (h crashHistory) conclusive() bool {
	likely, confirmed, sole := 0, 0, 0
	for _, c := range h {
		if !c.Confirmed {
			continue
		}
		confirmed++
		if c.Likely {
			likely++
		}
		if c.Sole {
			sole++
		}
	}
	last := len(h) - 1
	return likely >= 2 && sole >= 1 || confirmed >= 3 && h[last].Confirmed && h[last].Sole || len(h) >= maxCrashes
}

// survivalAge returns the age at which a run has outlived all crashes of the history.
func (h crashHistory) survivalAge() time.Duration {
	oldest := time.Duration(0)
	for _, c := range h {
		age := c.RunAge
		if age == 0 {
			age = unknownCrashAge
		}
		oldest = max(oldest, age)
	}
	return survivalFactor*oldest + survivalMargin
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

// confirmed returns the history with the crashes of a worker marked as confirmed, and whether any of them was not before.
func (h crashHistory) confirmed(worker wigeonstep.WorkerID) (all crashHistory, changed bool) {
	all = slices.Clone(h)
	for i := range all {
		if all[i].Worker == worker && !all[i].Confirmed {
			all[i].Confirmed, changed = true, true
		}
	}
	return all, changed
}

// without returns the history without the unconfirmed crashes of a worker.
func (h crashHistory) without(worker wigeonstep.WorkerID) crashHistory {
	var rest crashHistory
	for _, c := range h {
		if c.Confirmed || c.Worker != worker {
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
		if !c.Confirmed {
			certainty = "unconfirmed"
		}
		crashes[i] = fmt.Sprintf("%s under run %d (%s, %s)", c.Worker, c.Run, age, certainty)
	}
	return strings.Join(crashes, ", ")
}
