package wigeoncontrol

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonpool"
)

type actionResult struct {
	action wigeonpool.Action
	err    error
}

// act calls the platform unless the same call is outstanding or failed lately.
func (d *daemon) act(ctx context.Context, action wigeonpool.Action, now time.Time) {
	if d.acting[action] || len(d.acting) >= maxActions || !d.actions.due(action, now) || !d.calls.AllowN(now, 1) {
		return
	}
	d.acting[action] = true
	d.tasks.Go(func() {
		call, cancel := context.WithTimeout(ctx, d.config.CallTimeout)
		defer cancel()
		err := d.call(call, action)
		select {
		case d.acted <- actionResult{action: action, err: err}:
		case <-ctx.Done():
		}
	})
}

// call makes the call if the newest view still allows it. The platform refuses epochs below the highest it has seen,
// which covers a pause between this check and the call.
func (d *daemon) call(ctx context.Context, action wigeonpool.Action) error {
	vm := d.config.Follower.View().VMs[action.VM]
	if vm == nil || vm.Epoch != action.Epoch {
		return fmt.Errorf("%s of VM %s: epoch %d has passed: %w", action.Kind, action.VM, action.Epoch, wigeonstep.ErrRejected)
	}
	switch action.Kind {
	case wigeonpool.ActionDrain:
		return d.config.Platform.DrainVM(ctx, action.VM, action.Epoch)
	case wigeonpool.ActionReboot:
		return d.config.Platform.RebootVM(ctx, action.VM, action.Epoch)
	case wigeonpool.ActionAssign:
		return d.config.Platform.AssignVM(ctx, action.VM, action.Pool, action.Epoch)
	case wigeonpool.ActionCheckpoint:
		return d.config.Platform.CheckpointVM(ctx, action.VM, action.Epoch)
	case wigeonpool.ActionProbe:
		return d.config.Probe(ctx, vm.Address)
	}
	return fmt.Errorf("%s of VM %s: no such action: %w", action.Kind, action.VM, wigeonstep.ErrRejected)
}

func (d *daemon) onActed(r actionResult) {
	delete(d.acting, r.action)
	d.metrics.action(r.action.Kind, r.err)
	if r.err == nil {
		d.actions.succeed(r.action)
		d.confirmed[r.action] = time.Now()
		return
	}
	wait := d.actions.fail(r.action, time.Now())
	d.config.Logger.Warn("a call to the platform failed", zap.String("action", string(r.action.Kind)), zap.String("vm", string(r.action.VM)),
		zap.Uint64("epoch", uint64(r.action.Epoch)), zap.Error(r.err), zap.Duration("retry_in", wait))
}
