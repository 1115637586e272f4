package wigeonshard

import (
	"slices"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// maxFlushBytes bounds one append; the log takes 2 MB.
const maxFlushBytes = 512 << 10

// flush is what one append makes durable.
type flush struct {
	jobs     []flushedJob
	runs     []*run
	workers  []*worker
	releases int
	// lapses names the workers in the note of the owner; nil when the flush holds no note.
	lapses map[wigeonstep.WorkerID]bool
}

type flushedJob struct {
	job   *job
	state wigeonjob.State
}

// write hands the changed progress to the log, unless an append is on its way.
func (o *Owner) write(now Now) {
	if o.flush != nil {
		return
	}
	if len(o.dirty) == 0 && len(o.releases) == 0 && len(o.drops) == 0 && len(o.unreleases) == 0 && o.noted && !o.renote {
		for _, w := range o.roster {
			w.durable = w.seen
		}
		return
	}
	f := &flush{releases: len(o.releases)}
	var records []wigeonstep.KeyedRecord
	if !o.noted || o.renote {
		records = append(records, o.encodeNote(f))
	}
	for _, r := range o.releases {
		value, err := wigeonjob.EncodeRelease(r)
		if err == nil {
			records = append(records, wigeonstep.KeyedRecord{Key: wigeonjob.Key(wigeonjob.KindRelease, r.Worker), Value: value})
		}
	}
	for _, id := range o.drops {
		for _, kind := range []wigeonjob.Kind{wigeonjob.KindJob, wigeonjob.KindProgress, wigeonjob.KindCancel} {
			records = append(records, wigeonstep.KeyedRecord{Key: wigeonjob.Key(kind, id)})
		}
	}
	o.drops = nil
	for _, id := range o.unreleases {
		records = append(records, wigeonstep.KeyedRecord{Key: wigeonjob.Key(wigeonjob.KindRelease, id)})
	}
	o.unreleases = nil
	size := 0
	taken := 0
	for _, j := range o.dirty {
		if size > maxFlushBytes {
			break
		}
		taken++
		if j.state.Terminal() && j.ended == 0 {
			j.ended = now.Wall
		}
		value, runs := o.encode(j)
		size += len(value)
		records = append(records, wigeonstep.KeyedRecord{Key: wigeonjob.Key(wigeonjob.KindProgress, j.ID), Value: value})
		f.jobs = append(f.jobs, flushedJob{job: j, state: j.state})
		f.runs = append(f.runs, runs...)
		j.dirty = false
	}
	o.dirty = slices.Delete(o.dirty, 0, taken)
	if len(o.dirty) == 0 {
		for _, w := range o.roster {
			if w.seen > w.durable {
				w.writing = w.seen
				f.workers = append(f.workers, w)
			}
		}
	}
	o.flush = f
	o.out.Append = records
}

// encodeNote returns the note of this owner, with the workers that do not answer and may still hold runs.
func (o *Owner) encodeNote(f *flush) wigeonstep.KeyedRecord {
	o.renote = false
	f.lapses = map[wigeonstep.WorkerID]bool{}
	note := wigeonjob.OwnerNote{Epoch: o.fence, Address: o.settings.Address}
	for _, w := range o.roster {
		if w.lapse != 0 && len(w.runs) > 0 {
			note.Lapses = append(note.Lapses, wigeonjob.Lapse{Worker: w.ID, At: w.lapse})
			f.lapses[w.ID] = true
			// From now on the log may hold the lapse, whatever becomes of this append.
			w.noted = true
		}
	}
	value, err := wigeonjob.EncodeOwner(note)
	if err != nil {
		// Only a string that is not UTF-8 fails to encode; the address comes from settings that were checked.
		value = nil
	}
	return wigeonstep.KeyedRecord{Key: wigeonjob.OwnerKey, Value: value}
}

// encode returns the progress of a job and the planned runs that it makes durable.
func (o *Owner) encode(j *job) ([]byte, []*run) {
	p := wigeonjob.Progress{State: j.state, Ended: j.ended}
	var planned []*run
	if !j.state.Terminal() {
		p.Finished = j.finished
	}
	for _, occ := range j.occurrences {
		for _, s := range occ.steps {
			for _, t := range s.tasks {
				for _, r := range t.runs {
					if r.phase == runPlanned {
						r.phase = runWriting
						planned = append(planned, r)
					}
				}
				if !j.state.Terminal() && t.lastRun > 0 {
					p.Tasks = append(p.Tasks, t.progress())
				}
			}
		}
	}
	value, err := wigeonjob.EncodeProgress(&p)
	if err != nil {
		// Only a string that is not UTF-8 fails to encode; checkpoints and worker ids come decoded from JSON.
		return nil, planned
	}
	return value, planned
}

func (t *task) progress() wigeonjob.TaskProgress {
	p := wigeonjob.TaskProgress{
		Occurrence: t.id.Occurrence,
		Step:       t.id.Step,
		Index:      t.id.Index,
		LastRun:    t.lastRun,
		Failures:   t.failures,
		Done:       t.done,
	}
	if !t.done {
		p.Checkpoint = t.checkpoint
	}
	for _, r := range t.runs {
		p.Runs = append(p.Runs, wigeonjob.LiveRun{Number: r.number, Worker: r.worker.ID})
	}
	return p
}

// Flushed takes the result of the append over. Only an acknowledged append is reported; one without an answer is
// repeated by the caller.
func (o *Owner) Flushed(now Now) {
	f := o.flush
	if f == nil {
		return
	}
	o.flush = nil
	o.Confirm(now.Steady)
	if f.lapses != nil {
		o.noted = true
		for _, w := range o.roster {
			w.noted = f.lapses[w.ID]
			o.renote = o.renote || w.noted && w.lapse == 0
		}
	}
	for _, r := range o.releases[:f.releases] {
		o.released[r.Worker] = true
	}
	o.releases = slices.Delete(o.releases, 0, f.releases)
	for _, w := range f.workers {
		w.durable = max(w.durable, w.writing)
	}
	for _, fj := range f.jobs {
		if fj.state.Terminal() && !fj.job.shown.Terminal() {
			o.noteJob("job_ended", fj.job, fj.state.String(), now.Steady-fj.job.due)
		}
		fj.job.shown = fj.state
	}
	for _, r := range f.runs {
		o.begin(now, r)
	}
	o.forgetJobs()
}

// begin sends the start of a run whose record is durable.
func (o *Owner) begin(now Now, r *run) {
	if r.phase != runWriting {
		return
	}
	if r.stopping || !r.worker.known || r.worker.failures > 0 {
		o.resolve(now, r, wigeonstep.EndStopped, r.task.checkpoint)
		return
	}
	r.began, r.moved, r.seen = now.Steady, now.Steady, now.Steady
	if j := r.task.step.job; !j.begun {
		j.begun = true
		o.note("job_started", r, "its first task starts", now.Steady-j.due)
	}
	o.sendStart(now, r)
}

// forgetJobs drops the jobs whose last state is durable and that run nowhere.
func (o *Owner) forgetJobs() {
	o.order = slices.DeleteFunc(o.order, func(j *job) bool {
		gone := j.shown.Terminal() && j.liveRuns == 0 && !j.dirty
		if gone {
			delete(o.jobs, j.ID)
			o.ended[j.ID] = j.shown
		}
		return gone
	})
}
