package wigeonshard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonbalance"
)

// Guards against pools that lose VMs during a short pause between the jobs of a queue. Jobs arrive in bursts, and with a
// single short average a pause of 0.3 s appeared as a loss of more than half of the demand.
func TestArrivalRateDuringPause(t *testing.T) {
	c := qt.New(t)
	const cores, interval = 40.0, 20 * time.Millisecond
	a := arrivalRate{}
	now := time.Duration(0)
	for ; now < 6*time.Second; now += interval {
		a.add(now, cores*float64(interval.Milliseconds()))
	}
	full := a.rate()
	c.Assert(full > 0.95*cores && full < 1.1*cores, qt.IsTrue, qt.Commentf("%.1f cores", full))
	now += 300 * time.Millisecond
	a.decay(now)
	c.Assert(a.rate() > 0.7*cores, qt.IsTrue, qt.Commentf("%.1f cores after a pause of 0.3 s; the short average alone is %.1f", a.rate(), a.fast))
	a.decay(now + 3*time.Second)
	c.Assert(a.rate() < 0.05*cores, qt.IsTrue, qt.Commentf("%.1f cores after the last job", a.rate()))
}

// Guards against a rate that follows rising demand too slowly: it must reach most of the demand within the time that the
// move of a VM takes.
func TestArrivalRateRise(t *testing.T) {
	c := qt.New(t)
	const cores, interval = 40.0, 20 * time.Millisecond
	a := arrivalRate{}
	for now := time.Duration(0); now <= 400*time.Millisecond; now += interval {
		a.add(now, cores*float64(interval.Milliseconds()))
	}
	c.Assert(a.rate() > 0.6*cores, qt.IsTrue, qt.Commentf("%.1f cores", a.rate()))
}

// Guards against pools of twice the size that their work can use. A task of four seconds counted as if four times its
// cores could work on it, so a few such jobs moved most VMs of a large site into one pool.
func TestReadyWorkOfLongTasksIsLimited(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 4, 1)
	o := m.addOwner()
	m.advance(time.Second)
	long := testStep(10)
	long.Required.CPU, long.Estimate = 20_000, 4*time.Second
	m.submitJob(testJob("long", long))
	m.advance(100 * time.Millisecond)
	demand := o.Demands(m.eventTime(), []wigeonstep.ServiceName{"bake"})[0]
	const cores = 10 * 20
	c.Assert(demand.ReadyWork/float64(wigeonbalance.BacklogClearTime.Milliseconds()), qt.Equals, float64(cores))
}
