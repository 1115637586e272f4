package wigeondaemon

import (
	"errors"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

// This file handles an append that the log rejects because of one of its records, such as one that is too large. Another owner
// would be rejected too, so the shard is not dropped: the other records are appended without it, and its job is given up.

// jobRecords holds the records of one job in an append, or one record that belongs to no job.
type jobRecords struct {
	// job is empty for a record that belongs to no job.
	job     wigeonstep.JobID
	records []wigeonstep.KeyedRecord
}

// groupByJob divides the records of an append, in their order.
func groupByJob(records []wigeonstep.KeyedRecord) []jobRecords {
	var groups []jobRecords
	for _, r := range records {
		job := jobOfKey(r.Key)
		if n := len(groups); n > 0 && job != "" && groups[n-1].job == job {
			groups[n-1].records = append(groups[n-1].records, r)
			continue
		}
		groups = append(groups, jobRecords{job: job, records: []wigeonstep.KeyedRecord{r}})
	}
	return groups
}

// jobOfKey returns the job of a record; empty if the record belongs to none.
func jobOfKey(key string) wigeonstep.JobID {
	kind, id, _ := wigeonjob.SplitKey(key)
	switch kind {
	case wigeonjob.KindJob, wigeonjob.KindProgress, wigeonjob.KindCancel:
		return wigeonstep.JobID(id)
	case wigeonjob.KindTasks:
		tasks, _ := wigeonjob.ParseTasksID(id)
		return tasks.Job
	}
	return ""
}

// probeRecord is a record that the log accepts and that changes nothing: it deletes the progress of no job.
var probeRecord = wigeonstep.KeyedRecord{Key: wigeonjob.Key(wigeonjob.KindProgress, wigeonstep.JobID(""))}

// appendProgress appends the records of a shard's owner and reports the answer to it.
func (e execution) appendProgress(sh *shard, records []wigeonstep.KeyedRecord) {
	a := e.newFencedAppender(sh)
	go func() {
		answer, err := a.append(records)
		var rejected []jobRecords
		if errors.Is(err, wigeonstep.ErrRejected) {
			answer, rejected, err = a.appendOthers(groupByJob(records), err)
		}
		a.finish(sh, err, func() { e.appended(answer, rejected) })
	}()
}

// appended tells the owner that its records were written but for those of the rejected jobs.
func (e execution) appended(answer appendAnswer, rejected []jobRecords) {
	var jobs []wigeonstep.JobID
	for _, group := range rejected {
		jobs = append(jobs, group.job)
		for _, r := range group.records {
			e.config.Metrics.rejectedRecords.Inc()
			e.config.Logger.Error("record_rejected", zap.String("job", string(group.job)), zap.String("key", r.Key), zap.Int("bytes", len(r.Key)+len(r.Value)))
		}
	}
	e.owner.AppendAcknowledged(e.config.Now(), answer.sentAt, jobs...)
}

// appendOthers appends the groups of a rejected append without those that the log rejects by themselves, and returns these. If the
// log rejects everything, or a record that belongs to no job, it returns the error of the append.
func (a *fencedAppender) appendOthers(groups []jobRecords, rejection error) (appendAnswer, []jobRecords, error) {
	answer, rejected, err := a.isolate(groups)
	if err == nil && len(rejected) == len(groups) {
		answer, err = a.append([]wigeonstep.KeyedRecord{probeRecord})
	}
	if err != nil {
		return appendAnswer{}, nil, err
	}
	for _, group := range rejected {
		if group.job == "" {
			return appendAnswer{}, nil, rejection
		}
	}
	return answer, rejected, nil
}

// isolate appends the halves of groups that the log has rejected together, and returns the groups that it rejects by themselves.
func (a *fencedAppender) isolate(groups []jobRecords) (appendAnswer, []jobRecords, error) {
	if len(groups) == 1 {
		return appendAnswer{}, groups, nil
	}
	var newest appendAnswer
	var rejected []jobRecords
	for _, half := range [][]jobRecords{groups[:len(groups)/2], groups[len(groups)/2:]} {
		var records []wigeonstep.KeyedRecord
		for _, group := range half {
			records = append(records, group.records...)
		}
		answer, err := a.append(records)
		if errors.Is(err, wigeonstep.ErrRejected) {
			var more []jobRecords
			answer, more, err = a.isolate(half)
			rejected = append(rejected, more...)
		}
		if err != nil {
			return appendAnswer{}, nil, err
		}
		newest.end, newest.sentAt = max(newest.end, answer.end), max(newest.sentAt, answer.sentAt)
	}
	return newest, rejected, nil
}
