package wigeonrouting

import (
	"cmp"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// server is what the process knows about one backend server.
type server struct {
	Server
	// order is a hash of the VM id. Dealing slots by it spreads a process's slots over the racks.
	order    uint64
	listed   bool
	inFlight int
	// own is the number of the server's slots that were dealt to this process; share is the process's part of the server's slots,
	// rounded up, and bounds what it uses when its own slots are blocked.
	own, share int
	// limit is the concurrency limit, from 1 to Slots.
	limit float64
	// lastCut is when the limit was last decreased.
	lastCut time.Time
	// pause is how long the server rests when it answers busy at the lowest limit; zero when the last answer was good.
	pause  time.Duration
	paused bool
	// blocked counts slots that stay occupied after a quick failure.
	blocked      int
	leaving      bool
	leavingUntil time.Time

	// failRate is the decayed share of failures among the last results; results counts them up to failMinResults.
	failRate float64
	results  int
	// slowness is the decayed mean of the logarithm of latency to expected latency; speeds counts its observations.
	slowness float64
	speeds   int

	quarantine quarantineState
	// life counts the lives of the server; timers of an earlier one are ignored.
	life int
	// index is the place in each set, -1 when absent.
	index [setCount]int
}

func newServer(entry Server) *server {
	s := &server{Server: entry, order: xxhash.Sum64String(string(entry.VM))}
	s.quarantine.index = -1
	for i := range s.index {
		s.index[i] = -1
	}
	s.forget()
	return s
}

// forget drops what was learned, when the VM has a new epoch and so most likely a new backend server process.
func (s *server) forget() {
	s.limit = math.Inf(1)
	s.lastCut, s.pause, s.paused, s.blocked = time.Time{}, 0, false, 0
	s.leaving = false
	s.failRate, s.results, s.slowness, s.speeds = 0, 0, 0, 0
	s.quarantine.delay, s.quarantine.released = 0, time.Time{}
	s.life++
}

func compareDealing(a, b *server) int {
	return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.VM, b.VM))
}

// serving reports whether requests other than probes may go to the server when it has room.
func (s *server) serving() bool {
	return s.listed && s.InService && !s.leaving && !s.quarantine.active
}

// usable reports whether requests other than probes may go to the server now.
func (s *server) usable() bool {
	return s.serving() && !s.paused
}

// room reports whether one more request stays within the bound, the limit and the connections.
func (s *server) room(bound int) bool {
	taken := s.inFlight + s.blocked
	return taken < bound && float64(taken+1) <= s.limit && (s.Connections <= 0 || s.inFlight < s.Connections)
}

// failPenalty makes a server that fails everything nine times less attractive than an equally busy one that fails nothing.
const failPenalty = 8

// score is lower for a better choice: load, worsened by failures and by being slower than the pool.
func (s *server) score(poolSlowness float64) float64 {
	load := float64(s.inFlight+s.blocked+1) / float64(max(s.share, 1))
	slower := min(max(s.slowness-poolSlowness, 0), 3)
	return load * (1 + failPenalty*s.failRate) * math.Exp(slower)
}

const (
	// cutSpan is the shortest time between two decreases of a limit, since the answers to one overrun come together.
	cutSpan = 50 * time.Millisecond
	// firstPause and longestPause bound the rest of a server that answers busy to a single request.
	firstPause   = 20 * time.Millisecond
	longestPause = time.Second
)

// busy decreases the limit by half, or lets the server rest when the limit is already 1.
func (p *Picker) busy(now time.Time, s *server, expected time.Duration) {
	if occupied := min(expected, longestBlock); occupied > 0 {
		s.blocked++
		p.after(s, now.Add(p.jitter(occupied)), timerBlock)
	}
	s.limit = min(s.limit, float64(max(s.share, 1)))
	if !s.lastCut.IsZero() && now.Sub(s.lastCut) < cutSpan && s.limit > 1 {
		return
	}
	s.lastCut = now
	if s.limit > 1 {
		s.limit = max(s.limit/2, 1)
		return
	}
	s.pause = min(max(2*s.pause, firstPause), longestPause)
	s.paused = true
	p.after(s, now.Add(p.jitter(s.pause)), timerPause)
}

// succeed raises the limit by one for every limit's worth of good answers.
func (p *Picker) succeed(now time.Time, s *server, latency, expected time.Duration) {
	s.pause = 0
	if !math.IsInf(s.limit, 1) {
		s.limit = min(s.limit+1/s.limit, float64(max(s.Slots, 1)))
	}
	s.observe(0)
	if latency > 0 && expected > 0 {
		p.observeSpeed(s, latency, expected)
	}
	if s.quarantine.probing {
		p.probed(now, s, !s.slow(p.slowness))
		return
	}
	p.judge(now, s)
}

// longestBlock bounds how long a quick failure occupies its slot.
const longestBlock = time.Second

// fail counts a failure. The slot stays occupied for as long as a good request would have taken, so that a server that fails
// everything at once does not look idle and attract the pool's work.
func (p *Picker) fail(now time.Time, s *server, latency, expected time.Duration) {
	s.observe(1)
	if block := min(expected-latency, longestBlock); block > 0 {
		s.blocked++
		p.after(s, now.Add(block), timerBlock)
	}
	if s.quarantine.probing {
		p.probed(now, s, false)
		return
	}
	p.judge(now, s)
}

// jitter returns a duration from three quarters of d to d.
func (p *Picker) jitter(d time.Duration) time.Duration {
	return d - time.Duration(p.random.Int64N(int64(d)/4+1))
}
