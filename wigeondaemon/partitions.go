package wigeondaemon

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
)

const (
	// vmsPerShard is the target number of VMs of a pool for each shard. A task runs only on workers of its own shard, so a
	// service with several shards needs spare capacity in each of them.
	vmsPerShard = 400
	// vmListWait is the time for which a new owner of the fleet partition waits for the platform's list of VMs. After
	// it, pool sizes are estimated from the registered workers.
	vmListWait = 2500 * time.Millisecond
)

// partitionTable holds the partitions of each service. It is immutable.
type partitionTable map[wigeonstep.ServiceName][]wigeonstep.Partition

// jobPartition returns the partition of a job of a service.
func (d *Daemon) jobPartition(service wigeonstep.ServiceName, id wigeonstep.JobID) (wigeonstep.Partition, bool) {
	return d.hashPartition(service, string(id))
}

// jobPartitions returns first and the partitions that the services have for a job, each once.
func (d *Daemon) jobPartitions(first wigeonstep.Partition, id wigeonstep.JobID) []wigeonstep.Partition {
	all := []wigeonstep.Partition{first}
	table := d.partitionTable.Load()
	if table == nil {
		return all
	}
	for _, service := range slices.Sorted(maps.Keys(*table)) {
		if part, known := d.jobPartition(service, id); known && !slices.Contains(all, part) {
			all = append(all, part)
		}
	}
	return all
}

// workerPartition returns the partition that owns a worker of a service.
func (d *Daemon) workerPartition(service wigeonstep.ServiceName, id wigeonstep.WorkerID) (wigeonstep.Partition, bool) {
	return d.hashPartition(service, string(id))
}

func (d *Daemon) hashPartition(service wigeonstep.ServiceName, id string) (wigeonstep.Partition, bool) {
	parts := d.partitions(service)
	if len(parts) == 0 {
		return 0, false
	}
	return parts[xxhash.Sum64String(id)%uint64(len(parts))], true
}

// partitions returns the partitions of a service, or none if it has none or they are not read yet.
func (d *Daemon) partitions(service wigeonstep.ServiceName) []wigeonstep.Partition {
	if known := d.partitionTable.Load(); known != nil {
		return (*known)[service]
	}
	return nil
}

// updatePartitions publishes the partitions of the services from the replica of the fleet partition, and follows them.
// It compares only the number of services, because planPartitions assigns partitions to a service once.
func (d *Daemon) updatePartitions() {
	latest := partitionTable(maps.Clone(d.shards[fleetPartition].replica.ServicePartitions))
	if latest == nil {
		return
	}
	current := d.partitionTable.Load()
	if current != nil && len(*current) == len(latest) {
		return
	}
	d.partitionTable.Store(&latest)
	d.followServicePartitions()
	d.pushWorkers()
	d.updateReady()
}

// followServicePartitions follows the partitions of all services, unless this process is a standby.
func (d *Daemon) followServicePartitions() {
	table := d.partitionTable.Load()
	if table == nil || !d.following.Load() {
		return
	}
	for _, service := range slices.Sorted(maps.Keys(*table)) {
		for _, part := range (*table)[service] {
			d.followPartition(part)
		}
	}
}

// planPartitions assigns partitions to the configured services that have none and returns the records. Large pools get
// several, so that several owners share their work. Spare services get none.
func (d *Daemon) planPartitions(sh *shard, now wigeonshard.Timestamp) []wigeonstep.KeyedRecord {
	table := d.routes.Load()
	used := map[wigeonstep.Partition]int{}
	for _, parts := range sh.replica.ServicePartitions {
		for _, part := range parts {
			used[part]++
		}
	}
	var records []wigeonstep.KeyedRecord
	for _, service := range table.services {
		if len(sh.replica.ServicePartitions[service]) > 0 || table.spare[service] {
			continue
		}
		size := d.poolSize(service)
		if size == 0 && now.Steady-sh.ownedSince < vmListWait {
			continue
		}
		parts := d.leastUsedPartitions(used, max(1, (size+vmsPerShard/2)/vmsPerShard))
		value, err := wigeonjob.EncodePartitions(parts)
		if err != nil {
			d.config.Logger.Error("split_record_failed", zap.String("service", string(service)), zap.Error(err))
			continue
		}
		d.config.Logger.Info("service_split", zap.String("service", string(service)), zap.Int("vms", size), zap.Int("partitions", len(parts)))
		records = append(records, wigeonstep.KeyedRecord{Key: wigeonjob.Key(wigeonjob.KindPartitions, service), Value: value})
	}
	return records
}

// poolSize returns the number of VMs in the pool of a service from the platform's list, or the number of its registered
// workers if there is no list after vmListWait. It is 0 while the list is awaited.
func (d *Daemon) poolSize(service wigeonstep.ServiceName) int {
	listed, registered := 0, 0
	for _, vm := range d.fleet.vms {
		if vm.Pool == wigeonstep.PoolName(service) {
			listed++
		}
	}
	if d.fleet.vms != nil {
		return listed
	}
	for _, w := range d.workers.entries {
		if w.Service == service {
			registered++
		}
	}
	if d.config.Now().Steady-d.shards[fleetPartition].ownedSince < vmListWait {
		return 0
	}
	return registered
}

// leastUsedPartitions returns up to n partitions with the fewest services and increments their counts in used.
func (d *Daemon) leastUsedPartitions(used map[wigeonstep.Partition]int, n int) []wigeonstep.Partition {
	var all []wigeonstep.Partition
	for part := fleetPartition + 1; int(part) < d.config.Partitions; part++ {
		all = append(all, part)
	}
	slices.SortStableFunc(all, func(a, b wigeonstep.Partition) int { return used[a] - used[b] })
	chosen := slices.Clone(all[:min(n, len(all))])
	for _, part := range chosen {
		used[part]++
	}
	return chosen
}
