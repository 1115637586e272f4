package wigeonshard

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
)

// Guards against planned work that stops more tasks of a step than it may: a new owner does not know the stops that the former
// one sent, and counts their runs as serving until their ends are listed.
func TestNewOwnerWaitsForStopsUnderWay(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 140, 5)
	former := m.addOwner()
	s := testStep(3)
	s.MaxPerWorker, s.MaxUnavailable = 1, 1
	m.submitLasting("lasting", s)
	m.advance(2 * time.Second)
	var busy []wigeonstep.WorkerID
	for _, l := range m.listed {
		if len(m.workers[l.ID].runs) > 0 {
			busy = append(busy, l.ID)
		}
	}
	m.cordons[busy[1]] = "vm-1"
	former.SetCordons(m.cordons)
	stopSent := func(w *worker) bool {
		return slices.ContainsFunc(w.runs, func(r *run) bool { return r.stopSentAt != 0 })
	}
	for !slices.ContainsFunc(former.sortedWorkers, stopSent) {
		m.advance(time.Millisecond)
	}
	m.advance(10 * time.Millisecond)
	former.crashed = true
	m.cordons[busy[0]] = "vm-0"
	next := m.addOwner()
	stopping := func(w *worker) bool {
		return slices.ContainsFunc(w.runs, func(r *run) bool { return r.stopping })
	}
	// The stop takes 0.1 s, and a new run some more.
	for range 15 {
		// The events of other tasks make rounds of placement frequent.
		next.placementDue = true
		m.advance(10 * time.Millisecond)
		c.Assert(slices.ContainsFunc(next.sortedWorkers, stopping), qt.IsFalse)
	}
	m.advance(3 * time.Second)
	c.Assert(m.violations, qt.HasLen, 0)
	c.Assert(next.Released(), qt.HasLen, len(m.cordons))
}
