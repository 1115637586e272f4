package wigeonshard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonbalance"
)

// Guards against pools that give VMs away in a lull of a queue's turn: jobs come in clumps, and with one short average a
// pause of 0.3 s looked as if more than half of the demand had gone.
func TestArrivalsOutlastALull(t *testing.T) {
	c := qt.New(t)
	const cores, interval = 40.0, 20 * time.Millisecond
	a := arrivals{}
	now := time.Duration(0)
	for ; now < 6*time.Second; now += interval {
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

// Guards against pools of twice the size that their work can use: a task of four seconds was counted as if four times its
// cores could work on it, and a few such jobs drew most VMs of a grown site into one pool.
func TestLongTasksCountForTheirCores(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 4, 1)
	o := w.own()
	w.run(time.Second)
	long := testStep(10)
	long.Need.CPU, long.Estimate = 20_000, 4*time.Second
	w.submit(testJob("long", long))
	w.run(100 * time.Millisecond)
	demand := o.Demands(w.time(), []wigeonstep.ServiceName{"bake"})[0]
	const cores = 10 * 20
	c.Assert(demand.Work/float64(wigeonbalance.ClearTime.Milliseconds()), qt.Equals, float64(cores))
}
