package wigeonfollow_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	entryRole   = wigeonwire.Role_ROLE_ENTRY
	controlRole = wigeonwire.Role_ROLE_CONTROL
)

// Guards against accepted proposals that the proposer or another process does not see, rejected ones that return no
// error, and a session that still accepts proposals after it was closed.
func TestProposeAndFollow(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *qt.C, log *memoryLog) {
		control := startProcess(t, log, 1, controlRole)
		entry := startProcess(t, log, 2, entryRole)
		defer control.stop()
		defer entry.stop()
		c.Assert(control.waitReady(t), qt.IsNil)
		control.waitSessionOpen(t)
		entry.waitSessionOpen(t)
		c.Assert(entry.Session(), qt.Equals, wigeonstep.SessionID(2))

		offset, err := control.propose(t, observation("a1", 8))
		c.Assert(err, qt.IsNil)
		c.Assert(control.View().VMs["a1"].PhaseOffset, qt.Equals, offset)
		waitUntil(t, time.Second, func() bool { return entry.View().VMs["a1"] != nil })
		_, err = entry.propose(t, observation("a2", 8))
		c.Assert(err, qt.ErrorIs, wigeonstep.ErrRejected)
		c.Assert(err, qt.ErrorMatches, ".*only a control session may propose this")

		entry.SetReady(true, false)
		waitUntil(t, time.Second, func() bool { return control.View().Owner("k") != nil })
		_, err = entry.propose(t, intent("k"))
		c.Assert(err, qt.IsNil)
		_, err = entry.propose(t, intent("k"))
		c.Assert(err, qt.ErrorIs, wigeonstep.ErrRejected)

		c.Assert(entry.closeSession(t), qt.IsNil)
		waitUntil(t, time.Second, func() bool { return len(control.View().Sessions) == 1 })
		_, err = entry.propose(t, decision("orders"))
		c.Assert(err, qt.ErrorIs, wigeonstep.ErrUnavailable)
	})
}

// Guards against a proposal that takes effect twice, or never, when the answers of appends are lost.
func TestLostAppendAnswers(t *testing.T) {
	faults := map[string]func(*logClient){
		"after the effect":       func(c *logClient) { c.loseAnswers = 3 },
		"before the effect":      func(c *logClient) { c.loseRequests = 3 },
		"both":                   func(c *logClient) { c.loseAnswers, c.loseRequests = 2, 2 },
		"after, and reads fail":  func(c *logClient) { c.loseAnswers, c.delay = 2, 3*time.Second },
		"before, and slow reads": func(c *logClient) { c.loseRequests, c.delay = 2, time.Second },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			runWithFakeTime(t, func(t *testing.T, c *qt.C, log *memoryLog) {
				p := startProcess(t, log, 1, controlRole)
				defer p.stop()
				p.waitSessionOpen(t)
				p.logClient.set(fault)
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
				defer cancel()
				offset, err := p.Propose(ctx, decision("orders"))
				c.Assert(err, qt.IsNil)
				time.Sleep(30 * time.Second)
				p.Read(func(state *wigeonstate.State) {
					explained := state.Decisions("pool", "orders")
					c.Assert(explained, qt.HasLen, 1)
					c.Assert(explained[0].GetOffset(), qt.Equals, uint64(offset))
				})
				// Batches with the same sequence number must be identical, because the fold ignores all but the first.
				seen := map[uint64]string{}
				batches, _ := log.batches(1)
				for _, batch := range batches {
					text := fmt.Sprint(batch)
					if earlier, ok := seen[batch.GetSequence()]; ok {
						c.Assert(text, qt.Equals, earlier)
					}
					seen[batch.GetSequence()] = text
				}
			})
		})
	}
}

// Guards against a Propose that reports an entry as not appended although it can still take effect.
func TestProposeOutcomeWhenContextEnds(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *qt.C, log *memoryLog) {
		p := startProcess(t, log, 1, controlRole)
		defer p.stop()
		p.waitSessionOpen(t)
		propose := func(subject string) error {
			// Appends are 50 ms apart. A context that ends at the same time as an append would find the entry in flight, which
			// is not a fault. The timeout avoids that.
			ctx, cancel := context.WithTimeout(t.Context(), 225*time.Millisecond)
			defer cancel()
			_, err := p.Propose(ctx, decision(subject))
			return err
		}
		p.logClient.set(func(c *logClient) { c.appendsDown = true })
		c.Assert(propose("down"), qt.ErrorIs, wigeonstep.ErrUnavailable)
		p.logClient.set(func(c *logClient) { c.appendsDown, c.loseRequests = false, 20 })
		c.Assert(propose("lost"), qt.ErrorIs, wigeonstep.ErrAnswerLost)
		p.logClient.set(func(c *logClient) { c.loseRequests = 0 })
		time.Sleep(5 * time.Second)
		p.Read(func(state *wigeonstate.State) {
			c.Assert(state.Decisions("pool", "down"), qt.HasLen, 0)
			c.Assert(state.Decisions("pool", "lost"), qt.HasLen, 1)
		})
	})
}

// Guards against more appends than the limit, both at a steady rate of proposals and after an outage with a full queue.
func TestAppendRate(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *qt.C, log *memoryLog) {
		p := startProcess(t, log, 1, controlRole)
		defer p.stop()
		p.waitSessionOpen(t)
		p.logClient.set(func(c *logClient) { c.down = true })
		var group sync.WaitGroup
		failed := make(chan error, 3000)
		for i := range 3000 {
			group.Go(func() {
				_, err := p.propose(t, observation(fmt.Sprintf("a%d", i%2500), uint32(i)))
				failed <- err
			})
			time.Sleep(time.Millisecond)
		}
		p.logClient.set(func(c *logClient) { c.down = false })
		group.Wait()
		close(failed)
		replaced := 0
		for err := range failed {
			if err != nil {
				c.Assert(err, qt.ErrorMatches, ".*a newer proposal replaced this one")
				replaced++
			}
		}
		c.Assert(replaced, qt.Equals, 500)
		c.Assert(p.View().VMs["a7"].Shape.Cores, qt.Equals, 2507)
		assertRate(c, log, 1)
		// An entry process has the shortest time between reads while it waits for a verdict, so it proposes fastest.
		entry := startProcess(t, log, 2, entryRole)
		defer entry.stop()
		entry.waitSessionOpen(t)
		for range 200 {
			_, err := entry.propose(t, &wigeonwire.Entry{Body: &wigeonwire.Entry_JobCancel{JobCancel: &wigeonwire.JobCancel{Job: "none"}}})
			c.Assert(err, qt.ErrorIs, wigeonstep.ErrRejected)
		}
		assertRate(c, log, 2)
	})
}

// assertRate fails when a session appended more than 21 times within any second: the limit of 20 and a burst of 1.
func assertRate(c *qt.C, log *memoryLog, session wigeonstep.SessionID) {
	c.Helper()
	_, at := log.batches(session)
	for i := 21; i < len(at); i++ {
		c.Assert(at[i].Sub(at[i-21]) >= time.Second, qt.IsTrue, qt.Commentf("22 appends within %v", at[i].Sub(at[i-21])))
	}
}

// Guards against proposals that fill the memory during an outage.
func TestProposalsAreBounded(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *qt.C, log *memoryLog) {
		p := startProcess(t, log, 1, entryRole)
		defer p.stop()
		p.waitSessionOpen(t)
		p.logClient.set(func(c *logClient) { c.down = true })
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		var group sync.WaitGroup
		for i := range 4096 {
			group.Go(func() { _, _ = p.Propose(ctx, intent(fmt.Sprint(i))) })
		}
		time.Sleep(10 * time.Second)
		began := time.Now()
		_, err := p.Propose(ctx, intent("one too many"))
		c.Assert(err, qt.ErrorIs, wigeonstep.ErrUnavailable)
		c.Assert(time.Since(began), qt.Equals, time.Duration(0))
		group.Wait()
	})
}

// Guards against a batch interval that does not grow with the number of entry processes: 56 of them would exceed 200
// appends per second.
func TestBatchIntervalGrows(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *qt.C, log *memoryLog) {
		var entries []*process
		for i := range 20 {
			entries = append(entries, startProcess(t, log, wigeonstep.SessionID(i+1), entryRole))
		}
		for _, p := range entries {
			defer p.stop()
			p.waitSessionOpen(t)
		}
		before, _ := log.batches(1)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		var group sync.WaitGroup
		for i := range 50 {
			group.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					_, _ = entries[0].Propose(ctx, decision(fmt.Sprint(i, n)))
				}
			})
		}
		group.Wait()
		after, _ := log.batches(1)
		// 10 s / (20 x 5 ms) = 100 batches, and a renewal every 2 s.
		c.Assert(len(after)-len(before) <= 106, qt.IsTrue, qt.Commentf("%d appends", len(after)-len(before)))
		c.Assert(len(after)-len(before) >= 70, qt.IsTrue, qt.Commentf("%d appends", len(after)-len(before)))
	})
}
