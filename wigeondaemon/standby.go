package wigeondaemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeongroup"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// This file holds what a standby does in place of following the logs. A standby is a process on a small VM while processes on
// larger VMs hold the shards. It serves clients, but follows neither the job log nor the worker log, since the traffic of the
// store would grow with the square of the fleet: it asks the holders of the partitions. It follows the logs from the time on
// at which it joins the group.

// maxHoldersAsked bounds the processes that a standby asks for one client's request.
const maxHoldersAsked = 4

// storeHolders stores the addresses of the processes that hold the partitions.
func (d *Daemon) storeHolders(holders map[wigeonstep.Partition]string) {
	addresses := make(map[wigeonstep.Partition]string, len(holders))
	for part, member := range holders {
		if address := wigeongroup.AddressOf(member); address != "" && address != d.config.Shard.Address {
			addresses[part] = address
		}
	}
	d.holderAddresses.Store(&addresses)
}

// standbyAddresses returns up to maxHoldersAsked addresses for questions about a partition: that of its holder first, then
// others in random order, which follow all partitions too.
func (d *Daemon) standbyAddresses(part wigeonstep.Partition) []string {
	holders := d.holderAddresses.Load()
	if holders == nil {
		return nil
	}
	first := (*holders)[part]
	var others []string
	for _, address := range *holders {
		if address != first {
			others = append(others, address)
		}
	}
	slices.Sort(others)
	others = slices.Compact(others)
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	if first != "" {
		others = append([]string{first}, others...)
	}
	return others[:min(len(others), maxHoldersAsked)]
}

// askHolders sends the request to the holders of a partition, one after the other, until accept returns true for a response.
func (d *Daemon) askHolders(ctx context.Context, part wigeonstep.Partition, request *wigeonwire.PeerRequest, accept func(*wigeonwire.PeerResponse) bool) bool {
	for _, address := range d.standbyAddresses(part) {
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		response, err := d.config.Peers.Call(callCtx, address, request)
		cancel()
		switch {
		case err != nil:
			d.config.Metrics.peerFailures.Inc()
		case accept(response):
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

// lookUpAtHolders returns the state and the team of a job as a holder knows them. A job is absent only if a holder has read the log to its
// end without finding it.
func (d *Daemon) lookUpAtHolders(ctx context.Context, part wigeonstep.Partition, id wigeonstep.JobID) (jobLookup, wigeonstep.Response) {
	request := &wigeonwire.PeerRequest{Body: &wigeonwire.PeerRequest_Job{Job: &wigeonwire.JobQuery{Partition: uint32(part), Job: string(id), ReadLog: true}}}
	var status *wigeonwire.JobStatus
	answered := d.askHolders(ctx, part, request, func(response *wigeonwire.PeerResponse) bool {
		status = response.GetJob()
		return status.GetKnown() || status.GetAbsent()
	})
	switch {
	case !answered:
		return jobLookup{}, wigeonstep.NotRunResponse(http.StatusServiceUnavailable, "no process that knows the job answers", "look up", "peers", refusalRetryAfter)
	case status.GetAbsent():
		return jobLookup{}, responseNoSuchJob
	}
	return jobLookup{
		part: part, state: wigeonjob.State(status.GetState()), known: true,
		team: wigeonstep.TeamName(status.GetTeam()), queue: wigeonstep.QueueName(status.GetQueue()),
	}, responseDone
}

// partitionAtHolders returns the partition in which a holder knows the job, or first if none knows it. It asks about first, the
// partition of the service that the queue has now, and then about those of the other services, which it may have had before.
func (d *Daemon) partitionAtHolders(ctx context.Context, first wigeonstep.Partition, id wigeonstep.JobID) wigeonstep.Partition {
	for _, part := range d.jobPartitions(first, id) {
		query := &wigeonwire.JobQuery{Partition: uint32(part), Job: string(id)}
		known := d.askHolders(ctx, part, &wigeonwire.PeerRequest{Body: &wigeonwire.PeerRequest_Job{Job: query}}, func(response *wigeonwire.PeerResponse) bool {
			return response.GetJob().GetKnown()
		})
		if known {
			return part
		}
	}
	return first
}

// countAtHolders returns the number of waiting jobs of a queue as a holder knows it.
func (d *Daemon) countAtHolders(ctx context.Context, parts []wigeonstep.Partition, queue wigeonstep.QueueName) (int, wigeonstep.Response) {
	if len(parts) == 0 {
		return 0, responseNotCounted
	}
	query := &wigeonwire.CountQuery{Queue: string(queue)}
	for _, part := range parts {
		query.Partitions = append(query.Partitions, uint32(part))
	}
	waiting := 0
	answered := d.askHolders(ctx, parts[0], &wigeonwire.PeerRequest{Body: &wigeonwire.PeerRequest_Count{Count: query}}, func(response *wigeonwire.PeerResponse) bool {
		waiting = int(response.GetCount().GetWaiting())
		return response.GetCount().GetKnown()
	})
	if !answered {
		return 0, responseNotCounted
	}
	return waiting, responseDone
}

// answerCountQuery answers a standby's query for the number of waiting jobs of a queue.
func (d *Daemon) answerCountQuery(ctx context.Context, query *wigeonwire.CountQuery) *wigeonwire.PeerResponse {
	var parts []wigeonstep.Partition
	for _, part := range query.GetPartitions() {
		parts = append(parts, wigeonstep.Partition(part))
	}
	n, ok := queryLoop(ctx, d, func() int { return d.countPendingJobs(parts, wigeonstep.QueueName(query.GetQueue())) })
	if !ok {
		return nil
	}
	status := &wigeonwire.CountStatus{Known: n >= 0, Waiting: uint32(max(n, 0))} //nolint:gosec // a count of jobs in memory
	return &wigeonwire.PeerResponse{Body: &wigeonwire.PeerResponse_Count{Count: status}}
}

// updateDirectory reads the partitions of the services from a holder.
func (d *Daemon) updateDirectory(ctx context.Context) {
	request := &wigeonwire.PeerRequest{Body: &wigeonwire.PeerRequest_Directory{Directory: &wigeonwire.DirectoryQuery{Address: d.config.Shard.Address}}}
	d.askHolders(ctx, fleetPartition, request, func(response *wigeonwire.PeerResponse) bool {
		table := partitionTable{}
		for _, s := range response.GetDirectory().GetServices() {
			for _, part := range s.GetPartitions() {
				service := wigeonstep.ServiceName(s.GetService())
				table[service] = append(table[service], wigeonstep.Partition(part))
			}
		}
		if len(table) == 0 {
			return false
		}
		d.post(func() { d.applyDirectory(table) })
		return true
	})
}

// applyDirectory puts the partitions in force that a holder named, unless this process reads them itself or knows as many.
func (d *Daemon) applyDirectory(table partitionTable) {
	current := d.partitionTable.Load()
	if d.following.Load() || current != nil && len(*current) >= len(table) {
		return
	}
	d.partitionTable.Store(&table)
	d.updateReady()
}

// answerDirectoryQuery answers a standby's query for the partitions of all services.
func (d *Daemon) answerDirectoryQuery(query *wigeonwire.DirectoryQuery) *wigeonwire.PeerResponse {
	d.standbys.add(query.GetAddress())
	directory := &wigeonwire.Directory{}
	if table := d.partitionTable.Load(); table != nil {
		for service, parts := range *table {
			entry := &wigeonwire.ServicePartitions{Service: string(service)}
			for _, part := range parts {
				entry.Partitions = append(entry.Partitions, uint32(part))
			}
			directory.Services = append(directory.Services, entry)
		}
	}
	return &wigeonwire.PeerResponse{Body: &wigeonwire.PeerResponse_Directory{Directory: directory}}
}
