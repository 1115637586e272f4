package wigeonshard

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// burst drives an owner of a large pool through a burst: jobs of all sizes arrive faster than the pool can run them, and each
// worker answers a heartbeat as soon as a run has ended.
type burst struct {
	owner  *Owner
	now    Timestamp
	random *rand.Rand
	// ends holds the time at which each run ends.
	ends map[wigeonstep.RunID]time.Duration
	// pending holds the heartbeat that each worker answers next, listed its runs and lastEnd the number of its last end.
	pending map[wigeonstep.WorkerID]Heartbeat
	listed  map[wigeonstep.WorkerID][]wigeonstep.RunID
	lastEnd map[wigeonstep.WorkerID]uint64

	jobs, started, ended, heartbeats int
	// mostStarts is the largest number of starts of one step.
	mostStarts int
}

func newBurst(workers int) *burst {
	b := &burst{
		now: Timestamp{Steady: time.Hour, Wall: 1_700_000_000_000}, random: rand.New(rand.NewPCG(1, 2)),
		ends: map[wigeonstep.RunID]time.Duration{}, pending: map[wigeonstep.WorkerID]Heartbeat{},
		listed: map[wigeonstep.WorkerID][]wigeonstep.RunID{}, lastEnd: map[wigeonstep.WorkerID]uint64{},
	}
	b.owner = NewOwner(testSettings, 1, b.now, wigeonjob.OwnerRecord{})
	var listed []wigeonstep.ListedWorker
	for i := range workers {
		listed = append(listed, wigeonstep.ListedWorker{
			ID: wigeonstep.WorkerID(fmt.Sprintf("w%05d", i)), Address: "10.0.0.1:80", Service: testService,
			Capacity: wigeonstep.Resources{CPU: 32_000, Memory: 65_536}, Labels: []wigeonstep.Label{"a", wigeonstep.Label(fmt.Sprintf("r%d", i/8))},
		})
	}
	b.owner.SetWorkers(b.now, listed)
	return b
}

// spread returns a number around mean, at most twice as large and at least a third.
func (b *burst) spread(mean int64) int64 { return mean/3 + b.random.Int64N(mean*4/3) }

func (b *burst) submit() {
	job := &wigeonjob.Job{ID: wigeonstep.JobID(fmt.Sprintf("%016x", b.jobs)), Service: testService, Accepted: b.now.Wall}
	job.Policy.ObjectiveFactor, job.Policy.ObjectiveBase, job.Policy.MaxAttempts = 1.6, 600*time.Millisecond, 4
	for n := range 1 + b.random.IntN(2) {
		s := wigeonjob.Step{
			Count: int(b.spread(8)), Estimate: time.Duration(b.spread(800)) * time.Millisecond,
			Required: wigeonstep.Resources{CPU: wigeonstep.MilliCPU(b.spread(4500)), Memory: wigeonstep.Megabytes(b.spread(6400))},
		}
		if n > 0 {
			s.After = []int{n - 1}
		}
		job.Steps = append(job.Steps, s)
	}
	b.jobs++
	b.owner.AddJob(b.now, job, wigeonjob.Progress{}, false)
}

// advance passes a time in which jobs arrive, runs end, and the owner makes one step.
func (b *burst) advance(d time.Duration, jobs int) {
	b.now.Steady += d
	b.now.Wall += wigeonstep.UnixMillis(d.Milliseconds())
	for range jobs {
		b.submit()
	}
	for _, w := range b.owner.sortedWorkers {
		b.answer(w.ID)
	}
	b.step()
}

// answer answers the heartbeat of a worker if a run has ended, or if the heartbeat asks for an answer at once.
func (b *burst) answer(id wigeonstep.WorkerID) {
	h, pending := b.pending[id]
	if !pending {
		return
	}
	result := wigeonstep.HeartbeatResult{Clock: wigeonstep.WorkerMillis(b.now.Steady.Milliseconds()), StartedAt: 1}
	var running []wigeonstep.RunID
	for _, run := range b.listed[id] {
		if b.ends[run] > b.now.Steady {
			running = append(running, run)
			continue
		}
		b.lastEnd[id]++
		b.ended++
		result.Ended = append(result.Ended, wigeonstep.EndedRun{Number: b.lastEnd[id], Run: run, Cause: wigeonstep.EndDone})
		delete(b.ends, run)
	}
	if len(result.Ended) == 0 && b.now.Steady < h.SentAt+h.Request.Wait {
		return
	}
	b.listed[id] = running
	for _, run := range running {
		result.Running = append(result.Running, wigeonstep.RunningRun{Run: run, ProgressPercent: 50})
	}
	delete(b.pending, id)
	b.heartbeats++
	b.owner.HeartbeatAnswered(b.now, h, result, nil)
}

func (b *burst) step() {
	a := b.owner.Step(b.now)
	if a.Append != nil {
		b.owner.AppendAcknowledged(b.now, b.now.Steady)
	}
	for _, h := range a.Heartbeats {
		b.pending[h.Worker.ID] = h
	}
	b.mostStarts = max(b.mostStarts, len(a.Starts))
	for _, s := range a.Starts {
		id := s.Order.Run
		estimate := b.owner.jobs[id.Task.Job].Steps[id.Task.Step].Estimate
		b.ends[id] = b.now.Steady + estimate/2 + time.Duration(b.random.Int64N(int64(estimate)))
		b.listed[s.Worker.ID] = append(b.listed[s.Worker.ID], id)
		b.started++
		b.owner.StartAnswered(b.now, s, wigeonstep.StartResult{Verdict: wigeonstep.StartAccepted})
	}
}

// wrongCounters describes the first counter of a step that differs from what it counts, or the first counter of the limit on open
// tasks; empty if there is none.
func (o *Owner) wrongCounters() string {
	var counted claims
	for _, j := range o.jobs {
		claiming := 0
		for _, occ := range j.occurrences {
			if occ.further {
				counted.size += len(occ.steps)
				counted.further += len(occ.steps)
			}
			for _, s := range occ.steps {
				if wrong := cmp.Or(s.wrongCounters(), s.wrongTasks()); wrong != "" {
					return wrong
				}
				if s.isOpen() && s.tasksLeft > 0 {
					claiming++
				}
				counted.size += s.waitingInMemory()
				counted.further += s.claim.further
				if s.claim.bypass {
					counted.bypassed += s.claim.size
				}
			}
		}
		if j.claimingSteps != claiming {
			return fmt.Sprintf("job %s: %d steps with claims; counted are %d", j.ID, claiming, j.claimingSteps)
		}
	}
	small := 0
	for _, w := range o.sortedWorkers {
		if wrong := w.wrongCounters(); wrong != "" {
			return wrong
		}
		for _, r := range w.runs {
			if r.small {
				small++
			}
		}
	}
	if o.smallRuns.count != small {
		return fmt.Sprintf("%d small runs; counted are %d", small, o.smallRuns.count)
	}
	for _, l := range []*openSteps{&o.longRunningSteps, &o.finiteSteps} {
		if wrong := l.wrongLists(); wrong != "" {
			return wrong
		}
	}
	if o.opening.claims != counted {
		return fmt.Sprintf("claims %+v; counted are %+v", counted, o.opening.claims)
	}
	return ""
}

func (w *worker) wrongCounters() string {
	unsent := 0
	for _, r := range w.runs {
		if w.findRun(r.id()) != r {
			return fmt.Sprintf("worker %s: run %v is not found", w.ID, r.id())
		}
		if r.unsent() {
			unsent++
		}
	}
	if w.unsentRuns == unsent && len(w.runIndex) == len(w.runs) {
		return ""
	}
	return fmt.Sprintf("worker %s: %d runs, %d unsent; counted are %d and %d", w.ID, len(w.runs), unsent, len(w.runIndex), w.unsentRuns)
}

// waitingInMemory returns what the step takes of the limit on tasks without a run.
func (s *step) waitingInMemory() int {
	waiting, needed := 0, 0
	for _, t := range s.tasks {
		if len(t.runs) == 0 {
			waiting++
		}
		if len(t.runs) == 0 && !t.done || t.needsCopy {
			needed++
		}
	}
	if s.isOpen() && needed > 0 {
		waiting += stepSize
	}
	return waiting
}

// wrongTasks says what is wrong with the lists of the step's tasks.
func (s *step) wrongTasks() string {
	missing := s.end - s.base - len(s.tasks)
	last, closed := s.base-1, s.closedTasks
	for _, t := range s.tasks {
		for len(closed) > 0 && closed[0].index < t.id.Index {
			closed = closed[1:]
		}
		if t.id.Index <= last || t.id.Index >= s.end || len(closed) > 0 && closed[0].index == t.id.Index {
			return fmt.Sprintf("job %s, step %d: task %d is out of place", s.job.ID, s.number, t.id.Index)
		}
		last = t.id.Index
	}
	last = s.base - 1
	for i := range s.closedTasks {
		c := &s.closedTasks[i]
		if c.index <= last {
			return fmt.Sprintf("job %s, step %d: closed task %d is out of place", s.job.ID, s.number, c.index)
		}
		last = c.index
		if c.done && s.isOpen() {
			missing--
		}
	}
	if s.evicted != missing {
		return fmt.Sprintf("job %s, step %d: %d tasks are missing; counted are %d", s.job.ID, s.number, missing, s.evicted)
	}
	return ""
}

// wrongLists says which steps can't be found by a search for tasks to place.
func (l *openSteps) wrongLists() string {
	listed := map[*step]bool{}
	for e := range l.all() {
		if listed[e.step] {
			return fmt.Sprintf("job %s, step %d is listed twice", e.job.ID, e.number)
		}
		listed[e.step] = true
		if e.setApart && !e.closed() && (e.waiting > e.notInMemory() || e.notInMemory() > 0 && !e.queued) {
			return fmt.Sprintf("job %s, step %d has %d tasks that no search finds", e.job.ID, e.number, e.waiting)
		}
	}
	return ""
}

func (s *step) wrongCounters() string {
	done, live, blocked, copies := s.base, 0, 0, 0
	for _, t := range s.tasks {
		if t.needsCopy {
			copies++
		}
		switch {
		case t.done:
			done++
		case len(t.runs) > 0:
			live++
		}
	}
	for _, t := range s.closedTasks {
		if t.done {
			done++
		}
	}
	if s.job.recordsTasks && s.tasksLeft == 0 {
		// Nothing is kept of the tasks.
		done = s.Count
	}
	for _, before := range s.After {
		if s.occurrence.steps[before].tasksLeft > 0 {
			blocked++
		}
	}
	if s.copiesNeeded != copies {
		return fmt.Sprintf("job %s, step %d: %d tasks need a copy; counted are %d", s.job.ID, s.number, copies, s.copiesNeeded)
	}
	left := s.Count - done
	if s.tasksLeft == left && s.waiting == left-live && s.blocked == blocked {
		return ""
	}
	return fmt.Sprintf("job %s, step %d: %d left, %d waiting, blocked by %d; counted are %d, %d and %d", s.job.ID, s.number, left, left-live, blocked, s.tasksLeft, s.waiting, s.blocked)
}

// BenchmarkBurst measures the processor time of an owner for each task of a burst, all its decisions included.
func BenchmarkBurst(b *testing.B) {
	for _, workers := range []int{100, 500} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for range b.N {
				m := newBurst(workers)
				for range 600 {
					m.advance(8*time.Millisecond, workers/150+1)
				}
				b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(m.started), "us/task")
				b.ReportMetric(float64(m.heartbeats)/float64(m.started), "heartbeats/task")
				b.ReportMetric(float64(m.started), "tasks")
				b.ReportMetric(float64(len(m.owner.jobs)), "jobs")
			}
		})
	}
}

// Guards against an owner that falls behind in a burst because it sends more starts at once than its processor can handle, and
// against workers that get none while others do.
func TestStartsOfABurstAreSpread(t *testing.T) {
	c := qt.New(t)
	b := newBurst(300)
	b.advance(time.Millisecond, 0)
	b.advance(100*time.Millisecond, 500)
	for range 50 {
		b.advance(8*time.Millisecond, 0)
	}
	c.Assert(b.mostStarts, qt.Equals, maxStartsPerStep)
	for _, w := range b.owner.sortedWorkers {
		c.Assert(len(b.listed[w.ID]) > 0, qt.IsTrue, qt.Commentf("worker %s got no start", w.ID))
	}
}

// Guards against rounds of placement whose cost grows with the jobs that wait: an owner that has fallen behind once would fall
// behind further. Only the steps that fit into the free room are looked at.
func TestFullPoolIsSearchedForFewSteps(t *testing.T) {
	c := qt.New(t)
	b := newBurst(100)
	b.advance(time.Millisecond, 0)
	for range 110 {
		b.advance(8*time.Millisecond, 20)
	}
	waiting := len(b.owner.finiteSteps.entries)
	looked := len(b.owner.finiteCandidates(b.now, newRoomOrder(b.owner.pool(b.now))))
	c.Assert(waiting > 2000, qt.IsTrue, qt.Commentf("%d steps", waiting))
	c.Assert(looked < waiting/10, qt.IsTrue, qt.Commentf("%d of %d steps", looked, waiting))
}
