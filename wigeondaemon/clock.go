package wigeondaemon

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
)

const (
	// maxClockSkew is the difference between the advances of the wall clock and of the monotonic clock above which the VM may
	// have been suspended, or the wall clock set.
	maxClockSkew = time.Millisecond
	// maxAnchorAge bounds the time for which the clock is computed from one reading of the boot-time clock.
	maxAnchorAge = 50 * time.Millisecond
)

// Clock is a monotonic clock that includes the time in which the VM was suspended, because the leases of workers expire during
// that time too. An owner of a large pool reads it thousands of times a second, and each reading of the boot-time clock is a
// system call; so that one is read only now and then, and when the other two clocks differ in their advance. The zero value is
// ready to use, and safe for concurrent use.
type Clock struct {
	// read and boot read the clocks; nil for those of the system.
	read func() clockReading
	boot func() time.Duration

	mu sync.Mutex
	// anchor was read just before anchorBoot, so that a suspension in between counts as skew.
	anchor     clockReading
	anchorBoot time.Duration
	anchored   bool
	// last is the newest result, below which no later one goes.
	last time.Duration
}

// clockReading is a reading of the two clocks that need no system call.
type clockReading struct {
	// wall is the time since 1970; monotonic does not include the time in which the VM was suspended.
	wall, monotonic time.Duration
}

// Now returns the current time.
func (k *Clock) Now() wigeonshard.Timestamp {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.readClocks()
	elapsed := now.monotonic - k.anchor.monotonic
	skew := now.wall - k.anchor.wall - elapsed
	if !k.anchored || elapsed > maxAnchorAge || skew.Abs() > maxClockSkew {
		k.setAnchor()
		now, elapsed = k.anchor, 0
	}
	k.last = max(k.last, k.anchorBoot+elapsed)
	return wigeonshard.Timestamp{Steady: k.last, Wall: wigeonstep.UnixMillis(now.wall.Milliseconds())}
}

// setAnchor reads the boot-time clock, again if the process was interrupted between the readings of the clocks.
func (k *Clock) setAnchor() {
	const attempts = 3
	k.anchored = true
	for range attempts {
		k.anchor = k.readClocks()
		k.anchorBoot = k.readBoot()
		if k.readClocks().monotonic-k.anchor.monotonic < maxClockSkew {
			return
		}
	}
}

func (k *Clock) readClocks() clockReading {
	if k.read != nil {
		return k.read()
	}
	now := time.Now()
	return clockReading{wall: time.Duration(now.UnixNano()), monotonic: now.Sub(processStart)}
}

func (k *Clock) readBoot() time.Duration {
	if k.boot != nil {
		return k.boot()
	}
	var boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		// CLOCK_BOOTTIME exists on every kernel that Go supports. The fallback only lacks suspended time.
		return time.Since(processStart)
	}
	return time.Duration(boot.Nano())
}

var processStart = time.Now()
