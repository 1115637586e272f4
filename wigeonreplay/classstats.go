package wigeonreplay

import (
	"slices"
	"strings"
	"time"

	"github.com/wigeonstep/wigeonstep/wigeondocument"
)

// classStats counts the requests and jobs of one class of a team.
type classStats struct {
	key  routeKey
	long bool
	// arrived counts all submissions, repeated those whose key was known from an earlier one.
	arrived, repeated int
	// refused counts the requests with the outcome not_run, unknown those with the outcome unknown.
	refused, unknown    int
	accepted, cancelled int
	// done counts the requests and jobs whose answer has reached the entry process.
	done int
	// completed counts the runs that finished on a worker.
	completed int
	// started counts the waits recorded by recordWait.
	started   int
	worstWait time.Duration
	// worstRefusal is the longest time from an arrival to its refusal.
	worstRefusal time.Duration
}

// classStats returns the counters of a class and creates them on first use.
func (d *driver) classStats(key routeKey) *classStats {
	if s := d.stats[key]; s != nil {
		return s
	}
	s := &classStats{key: key, long: d.trace.routes[key].class.Kind == wigeondocument.KindLong}
	d.stats[key] = s
	d.statsKeys = append(d.statsKeys, key)
	slices.SortFunc(d.statsKeys, func(a, b routeKey) int {
		if a.team != b.team {
			return strings.Compare(string(a.team), string(b.team))
		}
		return strings.Compare(string(a.class), string(b.class))
	})
	return s
}

// recordWait records the time from the arrival of a request or job to the sending of an attempt that ran. It is called
// for every job attempt that runs, and again for a request whose earlier run was reported as not run.
func (s *classStats) recordWait(d time.Duration) {
	s.started++
	s.worstWait = max(s.worstWait, d)
}
