package wigeondaemon

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeongroup"
)

// Leave gives all shards back and makes the process not ready.
func (d *Daemon) Leave(ctx context.Context) {
	d.ready.Store(false)
	ask(ctx, d, func() bool {
		d.leaving = true
		d.giveBack("the process stops")
		return true
	})
	if err := d.config.Group.Leave(ctx, d.membership()); err != nil {
		d.config.Logger.Warn("group_leave_failed", zap.Error(err))
	}
}

func (d *Daemon) membership() wigeonstep.Membership {
	return wigeonstep.Membership{Member: d.config.Member, TTL: d.config.MemberTTL}
}

// joinState is what decides whether a process may join the group.
type joinState struct {
	leaving, loaded bool
	shards          int
}

func (d *Daemon) joinState() joinState {
	return joinState{leaving: d.leaving, loaded: d.loaded(), shards: len(d.order)}
}

// member is this process as a member of the group. It belongs to the goroutine of join.
type member struct {
	wigeonstep.Membership
	// small is set on a VM that leaves the shards to larger ones; only such a process looks who holds them.
	small bool
	// belongs is set while the process takes part.
	belongs  bool
	nextLook time.Duration
	// failing is set while the group does not answer.
	failing bool
}

// join renews the membership in the group until ctx ends. A process on a small VM stays out of the group while larger
// ones hold the shards.
func (d *Daemon) join(ctx context.Context) {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	small := d.config.Rate > 0 && d.config.Rate < wigeongroup.Ample
	m := member{Membership: d.membership(), small: small, belongs: !small, nextLook: d.config.Now().Steady + holdersDelay}
	for ctx.Err() == nil {
		state, ok := ask(ctx, d, d.joinState)
		if !ok || state.leaving {
			return
		}
		if !state.loaded {
			// A shard that is given to a process without its state has no owner until the state is read.
			pause(ctx, readyPoll)
			continue
		}
		if m.small && d.config.Now().Steady >= m.nextLook {
			d.lookAtHolders(ctx, &m, state.shards)
		}
		if m.belongs {
			d.renew(ctx, &m)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// renew renews the membership once and takes the partitions over that the group gives this process.
func (d *Daemon) renew(ctx context.Context, m *member) {
	sent := d.config.Now().Steady
	assignment, err := d.config.Group.Join(ctx, m.Membership)
	d.groupAnswered(err)
	if (err != nil) != m.failing {
		m.failing = err != nil
		d.logPeer("group", err)
	}
	if err == nil {
		m.Generation = assignment.Generation
		d.post(func() { d.assign(sent, assignment) })
	}
}

// groupAnswered notes whether the store was silent; one that refuses is there.
func (d *Daemon) groupAnswered(err error) {
	d.reach.groupLost.Store(err != nil && !errors.Is(err, wigeonstep.ErrUnavailable))
}

// lookAtHolders decides by the members that hold partitions whether this process takes part. What it held is given back
// when it does not.
func (d *Daemon) lookAtHolders(ctx context.Context, m *member, shards int) {
	m.nextLook = d.config.Now().Steady + holdersInterval
	holders, err := d.config.Group.Holders(ctx)
	d.groupAnswered(err)
	if err != nil {
		return
	}
	belongs := wigeongroup.Belongs(d.config.Rate, holders, shards)
	if belongs == m.belongs {
		return
	}
	m.belongs = belongs
	d.config.Logger.Info("group_choice", zap.Bool("belongs", belongs), zap.Int("rate", int(d.config.Rate)), zap.Int("shards", shards), zap.Int("holders", len(holders)))
	if belongs {
		return
	}
	ask(ctx, d, func() bool {
		d.giveBack("processes on larger VMs hold the shards")
		return true
	})
	if err := d.config.Group.Leave(ctx, m.Membership); err != nil {
		d.config.Logger.Warn("group_leave_failed", zap.Error(err))
	}
}

// giveBack ends the ownership of all shards.
func (d *Daemon) giveBack(cause string) {
	clear(d.assigned)
	for _, sh := range d.order {
		d.drop(sh, cause)
	}
}
