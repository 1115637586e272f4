package wigeondaemon

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeontail"
	"github.com/wigeonstep/wigeonstep/wigeonteam"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// movedPartition is the partition of the service that the queue has after a change of the configuration.
const movedPartition = listedPartition + 1

// newMovedQueueDaemon returns a running daemon that holds a job in the shard of the former service of its queue, the queue,
// and the partitions to which records are appended.
func newMovedQueueDaemon(c *qt.C, t *testing.T) (*Daemon, wigeonstep.Queue, <-chan wigeonstep.Partition) {
	t.Helper()
	appended := make(chan wigeonstep.Partition, 1)
	log := &jobLogStub{
		read:   func(from wigeonstep.Offset) wigeonstep.KeyedRead { return wigeonstep.KeyedRead{Next: from, End: from} },
		append: func(part wigeonstep.Partition) { appended <- part },
	}
	d, sh := newListingDaemon(log)
	queue := wigeonstep.Queue{Name: listedQueue.Name, Service: "returns"}
	d.partitionTable.Store(&partitionTable{listedQueue.Service: {listedPartition}, queue.Service: {movedPartition}})
	d.applyShardBatch(sh, wigeontail.Batch{Records: []wigeonstep.KeyedRecord{jobRecord(c)}, Next: 1, Complete: true})
	d.applyShardBatch(d.addShard(movedPartition), wigeontail.Batch{Complete: true})
	runEvents(t, d)
	return d, queue, appended
}

// Guards against 410 for an accepted job, and against a cancellation that its owner never reads, after its queue got another
// service: the job stays in the shard of the former service.
func TestJobOfFormerServiceIsFound(t *testing.T) {
	c := qt.New(t)
	d, queue, appended := newMovedQueueDaemon(c, t)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	state, response := d.Status(ctx, listedJob, queue, wigeonteam.Caller{})
	c.Assert(response.Status, qt.Equals, http.StatusOK)
	c.Assert(state, qt.Equals, wigeonjob.StatePending)
	_, response = d.Status(ctx, "00000000000000ff", queue, wigeonteam.Caller{})
	c.Assert(response.Status, qt.Equals, http.StatusGone)
	c.Assert(d.Cancel(ctx, listedJob, queue, wigeonteam.Caller{}).Status, qt.Equals, http.StatusOK)
	c.Assert(<-appended, qt.Equals, listedPartition)
}

// Guards against a standby that, asking this process, does not find a job in the shard of its queue's former service.
func TestStandbyIsToldOfJobOfFormerService(t *testing.T) {
	c := qt.New(t)
	d, _, _ := newMovedQueueDaemon(c, t)
	query := func(part wigeonstep.Partition, readLog bool) *wigeonwire.JobStatus {
		request := &wigeonwire.JobQuery{Partition: uint32(part), Job: string(listedJob), ReadLog: readLog}
		return d.HandlePeer(t.Context(), &wigeonwire.PeerRequest{Body: &wigeonwire.PeerRequest_Job{Job: request}}).GetJob()
	}
	c.Assert(query(movedPartition, true).GetKnown(), qt.IsTrue)
	// A query that does not read the log is for one partition: a standby finds the job's partition with it.
	c.Assert(query(movedPartition, false).GetKnown(), qt.IsFalse)
	c.Assert(query(listedPartition, false).GetKnown(), qt.IsTrue)
}

// Guards against jobs that are not counted as waiting because their queue got another service after they were accepted.
func TestWaitingJobsOfFormerServiceAreCounted(t *testing.T) {
	c := qt.New(t)
	d, queue, _ := newMovedQueueDaemon(c, t)
	n, response := d.CountWaiting(t.Context(), queue)
	c.Assert(response.Status, qt.Equals, http.StatusOK)
	c.Assert(n, qt.Equals, 1)
	answer := d.HandlePeer(t.Context(), &wigeonwire.PeerRequest{Body: &wigeonwire.PeerRequest_Count{
		Count: &wigeonwire.CountQuery{Queue: string(queue.Name), Partitions: []uint32{uint32(movedPartition)}},
	}})
	c.Assert(answer.GetCount().GetWaiting(), qt.Equals, uint32(1))
}
