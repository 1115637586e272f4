package wigeonrouting

import (
	"cmp"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// server is the state of one backend server in a Picker.
type server struct {
	Server
	// order is a hash of the VM id, by which slots are dealt out. It spreads the slots of a process over the racks.
	order    uint64
	listed   bool
	inFlight int
	// own is the number of slots on the server that belong to this process. share is the number of slots on the server
	// proportional to the process's share of the pool, rounded up. It bounds the requests on the server while the process has
	// no own slots on any server that the request may use.
	own, share int
	// limit is the concurrency limit, at least 1. It is infinite until the first busy answer or the first successful probe.
	limit float64
	// lastDecrease is the time of the last decrease of limit.
	lastDecrease time.Time
	// pause is the duration of the last pause, during which the server is not used because it answered busy at limit 1; 0 after
	// a success. paused is set during a pause.
	pause  time.Duration
	paused bool
	// blocked is the number of slots that count as occupied after a busy answer or a quick failure.
	blocked      int
	leaving      bool
	leavingUntil time.Time

	// failRate is the decayed share of failures among the results; results is the number of results, up to failMinResults.
	failRate float64
	results  int
	// slowness is the decayed mean, over the successes, of the logarithm of latency divided by expected run time; speedResults
	// is the number of latencies in it.
	slowness     float64
	speedResults int

	quarantine quarantineState
	// generation counts the resets of the server. Timers of an earlier generation are ignored.
	generation int
	// index is the position in each set, or -1 if the server is not in it.
	index [setCount]int
}

func newServer(entry Server) *server {
	s := &server{Server: entry, order: xxhash.Sum64String(string(entry.VM))}
	s.quarantine.index = -1
	for i := range s.index {
		s.index[i] = -1
	}
	s.reset()
	return s
}

// reset clears the statistics and limits of the server. A new epoch of the VM most likely means a new backend server process.
func (s *server) reset() {
	s.limit = math.Inf(1)
	s.lastDecrease, s.pause, s.paused, s.blocked = time.Time{}, 0, false, 0
	s.leaving = false
	s.failRate, s.results, s.slowness, s.speedResults = 0, 0, 0, 0
	s.quarantine.delay, s.quarantine.releasedAt = 0, time.Time{}
	s.generation++
}

// compareDealOrder orders servers for dealing out their slots.
func compareDealOrder(a, b *server) int {
	return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.VM, b.VM))
}

// serving reports whether the server accepts requests other than probes, apart from pauses and occupied slots.
func (s *server) serving() bool {
	return s.listed && s.InService && !s.leaving && !s.quarantine.active
}

// usable reports whether the server accepts requests other than probes now, apart from occupied slots.
func (s *server) usable() bool {
	return s.serving() && !s.paused
}

// hasRoom reports whether one more request stays within bound, the concurrency limit and Connections.
func (s *server) hasRoom(bound int) bool {
	taken := s.inFlight + s.blocked
	return taken < bound && float64(taken+1) <= s.limit && (s.Connections <= 0 || s.inFlight < s.Connections)
}

// failPenalty weights the failure rate in the score. With 8, a server that fails every request scores as one without failures
// at nine times the load.
const failPenalty = 8

// score rates the server as a choice; lower is better. It is the load, increased by failures and by being slower than the pool.
func (s *server) score(poolSlowness float64) float64 {
	load := float64(s.inFlight+s.blocked+1) / float64(max(s.share, 1))
	slower := min(max(s.slowness-poolSlowness, 0), 3)
	return load * (1 + failPenalty*s.failRate) * math.Exp(slower)
}

const (
	// minDecreaseInterval is the minimum time between two decreases of a limit, since one overload causes several busy answers
	// at about the same time.
	minDecreaseInterval = 50 * time.Millisecond
	// minPause and maxPause bound the time for which a server that answers busy at limit 1 is not used.
	minPause = 20 * time.Millisecond
	maxPause = time.Second
)

// recordBusy handles a busy answer. It blocks a slot for about the expected run time, at most maxBlockTime. It halves the limit,
// but only once in minDecreaseInterval, or pauses the server if the limit is already 1.
func (p *Picker) recordBusy(now time.Time, s *server, expected time.Duration) {
	if occupied := min(expected, maxBlockTime); occupied > 0 {
		s.blocked++
		p.startTimer(s, now.Add(p.jitter(occupied)), timerBlock)
	}
	s.limit = min(s.limit, float64(max(s.share, 1)))
	if !s.lastDecrease.IsZero() && now.Sub(s.lastDecrease) < minDecreaseInterval && s.limit > 1 {
		return
	}
	s.lastDecrease = now
	if s.limit > 1 {
		s.limit = max(s.limit/2, 1)
		return
	}
	s.pause = min(max(2*s.pause, minPause), maxPause)
	s.paused = true
	p.startTimer(s, now.Add(p.jitter(s.pause)), timerPause)
}

// recordSuccess handles a successful request. Each success raises the limit by 1/limit, so that it grows by one over about limit
// successes.
func (p *Picker) recordSuccess(now time.Time, s *server, latency, expected time.Duration) {
	s.pause = 0
	if !math.IsInf(s.limit, 1) {
		s.limit = min(s.limit+1/s.limit, float64(max(s.Slots, 1)))
	}
	s.observeResult(0)
	if latency > 0 && expected > 0 {
		p.observeSpeed(s, latency, expected)
	}
	if s.quarantine.probing {
		p.endProbe(now, s, !s.slow(p.slowness))
		return
	}
	p.quarantineIfUnhealthy(now, s)
}

// maxBlockTime bounds the time for which a slot is blocked after a busy answer or a quick failure.
const maxBlockTime = time.Second

// recordFailure handles a failed request. The slot stays blocked until a successful request would have ended, so that a server
// that fails all requests immediately does not look idle and attract most of the pool's requests.
func (p *Picker) recordFailure(now time.Time, s *server, latency, expected time.Duration) {
	s.observeResult(1)
	if block := min(expected-latency, maxBlockTime); block > 0 {
		s.blocked++
		p.startTimer(s, now.Add(block), timerBlock)
	}
	if s.quarantine.probing {
		p.endProbe(now, s, false)
		return
	}
	p.quarantineIfUnhealthy(now, s)
}

// jitter returns a random duration between three quarters of d and d.
func (p *Picker) jitter(d time.Duration) time.Duration {
	return d - time.Duration(p.random.Int64N(int64(d)/4+1))
}
