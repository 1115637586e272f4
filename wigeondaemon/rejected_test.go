package wigeondaemon

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
)

// rejectingLog is a job log that rejects appends with one of some keys.
type rejectingLog struct {
	wigeonstep.JobLog
	rejected []string
	// rejectsAll is set if it rejects all appends.
	rejectsAll bool
	// appended holds the keys of the accepted records, sequences the numbers of the accepted appends.
	appended  []string
	sequences []uint64
}

func (l *rejectingLog) Append(_ context.Context, _ wigeonstep.Partition, records []wigeonstep.KeyedRecord, fence *wigeonstep.AppendFence) (wigeonstep.Offset, error) {
	for _, r := range records {
		if l.rejectsAll || slices.Contains(l.rejected, r.Key) {
			return 0, fmt.Errorf("append: %w", wigeonstep.ErrRejected)
		}
	}
	for _, r := range records {
		l.appended = append(l.appended, r.Key)
	}
	l.sequences = append(l.sequences, fence.Sequence)
	return wigeonstep.Offset(len(l.appended)), nil
}

// Guards against a shard that is dropped, here and by each owner after that, because the log rejects a record of one job, and
// against a store that rejects everything and makes all jobs fail.
func TestRejectedRecordsAreIsolated(t *testing.T) {
	records := func(keys ...string) []wigeonstep.KeyedRecord {
		var all []wigeonstep.KeyedRecord
		for _, key := range keys {
			all = append(all, wigeonstep.KeyedRecord{Key: key, Value: []byte("x")})
		}
		return all
	}
	written := []string{"o/", "t/1.0.0.0", "t/1.0.0.1", "p/1", "p/2", "t/3.0.0.0", "p/3", "p/4"}
	tests := []struct {
		name       string
		written    []string
		log        rejectingLog
		wantJobs   []wigeonstep.JobID
		wantOthers []string
		wantError  bool
	}{
		{name: "one record of a job", written: written, log: rejectingLog{rejected: []string{"t/1.0.0.1"}}, wantJobs: []wigeonstep.JobID{"1"}, wantOthers: []string{"o/", "p/2", "t/3.0.0.0", "p/3", "p/4"}},
		{name: "records of two jobs", written: written, log: rejectingLog{rejected: []string{"p/2", "p/4"}}, wantJobs: []wigeonstep.JobID{"2", "4"}, wantOthers: []string{"o/", "t/1.0.0.0", "t/1.0.0.1", "p/1", "t/3.0.0.0", "p/3"}},
		{name: "the only job", written: []string{"p/2"}, log: rejectingLog{rejected: []string{"p/2"}}, wantJobs: []wigeonstep.JobID{"2"}, wantOthers: []string{"p/"}},
		{name: "the record of the owner", written: written, log: rejectingLog{rejected: []string{"o/"}}, wantError: true},
		{name: "everything", written: written, log: rejectingLog{rejectsAll: true}, wantError: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := New(Config{
				Logger: zap.NewNop(), Metrics: NewMetrics(metrics.NewSet()), Jobs: &test.log,
				Now: func() wigeonshard.Timestamp { return wigeonshard.Timestamp{Steady: time.Hour} },
			})
			a := &fencedAppender{Daemon: d, ctx: t.Context(), part: listedPartition, fence: wigeonstep.AppendFence{Epoch: 1, Sequence: 10}}
			_, err := a.append(records(test.written...))
			c.Assert(err, qt.ErrorIs, wigeonstep.ErrRejected)
			_, rejected, err := a.appendOthers(groupByJob(records(test.written...)), err)
			if test.wantError {
				c.Assert(err, qt.ErrorIs, wigeonstep.ErrRejected)
				return
			}
			c.Assert(err, qt.IsNil)
			var jobs []wigeonstep.JobID
			for _, group := range rejected {
				jobs = append(jobs, group.job)
			}
			c.Assert(jobs, qt.DeepEquals, test.wantJobs)
			c.Assert(test.log.appended, qt.DeepEquals, test.wantOthers)
			for i, sequence := range test.log.sequences {
				c.Assert(sequence, qt.Equals, uint64(10+i))
			}
		})
	}
}

// Guards against a rejected record whose job is not found.
func TestRecordsOfJobsAreGrouped(t *testing.T) {
	c := qt.New(t)
	for _, key := range []string{
		wigeonjob.Key(wigeonjob.KindJob, listedJob), wigeonjob.Key(wigeonjob.KindProgress, listedJob),
		wigeonjob.Key(wigeonjob.KindCancel, listedJob), wigeonjob.TasksID{Job: listedJob, Step: 3}.Key(),
	} {
		c.Assert(jobOfKey(key), qt.Equals, listedJob)
	}
	c.Assert(jobOfKey(wigeonjob.OwnerKey), qt.Equals, wigeonstep.JobID(""))
	c.Assert(jobOfKey(wigeonjob.Key(wigeonjob.KindRelease, wigeonstep.WorkerID("w"))), qt.Equals, wigeonstep.JobID(""))
}
