package wigeondaemon

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
)

// SystemNow returns the time. The steady part counts the time in which the VM was suspended, because leases of workers
// run on meanwhile.
func SystemNow() wigeonshard.Now {
	var boot unix.Timespec
	wall := wigeonstep.UnixMillis(time.Now().UnixMilli())
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		// The clock exists on every kernel that Go supports; without it only suspended time is missed.
		return wigeonshard.Now{Steady: time.Since(processStart), Wall: wall}
	}
	return wigeonshard.Now{Steady: time.Duration(boot.Nano()), Wall: wall}
}

var processStart = time.Now()
