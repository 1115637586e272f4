package wigeonadmission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonadmission"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
)

const maxQueueTime = 4700 * time.Millisecond

// burstRate returns the arrival rate of a team as a function of time, with a period of 15 s: five times the mean for
// 3 s, then a twentieth of the mean. The bursts of the teams follow one another.
func burstRate(mean float64, team, teams int) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		phase := (at + 15*time.Second*time.Duration(team)/time.Duration(teams)) % (15 * time.Second)
		if phase < 3*time.Second {
			return 5 * mean
		}
		return mean / 20
	}
}

// Guards against requests that wait beyond the bound, or that are refused only after a wait, while teams send bursts in
// turn.
func TestBurstsAreRefusedAtOnce(t *testing.T) {
	t.Parallel()
	const run = 200 * time.Millisecond
	trial := func(newAdmitter func() admitter) (total stats, used float64) {
		f := newFleet(1, 4, 10, documents(5, run), newAdmitter, nil)
		for i := range 5 {
			f.addSource(&source{team: wigeonstep.TeamName(rune('a' + i)), class: "bake", peak: 500, run: run, rate: burstRate(100, i, 5)})
		}
		f.run(60 * time.Second)
		for _, s := range f.sources {
			total.waits, total.retryAfter = append(total.waits, s.waits...), append(total.retryAfter, s.retryAfter...)
			total.lateRefusalWaits = append(total.lateRefusalWaits, s.lateRefusalWaits...)
			total.sent, total.refused = total.sent+s.sent, total.refused+s.refused
		}
		return total, f.usedShare()
	}
	c := quicktest.New(t)
	baseline, usedBaseline := trial(newFIFO)
	policy, used := trial(nil)
	t.Logf("99th percentile wait: fifo %v, policy %v (used %.2f, %.2f); of %d requests %d refused at once, %d later, after %v at the median",
		baseline.p99Wait(), policy.p99Wait(), usedBaseline, used, policy.sent, policy.refused, len(policy.lateRefusalWaits), quantile(policy.lateRefusalWaits, .5))
	c.Check(baseline.p99Wait() > maxQueueTime, quicktest.IsTrue)
	c.Check(quantile(policy.waits, 1) <= maxQueueTime, quicktest.IsTrue)
	c.Check(len(policy.lateRefusalWaits)*100 <= policy.sent, quicktest.IsTrue)
	c.Check(used > 0.95*usedBaseline, quicktest.IsTrue)

	perSecond := map[time.Duration]int{}
	most := 0
	for _, at := range policy.retryAfter {
		perSecond[at.Truncate(time.Second)]++
		most = max(most, perSecond[at.Truncate(time.Second)])
	}
	// The pool serves 400 requests per second. With a fixed Retry-After, the refused part of a burst of 500 per second
	// would return as a burst.
	t.Logf("at most %d refused callers retry in any second", most)
	c.Check(most < 400, quicktest.IsTrue)
}

// Guards against waits that are too long, and refusals that are not necessary, because the declared run time is wrong
// by a factor of ten.
func TestDeclaredRunTimeIsWrong(t *testing.T) {
	t.Parallel()
	const run = 200 * time.Millisecond
	for name, declared := range map[string]time.Duration{"ten times too long": 10 * run, "ten times too short": run / 10} {
		t.Run(name, func(t *testing.T) {
			trial := func(newAdmitter func() admitter) *source {
				f := newFleet(2, 4, 10, documents(1, declared), newAdmitter, nil)
				s := f.addSource(&source{team: "a", class: "bake", peak: 2000, run: run, rate: burstRate(400, 0, 1)})
				f.run(60 * time.Second)
				return s
			}
			baseline, policy := trial(func() admitter { return &fifo{declaredRun: declared} }), trial(nil)
			t.Logf("done: fifo %d, policy %d; longest wait: fifo %v, policy %v; expired %d", baseline.done, policy.done,
				quantile(baseline.waits, 1), quantile(policy.waits, 1), policy.expired)
			c := quicktest.New(t)
			if declared > run {
				c.Check(policy.done > baseline.done*5/4, quicktest.IsTrue)
			} else {
				c.Check(quantile(baseline.waits, 1) > maxQueueTime, quicktest.IsTrue)
			}
			c.Check(quantile(policy.waits, 1) <= maxQueueTime, quicktest.IsTrue)
			c.Check(policy.expired*50 <= policy.sent, quicktest.IsTrue)
		})
	}
}

// Guards against a flood of one team that raises the waits of teams within their shares. In the first trials team b
// asks for more than its share, so that the pool is full even without the flood; in the second trials the pool has free
// slots without it.
func TestFloodDoesNotDelayOtherTeams(t *testing.T) {
	t.Parallel()
	const run = 200 * time.Millisecond
	trial := func(newAdmitter func() admitter, floodFactor, competingLoad float64, duration time.Duration) time.Duration {
		f := newFleet(3, 1, 20, documents(10, run), newAdmitter, nil)
		share := 160 / run.Seconds() / 10
		f.addConstantSource("a", "bake", share*floodFactor, run)
		f.addConstantSource("b", "bake", competingLoad*share, run)
		var others stats
		for i := range 8 {
			f.addConstantSource(wigeonstep.TeamName(rune('c'+i)), "bake", 0.4*share, run)
		}
		f.run(duration)
		for _, s := range f.sources[2:] {
			others.waits = append(others.waits, s.waits...)
		}
		return others.p99Wait()
	}
	fifoCalm, fifoFlood := trial(newFIFO, 1, 8, 10*time.Second), trial(newFIFO, 100, 8, 10*time.Second)
	calm, flood := trial(nil, 1, 8, 30*time.Second), trial(nil, 100, 8, 30*time.Second)
	t.Logf("99th percentile wait with 1 and 100 times the share: fifo %v and %v, policy %v and %v", fifoCalm, fifoFlood, calm, flood)
	c := quicktest.New(t)
	c.Check(fifoFlood > fifoCalm*11/10, quicktest.IsTrue)
	c.Check(flood <= calm*11/10, quicktest.IsTrue)

	calm, flood = trial(nil, 1, 0.4, 10*time.Second), trial(nil, 100, 0.4, 10*time.Second)
	t.Logf("in a pool with free slots: %v and %v of wait for runs of %v", calm, flood, run)
	c.Check(flood-calm <= run/10, quicktest.IsTrue)
}

// Guards against weights, guarantees and limits without effect, against slots that stay idle while tickets are queued,
// and against borrowed slots that are not returned.
func TestSlotsFollowWeights(t *testing.T) {
	t.Parallel()
	const run = 200 * time.Millisecond
	c := quicktest.New(t)
	f := newFleet(4, 1, 10, []*wigeondocument.Document{
		document("a", wigeondocument.Share{Weight: 1}, run),
		document("b", wigeondocument.Share{Weight: 3}, run),
		document("c", wigeondocument.Share{Weight: 1, GuaranteedSlots: 30}, run),
		document("d", wigeondocument.Share{Weight: 1000, MaxSlots: 10}, run),
	}, nil, nil)
	flood := func(from, to time.Duration) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			if at >= from && at < to {
				return 1000
			}
			return 0
		}
	}
	a := f.addConstantSource("a", "bake", 1000, run)
	b := f.addSource(&source{team: "b", class: "bake", peak: 1000, run: run, rate: flood(20*time.Second, time.Hour)})
	teamC := f.addSource(&source{team: "c", class: "bake", peak: 1000, run: run, rate: flood(20*time.Second, time.Hour)})
	d := f.addConstantSource("d", "bake", 1000, run)
	f.run(40 * time.Second)
	t.Logf("done: a %d, b %d, c %d, d %d", a.done, b.done, teamC.done, d.done)
	slots := func(s *source, seconds float64) float64 { return float64(s.done) * run.Seconds() / seconds }
	// d holds its limit of 10 throughout. b gets 30 slots and c its guarantee of 30. a gets the rest: 70 for the first
	// half, then 10, 40 on average.
	c.Check(slots(d, 40), approximately, 10.0)
	c.Check(slots(b, 20), approximately, 30.0)
	c.Check(slots(teamC, 20), approximately, 30.0)
	c.Check(slots(a, 40), approximately, 40.0)
}

// approximately checks that a value is within 10% of the wanted one.
var approximately = &withinTenth{}

type withinTenth struct{}

func (*withinTenth) ArgNames() []string { return []string{"got", "want"} }

func (*withinTenth) Check(got any, args []any, _ func(key string, value any)) error {
	g, w := got.(float64), args[0].(float64)
	if g < 0.9*w || g > 1.1*w {
		return fmt.Errorf("%.2f is not within a tenth of %.2f", g, w)
	}
	return nil
}

// Guards against short work that waits behind long runs, and against long work that uses the reserve for short work.
func TestShortWorkIsNotBlockedByLongRuns(t *testing.T) {
	t.Parallel()
	trial := func(newAdmitter func() admitter) (short *source, longHeld int) {
		f := newFleet(5, 4, 10, documents(3, 200*time.Millisecond), newAdmitter, nil)
		for _, team := range []wigeonstep.TeamName{"a", "b"} {
			f.addConstantSource(team, "cure", 50, 10*time.Minute)
		}
		short = f.addConstantSource("a", "bake", 40, 200*time.Millisecond)
		f.observe = func() {
			held := 0
			for _, p := range f.processes {
				held += p.admission.Demand(f.wallTime()).HeldLong
			}
			longHeld = max(longHeld, held)
		}
		f.run(60 * time.Second)
		return short, longHeld
	}
	baseline, _ := trial(newFIFO)
	policy, longHeld := trial(nil)
	t.Logf("short work done in 60 s: fifo %d of %d, policy %d of %d, 99th percentile wait %v, long work holds %d of 80 slots",
		baseline.done, baseline.sent, policy.done, policy.sent, policy.p99Wait(), longHeld)
	c := quicktest.New(t)
	c.Check(baseline.done*2 < baseline.sent, quicktest.IsTrue)
	c.Check(policy.done*100 >= policy.sent*98, quicktest.IsTrue)
	c.Check(quantile(policy.waits, 1) <= maxQueueTime, quicktest.IsTrue)
	c.Check(longHeld <= 60, quicktest.IsTrue)
	c.Check(longHeld >= 50, quicktest.IsTrue)
}

// Guards against cancelled tickets that still count as queued: after a thousand cancellations the queue must have room
// at once.
func TestCancelledTicketsFreeQueueSpace(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	pool := wigeonadmission.New(wigeonadmission.Config{Name: "ovens"})
	pool.SetServices(documents(2, 30*time.Millisecond))
	pool.SetSlots(wigeonadmission.Grant{Slots: 8, PoolSlots: 8})
	baseline := &fifo{declaredRun: 30 * time.Millisecond, slots: 8}
	submit := func(policy admitter) (verdict wigeonadmission.Verdict, ticket *wigeonadmission.Ticket) {
		ticket = &wigeonadmission.Ticket{Team: "a", Class: "bake"}
		return policy.Submit(epoch, ticket).Verdict, ticket
	}
	fill := func(policy admitter) (queued []*wigeonadmission.Ticket) {
		for {
			switch verdict, ticket := submit(policy); verdict {
			case wigeonadmission.Refused:
				return queued
			case wigeonadmission.Queued:
				queued = append(queued, ticket)
			case wigeonadmission.Started:
			}
		}
	}
	fill(baseline)
	queued := fill(pool)
	c.Assert(len(queued) >= 1000, quicktest.IsTrue, quicktest.Commentf("%d queued", len(queued)))
	for _, ticket := range queued {
		wasQueued, started := pool.Cancel(epoch, ticket)
		c.Assert(wasQueued, quicktest.IsTrue)
		c.Assert(started, quicktest.HasLen, 0)
	}
	verdict, _ := submit(baseline)
	c.Check(verdict, quicktest.Equals, wigeonadmission.Refused)
	c.Check(pool.Demand(epoch), quicktest.Equals, wigeonadmission.Demand{Held: 8, Wanted: 8})
	c.Check(len(fill(pool)), quicktest.Equals, len(queued))
}
