package wigeondaemon

import (
	"context"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonbalance"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// reportInterval is the minimum time between reports of a shard's demands to the owner of the fleet partition. A newly
// drained or lost worker is reported without this delay unless a report is in flight.
const reportInterval = 60 * time.Millisecond

// reportShards sends the demands of the owned shards to the owner of the fleet partition when they are due. A report in
// flight delays the next ones.
func (d *Daemon) reportShards(now wigeonshard.Timestamp) {
	if now.Steady-d.lastReport < reportInterval && !d.checkUrgentReport() && !d.quotaReportDue(now.Steady) || d.reportInFlight {
		return
	}
	var reports []*wigeonwire.ShardReport
	for _, sh := range d.sortedShards {
		if sh.owner != nil {
			reports = append(reports, d.shardReport(sh, now))
		}
	}
	if len(reports) == 0 {
		return
	}
	d.lastReport = now.Steady
	fleetShard := d.shards[fleetPartition]
	if fleetShard.owned {
		d.reachedFleetOwner = true
		for _, r := range reports {
			d.applyOrders(r, d.handleReport(r))
		}
		return
	}
	address := fleetShard.replica.Owner.Address
	if address == "" || address == d.config.Shard.Address {
		return
	}
	d.reportInFlight = true
	go d.sendReports(address, reports)
}

// checkUrgentReport reports whether the number of drained or of lost workers of an owned shard has changed since the last call, and
// stores the numbers for the next one.
func (d *Daemon) checkUrgentReport() bool {
	found := false
	for _, sh := range d.sortedShards {
		if sh.owner == nil {
			continue
		}
		released, lost := len(sh.owner.Released()), len(sh.owner.LostWorkers())
		if released != sh.reportedReleaseCount || lost != sh.reportedLossCount {
			sh.reportedReleaseCount, sh.reportedLossCount = released, lost
			found = true
		}
	}
	return found
}

func (d *Daemon) sendReports(address string, reports []*wigeonwire.ShardReport) {
	cordons := map[wigeonstep.WorkerID]wigeonstep.VMID{}
	answers := map[uint32]*wigeonwire.ShardOrders{}
	reachedOwner := true
	for _, r := range reports {
		ctx, cancel := context.WithTimeout(d.ctx, peerTimeout)
		answer, err := d.config.Peers.Call(ctx, address, &wigeonwire.PeerRequest{Body: &wigeonwire.PeerRequest_Shard{Shard: r}})
		cancel()
		if err != nil {
			d.config.Metrics.peerFailures.Inc()
			reachedOwner = false
			break
		}
		orders := answer.GetShard()
		reachedOwner = reachedOwner && orders.GetOwner()
		if orders.GetOwner() {
			answers[r.GetPartition()] = orders
			for _, c := range orders.GetCordons() {
				cordons[wigeonstep.WorkerID(c.GetWorker())] = wigeonstep.VMID(c.GetVm())
			}
		}
	}
	d.post(func() {
		d.reportInFlight, d.reachedFleetOwner = false, reachedOwner
		for _, r := range reports {
			d.applyOrders(r, answers[r.GetPartition()])
		}
		if !reachedOwner {
			// The log names the new owner of the fleet partition, which plans no moves before all shards have reported to it.
			d.shards[fleetPartition].wake()
		}
		if len(cordons) > 0 {
			d.receivedCordons = cordons
			d.pushCordons()
		}
	})
}

// shardReport returns the demands and the capacity of the services of an owned shard.
func (d *Daemon) shardReport(sh *shard, now wigeonshard.Timestamp) *wigeonwire.ShardReport {
	var services []wigeonstep.ServiceName
	if table := d.routes.Load(); table != nil {
		for _, name := range table.services {
			if slices.Contains(d.partitions(name), sh.part) {
				services = append(services, name)
			}
		}
	}
	report := &wigeonwire.ShardReport{Partition: uint32(sh.part), Epoch: uint64(sh.fence)}
	for _, demand := range sh.owner.Demands(now, services) {
		service := &wigeonwire.ServiceDemand{
			Service:          string(demand.Service),
			WorkCoreMs:       int64(demand.ReadyWork),
			ArrivalMilliCpu:  int64(demand.ArrivalRate * 1000),
			CapacityMilliCpu: int64(demand.Capacity),
			Blocked:          uint32(max(demand.MissingWorkers, 0)),
			Usable:           workerStrings(demand.Usable),
			Idle:             workerStrings(demand.Idle),
		}
		for _, e := range demand.Emptying {
			service.Emptying = append(service.Emptying, &wigeonwire.EmptyingWorker{Worker: string(e.Worker), RemainingMs: uint32(e.Remaining.Milliseconds())})
		}
		report.Services = append(report.Services, service)
	}
	report.Released = workerStrings(sh.owner.Released())
	for _, l := range sh.owner.LostWorkers() {
		report.Lost = append(report.Lost, &wigeonwire.LostWorker{Worker: string(l.Worker), SinceMs: l.Since.Milliseconds()})
	}
	report.Teams = encodeTeamUses(sh.owner.QuotaReport())
	return report
}

// applyOrders passes the answer to a report on to the owner of the shard in this process; nil if there was none.
func (d *Daemon) applyOrders(report *wigeonwire.ShardReport, orders *wigeonwire.ShardOrders) {
	d.applyLossVerdicts(report.GetPartition(), orders)
	d.applyGrants(report, orders)
}

// applyLossVerdicts passes on to the owner of a shard in this process what the VM list says of its lost workers.
func (d *Daemon) applyLossVerdicts(partition uint32, orders *wigeonwire.ShardOrders) {
	sh := d.shards[wigeonstep.Partition(partition)]
	if sh == nil || sh.owner == nil {
		return
	}
	now := d.config.Now()
	for _, l := range orders.GetEnded() {
		sh.owner.WorkerEnded(now, lostWorker(l))
	}
	for _, l := range orders.GetUp() {
		sh.owner.WorkerUp(now, lostWorker(l))
	}
}

func lostWorker(l *wigeonwire.LostWorker) wigeonshard.LostWorker {
	return wigeonshard.LostWorker{Worker: wigeonstep.WorkerID(l.GetWorker()), Since: time.Duration(l.GetSinceMs()) * time.Millisecond}
}

func workerStrings(ids []wigeonstep.WorkerID) []string {
	all := make([]string, len(ids))
	for i, id := range ids {
		all[i] = string(id)
	}
	return all
}

func workerSet(ids []string) map[wigeonstep.WorkerID]bool {
	set := make(map[wigeonstep.WorkerID]bool, len(ids))
	for _, id := range ids {
		set[wigeonstep.WorkerID(id)] = true
	}
	return set
}

// handleReport stores the report of a shard and returns the workers that have to be drained. The response is empty if
// this process does not own the fleet partition.
func (d *Daemon) handleReport(r *wigeonwire.ShardReport) *wigeonwire.ShardOrders {
	sh := d.shards[fleetPartition]
	if !sh.owned {
		return &wigeonwire.ShardOrders{}
	}
	now := d.config.Now().Steady
	for _, s := range r.GetServices() {
		emptying := map[wigeonstep.WorkerID]time.Duration{}
		for _, e := range s.GetEmptying() {
			emptying[wigeonstep.WorkerID(e.GetWorker())] = time.Duration(e.GetRemainingMs()) * time.Millisecond
		}
		pool := wigeonstep.PoolName(s.GetService())
		if d.fleet.shardDemands[pool] == nil {
			d.fleet.shardDemands[pool] = map[uint32]wigeonbalance.Demand{}
		}
		d.fleet.shardDemands[pool][r.GetPartition()] = wigeonbalance.Demand{
			ReceivedAt:     now,
			Backlog:        float64(s.GetWorkCoreMs()),
			ArrivalRate:    float64(s.GetArrivalMilliCpu()) / 1000,
			Capacity:       wigeonstep.MilliCPU(s.GetCapacityMilliCpu()),
			MissingWorkers: int(s.GetBlocked()),
			Usable:         workerSet(s.GetUsable()),
			Idle:           workerSet(s.GetIdle()),
			Emptying:       emptying,
		}
		d.fleet.demands[pool] = wigeonbalance.SumDemands(d.fleet.shardDemands[pool], len(d.partitions(wigeonstep.ServiceName(pool))))
	}
	d.fleet.released[r.GetPartition()] = workerSet(r.GetReleased())
	d.fleet.losses.report(now, r.GetPartition(), r.GetLost())
	orders := &wigeonwire.ShardOrders{Owner: true, Epoch: uint64(sh.fence), Grants: d.divideFor(r, now)}
	orders.Ended, orders.Up = d.fleet.losses.verdicts(r.GetPartition())
	for vm, order := range sh.replica.MaintenanceOrders {
		orders.Cordons = appendCordon(orders.Cordons, order.Worker, vm, order.Phase)
	}
	for vm, order := range sh.replica.MoveOrders {
		orders.Cordons = appendCordon(orders.Cordons, order.Worker, vm, order.Phase)
	}
	return orders
}

func appendCordon(all []*wigeonwire.CordonedWorker, worker wigeonstep.WorkerID, vm wigeonstep.VMID, phase wigeonjob.OrderPhase) []*wigeonwire.CordonedWorker {
	if worker == "" || phase == wigeonjob.OrderDone {
		return all
	}
	return append(all, &wigeonwire.CordonedWorker{Worker: string(worker), Vm: string(vm)})
}
