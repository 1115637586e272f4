package wigeondaemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
)

// maxRegistryCalls bounds the calls to the registry in flight, which share the connections to the store with the appends.
const maxRegistryCalls = 24

// register registers a job with the partition and reports to the owner which partition holds it. It retries until then or until
// the ownership ends.
func (e execution) register(part wigeonstep.Partition, id wigeonstep.JobID) {
	go func() {
		for delay := minAppendDelay; e.ctx.Err() == nil; delay = min(2*delay, maxAppendDelay) {
			holder, err := e.holderOf(e.ctx, part, id)
			if err == nil {
				e.post(func() { e.registered(part, id, holder) })
				return
			}
			e.config.Metrics.registryRetries.Inc()
			e.config.Logger.Warn("registration_failed", zap.String("job", string(id)), zap.Int("partition", int(part)), zap.Error(err))
			sleep(e.ctx, delay/2+rand.N(delay))
		}
	}()
}

func (e execution) registered(part wigeonstep.Partition, id wigeonstep.JobID, holder wigeonstep.Partition) {
	if holder == part {
		e.owner.JobRegistered(e.config.Now(), id)
		return
	}
	e.owner.JobMoved(e.config.Now(), id, holder)
}

// holderOf registers a job with the partition and returns the partition to which it is assigned.
func (d *Daemon) holderOf(ctx context.Context, part wigeonstep.Partition, id wigeonstep.JobID) (wigeonstep.Partition, error) {
	assigned, err := d.callRegistry(ctx, part, id)
	if err != nil || assigned {
		return part, err
	}
	// The job is assigned to another partition for good, so that a call for a wrong one changes nothing.
	others := d.jobPartitions(part, id)
	for other := fleetPartition + 1; int(other) < d.config.Partitions; other++ {
		if !slices.Contains(others, other) {
			others = append(others, other)
		}
	}
	for _, other := range others[1:] {
		if assigned, err := d.callRegistry(ctx, other, id); err != nil || assigned {
			return other, err
		}
	}
	return 0, fmt.Errorf("the registry assigns job %s to none of %d partitions: %w", id, len(others), wigeonstep.ErrRejected)
}

// callRegistry calls the registry once a slot is free.
func (d *Daemon) callRegistry(ctx context.Context, part wigeonstep.Partition, id wigeonstep.JobID) (bool, error) {
	select {
	case d.registrySlots <- struct{}{}:
	case <-ctx.Done():
		return false, ctx.Err()
	}
	defer func() { <-d.registrySlots }()
	d.work.add(workRegistrations, 1)
	return d.config.Registry.Register(ctx, id, part)
}

// forwardCancel writes the cancellation of a job to the partition that holds it. It retries until then or until the ownership
// ends; the next owner passes the cancellation on again.
func (e execution) forwardCancel(c wigeonshard.ForwardedCancel) {
	value, err := wigeonjob.EncodeCancel(e.config.Now().Wall)
	if err != nil {
		e.config.Logger.Error("cancel_record_failed", zap.String("job", string(c.Job)), zap.Error(err))
		return
	}
	record := wigeonstep.KeyedRecord{Key: wigeonjob.Key(wigeonjob.KindCancel, c.Job), Value: value}
	go func() {
		for delay := minAppendDelay; e.ctx.Err() == nil; delay = min(2*delay, maxAppendDelay) {
			ctx, cancel := context.WithTimeout(e.ctx, batchAppendTimeout)
			err := e.appendBatched(ctx, c.Holder, record, time.Time{})
			cancel()
			if err == nil {
				e.config.Logger.Info("cancel_forwarded", zap.String("job", string(c.Job)), zap.Int("partition", int(c.Holder)))
				return
			}
			e.config.Metrics.appendRetries.Inc()
			sleep(e.ctx, delay/2+rand.N[time.Duration](delay))
		}
	}()
}
