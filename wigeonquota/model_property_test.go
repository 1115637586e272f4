package wigeonquota_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wigeonstep/wigeonstep"
)

// modelSteps is the number of steps of each run of the model.
const modelSteps = 250

// Guards against starts that take a team above its limit when owners and divisions are replaced, paused or cut off, messages are
// lost, late or repeated, records are refused or written without an answer, and limits change.
func TestLimitHoldsOverAllShards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, rapid.IntRange(2, 3).Draw(t, "shards"))
		largest := rapid.SampledFrom([]int{3, 20, 70, 130}).Draw(t, "largest task")
		for range modelSteps {
			m.randomStep(largest)
			if m.violation != nil {
				m.violation()
			}
		}
	})
}

func (m *model) randomStep(largest int) {
	m.now += time.Duration(rapid.IntRange(0, 100).Draw(m.t, "ms")) * time.Millisecond
	o, d := m.anyOwner(), m.anyDivision()
	switch turn := rapid.IntRange(0, 99).Draw(m.t, "turn"); {
	case turn < 25:
		m.fill(o, largest)
	case turn < 28:
		m.write(o)
	case turn < 40:
		m.endSome(o)
	case turn < 55:
		m.exchange(o, d)
	case turn < 65:
		m.planRecords(d)
		m.writeRecords(d, rapid.IntRange(0, 4).Draw(m.t, "answer lost") == 0)
	case turn < 67:
		m.planRecords(d)
	case turn < 75:
		m.deliver()
	case turn < 77:
		m.configureOwner(o)
		m.configureDivision(d)
	case turn < 82:
		m.limits = append(m.limits, cpu(rapid.SampledFrom([]int{10, 50, 100, 150}).Draw(m.t, "limit")))
		if rapid.Bool().Draw(m.t, "in force at once") {
			m.configureAll()
		}
	case turn < 85:
		part := rapid.SampledFrom(slices.Sorted(maps.Keys(m.shardEpochs))).Draw(m.t, "shard")
		m.addOwner(part, rapid.IntRange(m.owner(part).version, len(m.limits)).Draw(m.t, "version"))
	case turn < 88:
		m.addDivision(rapid.IntRange(m.division().version, len(m.limits)).Draw(m.t, "version"))
	default:
		m.settle()
	}
}

// configureAll puts the newest version of the configuration in force everywhere.
func (m *model) configureAll() {
	for _, part := range slices.Sorted(maps.Keys(m.shardEpochs)) {
		for m.owner(part).version < len(m.limits) {
			m.configureOwner(m.owner(part))
		}
	}
	for m.division().version < len(m.limits) {
		m.configureDivision(m.division())
	}
}

// fill plans tasks until one is refused.
func (m *model) fill(o *modelOwner, largest int) {
	smallest := rapid.SampledFrom([]int{1, largest}).Draw(m.t, "smallest task")
	for range rapid.IntRange(1, 60).Draw(m.t, "tasks") {
		if !m.plan(o, cpu(rapid.IntRange(smallest, largest).Draw(m.t, "size"))) {
			break
		}
	}
	if rapid.IntRange(0, 3).Draw(m.t, "written at once") > 0 {
		m.write(o)
	}
}

// anyOwner returns the newest owner of a shard, or sometimes the one before.
func (m *model) anyOwner() *modelOwner {
	part := rapid.SampledFrom(slices.Sorted(maps.Keys(m.shardEpochs))).Draw(m.t, "shard")
	return m.ownerOrFormer(part)
}

func (m *model) ownerOrFormer(part wigeonstep.Partition) *modelOwner {
	newest := m.owner(part)
	if rapid.IntRange(0, 3).Draw(m.t, "former owner") > 0 {
		return newest
	}
	for _, o := range m.owners {
		if o.part == part && o.epoch == newest.epoch-1 && !o.dead {
			return o
		}
	}
	return newest
}

// anyDivision returns the newest division, or sometimes the one before.
func (m *model) anyDivision() *modelDivision {
	former := max(len(m.divisions)-2, 0)
	if rapid.IntRange(0, 3).Draw(m.t, "former division") > 0 || m.divisions[former].dead {
		return m.division()
	}
	return m.divisions[former]
}

// endSome ends some runs of an owner, or all, and the owner may learn of it.
func (m *model) endSome(o *modelOwner) {
	all := rapid.Bool().Draw(m.t, "all end")
	for _, r := range m.runs[o.part] {
		if !r.ended && (all || rapid.Bool().Draw(m.t, "ends")) {
			m.end(r)
		}
	}
	if rapid.IntRange(0, 3).Draw(m.t, "learns") > 0 {
		m.learn(o, rapid.Bool().Draw(m.t, "recorded"))
	}
}

// exchange sends a report and its answer, each of which may be kept back or lost.
func (m *model) exchange(o *modelOwner, d *modelDivision) {
	m.send(m.report(o, d, m.send))
}

// send delivers a message at once, later, twice or never.
func (m *model) send(deliver func()) {
	switch rapid.IntRange(0, 9).Draw(m.t, "delivery") {
	case 0:
	case 1:
		m.messages = append(m.messages, deliver)
	case 2:
		m.messages = append(m.messages, deliver)
		deliver()
	default:
		deliver()
	}
}

// deliver delivers one of the messages that were kept back.
func (m *model) deliver() {
	if len(m.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.messages)-1).Draw(m.t, "message")
	deliver := m.messages[i]
	m.messages = slices.Delete(m.messages, i, i+1)
	deliver()
}

// settle lets one owner of each shard and a division exchange some messages without faults. Some may be former ones that don't know
// that they were replaced.
func (m *model) settle() {
	var owners []*modelOwner
	for _, part := range slices.Sorted(maps.Keys(m.shardEpochs)) {
		if rapid.IntRange(0, 4).Draw(m.t, "cut off") > 0 {
			owners = append(owners, m.ownerOrFormer(part))
		}
	}
	d := m.anyDivision()
	stuck := rapid.IntRange(0, 4).Draw(m.t, "append is stuck") == 0
	for range 4 {
		m.now += 260 * time.Millisecond
		for _, o := range owners {
			m.report(o, d, func(answer func()) { answer() })()
		}
		m.planRecords(d)
		if !stuck {
			m.writeRecords(d, false)
		}
	}
}
