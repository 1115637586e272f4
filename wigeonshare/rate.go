package wigeonshare

import (
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// Window is the window over which the jobs of a team are counted. The zero value counts none.
type Window struct {
	Length time.Duration
	// A team may exceed its rate in the window by the share Overage and by Slack jobs.
	Overage, Slack float64
}

// Limit returns the largest number of jobs that a team of the weight may submit within the window.
func (w Window) Limit(weight float64) float64 {
	// The inner conversions keep the processor from fusing product and sum, which would round differently.
	return float64(float64(weight*w.Length.Seconds())*float64(1+w.Overage)) + w.Slack
}

// clockDifference is the assumed maximum difference between the wall clocks of the processes that accept jobs, and so the time by
// which a job may be read after one with a later accepted time.
const clockDifference = 5 * time.Second

// Arrivals holds the jobs of a team that were within its rate. The zero value is empty.
type Arrivals struct {
	// accepted holds the accepted times of these jobs in ascending order, from start on.
	accepted []wigeonstep.UnixMillis
	start    int
}

// Excess reports whether a job exceeds the rate of a team of the weight, and counts it otherwise. The jobs in the window before
// its accepted time decide, so that another owner that reads the same jobs decides alike.
func (a *Arrivals) Excess(w Window, weight float64, accepted wigeonstep.UnixMillis) bool {
	if w.Length <= 0 {
		return false
	}
	times := a.accepted[a.start:]
	end := len(times)
	for end > 0 && times[end-1] > accepted {
		end--
	}
	first, _ := slices.BinarySearch(times[:end], accepted-wigeonstep.UnixMillis(w.Length.Milliseconds())+1)
	if float64(end-first+1) > w.Limit(weight) {
		return true
	}
	a.insert(end, accepted)
	a.forget(w)
	return false
}

// insert inserts a time at an index from start on.
func (a *Arrivals) insert(index int, accepted wigeonstep.UnixMillis) {
	if a.start > len(a.accepted)/2 {
		a.accepted = slices.Delete(a.accepted, 0, a.start)
		a.start = 0
	}
	a.accepted = slices.Insert(a.accepted, a.start+index, accepted)
}

// forget skips the times that are too old to be in the window of a job that is read from now on.
func (a *Arrivals) forget(w Window) {
	oldest := a.accepted[len(a.accepted)-1] - wigeonstep.UnixMillis((w.Length + clockDifference).Milliseconds())
	for a.accepted[a.start] <= oldest {
		a.start++
	}
}
