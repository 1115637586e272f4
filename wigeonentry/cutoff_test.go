package wigeonentry_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonfake"
)

// answerLog collects the answers to each order, by its key.
type answerLog struct {
	mu      sync.Mutex
	answers map[string][]answer
}

func (al *answerLog) add(key string, got answer) {
	al.mu.Lock()
	defer al.mu.Unlock()
	al.answers[key] = append(al.answers[key], got)
}

// TestOwnerCutOffFromPlatform guards against orders that run twice or get a false outcome when an entry process loses the
// platform, but not its callers and peers, until its session expires and other processes own its keys. If the last answer
// to an order is not_run, the order must not have run; after an earlier not_run a further attempt may have run it. The
// other processes have to serve all orders again.
func TestOwnerCutOffFromPlatform(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	runCounter := &wigeonfake.RunCounter{}
	platform := startPlatform(t, runCounter)
	var entries []*entry
	for i := range 3 {
		e := startRealEntry(t, platform, fmt.Sprintf("entry-%d", i))
		entries = append(entries, &entry{process: e.process, address: e.address})
	}
	for _, e := range entries {
		waitFor(t, "the entry process to be ready", e.process.Ready)
	}
	waitFor(t, "orders to be served", func() bool {
		for n := range 20 {
			if entries[n%3].order(fmt.Sprintf("warm-%d-%d", n, time.Now().UnixNano()), "wax").outcome != wigeonstep.OutcomeDone {
				return false
			}
		}
		return true
	})
	received := &answerLog{answers: map[string][]answer{}}
	stopCallers := make(chan struct{})
	var callers sync.WaitGroup
	for i := range 12 {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stopCallers:
					return
				default:
				}
				key := fmt.Sprintf("order-%d-%d", i, n)
				// Tries an order up to three times, at different processes, until it is done.
				for k := range 3 {
					got := entries[(i+n+k)%3].order(key, key)
					received.add(key, got)
					if got.outcome == wigeonstep.OutcomeDone {
						break
					}
				}
			}
		})
	}
	platform.SetDisconnected("entry-0", true)
	othersServe := func() bool {
		for n := range 30 {
			if entries[1+n%2].order(fmt.Sprintf("after-%d-%d", n, time.Now().UnixNano()), "wax").outcome != wigeonstep.OutcomeDone {
				return false
			}
		}
		return true
	}
	cut := time.Now()
	// The session of entry-0 expires 10 s after its last renewal at the earliest, so an earlier success shows no takeover.
	for !othersServe() || time.Since(cut) < 10*time.Second {
		c.Assert(time.Since(cut) < 40*time.Second, qt.IsTrue, qt.Commentf("the other processes did not take over"))
	}
	t.Logf("the other processes serve all orders again %v after the cut", time.Since(cut).Round(100*time.Millisecond))
	platform.SetDisconnected("entry-0", false)
	waitFor(t, "the process that was cut off to serve again", func() bool {
		return entries[0].order(fmt.Sprintf("back-%d", time.Now().UnixNano()), "wax").outcome == wigeonstep.OutcomeDone
	})
	close(stopCallers)
	callers.Wait()
	outcomes := map[wigeonstep.Outcome]int{}
	for key, answers := range received.answers {
		runs := runCounter.RunsOfKey(wigeonstep.IdempotencyKey(key))
		c.Check(runs <= 1, qt.IsTrue, qt.Commentf("key %s ran %d times", key, runs))
		for i, got := range answers {
			c.Assert(got.err, qt.IsNil)
			outcomes[got.outcome]++
			if got.outcome == wigeonstep.OutcomeDone {
				_, err := wigeonfake.CheckAnswer([]byte(got.body), []byte(key))
				c.Check(err, qt.IsNil)
				c.Check(runs, qt.Equals, 1)
			}
			if got.outcome == wigeonstep.OutcomeNotRun && i == len(answers)-1 {
				c.Check(runs, qt.Equals, 0, qt.Commentf("key %s: %v", key, answers))
			}
		}
	}
	t.Logf("outcomes: %v", outcomes)
}
