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
	// vmsPerShard is the number of VMs of a pool that one owner holds. A task uses only workers of its own shard, so a
	// split service needs room in each of its shards; pools of today, with up to 90 VMs, stay whole.
	vmsPerShard = 100
	// splitPatience is how long the platform's list of VMs is waited for before services are split by the workers seen.
	splitPatience = 2500 * time.Millisecond
)

// splits says which partitions each service has. It never changes.
type splits map[wigeonstep.ServiceName][]wigeonstep.Partition

// jobPartition returns the partition of a job of a service.
func (d *Daemon) jobPartition(service wigeonstep.ServiceName, id wigeonstep.JobID) (wigeonstep.Partition, bool) {
	return d.choosePartition(service, string(id))
}

// workerPartition returns the partition that owns a worker of a service.
func (d *Daemon) workerPartition(service wigeonstep.ServiceName, id wigeonstep.WorkerID) (wigeonstep.Partition, bool) {
	return d.choosePartition(service, string(id))
}

func (d *Daemon) choosePartition(service wigeonstep.ServiceName, id string) (wigeonstep.Partition, bool) {
	parts := d.partitions(service)
	if len(parts) == 0 {
		return 0, false
	}
	return parts[xxhash.Sum64String(id)%uint64(len(parts))], true
}

// partitions returns the partitions of a service; none while they are not known.
func (d *Daemon) partitions(service wigeonstep.ServiceName) []wigeonstep.Partition {
	if known := d.splits.Load(); known != nil {
		return (*known)[service]
	}
	return nil
}

// readSplits takes over the partitions of services that the log holds, and follows them.
func (d *Daemon) readSplits() {
	read := splits(maps.Clone(d.shards[fleetPartition].replica.Splits))
	if read == nil {
		return
	}
	before := d.splits.Load()
	if before != nil && len(*before) == len(read) {
		return
	}
	d.splits.Store(&read)
	for _, service := range slices.Sorted(maps.Keys(read)) {
		for _, part := range read[service] {
			d.follow(part)
		}
	}
	d.spreadWorkers()
	d.updateReady()
}

// planSplits returns the records of the services of the configuration that have no partitions yet. Large pools get
// several, so that their work is decided by several owners.
func (d *Daemon) planSplits(sh *shard, now wigeonshard.Now) []wigeonstep.KeyedRecord {
	table := d.routes.Load()
	used := map[wigeonstep.Partition]int{}
	for _, parts := range sh.replica.Splits {
		for _, part := range parts {
			used[part]++
		}
	}
	var records []wigeonstep.KeyedRecord
	for _, service := range table.services {
		if len(sh.replica.Splits[service]) > 0 || table.spare[service] {
			continue
		}
		size := d.poolSize(service)
		if size == 0 && now.Steady-sh.ownedSince < splitPatience {
			continue
		}
		parts := d.leastUsed(used, max(1, (size+vmsPerShard/2)/vmsPerShard))
		value, err := wigeonjob.EncodeSplit(parts)
		if err != nil {
			d.config.Logger.Error("split_record_failed", zap.String("service", string(service)), zap.Error(err))
			continue
		}
		d.config.Logger.Info("service_split", zap.String("service", string(service)), zap.Int("vms", size), zap.Int("partitions", len(parts)))
		records = append(records, wigeonstep.KeyedRecord{Key: wigeonjob.Key(wigeonjob.KindSplit, service), Value: value})
	}
	return records
}

// poolSize returns the number of VMs in the pool of a service, by the platform's list or by the workers that are seen.
func (d *Daemon) poolSize(service wigeonstep.ServiceName) int {
	listed, seen := 0, 0
	for _, vm := range d.fleet.vms {
		if vm.Pool == wigeonstep.PoolName(service) {
			listed++
		}
	}
	if d.fleet.vms != nil {
		return listed
	}
	for _, w := range d.workers.workers {
		if w.Service == service {
			seen++
		}
	}
	if d.config.Now().Steady-d.shards[fleetPartition].ownedSince < splitPatience {
		return 0
	}
	return seen
}

// leastUsed returns the partitions that the fewest services have, and counts them as used.
func (d *Daemon) leastUsed(used map[wigeonstep.Partition]int, n int) []wigeonstep.Partition {
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
