package wigeonshard

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonshare"
)

var testRateWindow = wigeonshare.Window{Length: 5 * time.Second, Overage: 0.1, Slack: 20}

// testTeams returns teams with the names and equal weights.
func testTeams(weight float64, names ...wigeonstep.TeamName) []wigeonstep.Team {
	var teams []wigeonstep.Team
	for _, name := range names {
		teams = append(teams, wigeonstep.Team{Name: name, Weight: weight})
	}
	return teams
}

// submitFor submits a job of one step for a team and returns it.
func (b *burst) submitFor(team wigeonstep.TeamName, s wigeonjob.Step) *job {
	j := testJob(wigeonstep.JobID(fmt.Sprintf("%016x", b.jobs)), s)
	j.Accepted, j.Team = b.now.Wall, team
	b.jobs++
	b.owner.AddJob(b.now, j, wigeonjob.Progress{}, false)
	return b.owner.jobs[j.ID]
}

// timeUntilStart advances until the first task of the job has a run, and calls each beforehand in each step; at most limit.
func (b *burst) timeUntilStart(j *job, limit time.Duration, each func()) time.Duration {
	for waited := time.Duration(0); waited < limit; waited += 8 * time.Millisecond {
		if len(j.occurrences) == 0 || j.occurrences[0].steps[0].waiting < len(j.occurrences[0].steps[0].tasks) {
			return waited
		}
		each()
		b.advance(8*time.Millisecond, 0)
	}
	return limit
}

func taskOf(cpu wigeonstep.MilliCPU, count int) wigeonjob.Step {
	return wigeonjob.Step{Count: count, Estimate: 700 * time.Millisecond, Required: wigeonstep.Resources{CPU: cpu, Memory: 500}}
}

// newHotBurst returns a pool that a hot team has filled, with a backlog.
func newHotBurst(workers int, teams []wigeonstep.Team) *burst {
	b := newBurst(workers)
	b.owner.SetTeams(teams)
	b.advance(8*time.Millisecond, 0)
	for range 250 {
		b.submitHot(workers)
		b.advance(8*time.Millisecond, 0)
	}
	return b
}

// submitHot submits more of the hot team's work than the pool can run in 8 ms.
func (b *burst) submitHot(workers int) {
	for range workers/10 + 1 {
		b.submitFor("hot", taskOf(1000, 8))
	}
}

// Guards against small teams whose jobs wait behind the backlog of a hot team, in an owner that drives a pool.
func TestSmallTeamStartsBeforeAHotOne(t *testing.T) {
	c := qt.New(t)
	b := newHotBurst(20, testTeams(10, "hot", "small"))
	for range 20 {
		j := b.submitFor("small", taskOf(1000, 2))
		waited := b.timeUntilStart(j, time.Second, func() { b.submitHot(20) })
		c.Assert(waited <= 100*time.Millisecond, qt.IsTrue, qt.Commentf("%s", waited))
	}
}

// Guards against a large task of a team below its share that never finds room, because the small tasks of a hot team take what each
// ended run leaves.
func TestLargeTaskOfATeamBelowItsShareStarts(t *testing.T) {
	c := qt.New(t)
	b := newHotBurst(20, testTeams(10, "hot", "large"))
	j := b.submitFor("large", taskOf(20_000, 1))
	waited := b.timeUntilStart(j, 10*time.Second, func() { b.submitHot(20) })
	c.Assert(waited <= 3*time.Second, qt.IsTrue, qt.Commentf("%s", waited))
	b.advance(60*time.Millisecond, 0)
	for _, w := range b.owner.sortedWorkers {
		c.Assert(w.held.holds, qt.HasLen, 0)
	}
}

// Guards against a team whose steps can have room on no worker, and that uses up the searches for all teams.
func TestStepsWithoutWorkerDoNotStopLargeTasksOfOthers(t *testing.T) {
	c := qt.New(t)
	b := newBurst(20)
	b.owner.SetTeams(testTeams(10, "hot", "blocked", "large"))
	serving := taskOf(4000, 20)
	serving.LongRunning, serving.MaxPerWorker = true, 1
	b.submitFor("", serving)
	b.advance(100*time.Millisecond, 0)
	for range 250 {
		b.submitHot(20)
		b.advance(8*time.Millisecond, 0)
	}
	var blocked []*job
	for range 3 {
		blocked = append(blocked, b.submitFor("blocked", taskOf(b.owner.sortedWorkers[0].Capacity.CPU, 1)))
	}
	j := b.submitFor("large", taskOf(20_000, 1))
	waited := b.timeUntilStart(j, 10*time.Second, func() { b.submitHot(20) })
	c.Assert(waited <= 3*time.Second, qt.IsTrue, qt.Commentf("%s", waited))
	for _, j := range blocked {
		c.Assert(j.occurrences[0].steps[0].waiting, qt.Equals, 1)
	}
}

// Guards against room that stays kept for a task after its team, or all teams, have left the configuration.
func TestRoomKeptForATeamIsGivenUp(t *testing.T) {
	c := qt.New(t)
	b := newHotBurst(20, testTeams(10, "hot", "large"))
	j := b.submitFor("large", taskOf(32_000, 1))
	task := j.occurrences[0].steps[0].tasks[0]
	for range 100 {
		b.submitHot(20)
		b.advance(8*time.Millisecond, 0)
		if task.hold != nil {
			break
		}
	}
	c.Assert(task.hold, qt.IsNotNil)
	b.owner.SetTeams(nil)
	c.Assert(task.hold, qt.IsNil)
}

// Guards against teams whose long-run shares differ from their weights while all have a backlog.
func TestSharesFollowWeights(t *testing.T) {
	c := qt.New(t)
	b := newBurst(20)
	b.owner.SetTeams([]wigeonstep.Team{{Name: "a", Weight: 1}, {Name: "b", Weight: 3}})
	b.advance(8*time.Millisecond, 0)
	for range 400 {
		for range 5 {
			b.submitFor("a", taskOf(1000, 4))
			b.submitFor("b", taskOf(1000, 4))
		}
		b.advance(8*time.Millisecond, 0)
	}
	capacity := wigeonstep.MilliCPU(20 * 32_000)
	a, other := b.owner.teams["a"].use.CPU, b.owner.teams["b"].use.CPU
	c.Assert(a >= capacity*24/100 && a <= capacity*26/100, qt.IsTrue, qt.Commentf("%d of %d", a, capacity))
	c.Assert(a+other >= capacity*99/100, qt.IsTrue, qt.Commentf("%d of %d", a+other, capacity))
}

// Guards against an order that depends on teams in a deployment whose configuration has none.
func TestWithoutTeamsNothingChanges(t *testing.T) {
	c := qt.New(t)
	starts := func(name func(int) wigeonstep.TeamName) []wigeonstep.RunID {
		b := newBurst(5)
		b.advance(8*time.Millisecond, 0)
		var order []wigeonstep.RunID
		for i := range 300 {
			b.submitFor(name(i), taskOf(wigeonstep.MilliCPU(1000+500*(i%5)), 1+i%7))
			before := b.started
			b.advance(8*time.Millisecond, 0)
			if b.started > before {
				for _, w := range b.owner.sortedWorkers {
					order = append(order, b.listed[w.ID]...)
				}
			}
		}
		return order
	}
	without := starts(func(int) wigeonstep.TeamName { return "" })
	c.Assert(len(without) > 1000, qt.IsTrue)
	c.Assert(starts(func(i int) wigeonstep.TeamName { return wigeonstep.TeamName(fmt.Sprintf("team%d", i%3)) }), qt.DeepEquals, without)
}

// Guards against jobs that are excess for one owner and not for the next, which also reads the jobs that have ended.
func TestNextOwnerDecidesExcessAlike(t *testing.T) {
	c := qt.New(t)
	settings := testSettings
	settings.RateWindow = testRateWindow
	now := Timestamp{Steady: time.Hour, Wall: 1_700_000_000_000}
	first := NewOwner(settings, 1, now, wigeonjob.OwnerRecord{})
	first.SetTeams(testTeams(2, "a"))
	var jobs []*wigeonjob.Job
	for i := range 200 {
		now.Wall += 40
		now.Steady += 40 * time.Millisecond
		j := testJob(wigeonstep.JobID(fmt.Sprintf("%016x", i)), testStep(1))
		j.Accepted, j.Team = now.Wall, "a"
		if i%10 == 9 {
			j.Team = "b"
		}
		jobs = append(jobs, j)
		first.AddJob(now, j, wigeonjob.Progress{}, false)
	}
	now.Wall, now.Steady = now.Wall+9000, now.Steady+9*time.Second
	next := NewOwner(settings, 2, now, wigeonjob.OwnerRecord{})
	next.SetTeams(testTeams(2, "a"))
	excess := 0
	for i, j := range jobs {
		var progress wigeonjob.Progress
		if i%3 == 0 {
			progress.State = wigeonjob.StateCompleted
		}
		next.AddJob(now, j, progress, false)
		if i%3 != 0 {
			c.Assert(next.jobs[j.ID].excess, qt.Equals, first.jobs[j.ID].excess, qt.Commentf("job %d", i))
		}
		if first.jobs[j.ID].excess {
			excess++
			c.Assert(j.Team, qt.Equals, wigeonstep.TeamName("a"))
		}
	}
	// In 8 s there are 180 jobs of the team, of which 31 are within its rate in each 5 s.
	c.Assert(excess, qt.Equals, 180-2*31)
	c.Assert(first.teams["a"].excessJobs, qt.Equals, excess)
}

// Guards against excess jobs that are placed before those within the rate of another team, and against an excess that stays counted
// after its job has ended.
func TestExcessJobsWait(t *testing.T) {
	c := qt.New(t)
	b := newBurst(1)
	b.owner.settings.RateWindow = testRateWindow
	b.owner.SetTeams([]wigeonstep.Team{{Name: "a", Weight: 1000}, {Name: "b", Weight: 0.1}})
	b.advance(8*time.Millisecond, 0)
	for range 40 {
		b.submitFor("b", taskOf(100, 1))
	}
	for range 40 {
		b.submitFor("a", taskOf(100, 1))
	}
	excess := b.owner.teams["b"].excessJobs
	c.Assert(excess, qt.Equals, 20)
	var order []bool
	for _, candidate := range b.owner.sharedCandidates(b.now, newRoomOrder(b.owner.pool(b.now))) {
		order = append(order, candidate.job.excess)
	}
	c.Assert(order, qt.HasLen, 80)
	c.Assert(slices.Index(order, true), qt.Equals, 60)
	for range 600 {
		b.advance(8*time.Millisecond, 0)
	}
	c.Assert(b.owner.teams["b"].excessJobs, qt.Equals, 0)
}

// Guards against use that is left over after faults: a team would be above its share for ever.
func TestUseOfTeamsAfterFaults(t *testing.T) {
	c := qt.New(t)
	m := newClusterModel(t, 31, 6)
	m.lostAnswerRate, m.lateCallRate = 0.05, 0.02
	for range 3 {
		o := m.addOwner()
		o.SetTeams(testTeams(2, "a", "b"))
		for i := range 20 {
			j := testJob(wigeonstep.JobID(fmt.Sprintf("job%d-%02d", m.epoch, i)), testStep(4), testStep(3, 0))
			j.Team = []wigeonstep.TeamName{"a", "b", ""}[i%3]
			m.submitJob(j)
		}
		m.advance(2 * time.Second)
		c.Assert(wrongTeamUse(o.Owner), qt.Equals, "")
		o.crashed = m.epoch < 3
	}
	m.advance(60 * time.Second)
	c.Assert(m.violations, qt.HasLen, 0)
	c.Assert(m.unfinishedJobs(), qt.HasLen, 0)
	for _, team := range m.owners[2].teams {
		c.Assert(team.use, qt.Equals, wigeonstep.Resources{})
		c.Assert(team.share.Use(), qt.Equals, wigeonstep.Resources{})
	}
}

// wrongTeamUse describes the first team whose use differs from what its runs require or reserve; empty if there is none.
func wrongTeamUse(o *Owner) string {
	required, reserved := map[*team]wigeonstep.Resources{}, map[*team]wigeonstep.Resources{}
	for _, w := range o.sortedWorkers {
		for _, r := range w.runs {
			if t := r.task.step.job.team; t != nil {
				required[t] = required[t].Add(r.task.step.Required)
				reserved[t] = reserved[t].Add(r.task.step.Reserved())
			}
		}
	}
	for _, t := range o.sharing.teams {
		if t.use != required[t] || t.share.Use() != reserved[t] {
			return fmt.Sprintf("team %s: counted are %v and %v, its runs require %v and reserve %v", t.Name, t.use, t.share.Use(), required[t], reserved[t])
		}
	}
	return ""
}

// Guards against an explanation that does not say why a job has to wait for those of other teams.
func TestExplainNamesTheTeam(t *testing.T) {
	c := qt.New(t)
	b := newHotBurst(5, append(testTeams(0.1, "hot"), wigeonstep.Team{Name: "other", Weight: 1, Limit: wigeonstep.Resources{CPU: 5000}}))
	j := b.submitFor("hot", taskOf(1000, 8))
	status, known := b.owner.Explain(b.now, j.ID)
	c.Assert(known, qt.IsTrue)
	c.Assert(status.State, qt.Matches, `.*team hot \(weight 0\.1, share \d+\.\d\d% of the shard, fair share \d+\.\d\d%, running \d+ millicores, \d+ MB and 0 GPUs, no limit\).*`)
	c.Assert(status.WaitsFor, qt.Matches, `step 0\.0: share: .*; room for 8 tasks .*`)

	statuses := b.owner.AppendTeamStatuses(nil)
	c.Assert(statuses, qt.HasLen, 2)
	c.Assert(statuses[0].Name, qt.Equals, wigeonstep.TeamName("hot"))
	c.Assert(statuses[0].WaitingTasks > 1000 && statuses[0].Share > 0.99, qt.IsTrue, qt.Commentf("%+v", statuses[0]))
	c.Assert(statuses[1], qt.DeepEquals, TeamStatus{Name: "other", FairShare: 1})

	b.owner.settings.RateWindow = testRateWindow
	for range 21 {
		j = b.submitFor("other", taskOf(1000, 8))
	}
	status, _ = b.owner.Explain(b.now, j.ID)
	c.Assert(status.State, qt.Matches, `.*team other \(weight 1, .*, limit of all shards 5000 millicores, 0 MB and 0 GPUs, 0 for none\).*`)
	for range 10 {
		j = b.submitFor("other", taskOf(1000, 8))
	}
	status, _ = b.owner.Explain(b.now, j.ID)
	c.Assert(status.WaitsFor, qt.Matches, `step 0\.0: rate: the team had submitted more than 26 jobs in 5s, .*`)
}
