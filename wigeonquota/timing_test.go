package wigeonquota_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonquota"
)

// Times in the timed model, as in wigeondaemon: reports every 60 ms and at once when one is urgent, one append at a time.
const (
	timedReportInterval = 60 * time.Millisecond
	timedUrgentInterval = 20 * time.Millisecond
	timedPlaceInterval  = 4 * time.Millisecond
	timedPlanInterval   = 50 * time.Millisecond
	timedDelay          = 2 * time.Millisecond
	timedAppend         = 40 * time.Millisecond
)

// timedModel runs the model in virtual time, without faults of messages.
type timedModel struct {
	*model
	events map[time.Duration][]func()
	shards []*timedShard
	// nextPlan is the time of the next plan of the division.
	nextPlan time.Duration
}

// timedShard is the load of a shard.
type timedShard struct {
	part wigeonstep.Partition
	// size and length are those of its tasks; waiting is the number of them that wait.
	size       wigeonquota.Resources
	length     time.Duration
	waiting    int
	started    int
	lastReport time.Duration
	inFlight   bool
}

func newTimedModel(shards int) *timedModel {
	m := &timedModel{model: newModel(nil, shards), events: map[time.Duration][]func(){}}
	for part := range shards {
		m.shards = append(m.shards, &timedShard{part: wigeonstep.Partition(part + 1), lastReport: -time.Second + time.Duration(part)*13*time.Millisecond})
	}
	return m
}

func (m *timedModel) after(d time.Duration, event func()) {
	m.events[m.now+d] = append(m.events[m.now+d], event)
}

// advance runs the model until the condition holds, at most for the given time, and returns the time that it took.
func (m *timedModel) advance(limit time.Duration, condition func() bool) time.Duration {
	began := m.now
	for ; m.now-began < limit && !condition(); m.now += time.Millisecond {
		for _, event := range m.events[m.now] {
			event()
		}
		delete(m.events, m.now)
		for _, s := range m.shards {
			m.stepShard(s)
		}
		m.stepDivision()
	}
	return m.now - began
}

func (m *timedModel) stepShard(s *timedShard) {
	o := m.owner(s.part)
	if m.now%timedPlaceInterval == 0 {
		m.place(o, s)
	}
	since := m.now - s.lastReport
	urgent := since >= timedUrgentInterval && o.ledger.Urgent(func(wigeonstep.TeamName) wigeonquota.Resources { return o.use() })
	if s.inFlight || since < timedReportInterval && !urgent {
		return
	}
	s.lastReport, s.inFlight = m.now, true
	d := m.division()
	report := m.report(o, d, func(answer func()) {
		m.after(timedDelay, func() {
			s.inFlight = false
			answer()
		})
	})
	m.after(timedDelay, report)
	m.after(250*time.Millisecond, func() { s.inFlight = false })
}

// place plans runs for the waiting tasks and starts them.
func (m *timedModel) place(o *modelOwner, s *timedShard) {
	o.ledger.BeginRound()
	a := o.ledger.Allowance(modelTeam)
	for s.waiting > 0 {
		if !a.Allows(o.use(), s.size) {
			a.Refuse(s.size)
			break
		}
		r := &modelRun{size: s.size}
		o.planned = append(o.planned, r)
		m.checkLimit()
		m.write(o)
		s.waiting--
		s.started++
		m.after(s.length, func() {
			m.end(r)
			m.learn(m.owner(s.part), true)
		})
	}
}

func (m *timedModel) stepDivision() {
	d := m.division()
	if d.pending != nil || m.now < m.nextPlan {
		return
	}
	m.nextPlan = m.now + timedPlanInterval
	m.planRecords(d)
	if d.pending != nil {
		m.after(timedAppend, func() {
			m.writeRecords(d, false)
			m.nextPlan = m.now
		})
	}
}

func (m *timedModel) load(shard int, size int, length time.Duration, tasks int) *timedShard {
	s := m.shards[shard]
	s.size, s.length, s.waiting = cpu(size), length, tasks
	return s
}

const manyTasks = 1_000_000

// Guards against a team that has work waiting and room free and stays below nine tenths of its limit for two seconds after its work
// has moved to another service. The division may have been replaced just then.
func TestLimitFollowsWorkWithinTwoSeconds(t *testing.T) {
	for _, length := range []time.Duration{150 * time.Millisecond, time.Second} {
		for _, shards := range []int{2, 4, 24} {
			for _, replaced := range []bool{false, true} {
				t.Run(fmt.Sprintf("length=%s/shards=%d/replaced=%v", length, shards, replaced), func(t *testing.T) {
					c := qt.New(t)
					m := newTimedModel(shards)
					first := m.load(0, 1, length, manyTasks)
					m.advance(3*time.Second, func() bool { return false })
					c.Assert(m.owner(1).use().CPU >= 90, qt.IsTrue, qt.Commentf("%v", m.owner(1).use()))
					first.waiting = 0
					m.load(1, 1, length, manyTasks)
					if replaced {
						m.addDivision(1)
					}
					took := m.advance(2*time.Second, func() bool { return m.owner(2).use().CPU >= 90 })
					c.Logf("nine tenths after %s", took)
					c.Assert(took < 2*time.Second, qt.IsTrue)
					c.Assert(m.violation == nil, qt.IsTrue)
				})
			}
		}
	}
}

// Guards against shards that wait for each other: each wants more than it can get of an even division, and none may starve.
func TestLargeTasksOfTwoShardsTakeTurns(t *testing.T) {
	for _, size := range []int{40, 60, 130} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c := qt.New(t)
			m := newTimedModel(3)
			for i := range m.shards {
				m.load(i, size, 300*time.Millisecond, manyTasks)
			}
			m.advance(20*time.Second, func() bool { return false })
			for _, s := range m.shards {
				c.Logf("shard %d started %d", s.part, s.started)
				c.Assert(s.started >= 12, qt.IsTrue)
			}
			c.Assert(m.violation == nil, qt.IsTrue)
		})
	}
}

// Guards against a new owner, or a shard that was idle, whose first task waits although the team uses little.
func TestFirstTaskStartsSoon(t *testing.T) {
	c := qt.New(t)
	m := newTimedModel(4)
	m.load(0, 10, time.Hour, 4)
	m.advance(2*time.Second, func() bool { return false })
	s := m.load(2, 30, time.Second, 1)
	took := m.advance(3*time.Second, func() bool { return s.started > 0 })
	c.Logf("the first task of an idle shard started after %s", took)
	c.Assert(took < time.Second, qt.IsTrue)
	m.addOwner(4, 1)
	s = m.load(3, 5, time.Second, 1)
	took = m.advance(3*time.Second, func() bool { return s.started > 0 })
	c.Logf("the first task of a new owner started after %s", took)
	c.Assert(took < time.Second, qt.IsTrue)
	c.Assert(m.violation == nil, qt.IsTrue)
}

// Guards against a team that stays stopped after its limit was lowered and its use has come down, and against one that stops tasks
// or starts new ones while it is above the lowered limit.
func TestLoweredLimit(t *testing.T) {
	c := qt.New(t)
	m := newTimedModel(3)
	long := m.load(0, 1, 800*time.Millisecond, manyTasks)
	m.advance(2*time.Second, func() bool { return false })
	m.limits = append(m.limits, cpu(30))
	for part := range m.shardEpochs {
		m.configureOwner(m.owner(part))
	}
	m.configureDivision(m.division())
	long.waiting = 0
	short := m.load(1, 1, 100*time.Millisecond, manyTasks)
	before := short.started
	m.advance(300*time.Millisecond, func() bool { return m.owner(1).use().CPU <= 30 })
	if m.owner(1).use().CPU > 30 {
		c.Assert(short.started, qt.Equals, before)
	}
	took := m.advance(3*time.Second, func() bool { return m.owner(2).use().CPU >= 27 })
	c.Logf("nine tenths of the lowered limit after %s", took)
	c.Assert(took < 2*time.Second, qt.IsTrue)
	c.Assert(m.violation == nil, qt.IsTrue)
}
