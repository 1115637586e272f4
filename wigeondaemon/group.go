package wigeondaemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
)

// Leave gives all shards back and makes the process not ready.
func (d *Daemon) Leave(ctx context.Context) {
	d.ready.Store(false)
	ask(ctx, d, func() bool {
		d.leaving = true
		for _, sh := range d.order {
			d.drop(sh, "the process stops")
		}
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
type joinState struct{ leaving, loaded bool }

// join renews the membership in the group until ctx ends.
func (d *Daemon) join(ctx context.Context) {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	m := d.membership()
	failing := false
	for ctx.Err() == nil {
		state, ok := ask(ctx, d, func() joinState { return joinState{leaving: d.leaving, loaded: d.loaded()} })
		if !ok || state.leaving {
			return
		}
		if !state.loaded {
			// A shard that is given to a process without its state has no owner until the state is read.
			pause(ctx, readyPoll)
			continue
		}
		sent := d.config.Now().Steady
		assignment, err := d.config.Group.Join(ctx, m)
		if (err != nil) != failing {
			failing = err != nil
			d.logPeer("group", err)
		}
		if err == nil {
			m.Generation = assignment.Generation
			d.post(func() { d.assign(sent, assignment) })
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}
