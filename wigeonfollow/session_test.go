package wigeonfollow_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonfollow"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

func isExpire(entry *wigeonwire.Entry) bool { return entry.GetSessionExpire() != nil }

// Guards against a stopped process whose session never expires and keeps its partitions, and against an expiry while
// the process may still trust its lease.
func TestUnrenewedSessionExpires(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *qt.C, log *memoryLog) {
		control := startProcess(t, log, 1, controlRole)
		dead := startProcess(t, log, 2, entryRole)
		others := startProcess(t, log, 3, entryRole)
		defer control.stop()
		defer others.stop()
		for _, p := range []*process{control, dead, others} {
			p.waitSessionOpen(t)
		}
		time.Sleep(5 * time.Second)
		dead.stop()
		died := time.Now()
		waitUntil(t, 30*time.Second, func() bool {
			sessions := control.View().Sessions
			return len(sessions) == 3 && sessions[1].Expired
		})
		c.Assert(time.Since(died) >= 8*time.Second, qt.IsTrue, qt.Commentf("after %v", time.Since(died)))
		c.Assert(time.Since(died) <= 13*time.Second, qt.IsTrue, qt.Commentf("after %v", time.Since(died)))
		c.Assert(log.entries(isExpire), qt.Equals, 1)
		// A new session with the same peer address removes the expired one, because binding the port proves that the
		// earlier process has exited.
		restarted := startProcess(t, log, 4, entryRole, func(config *wigeonfollow.Config, _ *logClient) { config.OpenEntry.PeerAddress = "127.0.0.1:2" })
		defer restarted.stop()
		restarted.waitSessionOpen(t)
		waitUntil(t, time.Second, func() bool { return len(control.View().Sessions) == 3 && !control.View().Sessions[1].Expired })
	})
}

// Guards against the expiry of healthy sessions during an outage or with a slow log, when no session can be renewed.
func TestOutageExpiresNoSession(t *testing.T) {
	outages := map[string]func(*logClient, bool){
		"log down":     func(c *logClient, on bool) { c.down = on },
		"appends down": func(c *logClient, on bool) { c.appendsDown = on },
		"log slow": func(c *logClient, on bool) {
			c.delay = 0
			if on {
				c.delay = 4 * time.Second
			}
		},
	}
	for name, fault := range outages {
		t.Run(name, func(t *testing.T) {
			runWithFakeTime(t, func(t *testing.T, c *qt.C, log *memoryLog) {
				var all []*process
				for id := range wigeonstep.SessionID(6) {
					role := entryRole
					if id%2 == 0 {
						role = controlRole
					}
					p := startProcess(t, log, id+1, role)
					defer p.stop()
					p.waitSessionOpen(t)
					all = append(all, p)
				}
				for _, length := range []time.Duration{3 * time.Second, 9 * time.Second, time.Minute} {
					for _, p := range all {
						p.logClient.set(func(c *logClient) { fault(c, true) })
					}
					time.Sleep(length)
					for _, p := range all {
						p.logClient.set(func(c *logClient) { fault(c, false) })
					}
					time.Sleep(20 * time.Second)
				}
				c.Assert(log.entries(isExpire), qt.Equals, 0)
				for _, p := range all {
					c.Assert(p.LeaseValid(), qt.IsTrue)
				}
			})
		})
	}
}

// Guards against a process that acts as the owner after its session has expired, and against one that opens no new
// session.
func TestReopenAfterExpiry(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *qt.C, log *memoryLog) {
		control := startProcess(t, log, 1, controlRole)
		entry := startProcess(t, log, 2, entryRole)
		defer control.stop()
		defer entry.stop()
		control.waitSessionOpen(t)
		entry.waitSessionOpen(t)
		entry.SetReady(true, false)
		waitUntil(t, time.Second, func() bool { return control.View().Owner("k") != nil })
		entry.logClient.set(func(c *logClient) { c.down = true })
		waitUntil(t, 30*time.Second, func() bool { return control.View().Owner("k") == nil })
		// The lease of the holder must end before any other process may expire the session.
		c.Assert(entry.LeaseValid(), qt.IsFalse)
		c.Assert(entry.ConfirmedAge() > 6*time.Second, qt.IsTrue)
		waiting := make(chan error, 1)
		go func() {
			_, err := entry.propose(t, decision("orders"))
			waiting <- err
		}()
		time.Sleep(time.Second)
		entry.logClient.set(func(c *logClient) { c.down = false })
		waitUntil(t, 10*time.Second, func() bool { return entry.Session() != 2 && entry.LeaseValid() })
		c.Assert(<-waiting, qt.IsNil)
		waitUntil(t, 5*time.Second, func() bool { return control.View().Owner("k") != nil })
		c.Assert(control.View().Owner("k").ID, qt.Equals, entry.Session())
		c.Assert(control.View().Sessions, qt.HasLen, 2)
		c.Assert(entry.ConfirmedAge() < 2*time.Second, qt.IsTrue)
	})
}

// Guards against a lease that starts when the log answers instead of before the renewal is sent.
func TestLeaseStartsBeforeRenewalIsSent(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *qt.C, log *memoryLog) {
		p := startProcess(t, log, 1, entryRole, func(_ *wigeonfollow.Config, c *logClient) { c.delay = 2 * time.Second })
		defer p.stop()
		waitUntil(t, 30*time.Second, p.LeaseValid)
		p.logClient.set(func(c *logClient) { c.appendsDown = true })
		waitUntil(t, 20*time.Second, func() bool { return !p.LeaseValid() })
		_, at := log.batches(1)
		appended := at[len(at)-1]
		c.Assert(time.Since(appended) <= 6*time.Second+50*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(appended)))
	})
}

// Guards against a renewal that reports a later offset than that of the view from which the busy VMs were determined.
func TestRenewalReportsBusyVMs(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *qt.C, log *memoryLog) {
		p := startProcess(t, log, 1, entryRole, func(config *wigeonfollow.Config, _ *logClient) {
			config.BusyVMs = func() []wigeonstep.VMID { return []wigeonstep.VMID{"a1"} }
		})
		defer p.stop()
		p.waitSessionOpen(t)
		session := p.View().Sessions[0]
		c.Assert(session.BusyVMs, qt.DeepEquals, map[wigeonstep.VMID]bool{"a1": true})
		c.Assert(session.AppliedOffset, qt.Equals, wigeonstep.Offset(0))
		c.Assert(session.LastRenewal, qt.Equals, uint64(1))
	})
}

// Guards against a process that treats a fresh view as a valid lease. When reads succeed and appends fail, its session
// expires, and a VM of another data centre may move to another pool at once.
func TestFreshViewDoesNotImplyLease(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *qt.C, log *memoryLog) {
		control := startProcess(t, log, 1, controlRole)
		entry := startProcess(t, log, 2, entryRole)
		defer control.stop()
		defer entry.stop()
		control.waitSessionOpen(t)
		entry.waitSessionOpen(t)
		entry.logClient.set(func(c *logClient) { c.appendsDown = true })
		waitUntil(t, 30*time.Second, func() bool { return control.View().Sessions[1].Expired })
		c.Assert(entry.ConfirmedAge() < 2*time.Second, qt.IsTrue)
		c.Assert(entry.LeaseValid(), qt.IsFalse)
	})
}
