package wigeondaemon

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
)

// SystemNow returns the current time. The steady clock includes time in which the VM was suspended, because the leases
// of workers expire during that time too.
func SystemNow() wigeonshard.Timestamp {
	var boot unix.Timespec
	wall := wigeonstep.UnixMillis(time.Now().UnixMilli())
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		// CLOCK_BOOTTIME exists on every kernel that Go supports. The fallback only lacks suspended time.
		return wigeonshard.Timestamp{Steady: time.Since(processStart), Wall: wall}
	}
	return wigeonshard.Timestamp{Steady: time.Duration(boot.Nano()), Wall: wall}
}

var processStart = time.Now()
