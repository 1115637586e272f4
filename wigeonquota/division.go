package wigeonquota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

const (
	// writeInterval is the minimum time between two records of raised allowances, for all teams together. A task that waits for
	// a raise waits this long at most on top of the reports.
	writeInterval = 40 * time.Millisecond
	// divideInterval is the minimum time between two divisions of the limit of a team because of reports. At 24 shards a team may
	// be in 400 reports a second.
	divideInterval = 15 * time.Millisecond
	// maxGrants bounds the grants in one answer.
	maxGrants = 32
)

// Record is the durable division of a team's limit: no partition holds more than its allowance.
type Record struct {
	Team       wigeonstep.TeamName
	Allowances map[wigeonstep.Partition]Resources
}

// Change is a change of an allowance that has become durable.
type Change struct {
	Team      wigeonstep.TeamName
	Partition wigeonstep.Partition
	From, To  Resources
}

// Division divides the limits of the teams among the partitions, for one ownership of the fleet partition.
type Division struct {
	fence wigeonstep.FencingToken
	// counter is the number of the newest grant.
	counter uint64
	// firstGrant turns the order of the teams in the answers, so that each team gets its turn if there are more grants than fit.
	firstGrant int
	partitions []wigeonstep.Partition
	// version is the version of the configuration in force.
	version wigeonstep.ConfigVersion
	// epochs holds the epoch of each shard that the log names, newEpochs those that it does not name yet.
	epochs, newEpochs map[wigeonstep.Partition]wigeonstep.FencingToken
	teams             map[wigeonstep.TeamName]*dividedTeam
	// due holds the teams with reports that have come since their newest division.
	due []*dividedTeam
	// names holds the teams in order.
	names []wigeonstep.TeamName
	// writing is set while an append with records of this division is in flight.
	writing bool
	// writingEpochs holds the epochs in that append.
	writingEpochs map[wigeonstep.Partition]wigeonstep.FencingToken
	// lastWrite is the time of the newest records; hasWritten is set once there were any.
	lastWrite  time.Duration
	hasWritten bool
}

// dividedTeam is the division of the limit of one team.
type dividedTeam struct {
	name wigeonstep.TeamName
	// limit is in force.
	limit Resources
	// recorded is set once the log holds a record of the team.
	recorded bool
	// redivide is set until the limit in force has been divided.
	redivide bool
	// writing is set while a record of the team is in flight.
	writing bool
	// raising is set if the newest division raises an allowance, so that a record is due.
	raising bool
	// holders holds the partitions in order.
	holders []*holder
	// dividedAt is the time of the newest division; due is set while the next one is due.
	dividedAt time.Duration
	due       bool
	// reserveMovedAt is the time at which the targets were last set.
	reserveMovedAt time.Duration
}

// holder returns the holder of a partition, and adds it when it does not exist.
func (t *dividedTeam) holder(part wigeonstep.Partition) *holder {
	i, known := slices.BinarySearchFunc(t.holders, part, func(h *holder, part wigeonstep.Partition) int { return cmp.Compare(h.partition, part) })
	if !known {
		t.holders = slices.Insert(t.holders, i, &holder{partition: part})
	}
	return t.holders[i]
}

// holder is a partition with a part of a team's limit.
type holder struct {
	partition wigeonstep.Partition
	// allowance is what the shard may hold at most. The log holds at least as much.
	allowance Resources
	// raised is what the newest record, or the next one, lets the shard hold; it covers allowance. rising is set if that record
	// raises the allowance.
	raised Resources
	rising bool
	// logged is the allowance in the newest Change.
	logged Resources
	// target is what the shard should hold.
	target Resources
	// sent is the newest grant of this division.
	sent Grant
	// use is the newest report, by an owner with the epoch useEpoch; 0 if there was none.
	use      Use
	useEpoch wigeonstep.FencingToken
	// servedAt is the time at which the shard last reported to use something.
	servedAt time.Duration
	// mayExceed is set unless the shard has confirmed that it may not exceed its allowance.
	mayExceed bool
}

// held returns what the shard may have running, or may start.
func (h *holder) held() Resources { return maxEach(maxEach(h.allowance, h.raised), h.use.Use) }

// NewDivision returns the division of a new owner of the fleet partition, from the records in the log.
func NewDivision(fence wigeonstep.FencingToken, records []Record, epochs map[wigeonstep.Partition]wigeonstep.FencingToken) *Division {
	d := &Division{
		fence: fence, epochs: map[wigeonstep.Partition]wigeonstep.FencingToken{}, newEpochs: map[wigeonstep.Partition]wigeonstep.FencingToken{},
		teams: map[wigeonstep.TeamName]*dividedTeam{},
	}
	maps.Copy(d.epochs, epochs)
	for _, r := range records {
		t := d.team(r.Team)
		t.recorded = true
		d.SetPartitions(slices.Sorted(maps.Keys(r.Allowances)))
		for part, allowance := range r.Allowances {
			*t.holder(part) = holder{partition: part, allowance: allowance, raised: allowance, target: allowance, logged: allowance, mayExceed: true}
		}
	}
	return d
}

// team returns the division of a team's limit, and creates it without a limit when it does not exist.
func (d *Division) team(name wigeonstep.TeamName) *dividedTeam {
	t := d.teams[name]
	if t == nil {
		t = &dividedTeam{name: name, limit: unlimited}
		for _, part := range d.partitions {
			t.holder(part)
		}
		d.teams[name] = t
		i, _ := slices.BinarySearch(d.names, name)
		d.names = slices.Insert(d.names, i, name)
	}
	return t
}

// Fence returns the fencing token of the ownership.
func (d *Division) Fence() wigeonstep.FencingToken { return d.fence }

// SetPartitions adds partitions among which the limits are divided. No partition is ever removed.
func (d *Division) SetPartitions(partitions []wigeonstep.Partition) {
	for _, part := range partitions {
		i, known := slices.BinarySearch(d.partitions, part)
		if known {
			continue
		}
		d.partitions = slices.Insert(d.partitions, i, part)
		for _, t := range d.teams {
			t.holder(part)
		}
	}
}

// SetLimits puts the limits of the teams of a newer configuration in force.
func (d *Division) SetLimits(now time.Duration, version wigeonstep.ConfigVersion, teams []wigeonstep.Team) {
	d.version = version
	limits := map[wigeonstep.TeamName]Resources{}
	for _, t := range teams {
		if _, twice := limits[t.Name]; twice {
			continue
		}
		limits[t.Name] = limitOf(t.Limit)
		if limits[t.Name] != unlimited {
			d.team(t.Name)
		}
	}
	for _, name := range d.names {
		limit, configured := limits[name]
		if !configured {
			limit = unlimited
		}
		t := d.teams[name]
		if t.limit != limit {
			t.limit, t.redivide = limit, true
			d.divide(now, t)
		}
		for _, h := range t.holders {
			if !d.confirmed(h) {
				// An owner that knows only newer configurations takes over no grant with an older one.
				d.reissue(h)
			}
		}
	}
}

// reissue numbers the newest grant of the partition anew, if there is one.
func (d *Division) reissue(h *holder) {
	if h.sent.Number.Counter != 0 {
		d.issue(h, h.sent)
	}
}

// Report takes in the uses that the owner of a shard with the epoch reports, and returns the grants for it. Reports of former
// owners are ignored, and a new owner gets its first grant once the log names its epoch.
func (d *Division) Report(now time.Duration, part wigeonstep.Partition, epoch wigeonstep.FencingToken, uses []Use) []Grant {
	if len(uses) == 0 && len(d.teams) == 0 || epoch < max(d.epochs[part], d.newEpochs[part]) {
		return nil
	}
	if slices.ContainsFunc(uses, func(u Use) bool { return u.Wanted != Resources{} }) {
		d.SetPartitions([]wigeonstep.Partition{part})
	}
	if !slices.Contains(d.partitions, part) {
		// It has no service, so it needs no allowance.
		return nil
	}
	if epoch > max(d.epochs[part], d.newEpochs[part]) {
		d.newEpochs[part] = epoch
	}
	for _, u := range uses {
		t := d.team(u.Team)
		h := t.holder(part)
		h.use, h.useEpoch = u, epoch
		if u.Use != (Resources{}) {
			h.servedAt = now
		}
		if !t.due {
			t.due = true
			d.due = append(d.due, t)
		}
	}
	d.divideDue(now)
	if d.epochs[part] != epoch {
		return nil
	}
	return d.grants(part)
}

// divideDue divides the limits of the teams with new reports, each at most once every divideInterval.
func (d *Division) divideDue(now time.Duration) {
	d.due = slices.DeleteFunc(d.due, func(t *dividedTeam) bool {
		if now-t.dividedAt < divideInterval {
			return false
		}
		d.divide(now, t)
		t.due = false
		return true
	})
}

// grants returns the grants that the owner of a shard has not confirmed.
func (d *Division) grants(part wigeonstep.Partition) []Grant {
	var grants []Grant
	d.firstGrant++
	for i := range d.names {
		t := d.teams[d.names[(d.firstGrant+i)%len(d.names)]]
		h := t.holder(part)
		if h.sent.Number.Counter != 0 && t.limit != unlimited && !d.confirmed(h) {
			grants = append(grants, h.sent)
		}
		if len(grants) == maxGrants {
			break
		}
	}
	return grants
}

// confirmed reports whether the owner that the log names has confirmed the newest grant to its shard.
func (d *Division) confirmed(h *holder) bool {
	return h.sent.Number.Counter != 0 && h.use.Grant == h.sent.Number && h.useEpoch == d.epochs[h.partition] && d.newEpochs[h.partition] == 0
}

// Plan returns the records that are to be written now, in one append, and the epochs of the shards if they are to be written with
// them. The caller reports the acknowledged append with Written; until then Plan returns nothing.
func (d *Division) Plan(now time.Duration) ([]Record, map[wigeonstep.Partition]wigeonstep.FencingToken) {
	if d.writing {
		return nil, nil
	}
	var records []Record
	if !d.hasWritten || now-d.lastWrite >= writeInterval {
		for _, name := range d.names {
			if t := d.teams[name]; t.raising {
				t.writing, t.raising = true, false
				records = append(records, t.record())
			}
		}
	}
	if len(records) > 0 {
		d.lastWrite, d.hasWritten = now, true
	}
	var epochs map[wigeonstep.Partition]wigeonstep.FencingToken
	if len(d.newEpochs) > 0 {
		epochs = maps.Clone(d.epochs)
		maps.Copy(epochs, d.newEpochs)
		d.writingEpochs = epochs
	}
	d.writing = len(records) > 0 || epochs != nil
	return records, epochs
}

// record returns the record of the team with the raised allowances.
func (t *dividedTeam) record() Record {
	r := Record{Team: t.name, Allowances: map[wigeonstep.Partition]Resources{}}
	for _, h := range t.holders {
		if h.raised != (Resources{}) {
			r.Allowances[h.partition] = h.raised
		}
	}
	return r
}

// Written takes over the records of the newest Plan, which are durable, and returns the allowances that have changed since the ones
// before.
func (d *Division) Written(now time.Duration) []Change {
	if !d.writing {
		return nil
	}
	var changes []Change
	d.writing = false
	reissued := d.epochsWritten()
	d.divideDue(now)
	for _, name := range d.names {
		t := d.teams[name]
		if !t.writing && !reissued {
			// Nothing has changed for the team. Its reports are divided by divideDue.
			continue
		}
		if t.writing {
			t.writing, t.recorded = false, true
			for _, h := range t.holders {
				if h.rising {
					h.allowance, h.rising = h.raised, false
					// A new grant, so that what the owner has confirmed before does not count as a confirmation of the raised allowance.
					d.issue(h, t.grant(h))
				}
				if h.logged != h.allowance {
					changes = append(changes, Change{Team: name, Partition: h.partition, From: h.logged, To: h.allowance})
					h.logged = h.allowance
				}
			}
		}
		d.divide(now, t)
	}
	return changes
}

// epochsWritten takes over the epochs in the newest records and reports whether any has changed. The owners with new ones get new
// grants of all teams.
func (d *Division) epochsWritten() (changed bool) {
	for _, part := range slices.Sorted(maps.Keys(d.writingEpochs)) {
		epoch := d.writingEpochs[part]
		if d.epochs[part] == epoch {
			continue
		}
		d.epochs[part], changed = epoch, true
		if d.newEpochs[part] == epoch {
			delete(d.newEpochs, part)
		}
		for _, name := range d.names {
			d.reissue(d.teams[name].holder(part))
		}
	}
	d.writingEpochs = nil
	return changed
}
