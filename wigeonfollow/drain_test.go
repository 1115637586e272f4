package wigeonfollow_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonfollow"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// Guards against an entry process that reports only with its next regular renewal, up to 2 s late, that it has applied the
// drain of a VM or that its last request on the VM has ended. The drain cannot end before this report.
func TestDrainRenewsEarly(t *testing.T) {
	for _, test := range []struct {
		name string
		// busyFor is the time for which the process still has requests on the draining VM, and maxWait bounds the time until
		// it reports that it has none.
		busyFor, maxWait time.Duration
	}{
		{"idle", 0, 300 * time.Millisecond},
		{"busy", time.Second, 1500 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			runWithFakeTime(t, func(t *testing.T, c *qt.C, log *memoryLog) {
				var busyUntil time.Time
				entry := startProcess(t, log, 1, entryRole, func(config *wigeonfollow.Config, _ *logClient) {
					config.BusyVMs = func() []wigeonstep.VMID {
						if time.Now().Before(busyUntil) {
							return []wigeonstep.VMID{"a1"}
						}
						return nil
					}
				})
				defer entry.stop()
				control := startProcess(t, log, 2, controlRole)
				defer control.stop()
				entry.waitSessionOpen(t)
				control.waitSessionOpen(t)
				_, err := control.Propose(context.Background(), observation("a1", 1))
				c.Assert(err, qt.IsNil)
				busyUntil = time.Now().Add(test.busyFor)
				began := time.Now()
				offset, err := control.Propose(context.Background(), draining("a1", control.View().VMs["a1"].Epoch))
				c.Assert(err, qt.IsNil)
				waitUntil(t, test.maxWait, func() bool {
					// The sessions are sorted by id, so the first one is that of the entry process.
					session := control.View().Sessions[0]
					return session.AppliedOffset >= offset && !session.BusyVMs["a1"]
				})
				c.Assert(time.Since(began) >= test.busyFor, qt.IsTrue)
			})
		})
	}
}

func draining(vm string, epoch wigeonstep.VMEpoch) *wigeonwire.Entry {
	return &wigeonwire.Entry{Body: &wigeonwire.Entry_VmTransition{VmTransition: &wigeonwire.VMTransition{
		Vm: vm, Epoch: uint64(epoch), To: wigeonwire.Phase_PHASE_DRAINING,
	}}}
}
