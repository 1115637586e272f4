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

// Guards against a dead process that keeps its partitions, and against its expiry before others may trust that it stopped.
func TestSilentSessionExpires(t *testing.T) {
	inBubble(t, func(t *testing.T, c *qt.C, log *memLog) {
		control := startProcess(t, log, 1, controlRole)
		dead := startProcess(t, log, 2, entryRole)
		others := startProcess(t, log, 3, entryRole)
		defer control.stop()
		defer others.stop()
		for _, p := range []*process{control, dead, others} {
			p.opened(t)
		}
		time.Sleep(5 * time.Second)
		dead.stop()
		died := time.Now()
		until(t, 30*time.Second, func() bool {
			sessions := control.View().Sessions
			return len(sessions) == 3 && sessions[1].Expired
		})
		c.Assert(time.Since(died) >= 8*time.Second, qt.IsTrue, qt.Commentf("after %v", time.Since(died)))
		c.Assert(time.Since(died) <= 13*time.Second, qt.IsTrue, qt.Commentf("after %v", time.Since(died)))
		c.Assert(log.entries(isExpire), qt.Equals, 1)
		// The new incarnation binds the same port, which proves that the earlier one is gone.
		again := startProcess(t, log, 4, entryRole, func(config *wigeonfollow.Config, _ *client) { config.Open.PeerAddress = "127.0.0.1:2" })
		defer again.stop()
		again.opened(t)
		until(t, time.Second, func() bool { return len(control.View().Sessions) == 3 && !control.View().Sessions[1].Expired })
	})
}

// Guards against an outage or a slow log that expires healthy sessions: no session can renew then.
func TestOutageExpiresNobody(t *testing.T) {
	outages := map[string]func(*client, bool){
		"log down":     func(c *client, on bool) { c.down = on },
		"appends down": func(c *client, on bool) { c.appendsDown = on },
		"log slow": func(c *client, on bool) {
			c.delay = 0
			if on {
				c.delay = 4 * time.Second
			}
		},
	}
	for name, fault := range outages {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, c *qt.C, log *memLog) {
				var all []*process
				for id := range wigeonstep.SessionID(6) {
					role := entryRole
					if id%2 == 0 {
						role = controlRole
					}
					p := startProcess(t, log, id+1, role)
					defer p.stop()
					p.opened(t)
					all = append(all, p)
				}
				for _, length := range []time.Duration{3 * time.Second, 9 * time.Second, time.Minute} {
					for _, p := range all {
						p.client.set(func(c *client) { fault(c, true) })
					}
					time.Sleep(length)
					for _, p := range all {
						p.client.set(func(c *client) { fault(c, false) })
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

// Guards against a process that goes on as the owner after it was expired, and against one that never returns.
func TestReopenAfterExpiry(t *testing.T) {
	inBubble(t, func(t *testing.T, c *qt.C, log *memLog) {
		control := startProcess(t, log, 1, controlRole)
		entry := startProcess(t, log, 2, entryRole)
		defer control.stop()
		defer entry.stop()
		control.opened(t)
		entry.opened(t)
		entry.SetReady(true, false)
		until(t, time.Second, func() bool { return control.View().Owner("k") != nil })
		entry.client.set(func(c *client) { c.down = true })
		until(t, 30*time.Second, func() bool { return control.View().Owner("k") == nil })
		// The holder stops trusting its lease before any other process may expire it.
		c.Assert(entry.LeaseValid(), qt.IsFalse)
		c.Assert(entry.ConfirmedAge() > 6*time.Second, qt.IsTrue)
		waiting := make(chan error, 1)
		go func() {
			_, err := entry.propose(t, decision("orders"))
			waiting <- err
		}()
		time.Sleep(time.Second)
		entry.client.set(func(c *client) { c.down = false })
		until(t, 10*time.Second, func() bool { return entry.Session() != 2 && entry.LeaseValid() })
		c.Assert(<-waiting, qt.IsNil)
		until(t, 5*time.Second, func() bool { return control.View().Owner("k") != nil })
		c.Assert(control.View().Owner("k").ID, qt.Equals, entry.Session())
		c.Assert(control.View().Sessions, qt.HasLen, 2)
		c.Assert(entry.ConfirmedAge() < 2*time.Second, qt.IsTrue)
	})
}

// Guards against a lease that is counted from when the log answered instead of from before the renewal was sent.
func TestLeaseIsCountedFromBeforeTheRenewal(t *testing.T) {
	inBubble(t, func(t *testing.T, c *qt.C, log *memLog) {
		p := startProcess(t, log, 1, entryRole, func(_ *wigeonfollow.Config, c *client) { c.delay = 2 * time.Second })
		defer p.stop()
		until(t, 30*time.Second, p.LeaseValid)
		p.client.set(func(c *client) { c.appendsDown = true })
		until(t, 20*time.Second, func() bool { return !p.LeaseValid() })
		_, at := log.batches(1)
		appended := at[len(at)-1]
		c.Assert(time.Since(appended) <= 6*time.Second+50*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(appended)))
	})
}

// Guards against a renewal that claims a later offset than the one at which the VMs in use were listed.
func TestRenewalReportsBusyVMs(t *testing.T) {
	inBubble(t, func(t *testing.T, c *qt.C, log *memLog) {
		p := startProcess(t, log, 1, entryRole, func(config *wigeonfollow.Config, _ *client) {
			config.BusyVMs = func() []wigeonstep.VMID { return []wigeonstep.VMID{"a1"} }
		})
		defer p.stop()
		p.opened(t)
		session := p.View().Sessions[0]
		c.Assert(session.BusyVMs, qt.DeepEquals, map[wigeonstep.VMID]bool{"a1": true})
		c.Assert(session.AppliedOffset, qt.Equals, wigeonstep.Offset(0))
		c.Assert(session.LastRenewal, qt.Equals, uint64(1))
	})
}

// Guards against a process that takes a fresh view for a valid lease: with reads that work and appends that fail it is expired,
// and a VM of another data centre may be given to a new pool at once.
func TestFreshViewIsNoLease(t *testing.T) {
	inBubble(t, func(t *testing.T, c *qt.C, log *memLog) {
		control := startProcess(t, log, 1, controlRole)
		entry := startProcess(t, log, 2, entryRole)
		defer control.stop()
		defer entry.stop()
		control.opened(t)
		entry.opened(t)
		entry.client.set(func(c *client) { c.appendsDown = true })
		until(t, 30*time.Second, func() bool { return control.View().Sessions[1].Expired })
		c.Assert(entry.ConfirmedAge() < 2*time.Second, qt.IsTrue)
		c.Assert(entry.LeaseValid(), qt.IsFalse)
	})
}
