package wigeonfollow_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonfollow"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

func shortRetention(config *wigeonfollow.Config, _ *logClient) { config.Retention = time.Minute }

func withPeers(peers ...wigeonfollow.RecordSource) func(*wigeonfollow.Config, *logClient) {
	return func(config *wigeonfollow.Config, _ *logClient) {
		config.Peers = func() []wigeonfollow.RecordSource { return peers }
	}
}

func platformDown(_ *wigeonfollow.Config, c *logClient) { c.down = true }

// Guards against a process that cannot start, or starts with a wrong state, after the log has dropped its first
// records.
func TestStartFromSnapshot(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *qt.C, log *memoryLog) {
		first := startProcess(t, log, 1, controlRole, shortRetention)
		second := startProcess(t, log, 2, controlRole, shortRetention)
		defer first.stop()
		defer second.stop()
		first.waitSessionOpen(t)
		second.waitSessionOpen(t)
		for i := range 100 {
			_, err := first.propose(t, observation(fmt.Sprintf("a%d", i), 8))
			c.Assert(err, qt.IsNil)
		}
		time.Sleep(20 * time.Second)
		log.compact()
		_, err := first.propose(t, observation("a200", 8))
		c.Assert(err, qt.IsNil)
		late := startProcess(t, log, 3, controlRole, shortRetention)
		defer late.stop()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		c.Assert(late.WaitReady(ctx), qt.IsNil)
		c.Assert(late.View().VMs, qt.HasLen, 101)
		late.waitSessionOpen(t)
		waitUntil(t, time.Second, func() bool { return first.View().NextOffset == late.View().NextOffset })
		c.Assert(string(late.encodeState(c)), qt.Equals, string(first.encodeState(c)))
	})
}

// Guards against snapshots that no process writes after the writer has stopped, or that several processes write.
func TestLowestControlSessionWritesSnapshots(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *qt.C, log *memoryLog) {
		snapshots := func() int {
			log.mu.Lock()
			defer log.mu.Unlock()
			return len(log.streams[wigeonstep.SnapshotStream].records)
		}
		first := startProcess(t, log, 1, controlRole, shortRetention)
		first.waitSessionOpen(t)
		second := startProcess(t, log, 2, controlRole, shortRetention)
		defer second.stop()
		entry := startProcess(t, log, 3, entryRole, shortRetention)
		defer entry.stop()
		second.waitSessionOpen(t)
		time.Sleep(61 * time.Second)
		c.Assert(snapshots() >= 4 && snapshots() <= 6, qt.IsTrue, qt.Commentf("%d snapshots", snapshots()))
		first.stop()
		before := snapshots()
		time.Sleep(30 * time.Second)
		c.Assert(snapshots() > before, qt.IsTrue)
	})
}

// Guards against loading a damaged or incomplete snapshot.
func TestDamagedSnapshotIsIgnored(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *qt.C, log *memoryLog) {
		log.append(wigeonstep.SnapshotStream, []byte("garbage"))
		for _, chunk := range []*wigeonwire.SnapshotChunk{
			{Covers: 90, Count: 1, Hash: 5, Data: marshal(c, &wigeonwire.State{NextOffset: 90})},
			{Covers: 91, Count: 2, Index: 1, Hash: 5, Data: []byte("half")},
			{Covers: 92, Count: 1 << 31, Hash: 5, Data: []byte("count")},
		} {
			log.append(wigeonstep.SnapshotStream, marshal(c, chunk))
		}
		p := startProcess(t, log, 1, entryRole)
		defer p.stop()
		p.waitSessionOpen(t)
		c.Assert(p.View().NextOffset < 90, qt.IsTrue)
	})
}

// Guards against a running process that cannot continue after the log has dropped records that it had not read.
func TestCompactionWhileDisconnected(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *qt.C, log *memoryLog) {
		control := startProcess(t, log, 1, controlRole, shortRetention)
		defer control.stop()
		control.waitSessionOpen(t)
		disconnected := startProcess(t, log, 2, controlRole, shortRetention)
		defer disconnected.stop()
		disconnected.waitSessionOpen(t)
		disconnected.logClient.set(func(c *logClient) { c.down = true })
		proposed := make(chan error, 1)
		go func() {
			_, err := disconnected.propose(t, observation("cut", 8))
			proposed <- err
		}()
		time.Sleep(20 * time.Second)
		_, err := control.propose(t, observation("a1", 8))
		c.Assert(err, qt.IsNil)
		time.Sleep(20 * time.Second)
		log.compact()
		disconnected.logClient.set(func(c *logClient) { c.down = false })
		waitUntil(t, time.Minute, func() bool { return len(proposed) > 0 })
		c.Assert(<-proposed, qt.IsNil)
		c.Assert(disconnected.View().VMs, qt.HasLen, 2)
		c.Assert(disconnected.Session(), qt.Not(qt.Equals), wigeonstep.SessionID(2))
		waitUntil(t, time.Second, func() bool { return control.View().NextOffset == disconnected.View().NextOffset })
		c.Assert(string(disconnected.encodeState(c)), qt.Equals, string(control.encodeState(c)))
	})
}

// Guards against views that are not updated while the platform is unreachable although a peer could relay the log.
func TestFollowThroughPeers(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *qt.C, log *memoryLog) {
		control := startProcess(t, log, 1, controlRole)
		defer control.stop()
		control.waitSessionOpen(t)
		disconnected := startProcess(t, log, 2, entryRole, withPeers(control))
		defer disconnected.stop()
		disconnected.waitSessionOpen(t)
		disconnected.logClient.set(func(c *logClient) { c.down = true })
		twoHops := startProcess(t, log, 3, entryRole, withPeers(disconnected), platformDown)
		defer twoHops.stop()
		for i := range 20 {
			_, err := control.propose(t, observation(fmt.Sprint("a", i), 8))
			c.Assert(err, qt.IsNil)
			time.Sleep(time.Second)
			if i > 5 {
				c.Assert(disconnected.ConfirmedAge() < 3*time.Second, qt.IsTrue, qt.Commentf("%v", disconnected.ConfirmedAge()))
				// Over two hops, the confirmed age is the sum of the ages of both.
				c.Assert(twoHops.ConfirmedAge() >= disconnected.ConfirmedAge()/4, qt.IsTrue)
				c.Assert(twoHops.ConfirmedAge() < 4*time.Second, qt.IsTrue, qt.Commentf("%v", twoHops.ConfirmedAge()))
			}
		}
		// The bounds are the maximum ages above. They are below 5 s, within which a document must be in force.
		waitUntil(t, 3*time.Second, func() bool { return len(disconnected.View().VMs) == 20 })
		waitUntil(t, 4*time.Second, func() bool { return len(twoHops.View().VMs) == 20 })
		c.Assert(twoHops.waitReady(t), qt.IsNil)
		control.logClient.set(func(c *logClient) { c.down = true })
		time.Sleep(10 * time.Second)
		c.Assert(disconnected.ConfirmedAge() > 6*time.Second, qt.IsTrue)
		c.Assert(twoHops.ConfirmedAge() >= 6*time.Second, qt.IsTrue)
	})
}

// unresponsivePeer does not answer calls before their context ends.
type unresponsivePeer struct{ calls atomic.Int32 }

func (d *unresponsivePeer) FetchRecords(ctx context.Context, _ wigeonstep.Offset, _ int) (*wigeonwire.Records, error) {
	d.calls.Add(1)
	<-ctx.Done()
	return nil, ctx.Err()
}

func (d *unresponsivePeer) FetchSnapshot(ctx context.Context) ([]byte, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a new process that becomes ready with a stale view because the first peer that answered had one.
func TestReadyOnlyAfterAllPeersWereQueried(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *qt.C, log *memoryLog) {
		control := startProcess(t, log, 1, controlRole)
		defer control.stop()
		control.waitSessionOpen(t)
		stale := startProcess(t, log, 2, entryRole)
		defer stale.stop()
		stale.waitSessionOpen(t)
		stale.logClient.set(func(c *logClient) { c.down = true })
		// A read that is in flight when the fault starts still succeeds, so the test waits for its end.
		time.Sleep(2 * time.Second)
		_, err := control.propose(t, observation("a1", 8))
		c.Assert(err, qt.IsNil)
		unresponsive := &unresponsivePeer{}
		fresh := startProcess(t, log, 3, entryRole, withPeers(stale, unresponsive, unresponsive, unresponsive, unresponsive, unresponsive, control), platformDown)
		defer fresh.stop()
		c.Assert(fresh.waitReady(t), qt.IsNil)
		c.Assert(unresponsive.calls.Load() > 0, qt.IsTrue)
		c.Assert(stale.View().VMs, qt.HasLen, 0)
		c.Assert(fresh.View().VMs, qt.HasLen, 1)

		isolated := startProcess(t, log, 4, entryRole, withPeers(unresponsive), platformDown)
		defer isolated.stop()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		c.Assert(isolated.WaitReady(ctx), qt.ErrorIs, context.DeadlineExceeded)
	})
}
