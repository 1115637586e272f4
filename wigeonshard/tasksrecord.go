package wigeonshard

import (
	"cmp"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// This file encodes the progress of jobs as records of a bounded size. A job with few tasks has one record. A larger one has
// records of neighbouring tasks, of which only the changed ones are written, and one record with its state. They may go out with
// several appends, and the owner may be replaced after each: a run starts only after its own record is durable, the tasks of a
// step are recorded before those of the steps that depend on it, and the state of the job comes last.

// tasksRecord is the state of a record with some tasks of a step.
type tasksRecord struct {
	// dirty is set while the progress of its tasks differs from the newest record that was handed to an append.
	dirty bool
	// written is set once the record may be in the log.
	written bool
}

func (s *Settings) tasksPerRecord() int { return cmp.Or(s.TasksPerRecord, wigeonjob.TasksPerRecord) }

// recordOf returns the record that holds a task of the step, or nil if the record of the job does.
func (o *Owner) recordOf(s *step, index int) *tasksRecord {
	if !s.job.recordsTasks {
		return nil
	}
	return &s.records[index/o.settings.tasksPerRecord()]
}

// markTaskDirty records that the progress of the task has changed.
func (o *Owner) markTaskDirty(t *task) { o.markProgressDirty(t.step, t.id.Index) }

// markProgressDirty records that the progress of a task has changed, whether or not it is in memory.
func (o *Owner) markProgressDirty(s *step, index int) {
	if r := o.recordOf(s, index); r != nil {
		r.dirty = true
	}
	o.markDirty(s.job)
}

// setCheckpoint sets the newest checkpoint of the task, unless it is empty or too large to be recorded.
func (t *task) setCheckpoint(checkpoint wigeonstep.Checkpoint) {
	if checkpoint != "" && len(checkpoint) <= wigeonjob.MaxCheckpointBytes {
		t.checkpoint = checkpoint
	}
}

// recordID returns the id of the record with the number.
func (s *step) recordID(number int) wigeonjob.TasksID {
	return wigeonjob.TasksID{Job: s.job.ID, Occurrence: s.occurrence.number, Step: s.number, Number: number}
}

// writtenRecords returns the records of tasks of the occurrence that may be in the log.
func (occ *occurrence) writtenRecords() []wigeonjob.TasksID {
	var ids []wigeonjob.TasksID
	for _, s := range occ.steps {
		for n, r := range s.records {
			if r.written {
				ids = append(ids, s.recordID(n))
			}
		}
	}
	return ids
}

// progressEncoder collects the records of one append.
type progressEncoder struct {
	owner *Owner
	now   Timestamp
	// space is the size that the records may still take; negative once they exceed it.
	space   int
	records []wigeonstep.KeyedRecord
	// runs holds the planned runs that the records make durable.
	runs []*run
}

func (e *progressEncoder) full() bool { return e.space <= 0 }

func (e *progressEncoder) add(key string, value []byte, err error) {
	if err != nil {
		// Only a string that is not UTF-8 fails to encode; checkpoints and worker ids come decoded from JSON.
		value = nil
	}
	e.space -= len(key) + len(value)
	e.records = append(e.records, wigeonstep.KeyedRecord{Key: key, Value: value})
}

// encodeJob adds the changed records of a job, and reports whether there was space for all of them.
func (e *progressEncoder) encodeJob(j *job) bool {
	if j.state.Terminal() {
		e.endJob(j)
	}
	for _, occ := range j.occurrences {
		for _, s := range occ.steps {
			if !e.encodeStep(s) {
				return false
			}
		}
	}
	e.encodeState(j)
	return true
}

// endJob prepares the last record of a job, which has no tasks.
func (e *progressEncoder) endJob(j *job) {
	if j.ended == 0 {
		j.ended = e.now.Wall
	}
	for _, occ := range j.occurrences {
		j.removedRecords = append(j.removedRecords, occ.writtenRecords()...)
		for _, s := range occ.steps {
			clear(s.records)
		}
	}
}

// encodeStep adds the changed records of the tasks of a step, those of a gang together. It reports whether there was space.
func (e *progressEncoder) encodeStep(s *step) bool {
	perRecord := e.owner.settings.tasksPerRecord()
	begun := false
	for n := range s.records {
		r := &s.records[n]
		if !r.dirty {
			continue
		}
		if e.full() && (!s.Gang || !begun) {
			return false
		}
		begun = true
		r.dirty, r.written = false, true
		value, err := wigeonjob.EncodeTasks(e.recordStep(s, n*perRecord, (n+1)*perRecord))
		e.add(s.recordID(n).Key(), value, err)
	}
	return true
}

// encodeState adds the record of the job, which holds its tasks if they have no records of their own, and removes the records
// that are not needed any more.
func (e *progressEncoder) encodeState(j *job) {
	p := wigeonjob.Progress{State: j.state, Ended: j.ended, Cause: j.cause, Holder: j.holder}
	if !j.state.Terminal() {
		p.Finished = j.finished
	}
	for _, occ := range j.occurrences {
		for _, s := range occ.steps {
			if j.recordsTasks || j.state.Terminal() {
				continue
			}
			p.Tasks = append(p.Tasks, e.recordStep(s, 0, s.Count)...)
		}
	}
	value, err := wigeonjob.EncodeProgress(&p)
	e.add(wigeonjob.Key(wigeonjob.KindProgress, j.ID), value, err)
	for _, id := range j.removedRecords {
		e.add(id.Key(), nil, nil)
	}
	j.removedRecords = nil
}

// recordStep returns the progress of those of the tasks with indexes from begin to before end that ever had a run.
func (e *progressEncoder) recordStep(s *step, begin, end int) []wigeonjob.TaskProgress {
	var recorded []wigeonjob.TaskProgress
	closed := s.closedBetween(begin, end)
	for i := range closed {
		recorded = append(recorded, closed[i].progress(s))
	}
	return append(recorded, e.recordTasks(s.tasksBetween(begin, end))...)
}

// recordTasks returns the progress of those of the tasks that ever had a run, and adds the planned runs to those that the append
// makes durable.
func (e *progressEncoder) recordTasks(tasks []*task) []wigeonjob.TaskProgress {
	var recorded []wigeonjob.TaskProgress
	for _, t := range tasks {
		for _, r := range t.runs {
			if r.phase == runPlanned {
				r.phase, r.plannedWall, r.plannedAt = runWriting, e.now.Wall, e.now.Steady
				e.runs = append(e.runs, r)
			}
		}
		if t.lastRun > 0 {
			recorded = append(recorded, t.progress(e.now))
		}
	}
	return recorded
}
