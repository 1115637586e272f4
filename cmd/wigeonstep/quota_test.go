package main

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/platform"
	"github.com/wigeonstep/wigeonstep/platform/wigeonstandin"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonreplica"
)

// runCounter counts the runs on all workers.
type runCounter struct {
	mu               sync.Mutex
	running, highest int
	// started counts the starts on each worker.
	started map[string]int
}

func (r *runCounter) record(e wigeonstandin.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch e.Kind {
	case wigeonstandin.RunStarted:
		r.running++
		r.highest = max(r.highest, r.running)
		r.started[e.Worker]++
	case wigeonstandin.RunEnded:
		r.running--
	}
}

func (r *runCounter) starts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.started)
}

// Guards against a team that exceeds its limit, or starts nothing any more, when the owner of a shard or the process that divides
// the limit is killed while two services run the team's tasks.
func TestLimitHoldsWhileOwnersAreKilled(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	const limit, jobs = 6, 48
	services := []string{"orders", "returns"}
	f := newPlatformStandIn(t, 0)
	c.Assert(f.store.PutTenants(2, nodeTestHost, services, wigeonstandin.Tenant{Name: "bakers", MilliCPU: limit * wigeonstandin.TaskMilliCPU}), qt.IsNil)
	runs := runCounter{started: map[string]int{}}
	for i := range services {
		_, err := wigeonstandin.StartWorker(ctx, f.store, wigeonstandin.WorkerSettings{
			ID: fmt.Sprintf("i-%d", i), Service: services[i], Rack: "r0", TaskDuration: 400 * time.Millisecond, OnEvent: runs.record,
		})
		c.Assert(err, qt.IsNil)
	}
	var nodes []*testNode
	for _, name := range []string{"a", "b", "c"} {
		nodes = append(nodes, f.startNode(t, name))
	}
	client, err := platform.NewStoreClient(f.store.Address())
	c.Assert(err, qt.IsNil)
	parts := servicePartitions(ctx, c, client, len(services))
	for i := range jobs {
		submitTeamJob(ctx, c, client, parts, services[i%2], i)
	}
	for _, part := range []wigeonstep.Partition{0, parts["orders"][0], 0} {
		before := runs.starts()
		waitFor(c, "both services start tasks", func() bool {
			now := runs.starts()
			return now["i-0"] >= before["i-0"]+limit && now["i-1"] >= before["i-1"]+limit
		})
		owner := readPartition(ctx, c, client, part).Owner.Address
		for _, n := range nodes {
			if n.peerAddress == owner {
				n.kill()
			}
		}
		nodes = append(nodes, f.startNode(t, fmt.Sprintf("after-%d-%s", part, owner)))
	}
	waitFor(c, "all jobs are completed", func() bool { return completedJobs(ctx, c, client, parts) == jobs })
	runs.mu.Lock()
	defer runs.mu.Unlock()
	c.Logf("at most %d runs with a limit of %d", runs.highest, limit)
	c.Assert(runs.highest <= limit+1, qt.IsTrue)
	// Long-lived allowances of idle shards would leave a part of the limit unused.
	c.Assert(runs.highest >= limit-1, qt.IsTrue)
}

// servicePartitions returns the partition of each service once there are n.
func servicePartitions(ctx context.Context, c *qt.C, client *platform.StoreClient, n int) map[wigeonstep.ServiceName][]wigeonstep.Partition {
	var r *wigeonreplica.Replica
	waitFor(c, "the services have partitions", func() bool {
		r = readPartition(ctx, c, client, 0)
		return len(r.ServicePartitions) >= n
	})
	return r.ServicePartitions
}

func readPartition(ctx context.Context, c *qt.C, client *platform.StoreClient, part wigeonstep.Partition) *wigeonreplica.Replica {
	r := &wigeonreplica.Replica{}
	after := ""
	for {
		page, err := client.Jobs().ListNewest(ctx, part, after)
		c.Assert(err, qt.IsNil)
		for _, record := range page.Records {
			c.Assert(r.Apply(record), qt.IsNil)
		}
		if after = page.NextAfter; after == "" {
			return r
		}
	}
}

// submitTeamJob writes a job of the team bakers to the log.
func submitTeamJob(ctx context.Context, c *qt.C, client *platform.StoreClient, parts map[wigeonstep.ServiceName][]wigeonstep.Partition, service string, n int) {
	job := &wigeonjob.Job{
		ID: wigeonstep.JobID(jobID(n)), Queue: wigeonstep.QueueName("r-" + service), Service: wigeonstep.ServiceName(service), Team: "bakers",
		Accepted: wigeonstep.UnixMillis(time.Now().UnixMilli()), Policy: wigeonstep.QueuePolicy{MaxAttempts: 4, ObjectiveFactor: 1.6, ObjectiveBase: 600 * time.Millisecond},
		Steps: []wigeonjob.Step{{Count: 3, Required: wigeonstep.Resources{CPU: wigeonstandin.TaskMilliCPU, Memory: 100}, Estimate: 400 * time.Millisecond}},
	}
	value, err := wigeonjob.EncodeJob(job)
	c.Assert(err, qt.IsNil)
	record := wigeonstep.KeyedRecord{Key: wigeonjob.Key(wigeonjob.KindJob, job.ID), Value: value}
	_, err = client.Jobs().Append(ctx, parts[job.Service][0], []wigeonstep.KeyedRecord{record}, nil)
	c.Assert(err, qt.IsNil)
}

// completedJobs counts the completed jobs of the services.
func completedJobs(ctx context.Context, c *qt.C, client *platform.StoreClient, parts map[wigeonstep.ServiceName][]wigeonstep.Partition) int {
	completed := 0
	for _, service := range parts {
		for _, part := range service {
			for _, e := range readPartition(ctx, c, client, part).Jobs() {
				if e.State() == wigeonjob.StateCompleted {
					completed++
				}
			}
		}
	}
	return completed
}
