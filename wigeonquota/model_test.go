package wigeonquota_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonquota"
)

const modelTeam = wigeonstep.TeamName("bakers")

// model is a model of the log, the owners of the shards, the divisions and the messages between them. Former owners and divisions
// act on until the log refuses their records. Each message may be lost, repeated, delayed and overtaken.
type model struct {
	t   *rapid.T
	now time.Duration
	// limits holds the limit of each version of the configuration, the first one being version 1.
	limits []wigeonquota.Resources
	// fence, records and epochs are those in the log.
	fence   wigeonstep.FencingToken
	records map[wigeonstep.TeamName]wigeonquota.Record
	epochs  map[wigeonstep.Partition]wigeonstep.FencingToken
	// shardEpochs holds the epoch that the log of each shard accepts, runs the runs that it holds.
	shardEpochs map[wigeonstep.Partition]wigeonstep.FencingToken
	runs        map[wigeonstep.Partition][]*modelRun
	divisions   []*modelDivision
	owners      []*modelOwner
	messages    []func()
	// trace holds what has happened, for the report of a violation.
	trace []string
	// violation describes the first start that exceeded the limit; empty if none did.
	violation func()
}

type modelRun struct {
	size wigeonquota.Resources
	// ended is set once it does not run any more, endRecorded once the log says so.
	ended, endRecorded bool
}

type modelDivision struct {
	*wigeonquota.Division
	fence   wigeonstep.FencingToken
	version int
	// pending writes the records in flight; nil if there are none.
	pending func()
	dead    bool
}

type modelOwner struct {
	ledger  wigeonquota.Ledger
	part    wigeonstep.Partition
	epoch   wigeonstep.FencingToken
	version int
	// runs holds those that may be running, planned those that are not in the log yet.
	runs, planned []*modelRun
	dead          bool
}

func (o *modelOwner) use() (sum wigeonquota.Resources) {
	for _, r := range append(slices.Clone(o.runs), o.planned...) {
		sum = sum.Add(r.size)
	}
	return sum
}

func cpu(n int) wigeonquota.Resources { return wigeonquota.Resources{CPU: wigeonstep.MilliCPU(n)} }

// newModel returns a model with the given number of shards and a limit of 100 CPU.
func newModel(t *rapid.T, shards int) *model {
	m := &model{
		t: t, limits: []wigeonquota.Resources{cpu(100)}, records: map[wigeonstep.TeamName]wigeonquota.Record{},
		epochs: map[wigeonstep.Partition]wigeonstep.FencingToken{}, shardEpochs: map[wigeonstep.Partition]wigeonstep.FencingToken{},
		runs: map[wigeonstep.Partition][]*modelRun{},
	}
	for part := range shards {
		m.addOwner(wigeonstep.Partition(part+1), 1)
	}
	m.addDivision(1)
	return m
}

func (m *model) teams(version int) []wigeonstep.Team {
	return []wigeonstep.Team{{Name: modelTeam, Limit: m.limits[version-1]}}
}

func (m *model) addOwner(part wigeonstep.Partition, version int) {
	m.shardEpochs[part]++
	o := &modelOwner{part: part, epoch: m.shardEpochs[part], version: version}
	for _, r := range m.runs[part] {
		if !r.endRecorded {
			o.runs = append(o.runs, r)
		}
	}
	o.ledger.SetLimits(wigeonstep.ConfigVersion(version), m.teams(version))
	m.owners = append(m.owners, o)
	m.record("new owner of shard %d with epoch %d and version %d, uses %d", part, o.epoch, version, o.use().CPU)
}

func (m *model) addDivision(version int) {
	m.fence++
	records := slices.Collect(maps.Values(m.records))
	d := &modelDivision{Division: wigeonquota.NewDivision(m.fence, records, m.epochs), fence: m.fence, version: version}
	d.SetPartitions(slices.Sorted(maps.Keys(m.shardEpochs)))
	d.SetLimits(m.now, wigeonstep.ConfigVersion(version), m.teams(version))
	m.divisions = append(m.divisions, d)
	m.record("new division %d with version %d: %v", m.fence, version, records)
}

func (m *model) record(format string, args ...any) {
	m.trace = append(m.trace, fmt.Sprintf(m.now.String()+" "+format, args...))
}

// owner returns the owner of a shard whose records the log accepts.
func (m *model) owner(part wigeonstep.Partition) *modelOwner {
	for _, o := range m.owners {
		if o.part == part && o.epoch == m.shardEpochs[part] {
			return o
		}
	}
	panic("a shard has no owner")
}

func (m *model) division() *modelDivision { return m.divisions[len(m.divisions)-1] }

// applyVersion puts the next version of the configuration in force in a process.
func (m *model) applyVersion(version *int, set func(wigeonstep.ConfigVersion, []wigeonstep.Team)) {
	if *version < len(m.limits) {
		*version++
		m.record("version %d with limit %d", *version, m.limits[*version-1].CPU)
		set(wigeonstep.ConfigVersion(*version), m.teams(*version))
	}
}

func (m *model) configureOwner(o *modelOwner) { m.applyVersion(&o.version, o.ledger.SetLimits) }

func (m *model) configureDivision(d *modelDivision) {
	m.applyVersion(&d.version, func(v wigeonstep.ConfigVersion, teams []wigeonstep.Team) { d.SetLimits(m.now, v, teams) })
}

// plan plans a run, if the limit allows it.
func (m *model) plan(o *modelOwner, size wigeonquota.Resources) bool {
	o.ledger.BeginRound()
	a := o.ledger.Allowance(modelTeam)
	if !a.Allows(o.use(), size) {
		a.Refuse(size)
		return false
	}
	o.planned = append(o.planned, &modelRun{size: size})
	m.record("shard %d epoch %d plans %d, uses %d of %d", o.part, o.epoch, size.CPU, o.use().CPU, a.Cap(o.use()).CPU)
	if o.epoch == m.shardEpochs[o.part] {
		m.checkLimit()
	}
	return true
}

// write writes the planned runs of an owner to the log and starts them.
func (m *model) write(o *modelOwner) {
	if o.epoch != m.shardEpochs[o.part] {
		o.dead = true
		return
	}
	for _, r := range o.planned {
		m.runs[o.part] = append(m.runs[o.part], r)
		o.runs = append(o.runs, r)
	}
	o.planned = nil
}

// checkLimit checks that all runs together, also the planned ones, stay within the highest limit that may be in force, and one task.
func (m *model) checkLimit() {
	var total, largest wigeonstep.MilliCPU
	for part := range m.shardEpochs {
		for _, r := range append(slices.Clone(m.runs[part]), m.owner(part).planned...) {
			if !r.ended {
				total += r.size.CPU
				largest = max(largest, r.size.CPU)
			}
		}
	}
	highest := m.highestLimit()
	if total > highest+largest && m.violation == nil {
		m.violation = func() {
			m.t.Fatalf("%s\n%d in use with a limit of %d and a largest task of %d", strings.Join(m.trace, "\n"), total, highest, largest)
		}
	}
}

// highestLimit returns the highest limit of the versions that may be in force.
func (m *model) highestLimit() wigeonstep.MilliCPU {
	oldest := m.division().version
	for part := range m.shardEpochs {
		oldest = min(oldest, m.owner(part).version)
	}
	var highest wigeonstep.MilliCPU
	for _, l := range m.limits[oldest-1:] {
		highest = max(highest, l.CPU)
	}
	return highest
}

// end ends a run; the owner learns of it later.
func (m *model) end(r *modelRun) {
	m.record("a run of %d ends", r.size.CPU)
	r.ended = true
}

// learn tells an owner which of its runs have ended. recorded says that the log holds their ends at once.
func (m *model) learn(o *modelOwner, recorded bool) {
	o.runs = slices.DeleteFunc(o.runs, func(r *modelRun) bool {
		r.endRecorded = r.endRecorded || r.ended && recorded && o.epoch == m.shardEpochs[o.part]
		return r.ended
	})
}

// report returns the delivery of a report of an owner to a division. answer is called with the delivery of the answer.
func (m *model) report(o *modelOwner, d *modelDivision, answer func(func())) func() {
	uses := o.ledger.Report(func(wigeonstep.TeamName) wigeonquota.Demand {
		return wigeonquota.Demand{Use: o.use(), Ready: cpu(1000)}
	})
	return func() {
		if d.dead {
			return
		}
		grants := d.Report(m.now, o.part, o.epoch, uses)
		m.record("division %d receives %v of shard %d epoch %d and grants %v", d.fence, uses, o.part, o.epoch, grants)
		answer(func() {
			if !o.dead {
				o.ledger.Received(d.fence, uses)
				m.record("shard %d epoch %d receives %v", o.part, o.epoch, grants)
				o.ledger.Apply(grants, func(wigeonstep.TeamName) wigeonquota.Resources { return o.use() })
			}
		})
	}
}

// planRecords begins the append of the records that a division wants to write.
func (m *model) planRecords(d *modelDivision) {
	if d.pending != nil || d.dead {
		return
	}
	records, epochs := d.Plan(m.now)
	if len(records) == 0 && epochs == nil {
		return
	}
	m.record("division %d writes %v %v", d.fence, records, epochs)
	d.pending = func() {
		for _, r := range records {
			m.records[r.Team] = r
		}
		if epochs != nil {
			m.epochs = epochs
		}
	}
}

// writeRecords ends the append of a division. If the answer is lost, the append is repeated later.
func (m *model) writeRecords(d *modelDivision, answerLost bool) {
	switch {
	case d.pending == nil:
	case d.fence != m.fence:
		d.dead, d.pending = true, nil
	case answerLost:
		d.pending()
	default:
		d.pending()
		d.pending = nil
		d.Written(m.now)
	}
}
