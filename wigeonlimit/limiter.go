// Package wigeonlimit bounds the calls of this process to a service that other processes use as well.
package wigeonlimit

import "time"

// burstWindow is the time for which calls that were not used may be made up for at once.
const burstWindow = 100 * time.Millisecond

// Limiter bounds the open calls and the calls per second. It reads no clock. The zero value sets no bound. It is not safe
// for concurrent use.
type Limiter struct {
	// MaxOpen bounds the calls without a result; 0 sets no bound.
	MaxOpen int
	// Rate bounds the calls per second; 0 sets no bound.
	Rate float64

	open int
	// tokens is the number of calls that may be made at lastTake, never more than the burst.
	tokens   float64
	lastTake time.Duration
	started  bool
}

// Take reports whether a call may be made now, and counts it as open if so. Release must be called with its result.
func (l *Limiter) Take(now time.Duration) bool {
	if l.MaxOpen > 0 && l.open >= l.MaxOpen {
		return false
	}
	if l.Rate > 0 && !l.takeToken(now) {
		return false
	}
	l.open++
	return true
}

// Release counts a call that Take has allowed as ended.
func (l *Limiter) Release() { l.open = max(l.open-1, 0) }

func (l *Limiter) takeToken(now time.Duration) bool {
	burst := max(l.Rate*burstWindow.Seconds(), 1)
	if !l.started {
		l.tokens, l.lastTake, l.started = burst, now, true
	}
	l.tokens = min(l.tokens+l.Rate*max(now-l.lastTake, 0).Seconds(), burst)
	l.lastTake = max(now, l.lastTake)
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
