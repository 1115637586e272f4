package wigeonshard

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// defaultFlushBytes is the default of Settings.FlushBytes. An append may exceed it by the records of one gang, or by one record.
// The log accepts 2 MB.
const defaultFlushBytes = 512 << 10

// flush is the state that becomes durable with one append.
type flush struct {
	// startedAt is the time at which the append was handed to the caller.
	startedAt time.Duration
	jobs      []flushedJob
	runs      []*run
	workers   []*worker
	releases  int
	// recordedLapses holds the workers whose lapses are in the owner record; nil when the append carries none.
	recordedLapses map[wigeonstep.WorkerID]bool
}

type flushedJob struct {
	job   *job
	state wigeonjob.State
}

// startFlush adds an append of the changed records to the actions, unless an append is pending or nothing has changed.
func (o *Owner) startFlush(now Timestamp) {
	if o.flush != nil {
		return
	}
	if len(o.dirtyJobs) == 0 && len(o.pendingReleases) == 0 && len(o.droppedJobs) == 0 && len(o.droppedKeys) == 0 && len(o.expiredReleases) == 0 && o.ownerRecordDurable && !o.ownerRecordOutdated {
		for _, w := range o.sortedWorkers {
			w.durableEnd = w.lastEnd
		}
		return
	}
	f := &flush{startedAt: now.Steady, releases: len(o.pendingReleases)}
	var records []wigeonstep.KeyedRecord
	if !o.ownerRecordDurable || o.ownerRecordOutdated {
		records = append(records, o.encodeOwnerRecord(f))
	}
	for _, r := range o.pendingReleases {
		value, err := wigeonjob.EncodeRelease(r)
		if err == nil {
			records = append(records, wigeonstep.KeyedRecord{Key: wigeonjob.Key(wigeonjob.KindRelease, r.Worker), Value: value})
		}
	}
	for _, id := range o.droppedJobs {
		for _, kind := range []wigeonjob.Kind{wigeonjob.KindJob, wigeonjob.KindProgress, wigeonjob.KindCancel} {
			records = append(records, wigeonstep.KeyedRecord{Key: wigeonjob.Key(kind, id)})
		}
	}
	o.droppedJobs = nil
	for _, key := range o.droppedKeys {
		records = append(records, wigeonstep.KeyedRecord{Key: key})
	}
	o.droppedKeys = nil
	for _, id := range o.expiredReleases {
		records = append(records, wigeonstep.KeyedRecord{Key: wigeonjob.Key(wigeonjob.KindRelease, id)})
	}
	o.expiredReleases = nil
	e := progressEncoder{owner: o, now: now, space: cmp.Or(o.settings.FlushBytes, defaultFlushBytes)}
	var unfinished []*job
	flushedJobs := 0
	for _, j := range o.dirtyJobs {
		if e.full() {
			break
		}
		flushedJobs++
		if !e.encodeJob(j) {
			// The other jobs come before the rest of a large one.
			unfinished = append(unfinished, j)
			continue
		}
		f.jobs = append(f.jobs, flushedJob{job: j, state: j.state})
		j.dirty = false
	}
	o.dirtyJobs = append(slices.Delete(o.dirtyJobs, 0, flushedJobs), unfinished...)
	records = append(records, e.records...)
	f.runs = e.runs
	if len(o.dirtyJobs) == 0 {
		// This append leaves no job dirty, so it holds the effects of all ends so far.
		for _, w := range o.sortedWorkers {
			if w.lastEnd > w.durableEnd {
				w.flushingEnd = w.lastEnd
				f.workers = append(f.workers, w)
			}
		}
	}
	o.flush = f
	o.out.Append = records
}

// encodeOwnerRecord returns this owner's record with the lapses of the unreachable workers that may still have runs.
func (o *Owner) encodeOwnerRecord(f *flush) wigeonstep.KeyedRecord {
	o.ownerRecordOutdated = false
	f.recordedLapses = map[wigeonstep.WorkerID]bool{}
	record := wigeonjob.OwnerRecord{Epoch: o.fence, Address: o.settings.Address}
	for _, w := range o.sortedWorkers {
		if w.leasesEndWall != 0 && len(w.runs) > 0 {
			record.Lapses = append(record.Lapses, wigeonjob.Lapse{Worker: w.ID, At: w.leasesEndWall})
			f.recordedLapses[w.ID] = true
			// The append may take effect even when its answer is lost, so the log may hold the lapse from now on.
			w.lapseRecorded = true
		}
	}
	value, err := wigeonjob.EncodeOwner(record)
	if err != nil {
		// Only a string that is not UTF-8 fails to encode; the address comes from settings that were checked.
		value = nil
	}
	return wigeonstep.KeyedRecord{Key: wigeonjob.OwnerKey, Value: value}
}

func (t *task) progress(now Timestamp) wigeonjob.TaskProgress {
	p := wigeonjob.TaskProgress{
		Occurrence: t.id.Occurrence,
		Step:       t.id.Step,
		Index:      t.id.Index,
		LastRun:    t.lastRun,
		Failures:   t.failures,
		Done:       t.done,
		GivenUp:    t.givenUp,
	}
	if !t.done {
		p.Checkpoint = t.checkpoint
	}
	if !t.done {
		p.LostRuns, p.Crashes = t.lostRuns, t.crashes
	}
	for _, r := range t.runs {
		live := wigeonjob.LiveRun{Number: r.number, Worker: r.worker.ID, PlannedAt: r.plannedWall}
		// What an earlier owner recorded counts until the worker has answered.
		if until := r.renewedUntil(); until != 0 && (r.worker.failures > 0 || !r.worker.answered) {
			live.UnansweredAt = r.recordedOrder(now, until)
		}
		live.Begun = r.certainlyBegun()
		r.begunRecorded = live.Begun
		p.Runs = append(p.Runs, live)
	}
	return p
}

// AppendAcknowledged marks the state of the pending append as durable; the next Step sends the starts that depend on it. The
// caller reports only acknowledged appends, and repeats an append without an answer. sentAt is the time at which the
// acknowledged attempt was sent: the log confirms the ownership of that time, and the answer may have waited in a paused
// process. The records of the rejected jobs were not written, because the log does not accept them; these jobs are given up.
func (o *Owner) AppendAcknowledged(now Timestamp, sentAt time.Duration, rejected ...wigeonstep.JobID) {
	f := o.flush
	if f == nil {
		return
	}
	o.flush = nil
	o.stages[StageRecorded].add(now.Steady - f.startedAt)
	o.Confirm(sentAt)
	o.logConfirmedAt = max(o.logConfirmedAt, sentAt)
	if f.recordedLapses != nil {
		o.ownerRecordDurable = true
		for _, w := range o.sortedWorkers {
			w.lapseRecorded = f.recordedLapses[w.ID]
			o.ownerRecordOutdated = o.ownerRecordOutdated || w.lapseRecorded && w.leasesEndWall == 0
		}
	}
	for _, r := range o.pendingReleases[:f.releases] {
		o.released[r.Worker] = true
	}
	o.pendingReleases = slices.Delete(o.pendingReleases, 0, f.releases)
	for _, id := range rejected {
		if j := o.jobs[id]; j != nil {
			o.giveUpUnrecorded(now, j, f)
		}
	}
	if len(rejected) == 0 {
		// Otherwise the next append records the ends of the rejected jobs.
		for _, w := range f.workers {
			w.durableEnd = max(w.durableEnd, w.flushingEnd)
		}
	}
	for _, fj := range f.jobs {
		if fj.state.Terminal() && !fj.job.durableState.Terminal() {
			o.recordEnd(now, fj.job)
			o.recordJobDecision("job_ended", fj.job, fj.state.String(), now.Steady-fj.job.acceptedAt)
		}
		fj.job.durableState = fj.state
	}
	for _, r := range f.runs {
		r.worker.settled = false
		if r.phase == runWriting {
			r.phase = runDurable
		}
	}
	for _, fj := range f.jobs {
		o.removeIfEnded(fj.job)
	}
}

// giveUpUnrecorded gives up a job whose records the log rejects, and removes it from the flush. Its planned runs never start. A job
// whose last record is rejected has ended all the same.
func (o *Owner) giveUpUnrecorded(now Timestamp, j *job, f *flush) {
	if j.state.Terminal() {
		return
	}
	f.jobs = slices.DeleteFunc(f.jobs, func(fj flushedJob) bool { return fj.job == j })
	f.runs = slices.DeleteFunc(f.runs, func(r *run) bool {
		if r.task.step.job != j {
			return false
		}
		if r.phase == runWriting {
			r.phase = runPlanned
		}
		return true
	})
	j.cause = "the log rejects the records of its progress"
	o.recordJobDecision("job_given_up", j, j.cause, now.Steady-j.acceptedAt)
	o.stopJob(now, j)
	o.setFinalState(j, wigeonjob.StateFailed)
}

// removeIfEnded removes a job from memory if its final state is durable and it has no run left. The end of its last run makes it
// dirty, so it is considered after each append with its record.
func (o *Owner) removeIfEnded(j *job) {
	if j.durableState.Terminal() && j.liveRuns == 0 && !j.dirty {
		delete(o.jobs, j.ID)
		for _, occ := range j.occurrences {
			o.opening.occurrenceClosed(occ)
		}
		if j.excess {
			j.team.excessJobs--
		}
		o.ended[j.ID] = endedJob{state: j.durableState, cause: j.cause, holder: j.holder, team: j.Team, queue: j.Queue}
	}
}
