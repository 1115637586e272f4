package wigeonshard

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeoninterference"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// disturbedOwner is an owner whose workers run serving tasks that best-effort tasks slow down by known factors.
type disturbedOwner struct {
	*Owner
	c      *qt.C
	random *rand.Rand
	now    Timestamp
	// slowdown is that of every serving task by one run of the image at full speed.
	slowdown map[wigeonstep.ImageName]float64
	noise    float64
	speeds   map[wigeonstep.RunID]int
	pending  []pendingHeartbeat
	// starts holds the workers of all starts, in their order.
	starts    []string
	throttles []Throttle
	decisions []Decision
	// overSince is the time since which the true tail of each serving task is above its target; longestOver is the longest such time.
	overSince   map[wigeonstep.RunID]time.Duration
	longestOver time.Duration
}

type pendingHeartbeat struct {
	Heartbeat
	answerAt time.Duration
}

const (
	// quietTail is the tail of a serving task without best-effort tasks beside it.
	quietTail  = 10 * time.Millisecond
	testTarget = 40 * time.Millisecond
)

func newDisturbedOwner(t *testing.T, workers int, slowdown map[wigeonstep.ImageName]float64) *disturbedOwner {
	t.Helper()
	now := Timestamp{Steady: time.Hour, Wall: 1_700_000_000_000}
	settings := testSettings
	settings.HeartbeatWait = 800 * time.Millisecond
	o := &disturbedOwner{
		Owner: NewOwner(settings, 1, now, wigeonjob.OwnerRecord{}), c: qt.New(t), random: rand.New(rand.NewPCG(1, 1)), now: now,
		slowdown: slowdown, speeds: map[wigeonstep.RunID]int{}, overSince: map[wigeonstep.RunID]time.Duration{},
	}
	var listed []wigeonstep.ListedWorker
	for i := range workers {
		listed = append(listed, wigeonstep.ListedWorker{
			ID: wigeonstep.WorkerID(fmt.Sprintf("w%02d", i)), Address: "w:1", Service: testService, StartedAt: 1,
			Capacity: wigeonstep.Resources{CPU: 8000, Memory: 8192}, Labels: []wigeonstep.Label{wigeonstep.Label(fmt.Sprintf("w%02d", i))},
		})
	}
	o.SetWorkers(now, listed)
	o.advance(time.Second)
	return o
}

// add adds a job of one long-running step; a label ties it to one worker.
func (o *disturbedOwner) add(id wigeonstep.JobID, image wigeonstep.ImageName, count int, bestEffort bool, label wigeonstep.Label) {
	s := testStep(count)
	s.LongRunning, s.Image, s.BestEffort, s.RequiredLabel = true, image, bestEffort, label
	if !bestEffort {
		s.Target, s.MaxPerWorker = testTarget, 1
	}
	o.AddJob(o.now, testJob(id, s), wigeonjob.Progress{}, false)
}

func (o *disturbedOwner) advance(d time.Duration) {
	for range d / (20 * time.Millisecond) {
		o.now.Steady += 20 * time.Millisecond
		o.now.Wall += 20
		a := o.Step(o.now)
		if a.Append != nil {
			o.AppendAcknowledged(o.now, o.now.Steady)
		}
		clock := 100_000 + wigeonstep.WorkerMillis((o.now.Steady - time.Hour).Milliseconds())
		for _, s := range a.Starts {
			o.starts = append(o.starts, string(s.Order.Run.Task.Job)+" on "+string(s.Worker.ID))
			o.speeds[s.Order.Run] = fullSpeed
			o.StartAnswered(o.now, s, wigeonstep.StartResult{Verdict: wigeonstep.StartAccepted, Clock: clock})
		}
		for _, throttle := range a.Throttles {
			o.speeds[throttle.Run] = throttle.Percent
			o.ThrottleAnswered(o.now, throttle, nil)
		}
		for _, h := range a.Heartbeats {
			o.pending = append(o.pending, pendingHeartbeat{h, o.now.Steady + h.Request.Wait})
		}
		o.throttles, o.decisions = append(o.throttles, a.Throttles...), append(o.decisions, a.Decisions...)
		o.answerHeartbeats(clock)
		o.measureHarm()
	}
}

func (o *disturbedOwner) answerHeartbeats(clock wigeonstep.WorkerMillis) {
	var due []pendingHeartbeat
	o.pending = slices.DeleteFunc(o.pending, func(p pendingHeartbeat) bool {
		if o.now.Steady < p.answerAt {
			return false
		}
		due = append(due, p)
		return true
	})
	for _, p := range due {
		result := wigeonstep.HeartbeatResult{Clock: clock, StartedAt: 1}
		w := o.workers[p.Worker.ID]
		for _, r := range w.runs {
			if r.phase == runAccepted {
				tail := time.Duration(float64(o.tail(w)) * math.Exp(o.noise*o.random.NormFloat64()))
				result.Running = append(result.Running, wigeonstep.RunningRun{Run: r.id(), ProgressPercent: 100, TailLatency: tail, CPU: 100})
			}
		}
		o.HeartbeatAnswered(o.now, p.Heartbeat, result, nil)
	}
}

// tail returns the true tail of a serving task on the worker.
func (o *disturbedOwner) tail(w *worker) time.Duration {
	factor := 1.0
	for _, r := range w.runs {
		if s := o.slowdown[r.task.step.Image]; s > 0 && r.task.step.BestEffort && r.phase == runAccepted {
			factor *= math.Pow(s, float64(o.speeds[r.id()])/fullSpeed)
		}
	}
	return time.Duration(float64(quietTail) * factor)
}

func (o *disturbedOwner) measureHarm() {
	for _, w := range o.sortedWorkers {
		for _, r := range w.runs {
			since, over := o.overSince[r.id()]
			switch {
			case r.task.step.BestEffort || o.tail(w) <= testTarget:
				delete(o.overSince, r.id())
			case !over:
				o.overSince[r.id()] = o.now.Steady
			default:
				o.longestOver = max(o.longestOver, o.now.Steady-since)
			}
		}
	}
}

// teach makes the pair suspected, by reports as of other workers.
func (o *disturbedOwner) teach(victim, neighbour wigeonstep.ImageName, slowdown float64) {
	at := o.now.Steady - 40*time.Second
	for round := range 50 {
		at += 800 * time.Millisecond
		for w := range 8 {
			ob := wigeoninterference.Observation{At: at, Worker: wigeonstep.WorkerID(fmt.Sprintf("t%d", w)), Victim: victim, Tail: quietTail}
			if (round+3*w)%10 < 5 {
				ob.Tail = time.Duration(float64(quietTail) * slowdown)
				ob.Neighbours = []wigeoninterference.Neighbour{{Image: neighbour, Exposure: 1}}
			}
			o.interference.Observe(ob)
		}
	}
	o.c.Assert(o.interference.Suspected(neighbour), qt.HasLen, 1)
}

// eventCount returns the number of decisions of a kind.
func (o *disturbedOwner) eventCount(event string) int {
	n := 0
	for _, d := range o.decisions {
		if d.Event == event {
			n++
		}
	}
	return n
}

// Guards against an effect that an owner does not learn from the reports of its workers, a task that is placed beside one that it
// disturbs while there is room elsewhere, a task that waits for such room, and an explanation that doesn't say so.
func TestSuspectedPairIsKeptApart(t *testing.T) {
	o := newDisturbedOwner(t, 10, map[wigeonstep.ImageName]float64{"mill": 6})
	for i := range 8 {
		o.add(wigeonstep.JobID(fmt.Sprintf("cure%d", i)), "cure", 1, false, wigeonstep.Label(fmt.Sprintf("w%02d", i)))
	}
	for i := range 4 {
		o.add(wigeonstep.JobID(fmt.Sprintf("mill%d", i)), "mill", 1, true, wigeonstep.Label(fmt.Sprintf("w%02d", i)))
	}
	// The other two workers have more runs, and are chosen last without a suspicion.
	for i := 8; i < 10; i++ {
		o.add(wigeonstep.JobID(fmt.Sprintf("dry%d", i)), "dry", 4, true, wigeonstep.Label(fmt.Sprintf("w%02d", i)))
	}
	o.advance(25 * time.Second)
	o.c.Assert(o.interference.Suspected("mill"), qt.HasLen, 1)
	o.c.Assert(o.eventCount("interference_suspected"), qt.Equals, 1)
	before := len(o.starts)
	o.add("other", "scan", 1, true, "")
	o.add("more", "mill", 2, true, "")
	o.add("served", "cure", 1, false, "")
	o.advance(200 * time.Millisecond)
	started := o.starts[before:]
	slices.Sort(started)
	o.c.Assert(started[:2], qt.DeepEquals, []string{"more on w08", "more on w09"})
	o.c.Assert(strings.HasPrefix(started[3], "served on w0"), qt.IsTrue)
	o.c.Assert(started[2] == "other on w08" || started[2] == "other on w09", qt.IsFalse, qt.Commentf("%s", started[2]))
	status, _ := o.Explain(o.now, "more")
	o.c.Assert(status.State, qt.Matches, `.*step 0.0 is kept apart, where there is room, from the tasks of the jobs cure0, cure1, cure2 and \d more, because best-effort tasks of image "mill" multiply the tails of image "cure" by .*`)
	status, _ = o.Explain(o.now, "other")
	o.c.Assert(strings.Contains(status.State, "apart"), qt.IsFalse)
	// Where every worker with room runs a victim, the task starts all the same.
	tied := testStep(1)
	tied.Image, tied.BestEffort, tied.RequiredLabel = "mill", true, "w03"
	o.AddJob(o.now, testJob("tied", tied), wigeonjob.Progress{}, false)
	o.advance(200 * time.Millisecond)
	o.c.Assert(o.starts[len(o.starts)-1], qt.Equals, "tied on w03")
	o.c.Assert(o.jobs["tied"].occurrences[0].steps[0].slowdownOn(o.workers["w03"]) > 0, qt.IsTrue)
}

// Guards against noise that changes placement: with noise alone every task starts where it would start if no task had an image.
func TestNoiseChangesNoPlacement(t *testing.T) {
	play := func(images bool) *disturbedOwner {
		o := newDisturbedOwner(t, 8, nil)
		o.noise = 0.4
		image := func(name wigeonstep.ImageName) wigeonstep.ImageName {
			if images {
				return name
			}
			return ""
		}
		o.add("cure", image("cure"), 8, false, "")
		for i := range 30 {
			o.add(wigeonstep.JobID(fmt.Sprintf("job%02d", i)), image(wigeonstep.ImageName(fmt.Sprintf("i%d", i%4))), 1, true, "")
			if i >= 10 {
				o.CancelJob(o.now, wigeonstep.JobID(fmt.Sprintf("job%02d", i-10)))
			}
			o.advance(4 * time.Second)
		}
		return o
	}
	c := qt.New(t)
	with, without := play(true), play(false)
	known, _ := with.InterferencePairs()
	c.Assert(known, qt.Equals, 4)
	c.Assert(with.eventCount("interference_suspected"), qt.Equals, 0)
	c.Assert(with.starts, qt.DeepEquals, without.starts)
	c.Assert(with.throttles, qt.DeepEquals, without.throttles)
	c.Assert(without.interference.Empty(), qt.IsTrue, qt.Commentf("nothing is learned without images"))
}

// speedOf returns the speed of the run of a job with one task.
func (o *disturbedOwner) speedOf(id wigeonstep.JobID) int {
	return o.jobs[id].occurrences[0].steps[0].tasks[0].runs[0].speed
}

// Guards against innocent runs that are slowed down together with the one that disturbs, when that is known and slowing it down is
// enough.
func TestDisturberIsSlowedDownFirst(t *testing.T) {
	o := newDisturbedOwner(t, 1, map[wigeonstep.ImageName]float64{"mill": 4})
	o.teach("cure", "mill", 4)
	o.add("cure", "cure", 1, false, "")
	o.add("mill", "mill", 1, true, "")
	o.add("dry", "dry", 1, true, "")
	o.advance(5 * time.Second)
	o.c.Assert(o.speedOf("dry"), qt.Equals, fullSpeed)
	o.c.Assert(o.speedOf("mill") < fullSpeed, qt.IsTrue)
}

// Guards against a serving task that is above its target for longer than by the general rule, whatever is suspected. Without images
// the general rule is at work.
func TestHarmIsNoLongerWhateverIsSuspected(t *testing.T) {
	play := func(image, suspected wigeonstep.ImageName, slowdown float64) time.Duration {
		o := newDisturbedOwner(t, 1, map[wigeonstep.ImageName]float64{"": slowdown, "mill": slowdown, "dry": 1.1})
		if suspected != "" {
			o.teach("cure", suspected, 10)
		}
		o.add("cure", "cure", 1, false, "")
		o.add("mill", image, 1, true, "")
		o.add("dry", "dry", 1, true, "")
		o.advance(60 * time.Second)
		return o.longestOver
	}
	c := qt.New(t)
	for _, slowdown := range []float64{3.5, 5, 8, 20} {
		general := play("", "", slowdown)
		right, wrong := play("mill", "mill", slowdown), play("mill", "dry", slowdown)
		c.Logf("slowdown %v: over the target for %s by the general rule, %s with the right image suspected, %s with the wrong one", slowdown, general, right, wrong)
		c.Check(right <= general, qt.IsTrue, qt.Commentf("%s, general rule %s", right, general))
		c.Check(wrong <= general, qt.IsTrue, qt.Commentf("%s, general rule %s", wrong, general))
	}
}

// Guards against speeds above those of the general rule, except for one adjustment while the tail is below the target.
func TestFailedTargetIsMadeUpFor(t *testing.T) {
	for _, test := range []struct {
		tail  time.Duration
		above int
	}{{testTarget * 9 / 10, 1}, {2 * testTarget, 0}} {
		o := newDisturbedOwner(t, 1, nil)
		o.teach("cure", "dry", 10)
		o.add("cure", "cure", 1, false, "")
		o.add("mill", "mill", 1, true, "")
		o.add("dry", "dry", 1, true, "")
		o.advance(time.Second)
		w := o.sortedWorkers[0]
		general, faster := fullSpeed, 0
		for i := range 8 {
			for _, r := range w.runs {
				r.tailLatency = test.tail
			}
			o.now.Steady += slowDownPause
			o.adjustThrottle(o.now, w)
			general /= 2
			if o.speedOf("mill") > general {
				faster++
				o.c.Assert(i, qt.Equals, 0)
			}
			o.c.Assert(o.speedOf("dry") <= general, qt.IsTrue)
		}
		o.c.Assert(faster, qt.Equals, test.above)
	}
}

// Guards against runs of one image that are slowed down alone although that is not enough for the task, or not for a task of another
// image beside it.
func TestGeneralRuleWhereOneImageIsNotEnough(t *testing.T) {
	for _, tails := range []map[wigeonstep.JobID]time.Duration{
		{"cure": 20 * testTarget},
		{"cure": testTarget, "press": testTarget * 9 / 10},
	} {
		o := newDisturbedOwner(t, 1, nil)
		o.teach("cure", "dry", 10)
		o.add("cure", "cure", 1, false, "")
		o.add("press", "press", 1, false, "")
		o.add("mill", "mill", 1, true, "")
		o.add("dry", "dry", 1, true, "")
		o.advance(time.Second)
		w := o.sortedWorkers[0]
		for _, r := range w.runs {
			r.tailLatency = tails[r.task.id.Job]
		}
		o.now.Steady += slowDownPause
		o.adjustThrottle(o.now, w)
		o.c.Check(o.speedOf("mill"), qt.Equals, fullSpeed/2)
		o.c.Check(o.speedOf("dry"), qt.Equals, fullSpeed/2)
	}
}

// Guards against innocent runs that stay slow after they were slowed down together with the one that disturbs.
func TestOthersGetTheirSpeedBack(t *testing.T) {
	o := newDisturbedOwner(t, 1, map[wigeonstep.ImageName]float64{"mill": 4.5})
	o.teach("cure", "mill", 4.5)
	o.add("cure", "cure", 1, false, "")
	o.add("mill", "mill", 1, true, "")
	o.add("dry", "dry", 1, true, "")
	o.advance(time.Second)
	o.c.Assert(o.speedOf("dry"), qt.Equals, fullSpeed/2, qt.Commentf("the tail is above the target"))
	o.advance(5 * time.Second)
	o.c.Assert(o.speedOf("dry"), qt.Equals, fullSpeed)
	o.c.Assert(o.speedOf("mill") <= fullSpeed/2, qt.IsTrue)
}

// Guards against tails that count although they cover a change of what runs beside the task, or time that an earlier tail covered.
func TestOnlySettledTailsCount(t *testing.T) {
	o := newDisturbedOwner(t, 1, nil)
	o.add("cure", "cure", 1, false, "")
	o.add("mill", "mill", 1, true, "")
	o.advance(3 * time.Second)
	w := o.sortedWorkers[0]
	at := w.seenAt
	serving, mill := w.runs[0], w.runs[1]
	settled := func() bool { _, ok := o.exposuresOn(w, at); return ok }
	o.c.Assert(settled(), qt.IsTrue)
	o.c.Assert(serving.observable(at), qt.IsFalse, qt.Commentf("the tail has counted"))
	o.c.Assert(serving.observable(at+tailWindow), qt.IsTrue)
	for name, change := range map[string]func(){
		"throttle not sent":     func() { mill.speed-- },
		"throttle not answered": func() { mill.speedSince = -1 },
		"throttle just applied": func() { mill.speedSince = at - tailWindow },
		"throttle failed":       func() { mill.sentSpeed = -1 },
		"run just started":      func() { mill.startKnownAt = at - tailWindow },
		"run without an answer": func() { mill.phase = runUnknown },
		"neighbour just ended":  func() { w.neighbours.endedAt = at - tailWindow },
	} {
		savedRun, savedEnd := *mill, w.neighbours.endedAt
		change()
		o.c.Check(settled(), qt.IsFalse, qt.Commentf("%s", name))
		*mill, w.neighbours.endedAt = savedRun, savedEnd
	}
	o.CancelJob(o.now, "mill")
	o.endRun(o.now, mill, wigeonstep.EndStopped, "")
	o.c.Assert(w.neighbours.ended, qt.IsTrue)
	o.c.Assert(o.interference.neighbours, qt.Equals, 0)
}

// Guards against log lines about pairs without a bound.
func TestPairLinesAreBounded(t *testing.T) {
	o := newDisturbedOwner(t, 1, nil)
	for i := range 3 * maxPairLines {
		o.teach("cure", wigeonstep.ImageName(fmt.Sprintf("i%02d", i)), 5)
	}
	o.recordPairChanges(o.now)
	lines := 0
	for _, d := range o.out.Decisions {
		if strings.HasPrefix(d.Event, "interference_") {
			lines++
		}
	}
	o.c.Assert(lines, qt.Equals, maxPairLines)
}
