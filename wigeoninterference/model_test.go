package wigeoninterference_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeoninterference"
)

// observe lets each of eight workers report a tail of "cure" in each round; report returns the tail in milliseconds and the
// neighbours.
func observe(m *wigeoninterference.Model, from time.Duration, rounds int, report func(worker, round int) (float64, []wigeoninterference.Neighbour)) time.Duration {
	at := from
	for round := range rounds {
		at += reportInterval
		for w := range 8 {
			tail, beside := report(w, round)
			m.Observe(wigeoninterference.Observation{
				At: at, Worker: wigeonstep.WorkerID(fmt.Sprintf("w%d", w)), Victim: "cure", Tail: time.Duration(tail * float64(time.Millisecond)), Neighbours: beside,
			})
		}
		m.Decay(at)
	}
	return at
}

func beside(images ...wigeonstep.ImageName) []wigeoninterference.Neighbour {
	var all []wigeoninterference.Neighbour
	for _, i := range images {
		all = append(all, wigeoninterference.Neighbour{Image: i, Exposure: 1})
	}
	return all
}

// comesAndGoes reports whether a neighbour is on a worker in a round: 5 rounds out of 10, at other times on each worker.
func comesAndGoes(worker, round int) bool { return (round+3*worker)%10 < 5 }

// interfere is a report in which "mill" triples the tails of "cure" and "scan" beside it does nothing.
func interfere(w, round int) (float64, []wigeoninterference.Neighbour) {
	if comesAndGoes(w, round) {
		return 30, beside("mill", "scan")
	}
	if comesAndGoes(w+1, round) {
		return 10, beside("scan")
	}
	return 10, nil
}

// Guards against an estimate that is wrong, an innocent neighbour of the culprit that is suspected with it, and a suspicion that does
// not end by itself when the evidence gets old.
func TestEffectIsLearnedAndForgotten(t *testing.T) {
	c := qt.New(t)
	var m wigeoninterference.Model
	at := observe(&m, 0, 40, interfere)
	slowdown, confidence := m.Effect("cure", "mill")
	c.Assert(slowdown > 2.4 && slowdown < 3.3, qt.IsTrue, qt.Commentf("%.2f", slowdown))
	c.Assert(confidence > 0.998, qt.IsTrue, qt.Commentf("%.3f", confidence))
	suspected := m.Suspected("mill")
	c.Assert(suspected, qt.HasLen, 1)
	c.Assert(suspected[0].Victim, qt.Equals, wigeonstep.ImageName("cure"))
	c.Assert(m.Suspected("scan"), qt.HasLen, 0)
	c.Assert(m.TakeChanges(), qt.HasLen, 1)
	for range 300 {
		at += time.Second
		m.Decay(at)
	}
	changes := m.TakeChanges()
	c.Assert(changes, qt.HasLen, 1)
	c.Assert(changes[0].Suspected, qt.IsFalse)
	c.Assert(m.Empty(), qt.IsTrue)
}

// Guards against a pair that stays suspected although the neighbour has ceased to disturb.
func TestChangedBehaviourClearsPair(t *testing.T) {
	c := qt.New(t)
	var m wigeoninterference.Model
	at := observe(&m, 0, 40, interfere)
	c.Assert(m.Suspected("cure"), qt.HasLen, 1)
	observe(&m, at, 75, func(w, round int) (float64, []wigeoninterference.Neighbour) {
		_, beside := interfere(w, round)
		return 10, beside
	})
	c.Assert(m.Suspected("cure"), qt.HasLen, 0, qt.Commentf("a minute after the change"))
}

// Guards against other causes that are taken for interference.
func TestOtherCausesRaiseNoSuspicion(t *testing.T) {
	for name, report := range map[string]func(w, round int) (float64, []wigeoninterference.Neighbour){
		"a bad worker has the neighbour, the others don't": func(w, _ int) (float64, []wigeoninterference.Neighbour) {
			if w == 0 {
				return 50, beside("mill")
			}
			return 10, nil
		},
		"a worker becomes bad when the neighbour starts there": func(w, round int) (float64, []wigeoninterference.Neighbour) {
			if w == 0 && round > 10 {
				return 50, beside("mill")
			}
			if w < 4 && round > 10 {
				return 10, beside("mill")
			}
			return 10, nil
		},
		"the load rises everywhere when the neighbour starts on most workers": func(w, round int) (float64, []wigeoninterference.Neighbour) {
			switch {
			case round <= 10:
				return 10, nil
			case w < 6:
				return 40, beside("mill")
			}
			return 40, nil
		},
		"the load rises when the neighbour starts on four workers, and the others report no longer": func(w, round int) (float64, []wigeoninterference.Neighbour) {
			switch {
			case round <= 10:
				return 10, nil
			case w < 4:
				return 40, beside("mill")
			}
			return 0, nil
		},
		"single reports are far off": func(w, round int) (float64, []wigeoninterference.Neighbour) {
			tail := 10.0
			if (round*8+w)%37 == 0 {
				tail = 100_000
			}
			if comesAndGoes(w, round) {
				return tail, beside("mill")
			}
			return tail, nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var m wigeoninterference.Model
			observe(&m, 0, 100, report)
			c.Assert(m.TakeChanges(), qt.HasLen, 0)
		})
	}
}

// Guards against memory that grows with the names of images that clients choose.
func TestStateIsBounded(t *testing.T) {
	c := qt.New(t)
	var m wigeoninterference.Model
	long := wigeonstep.ImageName(strings.Repeat("x", 1<<10))
	observe(&m, 0, 400, func(w, round int) (float64, []wigeoninterference.Neighbour) {
		own := beside(wigeonstep.ImageName(fmt.Sprintf("i%d", round*8+w)))
		if comesAndGoes(w, round) {
			return 30, append(own, beside(long)...)
		}
		return 10, own
	})
	known, _ := m.PairCounts()
	c.Assert(known > 0 && known < 64, qt.IsTrue, qt.Commentf("%d pairs of one victim", known))
	slowdown, _ := m.Effect("cure", long)
	c.Assert(slowdown, qt.Equals, 1.0)
}

// Guards against callers that look for suspected pairs anew each second although there are none, and against ones that keep old
// slowdowns.
func TestVersionStandsWithoutSuspicion(t *testing.T) {
	c := qt.New(t)
	var m wigeoninterference.Model
	at := observe(&m, 0, 40, func(w, round int) (float64, []wigeoninterference.Neighbour) {
		_, beside := interfere(w, round)
		return 10, beside
	})
	known, _ := m.PairCounts()
	c.Assert(known > 0, qt.IsTrue)
	c.Assert(m.Version(), qt.Equals, uint64(0))
	at = observe(&m, at, 75, interfere)
	c.Assert(m.Suspected("cure"), qt.HasLen, 1)
	before := m.Version()
	m.Decay(at + time.Second)
	c.Assert(m.Version(), qt.Not(qt.Equals), before)
}

// Guards against a client with many invented names of images that keeps the model from learning of others, or makes it forget a
// suspicion.
func TestInventedNamesKeepNoImageOut(t *testing.T) {
	c := qt.New(t)
	var m wigeoninterference.Model
	invent := func(at time.Duration, prefix string) {
		for i := range 200 {
			at += time.Millisecond
			m.Observe(wigeoninterference.Observation{At: at, Worker: "w0", Victim: wigeonstep.ImageName(fmt.Sprintf("%s%d", prefix, i)), Tail: time.Millisecond})
		}
	}
	invent(0, "a")
	at := observe(&m, time.Second, 40, interfere)
	c.Assert(m.Suspected("cure"), qt.HasLen, 1)
	invent(at, "b")
	c.Assert(m.Suspected("cure"), qt.HasLen, 1)
	c.Assert(m.Suspected("mill"), qt.HasLen, 1)
	for range 300 {
		at += time.Second
		m.Decay(at)
	}
	c.Assert(m.Empty(), qt.IsTrue)
	known, suspected := m.PairCounts()
	c.Assert(known+suspected, qt.Equals, 0)
}
