package wigeondaemon

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonreplica"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
	"github.com/wigeonstep/wigeonstep/wigeontail"
	"github.com/wigeonstep/wigeonstep/wigeonteam"
)

const (
	// claimRetryDelay is the minimum delay before this process claims a shard again after its claim, or an append or call
	// under its ownership of the shard, was rejected.
	claimRetryDelay = 1500 * time.Millisecond
	// minAppendDelay and maxAppendDelay bound the backoff between attempts of an owner's append.
	minAppendDelay = 20 * time.Millisecond
	maxAppendDelay = 300 * time.Millisecond
	// maxFirstSequence bounds the random sequence number of a claim. If two processes claimed a shard with the same fencing
	// token, the log would take appends of one for repeats of the other's with equal numbers, and acknowledge them unwritten.
	maxFirstSequence = 1 << 30
)

// shard is the state of one followed partition of the job log, and of its ownership.
type shard struct {
	part    wigeonstep.Partition
	replica *wigeonreplica.Replica
	// nextOffset is the offset after the last record that the replica holds.
	nextOffset wigeonstep.Offset
	// loaded is set by the first complete batch, with which the replica holds the state of the log at nextOffset. Before,
	// the replica may hold a listing that was made while records were written. A later Reset does not clear loaded.
	loaded bool
	// listing is set from a Reset to the next complete batch. In between the owner is not notified of jobs, because the
	// replica may hold a job without the progress that was removed together with it.
	listing  bool
	wakeTail chan struct{}
	// written holds the fleet records of this process that the replica holds and the tail has not read yet, in the order of
	// the log. Only the fleet partition has any.
	written []writtenRecord

	// owned is set while this process owns the shard.
	owned bool
	// owner is nil while owned is not set, and always for the fleet partition, whose owner's state is Daemon.fleet.
	owner *wigeonshard.Owner
	// fence is the fencing token of the newest claim or ownership in this process. The log calls it an epoch; the log, the
	// workers and the machine service reject lower ones.
	fence wigeonstep.FencingToken
	// sequence is the number of the last append with fence. It begins at random with each claim.
	sequence uint64
	// ownedSince is the time at which the ownership began.
	ownedSince time.Duration
	// claiming is set while the append that claims the shard is in flight.
	claiming bool
	// claimEndOffset is the end of the partition when the log accepted the claim; 0 without an accepted claim. The
	// ownership begins when the replica has reached it.
	claimEndOffset wigeonstep.Offset
	// reservations holds the ids of jobs that processes are about to write, while this process owns the shard.
	reservations wigeonteam.Reservations
	// retryClaimAt is the earliest time of the next claim.
	retryClaimAt time.Duration
	// reportedReleaseCount is the number of released workers at the last check for new ones.
	reportedReleaseCount int
	// reportedLossCount is the number of lost workers at that check.
	reportedLossCount int
	// cancel cancels ctx, the context of all calls made under the current ownership.
	cancel context.CancelFunc
	ctx    context.Context
}

// writtenRecord is a record that this process has written to the log at an offset.
type writtenRecord struct {
	wigeonstep.KeyedRecord
	offset wigeonstep.Offset
}

// applyWritten applies records of this process, which end at the offset end of the partition, before the tail reads them.
func (d *Daemon) applyWritten(sh *shard, records []wigeonstep.KeyedRecord, end wigeonstep.Offset) {
	first := end - wigeonstep.Offset(len(records))
	for i, record := range records {
		sh.written = append(sh.written, writtenRecord{KeyedRecord: record, offset: first + wigeonstep.Offset(i)})
	}
	d.reapplyWritten(sh)
}

// reapplyWritten applies the records of this process that are newer than those that the tail has read. Without it an older
// record of the same key, which the tail reads later, would put an order back to an earlier phase.
func (d *Daemon) reapplyWritten(sh *shard) {
	sh.written = slices.DeleteFunc(sh.written, func(w writtenRecord) bool { return w.offset < sh.nextOffset })
	for _, w := range sh.written {
		if err := sh.replica.Apply(w.KeyedRecord); err != nil {
			d.config.Logger.Error("fleet_record_failed", zap.String("key", w.Key), zap.Error(err))
		}
	}
}

// addShard adds the state of a partition, without a tail, and returns it.
func (d *Daemon) addShard(part wigeonstep.Partition) *shard {
	sh := &shard{part: part, replica: &wigeonreplica.Replica{}, wakeTail: make(chan struct{}, 1)}
	d.shards[part] = sh
	d.sortedShards = append(d.sortedShards, sh)
	slices.SortFunc(d.sortedShards, func(a, b *shard) int { return cmp.Compare(a.part, b.part) })
	return sh
}

// followPartition starts a tail of the partition unless it is followed already.
func (d *Daemon) followPartition(part wigeonstep.Partition) {
	if d.shards[part] == nil {
		go d.tailPartition(d.addShard(part))
	}
}

// follow makes a standby follow the job log and the worker log.
func (d *Daemon) follow() {
	if d.following.Swap(true) {
		return
	}
	d.logAccess.readsFailing.Store(false)
	go d.tailPartition(d.shards[fleetPartition])
	go d.tailWorkers(d.ctx)
	d.followServicePartitions()
}

// tailPartition reads the partition until the daemon stops, more often while this process owns or claims it.
func (d *Daemon) tailPartition(sh *shard) {
	readPause := func() time.Duration {
		owned, _ := queryLoop(d.ctx, d, func() bool { return sh.owned || sh.claiming || sh.claimEndOffset > sh.nextOffset })
		if owned {
			return ownedReadPause
		}
		return otherReadPause
	}
	peer := "job log"
	tail := wigeontail.Tail{
		Log: d.config.Jobs, Partition: sh.part, MaxWait: otherPollTimeout, BatchPause: readPause, Wake: sh.wakeTail,
		Apply: func(b wigeontail.Batch) { d.post(func() { d.applyShardBatch(sh, b) }) },
		OnOutage: func(err error) {
			d.logAccess.readsFailing.Store(true)
			d.logPeerState(peer, err)
		},
		OnRecovery: func() {
			d.logAccess.readsFailing.Store(false)
			d.logPeerState(peer, nil)
		},
	}
	tail.Run(d.ctx)
}

// wake makes the tail of the shard read at once.
func (sh *shard) wake() {
	select {
	case sh.wakeTail <- struct{}{}:
	default:
	}
}

// applyShardBatch applies a batch of the partition to the replica. It skips records that the replica already holds, since
// lookUpAtLogEnd reads beside the tail of the partition, and a batch that begins after the replica's end.
func (d *Daemon) applyShardBatch(sh *shard, b wigeontail.Batch) {
	records := b.Records
	switch {
	case b.Reset:
		sh.replica = &wigeonreplica.Replica{}
		sh.nextOffset = b.Next
		sh.listing = true
	case b.Next <= sh.nextOffset && len(records) > 0:
		return
	case b.From > sh.nextOffset:
		return
	default:
		records = records[min(int(sh.nextOffset-b.From), len(records)):] //nolint:gosec // a batch is small
		sh.nextOffset = max(sh.nextOffset, b.Next)
	}
	d.work.add(workRecords, len(records))
	for _, record := range records {
		if err := applyRecord(sh.replica, record); err != nil {
			d.config.Logger.Warn("job_record_skipped", zap.String("key", record.Key), zap.Error(err))
		}
	}
	d.restoreReplaced(sh)
	d.reapplyWritten(sh)
	switch {
	case sh.listing && b.Complete:
		sh.listing = false
		for _, id := range sortedJobs(sh) {
			d.notifyOwnerOfJob(sh, id)
		}
	case !sh.listing:
		for _, record := range records {
			d.notifyOwner(sh, record.Key)
		}
	}
	if sh.part == fleetPartition {
		d.updatePartitions()
	}
	if b.Complete && !sh.loaded {
		sh.loaded = true
		d.updateReady()
	}
	if sh.part == fleetPartition && len(records) > 0 {
		d.pushCordons()
	}
	d.startOwnershipIfCaughtUp(sh)
}

// applyRecord applies a record to the replica. A panic skips the record like an error, so that the rest of the batch, which
// the tail does not read again, is applied.
func applyRecord(replica *wigeonreplica.Replica, record wigeonstep.KeyedRecord) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("panic: %v", cause)
		}
	}()
	return replica.Apply(record)
}

// notifyOwner passes the job of a record to the shard's owner if the record is a job, a cancellation or a withdrawal.
func (d *Daemon) notifyOwner(sh *shard, key string) {
	kind, id, _ := wigeonjob.SplitKey(key)
	switch kind {
	case wigeonjob.KindJob, wigeonjob.KindCancel:
		d.notifyOwnerOfJob(sh, wigeonstep.JobID(id))
	case wigeonjob.KindWithdrawal:
		d.notifyOwnerOfJob(sh, wigeonjob.WithdrawnJob(id))
	}
}

// notifyOwnerOfJob passes a job and its cancellation to the shard's owner, if this process owns the shard.
func (d *Daemon) notifyOwnerOfJob(sh *shard, job wigeonstep.JobID) {
	if sh.owner == nil {
		return
	}
	e := sh.replica.Find(job)
	if e == nil {
		return
	}
	now := d.config.Now()
	sh.owner.AddJob(now, e.Job, e.FullProgress(), e.Cancelled)
	if e.Cancelled {
		sh.owner.CancelJob(now, job)
	}
}

// applyAssignment drops the shards that the group has not assigned to this process, confirms the ownership of the others, and
// claims newly assigned ones. sent is the time at which the request for the assignment was sent.
func (d *Daemon) applyAssignment(sent time.Duration, a wigeonstep.Assignment) {
	if d.leaving {
		return
	}
	now := d.config.Now().Steady
	d.generation = a.Generation
	clear(d.assigned)
	for _, part := range a.Partitions {
		d.assigned[part] = true
	}
	for _, sh := range d.sortedShards {
		switch {
		case !d.assigned[sh.part]:
			d.dropShard(sh, "the group gave it to another process")
		case sh.owned:
			if sh.owner != nil {
				sh.owner.Confirm(sent)
			}
		case !sh.claiming && sh.claimEndOffset == 0 && now >= sh.retryClaimAt && sh.loaded:
			d.claim(sh)
		}
	}
}

// claim appends to the partition with a higher fencing token, so that the log rejects appends of earlier owners.
func (d *Daemon) claim(sh *shard) {
	sh.claiming = true
	sh.fence = nextEpoch(max(wigeonstep.FencingToken(d.generation*fencesPerGeneration), sh.replica.Owner.Epoch+1, sh.fence+1))
	sh.sequence = rand.Uint64N(maxFirstSequence)
	fence := wigeonstep.AppendFence{Epoch: sh.fence, Sequence: sh.sequence}
	go func() {
		end, err := d.config.Jobs.Append(d.ctx, sh.part, nil, &fence)
		d.post(func() { d.handleClaimResult(sh, fence.Epoch, end, err) })
	}()
}

// nextEpoch returns the lowest epoch that is not below the token. The owner of an epoch uses the tokens up to the next one.
func nextEpoch(token wigeonstep.FencingToken) wigeonstep.FencingToken {
	return (token + wigeonshard.TokensPerEpoch - 1) / wigeonshard.TokensPerEpoch * wigeonshard.TokensPerEpoch
}

func (d *Daemon) handleClaimResult(sh *shard, fence wigeonstep.FencingToken, end wigeonstep.Offset, err error) {
	sh.claiming = false
	switch {
	case errors.Is(err, wigeonstep.ErrFenced):
		sh.retryClaimAt = d.config.Now().Steady + claimRetryDelay
		d.config.Logger.Warn("claim_refused", zap.Int("partition", int(sh.part)), zap.Uint64("epoch", uint64(fence)), zap.Error(err))
		return
	case err != nil:
		// The next assignment of the group starts another claim, with a higher fencing token.
		d.config.Logger.Warn("claim_failed", zap.Int("partition", int(sh.part)), zap.Uint64("epoch", uint64(fence)), zap.Error(err))
		return
	case d.leaving || !d.assigned[sh.part]:
		return
	}
	sh.claimEndOffset = max(end, 1)
	if end == 0 {
		sh.claimEndOffset = sh.nextOffset
		sh.owned = true
		d.startOwnership(sh)
		return
	}
	sh.wake()
	d.startOwnershipIfCaughtUp(sh)
}

// startOwnershipIfCaughtUp starts the ownership of a claimed shard once the replica holds all records of earlier owners.
func (d *Daemon) startOwnershipIfCaughtUp(sh *shard) {
	if sh.owned || sh.claimEndOffset == 0 || sh.nextOffset < sh.claimEndOffset || !sh.loaded {
		return
	}
	sh.owned = true
	d.startOwnership(sh)
}

func (d *Daemon) startOwnership(sh *shard) {
	now := d.config.Now()
	sh.ownedSince = now.Steady
	sh.ctx, sh.cancel = context.WithCancel(d.ctx)
	d.config.Logger.Info("shard_owned", zap.Int("partition", int(sh.part)), zap.Uint64("epoch", uint64(sh.fence)), zap.Uint64("offset", uint64(sh.nextOffset)), zap.Int("jobs", len(sh.replica.Jobs())))
	if sh.part == fleetPartition {
		d.fleet = newFleet(d.config.MachineCallRate)
		d.fleet.division = d.newDivision(sh, now)
		d.publishOwnerAddress(sh)
		return
	}
	d.startOwner(sh, now)
}

// startOwner makes the state of the owner of a shard from the replica.
func (d *Daemon) startOwner(sh *shard, now wigeonshard.Timestamp) {
	sh.owner = wigeonshard.NewOwner(d.config.Shard, sh.fence, now, sh.replica.Owner)
	if table := d.routes.Load(); table != nil {
		sh.owner.SetTeams(table.directory.Teams())
		sh.owner.SetLimits(now, table.version, table.directory.Teams())
	}
	for _, r := range sh.replica.Releases {
		sh.owner.AddRelease(r)
	}
	for _, id := range sortedJobs(sh) {
		if e := sh.replica.Find(id); e != nil {
			sh.owner.AddJob(now, e.Job, e.FullProgress(), e.Cancelled)
		}
	}
	d.pushWorkersTo(sh, now)
	d.restoreReplaced(sh)
}

// publishOwnerAddress appends a record with this process's peer address, so that other processes find the owner of the
// fleet partition.
func (d *Daemon) publishOwnerAddress(sh *shard) {
	value, err := wigeonjob.EncodeOwner(wigeonjob.OwnerRecord{Epoch: sh.fence, Address: d.config.Shard.Address})
	if err != nil {
		d.config.Logger.Error("owner_record_failed", zap.Error(err))
		return
	}
	// The appends with one fencing token keep their order in the log only if one is in flight at a time.
	d.fleet.writeInFlight = true
	d.appendFenced(sh, []wigeonstep.KeyedRecord{{Key: wigeonjob.OwnerKey, Value: value}}, func(appendAnswer) { d.fleet.writeInFlight = false })
}

// sortedJobs returns the jobs of the replica in the order in which they were accepted.
func sortedJobs(sh *shard) []wigeonstep.JobID {
	ids := slices.Collect(maps.Keys(sh.replica.Jobs()))
	slices.SortFunc(ids, func(a, b wigeonstep.JobID) int {
		return cmp.Or(cmp.Compare(acceptedAt(sh, a), acceptedAt(sh, b)), cmp.Compare(a, b))
	})
	return ids
}

func acceptedAt(sh *shard, id wigeonstep.JobID) wigeonstep.UnixMillis {
	if e := sh.replica.Find(id); e != nil {
		return e.Job.Accepted
	}
	return 0
}

// dropShard ends the ownership, or an accepted claim, of a shard in this process.
func (d *Daemon) dropShard(sh *shard, cause string) {
	sh.claimEndOffset = 0
	if !sh.owned {
		return
	}
	sh.owned = false
	sh.owner = nil
	sh.cancel()
	d.config.Logger.Info("shard_dropped", zap.Int("partition", int(sh.part)), zap.Uint64("epoch", uint64(sh.fence)), zap.String("cause", cause))
}
