package wigeonshard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against pools that give VMs away in a lull of a queue's turn: jobs come in clumps, and with one short average a
// pause of 0.3 s looked as if more than half of the demand had gone.
func TestArrivalsOutlastALull(t *testing.T) {
	c := qt.New(t)
	const cores, interval = 40.0, 20 * time.Millisecond
	a := arrivals{}
	now := time.Duration(0)
	for ; now < 3*time.Second; now += interval {
		a.add(now, cores*float64(interval.Milliseconds()))
	}
	full := a.rate()
	c.Assert(full > 0.95*cores && full < 1.1*cores, qt.IsTrue, qt.Commentf("%.1f cores", full))
	now += 300 * time.Millisecond
	a.decay(now)
	c.Assert(a.rate() > 0.7*cores, qt.IsTrue, qt.Commentf("%.1f cores after a lull; the short average alone says %.1f", a.rate(), a.fast))
	a.decay(now + 3*time.Second)
	c.Assert(a.rate() < 0.05*cores, qt.IsTrue, qt.Commentf("%.1f cores after the turn", a.rate()))
}

// Guards against a slow start of a queue's turn: the estimate reaches most of the demand within the time of a move.
func TestArrivalsRiseAtOnce(t *testing.T) {
	c := qt.New(t)
	const cores, interval = 40.0, 20 * time.Millisecond
	a := arrivals{}
	for now := time.Duration(0); now <= 400*time.Millisecond; now += interval {
		a.add(now, cores*float64(interval.Milliseconds()))
	}
	c.Assert(a.rate() > 0.6*cores, qt.IsTrue, qt.Commentf("%.1f cores", a.rate()))
}
