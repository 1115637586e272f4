package wigeondaemon

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
	"github.com/wigeonstep/wigeonstep/wigeonteam"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// Guards against a job that is written long after its client has given it up, because its record waited for slow appends before it.
func TestRecordIsNotWrittenAfterItsDeadline(t *testing.T) {
	c := qt.New(t)
	begun, release := make(chan struct{}, 10), make(chan struct{})
	d, _ := newListingDaemon(&jobLogStub{append: func(wigeonstep.Partition) {
		begun <- struct{}{}
		<-release
	}})
	runEvents(t, d)
	first := make(chan error, 1)
	go func() { first <- d.appendBatched(t.Context(), listedPartition, jobRecord(c), time.Time{}) }()
	<-begun
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	response := d.Submit(ctx, &wigeonjob.Job{ID: secondListedJob, Steps: []wigeonjob.Step{teamStep}}, listedQueue, wigeonteam.Caller{})
	c.Assert(response.Status, qt.Equals, http.StatusGatewayTimeout)
	c.Assert(response.Outcome, qt.Equals, wigeonstep.OutcomeUnknown)
	<-ctx.Done()
	close(release)
	c.Assert(<-first, qt.IsNil)
	// Whatever was queued has been appended or dropped when a later record is done.
	c.Assert(d.appendBatched(t.Context(), listedPartition, jobRecord(c), time.Now().Add(time.Minute)), qt.IsNil)
	c.Assert(begun, qt.HasLen, 1)
	c.Assert(d.appendBatched(t.Context(), listedPartition, jobRecord(c), time.Now()), qt.ErrorIs, wigeonstep.ErrUnavailable)
}

const secondListedJob = wigeonstep.JobID("00000000000000b2")

// Guards against a submission that a peer writes although it was held up on the way there for longer than its withdrawal holds.
func TestPeerWritesNoSubmissionThatWasHeldUp(t *testing.T) {
	c := qt.New(t)
	appended := 0
	d, _ := newListingDaemon(&jobLogStub{append: func(wigeonstep.Partition) { appended++ }})
	record := jobRecord(c)
	var ageMS atomic.Int64
	accepted := d.config.Now()
	d.config.Now = func() wigeonshard.Timestamp {
		return wigeonshard.Timestamp{Steady: accepted.Steady, Wall: accepted.Wall + wigeonstep.UnixMillis(ageMS.Load())}
	}
	runEvents(t, d)
	write := func() *wigeonwire.AppendResult {
		return d.HandlePeer(t.Context(), &wigeonwire.PeerRequest{Body: &wigeonwire.PeerRequest_Append{Append: &wigeonwire.AppendRequest{Partition: uint32(listedPartition), Key: record.Key, Value: record.Value}}}).GetAppend()
	}
	c.Assert(write().GetDone(), qt.IsTrue)
	ageMS.Store((maxSubmissionTime + maxClockDifference + time.Second).Milliseconds())
	result := write()
	c.Assert(result.GetDone() || result.GetMaybe(), qt.IsFalse)
	c.Assert(appended, qt.Equals, 1)
}
