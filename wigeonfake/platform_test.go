package wigeonfake_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonfake"
)

// clock is a clock that advances only when a test calls advance.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func newClock() *clock {
	return &clock{now: time.Unix(1_800_000_000, 0)}
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(by)
}

func appendText(t testing.TB, log wigeonstep.Log, text string) {
	t.Helper()
	_, err := log.Append(t.Context(), wigeonstep.FleetStream, []byte(text))
	qt.Assert(t, err, qt.IsNil)
}

// Guards against a platform without faults that rejects, loses or changes records.
func TestPlatformWithoutFaults(t *testing.T) {
	var platform wigeonfake.Platform
	payload := []byte("a")
	offset, err := platform.Append(t.Context(), wigeonstep.FleetStream, payload)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, offset, qt.Equals, wigeonstep.Offset(0))
	payload[0] = 'b'
	read, err := platform.Client("x").Read(t.Context(), wigeonstep.FleetStream, 0, 10, time.Second)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, read, qt.DeepEquals, wigeonstep.LogRead{
		Records: []wigeonstep.LogRecord{{Offset: 0, Payload: []byte("a")}}, First: 0, Next: 1,
	})
	read, err = platform.Read(t.Context(), wigeonstep.SnapshotStream, 0, 10, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, read, qt.DeepEquals, wigeonstep.LogRead{})
}

// Guards against concurrent appends that lose a record or share an offset, and against a reader that misses one.
func TestConcurrentAppendsAndReader(t *testing.T) {
	var platform wigeonfake.Platform
	platform.SetFaults(wigeonfake.Faults{AppendsPerSecond: -1})
	const writers, each = 8, 50
	var writing sync.WaitGroup
	for w := range writers {
		writing.Go(func() {
			for i := range each {
				_, err := platform.Client("w").Append(t.Context(), wigeonstep.FleetStream, fmt.Appendf(nil, "%d-%d", w, i))
				qt.Check(t, err, qt.IsNil)
			}
		})
	}
	seen := map[string]bool{}
	for next := wigeonstep.Offset(0); len(seen) < writers*each; {
		read, err := platform.Read(t.Context(), wigeonstep.FleetStream, next, 7, 10*time.Second)
		qt.Assert(t, err, qt.IsNil)
		for _, r := range read.Records {
			qt.Assert(t, r.Offset, qt.Equals, next)
			seen[string(r.Payload)] = true
			next++
		}
	}
	writing.Wait()
}

// Guards against log faults that return a wrong error, or that let an append take effect, or lose it, when they must not.
func TestLogFaults(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(p *wigeonfake.Platform)
		want    error
		appends int
	}{
		{"down", func(p *wigeonfake.Platform) { p.SetFaults(wigeonfake.Faults{LogUnavailable: true}) }, wigeonstep.ErrUnavailable, 0},
		{"cut off", func(p *wigeonfake.Platform) { p.SetDisconnected("a", true) }, wigeonstep.ErrUnavailable, 0},
		{"other client cut off", func(p *wigeonfake.Platform) { p.SetDisconnected("b", true) }, nil, 1},
		{"answer lost", func(p *wigeonfake.Platform) { p.SetFaults(wigeonfake.Faults{LoseAppendAnswerProbability: 1}) }, wigeonstep.ErrAnswerLost, 1},
		{"slower than the deadline before the append", func(p *wigeonfake.Platform) { p.SetFaults(wigeonfake.Faults{LogDelay: time.Hour}) },
			wigeonstep.ErrUnavailable, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			var platform wigeonfake.Platform
			test.prepare(&platform)
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			_, err := platform.Client("a").Append(ctx, wigeonstep.FleetStream, []byte("x"))
			if test.want == nil {
				qt.Assert(t, err, qt.IsNil)
			} else {
				qt.Assert(t, err, qt.ErrorIs, test.want)
			}
			qt.Assert(t, platform.Appends(), qt.Equals, test.appends)
		})
	}
}

// Guards against an outage or a disconnection that does not end a waiting read, or that still fails reads after its end.
func TestFaultsWakeReaders(t *testing.T) {
	var platform wigeonfake.Platform
	for _, test := range []struct {
		name       string
		begin, end func()
	}{
		{"down", func() { platform.SetFaults(wigeonfake.Faults{LogUnavailable: true}) }, func() { platform.SetFaults(wigeonfake.Faults{}) }},
		{"cut", func() { platform.SetDisconnected("a", true) }, func() { platform.SetDisconnected("a", false) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			ended := make(chan error)
			go func() {
				_, err := platform.Client("a").Read(context.Background(), wigeonstep.FleetStream, 0, 1, time.Hour)
				ended <- err
			}()
			test.begin()
			qt.Assert(t, <-ended, qt.ErrorIs, wigeonstep.ErrUnavailable)
			test.end()
			_, err := platform.Client("a").Read(t.Context(), wigeonstep.FleetStream, 0, 1, 0)
			qt.Assert(t, err, qt.IsNil)
		})
	}
}

// Guards against a rate limit that admits too many or too few appends.
func TestAppendRate(t *testing.T) {
	clock := newClock()
	platform := wigeonfake.Platform{Now: clock.Now}
	platform.SetFaults(wigeonfake.Faults{AppendsPerSecond: 300})
	for second := range 3 {
		accepted := 0
		for range 1000 {
			_, err := platform.Append(t.Context(), wigeonstep.FleetStream, []byte("x"))
			if err == nil {
				accepted++
				continue
			}
			qt.Assert(t, err, qt.ErrorIs, wigeonstep.ErrRejected)
		}
		qt.Assert(t, accepted, qt.Equals, 300, qt.Commentf("second %d", second))
		clock.advance(time.Second)
	}
}

// Guards against a log that retains more or fewer records than its retention.
func TestRetention(t *testing.T) {
	clock := newClock()
	platform := wigeonfake.Platform{Now: clock.Now}
	platform.SetFaults(wigeonfake.Faults{RetainAge: time.Minute})
	appendText(t, &platform, "old")
	clock.advance(50 * time.Second)
	appendText(t, &platform, "new")
	_, err := platform.Read(t.Context(), wigeonstep.FleetStream, 0, 9, 0)
	qt.Assert(t, err, qt.IsNil)
	clock.advance(20 * time.Second)
	read, err := platform.Read(t.Context(), wigeonstep.FleetStream, 0, 9, 0)
	qt.Assert(t, err, qt.ErrorIs, wigeonstep.ErrCompacted)
	qt.Assert(t, read, qt.DeepEquals, wigeonstep.LogRead{First: 1, Next: 2})
	clock.advance(time.Hour)
	read, err = platform.Read(t.Context(), wigeonstep.FleetStream, 2, 9, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, read, qt.DeepEquals, wigeonstep.LogRead{First: 2, Next: 2})
}

// Guards against random choices that differ between runs with the same seed.
func TestSeedRepeatsRandomChoices(t *testing.T) {
	run := func() (lost string) {
		platform := wigeonfake.Platform{Seed: 5}
		platform.SetFaults(wigeonfake.Faults{LoseAppendAnswerProbability: 0.5})
		for range 40 {
			_, err := platform.Append(t.Context(), wigeonstep.FleetStream, nil)
			lost += fmt.Sprint(errors.Is(err, wigeonstep.ErrAnswerLost))
		}
		return lost
	}
	first := run()
	qt.Assert(t, first, qt.Contains, "true")
	qt.Assert(t, first, qt.Contains, "false")
	qt.Assert(t, run(), qt.Equals, first)
}

// Guards against a VM list that contains changes too early or too late, or that reports a wrong age.
func TestVMListFaults(t *testing.T) {
	clock := newClock()
	platform := wigeonfake.Platform{Now: clock.Now}
	expect := func(age time.Duration, ids ...wigeonstep.VMID) {
		t.Helper()
		list, err := platform.ListVMs(t.Context())
		qt.Assert(t, err, qt.IsNil)
		var got []wigeonstep.VMID
		for _, vm := range list.VMs {
			got = append(got, vm.ID)
		}
		qt.Assert(t, got, qt.DeepEquals, ids)
		qt.Assert(t, list.Age, qt.Equals, age)
	}
	platform.SetFaults(wigeonfake.Faults{VMListLag: 10 * time.Second})
	platform.AddVM(wigeonstep.ListedVM{ID: "a"})
	expect(10 * time.Second)
	clock.advance(10 * time.Second)
	expect(10*time.Second, "a")
	platform.SetFaults(wigeonfake.Faults{VMListFrozen: true})
	platform.RemoveVM("a")
	clock.advance(time.Minute)
	expect(time.Minute, "a")
	platform.SetFaults(wigeonfake.Faults{})
	expect(0)
	platform.AddVM(wigeonstep.ListedVM{ID: "b"})
	platform.SetFaults(wigeonfake.Faults{VMListEmpty: true})
	expect(0)
	platform.SetFaults(wigeonfake.Faults{VMServiceUnavailable: true})
	_, err := platform.ListVMs(t.Context())
	qt.Assert(t, err, qt.ErrorIs, wigeonstep.ErrUnavailable)
}

// Guards against VM actions that are accepted in a wrong order or with a stale epoch, and against a repeated call that
// reboots again.
func TestVMLifeCycle(t *testing.T) {
	ctx := t.Context()
	var platform wigeonfake.Platform
	t.Cleanup(platform.Close)
	platform.AddVM(wigeonstep.ListedVM{ID: "a", Pool: "wax"})
	qt.Assert(t, platform.RebootVM(ctx, "a", 1), qt.ErrorIs, wigeonstep.ErrRejected)
	qt.Assert(t, platform.AssignVM(ctx, "a", "orders", 1), qt.ErrorIs, wigeonstep.ErrRejected)
	qt.Assert(t, platform.DrainVM(ctx, "a", 2), qt.IsNil)
	qt.Assert(t, platform.DrainVM(ctx, "a", 1), qt.ErrorIs, wigeonstep.ErrRejected)
	qt.Assert(t, platform.RebootVM(ctx, "a", 3), qt.IsNil)
	qt.Assert(t, platform.RebootVM(ctx, "a", 3), qt.IsNil)
	waitFor(t, "the end of the reboot", func() bool {
		state, _ := platform.VM("a")
		return state.Up
	})
	qt.Assert(t, platform.Reboots("a"), qt.Equals, 1)
	qt.Assert(t, platform.AssignVM(ctx, "a", "orders", 4), qt.IsNil)
	qt.Assert(t, platform.AssignVM(ctx, "a", "orders", 4), qt.IsNil)
	state, _ := platform.VM("a")
	qt.Assert(t, state.Pool, qt.Equals, wigeonstep.PoolName("orders"))
	qt.Assert(t, state.Draining || state.Leaving, qt.IsFalse)

	platform.SetFaults(wigeonfake.Faults{RebootLossProbability: 1})
	qt.Assert(t, platform.DrainVM(ctx, "a", 5), qt.IsNil)
	qt.Assert(t, platform.RebootVM(ctx, "a", 6), qt.IsNil)
	state, _ = platform.VM("a")
	qt.Assert(t, state.Lost && !state.Up, qt.IsTrue)
	platform.SetFaults(wigeonfake.Faults{})
	qt.Assert(t, platform.RebootVM(ctx, "a", 7), qt.IsNil)
	waitFor(t, "the VM to come back from the second reboot", func() bool {
		state, _ := platform.VM("a")
		return state.Up && state.Reboots == 3
	})
}
