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

// join renews the membership in the group until ctx ends. A process on a small VM stays out of the group while larger
// ones hold the shards.
func (d *Daemon) join(ctx context.Context) {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	m := d.membership()
	looks := d.config.Rate < wigeongroup.Ample && d.config.Rate > 0
	nextLook := d.config.Now().Steady + standDelay
	belongs := !looks
	failing := false
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
		sent := d.config.Now().Steady
		if looks && sent >= nextLook {
			nextLook = sent + standInterval
			belongs = d.stand(ctx, belongs, state.shards)
		}
		if belongs {
			assignment, err := d.config.Group.Join(ctx, m)
			if (err != nil) != failing {
				failing = err != nil
				d.logPeer("group", err)
			}
			d.reach.groupLost.Store(err != nil && !errors.Is(err, wigeonstep.ErrUnavailable))
			if err == nil {
				m.Generation = assignment.Generation
				d.post(func() { d.assign(sent, assignment) })
			}
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// stand looks who holds partitions and returns whether this process belongs to the group now. What it held is given back
// when it does not.
func (d *Daemon) stand(ctx context.Context, belonged bool, shards int) bool {
	holders, err := d.config.Group.Holders(ctx)
	d.reach.groupLost.Store(err != nil && !errors.Is(err, wigeonstep.ErrUnavailable))
	if err != nil {
		return belonged
	}
	belongs := wigeongroup.Belongs(d.config.Rate, holders, shards)
	if belongs == belonged {
		return belongs
	}
	d.config.Logger.Info("group_choice", zap.Bool("belongs", belongs), zap.Int("rate", int(d.config.Rate)), zap.Int("shards", shards), zap.Int("holders", len(holders)))
	if !belongs {
		ask(ctx, d, func() bool {
			d.giveBack("processes on larger VMs hold the shards")
			return true
		})
		if err := d.config.Group.Leave(ctx, d.membership()); err != nil {
			d.config.Logger.Warn("group_leave_failed", zap.Error(err))
		}
	}
	return belongs
}

// giveBack ends the ownership of all shards.
func (d *Daemon) giveBack(cause string) {
	clear(d.assigned)
	for _, sh := range d.order {
		d.drop(sh, cause)
	}
}
