package wigeondaemon

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
	"github.com/wigeonstep/wigeonstep/wigeontail"
)

// removalDelay is the time for which a worker stays listed after its entry was removed. Entries that expired during an
// outage of the store are written again within two seconds of its end. A worker that has really stopped is detected
// without its entry, because it does not answer heartbeats.
const removalDelay = 2500 * time.Millisecond

// workerRegistry holds the entries that workers write about themselves to the worker log.
type workerRegistry struct {
	entries map[wigeonstep.WorkerID]*workerEntry
}

type workerEntry struct {
	wigeonstep.ListedWorker
	// removedAt is the time at which the entry was found removed; 0 while it exists.
	removedAt time.Duration
}

// sameEntry reports whether two entries differ in nothing that an owner uses.
func sameEntry(a, b wigeonstep.ListedWorker) bool {
	labels := slices.Equal(a.Labels, b.Labels)
	a.Labels, b.Labels = nil, nil
	a.MinRemaining, b.MinRemaining = 0, 0
	return labels && a.Address == b.Address && a.Service == b.Service && a.DataCentre == b.DataCentre && a.StartedAt == b.StartedAt &&
		a.Draining == b.Draining && a.Capacity == b.Capacity
}

// expire deletes the workers whose entries were removed more than removalDelay ago and reports whether there were any.
func (g *workerRegistry) expire(now time.Duration) bool {
	expired := false
	for id, w := range g.entries {
		if w.removedAt != 0 && now-w.removedAt > removalDelay {
			delete(g.entries, id)
			expired = true
		}
	}
	return expired
}

// list returns the workers sorted by id.
func (g *workerRegistry) list() []wigeonstep.ListedWorker {
	all := make([]wigeonstep.ListedWorker, 0, len(g.entries))
	for _, w := range g.entries {
		all = append(all, w.ListedWorker)
	}
	slices.SortFunc(all, func(a, b wigeonstep.ListedWorker) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// applyWorkerBatch applies a batch of the worker log to the registry. An entry that can't be decoded names no worker, so it
// counts as the removal of the one before it; a worker that is up soon writes its entry again.
func (d *Daemon) applyWorkerBatch(b wigeontail.Batch) {
	now := d.config.Now().Steady
	if d.workers.entries == nil {
		d.workers.entries = map[wigeonstep.WorkerID]*workerEntry{}
	}
	d.work.add(workListings, len(b.Records))
	changed := false
	if b.Reset {
		present := map[string]bool{}
		for _, record := range b.Records {
			present[record.Key] = true
		}
		for id, w := range d.workers.entries {
			if !present[string(id)] && w.removedAt == 0 {
				w.removedAt = now
			}
		}
	}
	for _, record := range b.Records {
		id := wigeonstep.WorkerID(record.Key)
		known := d.workers.entries[id]
		listed, present := d.decodeWorker(record)
		if !present {
			if known != nil && known.removedAt == 0 {
				known.removedAt = now
			}
			continue
		}
		listed.Restarted = known != nil && (known.Restarted || known.StartedAt != listed.StartedAt)
		if known == nil || known.removedAt != 0 || !sameEntry(known.ListedWorker, listed) {
			changed = true
		}
		d.workers.entries[id] = &workerEntry{ListedWorker: listed}
	}
	if changed {
		d.pushWorkers()
	}
}

// maxLoggedKey bounds the part of a key that is logged.
const maxLoggedKey = 64

// decodeWorker decodes an entry of the worker log; the second result is false for one that was removed or can't be decoded.
func (d *Daemon) decodeWorker(record wigeonstep.KeyedRecord) (wigeonstep.ListedWorker, bool) {
	if len(record.Value) == 0 {
		return wigeonstep.ListedWorker{}, false
	}
	listed, err := d.config.Decoder.DecodeWorker(record)
	if err != nil {
		d.config.Logger.Warn("worker_entry_skipped", zap.String("worker", record.Key[:min(len(record.Key), maxLoggedKey)]), zap.Error(err))
	}
	return listed, err == nil
}

// expireWorkers deletes workers whose removal delay is over and passes the rest to the owners.
func (d *Daemon) expireWorkers(now time.Duration) {
	if d.workers.expire(now) {
		d.pushWorkers()
	}
}

// pushWorkers passes the workers and cordons to every owner of a shard in this process.
func (d *Daemon) pushWorkers() {
	now := d.config.Now()
	for _, sh := range d.sortedShards {
		if sh.owner != nil {
			d.pushWorkersTo(sh, now)
		}
	}
}

func (d *Daemon) pushWorkersTo(sh *shard, now wigeonshard.Timestamp) {
	var listed []wigeonstep.ListedWorker
	table := d.routes.Load()
	for _, w := range d.workers.list() {
		part, known := d.workerPartition(w.Service, w.ID)
		if known && part == sh.part && (table == nil || !table.spare[w.Service]) {
			listed = append(listed, w)
		}
	}
	sh.owner.SetWorkers(now, listed)
	sh.owner.SetCordons(d.cordons())
}

// cordons returns the workers that have to be drained, each with its VM: those of all maintenance and move orders, also of done
// ones, and those in the newest response of the fleet partition's owner.
func (d *Daemon) cordons() map[wigeonstep.WorkerID]wigeonstep.VMID {
	cordons := map[wigeonstep.WorkerID]wigeonstep.VMID{}
	for worker, vm := range d.receivedCordons {
		cordons[worker] = vm
	}
	replica := d.shards[fleetPartition].replica
	for vm, order := range replica.MaintenanceOrders {
		if order.Worker != "" {
			cordons[order.Worker] = vm
		}
	}
	for vm, order := range replica.MoveOrders {
		if order.Worker != "" {
			cordons[order.Worker] = vm
		}
	}
	return cordons
}

// pushCordons passes the cordons to every owner of a shard in this process.
func (d *Daemon) pushCordons() {
	cordons := d.cordons()
	for _, sh := range d.sortedShards {
		if sh.owner != nil {
			sh.owner.SetCordons(cordons)
		}
	}
}
