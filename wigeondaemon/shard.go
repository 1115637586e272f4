package wigeondaemon

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonreplica"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
	"github.com/wigeonstep/wigeonstep/wigeontail"
)

const (
	// claimRetryDelay follows a claim that the log refused because of a higher epoch.
	claimRetryDelay = 1500 * time.Millisecond
	// minAppendDelay and maxAppendDelay bound the pause before an owner's append is repeated.
	minAppendDelay = 20 * time.Millisecond
	maxAppendDelay = 300 * time.Millisecond
)

// shard is one partition of the job log.
type shard struct {
	part    wigeonstep.Partition
	replica *wigeonreplica.Replica
	next    wigeonstep.Offset
	// loaded is set once the replica has held the state of one moment.
	loaded bool
	kick   chan struct{}

	// owned is set while the log has accepted this process's epoch; owner is nil for the fleet's partition.
	owned    bool
	owner    *wigeonshard.Owner
	epoch    wigeonstep.Fence
	sequence uint64
	// ownedSince is when the ownership began.
	ownedSince time.Duration
	claiming   bool
	// claimEnd is the end of the partition when the claim was accepted; the replica must reach it first.
	claimEnd   wigeonstep.Offset
	retryClaim time.Duration
	// reportedReleases is how many released workers the newest report named.
	reportedReleases int
	// cancel ends the appends of the ownership.
	cancel context.CancelFunc
	ctx    context.Context
}

// follow starts to follow a partition unless it is followed already.
func (d *Daemon) follow(part wigeonstep.Partition) {
	if d.shards[part] != nil {
		return
	}
	sh := &shard{part: part, replica: &wigeonreplica.Replica{}, kick: make(chan struct{}, 1)}
	d.shards[part] = sh
	d.order = append(d.order, sh)
	slices.SortFunc(d.order, func(a, b *shard) int { return cmp.Compare(a.part, b.part) })
	go d.tail(sh)
}

// tail follows the partition. A partition that this process owns is read more often.
func (d *Daemon) tail(sh *shard) {
	gap := func() time.Duration {
		owned, _ := ask(d.ctx, d, func() bool { return sh.owned || sh.claiming || sh.claimEnd > sh.next })
		if owned {
			return ownedGap
		}
		return otherGap
	}
	peer := "job log"
	tail := wigeontail.Tail{
		Log: d.config.Jobs, Part: sh.part, Wait: otherWait, Gap: gap, Kick: sh.kick,
		Apply: func(b wigeontail.Batch) { d.post(func() { d.apply(sh, b) }) },
		Lost: func(err error) {
			d.reach.readsLost.Store(true)
			d.logPeer(peer, err)
		},
		Regained: func() {
			d.reach.readsLost.Store(false)
			d.logPeer(peer, nil)
		},
	}
	tail.Run(d.ctx)
}

// wake ends the pause of a shard's tail.
func (sh *shard) wake() {
	select {
	case sh.kick <- struct{}{}:
	default:
	}
}

// apply takes a batch of the partition over. Records that were already read by another way are left out.
func (d *Daemon) apply(sh *shard, b wigeontail.Batch) {
	records := b.Records
	switch {
	case b.Reset:
		sh.replica = &wigeonreplica.Replica{}
		sh.next = b.Next
	case b.Next <= sh.next && len(records) > 0:
		return
	case b.From > sh.next:
		return
	default:
		records = records[min(int(sh.next-b.From), len(records)):] //nolint:gosec // a batch is small
		sh.next = max(sh.next, b.Next)
	}
	for _, record := range records {
		if err := sh.replica.Apply(record); err != nil {
			d.config.Logger.Warn("job_record_skipped", zap.String("key", record.Key), zap.Error(err))
		}
	}
	// A listing of all records has those that accepted the jobs before those of their progress.
	for _, record := range records {
		d.tellOwner(sh, record.Key)
	}
	if sh.part == fleetPartition {
		d.readSplits()
	}
	if b.Complete && !sh.loaded {
		sh.loaded = true
		d.updateReady()
	}
	if sh.part == fleetPartition && len(records) > 0 {
		d.spreadCordons()
	}
	d.becomeOwner(sh)
}

// tellOwner hands a job or a cancellation that the log holds to the owner in this process.
func (d *Daemon) tellOwner(sh *shard, key string) {
	if sh.owner == nil {
		return
	}
	kind, id, _ := wigeonjob.SplitKey(key)
	if kind != wigeonjob.KindJob && kind != wigeonjob.KindCancel {
		return
	}
	job := wigeonstep.JobID(id)
	e := sh.replica.Find(job)
	if e == nil {
		return
	}
	now := d.config.Now()
	sh.owner.Add(now, e.Job, e.Progress, e.Cancelled)
	if e.Cancelled {
		sh.owner.Cancel(now, job)
	}
}

// assign takes the group's answer over.
func (d *Daemon) assign(sent time.Duration, a wigeonstep.Assignment) {
	if d.leaving {
		return
	}
	now := d.config.Now().Steady
	d.generation = a.Generation
	clear(d.assigned)
	for _, part := range a.Partitions {
		d.assigned[part] = true
	}
	for _, sh := range d.order {
		switch {
		case !d.assigned[sh.part]:
			d.drop(sh, "the group gave it to another process")
		case sh.owned:
			if sh.owner != nil {
				sh.owner.Confirm(sent)
			}
		case !sh.claiming && sh.claimEnd == 0 && now >= sh.retryClaim && sh.loaded:
			d.claim(sh)
		}
	}
}

// claim raises the epoch of a partition, which shuts earlier owners out of it.
func (d *Daemon) claim(sh *shard) {
	sh.claiming = true
	sh.epoch = max(wigeonstep.Fence(d.generation*epochsPerGeneration), sh.replica.Owner.Epoch+1, sh.epoch+1)
	sh.sequence = 0
	epoch := sh.epoch
	go func() {
		end, err := d.config.Jobs.Append(d.ctx, sh.part, nil, &wigeonstep.AppendFence{Epoch: epoch})
		d.post(func() { d.claimed(sh, epoch, end, err) })
	}()
}

func (d *Daemon) claimed(sh *shard, epoch wigeonstep.Fence, end wigeonstep.Offset, err error) {
	sh.claiming = false
	switch {
	case errors.Is(err, wigeonstep.ErrFenced):
		sh.retryClaim = d.config.Now().Steady + claimRetryDelay
		d.config.Logger.Warn("claim_refused", zap.Int("partition", int(sh.part)), zap.Uint64("epoch", uint64(epoch)), zap.Error(err))
		return
	case err != nil:
		// The next answer of the group starts another claim, with a higher epoch.
		d.config.Logger.Warn("claim_failed", zap.Int("partition", int(sh.part)), zap.Uint64("epoch", uint64(epoch)), zap.Error(err))
		return
	case d.leaving || !d.assigned[sh.part]:
		return
	}
	sh.claimEnd = max(end, 1)
	if end == 0 {
		sh.claimEnd = sh.next
		sh.owned = true
		d.own(sh)
		return
	}
	sh.wake()
	d.becomeOwner(sh)
}

// becomeOwner makes this process the owner once its replica holds all that earlier owners wrote.
func (d *Daemon) becomeOwner(sh *shard) {
	if sh.owned || sh.claimEnd == 0 || sh.next < sh.claimEnd || !sh.loaded {
		return
	}
	sh.owned = true
	d.own(sh)
}

func (d *Daemon) own(sh *shard) {
	now := d.config.Now()
	sh.ownedSince = now.Steady
	sh.ctx, sh.cancel = context.WithCancel(d.ctx)
	d.config.Logger.Info("shard_owned", zap.Int("partition", int(sh.part)), zap.Uint64("epoch", uint64(sh.epoch)), zap.Uint64("offset", uint64(sh.next)), zap.Int("jobs", len(sh.replica.Jobs())))
	if sh.part == fleetPartition {
		d.fleet = newFleet()
		d.noteOwner(sh)
		return
	}
	sh.owner = wigeonshard.NewOwner(d.config.Shard, sh.epoch, now, sh.replica.Owner)
	for _, r := range sh.replica.Releases {
		sh.owner.SetReleased(r)
	}
	ids := make([]wigeonstep.JobID, 0, len(sh.replica.Jobs()))
	for id := range sh.replica.Jobs() {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b wigeonstep.JobID) int {
		return cmp.Or(cmp.Compare(accepted(sh, a), accepted(sh, b)), cmp.Compare(a, b))
	})
	for _, id := range ids {
		if e := sh.replica.Find(id); e != nil {
			sh.owner.Add(now, e.Job, e.Progress, e.Cancelled)
		}
	}
	d.tellWorkers(sh, now)
}

// noteOwner tells the others where the owner of the fleet's partition is reached.
func (d *Daemon) noteOwner(sh *shard) {
	value, err := wigeonjob.EncodeOwner(wigeonjob.OwnerNote{Epoch: sh.epoch, Address: d.config.Shard.Address})
	if err != nil {
		d.config.Logger.Error("owner_record_failed", zap.Error(err))
		return
	}
	// Appends of an epoch reach the log in their order only if there is one at a time.
	d.fleet.writing = true
	d.append(sh, []wigeonstep.KeyedRecord{{Key: wigeonjob.OwnerKey, Value: value}}, func() { d.fleet.writing = false })
}

func accepted(sh *shard, id wigeonstep.JobID) wigeonstep.UnixMillis {
	if e := sh.replica.Find(id); e != nil {
		return e.Job.Accepted
	}
	return 0
}

// drop ends the ownership of a shard in this process.
func (d *Daemon) drop(sh *shard, cause string) {
	sh.claimEnd = 0
	if !sh.owned {
		return
	}
	sh.owned = false
	sh.owner = nil
	sh.cancel()
	d.config.Logger.Info("shard_dropped", zap.Int("partition", int(sh.part)), zap.Uint64("epoch", uint64(sh.epoch)), zap.String("cause", cause))
}

// append writes records as the owner of a shard, until they are written or the ownership ends.
func (d *Daemon) append(sh *shard, records []wigeonstep.KeyedRecord, written func()) {
	sh.sequence++
	fence := wigeonstep.AppendFence{Epoch: sh.epoch, Sequence: sh.sequence}
	ctx := sh.ctx
	go func() {
		delay := minAppendDelay
		for ctx.Err() == nil {
			_, err := d.config.Jobs.Append(ctx, sh.part, records, &fence)
			switch {
			case err == nil:
				d.post(func() {
					if ctx.Err() == nil {
						written()
					}
				})
				return
			case errors.Is(err, wigeonstep.ErrFenced), errors.Is(err, wigeonstep.ErrRejected):
				d.post(func() {
					if ctx.Err() != nil {
						return
					}
					d.config.Logger.Warn("append_refused", zap.Int("partition", int(sh.part)), zap.Uint64("epoch", uint64(fence.Epoch)), zap.Error(err))
					d.drop(sh, "the log refused an append")
					sh.retryClaim = d.config.Now().Steady + claimRetryDelay
				})
				return
			}
			d.config.Metrics.appendRetries.Inc()
			pause(ctx, delay/2+rand.N(delay))
			delay = min(2*delay, maxAppendDelay)
		}
	}()
}
