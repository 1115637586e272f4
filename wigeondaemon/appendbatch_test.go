package wigeondaemon

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonteam"
)

// sizedRecord returns a queued record of the given size.
func sizedRecord(size int) queuedRecord {
	return queuedRecord{record: wigeonstep.KeyedRecord{Key: "j/1", Value: make([]byte, size-len("j/1")-recordOverhead)}}
}

// Guards against an append above the size that the log accepts, which would fail the requests of all clients in it.
func TestBatchesAreBounded(t *testing.T) {
	c := qt.New(t)
	var queued []queuedRecord
	for range 10 {
		queued = append(queued, sizedRecord(400))
	}
	c.Assert(batchLength(queued, 4000), qt.Equals, 10)
	c.Assert(batchLength(queued, 3999), qt.Equals, 9)
	c.Assert(batchLength(queued, 100), qt.Equals, 1)
	for range maxBatchRecords {
		queued = append(queued, sizedRecord(20))
	}
	c.Assert(batchLength(queued, 1<<20), qt.Equals, maxBatchRecords)
}

// Guards against a job that the log can never take and that is refused late, as if it could be repeated, or fails the requests that
// share its append: it is refused at once with the reason.
func TestJobWithTooLargeRecordIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	appended := 0
	d, _ := newListingDaemon(&jobLogStub{append: func(wigeonstep.Partition) { appended++ }})
	runEvents(t, d)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	step := wigeonjob.Step{Count: 1, RequiredLabel: wigeonstep.Label(strings.Repeat("x", defaultRecordBytes))}
	response := d.Submit(ctx, &wigeonjob.Job{ID: listedJob, Steps: []wigeonjob.Step{step}}, listedQueue, wigeonteam.Caller{})
	c.Assert(response.Status, qt.Equals, http.StatusBadRequest)
	c.Assert(response.Outcome, qt.Equals, wigeonstep.OutcomeNotRun)
	c.Assert(response.Refusal.Reason, qt.Contains, "the limit is 262144")
	c.Assert(appended, qt.Equals, 0)
	record := wigeonstep.KeyedRecord{Key: "j/1", Value: make([]byte, defaultRecordBytes)}
	c.Assert(d.appendBatched(ctx, listedPartition, record, time.Time{}), qt.ErrorIs, wigeonstep.ErrRejected)
	c.Assert(appended, qt.Equals, 0)
}
