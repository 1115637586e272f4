package wigeonquota_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
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
	case turn < 30:
		for range rapid.IntRange(1, 6).Draw(m.t, "tasks") {
			m.plan(o, cpu(rapid.IntRange(1, largest).Draw(m.t, "size")))
		}
		if rapid.Bool().Draw(m.t, "written at once") {
			m.write(o)
		}
	case turn < 35:
		m.write(o)
	case turn < 45:
		m.endSome(o)
	case turn < 65:
		m.exchange(o, d)
	case turn < 75:
		m.planRecords(d)
		m.writeRecords(d, rapid.IntRange(0, 4).Draw(m.t, "answer lost") == 0)
	case turn < 77:
		m.planRecords(d)
	case turn < 85:
		m.deliver()
	case turn < 88:
		m.configureOwner(o)
		m.configureDivision(d)
	case turn < 90:
		for part := range m.shardEpochs {
			for m.owner(part).version < len(m.limits) {
				m.configureOwner(m.owner(part))
			}
		}
		for m.division().version < len(m.limits) {
			m.configureDivision(m.division())
		}
	case turn < 92:
		m.limits = append(m.limits, cpu(rapid.IntRange(10, 150).Draw(m.t, "limit")))
	case turn < 95:
		part := rapid.SampledFrom(slices.Sorted(maps.Keys(m.shardEpochs))).Draw(m.t, "shard")
		m.addOwner(part, rapid.IntRange(m.owner(part).version, len(m.limits)).Draw(m.t, "version"))
	case turn < 97:
		m.addDivision(rapid.IntRange(m.division().version, len(m.limits)).Draw(m.t, "version"))
	default:
		m.settle()
	}
}

// anyOwner returns the newest owner of a shard, or sometimes a former one.
func (m *model) anyOwner() *modelOwner {
	o := m.owners[rapid.IntRange(0, len(m.owners)-1).Draw(m.t, "owner")]
	if o.dead || rapid.IntRange(0, 3).Draw(m.t, "newest owner") > 0 {
		return m.owner(o.part)
	}
	return o
}

func (m *model) anyDivision() *modelDivision {
	if rapid.IntRange(0, 3).Draw(m.t, "newest division") > 0 {
		return m.division()
	}
	return m.divisions[rapid.IntRange(0, len(m.divisions)-1).Draw(m.t, "division")]
}

// endSome ends some runs of an owner, which may learn of it.
func (m *model) endSome(o *modelOwner) {
	for _, r := range m.runs[o.part] {
		if !r.ended && rapid.Bool().Draw(m.t, "ends") {
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

// settle lets the newest owners and division exchange some messages without faults.
func (m *model) settle() {
	for range 4 {
		m.now += 260 * time.Millisecond
		for _, part := range slices.Sorted(maps.Keys(m.shardEpochs)) {
			m.report(m.owner(part), m.division(), func(answer func()) { answer() })()
		}
		m.planRecords(m.division())
		m.writeRecords(m.division(), false)
	}
}
