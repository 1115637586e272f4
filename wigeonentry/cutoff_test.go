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

// answerLog collects the answers to the orders of a test by key.
type answerLog struct {
	mu      sync.Mutex
	answers map[string][]answer
}

func (b *answerLog) add(key string, got answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answers[key] = append(b.answers[key], got)
}

// TestOwnerCutOffFromPlatform guards orders while one entry process is cut off from the platform, but not from callers
// and peers, until its session expires and others own its keys. No key may run twice, a not_run must be true, and the
// other processes have to serve all orders again.
func TestOwnerCutOffFromPlatform(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	ledger := &wigeonfake.Ledger{}
	platform := startPlatform(t, ledger)
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
	stopped := make(chan struct{})
	var callers sync.WaitGroup
	for i := range 12 {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stopped:
					return
				default:
				}
				key := fmt.Sprintf("order-%d-%d", i, n)
				// Callers repeat the order at other processes until its outcome is known.
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
	platform.CutOff("entry-0", true)
	othersServe := func() bool {
		for n := range 30 {
			if entries[1+n%2].order(fmt.Sprintf("after-%d-%d", n, time.Now().UnixNano()), "wax").outcome != wigeonstep.OutcomeDone {
				return false
			}
		}
		return true
	}
	cut := time.Now()
	for !othersServe() || time.Since(cut) < 10*time.Second {
		c.Assert(time.Since(cut) < 40*time.Second, qt.IsTrue, qt.Commentf("the other processes did not take over"))
	}
	t.Logf("the other processes serve all orders again %v after the cut", time.Since(cut).Round(100*time.Millisecond))
	platform.CutOff("entry-0", false)
	waitFor(t, "the process that was cut off to serve again", func() bool {
		return entries[0].order(fmt.Sprintf("back-%d", time.Now().UnixNano()), "wax").outcome == wigeonstep.OutcomeDone
	})
	close(stopped)
	callers.Wait()
	outcomes := map[wigeonstep.Outcome]int{}
	for key, answers := range received.answers {
		runs := ledger.RunsOfKey(wigeonstep.Key(key))
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
