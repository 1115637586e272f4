package wigeondaemon

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeongroup"
)

// Leave makes the process not ready, drops all shards and leaves the group.
func (d *Daemon) Leave(ctx context.Context) {
	d.ready.Store(false)
	queryLoop(ctx, d, func() bool {
		d.leaving = true
		d.dropAllShards("the process stops")
		return true
	})
	if err := d.config.Group.Leave(ctx, d.membership()); err != nil {
		d.config.Logger.Warn("group_leave_failed", zap.Error(err))
	}
}

func (d *Daemon) membership() wigeonstep.Membership {
	return wigeonstep.Membership{Member: d.config.Member, TTL: d.config.MemberTTL}
}

// joinState is the state of the event loop that decides whether the process may join the group.
type joinState struct {
	leaving, loaded bool
	shards          int
}

func (d *Daemon) joinState() joinState {
	return joinState{leaving: d.leaving, loaded: d.allLoaded(), shards: d.countShards()}
}

// countShards returns the number of partitions that services use, and one for the fleet partition.
func (d *Daemon) countShards() int {
	used := map[wigeonstep.Partition]bool{fleetPartition: true}
	if table := d.partitionTable.Load(); table != nil {
		for _, parts := range *table {
			for _, part := range parts {
				used[part] = true
			}
		}
	}
	return len(used)
}

// small reports whether the rate of this process is known and below wigeongroup.SufficientRate.
func (d *Daemon) small() bool {
	return d.config.Rate > 0 && d.config.Rate < wigeongroup.SufficientRate
}

// member is the membership of this process in the group. It belongs to the goroutine of maintainMembership.
type member struct {
	wigeonstep.Membership
	// small is set if the rate of this process is known and below wigeongroup.SufficientRate. Such a process owns no
	// shards while processes on larger VMs can hold them, so it checks the holders.
	small bool
	// participates is set while the process is, or tries to be, in the group.
	participates     bool
	nextHoldersCheck time.Duration
	// nextRelayCheck is the time at which the relays are chosen again.
	nextRelayCheck time.Duration
	// joinAt is the earliest time at which a small process joins that should; 0 while it should not.
	joinAt time.Duration
	// failing is set while requests to the group fail.
	failing bool
}

// maintainMembership renews the membership in the group until ctx ends or the process leaves. A process on a small VM
// stays out of the group while processes on larger VMs hold the shards.
func (d *Daemon) maintainMembership(ctx context.Context) {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	m := member{Membership: d.membership(), small: d.small(), participates: !d.small(), nextHoldersCheck: d.config.Now().Steady + firstHoldersCheckDelay}
	for ctx.Err() == nil {
		state, ok := queryLoop(ctx, d, d.joinState)
		if !ok || state.leaving {
			return
		}
		if !state.loaded {
			// A shard that is assigned to a process before its replicas are loaded has no owner until they are.
			sleep(ctx, loadedPollInterval)
			continue
		}
		if m.small && d.config.Now().Steady >= m.nextHoldersCheck && d.checkHolders(ctx, &m, state.shards) {
			// A process that joins has to load its replicas first.
			continue
		}
		if m.participates {
			d.renewMembership(ctx, &m)
			d.checkRelays(ctx, &m)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// renewMembership renews the membership and applies the assignment in the response. After a new generation it renews at once
// a second time: the group gives a partition to its next member when the former one has joined with that generation, by when
// it must have dropped the shard.
func (d *Daemon) renewMembership(ctx context.Context, m *member) {
	for range 2 {
		sent := d.config.Now().Steady
		assignment, err := d.config.Group.Join(ctx, m.Membership)
		d.recordGroupResult(err)
		if (err != nil) != m.failing {
			m.failing = err != nil
			d.logPeerState("group", err)
		}
		if err != nil {
			return
		}
		_, applied := queryLoop(ctx, d, func() bool {
			d.applyAssignment(sent, assignment)
			return true
		})
		if !applied || assignment.Generation == m.Generation {
			return
		}
		m.Generation = assignment.Generation
	}
}

// recordGroupResult records whether a request to the group has shown the group to be reachable. With ErrUnavailable the group
// counts as reachable, because a store that responds with a refusal gives it; so do a failed connection and a lost response to
// ListHolders.
func (d *Daemon) recordGroupResult(err error) {
	d.logAccess.groupUnreachable.Store(err != nil && !errors.Is(err, wigeonstep.ErrUnavailable))
}

// checkHolders decides from the members that hold partitions whether this process participates in the group, and reports
// whether the decision has changed. If the process no longer participates, it drops its shards and leaves.
func (d *Daemon) checkHolders(ctx context.Context, m *member, shards int) (changed bool) {
	m.nextHoldersCheck = d.config.Now().Steady + holdersCheckInterval
	holders, err := d.config.Group.ListHolders(ctx)
	d.recordGroupResult(err)
	if err != nil {
		return false
	}
	d.storeHolders(holders)
	shouldJoin := wigeongroup.ShouldJoin(d.config.Rate, m.participates, slices.Collect(maps.Values(holders)), shards)
	if !shouldJoin {
		m.joinAt = 0
	}
	participates := shouldJoin && (m.participates || d.joinDelayOver(m))
	if !participates {
		d.updateDirectory(ctx)
		if d.partitionTable.Load() == nil {
			m.nextHoldersCheck = d.config.Now().Steady + directoryRetryDelay
		}
	}
	if participates == m.participates {
		return false
	}
	m.participates = participates
	d.config.Logger.Info("group_choice", zap.Bool("belongs", participates), zap.Int("rate", int(d.config.Rate)), zap.Int("shards", shards), zap.Int("holders", len(holders)))
	if participates {
		d.post(d.follow)
		return true
	}
	queryLoop(ctx, d, func() bool {
		d.dropAllShards("processes on larger VMs hold the shards")
		return true
	})
	if err := d.config.Group.Leave(ctx, m.Membership); err != nil {
		d.config.Logger.Warn("group_leave_failed", zap.Error(err))
	}
	return true
}

// joinDelayOver reports whether a small process that should join has waited for its delay. Until then it checks the holders
// again, because processes that join earlier may make it stay out.
func (d *Daemon) joinDelayOver(m *member) bool {
	now := d.config.Now().Steady
	if m.joinAt == 0 {
		m.joinAt = now + wigeongroup.JoinDelay(m.Member, d.partitionTable.Load() == nil)
	}
	m.nextHoldersCheck = min(m.nextHoldersCheck, m.joinAt)
	return now >= m.joinAt
}

// dropAllShards ends the ownership of all shards.
func (d *Daemon) dropAllShards(cause string) {
	clear(d.assigned)
	for _, sh := range d.sortedShards {
		d.dropShard(sh, cause)
	}
}
