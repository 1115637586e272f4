package wigeonreplay

import (
	"slices"
	"strings"
	"time"

	"github.com/wigeonstep/wigeonstep/wigeondocument"
)

// stream counts the work of one class of a team.
type stream struct {
	key  routeKey
	long bool
	// arrived counts submissions; repeated those that joined an earlier one of the same key.
	arrived, repeated int
	// refused counts not_run, unknown the outcome of that name.
	refused, unknown    int
	accepted, cancelled int
	done                int
	// completed counts runs that reached their end on a worker.
	completed int
	started   int
	worstWait time.Duration
	// worstRefusal is the longest time until a refusal.
	worstRefusal time.Duration
}

// stream returns the counts of a class, new ones at its first use.
func (d *driver) stream(key routeKey) *stream {
	if s := d.streams[key]; s != nil {
		return s
	}
	s := &stream{key: key, long: d.trace.routes[key].class.Kind == wigeondocument.KindLong}
	d.streams[key] = s
	d.streamKeys = append(d.streamKeys, key)
	slices.SortFunc(d.streamKeys, func(a, b routeKey) int {
		if a.team != b.team {
			return strings.Compare(string(a.team), string(b.team))
		}
		return strings.Compare(string(a.class), string(b.class))
	})
	return s
}

// wait notes how long work waited from its arrival until it was sent to a worker.
func (s *stream) wait(d time.Duration) {
	s.started++
	s.worstWait = max(s.worstWait, d)
}
